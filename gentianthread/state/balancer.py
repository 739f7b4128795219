"""Choose an upstream by measured waiting time, in the own availability zone first."""

from collections.abc import Callable, Sequence
from random import Random

import attrs

from ..ids import AvailabilityZoneId, UpstreamId
from .directory import UpstreamEntry


@attrs.frozen
class LoadReport:
    """Tell the load of one target as its node knows it.

    Attributes:
        running: Requests that run.
        queued: Requests that wait at its node.
        limit: Requests that may run at once.
        service_ms: Smoothed time that a request takes on the target.
        level: Level below which root requests are refused at their entry, also for the services
            behind this one.
    """

    running: int
    queued: int
    limit: int
    service_ms: float
    level: float


@attrs.define(eq=False)
class UpstreamView:
    """Hold what a node knows of one upstream.

    Attributes:
        outstanding: Requests of this node that are under way there.
        report: Its last load report, or None.
        reported_at_ms: When it came.
        sent_since: Requests sent since then.
        consecutive_failures: Failures in a row.
        avoid_until_ms: Until when other upstreams are preferred.
        latency_ms: Smoothed latency of successes, seen here.
        fault_part: Smoothed part of its answers that failed, when the last one came.
        judged_at_ms: When that was.
    """

    outstanding: int = 0
    report: LoadReport | None = None
    reported_at_ms: float = float("-inf")
    sent_since: int = 0
    consecutive_failures: int = 0
    avoid_until_ms: float = float("-inf")
    latency_ms: float | None = None
    fault_part: float = 0.0
    judged_at_ms: float = 0.0


