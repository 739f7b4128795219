"""Make the attempts of one request until one has an answer for its caller."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from ..clock import Clock
from ..errors import CallerGone, NoUpstream, PeerUnreachable, Refused, StreamAborted, TransportError
from ..ids import NodeIdentity, Outcome, RefusalReason, RequestId, UpstreamId
from ..metrics import Metrics
from ..protocol.headers import CONTENT_LENGTH
from ..protocol.messages_requests import RefusalHead, RequestHead, ResponseHead
from ..protocol.streams import Stream
from ..transport.http_client import Body
from .answers import (
    Answer,
    RefusedAnswer,
    StreamAnswer,
    drain_answer,
    early_end,
    level_from_load,
    lost_answer,
    unreachable_answer,
)
from .calls import Call
from .executor import Executor
from .hedging import run_hedged
from .idempotency import home_of
from .peer_network import PeerNetwork
from .retries import FAILURE_STATUS, RetryPolicy, Verdict, judge
from .routing import Router

# Body of a failed attempt that is kept while a retry is considered.
FAILED_ANSWER_LIMIT_BYTES = 64 * 1024

_OUTCOMES = {
    RefusalReason.OUTCOME_UNKNOWN: Outcome.LOST,
    RefusalReason.TARGET_UNREACHABLE: Outcome.LOST,
    RefusalReason.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
}

# Writes an answer to the caller; the list holds body chunks that were read before.
Relay = Callable[[Answer, list[bytes]], Awaitable[None]]


@attrs.define(eq=False)
class _Attempt:
    """Hold one attempt until its end is reported to the router and the allowance."""

    upstream_id: UpstreamId
    started_at_ms: float
    lent: int
    body: Body | None
    answer: Answer | None = None
    outcome: Outcome | None = None


class Attempts:
    """Choose upstreams, make attempts and apply the retry rules."""

    def __init__(
        self,
        local: NodeIdentity,
        router: Router,
        executor: Executor,
        peers: PeerNetwork,
        retries: RetryPolicy,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create a maker of attempts.

        Args:
            local: Identity of this node.
            router: Chooses upstreams.
            executor: Runs requests on this node's target.
            peers: Reaches the other nodes.
            retries: Decides on retries.
            clock: Clock of deadlines.
            metrics: Counts retries.
        """
        self.local = local
        self.router = router
        self.executor = executor
        self.peers = peers
        self.retries = retries
        self.clock = clock
        self.metrics = metrics

    async def answer(self, call: Call, relay: Relay) -> None:
        """Make attempts until one's answer goes to the caller.

        Args:
            call: The request.
            relay: Writes the answer.

        Raises:
            Refused: The last attempt was refused.
            TransportError: The answer broke off.
        """
        self.retries.record_first_attempt(call.plan, call.item.service_id)
        hedged = _may_hedge(call)
        last: tuple[Answer, list[bytes]] | None = None
        while True:
            try:
                upstream_id = self._choose(call)
            except NoUpstream:
                if last is None:
                    raise
                break
            attempt = self._begin(call, upstream_id, call.body)
            try:
                if hedged:
                    attempt = await self._receive_hedged(call, attempt)
                else:
                    await self._receive(call, attempt)
                chunks = await self._use(call, attempt, relay)
                if chunks is None:
                    return
            finally:
                self._end(call, attempt)
            last = (attempt.answer, chunks)
            if not await self._prepare_retry(call, judge(attempt.answer.head)):
                break
        await relay(*last)

    def _begin(self, call: Call, upstream_id: UpstreamId, body: Body | None) -> _Attempt:
        """Lend an attempt its part of the allowance and count it at the router."""
        attempt = _Attempt(upstream_id, self.clock.now_ms(), call.state.allowance.lend(), body)
        self.router.attempt_started(upstream_id)
        return attempt

    async def _receive(self, call: Call, attempt: _Attempt) -> _Attempt:
        """Send an attempt, take the head of its answer, and return the attempt."""
        attempt.answer = await self._send(call, attempt)
        call.check_body()
        if call.body is not None and call.body.problem is not None:
            raise call.body.problem
        return attempt

    async def _receive_hedged(self, call: Call, first: _Attempt) -> _Attempt:
        """Take the head of an attempt, or of a second one that starts when the first is slow.

        Returns:
            The attempt whose answer counts; the other one has ended.
        """
        attempts = [first]
        chosen: list[UpstreamId] = []

        def prepare() -> bool:
            if call.body is not None and not call.body.whole:
                return False
            try:
                chosen.append(self._choose(call))
            except NoUpstream:
                return False
            return True

        def receive(number: int) -> Awaitable[_Attempt]:
            if number > 0:
                self.metrics.count("gateway.hedges")
                body = None if call.body is None else call.body.copy()
                attempts.append(self._begin(call, chosen[0], body))
            return self._receive(call, attempts[number])

        counting = first
        try:
            counting = await run_hedged(
                receive,
                call.item,
                call.plan.profile_of(call.item.service_id),
                call.state.allowance,
                self.retries.budget(call.plan, call.item.service_id),
                self.clock,
                prepare=prepare,
                is_good=_is_good,
            )
            for attempt in attempts:
                if attempt is not counting:
                    attempt.outcome = _lost_race(attempt)
            return counting
        finally:
            # After an error the caller ends the first attempt.
            for attempt in attempts:
                if attempt is not counting:
                    self._end(call, attempt)

    async def _use(self, call: Call, attempt: _Attempt, relay: Relay) -> list[bytes] | None:
        """Return None if the answer of an attempt went to the caller, or else its body."""
        answer = attempt.answer
        if judge(answer.head) is Verdict.FINAL and isinstance(answer.head, ResponseHead):
            try:
                await relay(answer, [])
            except CallerGone:
                raise
            except TransportError:
                attempt.outcome = Outcome.LOST
                raise
            attempt.outcome = _outcome(answer.head)
            return None
        attempt.outcome = _outcome(answer.head)
        chunks = await drain_answer(answer, FAILED_ANSWER_LIMIT_BYTES)
        if chunks is None:
            attempt.answer, attempt.outcome = lost_answer(), Outcome.LOST
            return []
        return chunks

    def _end(self, call: Call, attempt: _Attempt) -> None:
        """Report the end of an attempt and cancel what is still under way."""
        answer = attempt.answer
        if answer is not None:
            answer.abort("attempt ended")
        level = (
            level_from_load(answer.head.load)
            if answer is not None and answer.carries_load
            else None
        )
        used = None if answer is None else answer.used_attempts
        call.state.allowance.settle(attempt.lent, used)
        latency_ms = self.clock.now_ms() - attempt.started_at_ms
        item = call.item
        outcome = attempt.outcome or early_end(self.clock, item.deadline_at_ms)
        self.router.attempt_finished(attempt.upstream_id, outcome, latency_ms, level, item)
        reported = None if call.parent is None else self.router.pool_level(item)
        if reported is not None:
            self.executor.admission.record_inner_level(call.parent.item, item.service_id, reported)

    async def _prepare_retry(self, call: Call, verdict: Verdict) -> bool:
        replayable = call.body is None or call.body.replayable
        if not self.retries.allows(
            call.plan, call.item, call.state, verdict, replayable=replayable
        ):
            return False
        self.metrics.count("gateway.retries")
        delay_ms = self.retries.backoff_ms(call.item, call.state, verdict)
        # Without a delay too: the cancelled sender of the last attempt ends before the body is
        # read again.
        await self.clock.sleep_ms(delay_ms)
        if call.body is not None:
            call.body.rewind()
        return True

    def _choose(self, call: Call) -> UpstreamId:
        """Return the upstream of the next attempt.

        Raises:
            Refused: None is left; a request with a key has no other than its home.
        """
        if call.idempotency_key is not None:
            chosen = self._choose_home(call, call.idempotency_key)
        elif self._prefers_own(call):
            chosen = self.local.upstream_id
        else:
            chosen = self.router.choose(call.item, frozenset(call.tried))
        call.tried.add(chosen)
        return chosen

    def _prefers_own(self, call: Call) -> bool:
        own = self.local.upstream_id
        upstream = call.plan.upstreams.get(own)
        return (
            own not in call.tried
            and upstream is not None
            and upstream.service_id == call.item.service_id
            and self.executor.has_capacity()
        )

    def _choose_home(self, call: Call, key: str) -> UpstreamId:
        home = home_of(call.plan, call.item.organisation_id, call.item.service_id, key)
        upstream = None if home is None else call.plan.upstreams.get(home)
        if upstream is None or upstream.service_id != call.item.service_id:
            # The home left the plan, and with it the knowledge whether the key has run.
            raise Refused(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
        if home in call.tried:
            raise NoUpstream()
        return home

    async def _send(self, call: Call, attempt: _Attempt) -> Answer:
        """Send one attempt and return its answer once the head is there."""
        head = self._request_head(call, attempt.lent)
        call.state.attempts += 1
        # Attempts of one request can overlap, so each settles only what it added itself.
        call.unsettled += 1
        if attempt.upstream_id == self.local.upstream_id:
            answer = await self.executor.dispatch(head, attempt.body, call.item.deadline_at_ms)
        else:
            answer = await self._send_to_peer(call, attempt, head)
        if isinstance(answer.head, RefusalHead) and answer.head.not_run:
            call.unsettled -= 1
        return answer

    async def _send_to_peer(self, call: Call, attempt: _Attempt, head: RequestHead) -> Answer:
        try:
            stream = await self.peers.open_stream(attempt.upstream_id, head)
        except PeerUnreachable:
            # An earlier request with the key may have run at its unreachable home.
            return unreachable_answer() if call.idempotency_key is None else lost_answer()
        return await _exchange(stream, attempt.body)

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
            call.idempotency_key,
            call.method,
            call.target,
            headers,
            call.body is not None,
            item.passed_threshold,
        )


