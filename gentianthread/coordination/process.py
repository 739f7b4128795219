"""Run one node as a process: settings, signals and graceful stop."""

import asyncio
import gc
import json
import signal
import sys
from enum import IntEnum

from ..clock import SystemClock, wall_clock_ms
from ..errors import BundleError, GentianError
from ..ids import NodeIdentity, StartNumber
from ..logs import handler
from ..metrics import MemoryMetrics, Metrics, StatsdMetrics
from ..settings import Settings
from ..state.config_store import ConfigStore
from ..state.executions import Executions
from .assembly import assemble
from .dump import describe_node
from .node import Node, NodeAddresses
from .operations import read_bundle

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
    """Assemble a node from its settings and run it until a signal.

    Attributes:
        store: The accepted configuration.
        network: Links to the other nodes.
        node: The node.
    """

    def __init__(self, settings: Settings):
        """Assemble the parts.

        Args:
            settings: Checked settings.

        Raises:
            BundleError: The bundle in the settings is wrong.
        """
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = _make_metrics(settings)
        self.store = ConfigStore(self.metrics)
        if settings.bundle_folder is not None:
            self.store.offer(read_bundle(settings.bundle_folder), str(settings.bundle_folder))
            if self.store.last_refusal is not None:
                raise BundleError(None, "content", self.store.last_refusal[1])
        start_number = StartNumber(wall_clock_ms())
        self.local = NodeIdentity(settings.upstream_id, settings.availability_zone, start_number)
        self.assembly = assemble(settings, self.local, self.store, self.clock, self.metrics)
        self.network = self.assembly.network
        executions = Executions(self.clock, settings.idempotency_window_ms, settings.record_limit)
        self.node = Node(self.local, _addresses(settings), self.assembly.parts(executions))
        self.node.watchdog.register(self.assembly.quota.expire_all)
        self.node.describers.update(self.assembly.describers())
        self._asked = asyncio.Event()
        self._asked_again = asyncio.Event()

    async def run(self) -> ExitCode:
        """Run until SIGTERM or SIGINT and return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask)
        loop.add_signal_handler(signal.SIGUSR1, self.print_dump)
        try:
            peers = self.settings.peers
            await self.network.start(peers.host, peers.port)
            await self.assembly.start()
            await self.node.start()
        except (OSError, GentianError) as error:
            print(f"not started: {error}", file=sys.stderr)
            return ExitCode.NOT_STARTED
        # Objects of the start live as long as the process; the collector need not visit them.
        gc.collect()
        gc.freeze()
        flushing = asyncio.ensure_future(self._flush_metrics())
        await self._asked.wait()
        code = await self._stop()
        flushing.cancel()
        return code

    def _ask(self) -> None:
        (self._asked_again if self._asked.is_set() else self._asked).set()

    async def _stop(self) -> ExitCode:
        """Finish what runs; a second signal counts once the grace period is over."""
        await self.node.drain.begin()
        idle = asyncio.ensure_future(self.node.drain.wait_idle())
        forced = asyncio.ensure_future(self._wait_for_force())
        await asyncio.wait((idle, forced), return_when=asyncio.FIRST_COMPLETED)
        code = ExitCode.STOPPED if idle.done() else ExitCode.CUT_OFF
        idle.cancel()
        forced.cancel()
        await self.node.stop()
        await self.assembly.close()
        await self.network.close()
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


def _addresses(settings: Settings) -> NodeAddresses:
    return NodeAddresses(
        settings.callers.host,
        settings.callers.port,
        settings.inner.host,
        settings.inner.port,
        settings.operator.host,
        settings.operator.port,
        settings.target.host,
        settings.target.port,
    )


def run_node(settings: Settings) -> ExitCode:
    """Run a node process and return its exit code.

    Args:
        settings: Checked settings.
    """

    async def run() -> ExitCode:
        try:
            process = NodeProcess(settings)
        except BundleError as error:
            print(error, file=sys.stderr)
            return ExitCode.WRONG_INPUT
        return await process.run()

    handler(settings.log_form, settings.log_level).push_application()
    return asyncio.run(run())
