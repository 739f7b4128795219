"""Measure what one target completes, at its node.

This handles targets that differ in speed by a factor of two to three at equal slots, and change it
many times a second.
"""

from math import exp

from .target_load import TargetPace, parse_load
from .usable_slots import usable_slots


class MeasuredCapacity:
    """Measure the throughput of a target from its completions and the requests that run.

    Attributes:
        slots: Listed slots of the target.
        limit: Requests that may run at once.
        pace: How long its work takes at present.
        service_ms: Moving average of the time that a request takes on the target.
        invalid_figures: Number of answers whose figures were malformed.
    """

    # Assumed service time until the first answer, and the weight of the newest one afterwards.
    INITIAL_SERVICE_MS = 50.0
    SERVICE_TIME_WEIGHT = 0.05
    UPDATE_PERIOD_MS = 100.0
    # Time constant of the averages. The pace of a target lasts 600 ms, so that shorter averages
    # would follow single phases, which the stated percentage tells earlier.
    AVERAGING_TIME_MS = 2_000.0
    # Mean number of running requests below which the averages do not tell the throughput.
    MIN_RUNNING = 0.05

    def __init__(self, now_ms: float):
        """Create the measurement of an idle target with one slot.

        Args:
            now_ms: Present time in ms.
        """
        self.slots = 1
        self.limit = 1
        self.pace = TargetPace()
        self.service_ms = self.INITIAL_SERVICE_MS
        self.invalid_figures = 0
        self._answers = 0
        self._running = 0
        self._changed_ms = self._period_started_ms = now_ms
        # Integral of the running requests over the present period.
        self._request_ms = 0.0
        self._completed = 0
        self._mean_running = 0.0
        self._completions_per_ms = 0.0

    @property
    def active(self) -> bool:
        """Return whether the target states the fourth figure; otherwise nothing is measured."""
        return self.pace.active

    def configure(self, slots: int) -> None:
        """Set the listed slots."""
        if slots != self.slots:
            self.slots = slots
            self.limit = usable_slots(slots)

    def record_load(self, value: str | None, running: int, now_ms: float) -> None:
        """Store the load figures of an answer.

        Args:
            value: Value of the header field, or None if there is none.
            running: Requests of this node that run on the target.
            now_ms: Present time in ms.
        """
        # Three figures tell nothing that the node does not know better.
        if value is None or value.count(",") == 2:
            return
        figures = parse_load(value)
        if figures is None:
            self.invalid_figures += 1
            return
        if not self.active:
            self._running, self._changed_ms, self._period_started_ms = running, now_ms, now_ms
        self.pace.record_percent(figures.work_percent, now_ms)

    def record_running(self, running: int, now_ms: float) -> None:
        """Store how many requests run, after each change."""
        if self.active:
            self._request_ms += self._running * (now_ms - self._changed_ms)
            self._running, self._changed_ms = running, now_ms

    def record_answer(self, took_ms: float, now_ms: float) -> None:
        """Record the latency of an answer, after `record_load` with its figures."""
        if not self._answers:
            self.service_ms = took_ms
        self._answers += 1
        self.service_ms += self.SERVICE_TIME_WEIGHT * (took_ms - self.service_ms)
        if not self.active:
            return
        self.pace.record_latency(took_ms)
        self._completed += 1
        elapsed_ms = now_ms - self._period_started_ms
        if elapsed_ms >= self.UPDATE_PERIOD_MS:
            self._update(elapsed_ms, now_ms)

    def _update(self, elapsed_ms: float, now_ms: float) -> None:
        self.record_running(self._running, now_ms)
        gain = 1 - exp(-elapsed_ms / self.AVERAGING_TIME_MS)
        self._mean_running += gain * (self._request_ms / elapsed_ms - self._mean_running)
        self._completions_per_ms += gain * (self._completed / elapsed_ms - self._completions_per_ms)
        self._request_ms, self._completed, self._period_started_ms = 0.0, 0, now_ms

    @property
    def throughput_per_s(self) -> float:
        """Return the requests per second that the target completes while `limit` requests run.

        It is 0 if the target does not state its pace. By Little's law it is the limit divided by
        the mean time for which a request holds a slot. Requests without an answer hold slots as
        well, and thus lower it.
        """
        if not self.active:
            return 0.0
        if self._mean_running < self.MIN_RUNNING:
            return self.limit * 1_000 / max(0.1, self.service_ms)
        return self.limit * self._completions_per_ms / self._mean_running * 1_000
