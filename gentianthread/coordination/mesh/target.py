"""Run requests on the target of this node: who runs, who waits and who is refused."""

import asyncio
from collections.abc import Callable

from ...clock import Clock
from ...decisions import DecisionLog
from ...errors import ConnectionLost, DialError
from ...events import LEVEL_CHANGED, RUN_REFUSED
from ...ids import ServiceId, UpstreamId
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...state.balancer import LoadReport
from ...state.directory import Directory, UpstreamState
from ...state.latency import LowLatency
from ...state.overload_level import LevelControl
from ...state.work_queue import QueuedWork, WorkQueue
from ...transport.header_fields import render_fields
from ...transport.target_connection import TargetRequest, make_request
from ...transport.target_pool import FRESH_MS, KeptConnectionLost, PooledAnswer, TargetPool
from .started_run import StartedRun

# Part of the slots that is used: some targets slow down when they are nearly full.
SLOT_PART = 0.95

# Part of the time that is left which a request may spend waiting for a place.
ROOT_WAIT_PART = 0.3
INNER_WAIT_PART = 0.5

# Weight of the newest sample in the smoothed time of a request on the target.
SMOOTHING = 0.05

# Assumed time of a request on the target before the first has ended.
FIRST_SERVICE_MS = 50.0

# After this many failed dials in a row the target counts as gone for the second figure.
DIALS_FAILED = 2
GONE_MS = 500.0

# Change of the overload level that is worth a log line: a quarter of one priority.
LOGGED_STEP = 0.25

# Status by which a target says that another start of an upstream was meant.
MISDIRECTED = 421


