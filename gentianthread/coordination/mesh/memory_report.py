"""Report to operators who holds how much memory, and who was refused for lack of it."""

from typing import Any

from ...clock import Clock
from ...events import MEMORY_SHORT
from ...logs import log
from ...metrics import Metrics
from ...state.memory_budget import MemoryBudget, MemoryOwner

# Time between two log lines about refusals; the counters count all.
LOG_INTERVAL_MS = 1_000.0

_MB = 1024 * 1024


class MemoryReport:
    """Write the state of a memory budget to the log, the metrics and the dump."""

    def __init__(self, memory: MemoryBudget, metrics: Metrics, clock: Clock):
        """Create a report.

        Args:
            memory: The budget.
            metrics: Receives gauges, and counts refusals.
            clock: Clock of the interval between log lines.
        """
        self._memory = memory
        self._metrics = metrics
        self._clock = clock
        self._logged_ms = float("-inf")

    def record_refusal(self, reason: str) -> None:
        """Count a refusal, and log it with the largest holders at most once a second."""
        self._metrics.count(f"memory.refused.{reason.replace(' ', '_')}")
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        memory = self._memory
        log(
            MEMORY_SHORT,
            held_mb=memory.total_bytes / _MB,
            capacity_mb=memory.capacity_bytes / _MB,
            owners=", ".join(
                f"{owner.value} {memory.sum_of(owner) / _MB:.1f} ({memory.holder_count(owner)})"
                for owner in MemoryOwner
                if memory.sum_of(owner)
            )
            or "none",
            refused=", ".join(f"{name} {count}" for name, count in memory.refused.items()),
        )

    def write_metrics(self) -> None:
        """Set the gauges."""
        memory = self._memory
        self._metrics.gauge("memory.capacity_bytes", memory.capacity_bytes)
        self._metrics.gauge("memory.held_bytes", memory.total_bytes)
        self._metrics.gauge("memory.peak_bytes", memory.peak_bytes)
        for owner in MemoryOwner:
            self._metrics.gauge(f"memory.held_bytes.{owner.value}", memory.sum_of(owner))
            self._metrics.gauge(f"memory.holders.{owner.value}", memory.holder_count(owner))

    def describe(self) -> dict[str, Any]:
        """Return the state of the budget for the dump."""
        memory = self._memory
        return {
            "capacity_bytes": memory.capacity_bytes,
            "held_bytes": memory.total_bytes,
            "peak_bytes": memory.peak_bytes,
            "short": memory.is_short(),
            "owners": {
                owner.value: {
                    "held_bytes": memory.sum_of(owner),
                    "holders": memory.holder_count(owner),
                }
                for owner in MemoryOwner
            },
            "refused": dict(memory.refused),
        }
