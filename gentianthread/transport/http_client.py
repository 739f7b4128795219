"""Send requests to the target over pooled HTTP connections.

The pool uses the HTTP protocol class of aiohttp without its client session: the session repeats
some requests by itself on a closed connection, and does not report whether bytes were sent.
"""

import asyncio
import secrets
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..errors import ConnectionLost, DialError, TransportError
from ..events import ANSWER_UNMATCHED
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from .http_names import REQUEST_ID
from .pooled_connection import PooledConnection, TargetProtocol, check_framing, serialize_head

# Connections that are opened concurrently; more would overload a target that restarts.
MAX_CONCURRENT_DIALS = 4

# An idle connection is not reused after this time: targets and networks drop idle connections,
# sometimes without closing them.
IDLE_LIMIT_MS = 15_000.0

# A request that must not run twice uses only connections that were idle for at most this time, as
# the target may close an older one while the request is in transit.
RECENT_IDLE_LIMIT_MS = 1_000.0

# For this time after an answer that echoed its request id, a connection whose answers echo none is
# used for one request only. Afterwards the target counts as one that echoes nothing.
ECHO_MEMORY_MS = 60_000.0

# Answers that do not match their request are logged at most once in this time, as a target may
# repeat each of them.
UNMATCHED_LOG_INTERVAL_MS = 1_000.0

# Bodies up to this length are read before a connection is acquired and sent together with the head.
INLINE_BODY_BYTES = 16 * 1024

# Number of body bytes after which the response to a probe is read no further.
PROBE_LIMIT_BYTES = 1024


class Body(ABC):
    """Read the bytes of a request body in order.

    Attributes:
        length: Length in bytes, or None if it is unknown.
    """

    length: int | None

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next bytes, or None after the end.

        Raises:
            TransportError: The body ended early.
        """


class BytesBody(Body):
    """Provide a body from bytes in memory."""

    def __init__(self, data: bytes):
        """Create a body.

        Args:
            data: The body.
        """
        self.length = len(data)
        self._data: bytes | None = data or None

    async def read(self) -> bytes | None:
        """Return the body once, then None."""
        data, self._data = self._data, None
        return data


class TargetResponse(ABC):
    """Store the head of a response and read its body.

    Attributes:
        status: HTTP status.
        headers: Header fields in order.
        has_body: Whether body bytes may follow.
    """

    status: int
    headers: list[tuple[str, str]]
    has_body: bool

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next body bytes, or None after the end of a complete body.

        Raises:
            ConnectionLost: The response is truncated.
        """

    def receive_rest_nowait(self) -> bytes | None:
        """Return the complete body if it was received and none of it was read; None otherwise."""
        return None

    @abstractmethod
    def close(self) -> None:
        """Discard the rest of the response; a connection with unread bytes is closed."""


class TargetClient(ABC):
    """Send requests to one target."""

    @abstractmethod
    async def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: Body | None,
        *,
        recent_only: bool = False,
    ) -> TargetResponse:
        """Send a request and return the response once its head is received.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Header fields without Content-Length and Transfer-Encoding.
            body: The request body, if any.
            recent_only: Whether only recently used connections may be reused.

        Raises:
            DialError: No connection could be opened; nothing was sent.
            ConnectionLost: The connection failed after bytes may have been sent.
            TransportError: The request body ended early.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""

    async def probe(self, path: str, timeout_ms: float) -> bytes:
        """Send a GET request and return the start of the body, or nothing unless the status is 200.

        Args:
            path: Path of the probe.
            timeout_ms: Timeout of the exchange.

        Raises:
            TransportError: The target did not respond.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                response = await self.exchange("GET", path, [], None, recent_only=True)
                try:
                    body = b""
                    while len(body) < PROBE_LIMIT_BYTES and (chunk := await response.read()):
                        body += chunk
                    return body if response.status == 200 else b""
                finally:
                    response.close()
        except TimeoutError:
            raise ConnectionLost("target", f"no answer to a probe in {timeout_ms} ms") from None


