"""Handle the requests of the callers and of the target of this instance."""

from collections.abc import Callable
from random import Random

from ...clock import Clock
from ...decisions import DecisionLog
from ...events import REQUEST_ENDED
from ...ids import OrganisationId, RouteId, ServiceId
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunAnswer, RunOutcome
from ...state.completion_times import CompletionTimes
from ...state.directory import Directory
from ...state.fleet_plan import FleetOrganisation, FleetPlan, HostRoute
from ...state.fleet_rate import LimitChanges, NodeRates
from ...state.overload_level import KnownLevels
from ...state.return_times import ReturnTimes, has_returned
from ...state.timeout_estimate import TimeoutEstimate
from ...transport.callbacks import Cancellable
from ...transport.header_fields import render_fields
from ...transport.http_names import HOP_BY_HOP
from ...transport.http_pipeline import BufferedRequest, BufferedResponse, DeliverResponse
from .crash_reports import REASON_BLOCKED, CrashReports
from .forwarding import Forwarder
from .pending_request import PendingRequest
from .started_request import EntryReply, StartedRequest
from .target_stop import END_MARGIN_MS

# Statuses by which callers learn that a request has not run, and send it again.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

# Maximum log lines per second about requests that were refused after attempts. They have a limit of
# their own, as refusals before any attempt are far more frequent under overload.
ATTEMPTED_LINES_PER_S = 50

# A stopping node passes on a call of its target only if this fraction of the recent calls of the
# same route would have ended by its end, with a margin for the error of the estimate. The run that
# makes the call is lost in any case if it does not end: a call that is refused has not run, while
# one that is broken off leaves its upstream with work that nobody waits for.
CALL_QUANTILE = 0.95
CALL_MARGIN_MS = 50.0

# Fraction of its time limit that a call is assumed to take if nothing else is known of its route.
ASSUMED_CALL_FRACTION = 0.5

# Timeout of a request whose caller states none.
DEFAULT_TIMEOUT_MS = 10_000.0

# Longest timeout that a caller may state; longer ones count as this one.
MAX_TIMEOUT_MS = 86_400_000.0

# Range from which the time in Retry-After is drawn at random, so that callers that were refused
# together do not retry together.
RETRY_AFTER_RANGE_MS = (150.0, 450.0)

# A request that used more than this fraction of its latency objective before it arrived counts as
# missing the objective.
OBJECTIVE_MISSED_FRACTION = 0.6

# Remaining time below which a request without an answer counts as timed out.
DEADLINE_TOLERANCE_MS = 2.0

_NO_ORGANISATION = OrganisationId("")

# The listener has already read the whole body, and the node sets Content-Length itself.
_REPLACED_FIELDS = frozenset(("expect", "content-length"))


class WeightedRoundRobin:
    """Distribute the requests of each route over its services in exact proportion to the weights.

    Smooth weighted round-robin: each choice adds to every service its weight, chooses the service
    with the largest sum and subtracts the total of the weights from it.
    """

    def __init__(self, random: Random):
        """Create a chooser that starts at a random position, so that nodes do not synchronise.

        Args:
            random: Source of the initial positions.
        """
        self._random = random
        self._current_weights: dict[RouteId, tuple[HostRoute, list[float]]] = {}

    def choose(self, route: HostRoute) -> ServiceId:
        """Return the service for the next request of a route."""
        parts = route.service_weights
        if len(parts) == 1:
            return parts[0].service_id
        stored = self._current_weights.get(route.route_id)
        total = sum(part.weight for part in parts)
        if stored is None or stored[0].service_weights != parts:
            initial_weights = [self._random.random() * part.weight for part in parts]
            stored = self._current_weights[route.route_id] = (route, initial_weights)
        current_weights = stored[1]
        for index, part in enumerate(parts):
            current_weights[index] += part.weight
        best = max(range(len(parts)), key=current_weights.__getitem__)
        current_weights[best] -= total
        return parts[best].service_id


