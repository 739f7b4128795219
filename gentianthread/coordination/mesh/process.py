"""Run a sidecar as a process: settings, signals and graceful stop."""

import asyncio
import gc
import json
import signal
import sys
from enum import IntEnum
from functools import partial
from pathlib import Path

from ...clock import Clock, SystemClock
from ...errors import ConfigurationError, DeclarationErrors
from ...events import SETTINGS_RELOADED, STOP_INCOMPLETE
from ...line_output import LineOutput
from ...logs import log, make_handler
from ...sidecar_settings import SidecarSettings, read_sidecar_settings
from ...transport.event_loop import new_event_loop
from .sidecar import Sidecar

# Minimum time for which a stopping node accepts requests of callers. The platform stops routing to
# it after two failed readiness checks, one per second.
MIN_LEAVE_MS = 2_300.0

# Time after the signal at which the target stops accepting requests of peers. Most requests take
# less than the remaining half second, and draining earlier would deprive the service of the target
# for longer.
DRAIN_START_MS = 1_800.0

# Fraction of the grace period at which a stopping node begins to drain at the latest.
MAX_DRAIN_START_FRACTION = 0.5

# Time before the end of the grace period at which a stopping node ends even with requests in
# flight, as it still has to answer them and to close its connections. The delay of the event loop
# is added, and the sum is at most a fraction of the grace period.
END_RESERVE_MS = 300.0
MAX_END_RESERVE_FRACTION = 0.1

# Time before the end of the grace period at which a node gives up waiting for closing handshakes,
# so that the interpreter can exit before the process is killed.
EXIT_TIME_MS = 100.0

# Interval at which a stopping node checks for requests in flight.
LEAVE_POLL_MS = 50.0

# Interval at which the settings file is checked for changes, as it may change without a signal.
SETTINGS_POLL_MS = 2_000.0

# Allocations between two runs of the garbage collector. Requests create few reference cycles, and
# the default of 700 costs a noticeable share of processor time.
GC_THRESHOLD = 20_000


class SidecarExitCode(IntEnum):
    """Report how a sidecar process ended.

    Attributes:
        STOPPED: No request was cut off.
        CUT_OFF: The process ended with requests in flight.
        INVALID_SETTINGS: The settings or the command line are invalid.
        NOT_STARTED: A listener could not be opened.
    """

    STOPPED = 0
    CUT_OFF = 1
    INVALID_SETTINGS = 2
    NOT_STARTED = 3