class HttpTargetClient(TargetClient):
    """Send requests over a bounded pool of HTTP/1.1 connections to one address.

    Each request has an id that no other one has; a request without the field gets one here. An
    answer that echoes another id is never returned.

    Attributes:
        open_connections: Number of connections that are open or being opened.
        dialled: Number of connections opened so far.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limit: Callable[[], int],
        clock: Clock,
        metrics: Metrics | None = None,
    ):
        """Create an empty pool.

        Args:
            host: IP address of the target.
            port: Its TCP port.
            limit: Returns the number of connections that the target accepts.
            clock: Clock of idle times.
            metrics: Counts answers that do not match their request.
        """
        self.host = host
        self.port = port
        self._limit = limit
        self._clock = clock
        self._idle: deque[PooledConnection] = deque()
        self._waiters: deque[asyncio.Future] = deque()
        self._dial_slots = asyncio.Semaphore(MAX_CONCURRENT_DIALS)
        self._closed = False
        self._metrics = metrics or MemoryMetrics()
        self._echoed_at_ms = float("-inf")
        self._unmatched_logged_at_ms = float("-inf")
        self._own_id_prefix = secrets.token_hex(8)
        self._own_id_count = 0
        self.open_connections = 0
        self.dialled = 0

    async def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: Body | None,
        *,
        recent_only: bool = False,
    ) -> TargetResponse:
        """Send a request on a pooled connection."""
        request_id = _request_id(headers)
        if request_id is None:
            request_id = self._create_id()
            headers = [*headers, (REQUEST_ID, request_id)]
        inline_body = b""
        if body is not None and body.length is not None and body.length <= INLINE_BODY_BYTES:
            inline_body = await read_all(body)
            head = serialize_head(method, target, headers, len(inline_body))
            body = None
        elif body is not None:
            head = serialize_head(method, target, headers, body.length, chunked=True)
        else:
            head = serialize_head(method, target, headers, None)
        connection = await self._acquire(recent_only)
        return await self._send(connection, method, request_id, head + inline_body, body)

    async def _send(
        self,
        connection: PooledConnection,
        method: str,
        request_id: str,
        data: bytes,
        body: Body | None,
    ) -> TargetResponse:
        protocol = connection.protocol
        sending = None
        try:
            connection.send(method, data)
            if body is not None:
                sending = asyncio.ensure_future(_send_body(protocol, body))
                sending.add_done_callback(_body_error)
            message, payload = await connection.read_head(
                request_id, lambda problem: self._report_unmatched(request_id, problem)
            )
            if connection.echoes:
                self._echoed_at_ms = self._clock.now_ms()
            has_body = check_framing(method, message)
        except BaseException as error:
            body_error = None if sending is None else _body_error(sending)
            if sending is not None:
                sending.cancel()
            self._discard(connection)
            if isinstance(error, Exception) and body_error is not None:
                raise body_error from error
            if isinstance(error, Exception) and not isinstance(error, ConnectionLost):
                raise ConnectionLost("target", f"{type(error).__name__}: {error}") from error
            raise
        return HttpTargetResponse(self, connection, message, payload, has_body, sending)

    def _create_id(self) -> str:
        self._own_id_count += 1
        return f"{self._own_id_prefix}.{self._own_id_count}"

    def _report_unmatched(self, request_id: str, problem: str) -> None:
        self._metrics.count("target.unmatched_answers")
        now_ms = self._clock.now_ms()
        if now_ms - self._unmatched_logged_at_ms >= UNMATCHED_LOG_INTERVAL_MS:
            self._unmatched_logged_at_ms = now_ms
            log(ANSWER_UNMATCHED, request_id=request_id, problem=problem)

    def _reusable(self, connection: PooledConnection) -> bool:
        """Return whether a connection may carry another request."""
        if not connection.usable():
            return False
        target_echoes = self._clock.now_ms() - self._echoed_at_ms < ECHO_MEMORY_MS
        return connection.echoes or not target_echoes

    async def _acquire(self, recent_only: bool) -> PooledConnection:
        while True:
            if self._closed:
                raise DialError("target", "pool is closed")
            connection = self._take_idle(recent_only)
            if connection is not None:
                return connection
            if self.open_connections < max(1, self._limit()):
                return await self._dial()
            if self._idle:
                self._discard(self._idle.popleft())
                continue
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise

    def _take_idle(self, recent_only: bool) -> PooledConnection | None:
        now_ms = self._clock.now_ms()
        skipped = []
        available = None
        while self._idle and available is None:
            connection = self._idle.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if (
                idle_ms > IDLE_LIMIT_MS
                or not self._reusable(connection)
                or not connection.has_no_unread_input()
            ):
                self._discard(connection)
            elif recent_only and idle_ms > RECENT_IDLE_LIMIT_MS:
                skipped.append(connection)
            else:
                available = connection
        self._idle.extend(reversed(skipped))
        return available

    async def _dial(self) -> PooledConnection:
        self.open_connections += 1
        try:
            async with self._dial_slots:
                loop = asyncio.get_running_loop()
                _, protocol = await loop.create_connection(
                    lambda: TargetProtocol(loop), self.host, self.port
                )
                self.dialled += 1
                return PooledConnection(protocol)
        except BaseException as error:
            self.open_connections -= 1
            self._wake_waiter()
            if isinstance(error, OSError):
                raise DialError("target", str(error)) from error
            raise

    def _release(self, connection: PooledConnection) -> None:
        if self._closed or not self._reusable(connection):
            self._discard(connection)
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)
        self._wake_waiter()

    def _discard(self, connection: PooledConnection) -> None:
        connection.protocol.abort()
        self.open_connections -= 1
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    async def close(self) -> None:
        """Close the idle connections; others are closed when they are released."""
        self._closed = True
        while self._idle:
            self._discard(self._idle.pop())
        while self._waiters:
            self._wake_waiter()


class HttpTargetResponse(TargetResponse):
    """Read a response from a pooled connection."""

    __slots__ = ("_connection", "_payload", "_pool", "_sending", "has_body", "headers", "status")

    def __init__(
        self,
        pool: HttpTargetClient,
        connection: PooledConnection,
        message: Any,
        payload: Any,
        has_body: bool,
        sending: asyncio.Future | None,
    ):
        """Use `HttpTargetClient.exchange` to create one."""
        self._pool = pool
        self._connection: PooledConnection | None = connection
        self._payload = payload
        self._sending = sending
        self.status = message.code
        self.headers = list(message.headers.items())
        self.has_body = has_body

    async def read(self) -> bytes | None:
        """Return the next body bytes."""
        if self._connection is None:
            return None
        try:
            data = await self._payload.readany()
        except asyncio.CancelledError:
            self._drop()
            raise
        except Exception as error:  # aiohttp raises several types for a body that ends early.
            self._drop()
            raise ConnectionLost("target", f"answer truncated: {type(error).__name__}") from error
        if data:
            return data
        self.close()
        return None

    def receive_rest_nowait(self) -> bytes | None:
        """Return the body and release the connection, if the body is complete."""
        payload = self._payload
        if self._connection is None or payload.exception() is not None:
            return None
        if not payload.is_eof():
            return None
        data = payload.read_nowait()
        self.close()
        return data

    def close(self) -> None:
        """Release the connection, or close it if the exchange is incomplete."""
        connection = self._connection
        if connection is None:
            return
        sent = self._sending is None or (self._sending.done() and not self._sending.cancelled())
        if sent and self._payload.is_eof() and self._payload.exception() is None:
            self._connection = None
            self._pool._release(connection)
        else:
            self._drop()

    def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if self._sending is not None:
            self._sending.cancel()
        if connection is not None:
            self._pool._discard(connection)


def _request_id(headers: list[tuple[str, str]]) -> str | None:
    return next((value for name, value in reversed(headers) if name == REQUEST_ID), None)


async def read_all(body: Body) -> bytes:
    """Return all bytes of a body."""
    chunks = []
    while (chunk := await body.read()) is not None:
        chunks.append(chunk)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


async def _send_body(protocol: TargetProtocol, body: Body) -> None:
    """Send a body; abort the connection if reading it fails, so that the target sees no end."""
    chunked = body.length is None
    try:
        while (data := await body.read()) is not None:
            transport = protocol.transport
            if transport is None:
                return
            transport.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
            await protocol._drain_helper()
        if chunked and protocol.transport is not None:
            protocol.transport.write(b"0\r\n\r\n")
    except Exception:
        if protocol.transport is not None:
            protocol.transport.abort()
        raise


def _body_error(sending: asyncio.Future) -> TransportError | None:
    """Return the error of reading the request body, if that stopped sending it."""
    body_error = sending.exception() if sending.done() and not sending.cancelled() else None
    return body_error if isinstance(body_error, TransportError) else None
