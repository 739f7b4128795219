"""Balance load over upstreams by expected waiting time, preferring the local availability zone."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from ..ids import AvailabilityZoneId, ServiceId, UpstreamId
from .completion_choice import CompletionChoice
from .directory import UpstreamEntry
from .path_delay import PathDelays
from .upstream_view import LoadReport, UpstreamView
from .zone_transfer import ZoneTransfer


class Balancer:
    """Choose upstreams of a service by the load and the outcomes that were observed."""

    # Waiting time in the local availability zone above which other zones are considered. A path
    # between zones adds about 10 ms to a request and its traffic is expensive, while a queue of
    # this length is mostly due to a burst. At 25 ms a third more bytes go to other zones without
    # better service, and at 90 ms callers are refused.
    SPILL_WAIT_MS = 50.0
    # Cost of sending a request to another zone, expressed in ms of waiting.
    CROSS_ZONE_COST_MS = 50.0
    # Older load reports are not used to estimate the present load.
    REPORT_MAX_AGE_MS = 1_000.0
    # Service time that is assumed while no upstream of the pool has reported one.
    DEFAULT_SERVICE_MS = 50.0
    # How long an upstream is avoided, by its number of consecutive failures.
    AVOIDANCE_MS = (250.0, 500.0, 1_000.0, 2_000.0)
    # Consecutive failures after which an upstream is avoided.
    FAILURES_TO_AVOID = 3
    # Fraction of failures, over about the last 20 requests, above which an upstream that fails to
    # answer is avoided at once.
    AVOIDANCE_FAILURE_FRACTION = 0.25
    # A fraction of failures below the first value, or below about the second value times that of
    # the other upstreams, is considered noise.
    MIN_FAILURE_FRACTION = 0.1
    FAILURE_OUTLIER_FACTOR = 2.0
    # Weight of the failure fraction in the cost: with 20% of failures, an upstream must be nearly
    # twice as cheap as the others to be chosen.
    FAILURE_WEIGHT = 4.0
    # Cost of a failure in ms of waiting, in addition to the time of the retry. Otherwise the cost
    # of another zone would keep work at a fast upstream that fails a third of its requests.
    FAILURE_COST_MS = 200.0
    # Half-life of the failure fraction, so that an upstream that gets no work because of its
    # failures is tried again after a few half-lives.
    FAILURE_HALF_LIFE_MS = 2_000.0
    SMOOTHING = 0.1
    # Weight of the fraction of rejections in the cost. A rejected request is repeated elsewhere at
    # once, so that it costs less than a failure; but the repeat uses retry budget. With 0, a target
    # that rejects 40% gets 1.3 times the mean of the arrivals, as its slots are free.
    REJECTION_WEIGHT = 2.0
    # Cost of a rejection in ms of waiting, where the choice is by expected completion.
    REJECTION_COST_MS = 200.0
    # Smaller fractions of rejections are considered noise.
    MIN_REJECTED_FRACTION = 0.05

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        now_ms: Callable[[], float],
        random: Random,
        paths: PathDelays | None = None,
    ):
        """Create a balancer.

        Args:
            availability_zone: Availability zone of the local node.
            now_ms: Returns the present time in ms.
            random: Source of the random choices.
            paths: Delays of the paths to the zones; by default of one region.
        """
        self.paths = PathDelays(availability_zone) if paths is None else paths
        self.availability_zone = availability_zone
        self.views: dict[UpstreamId, UpstreamView] = {}
        self._now_ms = now_ms
        self._random = random
        # Candidates of the present choice, and their mean service time, computed on first use.
        self._pool: Sequence[UpstreamEntry] = ()
        self._expected_ms: float | None = None
        self._by_completion = CompletionChoice(self, random)
        # Called when requests of a service start or stop to leave the zone.
        self.on_transfer: Callable[[ServiceId, ZoneTransfer], None] = lambda service_id, found: None

    @property
    def transfers(self) -> Mapping[ServiceId, ZoneTransfer]:
        """Return how many requests may leave the zone, by service."""
        return self._by_completion.transfers

    def view(self, upstream_id: UpstreamId) -> UpstreamView:
        """Return the stored state of an upstream; a new one is created if there is none."""
        view = self.views.get(upstream_id)
        if view is None:
            view = self.views[upstream_id] = UpstreamView()
        return view

    def forget(self, upstream_id: UpstreamId) -> None:
        """Delete the stored state of an upstream that has been removed."""
        self.views.pop(upstream_id, None)

    def choose(self, pool: Sequence[UpstreamEntry], tried: set[UpstreamId]) -> UpstreamEntry | None:
        """Return the upstream for the next attempt, or None if all were tried.

        Args:
            pool: Upstreams of the service that accept new work.
            tried: Upstreams that are excluded.
        """
        now_ms = self._now_ms()
        if pool and self._by_completion.applies(pool, now_ms):
            return self._by_completion.choose(pool, tried, now_ms)
        untried = [entry for entry in pool if entry.upstream_id not in tried] if tried else pool
        if not untried:
            return None
        self._expected_ms, self._pool = None, untried
        preferred = [
            entry for entry in untried if self.view(entry.upstream_id).avoid_until_ms <= now_ms
        ] or untried
        zone = self.availability_zone
        same_zone = [entry for entry in preferred if entry.availability_zone == zone]
        best = self._cheaper_of_two(same_zone, now_ms)
        if best is not None and self._stays_in_zone(best, preferred, now_ms):
            return best
        if len(same_zone) > 2:
            best = min(same_zone, key=lambda entry: self._cost_ms(entry, now_ms))
        elsewhere = [entry for entry in preferred if entry.availability_zone != zone]
        alternative = self._cheaper_of_two(elsewhere, now_ms)
        if best is None or alternative is None:
            return best or alternative
        return min(best, alternative, key=lambda entry: self._cost_ms(entry, now_ms))

    def _stays_in_zone(
        self, best: UpstreamEntry, pool: Sequence[UpstreamEntry], now_ms: float
    ) -> bool:
        """Return whether an upstream of the local zone is used without considering other zones."""
        return self.wait_ms(best, now_ms) <= self.SPILL_WAIT_MS and not self.is_failure_outlier(
            best, pool
        )

    def is_failure_outlier(self, entry: UpstreamEntry, pool: Sequence[UpstreamEntry]) -> bool:
        """Return whether an upstream fails more often than the others of its service.

        If all of them fail equally often, the cause is a service that they call, and sending the
        requests to another upstream would not help.
        """
        fraction = self._decayed_failure_fraction(self.view(entry.upstream_id))
        if fraction < self.MIN_FAILURE_FRACTION or len(pool) < 2:
            return False
        other_fractions = [
            self._decayed_failure_fraction(self.view(other.upstream_id))
            for other in pool
            if other is not entry
        ]
        return (
            fraction
            > self.FAILURE_OUTLIER_FACTOR * sum(other_fractions) / len(other_fractions)
            + self.MIN_FAILURE_FRACTION / 2
        )

    def _cheaper_of_two(
        self, entries: Sequence[UpstreamEntry], now_ms: float
    ) -> UpstreamEntry | None:
        """Return the cheaper of two random entries.

        Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001. Comparing all
        entries would send all callers that have the same stale reports to the same upstream.
        """
        if len(entries) < 2:
            return entries[0] if entries else None
        pair = self._random.sample(entries, 2) if len(entries) > 2 else entries
        return min(pair, key=lambda entry: self._cost_ms(entry, now_ms))

    def wait_ms(self, entry: UpstreamEntry, now_ms: float) -> float:
        """Return the expected time that a request would wait for a slot at an upstream."""
        view = self.view(entry.upstream_id)
        report = view.report
        if report is None or now_ms - view.reported_at_ms > self.REPORT_MAX_AGE_MS:
            excess = view.outstanding + 1 - entry.slots
            slot_wait_ms = max(0, excess) * self.DEFAULT_SERVICE_MS / entry.slots
            return max(slot_wait_ms, self._wait_of_known_limit_ms(view))
        occupied = max(report.running + report.queued + view.sent_since_report, view.outstanding)
        excess = occupied + 1 - report.limit
        if excess <= 0:
            slot_wait_ms = 0.0
        elif report.throughput_per_s:
            slot_wait_ms = excess * 1_000 / report.throughput_per_s
        else:
            slot_wait_ms = excess * report.service_ms / max(1, report.limit)
        return max(slot_wait_ms, self._rate_wait_ms(view, report))

    def _wait_of_known_limit_ms(self, view: UpstreamView) -> float:
        """Return the wait at a target that limited its callers when it was last heard of.

        The first request asks anew; the next ones wait until the limit has allowed those before.
        """
        if view.report is None or not view.report.rate_per_s:
            return 0.0
        return view.outstanding / view.report.rate_per_s * 1_000

    def _rate_wait_ms(self, view: UpstreamView, report: LoadReport) -> float:
        """Return the wait that the limit of a target imposes on the next request.

        What the limit has allowed since the report is left out, as other nodes use it as well.
        """
        if not report.rate_per_s:
            return 0.0
        allowance = report.allowance - view.sent_since_report
        return max(0.0, 1 - allowance) / report.rate_per_s * 1_000

    def _cost_ms(self, entry: UpstreamEntry, now_ms: float) -> float:
        view = self.view(entry.upstream_id)
        service_ms = self._expected_service_ms() if view.report is None else view.report.service_ms
        load = (view.outstanding + 1) / entry.slots
        if view.report is not None:
            load = max(load, (view.report.running + view.sent_since_report + 1) / view.report.limit)
        zone_cost_ms = (
            0.0 if entry.availability_zone == self.availability_zone else self.CROSS_ZONE_COST_MS
        )
        cost_ms = (
            self.wait_ms(entry, now_ms) + service_ms * (0.5 + 0.5 * min(1.0, load)) + zone_cost_ms
        )
        return self.add_failures(cost_ms, view, now_ms)

    def add_failures(self, cost_ms: float, view: UpstreamView, now_ms: float) -> float:
        """Return a cost increased by the failures and rejections of an upstream."""
        if view.failure_fraction:
            fraction = self._decayed_failure_fraction(view)
            cost_ms *= 1 + self.FAILURE_WEIGHT * fraction
            cost_ms += self.FAILURE_COST_MS * fraction
        if view.rejected_fraction:
            rejected = self.rejected_fraction(view, now_ms)
            if rejected >= self.MIN_REJECTED_FRACTION:
                cost_ms *= 1 + self.REJECTION_WEIGHT * rejected
                if view.report is not None and view.report.work_percent:
                    cost_ms += self.REJECTION_COST_MS * rejected
        return cost_ms

    def rejected_fraction(self, view: UpstreamView, now_ms: float) -> float:
        """Return the fraction of rejections, which decays while there are no new ones."""
        idle_ms = now_ms - view.rejection_at_ms
        return view.rejected_fraction * 0.5 ** (idle_ms / self.FAILURE_HALF_LIFE_MS)

    def _record_rejected(self, view: UpstreamView, *, rejected: bool) -> None:
        now_ms = self._now_ms()
        previous = self.rejected_fraction(view, now_ms)
        view.rejected_fraction = previous + self.SMOOTHING * (rejected - previous)
        view.rejection_at_ms = now_ms

    def _expected_service_ms(self) -> float:
        """Return the mean service time that the upstreams of the pool have reported.

        It is assumed for upstreams without a report. With a fixed value, a new upstream would get
        no work where the others are faster than that value.
        """
        if self._expected_ms is None:
            reports = [self.view(entry.upstream_id).report for entry in self._pool]
            reported = [report.service_ms for report in reports if report is not None]
            self._expected_ms = (
                sum(reported) / len(reported) if reported else self.DEFAULT_SERVICE_MS
            )
        return self._expected_ms

    def _decayed_failure_fraction(self, view: UpstreamView) -> float:
        """Return the fraction of failures, which decays while there are no new outcomes."""
        if view.failure_fraction < self.MIN_FAILURE_FRACTION / 10:
            return view.failure_fraction
        idle_ms = self._now_ms() - view.outcome_at_ms
        return view.failure_fraction * 0.5 ** (idle_ms / self.FAILURE_HALF_LIFE_MS)

    def _record_outcome(self, view: UpstreamView, *, failed: bool) -> None:
        previous = self._decayed_failure_fraction(view)
        view.failure_fraction = previous + self.SMOOTHING * (failed - previous)
        view.outcome_at_ms = self._now_ms()

    def record_sent(self, upstream_id: UpstreamId) -> None:
        """Count a request that is sent to an upstream."""
        view = self.view(upstream_id)
        view.outstanding += 1
        view.sent_since_report += 1
        if view.report is not None and view.report.work_percent:
            now_ms = self._now_ms()
            view.recent_sent = self._by_completion.recent_sent(view, now_ms) + 1
            view.recent_sent_ms = now_ms

    def record_ended(self, upstream_id: UpstreamId, report: LoadReport | None) -> None:
        """Count a request that ended, and store the load that its answer reported, if any."""
        view = self.view(upstream_id)
        view.outstanding = max(0, view.outstanding - 1)
        if report is not None:
            view.report, view.reported_at_ms, view.sent_since_report = report, self._now_ms(), 0

    def record_success(self, upstream_id: UpstreamId) -> None:
        """Record that an upstream answered with success."""
        view = self.view(upstream_id)
        view.consecutive_failures = 0
        self._record_outcome(view, failed=False)
        if view.rejected_fraction:
            self._record_rejected(view, rejected=False)

    def record_rejection(self, upstream_id: UpstreamId) -> None:
        """Record that a target rejected a request as not run."""
        self._record_rejected(self.view(upstream_id), rejected=True)

    def record_exchange(self, upstream: UpstreamEntry, latency_ms: float, spent_ms: float) -> None:
        """Record how long an exchange took, to learn the delay of the path.

        Args:
            upstream: The upstream.
            latency_ms: Time from the send to the answer.
            spent_ms: Time that the upstream's node spent on it.
        """
        zone = upstream.availability_zone
        if zone != self.availability_zone:
            self.paths.record(zone, latency_ms - spent_ms, self._now_ms())

    def record_error_answer(self, upstream_id: UpstreamId) -> None:
        """Record that an upstream answered with an error, which may come from its own calls."""
        view = self.view(upstream_id)
        view.consecutive_failures = 0
        self._record_outcome(view, failed=True)

    def record_failure(self, upstream_id: UpstreamId, *, unreachable: bool = False) -> None:
        """Record that an upstream failed to answer, and avoid it after repeated failures.

        Args:
            upstream_id: The upstream.
            unreachable: Whether it or its target could not be reached; it is then avoided at once.
        """
        view = self.view(upstream_id)
        view.consecutive_failures += 1
        self._record_outcome(view, failed=True)
        if (
            unreachable
            or view.consecutive_failures >= self.FAILURES_TO_AVOID
            or view.failure_fraction > self.AVOIDANCE_FAILURE_FRACTION
        ):
            step = min(view.consecutive_failures, len(self.AVOIDANCE_MS)) - 1
            jitter = 0.75 + 0.5 * self._random.random()
            self._by_completion.forget_pools()
            view.avoid_until_ms = self._now_ms() + self.AVOIDANCE_MS[max(0, step)] * jitter
