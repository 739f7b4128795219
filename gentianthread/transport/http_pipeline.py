"""Serve HTTP/1.1 with buffered messages; pipelined requests run concurrently.

Responses are written in the order of their requests. The parser is that of `httptools`. The server
class of aiohttp runs the requests of a connection one after the other, so that each pipelined
request would wait for the previous one, and its parser takes twice the time and 13 MB of memory.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

import attrs
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ..clock import Clock
from ..errors import GentianError
from ..state.fleet_plan import CallerLimits
from .callbacks import Cancellable
from .header_fields import HeaderFields, HeaderPairs, render_fields
from .http_names import BODILESS_STATUS, PHRASES, decode_text

# Number of pending requests at which a connection stops reading; further ones stay in the socket.
MAX_PIPELINED_REQUESTS = 64

# Connections that the kernel queues until the process accepts them.
BACKLOG = 1024

# Header field with which a caller waits for permission to send its body (RFC 9110, section 10.1.1).
_EXPECT_FIELD = b"expect"

# Interval of the checks for idle connections and incomplete heads.
SWEEP_INTERVAL_MS = 500.0


# The classes below are instantiated for every request. They are not frozen, since the constructor
# of a frozen attrs class makes a call for each field.


@attrs.define(eq=False)
class BufferedRequest:
    """Store a request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        fields: Header fields.
        body: The body.
        transport: Transport of the caller's connection.
    """

    method: str
    target: str
    fields: HeaderFields = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    transport: asyncio.BaseTransport | None = attrs.field(default=None, repr=False)

    @property
    def peer_host(self) -> str:
        """Return the IP address of the caller, or an empty string if the connection is closed."""
        address = None if self.transport is None else self.transport.get_extra_info("peername")
        return address[0] if address else ""

    @property
    def headers(self) -> HeaderPairs:
        """Return the header fields in order."""
        return self.fields.pairs

    def find(self, name: str) -> str | None:
        """Return the first value of a header field, or None.

        Args:
            name: Name of the field in lower case.
        """
        return self.fields.first.get(name)


@attrs.define(eq=False)
class BufferedResponse:
    """Store a response with its complete body.

    Attributes:
        status: HTTP status.
        headers: Header fields without hop-by-hop fields.
        body: The body.
        fields: Serialized lines of further header fields.
    """

    status: int
    headers: HeaderPairs
    body: bytes = attrs.field(default=b"", repr=False)
    fields: str = ""


# Returns the response to a request, or None to close the connection without a response.
Handler = Callable[[BufferedRequest], Awaitable[BufferedResponse | None]]

# Receives the result of a handler; called once.
DeliverResponse = Callable[[BufferedResponse | None], None]

# Starts to handle a request. The response must be delivered after the call has returned, but not
# after the returned work was cancelled.
RequestStarter = Callable[[BufferedRequest, DeliverResponse], Cancellable]


def start_in_task(handler: Handler) -> RequestStarter:
    """Return a starter that creates a task for each request, which runs a handler."""

    async def run(request: BufferedRequest, deliver: DeliverResponse) -> None:
        try:
            response = await handler(request)
        except Exception:
            deliver(None)
            raise
        deliver(response)

    return lambda request, deliver: asyncio.ensure_future(run(request, deliver))


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


class _Connection(asyncio.Protocol):
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


class PipelineListener:
    """Listen on one address and start the work for each request.

    The work for a request is cancelled when its caller closes the connection.

    Attributes:
        connections: Open connections.
        leaving: Whether connections close after the response to their last pending request.
        port: TCP port, or 0 before `open`.
    """

    def __init__(
        self,
        start: RequestStarter,
        clock: Clock,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ):
        """Create a listener that is not open yet.

        Args:
            start: Starts to handle a request; `start_in_task` creates one from a handler.
            clock: Clock of timeouts.
            limits: Returns the current limits for callers.
        """
        self.start = start
        self.clock = clock
        self.limits = limits
        self.leaving = False
        self.connections: set[_Connection] = set()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task | None = None

    async def open(self, host: str, port: int) -> None:
        """Start listening.

        Args:
            host: IP address.
            port: TCP port, or 0 for any free one.

        Raises:
            OSError: The address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweep_task = loop.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            now_ms, limits = self.clock.now_ms(), self.limits()
            for connection in list(self.connections):
                connection.sweep(now_ms, limits)

    @property
    def busy(self) -> int:
        """Return the number of connections with a pending request."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()
