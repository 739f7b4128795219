"""Admit work to one target under a learned limit, a bounded queue and fair shedding."""

import asyncio
from collections.abc import Hashable
from random import Random

from ..clock import Clock
from ..errors import Refused
from ..events import OVERLOAD_ENDED, OVERLOAD_STARTED, PROFILE_REVISED, SHARE_EXCEEDED, SLOW_START
from ..ids import OrganisationId, Outcome, RefusalReason, ServiceId, UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..state.backlog import Backlog, Waiter, Weights, queue_orders, revise_order
from ..state.latency import LowLatency
from ..state.limiters import limiters
from ..state.plan import Profile
from ..state.shed_control import ShedControl, TargetState
from ..state.shed_levels import ShedLevels, combine, rank, route_key, sheds, threshold_for
from ..state.work import ShedLevel, WorkItem
from .admission import Admission, Permit

# Part of the limit that a cold target gets at first.
COLD_PART = 0.1
# Callers that come back sooner meet the same thresholds.
RETRY_AFTER_MS = 500.0
# Levels change every 50 ms; they are not combined anew for every answer.
LEVEL_CACHE_MS = 10.0


class _TargetPermit(Permit):
    def __init__(self, owner: "TargetAdmission", started_at_ms: float):
        self._owner: TargetAdmission | None = owner
        self.started_at_ms = started_at_ms

    def release(self, outcome: Outcome, latency_ms: float) -> None:
        owner, self._owner = self._owner, None
        if owner is not None:
            owner._ended(outcome, latency_ms)


