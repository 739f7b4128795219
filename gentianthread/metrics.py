"""Record counters, gauges and timings."""

from abc import ABC, abstractmethod
from collections import defaultdict

import statsd


class Metrics(ABC):
    """Define the recorder of counters, gauges and timings.

    Metric names are dotted lower-case words.
    """

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration in ms."""


class MemoryMetrics(Metrics):
    """Store metrics in memory, for tests, state dumps and embedding."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = defaultdict(int)
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, tuple[int, float]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Add to the count and sum of a timing."""
        count, total_ms = self.timings.get(name, (0, 0.0))
        self.timings[name] = (count + 1, total_ms + duration_ms)


class StatsdMetrics(MemoryMetrics):
    """Store metrics in memory and send the changes to a statsd server on each flush.

    Changes are aggregated between flushes because a datagram per call would cost more than all
    other bookkeeping of the call.
    """

    def __init__(self, host: str, port: int, prefix: str):
        """Create the statsd client.

        Args:
            host: IP address of the statsd server.
            port: Its UDP port.
            prefix: Prefix of every metric name.
        """
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._sent_counters: dict[str, int] = {}
        self._sent_timings: dict[str, tuple[int, float]] = {}

    def flush(self) -> None:
        """Send current gauges, and counter increments and mean timings since the last flush."""
        with self._client.pipeline() as batch:
            for name, total in self.counters.items():
                increment = total - self._sent_counters.get(name, 0)
                if increment:
                    batch.incr(name, increment)
                    self._sent_counters[name] = total
            for name, value in self.gauges.items():
                batch.gauge(name, value)
            for name, (count, total_ms) in self.timings.items():
                sent_count, sent_ms = self._sent_timings.get(name, (0, 0.0))
                if count > sent_count:
                    batch.timing(name, (total_ms - sent_ms) / (count - sent_count))
                    self._sent_timings[name] = (count, total_ms)
