"""Keep statistics of each upstream at an entry node, and eject outliers from routing."""

from collections.abc import Iterable
from random import Random

import attrs

from ..ids import Outcome, UpstreamId

FAILURES = frozenset({Outcome.FAILURE, Outcome.TIMEOUT, Outcome.LOST})


@attrs.define(eq=False)
class UpstreamStats:
    """Store the statistics of one upstream.

    Attributes:
        upstream_id: The upstream.
        known_since_ms: When its present process was first observed.
        start_number: Start number of that process.
        outstanding: Attempts of this node that are under way.
        latency_ms: Smoothed latency of successes, or None before the first.
        refusals: Smoothed fraction of attempts that were refused, 0 to 1.
        failures: Smoothed fraction of attempts that failed, 0 to 1.
        samples: Attempts that ended since the last ejection.
        consecutive_failures: Failures since the last success.
        ejected_until_ms: When the present ejection ends.
        ejections: Consecutive ejections, which determine the duration of the next one.
        ramp_up_from_ms: When the last ejection ends, or the process was first observed.
        saturated_until_ms: Until when it counts as saturated because of a refusal or report.
    """

    upstream_id: UpstreamId
    known_since_ms: float
    start_number: int = 0
    outstanding: int = 0
    latency_ms: float | None = None
    refusals: float = 0.0
    failures: float = 0.0
    samples: int = 0
    consecutive_failures: int = 0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    ramp_up_from_ms: float = float("-inf")
    saturated_until_ms: float = float("-inf")

    # The averages cover about the last 20 attempts.
    SMOOTHING = 0.1

    def record(self, outcome: Outcome, latency_ms: float) -> None:
        """Record an attempt that ended, unless the caller cancelled it."""
        if outcome is Outcome.CANCELLED:
            return
        self.samples += 1
        self.refusals += self.SMOOTHING * ((outcome is Outcome.REFUSED) - self.refusals)
        self.failures += self.SMOOTHING * ((outcome in FAILURES) - self.failures)
        if outcome in FAILURES:
            self.consecutive_failures += 1
        elif outcome is Outcome.SUCCESS:
            self.consecutive_failures = 0
            previous_ms = latency_ms if self.latency_ms is None else self.latency_ms
            self.latency_ms = previous_ms + self.SMOOTHING * (latency_ms - previous_ms)

    def score(self, default_latency_ms: float) -> float:
        """Return the expected cost of one more attempt; smaller is better.

        Refusals and failures are often fast. Their fractions raise the score, so that an upstream
        that refuses work does not attract more of it by its short latency.

        Args:
            default_latency_ms: Latency for an upstream without successes.
        """
        latency_ms = default_latency_ms if self.latency_ms is None else self.latency_ms
        return (self.outstanding + 1) * latency_ms * (1 + 8 * (self.refusals + self.failures))


class Ejector:
    """Eject outliers from routing for a limited time.

    At most half of the pool is ejected at a time. If all upstreams are slow, the cause is
    elsewhere, and an empty pool would turn the slowness into an outage.
    """

    CONSECUTIVE_FAILURES = 5
    FAILURE_FRACTION = 0.5
    # Multiple of the median latency of the other upstreams above which one is an outlier.
    SLOW_FACTOR = 4.0
    MIN_SAMPLES = 20
    BASE_EJECTION_MS = 600.0
    # Longest ejection; an ejected upstream returns within the recovery goal of 5 s.
    MAX_EJECTION_MS = 2_400.0
    JITTER = 0.3
    RAMP_UP_MS = 2_000.0
    INITIAL_WEIGHT = 0.1

    def __init__(self, random: Random):
        """Create an ejector.

        Args:
            random: Source of the jitter of durations.
        """
        self._random = random

    def eject_outlier(
        self, stats: UpstreamStats, pool: Iterable[UpstreamStats], now_ms: float
    ) -> float:
        """Eject an upstream if it is an outlier and enough others are left in the pool.

        Args:
            stats: The upstream that just answered.
            pool: All upstreams of its service that accept work, including itself.
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
        if now_ms - stats.ramp_up_from_ms > 2 * self.MAX_EJECTION_MS:
            stats.ejections = 0
        duration_ms = min(self.MAX_EJECTION_MS, self.BASE_EJECTION_MS * 2**stats.ejections)
        duration_ms *= 1 + self.JITTER * (2 * self._random.random() - 1)
        stats.ejections += 1
        stats.ejected_until_ms = stats.ramp_up_from_ms = now_ms + duration_ms
        # The statistics so far reflect the fault; they start anew after the ejection.
        stats.samples = stats.consecutive_failures = 0
        stats.refusals = stats.failures = 0.0
        stats.latency_ms = None
        return duration_ms

    def is_ejected(self, stats: UpstreamStats, now_ms: float) -> bool:
        """Return whether an upstream is ejected at present."""
        return now_ms < stats.ejected_until_ms

    def weight(self, stats: UpstreamStats, now_ms: float) -> float:
        """Return the fraction of its usual work that an upstream gets, 0 to 1.

        It grows from `INITIAL_WEIGHT` after an ejection or the first observation, so that an idle
        upstream that is new or has recovered does not attract all callers at once.
        """
        fraction = (now_ms - stats.ramp_up_from_ms) / self.RAMP_UP_MS
        return min(1.0, max(self.INITIAL_WEIGHT, fraction))

    def _is_outlier(self, stats: UpstreamStats, pool: list[UpstreamStats]) -> bool:
        if stats.consecutive_failures >= self.CONSECUTIVE_FAILURES:
            return True
        if stats.samples < self.MIN_SAMPLES:
            return False
        if stats.failures > self.FAILURE_FRACTION:
            return True
        others = sorted(
            other.latency_ms
            for other in pool
            if other is not stats and other.latency_ms is not None
        )
        if not others or stats.latency_ms is None:
            return False
        return stats.latency_ms > self.SLOW_FACTOR * others[len(others) // 2]
