"""Serve HTTP/1.1 with whole messages: pipelined requests run at once and are answered in order.

The parser is that of `httptools`. aiohttp's server class runs the requests of a connection one
after the other, so that each pipelined request would wait for the one before it, and its parser
takes twice the time and 13 MB.
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

# Requests of one connection that may run at once; further ones stay in the socket.
PIPELINE_LIMIT = 64

# Connections that the kernel holds until the process accepts them.
BACKLOG = 1024

# Field by which a caller asks whether to send its body (RFC 9110, section 10.1.1).
_EXPECT = b"expect"

# How often idle connections and incomplete heads are looked for.
SWEEP_MS = 500.0


# Classes of which every request makes one are not frozen: a frozen class sets each field by a call.


@attrs.define(eq=False)
class BufferedRequest:
    """Hold one request with its whole body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        fields: Header fields.
        body: The body.
        transport: The connection that it came over.
    """

    method: str
    target: str
    fields: HeaderFields = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    transport: asyncio.BaseTransport | None = attrs.field(default=None, repr=False)

    @property
    def peer_host(self) -> str:
        """Return the IP address of the caller, or an empty text once the connection is gone."""
        address = None if self.transport is None else self.transport.get_extra_info("peername")
        return address[0] if address else ""

    @property
    def headers(self) -> HeaderPairs:
        """Return the header fields in order."""
        return self.fields.pairs

    def find(self, name: str) -> str | None:
        """Return the value of a field, the first one where there are several, or None.

        Args:
            name: Name of the field in lower case.
        """
        return self.fields.first.get(name)


@attrs.define(eq=False)
class BufferedResponse:
    """Hold one answer with its whole body.

    Attributes:
        status: HTTP status.
        headers: Header fields without those of a single connection.
        body: The body.
        fields: Further header fields, as the lines of a head.
    """

    status: int
    headers: HeaderPairs
    body: bytes = attrs.field(default=b"", repr=False)
    fields: str = ""


# Answers a request, or returns None to close the connection without an answer.
Handler = Callable[[BufferedRequest], Awaitable[BufferedResponse | None]]

# Takes what a handler returns, once.
DeliverResponse = Callable[[BufferedResponse | None], None]

# Starts to answer a request. The answer may be delivered only after the call has returned, and not
# after the returned work was cancelled.
RequestStarter = Callable[[BufferedRequest, DeliverResponse], Cancellable]


def start_in_task(handler: Handler) -> RequestStarter:
    """Return a starter that runs a handler in a task for each request."""

    async def run(request: BufferedRequest, deliver: DeliverResponse) -> None:
        try:
            answer = await handler(request)
        except Exception:
            deliver(None)
            raise
        deliver(answer)

    return lambda request, deliver: asyncio.ensure_future(run(request, deliver))


class _PendingReply:
    """Hold one request of a connection until its answer has been written."""

    __slots__ = ("answer", "closes", "done", "method", "work")

    def __init__(self, method: str, closes: bool):
        self.method = method
        self.closes = closes
        self.answer: BufferedResponse | None = None
        self.done = False
        self.work: Cancellable | None = None


class _RequestRefused(GentianError):
    """Report a request that is over a limit; the parser hands it on as the cause of its error."""

    def __init__(self, status: int):
        self.status = status
        super().__init__()


class _Connection(asyncio.Protocol):
    """Read the requests of one connection and write the answers in their order."""

    def __init__(self, listener: "PipelineListener"):
        self.transport: asyncio.Transport | None = None
        self._listener = listener
        self._limits = listener.limits()
        self._parser = HttpRequestParser(self)
        self._pending: deque[_PendingReply] = deque()
        self._closing = False
        self._paused = False
        self._active_ms = listener.clock.now_ms()
        # The request whose bytes come in, and since when its head is incomplete.
        self._target = b""
        self._fields = HeaderFields()
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._body_bytes = 0
        self._in_body = False
        self._head_since_ms: float | None = None
        self._expects = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.transport = None
        # Parser and connection refer to each other; the collector would have to find them.
        self._parser = None
        self._listener.connections.discard(self)
        self._closing = True
        self._cancel_pending()

    def _cancel_pending(self) -> None:
        pending, self._pending = self._pending, deque()
        for reply in pending:
            if reply.work is not None:
                reply.work.cancel()

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        now_ms = self._listener.clock.now_ms()
        self._active_ms = now_ms
        begun = len(self._pending)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            # The request is answered as one without an upgrade; what follows it is none of HTTP.
            self._closing = True
        except HttpParserError as error:
            if not self._closing:
                cause = error.__context__
                self._refuse(cause.status if isinstance(cause, _RequestRefused) else 400)
            return
        if self._in_body or len(self._pending) > begun:
            self._head_since_ms = None
            return
        # The parser keeps the bytes of an incomplete field without telling how many.
        self._raw_head_bytes += len(data)
        if self._head_since_ms is None:
            self._head_since_ms = now_ms
        if self._raw_head_bytes > self._limits.header_bytes:
            self._refuse(431)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request under the limits that are in force now."""
        self._limits = self._listener.limits()
        self._target, self._fields, self._body = b"", HeaderFields(), []
        self._head_bytes = self._raw_head_bytes = self._body_bytes = 0
        self._expects = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the path."""
        self._target += url
        self._head_bytes += len(url)
        if self._head_bytes > self._limits.header_bytes:
            raise _RequestRefused(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._limits.header_bytes:
            raise _RequestRefused(431)
        self._fields.add(name, value)
        if len(name) == len(_EXPECT) and name.lower() == _EXPECT:
            self._expects = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Tell the caller to go on where it waits for that."""
        self._in_body = True
        if self._expects and not self._pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            raise _RequestRefused(413)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Run the request."""
        self._in_body = False
        method = self._parser.get_method().decode()
        closes = not self._parser.should_keep_alive()
        pending = _PendingReply(method, closes)
        self._pending.append(pending)
        request = BufferedRequest(
            method, decode_text(self._target), self._fields, b"".join(self._body), self.transport
        )
        self._body = []
        pending.work = self._listener.start(request, partial(self._take_answer, pending))
        if closes:
            # Whatever follows is no request.
            self._closing = True
        if len(self._pending) >= PIPELINE_LIMIT and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _take_answer(self, pending: _PendingReply, answer: BufferedResponse | None) -> None:
        pending.answer, pending.done, pending.work = answer, True, None
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self._pending and self._pending[0].done and self.transport is not None:
            pending = self._pending.popleft()
            if pending.answer is None:
                self.transport.abort()
                return
            # A close behind which requests already run would leave them without an answer.
            closes = pending.closes or (self._listener.leaving and not self._pending)
            self.transport.write(_serialize(pending, closes))
            self._active_ms = self._listener.clock.now_ms()
            if closes:
                self._close()
                return
        if self._paused and len(self._pending) < PIPELINE_LIMIT and self.transport is not None:
            self._paused = False
            self.transport.resume_reading()

    def _close(self) -> None:
        self._closing = True
        self._cancel_pending()
        if self.transport is not None:
            self.transport.close()

    def _refuse(self, status: int) -> None:
        """Answer a malformed head after the requests before it."""
        pending = _PendingReply("GET", True)
        pending.answer, pending.done = BufferedResponse(status, []), True
        self._pending.append(pending)
        self._closing = True
        self._flush()

    @property
    def busy(self) -> bool:
        """Return whether a request has no answer yet."""
        return bool(self._pending)

    def sweep(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection where it was idle, or a head incomplete, for too long."""
        if self._pending or self.transport is None:
            return
        if self._head_since_ms is not None:
            if now_ms - self._head_since_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif now_ms - self._active_ms > limits.idle_timeout_ms:
            self._close()

    def leave(self) -> None:
        """Close the connection if it is idle."""
        if not self._pending and self._head_since_ms is None:
            self._close()


