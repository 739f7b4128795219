"""Choose upstreams by load, keep work in its own availability zone and refuse it early."""

from collections.abc import Callable, Hashable
from random import Random

from ..clock import Clock
from ..errors import NoUpstream, Refused
from ..events import UPSTREAM_EJECTED, UPSTREAM_RETURNED
from ..ids import AvailabilityZoneId, Outcome, RefusalReason, ServiceId, UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..state.choosers import Candidate, Chooser, choosers
from ..state.latency import LowLatency
from ..state.members import Members, MemberState
from ..state.plan import Plan, Upstream
from ..state.shed_levels import FRESH_MS, ShedLevels, level_of_pool, route_key, sheds, threshold_for
from ..state.upstream_stats import FAILURES, Ejector, UpstreamStats
from ..state.work import ShedLevel, WorkItem
from .routing import Router

# One request per upstream and interval goes through although a level or a learned latency refuses
# it, so that the entry node hears from upstreams it sends nothing to.
PROBE_INTERVAL_MS = 250.0
PROBE_JITTER = 0.3
# How long a refusal counts as a sign that the upstream has no room.
SATURATED_MS = 50.0
# Latency assumed while no upstream of the pool has answered yet.
UNKNOWN_LATENCY_MS = 10.0
# Part of its usual work that a member gets while one observer reports it silent.
SUSPECT_WEIGHT = 0.3
RETRY_AFTER_MS = 500.0
# A failure is judged at once, the latency of successes every so many answers.
JUDGE_EVERY = 16
# Levels change every 50 ms; that of a pool is not made anew for every request.
REPORT_CACHE_MS = 10.0


