"""Send a request to an upstream, and to another one where that is safe and within the budget."""

import asyncio
from collections.abc import Callable

import attrs

from ...clock import Clock
from ...decisions import DecisionLog
from ...errors import PeerUnreachable, TransportError
from ...events import ATTEMPT_FAILED
from ...ids import OrganisationId, ServiceId, UpstreamId
from ...metrics import Metrics
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...state.balancer import Balancer
from ...state.directory import Directory, UpstreamEntry
from ...state.fleet_plan import HostRoute
from ...state.overload_level import KnownLevels
from ...state.retry_window import RetryWindow
from ...transport.callbacks import Cancellable
from .outcomes import as_answer, refused
from .peer_link import OnEnd, PeerLink
from .peers import PeerLinks
from .started_forward import StartedForward
from .target import TargetSide

# Nodes that may refuse one request before it is refused to its caller: asking a third one helps
# only where the first two had stale reports.
REFUSALS_LIMIT = 3

# A repeat needs at least this part of the usual latency of the upstreams to end in time.
REPEAT_LEAST_MS = 20.0

# Pools and levels are not made anew for every request; a peer that goes silent is noticed at least
# as soon as its requests fail.
CACHE_MS = 20.0

# Statuses of a target that a repeat may mend; a 504 tells that the time is over.
FAULT_STATUSES = frozenset((500, 502, 503))


@attrs.define(eq=False)
class PendingRequest:
    """Hold one request on its way.

    Attributes:
        route: Its route.
        service_id: Service that answers it.
        organisation_id: For whom it runs; empty without a key.
        priority: Its rank; 0 is the most important.
        inner: Whether the own target made it.
        request_id: Its id.
        deadline_ms: When its caller stops waiting.
        method: HTTP method.
        target: Path and query.
        body: Its body.
        fields: Header fields for the target, as the lines of a head; set before it is sent.
        late: Whether it can no longer meet its latency objective.
        sent: Upstreams that it was sent to.
        may_have_run: Whether an upstream may have run it.
    """

    route: HostRoute
    service_id: ServiceId
    organisation_id: OrganisationId
    priority: int
    inner: bool
    request_id: str
    deadline_ms: float
    method: str
    target: str
    body: bytes
    fields: str = ""
    late: bool = False
    sent: int = 0
    may_have_run: bool = False


@attrs.define(eq=False)
class Attempts:
    """Hold what the attempts of one request have brought so far.

    Attributes:
        pending: The request.
        window: Retry window of its service.
        tried: Upstreams that are not asked again.
        refusals: Nodes that refused it.
        may_have_run: Whether it may have run before the present attempt.
        last: What to answer if no further attempt is made.
    """

    pending: PendingRequest
    window: RetryWindow
    last: RunAnswer
    tried: set[UpstreamId] = attrs.field(factory=set)
    refusals: int = 0
    may_have_run: bool = False


