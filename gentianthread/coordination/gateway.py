"""Take requests from callers and from the node's own target, and see them through."""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..errors import (
    ConnectionLost,
    GentianError,
    NoUpstream,
    PeerUnreachable,
    Refused,
    StreamAborted,
    TransportError,
)
from ..events import REQUEST_ABORTED, REQUEST_REFUSED, TASK_FAILED
from ..ids import (
    ANONYMOUS,
    NodeIdentity,
    OrganisationId,
    Outcome,
    RefusalReason,
    RequestId,
    UpstreamId,
)
from ..logs import log
from ..metrics import Metrics
from ..protocol.headers import CONTENT_LENGTH, REQUEST_ID, ParsedHead, parse_head
from ..protocol.messages_requests import RefusalHead, RequestHead, ResponseHead
from ..protocol.refusals import refusal_answer
from ..protocol.streams import Stream
from ..state.allowance import Allowance
from ..state.contexts import Contexts, RunningContext
from ..state.plan import Plan, Route
from ..state.work import WorkItem
from ..transport.http_client import Body
from ..transport.http_server import Exchange
from .answers import (
    Answer,
    RefusedAnswer,
    ReplayBody,
    StreamAnswer,
    drain_answer,
    level_of,
    lost_answer,
    unreachable_answer,
)
from .executor import Executor
from .peer_network import PeerNetwork
from .quota import Quota
from .retries import FAILURE_STATUS, Retries, RetryState, Verdict, judge
from .routing import Router

# Calls deeper than this are refused; declared call chains are at most this deep.
DEPTH_LIMIT = 18

# A request waits at most this long, and at most a tenth of its time, for a token of its
# organisation's quota.
QUOTA_WAIT_LIMIT_MS = 50.0

# Body of a failed attempt that is kept while a retry is considered.
FAILED_ANSWER_LIMIT_BYTES = 64 * 1024

_OUTCOMES = {
    RefusalReason.OUTCOME_UNKNOWN: Outcome.LOST,
    RefusalReason.TARGET_UNREACHABLE: Outcome.LOST,
    RefusalReason.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
}


class ExchangeBody(Body):
    """Read the request body of an exchange."""

    def __init__(self, exchange: Exchange):
        """Create a body."""
        self.length = exchange.body_length
        self._exchange = exchange

    async def read(self) -> bytes | None:
        """Return the next bytes."""
        return await self._exchange.read()


@attrs.define(eq=False)
class Call:
    """Hold one request while it is seen through.

    Attributes:
        plan: The plan in force when it came.
        route: Its route.
        method: HTTP method.
        target: Path and query.
        head: Its parsed head.
        item: Its description for admission and routing.
        call_id: Id that all its attempts share.
        parent: The request that made it, if it is an inner call.
        body: Its body, if it has one.
        state: Its attempts.
        tried: Upstreams that an attempt went to.
        sent: Whether an attempt may have run.
    """

    plan: Plan
    route: Route
    method: str
    target: str
    head: ParsedHead
    item: WorkItem
    call_id: str
    parent: RunningContext | None
    body: ReplayBody | None
    state: RetryState
    tried: set[UpstreamId] = attrs.field(factory=set)
    sent: bool = False


