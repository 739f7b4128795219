import asyncio
from random import Random
from types import SimpleNamespace

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.rates import RateCoordinator
from gentianthread.errors import PeerUnreachable
from gentianthread.ids import AvailabilityZoneId, OrganisationId, ServiceId, UpstreamId
from gentianthread.protocol.messages_mesh import RateStates
from gentianthread.state.directory import Directory, UpstreamEntry
from gentianthread.state.fleet_rate import FleetCounter, LimitChanges, NodeRates
from gentianthread.state.rendezvous import rank

from ...base import VirtualTimeTestCase

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
ACME = OrganisationId("acme")
RATE_PER_S = 1_000.0


class ReportingLink:
    """Record the reports that are sent over a link."""

    silent = False

    def __init__(self, host=""):
        self.host = host
        self.closed = False
        self.reports = []

    def post(self, message):
        self.reports.append(message)


class ReportingPeers:
    """Open links, except for the first dials, and replace those that were closed."""

    def __init__(self, failed_dials):
        self.failed_dials = failed_dials
        self.links = [ReportingLink()]

    def reachable(self, host):
        return True

    async def link_to(self, host):
        if self.failed_dials:
            self.failed_dials -= 1
            raise PeerUnreachable(UpstreamId(host))
        if self.links[-1].closed or self.links[-1].host not in ("", host):
            self.links.append(ReportingLink())
        self.links[-1].host = host
        return self.links[-1]


class TestRateCoordinator(VirtualTimeTestCase):
    def start(self, failed_dials=0):
        """Create a coordinator beside other nodes, one of which counts."""
        clock = LoopClock()
        self.peers, self.rates = ReportingPeers(failed_dials), NodeRates(Random(1))
        directory = Directory(clock.now_ms)
        for host in HOSTS:
            directory.put(
                UpstreamEntry(
                    UpstreamId(host), ServiceId("catalogue"), host, 1, AvailabilityZoneId("a"), 1
                )
            )
        own_host = rank("fleet rate", HOSTS)[-1]
        plan = SimpleNamespace(
            organisations={ACME: SimpleNamespace(rate_per_s=RATE_PER_S, burst=RATE_PER_S)}
        )
        self.coordinator = RateCoordinator(
            own_host, lambda: plan, directory, self.peers, self.rates, LimitChanges(), clock
        )
        return clock

    def admit(self, count, clock):
        """Admit requests; all are within the share of this node."""
        for _ in range(count):
            self.assertTrue(self.rates.take(ACME, RATE_PER_S, RATE_PER_S, 1, clock.now_ms()))

    def answer(self, tokens, demand_per_s):
        self.coordinator.on_states(
            self.peers.links[-1], RateStates(1.0, ((ACME, tokens, demand_per_s),))
        )

    async def test_usage_is_reported_later_if_the_counting_node_is_unreachable(self):
        """Guards against requests above a rate because those of one period were never counted."""
        clock = self.start(failed_dials=1)
        for admitted in (3, 4):
            self.admit(admitted, clock)
            await self.coordinator._report()
        self.assertEqual([((ACME, 7, 7),)], [r.usage for r in self.peers.links[0].reports])

    async def test_usage_that_was_lost_with_a_link_is_reported_again(self):
        """Guards against requests above a rate because a report was on a link that broke."""
        clock = self.start()
        self.admit(3, clock)
        await self.coordinator._report()
        self.peers.links[0].closed = True
        self.admit(2, clock)
        await self.coordinator._report()
        self.assertEqual(((ACME, 5, 5),), self.peers.links[1].reports[0].usage)

    async def test_previous_counting_node_is_told_that_another_one_counts(self):
        """Guards against two nodes that both grant the rates of the same nodes."""
        clock = self.start()
        await self.coordinator._report()
        for _ in range(3):
            await self.coordinator._report()
        self.assertEqual([False] * 4, [r.last for r in self.peers.links[0].reports])
        # Three reports without an answer exclude the node.
        await self.coordinator._report()
        await self.coordinator._report()
        self.assertEqual([True], [r.last for r in self.peers.links[0].reports if r.last])
        self.assertEqual([False], [r.last for r in self.peers.links[1].reports][:1])
        counter = FleetCounter(clock.now_ms())
        limits = {ACME: (RATE_PER_S, RATE_PER_S)}
        for source in ("a", "b"):
            counter.report(source, {}, limits, 2, clock.now_ms())
        counter.forget_source("a")
        answer = counter.report("b", {}, limits, 2, clock.now_ms())
        self.assertAlmostEqual(FleetCounter.RATE_FRACTION_FACTOR / 2, answer.rate_fraction)

    async def test_node_that_begins_to_count_learns_the_tokens_that_are_left(self):
        """Guards against a full bucket after each restart of the counting node."""
        clock = self.start()
        await self.coordinator._report()
        self.answer(-700.0, 2_000.0)
        await self.coordinator._report()
        self.assertEqual([(), ()], [r.known_tokens for r in self.peers.links[0].reports])
        # The process at the address has started again, and counts from the beginning.
        self.peers.links[0].closed = True
        await asyncio.sleep(0.1)
        await self.coordinator._report()
        ((name, tokens),) = self.peers.links[1].reports[0].known_tokens
        self.assertEqual(ACME, name)
        self.assertAlmostEqual(-600.0, tokens)
        counter = FleetCounter(clock.now_ms())
        limits = {ACME: (RATE_PER_S, RATE_PER_S)}
        counter.merge_known_tokens({ACME: tokens}, limits, 1, clock.now_ms())
        answer = counter.report("a", {}, limits, 1, clock.now_ms())
        self.assertAlmostEqual(-600.0, answer.states[ACME].tokens)

    async def test_usage_is_reported_early_once_the_answer_is_used_up(self):
        """Guards against an excess that is noticed only with the next report of each node."""
        clock = self.start()
        task = asyncio.ensure_future(self.coordinator.run())
        await asyncio.sleep(0.15)
        self.answer(0.0, 0.0)
        reports = len(self.peers.links[0].reports)
        await asyncio.sleep(0.15)
        self.assertEqual(reports, len(self.peers.links[0].reports))
        for _ in range(600):
            self.rates.take(ACME, RATE_PER_S, RATE_PER_S, len(HOSTS), clock.now_ms())
        await asyncio.sleep(0.01)
        self.assertEqual(reports + 1, len(self.peers.links[0].reports))
        task.cancel()
