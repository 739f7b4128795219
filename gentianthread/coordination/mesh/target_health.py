"""Find out whether the target of this node is cold or gone, by its answers and health checks."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Any

from ...clock import Clock
from ...decisions import DecisionLog
from ...errors import ConnectionLost, DialError
from ...events import HEALTH_CHECK_FAILED, TARGET_COLD, TARGET_WARM
from ...ids import ServiceId
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...state.directory import UpstreamEntry, UpstreamState
from ...state.fleet_plan import FleetService
from ...state.latency_shift import LatencyShift
from ...state.stated_limit import parse_limit
from ...state.warm_up import WarmUp
from ...transport.target_pool import PooledResponse, ReusedConnectionLost, TargetPool
from .target_message import build_health_check

# After this many consecutive failed dials, requests are refused without a dial for UNREACHABLE_MS.
DIAL_FAILURES_LIMIT = 2
UNREACHABLE_MS = 500.0

# Time within which a crashed target cannot accept connections again as its next start. Targets
# that close each connection after its answer would otherwise be checked before every request.
MIN_RESTART_MS = 100.0

# Time for the answer to a health check. A cold target answers slowly; one under overload may
# never answer, and the next check must not wait long.
HEALTH_TIMEOUT_MS = 1_000.0

# Delay before the next check after one that told nothing. Where nothing listens, a check costs no
# slot, and the target is limited as cold until one succeeds.
RETRY_DELAY_MS = 200.0
DIAL_RETRY_DELAY_MS = 100.0

# Least time between checks of a warm target whose latency rose. A check takes about 6 ms of a
# slot, so that this costs at most 0.3% of one.
LATENCY_CHECK_INTERVAL_MS = 2_000.0

# Longest time for which a check waits for a wake-up before it tries to get a slot again.
SLOT_POLL_MS = 50.0

# Time after which the overload level of the target is mainly that of the limit. After a shorter
# one, as that of a check, the level is still the one of the warm target.
LEVEL_LAG_MS = 500.0

# Shortest wait; rounding can leave a time that is too short for the clock of the event loop.
MIN_SLEEP_MS = 1.0

# Maximum log lines per second about changes of the state, and about failed checks.
LINES_PER_S = 4

HTTP_OK = 200


class TargetHealth:
    """Keep `WarmUp` up to date, and remember whether connections to the target fail.

    While the configuration limits no cold targets, no health check is sent.

    Attributes:
        warm_up: The known state of the target and its limit while it is cold.
        waiting: Whether a check waits for a slot; it gets the next one.
        may_check: Returns whether anything may be sent to the target at present.
        reserve: Reserves a slot and the sending of one check, and returns whether it did.
        release: Called when a check has ended, with whether it was sent.
        on_change: Called after the target became cold or warm, with whether it became warm after
            so long a time that its overload level is that of the limit.
    """

    def __init__(
        self,
        address: tuple[str, int],
        pool: TargetPool,
        dialect: HttpDialect,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create the state of a target of which nothing is known.

        Args:
            address: IP address and port of the target.
            pool: Connections to the target.
            dialect: Names of header fields.
            clock: Clock of the checks.
            metrics: Counts the checks.
        """
        self.warm_up = WarmUp(clock.now_ms())
        self.waiting = False
        self.may_check: Callable[[], bool] = lambda: True
        self.reserve: Callable[[float], bool] = lambda now_ms: False
        self.release: Callable[[bool], None] = lambda sent: None
        self.on_change: Callable[[bool], None] = lambda warm: None
        self._address = address
        self._pool = pool
        self._dialect = dialect
        self._request_id_field = dialect.request_id.lower()
        self._instance_field = dialect.instance.lower()
        self._warm_up_field = dialect.warm_up.lower()
        self._not_run_field = dialect.not_run.lower()
        self._clock = clock
        self._metrics = metrics
        self._changes = DecisionLog(clock, LINES_PER_S)
        self._failures = DecisionLog(clock, LINES_PER_S)
        self._service: FleetService | None = None
        self._entry: UpstreamEntry | None = None
        self._wake = asyncio.Event()
        self._logged_problem = ""
        self._numbers = count(1)
        self._next_check_ms = float("-inf")
        self._latency = LatencyShift()
        self._latency_checked_ms = float("-inf")
        self._check_wanted = False
        # Targets that do not echo the id of a check need a connection of their own for it.
        self._echoes_id = True
        # Time at which the start whose state is known was last seen to be there.
        self._alive_ms = float("-inf")
        self._dial_failures = 0
        self._unreachable_until_ms = float("-inf")
        self._was_cold = False
        self._cold_since_ms = 0.0
        self._sent_cold = 0
        self._reason = "node has started"

    # What the node learns of the target.

    def configure(self, service: FleetService | None, overage: float, slack: float) -> None:
        """Set the bound of the service; unchanged values change nothing.

        Args:
            service: The service of the target, or None if it is not known.
            overage: Factor by which the rate of a cold target may be exceeded.
            slack: Requests in a second that are allowed in addition.
        """
        if service is None:
            # The rate is not known yet. Settings that bound cold targets allow at least the slack.
            self.warm_up.configure(0.0, slack, 1.0, 0.0)
        else:
            self.warm_up.configure(service.warm_up_ms, service.warm_up_per_s, overage, slack)
        self._service = service
        self._note_change()

    def record_entry(self, entry: UpstreamEntry | None) -> None:
        """Record what the directory lists at the address of the target; repeats change nothing."""
        known = self._entry
        if entry is None or entry is known:
            return
        self._entry = entry
        if known is None or _start_of(known) != _start_of(entry):
            if known is not None:
                self.suspect("upstream has started again")
        elif (known.write_number, known.warm_up_ms) == (entry.write_number, entry.warm_up_ms):
            self._wake.set()
            return
        if entry.warm_up_ms > 0:
            self._reason = "its entry says so"
            self.warm_up.record_remaining(entry.warm_up_ms, self._clock.now_ms())
        self._note_change()

    def suspect(self, reason: str) -> None:
        """Treat the target as cold until a health check tells that it is warm.

        Args:
            reason: Why its state is unknown, for the log.
        """
        self._reason = reason
        self.warm_up.suspect(self._clock.now_ms())
        self._next_check_ms = float("-inf")
        self._note_change()

    def check_connections(self, now_ms: float) -> None:
        """Suspect the target if it can have started again without notice.

        A crash ends all connections, so that one which is still open leads to the same start.
        """
        if not self.warm_up.enabled or self.warm_up.unknown:
            return
        if self._pool.has_open_connection():
            self._alive_ms = now_ms
        elif now_ms - self._alive_ms > MIN_RESTART_MS:
            self._record_connections_lost("no connection to it is left", now_ms)

    def record_loss(self) -> None:
        """Record that a connection failed while the target ran a request."""
        if self.warm_up.enabled and not self._pool.has_open_connection():
            self._record_connections_lost("all connections to it failed", self._clock.now_ms())

    def record_dial_failure(self) -> None:
        """Record that no connection could be opened."""
        now_ms = self._clock.now_ms()
        self._dial_failures += 1
        if self._dial_failures >= DIAL_FAILURES_LIMIT:
            self._unreachable_until_ms = now_ms + UNREACHABLE_MS
        if self.warm_up.enabled:
            self._record_connections_lost("it accepts no connection", now_ms)

    def _record_connections_lost(self, reason: str, now_ms: float) -> None:
        was_unknown = self.warm_up.unknown
        self.warm_up.record_connections_lost(now_ms)
        if not was_unknown:
            self._metrics.count("target.suspected")
            self._reason = reason
            self._next_check_ms = float("-inf")
        self._note_change()

    def record_answer(self, now_ms: float) -> None:
        """Record that the target answered a request."""
        self._dial_failures = 0
        self._alive_ms = now_ms

    def record_latency(self, took_ms: float, now_ms: float) -> None:
        """Record the time of a request, and check a warm target that became slow."""
        if not self.warm_up.enabled or self.warm_up.is_cold(now_ms):
            return
        self._latency.record(took_ms)
        if (
            self._latency.has_doubled()
            and now_ms - self._latency_checked_ms >= LATENCY_CHECK_INTERVAL_MS
        ):
            self._latency_checked_ms = now_ms
            self._check_wanted = True
            self._wake.set()

    def is_unreachable(self, now_ms: float) -> bool:
        """Return whether the last dials failed, so that requests are refused without one."""
        return now_ms < self._unreachable_until_ms

    def describe(self, now_ms: float) -> dict[str, Any]:
        """Return the state of the target for the dump."""
        warm_up = self.warm_up
        return {
            "cold": warm_up.is_cold(now_ms),
            "state_known": not warm_up.unknown,
            "warm_up_left_ms": warm_up.remaining_ms(now_ms),
            "warm_up_limit": warm_up.limit,
        }

    # Health checks.

    def wake(self) -> None:
        """Look again whether a check can be sent, as a slot became free."""
        self._wake.set()

    async def run(self) -> None:
        """Send health checks when they are due; runs until it is cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._check()
            finally:
                self.waiting = False
                self.on_change(False)

    def _is_due(self, now_ms: float) -> bool:
        entry = self._entry
        return (
            self.warm_up.enabled
            and self._service is not None
            and (self.warm_up.unknown or self._check_wanted)
            and entry is not None
            and entry.state is not UpstreamState.DRAINING
            and now_ms >= self._next_check_ms
            and self.may_check()
        )

    async def _wait_until_due(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            self._note_change()
            if self._is_due(now_ms):
                return
            self._wake.clear()
            remaining_ms = self.warm_up.remaining_ms(now_ms)
            waits_ms = [
                wait_ms for wait_ms in (self._next_check_ms - now_ms, remaining_ms) if wait_ms > 0
            ]
            await self._sleep(min(waits_ms) if self.warm_up.enabled and waits_ms else None)

    async def _sleep(self, duration_ms: float | None) -> None:
        """Wait until the next wake-up, or until a time has passed."""
        try:
            if duration_ms is not None:
                duration_ms = max(MIN_SLEEP_MS, duration_ms)
            async with asyncio.timeout(None if duration_ms is None else duration_ms / 1_000):
                await self._wake.wait()
        except TimeoutError:
            pass

    async def _check(self) -> None:
        """Send one health check as soon as limit and slots allow it, and apply its answer."""
        self.waiting = True
        while not self.reserve(now_ms := self._clock.now_ms()):
            self._wake.clear()
            wait_ms = self.warm_up.wait_ms(1, now_ms) or SLOT_POLL_MS
            await self._sleep(min(wait_ms, SLOT_POLL_MS))
            if not self._is_due(self._clock.now_ms()):
                return
        self.waiting = False
        # Requests that waited behind the check do not wait for its answer.
        self.on_change(False)
        entry, revision, was_unknown = self._entry, self.warm_up.revision, self.warm_up.unknown
        self._check_wanted = False
        self._metrics.count("target.health_checks")
        is_sent, retry_delay_ms = True, RETRY_DELAY_MS
        try:
            pooled = await self._exchange(entry, self._service)
            problem = self._apply(pooled, entry, revision)
        except DialError as error:
            is_sent, retry_delay_ms = False, DIAL_RETRY_DELAY_MS
            problem = error.problem
            self.record_dial_failure()
        except ConnectionLost as error:
            problem = error.problem
            if isinstance(error, ReusedConnectionLost):
                # The target may only have closed a connection that was idle for long.
                retry_delay_ms = 0.0
            self.record_loss()
        except TimeoutError:
            problem = "no answer in time"
        finally:
            self.release(is_sent)
        now_ms = self._clock.now_ms()
        if problem:
            self._metrics.count("target.health_checks_failed")
            self._log_failure(problem)
            if not was_unknown:
                self.suspect(f"health check failed: {problem}")
            self._next_check_ms = now_ms + retry_delay_ms
        else:
            self._logged_problem = ""
        self._note_change()

    def _log_failure(self, problem: str) -> None:
        """Log why a check failed, once for a series of checks that fail for the same reason."""
        if problem == self._logged_problem:
            return
        self._logged_problem = problem
        service_id = "" if self._service is None else self._service.service_id
        self._failures.write(HEALTH_CHECK_FAILED, service_id=service_id, problem=problem)

    async def _exchange(self, entry: UpstreamEntry, service: FleetService) -> PooledResponse:
        request_id = f"health-{entry.upstream_id}-{next(self._numbers)}-{self._clock.now_ms():.0f}"
        host, port = self._address
        request = build_health_check(
            entry.upstream_id,
            f"{host}:{port}",
            service.health_path,
            request_id,
            HEALTH_TIMEOUT_MS,
            self._dialect,
        )
        # -1 matches no kept connection.
        pooled = await self._pool.exchange(request, None if self._echoes_id else -1.0)
        self._echoes_id = pooled.fields.get(self._request_id_field) == request_id
        return pooled

    def _apply(self, pooled: PooledResponse, entry: UpstreamEntry, revision: int) -> str:
        """Take over what a response tells, and return why it tells nothing, or an empty string."""
        status, fields, now_ms = pooled.response.status, pooled.fields, self._clock.now_ms()
        if not self._echoes_id and not pooled.on_new_connection:
            # It may be a copy of an earlier response on this connection.
            return "answer without the id of the check"
        self.record_answer(now_ms)
        self._unreachable_until_ms = float("-inf")
        if status != HTTP_OK or self._not_run_field in fields:
            return f"status {status}"
        if fields.get(self._instance_field) != entry.upstream_id:
            return "another instance answered"
        text = fields.get(self._warm_up_field)
        remaining_ms = 0.0 if text is None else parse_limit(text)
        if remaining_ms is None:
            return "malformed time"
        if remaining_ms > 0:
            self._reason = "it says so"
        if not self.warm_up.record_remaining(remaining_ms, now_ms, revision):
            # Checked again at once: the answer is older than what made the state unknown.
            self._next_check_ms = float("-inf")
        return ""

    def _note_change(self) -> None:
        """Log and report a change between cold and warm, and look for the next check."""
        now_ms = self._clock.now_ms()
        is_cold = self.warm_up.is_cold(now_ms)
        self._wake.set()
        if is_cold == self._was_cold:
            return
        self._was_cold = is_cold
        service_id = ServiceId("") if self._service is None else self._service.service_id
        if is_cold:
            self._cold_since_ms, self._sent_cold = now_ms, self.warm_up.sent
            self._changes.write(
                TARGET_COLD,
                service_id=service_id,
                reason=self._reason,
                limit_per_s=self.warm_up.limit,
            )
        else:
            self._latency = LatencyShift()
            self._changes.write(
                TARGET_WARM,
                service_id=service_id,
                sent=self.warm_up.sent - self._sent_cold,
                period_ms=now_ms - self._cold_since_ms,
            )
        self.on_change(not is_cold and now_ms - self._cold_since_ms >= LEVEL_LAG_MS)


def _start_of(entry: UpstreamEntry) -> tuple[str, int]:
    return entry.upstream_id, entry.started_at_ms
