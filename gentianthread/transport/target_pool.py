"""Exchange buffered HTTP messages with the target of a node over pooled connections."""

import asyncio
import re
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from ..clock import Clock
from ..errors import ConnectionLost, DialError
from ..state.idle_limit import MIN_IDLE_MS, IdleLimit
from ..state.memory_budget import MemoryBudget
from .http_messages import LARGE_BODY_BYTES, BufferedResponse
from .http_names import HOP_BY_HOP
from .response_memory import BODY_LIMIT_BYTES, ResponseMemory
from .target_connection import (
    OnStray,
    TargetConnection,
    TargetRequest,
    TargetResponse,
)

# Fraction of the idle timeout stated by the target for which an idle connection is reused.
KEEP_ALIVE_FRACTION = 0.8

# A request that may not be sent twice uses only connections that were idle for at most this time:
# the target may have dropped an older one, and after a reset it is unknown whether the request ran.
NO_RESEND_IDLE_LIMIT_MS = MIN_IDLE_MS

# Time after which a crashed target no longer listens on its port.
CRASH_DETECTION_MS = 30.0

# A target on the same instance accepts a connection within milliseconds.
DIAL_TIMEOUT_MS = 500.0

# More digits would not fit into a float.
_IDLE_SECONDS = re.compile(r"\d{1,9}", re.ASCII)

# Fields removed from every response. The pool buffers the body, so the node sets its length again.
_REMOVED_FIELDS = HOP_BY_HOP | {"content-length"}


class ReusedConnectionLost(ConnectionLost):
    """Report the failure of a reused connection, which the target may have closed while idle."""


@attrs.define(eq=False)
class PooledResponse:
    """Store a response and how it was received.

    Attributes:
        response: The response without hop-by-hop fields and the pool's `removed_fields`.
        fields: All header fields of the response by their names in lower case.
        connection_number: Number of the connection in the pool.
        request_number: Number of its request on the connection, from 1.
    """

    response: BufferedResponse
    fields: dict[str, str]
    connection_number: int
    request_number: int

    @property
    def on_new_connection(self) -> bool:
        """Return whether its request was the first one on the connection."""
        return self.request_number == 1


