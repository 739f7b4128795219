"""Read the requests of one connection of a caller and write their responses in order."""

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ..errors import GentianError
from ..state.fleet_plan import CallerLimits
from .callbacks import Cancellable
from .header_fields import HeaderFields, render_fields
from .http_messages import BufferedRequest, BufferedResponse
from .http_names import BODILESS_STATUS, PHRASES, decode_text

if TYPE_CHECKING:
    from .http_pipeline import PipelineListener

# Number of pending requests at which a connection stops reading; further ones stay in the socket.
MAX_PIPELINED_REQUESTS = 64

# Header field with which a caller waits for permission to send its body (RFC 9110, section 10.1.1).
_EXPECT_FIELD = b"expect"


class _PendingResponse:
    """Store the state of a request until its response is written.

    Attributes:
        method: HTTP method of the request.
        closes: Whether the connection closes after the response.
        response: The response; None to close the connection without one.
        done: Whether the handler has ended.
        work: Running work for the request, if any.
    """

    __slots__ = ("closes", "done", "method", "response", "work")

    def __init__(self, method: str, closes: bool):
        self.method = method
        self.closes = closes
        self.response: BufferedResponse | None = None
        self.done = False
        self.work: Cancellable | None = None


class _LimitExceeded(GentianError):
    """Report a request that exceeds a limit; it becomes the context of the parser's error."""

    def __init__(self, status: int):
        self.status = status
        super().__init__()


class CallerConnection(asyncio.Protocol):
    """Read the requests of one connection and write their responses in order."""

    def __init__(self, listener: "PipelineListener"):
        self.transport: asyncio.Transport | None = None
        self._listener = listener
        self._limits = listener.limits()
        self._parser = HttpRequestParser(self)
        self._pending: deque[_PendingResponse] = deque()
        self._closing = False
        self._paused = False
        self._active_at_ms = listener.clock.now_ms()
        # The request that is being received, and since when its head is incomplete.
        self._target = b""
        self._fields = HeaderFields()
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._body_bytes = 0
        self._in_body = False
        self._head_since_ms: float | None = None
        self._expects_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.transport = None
        # Breaks the reference cycle, which would otherwise wait for the garbage collector.
        self._parser = None
        self._listener.connections.discard(self)
        self._closing = True
        self._cancel_pending()

    def _cancel_pending(self) -> None:
        pending, self._pending = self._pending, deque()
        for pending_response in pending:
            if pending_response.work is not None:
                pending_response.work.cancel()

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        now_ms = self._listener.clock.now_ms()
        self._active_at_ms = now_ms
        pending_before = len(self._pending)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is handled without the upgrade; the bytes after it are not HTTP.
            self._closing = True
        except HttpParserError as error:
            if not self._closing:
                cause = error.__context__
                self._refuse(cause.status if isinstance(cause, _LimitExceeded) else 400)
            return
        if self._in_body or len(self._pending) > pending_before:
            self._head_since_ms = None
            return
        # The parser buffers an incomplete field without reporting its size.
        self._raw_head_bytes += len(data)
        if self._head_since_ms is None:
            self._head_since_ms = now_ms
        if self._raw_head_bytes > self._limits.header_bytes:
            self._refuse(431)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request with the current limits."""
        self._limits = self._listener.limits()
        self._target, self._fields, self._body = b"", HeaderFields(), []
        self._head_bytes = self._raw_head_bytes = self._body_bytes = 0
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Append bytes of the path and query."""
        self._target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._limits.header_bytes:
            raise _LimitExceeded(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._limits.header_bytes:
            raise _LimitExceeded(431)
        self._fields.add(name, value)
        if len(name) == len(_EXPECT_FIELD) and name.lower() == _EXPECT_FIELD:
            self._expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Send an interim response 100 if the caller waits for it before its body."""
        self._in_body = True
        if self._expects_continue and not self._pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            raise _LimitExceeded(413)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Start the work for the request."""
        self._in_body = False
        method = self._parser.get_method().decode()
        closes = not self._parser.should_keep_alive()
        pending = _PendingResponse(method, closes)
        self._pending.append(pending)
        request = BufferedRequest(
            method, decode_text(self._target), self._fields, b"".join(self._body), self.transport
        )
        self._body = []
        pending.work = self._listener.start(request, partial(self._set_response, pending))
        if closes:
            # The bytes after this request are ignored.
            self._closing = True
        if len(self._pending) >= MAX_PIPELINED_REQUESTS and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _set_response(self, pending: _PendingResponse, response: BufferedResponse | None) -> None:
        pending.response, pending.done, pending.work = response, True, None
        self._flush()

    def _flush(self) -> None:
        """Write the responses that are ready, in the order of their requests."""
        while self._pending and self._pending[0].done and self.transport is not None:
            pending = self._pending.popleft()
            if pending.response is None:
                self.transport.abort()
                return
            # Closing while later requests are pending would leave them without a response.
            closes = pending.closes or (self._listener.leaving and not self._pending)
            self.transport.write(_serialize(pending, closes))
            self._active_at_ms = self._listener.clock.now_ms()
            if closes:
                self.close()
                return
        if (
            self._paused
            and len(self._pending) < MAX_PIPELINED_REQUESTS
            and self.transport is not None
        ):
            self._paused = False
            self.transport.resume_reading()

    def close(self) -> None:
        self._closing = True
        self._cancel_pending()
        if self.transport is not None:
            self.transport.close()

    def _refuse(self, status: int) -> None:
        """Queue an error response after those to earlier requests, and read no more requests."""
        pending = _PendingResponse("GET", True)
        pending.response, pending.done = BufferedResponse(status, []), True
        self._pending.append(pending)
        self._closing = True
        self._flush()

    @property
    def busy(self) -> bool:
        """Return whether a request has no response yet."""
        return bool(self._pending)

    def sweep(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it was idle, or refuse an incomplete head, after a timeout."""
        if self._pending or self.transport is None:
            return
        if self._head_since_ms is not None:
            if now_ms - self._head_since_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif now_ms - self._active_at_ms > limits.idle_timeout_ms:
            self.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is pending or partly received."""
        if not self._pending and self._head_since_ms is None:
            self.close()


def _serialize(pending: _PendingResponse, closes: bool) -> bytes:
    response = pending.response
    text = (
        f"HTTP/1.1 {response.status} {PHRASES.get(response.status, 'Unknown')}\r\n{response.fields}"
    )
    if response.headers:
        text += render_fields(response.headers)
    if response.status not in BODILESS_STATUS and pending.method != "HEAD":
        text += f"Content-Length: {len(response.body)}\r\n"
    text += "Connection: close\r\n\r\n" if closes else "\r\n"
    head = text.encode("utf-8", "surrogateescape")
    return head if pending.method == "HEAD" else head + response.body
