"""Learn after which idle time a target forgets connections without a notice."""

# Connections that were idle for less are not suspected: the shortest time after which a target of
# the users forgets one is about 270 ms.
MIN_IDLE_MS = 100.0

# Part of the idle time of a forgotten connection that others may still be idle.
PART = 0.7

# How long the limit holds after the last loss. The users' targets do so for about six seconds.
HOLD_MS = 10_000.0

# A forgotten connection is reset at once; one that fails later broke while the target worked.
AT_ONCE_MS = 5.0


class IdleLimit:
    """Hold how long a kept connection may have been idle to be used."""

    def __init__(self) -> None:
        self._limit_ms = float("inf")
        self._until_ms = float("-inf")

    def limit_ms(self, now_ms: float) -> float:
        """Return the present limit, infinite where nothing was lost lately."""
        return self._limit_ms if now_ms < self._until_ms else float("inf")

    def record_loss(self, idle_ms: float, took_ms: float, now_ms: float) -> None:
        """Learn that a kept connection failed when it was used.

        Args:
            idle_ms: How long it had been idle.
            took_ms: How long after the sending it failed.
            now_ms: Present time in ms.
        """
        if idle_ms < MIN_IDLE_MS or took_ms > AT_ONCE_MS:
            return
        self._limit_ms = min(self.limit_ms(now_ms), max(MIN_IDLE_MS, PART * idle_ms))
        self._until_ms = now_ms + HOLD_MS
