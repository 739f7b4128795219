"""Set and spread the level below which root requests are refused at their entry.

The method is that of DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
2018): a target compares its queueing time with a bound, moves a level, and answers carry the level
to the callers, which refuse work under it before it costs anything. Levels here are continuous, and
a node hands on the highest level of the services behind its own.
"""

from collections import deque
from collections.abc import Hashable
from math import exp
from random import Random

import attrs

from ..ids import ServiceId

# Part of the most important requests that a level refuses at most.
LARGEST_PART = 0.9


def rank_of(priority: int, lowest_priority: int, draw: float) -> float:
    """Return the rank of a root request; the smaller is refused first.

    Args:
        priority: Its priority; 0 is the most important.
        lowest_priority: The least important priority in use, so that levels start at its requests
            and the mean of the levels of several targets means the mean of what they refuse.
        draw: A number from 0 to below 1 that spreads requests of one priority.
    """
    return max(0, lowest_priority - priority) + draw


class LevelControl:
    """Move the level of one target to where its demand fits its capacity.

    Requests that arrive now passed the level of about one second ago, the time until an answer has
    carried it to the entry nodes. Demand is what arrives, divided by the part that passed; capacity
    is what completes, divided by the part of the places that is used. A control that only compared
    the queueing time with a bound would swing with that delay.

    Attributes:
        level: Requests with a smaller rank are refused at their entry; 0 refuses none, and each 1
            refuses one more priority.
    """

    PERIOD_MS = 100.0
    # Averaging time of arrivals, completions and use.
    AVERAGE_MS = 1_000.0
    # Periods after which arrivals have passed a level.
    DELAY_PERIODS = 10
    # Part of the way to the wanted level that is gone in one period.
    GAIN = 0.35
    # Use of the places that is aimed at.
    WANTED_USE = 0.97
    # Mean queueing time from which on the wanted level is set in full.
    URGENT_MS = 4.0
    # Queueing time that is left alone, and the time in which a longer one is to be gone.
    STANDING_MS = 10.0
    DRAIN_MS = 400.0
    # Smallest part of the capacity that is let in while a queue drains.
    LEAST_SUPPLY = 0.5
    # Smaller use says nothing about the capacity, and no level is needed.
    CALM_USE = 0.5
    # A smaller level refuses nothing that would be noticed.
    LEAST_LEVEL = 0.01
    # Smallest part that is taken to have passed a level.
    LEAST_PASSED = 0.1

    def __init__(self, now_ms: float):
        """Create a control of an idle target.

        Args:
            now_ms: Present time in ms.
        """
        self.level = 0.0
        self._from_ms = now_ms
        self._arrived = 0
        self._completed = 0
        self._demand = 0.0
        self._completions = 0.0
        self._use = 0.0
        self._wait_ms = 0.0
        # Weight of all measurements in the averages, below 1 in the first seconds.
        self._weight = 0.0
        self._past: deque[float] = deque([0.0] * self.DELAY_PERIODS, self.DELAY_PERIODS)

    def record_arrival(self) -> None:
        """Count a request that came to the target, also one that it refuses."""
        self._arrived += 1

    def record_completion(self) -> None:
        """Count a request that the target has ended."""
        self._completed += 1

    def is_due(self, now_ms: float) -> bool:
        """Return whether a period has passed, so that `observe` would move the level."""
        return now_ms - self._from_ms >= self.PERIOD_MS

    def observe(self, use: float, wait_ms: float, now_ms: float, highest: float) -> None:
        """Move the level once a period has passed.

        Args:
            use: Present part of the places that is used, 0 to 1.
            wait_ms: Present queueing time.
            now_ms: Present time in ms.
            highest: Largest level: the rank of the most important requests.
        """
        length_ms = now_ms - self._from_ms
        if length_ms < self.PERIOD_MS:
            return
        self._measure(use, wait_ms, length_ms)
        self._from_ms = now_ms
        wanted = self._wanted(wait_ms)
        self.level += self.GAIN * (wanted - self.level)
        if self.level < self.LEAST_LEVEL:
            self.level = 0.0
        self.level = min(self.level, highest + LARGEST_PART)
        self._past.append(self.level)

    def _measure(self, use: float, wait_ms: float, length_ms: float) -> None:
        gain = 1 - exp(-length_ms / self.AVERAGE_MS)
        past = self._past[0]
        # Each whole step refuses one priority; the rest is a part of the next one.
        passed = max(self.LEAST_PASSED, 1 - (past - int(past)))
        self._demand += gain * (self._arrived / length_ms / passed - self._demand)
        self._completions += gain * (self._completed / length_ms - self._completions)
        self._use += gain * (use - self._use)
        self._wait_ms += gain * (wait_ms - self._wait_ms)
        self._weight += gain * (1 - self._weight)
        self._arrived = self._completed = 0

    def _wanted(self, wait_ms: float) -> float:
        """Return the level at which the demand would just fit."""
        # Without the weight, averages that start at 0 would hide an overload for a second.
        use, mean_wait_ms = self._use / self._weight, self._wait_ms / self._weight
        demand = self._demand / self._weight
        if use < self.CALM_USE or demand <= 0:
            return 0.0
        capacity = self._completions / self._use * self.WANTED_USE
        excess = max(0.0, wait_ms - self.STANDING_MS) / self.DRAIN_MS
        supply = capacity * max(self.LEAST_SUPPLY, 1 - excess)
        # Without a queue there is nothing to refuse, however much of the places is used.
        urgency = min(1.0, mean_wait_ms / self.URGENT_MS)
        return urgency * max(0.0, int(self._past[0]) + 1 - supply / demand)