class LoadRouter(Router):
    """Route by power of two choices over the upstreams that take work."""

    def __init__(
        self,
        plan: Callable[[], Plan],
        members: Members,
        availability_zone: AvailabilityZoneId,
        clock: Clock,
        random: Random | None = None,
        metrics: Metrics | None = None,
    ):
        """Create a router.

        Args:
            plan: Returns the accepted plan.
            members: The present view of the fleet.
            availability_zone: Zone of the local node.
            clock: Clock of deadlines and expiries.
            random: Source of choices and jitter.
            metrics: Where counters go.
        """
        self._plan = plan
        self._members = members
        self._availability_zone = availability_zone
        self._clock = clock
        self._random = random or Random()
        self._metrics = metrics or MemoryMetrics()
        self._created_at_ms = clock.now_ms()
        self._ejector = Ejector(self._random)
        self._stats: dict[UpstreamId, UpstreamStats] = {}
        self._ejected: set[UpstreamId] = set()
        self._choosers: dict[ServiceId, tuple[str, Chooser]] = {}
        self._levels = ShedLevels()
        self._reported: dict[Hashable, tuple[float, ShedLevel | None]] = {}
        self._next_probe_ms: dict[Hashable, float] = {}
        self._chain_times: dict[Hashable, LowLatency] = {}

    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return an upstream that accepts the work if any does, from the own zone if one has room.

        An excluded upstream is never returned.
        """
        now_ms = self._clock.now_ms()
        pool = [up for up in self._pool(item.service_id) if up.upstream_id not in excluded]
        if not pool:
            raise NoUpstream(RETRY_AFTER_MS)
        usable = [up for up in pool if not self._is_ejected(up.upstream_id, now_ms)] or pool
        accepting = [up for up in usable if not self._refuses(up, item, now_ms)] or usable
        with_room = [up for up in accepting if not self._is_saturated(up, now_ms)] or accepting
        local = [up for up in with_room if up.availability_zone == self._availability_zone]
        return self._pick(item.service_id, local or with_room, now_ms)

    def check_early(self, item: WorkItem) -> None:
        """Refuse root work that would end too late or be shed further on."""
        now_ms = self._clock.now_ms()
        remaining_ms = item.deadline_at_ms - now_ms
        if remaining_ms <= 0:
            self._refuse(RefusalReason.DEADLINE_EXCEEDED)
        if item.depth > 0:
            return
        route = route_key(item)
        chain = self._chain_times.get(route)
        doomed = chain is not None and remaining_ms < chain.value_ms(now_ms)
        if doomed and not self._may_probe(route, now_ms):
            self._refuse(RefusalReason.DOOMED)
        level = self.reported(item)
        if level is None or not sheds(level, item, self._random.random()):
            return
        if not self._has_unheard(item, now_ms):
            self._refuse(RefusalReason.SHED)

    def reported(self, item: WorkItem) -> ShedLevel | None:
        """Return the level of the pool, which sheds nothing while an upstream has room."""
        now_ms, route = self._clock.now_ms(), route_key(item)
        cached = self._reported.get(route)
        if cached is None or now_ms - cached[0] >= REPORT_CACHE_MS:
            level = _level_of_pool(self._known_levels(item, now_ms))
            cached = self._reported[route] = (now_ms, level)
        return cached[1]

    def entry_threshold(self, item: WorkItem) -> float:
        """Return the threshold that `check_early` applies to a root request, or 0 for none."""
        level = self.reported(item)
        return 0.0 if level is None else threshold_for(level, item.organisation_id)

    def started(self, upstream_id: UpstreamId) -> None:
        """Count an attempt that begins."""
        self._stats_of(upstream_id, self._clock.now_ms()).outstanding += 1

    def finished(
        self,
        upstream_id: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        item: WorkItem | None = None,
    ) -> None:
        """Learn from an attempt that ended."""
        now_ms = self._clock.now_ms()
        stats = self._stats_of(upstream_id, now_ms)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.record(outcome, latency_ms)
        if outcome is Outcome.REFUSED:
            stats.saturated_until_ms = now_ms + SATURATED_MS
        upstream = self._plan().upstreams.get(upstream_id)
        if upstream is None:
            return
        if item is not None:
            self._learn_route(upstream, item, outcome, latency_ms, level, now_ms)
        if outcome in FAILURES or stats.samples % JUDGE_EVERY == 0:
            self._judge(upstream, stats, now_ms)

    def _learn_route(
        self,
        upstream: Upstream,
        item: WorkItem,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        now_ms: float,
    ) -> None:
        route = route_key(item)
        if level is not None:
            self._levels.record((upstream.upstream_id, route), level, now_ms)
        if outcome is Outcome.SUCCESS:
            self._chain_times.setdefault(route, LowLatency()).record(latency_ms, now_ms)

    def _judge(self, upstream: Upstream, stats: UpstreamStats, now_ms: float) -> None:
        pool = [self._stats_of(up.upstream_id, now_ms) for up in self._pool(upstream.service_id)]
        duration_ms = self._ejector.eject_outlier(stats, pool, now_ms)
        if duration_ms:
            self._ejected.add(stats.upstream_id)
            self._metrics.count("routing.ejections")
            log(UPSTREAM_EJECTED, upstream_id=stats.upstream_id, duration_ms=duration_ms)

    def _pool(self, service_id: ServiceId) -> list[Upstream]:
        return [
            upstream
            for upstream in self._plan().upstreams_by_service.get(service_id, ())
            if not upstream.draining and self._members.takes_work(upstream.upstream_id)
        ]

    def _stats_of(self, upstream_id: UpstreamId, now_ms: float) -> UpstreamStats:
        member = self._members.get(upstream_id)
        start_number = member.identity.start_number if member is not None else 0
        stats = self._stats.get(upstream_id)
        if stats is None or start_number > stats.start_number > 0:
            stats = self._stats[upstream_id] = UpstreamStats(upstream_id, now_ms, start_number)
            # Upstreams that are new to a new router are not new to their callers.
            if now_ms > self._created_at_ms + Ejector.RAMP_UP_MS:
                stats.ramp_up_from_ms = now_ms
        elif start_number:
            stats.start_number = start_number
        return stats

    def _is_ejected(self, upstream_id: UpstreamId, now_ms: float) -> bool:
        ejected = self._ejector.is_ejected(self._stats_of(upstream_id, now_ms), now_ms)
        if not ejected and upstream_id in self._ejected:
            self._ejected.discard(upstream_id)
            log(UPSTREAM_RETURNED, upstream_id=upstream_id)
        return ejected

    def _refuses(self, upstream: Upstream, item: WorkItem, now_ms: float) -> bool:
        return bool(self._levels.refuses((upstream.upstream_id, route_key(item)), item, now_ms))

    def _is_saturated(self, upstream: Upstream, now_ms: float) -> bool:
        stats = self._stats_of(upstream.upstream_id, now_ms)
        return now_ms < stats.saturated_until_ms or stats.outstanding >= upstream.slots

    def _pick(self, service_id: ServiceId, pool: list[Upstream], now_ms: float) -> UpstreamId:
        if len(pool) == 1:
            return pool[0].upstream_id
        known = [self._stats_of(up.upstream_id, now_ms) for up in pool]
        latencies = [stats.latency_ms for stats in known if stats.latency_ms is not None]
        usual_ms = sum(latencies) / len(latencies) if latencies else UNKNOWN_LATENCY_MS
        candidates = [
            Candidate(stats.upstream_id, stats.score(usual_ms), self._weight(stats, now_ms))
            for stats in known
        ]
        return self._chooser(service_id).choose(candidates).upstream_id

    def _weight(self, stats: UpstreamStats, now_ms: float) -> float:
        weight = self._ejector.weight(stats, now_ms)
        member = self._members.get(stats.upstream_id)
        if member is not None and member.state is MemberState.SUSPECT:
            weight *= SUSPECT_WEIGHT
        return weight

    def _chooser(self, service_id: ServiceId) -> Chooser:
        name = self._plan().profile_of(service_id).chooser
        known = self._choosers.get(service_id)
        if known is None or known[0] != name:
            known = self._choosers[service_id] = (name, choosers.get(name)(self._random))
        return known[1]

    def _known_levels(self, item: WorkItem, now_ms: float) -> list[ShedLevel]:
        levels = [
            self._levels.level((up.upstream_id, route_key(item)), now_ms)
            for up in self._pool(item.service_id)
        ]
        return [level for level in levels if level is not None]

    def _has_unheard(self, item: WorkItem, now_ms: float) -> bool:
        """Return whether an upstream without a known level may be tried now."""
        return any(
            self._may_probe(up.upstream_id, now_ms)
            for up in self._pool(item.service_id)
            if self._levels.refuses((up.upstream_id, route_key(item)), item, now_ms) is None
        )

    def _may_probe(self, key: Hashable, now_ms: float) -> bool:
        if now_ms < self._next_probe_ms.get(key, 0.0):
            return False
        jitter = 1 + PROBE_JITTER * (2 * self._random.random() - 1)
        self._next_probe_ms[key] = now_ms + PROBE_INTERVAL_MS * jitter
        return True

    def _refuse(self, reason: RefusalReason) -> None:
        self._metrics.count(f"routing.refused_early.{reason.value}")
        raise Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)


def _level_of_pool(levels: list[ShedLevel]) -> ShedLevel | None:
    if not levels:
        return None
    free = [level for level in levels if _is_free(level)]
    return free[0] if free else level_of_pool(levels)


def _is_free(level: ShedLevel) -> bool:
    return (
        level.age_ms <= FRESH_MS
        and level.threshold <= 0
        and not level.by_organisation
        and level.running < level.limit
    )
