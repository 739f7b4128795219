"""Run requests on the local target."""

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..errors import CallerGone, ConnectionLost, DialError, GentianError, Refused, StreamAborted
from ..ids import NodeIdentity, Outcome, RefusalReason
from ..metrics import Metrics
from ..protocol.headers import CONTENT_LENGTH, CONTEXT, DEADLINE_MS, REQUEST_ID, answer_headers
from ..protocol.messages_requests import RefusalHead, RequestHead, ResponseHead, ResponseSummary
from ..protocol.streams import Stream
from ..state.allowance import Allowance
from ..state.contexts import Contexts, RunningContext
from ..state.work import WorkItem
from ..transport.http_client import Body, TargetClient, TargetResponse
from .admission import Admission, Permit
from .answers import Answer, RefusedAnswer, StreamBody, load_from_level, outcome_when_interrupted

RunFunction = Callable[[RequestHead, Body | None, float], Awaitable[Answer]]

# Statuses from here on are failures of the target; lower ones are answers for the caller.
FAILURE_STATUS = 500


class LocalAnswer(Answer):
    """Read the answer of the local target and release its slot at the end."""

    def __init__(
        self,
        executor: "Executor",
        context: RunningContext,
        permit: Permit,
        answer: TargetResponse,
        started_at_ms: float,
    ):
        """Create an answer; called by `Executor.run` only."""
        self._executor = executor
        self._context = context
        self._permit: Permit | None = permit
        self._answer = answer
        self._started_at_ms = started_at_ms
        failed = answer.status >= FAILURE_STATUS
        self.head = ResponseHead(
            answer.status,
            answer_headers(answer.headers),
            failed and context.inner_failed,
            load_from_level(executor.admission.level_for(context.item)),
        )

    async def read(self) -> bytes | None:
        """Return the next body bytes."""
        if self._permit is None:
            return None
        try:
            data = await self._answer.read()
        except ConnectionLost:
            self._finish(Outcome.LOST)
            raise
        if data is None:
            failed = self.head.status >= FAILURE_STATUS
            self._finish(Outcome.FAILURE if failed else Outcome.SUCCESS)
        return data

    def receive_rest_nowait(self) -> bytes | None:
        """Return the whole body if the target has sent all of it."""
        if self._permit is None:
            return None
        whole = self._answer.receive_rest_nowait()
        if whole is not None:
            failed = self.head.status >= FAILURE_STATUS
            self._finish(Outcome.FAILURE if failed else Outcome.SUCCESS)
        return whole

    def abort(self, problem: str) -> None:
        """Cancel the request at the target."""
        if self._permit is not None:
            self._finish(
                outcome_when_interrupted(self._executor.clock, self._context.item.deadline_at_ms)
            )

    def _finish(self, outcome: Outcome) -> None:
        permit, self._permit = self._permit, None
        self._answer.close()
        self.service_ms = self._executor.clock.now_ms() - self._started_at_ms
        self._executor.finish_execution(self._context, permit, outcome, self.service_ms)
        if outcome in (Outcome.SUCCESS, Outcome.FAILURE):
            # Only known now: while the answer is incomplete, inner calls may still use attempts
            # that were lent to them.
            self.used_attempts = self._context.allowance.used


