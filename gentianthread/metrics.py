"""Count and time what the system does."""

from abc import ABC, abstractmethod
from collections import defaultdict

import statsd


class Metrics(ABC):
    """Accept counters, gauges and timings. Names are dotted lower-case words."""

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
    """Keep counters and gauges in memory, for tests, dumps and embedding."""

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
        number, total_ms = self.timings.get(name, (0, 0.0))
        self.timings[name] = (number + 1, total_ms + duration_ms)


class StatsdMetrics(MemoryMetrics):
    """Keep metrics in memory and send their changes to a statsd server when flushed.

    Sending a datagram for each call would cost more than the call's other bookkeeping, so counters
    are summed between flushes.
    """

    def __init__(self, host: str, port: int, prefix: str):
        """Open the client.

        Args:
            host: IP address of the statsd server.
            port: Its UDP port.
            prefix: Put before every name.
        """
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._sent: dict[str, int] = {}
        self._sent_timings: dict[str, tuple[int, float]] = {}

    def flush(self) -> None:
        """Send counter differences, gauges and mean timings since the last flush."""
        with self._client.pipeline() as batch:
            for name, total in self.counters.items():
                difference = total - self._sent.get(name, 0)
                if difference:
                    batch.incr(name, difference)
                    self._sent[name] = total
            for name, value in self.gauges.items():
                batch.gauge(name, value)
            for name, (number, total_ms) in self.timings.items():
                sent_number, sent_ms = self._sent_timings.get(name, (0, 0.0))
                if number > sent_number:
                    batch.timing(name, (total_ms - sent_ms) / (number - sent_number))
                    self._sent_timings[name] = (number, total_ms)