class TargetSide:
    """Admit requests to the target and exchange them with it.

    Attributes:
        running: Requests that run on the target.
        queue: Requests that wait for a place.
        control: Sets the level of the target.
        service_ms: Smoothed time that a request takes on the target.
        level_behind: Returns the highest level of the services that the target calls.
        highest_level: Returns the rank of the most important requests.
    """

    def __init__(
        self,
        service_id: ServiceId,
        address: tuple[str, int],
        directory: Directory,
        pool: TargetPool,
        dialect: HttpDialect,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ):
        """Create the target side of a node.

        Args:
            service_id: Service of the target, from the settings.
            address: Its IP address and port.
            directory: Upstreams that the platform lists.
            pool: Connections to the target.
            dialect: Names of header fields.
            clock: Clock of waits.
            metrics: Counts runs and refusals.
            decisions: Where refusals are written.
        """
        self.service_id = service_id
        self.address = address
        self.directory = directory
        self.pool = pool
        self.dialect = dialect
        self._id_field = dialect.request_id.lower()
        self._seal_field = dialect.seal.lower()
        self._not_run_field = dialect.not_run.lower()
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        self._refuses_from_ms = float("inf")
        self.running = 0
        # The assembly sets both.
        self.level_behind: Callable[[], float] = lambda: 0.0
        self.highest_level: Callable[[], float] = lambda: 0.0
        self.queue = WorkQueue()
        self.control = LevelControl(clock.now_ms())
        self.service_ms = FIRST_SERVICE_MS
        self._least_ms = LowLatency()
        self._samples = 0
        self._dials_failed = 0
        self._gone_until_ms = float("-inf")
        self._moved: set[UpstreamId] = set()
        self._logged_level = 0.0
        self._limit = 1
        self._followed = directory.changes.subscribe(lambda _: self._follow())

    def _follow(self) -> None:
        entry = self.directory.find_by_address(*self.address)
        self._limit = 1 if entry is None else max(1, int(entry.slots * SLOT_PART))
        self._dispatch(self.clock.now_ms())

    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limit

    def load(self) -> LoadReport:
        """Return the present load for an answer."""
        now_ms = self.clock.now_ms()
        self._observe(now_ms)
        level = max(self.control.level, self.level_behind())
        return LoadReport(self.running, len(self.queue), self.limit(), self.service_ms, level)

    def refuse_peers(self, from_ms: float) -> None:
        """Refuse new work of peers from a time on; what waits or runs by then goes on."""
        self._refuses_from_ms = from_ms

    async def run(self, request: RunRequest) -> RunAnswer:
        """Run a request for a peer or for this node's own entry."""
        now_ms = self.clock.now_ms()
        deadline_ms = now_ms + request.remaining_ms
        if request.call and now_ms >= self._refuses_from_ms:
            return self._refuse(request, "node is leaving")
        reason = self._refusal_reason(request, now_ms)
        if reason:
            return self._refuse(request, reason)
        self._observe(now_ms)
        self.control.arrived()
        if self.running < self._limit and not len(self.queue):
            self.running += 1
        else:
            reason = await self._wait(request, now_ms, deadline_ms)
            if reason:
                return self._refuse(request, reason)
            now_ms = self.clock.now_ms()
            # The target may have gone while the request waited.
            reason = self._refusal_reason(request, now_ms)
        try:
            if deadline_ms - now_ms < 1:
                reason = "no time left"
            if reason:
                return self._refuse(request, reason)
            return await self._exchange(request, now_ms, deadline_ms - now_ms)
        finally:
            self.ended()

    def start(self, request: RunRequest, deliver: Callable[[RunAnswer], None]) -> StartedRun | None:
        """Run a request of a peer at once, or return None where that takes a task.

        Args:
            request: The request.
            deliver: Called once with the answer, unless the run is cancelled.
        """
        now_ms = self.clock.now_ms()
        if self.running >= self._limit or len(self.queue) or now_ms >= self._refuses_from_ms:
            return None
        if request.remaining_ms < 1 or self._refusal_reason(request, now_ms):
            return None
        run = StartedRun(self, request, now_ms, deliver)
        run.work = self.pool.begin(
            self._render(request, request.remaining_ms), _idle_limit_ms(request), run.end
        )
        if run.work is None:
            return None
        self._observe(now_ms)
        self.control.arrived()
        self.running += 1
        return run

    def _refusal_reason(self, request: RunRequest, now_ms: float) -> str:
        """Return why the target cannot take a request, or an empty text."""
        if request.service_id != self.service_id:
            return "another service"
        entry = self.directory.entries.get(request.upstream_id)
        if entry is None or (entry.host, entry.port) != self.address:
            return "upstream is not here"
        if entry.state is UpstreamState.DRAINING:
            return "upstream is draining"
        if request.upstream_id in self._moved:
            return "another process has the address"
        if now_ms < self._gone_until_ms:
            return "target is gone"
        return ""

    async def _wait(self, request: RunRequest, now_ms: float, deadline_ms: float) -> str:
        """Wait for a place; return why there is none, or an empty text."""
        ahead = self.queue.ahead_of(request.inner, request.priority)
        wait_ms = (ahead + 1) * self.service_ms / self._limit
        least_ms = self._least_ms.value_ms(now_ms)
        part = INNER_WAIT_PART if request.inner else ROOT_WAIT_PART
        if wait_ms > part * (request.remaining_ms - least_ms):
            return "queue is too long"
        place = asyncio.get_running_loop().create_future()
        work = QueuedWork(
            request.inner,
            request.priority,
            request.organisation_id,
            now_ms,
            deadline_ms - least_ms,
            place,
        )
        self.queue.push(work)
        self._dispatch(now_ms)
        try:
            async with asyncio.timeout(max(0.0, work.drop_at_ms - now_ms) / 1000):
                return "" if await place else "no time left"
        except TimeoutError:
            self._abandon(work)
            return "no time left"
        except asyncio.CancelledError:
            self._abandon(work)
            raise

    def _abandon(self, work: QueuedWork) -> None:
        """Give up a wait; a place that came meanwhile goes to the next."""
        if self.queue.remove(work):
            return
        if work.place.done() and not work.place.cancelled() and work.place.result():
            self.running -= 1
            self._dispatch(self.clock.now_ms())

    def _dispatch(self, now_ms: float) -> None:
        while self.running < self._limit:
            work = self.queue.pop()
            if work is None:
                return
            if work.place.done():
                continue
            if work.drop_at_ms <= now_ms:
                work.place.set_result(False)
                continue
            self.metrics.timing_ms("target.wait_ms", now_ms - work.enqueued_at_ms)
            self.running += 1
            work.place.set_result(True)

    def ended(self) -> None:
        """Give the place of a request that ran to the next one."""
        self.running -= 1
        self.control.completed()
        if len(self.queue):
            self._dispatch(self.clock.now_ms())

    def _observe(self, now_ms: float) -> None:
        if not self.control.is_due(now_ms):
            return
        wait_ms = 0.0
        if len(self.queue):
            wait_ms = len(self.queue) * self.service_ms / self._limit
            wait_ms = max(wait_ms, self.queue.oldest_wait_ms(now_ms))
        use = min(1.0, self.running / self._limit)
        self.control.observe(use, wait_ms, now_ms, self.highest_level())
        if abs(self.control.level - self._logged_level) >= LOGGED_STEP:
            self._logged_level = self.control.level
            self.decisions.write(
                LEVEL_CHANGED, service_id=self.service_id, overload_level=self.control.level
            )

    async def _exchange(
        self, request: RunRequest, started_ms: float, remaining_ms: float
    ) -> RunAnswer:
        try:
            return await self._send(request, started_ms, remaining_ms, _idle_limit_ms(request))
        except KeptConnectionLost as error:
            answer = self.lost(error)
            if not request.may_resend:
                return answer
            return await self.resend(request, started_ms, started_ms + remaining_ms)

    async def resend(self, request: RunRequest, started_ms: float, deadline_ms: float) -> RunAnswer:
        """Send a request whose kept connection failed once more, on a new one.

        Args:
            request: The request.
            started_ms: When it was sent first.
            deadline_ms: When its caller stops waiting.
        """
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms < 1:
            return self.lost(TimeoutError())
        self.metrics.count("target.resent")
        answer = await self._send(request, started_ms, left_ms, 0.0)
        answer.resent = True
        if answer.outcome is not RunOutcome.ANSWERED:
            # The first sending may have run, whatever became of the second.
            answer.outcome = RunOutcome.UNKNOWN
        return answer

    async def _send(
        self,
        request: RunRequest,
        started_ms: float,
        timeout_ms: float,
        idle_limit_ms: float | None,
    ) -> RunAnswer:
        """Exchange a request with the target once.

        Raises:
            KeptConnectionLost: The target may have closed the connection before.
        """
        try:
            pooled = await self.pool.exchange(self._render(request, timeout_ms), idle_limit_ms)
        except DialError as error:
            return self._dial_failed(request, error)
        except KeptConnectionLost:
            raise
        except (ConnectionLost, TimeoutError) as error:
            return self.lost(error)
        return self.read_answer(request, pooled, started_ms)

    def _render(self, request: RunRequest, remaining_ms: float) -> TargetRequest:
        """Return what the target gets of a request."""
        fields = (
            f"{request.fields}{self.dialect.request_id}: {request.request_id}\r\n"
            f"{self.dialect.remaining_ms}: {max(1, int(remaining_ms))}\r\n"
            f"{self.dialect.expected_target}: {request.upstream_id}\r\n"
        )
        return make_request(
            request.method,
            request.target,
            fields,
            request.body,
            request.request_id,
            remaining_ms,
        )

    def lost(self, error: Exception) -> RunAnswer:
        """Return the answer for a request of which no answer came."""
        if isinstance(error, ConnectionLost):
            self.metrics.count("target.lost")
            return self._answer(RunOutcome.UNKNOWN, error.problem)
        if isinstance(error, TimeoutError):
            return self._answer(RunOutcome.UNKNOWN, "no answer in time")
        return self._answer(RunOutcome.UNKNOWN, "fault of the node")

    def read_answer(
        self, request: RunRequest, pooled: PooledAnswer, started_ms: float
    ) -> RunAnswer:
        """Tell a whole answer of the target from a rejection and from bytes that are none."""
        self._dials_failed = 0
        answer, fields = pooled.answer, pooled.fields
        is_own = fields.get(self._id_field) == request.request_id
        if self._is_rejection(answer.status, fields) and (is_own or pooled.on_new_connection):
            if answer.status == MISDIRECTED:
                self._moved.add(request.upstream_id)
            self.metrics.count("target.rejected")
            return self._answer(RunOutcome.REJECTED, f"target answered {answer.status}")
        sealed = self._seal_field in fields
        if not is_own or (answer.status < 300 and not sealed):
            self.metrics.count("target.invalid_answers")
            return self._answer(RunOutcome.UNKNOWN, "answer is not the target's own")
        now_ms = self.clock.now_ms()
        self._learn(now_ms - started_ms, now_ms, good=answer.status < 300)
        self.metrics.count("target.answered")
        found = self._answer(RunOutcome.ANSWERED, "")
        found.status, found.body = answer.status, answer.body
        found.fields = render_fields(answer.headers)
        return found

    def _is_rejection(self, status: int, fields: dict[str, str]) -> bool:
        return status == MISDIRECTED or self._not_run_field in fields

    def _learn(self, took_ms: float, now_ms: float, *, good: bool) -> None:
        self.metrics.timing_ms("target.took_ms", took_ms)
        if not self._samples:
            self.service_ms = took_ms
        self._samples += 1
        self.service_ms += SMOOTHING * (took_ms - self.service_ms)
        if good:
            self._least_ms.record(took_ms, now_ms)

    def _dial_failed(self, request: RunRequest, error: DialError) -> RunAnswer:
        self._dials_failed += 1
        if self._dials_failed >= DIALS_FAILED:
            self._gone_until_ms = self.clock.now_ms() + GONE_MS
        return self._refuse(request, f"target is gone: {error.problem}")

    def _refuse(self, request: RunRequest, reason: str) -> RunAnswer:
        self.metrics.count("target.refused")
        self.decisions.write(
            RUN_REFUSED,
            request_id=request.request_id,
            upstream_id=request.upstream_id,
            reason=reason,
            running=self.running,
            queued=len(self.queue),
        )
        return self._answer(RunOutcome.NOT_SENT, reason)

    def _answer(self, outcome: RunOutcome, reason: str) -> RunAnswer:
        return RunAnswer(0, outcome, reason, 0, "", b"", False, self.load(), 0)


def _idle_limit_ms(request: RunRequest) -> float | None:
    """Return how long a kept connection may have been idle to be used for a request."""
    return None if request.may_resend else FRESH_MS
