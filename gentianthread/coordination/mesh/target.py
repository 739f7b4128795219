"""Admit requests to the target of this node, queue or refuse them, and exchange them with it."""

import asyncio
from collections.abc import Callable

from ...clock import Clock
from ...decisions import DecisionLog
from ...errors import ConnectionLost, DialError
from ...events import LEVEL_CHANGED, RUN_REFUSED
from ...ids import ServiceId
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...state.balancer import LoadReport
from ...state.capacity import MeasuredCapacity
from ...state.directory import Directory, UpstreamState
from ...state.latency import LowLatency
from ...state.overload_level import LevelControl
from ...state.placement import BoundRuns
from ...state.target_limit import TargetLimit
from ...state.target_runs import TargetRuns
from ...state.work_queue import QueuedWork, WorkQueue
from ...transport.target_pool import PooledResponse, TargetPool
from .crash_reports import REASON_BLOCKED, CrashReports
from .started_run import StartedRun
from .target_answers import TargetAnswers
from .target_evacuation import REASON_EVACUATED, TargetEvacuation
from .target_health import TargetHealth
from .target_log import TargetLog
from .target_message import build_target_request, idle_limit_ms
from .target_notices import TargetNotices
from .target_stop import REASON_LEAVING, TargetStop

# Fraction of its remaining time that a request may wait for a slot. Inner calls may wait longer,
# since refusing them wastes the work that other targets have done before.
ROOT_WAIT_FRACTION = 0.3
INNER_WAIT_FRACTION = 0.5

# Requests that run at once after a start until the first answer of the target tells whether it
# limits their rate.
UNINFORMED_CONCURRENCY = 3

# Shortest wait for the limit of a target; rounding can leave a token incomplete by far less.
MIN_DISPATCH_WAIT_MS = 1.0

# Smallest change of the overload level that is logged: a quarter of one priority.
LOGGED_LEVEL_STEP = 0.25


