"""Estimate a latency that nearly all requests exceed."""


class LowLatency:
    """Estimate a low quantile of latencies, about the 10th percentile.

    A request with less time left than this is very unlikely to complete in time. The value halves
    for every second without a sample, so that a value from a slow phase can't lead to refusing all
    requests from then on.
    """

    RISE_GAIN = 0.02
    FALL_GAIN = 0.18
    HALF_LIFE_MS = 1_000.0
    # With fewer samples the value is 0, so that nothing is refused.
    MIN_SAMPLES = 10

    def __init__(self) -> None:
        self._value_ms = 0.0
        self._samples = 0
        self._sampled_at_ms = 0.0

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Record the latency of a successful request.

        Args:
            latency_ms: Latency of the request.
            now_ms: Present time in ms.
        """
        if not self._samples:
            self._value_ms = latency_ms
        gain = self.RISE_GAIN if latency_ms > self._value_ms else self.FALL_GAIN
        self._value_ms += gain * (latency_ms - self._value_ms)
        self._samples += 1
        self._sampled_at_ms = now_ms

    def value_ms(self, now_ms: float) -> float:
        """Return the estimate in ms, or 0 if there are too few samples."""
        if self._samples < self.MIN_SAMPLES:
            return 0.0
        idle_ms = max(0.0, now_ms - self._sampled_at_ms - self.HALF_LIFE_MS)
        return self._value_ms * 0.5 ** (idle_ms / self.HALF_LIFE_MS)
