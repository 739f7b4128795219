"""Choose the upstream at which a request is expected to complete first.

This handles services whose targets state their pace: targets that differ in speed by a factor of
two to three at equal slots, and of which 15% take 2.5 times as long at any time. Between candidates
with similar expected times, the load relative to the throughput decides, so that the amounts follow
it.
"""

from collections.abc import Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..ids import AvailabilityZoneId, ServiceId, UpstreamId
from .directory import UpstreamEntry
from .upstream_view import UpstreamView
from .zone_transfer import ZoneOutlook, ZoneTransfer

if TYPE_CHECKING:
    from .balancer import Balancer


@attrs.frozen(eq=False)
class PreparedPool:
    """Store what does not change between the choices of a few requests.

    Attributes:
        pool: The upstreams as passed by the caller, which are recognised by identity.
        until_ms: Time until which it may be used.
        transfer: Decides how many requests may leave the zone.
        active: Whether a target of the pool states its pace.
        own: Upstreams of the own zone that are not avoided.
        elsewhere: Those of the other zones.
        service_ms: Mean service time of the pool, assumed for upstreams without a report.
        zone_cost_ms: Least cost of sending a request to another zone.
    """

    pool: Sequence[UpstreamEntry]
    until_ms: float
    transfer: ZoneTransfer
    active: bool
    own: Sequence[UpstreamEntry]
    elsewhere: Sequence[UpstreamEntry]
    service_ms: float
    zone_cost_ms: float


