"""Take requests from the callers and the target of this instance, and answer each one."""

from collections.abc import Callable
from random import Random

from ...clock import Clock
from ...decisions import DecisionLog
from ...events import REQUEST_ENDED
from ...ids import OrganisationId, RouteId, ServiceId
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunAnswer, RunOutcome
from ...state.directory import Directory
from ...state.fleet_plan import FleetOrganisation, FleetPlan, HostRoute
from ...state.fleet_rate import LimitChanges, NodeRates
from ...state.overload_level import KnownLevels
from ...transport.callbacks import Cancellable
from ...transport.header_fields import render_fields
from ...transport.http_names import HOP_BY_HOP
from ...transport.http_pipeline import Deliver, WholeAnswer, WholeRequest
from .forwarding import Forwarder, PendingRequest
from .started_request import EntryReply, StartedRequest

# Time that a request without a stated one may take.
USUAL_TIME_MS = 10_000.0

# Shortest and longest time after which a refused caller may come again; the time between them
# spreads the return of callers that were refused together.
RETRY_AFTER_MS = (150.0, 450.0)

# Wait of a caller while as much is refused as is let through; it grows with what is refused.
EXCESS_WAIT_MS = 1_000.0

# The wait grows as `part / (limit - part)`: ten times the excess wait where all is refused.
REFUSED_PART_LIMIT = 1.1

# A request that has used this part of its latency objective before it came counts as late.
LATE_PART = 0.6

_NO_ORGANISATION = OrganisationId("")

# The listener has read the body whole, and the node states its length anew.
_REPLACED = frozenset(("expect", "content-length"))


class WeightedTurns:
    """Spread the requests of routes over their services by exact shares.

    Smooth weighted round-robin: each turn adds every weight to its service and takes the whole sum
    from the one with the most.
    """

    def __init__(self, random: Random):
        """Create turns that start at a random place, so that nodes do not move in step."""
        self._random = random
        self._balances: dict[RouteId, tuple[HostRoute, list[float]]] = {}

    def next(self, route: HostRoute) -> ServiceId:
        """Return the service of the next request of a route."""
        parts = route.service_weights
        if len(parts) == 1:
            return parts[0].service_id
        known = self._balances.get(route.route_id)
        total = sum(part.weight for part in parts)
        if known is None or known[0].service_weights != parts:
            draws = [self._random.random() * part.weight for part in parts]
            known = self._balances[route.route_id] = (route, draws)
        balances = known[1]
        for place, part in enumerate(parts):
            balances[place] += part.weight
        best = max(range(len(parts)), key=balances.__getitem__)
        balances[best] -= total
        return parts[best].service_id