class Balancer:
    """Choose upstreams of a service and learn from their answers."""

    # Waiting time in the own availability zone above which others are looked at. A path between
    # zones costs about 10 ms for a request and its answer, and its bytes are dear: a queue of this
    # length is mostly that of a burst. On lakeshore-tan, 25 ms sent a third more bytes to other
    # zones and served nobody better, and with 90 ms callers were refused.
    SPILL_MS = 50.0
    # Cost of a path to another zone, in ms of waiting.
    ZONE_COST_MS = 50.0
    # A report older than this says little about the present load.
    REPORT_MS = 1_000.0
    # Assumed time of a request while no upstream of the pool has reported one.
    UNKNOWN_SERVICE_MS = 50.0
    # Times of avoidance after failures in a row.
    AVOID_MS = (250.0, 500.0, 1_000.0, 2_000.0)
    # Failures in a row after which an upstream is avoided.
    FAILURES_TO_AVOID = 3
    # Failures of this part of the answers, over the last 20 or so, count as failing.
    FAULT_PART = 0.25
    # A smaller part of failures is noise, and one below this many times that of the others too.
    FAULT_NOTED = 0.1
    FAULT_FACTOR = 2.0
    # Weight of the failing part on the cost: at a fifth of failures an upstream must be nearly
    # twice as cheap as the others.
    FAULT_WEIGHT = 4.0
    # What a failure costs beside the time of the repeat, in ms of waiting: the cost of another zone
    # must not keep work at an upstream that fails a third of it, however fast it is.
    FAULT_MS = 200.0
    # An upstream without work for its failures is tried again after a few of these.
    FAULT_HALF_LIFE_MS = 2_000.0
    SMOOTHING = 0.1

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        now_ms: Callable[[], float],
        random: Random,
    ):
        """Create a balancer.

        Args:
            availability_zone: Zone of the local node.
            now_ms: Returns the present time in ms.
            random: Source of the random choices.
        """
        self.availability_zone = availability_zone
        self.views: dict[UpstreamId, UpstreamView] = {}
        self._now_ms = now_ms
        self._random = random
        # The pool that is chosen from, and the usual time of a request there once it was needed.
        self._pool: Sequence[UpstreamEntry] = ()
        self._usual_ms: float | None = None

    def view(self, upstream_id: UpstreamId) -> UpstreamView:
        """Return what is known of an upstream."""
        found = self.views.get(upstream_id)
        if found is None:
            found = self.views[upstream_id] = UpstreamView()
        return found

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone."""
        self.views.pop(upstream_id, None)

    def choose(self, pool: Sequence[UpstreamEntry], tried: set[UpstreamId]) -> UpstreamEntry | None:
        """Return an upstream, or None where all were tried.

        Args:
            pool: Upstreams of the service that take new work.
            tried: Upstreams that are left out.
        """
        now_ms = self._now_ms()
        usable = [entry for entry in pool if entry.upstream_id not in tried] if tried else pool
        if not usable:
            return None
        self._usual_ms, self._pool = None, usable
        sound = [
            entry for entry in usable if self.view(entry.upstream_id).avoid_until_ms <= now_ms
        ] or usable
        zone = self.availability_zone
        near = [entry for entry in sound if entry.availability_zone == zone]
        best = self._better_of_two(near, now_ms)
        if best is not None and self._stays_near(best, sound, now_ms):
            return best
        if len(near) > 2:
            best = min(near, key=lambda entry: self._cost_ms(entry, now_ms))
        far = [entry for entry in sound if entry.availability_zone != zone]
        other = self._better_of_two(far, now_ms)
        if best is None or other is None:
            return best or other
        return min(best, other, key=lambda entry: self._cost_ms(entry, now_ms))

    def _stays_near(
        self, best: UpstreamEntry, pool: Sequence[UpstreamEntry], now_ms: float
    ) -> bool:
        """Return whether an upstream of the own zone is taken without a look at the others."""
        return self.wait_ms(best, now_ms) <= self.SPILL_MS and not self._is_faulty(best, pool)

    def _is_faulty(self, entry: UpstreamEntry, pool: Sequence[UpstreamEntry]) -> bool:
        """Return whether an upstream fails more often than the others of its service.

        Where the calls of all fail, a service behind them is the cause and moving helps nobody.
        """
        part = self._fault_part(self.view(entry.upstream_id))
        if part < self.FAULT_NOTED or len(pool) < 2:
            return False
        others = [self._fault_part(self.view(one.upstream_id)) for one in pool if one is not entry]
        return part > self.FAULT_FACTOR * sum(others) / len(others) + self.FAULT_NOTED / 2

    def _better_of_two(
        self, entries: Sequence[UpstreamEntry], now_ms: float
    ) -> UpstreamEntry | None:
        """Return the cheaper of two random entries.

        Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001: comparing all
        of them would send the callers with the same stale reports to the same upstream.
        """
        if len(entries) < 2:
            return entries[0] if entries else None
        pair = self._random.sample(entries, 2) if len(entries) > 2 else entries
        return min(pair, key=lambda entry: self._cost_ms(entry, now_ms))

    def wait_ms(self, entry: UpstreamEntry, now_ms: float) -> float:
        """Return how long a request would wait for a place at an upstream."""
        view = self.view(entry.upstream_id)
        report = view.report
        if report is None or now_ms - view.reported_at_ms > self.REPORT_MS:
            over = view.outstanding + 1 - entry.slots
            return max(0, over) * self.UNKNOWN_SERVICE_MS / entry.slots
        occupied = max(report.running + report.queued + view.sent_since, view.outstanding)
        over = occupied + 1 - report.limit
        return max(0, over) * report.service_ms / max(1, report.limit)

    def _cost_ms(self, entry: UpstreamEntry, now_ms: float) -> float:
        view = self.view(entry.upstream_id)
        service_ms = self._usual_service_ms() if view.report is None else view.report.service_ms
        load = (view.outstanding + 1) / entry.slots
        if view.report is not None:
            load = max(load, (view.report.running + view.sent_since + 1) / view.report.limit)
        far = 0.0 if entry.availability_zone == self.availability_zone else self.ZONE_COST_MS
        cost_ms = self.wait_ms(entry, now_ms) + service_ms * (0.5 + 0.5 * min(1.0, load)) + far
        fault_part = self._fault_part(view)
        return cost_ms * (1 + self.FAULT_WEIGHT * fault_part) + self.FAULT_MS * fault_part

    def _usual_service_ms(self) -> float:
        """Return the mean time of a request at the upstreams of the pool that have reported one.

        A new upstream is expected to need as long; with a fixed figure it would get nothing beside
        faster ones.
        """
        if self._usual_ms is None:
            reports = [self.view(entry.upstream_id).report for entry in self._pool]
            known = [report.service_ms for report in reports if report is not None]
            self._usual_ms = sum(known) / len(known) if known else self.UNKNOWN_SERVICE_MS
        return self._usual_ms

    def _fault_part(self, view: UpstreamView) -> float:
        """Return the failing part of the answers; it fades while there are none."""
        if view.fault_part < self.FAULT_NOTED / 10:
            return view.fault_part
        idle_ms = self._now_ms() - view.judged_at_ms
        return view.fault_part * 0.5 ** (idle_ms / self.FAULT_HALF_LIFE_MS)

    def _judge(self, view: UpstreamView, *, failed: bool) -> None:
        known = self._fault_part(view)
        view.fault_part = known + self.SMOOTHING * (failed - known)
        view.judged_at_ms = self._now_ms()

    def record_sent(self, upstream_id: UpstreamId) -> None:
        """Count a request that is sent."""
        view = self.view(upstream_id)
        view.outstanding += 1
        view.sent_since += 1

    def record_ended(self, upstream_id: UpstreamId, report: LoadReport | None) -> None:
        """Count a request that ended, with the load that its answer reported."""
        view = self.view(upstream_id)
        view.outstanding = max(0, view.outstanding - 1)
        if report is not None:
            view.report, view.reported_at_ms, view.sent_since = report, self._now_ms(), 0

    def record_success(self, upstream_id: UpstreamId) -> None:
        """Learn that an upstream gave a good answer."""
        view = self.view(upstream_id)
        view.consecutive_failures = 0
        self._judge(view, failed=False)

    def record_error_answer(self, upstream_id: UpstreamId) -> None:
        """Learn that an upstream answered with a failure, which may be that of its own calls."""
        view = self.view(upstream_id)
        view.consecutive_failures = 0
        self._judge(view, failed=True)

    def record_failure(self, upstream_id: UpstreamId, *, unreachable: bool = False) -> None:
        """Learn that an upstream failed.

        Args:
            upstream_id: The upstream.
            unreachable: Whether it was not reached at all, so that no further sign is needed.
        """
        view = self.view(upstream_id)
        view.consecutive_failures += 1
        self._judge(view, failed=True)
        if (
            unreachable
            or view.consecutive_failures >= self.FAILURES_TO_AVOID
            or view.fault_part > self.FAULT_PART
        ):
            place = min(view.consecutive_failures, len(self.AVOID_MS)) - 1
            jitter = 0.75 + 0.5 * self._random.random()
            view.avoid_until_ms = self._now_ms() + self.AVOID_MS[max(0, place)] * jitter
