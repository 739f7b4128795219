"""Share the counting of organisations' requests between the nodes of a mesh."""

from collections.abc import Callable

from ...clock import Clock
from ...errors import PeerUnreachable
from ...events import COUNTER_CHANGED
from ...ids import OrganisationId
from ...logs import log
from ...protocol.messages_mesh import RateStates, UsageReport
from ...state.directory import Directory
from ...state.fleet_plan import FleetPlan
from ...state.fleet_rate import FleetCounter, LimitChanges, NodeRates, RateState, Usage
from ...state.rendezvous import choose
from .peer_link import PeerLink
from .peers import PeerLinks

# Period of reports while an organisation is near its rate, and otherwise. A quarter over the rate
# of 5 s may be admitted, so that a demand of four times the rate may go unnoticed for 0.4 s.
TIGHT_PERIOD_MS = 200.0
CALM_PERIOD_MS = 400.0

# An organisation whose demand exceeds this part of its rate is near it.
TIGHT_PART = 0.7

# Reports that may go unanswered before another node counts.
UNANSWERED = 3

# Time in which a node that did not answer is not asked to count again: that of a lost link and a
# few dials, so that the counting does not move back and forth.
PASSED_OVER_MS = 3_000.0


class RateSharing:
    """Report to the counting node, or count for the others."""

    def __init__(
        self,
        host: str,
        plan: Callable[[], FleetPlan | None],
        directory: Directory,
        peers: PeerLinks,
        rates: NodeRates,
        limits: LimitChanges,
        clock: Clock,
    ):
        """Create the sharing; `run` starts it.

        Args:
            host: Address of this instance.
            plan: Returns the plan in force.
            directory: Upstreams that the platform lists.
            peers: Links to the other nodes.
            rates: Decisions of this node.
            limits: Holds lowered limits back.
            clock: Clock of the periods.
        """
        self.host = host
        self.plan = plan
        self.directory = directory
        self.peers = peers
        self.rates = rates
        self.limits = limits
        self.clock = clock
        self.counter: FleetCounter | None = None
        self.counting: str | None = None
        self._unanswered = 0
        self._passed_over: dict[str, float] = {}
        self._tight = False

    async def run(self) -> None:
        """Report in every period."""
        while True:
            await self.clock.sleep_ms(TIGHT_PERIOD_MS if self._tight else CALM_PERIOD_MS)
            if self.plan() is not None:
                await self._report()

    async def _report(self) -> None:
        now_ms = self.clock.now_ms()
        host = self._choose(now_ms)
        if host != self.counting:
            self.counting, self._unanswered = host, 0
            log(COUNTER_CHANGED, peer=host)
        usage = self.rates.take_usage()
        if host == self.host:
            self._learn(self._count(self.host, usage))
            return
        if self._unanswered >= UNANSWERED:
            self._pass_over(host, now_ms)
        self._unanswered += 1
        try:
            link = await self.peers.link_to(host)
        except PeerUnreachable:
            self._pass_over(host, now_ms)
            return
        rows = tuple((name, used.admitted, used.demanded) for name, used in usage.items())
        link.post(UsageReport(rows))

    def _pass_over(self, host: str, now_ms: float) -> None:
        """Leave a node out that does not answer, for a while."""
        self._passed_over[host] = now_ms + PASSED_OVER_MS

    def _choose(self, now_ms: float) -> str:
        """Return the node that counts: the first by hash of those that answer."""
        hosts = self.directory.hosts() | {self.host}
        able = [
            host
            for host in hosts
            if host == self.host
            or (self._passed_over.get(host, 0.0) <= now_ms and self.peers.reachable(host))
        ]
        return choose("fleet rate", able)

    def _limits(self) -> dict[OrganisationId, tuple[float, float]]:
        plan = self.plan()
        if plan is None:
            return {}
        now_ms = self.clock.now_ms()
        return {
            name: self.limits.limit(name, (found.rate_per_s, found.burst), now_ms)
            for name, found in plan.organisations.items()
            if found.rate_per_s > 0
        }

    def _count(
        self, source: str, usage: dict[OrganisationId, Usage]
    ) -> dict[OrganisationId, RateState]:
        now_ms = self.clock.now_ms()
        if self.counter is None:
            self.counter = FleetCounter(now_ms)
        nodes = len(self.directory.hosts())
        return self.counter.report(source, usage, self._limits(), nodes, now_ms)

    def _learn(self, states: dict[OrganisationId, RateState]) -> None:
        self._unanswered = 0
        limits = self._limits()
        self._tight = any(
            name in limits and state.demand_per_s > TIGHT_PART * limits[name][0]
            for name, state in states.items()
        )
        self.rates.apply_states(states, self.clock.now_ms())

    def on_report(self, link: PeerLink, report: UsageReport) -> None:
        """Count for another node."""
        usage = {name: Usage(admitted, demanded) for name, admitted, demanded in report.usage}
        states = self._count(link.host, usage)
        rows = tuple(
            (name, state.tokens, state.demand_per_s, state.rate_fraction)
            for name, state in states.items()
        )
        link.post(RateStates(rows))

    def on_states(self, link: PeerLink, answer: RateStates) -> None:
        """Take the answer of the counting node."""
        if link.host != self.counting:
            return
        self._learn(
            {name: RateState(tokens, demand, part) for name, tokens, demand, part in answer.states}
        )
