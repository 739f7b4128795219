"""Keep latency histograms and write metrics as text."""

from bisect import bisect_left

from .metrics import MemoryMetrics

# Upper bounds of the histogram's buckets in ms: a factor of about two, and finer around the time
# that a node may add to a call.
BOUNDS_MS = (0.5, 1, 1.5, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000)


class HistogramMetrics(MemoryMetrics):
    """Keep counters, gauges and a histogram of each timing in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[str, list[int]] = {}

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Add a duration to its histogram."""
        super().timing_ms(name, duration_ms)
        buckets = self.buckets.get(name)
        if buckets is None:
            buckets = self.buckets[name] = [0] * (len(BOUNDS_MS) + 1)
        buckets[bisect_left(BOUNDS_MS, duration_ms)] += 1


def format_prometheus(metrics: HistogramMetrics) -> str:
    """Return all metrics in the Prometheus text format, version 0.0.4."""
    lines = []
    for name, total in sorted(metrics.counters.items()):
        lines.append(f"{_plain(name)}_total {total}")
    for name, value in sorted(metrics.gauges.items()):
        lines.append(f"{_plain(name)} {value:g}")
    for name, buckets in sorted(metrics.buckets.items()):
        below = 0
        for bound_ms, number in zip((*BOUNDS_MS, "+Inf"), buckets, strict=True):
            below += number
            lines.append(f'{_plain(name)}_bucket{{le="{bound_ms}"}} {below}')
        count, total_ms = metrics.timings[name]
        lines.append(f"{_plain(name)}_sum {total_ms:.3f}")
        lines.append(f"{_plain(name)}_count {count}")
    return "\n".join(lines) + "\n"


def _plain(name: str) -> str:
    kept = "".join(letter if letter.isalnum() else "_" for letter in name)
    return f"gentian_{kept}"