class Executor:
    """Admit requests and send them to the local target.

    Attributes:
        leaving: Reason for which new requests are refused, or None.
        running: Number of admitted requests that have not ended.
    """

    def __init__(
        self,
        admission: Admission,
        target: TargetClient,
        contexts: Contexts,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create an executor.

        Args:
            admission: Admission control of the target.
            target: HTTP client of the target.
            contexts: Contexts of running requests.
            clock: Clock for deadlines.
            metrics: Counts executions and refusals.
        """
        self.admission = admission
        self.target = target
        self.contexts = contexts
        self.clock = clock
        self.metrics = metrics
        self.leaving: RefusalReason | None = None
        self.running = 0
        # Set by `Node`: runs a request with an idempotency key through its execution record.
        self.run_keyed: RunFunction | None = None

    async def dispatch(self, head: RequestHead, body: Body | None, deadline_at_ms: float) -> Answer:
        """Run a request, through its execution record if it has an idempotency key.

        Args:
            head: Head of the request.
            body: Body of the request, if any.
            deadline_at_ms: Deadline on the local clock.
        """
        if head.idempotency_key is not None and self.run_keyed is not None:
            return await self.run_keyed(head, body, deadline_at_ms)
        return await self.run(head, body, deadline_at_ms)

    def has_capacity(self) -> bool:
        """Return whether a request would start without queueing."""
        return self.leaving is None and self.admission.has_capacity()

    async def run(self, head: RequestHead, body: Body | None, deadline_at_ms: float) -> Answer:
        """Run one attempt and return its answer once the head has arrived.

        The caller must apply the deadline, and abort the answer if it does not read it to its end.

        Args:
            head: Head of the request.
            body: Body of the request, if any.
            deadline_at_ms: Deadline on the local clock.
        """
        item = WorkItem(
            head.root_request_id,
            head.service_id,
            head.organisation_id,
            head.priority,
            head.depth,
            deadline_at_ms,
            head.idempotent,
            head.route_id,
            head.passed_threshold,
        )
        try:
            if self.leaving is not None:
                raise Refused(self.leaving, not_run=True)
            if deadline_at_ms <= self.clock.now_ms():
                raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=True)
            permit = await self.admission.admit(item)
        except Refused as refusal:
            self.metrics.count(f"executor.refused.{refusal.reason.value}")
            return self.refuse(refusal, 0, item)
        return await self._execute(head, body, item, permit)

    async def _execute(
        self, head: RequestHead, body: Body | None, item: WorkItem, permit: Permit
    ) -> Answer:
        started_at_ms = self.clock.now_ms()
        remaining_ms = item.deadline_at_ms - started_at_ms
        if remaining_ms <= 0:
            permit.release(Outcome.CANCELLED, 0.0)
            return self.refuse(Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=True), 0, item)
        self.running += 1
        context = self.contexts.open(item, Allowance(head.lent_attempts))
        headers = [
            *(pair for pair in head.headers if pair[0] != CONTENT_LENGTH),
            (CONTEXT, context.handle),
            (DEADLINE_MS, str(max(1, int(remaining_ms)))),
            (REQUEST_ID, head.request_id),
        ]
        outcome = Outcome.CANCELLED
        # A truncated request body is no failure of the target; its outcome stays CANCELLED.
        refusal = Refused(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
        try:
            answer = await self.target.exchange(
                head.method, head.target_path, headers, body, recent_only=not head.idempotent
            )
        except DialError:
            outcome = Outcome.LOST
            refusal = Refused(RefusalReason.TARGET_UNREACHABLE, not_run=True)
        except CallerGone:
            pass
        except ConnectionLost:
            outcome = Outcome.LOST
        except GentianError:
            pass
        except BaseException:
            outcome = outcome_when_interrupted(self.clock, item.deadline_at_ms)
            self.finish_execution(context, permit, outcome, self.clock.now_ms() - started_at_ms)
            raise
        else:
            self.metrics.count("executor.executed")
            return LocalAnswer(self, context, permit, answer, started_at_ms)
        self.finish_execution(context, permit, outcome, self.clock.now_ms() - started_at_ms)
        self.metrics.count(f"executor.refused.{refusal.reason.value}")
        return self.refuse(refusal, context.allowance.used, item)

    def refuse(self, refusal: Refused, used_attempts: int, item: WorkItem | None = None) -> Answer:
        """Create the answer of a refusal.

        Args:
            refusal: Reason and retry delay.
            used_attempts: Number of lent attempts that were used.
            item: The request; without it the answer carries the level of the target alone.
        """
        level = self.admission.level() if item is None else self.admission.level_for(item)
        return RefusedAnswer(
            RefusalHead(
                refusal.reason,
                refusal.not_run,
                refusal.retry_after_ms,
                used_attempts,
                load_from_level(level),
            )
        )

    def finish_execution(
        self, context: RunningContext, permit: Permit, outcome: Outcome, latency_ms: float
    ) -> None:
        """Close the context of a request and release its slot."""
        self.running -= 1
        self.contexts.close(context)
        permit.release(outcome, latency_ms)

    async def serve_stream(self, sender: NodeIdentity, head: RequestHead, stream: Stream) -> None:
        """Run a request that another node forwarded.

        Args:
            sender: The node that forwarded the request.
            head: Head of the request.
            stream: Stream of the request body and the answer.
        """
        task = asyncio.current_task()
        aborted = False

        def cancel() -> None:
            nonlocal aborted
            aborted = True
            task.cancel()

        stream.set_abort_callback(cancel)
        try:
            await self._send_answer(head, stream)
        except asyncio.CancelledError:
            if not aborted or task.uncancel() > 0:
                raise
            self.metrics.count("executor.aborted")
        finally:
            stream.clear_abort_callback()

    async def _send_answer(self, head: RequestHead, stream: Stream) -> None:
        deadline_at_ms = self.clock.now_ms() + head.remaining_ms
        body = StreamBody(stream, _content_length(head)) if head.has_body else None
        answer: Answer | None = None
        try:
            async with asyncio.timeout(head.remaining_ms / 1000):
                answer = await self.dispatch(head, body, deadline_at_ms)
                whole = answer.receive_rest_nowait()
                if whole is not None:
                    summary = ResponseSummary(answer.used_attempts or 0, answer.service_ms)
                    await stream.send_complete(answer.head, whole, summary)
                    return
                await stream.send_head(answer.head)
                while (data := await answer.read()) is not None:
                    await stream.send_chunk(data)
                await stream.finish(ResponseSummary(answer.used_attempts or 0, answer.service_ms))
        except TimeoutError:
            stream.abort("deadline exceeded")
        except StreamAborted:
            self.metrics.count("executor.aborted")
        except GentianError as error:
            stream.abort(str(error))
        except BaseException as error:
            stream.abort(f"{type(error).__name__}")
            raise
        finally:
            if answer is not None:
                answer.abort("request ended")


def _content_length(head: RequestHead) -> int | None:
    for name, value in head.headers:
        if name == CONTENT_LENGTH:
            return int(value)
    return None