class SidecarProcess:
    """Run a sidecar until a signal stops it.

    Attributes:
        sidecar: The sidecar that runs.
    """

    def __init__(self, path: Path, settings: SidecarSettings, output: LineOutput):
        """Assemble the process; must be called on the event loop.

        Args:
            path: The settings file; read again on SIGHUP and when it changes.
            settings: Checked settings from this file.
            output: Where state dumps are written.
        """
        self.path = path
        self._output = output
        self.clock = SystemClock()
        self.sidecar = Sidecar(settings, self.clock)
        self._stop_requested = asyncio.Event()

    async def run(self) -> SidecarExitCode:
        """Run until SIGTERM or SIGINT and return the exit code."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, partial(self.reload, "SIGHUP"))
        loop.add_signal_handler(signal.SIGUSR1, self._print_dump)
        try:
            await self.sidecar.start()
        except OSError as error:
            print(f"cannot open a listener: {error}", file=sys.stderr)
            return SidecarExitCode.NOT_STARTED
        # Objects created at startup live as long as the process; exclude them from collection.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 50)
        settings_watch = asyncio.ensure_future(self._watch_settings())
        await self._stop_requested.wait()
        settings_watch.cancel()
        killed_at_ms = self.clock.now_ms() + self.sidecar.settings.grace_ms
        await stop_gracefully(self.sidecar, self.clock, self.sidecar.settings.grace_ms)
        code = SidecarExitCode.CUT_OFF if self.sidecar.busy else SidecarExitCode.STOPPED
        self.sidecar.end_requests()
        await self._close(killed_at_ms - EXIT_TIME_MS)
        return code

    async def _close(self, end_ms: float) -> None:
        """Close everything; what does not close in time is left to the system."""
        try:
            async with asyncio.timeout(max(0.0, end_ms - self.clock.now_ms()) / 1000):
                await self.sidecar.stop()
        except TimeoutError:
            log(STOP_INCOMPLETE)

    async def _watch_settings(self) -> None:
        known = self._file_version()
        while True:
            await self.clock.sleep_ms(SETTINGS_POLL_MS)
            current = self._file_version()
            if current != known:
                known = current
                self.reload("file changed")

    def _file_version(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def reload(self, cause: str) -> None:
        """Read the settings again; keep the current ones if the new ones are invalid.

        Changed addresses of listeners and of the target take effect only after a restart.

        Args:
            cause: What triggered the reload, for the log.
        """
        try:
            settings = read_sidecar_settings(self.path)
        except DeclarationErrors as error:
            log(SETTINGS_RELOADED, outcome=f"{cause}: refused: {error}")
            return
        self.sidecar.settings = settings
        self.sidecar.target.service_id = settings.service_id
        self.sidecar.configure_warm_up()
        log(SETTINGS_RELOADED, outcome=f"{cause}: in force")

    def _print_dump(self) -> None:
        self._output.write(json.dumps(self.sidecar.describe()) + "\n")


def max_leave_ms(grace_ms: float, late_ms: float = 0.0) -> float:
    """Return how long after the signal a node ends even with requests in flight.

    Args:
        grace_ms: Time after which the platform kills the process.
        late_ms: Delay of the event loop.
    """
    reserve_ms = min(END_RESERVE_MS + late_ms, MAX_END_RESERVE_FRACTION * grace_ms)
    return grace_ms - reserve_ms - late_ms


async def stop_gracefully(sidecar: Sidecar, clock: Clock, grace_ms: float) -> None:
    """Serve until callers use other instances, then finish the requests in flight.

    New requests of callers are refused after `MIN_LEAVE_MS`: they could be cut off at the end of
    the grace period, and would keep the process running until then. While each step of the event
    loop takes long, the last requests are ended earlier by as much, as the end of the grace period
    would be noticed too late to answer them.

    Args:
        sidecar: The sidecar to stop.
        clock: Clock for the delays.
        grace_ms: Time after which the platform kills the process.
    """
    started_ms = clock.now_ms()
    sidecar.begin_leaving(started_ms + max_leave_ms(grace_ms))
    drain_start_ms = min(DRAIN_START_MS, grace_ms * MAX_DRAIN_START_FRACTION)
    # By how much the last two waits were too long; a single one may have been a pause that is over.
    delays_ms = (0.0, 0.0)
    while (elapsed_ms := clock.now_ms() - started_ms) < max_leave_ms(grace_ms, min(delays_ms)):
        if elapsed_ms >= drain_start_ms and not sidecar.draining:
            sidecar.begin_draining()
        if elapsed_ms >= MIN_LEAVE_MS:
            sidecar.refuse_callers()
            if not sidecar.busy:
                return
        await clock.sleep_ms(LEAVE_POLL_MS)
        delay_ms = max(0.0, clock.now_ms() - started_ms - elapsed_ms - LEAVE_POLL_MS)
        delays_ms = (delays_ms[1], delay_ms)
        sidecar.change_end(started_ms + max_leave_ms(grace_ms, min(delays_ms)))


def run_sidecar(path: Path) -> SidecarExitCode:
    """Run a sidecar process and return its exit code.

    Args:
        path: INI file with the settings.
    """
    try:
        settings = read_sidecar_settings(path)
    except DeclarationErrors as error:
        print(error, file=sys.stderr)
        return SidecarExitCode.INVALID_SETTINGS

    log_handler = make_handler(settings.log_format, settings.log_level, sys.stdout)

    async def run() -> SidecarExitCode:
        try:
            process = SidecarProcess(path, settings, log_handler.stream)
        except ConfigurationError as error:
            print(error, file=sys.stderr)
            return SidecarExitCode.INVALID_SETTINGS
        return await process.run()

    log_handler.push_application()
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(run())
