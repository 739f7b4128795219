"""Collect and report what callers saw."""

import csv
import json
from collections import Counter, defaultdict
from enum import Enum
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from ..errors import GentianError
from ..ids import Priority

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3


class Result(Enum):
    """Name how a caller's whole request ended."""

    COMPLETE = "complete"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CORRUPT = "corrupt"


@attrs.frozen
class Sample:
    """Describe one finished whole request.

    Attributes:
        organisation: Its organisation.
        priority: Its priority.
        started_s: When it was due, from the start of the experiment.
        latency_ms: From the due time to the end of the answer.
        attempts: How often the caller sent it.
        result: How it ended.
        reason: Refusal reason or error type, or "".
    """

    organisation: str
    priority: Priority
    started_s: float
    latency_ms: float
    attempts: int
    result: Result
    reason: str


class PlotsUnavailable(GentianError):
    """Report that the plotting library is not installed."""

    def __init__(self) -> None:
        super().__init__("plots need the extra: pip install 'gentianthread[plots]'")


class Results:
    """Sum up samples by organisation, by priority and by second."""

    def __init__(self) -> None:
        self.samples: list[Sample] = []

    def add(self, sample: Sample) -> None:
        """Add one finished request."""
        self.samples.append(sample)

    def groups(self) -> dict[str, list[Sample]]:
        """Return the samples in all, by organisation and by priority."""
        groups: dict[str, list[Sample]] = defaultdict(list)
        for sample in self.samples:
            groups["all"].append(sample)
            groups[f"organisation {sample.organisation}"].append(sample)
            groups[f"priority {sample.priority.name.lower()}"].append(sample)
        return dict(sorted(groups.items()))

    def summary(self, duration_s: float) -> dict:
        """Return the figures of every group.

        Args:
            duration_s: Length of the experiment.
        """
        return {name: _summarise(group, duration_s) for name, group in self.groups().items()}

    def table(self, duration_s: float) -> str:
        """Return the figures as text."""
        lines = [
            f"{'group':28} {'sent':>7} {'goodput/s':>9} {'refused':>8} {'unknown':>8} {'failed':>7}"
            f" {'corrupt':>7} {'p50 ms':>8} {'p99 ms':>8} {'attempts':>8}"
        ]
        for name, row in self.summary(duration_s).items():
            lines.append(
                f"{name:28} {row['sent']:7} {row['goodput_per_s']:9.1f} {row['refused']:8}"
                f" {row['unknown']:8} {row['failed']:7} {row['corrupt']:7} {row['p50_ms']:8.1f}"
                f" {row['p99_ms']:8.1f} {row['attempts']:8}"
            )
        reasons = Counter(sample.reason for sample in self.samples if sample.reason)
        lines += [f"reason {reason}: {number}" for reason, number in reasons.most_common()]
        return "\n".join(lines)

    def json(self, duration_s: float) -> str:
        """Return the figures as JSON."""
        return json.dumps(self.summary(duration_s), indent=2)

    def series(self) -> dict[str, Counter]:
        """Return completed requests per second of start, for each group."""
        return {
            name: Counter(
                int(sample.started_s) for sample in group if sample.result is Result.COMPLETE
            )
            for name, group in self.groups().items()
        }

    def write_csv(self, path: Path) -> None:
        """Write the goodput series, one row per second and group."""
        with path.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["second", "group", "goodput_per_s"])
            for name, counts in self.series().items():
                for second in range(max(counts, default=-1) + 1):
                    writer.writerow([second, name, counts[second]])

    def write_png(self, path: Path, trigger_s: tuple[float, float], title: str) -> None:
        """Plot goodput over time by priority and by organisation.

        Args:
            path: The file to write.
            trigger_s: Start and end of the trigger, which is shaded.
            title: Put above the picture.

        Raises:
            PlotsUnavailable: The plotting library is not installed.
        """
        plot_series(self.series(), path, [trigger_s], title)


def plot_series(
    series: dict[str, Counter], path: Path, triggers_s: list[tuple[float, float]], title: str
) -> None:
    """Plot goodput series, priorities above and organisations below.

    Args:
        series: Completed requests by second, for each group.
        path: The PNG file to write.
        triggers_s: Start and end of each trigger; they are shaded.
        title: Put above the picture.

    Raises:
        PlotsUnavailable: The plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotsUnavailable() from error
    figure = Figure(figsize=(9, 7), layout="constrained")
    figure.suptitle(title)
    for axes, kind in zip(figure.subplots(2, 1), ("priority", "organisation"), strict=True):
        for place, trigger_s in enumerate(triggers_s):
            axes.axvspan(*trigger_s, color="0.9", label=None if place else "trigger")
        for name, counts in series.items():
            if name.startswith(kind):
                seconds = list(range(max(counts, default=-1) + 1))
                axes.plot(seconds, [counts[second] for second in seconds], label=name)
        axes.set_xlabel("time (s)")
        axes.set_ylabel("goodput (requests/s)")
        axes.set_ylim(bottom=0)
        axes.legend(fontsize="small")
    figure.savefig(path, dpi=100)


def _summarise(group: list[Sample], duration_s: float) -> dict:
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    results = Counter(sample.result for sample in group)
    for sample in group:
        if sample.result is Result.COMPLETE:
            histogram.record_value(min(_HIGHEST_US, max(_LOWEST_US, int(sample.latency_ms * 1000))))
    return {
        "sent": len(group),
        "goodput_per_s": results[Result.COMPLETE] / duration_s,
        **{result.value: results[result] for result in Result},
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "attempts": sum(sample.attempts for sample in group),
    }
