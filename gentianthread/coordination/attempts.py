"""Make the attempts of a request, with retries and hedging, until one answers the caller."""

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
    level_from_load,
    lost_answer,
    outcome_when_interrupted,
    unreachable_answer,
)
from .calls import Call
from .executor import Executor
from .hedging import run_hedged
from .idempotency import home_of
from .peer_network import PeerNetwork
from .retries import FAILURE_STATUS, AnswerClass, RetryPolicy, classify_answer
from .routing import Router

# Longest body of a failed attempt that is buffered until a retry is decided on.
FAILED_ANSWER_LIMIT_BYTES = 64 * 1024

_OUTCOMES_BY_REFUSAL = {
    RefusalReason.OUTCOME_UNKNOWN: Outcome.LOST,
    RefusalReason.TARGET_UNREACHABLE: Outcome.LOST,
    RefusalReason.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
}

# Writes an answer to the caller, beginning with the body chunks that were already read.
Relay = Callable[[Answer, list[bytes]], Awaitable[None]]


@attrs.define(eq=False)
class _Attempt:
    """Store the state of one attempt until the router and the allowance are updated."""

    upstream_id: UpstreamId
    started_at_ms: float
    lent_attempts: int
    body: Body | None
    answer: Answer | None = None
    head_at_ms: float = 0.0
    outcome: Outcome | None = None


