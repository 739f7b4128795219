"""Record latency histograms and export metrics in the Prometheus text format."""

from bisect import bisect_left

from .metrics import MemoryMetrics

# Upper bounds of the histogram buckets in ms. They double roughly, with finer steps around the
# latency that a node may add to a call.
BUCKET_BOUNDS_MS = (0.5, 1, 1.5, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000)


class HistogramMetrics(MemoryMetrics):
    """Store counters, gauges and a histogram of each timing in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[str, list[int]] = {}

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Add a duration to the histogram of the timing."""
        super().timing_ms(name, duration_ms)
        buckets = self.buckets.get(name)
        if buckets is None:
            buckets = self.buckets[name] = [0] * (len(BUCKET_BOUNDS_MS) + 1)
        buckets[bisect_left(BUCKET_BOUNDS_MS, duration_ms)] += 1


def format_prometheus(metrics: HistogramMetrics) -> str:
    """Export all metrics in the Prometheus text format, version 0.0.4."""
    lines = []
    for name, total in sorted(metrics.counters.items()):
        lines.append(f"{_metric_name(name)}_total {total}")
    for name, value in sorted(metrics.gauges.items()):
        lines.append(f"{_metric_name(name)} {value:g}")
    for name, buckets in sorted(metrics.buckets.items()):
        cumulative = 0
        for bound_ms, bucket_count in zip((*BUCKET_BOUNDS_MS, "+Inf"), buckets, strict=True):
            cumulative += bucket_count
            lines.append(f'{_metric_name(name)}_bucket{{le="{bound_ms}"}} {cumulative}')
        count, total_ms = metrics.timings[name]
        lines.append(f"{_metric_name(name)}_sum {total_ms:.3f}")
        lines.append(f"{_metric_name(name)}_count {count}")
    return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    sanitized = "".join(character if character.isalnum() else "_" for character in name)
    return f"gentian_{sanitized}"
