"""Keep what an entry node knows about each upstream: load, latency, failures and ejection."""

from collections.abc import Iterable
from random import Random

import attrs

from ..ids import Outcome, UpstreamId

FAILURES = frozenset({Outcome.FAILURE, Outcome.TIMEOUT, Outcome.LOST})


@attrs.define(eq=False)
class UpstreamStats:
    """Hold the statistics of one upstream.

    Attributes:
        upstream_id: The upstream.
        known_since_ms: When its present process was first seen.
        start_number: Start number of that process.
        outstanding: Attempts that are under way from this node.
        latency_ms: Smoothed latency of successes, or None before the first.
        refusals: Smoothed part of attempts that were refused, 0 to 1.
        failures: Smoothed part of attempts that failed, 0 to 1.
        samples: Attempts that ended since the last ejection.
        failures_in_row: Failures since the last success.
        ejected_until_ms: When the present ejection ends.
        ejections: Ejections in a row, for their growing duration.
        returned_at_ms: When the last ejection ended, or the process was first seen.
        saturated_until_ms: Until when a refusal or report says that it has no room.
    """

    upstream_id: UpstreamId
    known_since_ms: float
    start_number: int = 0
    outstanding: int = 0
    latency_ms: float | None = None
    refusals: float = 0.0
    failures: float = 0.0
    samples: int = 0
    failures_in_row: int = 0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    returned_at_ms: float = float("-inf")
    saturated_until_ms: float = float("-inf")

    # About the last 20 attempts count.
    SMOOTHING = 0.1

    def record(self, outcome: Outcome, latency_ms: float) -> None:
        """Learn from an attempt that ended; cancelled attempts say nothing about the upstream."""
        if outcome is Outcome.CANCELLED:
            return
        self.samples += 1
        self.refusals += self.SMOOTHING * ((outcome is Outcome.REFUSED) - self.refusals)
        self.failures += self.SMOOTHING * ((outcome in FAILURES) - self.failures)
        if outcome in FAILURES:
            self.failures_in_row += 1
        elif outcome is Outcome.SUCCESS:
            self.failures_in_row = 0
            known_ms = latency_ms if self.latency_ms is None else self.latency_ms
            self.latency_ms = known_ms + self.SMOOTHING * (latency_ms - known_ms)

    def score(self, default_latency_ms: float) -> float:
        """Return the expected cost of one more attempt; the smaller is better.

        Refusals and failures answer fast; their part raises the score, so that an upstream that
        refuses does not attract work by its short latency.

        Args:
            default_latency_ms: Latency for an upstream without successes.
        """
        latency_ms = default_latency_ms if self.latency_ms is None else self.latency_ms
        return (self.outstanding + 1) * latency_ms * (1 + 8 * (self.refusals + self.failures))


class Ejector:
    """Take outliers out of routing for a while.

    At most half the pool is ejected at a time: when all are slow, the cause lies elsewhere, and an
    empty pool would turn it into an outage.
    """

    FAILURES_IN_ROW = 5
    FAILURE_PART = 0.5
    # Times the median of the other upstreams of the pool.
    SLOW_FACTOR = 4.0
    MIN_SAMPLES = 20
    BASE_MS = 600.0
    # Keeps the last return inside the recovery goal of 5 s.
    MAX_MS = 2_400.0
    JITTER = 0.3
    RETURN_MS = 2_000.0
    RETURN_WEIGHT = 0.1

    def __init__(self, random: Random):
        """Create an ejector.

        Args:
            random: Source of the jitter of durations.
        """
        self._random = random

    def eject_outlier(
        self, stats: UpstreamStats, pool: Iterable[UpstreamStats], now_ms: float
    ) -> float:
        """Eject an upstream if it is an outlier and the pool can spare it.

        Args:
            stats: The upstream that just answered.
            pool: All upstreams of its service that take work, itself included.
            now_ms: Present time in ms.

        Returns:
            The duration of the ejection in ms, or 0.
        """
        members = list(pool)
        if self.is_ejected(stats, now_ms) or not self._is_outlier(stats, members):
            return 0.0
        ejected = sum(self.is_ejected(other, now_ms) for other in members)
        if ejected + 1 > len(members) // 2:
            return 0.0
        if now_ms - stats.returned_at_ms > 2 * self.MAX_MS:
            stats.ejections = 0
        duration_ms = min(self.MAX_MS, self.BASE_MS * 2**stats.ejections)
        duration_ms *= 1 + self.JITTER * (2 * self._random.random() - 1)
        stats.ejections += 1
        stats.ejected_until_ms = stats.returned_at_ms = now_ms + duration_ms
        # What was learned before belongs to the fault; after its return it is judged afresh.
        stats.samples = stats.failures_in_row = 0
        stats.refusals = stats.failures = 0.0
        stats.latency_ms = None
        return duration_ms

    def is_ejected(self, stats: UpstreamStats, now_ms: float) -> bool:
        """Return whether an upstream is out of routing."""
        return now_ms < stats.ejected_until_ms

    def weight(self, stats: UpstreamStats, now_ms: float) -> float:
        """Return the part of its usual work that an upstream gets, 0 to 1.

        It grows from `RETURN_WEIGHT` after an ejection or a first sight, so that a recovered or new
        upstream with no outstanding work does not draw every caller at once.
        """
        part = (now_ms - stats.returned_at_ms) / self.RETURN_MS
        return min(1.0, max(self.RETURN_WEIGHT, part))

    def _is_outlier(self, stats: UpstreamStats, pool: list[UpstreamStats]) -> bool:
        if stats.failures_in_row >= self.FAILURES_IN_ROW:
            return True
        if stats.samples < self.MIN_SAMPLES:
            return False
        if stats.failures > self.FAILURE_PART:
            return True
        others = sorted(
            other.latency_ms
            for other in pool
            if other is not stats and other.latency_ms is not None
        )
        if not others or stats.latency_ms is None:
            return False
        return stats.latency_ms > self.SLOW_FACTOR * others[len(others) // 2]