class TargetPool:
    """Send requests to one target over pooled connections.

    A connection carries a request only once: the target may repeat the answer to an earlier
    attempt, and the ids in both answers are the same. Idle connections are closed rather than
    exceeding the number that the target accepts.

    Attributes:
        dialled: Number of connections opened so far.
        open_connections: Number of connections that are open or being opened.
        on_stray: Called with a connection that received bytes which belong to no request.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limit: Callable[[], int],
        clock: Clock,
        request_id_field: str,
        source_address: str | None = None,
        removed_fields: Iterable[str] = (),
        dial_timeout_ms: float = DIAL_TIMEOUT_MS,
        memory_limit_bytes: int = BODY_LIMIT_BYTES,
        memory: MemoryBudget | None = None,
    ):
        """Create an empty pool.

        Args:
            host: IP address of the target.
            port: Its TCP port.
            limit: Returns the number of connections that the target accepts.
            clock: Clock of idle times and deadlines.
            request_id_field: Header field in which the target echoes the request id.
            source_address: Local IP address of the connections, or None for any.
            removed_fields: Names of header fields to remove from responses.
            dial_timeout_ms: Timeout for opening a connection.
            memory_limit_bytes: Limit of the incomplete bodies of all connections together.
            memory: Memory of the process; a budget of its own by default.
        """
        self.host = host
        self.port = port
        self.dialled = 0
        self.open_connections = 0
        self.on_stray: OnStray = lambda connection, description: None
        self._limit = limit
        self._clock = clock
        self._request_id_field = request_id_field
        self._removed_fields = _REMOVED_FIELDS | {name.lower() for name in removed_fields}
        self._local_address = None if source_address is None else (source_address, 0)
        self._dial_timeout_ms = dial_timeout_ms
        self._memory = ResponseMemory(memory_limit_bytes, memory)
        self._idle: deque[TargetConnection] = deque()
        self._dialling = 0
        self._idle_limit = IdleLimit()

    def has_open_connection(self) -> bool:
        """Return whether a connection to the target is open, idle or not."""
        in_use = self.open_connections - len(self._idle) - self._dialling
        return in_use > 0 or any(connection.usable for connection in reversed(self._idle))

    async def exchange(
        self, request: TargetRequest, idle_limit_ms: float | None = None
    ) -> PooledResponse:
        """Send a request and return its complete response.

        Cancelling the call closes the connection, which makes the target stop.

        Args:
            request: The request.
            idle_limit_ms: Longest idle time of a connection that is reused; None for the idle
                timeout of the target.

        Raises:
            DialError: No connection could be opened; nothing was sent.
            ReusedConnectionLost: A reused connection failed; the request may have run.
            ConnectionLost: A new connection failed; the request may have run.
            TimeoutError: The response was not complete in time; the request may have run.
        """
        deadline_ms = self._clock.now_ms() + request.timeout_ms
        connection = self._acquire_idle(request, idle_limit_ms)
        if connection is not None:
            try:
                return await self._exchange(connection, request)
            except (ConnectionLost, TimeoutError) as error:
                raise self.record_failure(connection, error) from error
        async with asyncio.timeout(request.timeout_ms / 1000):
            connection = await self._dial()
        remaining_ms = max(0.0, deadline_ms - self._clock.now_ms())
        request = attrs.evolve(request, timeout_ms=remaining_ms)
        self._record_carried(connection, request)
        return await self._exchange(connection, request)

    def start_exchange(
        self,
        request: TargetRequest,
        idle_limit_ms: float | None,
        on_result: Callable[["PooledResponse | Exception"], None],
    ) -> "StartedExchange | None":
        """Send a request on an idle connection without creating a task.

        Args:
            request: The request.
            idle_limit_ms: As in `exchange`.
            on_result: Called once with the response or with an error of `exchange`.

        Returns:
            The exchange, or None if there is no usable idle connection.
        """
        connection = self._acquire_idle(request, idle_limit_ms)
        if connection is None:
            return None
        exchange = StartedExchange(self, connection, on_result)
        connection.start_exchange(request, exchange.handle_result)
        return exchange

    async def _exchange(
        self, connection: TargetConnection, request: TargetRequest
    ) -> PooledResponse:
        try:
            response = await connection.exchange(request)
        except BaseException:
            self._discard(connection)
            raise
        pooled = self.finish(connection, response)
        if connection.ended_by_close:
            await self.check_alive()
        return pooled

    def finish(self, connection: TargetConnection, response: TargetResponse) -> PooledResponse:
        """Release a connection and return the response received on it."""
        pooled = self._build_response(connection, response)
        self.release(connection, response)
        return pooled

    def release(self, connection: TargetConnection, response: TargetResponse | None) -> None:
        """Make a connection idle, or close it if it cannot serve another request.

        Args:
            connection: The connection.
            response: The complete response received on it, or None if there was none.
        """
        if (
            response is None
            or not response.keeps_alive
            or not connection.usable
            or connection.carried.is_full(self._clock.now_ms())
        ):
            self._discard(connection)
            return
        connection.keep_alive_ms = _parse_keep_alive_ms(
            response.fields.first.get("keep-alive"), connection.keep_alive_ms
        )
        self._add_idle(connection)

    def record_failure(self, connection: TargetConnection, error: Exception) -> Exception:
        """Adapt the use of idle connections to a failure on a reused one, and return its error.

        Args:
            connection: The reused connection.
            error: Error of the exchange.
        """
        if not isinstance(error, ConnectionLost):
            self._discard_idle_before(connection.acquired_at_ms)
            return error
        now_ms = self._clock.now_ms()
        idle_ms = connection.acquired_at_ms - connection.idle_since_ms
        self._idle_limit.record_loss(idle_ms, now_ms - connection.acquired_at_ms, now_ms)
        return ReusedConnectionLost(error.peer, error.problem)

    def _build_response(
        self, connection: TargetConnection, response: TargetResponse
    ) -> PooledResponse:
        """Return the last response of a connection without the removed header fields."""
        headers = response.fields.without(self._removed_fields)
        body = response.body
        if len(body) < LARGE_BODY_BYTES:
            body = bytes(body)
        buffered = BufferedResponse(response.status, headers, body)
        return PooledResponse(
            buffered, response.fields.first, connection.number, connection.request_count
        )

    async def check_alive(self) -> None:
        """Check that the target did not crash during a response that ended with its connection.

        A crash closes the connection just as the end of such a response does, but afterwards
        nothing listens on the port of the target.

        Raises:
            ConnectionLost: The target is gone, so the response may be truncated.
        """
        try:
            await self._dial_after_loss()
        except DialError as error:
            raise ConnectionLost("target", "gone after an answer without a length") from error

    async def has_crashed(self) -> bool:
        """Return whether the target no longer listens on its port, after a connection was lost."""
        try:
            await self._dial_after_loss()
        except DialError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    async def _dial_after_loss(self) -> None:
        """Open an idle connection once a crash of the target would show.

        Raises:
            DialError: No connection could be opened.
        """
        await self._clock.sleep_ms(CRASH_DETECTION_MS)
        self._add_idle(await self._dial())

    def _acquire_idle(
        self, request: TargetRequest, limit_ms: float | None
    ) -> TargetConnection | None:
        """Return the usable connection that was idle for the shortest time, or None.

        Args:
            request: The request that it is to carry.
            limit_ms: Longest idle time, or None.
        """
        passed_over: list[TargetConnection] = []
        now_ms = self._clock.now_ms()
        connection = self._pop_idle(now_ms, limit_ms)
        while connection is not None and request.request_id in connection.carried:
            passed_over.append(connection)
            connection = self._pop_idle(now_ms, limit_ms)
        self._idle.extend(reversed(passed_over))
        if connection is not None:
            connection.acquired_at_ms = now_ms
            self._record_carried(connection, request)
        return connection

    def _pop_idle(self, now_ms: float, limit_ms: float | None) -> TargetConnection | None:
        learned_ms = self._idle_limit.limit_ms(now_ms)
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.usable or idle_ms > min(learned_ms, connection.keep_alive_ms):
                self._idle.pop()
                self._discard(connection)
                continue
            if limit_ms is not None and idle_ms > limit_ms:
                return None
            return self._idle.pop()
        return None

    def _record_carried(self, connection: TargetConnection, request: TargetRequest) -> None:
        if request.request_id:
            now_ms = self._clock.now_ms()
            connection.carried.add(request.request_id, now_ms + request.timeout_ms, now_ms)

    async def _dial(self) -> TargetConnection:
        while self.open_connections >= max(1, self._limit()) and self._idle:
            self._discard(self._idle.popleft())
        loop = asyncio.get_running_loop()
        self.open_connections += 1
        self._dialling += 1
        try:
            async with asyncio.timeout(self._dial_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(
                        loop, self._request_id_field, self._memory, self._report_stray
                    ),
                    self.host,
                    self.port,
                    local_addr=self._local_address,
                )
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, OSError | TimeoutError):
                raise DialError("target", str(error) or type(error).__name__) from error
            raise
        finally:
            self._dialling -= 1
        self.dialled += 1
        connection.number = self.dialled
        return connection

    def _report_stray(self, connection: TargetConnection, description: str) -> None:
        self.on_stray(connection, description)

    def _add_idle(self, connection: TargetConnection) -> None:
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def _discard_idle_before(self, time_ms: float) -> None:
        """Close the idle connections that were last used before a time.

        A connection that received nothing until a timeout may be dead, and so may those that were
        idle when its request was sent.
        """
        while self._idle and self._idle[0].idle_since_ms <= time_ms:
            self._discard(self._idle.popleft())

    def _discard(self, connection: TargetConnection) -> None:
        self.open_connections -= 1
        connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())


class StartedExchange:
    """Complete an exchange on a reused connection through callbacks, without a task."""

    def __init__(
        self,
        pool: TargetPool,
        connection: TargetConnection,
        on_result: Callable[[PooledResponse | Exception], None],
    ):
        """Use `TargetPool.start_exchange` to create one."""
        self._pool = pool
        self._connection = connection
        self._on_result = on_result
        self._done = False
        self._completion: asyncio.Task | None = None

    def handle_result(self, result: TargetResponse | Exception) -> None:
        """Handle the result of the exchange, which the connection reports."""
        self._done = True
        if isinstance(result, TargetResponse):
            pooled = self._pool.finish(self._connection, result)
            if self._connection.ended_by_close:
                self._completion = asyncio.ensure_future(self._complete(pooled))
            else:
                self._on_result(pooled)
            return
        self._pool.release(self._connection, None)
        self._on_result(self._pool.record_failure(self._connection, result))

    async def _complete(self, pooled: PooledResponse) -> None:
        """Report a response that ended with its connection, or its loss if the target crashed."""
        try:
            await self._pool.check_alive()
        except ConnectionLost as error:
            self._on_result(self._pool.record_failure(self._connection, error))
        else:
            self._on_result(pooled)

    def cancel(self) -> None:
        """Close the connection, which makes the target stop, without calling `on_result`."""
        if self._completion is not None:
            self._completion.cancel()
        elif not self._done:
            self._done = True
            self._connection.abandon_exchange()
            self._pool.release(self._connection, None)


def _parse_keep_alive_ms(keep_alive: str | None, default_ms: float) -> float:
    """Return how long a connection may be idle.

    Args:
        keep_alive: Value of the Keep-Alive field of a response, if any.
        default_ms: Result if the field states no timeout.
    """
    for parameter in (keep_alive or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and _IDLE_SECONDS.fullmatch(value):
            return int(value) * 1_000 * KEEP_ALIVE_FRACTION
    return default_ms
