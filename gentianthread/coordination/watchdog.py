"""Find pauses of the process and expire what depends on time."""

from collections.abc import Callable

from ..clock import Clock
from ..events import PROCESS_PAUSED
from ..logs import log
from ..metrics import Metrics

TICK_MS = 100.0

# A process that did not run for this long may hold permissions that others believe expired.
PAUSE_MS = 500.0


class Watchdog:
    """Compare the clock with regular ticks and call expiry callbacks after a gap.

    The event loop may serve sockets before the timer of the tick, so code that serves requests
    and messages calls `check` first.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        """Create a watchdog; `run` starts it.

        Args:
            clock: Clock that goes on during pauses.
            metrics: Counts pauses.
        """
        self._clock = clock
        self._metrics = metrics
        self._callbacks: list[Callable[[], None]] = []
        self._last_ms: float | None = None

    def register(self, callback: Callable[[], None]) -> None:
        """Add a callback that expires time-based permissions; it must not wait."""
        self._callbacks.append(callback)

    def check(self) -> None:
        """Call the callbacks if the process was paused since the last tick."""
        if self._last_ms is None:
            return
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._last_ms
        if gap_ms <= PAUSE_MS:
            return
        self._last_ms = now_ms
        for callback in self._callbacks:
            callback()
        self._metrics.count("process.pauses")
        log(PROCESS_PAUSED, gap_ms=gap_ms)

    async def run(self) -> None:
        """Tick until cancelled."""
        self._last_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep_ms(TICK_MS)
            self.check()
            self._last_ms = self._clock.now_ms()
