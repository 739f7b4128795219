"""Exchange one whole HTTP message at a time over one connection to the target of a node.

The parser is that of `httptools`. A new one serves each answer, so that bytes which belong to no
request are told apart from the next answer.
"""

import asyncio
from collections.abc import Callable
from functools import partial

import attrs
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..errors import ConnectionLost
from .callbacks import settle
from .header_fields import HeaderFields
from .sockets import is_reset, keep_probing

# Longest head of an answer.
HEAD_LIMIT_BYTES = 32 * 1024

# Longest answer; a longer one is refused instead of filling the memory of the node.
BODY_LIMIT_BYTES = 64 * 1024 * 1024

# Idle time after which a connection is not reused where the target states none.
DEFAULT_IDLE_LIMIT_MS = 4_000.0


@attrs.define(eq=False)
class TargetRequest:
    """Hold one request as it is sent; `make_request` makes one.

    Attributes:
        data: Its bytes.
        method: HTTP method.
        request_id: Id that the answer must echo.
        timeout_ms: Time that the target has for a whole answer.
    """

    data: bytes
    method: str
    request_id: str
    timeout_ms: float


def make_request(
    method: str, target: str, fields: str, body: bytes, request_id: str, timeout_ms: float
) -> TargetRequest:
    """Return a request.

    Args:
        method: HTTP method.
        target: Path and query.
        fields: Header fields without those of a connection, as the lines of a head.
        body: The whole body; an empty one gets a length only where the method expects one.
        request_id: Id that the answer must echo.
        timeout_ms: Time that the target has for a whole answer.
    """
    length = ""
    if body or method in ("POST", "PUT", "PATCH"):
        length = f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\n{fields}{length}\r\n"
    data = head.encode("utf-8", "surrogateescape") + body
    return TargetRequest(data, method, request_id, timeout_ms)


class TargetResponse:
    """Collect one answer from the parser.

    Attributes:
        status: Its status.
        fields: Its header fields.
        body: Parts of its body.
        has_head: Whether its head is complete.
        complete: Whether all of it has come.
        keeps_alive: Whether the connection goes on.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "complete",
        "fields",
        "has_head",
        "head_bytes",
        "keeps_alive",
        "status",
    )

    def __init__(self) -> None:
        self.status = 0
        self.fields = HeaderFields()
        self.body: list[bytes] = []
        self.has_head = self.complete = False
        self.keeps_alive = True
        self.head_bytes = self.body_bytes = 0


class TargetConnection(asyncio.Protocol):
    """Exchange one message at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, request_id_field: str):
        self.transport: asyncio.Transport | None = None
        self.used = 0
        self.idle_since_ms = 0.0
        # When it was last taken from the pool.
        self.taken_ms = 0.0
        self.keep_ms = DEFAULT_IDLE_LIMIT_MS
        self.reusable = True
        # Whether the present answer has no length and ended with the connection.
        self.ended_by_close = False
        self._loop = loop
        self._request_id_field = request_id_field.lower()
        self._on_end: Callable[[TargetResponse | Exception], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: TargetRequest | None = None
        self._parser: HttpResponseParser | None = None
        self._answer = TargetResponse()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        self.transport = transport
        keep_probing(transport.get_extra_info("socket"))

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent."""
        return self.reusable and self.transport is not None and not self.transport.is_closing()

    def start_exchange(
        self, request: TargetRequest, on_end: Callable[[TargetResponse | Exception], None]
    ) -> None:
        """Send a request.

        Args:
            request: The request.
            on_end: Called once with the answer, with `ConnectionLost` where the connection failed
                or the answer is none, or with `TimeoutError`.
        """
        self._request = request
        self._parser, self._answer = HttpResponseParser(self), TargetResponse()
        self._on_end = on_end
        self.used += 1
        # asyncio.timeout around the wait would need a task.
        self._timer = self._loop.call_later(request.timeout_ms / 1000, self._end, TimeoutError())
        self.transport.write(request.data)

    def forget(self) -> None:
        """Give up the present exchange without calling back."""
        self._on_end = None
        if self._timer is not None:
            self._timer.cancel()

    def _end(self, result: TargetResponse | Exception) -> None:
        on_end = self._on_end
        if on_end is None:
            return
        self.forget()
        on_end(result)

    async def exchange(self, request: TargetRequest) -> TargetResponse:
        """Send a request and return its answer.

        Raises:
            ConnectionLost: The connection failed, or the answer is none.
            TimeoutError: The answer was not whole in time.
        """
        ended: asyncio.Future[TargetResponse | Exception] = self._loop.create_future()
        self.start_exchange(request, partial(settle, ended))
        try:
            result = await ended
        except asyncio.CancelledError:
            self.forget()
            raise
        if isinstance(result, Exception):
            raise result
        return result

    def data_received(self, data: bytes) -> None:
        """Take bytes of the present answer, or drop a connection that sends others."""
        if self._on_end is None:
            # Bytes that belong to no request.
            self.abort()
            return
        answer = self._answer
        if not answer.has_head:
            # The parser keeps the bytes of an incomplete field without telling how many.
            answer.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.reusable = False
            if not self._answer.complete:
                self._fail(f"no HTTP answer: {type(error).__name__}")
                return
        if self._answer.complete:
            self._end(self._answer)
        elif not self._answer.has_head and self._answer.head_bytes > HEAD_LIMIT_BYTES:
            self._fail("head too long")
        elif self._answer.body_bytes > BODY_LIMIT_BYTES:
            self._fail("answer too long")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer, or note bytes behind a complete one."""
        if self._answer.complete:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        if not self._answer.complete:
            self._answer.fields.add(name, value)

    def on_headers_complete(self) -> None:
        """Take a head; that of a late second answer to an earlier request is skipped."""
        answer = self._answer
        if answer.complete:
            return
        answer.status = self._parser.get_status_code()
        if 100 <= answer.status < 200:
            return
        found = answer.fields.first.get(self._request_id_field)
        if found is not None and found != self._request.request_id:
            self.reusable = False
            return
        answer.has_head = True
        answer.keeps_alive = self._parser.should_keep_alive()
        if self._request.method == "HEAD":
            answer.complete = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        answer = self._answer
        if answer.has_head and not answer.complete:
            answer.body.append(data)
            answer.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """End the answer, or forget a skipped one."""
        if self._answer.has_head:
            self._answer.complete = True
        else:
            self._answer = TargetResponse()

    def eof_received(self) -> bool | None:
        """End an answer without a length, unless the connection was reset in truth."""
        if is_reset(self.transport.get_extra_info("socket")):
            self._fail("reset")
            return None
        answer = self._answer
        self.reusable = False
        if self._on_end is not None and answer.has_head and _ends_with_connection(answer):
            # Only an orderly end completes an answer that has no length.
            self.ended_by_close = answer.complete = True
            self._end(answer)
        return None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the present exchange."""
        self.transport = None
        # Parser and connection refer to each other; the collector would have to find them.
        self._parser = None
        self.reusable = False
        self._fail("closed" if exc is None else str(exc))

    def _fail(self, problem: str) -> None:
        self.abort()
        self._end(ConnectionLost("target", problem))

    def abort(self) -> None:
        """Drop the connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


def _ends_with_connection(answer: TargetResponse) -> bool:
    """Return whether an answer has neither a length nor chunks, so that its end is that of all."""
    fields = answer.fields.first
    return "content-length" not in fields and "transfer-encoding" not in fields
