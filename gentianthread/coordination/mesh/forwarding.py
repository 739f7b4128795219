"""Send requests to upstreams, with retries where they are safe and within the retry budget."""

import asyncio
from collections.abc import Callable

from ...clock import Clock
from ...decisions import DecisionLog
from ...errors import PeerUnreachable, TransportError
from ...events import ATTEMPT_FAILED
from ...ids import AvailabilityZoneId, OrganisationId, RegionId, ServiceId
from ...metrics import Metrics
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...state.balancer import Balancer
from ...state.directory import Directory, UpstreamEntry
from ...state.fleet_plan import FleetOrganisation, HostRoute
from ...state.overload_level import KnownLevels
from ...state.placement import Placement, encode_regions
from ...state.retry_window import RetryWindow
from ...transport.callbacks import Cancellable
from .available_upstreams import CACHE_TTL_MS, AvailableUpstreams
from .crash_reports import CrashReports
from .outcomes import as_answer, refused_answer
from .peer_link import OnEnd, PeerLink
from .peers import PeerLinks
from .pending_request import Attempts, PendingRequest
from .retry_budget import RetryBudget, lacks_a_call
from .started_forward import StartedForward
from .target import LocalTarget
from .target_evacuation import REASON_EVACUATED

# A request is refused to its caller once this many nodes have refused it: a third node helps only
# if the load reports of the first two were stale.
MAX_REFUSALS = 3

# Least time before the deadline for a retry, or the service time of the upstream if it is longer.
MIN_RETRY_TIME_MS = 20.0

# Error statuses of a target for which another upstream may succeed. 504 isn't one of them, since
# it means that the deadline has passed.
RETRYABLE_STATUSES = frozenset((500, 502, 503))


