"""Tell the time in milliseconds."""

import asyncio
import time
from abc import ABC, abstractmethod

# CLOCK_BOOTTIME also advances while the machine is suspended, so a lease cannot outlive a suspend.
_SYSTEM_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_read_clock_ns = time.clock_gettime_ns


class Clock(ABC):
    """Give a time in ms that never goes back and has an arbitrary origin."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the current time in ms."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task.

        Args:
            duration_ms: How long, in ms.
        """
        await asyncio.sleep(max(0.0, duration_ms) / 1000)


class SystemClock(Clock):
    """Read the clock of the operating system."""

    def now_ms(self) -> float:
        """Return the time since boot in ms."""
        return _read_clock_ns(_SYSTEM_CLOCK_ID) / 1_000_000


class LoopClock(Clock):
    """Read the clock of the running event loop, which tests replace with virtual time."""

    def now_ms(self) -> float:
        """Return the time of the running event loop in ms."""
        return asyncio.get_running_loop().time() * 1000


class ManualClock(Clock):
    """Stand still until a test moves it."""

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time that was set, in ms."""
        return self._now_ms

    def advance_ms(self, duration_ms: float) -> None:
        """Move the clock forward.

        Args:
            duration_ms: How far, in ms; not negative.

        Raises:
            ValueError: The duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"a clock cannot go back by {-duration_ms} ms")
        self._now_ms += duration_ms


def wall_clock_ms() -> int:
    """Return the wall clock in ms since 1970, for start numbers and log lines only."""
    return time.time_ns() // 1_000_000
