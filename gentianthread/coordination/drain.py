"""Take a node, or its target alone, out of service without aborting a request."""

import random
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..errors import TransportError
from ..events import NODE_LEAVING, PROBE_FAILED, PROBE_RECOVERED
from ..ids import RefusalReason, UpstreamId
from ..logs import log
from ..metrics import Metrics
from ..state.members import Members
from ..state.plan import Plan
from ..transport.http_client import TargetClient
from .executor import Executor
from .gateway import Gateway

PROBE_PATH = "/.gentian/probe"
DRAINING_ANSWER = b"draining"

# Intervals vary by 25 % in both directions, so that the probes of a fleet don't synchronise. With
# the default interval of 2 s a draining target is detected within 2.5 s; the limit is 3 s.
PROBE_JITTER = 0.25
PROBE_INTERVAL_MS = 2_000.0
PROBE_TIMEOUT_MS = 400.0

# A single probe can fail under load. A target that fails this many in a row counts as down; it is
# cold when it answers again.
DOWN_AFTER_FAILURES = 3

_POLL_MS = 20.0

# A leaving node keeps its connections open for this long after its last request, so that requests
# that are already in transit on idle connections get a refusal instead of a connection reset.
IDLE_MS = 300.0

# Callers that keep sending, although each answer refuses the request and closes the connection,
# delay the stop by no more than this; by then the other nodes and the instance list show the node
# as leaving. Running requests delay the stop without limit.
IDLE_WAIT_LIMIT_MS = 3_000.0


class Drain:
    """Refuse new requests, let running ones finish, and wait until the node is idle."""

    def __init__(
        self,
        gateway: Gateway,
        executor: Executor,
        clock: Clock,
        announce: Callable[[], Awaitable[None]] | None = None,
        announce_return: Callable[[], Awaitable[None]] | None = None,
    ):
        """Create a drain; `begin` starts it.

        Args:
            gateway: Refuses new requests of callers.
            executor: Refuses new requests for the local target.
            clock: Clock of waiting times.
            announce: Informs the peers that the node is leaving.
            announce_return: Informs the peers that the node accepts requests again.
        """
        self.gateway = gateway
        self.executor = executor
        self.clock = clock
        self._announce = announce
        self._announce_return = announce_return
        self._announced = False

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self.gateway.running + self.executor.running

    async def refuse_target_work(self) -> None:
        """Refuse new requests for the local target; callers are still served by other nodes."""
        if self.executor.leaving is None:
            self.executor.leaving = RefusalReason.LEAVING
            await self._announce_leaving()

    async def accept_target_work(self) -> None:
        """Accept requests for the local target again, unless the whole node is leaving."""
        if self.gateway.leaving or self.executor.leaving is None:
            return
        self.executor.leaving = None
        self._announced = False
        if self._announce_return is not None:
            await self._announce_return()

    async def begin(self) -> None:
        """Refuse all new requests and announce that the node is leaving."""
        log(NODE_LEAVING, running=self.running)
        self.gateway.leaving = True
        self.executor.leaving = RefusalReason.LEAVING
        await self._announce_leaving()

    async def _announce_leaving(self) -> None:
        if self._announce is not None and not self._announced:
            self._announced = True
            await self._announce()

    async def wait_idle(self) -> None:
        """Wait until no request has been running or arriving for `IDLE_MS`.

        After `IDLE_WAIT_LIMIT_MS` it returns as soon as no request is running, even if callers
        keep sending new ones, which are refused.
        """
        started_ms = idle_since_ms = self.clock.now_ms()
        served = self.gateway.served
        while self.clock.now_ms() - idle_since_ms < IDLE_MS:
            await self.clock.sleep_ms(_POLL_MS)
            now_ms = self.clock.now_ms()
            if self.running > 0:
                idle_since_ms = now_ms
            elif now_ms - started_ms >= IDLE_WAIT_LIMIT_MS:
                return
            elif self.gateway.served != served:
                idle_since_ms = now_ms
            served = self.gateway.served


class TargetWatch:
    """Probe the local target, and refuse requests for it while it drains or leaves."""

    def __init__(
        self,
        local_upstream_id: UpstreamId,
        plan: Callable[[], Plan | None],
        members: Members | None,
        target: TargetClient,
        drain: Drain,
        clock: Clock,
        metrics: Metrics,
        on_recovered: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
    ):
        """Create a watch; `run` starts it.

        Args:
            local_upstream_id: Upstream of this node.
            plan: Returns the accepted plan.
            members: Shows whether the local instance is listed as leaving.
            target: Sends the probes.
            drain: Refuses or accepts requests for the target.
            clock: Clock of the intervals.
            metrics: Counts probes.
            on_recovered: Called when a target that was down answers again.
            rng: Source of jitter.
        """
        self._local_upstream_id = local_upstream_id
        self._plan = plan
        self._members = members
        self._target = target
        self._drain = drain
        self._clock = clock
        self._metrics = metrics
        self._on_recovered = on_recovered
        self._failures = 0
        self._random = rng or random.Random()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            jitter = 1 + PROBE_JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep_ms(self._interval_ms() * jitter)
            await self.check()

    async def check(self) -> None:
        """Probe once and act on the result."""
        if self._listed_as_leaving() or await self._target_is_draining():
            await self._drain.refuse_target_work()
        else:
            await self._drain.accept_target_work()

    def _interval_ms(self) -> float:
        plan = self._plan()
        upstream = None if plan is None else plan.upstreams.get(self._local_upstream_id)
        if upstream is None:
            return PROBE_INTERVAL_MS
        return min(PROBE_INTERVAL_MS, plan.profile_of(upstream.service_id).probe_interval_ms)

    def _listed_as_leaving(self) -> bool:
        plan = self._plan()
        upstream = None if plan is None else plan.upstreams.get(self._local_upstream_id)
        if upstream is not None and upstream.draining:
            return True
        # The state of the local member isn't used: this watch itself sets it to leaving when it
        # announces a draining target, and the target could then never return to service.
        return self._members is not None and self._members.listed_as_leaving

    def _record_failure(self, error: TransportError) -> None:
        self._metrics.count("target.probes_failed")
        self._failures += 1
        if self._failures == DOWN_AFTER_FAILURES:
            log(PROBE_FAILED, upstream_id=self._local_upstream_id, problem=str(error))

    def _record_success(self) -> None:
        was_down = self._failures >= DOWN_AFTER_FAILURES
        self._failures = 0
        if was_down:
            log(PROBE_RECOVERED, upstream_id=self._local_upstream_id)
            self._on_recovered()

    async def _target_is_draining(self) -> bool:
        """Return whether the target reports that it drains; a failed probe counts as no."""
        self._metrics.count("target.probes")
        try:
            answer = await self._target.probe(PROBE_PATH, PROBE_TIMEOUT_MS)
        except TransportError as error:
            self._record_failure(error)
            return False
        self._record_success()
        return answer.strip() == DRAINING_ANSWER
