"""Compute the overload level of a target that takes a known number of requests per second.

Load: targets that are cold or limit their callers take a small part of what callers ask for, and
all callers return at once after a loss of power. `LevelControl` estimates a capacity and refuses
one priority after the other, each after its effect has been seen. Here the capacity is known, and
each request carries the rank of its root request. The level is the rank from which on the recent
arrivals fill the capacity. Since arrivals below the level do not move it, requests that were
admitted under an older level do not make it overshoot.
"""

from collections import deque


class LimitedLevel:
    """Adjust the level of one target to the rate that it takes.

    Attributes:
        level: Requests with a smaller rank are refused at their entry.
    """

    UPDATE_PERIOD_MS = 100.0
    # Time over which arrivals are counted, and the least time after the first one. Shorter times
    # make the level follow single requests at 6 per second.
    WINDOW_MS = 1_000.0
    MIN_WINDOW_MS = 250.0
    # Part of the rate that is aimed at. Requests that make several calls need short queues.
    AIMED_UTILISATION = 0.85
    # Time within which requests that wait are to be served in addition.
    DRAIN_MS = 1_000.0
    # Part of the rate that is always admitted while a queue drains.
    MIN_SUPPLY_FRACTION = 0.5
    # Part of the missing arrivals by which the admitted demand grows per second while the rate is
    # not used. It takes up to two seconds until entry nodes know a lower level, and its effect is
    # seen; with larger parts the level oscillates.
    GROWTH_PER_S = 0.5
    # Largest growth of the admitted ranks per second, as a factor, and the least fall of the level.
    MAX_GROWTH_PER_S = 1.5
    MIN_FALL_PER_S = 0.05
    # Excess of arrivals that is tolerated: a short burst is no overload.
    MIN_EXCESS_ARRIVALS = 2

    def __init__(self, now_ms: float):
        """Create the control of a target whose limit has just become known.

        Args:
            now_ms: Present time in ms.
        """
        self.level = 0.0
        self._updated_ms = now_ms
        self._started_ms = now_ms
        self._arrivals: deque[tuple[float, float]] = deque()

    def record_arrival(self, rank: float, now_ms: float) -> None:
        """Count a request that arrived at the target, including one that it refuses.

        Args:
            rank: Rank of its root request.
            now_ms: Present time in ms.
        """
        self._arrivals.append((now_ms, rank))

    def observe(self, rate_per_s: float, queued: int, now_ms: float, max_level: float) -> None:
        """Update the level if an update period has elapsed.

        Args:
            rate_per_s: Requests per second that the target takes.
            queued: Requests that wait.
            now_ms: Present time in ms.
            max_level: Highest level.
        """
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < self.UPDATE_PERIOD_MS:
            return
        self._updated_ms = now_ms
        while self._arrivals and self._arrivals[0][0] <= now_ms - self.WINDOW_MS:
            self._arrivals.popleft()
        window_ms = min(self.WINDOW_MS, max(self.MIN_WINDOW_MS, now_ms - self._started_ms))
        aimed = rate_per_s * self.AIMED_UTILISATION * window_ms / 1_000
        drained = queued * window_ms / self.DRAIN_MS
        supply = max(aimed * self.MIN_SUPPLY_FRACTION, aimed - drained)
        ranks = sorted((rank for _, rank in self._arrivals), reverse=True)
        is_excess = len(ranks) > supply + self.MIN_EXCESS_ARRIVALS
        wanted = ranks[int(supply)] if is_excess else 0.0
        if wanted >= self.level:
            self.level = min(wanted, max_level)
            return
        counted = sum(rank >= self.level for rank in ranks)
        if counted >= supply:
            return
        growth = self.GROWTH_PER_S * (supply / max(counted, 1e-9) - 1)
        admitted_ranks = max_level + 1 - self.level
        fall_per_s = max(self.MIN_FALL_PER_S, admitted_ranks * min(growth, self.MAX_GROWTH_PER_S))
        self.level = max(wanted, self.level - fall_per_s * elapsed_ms / 1_000)
