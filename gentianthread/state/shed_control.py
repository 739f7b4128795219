"""Set the thresholds of one target from its demand, its capacity and its queue."""

from collections import deque
from collections.abc import Callable
from math import exp, sqrt

import attrs

from ..ids import OrganisationId, Priority
from .fairness import LARGEST_CUT, cut_for_share, weighted_max_min
from .shed_levels import DEPTH_STEPS, entry_threshold, rank, rank_step
from .work import WorkItem

Weights = Callable[[OrganisationId], float]


@attrs.define
class TargetState:
    """Describe the target at one moment.

    Attributes:
        running: Requests that run.
        limit: Requests that may run at once.
        queued: Requests that wait.
    """

    running: int
    limit: float
    queued: int


class ShedControl:
    """Divide the capacity of a target between organisations whenever its queue is too long.

    Demand is counted above the threshold only and scaled up by the part that the threshold cuts,
    here or at the entry node. Since the cut follows a hash of the root request id, the estimate is
    the same whether the rest was shed here, at the entry node, or not at all.

    Capacity is measured as completions per running
    request and time; the queue corrects it, so that errors of either estimate do not last.
    """

    WINDOW_MS = 50.0
    # About the length of a client's back-off; shorter averages turn noise into refusals.
    DEMAND_TIME_MS = 2_000.0
    CAPACITY_TIME_MS = 500.0
    # Averages that show a change of demand or use soon.
    CHANGE_TIME_MS = 300.0
    # Averages grow longer, up to this factor, until they hold so many requests.
    WANTED_SAMPLES = 20.0
    LONGEST = 3.0
    # A change counts if it exceeds the standard deviation of the recent average this many times.
    NOISE_FACTOR = 2.5
    # Demand of ranks that are cut completely cannot be measured; the last estimate fades slowly.
    UNSEEN_TIME_MS = 30_000.0
    # Work that entry nodes admitted under a recent threshold is not shed here for a newer one.
    # Covers the way of a level to the entry node and of a request back to this one.
    GRACE_WINDOWS = 10
    # Correction of the capacity while the queue is empty.
    GAIN = 0.1
    # Part of the bound of the queue that the control aims at.
    STANDING_PART = 0.25
    # What waits above that is to be gone after this time: new work leaves room for it.
    DRAIN_MS = 3_000.0
    # Parts of the capacity that new work keeps while the queue drains, because it may be more
    # important than what waits; between them by the important demand with some room.
    LEAST_SUPPLY = (0.1, 0.5)
    IMPORTANT_ROOM = 1.3
    TRIM_GAIN = 0.00125
    TRIM_RANGE = (-0.3, 0.3)
    # Smallest used part of the limit for which the demand is corrected at once.
    LEAST_USE = 0.4
    # Windows in a row without any cut after which an overload counts as over.
    CALM_WINDOWS = 20

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
        self._enforced: dict[OrganisationId, float] = {}
        self._recent: deque[dict[OrganisationId, float]] = deque(maxlen=self.GRACE_WINDOWS)
        self._seen: dict[OrganisationId, dict[int, float]] = {}
        self._completed = 0
        self._running_ms = 0.0
        self._smallest_queue = 0
        self._window_from_ms = now_ms
        self._observed_at_ms = now_ms
        self._rate = 0.0
        self._running = 0.0
        self._use = 0.0
        self._trim = 0.0
        self._calm = 0
        self._recent_demand: dict[OrganisationId, float] = {}
        self._shares: dict[OrganisationId, float] = {}

    def record_arrival(self, item: WorkItem) -> None:
        """Count a request that asks for admission."""
        name, step = item.organisation_id, rank_step(item)
        # The entry node may have applied an older threshold, or that of a pool.
        threshold = max(self.thresholds.get(name, 0.0), entry_threshold(item))
        if rank(item) < threshold:
            return
        cut = min(1.0, max(0.0, threshold * DEPTH_STEPS - step))
        seen = self._seen.setdefault(name, {})
        seen[step] = seen.get(step, 0.0) + 1 / max(1 - LARGEST_CUT, 1 - cut)

    def enforced_threshold(self, organisation_id: OrganisationId) -> float:
        """Return the threshold below which the target itself sheds."""
        return self._enforced.get(organisation_id, 0.0)

    def record_completion(self) -> None:
        """Count a request that ended at the target."""
        self._completed += 1

    def capacity_per_ms(self, limit: float) -> float:
        """Return the learned completions per ms when `limit` requests run, or 0 if unknown."""
        return self._rate / self._running * limit if self._running > 0 else 0.0

    def queue_delay_ms(self, state: TargetState) -> float:
        """Return how long a request would wait behind all that wait now."""
        capacity = self.capacity_per_ms(state.limit)
        return state.queued / capacity if capacity > 0 else 0.0

    def over_share(self) -> set[OrganisationId]:
        """Return the organisations whose important or critical work alone exceeds their share."""
        return {name for name, cut in self.thresholds.items() if cut > Priority.IMPORTANT}

    def observe(self, state: TargetState, queue_target_ms: float, now_ms: float) -> bool:
        """Account for the time since the last call; call it before each change of the state.

        Args:
            state: The state that lasted until now.
            queue_target_ms: Queueing delay above which the target counts as overloaded.
            now_ms: Present time in ms.

        Returns:
            Whether a window closed and thresholds may have changed.
        """
        self._running_ms += state.running * (now_ms - self._observed_at_ms)
        self._observed_at_ms = now_ms
        self._smallest_queue = min(self._smallest_queue, state.queued)
        length_ms = now_ms - self._window_from_ms
        if length_ms < self.WINDOW_MS:
            return False
        self._close_window(state, queue_target_ms, length_ms)
        self._window_from_ms = now_ms
        return True

    def _close_window(self, state: TargetState, queue_target_ms: float, length_ms: float) -> None:
        self._measure_use(length_ms, state.limit)
        self._measure_capacity(length_ms)
        self._measure_demand(length_ms)
        capacity = self.capacity_per_ms(state.limit)
        # At least twice the root of the limit may wait: with less, chance leaves places idle.
        allowed = self.allowed_queue = max(queue_target_ms * capacity, 2 * sqrt(state.limit))
        if self._smallest_queue > allowed and not self.overloaded:
            self.overloaded = True
        if self.overloaded and capacity > 0:
            self._share_capacity(capacity, allowed)
        self._recent.append(self.thresholds)
        self._enforced = {
            name: min(recent.get(name, 0.0) for recent in self._recent) for name in self.thresholds
        }
        self._smallest_queue = state.queued

    def _measure_capacity(self, length_ms: float) -> None:
        wanted = self.WANTED_SAMPLES / max(1.0, self._rate * self.CAPACITY_TIME_MS)
        time_ms = self.CAPACITY_TIME_MS * min(self.LONGEST, max(1.0, wanted))
        gain = 1 - exp(-length_ms / time_ms)
        self._rate += gain * (self._completed / length_ms - self._rate)
        self._running += gain * (self._running_ms / length_ms - self._running)
        self._completed = 0
        self._running_ms = 0.0

    def _measure_use(self, length_ms: float, limit: float) -> None:
        use = min(1.0, self._running_ms / length_ms / limit)
        self._use += (1 - exp(-length_ms / self.CHANGE_TIME_MS)) * (use - self._use)

    def _measure_demand(self, length_ms: float) -> None:
        for name in sorted(self._seen.keys() | self.demand.keys()):
            demand = self.demand.setdefault(name, {})
            seen = self._seen.get(name, {})
            gain = 1 - exp(-length_ms / self._demand_time_ms(name, length_ms))
            lowest = int(self.thresholds.get(name, 0.0) * DEPTH_STEPS)
            for step in sorted(seen.keys() | demand.keys()):
                known = demand.get(step, 0.0)
                if step >= lowest:
                    known += gain * (seen.get(step, 0.0) / length_ms - known)
                else:
                    known *= exp(-length_ms / self.UNSEEN_TIME_MS)
                demand[step] = known
            self.demand[name] = {step: rate for step, rate in demand.items() if rate > 1e-6}
        self.demand = {name: demand for name, demand in self.demand.items() if demand}
        self._recent_demand = {name: self._recent_demand[name] for name in self.demand}
        self._seen = {}

    def _demand_time_ms(self, name: OrganisationId, length_ms: float) -> float:
        """Return the averaging time for an organisation: short while its demand changes."""
        seen = sum(self._seen.get(name, {}).values()) / length_ms
        recent = self._recent_demand.get(name, 0.0)
        recent += (1 - exp(-length_ms / self.CHANGE_TIME_MS)) * (seen - recent)
        self._recent_demand[name] = recent
        lowest = int(self.thresholds.get(name, 0.0) * DEPTH_STEPS)
        known = sum(rate for step, rate in self.demand[name].items() if step >= lowest)
        noise = 1 + self.NOISE_FACTOR / sqrt(self._samples(name, self.CHANGE_TIME_MS) + 1)
        if recent > known * noise or recent * noise < known:
            return self.CHANGE_TIME_MS
        return self._steady_time_ms(name)

    def _steady_time_ms(self, name: OrganisationId) -> float:
        """Return an averaging time that is longer where few requests are seen."""
        wanted = self.WANTED_SAMPLES / max(1, self._samples(name, self.DEMAND_TIME_MS))
        return self.DEMAND_TIME_MS * min(self.LONGEST, max(1.0, wanted))

    def _samples(self, name: OrganisationId, time_ms: float) -> float:
        """Return the number of requests behind an average: those above the threshold only."""
        known = sum(self.demand.get(name, {}).values())
        return 2 * time_ms * min(known, self._shares.get(name, known))

    def _unbiased(self, name: OrganisationId) -> dict[int, float]:
        """Return the demand for use as a divisor.

        A share divided by an average of n samples is too large by 1/n in the mean, which would give
        the smallest organisations more than their share.
        """
        samples = self._samples(name, self._steady_time_ms(name))
        factor = 1 + 1 / max(2.0, samples)
        return {step: rate * factor for step, rate in self.demand[name].items()}

    def _least_supply(self, capacity: float) -> float:
        """Return what new work keeps although the queue is long: room for the important work."""
        important = sum(
            rate
            for demand in self.demand.values()
            for step, rate in demand.items()
            if step >= Priority.IMPORTANT * DEPTH_STEPS
        )
        low, high = self.LEAST_SUPPLY
        return capacity * min(high, max(low, self.IMPORTANT_ROOM * important / capacity))

    def _share_capacity(self, capacity: float, allowed: float) -> None:
        # A queue that is never empty uses all places; a longer one starves the lowest classes.
        excess = self._smallest_queue - self.STANDING_PART * allowed
        error = max(-1.0, -excess / allowed)
        low, high = self.TRIM_RANGE
        self._trim = max(low, min(high, self._trim + self.TRIM_GAIN * error))
        correction = self.GAIN * error * capacity if error > 0 else -excess / self.DRAIN_MS
        # Idle places show that the demand was overestimated, for example because retries ended.
        correction += capacity * (1 / max(self.LEAST_USE, self._use) - 1)
        supply = max(self._least_supply(capacity), capacity * (1 + self._trim) + correction)
        totals = {name: sum(demand.values()) for name, demand in self.demand.items()}
        weights = {name: self.weights(name) for name in totals}
        shares = self._shares = weighted_max_min(supply, totals, weights)
        cuts = {
            name: cut_for_share(shares[name], self._unbiased(name))
            for name in totals
            if shares[name] < totals[name]
        }
        self.thresholds = {name: cut for name, cut in cuts.items() if cut > 0}
        self._calm = 0 if self.thresholds or error < 0 else self._calm + 1
        if self._calm >= self.CALM_WINDOWS:
            self.overloaded = False
            self._trim = 0.0
            self._calm = 0
            self._shares = {}
