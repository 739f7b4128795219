"""Limit the requests to a cold target, which crashes under the load that it takes when warm.

The load that this handles: all targets of a deployment start cold at once while their callers
return at once. Without the limit they crash under the first second of requests, start cold again,
and crash again.
"""

from collections import deque

# Fraction of the allowed requests that is used. With evenly spaced requests, the rest covers
# delays between sending and arrival that differ by up to about a sixth of a second.
USED_FRACTION = 0.85

WINDOW_MS = 1_000.0

# Longest time for which a target is believed to stay cold if its service states a shorter one. A
# damaged value would otherwise limit a target for good.
MAX_COLD_MS = 60_000.0

# Rate at which a target with a lower bound still gets requests: only a health check tells whether
# the target is warm.
MIN_RATE_PER_S = 0.5


class WarmUp:
    """Track whether a target is cold, and limit its requests in any second while it is.

    A target whose state is not known counts as cold.

    Attributes:
        unknown: Whether only the answer to a health check can tell that the target is warm.
        revision: Number that changes with everything that makes an earlier answer outdated.
        duration_ms: Time for which a target of the service is cold after a start.
        suspected_ms: Time from which on the state was last not known.
        limit: Requests that are sent in any second while the target is cold; 0 for no limit.
        sent: Requests that were sent while there was a limit for cold targets.
    """

    def __init__(self, now_ms: float):
        """Create the state of a target of which nothing is known, without a limit.

        Args:
            now_ms: Present time in ms.
        """
        self.unknown = True
        self.revision = 0
        self.suspected_ms = now_ms
        self.duration_ms = 0.0
        self.limit = 0
        self.sent = 0
        self._gap_ms = 0.0
        self._cold_until_ms = float("-inf")
        self._next_ms = float("-inf")
        # Times of the last requests, also of those sent while the target was warm.
        self._sent_ms: deque[float] = deque()

    @property
    def enabled(self) -> bool:
        """Return whether targets of the service have to be protected while they are cold."""
        return self.limit > 0

    def configure(self, duration_ms: float, per_s: float, overage: float, slack: float) -> None:
        """Set the bound; the known state and the requests sent so far are kept.

        Args:
            duration_ms: Time for which a target is cold after a start.
            per_s: Requests per second that a cold target tolerates; 0 if there is no limit.
            overage: Factor by which they may be exceeded.
            slack: Requests in a second that are allowed in addition.
        """
        self.duration_ms = duration_ms
        used_per_s = USED_FRACTION * (per_s * overage + slack)
        self.limit = max(1, int(used_per_s)) if per_s > 0 else 0
        rate_per_s = min(self.limit, max(MIN_RATE_PER_S, used_per_s))
        self._gap_ms = WINDOW_MS / rate_per_s if self.limit else 0.0
        self._sent_ms = deque(self._sent_ms, self.limit)

    def suspect(self, now_ms: float) -> None:
        """Record that the target may be cold, until a health check tells."""
        self.suspected_ms = now_ms
        self.unknown = True
        self.revision += 1

    def record_connections_lost(self, now_ms: float) -> None:
        """Record that all connections to the target ended, so that it may have started again.

        Requests that a warm target got before are not those of the next start.
        """
        if not self.is_cold(now_ms):
            self._sent_ms.clear()
        self.suspect(now_ms)

    def record_remaining(
        self, remaining_ms: float, now_ms: float, revision: int | None = None
    ) -> bool:
        """Record for how long the target stays cold.

        Args:
            remaining_ms: The time; 0 if the target is warm.
            now_ms: Present time in ms.
            revision: `revision` when the health check was sent whose answer tells it; None for the
                entry of the target, which may be old, so that it does not tell that it is warm.

        Returns:
            Whether the state is known now.
        """
        cold_ms = min(remaining_ms, max(self.duration_ms, MAX_COLD_MS))
        if revision == self.revision:
            self.unknown = False
            self._cold_until_ms = now_ms + cold_ms
        elif cold_ms > 0:
            self._cold_until_ms = max(self._cold_until_ms, now_ms + cold_ms)
            self.revision += 1
        return not self.unknown

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the target is limited as it is cold, or as its state is unknown."""
        return self.limit > 0 and (self.unknown or now_ms < self._cold_until_ms)

    def remaining_ms(self, now_ms: float) -> float:
        """Return for how long the target is known to be cold; 0 if it is not."""
        return max(0.0, self._cold_until_ms - now_ms) if self.limit else 0.0

    @property
    def rate_per_s(self) -> float:
        """Return the requests per second that are sent at most while the target is cold."""
        return WINDOW_MS / self._gap_ms if self.limit else 0.0

    def wait_ms(self, position: int, now_ms: float) -> float:
        """Return the time until a request may be sent.

        Args:
            position: Its position among the requests that wait; 1 is the next one.
            now_ms: Present time in ms.
        """
        if not self.is_cold(now_ms):
            return 0.0
        # The gap between two requests keeps one burst from following another after a second.
        wait_ms = max(0.0, self._next_ms - now_ms) + (position - 1) * self._gap_ms
        rounds, place = divmod(position - 1, self.limit)
        index = len(self._sent_ms) + place - self.limit
        if index >= 0:
            wait_ms = max(wait_ms, self._sent_ms[index] + (rounds + 1) * WINDOW_MS - now_ms)
        if not self.unknown:
            wait_ms = min(wait_ms, self._cold_until_ms - now_ms)
        return max(0.0, wait_ms)

    def take(self, now_ms: float) -> bool:
        """Count the sending of one request, and return whether the limit allows it."""
        if not self.limit:
            return True
        if self.wait_ms(1, now_ms):
            return False
        self.sent += 1
        self._sent_ms.append(now_ms)
        self._next_ms = now_ms + self._gap_ms
        return True

    def put_back(self) -> None:
        """Return the reservation of a request that was not sent.

        The oldest request is forgotten instead of the returned one, so that the later times stay.
        """
        if self._sent_ms:
            self.sent -= 1
            self._sent_ms.popleft()

    def tokens(self, now_ms: float) -> float:
        """Return the number of requests that may be sent at once, 0 to 1, while it is cold."""
        return max(0.0, 1 - self.wait_ms(1, now_ms) / self._gap_ms) if self.limit else 0.0

    def utilisation(self, now_ms: float) -> float:
        """Return the fraction of the limit that the last second used; 0 while there is none."""
        if not self.is_cold(now_ms):
            return 0.0
        return sum(time_ms > now_ms - WINDOW_MS for time_ms in self._sent_ms) / self.limit
