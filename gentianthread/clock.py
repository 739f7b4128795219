"""Provide clocks that measure time in milliseconds."""

import asyncio
import time
from abc import ABC, abstractmethod

# CLOCK_BOOTTIME also advances while the machine is suspended, so a lease cannot outlive a suspend.
_SYSTEM_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_read_clock_ns = time.clock_gettime_ns


class Clock(ABC):
    """Define a monotonic clock in ms with an arbitrary origin."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the current time in ms."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task.

        Args:
            duration_ms: Duration in ms.
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
    """Advance only when a test calls `advance_ms`."""

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current manual time in ms."""
        return self._now_ms

    def advance_ms(self, duration_ms: float) -> None:
        """Advance the clock.

        Args:
            duration_ms: Duration in ms; not negative.

        Raises:
            ValueError: The duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(
                f"cannot advance the clock by {duration_ms} ms: the duration is negative"
            )
        self._now_ms += duration_ms


def wall_clock_ms() -> int:
    """Return the Unix time in ms; use it only for times of starts and log lines."""
    return time.time_ns() // 1_000_000
