"""Measure what one target completes and how many requests it may run at once, at its node.

This handles targets that differ in speed by a factor of two to three at equal slots, and change it
many times a second, and targets that slow down when nearly full.
"""

from collections import deque
from math import exp

from .target_load import TargetPace, parse_load
from .usable_slots import FEW_SLOTS, usable_slots


class ConcurrencyLimit:
    """Lower the number of requests that run at once while they take longer than with fewer.

    For each number of running requests, in bands of 5% of the slots, it keeps the latency that nine
    in ten requests exceed. This leaves out the phases in which the instance is slow, and changes of
    the mix of requests. The limit falls if the latency at it exceeds that of the bands below. While
    the limit is always reached, it is lowered for a moment to measure them.

    Attributes:
        value: Requests that may run at once.
    """

    BANDS = 20
    # Number of latencies that are kept for a band, of which half are needed, and their quantile
    # that is compared.
    SAMPLES = 60
    QUANTILE = 0.1
    UPDATE_PERIOD_MS = 500.0
    # Age from which latencies are not used, so that a higher limit is tried again.
    MAX_AGE_MS = 10_000.0
    # Number of bands below the limit that are compared, and by how many of them it is lowered to
    # measure: a target may be slow in the band next to the limit as well.
    COMPARED_BANDS = 4
    MEASURED_BELOW = 2
    # Longest time for which the limit is lowered to measure the bands below.
    MEASURING_MS = 1_000.0
    # Time between two such measurements, as each costs some capacity of a full target.
    MEASURING_PERIOD_MS = 30_000.0
    # The limit falls from this ratio of the latencies on, plus the part of the capacity that a
    # lower limit takes away. The low latencies of bands without a difference vary by about 5%.
    LONGER_RATIO = 1.15
    # Part of the usable slots that it keeps at least.
    FLOOR = 0.8

    def __init__(self) -> None:
        self.value = 1
        self.configure(1)

    def configure(self, slots: int) -> None:
        """Set the listed slots, and start at the highest limit."""
        self._slots = max(1, slots)
        self.value = self._highest = usable_slots(slots)
        self._floor = max(min(FEW_SLOTS, self._highest), int(self._highest * self.FLOOR))
        # Newest latencies of each band, and the time of the last one.
        self._latencies: dict[int, tuple[deque[float], float]] = {}
        self._updated_ms = 0.0
        # Limit to return to after the bands below were measured, and the time by which.
        self._resting = self._highest
        self._measuring_until_ms = 0.0
        self._next_measuring_ms = 0.0

    def _band_of(self, running: int) -> int:
        return min(self.BANDS - 1, max(0, (running - 1) * self.BANDS // self._slots))

    def record(self, running: int, took_ms: float, now_ms: float) -> None:
        """Record the latency of an answer.

        Args:
            running: Requests that ran, this one included.
            took_ms: Its latency.
            now_ms: Present time in ms.
        """
        if self._highest <= self._floor:
            return
        index = self._band_of(running)
        latencies, recorded_ms = self._latencies.get(index, (None, 0.0))
        if latencies is None or now_ms - recorded_ms > self.MAX_AGE_MS:
            latencies = deque(maxlen=self.SAMPLES)
        latencies.append(took_ms)
        self._latencies[index] = (latencies, now_ms)
        if now_ms - self._updated_ms >= self.UPDATE_PERIOD_MS:
            self._updated_ms = now_ms
            self._update(now_ms)

    def _low_ms(self, index: int, now_ms: float) -> float:
        """Return the low latency of a band, or 0 if it is not known."""
        latencies, recorded_ms = self._latencies.get(index, (None, 0.0))
        if latencies is None or now_ms - recorded_ms > self.MAX_AGE_MS:
            return 0.0
        count = len(latencies)
        return sorted(latencies)[int(count * self.QUANTILE)] if count >= self.SAMPLES / 2 else 0.0

    def _update(self, now_ms: float) -> None:
        if self._measuring_until_ms:
            if now_ms < self._measuring_until_ms and not self._below_ms(self._resting, now_ms):
                return
            self.value, self._measuring_until_ms = self._resting, 0.0
        here_ms = self._low_ms(self._band_of(self.value), now_ms)
        below_ms = self._below_ms(self.value, now_ms)
        step = max(1, self._slots // self.BANDS)
        longer_ratio = self.LONGER_RATIO + step / self.value
        if here_ms and not below_ms and self.value > self._floor:
            if now_ms < self._next_measuring_ms:
                return
            self._next_measuring_ms = now_ms + self.MEASURING_PERIOD_MS
            self._resting, self._measuring_until_ms = self.value, now_ms + self.MEASURING_MS
            lower = self._band_of(self.value) - self.MEASURED_BELOW + 1
            self.value = max(self._floor, lower * self._slots // self.BANDS)
        elif below_ms and here_ms > longer_ratio * below_ms:
            self.value = max(self._floor, self.value - step)
        else:
            higher = min(self._highest, self.value + step)
            known_ms = here_ms or below_ms
            if self._low_ms(self._band_of(higher), now_ms) <= longer_ratio * known_ms:
                self.value = higher

    def _below_ms(self, limit: int, now_ms: float) -> float:
        """Return the least low latency of the known bands close below a limit, or 0."""
        index = self._band_of(limit)
        known = [
            low_ms
            for lower in range(max(0, index - self.COMPARED_BANDS), index)
            if (low_ms := self._low_ms(lower, now_ms))
        ]
        return min(known, default=0.0)


class MeasuredCapacity:
    """Measure the throughput of a target from its completions and the requests that run.

    Attributes:
        slots: Listed slots of the target.
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
        self.pace = TargetPace()
        self.service_ms = self.INITIAL_SERVICE_MS
        self.invalid_figures = 0
        self._answers = 0
        self._concurrency = ConcurrencyLimit()
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
            self._concurrency.configure(slots)

    @property
    def limit(self) -> int:
        """Return how many requests may run at once; `usable_slots` without the fourth figure."""
        return self._concurrency.value

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
        self._concurrency.record(self._running, took_ms, now_ms)
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
