"""Balance requests by load, prefer the local availability zone and refuse requests early."""

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

# One request per upstream (or route) and interval is sent although a shed level or an observed
# latency refuses it. Otherwise the entry node would get no new report from an upstream to which
# it sends nothing.
PROBE_INTERVAL_MS = 250.0
PROBE_JITTER = 0.3
# How long an upstream counts as saturated after it refused a request.
SATURATION_HOLD_MS = 50.0
# Mean latency assumed until an upstream of the pool has answered.
DEFAULT_LATENCY_MS = 10.0
# Weight of a member while a single observer reports it silent.
SUSPECT_WEIGHT = 0.3
RETRY_AFTER_MS = 500.0
# Ejection is checked after every failure, and otherwise each time this many answers have come.
EJECTION_CHECK_INTERVAL = 16
# Shed levels change every 50 ms, so the level of a pool is cached instead of computed per request.
POOL_LEVEL_CACHE_TTL_MS = 10.0


class LoadRouter(Router):
    """Route by power of two choices, or the chooser of the profile, among available upstreams."""

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
            members: Membership view of the fleet.
            availability_zone: Availability zone of the local node.
            clock: Clock for deadlines and expiry.
            random: Random source for choices and jitter.
            metrics: Sink for counters.
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
        self._pool_levels: dict[Hashable, tuple[float, ShedLevel | None]] = {}
        self._next_probe_at_ms: dict[Hashable, float] = {}
        self._route_latencies: dict[Hashable, LowLatency] = {}

    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return the upstream for the next attempt.

        Upstreams that are ejected, shed the request or are saturated are skipped unless no other
        is left. Of the rest, those in the local availability zone are preferred. An excluded
        upstream is never returned.
        """
        now_ms = self._clock.now_ms()
        pool = [
            up
            for up in self._available_upstreams(item.service_id)
            if up.upstream_id not in excluded
        ]
        if not pool:
            raise NoUpstream(RETRY_AFTER_MS)
        not_ejected = [up for up in pool if not self._is_ejected(up.upstream_id, now_ms)] or pool
        accepting = [
            up for up in not_ejected if not self._is_shed_by(up, item, now_ms)
        ] or not_ejected
        with_capacity = [up for up in accepting if not self._is_saturated(up, now_ms)] or accepting
        local = [up for up in with_capacity if up.availability_zone == self._availability_zone]
        return self._pick_upstream(item.service_id, local or with_capacity, now_ms)

    def check_early(self, item: WorkItem) -> None:
        """Refuse expired requests, and root requests that would be late or shed at an upstream."""
        now_ms = self._clock.now_ms()
        remaining_ms = item.deadline_at_ms - now_ms
        if remaining_ms <= 0:
            self._refuse(RefusalReason.DEADLINE_EXCEEDED)
        if item.depth > 0:
            return
        route = route_key(item)
        route_latency = self._route_latencies.get(route)
        doomed = route_latency is not None and remaining_ms < route_latency.value_ms(now_ms)
        if doomed and not self._may_probe(route, now_ms):
            self._refuse(RefusalReason.DOOMED)
        level = self.pool_level(item)
        if level is None or not sheds(level, item, self._random.random()):
            return
        if not self._may_probe_unknown_level(item, now_ms):
            self._refuse(RefusalReason.SHED)

    def pool_level(self, item: WorkItem) -> ShedLevel | None:
        """Return the shed level of the pool, which sheds nothing if an upstream has capacity."""
        now_ms, route = self._clock.now_ms(), route_key(item)
        cached = self._pool_levels.get(route)
        if cached is None or now_ms - cached[0] >= POOL_LEVEL_CACHE_TTL_MS:
            level = _aggregate_level(self._known_levels(item, now_ms))
            cached = self._pool_levels[route] = (now_ms, level)
        return cached[1]

    def entry_threshold(self, item: WorkItem) -> float:
        """Return the threshold that `check_early` applies to a root request, or 0 for none."""
        level = self.pool_level(item)
        return 0.0 if level is None else threshold_for(level, item.organisation_id)

    def attempt_started(self, upstream_id: UpstreamId) -> None:
        """Count an attempt as outstanding."""
        self._get_stats(upstream_id, self._clock.now_ms()).outstanding += 1

    def attempt_finished(
        self,
        upstream_id: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        item: WorkItem | None = None,
    ) -> None:
        """Update the statistics with a finished attempt."""
        now_ms = self._clock.now_ms()
        stats = self._get_stats(upstream_id, now_ms)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.record(outcome, latency_ms)
        if outcome is Outcome.REFUSED:
            stats.saturated_until_ms = now_ms + SATURATION_HOLD_MS
        upstream = self._plan().upstreams.get(upstream_id)
        if upstream is None:
            return
        if item is not None:
            self._record_route(upstream, item, outcome, latency_ms, level, now_ms)
        if outcome in FAILURES or stats.samples % EJECTION_CHECK_INTERVAL == 0:
            self._eject_if_failing(upstream, stats, now_ms)

    def _record_route(
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
            self._route_latencies.setdefault(route, LowLatency()).record(latency_ms, now_ms)

    def _eject_if_failing(self, upstream: Upstream, stats: UpstreamStats, now_ms: float) -> None:
        pool = [
            self._get_stats(up.upstream_id, now_ms)
            for up in self._available_upstreams(upstream.service_id)
        ]
        duration_ms = self._ejector.eject_outlier(stats, pool, now_ms)
        if duration_ms:
            self._ejected.add(stats.upstream_id)
            self._metrics.count("routing.ejections")
            log(UPSTREAM_EJECTED, upstream_id=stats.upstream_id, duration_ms=duration_ms)

    def _available_upstreams(self, service_id: ServiceId) -> list[Upstream]:
        return [
            upstream
            for upstream in self._plan().upstreams_by_service.get(service_id, ())
            if not upstream.draining and self._members.takes_work(upstream.upstream_id)
        ]

    def _get_stats(self, upstream_id: UpstreamId, now_ms: float) -> UpstreamStats:
        member = self._members.get(upstream_id)
        start_number = member.identity.start_number if member is not None else 0
        stats = self._stats.get(upstream_id)
        if stats is None or start_number > stats.start_number > 0:
            stats = self._stats[upstream_id] = UpstreamStats(upstream_id, now_ms, start_number)
            # To a router that has just started every upstream is new, although it may have been
            # running for long. Only upstreams that appear later ramp up.
            if now_ms > self._created_at_ms + Ejector.RAMP_UP_MS:
                stats.ramp_up_from_ms = now_ms
        elif start_number:
            stats.start_number = start_number
        return stats

    def _is_ejected(self, upstream_id: UpstreamId, now_ms: float) -> bool:
        ejected = self._ejector.is_ejected(self._get_stats(upstream_id, now_ms), now_ms)
        if not ejected and upstream_id in self._ejected:
            self._ejected.discard(upstream_id)
            log(UPSTREAM_RETURNED, upstream_id=upstream_id)
        return ejected

    def _is_shed_by(self, upstream: Upstream, item: WorkItem, now_ms: float) -> bool:
        return bool(self._levels.refuses((upstream.upstream_id, route_key(item)), item, now_ms))

    def _is_saturated(self, upstream: Upstream, now_ms: float) -> bool:
        stats = self._get_stats(upstream.upstream_id, now_ms)
        return now_ms < stats.saturated_until_ms or stats.outstanding >= upstream.slots

    def _pick_upstream(
        self, service_id: ServiceId, pool: list[Upstream], now_ms: float
    ) -> UpstreamId:
        if len(pool) == 1:
            return pool[0].upstream_id
        pool_stats = [self._get_stats(up.upstream_id, now_ms) for up in pool]
        latencies = [stats.latency_ms for stats in pool_stats if stats.latency_ms is not None]
        mean_latency_ms = sum(latencies) / len(latencies) if latencies else DEFAULT_LATENCY_MS
        candidates = [
            Candidate(stats.upstream_id, stats.score(mean_latency_ms), self._weight(stats, now_ms))
            for stats in pool_stats
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
        cached = self._choosers.get(service_id)
        if cached is None or cached[0] != name:
            cached = self._choosers[service_id] = (name, choosers.get(name)(self._random))
        return cached[1]

    def _known_levels(self, item: WorkItem, now_ms: float) -> list[ShedLevel]:
        levels = [
            self._levels.level((up.upstream_id, route_key(item)), now_ms)
            for up in self._available_upstreams(item.service_id)
        ]
        return [level for level in levels if level is not None]

    def _may_probe_unknown_level(self, item: WorkItem, now_ms: float) -> bool:
        """Return whether an upstream without a known shed level may be probed now."""
        return any(
            self._may_probe(up.upstream_id, now_ms)
            for up in self._available_upstreams(item.service_id)
            if self._levels.refuses((up.upstream_id, route_key(item)), item, now_ms) is None
        )

    def _may_probe(self, key: Hashable, now_ms: float) -> bool:
        if now_ms < self._next_probe_at_ms.get(key, 0.0):
            return False
        jitter = 1 + PROBE_JITTER * (2 * self._random.random() - 1)
        self._next_probe_at_ms[key] = now_ms + PROBE_INTERVAL_MS * jitter
        return True

    def _refuse(self, reason: RefusalReason) -> None:
        self._metrics.count(f"routing.refused_early.{reason.value}")
        raise Refused(reason, not_run=True, retry_after_ms=RETRY_AFTER_MS)


def _aggregate_level(levels: list[ShedLevel]) -> ShedLevel | None:
    if not levels:
        return None
    levels_with_capacity = [level for level in levels if _has_capacity(level)]
    return levels_with_capacity[0] if levels_with_capacity else level_of_pool(levels)


def _has_capacity(level: ShedLevel) -> bool:
    return (
        level.age_ms <= FRESH_MS
        and level.threshold <= 0
        and not level.by_organisation
        and level.running < level.limit
    )