async def _exchange(stream: Stream, body: Body | None) -> Answer:
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


async def _pump(stream: Stream, body: Body) -> None:
    try:
        while (data := await body.read()) is not None:
            await stream.send_chunk(data)
        await stream.finish()
    except StreamAborted:
        pass
    except TransportError as error:
        # The caller's body broke off; the target must not take it for complete.
        stream.abort(str(error))


def _cancel(pump: asyncio.Future | None) -> None:
    if pump is not None:
        pump.cancel()


def _may_hedge(call: Call) -> bool:
    """Return whether a second attempt of a request may overlap its first."""
    # Idempotent routes ignore a key, but a caller that sends one asks for a single execution.
    if not call.item.idempotent or call.head.idempotency_key is not None:
        return False
    return call.plan.profile_of(call.item.service_id).hedging


def _is_good(attempt: _Attempt) -> bool:
    """Return whether an answer goes to the caller while another attempt is under way."""
    head = attempt.answer.head
    return isinstance(head, ResponseHead) and head.status < FAILURE_STATUS


def _lost_race(attempt: _Attempt) -> Outcome:
    """Return the outcome of an attempt that another one made superfluous."""
    if attempt.answer is None or _is_good(attempt):
        return Outcome.CANCELLED
    return _outcome(attempt.answer.head)


def _outcome(head: ResponseHead | RefusalHead) -> Outcome:
    if isinstance(head, ResponseHead):
        if head.status < FAILURE_STATUS:
            return Outcome.SUCCESS
        # A failed inner call says nothing about the upstream that made it; counting it would
        # eject the healthy upstreams above a failing one.
        return Outcome.CANCELLED if head.inner_failed else Outcome.FAILURE
    return _OUTCOMES.get(head.reason, Outcome.REFUSED)
