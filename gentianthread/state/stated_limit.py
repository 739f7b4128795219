"""Keep to the request rate to which a target limits its callers."""

import re

from .bucket import TokenBucket

# "nan", "inf" and exponents, which `float` accepts, are not decimal numbers.
_DECIMAL = re.compile(r"\d{1,12}(\.\d{1,60})?|\.\d{1,60}", re.ASCII)

# Requests that may be sent at once after a pause, as the time in which the limit allows as many.
BURST_S = 0.25

# Rate at which a target with a lower limit is still asked: only its answers lift the limit.
MIN_RATE_PER_S = 0.5


def parse_limit(value: str) -> float | None:
    """Return the requests per second that a header field names, or None if it is malformed.

    Args:
        value: Value of the header field.
    """
    return float(value) if _DECIMAL.fullmatch(value) else None


class StatedLimit:
    """Limit the requests to one target to the rate that it names in its answers.

    Attributes:
        per_s: Requests per second, or None while the target names no limit.
        since_ms: Time at which the target named it, or lifted the one before.
        confirmed_ms: Time of the last answer that named it.
        sent: Requests that were sent to the target since `since_ms`.
    """

    def __init__(self, now_ms: float):
        """Create the limit of a target that has named none.

        Args:
            now_ms: Present time in ms.
        """
        self.per_s: float | None = None
        self.since_ms = now_ms
        self.confirmed_ms = 0.0
        self.sent = 0
        self._bucket = TokenBucket(now_ms)

    def change(self, per_s: float | None, now_ms: float) -> None:
        """Replace the limit and restart the count.

        Args:
            per_s: The new limit, or None if there is none any more.
            now_ms: Present time in ms.
        """
        if per_s is not None:
            rate_per_s = max(MIN_RATE_PER_S, per_s)
            # The first limit starts with no tokens, as the requests that are under way count.
            if self.per_s is None:
                self._bucket = TokenBucket(now_ms)
            self._bucket.adjust(now_ms, rate_per_s, max(1.0, rate_per_s * BURST_S))
        self.per_s, self.since_ms, self.sent = per_s, now_ms, 0

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second that are sent at most; 0 while there is no limit."""
        return 0.0 if self.per_s is None else self._bucket.rate_per_s

    def tokens(self, now_ms: float) -> float:
        """Return the number of requests that may be sent at once; 0 while there is no limit."""
        return 0.0 if self.per_s is None else self._bucket.refill(now_ms)

    def wait_ms(self, position: int, now_ms: float) -> float:
        """Return the time until a request may be sent.

        Args:
            position: Its position among the requests that wait; 1 is the next one.
            now_ms: Present time in ms.
        """
        if self.per_s is None:
            return 0.0
        missing = position - self._bucket.refill(now_ms)
        return max(0.0, missing) / self._bucket.rate_per_s * 1_000

    def take(self, now_ms: float) -> bool:
        """Reserve the sending of one request, and return whether the limit allows it."""
        if self.per_s is None:
            return True
        self._bucket.refill(now_ms)
        return self._bucket.take(1)

    def put_back(self) -> None:
        """Return the reservation of a request that was not sent."""
        if self.per_s is not None:
            self._bucket.put_back(1)

    def utilisation(self, now_ms: float) -> float:
        """Return the fraction of the limit that is in use, 0 to 1."""
        if self.per_s is None:
            return 0.0
        tokens = self._bucket.refill(now_ms)
        return 1.0 if tokens < 1 else 1 - tokens / self._bucket.cap