class Gateway:
    """See requests through from the caller's connection to a target and back."""

    def __init__(
        self,
        local: NodeIdentity,
        plan: Callable[[], Plan | None],
        quota: Quota,
        router: Router,
        executor: Executor,
        peers: PeerNetwork,
        contexts: Contexts,
        clock: Clock,
        metrics: Metrics,
        retries: Retries | None = None,
    ):
        """Create a gateway.

        Args:
            local: Identity of this node.
            plan: Returns the accepted plan, or None before there is one.
            quota: Keeps organisations within their rate.
            router: Chooses upstreams.
            executor: Runs requests on this node's target.
            peers: Reaches the other nodes.
            contexts: Handles of the requests that run on this node's target.
            clock: Clock of deadlines.
            metrics: Counts requests.
            retries: Decides on retries.
        """
        self.local = local
        self.plan = plan
        self.quota = quota
        self.router = router
        self.executor = executor
        self.peers = peers
        self.contexts = contexts
        self.clock = clock
        self.metrics = metrics
        self.retries = retries or Retries(clock)
        self.running = 0
        self.leaving = False

    async def handle_caller(self, exchange: Exchange) -> None:
        """Answer a request of an outside caller."""
        await self._handle(exchange, inner=False)

    async def handle_inner(self, exchange: Exchange) -> None:
        """Answer a request of this node's own target."""
        await self._handle(exchange, inner=True)

    async def _handle(self, exchange: Exchange, inner: bool) -> None:
        self.running += 1
        call_id = secrets.token_hex(8)
        parent: RunningContext | None = None
        task = asyncio.current_task()
        try:
            parsed = parse_head(exchange.target, exchange.headers)
            parent = self._find_parent(parsed, inner)
            if parent is not None:
                parent.children.add(task)
            call = self._identify(exchange, parsed, parent, call_id)
            await self._see_through(call, exchange)
        except Refused as refusal:
            if parent is not None:
                parent.inner_failed = True
            await self._refuse(exchange, refusal, call_id)
        except TransportError as error:
            if parent is not None:
                parent.inner_failed = True
            self.metrics.count("gateway.aborted")
            log(REQUEST_ABORTED, request_id=call_id, problem=str(error))
            exchange.abort()
        except Exception as error:
            self.metrics.count("gateway.failed")
            log(TASK_FAILED, task=f"request {call_id}", error=repr(error))
            exchange.abort()
        finally:
            self.running -= 1
            if parent is not None:
                parent.children.discard(task)

    def _find_parent(self, parsed: ParsedHead, inner: bool) -> RunningContext | None:
        if parsed.context is None:
            return None
        parent = self.contexts.find(parsed.context) if inner else None
        if parent is None:
            raise Refused(RefusalReason.CONTEXT_UNKNOWN, not_run=True)
        return parent

    def _identify(
        self, exchange: Exchange, parsed: ParsedHead, parent: RunningContext | None, call_id: str
    ) -> Call:
        """Check the key, match the route and describe the request.

        Raises:
            Refused: The request may not run.
        """
        plan = self.plan()
        if plan is None:
            raise Refused(RefusalReason.NOT_READY, not_run=True)
        if self.leaving and parent is None:
            raise Refused(RefusalReason.LEAVING, not_run=True)
        organisation_id = self._authenticate(plan, parsed)
        route = plan.match_route(exchange.method, parsed.path)
        if route is None:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, not_run=True)
        if parent is not None:
            if organisation_id not in (None, parent.organisation_id):
                raise Refused(RefusalReason.KEY_UNKNOWN, not_run=True)
            organisation_id = parent.organisation_id
            if parent.depth + 1 >= DEPTH_LIMIT:
                raise Refused(RefusalReason.DEPTH_EXCEEDED, not_run=True)
        elif organisation_id is None:
            if not route.open_to_all:
                raise Refused(RefusalReason.KEY_MISSING, not_run=True)
            organisation_id = ANONYMOUS
        item = self._describe(plan, route, parsed, parent, organisation_id, call_id)
        if parent is None:
            allowance = Allowance(plan.profile_of(route.service_id).retry_allowance)
        else:
            allowance = parent.allowance
        body = ReplayBody(ExchangeBody(exchange)) if exchange.has_body else None
        return Call(
            plan,
            route,
            exchange.method,
            exchange.target,
            parsed,
            item,
            call_id,
            parent,
            body,
            RetryState(allowance=allowance),
        )

    def _authenticate(self, plan: Plan, parsed: ParsedHead) -> OrganisationId | None:
        """Return the organisation of the key, or None without a key."""
        if parsed.key is None or parsed.key_id is None:
            return None
        key = plan.keys.get(parsed.key_id)
        if key is not None:
            digest = hashlib.sha256(key.salt + parsed.key.encode()).digest()
            if hmac.compare_digest(digest, key.digest):
                return key.organisation_id
        raise Refused(RefusalReason.KEY_UNKNOWN, not_run=True)

    def _describe(
        self,
        plan: Plan,
        route: Route,
        parsed: ParsedHead,
        parent: RunningContext | None,
        organisation_id: OrganisationId,
        call_id: str,
    ) -> WorkItem:
        now_ms = self.clock.now_ms()
        limit_ms = route.deadline_ms
        if parsed.deadline_ms is not None:
            limit_ms = min(limit_ms, parsed.deadline_ms)
        deadline_at_ms = now_ms + limit_ms
        if parent is not None:
            deadline_at_ms = min(deadline_at_ms, parent.deadline_at_ms)
        if deadline_at_ms <= now_ms:
            raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=True)
        return WorkItem(
            RequestId(call_id) if parent is None else parent.root_request_id,
            route.service_id,
            organisation_id,
            route.priority if parent is None else parent.priority,
            0 if parent is None else parent.depth + 1,
            deadline_at_ms,
            route.idempotent,
        )

    async def _see_through(self, call: Call, exchange: Exchange) -> None:
        remaining_ms = call.item.deadline_at_ms - self.clock.now_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                if call.parent is None:
                    wait_ms = min(QUOTA_WAIT_LIMIT_MS, remaining_ms / 10)
                    await self.quota.take(call.item.organisation_id, wait_ms)
                    self.router.check_early(call.item)
                self.retries.record_first_attempt(call.plan, call.item.service_id)
                await self._try_until_answered(call, exchange)
        except TimeoutError:
            if exchange.head_sent:
                raise ConnectionLost("target", "deadline exceeded during the answer") from None
            raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=not call.sent) from None

    async def _try_until_answered(self, call: Call, exchange: Exchange) -> None:
        """Make attempts until one's answer goes to the caller.

        Raises:
            Refused: The last attempt was refused.
            TransportError: The answer broke off.
        """
        last: tuple[Answer, list[bytes]] | None = None
        while True:
            try:
                upstream_id = self._choose(call)
            except NoUpstream:
                if last is None:
                    raise
                break
            started_at_ms = self.clock.now_ms()
            self.router.started(upstream_id)
            outcome, answer, lent = Outcome.CANCELLED, None, call.state.allowance.lend()
            try:
                answer = await self._attempt(call, upstream_id, lent)
                verdict = judge(answer.head)
                outcome = _outcome(answer.head)
                if verdict is Verdict.FINAL and isinstance(answer.head, ResponseHead):
                    await self._relay(call, exchange, answer, [])
                    return
                chunks = await drain_answer(answer, FAILED_ANSWER_LIMIT_BYTES)
                if chunks is None:
                    answer = lost_answer()
                    outcome, chunks = Outcome.LOST, []
                last = (answer, chunks)
            except TransportError:
                outcome = Outcome.LOST
                raise
            finally:
                reported = answer is not None and answer.reported
                level = level_of(answer.head.load) if reported else None
                call.state.allowance.settle(lent, None if answer is None else answer.used_attempts)
                latency_ms = self.clock.now_ms() - started_at_ms
                self.router.finished(upstream_id, outcome, latency_ms, level)
                if answer is not None:
                    answer.abort("attempt ended")
            if verdict is Verdict.FAILED:
                call.sent = True
            replayable = call.body is None or call.body.replayable
            if not self.retries.allows(
                call.plan, call.item, call.state, verdict, replayable=replayable
            ):
                break
            self.metrics.count("gateway.retries")
            delay_ms = self.retries.backoff_ms(call.item, call.state, verdict)
            if delay_ms > 0:
                await self.clock.sleep_ms(delay_ms)
            if call.body is not None:
                # The cancelled sender of the last attempt ends before the body is read again.
                await asyncio.sleep(0)
                call.body.rewind()
        await self._relay(call, exchange, *last)

    def _choose(self, call: Call) -> UpstreamId:
        own = self.local.upstream_id
        if own not in call.tried:
            upstream = call.plan.upstreams.get(own)
            if (
                upstream is not None
                and upstream.service_id == call.item.service_id
                and self.executor.has_room()
            ):
                call.tried.add(own)
                return own
        chosen = self.router.choose(call.item, frozenset(call.tried))
        call.tried.add(chosen)
        return chosen

    async def _attempt(self, call: Call, upstream_id: UpstreamId, lent: int) -> Answer:
        """Make one attempt and return its answer once the head is there."""
        head = self._request_head(call, lent)
        call.state.attempts += 1
        before, call.sent = call.sent, True
        if upstream_id == self.local.upstream_id:
            answer = await self.executor.run(head, call.body, call.item.deadline_at_ms)
        else:
            try:
                stream = await self.peers.open_stream(upstream_id, head)
            except PeerUnreachable:
                call.sent = before
                return unreachable_answer()
            answer = await _exchange_on_stream(stream, call.body)
        if isinstance(answer.head, RefusalHead) and answer.head.not_run:
            call.sent = before
        return answer

    def _request_head(self, call: Call, lent: int) -> RequestHead:
        item = call.item
        headers = call.head.headers
        if call.body is not None and call.body.length is not None:
            headers = (*headers, (CONTENT_LENGTH, str(call.body.length)))
        return RequestHead(
            RequestId(f"{call.call_id}.{call.state.attempts}"),
            item.root_request_id,
            call.route.route_id,
            item.service_id,
            item.organisation_id,
            item.priority,
            item.depth,
            item.deadline_at_ms - self.clock.now_ms(),
            lent,
            item.idempotent,
            call.head.idempotency_key,
            call.method,
            call.target,
            headers,
            call.body is not None,
        )

    async def _relay(
        self, call: Call, exchange: Exchange, answer: Answer, chunks: list[bytes]
    ) -> None:
        """Write an answer to the caller.

        Raises:
            Refused: The answer is a refusal.
            TransportError: The answer broke off.
        """
        head = answer.head
        if isinstance(head, RefusalHead):
            raise Refused(head.reason, not_run=head.not_run, retry_after_ms=head.retry_after_ms)
        if head.status >= FAILURE_STATUS and call.parent is not None:
            call.parent.inner_failed = True
        has_body = call.method != "HEAD" and head.status not in (204, 304)
        await exchange.send_head(
            head.status,
            (*head.headers, (REQUEST_ID, call.call_id)),
            has_body=has_body,
            close=self.leaving,
        )
        for chunk in chunks:
            await exchange.send(chunk)
        while (data := await answer.read()) is not None:
            if has_body:
                await exchange.send(data)
        await exchange.finish()
        self.metrics.count("gateway.answered")

    async def _refuse(self, exchange: Exchange, refusal: Refused, call_id: str) -> None:
        self.metrics.count(f"gateway.refused.{refusal.reason.value}")
        log(REQUEST_REFUSED, request_id=call_id, reason=refusal.reason.value)
        if exchange.head_sent:
            exchange.abort()
            return
        status, headers, body = refusal_answer(refusal, call_id)
        try:
            await exchange.send_head(
                status, headers, has_body=exchange.method != "HEAD", close=self.leaving
            )
            if exchange.method != "HEAD":
                await exchange.send(body)
            await exchange.finish()
        except GentianError:
            exchange.abort()


