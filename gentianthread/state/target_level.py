"""Compute the overload level of one target, with or without a limit of its request rate.

Load: more requests than the target serves, or than it takes while it is cold or limits its callers.
"""

from .limited_level import LimitedLevel
from .overload_level import MAX_REFUSED_FRACTION, LevelControl


class TargetLevel(LevelControl):
    """Adjust the level of one target, and while its rate is limited also one by the limit."""

    def __init__(self, now_ms: float):
        """Create the control of an idle target without a limit.

        Args:
            now_ms: Present time in ms.
        """
        super().__init__(now_ms)
        self._limited: LimitedLevel | None = None

    @property
    def limited_level(self) -> float:
        """Return the level that follows from the limit; 0 without one."""
        return 0.0 if self._limited is None else self._limited.level

    def record_arrival(self, rank: float = 0.0, now_ms: float = 0.0) -> None:
        """Count a request that arrived at the target, including one that it refuses.

        Args:
            rank: Rank of its root request.
            now_ms: Present time in ms.
        """
        super().record_arrival()
        if self._limited is not None:
            self._limited.record_arrival(rank, now_ms)

    def observe(
        self,
        utilisation: float,
        wait_ms: float,
        now_ms: float,
        max_rank: float,
        rate_per_s: float = 0.0,
        queued: int = 0,
    ) -> None:
        """Update the levels if an update period has elapsed.

        Args:
            utilisation: Fraction of the slots or of the limit in use now, 0 to 1.
            wait_ms: Present queueing time.
            now_ms: Present time in ms.
            max_rank: Rank at which the most important requests start.
            rate_per_s: Requests per second that the target takes; 0 if it has no limit.
            queued: Requests that wait.
        """
        super().observe(utilisation, wait_ms, now_ms, max_rank)
        if not rate_per_s:
            self._limited = None
            return
        if self._limited is None:
            self._limited = LimitedLevel(now_ms)
        self._limited.observe(rate_per_s, queued, now_ms, max_rank + MAX_REFUSED_FRACTION)
