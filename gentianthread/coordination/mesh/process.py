"""Run one sidecar as a process: settings, signals and graceful stop."""

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
from ...events import SETTINGS_RELOADED
from ...logs import handler, log
from ...sidecar_settings import SidecarSettings, read_sidecar_settings
from ...transport.event_loop import new_event_loop
from .sidecar import Sidecar

# A stopping node takes requests of callers for this long: the platform notices two missed checks,
# of which it makes one each second.
MIN_LEAVE_MS = 2_300.0

# Its target works on for the peers until this long after the signal: most requests take less than
# the half second that is left, and each further moment takes the target from its service.
DRAIN_FROM_MS = 1_800.0

# Part of the grace period after which a stopping node ends even with requests under way, and the
# latest part at which it begins to drain.
LEAVE_MOST_PART = 0.9
DRAIN_LATEST_PART = 0.5

# How often a stopping node looks whether anything is under way.
LEAVE_TICK_MS = 50.0

# How often the settings file is compared with what was read, since it may change without a signal.
SETTINGS_TICK_MS = 2_000.0

# Objects that are made between two runs of the garbage collector. Requests leave few cycles behind,
# and the default of 700 takes a noticeable part of the processor time.
GC_OBJECTS = 20_000


class SidecarExitCode(IntEnum):
    """Tell how a sidecar process ended."""

    STOPPED = 0
    CUT_OFF = 1
    INVALID_SETTINGS = 2
    NOT_STARTED = 3


class SidecarProcess:
    """Run a sidecar until a signal."""

    def __init__(self, path: Path, settings: SidecarSettings):
        """Assemble the process; must be called on the event loop.

        Args:
            path: The settings file, which is read again on SIGHUP.
            settings: Its checked content.
        """
        self.path = path
        self.clock = SystemClock()
        self.sidecar = Sidecar(settings, self.clock)
        self._asked = asyncio.Event()

    async def run(self) -> SidecarExitCode:
        """Run until SIGTERM or SIGINT and return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._asked.set)
        loop.add_signal_handler(signal.SIGHUP, partial(self.reload, "SIGHUP"))
        loop.add_signal_handler(signal.SIGUSR1, self._print_dump)
        try:
            await self.sidecar.start()
        except OSError as error:
            print(f"not started: {error}", file=sys.stderr)
            return SidecarExitCode.NOT_STARTED
        # Objects of the start live as long as the process; the collector need not visit them.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_OBJECTS, 20, 50)
        watching = asyncio.ensure_future(self._watch_settings())
        await self._asked.wait()
        watching.cancel()
        await stop_gracefully(self.sidecar, self.clock, self.sidecar.settings.grace_ms)
        code = SidecarExitCode.CUT_OFF if self.sidecar.busy else SidecarExitCode.STOPPED
        await self.sidecar.stop()
        return code

    async def _watch_settings(self) -> None:
        known = self._stamp()
        while True:
            await self.clock.sleep_ms(SETTINGS_TICK_MS)
            found = self._stamp()
            if found != known:
                known = found
                self.reload("file changed")

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def reload(self, cause: str) -> None:
        """Read the settings again; wrong ones leave the present ones in force.

        Addresses of listeners and of the target are those of the start.
        """
        try:
            found = read_sidecar_settings(self.path)
        except DeclarationErrors as error:
            log(SETTINGS_RELOADED, outcome=f"{cause}: refused: {error}")
            return
        self.sidecar.settings = found
        self.sidecar.target.service_id = found.service_id
        log(SETTINGS_RELOADED, outcome=f"{cause}: in force")

    def _print_dump(self) -> None:
        print(json.dumps(self.sidecar.describe()), flush=True)


async def stop_gracefully(sidecar: Sidecar, clock: Clock, grace_ms: float) -> None:
    """Serve until callers go elsewhere, then finish what is under way.

    Callers that do not go elsewhere are refused from then on: what they send could be cut off at
    the end of the grace period, and would keep the process up to it.

    Args:
        sidecar: What stops.
        clock: Clock of the waits.
        grace_ms: Time until the process is killed.
    """
    started_ms = clock.now_ms()
    sidecar.begin_leaving()
    most_ms = grace_ms * LEAVE_MOST_PART
    drain_from_ms = min(DRAIN_FROM_MS, grace_ms * DRAIN_LATEST_PART)
    while (passed_ms := clock.now_ms() - started_ms) < most_ms:
        if passed_ms >= drain_from_ms and not sidecar.draining:
            sidecar.begin_draining()
        if passed_ms >= MIN_LEAVE_MS:
            sidecar.refuse_callers()
            if not sidecar.busy:
                return
        await clock.sleep_ms(LEAVE_TICK_MS)


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

    async def run() -> SidecarExitCode:
        try:
            process = SidecarProcess(path, settings)
        except ConfigurationError as error:
            print(error, file=sys.stderr)
            return SidecarExitCode.INVALID_SETTINGS
        return await process.run()

    handler(settings.log_form, settings.log_level, sys.stdout).push_application()
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(run())