@attrs.define
class _Known:
    level: float
    at_ms: float


class KnownLevels:
    """Remember the levels that answers reported, by service and upstream."""

    # A level that no answer has renewed fades out over this time, so that refused work comes back
    # even where no answer tells of the end of an overload.
    HOLD_MS = 500.0
    FADE_MS = 1_500.0

    def __init__(self, random: Random):
        """Create an empty memory.

        Args:
            random: Source of the draws of requests.
        """
        self._random = random
        self._known: dict[ServiceId, dict[Hashable, _Known]] = {}

    def record(self, service_id: ServiceId, source: Hashable, level: float, now_ms: float) -> None:
        """Remember a level.

        Args:
            service_id: The service.
            source: The upstream that reported it.
            level: The level.
            now_ms: Present time in ms.
        """
        known = self._known.setdefault(service_id, {})
        if level > 0 or source in known:
            known[source] = _Known(level, now_ms)

    def level(self, service_id: ServiceId, now_ms: float, sources: int) -> float:
        """Return the mean level over the upstreams of a service.

        Args:
            service_id: The service.
            now_ms: Present time in ms.
            sources: Number of upstreams; one without a known level counts as 0.
        """
        known = self._known.get(service_id)
        if not known:
            return 0.0
        total = 0.0
        for source, found in list(known.items()):
            part = 1 - max(0.0, now_ms - found.at_ms - self.HOLD_MS) / self.FADE_MS
            if part <= 0:
                del known[source]
            else:
                total += found.level * part
        return total / max(1, sources, len(known))

    def highest_level(self, now_ms: float, sources: dict[ServiceId, int]) -> float:
        """Return the highest level of several services with their numbers of upstreams."""
        return max(
            (self.level(name, now_ms, number) for name, number in sources.items()), default=0.0
        )

    def refused_fraction(
        self,
        service_id: ServiceId,
        priority: int,
        lowest_priority: int,
        now_ms: float,
        sources: int,
    ) -> float:
        """Return the part of the root requests of a priority that is refused at their entry."""
        level = self.level(service_id, now_ms, sources)
        return min(1.0, max(0.0, level - rank_of(priority, lowest_priority, 0.0)))

    def refuses(self, part: float, *, misses_objective: bool = False) -> bool:
        """Return whether a root request is refused at its entry.

        Args:
            part: Part of the requests of its priority that is refused.
            misses_objective: Whether it can no longer meet its latency objective; such requests are
                refused before those that can.
        """
        return part > 0 and (misses_objective or self._random.random() < part)
