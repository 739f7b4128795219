"""Adapt the number of requests that may run on a target at once.

A limiter starts at its upper bound, the published slots, and uses only the latencies and refusals
of the target. The load that the target reports itself is not used, since it is late or misleading.
"""

from abc import ABC, abstractmethod

from ..ids import Outcome
from ..registry import Registry

limiters: Registry[type["Limiter"]] = Registry("limiter")


class Limiter(ABC):
    """Determine the number of requests that may run at once."""

    def __init__(self, lower: int, upper: int):
        """Create a limiter that allows its upper bound.

        Args:
            lower: Smallest limit; at least 1.
            upper: Largest limit, normally the published slots.
        """
        self.lower = 1
        self.upper = 1
        self.limit = float(upper)
        self.revise(lower, upper)

    def revise(self, lower: int, upper: int) -> None:
        """Change the bounds, and keep the present limit if it is within them.

        Args:
            lower: Smallest limit; at least 1.
            upper: Largest limit.
        """
        at_upper_bound = self.limit >= self.upper
        self.upper = max(1, upper)
        self.lower = max(1, min(lower, self.upper))
        self._set_limit(float(self.upper) if at_upper_bound else self.limit)

    def current(self, now_ms: float) -> float:
        """Return the present limit."""
        return self.limit

    @abstractmethod
    def record(
        self, now_ms: float, started_at_ms: float, outcome: Outcome, *, saturated: bool
    ) -> None:
        """Update the limit after a request that ended.

        Args:
            now_ms: When it ended.
            started_at_ms: When it started on the target.
            outcome: How it ended.
            saturated: Whether the limit was fully used when it ended; only then may the limit grow.
        """

    def _set_limit(self, limit: float) -> None:
        self.limit = min(float(self.upper), max(float(self.lower), limit))


@limiters.register("static")
class StaticLimiter(Limiter):
    """Keep the upper bound."""

    def record(
        self, now_ms: float, started_at_ms: float, outcome: Outcome, *, saturated: bool
    ) -> None:
        """Ignore the request."""


@limiters.register("aimd")
class AimdLimiter(Limiter):
    """Increase by one per round of successes, and decrease by a factor on refusals and timeouts."""

    DECREASE = 0.9
    LOSSES = frozenset({Outcome.REFUSED, Outcome.TIMEOUT})

    def __init__(self, lower: int, upper: int):
        super().__init__(lower, upper)
        self._decreased_at_ms = float("-inf")

    def record(
        self, now_ms: float, started_at_ms: float, outcome: Outcome, *, saturated: bool
    ) -> None:
        """Increase on success; decrease once for all losses of requests that ran concurrently."""
        if outcome in self.LOSSES:
            if started_at_ms >= self._decreased_at_ms:
                self._decreased_at_ms = now_ms
                self._set_limit(self.limit * self.DECREASE)
        elif outcome is Outcome.SUCCESS and saturated:
            self._set_limit(self.limit + 1 / self.limit)


@limiters.register("gradient")
class GradientLimiter(AimdLimiter):
    """Compare the latency at the limit with that at a lower concurrency, and follow the gradient.

    A higher latency alone is no reason for a lower limit: a slow service that the target calls
    raises it at any concurrency, and a lower limit would only waste slots. The limiter therefore
    reduces the concurrency to `DIP_FACTOR` of the limit for a few latencies (a dip). If the latency
    falls nearly as much as the concurrency, the additional requests only waited inside the target,
    and the ceiling is set below the limit; otherwise the ceiling rises. Below the ceiling the limit
    follows refusals and successes. Timeouts don't decrease the limit, since they are also caused by
    a slow service that the target calls.
    """

    LOSSES = frozenset({Outcome.REFUSED})

    DIP_FACTOR = 0.7
    # Ratio of the latencies in and before a dip, midway between 1 (concurrency does not affect the
    # latency) and DIP_FACTOR (concurrency does not increase the throughput).
    LATENCY_RATIO_THRESHOLD = 0.85
    # Dips take 1/25 of the time and 30% of the limit, which costs about 1% of the capacity.
    DIP_PERIOD = 25
    DIP_LATENCIES = 3
    MIN_PERIOD_MS = 2_000.0
    # Below this limit, or with fewer samples, the noise of the latencies exceeds the gradient.
    MIN_LIMIT = 8
    MIN_SAMPLES = 10
    SMOOTHING = 0.05

    def __init__(self, lower: int, upper: int):
        self._ceiling = float("inf")
        super().__init__(lower, upper)
        self._latency_ms: float | None = None
        self._next_dip_ms: float | None = None
        self._dip_started_ms = float("inf")
        self._dip_until_ms = float("inf")
        self._dip_samples: list[float] = []

    def current(self, now_ms: float) -> float:
        """Return the present limit, which is lower during a dip."""
        if self._dip_started_ms <= now_ms < self._dip_until_ms:
            return max(float(self.lower), self.limit * self.DIP_FACTOR)
        return self.limit

    def record(
        self, now_ms: float, started_at_ms: float, outcome: Outcome, *, saturated: bool
    ) -> None:
        """Update the limit, the mean latency and the samples of a dip."""
        super().record(now_ms, started_at_ms, outcome, saturated=saturated)
        if outcome not in (Outcome.SUCCESS, Outcome.FAILURE, Outcome.TIMEOUT):
            return
        latency_ms = now_ms - started_at_ms
        if self._latency_ms is None:
            self._latency_ms = latency_ms
        if started_at_ms >= self._dip_started_ms:
            self._record_in_dip(now_ms, started_at_ms, latency_ms)
        elif now_ms < self._dip_started_ms:
            self._latency_ms += self.SMOOTHING * (latency_ms - self._latency_ms)
            if saturated:
                self._schedule_dip(now_ms)

    def _set_limit(self, limit: float) -> None:
        super()._set_limit(min(limit, self._ceiling))

    def _schedule_dip(self, now_ms: float) -> None:
        if self.limit < self.MIN_LIMIT:
            return
        duration_ms = self.DIP_LATENCIES * max(1.0, self._latency_ms)
        if self._next_dip_ms is None:
            self._next_dip_ms = now_ms + max(self.MIN_PERIOD_MS, self.DIP_PERIOD * duration_ms)
        elif now_ms >= self._next_dip_ms:
            self._dip_started_ms = now_ms
            self._dip_until_ms = now_ms + duration_ms
            self._dip_samples = []

    def _record_in_dip(self, now_ms: float, started_at_ms: float, latency_ms: float) -> None:
        # Requests that start within the first latency of a dip still run beside earlier ones.
        settled_at_ms = self._dip_started_ms + self._latency_ms
        if settled_at_ms <= started_at_ms < self._dip_until_ms:
            self._dip_samples.append(latency_ms)
        if now_ms >= self._dip_until_ms + self._latency_ms:
            self._end_dip()

    def _end_dip(self) -> None:
        samples = self._dip_samples
        if len(samples) >= self.MIN_SAMPLES:
            ratio = sum(samples) / len(samples) / self._latency_ms
            if ratio < self.LATENCY_RATIO_THRESHOLD:
                self._ceiling = self.limit * self.DECREASE
            else:
                self._ceiling = max(self._ceiling, self.limit + self.limit**0.5)
            self._set_limit(self.limit)
        self._dip_started_ms = self._dip_until_ms = float("inf")
        self._next_dip_ms = None