class Attempts:
    """Choose upstreams, send attempts and apply the retry policy."""

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
        """Create the sender of attempts.

        Args:
            local: Identity of this node.
            router: Chooses upstreams.
            executor: Runs requests on this node's target.
            peers: Opens streams to the other nodes.
            retries: Decides on retries.
            clock: Clock for deadlines.
            metrics: Counts retries and hedges.
        """
        self.local = local
        self.router = router
        self.executor = executor
        self.peers = peers
        self.retries = retries
        self.clock = clock
        self.metrics = metrics

    async def answer(self, call: Call, relay: Relay) -> None:
        """Make attempts until an answer is relayed to the caller.

        Args:
            call: The request.
            relay: Writes the answer to the caller.

        Raises:
            Refused: The last attempt was refused.
            TransportError: The answer was truncated.
        """
        self.retries.record_first_attempt(call.plan, call.item.service_id)
        hedged = _is_hedgeable(call)
        last_failure: tuple[Answer, list[bytes]] | None = None
        while True:
            try:
                upstream_id = self._choose_upstream(call)
            except NoUpstream:
                if last_failure is None:
                    raise
                break
            attempt = self._start_attempt(call, upstream_id, call.body)
            try:
                if hedged:
                    attempt = await self._receive_hedged_head(call, attempt)
                else:
                    await self._receive_head(call, attempt)
                chunks = await self._relay_or_drain(call, attempt, relay)
                if chunks is None:
                    return
            finally:
                self._finish_attempt(call, attempt)
            last_failure = (attempt.answer, chunks)
            if not await self._prepare_retry(call, classify_answer(attempt.answer.head)):
                break
        await relay(*last_failure)

    def _start_attempt(self, call: Call, upstream_id: UpstreamId, body: Body | None) -> _Attempt:
        """Lend an attempt its share of the retry allowance and report its start to the router."""
        attempt = _Attempt(upstream_id, self.clock.now_ms(), call.state.allowance.lend(), body)
        self.router.attempt_started(upstream_id)
        return attempt

    async def _receive_head(self, call: Call, attempt: _Attempt) -> _Attempt:
        """Send an attempt and return it once the head of its answer has arrived."""
        attempt.answer = await self._send_attempt(call, attempt)
        attempt.head_at_ms = self.clock.now_ms()
        call.check_body()
        if call.body is not None and call.body.read_error is not None:
            raise call.body.read_error
        return attempt

    async def _receive_hedged_head(self, call: Call, first: _Attempt) -> _Attempt:
        """Receive the head of the first attempt, or of a hedge that starts when it is slow.

        Returns:
            The attempt whose answer is used; the other one has ended.
        """
        attempts = [first]
        hedge_upstream_ids: list[UpstreamId] = []

        def prepare() -> bool:
            if call.body is not None and not call.body.fully_buffered:
                return False
            try:
                hedge_upstream_ids.append(self._choose_upstream(call))
            except NoUpstream:
                return False
            return True

        def receive(attempt_index: int) -> Awaitable[_Attempt]:
            if attempt_index > 0:
                self.metrics.count("gateway.hedges")
                body = None if call.body is None else call.body.copy()
                attempts.append(self._start_attempt(call, hedge_upstream_ids[0], body))
            return self._receive_head(call, attempts[attempt_index])

        winner = first
        try:
            winner = await run_hedged(
                receive,
                call.item,
                call.plan.profile_of(call.item.service_id),
                call.state.allowance,
                self.retries.budget(call.plan, call.item.service_id),
                self.clock,
                prepare=prepare,
                is_success=_is_success,
            )
            for attempt in attempts:
                if attempt is not winner:
                    attempt.outcome = _loser_outcome(attempt)
            return winner
        finally:
            # After an error `winner` is the first attempt, which `answer` finishes.
            for attempt in attempts:
                if attempt is not winner:
                    self._finish_attempt(call, attempt)

    async def _relay_or_drain(
        self, call: Call, attempt: _Attempt, relay: Relay
    ) -> list[bytes] | None:
        """Relay a final answer and return None; return the body of any other answer."""
        answer = attempt.answer
        if classify_answer(answer.head) is AnswerClass.FINAL and isinstance(
            answer.head, ResponseHead
        ):
            try:
                await relay(answer, [])
            except CallerGone:
                raise
            except TransportError:
                attempt.outcome = Outcome.LOST
                raise
            attempt.outcome = _outcome_of(answer.head)
            return None
        attempt.outcome = _outcome_of(answer.head)
        chunks = await drain_answer(answer, FAILED_ANSWER_LIMIT_BYTES)
        if chunks is None:
            attempt.answer, attempt.outcome = lost_answer(), Outcome.LOST
            return []
        return chunks

    def _finish_attempt(self, call: Call, attempt: _Attempt) -> None:
        """Abort the rest of an attempt and report it to the router, allowance and admission."""
        answer = attempt.answer
        if answer is not None:
            answer.abort("attempt ended")
        # The load was measured before the head was sent, and a long answer ends much later.
        level = (
            level_from_load(answer.head.load, self.clock.now_ms() - attempt.head_at_ms)
            if answer is not None and answer.carries_load
            else None
        )
        used_attempts = None if answer is None else answer.used_attempts
        call.state.allowance.settle(attempt.lent_attempts, used_attempts)
        latency_ms = self.clock.now_ms() - attempt.started_at_ms
        item = call.item
        outcome = attempt.outcome or outcome_when_interrupted(self.clock, item.deadline_at_ms)
        self.router.attempt_finished(attempt.upstream_id, outcome, latency_ms, level, item)
        pool_level = None if call.parent is None else self.router.pool_level(item)
        if pool_level is not None:
            self.executor.admission.record_inner_level(
                call.parent.item, item.service_id, pool_level
            )

    async def _prepare_retry(self, call: Call, answer_class: AnswerClass) -> bool:
        replayable = call.body is None or call.body.replayable
        if not self.retries.try_acquire(
            call.plan, call.item, call.state, answer_class, replayable=replayable
        ):
            return False
        self.metrics.count("gateway.retries")
        delay_ms = self.retries.backoff_ms(call.item, call.state, answer_class)
        # Sleep even if the delay is 0, so that the cancelled body sender of the last attempt ends
        # before the body is read again.
        await self.clock.sleep_ms(delay_ms)
        if call.body is not None:
            call.body.rewind()
        return True

    def _choose_upstream(self, call: Call) -> UpstreamId:
        """Return the upstream of the next attempt.

        Raises:
            Refused: No upstream is left. A request with an idempotency key runs at its home only.
        """
        if call.idempotency_key is not None:
            upstream_id = self._choose_home(call, call.idempotency_key)
        elif self._prefers_local(call):
            upstream_id = self.local.upstream_id
        else:
            upstream_id = self.router.choose(call.item, frozenset(call.tried_upstreams))
        call.tried_upstreams.add(upstream_id)
        return upstream_id

    def _prefers_local(self, call: Call) -> bool:
        local_id = self.local.upstream_id
        upstream = call.plan.upstreams.get(local_id)
        return (
            local_id not in call.tried_upstreams
            and upstream is not None
            and upstream.service_id == call.item.service_id
            and self.executor.has_capacity()
        )

    def _choose_home(self, call: Call, key: str) -> UpstreamId:
        home = home_of(call.plan, call.item.organisation_id, call.item.service_id, key)
        upstream = None if home is None else call.plan.upstreams.get(home)
        if upstream is None or upstream.service_id != call.item.service_id:
            # The home is no longer in the plan, and only it knows whether the key has run.
            raise Refused(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
        if home in call.tried_upstreams:
            raise NoUpstream()
        return home

    async def _send_attempt(self, call: Call, attempt: _Attempt) -> Answer:
        """Send one attempt and return its answer once the head has arrived."""
        head = self._request_head(call, attempt.lent_attempts)
        call.state.attempts += 1
        # Hedged attempts overlap, so each one decrements only its own increment.
        call.possible_executions += 1
        if attempt.upstream_id == self.local.upstream_id:
            answer = await self.executor.dispatch(head, attempt.body, call.item.deadline_at_ms)
        else:
            answer = await self._send_to_peer(call, attempt, head)
        if isinstance(answer.head, RefusalHead) and answer.head.not_run:
            call.possible_executions -= 1
        return answer

    async def _send_to_peer(self, call: Call, attempt: _Attempt, head: RequestHead) -> Answer:
        try:
            stream = await self.peers.open_stream(attempt.upstream_id, head)
        except PeerUnreachable:
            # An earlier request with this key may have run at the home that is now unreachable.
            return unreachable_answer() if call.idempotency_key is None else lost_answer()
        return await _exchange(stream, attempt.body)

    def _request_head(self, call: Call, lent_attempts: int) -> RequestHead:
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
            lent_attempts,
            item.idempotent,
            call.idempotency_key,
            call.method,
            call.target,
            headers,
            call.body is not None,
            item.passed_threshold,
        )


