"""Accept requests from callers and from the local target, and relay their answers."""

import asyncio
import json
import secrets
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import attrs

from ..clock import Clock
from ..errors import CallerGone, ConnectionLost, GentianError, Refused, TransportError
from ..events import REQUEST_ABORTED, REQUEST_CANCELLED, REQUEST_REFUSED, TASK_FAILED
from ..ids import ANONYMOUS, OrganisationId, Priority, RefusalReason, RequestId, ServiceId
from ..logs import log
from ..metrics import Metrics
from ..protocol.headers import CONTENT_LENGTH, REQUEST_ID, ParsedHead, parse_head
from ..protocol.messages_requests import RefusalHead
from ..protocol.refusals import refusal_answer
from ..state.contexts import Contexts, RunningContext
from ..state.plan import Plan
from ..state.work import WorkItem
from ..transport.http_names import BODILESS_STATUS
from ..transport.http_server import Exchange
from .answers import Answer
from .attempts import Attempts
from .calls import Call, authenticate, describe_call
from .idempotency import TICKET_PATH, Idempotency
from .quota import Quota
from .retries import FAILURE_STATUS

# A request waits at most this long, and at most a tenth of its remaining time, for a token of its
# organisation's quota.
QUOTA_WAIT_LIMIT_MS = 50.0


