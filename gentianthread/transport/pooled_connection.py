"""Exchange requests and responses over one connection of the pool to a target."""

import select
from typing import Any

from aiohttp.client_proto import ResponseHandler

from ..errors import ConnectionLost
from .http_names import BODILESS_STATUS

# Limits for the head of a response.
_LINE_LIMIT_BYTES = 8 * 1024
_FIELD_LIMIT_BYTES = 16 * 1024


class PooledConnection:
    """Send requests and read the heads of their responses.

    Attributes:
        protocol: The HTTP protocol of the connection.
        idle_since_ms: When the last response ended.
    """

    __slots__ = ("idle_since_ms", "protocol")

    def __init__(self, protocol: ResponseHandler):
        """Wrap a connected protocol."""
        self.protocol = protocol
        self.idle_since_ms = 0.0

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
        self.protocol.set_response_params(
            skip_payload=method == "HEAD",
            auto_decompress=False,
            max_line_size=_LINE_LIMIT_BYTES,
            max_field_size=_FIELD_LIMIT_BYTES,
        )
        self.protocol.transport.write(data)

    async def read_head(self) -> tuple[Any, Any]:
        """Return the head and the payload of the final response.

        Raises:
            ConnectionLost: The response switches protocols.
        """
        while True:
            message, payload = await self.protocol.read()
            if message.code >= 200:
                return message, payload
            if message.code == 101:
                raise ConnectionLost("target", "answer switches protocols")


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
