"""Compute the shed thresholds of one target from its demand, its capacity and its queue."""

from collections import deque
from collections.abc import Callable
from math import exp, sqrt

import attrs

from ..ids import OrganisationId, Priority
from .fairness import MAX_CUT_FRACTION, threshold_for_share, weighted_max_min
from .shed_levels import DEPTH_STEPS, entry_threshold, rank, rank_step
from .work import WorkItem

Weights = Callable[[OrganisationId], float]


@attrs.define
class TargetState:
    """Store the state of a target at one point in time.

    Attributes:
        running: Requests that run.
        limit: Requests that may run at once.
        queued: Requests that wait.
    """

    running: int
    limit: float
    queued: int


class ShedControl:
    """Divide the capacity of a target between organisations while its queue is too long.

    Demand is counted above the threshold only, and scaled up by the fraction that the threshold
    cuts. Since the cut follows a hash of the root request id, the estimate is the same whether the
    remaining requests were shed here, at the entry node, or not at all.

    Capacity is measured as completions per running request and unit of time. It is corrected by the
    length of the queue, so that errors of the demand and capacity estimates do not persist.
    """

    WINDOW_MS = 50.0
    # About the back-off of a client; with a shorter time, noise of the demand causes refusals.
    DEMAND_AVERAGING_MS = 2_000.0
    CAPACITY_AVERAGING_MS = 500.0
    # Short averaging time, to detect changes of demand and utilisation early.
    CHANGE_AVERAGING_MS = 300.0
    # Averaging times are extended, up to this factor, until they cover this many requests.
    DESIRED_SAMPLES = 20.0
    MAX_AVERAGING_FACTOR = 3.0
    # Demand counts as changed if it differs by this many standard deviations of the short average.
    NOISE_FACTOR = 2.5
    # Demand of ranks that are shed completely cannot be measured; its last estimate decays slowly.
    UNMEASURED_DECAY_MS = 30_000.0
    # Work that entry nodes admitted under a threshold of these last windows is not shed here. They
    # cover the time until a level reaches the entry node and a request of it arrives here.
    GRACE_WINDOWS = 10
    # Proportional gain of the correction of the capacity while the queue is too short.
    IDLE_GAIN = 0.1
    # Queue length that the control aims at, as a fraction of the bound.
    AIMED_QUEUE_FRACTION = 0.25
    # Time in which a longer queue is to be drained; new work is reduced accordingly.
    DRAIN_TIME_MS = 3_000.0
    # Bounds of the fraction of the capacity that new work keeps while the queue drains, since it
    # may be more important than the queued work. Between them it follows the important demand,
    # times this headroom.
    MIN_SUPPLY_FRACTIONS = (0.1, 0.5)
    IMPORTANT_HEADROOM = 1.3
    # Gain per window and range of the integral correction of the capacity.
    INTEGRAL_GAIN = 0.00125
    INTEGRAL_RANGE = (-0.3, 0.3)
    # Lower bound of the utilisation by which the supply is corrected for idle slots.
    MIN_UTILISATION = 0.4
    # Consecutive windows without any threshold after which an overload has ended.
    RECOVERY_WINDOWS = 20

    def __init__(self, weights: Weights, now_ms: float):
        """Create a control without any demand.

        Args:
            weights: Returns the weight of an organisation.
            now_ms: Present time in ms.
        """
        self.weights = weights
        self.overloaded = False
        self.allowed_queue = 0.0
        self.thresholds: dict[OrganisationId, float] = {}
        self.demand: dict[OrganisationId, dict[int, float]] = {}
        self._enforced_thresholds: dict[OrganisationId, float] = {}
        self._recent_thresholds: deque[dict[OrganisationId, float]] = deque(
            maxlen=self.GRACE_WINDOWS
        )
        self._window_demand: dict[OrganisationId, dict[int, float]] = {}
        self._completed = 0
        self._running_ms = 0.0
        self._min_queued = 0
        self._window_started_ms = now_ms
        self._observed_at_ms = now_ms
        self._completions_per_ms = 0.0
        self._mean_running = 0.0
        self._mean_utilisation = 0.0
        self._integral_correction = 0.0
        self._windows_without_cut = 0
        self._recent_demand: dict[OrganisationId, float] = {}
        self._shares: dict[OrganisationId, float] = {}

    def record_arrival(self, item: WorkItem) -> None:
        """Count a request that arrives for admission."""
        name, step = item.organisation_id, rank_step(item)
        # The entry node may have applied an older threshold, or that of a pool of upstreams.
        threshold = max(self.thresholds.get(name, 0.0), entry_threshold(item))
        if rank(item) < threshold:
            return
        cut = min(1.0, max(0.0, threshold * DEPTH_STEPS - step))
        window_demand = self._window_demand.setdefault(name, {})
        window_demand[step] = window_demand.get(step, 0.0) + 1 / max(1 - MAX_CUT_FRACTION, 1 - cut)

    def enforced_threshold(self, organisation_id: OrganisationId) -> float:
        """Return the threshold below which the node of the target sheds requests itself."""
        return self._enforced_thresholds.get(organisation_id, 0.0)

    def record_completion(self) -> None:
        """Count a request that the target completed."""
        self._completed += 1

    def capacity_per_ms(self, limit: float) -> float:
        """Return the measured completions per ms when `limit` requests run, or 0 if unknown."""
        return (
            self._completions_per_ms / self._mean_running * limit if self._mean_running > 0 else 0.0
        )

    def queue_delay_ms(self, state: TargetState) -> float:
        """Return how long a request would wait behind all queued requests."""
        capacity = self.capacity_per_ms(state.limit)
        return state.queued / capacity if capacity > 0 else 0.0

    def over_share(self) -> set[OrganisationId]:
        """Return the organisations whose important and critical work alone exceeds their share."""
        return {name for name, cut in self.thresholds.items() if cut > Priority.IMPORTANT}

    def observe(self, state: TargetState, queue_target_ms: float, now_ms: float) -> bool:
        """Account for the time since the last call; call it before each change of the state.

        Args:
            state: The state since the last call.
            queue_target_ms: Queueing delay above which the target counts as overloaded.
            now_ms: Present time in ms.

        Returns:
            Whether a window closed and thresholds may have changed.
        """
        self._running_ms += state.running * (now_ms - self._observed_at_ms)
        self._observed_at_ms = now_ms
        self._min_queued = min(self._min_queued, state.queued)
        elapsed_ms = now_ms - self._window_started_ms
        if elapsed_ms < self.WINDOW_MS:
            return False
        self._close_window(state, queue_target_ms, elapsed_ms)
        self._window_started_ms = now_ms
        return True

    def _close_window(self, state: TargetState, queue_target_ms: float, elapsed_ms: float) -> None:
        self._measure_utilisation(elapsed_ms, state.limit)
        self._measure_capacity(elapsed_ms)
        self._measure_demand(elapsed_ms)
        capacity = self.capacity_per_ms(state.limit)
        # At least twice the square root of the limit may wait; with a shorter queue, random
        # fluctuations leave slots idle.
        queue_bound = self.allowed_queue = max(queue_target_ms * capacity, 2 * sqrt(state.limit))
        if self._min_queued > queue_bound and not self.overloaded:
            self.overloaded = True
        if self.overloaded and capacity > 0:
            self._share_capacity(capacity, queue_bound)
        self._recent_thresholds.append(self.thresholds)
        self._enforced_thresholds = {
            name: min(recent.get(name, 0.0) for recent in self._recent_thresholds)
            for name in self.thresholds
        }
        self._min_queued = state.queued

    def _measure_capacity(self, elapsed_ms: float) -> None:
        time_factor = self.DESIRED_SAMPLES / max(
            1.0, self._completions_per_ms * self.CAPACITY_AVERAGING_MS
        )
        averaging_ms = self.CAPACITY_AVERAGING_MS * min(
            self.MAX_AVERAGING_FACTOR, max(1.0, time_factor)
        )
        gain = 1 - exp(-elapsed_ms / averaging_ms)
        self._completions_per_ms += gain * (self._completed / elapsed_ms - self._completions_per_ms)
        self._mean_running += gain * (self._running_ms / elapsed_ms - self._mean_running)
        self._completed = 0
        self._running_ms = 0.0

    def _measure_utilisation(self, elapsed_ms: float, limit: float) -> None:
        utilisation = min(1.0, self._running_ms / elapsed_ms / limit)
        self._mean_utilisation += (1 - exp(-elapsed_ms / self.CHANGE_AVERAGING_MS)) * (
            utilisation - self._mean_utilisation
        )

    def _measure_demand(self, elapsed_ms: float) -> None:
        for name in sorted(self._window_demand.keys() | self.demand.keys()):
            demand = self.demand.setdefault(name, {})
            window_demand = self._window_demand.get(name, {})
            gain = 1 - exp(-elapsed_ms / self._demand_averaging_ms(name, elapsed_ms))
            lowest_measured = int(self.thresholds.get(name, 0.0) * DEPTH_STEPS)
            for step in sorted(window_demand.keys() | demand.keys()):
                average = demand.get(step, 0.0)
                if step >= lowest_measured:
                    average += gain * (window_demand.get(step, 0.0) / elapsed_ms - average)
                else:
                    average *= exp(-elapsed_ms / self.UNMEASURED_DECAY_MS)
                demand[step] = average
            self.demand[name] = {step: rate for step, rate in demand.items() if rate > 1e-6}
        self.demand = {name: demand for name, demand in self.demand.items() if demand}
        self._recent_demand = {name: self._recent_demand[name] for name in self.demand}
        self._window_demand = {}

    def _demand_averaging_ms(self, name: OrganisationId, elapsed_ms: float) -> float:
        """Return the averaging time for an organisation, which is short while demand changes."""
        window_demand = sum(self._window_demand.get(name, {}).values()) / elapsed_ms
        recent = self._recent_demand.get(name, 0.0)
        recent += (1 - exp(-elapsed_ms / self.CHANGE_AVERAGING_MS)) * (window_demand - recent)
        self._recent_demand[name] = recent
        lowest_measured = int(self.thresholds.get(name, 0.0) * DEPTH_STEPS)
        average = sum(rate for step, rate in self.demand[name].items() if step >= lowest_measured)
        noise = 1 + self.NOISE_FACTOR / sqrt(self._sample_count(name, self.CHANGE_AVERAGING_MS) + 1)
        if recent > average * noise or recent * noise < average:
            return self.CHANGE_AVERAGING_MS
        return self._steady_averaging_ms(name)

    def _steady_averaging_ms(self, name: OrganisationId) -> float:
        """Return the averaging time at steady demand, which is longer for few requests."""
        time_factor = self.DESIRED_SAMPLES / max(
            1, self._sample_count(name, self.DEMAND_AVERAGING_MS)
        )
        return self.DEMAND_AVERAGING_MS * min(self.MAX_AVERAGING_FACTOR, max(1.0, time_factor))

    def _sample_count(self, name: OrganisationId, averaging_ms: float) -> float:
        """Return the number of samples in an average, which counts admitted requests only."""
        average = sum(self.demand.get(name, {}).values())
        return 2 * averaging_ms * min(average, self._shares.get(name, average))

    def _unbiased_demand(self, name: OrganisationId) -> dict[int, float]:
        """Return the demand, scaled for use as a divisor.

        A share divided by an average of n samples is too large by 1/n on average, which would give
        the smallest organisations more than their share.
        """
        samples = self._sample_count(name, self._steady_averaging_ms(name))
        factor = 1 + 1 / max(2.0, samples)
        return {step: rate * factor for step, rate in self.demand[name].items()}

    def _min_supply(self, capacity: float) -> float:
        """Return the capacity that new work keeps while the queue drains, for important work."""
        important = sum(
            rate
            for demand in self.demand.values()
            for step, rate in demand.items()
            if step >= Priority.IMPORTANT * DEPTH_STEPS
        )
        low, high = self.MIN_SUPPLY_FRACTIONS
        return capacity * min(high, max(low, self.IMPORTANT_HEADROOM * important / capacity))

    def _share_capacity(self, capacity: float, queue_bound: float) -> None:
        # A queue that is never empty keeps all slots in use; a longer one starves the lowest
        # priority classes.
        excess = self._min_queued - self.AIMED_QUEUE_FRACTION * queue_bound
        error = max(-1.0, -excess / queue_bound)
        low, high = self.INTEGRAL_RANGE
        self._integral_correction = max(
            low, min(high, self._integral_correction + self.INTEGRAL_GAIN * error)
        )
        correction = (
            self.IDLE_GAIN * error * capacity if error > 0 else -excess / self.DRAIN_TIME_MS
        )
        # Idle slots show that the demand was overestimated, for example because retries ended.
        correction += capacity * (1 / max(self.MIN_UTILISATION, self._mean_utilisation) - 1)
        supply = max(
            self._min_supply(capacity), capacity * (1 + self._integral_correction) + correction
        )
        totals = {name: sum(demand.values()) for name, demand in self.demand.items()}
        weights = {name: self.weights(name) for name in totals}
        shares = self._shares = weighted_max_min(supply, totals, weights)
        thresholds = {
            name: threshold_for_share(shares[name], self._unbiased_demand(name))
            for name in totals
            if shares[name] < totals[name]
        }
        self.thresholds = {name: cut for name, cut in thresholds.items() if cut > 0}
        self._windows_without_cut = (
            0 if self.thresholds or error < 0 else self._windows_without_cut + 1
        )
        if self._windows_without_cut >= self.RECOVERY_WINDOWS:
            self.overloaded = False
            self._integral_correction = 0.0
            self._windows_without_cut = 0
            self._shares = {}
