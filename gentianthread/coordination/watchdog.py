"""Detect pauses of the process and expire permissions that are valid for a limited time."""

from collections.abc import Callable

from ..clock import Clock
from ..events import PROCESS_PAUSED
from ..logs import log
from ..metrics import Metrics

TICK_MS = 100.0

# After a pause of this length a process may still use permissions that other nodes consider
# expired.
PAUSE_MS = 500.0


class Watchdog:
    """Call expiry callbacks when the time since the last regular tick shows a pause.

    After a pause the event loop may serve sockets before the timer of the tick, so code that
    handles requests and messages calls `check` first.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        """Create a watchdog; `run` starts it.

        Args:
            clock: Clock that advances while the process is paused.
            metrics: Counts pauses.
        """
        self._clock = clock
        self._metrics = metrics
        self._callbacks: list[Callable[[], None]] = []
        self._last_tick_ms: float | None = None

    def register(self, callback: Callable[[], None]) -> None:
        """Add a callback that expires time-limited permissions; it must not block."""
        self._callbacks.append(callback)

    def check(self) -> None:
        """Call the callbacks if the process has been paused since the last tick."""
        if self._last_tick_ms is None:
            return
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._last_tick_ms
        if gap_ms <= PAUSE_MS:
            return
        self._last_tick_ms = now_ms
        for callback in self._callbacks:
            callback()
        self._metrics.count("process.pauses")
        log(PROCESS_PAUSED, gap_ms=gap_ms)

    async def run(self) -> None:
        """Check for a pause on each tick until cancelled."""
        self._last_tick_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep_ms(TICK_MS)
            self.check()
            self._last_tick_ms = self._clock.now_ms()
