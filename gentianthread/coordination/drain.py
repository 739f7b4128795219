"""Take a node out of service without cutting a request off."""

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
DRAINING = b"draining"

# Intervals vary by a quarter in both directions, so that probes of a fleet do not align. With the
# default interval of 2 s a draining target is noticed within 2.5 s; the bound is 3 s.
PROBE_JITTER = 0.25
PROBE_INTERVAL_MS = 2_000.0
PROBE_TIMEOUT_MS = 400.0

# A single probe fails under load; a target that fails this many has stopped, and is cold when it
# answers again.
FAILURES_TO_BREAK = 3

_POLL_MS = 20.0

# After its last request a leaving node stays open this long. Requests that were on their way on
# idle connections then get a refusal and not a reset.
QUIET_MS = 300.0

# Callers that go on sending, although each answer refuses and closes, delay the stop no longer than
# this; by then the fleet and the instance list show the node as leaving. Running requests have no
# such limit.
QUIET_LIMIT_MS = 3_000.0


class Drain:
    """Refuse new work, let running work finish, and tell when the node is idle."""

    def __init__(
        self,
        gateway: Gateway,
        executor: Executor,
        clock: Clock,
        announce: Callable[[], Awaitable[None]] | None = None,
        announce_return: Callable[[], Awaitable[None]] | None = None,
    ):
        """Create a drain that has not begun.

        Args:
            gateway: Refuses new requests of callers.
            executor: Refuses new work for the target.
            clock: Clock of waiting times.
            announce: Tells the peers that the node is leaving.
            announce_return: Tells the peers that the node takes work again.
        """
        self.gateway = gateway
        self.executor = executor
        self.clock = clock
        self._announce = announce
        self._announce_return = announce_return
        self._announced = False

    @property
    def running(self) -> int:
        """Return the requests in flight."""
        return self.gateway.running + self.executor.running

    async def stop_target(self) -> None:
        """Take no new work for the own target; callers are still served through other nodes."""
        if self.executor.leaving is None:
            self.executor.leaving = RefusalReason.LEAVING
            await self._tell_peers()

    async def resume_target(self) -> None:
        """Take work for the own target again, unless the node itself leaves."""
        if self.gateway.leaving or self.executor.leaving is None:
            return
        self.executor.leaving = None
        self._announced = False
        if self._announce_return is not None:
            await self._announce_return()

    async def begin(self) -> None:
        """Refuse all new requests."""
        log(NODE_LEAVING, running=self.running)
        self.gateway.leaving = True
        self.executor.leaving = RefusalReason.LEAVING
        await self._tell_peers()

    async def _tell_peers(self) -> None:
        if self._announce is not None and not self._announced:
            self._announced = True
            await self._announce()

    async def wait_idle(self) -> None:
        """Wait until nothing runs and nothing new came for a short time."""
        started_ms = quiet_since_ms = self.clock.now_ms()
        served = self.gateway.served
        while self.clock.now_ms() - quiet_since_ms < QUIET_MS:
            await self.clock.sleep_ms(_POLL_MS)
            now_ms = self.clock.now_ms()
            if self.running > 0:
                quiet_since_ms = now_ms
            elif now_ms - started_ms >= QUIET_LIMIT_MS:
                return
            elif self.gateway.served != served:
                quiet_since_ms = now_ms
            served = self.gateway.served


class TargetWatch:
    """Notice that the own target drains, or is listed as leaving, and stop its work."""

    def __init__(
        self,
        own: UpstreamId,
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
            own: Upstream of this node.
            plan: Returns the accepted plan.
            members: Says whether the own instance is listed as leaving.
            target: Reaches the target.
            drain: Stops the work of the target.
            clock: Clock of the intervals.
            metrics: Counts probes.
            on_recovered: Called when a target that failed several probes answers again.
            rng: Source of jitter.
        """
        self._own = own
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
            spread = 1 + PROBE_JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep_ms(self._interval_ms() * spread)
            await self.check()

    async def check(self) -> None:
        """Probe once and act on the result."""
        if self._listed_as_leaving() or await self._target_drains():
            await self._drain.stop_target()
        else:
            await self._drain.resume_target()

    def _interval_ms(self) -> float:
        plan = self._plan()
        upstream = None if plan is None else plan.upstreams.get(self._own)
        if upstream is None:
            return PROBE_INTERVAL_MS
        return min(PROBE_INTERVAL_MS, plan.profile_of(upstream.service_id).probe_interval_ms)

    def _listed_as_leaving(self) -> bool:
        plan = self._plan()
        upstream = None if plan is None else plan.upstreams.get(self._own)
        if upstream is not None and upstream.draining:
            return True
        # The own member state would not do: it is leaving because this watch announced it.
        return self._members is not None and self._members.listed_as_leaving

    def _note_failure(self, error: TransportError) -> None:
        self._metrics.count("target.probes_failed")
        self._failures += 1
        if self._failures == FAILURES_TO_BREAK:
            log(PROBE_FAILED, upstream_id=self._own, problem=str(error))

    def _note_success(self) -> None:
        broken = self._failures >= FAILURES_TO_BREAK
        self._failures = 0
        if broken:
            log(PROBE_RECOVERED, upstream_id=self._own)
            self._on_recovered()

    async def _target_drains(self) -> bool:
        """Return whether the target says that it drains; a failed probe says nothing."""
        self._metrics.count("target.probes")
        try:
            answer = await self._target.probe(PROBE_PATH, PROBE_TIMEOUT_MS)
        except TransportError as error:
            self._note_failure(error)
            return False
        self._note_success()
        return answer.strip() == DRAINING
