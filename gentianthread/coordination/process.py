"""Run one node as a process: settings, signals and graceful stop."""

import asyncio
import gc
import json
import signal
import sys
from enum import IntEnum

from ..clock import SystemClock, wall_clock_ms
from ..errors import ConfigurationError, GentianError
from ..ids import NodeIdentity, StartNumber
from ..line_output import LineOutput
from ..logs import make_handler
from ..metrics import MemoryMetrics, Metrics, StatsdMetrics
from ..settings import Settings
from .dump import describe_node
from .services import NodeServices

STATSD_FLUSH_MS = 1_000.0


class ExitCode(IntEnum):
    """Report how a node process ended.

    Attributes:
        STOPPED: No request was aborted.
        CUT_OFF: A second signal, in force after the grace period, aborted requests in flight.
        INVALID_INPUT: The settings, their bundle or their platform adapter are invalid.
        NOT_STARTED: A listener could not be opened.
    """

    STOPPED = 0
    CUT_OFF = 1
    INVALID_INPUT = 2
    NOT_STARTED = 3


class NodeProcess:
    """Run a node until a signal or a newer process of the same upstream stops it.

    Attributes:
        services: The node and the services that it depends on.
        node: The node.
    """

    def __init__(self, settings: Settings):
        """Assemble the parts; must be called on the event loop.

        Args:
            settings: Checked settings.

        Raises:
            ConfigurationError: The bundle or the platform adapter in the settings is invalid.
        """
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = _make_metrics(settings)
        start_number = StartNumber(wall_clock_ms())
        local = NodeIdentity(settings.upstream_id, settings.availability_zone, start_number)
        self.services = NodeServices(settings, local, self.clock, self.metrics)
        self.node = self.services.node
        self._output = LineOutput(sys.stdout)
        self._stop_requested = asyncio.Event()
        self._signal_received = False
        self._forced_stop_requested = asyncio.Event()

    async def run(self) -> ExitCode:
        """Run until SIGTERM, SIGINT or a newer process, and return the exit code."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_stop_signal)
        loop.add_signal_handler(signal.SIGUSR1, self.print_dump)
        try:
            await self.services.start()
        except (OSError, GentianError) as error:
            print(f"not started: {error}", file=sys.stderr)
            return ExitCode.NOT_STARTED
        # Objects created at startup live as long as the process; frozen, they aren't scanned in
        # each garbage collection.
        gc.collect()
        gc.freeze()
        metrics_flush = asyncio.ensure_future(self._flush_metrics())
        superseded_watch = asyncio.ensure_future(self._stop_when_superseded())
        await self._stop_requested.wait()
        code = await self._stop()
        metrics_flush.cancel()
        superseded_watch.cancel()
        return code

    async def _stop_when_superseded(self) -> None:
        """Stop when a newer process serves the same upstream.

        Two processes would both admit requests to the target and could exceed its limit.
        """
        await self.services.members.superseded.wait()
        self._stop_requested.set()

    def _handle_stop_signal(self) -> None:
        # A superseded process stops without a signal, so the first signal that it gets doesn't
        # abort requests.
        if self._signal_received:
            self._forced_stop_requested.set()
        self._signal_received = True
        self._stop_requested.set()

    async def _stop(self) -> ExitCode:
        """Wait for requests in flight, or for a second signal once the grace period is over."""
        await self.services.begin_leaving()
        idle = asyncio.ensure_future(self.node.drain.wait_idle())
        forced = asyncio.ensure_future(self._wait_for_forced_stop())
        await asyncio.wait((idle, forced), return_when=asyncio.FIRST_COMPLETED)
        code = ExitCode.CUT_OFF if self.node.drain.running else ExitCode.STOPPED
        idle.cancel()
        forced.cancel()
        await self.services.stop()
        return code

    async def _wait_for_forced_stop(self) -> None:
        await self.clock.sleep_ms(self.settings.grace_ms)
        await self._forced_stop_requested.wait()

    def print_dump(self) -> None:
        """Write the state dump to standard output as one line."""
        self._output.write(json.dumps(describe_node(self.node)) + "\n")

    async def _flush_metrics(self) -> None:
        while isinstance(self.metrics, StatsdMetrics):
            await self.clock.sleep_ms(STATSD_FLUSH_MS)
            self.metrics.flush()


def _make_metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return MemoryMetrics()
    return StatsdMetrics(settings.statsd.host, settings.statsd.port, settings.statsd_prefix)


def run_node(settings: Settings) -> ExitCode:
    """Run a node process and return its exit code.

    Args:
        settings: Checked settings.
    """

    async def run() -> ExitCode:
        try:
            process = NodeProcess(settings)
        except ConfigurationError as error:
            print(error, file=sys.stderr)
            return ExitCode.INVALID_INPUT
        return await process.run()

    make_handler(settings.log_format, settings.log_level).push_application()
    return asyncio.run(run())
