"""Combine the limits of the request rate to one target."""

from .stated_limit import StatedLimit
from .warm_up import WarmUp


class TargetLimit:
    """Limit the requests to a target by what it names itself and by what it takes when cold.

    Attributes:
        stated: Limit that the target names in its answers.
        warm_up: Limit while the target is cold.
    """

    def __init__(self, stated: StatedLimit, warm_up: WarmUp):
        """Combine two limits.

        Args:
            stated: Limit that the target names in its answers.
            warm_up: Limit while the target is cold.
        """
        self.stated = stated
        self.warm_up = warm_up

    def rate_per_s(self, now_ms: float) -> float:
        """Return the requests per second that are sent at most; 0 while there is no limit."""
        stated_per_s = self.stated.rate_per_s
        if not self.warm_up.is_cold(now_ms):
            return stated_per_s
        return min(stated_per_s or float("inf"), self.warm_up.rate_per_s)

    def tokens(self, now_ms: float) -> float:
        """Return the number of requests that may be sent at once; 0 while there is no limit."""
        if not self.warm_up.is_cold(now_ms):
            return self.stated.tokens(now_ms)
        tokens = self.warm_up.tokens(now_ms)
        return tokens if self.stated.per_s is None else min(tokens, self.stated.tokens(now_ms))

    def wait_ms(self, position: int, now_ms: float) -> float:
        """Return the time until a request may be sent; see `StatedLimit.wait_ms`."""
        wait_ms = self.stated.wait_ms(position, now_ms)
        return (
            max(wait_ms, self.warm_up.wait_ms(position, now_ms)) if self.warm_up.limit else wait_ms
        )

    def take(self, now_ms: float) -> bool:
        """Reserve the sending of one request, and return whether both limits allow it."""
        if not self.stated.take(now_ms):
            return False
        if self.warm_up.take(now_ms):
            return True
        self.stated.put_back()
        return False

    def put_back(self) -> None:
        """Return the reservation of a request that was not sent."""
        self.stated.put_back()
        self.warm_up.put_back()

    def utilisation(self, now_ms: float) -> float:
        """Return the fraction of the narrower limit that is in use, 0 to 1."""
        return max(self.stated.utilisation(now_ms), self.warm_up.utilisation(now_ms))
