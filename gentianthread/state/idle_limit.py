"""Detect the idle time after which a target drops connections without closing them."""

# Losses after a shorter idle time have other causes: the shortest time after which a target of the
# users drops an idle connection is about 270 ms.
MIN_IDLE_MS = 100.0

# Idle limit as a fraction of the idle time of the connection that was dropped.
LIMIT_FRACTION = 0.7

# How long the limit applies after the last loss. The users' targets drop idle connections during
# phases of about six seconds.
HOLD_MS = 10_000.0

# A dropped connection is reset at once; one that fails later broke while the target was working.
MAX_RESET_DELAY_MS = 5.0


class IdleLimit:
    """Limit the idle time after which a kept connection is still reused."""

    def __init__(self) -> None:
        self._limit_ms = float("inf")
        self._expires_at_ms = float("-inf")

    def limit_ms(self, now_ms: float) -> float:
        """Return the present limit, which is infinite without a recent loss."""
        return self._limit_ms if now_ms < self._expires_at_ms else float("inf")

    def record_loss(self, idle_ms: float, failed_after_ms: float, now_ms: float) -> None:
        """Record that a kept connection failed when it was reused.

        Args:
            idle_ms: How long it had been idle.
            failed_after_ms: Time from sending the request to the failure.
            now_ms: Present time in ms.
        """
        if idle_ms < MIN_IDLE_MS or failed_after_ms > MAX_RESET_DELAY_MS:
            return
        self._limit_ms = min(self.limit_ms(now_ms), max(MIN_IDLE_MS, LIMIT_FRACTION * idle_ms))
        self._expires_at_ms = now_ms + HOLD_MS
