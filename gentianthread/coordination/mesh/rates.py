"""Enforce the rates of organisations over all nodes of a mesh.

One node counts the requests of all nodes. The others report their usage to it, and it answers with
the state of each organisation's rate.
"""

import asyncio
from collections.abc import Callable

from ...clock import Clock
from ...errors import PeerUnreachable
from ...events import COUNTER_CHANGED
from ...ids import OrganisationId
from ...logs import log
from ...protocol.messages_mesh import RateStates, UsageReport
from ...state.directory import Directory
from ...state.fleet_plan import FleetPlan
from ...state.fleet_rate import (
    FleetCounter,
    LimitChanges,
    NodeRates,
    RateAnswer,
    RateState,
    Usage,
)
from ...state.rendezvous import choose
from .peer_link import PeerLink
from .peers import PeerLinks

# Period of usage reports of a node that gets requests of an organisation near its rate, and of all
# others. 25 % more than the rate allows in 5 s may be admitted, so that four times the rate may go
# unnoticed for 0.4 s.
NEAR_LIMIT_PERIOD_MS = 200.0
REPORT_PERIOD_MS = 400.0

# Shortest time between two reports of a node that has used up what the last answer allows.
MIN_REPORT_INTERVAL_MS = 100.0

# Period of reports until the first answer. A node that has started admits only its own share of the
# rates before it.
STARTUP_PERIOD_MS = 100.0

# An organisation whose demand exceeds this fraction of its rate is near it.
NEAR_LIMIT_FRACTION = 0.7

# Number of consecutive unanswered reports after which another node is chosen to count.
MAX_UNANSWERED_REPORTS = 3

# Time for which a node that did not answer is not chosen again. It covers the loss of a link and a
# few dials, so that the choice does not switch back and forth.
EXCLUSION_MS = 3_000.0


