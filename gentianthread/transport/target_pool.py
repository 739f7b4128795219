"""Exchange whole HTTP messages with the target of a node over kept connections."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from ..clock import Clock
from ..errors import ConnectionLost, DialError
from ..state.idle_limit import LEAST_MS, IdleLimit
from .http_names import HOP_BY_HOP
from .http_pipeline import BufferedResponse
from .target_connection import TargetConnection, TargetRequest, TargetResponse

# An idle connection is reused for this part of the time that the target keeps it.
KEEP_PART = 0.8

# A request that may not be sent twice uses only connections that were active this recently: the
# target may have forgotten an older one, and a reset would leave open whether the request has run.
NO_RESEND_IDLE_LIMIT_MS = LEAST_MS

# Time after which a crashed target no longer listens.
CRASH_SHOWS_MS = 30.0

# A target on the same instance accepts within milliseconds.
DIAL_TIMEOUT_MS = 500.0

# The pool has read the body whole, and the node states its length anew.
_DROPPED = HOP_BY_HOP | {"content-length"}


class ReusedConnectionLost(ConnectionLost):
    """Report the failure of a kept connection; the target may have closed it before."""


@attrs.define(eq=False)
class PooledResponse:
    """Hold an answer and where it came from.

    Attributes:
        response: The answer without the fields of the connection and those that are kept back.
        fields: All header fields by their names in lower case.
        on_new_connection: Whether nothing was sent on the connection before.
    """

    response: BufferedResponse
    fields: dict[str, str]
    on_new_connection: bool


class TargetPool:
    """Keep a bounded number of connections to one target.

    Attributes:
        dialled: Connections opened so far.
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
    ):
        """Create an empty pool.

        Args:
            host: IP address of the target.
            port: Its TCP port.
            limit: Returns how many connections the target accepts.
            clock: Clock of idle times.
            request_id_field: Field in which the target echoes the id of a request.
            source_address: IP address that connections come from, or None for any.
            removed_fields: Names of header fields that answers are handed on without.
            dial_timeout_ms: Longest time until a connection is open.
        """
        self.host = host
        self.port = port
        self.dialled = 0
        self.open_connections = 0
        self._limit = limit
        self._clock = clock
        self._request_id_field = request_id_field
        self._dropped = _DROPPED | {name.lower() for name in removed_fields}
        self._source = None if source_address is None else (source_address, 0)
        self._dial_timeout_ms = dial_timeout_ms
        self._idle: deque[TargetConnection] = deque()
        self._idle_limit = IdleLimit()

    async def exchange(
        self, request: TargetRequest, idle_limit_ms: float | None = None
    ) -> PooledResponse:
        """Send a request and return its whole answer.

        Cancelling the call closes the connection, which tells the target to stop.

        Args:
            request: The request.
            idle_limit_ms: A kept connection that was idle for longer is not used; None for as long
                as the target keeps it.

        Raises:
            DialError: No connection could be opened; nothing was sent.
            ReusedConnectionLost: A kept connection failed; the request may have run.
            ConnectionLost: A new connection failed; the request may have run.
            TimeoutError: The answer was not whole in time; the request may have run.
        """
        until_ms = self._clock.now_ms() + request.timeout_ms
        connection = self._take_idle(idle_limit_ms)
        if connection is not None:
            try:
                return await self._exchange(connection, request)
            except (ConnectionLost, TimeoutError) as error:
                raise self.lost(connection, error) from error
        async with asyncio.timeout(request.timeout_ms / 1000):
            connection = await self._dial()
        left_ms = max(0.0, until_ms - self._clock.now_ms())
        return await self._exchange(connection, attrs.evolve(request, timeout_ms=left_ms))

    def start_exchange(
        self,
        request: TargetRequest,
        idle_limit_ms: float | None,
        on_end: Callable[["PooledResponse | Exception"], None],
    ) -> "KeptExchange | None":
        """Send a request on a kept connection without a task.

        Args:
            request: The request.
            idle_limit_ms: As in `exchange`.
            on_end: Called once with the answer or with an error of `exchange`.

        Returns:
            What cancels the exchange, or None where there is no kept connection.
        """
        connection = self._take_idle(idle_limit_ms)
        if connection is None:
            return None
        exchange = KeptExchange(self, connection, on_end)
        connection.start_exchange(request, exchange.end)
        return exchange

    async def _exchange(
        self, connection: TargetConnection, request: TargetRequest
    ) -> PooledResponse:
        is_new = connection.used == 0
        try:
            answer = await connection.exchange(request)
        except BaseException:
            self._drop(connection)
            raise
        return await self.finish(connection, answer, is_new=is_new)

    async def finish(
        self, connection: TargetConnection, answer: TargetResponse, *, is_new: bool
    ) -> PooledResponse:
        """Give a connection back and return the answer that came over it.

        Raises:
            ConnectionLost: The answer ended with its connection, and the target is gone.
        """
        self.give_back(connection, answer)
        if connection.ended_by_close:
            await self._check_alive()
        return self.pooled(answer, is_new=is_new)

    def give_back(self, connection: TargetConnection, answer: TargetResponse | None) -> None:
        """Keep a connection for the next request, or drop it where there was no whole answer."""
        if answer is None or not answer.keeps_alive or not connection.usable:
            self._drop(connection)
            return
        connection.keep_ms = _kept_ms(answer.fields.first.get("keep-alive"), connection.keep_ms)
        self._keep(connection)

    def lost(self, connection: TargetConnection, error: Exception) -> Exception:
        """Return the error of an exchange on a kept connection, and learn from it."""
        if not isinstance(error, ConnectionLost):
            self._drop_idle_before(connection.taken_ms)
            return error
        now_ms = self._clock.now_ms()
        idle_ms = connection.taken_ms - connection.idle_since_ms
        self._idle_limit.lost(idle_ms, now_ms - connection.taken_ms, now_ms)
        return ReusedConnectionLost(error.peer, error.problem)

    def pooled(self, answer: TargetResponse, *, is_new: bool) -> PooledResponse:
        """Return an answer without the fields that are kept back."""
        kept = answer.fields.without(self._dropped)
        whole = BufferedResponse(answer.status, kept, b"".join(answer.body))
        return PooledResponse(whole, answer.fields.first, is_new)

    async def _check_alive(self) -> None:
        """Check that the target did not crash during an answer that ended with its connection.

        The end of a crashed process looks like the end of such an answer, but nothing listens at
        its port any more.

        Raises:
            ConnectionLost: The target is gone, so the answer may be truncated.
        """
        await self._clock.sleep_ms(CRASH_SHOWS_MS)
        try:
            self._keep(await self._dial())
        except DialError as error:
            raise ConnectionLost("target", "gone after an answer without a length") from error

    def _take_idle(self, limit_ms: float | None) -> TargetConnection | None:
        now_ms = self._clock.now_ms()
        learned_ms = self._idle_limit.limit_ms(now_ms)
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.usable or idle_ms > min(learned_ms, connection.keep_ms):
                self._idle.pop()
                self._drop(connection)
                continue
            if limit_ms is not None and idle_ms > limit_ms:
                return None
            connection.taken_ms = now_ms
            return self._idle.pop()
        return None

    async def _dial(self) -> TargetConnection:
        while self.open_connections >= max(1, self._limit()) and self._idle:
            self._drop(self._idle.popleft())
        loop = asyncio.get_running_loop()
        self.open_connections += 1
        try:
            async with asyncio.timeout(self._dial_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(loop, self._request_id_field),
                    self.host,
                    self.port,
                    local_addr=self._source,
                )
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, OSError | TimeoutError):
                raise DialError("target", str(error) or type(error).__name__) from error
            raise
        self.dialled += 1
        return connection

    def _keep(self, connection: TargetConnection) -> None:
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def _drop_idle_before(self, time_ms: float) -> None:
        """Drop the connections that were last used before a time.

        A connection on which nothing came may have gone silent for good, and those that were idle
        then may have done so too.
        """
        while self._idle and self._idle[0].idle_since_ms <= time_ms:
            self._drop(self._idle.popleft())

    def _drop(self, connection: TargetConnection) -> None:
        self.open_connections -= 1
        connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._drop(self._idle.pop())