class LocalTarget:
    """Admit requests to the target of this node and exchange them with it.

    Attributes:
        running: Number of requests that run on the target.
        queue: Requests that wait for a slot.
        control: Computes the overload level of the target.
        notices: What the target says of itself in its answers.
        log: Logs rejections and stray bytes of the target.
        low_latency: Low latency of recent successful requests.
        health: Whether the target is cold or gone.
        stated_limit: Limit of the request rate that it names.
        rate_limit: That limit and the one of a cold target.
        runs: What is known of the runs on it and of their calls.
        capacity: Measures how long requests take on the target, and how many may run.
        dependency_level: Returns the highest overload level of the services that the target calls.
        highest_level: Returns the rank of the most important requests, which bounds the level.
        evacuation: Whether the zone of the target is evacuated.
        bound_runs: Runs that are bound to regions.
        stop: Which requests are still taken while the node stops.
    """

    def __init__(
        self,
        service_id: ServiceId,
        address: tuple[str, int],
        directory: Directory,
        pool: TargetPool,
        crash_reports: CrashReports,
        dialect: HttpDialect,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ):
        """Create a target that admits requests up to its listed slots.

        Args:
            service_id: Service of the target, from the settings.
            address: Its IP address and port.
            directory: Upstreams that the platform lists.
            pool: Connections to the target.
            crash_reports: Requests that crash targets.
            dialect: Names of header fields.
            clock: Clock of deadlines and waiting times.
            metrics: Counts runs and refusals.
            decisions: Log of refusals and level changes.
        """
        self.service_id = service_id
        self.address = address
        self.directory = directory
        self.pool = pool
        self.crash_reports = crash_reports
        self.dialect = dialect
        self._answers = TargetAnswers(self, dialect)
        self.clock = clock
        self.metrics = metrics
        self.decisions = decisions
        self.log = TargetLog(service_id, clock, metrics)
        pool.on_stray = self.log.record_stray
        self.stop = TargetStop()
        self.running = 0
        # The sidecar replaces both once the forwarder exists.
        self.dependency_level: Callable[[], float] = lambda: 0.0
        self.highest_level: Callable[[], float] = lambda: 0.0
        self.queue = WorkQueue()
        self.bound_runs = BoundRuns()
        self.evacuation = TargetEvacuation(address, directory, self.queue)
        self.control = LevelControl(clock.now_ms())
        self.notices = TargetNotices(address, directory, dialect, clock, metrics)
        self.notices.on_limit_change = self._on_limit_change
        self.stated_limit = self.notices.limit
        self.health = TargetHealth(address, pool, dialect, clock, metrics)
        self.health.reserve, self.health.release = self._reserve_check, self._release_check
        self.health.on_change = self._on_limit_change
        self.rate_limit = TargetLimit(self.stated_limit, self.health.warm_up)
        self.health.may_check = lambda: not (self.evacuation.in_force or self.stop.draining)
        self.evacuation.on_evacuation_end = lambda: self.health.suspect("its evacuation has ended")
        self.runs = TargetRuns()
        self.capacity = MeasuredCapacity(clock.now_ms())
        self.low_latency = LowLatency()
        self._logged_level = 0.0
        self._dispatch_timer: asyncio.TimerHandle | None = None
        self._subscription = directory.changes.subscribe(lambda _: self._update_limit())

    def _update_limit(self) -> None:
        entry = self.directory.find_by_address(*self.address)
        self.capacity.configure(1 if entry is None else entry.slots)
        self.health.record_entry(entry)
        self._dispatch(self.clock.now_ms())

    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self.capacity.limit

    def _on_limit_change(self, lifted: bool) -> None:
        now_ms = self.clock.now_ms()
        if lifted:
            # The level was computed for the limit.
            self.control = LevelControl(now_ms)
        self._dispatch(now_ms)

    def _is_full(self) -> bool:
        """Return whether no further request may run now; before the first answer few may."""
        if self.health.waiting:
            return True
        limit = self.limit()
        return self.running >= (
            limit if self.notices.informed else min(limit, UNINFORMED_CONCURRENCY)
        )

    def load(self) -> LoadReport:
        """Return the load that is reported with each answer."""
        now_ms = self.clock.now_ms()
        self._update_level(now_ms)
        level = max(self.control.level, self.dependency_level())
        leaving = self.notices.leaving
        return LoadReport(
            self.running,
            len(self.queue),
            self.limit(),
            self.capacity.service_ms,
            level,
            self.rate_limit.rate_per_s(now_ms),
            self.rate_limit.tokens(now_ms) - len(self.queue),
            None if leaving is None else leaving.upstream_id,
            0 if leaving is None else leaving.started_at_ms,
            self.capacity.throughput_per_s,
            self.capacity.pace.percent(now_ms),
            makes_calls=self.runs.makes_calls,
        )

    async def run(self, request: RunRequest) -> RunAnswer:
        """Run a request of a peer, or of this node if its `call` is 0, and return its answer."""
        now_ms = received_ms = self.clock.now_ms()
        deadline_ms = now_ms + request.remaining_ms
        if self.stop.refuses(request, now_ms):
            return self._refuse(request, REASON_LEAVING)
        reason = self._refusal_reason(request, now_ms)
        if reason:
            return self._refuse(request, reason)
        self._record_arrival(now_ms)
        self.health.check_connections(now_ms)
        if len(self.queue) or not self._reserve_slot(now_ms):
            reason = await self._wait_for_slot(request, now_ms, deadline_ms)
            if reason:
                return self._refuse(request, reason)
            now_ms = self.clock.now_ms()
            # The target may have become unreachable while the request waited.
            reason = self._refusal_reason(request, now_ms)
        try:
            if deadline_ms - now_ms < 1:
                reason = "no time left"
            if reason:
                self.rate_limit.put_back()
                return self._refuse(request, reason)
            answer = await self._exchange(request, now_ms, deadline_ms - now_ms)
            answer.spent_ms = self.clock.now_ms() - received_ms
            return answer
        finally:
            self.release_slot()

    def start(self, request: RunRequest, deliver: Callable[[RunAnswer], None]) -> StartedRun | None:
        """Run a request without a task, which saves processor time.

        Args:
            request: The request.
            deliver: Called once with the answer, unless the run is cancelled.

        Returns:
            The run, or None if the request needs `run`: it would wait or be refused, or there is
            no idle connection for it.
        """
        now_ms = self.clock.now_ms()
        if self._is_full() or len(self.queue) or self.stop.refuses(request, now_ms):
            return None
        self.health.check_connections(now_ms)
        if self.rate_limit.wait_ms(1, now_ms):
            return None
        if request.remaining_ms < 1 or self._refusal_reason(request, now_ms):
            return None
        run = StartedRun(self, request, now_ms, deliver)
        run.work = self.pool.start_exchange(
            build_target_request(request, request.remaining_ms, self.dialect),
            idle_limit_ms(request),
            run.end,
        )
        if run.work is None:
            return None
        self._record_sent(request, now_ms)
        self.bound_runs.start(request.allowed_regions)
        self._record_arrival(now_ms)
        self._reserve_slot(now_ms)
        return run

    def _reserve_slot(self, now_ms: float) -> bool:
        """Reserve a slot and, where the target limits its rate, the sending of one request."""
        if self._is_full() or not self.rate_limit.take(now_ms):
            return False
        self.running += 1
        self.capacity.record_running(self.running, now_ms)
        return True

    def _reserve_check(self, now_ms: float) -> bool:
        """Reserve a slot and the sending of one request for a health check."""
        if self.running >= self.capacity.limit or not self.rate_limit.take(now_ms):
            return False
        self.running += 1
        return True

    def _release_check(self, sent: bool) -> None:
        if not sent:
            self.rate_limit.put_back()
        self.running -= 1
        self._dispatch(self.clock.now_ms())

    def _refusal_reason(self, request: RunRequest, now_ms: float) -> str:
        """Return why the target cannot take a request, or an empty string."""
        if request.service_id != self.service_id:
            return "another service"
        entry = self.directory.entries.get(request.upstream_id)
        if entry is None or (entry.host, entry.port) != self.address:
            return "upstream is not here"
        if entry.state is UpstreamState.DRAINING:
            return "upstream is draining"
        if self.directory.is_evacuated(entry):
            return REASON_EVACUATED
        if self.notices.is_misdirected(entry):
            return "another process has the address"
        if self.health.is_unreachable(now_ms):
            return "target is gone"
        if self.crash_reports.block_ms(request):
            return REASON_BLOCKED
        if not self.stop.can_end(request, now_ms):
            return REASON_LEAVING
        return ""

    async def _wait_for_slot(self, request: RunRequest, now_ms: float, deadline_ms: float) -> str:
        """Wait for a slot; return why the request gets none, or an empty string.

        A request is refused at once if its expected wait exceeds its share of the remaining time.
        """
        low_latency_ms = self.low_latency.value_ms(now_ms)
        drop_at_ms = deadline_ms - low_latency_ms
        ahead = self.queue.ahead_of(request.inner, request.priority, drop_at_ms)
        wait_ms = self._expected_wait_ms(ahead + 1, now_ms)
        fraction = INNER_WAIT_FRACTION if request.inner else ROOT_WAIT_FRACTION
        if wait_ms > fraction * (request.remaining_ms - low_latency_ms):
            return "queue is too long"
        slot = asyncio.get_running_loop().create_future()
        work = QueuedWork(
            request.inner,
            request.priority,
            request.organisation_id,
            now_ms,
            drop_at_ms,
            slot,
        )
        self.queue.push(work)
        self._dispatch(now_ms)
        try:
            async with asyncio.timeout(max(0.0, work.drop_at_ms - now_ms) / 1000):
                return "" if await slot else self._refused_wait_reason()
        except TimeoutError:
            self._leave_queue(work)
            return "no time left"
        except asyncio.CancelledError:
            self._leave_queue(work)
            raise

    def _expected_wait_ms(self, position: int, now_ms: float) -> float:
        """Return the time until the request at a position in the queue can run."""
        slot_wait_ms = position * self.capacity.service_ms / self.capacity.limit
        return max(slot_wait_ms, self.rate_limit.wait_ms(position, now_ms))

    def _refused_wait_reason(self) -> str:
        """Return why a request that waited for a slot gets none."""
        return REASON_LEAVING if self.stop.ended else self.evacuation.refused_wait_reason()

    def end_waits(self) -> None:
        """Refuse the requests that wait for a slot, since the node ends.

        Their callers would otherwise lose the link, and could not know that nothing was sent.
        """
        self.stop.ended = True
        self.queue.refuse_all()

    def _leave_queue(self, work: QueuedWork) -> None:
        """Stop waiting; a slot that was assigned in the meantime goes to the next request."""
        if self.queue.remove(work):
            return
        if work.slot.done() and not work.slot.cancelled() and work.slot.result():
            now_ms = self.clock.now_ms()
            self.running -= 1
            self.capacity.record_running(self.running, now_ms)
            self.rate_limit.put_back()
            self._dispatch(now_ms)

    def _dispatch(self, now_ms: float) -> None:
        while len(self.queue) and not self._is_full():
            wait_ms = self.rate_limit.wait_ms(1, now_ms)
            if wait_ms:
                self._dispatch_after(wait_ms)
                return
            work = self.queue.pop()
            if work.slot.done():
                continue
            if work.drop_at_ms <= now_ms:
                work.slot.set_result(False)
                continue
            self.metrics.timing_ms("target.wait_ms", now_ms - work.enqueued_at_ms)
            self._reserve_slot(now_ms)
            work.slot.set_result(True)

    def _dispatch_after(self, wait_ms: float) -> None:
        """Dispatch again once the target's limit allows another request."""
        if self._dispatch_timer is None:
            wait_s = max(MIN_DISPATCH_WAIT_MS, wait_ms) / 1_000
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(wait_s, self._end_dispatch_wait)

    def _end_dispatch_wait(self) -> None:
        self._dispatch_timer = None
        self._dispatch(self.clock.now_ms())

    def release_slot(self) -> None:
        """Free the slot of a request that has ended, and give it to the next one in the queue."""
        self.running -= 1
        self.control.record_completion()
        if len(self.queue) or self.capacity.active or self.health.waiting:
            now_ms = self.clock.now_ms()
            self.capacity.record_running(self.running, now_ms)
            if self.health.waiting:
                self.health.wake()
            else:
                self._dispatch(now_ms)

    def _record_arrival(self, now_ms: float) -> None:
        self._update_level(now_ms)
        self.control.record_arrival()

    def _update_level(self, now_ms: float) -> None:
        if not self.control.is_due(now_ms):
            return
        wait_ms = 0.0
        if len(self.queue):
            wait_ms = self._expected_wait_ms(len(self.queue), now_ms)
            wait_ms = max(wait_ms, self.queue.oldest_wait_ms(now_ms))
        utilisation = min(1.0, self.running / self.capacity.limit)
        self.control.observe(
            max(utilisation, self.rate_limit.utilisation(now_ms)),
            wait_ms,
            now_ms,
            self.highest_level(),
        )
        level = self.control.level
        if abs(level - self._logged_level) >= LOGGED_LEVEL_STEP:
            self._logged_level = level
            self.decisions.write(LEVEL_CHANGED, service_id=self.service_id, overload_level=level)

    async def _exchange(
        self, request: RunRequest, started_ms: float, timeout_ms: float
    ) -> RunAnswer:
        """Send a request to the target and return the outcome.

        A request is never sent twice here: if the answer to the caller's node were lost, that node
        would not know of the second time and send the request more often than its route allows.
        """
        self._record_sent(request, started_ms)
        self.bound_runs.start(request.allowed_regions)
        may_run_until_ms: float | None = started_ms + timeout_ms
        try:
            pooled = await self.pool.exchange(
                build_target_request(request, timeout_ms, self.dialect), idle_limit_ms(request)
            )
            answer = self.classify_answer(request, pooled, started_ms)
            # Without a response of its own, the target may go on with the run.
            if answer.outcome is not RunOutcome.UNKNOWN:
                may_run_until_ms = None
            return answer
        except DialError as error:
            may_run_until_ms = None
            return self._handle_dial_error(request, error)
        except (ConnectionLost, TimeoutError) as error:
            return self.unknown_answer(request, error)
        finally:
            self.bound_runs.end(
                request.allowed_regions, self.clock.now_ms(), until_ms=may_run_until_ms
            )

    def _record_sent(self, request: RunRequest, now_ms: float) -> None:
        self.metrics.count("target.sent")
        self.stated_limit.sent += 1
        self.runs.begin(request, now_ms)

    def unknown_answer(self, request: RunRequest, error: Exception) -> RunAnswer:
        """Return the answer for a request that was sent and got no response from the target."""
        return self._answers.unknown(request, error)

    def classify_answer(
        self, request: RunRequest, pooled: PooledResponse, started_ms: float
    ) -> RunAnswer:
        """Classify a response of the target; see `TargetAnswers.classify`."""
        return self._answers.classify(request, pooled, started_ms)

    def _handle_dial_error(self, request: RunRequest, error: DialError) -> RunAnswer:
        self.health.record_dial_failure()
        self.runs.end(request.request_id)
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
        return self.make_answer(RunOutcome.NOT_SENT, reason)

    def make_answer(self, outcome: RunOutcome, reason: str) -> RunAnswer:
        """Return an answer with the present load, for the link to complete."""
        return RunAnswer(0, outcome, reason, 0, "", b"", self.load(), 0)