class Gateway:
    """Process requests from the caller's connection to a target and back.

    Attributes:
        running: Number of requests in progress.
        leaving: Whether new requests are refused because the node is stopping.
        served: Number of requests received since the start.
    """

    def __init__(
        self,
        plan: Callable[[], Plan | None],
        quota: Quota,
        attempts: Attempts,
        contexts: Contexts,
        clock: Clock,
        metrics: Metrics,
        idempotency: Idempotency,
        check_pause: Callable[[], None] = lambda: None,
    ):
        """Create a gateway.

        Args:
            plan: Returns the accepted plan, or None before there is one.
            quota: Limits the rate of each organisation.
            attempts: Sends the attempts of a request.
            contexts: Contexts of the requests that run on the local target.
            clock: Clock for deadlines.
            metrics: Counts requests.
            idempotency: Issues tickets, which are used as idempotency keys.
            check_pause: Called for each request; expires time-based permissions after a pause of
                the process.
        """
        self.plan = plan
        self.quota = quota
        self.attempts = attempts
        self.contexts = contexts
        self.clock = clock
        self.metrics = metrics
        self.idempotency = idempotency
        self.check_pause = check_pause
        self.running = 0
        self.served = 0
        self.leaving = False

    async def handle_caller(self, exchange: Exchange) -> None:
        """Answer a request from an external caller."""
        await self._handle(exchange, inner=False)

    async def handle_inner(self, exchange: Exchange) -> None:
        """Answer a request from the local target."""
        await self._handle(exchange, inner=True)

    async def _handle(self, exchange: Exchange, inner: bool) -> None:
        self.check_pause()
        self.running += 1
        self.served += 1
        call_id = secrets.token_hex(8)
        parent: RunningContext | None = None
        task = asyncio.current_task()
        try:
            parsed = parse_head(exchange.target, exchange.headers)
            parent = self._find_parent(parsed, inner)
            if parent is not None:
                parent.children.add(task)
            await self._answer_request(exchange, parsed, parent, call_id)
        except Refused as refusal:
            if parent is not None:
                parent.inner_failed = True
            await self._send_refusal(exchange, refusal, call_id)
        except TransportError as error:
            if parent is not None and not isinstance(error, CallerGone):
                parent.inner_failed = True
            self.metrics.count("gateway.aborted")
            log(REQUEST_ABORTED, request_id=call_id, problem=str(error))
            exchange.abort()
        except asyncio.CancelledError:
            self.metrics.count("gateway.cancelled")
            log(REQUEST_CANCELLED, request_id=call_id)
            raise
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

    async def _answer_request(
        self, exchange: Exchange, parsed: ParsedHead, parent: RunningContext | None, call_id: str
    ) -> None:
        # Read once, so that the request uses one plan even if a new one is accepted meanwhile.
        plan = self.plan()
        if plan is None:
            raise Refused(RefusalReason.NOT_READY, not_run=True)
        if self.leaving and parent is None:
            raise Refused(RefusalReason.LEAVING, not_run=True)
        if parsed.path == TICKET_PATH:
            await self._answer_ticket(plan, exchange, parsed, parent, call_id)
            return
        call = describe_call(plan, exchange, parsed, parent, call_id, self.clock.now_ms())
        await self._process_call(call, exchange)

    async def _process_call(self, call: Call, exchange: Exchange) -> None:
        remaining_ms = call.item.deadline_at_ms - self.clock.now_ms()

        async def relay(answer: Answer, chunks: list[bytes]) -> None:
            await self._relay(call, exchange, answer, chunks)

        try:
            async with asyncio.timeout(remaining_ms / 1000):
                if call.parent is None:
                    # Before the quota, so that a request that would be shed uses no token.
                    self.attempts.router.check_early(call.item)
                    await self._take_quota_token(call, remaining_ms)
                call.item = self._with_passed_threshold(call)
                await self.attempts.answer(call, relay)
        except TimeoutError:
            if exchange.head_sent:
                raise ConnectionLost("target", "deadline exceeded during the answer") from None
            raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=not call.may_have_run) from None

    def _with_passed_threshold(self, call: Call) -> WorkItem:
        """Return the item with the shedding threshold that it passed.

        Later hops apply the same threshold to the request.
        """
        if call.parent is None:
            threshold = self.attempts.router.entry_threshold(call.item)
        else:
            threshold = self.attempts.executor.admission.passed_threshold(call.parent.item)
        if threshold <= 0:
            return call.item
        return attrs.evolve(call.item, passed_threshold=threshold)

    async def _take_quota_token(self, call: Call, remaining_ms: float) -> None:
        organisation_id = call.item.organisation_id
        # Requests without an API key are limited only if the plan declares a rate for them.
        if organisation_id == ANONYMOUS and ANONYMOUS not in call.plan.organisations:
            return
        await self.quota.acquire(organisation_id, min(QUOTA_WAIT_LIMIT_MS, remaining_ms / 10))

    async def _relay(
        self, call: Call, exchange: Exchange, answer: Answer, chunks: list[bytes]
    ) -> None:
        """Write an answer to the caller.

        Raises:
            Refused: The answer is a refusal.
            TransportError: The answer was truncated.
        """
        head = answer.head
        call.check_body()
        if isinstance(head, RefusalHead):
            not_run = head.not_run and not call.may_have_run
            raise Refused(head.reason, not_run=not_run, retry_after_ms=head.retry_after_ms)
        if head.status >= FAILURE_STATUS and call.parent is not None:
            call.parent.inner_failed = True
        has_body = call.method != "HEAD" and head.status not in BODILESS_STATUS
        headers = (*head.headers, (REQUEST_ID, call.call_id))
        await exchange.send_head(head.status, headers, has_body=has_body, close=self.leaving)
        whole_body = None if chunks else answer.receive_rest_nowait()
        if whole_body is not None:
            if whole_body and has_body:
                await exchange.send(whole_body)
        else:
            await self._stream_body(exchange, answer, chunks, has_body)
        await exchange.finish()
        self.metrics.count("gateway.answered")

    async def _stream_body(
        self, exchange: Exchange, answer: Answer, chunks: list[bytes], has_body: bool
    ) -> None:
        for chunk in chunks:
            await exchange.send(chunk)
        while (data := await answer.read()) is not None:
            if has_body:
                await exchange.send(data)

    async def _send_refusal(self, exchange: Exchange, refusal: Refused, call_id: str) -> None:
        self.metrics.count(f"gateway.refused.{refusal.reason.value}")
        log(REQUEST_REFUSED, request_id=call_id, reason=refusal.reason.value)
        if exchange.head_sent:
            exchange.abort()
            return
        status, headers, body = refusal_answer(refusal, call_id)
        await self._send_response(exchange, status, headers, body)

    async def _send_response(
        self, exchange: Exchange, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        has_body = exchange.method != "HEAD"
        try:
            await exchange.send_head(status, headers, has_body=has_body, close=self.leaving)
            if has_body:
                await exchange.send(body)
            await exchange.finish()
        except GentianError:
            exchange.abort()

    async def _answer_ticket(
        self,
        plan: Plan,
        exchange: Exchange,
        parsed: ParsedHead,
        parent: RunningContext | None,
        call_id: str,
    ) -> None:
        """Answer `POST /.gentian/tickets?service=<id>` with a new idempotency key.

        Raises:
            Refused: The request is malformed, has no valid API key, or no home issues a ticket.
        """
        organisation_id = authenticate(plan, parsed)
        if parent is not None:
            organisation_id = parent.item.organisation_id
        if organisation_id is None:
            raise Refused(RefusalReason.KEY_MISSING, not_run=True)
        query = parse_qs(urlsplit(exchange.target).query)
        service_id = ServiceId(query.get("service", [""])[0])
        if exchange.method != "POST" or service_id not in plan.services:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, not_run=True)
        item = self._make_ticket_item(plan, service_id, organisation_id, call_id)
        ticket = await self.idempotency.fetch_ticket(
            organisation_id, service_id, lambda tried: self.attempts.router.choose(item, tried)
        )
        window_ms = self.idempotency.executions.window_ms
        body = json.dumps({"idempotency_key": ticket, "window_ms": window_ms}).encode()
        headers = [("Content-Type", "application/json"), (CONTENT_LENGTH, str(len(body)))]
        await self._send_response(exchange, 201, headers, body)

    def _make_ticket_item(
        self, plan: Plan, service_id: ServiceId, organisation_id: OrganisationId, call_id: str
    ) -> WorkItem:
        deadline_at_ms = self.clock.now_ms() + plan.profile_of(service_id).deadline_ms
        return WorkItem(
            RequestId(call_id),
            service_id,
            organisation_id,
            Priority.NORMAL,
            0,
            deadline_at_ms,
            True,
        )
