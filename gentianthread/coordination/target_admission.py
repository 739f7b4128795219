"""Admit requests to one target by an adaptive limit, a bounded queue and fair shedding."""

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

# Fraction of the concurrency limit at the beginning of a slow start.
COLD_START_FRACTION = 0.1
# A retry before this delay would meet the same shedding thresholds.
RETRY_AFTER_MS = 500.0
# Shed levels change every 50 ms, so the combined level is cached instead of computed per answer.
LEVEL_CACHE_TTL_MS = 10.0


class _TargetPermit(Permit):
    def __init__(self, admission: "TargetAdmission", started_at_ms: float):
        self._admission: TargetAdmission | None = admission
        self.started_at_ms = started_at_ms

    def release(self, outcome: Outcome, latency_ms: float) -> None:
        admission, self._admission = self._admission, None
        if admission is not None:
            admission._on_release(outcome, latency_ms)


class TargetAdmission(Admission):
    """Run, queue or refuse the requests to one target.

    Not thread-safe: call every public method on the thread of the event loop.
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
            upstream_id: Upstream id of the target, for log lines.
            profile: Load profile of the service.
            slots: Published concurrency slots of the target.
            clock: Clock for deadlines and timings.
            weights: Returns the weight of an organisation.
            metrics: Sink for counters and gauges.
            random: Random source for probabilistic shedding while a level fades out.
            cold: Whether the target has just started and needs a slow start.

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
        self._shed_control = ShedControl(weights, now_ms)
        self._service_time = LowLatency()
        self._inner_services: dict[Hashable, set[ServiceId]] = {}
        self._inner_levels = ShedLevels()
        self._combined_levels: dict[Hashable, tuple[float, ShedLevel]] = {}
        self._slow_start_began_ms = float("-inf")
        self._overloaded_since_ms: float | None = None
        self._organisations_over_share: set[OrganisationId] = set()
        if cold:
            self.begin_slow_start()

    async def admit(self, item: WorkItem) -> Permit:
        """Return a permit at once or after queueing in the queue order of the profile."""
        now_ms = self.clock.now_ms()
        self._update_shed_control(now_ms)
        self._shed_control.record_arrival(item)
        self._refuse_if_shed_or_late(item, now_ms)
        if self.has_capacity():
            return self._grant_permit(now_ms)
        waiter = self._enqueue(item, now_ms)
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            self._cancel_waiter(waiter)
            raise

    def level(self) -> ShedLevel:
        """Return the load and shedding thresholds of this target."""
        now_ms = self.clock.now_ms()
        self._update_shed_control(now_ms)
        return ShedLevel(
            queue_delay_ms=self._shed_control.queue_delay_ms(self._target_state(now_ms)),
            running=self.running,
            limit=int(self._limit(now_ms)),
            by_organisation=tuple(sorted(self._shed_control.thresholds.items())),
        )

    def level_for(self, item: WorkItem) -> ShedLevel:
        """Return the level of this target combined with those of its inner calls."""
        now_ms, route = self.clock.now_ms(), route_key(item)
        cached = self._combined_levels.get(route)
        if cached is None or now_ms - cached[0] >= LEVEL_CACHE_TTL_MS:
            level = combine(self.level(), self._levels_of_inner_services(item, now_ms))
            cached = self._combined_levels[route] = (now_ms, level)
        return cached[1]

    def passed_threshold(self, item: WorkItem) -> float:
        """Return the shedding threshold that applies to the inner calls of an admitted request."""
        if item.depth > 0:
            return item.passed_threshold
        threshold = threshold_for(self.level_for(item), item.organisation_id)
        return max(item.passed_threshold, threshold)

    def record_inner_level(self, item: WorkItem, service_id: ServiceId, level: ShedLevel) -> None:
        """Record the shed level of a service that requests of this route call."""
        route = route_key(item)
        self._inner_services.setdefault(route, set()).add(service_id)
        self._inner_levels.record((route, service_id), level, self.clock.now_ms())

    def has_capacity(self) -> bool:
        """Return whether a request would start without queueing."""
        return not len(self._backlog) and self.running < self._limit(self.clock.now_ms())

    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._backlog)

    def revise(self, profile: Profile, slots: int, weights: Weights | None = None) -> None:
        """Apply a new profile without dropping running or queued requests.

        Args:
            profile: The new profile.
            slots: Published concurrency slots of the target.
            weights: Returns the weight of an organisation; None keeps the present weights.

        Raises:
            UnknownEntryError: The profile names an unknown limiter or queue order. The present
                profile stays in force.
        """
        order_class, limiter_class = queue_orders.get(profile.queue_order), limiters.get(
            profile.limiter
        )
        now_ms = self.clock.now_ms()
        self._update_shed_control(now_ms)
        self.profile, self.slots = profile, slots
        if weights is not None:
            self.weights = self._backlog.weights = self._shed_control.weights = weights
        if type(self._limiter) is limiter_class:
            self._limiter.revise(*self._bounds())
        else:
            self._limiter = limiter_class(*self._bounds())
        if type(self._backlog) is not order_class:
            self._backlog = revise_order(self._backlog, profile.queue_order)
        log(PROFILE_REVISED, upstream_id=self.upstream_id, profile_id=profile.profile_id)
        self._dispatch_queue(now_ms)

    def begin_slow_start(self) -> None:
        """Lower the limit for a cold target and raise it linearly over `slow_start_ms`."""
        now_ms = self.clock.now_ms()
        self._update_shed_control(now_ms)
        self._slow_start_began_ms = now_ms
        log(SLOW_START, upstream_id=self.upstream_id, duration_ms=self.profile.slow_start_ms)

    def _bounds(self) -> tuple[int, int]:
        upper_bound = min(self.slots, self.profile.max_concurrency or self.slots)
        return self.profile.min_concurrency, upper_bound

    def _limit(self, now_ms: float) -> float:
        limit = self._limiter.current(now_ms)
        elapsed_ms = now_ms - self._slow_start_began_ms
        if elapsed_ms < self.profile.slow_start_ms:
            limit *= (
                COLD_START_FRACTION
                + (1 - COLD_START_FRACTION) * elapsed_ms / self.profile.slow_start_ms
            )
        return max(1.0, limit)

    def _target_state(self, now_ms: float) -> TargetState:
        return TargetState(self.running, self._limit(now_ms), len(self._backlog))

    def _refuse_if_shed_or_late(self, item: WorkItem, now_ms: float) -> None:
        if item.deadline_at_ms - now_ms <= self._service_time.value_ms(now_ms):
            self._refuse(RefusalReason.DEADLINE_EXCEEDED)
        if self._is_shed_locally(item, now_ms):
            self._refuse(RefusalReason.SHED)
        # Root requests only: refusing an inner call would waste the work already done by the
        # targets above it, and the entry node has applied the same levels.
        if item.depth == 0 and sheds(self.level_for(item), item, self._random.random()):
            self._refuse(RefusalReason.SHED)

    def _is_shed_locally(self, item: WorkItem, now_ms: float) -> bool:
        """Return whether the threshold of this target sheds a request.

        Shedding an inner call wastes the work of the targets above it, and its root request has
        passed their thresholds. It is therefore queued if the queueing delay is at most half of
        its remaining time.
        """
        if len(self._backlog) <= self._shed_control.allowed_queue:
            return False
        if rank(item) >= self._shed_control.enforced_threshold(item.organisation_id):
            return False
        delay_ms = self._shed_control.queue_delay_ms(self._target_state(now_ms))
        return item.depth == 0 or delay_ms > (item.deadline_at_ms - now_ms) / 2

    def _levels_of_inner_services(self, item: WorkItem, now_ms: float) -> list[ShedLevel]:
        route = route_key(item)
        levels = [
            self._inner_levels.level((route, service_id), now_ms)
            for service_id in sorted(self._inner_services.get(route, ()))
        ]
        return [level for level in levels if level is not None]

    def _refuse(self, reason: RefusalReason) -> None:
        self.metrics.count(f"admission.refused.{reason.value}")
        raise Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)

    def _grant_permit(self, now_ms: float) -> Permit:
        self.running += 1
        self.metrics.gauge("admission.running", self.running)
        return _TargetPermit(self, now_ms)

    def _enqueue(self, item: WorkItem, now_ms: float) -> Waiter:
        loop = asyncio.get_running_loop()
        drop_at_ms = item.deadline_at_ms - self._service_time.value_ms(now_ms)
        waiter = Waiter(item, now_ms, drop_at_ms, loop.create_future())
        waiter.timer = loop.call_later((drop_at_ms - now_ms) / 1000, self._expire_waiter, waiter)
        self._backlog.push(waiter)
        if len(self._backlog) > self.profile.queue_limit:
            evicted = self._backlog.evict(overloaded=self._shed_control.overloaded)
            self._refuse_waiter(evicted, RefusalReason.QUEUE_FULL)
        # The limit may have grown since the last release, which leaves free slots while requests
        # are queued.
        self._dispatch_queue(now_ms)
        return waiter

    def _expire_waiter(self, waiter: Waiter) -> None:
        self._update_shed_control(self.clock.now_ms())
        if self._backlog.remove(waiter):
            self._refuse_waiter(waiter, RefusalReason.DEADLINE_EXCEEDED)

    def _cancel_waiter(self, waiter: Waiter) -> None:
        self._update_shed_control(self.clock.now_ms())
        permit_future = waiter.slot
        if self._backlog.remove(waiter):
            waiter.timer.cancel()
        elif (
            permit_future.done()
            and not permit_future.cancelled()
            and permit_future.exception() is None
        ):
            permit_future.result().release(Outcome.CANCELLED, 0.0)

    def _refuse_waiter(self, waiter: Waiter, reason: RefusalReason) -> None:
        waiter.timer.cancel()
        self.metrics.count(f"admission.refused.{reason.value}")
        if not waiter.slot.done():
            refusal = Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)
            waiter.slot.set_exception(refusal)

    def _dispatch_queue(self, now_ms: float) -> None:
        while len(self._backlog) and self.running < self._limit(now_ms):
            waiter = self._backlog.pop(overloaded=self._shed_control.overloaded)
            if waiter.drop_at_ms <= now_ms:
                self._refuse_waiter(waiter, RefusalReason.DEADLINE_EXCEEDED)
            elif not waiter.slot.done():
                waiter.timer.cancel()
                self.metrics.timing_ms("admission.wait_ms", now_ms - waiter.enqueued_at_ms)
                waiter.slot.set_result(self._grant_permit(now_ms))

    def _on_release(self, outcome: Outcome, latency_ms: float) -> None:
        now_ms = self.clock.now_ms()
        self._update_shed_control(now_ms)
        saturated = self.running >= self._limit(now_ms) - 1
        self.running -= 1
        self._shed_control.record_completion()
        self._limiter.record(now_ms, now_ms - latency_ms, outcome, saturated=saturated)
        if outcome is Outcome.SUCCESS:
            self._service_time.record(latency_ms, now_ms)
        self.metrics.gauge("admission.running", self.running)
        self._dispatch_queue(now_ms)

    def _update_shed_control(self, now_ms: float) -> None:
        state = self._target_state(now_ms)
        if self._shed_control.observe(state, self.profile.queue_target_ms, now_ms):
            self._report_state(state, now_ms)

    def _report_state(self, state: TargetState, now_ms: float) -> None:
        delay_ms = self._shed_control.queue_delay_ms(state)
        self.metrics.gauge("admission.limit", state.limit)
        self.metrics.gauge("admission.queued", state.queued)
        self.metrics.gauge("admission.queue_delay_ms", delay_ms)
        self.metrics.gauge("admission.organisations_cut", len(self._shed_control.thresholds))
        if self._shed_control.overloaded and self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
            log(OVERLOAD_STARTED, upstream_id=self.upstream_id, delay_ms=delay_ms)
        elif not self._shed_control.overloaded and self._overloaded_since_ms is not None:
            duration_ms = now_ms - self._overloaded_since_ms
            self._overloaded_since_ms = None
            log(OVERLOAD_ENDED, upstream_id=self.upstream_id, duration_ms=duration_ms)
        self._report_organisations_over_share()

    def _report_organisations_over_share(self) -> None:
        organisation_ids = self._shed_control.over_share()
        for organisation_id in sorted(organisation_ids - self._organisations_over_share):
            self.metrics.count("admission.share_exceeded")
            log(SHARE_EXCEEDED, organisation_id=organisation_id, upstream_id=self.upstream_id)
        self._organisations_over_share = organisation_ids
