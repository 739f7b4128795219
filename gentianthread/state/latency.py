"""Learn a latency that nearly all work needs."""


class LowLatency:
    """Follow a low quantile of latencies, about the 10th percentile.

    Work with less time left than this cannot end in time. The value halves for every second
    without a sample, so that a value learned from a slow phase cannot refuse all work for ever.
    """

    RISE = 0.02
    FALL = 0.18
    HALF_LIFE_MS = 1_000.0
    # With fewer samples nothing is refused.
    MIN_SAMPLES = 10

    def __init__(self) -> None:
        self._value_ms = 0.0
        self._samples = 0
        self._at_ms = 0.0

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Learn from work that ended with success.

        Args:
            latency_ms: How long it took.
            now_ms: Present time in ms.
        """
        if not self._samples:
            self._value_ms = latency_ms
        gain = self.RISE if latency_ms > self._value_ms else self.FALL
        self._value_ms += gain * (latency_ms - self._value_ms)
        self._samples += 1
        self._at_ms = now_ms

    def value_ms(self, now_ms: float) -> float:
        """Return the latency in ms, or 0 while too little is known."""
        if self._samples < self.MIN_SAMPLES:
            return 0.0
        idle_ms = max(0.0, now_ms - self._at_ms - self.HALF_LIFE_MS)
        return self._value_ms * 0.5 ** (idle_ms / self.HALF_LIFE_MS)