async def _exchange(stream: Stream, body: Body | None) -> Answer:
    """Send the body and return the answer once its head has arrived; abort on any failure."""
    body_sender = None if body is None else asyncio.ensure_future(_send_body(stream, body))
    try:
        if body_sender is None:
            await stream.finish()
        head = await stream.receive_head()
    except StreamAborted:
        _cancel_sender(body_sender)
        return lost_answer() if stream.may_have_sent else unreachable_answer()
    except BaseException:
        _cancel_sender(body_sender)
        stream.abort("cancelled")
        raise
    if isinstance(head, RefusalHead):
        _cancel_sender(body_sender)
        return RefusedAnswer(head)
    return StreamAnswer(stream, head, body_sender)


async def _send_body(stream: Stream, body: Body) -> None:
    try:
        while (data := await body.read()) is not None:
            await stream.send_chunk(data)
        await stream.finish()
    except StreamAborted:
        pass
    except TransportError as error:
        # The caller's body was truncated; the target must not treat it as complete.
        stream.abort(str(error))


def _cancel_sender(body_sender: asyncio.Future | None) -> None:
    if body_sender is not None:
        body_sender.cancel()


def _is_hedgeable(call: Call) -> bool:
    """Return whether a request may be hedged."""
    # Idempotent routes ignore an idempotency key, but a caller that sends one expects a single
    # execution.
    if not call.item.idempotent or call.head.idempotency_key is not None:
        return False
    return call.plan.profile_of(call.item.service_id).hedging


def _is_success(attempt: _Attempt) -> bool:
    """Return whether an answer is used without waiting for the other attempt."""
    head = attempt.answer.head
    return isinstance(head, ResponseHead) and head.status < FAILURE_STATUS


def _loser_outcome(attempt: _Attempt) -> Outcome:
    """Return the outcome of an attempt that lost to another one."""
    if attempt.answer is None or _is_success(attempt):
        return Outcome.CANCELLED
    return _outcome_of(attempt.answer.head)


def _outcome_of(head: ResponseHead | RefusalHead) -> Outcome:
    if isinstance(head, ResponseHead):
        if head.status < FAILURE_STATUS:
            return Outcome.SUCCESS
        # A failed inner call is no failure of the upstream that made it. Counted as one, it would
        # eject the healthy upstreams that call a failing one.
        return Outcome.CANCELLED if head.inner_failed else Outcome.FAILURE
    return _OUTCOMES_BY_REFUSAL.get(head.reason, Outcome.REFUSED)