class CompletionChoice:
    """Choose between a few candidates by the expected completion time."""

    # Lifetime of a prepared pool. The forwarder passes a new pool every 20 ms.
    TTL_MS = 50.0
    # Time for which the speed in a report is used. Load and pace are used for 1 s; the speed of a
    # target relative to others changes rarely, and forgetting it sends requests to the slow ones.
    SPEED_MAX_AGE_MS = 10_000.0
    # Time by which the reported pace has faded to the mean: a pace lasts 600 ms.
    PACE_FADE_MS = 600.0
    # Number of candidates that are compared. With two of four targets drawn, a sixth of the
    # requests go to the two slowest ones.
    DRAWS = 3
    # Up to these differences of the expected times, the candidate with less load per throughput is
    # taken: in ms, and as a fraction of the shorter time that is multiplied by the utilisation.
    # With no tolerance, the fastest targets get all requests while the load is low, and are full
    # first while it is high, so that requests leave the zone.
    SIMILAR_MS = 100.0
    SIMILAR_FRACTION = 0.8
    # Half-life of the count of recent requests. While the load is low, targets have no requests
    # most of the time, and only this count tells which one got more than its part.
    RECENT_HALF_LIFE_MS = 1_000.0
    # Expected wait up to which a request stays in the own zone, in addition to the cost of the
    # path. A queue of this length is mostly due to a burst.
    BURST_WAIT_MS = 20.0
    # Expected wait in the own zone, in addition to the cost of the path, from which a request may
    # leave whatever the share: the share takes a second to follow a sudden lack of targets.
    SUDDEN_WAIT_MS = 60.0
    # Part of the service time that a request must save elsewhere. The estimates are of this
    # precision, and the best of several inaccurate ones looks better than it is.
    MIN_SAVED_FRACTION = 0.1
    # Larger waits do not count for the share, as a limited or stuck target may tell seconds.
    MAX_WAIT_MS = 500.0

    def __init__(self, balancer: "Balancer", random: Random):
        """Create the choice.

        Args:
            balancer: Stores the views, and estimates waits.
            random: Source of the draws.
        """
        self._balancer = balancer
        self._random = random
        # Prepared pools by the id of the object. There are several of one service if some requests
        # may run in certain regions only.
        self._pools: dict[int, PreparedPool] = {}
        self._cleaned_ms = float("-inf")
        self._transfers: dict[ServiceId, ZoneTransfer] = {}

    @property
    def transfers(self) -> Mapping[ServiceId, ZoneTransfer]:
        """Return the transfer of each service."""
        return self._transfers

    def forget_pools(self) -> None:
        """Prepare all pools anew, after an upstream was marked as avoided."""
        self._pools.clear()

    def applies(self, pool: Sequence[UpstreamEntry], now_ms: float) -> bool:
        """Return whether a target of the pool states its pace."""
        return self._prepared(pool, now_ms).active

    def _prepared(self, pool: Sequence[UpstreamEntry], now_ms: float) -> PreparedPool:
        prepared = self._pools.get(id(pool))
        if prepared is None or prepared.pool is not pool or now_ms >= prepared.until_ms:
            if now_ms >= self._cleaned_ms + self.TTL_MS:
                self._cleaned_ms = now_ms
                self._pools = {
                    key: found for key, found in self._pools.items() if now_ms < found.until_ms
                }
            prepared = self._pools[id(pool)] = self._prepare(pool, now_ms)
        return prepared

    def _prepare(self, pool: Sequence[UpstreamEntry], now_ms: float) -> PreparedPool:
        until_ms = now_ms + self.TTL_MS
        transfer = self._transfers.get(pool[0].service_id)
        if transfer is None:
            transfer = self._transfers[pool[0].service_id] = ZoneTransfer()
        balancer = self._balancer
        views = [balancer.view(entry.upstream_id) for entry in pool]
        reports = [view.report for view in views if view.report is not None]
        if not any(report.work_percent for report in reports):
            return PreparedPool(pool, until_ms, transfer, False, (), (), 0.0, 0.0)
        usable = [
            entry for entry, view in zip(pool, views, strict=True) if view.avoid_until_ms <= now_ms
        ] or pool
        service_ms = sum(report.service_ms for report in reports) / len(reports)
        own_zone = balancer.availability_zone
        elsewhere = [entry for entry in usable if entry.availability_zone != own_zone]
        costs_ms = [balancer.paths.cost_ms(entry.availability_zone, now_ms) for entry in elsewhere]
        prepared = PreparedPool(
            pool,
            until_ms,
            transfer,
            True,
            [entry for entry in usable if entry.availability_zone == own_zone],
            elsewhere,
            service_ms,
            min(costs_ms, default=0.0),
        )
        if transfer.is_due(now_ms) and transfer.observe(self._outlook(prepared, now_ms), now_ms):
            balancer.on_transfer(pool[0].service_id, transfer)
        return prepared

    def _outlook(self, prepared: PreparedPool, now_ms: float) -> ZoneOutlook | None:
        """Return the expected wait in the best other zone, and the cost of the path to it.

        The wait is the mean over the targets by their throughput. Targets without a recent report
        count as free, so that a zone from which nothing was heard is tried.
        """
        if not prepared.own or not prepared.elsewhere:
            return None
        by_zone: dict[AvailabilityZoneId, list[UpstreamEntry]] = {}
        for entry in prepared.elsewhere:
            by_zone.setdefault(entry.availability_zone, []).append(entry)
        costs_ms = self._balancer.paths.cost_ms
        best_ms, best_path_ms = float("inf"), 0.0
        for zone, entries in by_zone.items():
            path_ms = costs_ms(zone, now_ms)
            mean_ms = self._mean_wait_ms(entries, prepared, now_ms)
            if mean_ms + path_ms < best_ms + best_path_ms:
                best_ms, best_path_ms = mean_ms, path_ms
        return ZoneOutlook(best_ms, best_path_ms)

    def _mean_wait_ms(
        self, entries: Sequence[UpstreamEntry], prepared: PreparedPool, now_ms: float
    ) -> float:
        total_ms = total_weight = 0.0
        for entry in entries:
            weight = self._throughput_per_s(entry, prepared.service_ms, now_ms)
            total_ms += weight * min(self.MAX_WAIT_MS, self._balancer.wait_ms(entry, now_ms))
            total_weight += weight
        return total_ms / max(1e-9, total_weight)

    def _throughput_per_s(self, entry: UpstreamEntry, service_ms: float, now_ms: float) -> float:
        """Return what an upstream completes per second, less what it rejects."""
        view = self._balancer.view(entry.upstream_id)
        throughput = entry.slots * 1_000 / max(0.1, service_ms)
        if view.report is not None and view.report.throughput_per_s:
            age_ms = now_ms - view.reported_at_ms
            weight = max(0.0, 1 - age_ms / self.SPEED_MAX_AGE_MS)
            throughput += weight * (view.report.throughput_per_s - throughput)
        if view.rejected_fraction:
            throughput *= 1 - self._balancer.rejected_fraction(view, now_ms)
        return throughput

    def choose(
        self, pool: Sequence[UpstreamEntry], tried: set[UpstreamId], now_ms: float
    ) -> UpstreamEntry | None:
        """Return the upstream for the next attempt, or None if all were tried."""
        prepared = self._prepared(pool, now_ms)
        own, elsewhere = prepared.own, prepared.elsewhere
        if tried:
            own = [entry for entry in own if entry.upstream_id not in tried]
            elsewhere = [entry for entry in elsewhere if entry.upstream_id not in tried]
            if not own and not elsewhere:
                # Only avoided upstreams are left.
                own = [entry for entry in pool if entry.upstream_id not in tried]
        best = self._best_of_few(own, prepared, now_ms)
        if best is None or not elsewhere:
            return best or self._best_of_few(elsewhere, prepared, now_ms)
        if self._stays(best, prepared, now_ms):
            return best
        if len(own) > 2:
            best = min(own, key=lambda entry: self.cost_ms(entry, prepared, now_ms))
        other = self._best_of_few(elsewhere, prepared, now_ms)
        saved_ms = self.cost_ms(best, prepared, now_ms) - self.cost_ms(other, prepared, now_ms)
        if saved_ms <= self.MIN_SAVED_FRACTION * prepared.service_ms:
            return best
        prepared.transfer.record_sent(saved_ms)
        return other

    def _stays(self, best: UpstreamEntry, prepared: PreparedPool, now_ms: float) -> bool:
        """Return whether an upstream of the own zone is used without considering other zones."""
        wait_ms = self._balancer.wait_ms(best, now_ms)
        prepared.transfer.record_wait(min(self.MAX_WAIT_MS, wait_ms))
        if wait_ms > self.BURST_WAIT_MS + prepared.zone_cost_ms:
            if wait_ms > self.SUDDEN_WAIT_MS + prepared.zone_cost_ms:
                return False
            if self._random.random() < prepared.transfer.share_elsewhere(now_ms):
                return False
        view = self._balancer.view(best.upstream_id)
        if view.failure_fraction < self._balancer.MIN_FAILURE_FRACTION:
            return True
        return not self._balancer.is_failure_outlier(best, prepared.pool)

    def _best_of_few(
        self, entries: Sequence[UpstreamEntry], prepared: PreparedPool, now_ms: float
    ) -> UpstreamEntry | None:
        """Return the best of a few random entries, or None if there are none."""
        if len(entries) < 2:
            return entries[0] if entries else None
        drawn = entries if len(entries) <= self.DRAWS else self._random.sample(entries, self.DRAWS)
        costs_ms = [self.cost_ms(entry, prepared, now_ms) for entry in drawn]
        least_ms = min(costs_ms)
        fastest = self._balancer.view(drawn[costs_ms.index(least_ms)].upstream_id)
        similar_ms = max(
            self.SIMILAR_MS,
            self.SIMILAR_FRACTION * least_ms * self._utilisation(fastest, now_ms),
        )
        similar = [
            entry
            for entry, cost_ms in zip(drawn, costs_ms, strict=True)
            if cost_ms <= least_ms + similar_ms
        ]
        if len(similar) == 1:
            return similar[0]
        return min(similar, key=lambda entry: self._relative_load(entry, prepared, now_ms))

    def _utilisation(self, view: UpstreamView, now_ms: float) -> float:
        """Return the fraction of the slots of an upstream that are in use, as far as is known."""
        if view.report is None:
            return 0.0
        return min(1.0, self._occupied(view, now_ms) / max(1, view.report.limit))

    def _relative_load(self, entry: UpstreamEntry, prepared: PreparedPool, now_ms: float) -> float:
        """Return the requests at an upstream and the recent ones, relative to its throughput."""
        view = self._balancer.view(entry.upstream_id)
        load = 1 + self._occupied(view, now_ms) + self.recent_sent(view, now_ms)
        return load / self._throughput_per_s(entry, prepared.service_ms, now_ms)

    def recent_sent(self, view: UpstreamView, now_ms: float) -> float:
        """Return the requests that were sent recently, where older ones count for less."""
        return view.recent_sent * 0.5 ** ((now_ms - view.recent_sent_ms) / self.RECENT_HALF_LIFE_MS)

    def _occupied(self, view: UpstreamView, now_ms: float) -> int:
        report = view.report
        if report is None or now_ms - view.reported_at_ms > self._balancer.REPORT_MAX_AGE_MS:
            return view.outstanding
        return max(report.running + report.queued + view.sent_since_report, view.outstanding)

    def cost_ms(self, entry: UpstreamEntry, prepared: PreparedPool, now_ms: float) -> float:
        """Return the expected time to the completion of a request, with the cost of the path."""
        balancer = self._balancer
        view = balancer.view(entry.upstream_id)
        cost_ms = balancer.wait_ms(entry, now_ms) + self._service_ms(view, prepared, now_ms)
        zone = entry.availability_zone
        if zone != balancer.availability_zone:
            cost_ms += balancer.paths.cost_ms(zone, now_ms)
        return balancer.add_failures(cost_ms, view, now_ms)

    def _service_ms(self, view: UpstreamView, prepared: PreparedPool, now_ms: float) -> float:
        """Return the expected service time at the present pace."""
        report = view.report
        if report is None:
            return prepared.service_ms
        age_ms = now_ms - view.reported_at_ms
        freshness = 1 - age_ms / self.PACE_FADE_MS
        if freshness > 0 and report.work_percent:
            return report.service_ms * (1 + freshness * (report.work_percent / 100 - 1))
        speed_weight = max(0.0, 1 - age_ms / self.SPEED_MAX_AGE_MS)
        return prepared.service_ms + speed_weight * (report.service_ms - prepared.service_ms)
