"""Estimate from recent requests how long the next one of a class takes.

Load: work that reaches a node shortly before it ends. What cannot end in time is better refused,
while another node or a later attempt can still serve it.
"""

from collections import deque
from collections.abc import Hashable


class CompletionTimes:
    """Store how long the last requests of each class took, and answer with quantiles of them."""

    # Samples of a class that are kept.
    MAX_SAMPLES = 64
    # Older samples are not used, as the load may have changed since.
    MAX_AGE_MS = 15_000.0
    # With fewer samples nothing is estimated.
    MIN_SAMPLES = 3

    def __init__(self) -> None:
        """Create a store without samples."""
        self._samples: dict[Hashable, deque[tuple[float, float]]] = {}

    def record(self, key: Hashable, took_ms: float, now_ms: float) -> None:
        """Record a request that has ended.

        Args:
            key: Its class.
            took_ms: How long it took.
            now_ms: Present time in ms.
        """
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = deque(maxlen=self.MAX_SAMPLES)
        samples.append((now_ms, took_ms))

    def expected_ms(self, key: Hashable, quantile: float, now_ms: float) -> float | None:
        """Return the time within which a fraction of the recent requests ended.

        Args:
            key: The class.
            quantile: The fraction, from 0 to 1.
            now_ms: Present time in ms.

        Returns:
            The time in ms, or None if too few requests of the class have ended lately.
        """
        oldest_ms = now_ms - self.MAX_AGE_MS
        recent = [
            took_ms for ended_ms, took_ms in self._samples.get(key, ()) if ended_ms >= oldest_ms
        ]
        if len(recent) < self.MIN_SAMPLES:
            return None
        return sorted(recent)[min(len(recent) - 1, int(quantile * len(recent)))]
