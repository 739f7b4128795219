"""Implement a token bucket."""


class TokenBucket:
    """Refill tokens at a rate up to a cap; rate and cap can change at any time.

    The bucket reads no clock. Methods are passed the time, so that several buckets of one holder
    are updated at the same time and a change of rate takes effect at an exact time.
    """

    def __init__(self, now_ms: float, rate_per_s: float = 0.0, cap: float = 0.0):
        """Create an empty bucket.

        Args:
            now_ms: The present time in ms.
            rate_per_s: Tokens added per second.
            cap: Largest number of tokens.
        """
        self.level = 0.0
        self.rate_per_s = rate_per_s
        self.cap = cap
        self._refilled_at_ms = now_ms

    def refill(self, now_ms: float, reserved: float = 0.0) -> float:
        """Add the tokens since the last refill and return the level.

        Args:
            now_ms: The present time in ms; an earlier time than that of the last refill adds
                nothing.
            reserved: Tokens outside the bucket that count against the cap.
        """
        elapsed_ms = max(0.0, now_ms - self._refilled_at_ms)
        self._refilled_at_ms = max(now_ms, self._refilled_at_ms)
        refilled = self.level + self.rate_per_s * elapsed_ms / 1000
        self.level = max(0.0, min(refilled, self.cap - reserved))
        return self.level

    def adjust(self, now_ms: float, rate_per_s: float, cap: float, reserved: float = 0.0) -> None:
        """Change rate and cap from now on; the level is reduced to a lower cap.

        Args:
            now_ms: The present time in ms.
            rate_per_s: The new rate.
            cap: The new cap.
            reserved: Tokens outside the bucket that count against the cap.
        """
        self.refill(now_ms, reserved)
        self.rate_per_s = rate_per_s
        self.cap = cap
        self.level = max(0.0, min(self.level, cap - reserved))

    def take(self, amount: float) -> bool:
        """Take an amount if the level suffices, and return whether it did; call `refill` first."""
        if amount > self.level:
            return False
        self.level -= amount
        return True

    def put_back(self, amount: float, reserved: float = 0.0) -> None:
        """Put unused tokens back; tokens above the cap are discarded.

        Args:
            amount: Tokens that were taken before.
            reserved: Tokens outside the bucket that count against the cap after the return.
        """
        self.level = max(0.0, min(self.level + amount, self.cap - reserved))

    def wait_ms(self, amount: float) -> float | None:
        """Return the time until the level reaches an amount, or None if it never does."""
        if amount <= self.level:
            return 0.0
        if amount > self.cap or self.rate_per_s <= 0:
            return None
        return (amount - self.level) / self.rate_per_s * 1000
