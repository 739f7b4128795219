"""Exchange requests and responses over one connection of the pool to a target."""

import select
from collections.abc import Callable
from typing import Any

from aiohttp.client_proto import ResponseHandler

from ..errors import ConnectionLost
from .http_names import (
    BODILESS_STATUS,
    MIN_FINAL_STATUS,
    MIN_INTERIM_STATUS,
    REQUEST_ID,
    is_final_status,
)

# Limits for the head of a response.
_LINE_LIMIT_BYTES = 8 * 1024
_FIELD_LIMIT_BYTES = 16 * 1024

# Longest part of an id from the target that goes into a log line.
_LOGGED_ID_CHARS = 64


class TargetProtocol(ResponseHandler):
    """Parse responses, and exclude the connection from reuse after bytes that follow the last one.

    Attributes:
        payload: Payload of the response of this exchange, or None until its head has arrived.
    """

    payload: Any = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # The parser of the next exchange would not see the beginning of what arrives here. aiohttp
        # passes no bytes when it resumes a paused parser.
        if data and self.payload is not None and self.payload.is_eof():
            self.force_close()
        super().data_received(data)


class PooledConnection:
    """Send requests and read the heads of their responses.

    A target may write the response to an earlier request again. Responses are therefore matched
    with requests by the request id, which the target echoes.

    Attributes:
        protocol: The HTTP protocol of the connection.
        idle_since_ms: When the last response ended.
        echoes: Whether a response on this connection named its request.
    """

    __slots__ = ("_carried_head_request", "_exchanges", "echoes", "idle_since_ms", "protocol")

    def __init__(self, protocol: TargetProtocol):
        """Wrap a connected protocol."""
        self.protocol = protocol
        self.idle_since_ms = 0.0
        self.echoes = False
        self._exchanges = 0
        self._carried_head_request = False

    def usable(self) -> bool:
        """Return whether the connection is open and nothing of the last exchange is left."""
        protocol = self.protocol
        return protocol.is_connected() and not protocol.should_close

    def has_no_unread_input(self) -> bool:
        """Return whether the socket has no bytes and no end, which would fail the next request."""
        raw = self.protocol.transport.get_extra_info("socket")
        if raw is None or raw.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN)
        return not poller.poll(0)

    def send(self, method: str, data: bytes) -> None:
        """Start an exchange.

        Args:
            method: HTTP method.
            data: Head of the request, and the body if it is sent with the head.
        """
        self._exchanges += 1
        self._carried_head_request |= method == "HEAD"
        self.protocol.payload = None
        self.protocol.set_response_params(
            skip_payload=method == "HEAD",
            auto_decompress=False,
            max_line_size=_LINE_LIMIT_BYTES,
            max_field_size=_FIELD_LIMIT_BYTES,
        )
        self.protocol.transport.write(data)

    async def read_head(
        self, request_id: str, on_unmatched: Callable[[str], None]
    ) -> tuple[Any, Any]:
        """Return the head and the payload of the final response to the request.

        Responses to earlier requests are skipped; the connection is not reused after one.

        Args:
            request_id: Id of the request.
            on_unmatched: Called with a description of each response that is not the one to the
                request.

        Raises:
            ConnectionLost: The response switches protocols, has an invalid status, or cannot be
                told from an earlier one.
        """
        while True:
            message, payload = await self._read_final_head()
            problem = self._find_mismatch(message.headers.getall(REQUEST_ID, ()), request_id)
            if problem is None:
                self.protocol.payload = payload
                return message, payload
            on_unmatched(problem)
            self._check_skippable(message, problem)
            self.protocol.force_close()
            while await payload.readany():
                pass

    async def _read_final_head(self) -> tuple[Any, Any]:
        while True:
            message, payload = await self.protocol.read()
            if is_final_status(message.code):
                return message, payload
            if not MIN_INTERIM_STATUS <= message.code < MIN_FINAL_STATUS:
                raise ConnectionLost("target", f"answer with the invalid status {message.code}")
            if message.code == 101:
                raise ConnectionLost("target", "answer switches protocols")

    def _find_mismatch(self, named_ids: list[str], request_id: str) -> str | None:
        """Return why a response is not the one to the request, or None if it is."""
        if not named_ids:
            # A target that echoes nothing on this connection is trusted, as nothing tells a late
            # response apart.
            return "it names no request, as earlier answers did" if self.echoes else None
        foreign_id = next((named for named in named_ids if named != request_id), None)
        if foreign_id is not None:
            return f"it names {foreign_id[:_LOGGED_ID_CHARS]!r}"
        self.echoes = True
        return None

    def _check_skippable(self, message: Any, problem: str) -> None:
        """Check that the end of an earlier response is known, and that the next one may come.

        Raises:
            ConnectionLost: The response cannot be skipped.
        """
        named_ids = message.headers.getall(REQUEST_ID, ())
        # Without exactly one id it may as well be the response to this request. On a new connection
        # there is no earlier request: the target echoes wrongly, and waiting would not help. The
        # response to a HEAD request has no body but may have a length.
        if len(named_ids) != 1 or self._exchanges == 1 or self._carried_head_request:
            raise ConnectionLost("target", f"answer of another request: {problem}")
        check_framing("GET", message)


def serialize_head(
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    length: int | None,
    *,
    chunked: bool = False,
) -> bytes:
    """Serialize the head of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Header fields without Content-Length and Transfer-Encoding.
        length: Length of the body, or None.
        chunked: Whether a body without a length is sent in chunks.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in headers):
        # HTTP/1.0 callers may omit it; HTTP/1.1 requires it.
        lines.append("Host: target")
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")


def check_framing(method: str, message: Any) -> bool:
    """Return whether a body follows.

    Raises:
        ConnectionLost: The body has no length, so truncation would go unnoticed.
    """
    if method == "HEAD" or message.code in BODILESS_STATUS:
        return False
    if message.chunked:
        return True
    length = message.headers.get("Content-Length")
    if length is None:
        raise ConnectionLost("target", "answer has neither Content-Length nor chunked coding")
    return length != "0"