class Entry:
    """Answer the requests that begin on this instance.

    Attributes:
        running: Requests without an answer.
        refuses_callers: Whether new requests are refused, but for the calls of the own target.
    """

    def __init__(
        self,
        plan: Callable[[], FleetPlan | None],
        service_id: Callable[[], ServiceId],
        directory: Directory,
        forwarder: Forwarder,
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
            service_id: Returns the service of the own target.
            directory: Upstreams that the platform lists.
            forwarder: Makes the attempts.
            rates: Keeps organisations within their rate.
            limits: Holds lowered limits back.
            levels: Levels below which root requests are refused.
            dialect: Names of header fields.
            clock: Clock of deadlines.
            metrics: Counts requests.
            decisions: Where answers of the node's own are written.
            random: Source of shares and of return times.
        """
        self.plan = plan
        self.service_id = service_id
        self.directory = directory
        self.forwarder = forwarder
        self.rates = rates
        self.limits = limits
        self.levels = levels
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        self.random = random
        self.running = 0
        self.refuses_callers = False
        self.turns = WeightedTurns(random)
        # Longest time that callers of a route have stated.
        self._usual_ms: dict[RouteId, float] = {}
        self._id_field = dialect.request_id.lower()
        self._key_field = dialect.key.lower()
        self._time_field = dialect.remaining_ms.lower()
        # The node sets these itself, or they concern one connection only. The id travels once.
        self._dropped = (
            HOP_BY_HOP
            | _REPLACED
            | {
                self._id_field,
                self._key_field,
                self._time_field,
                dialect.organisation.lower(),
                dialect.expected_target.lower(),
                dialect.caller_service.lower(),
            }
        )

    def start(self, request: WholeRequest, deliver: Deliver) -> Cancellable:
        """Start to answer one request.

        Args:
            request: The request.
            deliver: Called once with the answer, after the return, unless the work is cancelled.
        """
        run = StartedRequest(self, request, deliver)
        run.begin()
        return run

    def end(self, run: StartedRequest, reply: EntryReply) -> WholeAnswer:
        """Write down how a request ended and return its answer."""
        self.running -= 1
        took_ms = self.clock.now_ms() - run.started_ms
        self.metrics.count(f"entry.status.{reply.status}")
        self.metrics.timing_ms("entry.took_ms", took_ms)
        if reply.reason:
            pending = run.pending
            self.metrics.count(f"entry.refused.{reply.reason.replace(' ', '_')}")
            self.decisions.write(
                REQUEST_ENDED,
                request_id=run.request_id,
                route="-" if pending is None else pending.route.route_id,
                status=reply.status,
                reason=reply.reason,
                took_ms=took_ms,
                sent=0 if pending is None else pending.sent,
            )
        reply.headers.append((self.dialect.request_id, run.request_id))
        return WholeAnswer(reply.status, reply.headers, reply.body, reply.fields)

    def find_id(self, request: WholeRequest) -> str:
        """Return the id of a request, or an empty text."""
        return request.find(self._id_field) or ""

    def describe(
        self, request: WholeRequest, request_id: str, now_ms: float
    ) -> PendingRequest | EntryReply:
        """Return what is known of a request, or why it goes no further."""
        plan = self.plan()
        if plan is None:
            return self._unavailable("no plan")
        if not request_id:
            return EntryReply(400, "no request id")
        path = request.target.partition("?")[0]
        route = plan.match(request.find("host") or "", path)
        if route is None:
            return EntryReply(404, "no route")
        organisation: FleetOrganisation | None = None
        if plan.organisations and not route.open_to_all:
            organisation = plan.organisation_of_key(request.find(self._key_field) or "")
            if organisation is None:
                return EntryReply(401, "unknown key")
        stated_ms = self._stated_ms(request)
        limit_ms = stated_ms if route.timeout_ms is None else min(stated_ms, route.timeout_ms)
        service_id = self.turns.next(route)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return PendingRequest(
            route,
            service_id,
            _NO_ORGANISATION if organisation is None else organisation.organisation_id,
            priority,
            organisation is None and bool(plan.organisations),
            request_id,
            now_ms + limit_ms,
            request.method,
            request.target,
            request.body,
            late=organisation is not None and self._is_late(route, stated_ms),
        )

    def _stated_ms(self, request: WholeRequest) -> float:
        """Return how long the caller waits."""
        stated = request.find(self._time_field) or ""
        return float(stated) if stated.isdecimal() else USUAL_TIME_MS

    def _is_late(self, route: HostRoute, stated_ms: float) -> bool:
        """Return whether a request has used up most of its objective before it came.

        A caller that comes back states the time that it has left of its usual one.
        """
        usual_ms = max(self._usual_ms.get(route.route_id, 0.0), stated_ms)
        self._usual_ms[route.route_id] = usual_ms
        if route.latency_objective_ms is None:
            return False
        return usual_ms - stated_ms > LATE_PART * route.latency_objective_ms

    def fields(self, request: WholeRequest, organisation_id: OrganisationId) -> str:
        """Return the fields that go on to the target, with those that the node sets.

        Args:
            request: The request.
            organisation_id: For whom it runs; empty without a key.
        """
        dropped = self._dropped
        connection = request.find("connection")
        if connection is not None:
            dropped = dropped | {name.strip().lower() for name in connection.split(",")}
        kept = request.fields.without(dropped)
        kept.append((self.dialect.caller_service, self.service_id()))
        if organisation_id:
            kept.append((self.dialect.organisation, organisation_id))
        return render_fields(kept)

    def admit(self, pending: PendingRequest, now_ms: float) -> EntryReply | None:
        """Return why a request is refused before any work, or None."""
        if self.refuses_callers and not pending.inner:
            return self._unavailable("node is leaving")
        if pending.organisation_id:
            catch_up_ms = self._over_rate_ms(pending, now_ms)
            if catch_up_ms is not None:
                return self._again(429, "over the rate", catch_up_ms)
        if pending.inner:
            return None
        # Upstreams that are cut off take no work, so they must not lower the mean.
        sources = len(self.forwarder.pool(pending.service_id, now_ms))
        plan = self.plan()
        lowest = pending.priority if plan is None else plan.priorities[1]
        part = self.levels.refused_part(
            pending.service_id, pending.priority, lowest, now_ms, sources
        )
        if not self.levels.refuses(part, late=pending.late):
            return None
        return self._again(503, "overload", EXCESS_WAIT_MS * part / (REFUSED_PART_LIMIT - part))

    def _over_rate_ms(self, pending: PendingRequest, now_ms: float) -> float | None:
        """Return None for a request within its organisation's rate, else when there may be room."""
        plan = self.plan()
        found = None if plan is None else plan.organisations.get(pending.organisation_id)
        if found is None or found.rate_per_s <= 0:
            return None
        nodes = max(1, len(self.directory.hosts()))
        name = found.organisation_id
        rate_per_s, burst = self.limits.limit(name, (found.rate_per_s, found.burst), now_ms)
        if self.rates.take(name, rate_per_s, burst, nodes, now_ms, late=pending.late):
            return None
        return self.rates.catch_up_ms(name, rate_per_s)

    def reply(self, pending: PendingRequest, answer: RunAnswer) -> EntryReply:
        """Return what a caller gets for the outcome of the attempts."""
        if answer.outcome is RunOutcome.ANSWERED:
            return EntryReply(answer.status, "", [], answer.body, answer.fields)
        if pending.may_have_run:
            return EntryReply(502, "outcome unknown")
        return self._unavailable(answer.reason)

    def out_of_time(self, pending: PendingRequest) -> EntryReply:
        """Return what a caller gets whose time is over."""
        if pending.may_have_run:
            return EntryReply(504, "out of time")
        return self._unavailable("out of time")

    def fault(self, pending: PendingRequest | None) -> EntryReply:
        """Return what a caller gets after a fault of the node."""
        if pending is not None and pending.may_have_run:
            return EntryReply(502, "fault of the node")
        return self._unavailable("fault of the node")

    def _unavailable(self, reason: str) -> EntryReply:
        return self._again(503, reason)

    def _again(self, status: int, reason: str, least_ms: float = 0.0) -> EntryReply:
        shortest_ms, longest_ms = RETRY_AFTER_MS
        wait_ms = least_ms + shortest_ms + (longest_ms - shortest_ms) * self.random.random()
        return EntryReply(status, reason, [(self.dialect.retry_after, f"{wait_ms / 1000:.3f}")])