class Forwarder:
    """Choose the upstreams of requests, send the requests and decide about retries."""

    def __init__(
        self,
        directory: Directory,
        balancer: Balancer,
        levels: KnownLevels,
        peers: PeerLinks,
        local_target: LocalTarget,
        crash_reports: CrashReports,
        retry_budget: RetryBudget,
        revision: Callable[[], int],
        placement: Placement,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ):
        """Create a forwarder.

        Args:
            directory: Upstreams that the platform lists.
            balancer: Chooses upstreams.
            levels: Stores the overload levels that answers report.
            peers: Links to the nodes beside other upstreams.
            local_target: Target of this node.
            crash_reports: Requests that crash targets.
            retry_budget: Limits repeats.
            revision: Returns the revision of the platform's documents that this node has.
            placement: Regions of upstreams.
            clock: Clock of deadlines.
            metrics: Counts retries.
            decisions: Log of failed attempts.
        """
        self.directory = directory
        self.balancer = balancer
        self.levels = levels
        self.peers = peers
        self.local_target = local_target
        self.crash_reports = crash_reports
        self.retry_budget = retry_budget
        self.revision = revision
        self.placement = placement
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        # Called with the organisation of a request that may run again; the sidecar replaces it.
        self.on_second_run: Callable[[OrganisationId], None] = lambda organisation_id: None
        self.upstreams = AvailableUpstreams(
            directory, placement, lambda host: peers.reachable(host), local_target.address[0]
        )
        self._dependency_level_cache = (float("-inf"), 0.0)
        directory.evacuations.subscribe(self._forget_levels)

    def _forget_levels(self, zones: frozenset[AvailabilityZoneId]) -> None:
        """Forget the overload levels of the upstreams that get no more requests."""
        self._dependency_level_cache = (float("-inf"), 0.0)
        for entry in self.directory.entries.values():
            if entry.availability_zone in zones:
                self.levels.forget(entry.service_id, entry.upstream_id)

    def dependency_level(self) -> float:
        """Return the highest overload level of the services that this node's own target calls."""
        now_ms = self.clock.now_ms()
        until_ms, level = self._dependency_level_cache
        if now_ms >= until_ms:
            # Unreachable upstreams accept no requests, so that they must not lower the mean level.
            counts = {
                name: len(self.reachable_upstreams(name, now_ms))
                for name in self.local_target.runs.called_services
            }
            level = self.levels.highest_level(now_ms, counts)
            self._dependency_level_cache = (now_ms + CACHE_TTL_MS, level)
        return level

    def reachable_upstreams(
        self, service_id: ServiceId, now_ms: float
    ) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service that are reachable, or all if none is.

        Args:
            service_id: The service.
            now_ms: Present time in ms.
        """
        return self.upstreams.of(service_id, now_ms)

    def start(
        self, pending: PendingRequest, now_ms: float, deliver: Callable[[RunAnswer], None]
    ) -> Cancellable:
        """Start to send a request; no task is created if the first attempt needs none.

        Args:
            pending: The request.
            now_ms: Present time in ms.
            deliver: Called once, after this method has returned, with the answer of an upstream or
                the reason why there is none, unless the request is cancelled.

        Returns:
            What cancels the request.
        """
        retry_window = self.retry_budget.begin(pending, now_ms)
        started_forward = StartedForward(
            self, Attempts(pending, retry_window, refused_answer("no upstream is left")), deliver
        )
        started_forward.begin()
        return started_forward

    def next_upstream(self, attempts: Attempts) -> UpstreamEntry | None:
        """Choose the upstream of the next attempt, or return None if all were tried."""
        pending, lost = attempts.pending, attempts.connection_lost_by
        upstreams = self.upstreams.for_request(pending, self.clock.now_ms())
        upstream = self.balancer.choose(upstreams, attempts.tried)
        if upstream is None and lost is not None and not self.directory.is_evacuated(lost):
            # The target closed a kept connection; on another one it may answer.
            upstream, attempts.connection_lost_by = lost, None
        if upstream is not None:
            attempts.tried.add(upstream.upstream_id)
            return upstream
        if not upstreams and not pending.attempts:
            attempts.last_answer = refused_answer(self.upstreams.missing_reason(pending))
        self.retry_budget.record_end(pending, attempts.last_answer, self.clock.now_ms())
        return None

    def regions_for(
        self, route: HostRoute, organisation: FleetOrganisation | None
    ) -> frozenset[RegionId] | None:
        """Return the regions in which a request may run, or None for all.

        Args:
            route: Its route.
            organisation: Its organisation; None if it may be a call of this node's own target,
                which keeps to the regions of the runs there.
        """
        inherited: frozenset[RegionId] | None = None
        if organisation is None:
            inherited = self.local_target.bound_runs.regions(self.clock.now_ms())
        return self.placement.regions_for(route, organisation, inherited)

    def evaluate_attempt(
        self, attempts: Attempts, upstream: UpstreamEntry, answer: RunAnswer
    ) -> RunAnswer | None:
        """Return the final answer after an attempt, or None if another upstream is to be tried.

        Args:
            attempts: The attempts so far.
            upstream: The upstream of the last attempt.
            answer: The outcome of that attempt.
        """
        if answer.outcome is RunOutcome.ANSWERED and answer.status not in RETRYABLE_STATUSES:
            return answer
        pending = attempts.pending
        reason = answer.reason or answer.status
        pending.attempts += (f"{upstream.upstream_id} {answer.outcome.value} {reason}",)
        if answer.outcome is RunOutcome.CONNECTION_LOST:
            attempts.connection_lost_by = upstream
        if answer.outcome is RunOutcome.NOT_SENT:
            if answer.reason == REASON_EVACUATED:
                # This node has not heard of the evacuation yet; the rest of the zone refuses, too.
                attempts.tried |= self.upstreams.in_zone_of(upstream)
            else:
                attempts.refusals += 1
            will_retry = attempts.refusals < MAX_REFUSALS
        else:
            will_retry = self._may_retry(pending, answer, attempts.retry_window)
        will_retry = will_retry and self.crash_reports.suspects.may_retry(pending)
        # The caller gets an answer of a target, even an error, rather than a later node's refusal.
        if attempts.last_answer.outcome is not RunOutcome.ANSWERED:
            attempts.last_answer = answer
        if not will_retry:
            self._log_failure(pending, upstream, answer, will_retry=False)
            self.retry_budget.record_end(pending, answer, self.clock.now_ms())
            return attempts.last_answer
        if answer.outcome is not RunOutcome.NOT_SENT:
            self._log_failure(pending, upstream, answer, will_retry=True)
            attempts.retry_window.record_retry(self.clock.now_ms())
            if answer.outcome is not RunOutcome.REJECTED:
                self.on_second_run(pending.organisation_id)
            self.metrics.count("forwarder.repeats")
        return None

    def _may_retry(
        self, pending: PendingRequest, answer: RunAnswer, retry_window: RetryWindow
    ) -> bool:
        if pending.may_have_run and not pending.route.repeatable:
            return False
        if lacks_a_call(answer):
            self.metrics.count("forwarder.repeats_left_to_calls")
            return False
        if pending.send_count >= pending.route.max_attempts:
            return False
        now_ms = self.clock.now_ms()
        if pending.deadline_ms - now_ms < max(MIN_RETRY_TIME_MS, answer.load.service_ms):
            return False
        return self.retry_budget.take(pending, retry_window, now_ms)

    def start_attempt(
        self, attempts: Attempts, upstream: UpstreamEntry, on_end: OnEnd
    ) -> Cancellable | None:
        """Send a request to an upstream without a task.

        Args:
            attempts: The attempts so far.
            upstream: The upstream.
            on_end: Called once with the outcome, for `settle_attempt`.

        Returns:
            What cancels the attempt, or None if it needs a task (see `attempt`); then nothing was
            sent.
        """
        if upstream.host == self.local_target.address[0]:
            work = self.local_target.start(self._prepare_request(attempts, upstream), on_end)
            if work is None:
                self._undo_send(attempts)
        else:
            link = self.peers.open_link(upstream.host)
            if link is None or self._needs_liveness_check(attempts, link):
                return None
            work = link.begin(self._prepare_request(attempts, upstream), on_end)
        if work is not None:
            self.balancer.record_sent(upstream.upstream_id)
        return work

    async def attempt(self, attempts: Attempts, upstream: UpstreamEntry) -> RunAnswer:
        """Send a request to an upstream, wait for the outcome and return it as an answer."""
        self.balancer.record_sent(upstream.upstream_id)
        try:
            result = await self._send(attempts, upstream)
        except PeerUnreachable:
            return self._finish_attempt(attempts, upstream, refused_answer("peer is unreachable"))
        except asyncio.CancelledError:
            self.abandon_attempt(upstream)
            raise
        return self.settle_attempt(attempts, upstream, result)

    async def _send(
        self, attempts: Attempts, upstream: UpstreamEntry
    ) -> RunAnswer | TransportError:
        """Return the answer of an upstream, or the error of the link that the request was sent on.

        Raises:
            PeerUnreachable: No link to the peer could be opened; nothing was sent.
        """
        if upstream.host == self.local_target.address[0]:
            return await self.local_target.run(self._prepare_request(attempts, upstream))
        link = await self.peers.link_to(upstream.host)
        if self._needs_liveness_check(attempts, link) and not await link.check_alive():
            link = await self.peers.link_to(upstream.host)
        try:
            return await link.run(self._prepare_request(attempts, upstream))
        except TransportError as error:
            return error

    def _needs_liveness_check(self, attempts: Attempts, link: PeerLink) -> bool:
        """Return whether the link must prove to be alive first.

        A request that cannot be sent again afterwards, as it may not run twice or as this is its
        last attempt, is sent only if the link has recently received something.
        """
        pending = attempts.pending
        may_be_repeated = (
            pending.route.repeatable and pending.send_count + 1 < pending.route.max_attempts
        )
        return not may_be_repeated and link.is_idle(self.clock.now_ms())

    def _prepare_request(self, attempts: Attempts, upstream: UpstreamEntry) -> RunRequest:
        """Build the message for an upstream and count it as sent."""
        pending = attempts.pending
        pending.send_count += 1
        attempts.may_have_run, pending.may_have_run = pending.may_have_run, True
        return self._build_request(pending, upstream, attempts.retry_window)

    def _undo_send(self, attempts: Attempts) -> None:
        """Undo the counting of an attempt that never reached the target."""
        attempts.pending.send_count -= 1
        attempts.pending.may_have_run = attempts.may_have_run

    def abandon_attempt(self, upstream: UpstreamEntry) -> None:
        """Count an attempt as ended after its caller has gone or its time is over."""
        self.balancer.record_ended(upstream.upstream_id, None)

    def settle_attempt(
        self, attempts: Attempts, upstream: UpstreamEntry, result: RunAnswer | Exception
    ) -> RunAnswer:
        """Record the outcome of an attempt and return it as an answer.

        Args:
            attempts: The attempts so far.
            upstream: The upstream of this attempt.
            result: An answer, or the error of a link.
        """
        pending, answer = attempts.pending, as_answer(result)
        if answer.outcome is RunOutcome.NOT_SENT:
            self._undo_send(attempts)
        elif answer.outcome is RunOutcome.REJECTED:
            pending.may_have_run = attempts.may_have_run
        return self._finish_attempt(attempts, upstream, answer)

    def _finish_attempt(
        self, attempts: Attempts, upstream: UpstreamEntry, answer: RunAnswer
    ) -> RunAnswer:
        # An answer that this node made itself has no load report; its limit is 0.
        self.balancer.record_ended(upstream.upstream_id, answer.load if answer.load.limit else None)
        self._record_outcome(attempts.pending, upstream, answer)
        return answer

    def _remaining_ms(self, pending: PendingRequest) -> float:
        return max(0.0, pending.deadline_ms - self.clock.now_ms())

    def _build_request(
        self, pending: PendingRequest, upstream: UpstreamEntry, retry_window: RetryWindow
    ) -> RunRequest:
        route, now_ms = pending.route, self.clock.now_ms()
        pending.sent_ms = now_ms
        may_repeat = (
            route.repeatable
            and pending.send_count < route.max_attempts
            and self.retry_budget.allows(pending, retry_window, now_ms)
        )
        return RunRequest(
            0,
            pending.service_id,
            upstream.upstream_id,
            pending.organisation_id,
            pending.priority,
            pending.inner,
            route.repeatable,
            may_repeat,
            max(0.0, pending.deadline_ms - now_ms),
            pending.request_id,
            pending.method,
            pending.target,
            pending.fields,
            pending.body,
            self.revision(),
            allowed_regions=encode_regions(pending.allowed_regions),
            repeated=pending.inherited or pending.send_count > 1,
            depth=pending.depth,
        )

    def _record_outcome(
        self, pending: PendingRequest, upstream: UpstreamEntry, answer: RunAnswer
    ) -> None:
        upstream_id = upstream.upstream_id
        if answer.load.limit:
            now_ms = self.clock.now_ms()
            if answer.spent_ms:
                self.balancer.record_exchange(upstream, now_ms - pending.sent_ms, answer.spent_ms)
            if not self.directory.is_evacuated(upstream):
                self.levels.record(
                    pending.service_id,
                    upstream_id,
                    answer.load.level,
                    now_ms,
                    answer.load.rate_per_s,
                )
            self.retry_budget.leaf_services.record(pending.service_id, answer.load.makes_calls)
            if answer.load.leaving_id:
                # The store may be away and list the upstream as ready for long.
                self.directory.mark_leaving(answer.load.leaving_id, answer.load.leaving_start_ms)
        if answer.outcome is RunOutcome.ANSWERED:
            self.crash_reports.record_answer(pending)
            if answer.status in RETRYABLE_STATUSES:
                self.balancer.record_error_answer(upstream_id)
            else:
                self.balancer.record_success(upstream_id)
        elif answer.outcome is RunOutcome.UNKNOWN:
            if self._remaining_ms(pending) > MIN_RETRY_TIME_MS:
                self.balancer.record_failure(upstream_id)
        elif answer.outcome is RunOutcome.REJECTED:
            self.balancer.record_rejection(upstream_id)
        elif not answer.load.limit or "gone" in answer.reason:
            # The peer was unreachable, or it refused with "target is gone".
            self.balancer.record_failure(upstream_id, unreachable=True)

    def _log_failure(
        self,
        pending: PendingRequest,
        upstream: UpstreamEntry,
        answer: RunAnswer,
        *,
        will_retry: bool,
    ) -> None:
        self.decisions.write(
            ATTEMPT_FAILED,
            request_id=pending.request_id,
            upstream_id=upstream.upstream_id,
            outcome=answer.outcome.value,
            reason=answer.reason or answer.status,
            again=will_retry,
        )
