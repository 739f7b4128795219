"""Compute the overload level of a target and apply the reported levels at the entry nodes.

The method follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018):
a target adjusts a level by its queueing time, answers carry the level to the callers, and callers
refuse requests that rank below it before any work is done. Unlike in DAGOR, levels are continuous,
and a node reports the highest level of its own target and of the services that the target calls.
"""

from collections import deque
from collections.abc import Hashable
from math import exp

import attrs

from ..ids import ServiceId

# Largest fraction of the most important requests that a level may refuse.
MAX_REFUSED_FRACTION = 0.9

# Change of a reported level that may wait until the level of the service is computed again.
LEVEL_TOLERANCE = 0.05


def rank_of(priority: int, lowest_priority: int, draw: float) -> float:
    """Return the rank of a root request; smaller ranks are refused first.

    Args:
        priority: Its priority; 0 is the most important.
        lowest_priority: The least important priority in use. Its requests start at rank 0, so that
            the mean level of several targets corresponds to the mean fraction that they refuse.
        draw: A random number from 0 to below 1 that orders requests of one priority.
    """
    return max(0, lowest_priority - priority) + draw


class LevelControl:
    """Adjust the level of one target until the admitted demand matches its capacity.

    A level takes about one second to reach the entry nodes with the answers, so requests that
    arrive now were admitted under the level of one second ago. Demand is therefore estimated as
    the arrival rate divided by the fraction admitted under that older level, and capacity as the
    completion rate divided by the utilisation of the slots. A control that only compared the
    queueing time with a bound would oscillate because of the delay.

    Attributes:
        level: Requests with a smaller rank are refused at their entry. 0 refuses none, and each
            whole step refuses one more priority.
    """

    UPDATE_PERIOD_MS = 100.0
    # Time constant of the averages of arrivals, completions, utilisation and queueing time.
    AVERAGING_TIME_MS = 1_000.0
    # Update periods until a level affects the arrivals.
    FEEDBACK_DELAY_PERIODS = 10
    # Fraction of the difference to the desired level that is corrected per period.
    GAIN = 0.35
    # Utilisation of the slots that the control aims at.
    AIMED_UTILISATION = 0.97
    # Mean queueing time from which the desired level applies in full; below it the desired level is
    # reduced in proportion.
    FULL_LEVEL_WAIT_MS = 4.0
    # Queueing time that is tolerated, and the time within which any excess is to be drained.
    TOLERATED_WAIT_MS = 10.0
    DRAIN_MS = 400.0
    # Fraction of the capacity that is always admitted while a queue drains.
    MIN_SUPPLY_FRACTION = 0.5
    # Below this utilisation the capacity cannot be estimated, and no level is needed.
    MIN_UTILISATION = 0.5
    # Smaller levels are set to 0, since they refuse next to nothing.
    MIN_LEVEL = 0.01
    # Lower bound of the admitted fraction by which the arrivals are divided.
    MIN_PASSED_FRACTION = 0.1

    def __init__(self, now_ms: float):
        """Create the control of an idle target.

        Args:
            now_ms: Present time in ms.
        """
        self.level = 0.0
        self._period_started_ms = now_ms
        self._arrived = 0
        self._completed = 0
        self._demand_per_ms = 0.0
        self._completions_per_ms = 0.0
        self._mean_utilisation = 0.0
        self._mean_wait_ms = 0.0
        # Sum of the weights of all samples in the averages; below 1 in the first seconds.
        self._average_weight = 0.0
        self._recent_levels: deque[float] = deque(
            [0.0] * self.FEEDBACK_DELAY_PERIODS, self.FEEDBACK_DELAY_PERIODS
        )

    def record_arrival(self) -> None:
        """Count a request that arrived at the target, including one that it refuses."""
        self._arrived += 1

    def record_completion(self) -> None:
        """Count a request that the target completed."""
        self._completed += 1

    def is_due(self, now_ms: float) -> bool:
        """Return whether an update period has elapsed, so that `observe` would update the level."""
        return now_ms - self._period_started_ms >= self.UPDATE_PERIOD_MS

    def observe(self, utilisation: float, wait_ms: float, now_ms: float, max_rank: float) -> None:
        """Update the level if an update period has elapsed.

        Args:
            utilisation: Fraction of the slots in use now, 0 to 1.
            wait_ms: Present queueing time.
            now_ms: Present time in ms.
            max_rank: Rank at which the most important requests start. The level exceeds it by
                `MAX_REFUSED_FRACTION` at most.
        """
        elapsed_ms = now_ms - self._period_started_ms
        if elapsed_ms < self.UPDATE_PERIOD_MS:
            return
        self._measure(utilisation, wait_ms, elapsed_ms)
        self._period_started_ms = now_ms
        desired = self._desired_level(wait_ms)
        # Only requests update the level, so that it falls by all periods of an idle time at once.
        # It rises by one, since one observation after a pause of the node can be an outlier.
        periods = int(elapsed_ms / self.UPDATE_PERIOD_MS) if desired < self.level else 1
        self.level += (1 - (1 - self.GAIN) ** periods) * (desired - self.level)
        if self.level < self.MIN_LEVEL:
            self.level = 0.0
        self.level = min(self.level, max_rank + MAX_REFUSED_FRACTION)
        self._recent_levels.extend([self.level] * min(periods, self.FEEDBACK_DELAY_PERIODS))

    def _measure(self, utilisation: float, wait_ms: float, elapsed_ms: float) -> None:
        gain = 1 - exp(-elapsed_ms / self.AVERAGING_TIME_MS)
        passed_level = self._recent_levels[0]
        # Each whole step refuses one priority; the remainder is a fraction of the next one.
        passed_fraction = max(self.MIN_PASSED_FRACTION, 1 - (passed_level - int(passed_level)))
        self._demand_per_ms += gain * (
            self._arrived / elapsed_ms / passed_fraction - self._demand_per_ms
        )
        self._completions_per_ms += gain * (self._completed / elapsed_ms - self._completions_per_ms)
        self._mean_utilisation += gain * (utilisation - self._mean_utilisation)
        self._mean_wait_ms += gain * (wait_ms - self._mean_wait_ms)
        self._average_weight += gain * (1 - self._average_weight)
        self._arrived = self._completed = 0

    def _desired_level(self, wait_ms: float) -> float:
        """Return the level at which the admitted demand equals the supply."""
        # The averages start at 0. Without division by the weight they would hide an overload for
        # the first second after a start.
        utilisation, mean_wait_ms = (
            self._mean_utilisation / self._average_weight,
            self._mean_wait_ms / self._average_weight,
        )
        demand = self._demand_per_ms / self._average_weight
        if utilisation < self.MIN_UTILISATION or demand <= 0:
            return 0.0
        capacity = self._completions_per_ms / self._mean_utilisation * self.AIMED_UTILISATION
        excess_wait = max(0.0, wait_ms - self.TOLERATED_WAIT_MS) / self.DRAIN_MS
        supply = capacity * max(self.MIN_SUPPLY_FRACTION, 1 - excess_wait)
        # Without a queue there is no reason to refuse requests, whatever the utilisation is.
        level_factor = min(1.0, mean_wait_ms / self.FULL_LEVEL_WAIT_MS)
        return level_factor * max(0.0, int(self._recent_levels[0]) + 1 - supply / demand)