class KeptExchange:
    """Follow an exchange on a kept connection that needs no task."""

    def __init__(
        self,
        pool: TargetPool,
        connection: TargetConnection,
        on_end: Callable[[PooledResponse | Exception], None],
    ):
        """Use `TargetPool.begin` to create one."""
        self._pool = pool
        self._connection = connection
        self._on_end = on_end
        self._ended = False
        self._check: asyncio.Task | None = None

    def end(self, result: TargetResponse | Exception) -> None:
        """Take the outcome from the connection."""
        self._ended = True
        if isinstance(result, TargetResponse):
            if self._connection.ended_by_close:
                self._check = asyncio.ensure_future(self._finish(result))
                return
            self._pool.give_back(self._connection, result)
            self._on_end(self._pool.pooled(result, is_new=False))
            return
        self._pool.give_back(self._connection, None)
        self._on_end(self._pool.lost(self._connection, result))

    async def _finish(self, answer: TargetResponse) -> None:
        """End once the target has shown that its answer was not cut by a crash."""
        try:
            found = await self._pool.finish(self._connection, answer, is_new=False)
        except ConnectionLost as error:
            self._on_end(self._pool.lost(self._connection, error))
        else:
            self._on_end(found)

    def cancel(self) -> None:
        """Close the connection, which tells the target to stop; nothing is called back."""
        if self._check is not None:
            self._check.cancel()
        elif not self._ended:
            self._ended = True
            self._connection.forget()
            self._pool.give_back(self._connection, None)


def _kept_ms(keep_alive: str | None, usual_ms: float) -> float:
    """Return how long a connection may be idle, from the target's Keep-Alive field."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return int(value) * 1_000 * KEEP_PART
    return usual_ms