async def _exchange_on_stream(stream: Stream, body: ReplayBody | None) -> Answer:
    """Send the body and return the answer once its head is there; abort on any failure."""
    pump = None if body is None else asyncio.ensure_future(_pump(stream, body))
    try:
        if pump is None:
            await stream.finish()
        head = await stream.receive_head()
    except StreamAborted:
        _cancel(pump)
        return lost_answer() if stream.may_have_sent else unreachable_answer()
    except BaseException:
        _cancel(pump)
        stream.abort("cancelled")
        raise
    if isinstance(head, RefusalHead):
        _cancel(pump)
        return RefusedAnswer(head)
    return StreamAnswer(stream, head, pump)


def _cancel(pump: asyncio.Future | None) -> None:
    if pump is not None:
        pump.cancel()


async def _pump(stream: Stream, body: ReplayBody) -> None:
    try:
        while (data := await body.read()) is not None:
            await stream.send_chunk(data)
        await stream.finish()
    except StreamAborted:
        pass
    except TransportError as error:
        stream.abort(str(error))


def _outcome(head: ResponseHead | RefusalHead) -> Outcome:
    if isinstance(head, ResponseHead):
        return Outcome.FAILURE if head.status >= FAILURE_STATUS else Outcome.SUCCESS
    return _OUTCOMES.get(head.reason, Outcome.REFUSED)
