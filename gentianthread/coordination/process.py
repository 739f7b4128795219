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
from ..logs import make_handler
from ..metrics import MemoryMetrics, Metrics, StatsdMetrics
from ..settings import Settings
from .dump import describe_node
from .services import NodeServices

STATSD_FLUSH_MS = 1_000.0


class ExitCode(IntEnum):
    """Tell how a node process ended.

    Attributes:
        STOPPED: No request was cut off.
        CUT_OFF: A second SIGTERM after the grace period ended requests in flight.
        WRONG_INPUT: Settings or the bundle in the settings are wrong.
        NOT_STARTED: A listener could not be opened.
    """

    STOPPED = 0
    CUT_OFF = 1
    WRONG_INPUT = 2
    NOT_STARTED = 3


class NodeProcess:
    """Run a node until a signal.

    Attributes:
        services: The node and what it stands on.
    """

    def __init__(self, settings: Settings):
        """Assemble the parts; must be called on the event loop.

        Args:
            settings: Checked settings.

        Raises:
            ConfigurationError: The bundle or the platform adapter in the settings is wrong.
        """
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = _make_metrics(settings)
        start_number = StartNumber(wall_clock_ms())
        local = NodeIdentity(settings.upstream_id, settings.availability_zone, start_number)
        self.services = NodeServices(settings, local, self.clock, self.metrics)
        self.node = self.services.node
        self._asked = asyncio.Event()
        self._signalled = False
        self._asked_again = asyncio.Event()

    async def run(self) -> ExitCode:
        """Run until SIGTERM or SIGINT and return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask)
        loop.add_signal_handler(signal.SIGUSR1, self.print_dump)
        try:
            await self.services.start()
        except (OSError, GentianError) as error:
            print(f"not started: {error}", file=sys.stderr)
            return ExitCode.NOT_STARTED
        # Objects of the start live as long as the process; the collector need not visit them.
        gc.collect()
        gc.freeze()
        flushing = asyncio.ensure_future(self._flush_metrics())
        replaced = asyncio.ensure_future(self._stop_when_replaced())
        await self._asked.wait()
        code = await self._stop()
        flushing.cancel()
        replaced.cancel()
        return code

    async def _stop_when_replaced(self) -> None:
        """Stop if a newer process serves the same upstream; two would both admit work to it."""
        await self.services.members.superseded.wait()
        self._asked.set()

    def _ask(self) -> None:
        # The stop of a superseded process is no signal; the first one after it cuts nothing off.
        if self._signalled:
            self._asked_again.set()
        self._signalled = True
        self._asked.set()

    async def _stop(self) -> ExitCode:
        """Finish what runs; a second signal counts once the grace period is over."""
        await self.services.begin_leaving()
        idle = asyncio.ensure_future(self.node.drain.wait_idle())
        forced = asyncio.ensure_future(self._wait_for_force())
        await asyncio.wait((idle, forced), return_when=asyncio.FIRST_COMPLETED)
        code = ExitCode.CUT_OFF if self.node.drain.running else ExitCode.STOPPED
        idle.cancel()
        forced.cancel()
        await self.services.stop()
        return code

    async def _wait_for_force(self) -> None:
        await self.clock.sleep_ms(self.settings.grace_ms)
        await self._asked_again.wait()

    def print_dump(self) -> None:
        """Write the state dump to standard output as one line."""
        print(json.dumps(describe_node(self.node)), flush=True)

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
            return ExitCode.WRONG_INPUT
        return await process.run()

    make_handler(settings.log_format, settings.log_level).push_application()
    return asyncio.run(run())
