"""Serve HTTP/1.1 with buffered messages; pipelined requests run concurrently.

Responses are written in the order of their requests. The parser is that of `httptools`. The server
class of aiohttp runs the requests of a connection one after the other, so that each pipelined
request would wait for the previous one, and its parser takes twice the time and 13 MB of memory.
"""

import asyncio
from collections.abc import Callable
from random import Random

from ..clock import Clock
from ..state.fleet_plan import CallerLimits
from ..state.memory_budget import SMALL_HOLDER_BYTES, MemoryBudget
from .caller_connection import CallerConnection
from .http_messages import (
    BufferedRequest,
    BufferedResponse,
    DeliverResponse,
    Handler,
    RequestStarter,
    start_in_task,
)

__all__ = (
    "BufferedRequest",
    "BufferedResponse",
    "DeliverResponse",
    "Handler",
    "PipelineListener",
    "RequestStarter",
    "start_in_task",
)

# Connections that the kernel queues until the process accepts them.
BACKLOG = 1024

# Interval of the checks for idle connections and incomplete heads.
SWEEP_INTERVAL_MS = 500.0

# Interval of the checks for free memory while connections wait for it.
MEMORY_CHECK_INTERVAL_MS = 50.0

# Bytes that the event loop reads from a connection at once.
READ_BYTES = 256 * 1024

# Defaults of `PipelineListener.stalled_ms` and `memory_wait_ms`.
STALLED_MS = 1_000.0
MEMORY_WAIT_MS = 5_000.0


class PipelineListener:
    """Listen on one address and start the work for each request.

    The work for a request is cancelled when its caller closes the connection.

    Attributes:
        connections: Open connections.
        leaving: Whether connections close after the response to their last pending request.
        memory: Memory that requests and responses hold.
        max_connections: Returns how many connections may be open.
        stalled_ms: Time without progress after which an incomplete request is refused if others
            wait for memory.
        memory_wait_ms: Time after which an incomplete request that itself waits is refused.
        on_refusal: Called with the reason when a request or connection is refused for lack of
            memory or descriptors.
        port: TCP port, or 0 before `open`.
    """

    def __init__(
        self,
        start: RequestStarter,
        clock: Clock,
        limits: Callable[[], CallerLimits] = CallerLimits,
        memory: MemoryBudget | None = None,
        random: Random | None = None,
    ):
        """Create a listener that is not open yet.

        Args:
            start: Starts to handle a request; `start_in_task` creates one from a handler.
            clock: Clock of timeouts.
            limits: Returns the current limits for callers.
            memory: Memory of the process; unbounded by default.
            random: Source of the times in Retry-After.
        """
        self.start = start
        self.clock = clock
        self.limits = limits
        self.leaving = False
        self.memory = MemoryBudget() if memory is None else memory
        self.random = Random() if random is None else random
        self.max_connections: Callable[[], float] = lambda: float("inf")
        self.stalled_ms = STALLED_MS
        self.memory_wait_ms = MEMORY_WAIT_MS
        self.on_refusal: Callable[[str], None] = lambda reason: None
        self.connections: set[CallerConnection] = set()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task | None = None
        # Connections that wait for memory, in order, and the timer of the next check.
        self._waiting: dict[CallerConnection, float] = {}
        self._memory_timer: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int) -> None:
        """Start listening.

        Args:
            host: IP address.
            port: TCP port, or 0 for any free one.

        Raises:
            OSError: The address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, host, port, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]
        self._sweep_task = loop.create_task(self._sweep())

    def _make_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection; another one is closed if there are too many."""
        if len(self.connections) >= self.max_connections():
            oldest = self._longest_inactive()
            self.record_refusal("too many connections")
            if oldest is None:
                return _RejectedConnection()
            oldest.abort()
        return CallerConnection(self)

    def _longest_inactive(self) -> CallerConnection | None:
        """Return the connection to close in favour of a new one; none that waits for a response."""
        candidates = [connection for connection in self.connections if not connection.busy]
        return min(
            candidates,
            key=lambda connection: (not connection.incomplete, connection.active_at_ms),
            default=None,
        )

    def forget(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self._waiting.pop(connection, None)

    def record_refusal(self, reason: str) -> None:
        """Count and report a refusal for lack of memory or descriptors."""
        self.memory.record_refusal(reason)
        self.on_refusal(reason)

    def admits(self, connection: CallerConnection, size_bytes: int) -> bool:
        """Return whether a complete request, which is charged already, may start.

        Args:
            connection: Its connection.
            size_bytes: Memory that it holds.
        """
        self._evict_overfull()
        if self.memory.is_full(size_bytes):
            self.record_refusal("no memory for the request")
            return False
        if connection.held_bytes > SMALL_HOLDER_BYTES:
            self._wait_for_memory(connection)
        return True

    def give_way(self, connection: CallerConnection) -> None:
        """Handle a connection that received a part of a request while memory is short."""
        self._evict_overfull()
        if (
            connection.held_bytes > SMALL_HOLDER_BYTES
            and self.memory.favoured(self.stalled_ms) is not connection
        ):
            self._wait_for_memory(connection)

    def _evict_overfull(self) -> None:
        while (victim := self.memory.overfull_victim()) is not None:
            victim.evict()

    def _wait_for_memory(self, connection: CallerConnection) -> None:
        if connection in self._waiting:
            return
        self._waiting[connection] = self.clock.now_ms()
        connection.pause_for_memory()
        self._check_memory_later()

    def _check_memory_later(self) -> None:
        if self._memory_timer is None:
            loop = asyncio.get_running_loop()
            self._memory_timer = loop.call_later(
                MEMORY_CHECK_INTERVAL_MS / 1000, self._check_memory
            )

    def _check_memory(self) -> None:
        """Let waiting connections read on as far as memory is free; refuse those that stall."""
        self._memory_timer = None
        memory = self.memory
        if memory.is_short():
            self._evict_stalled()
        room_bytes = memory.room_bytes()
        favoured = memory.favoured(self.stalled_ms)
        for connection in list(self._waiting):
            has_room = room_bytes >= READ_BYTES
            if has_room or connection is favoured or connection.held_bytes <= SMALL_HOLDER_BYTES:
                room_bytes -= READ_BYTES
                del self._waiting[connection]
                connection.resume_for_memory()
        if self._waiting:
            self._check_memory_later()

    def _evict_stalled(self) -> None:
        """Refuse the requests that make no progress, until memory is no longer short."""
        memory, now_ms = self.memory, self.clock.now_ms()
        stalled = [
            holder
            for holder in memory.incomplete()
            if holder not in self._waiting and memory.idle_ms(holder) > self.stalled_ms
        ]
        stalled += [
            connection
            for connection, since_ms in self._waiting.items()
            if now_ms - since_ms > self.memory_wait_ms and memory.incomplete_bytes(connection)
        ]
        stalled.sort(key=memory.incomplete_bytes, reverse=True)
        for holder in stalled:
            if not memory.is_short():
                return
            holder.evict()

    async def _sweep(self) -> None:
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            now_ms, limits = self.clock.now_ms(), self.limits()
            for connection in list(self.connections):
                connection.sweep(now_ms, limits)
            self._evict_overfull()

    @property
    def busy(self) -> int:
        """Return the number of connections with a request whose response is not yet received.

        What the system still has to send is lost if the process ends and the caller sends more.
        """
        return sum(
            connection.busy or (self.leaving and connection.has_unreceived)
            for connection in self.connections
        )

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        if self._memory_timer is not None:
            self._memory_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class _RejectedConnection(asyncio.Protocol):
    """Reset a connection for which there is no descriptor."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        transport.abort()