class RateCoordinator:
    """Report this node's usage to the counting node, or count if this node is chosen.

    Attributes:
        counter: Counts for all nodes; None until this node receives a report or counts itself.
        counter_host: Address of the node that counts, or None before the first report.
    """

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
        """Create a coordinator; `run` starts its reports.

        Args:
            host: Address of this instance.
            plan: Returns the plan in force.
            directory: Upstreams that the platform lists.
            peers: Links to the other nodes.
            rates: Decides at this node which requests are within the rates.
            limits: Delays lowered rate limits until every node knows them.
            clock: Clock of the report periods.
        """
        self.host = host
        self.plan = plan
        self.directory = directory
        self.peers = peers
        self.rates = rates
        self.limits = limits
        self.clock = clock
        self.counter: FleetCounter | None = None
        self.counter_host: str | None = None
        self._unanswered_reports = 0
        # Link of the last report; None if this node counts itself.
        self._report_link: PeerLink | None = None
        self._excluded_until_ms: dict[str, float] = {}
        self._near_limit = False
        self._answered = False
        self._report_early = asyncio.Event()
        rates.on_answer_used_up = self._report_early.set
        # Organisations of the last report.
        self._reported: frozenset[OrganisationId] = frozenset()

    async def run(self) -> None:
        """Report the usage periodically until cancelled."""
        while True:
            await self._wait_for_next_report()
            if self.plan() is not None:
                await self._report()

    async def _wait_for_next_report(self) -> None:
        await self.clock.sleep_ms(MIN_REPORT_INTERVAL_MS)
        try:
            async with asyncio.timeout((self._period_ms() - MIN_REPORT_INTERVAL_MS) / 1_000):
                await self._report_early.wait()
        except TimeoutError:
            # The period has passed.
            pass
        self._report_early.clear()

    def _period_ms(self) -> float:
        if not self._answered:
            return STARTUP_PERIOD_MS
        return NEAR_LIMIT_PERIOD_MS if self._near_limit else REPORT_PERIOD_MS

    async def _report(self) -> None:
        now_ms = self.clock.now_ms()
        host = self._choose_counter_host(now_ms)
        is_new = host != self.counter_host
        if is_new:
            self.counter_host, self._unanswered_reports = host, 0
            log(COUNTER_CHANGED, peer=host)
        if host == self.host:
            if self._report_link is not None:
                self._settle_unanswered(None)
            usage = self._take_usage()
            self._apply_answer(self._count(self.host, usage, self._known_tokens(is_new)))
            return
        if self._unanswered_reports >= MAX_UNANSWERED_REPORTS:
            self._exclude(host, now_ms)
        self._unanswered_reports += 1
        try:
            link = await self.peers.link_to(host)
        except PeerUnreachable:
            self._exclude(host, now_ms)
            return
        # A process that has started again at the same address has counted nothing.
        is_new = is_new or link is not self._report_link
        if is_new:
            self._settle_unanswered(link)
        usage = self._take_usage()
        rows = tuple((name, used.admitted, used.demanded) for name, used in usage.items())
        link.post(UsageReport(rows, tuple(self._known_tokens(is_new).items()), last=False))

    def _take_usage(self) -> dict[OrganisationId, Usage]:
        usage = self.rates.take_usage()
        self._reported = frozenset(usage)
        return usage

    def _settle_unanswered(self, link: PeerLink | None) -> None:
        """Report usage again that was lost with the last link, as reports now go over another."""
        previous, self._report_link = self._report_link, link
        if previous is None:
            return
        if previous.closed or previous.silent:
            self.rates.put_back_unanswered()
            return
        self.rates.forget_unanswered()
        if previous.host != self.counter_host:
            # The nodes may disagree for a moment about which one counts. Each grants only the part
            # of the rates that belongs to the nodes that report to it.
            previous.post(UsageReport((), (), last=True))

    def _known_tokens(self, is_new: bool) -> dict[OrganisationId, float]:
        """Return what a node that begins to count for this one may not know."""
        return self.rates.known_tokens(self._limits(), self.clock.now_ms()) if is_new else {}

    def _exclude(self, host: str, now_ms: float) -> None:
        """Exclude a node that does not answer from the choice for a while."""
        self._excluded_until_ms[host] = now_ms + EXCLUSION_MS

    def _choose_counter_host(self, now_ms: float) -> str:
        """Choose the node that counts, by rendezvous hashing of the reachable nodes."""
        hosts = self.directory.hosts() | {self.host}
        candidates = [
            host
            for host in hosts
            if host == self.host
            or (self._excluded_until_ms.get(host, 0.0) <= now_ms and self.peers.reachable(host))
        ]
        return choose("fleet rate", candidates)

    def _limits(self) -> dict[OrganisationId, tuple[float, float]]:
        plan = self.plan()
        if plan is None:
            return {}
        now_ms = self.clock.now_ms()
        return {
            name: self.limits.limit(name, (organisation.rate_per_s, organisation.burst), now_ms)
            for name, organisation in plan.organisations.items()
            if organisation.rate_per_s > 0
        }

    def _count(
        self,
        source: str,
        usage: dict[OrganisationId, Usage],
        known_tokens: dict[OrganisationId, float],
    ) -> RateAnswer:
        now_ms = self.clock.now_ms()
        if self.counter is None:
            self.counter = FleetCounter(now_ms)
        nodes = len(self.directory.hosts())
        limits = self._limits()
        if known_tokens:
            self.counter.merge_known_tokens(known_tokens, limits, nodes, now_ms)
        return self.counter.report(source, usage, limits, nodes, now_ms)

    def _apply_answer(self, answer: RateAnswer) -> None:
        self._unanswered_reports = 0
        self._answered = True
        limits = self._limits()
        self._near_limit = any(
            name in limits
            and name in answer.states
            and answer.states[name].demand_per_s > NEAR_LIMIT_FRACTION * limits[name][0]
            for name in self._reported
        )
        self.rates.apply_answer(answer, self.clock.now_ms())

    def on_report(self, link: PeerLink, report: UsageReport) -> None:
        """Count the usage that another node reports, and answer with the states.

        Args:
            link: Link to that node.
            report: Its usage since its last report.
        """
        if report.last:
            if self.counter is not None:
                self.counter.forget_source(link.host)
            return
        usage = {name: Usage(admitted, demanded) for name, admitted, demanded in report.usage}
        answer = self._count(link.host, usage, dict(report.known_tokens))
        rows = tuple(
            (name, state.tokens, state.demand_per_s) for name, state in answer.states.items()
        )
        link.post(RateStates(answer.rate_fraction, rows))

    def on_states(self, link: PeerLink, message: RateStates) -> None:
        """Apply the answer of the counting node; answers of other nodes are ignored.

        Args:
            link: Link that it came on.
            message: States of the organisations near their rates.
        """
        if link is not self._report_link:
            return
        states = {name: RateState(tokens, demand) for name, tokens, demand in message.states}
        self._apply_answer(RateAnswer(message.rate_fraction, states))