def _serialize(pending: _PendingReply, closes: bool) -> bytes:
    answer = pending.answer
    text = f"HTTP/1.1 {answer.status} {PHRASES.get(answer.status, 'Unknown')}\r\n{answer.fields}"
    if answer.headers:
        text += render_fields(answer.headers)
    if answer.status not in BODILESS_STATUS and pending.method != "HEAD":
        text += f"Content-Length: {len(answer.body)}\r\n"
    text += "Connection: close\r\n\r\n" if closes else "\r\n"
    head = text.encode("utf-8", "surrogateescape")
    return head if pending.method == "HEAD" else head + answer.body


class PipelineListener:
    """Listen on one address and start to answer each request.

    The work for a request is cancelled when its caller closes the connection.

    Attributes:
        connections: Open connections.
        leaving: Whether connections close after their last answer.
    """

    def __init__(
        self,
        start: RequestStarter,
        clock: Clock,
        limits: Callable[[], CallerLimits] = CallerLimits,
    ):
        """Create a listener that is not open yet.

        Args:
            start: Starts to answer one request; `start_in_task` makes one of a handler.
            clock: Clock of idle times.
            limits: Returns the present limits for callers.
        """
        self.start = start
        self.clock = clock
        self.limits = limits
        self.leaving = False
        self.connections: set[_Connection] = set()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    async def open(self, host: str, port: int) -> None:
        """Start to listen.

        Args:
            host: IP address.
            port: TCP port, or 0 for any.

        Raises:
            OSError: The address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweeper = loop.create_task(self._sweep())

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep_ms(SWEEP_MS)
            now_ms, limits = self.clock.now_ms(), self.limits()
            for connection in list(self.connections):
                connection.sweep(now_ms, limits)

    @property
    def busy(self) -> int:
        """Return the number of connections that wait for an answer."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections that wait for nothing."""
        for connection in list(self.connections):
            connection.leave()

    async def close(self) -> None:
        """Stop to listen and close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection._close()