@attrs.define
class _ReportedLevel:
    level: float
    reported_at_ms: float
    rate_per_s: float

    def differs_from(self, before: "_ReportedLevel") -> bool:
        """Return whether the level of the service has to be computed again at once."""
        return abs(self.level - before.level) > LEVEL_TOLERANCE or bool(self.rate_per_s) != bool(
            before.rate_per_s
        )


class KnownLevels:
    """Store the levels that answers reported, by service and upstream."""

    # A level that no answer has renewed for HOLD_MS decays to 0 over FADE_MS. Requests are then
    # admitted again even if no answer reports the end of the overload.
    HOLD_MS = 500.0
    FADE_MS = 1_500.0
    # Upstreams without a report count as 0 up to this number of upstreams. An entry hears from few
    # of 30 or 80 upstreams in the time for which levels hold; those that it heard from stand for
    # the others then. With fewer upstreams, a single slow one must not count for all.
    SAMPLE_SIZE = 8
    # Reports on a service above which those of upstreams that have gone are removed.
    MAX_REPORTS = 512
    # Time for which the computed level of a service is used again.
    CACHE_TTL_MS = 20.0

    def __init__(self) -> None:
        """Create an empty store."""
        self._reported: dict[ServiceId, dict[Hashable, _ReportedLevel]] = {}
        # Time of the last report of a level above 0 or of a limit; services in calm have none.
        self._raised_at_ms: dict[ServiceId, float] = {}
        self._cache: dict[ServiceId, tuple[float, int, float]] = {}

    def record(
        self,
        service_id: ServiceId,
        upstream: Hashable,
        level: float,
        now_ms: float,
        rate_per_s: float = 0.0,
    ) -> None:
        """Store a reported level.

        Args:
            service_id: The service.
            upstream: The upstream that reported it.
            level: The level.
            now_ms: Present time in ms.
            rate_per_s: Rate to which the upstream limits its callers; 0 if it does not.
        """
        if level > 0 or rate_per_s > 0:
            self._raised_at_ms[service_id] = now_ms
        reported = self._reported.setdefault(service_id, {})
        if len(reported) >= self.MAX_REPORTS:
            self._forget_old(reported, now_ms)
        before = reported.get(upstream)
        report = reported[upstream] = _ReportedLevel(level, now_ms, rate_per_s)
        if before is None or report.differs_from(before):
            self._cache.pop(service_id, None)

    def forget(self, service_id: ServiceId, upstream: Hashable) -> None:
        """Forget the level of an upstream that takes no more requests."""
        self._reported.get(service_id, {}).pop(upstream, None)

    def level(self, service_id: ServiceId, now_ms: float, upstream_count: int) -> float:
        """Return the level of a service: the mean over its upstreams.

        Upstreams that limit their callers count only if all of them do, each by its rate. Otherwise
        the others take what these cannot, and report a level of their own when they are full.

        Args:
            service_id: The service.
            now_ms: Present time in ms.
            upstream_count: Number of upstreams; `SAMPLE_SIZE` tells when those without a report
                count as 0.
        """
        reported = self._recent_reports(service_id, now_ms)
        if not reported:
            return 0.0
        cached = self._cache.get(service_id)
        if cached is not None and now_ms < cached[0] and upstream_count == cached[1]:
            return cached[2]
        level = self._mean_level(reported, now_ms, upstream_count)
        self._cache[service_id] = (now_ms + self.CACHE_TTL_MS, upstream_count, level)
        return level

    def _forget_old(self, reported: dict[Hashable, _ReportedLevel], now_ms: float) -> None:
        oldest_ms = now_ms - self.HOLD_MS - self.FADE_MS
        for upstream, entry in list(reported.items()):
            if entry.reported_at_ms <= oldest_ms:
                del reported[upstream]

    def _recent_reports(
        self, service_id: ServiceId, now_ms: float
    ) -> dict[Hashable, _ReportedLevel] | None:
        """Return the reports on a service, or None if it is in calm."""
        raised_at_ms = self._raised_at_ms.get(service_id)
        if raised_at_ms is None:
            return None
        if now_ms - raised_at_ms >= self.HOLD_MS + self.FADE_MS:
            # All levels have decayed.
            del self._raised_at_ms[service_id], self._reported[service_id]
            return None
        return self._reported[service_id]

    def _mean_level(
        self, reported: dict[Hashable, _ReportedLevel], now_ms: float, upstream_count: int
    ) -> float:
        total = limited_total = rate_per_s = weight = 0.0
        limited_count = raised_count = 0
        for entry in reported.values():
            fraction = 1 - max(0.0, now_ms - entry.reported_at_ms - self.HOLD_MS) / self.FADE_MS
            if fraction <= 0:
                continue
            if entry.rate_per_s:
                limited_total += entry.level * fraction * entry.rate_per_s
                rate_per_s += entry.rate_per_s
                limited_count += 1
            else:
                total += entry.level * fraction
                weight += fraction
                raised_count += entry.level > 0
        if upstream_count > self.SAMPLE_SIZE:
            unlimited_count = max(weight, self.SAMPLE_SIZE - limited_count)
        else:
            unlimited_count = max(upstream_count - limited_count, raised_count)
        if unlimited_count > 0:
            return total / unlimited_count
        return limited_total / rate_per_s if rate_per_s else 0.0

    def highest_level(self, now_ms: float, upstream_counts: dict[ServiceId, int]) -> float:
        """Return the highest level of several services, given their numbers of upstreams."""
        return max(
            (
                self.level(service_id, now_ms, count)
                for service_id, count in upstream_counts.items()
            ),
            default=0.0,
        )

    def refused_fraction(
        self,
        service_id: ServiceId,
        priority: int,
        lowest_priority: int,
        now_ms: float,
        upstream_count: int,
    ) -> float:
        """Return the fraction of the root requests of a priority that the entry refuses."""
        level = self.level(service_id, now_ms, upstream_count)
        return min(1.0, max(0.0, level - rank_of(priority, lowest_priority, 0.0)))