class Entry:
    """Handle the requests that enter the mesh on this instance.

    Attributes:
        requests: Requests that have no answer yet.
        ends_at_ms: Time at which a stopping node ends; infinity before.
        refuses_callers: Whether new requests are refused, except those of this node's own target.
        return_times: When refused callers are to return.
        call_times: How long the calls of this node's own target take, by route.
    """

    def __init__(
        self,
        plan: Callable[[], FleetPlan | None],
        service_id: Callable[[], ServiceId],
        directory: Directory,
        forwarder: Forwarder,
        crash_reports: CrashReports,
        rates: NodeRates,
        limits: LimitChanges,
        levels: KnownLevels,
        dialect: HttpDialect,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
        random: Random,
    ):
        """Create an entry.

        Args:
            plan: Returns the plan in force, or None before there is one.
            service_id: Returns the service of this node's own target.
            directory: Upstreams that the platform lists.
            forwarder: Sends requests to upstreams.
            crash_reports: Requests that crash targets.
            rates: Decides which requests are within the rate of their organisation.
            limits: Delays lowered rate limits until every node knows them.
            levels: Overload levels below which root requests are refused.
            dialect: Names of header fields.
            clock: Clock of deadlines.
            metrics: Counts requests.
            decisions: Log of requests that the node answers itself.
            random: Source of initial positions and of the times in Retry-After.
        """
        self.plan = plan
        self.service_id = service_id
        self.directory = directory
        self.forwarder = forwarder
        self.crash_reports = crash_reports
        self.rates = rates
        self.limits = limits
        self.levels = levels
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        self._attempted_decisions = DecisionLog(clock, ATTEMPTED_LINES_PER_S)
        self.random = random
        self.requests: set[StartedRequest] = set()
        self.ends_at_ms = float("inf")
        self.refuses_callers = False
        self.service_chooser = WeightedRoundRobin(random)
        self.return_times = ReturnTimes(random)
        self.call_times = CompletionTimes()
        # Timeouts of the callers' first attempts, by route.
        self._full_timeouts: dict[RouteId, TimeoutEstimate] = {}
        self._request_id_field = dialect.request_id.lower()
        self._key_field = dialect.key.lower()
        self._timeout_field = dialect.remaining_ms.lower()
        # Fields of a caller that are not forwarded: those that the node sets itself, such as the
        # request id, and those that concern one connection only.
        self._dropped_fields = (
            HOP_BY_HOP
            | _REPLACED_FIELDS
            | {
                self._request_id_field,
                self._key_field,
                self._timeout_field,
                dialect.organisation.lower(),
                dialect.expected_target.lower(),
                dialect.caller_service.lower(),
            }
        )

    @property
    def running(self) -> int:
        """Return the number of requests that have no answer yet."""
        return len(self.requests)

    def end_requests(self) -> None:
        """Answer all requests as at their deadline, since the node ends."""
        for started in list(self.requests):
            started.expire()

    def start(self, request: BufferedRequest, deliver: DeliverResponse) -> Cancellable:
        """Start to handle a request.

        Args:
            request: The request.
            deliver: Called once with the answer, after this method has returned, unless the request
                is cancelled.

        Returns:
            What cancels the request.
        """
        started = StartedRequest(self, request, deliver)
        started.begin()
        return started

    def finish(self, started: StartedRequest, reply: EntryReply) -> BufferedResponse:
        """Record how a request ended and return its answer."""
        self.requests.discard(started)
        now_ms, pending = self.clock.now_ms(), started.pending
        took_ms = now_ms - started.started_ms
        self.metrics.count(f"entry.status.{reply.status}")
        self.metrics.timing_ms("entry.took_ms", took_ms)
        is_answered = not reply.reason or reply.status == 504
        if is_answered and pending is not None and pending.inner:
            self.call_times.record(pending.route.route_id, took_ms, now_ms)
        if reply.reason:
            self.metrics.count(f"entry.refused.{reply.reason.replace(' ', '_')}")
            has_attempts = pending is not None and pending.attempts
            decisions = self._attempted_decisions if has_attempts else self.decisions
            decisions.write(
                REQUEST_ENDED,
                request_id=started.request_id,
                route="-" if pending is None else pending.route.route_id,
                status=reply.status,
                reason=reply.reason,
                took_ms=took_ms,
                sent=0 if pending is None else pending.send_count,
                attempts="; ".join(pending.attempts) if has_attempts else "none",
            )
        reply.headers.append((self.dialect.request_id, started.request_id))
        return BufferedResponse(reply.status, reply.headers, reply.body, reply.fields)

    def find_request_id(self, request: BufferedRequest) -> str:
        """Return the id of a request, or an empty string."""
        return request.find(self._request_id_field) or ""

    def resolve_request(
        self, request: BufferedRequest, request_id: str, now_ms: float
    ) -> PendingRequest | EntryReply:
        """Find the route, service, organisation and deadline of a request.

        Args:
            request: The request.
            request_id: Its id, or an empty string.
            now_ms: Present time in ms.

        Returns:
            The request to forward, or the reply if it is invalid or there is no plan yet.
        """
        plan = self.plan()
        if plan is None:
            return self._unavailable("no plan")
        if not request_id:
            return EntryReply(400, "no request id")
        path = request.target.partition("?")[0]
        route = plan.match(request.find("host") or "", path)
        if route is None:
            return EntryReply(404, "no route")
        if not route.service_weights:
            return self._unavailable("route is not readable")
        organisation: FleetOrganisation | None = None
        if plan.organisations and not route.open_to_all:
            organisation = plan.organisation_of_key(request.find(self._key_field) or "")
            if organisation is None:
                return EntryReply(401, "unknown key")
        stated_ms = self._stated_timeout_ms(request)
        timeout_ms = DEFAULT_TIMEOUT_MS if stated_ms is None else stated_ms
        if route.timeout_ms is not None:
            timeout_ms = min(timeout_ms, route.timeout_ms)
        service_id = self.service_chooser.choose(route)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        pending = PendingRequest(
            route,
            service_id,
            _NO_ORGANISATION if organisation is None else organisation.organisation_id,
            priority,
            organisation is None and bool(plan.organisations),
            request_id,
            min(now_ms + timeout_ms, self.ends_at_ms - END_MARGIN_MS),
            request.method,
            request.target,
            request.body,
            timeout_ms=timeout_ms,
            allowed_regions=self.forwarder.regions_for(route, organisation),
        )
        if organisation is not None and stated_ms is not None:
            self._classify_attempt(pending, stated_ms)
        return pending

    def _stated_timeout_ms(self, request: BufferedRequest) -> float | None:
        """Return how long the caller waits for the answer, or None if it does not say."""
        stated = request.find(self._timeout_field) or ""
        if not (stated.isascii() and stated.isdecimal()):
            return None
        return min(float(stated), MAX_TIMEOUT_MS)

    def _classify_attempt(self, pending: PendingRequest, timeout_ms: float) -> None:
        """Find out whether a root request was sent before, and how much of its time is used.

        A caller that retries states only the time that is left of its full timeout.
        """
        route = pending.route
        estimate = self._full_timeouts.get(route.route_id)
        if estimate is None:
            estimate = self._full_timeouts[route.route_id] = TimeoutEstimate(timeout_ms)
        estimate.record(timeout_ms)
        pending.returned = has_returned(estimate.value_ms, timeout_ms)
        if route.latency_objective_ms is not None:
            used_ms = estimate.value_ms - timeout_ms
            pending.objective_missed = (
                used_ms > OBJECTIVE_MISSED_FRACTION * route.latency_objective_ms
            )

    def target_fields(self, request: BufferedRequest, organisation_id: OrganisationId) -> str:
        """Return the header fields for the target: those of the caller and those of the node.

        Args:
            request: The request.
            organisation_id: Organisation for which it runs; empty if it came without a key.
        """
        dropped_fields = self._dropped_fields
        connection = request.find("connection")
        if connection is not None:
            dropped_fields = dropped_fields | {
                name.strip().lower() for name in connection.split(",")
            }
        forwarded_fields = request.fields.without(dropped_fields)
        forwarded_fields.append((self.dialect.caller_service, self.service_id()))
        if organisation_id:
            forwarded_fields.append((self.dialect.organisation, organisation_id))
        return render_fields(forwarded_fields)

    def check_admission(self, pending: PendingRequest, now_ms: float) -> EntryReply | None:
        """Return the refusal of a request that is not to be forwarded, or None.

        Requests are refused while the node is leaving, while they are blocked since targets crash
        under them, over the rate of their organisation, and under overload of the service.
        """
        if self.refuses_callers and not pending.inner:
            return self._unavailable("node is leaving")
        if pending.inner and not self._can_end(pending, now_ms):
            return self._unavailable("node ends before the call")
        block_ms = self.crash_reports.block_ms(pending)
        if block_ms:
            self.crash_reports.log_refusal(pending, pending.request_id, block_ms)
            return self._refusal(503, REASON_BLOCKED, block_ms)
        if pending.organisation_id:
            rate_wait_ms = self._rate_limit_wait_ms(pending, now_ms)
            if rate_wait_ms is not None:
                return self._refusal(429, "over the rate", rate_wait_ms)
        if pending.inner:
            return None
        # Unreachable upstreams accept no requests, so that they must not lower the mean level.
        upstream_count = len(self.forwarder.reachable_upstreams(pending.service_id, now_ms))
        plan = self.plan()
        lowest_priority = pending.priority if plan is None else plan.priorities[1]
        refused_fraction = self.levels.refused_fraction(
            pending.service_id, pending.priority, lowest_priority, now_ms, upstream_count
        )
        service_id, priority = pending.service_id, pending.priority
        draw = self.return_times.draw(
            service_id,
            priority,
            now_ms,
            returned=pending.returned,
            objective_missed=pending.objective_missed,
        )
        if draw >= refused_fraction:
            self.return_times.record_admitted(service_id, priority, now_ms)
            return None
        remaining_ms = pending.deadline_ms - now_ms
        wait_ms = self.return_times.next_wait_ms(service_id, priority, remaining_ms, now_ms)
        self.metrics.timing_ms("entry.promised_wait_ms", wait_ms)
        return self._refusal_after(503, "overload", wait_ms)

    def _can_end(self, pending: PendingRequest, now_ms: float) -> bool:
        """Return whether a call is expected to be over before this node ends."""
        left_ms = self.ends_at_ms - END_MARGIN_MS - CALL_MARGIN_MS - now_ms
        if left_ms == float("inf"):
            return True
        route = pending.route
        expected_ms = self.call_times.expected_ms(route.route_id, CALL_QUANTILE, now_ms)
        if expected_ms is None:
            expected_ms = route.latency_objective_ms
        if expected_ms is None:
            expected_ms = ASSUMED_CALL_FRACTION * pending.timeout_ms
        # A call whose own time limit ends first is not cut off by the end of the node.
        return min(expected_ms, pending.timeout_ms) <= left_ms

    def _rate_limit_wait_ms(self, pending: PendingRequest, now_ms: float) -> float | None:
        """Return the wait for a request over its organisation's rate, or None if it is within."""
        plan = self.plan()
        organisation = None if plan is None else plan.organisations.get(pending.organisation_id)
        if organisation is None or organisation.rate_per_s <= 0:
            return None
        nodes = max(1, len(self.directory.hosts()))
        organisation_id = organisation.organisation_id
        rate_per_s, burst = self.limits.limit(
            organisation_id, (organisation.rate_per_s, organisation.burst), now_ms
        )
        if self.rates.take(
            organisation_id,
            rate_per_s,
            burst,
            nodes,
            now_ms,
            objective_missed=pending.objective_missed,
        ):
            return None
        return self.rates.catch_up_ms(organisation_id, rate_per_s)

    def outcome_reply(self, pending: PendingRequest, answer: RunAnswer) -> EntryReply:
        """Return the reply for the outcome of the attempts."""
        if answer.outcome is RunOutcome.ANSWERED:
            if answer.status in NOT_RUN_STATUSES and not pending.route.repeatable:
                # The target did not say that it has not run the request, and it may have.
                return EntryReply(502, f"target answered {answer.status} and may have run it")
            return EntryReply(answer.status, "", [], answer.body, answer.fields)
        if pending.deadline_ms - self.clock.now_ms() < DEADLINE_TOLERANCE_MS:
            # The node beside the target stops waiting at the same time as this one.
            return self.timeout_reply(pending)
        if pending.may_have_run:
            return EntryReply(502, "outcome unknown")
        return self._unavailable(answer.reason)

    def timeout_reply(self, pending: PendingRequest) -> EntryReply:
        """Return the reply for a request whose deadline has passed."""
        is_cut = self.clock.now_ms() >= self.ends_at_ms - END_MARGIN_MS - DEADLINE_TOLERANCE_MS
        reason = "cut off at the end of the node" if is_cut else "out of time"
        if pending.may_have_run:
            return EntryReply(504, reason)
        return self._unavailable(reason)

    def fault_reply(self, pending: PendingRequest | None) -> EntryReply:
        """Return the reply for a request that failed because of an error in the node.

        Args:
            pending: The request, or None if the error came before it was resolved.
        """
        if pending is not None and pending.may_have_run:
            return EntryReply(502, "fault of the node")
        return self._unavailable("fault of the node")

    def _unavailable(self, reason: str) -> EntryReply:
        return self._refusal(503, reason)

    def _refusal(self, status: int, reason: str, min_wait_ms: float = 0.0) -> EntryReply:
        shortest_ms, longest_ms = RETRY_AFTER_RANGE_MS
        spread_ms = shortest_ms + (longest_ms - shortest_ms) * self.random.random()
        return self._refusal_after(status, reason, min_wait_ms + spread_ms)

    def _refusal_after(self, status: int, reason: str, wait_ms: float) -> EntryReply:
        return EntryReply(status, reason, [(self.dialect.retry_after, f"{wait_ms / 1000:.3f}")])