class TargetAdmission(Admission):
    """Decide for one target what runs, what waits and what is refused.

    Every public method must be called on the event loop's thread.
    """

    def __init__(
        self,
        upstream_id: UpstreamId,
        profile: Profile,
        slots: int,
        clock: Clock,
        weights: Weights = lambda _: 1.0,
        metrics: Metrics | None = None,
        random: Random | None = None,
        *,
        cold: bool = False,
    ):
        """Create the admission of a target.

        Args:
            upstream_id: The upstream, for log lines.
            profile: How the service behaves under load.
            slots: Published slots of the target.
            clock: Clock of the deadlines.
            weights: Returns the weight of an organisation.
            metrics: Where counters and gauges go.
            random: Source of the choice which work passes a fading level.
            cold: Whether the target has just started.

        Raises:
            UnknownEntryError: The profile names an unknown limiter or queue order.
        """
        self.upstream_id = upstream_id
        self.profile = profile
        self.slots = slots
        self.clock = clock
        self.weights = weights
        self.metrics = metrics or MemoryMetrics()
        self.running = 0
        self._random = random or Random()
        now_ms = clock.now_ms()
        self._limiter = limiters.get(profile.limiter)(*self._bounds())
        self._backlog: Backlog = queue_orders.get(profile.queue_order)(weights)
        self._control = ShedControl(weights, now_ms)
        self._service = LowLatency()
        self._inner: dict[Hashable, set[ServiceId]] = {}
        self._inner_levels = ShedLevels()
        self._combined: dict[Hashable, tuple[float, ShedLevel]] = {}
        self._warm_from_ms = float("-inf")
        self._overloaded_since_ms: float | None = None
        self._over_share: set[OrganisationId] = set()
        if cold:
            self.start_slowly()

    async def admit(self, item: WorkItem) -> Permit:
        """Wait for a place in the order of the profile."""
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        self._control.record_arrival(item)
        self._check(item, now_ms)
        if self.has_room():
            return self._start(now_ms)
        waiter = self._enqueue(item, now_ms)
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def level(self) -> ShedLevel:
        """Return the load and thresholds of this target."""
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        return ShedLevel(
            queue_delay_ms=self._control.queue_delay_ms(self._state(now_ms)),
            running=self.running,
            limit=int(self._limit(now_ms)),
            by_organisation=tuple(sorted(self._control.thresholds.items())),
        )

    def level_for(self, item: WorkItem) -> ShedLevel:
        """Return the level of this target combined with those further on."""
        now_ms, route = self.clock.now_ms(), route_key(item)
        cached = self._combined.get(route)
        if cached is None or now_ms - cached[0] >= LEVEL_CACHE_MS:
            level = combine(self.level(), self._levels_further_on(item, now_ms))
            cached = self._combined[route] = (now_ms, level)
        return cached[1]

    def passed_threshold(self, item: WorkItem) -> float:
        """Return the threshold that the inner calls of an admitted request have passed."""
        if item.depth > 0:
            return item.passed_threshold
        threshold = threshold_for(self.level_for(item), item.organisation_id)
        return max(item.passed_threshold, threshold)

    def note_inner(self, item: WorkItem, service_id: ServiceId, level: ShedLevel) -> None:
        """Learn the level that inner calls of a request's route meet."""
        route = route_key(item)
        self._inner.setdefault(route, set()).add(service_id)
        self._inner_levels.record((route, service_id), level, self.clock.now_ms())

    def has_room(self) -> bool:
        """Return whether a request would start at once."""
        return not len(self._backlog) and self.running < self._limit(self.clock.now_ms())

    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._backlog)

    def revise(self, profile: Profile, slots: int, weights: Weights | None = None) -> None:
        """Follow another profile; running and waiting requests stay.

        Args:
            profile: The new profile.
            slots: Published slots of the target.
            weights: Returns the weight of an organisation; unchanged where None.

        Raises:
            UnknownEntryError: The profile names an unknown limiter or queue order; nothing changes.
        """
        order, limiter = queue_orders.get(profile.queue_order), limiters.get(profile.limiter)
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        self.profile, self.slots = profile, slots
        if weights is not None:
            self.weights = self._backlog.weights = self._control.weights = weights
        if type(self._limiter) is limiter:
            self._limiter.revise(*self._bounds())
        else:
            self._limiter = limiter(*self._bounds())
        if type(self._backlog) is not order:
            self._backlog = revise_order(self._backlog, profile.queue_order)
        log(PROFILE_REVISED, upstream_id=self.upstream_id, profile_id=profile.profile_id)
        self._dispatch(now_ms)

    def start_slowly(self) -> None:
        """Raise the limit gradually from now on, because the target is cold."""
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        self._warm_from_ms = now_ms
        log(SLOW_START, upstream_id=self.upstream_id, duration_ms=self.profile.slow_start_ms)

    def _bounds(self) -> tuple[int, int]:
        upper = min(self.slots, self.profile.max_concurrency or self.slots)
        return self.profile.min_concurrency, upper

    def _limit(self, now_ms: float) -> float:
        limit = self._limiter.current(now_ms)
        warm_ms = now_ms - self._warm_from_ms
        if warm_ms < self.profile.slow_start_ms:
            limit *= COLD_PART + (1 - COLD_PART) * warm_ms / self.profile.slow_start_ms
        return max(1.0, limit)

    def _state(self, now_ms: float) -> TargetState:
        return TargetState(self.running, self._limit(now_ms), len(self._backlog))

    def _check(self, item: WorkItem, now_ms: float) -> None:
        if item.deadline_at_ms - now_ms <= self._service.value_ms(now_ms):
            self._refuse(RefusalReason.DEADLINE_EXCEEDED)
        if self._is_shed_here(item, now_ms):
            self._refuse(RefusalReason.SHED)
        # Only root work: an inner call has used targets above, and entry nodes knew as much.
        if item.depth == 0 and sheds(self.level_for(item), item, self._random.random()):
            self._refuse(RefusalReason.SHED)

    def _is_shed_here(self, item: WorkItem, now_ms: float) -> bool:
        """Return whether the threshold of this target sheds an item.

        Inner work has cost the targets above, and passed the thresholds that its root met. So it
        waits if the queue takes no more than half of the time that it has left.
        """
        if len(self._backlog) <= self._control.allowed_queue:
            return False
        if rank(item) >= self._control.enforced_threshold(item.organisation_id):
            return False
        delay_ms = self._control.queue_delay_ms(self._state(now_ms))
        return item.depth == 0 or delay_ms > (item.deadline_at_ms - now_ms) / 2

    def _levels_further_on(self, item: WorkItem, now_ms: float) -> list[ShedLevel]:
        route = route_key(item)
        levels = [
            self._inner_levels.level((route, service_id), now_ms)
            for service_id in sorted(self._inner.get(route, ()))
        ]
        return [level for level in levels if level is not None]

    def _refuse(self, reason: RefusalReason) -> None:
        self.metrics.count(f"admission.refused.{reason.value}")
        raise Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)

    def _start(self, now_ms: float) -> Permit:
        self.running += 1
        self.metrics.gauge("admission.running", self.running)
        return _TargetPermit(self, now_ms)

    def _enqueue(self, item: WorkItem, now_ms: float) -> Waiter:
        loop = asyncio.get_running_loop()
        drop_at_ms = item.deadline_at_ms - self._service.value_ms(now_ms)
        waiter = Waiter(item, now_ms, drop_at_ms, loop.create_future())
        waiter.timer = loop.call_later((drop_at_ms - now_ms) / 1000, self._expire, waiter)
        self._backlog.push(waiter)
        if len(self._backlog) > self.profile.queue_limit:
            evicted = self._backlog.evict(overloaded=self._control.overloaded)
            self._settle(evicted, RefusalReason.QUEUE_FULL)
        # A limit that grew since the last release may leave places free beside a queue.
        self._dispatch(now_ms)
        return waiter

    def _expire(self, waiter: Waiter) -> None:
        self._observe(self.clock.now_ms())
        if self._backlog.remove(waiter):
            self._settle(waiter, RefusalReason.DEADLINE_EXCEEDED)

    def _abandon(self, waiter: Waiter) -> None:
        self._observe(self.clock.now_ms())
        slot = waiter.slot
        if self._backlog.remove(waiter):
            waiter.timer.cancel()
        elif slot.done() and not slot.cancelled() and slot.exception() is None:
            slot.result().release(Outcome.CANCELLED, 0.0)

    def _settle(self, waiter: Waiter, reason: RefusalReason) -> None:
        waiter.timer.cancel()
        self.metrics.count(f"admission.refused.{reason.value}")
        if not waiter.slot.done():
            refusal = Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)
            waiter.slot.set_exception(refusal)

    def _dispatch(self, now_ms: float) -> None:
        while len(self._backlog) and self.running < self._limit(now_ms):
            waiter = self._backlog.pop(overloaded=self._control.overloaded)
            if waiter.drop_at_ms <= now_ms:
                self._settle(waiter, RefusalReason.DEADLINE_EXCEEDED)
            elif not waiter.slot.done():
                waiter.timer.cancel()
                self.metrics.timing_ms("admission.wait_ms", now_ms - waiter.enqueued_at_ms)
                waiter.slot.set_result(self._start(now_ms))

    def _ended(self, outcome: Outcome, latency_ms: float) -> None:
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        saturated = self.running >= self._limit(now_ms) - 1
        self.running -= 1
        self._control.record_completion()
        self._limiter.record(now_ms, now_ms - latency_ms, outcome, saturated=saturated)
        if outcome is Outcome.SUCCESS:
            self._service.record(latency_ms, now_ms)
        self.metrics.gauge("admission.running", self.running)
        self._dispatch(now_ms)

    def _observe(self, now_ms: float) -> None:
        state = self._state(now_ms)
        if self._control.observe(state, self.profile.queue_target_ms, now_ms):
            self._report(state, now_ms)

    def _report(self, state: TargetState, now_ms: float) -> None:
        delay_ms = self._control.queue_delay_ms(state)
        self.metrics.gauge("admission.limit", state.limit)
        self.metrics.gauge("admission.queued", state.queued)
        self.metrics.gauge("admission.queue_delay_ms", delay_ms)
        self.metrics.gauge("admission.organisations_cut", len(self._control.thresholds))
        if self._control.overloaded and self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
            log(OVERLOAD_STARTED, upstream_id=self.upstream_id, delay_ms=delay_ms)
        elif not self._control.overloaded and self._overloaded_since_ms is not None:
            duration_ms = now_ms - self._overloaded_since_ms
            self._overloaded_since_ms = None
            log(OVERLOAD_ENDED, upstream_id=self.upstream_id, duration_ms=duration_ms)
        self._report_shares()

    def _report_shares(self) -> None:
        over = self._control.over_share()
        for organisation_id in sorted(over - self._over_share):
            self.metrics.count("admission.share_exceeded")
            log(SHARE_EXCEEDED, organisation_id=organisation_id, upstream_id=self.upstream_id)
        self._over_share = over