class Forwarder:
    """Make the attempts of requests."""

    def __init__(
        self,
        directory: Directory,
        balancer: Balancer,
        levels: KnownLevels,
        peers: PeerLinks,
        own: TargetSide,
        window: Callable[[ServiceId], RetryWindow],
        revision: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ):
        """Create a forwarder.

        Args:
            directory: Upstreams that the platform lists.
            balancer: Chooses upstreams.
            levels: Remembers the levels that answers report.
            peers: Links to the nodes beside other upstreams.
            own: Target side of this node.
            window: Returns the retry window of a service.
            revision: Returns the revision of the known documents.
            clock: Clock of deadlines.
            metrics: Counts attempts.
            decisions: Where failed attempts are written.
        """
        self.directory = directory
        self.balancer = balancer
        self.levels = levels
        self.peers = peers
        self.own = own
        self.window = window
        self.revision = revision
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        # Services that the own target calls.
        self.called: set[ServiceId] = set()
        self._pools: dict[ServiceId, tuple[float, tuple[UpstreamEntry, ...]]] = {}
        self._behind: tuple[float, float] = (float("-inf"), 0.0)
        directory.changes.subscribe(lambda _: self._pools.clear())

    def level_behind(self) -> float:
        """Return the highest level of the services that the own target calls."""
        now_ms = self.clock.now_ms()
        until_ms, level = self._behind
        if now_ms >= until_ms:
            # Upstreams that are cut off take no work, so they must not lower the mean.
            sources = {name: len(self.pool(name, now_ms)) for name in self.called}
            level = self.levels.highest_level(now_ms, sources)
            self._behind = (now_ms + CACHE_MS, level)
        return level

    def pool(self, service_id: ServiceId, now_ms: float) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams of a service that may be reached now.

        Args:
            service_id: The service.
            now_ms: Present time in ms.
        """
        known = self._pools.get(service_id)
        if known is not None and now_ms < known[0]:
            return known[1]
        pool = self._reachable(service_id)
        self._pools[service_id] = (now_ms + CACHE_MS, pool)
        return pool

    def _reachable(self, service_id: ServiceId) -> tuple[UpstreamEntry, ...]:
        ready = self.directory.ready(service_id)
        own_host = self.own.address[0]
        reachable = tuple(
            entry for entry in ready if entry.host == own_host or self.peers.reachable(entry.host)
        )
        return reachable or ready

    def start(
        self, pending: PendingRequest, now_ms: float, deliver: Callable[[RunAnswer], None]
    ) -> Cancellable:
        """Send a request, without a task where its first attempt needs none.

        Args:
            pending: The request.
            now_ms: Present time in ms.
            deliver: Called once, after the return, with the answer of an upstream or with the last
                reason why there is none, unless the work is cancelled.
        """
        if pending.inner:
            self.called.add(pending.service_id)
        window = self.window(pending.service_id)
        window.record_request(now_ms)
        run = StartedForward(
            self, Attempts(pending, window, refused("no upstream is left")), deliver
        )
        run.begin()
        return run

    def next_upstream(self, attempts: Attempts) -> UpstreamEntry | None:
        """Choose the upstream of the next attempt, or return None where all were tried."""
        pool = self.pool(attempts.pending.service_id, self.clock.now_ms())
        entry = self.balancer.choose(pool, attempts.tried)
        if entry is not None:
            attempts.tried.add(entry.upstream_id)
        return entry

    def judge(
        self, attempts: Attempts, entry: UpstreamEntry, answer: RunAnswer
    ) -> RunAnswer | None:
        """Return the final answer, or None where another upstream is to be asked.

        Args:
            attempts: The attempts so far.
            entry: The upstream of the last one.
            answer: What it brought.
        """
        if answer.outcome is RunOutcome.ANSWERED and answer.status not in FAULT_STATUSES:
            return answer
        pending = attempts.pending
        if answer.outcome is RunOutcome.NOT_SENT:
            attempts.refusals += 1
            again = attempts.refusals < REFUSALS_LIMIT
        else:
            again = self._may_repeat(pending, answer, attempts.window)
        # An answer of a target, also a failure, says more than a refusal of the next node.
        if attempts.last.outcome is not RunOutcome.ANSWERED:
            attempts.last = answer
        if not again:
            self._note(pending, entry, answer, again=False)
            return attempts.last
        if answer.outcome is not RunOutcome.NOT_SENT:
            self._note(pending, entry, answer, again=True)
            attempts.window.record_retry(self.clock.now_ms())
            self.metrics.count("forwarder.repeats")
        return None

    def _may_repeat(self, pending: PendingRequest, answer: RunAnswer, window: RetryWindow) -> bool:
        if pending.may_have_run and not pending.route.repeatable:
            return False
        if pending.sent >= pending.route.max_attempts:
            return False
        now_ms = self.clock.now_ms()
        if pending.deadline_ms - now_ms < max(REPEAT_LEAST_MS, answer.load.service_ms):
            return False
        return window.allows(now_ms)

    def start_attempt(
        self, attempts: Attempts, entry: UpstreamEntry, on_end: OnEnd
    ) -> Cancellable | None:
        """Send a request to an upstream, or return None where that takes a task.

        Args:
            attempts: The attempts so far.
            entry: The upstream.
            on_end: Called once with the outcome, for `settle_attempt`.
        """
        if entry.host == self.own.address[0]:
            work = self.own.start(self._prepare(attempts, entry), on_end)
            if work is None:
                self._take_back(attempts)
        else:
            link = self.peers.open_link(entry.host)
            if link is None or self._needs_answer(attempts, link):
                return None
            work = link.begin(self._prepare(attempts, entry), on_end)
        if work is not None:
            self.balancer.record_sent(entry.upstream_id)
        return work

    async def attempt(self, attempts: Attempts, entry: UpstreamEntry) -> RunAnswer:
        """Send a request to an upstream and return what that brought."""
        self.balancer.record_sent(entry.upstream_id)
        try:
            result = await self._send(attempts, entry)
        except PeerUnreachable:
            return self._end_attempt(attempts, entry, refused("peer is unreachable"))
        except asyncio.CancelledError:
            self.abandon_attempt(entry)
            raise
        return self.settle_attempt(attempts, entry, result)

    async def _send(self, attempts: Attempts, entry: UpstreamEntry) -> RunAnswer | TransportError:
        """Return the answer of an upstream, or the error of an open link.

        Raises:
            PeerUnreachable: There is no link that answers; nothing was sent.
        """
        if entry.host == self.own.address[0]:
            return await self.own.run(self._prepare(attempts, entry))
        link = await self.peers.link_to(entry.host)
        if self._needs_answer(attempts, link) and not await link.confirm():
            link = await self.peers.link_to(entry.host)
        try:
            return await link.run(self._prepare(attempts, entry))
        except TransportError as error:
            return error

    def _needs_answer(self, attempts: Attempts, link: PeerLink) -> bool:
        """Return whether a request should wait until the peer is heard."""
        return not attempts.pending.route.repeatable and link.is_quiet(self.clock.now_ms())

    def _prepare(self, attempts: Attempts, entry: UpstreamEntry) -> RunRequest:
        """Return the request for an upstream, which counts as sent from now on."""
        pending = attempts.pending
        pending.sent += 1
        attempts.may_have_run, pending.may_have_run = pending.may_have_run, True
        return self._request(pending, entry, attempts.window)

    def _take_back(self, attempts: Attempts) -> None:
        """Count an attempt as not made: the target has seen nothing of it."""
        attempts.pending.sent -= 1
        attempts.pending.may_have_run = attempts.may_have_run

    def abandon_attempt(self, entry: UpstreamEntry) -> None:
        """Count an attempt as ended that nobody waits for any more."""
        self.balancer.record_ended(entry.upstream_id, None)

    def settle_attempt(
        self, attempts: Attempts, entry: UpstreamEntry, result: RunAnswer | Exception
    ) -> RunAnswer:
        """Learn from the outcome of an attempt and return it as an answer.

        Args:
            attempts: The attempts so far.
            entry: The upstream of this one.
            result: An answer, or the error of a link.
        """
        pending, answer = attempts.pending, as_answer(result)
        if answer.outcome is RunOutcome.NOT_SENT:
            self._take_back(attempts)
        elif answer.outcome is RunOutcome.REJECTED:
            pending.may_have_run = attempts.may_have_run
        if answer.resent:
            pending.sent += 1
            attempts.window.record_retry(self.clock.now_ms())
            self.metrics.count("forwarder.repeats")
        return self._end_attempt(attempts, entry, answer)

    def _end_attempt(
        self, attempts: Attempts, entry: UpstreamEntry, answer: RunAnswer
    ) -> RunAnswer:
        # Nodes that were not reached report no load.
        self.balancer.record_ended(entry.upstream_id, answer.load if answer.load.limit else None)
        self._learn(attempts.pending, entry, answer)
        return answer

    def _left(self, pending: PendingRequest) -> float:
        return max(0.0, pending.deadline_ms - self.clock.now_ms())

    def _request(
        self, pending: PendingRequest, entry: UpstreamEntry, window: RetryWindow
    ) -> RunRequest:
        route, now_ms = pending.route, self.clock.now_ms()
        # Sending again counts as an attempt, so that the last one must not do it.
        may_resend = (
            route.repeatable and pending.sent < route.max_attempts and window.allows(now_ms)
        )
        return RunRequest(
            0,
            pending.service_id,
            entry.upstream_id,
            pending.organisation_id,
            pending.priority,
            pending.inner,
            route.repeatable,
            may_resend,
            max(0.0, pending.deadline_ms - now_ms),
            pending.request_id,
            pending.method,
            pending.target,
            pending.fields,
            pending.body,
            self.revision(),
        )

    def _learn(self, pending: PendingRequest, entry: UpstreamEntry, answer: RunAnswer) -> None:
        upstream_id = entry.upstream_id
        if answer.load.limit:
            now_ms = self.clock.now_ms()
            self.levels.record(pending.service_id, upstream_id, answer.load.level, now_ms)
        if answer.outcome is RunOutcome.ANSWERED:
            if answer.status in FAULT_STATUSES:
                self.balancer.record_error_answer(upstream_id)
            else:
                self.balancer.record_success(upstream_id)
        elif answer.outcome is RunOutcome.UNKNOWN:
            if self._left(pending) > REPEAT_LEAST_MS:
                self.balancer.record_failure(upstream_id)
        elif not answer.load.limit or "gone" in answer.reason:
            self.balancer.record_failure(upstream_id, unreachable=True)

    def _note(
        self, pending: PendingRequest, entry: UpstreamEntry, answer: RunAnswer, *, again: bool
    ) -> None:
        self.decisions.write(
            ATTEMPT_FAILED,
            request_id=pending.request_id,
            upstream_id=entry.upstream_id,
            outcome=answer.outcome.value,
            reason=answer.reason or answer.status,
            again=again,
        )
