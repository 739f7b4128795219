import functools

from gentianthread.coordination.peer_network import PathConditions
from gentianthread.ids import NodeIdentity
from gentianthread.state.members import MemberState

from ..base import VirtualTimeTestCase
from .fleets import Fleet

LIVE, SUSPECT = MemberState.LIVE, MemberState.SUSPECT
LEAVING, FAILED = MemberState.LEAVING, MemberState.FAILED
UNREACHABLE = MemberState.UNREACHABLE


def with_fleet(**options):
    """Run a test with a fleet whose nodes have had time to find each other."""

    def decorate(method):
        @functools.wraps(method)
        async def run(self):
            fleet = Fleet(**options)
            try:
                await fleet.start_all()
                await method(self, fleet)
            finally:
                await fleet.close()

        return run

    return decorate


class TestMembership(VirtualTimeTestCase):
    # No events come from outside the loop, so it can advance the time without waiting.
    loop_options = {"start": 0, "noop_cycles": 0}

    @with_fleet()
    async def test_fleet_without_faults_agrees(self, fleet):
        """Guards against nodes whose tables never converge and against false failures."""
        self.assertEqual(1, len(fleet.digests()))
        for name in fleet.names:
            self.assertEqual({LIVE}, fleet.states_of(name))
            self.assertEqual(4, len(fleet.members[name].neighbours()))
            self.assertEqual(12, len(fleet.members[name].all()))

    @with_fleet()
    async def test_dead_node_is_dropped_within_3_s(self, fleet):
        """Guards against requests that are sent to a dead node."""
        await fleet.kill("b1")
        await fleet.clock.sleep_ms(3_000)
        self.assertEqual({FAILED}, fleet.states_of("b1"))
        self.assertFalse(fleet.members["a0"].takes_work("b1"))
        for members in fleet.members.values():
            self.assertNotIn("b1", members.neighbours())

    @with_fleet()
    async def test_one_silent_report_does_not_drop_a_node(self, fleet):
        """Guards against a healthy node that is dropped because one link to it is broken."""
        observer = "a0"
        observed_node = fleet.members[observer].neighbours()[0]
        fleet.fabric.cut({observer}, {observed_node})
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name not in (observer, observed_node)]
        self.assertEqual({SUSPECT}, fleet.states_of(observed_node, seen_by))
        self.assertTrue(fleet.members["c3"].takes_work(observed_node))
        fleet.fabric.heal()
        await fleet.clock.sleep_ms(3_000)
        self.assertEqual({LIVE}, fleet.states_of(observed_node))

    @with_fleet()
    async def test_two_silent_reports_drop_a_node(self, fleet):
        """Guards against a node that stays in routing although two observers report it."""
        observed_node = "b2"
        observers = [
            name for name, members in fleet.members.items() if observed_node in members.neighbours()
        ]
        near = [name for name in observers if name[0] == "b"]
        other = next(name for name in observers if name != near[0])
        fleet.fabric.cut({near[0], other}, {observed_node})
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name != observed_node]
        self.assertEqual({FAILED}, fleet.states_of(observed_node, seen_by))

    @with_fleet()
    async def test_paused_node_returns(self, fleet):
        """Guards against a paused node that stays dropped after its process resumes."""
        network = fleet.members["c1"].network
        network.running.clear()
        others = set(fleet.names) - {"c1"}
        for other in others:
            fleet.fabric.conditions["c1", other] = PathConditions(cut=True)
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name != "c1"]
        self.assertEqual({FAILED}, fleet.states_of("c1", seen_by))
        fleet.fabric.heal()
        network.running.set()
        await fleet.clock.sleep_ms(3_000)
        for name in fleet.names:
            self.assertEqual({LIVE}, fleet.states_of(name))

    @with_fleet()
    async def test_node_that_sends_but_never_answers(self, fleet):
        """Guards against a node that stays in routing because it still sends requests."""
        fleet.members["c1"].network.running.clear()
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name != "c1"]
        self.assertEqual({FAILED}, fleet.states_of("c1", seen_by))
        before = fleet.metrics["c2"].counters["members.heard_again"]
        await fleet.clock.sleep_ms(10_000)
        self.assertEqual({FAILED}, fleet.states_of("c1", seen_by))
        self.assertEqual(before, fleet.metrics["c2"].counters["members.heard_again"])

    @with_fleet()
    async def test_leaving_node_while_the_list_lags(self, fleet):
        """Guards against new requests to a leaving node that is still listed as live (P10)."""
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LEAVING}, fleet.states_of("a2"))
        fleet.publish_list(fleet.names)
        await fleet.clock.sleep_ms(2_000)
        self.assertEqual({LEAVING}, fleet.states_of("a2"))
        self.assertFalse(fleet.members["b0"].takes_work("a2"))

    @with_fleet()
    async def test_node_that_takes_work_again(self, fleet):
        """Guards against a node that announces its return and gets no requests."""
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        await fleet.members["a2"].rejoin()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LIVE}, fleet.states_of("a2"))

    @with_fleet()
    async def test_leaving_announcement_that_links_lose(self, fleet):
        """Guards against a leaving node that still gets requests because a message was lost."""
        fleet.fabric.default_conditions = PathConditions(loss=0.2)
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(3_000)
        for name in fleet.names:
            self.assertFalse(fleet.members[name].takes_work("a2"))

    @with_fleet()
    async def test_node_listed_as_leaving_learns_it(self, fleet):
        """Guards against a node that accepts requests until the platform stops it (P10)."""
        fleet.revision += 1
        reader = fleet.members["a1"]
        reader._receive_instance_list(fleet.make_list(fleet.names, leaving=("b3",)))
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual(LEAVING, fleet.members["b3"].get("b3").state)
        self.assertEqual({LEAVING}, fleet.states_of("b3"))

    @with_fleet()
    async def test_removed_from_the_list(self, fleet):
        """Guards against requests to an instance that the platform removed."""
        await fleet.kill("c2")
        fleet.publish_list([name for name in fleet.names if name != "c2"])
        self.assertEqual({FAILED}, fleet.states_of("c2"))

    @with_fleet()
    async def test_newer_process_supersedes_one_that_still_runs(self, fleet):
        """Guards against an old process whose messages hide its replacement."""
        old = fleet.members["b0"]
        fleet.stopped.append(old)
        fleet.start("b0", start_number=7)
        await fleet.clock.sleep_ms(4_000)
        for viewer in fleet.names:
            member = fleet.members[viewer].get("b0")
            self.assertEqual((7, LIVE), (member.identity.start_number, member.state))
        self.assertTrue(old.superseded.is_set())
        self.assertFalse(fleet.members["b0"].superseded.is_set())

    @with_fleet()
    async def test_restart_of_a_dropped_node(self, fleet):
        """Guards against a restarted node that is dropped for reports about its predecessor."""
        await fleet.kill("b0")
        await fleet.clock.sleep_ms(4_000)
        fleet.start("b0", start_number=7)
        await fleet.clock.sleep_ms(2_000)
        self.assertEqual({LIVE}, fleet.states_of("b0"))

    @with_fleet()
    async def test_new_node_learns_the_fleet(self, fleet):
        """Guards against a new node and a fleet that do not learn of each other."""
        fleet.names.append("c9")
        fleet.start("c9")
        await fleet.clock.sleep_ms(2_500)
        self.assertEqual({LIVE}, fleet.states_of("c9"))
        self.assertEqual(13, len(fleet.members["c9"].all()))
        self.assertEqual(1, len(fleet.digests()))

    @with_fleet()
    async def test_duplicates_are_not_passed_on(self, fleet):
        """Guards against records that are forwarded in a loop."""
        fleet.fabric.default_conditions = PathConditions(duplication=0.5)
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        before = fleet.fabric.sent_messages
        await fleet.clock.sleep_ms(10_000)
        # Ten exchanges with 4 neighbours and as many answers, some of them duplicated.
        exchanges = 10 * 12 * 4 * 2 * 1.5
        self.assertTrue(fleet.fabric.sent_messages - before < exchanges * 1.2)

    @with_fleet(zones="abcd")
    async def test_zone_that_is_cut_off_keeps_its_members(self, fleet):
        """Guards against a cut-off zone that drops its own members or keeps the others live."""
        fleet.cut_zone("a")
        await fleet.clock.sleep_ms(4_000)
        inside, outside = fleet.zone("a"), set(fleet.names) - fleet.zone("a")
        for name in inside:
            self.assertEqual({LIVE}, fleet.states_of(name, inside))
            self.assertEqual({UNREACHABLE}, fleet.states_of(name, outside))
        for name in outside:
            self.assertEqual({LIVE}, fleet.states_of(name, outside))
            self.assertEqual({UNREACHABLE}, fleet.states_of(name, inside))

    @with_fleet(zones="abcd")
    async def test_leaving_inside_a_cut_off_zone(self, fleet):
        """Guards against a graceful shutdown that its own zone does not see in a partition."""
        fleet.cut_zone("a")
        await fleet.clock.sleep_ms(4_000)
        await fleet.members["a1"].leave()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LEAVING}, fleet.states_of("a1", fleet.zone("a") - {"a1"}))

    @with_fleet(zones="abcd", per_zone=10)
    async def test_healing_without_a_message_storm(self, fleet):
        """Guards against a reconnected zone that stays unreachable or causes a message burst."""
        before = fleet.fabric.sent_messages
        await fleet.clock.sleep_ms(10_000)
        idle_messages = fleet.fabric.sent_messages - before
        fleet.cut_zone("a")
        await fleet.clock.sleep_ms(30_000)
        before = fleet.fabric.sent_messages
        fleet.fabric.heal()
        await fleet.clock.sleep_ms(10_000)
        healing_messages = fleet.fabric.sent_messages - before
        for name in fleet.names:
            self.assertEqual({LIVE}, fleet.states_of(name))
        self.assertEqual(1, len(fleet.digests()))
        # Each of 40 nodes may send 20 batches to 8 contacts and reconcile with each twice.
        self.assertTrue(
            healing_messages < idle_messages + 40 * 8 * 24, (idle_messages, healing_messages)
        )

    @with_fleet(zones="abc")
    async def test_broken_path_between_two_zones(self, fleet):
        """Guards against a third zone that drops two zones because they cannot reach each other."""
        fleet.fabric.cut(fleet.zone("a"), fleet.zone("b"))
        await fleet.clock.sleep_ms(4_000)
        for name in fleet.zone("a") | fleet.zone("b"):
            for viewer in fleet.zone("c"):
                self.assertTrue(fleet.members[viewer].takes_work(name))
        for name in fleet.zone("a"):
            self.assertEqual({UNREACHABLE}, fleet.states_of(name, fleet.zone("b")))

    @with_fleet()
    async def test_lossy_links_drop_nobody(self, fleet):
        """Guards against healthy nodes that are dropped because messages were lost."""
        fleet.fabric.default_conditions = PathConditions(delay_ms=5, jitter_ms=5, loss=0.05)
        failed_members = []
        for members in fleet.members.values():
            members.changes.subscribe(
                lambda member: failed_members.append(member) if member.state is FAILED else None
            )
        await fleet.clock.sleep_ms(120_000)
        self.assertEqual([], failed_members)

    async def test_single_node(self):
        """Guards against an error in a fleet of one node."""
        fleet = Fleet(zones="a", per_zone=1)
        try:
            await fleet.start_all()
            members = fleet.members["a0"]
            self.assertEqual([NodeIdentity("a0", "a", 1)], [m.identity for m in members.all()])
            self.assertTrue(members.takes_work("a0"))
            self.assertEqual((), members.neighbours())
        finally:
            await fleet.close()

    @with_fleet()
    async def test_reachable_in_a_zone(self, fleet):
        """Guards against quota holders that poll dead nodes or those of other zones."""
        await fleet.kill("b1")
        await fleet.members["b2"].leave()
        await fleet.clock.sleep_ms(3_000)
        members = fleet.members["a0"]
        self.assertEqual(["b0", "b2", "b3"], members.reachable("b"))
        self.assertEqual(11, len(members.reachable()))
        self.assertEqual([], members.reachable("z"))
