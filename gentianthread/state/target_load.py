"""Read the load figures of a target, and check the pace that it states against its latencies.

This handles targets that share their instance, so that 15% of them take 2.5 times as long and this
changes every 600 ms, and targets whose figures are late or false.
"""

import re

import attrs

_FIGURES = re.compile(
    r"[ \t]*(\d{1,9})[ \t]*,[ \t]*(\d{1,9})[ \t]*,[ \t]*(\d{1,9})"
    r"(?:[ \t]*,[ \t]*(\d{1,6}(?:\.\d{1,9})?))?[ \t]*",
    re.ASCII,
)


@attrs.frozen
class LoadFigures:
    """Store the figures of one answer.

    Attributes:
        running: Requests that run on the target.
        waiting: Requests that wait in it.
        slots: Requests that it runs concurrently.
        work_percent: Time that work takes on its instance, in percent of the usual time; 0 if it
            does not tell.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float


def parse_load(value: str) -> LoadFigures | None:
    """Return the three or four figures of a header field, or None if it is malformed.

    Args:
        value: Value of the header field.
    """
    match = _FIGURES.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    return LoadFigures(int(running), int(waiting), int(slots), float(percent or 0))


class TargetPace:
    """Estimate how long work takes on a target now, relative to its recent mean.

    The stated percentage is calibrated: the node averages its latencies divided by the percentage
    that was stated with them, so that a constant factor in the figures has no effect. It is trusted
    only while it predicts latencies better than their plain mean does.
    """

    # Time for which a figure holds, and by which it has faded to the mean. The pace of a target
    # lasts 600 ms, so that a figure says nothing after that time.
    HOLD_MS = 100.0
    FADE_MS = 600.0
    # Weight of the newest sample in the means; the errors are averaged over more samples.
    MEAN_GAIN = 0.05
    ERROR_GAIN = 0.02
    # The figure is trusted in full up to the first ratio of its error to that of the plain mean,
    # and not at all from the second one on. At a constant pace both errors are equal.
    FULL_TRUST_RATIO = 1.05
    NO_TRUST_RATIO = 1.25
    # Bounds of the result in percent, against single figures that are far off.
    RANGE_PERCENT = (25.0, 400.0)

    def __init__(self) -> None:
        self._percent = 0.0
        self._stated_ms = float("-inf")
        self._mean_ms = 0.0
        self._usual_ms = 0.0
        self._mean_error_ms = 0.0
        self._usual_error_ms = 0.0

    @property
    def active(self) -> bool:
        """Return whether the target has ever stated its pace."""
        return self._percent > 0

    def record_percent(self, percent: float, now_ms: float) -> None:
        """Store the percentage that an answer stated; 0 if it stated none."""
        if percent > 0:
            self._percent, self._stated_ms = percent, now_ms

    def record_latency(self, took_ms: float) -> None:
        """Record the latency of an answer, after the percentage that it stated."""
        if not self._percent:
            return
        factor = self._percent / 100
        if not self._mean_ms:
            self._mean_ms, self._usual_ms = took_ms, took_ms / factor
        mean_error_ms = abs(took_ms - self._mean_ms)
        usual_error_ms = abs(took_ms - self._usual_ms * factor)
        self._mean_error_ms += self.ERROR_GAIN * (mean_error_ms - self._mean_error_ms)
        self._usual_error_ms += self.ERROR_GAIN * (usual_error_ms - self._usual_error_ms)
        self._mean_ms += self.MEAN_GAIN * (took_ms - self._mean_ms)
        self._usual_ms += self.MEAN_GAIN * (took_ms / factor - self._usual_ms)

    def trust(self) -> float:
        """Return how far the figures are trusted, 0 to 1."""
        if self._usual_error_ms <= self.FULL_TRUST_RATIO * self._mean_error_ms:
            return 1.0
        ratio = self._usual_error_ms / max(1e-9, self._mean_error_ms)
        span = self.NO_TRUST_RATIO - self.FULL_TRUST_RATIO
        return max(0.0, (self.NO_TRUST_RATIO - ratio) / span)

    def percent(self, now_ms: float) -> float:
        """Return the time that work takes now in percent of its recent mean; 0 if never stated."""
        if not self._percent or not self._mean_ms:
            return 100.0 if self._percent else 0.0
        age_ms = now_ms - self._stated_ms
        freshness = 1 - max(0.0, age_ms - self.HOLD_MS) / (self.FADE_MS - self.HOLD_MS)
        if freshness <= 0:
            return 100.0
        low, high = self.RANGE_PERCENT
        stated = min(high, max(low, self._usual_ms * self._percent / self._mean_ms))
        return 100.0 + freshness * self.trust() * (stated - 100.0)
