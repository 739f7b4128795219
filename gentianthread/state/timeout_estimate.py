"""Estimate the timeout that callers state when they first send a request."""


class TimeoutEstimate:
    """Follow the longest timeout that a good part of the callers state.

    Callers that retry state only the time that is left of their full timeout. A few that state far
    more than the others hardly raise the estimate, since it rises by a bounded factor for each
    request, and falls again.
    """

    # Largest factors by which one request changes the estimate. It stays at the full timeout as
    # long as about a tenth of the requests state it.
    RISE_FACTOR = 1.02
    FALL_FACTOR = 0.998

    def __init__(self, timeout_ms: float):
        """Create an estimate from the first request.

        Args:
            timeout_ms: Timeout that its caller states.
        """
        self.value_ms = timeout_ms

    def record(self, timeout_ms: float) -> None:
        """Take the timeout of another request into account.

        Args:
            timeout_ms: Timeout that its caller states.
        """
        highest_ms = self.value_ms * self.RISE_FACTOR
        lowest_ms = self.value_ms * self.FALL_FACTOR
        self.value_ms = min(highest_ms, max(lowest_ms, timeout_ms))
