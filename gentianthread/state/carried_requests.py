"""Remember which requests a connection has carried, as their answers may be repeated on it."""

# Requests travel with the time that they have left. A second attempt that is delayed more than the
# first one arrives after the deadline noted for it. A link without answers is closed after 5 s.
RESEND_MARGIN_MS = 5_000.0

# Ids that a connection remembers; one that carries more before they expire is not reused. Callers
# may state deadlines that are hours away.
MAX_REMEMBERED = 1_024

# Least number of ids at which expired ones are looked for.
_MIN_SWEEP_LENGTH = 16


class CarriedRequests:
    """Store the ids of the requests of one connection until they cannot be sent again."""

    __slots__ = ("_expires_at_ms", "_sweep_length")

    def __init__(self) -> None:
        self._expires_at_ms: dict[str, float] = {}
        self._sweep_length = _MIN_SWEEP_LENGTH

    def __contains__(self, request_id: str) -> bool:
        """Return whether the connection has carried a request; expired ids may still count."""
        return request_id in self._expires_at_ms

    def add(self, request_id: str, deadline_ms: float, now_ms: float) -> None:
        """Remember a request.

        Args:
            request_id: Its id.
            deadline_ms: Time after which it is not sent again.
            now_ms: Present time in ms.
        """
        if len(self._expires_at_ms) >= self._sweep_length:
            self._forget_expired(now_ms)
            self._sweep_length = max(_MIN_SWEEP_LENGTH, 2 * len(self._expires_at_ms))
        self._expires_at_ms[request_id] = deadline_ms + RESEND_MARGIN_MS

    def is_full(self, now_ms: float) -> bool:
        """Return whether no further request can be remembered.

        Args:
            now_ms: Present time in ms.
        """
        if len(self._expires_at_ms) < MAX_REMEMBERED:
            return False
        self._forget_expired(now_ms)
        return len(self._expires_at_ms) >= MAX_REMEMBERED

    def _forget_expired(self, now_ms: float) -> None:
        self._expires_at_ms = {
            request_id: expires_at_ms
            for request_id, expires_at_ms in self._expires_at_ms.items()
            if expires_at_ms > now_ms
        }
