"""Serve HTTP/1.1 with buffered messages; pipelined requests run concurrently.

Responses are written in the order of their requests. The parser is that of `httptools`. The server
class of aiohttp runs the requests of a connection one after the other, so that each pipelined
request would wait for the previous one, and its parser takes twice the time and 13 MB of memory.
"""

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..state.fleet_plan import CallerLimits
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
        self.connections: set[CallerConnection] = set()
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
            lambda: CallerConnection(self), host, port, backlog=BACKLOG
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
