"""Refill tokens at a rate up to a cap."""


class TokenBucket:
    """Hold a level that grows with time; rate and cap can change at any moment.

    The bucket reads no clock: every method takes the time, so that several buckets of one holder
    move together and a change of rate takes effect at an exact time.
    """

    def __init__(self, now_ms: float, rate_per_s: float = 0.0, cap: float = 0.0):
        """Create an empty bucket.

        Args:
            now_ms: The present time in ms.
            rate_per_s: Tokens added per second.
            cap: Largest level.
        """
        self.level = 0.0
        self.rate_per_s = rate_per_s
        self.cap = cap
        self._refilled_at_ms = now_ms

    def refill(self, now_ms: float, reserved: float = 0.0) -> float:
        """Add what has accrued and return the level.

        Args:
            now_ms: The present time in ms; a time in the past adds nothing.
            reserved: Part of the cap that tokens outside the bucket occupy.
        """
        elapsed_ms = max(0.0, now_ms - self._refilled_at_ms)
        self._refilled_at_ms = max(now_ms, self._refilled_at_ms)
        grown = self.level + self.rate_per_s * elapsed_ms / 1000
        self.level = max(0.0, min(grown, self.cap - reserved))
        return self.level

    def adjust(self, now_ms: float, rate_per_s: float, cap: float, reserved: float = 0.0) -> None:
        """Change rate and cap from now on; a lower cap takes level with it.

        Args:
            now_ms: The present time in ms.
            rate_per_s: The new rate.
            cap: The new cap.
            reserved: Part of the cap that tokens outside the bucket occupy.
        """
        self.refill(now_ms, reserved)
        self.rate_per_s = rate_per_s
        self.cap = cap
        self.level = max(0.0, min(self.level, cap - reserved))

    def take(self, amount: float) -> bool:
        """Take an amount if the level has it; call `refill` first."""
        if amount > self.level:
            return False
        self.level -= amount
        return True

    def put_back(self, amount: float, reserved: float = 0.0) -> None:
        """Return unused tokens; what does not fit under the cap is lost.

        Args:
            amount: Tokens that were taken before.
            reserved: Part of the cap that tokens outside the bucket occupy after the return.
        """
        self.level = max(0.0, min(self.level + amount, self.cap - reserved))

    def wait_ms(self, amount: float) -> float | None:
        """Return the time until the level reaches an amount, or None if it never does."""
        if amount <= self.level:
            return 0.0
        if amount > self.cap or self.rate_per_s <= 0:
            return None
        return (amount - self.level) / self.rate_per_s * 1000
