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
    """Run a test with a fleet that has settled."""

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
    # Nothing comes from outside the loop, so it need not wait before it advances the time.
    loop_options = {"start": 0, "noop_cycles": 0}

    @with_fleet()
    async def test_calm_fleet(self, fleet):
        """Guards against nodes that never agree or see failures where there are none."""
        self.assertEqual(1, len(fleet.digests()))
        for name in fleet.names:
            self.assertEqual({LIVE}, fleet.states_of(name))
            self.assertEqual(4, len(fleet.members[name].neighbours()))
            self.assertEqual(12, len(fleet.members[name].all()))

    @with_fleet()
    async def test_dead_node_is_dropped_within_3_s(self, fleet):
        """Guards against work that goes to a dead node."""
        await fleet.kill("b1")
        await fleet.clock.sleep_ms(3_000)
        self.assertEqual({FAILED}, fleet.states_of("b1"))
        self.assertFalse(fleet.members["a0"].takes_work("b1"))
        for members in fleet.members.values():
            self.assertNotIn("b1", members.neighbours())

    @with_fleet()
    async def test_one_wrong_observer(self, fleet):
        """Guards against one broken link that drops a healthy node."""
        observer = "a0"
        victim = fleet.members[observer].neighbours()[0]
        fleet.fabric.cut({observer}, {victim})
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name not in (observer, victim)]
        self.assertEqual({SUSPECT}, fleet.states_of(victim, seen_by))
        self.assertTrue(fleet.members["c3"].takes_work(victim))
        fleet.fabric.heal()
        await fleet.clock.sleep_ms(3_000)
        self.assertEqual({LIVE}, fleet.states_of(victim))

    @with_fleet()
    async def test_two_observers(self, fleet):
        """Guards against a node that stays in routing although two observers miss it."""
        victim = "b2"
        observers = [
            name for name, members in fleet.members.items() if victim in members.neighbours()
        ]
        near = [name for name in observers if name[0] == "b"]
        other = next(name for name in observers if name != near[0])
        fleet.fabric.cut({near[0], other}, {victim})
        await fleet.clock.sleep_ms(4_000)
        seen_by = [name for name in fleet.names if name != victim]
        self.assertEqual({FAILED}, fleet.states_of(victim, seen_by))

    @with_fleet()
    async def test_paused_node_returns(self, fleet):
        """Guards against a node that stays dropped after its process resumed."""
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
        """Guards against a half-dead node that its own requests keep in routing."""
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
        """Guards against new work for a leaving node that the list still has as live (P10)."""
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LEAVING}, fleet.states_of("a2"))
        fleet.publish_list(fleet.names)
        await fleet.clock.sleep_ms(2_000)
        self.assertEqual({LEAVING}, fleet.states_of("a2"))
        self.assertFalse(fleet.members["b0"].takes_work("a2"))

    @with_fleet()
    async def test_node_that_takes_work_again(self, fleet):
        """Guards against a drained node that the fleet never sends work to again."""
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        await fleet.members["a2"].rejoin()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LIVE}, fleet.states_of("a2"))

    @with_fleet()
    async def test_leaving_announcement_that_links_lose(self, fleet):
        """Guards against a leaving node that keeps getting work because a message was lost."""
        fleet.fabric.default_conditions = PathConditions(loss=0.2)
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(3_000)
        for name in fleet.names:
            self.assertFalse(fleet.members[name].takes_work("a2"))

    @with_fleet()
    async def test_node_listed_as_leaving_learns_it(self, fleet):
        """Guards against a node that takes work until the platform stops it (P10)."""
        fleet.revision += 1
        reader = fleet.members["a1"]
        reader._receive_instance_list(fleet.make_list(fleet.names, leaving=("b3",)))
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual(LEAVING, fleet.members["b3"].get("b3").state)
        self.assertEqual({LEAVING}, fleet.states_of("b3"))

    @with_fleet()
    async def test_removed_from_the_list(self, fleet):
        """Guards against work for an instance that the platform removed."""
        await fleet.kill("c2")
        fleet.publish_list([name for name in fleet.names if name != "c2"])
        self.assertEqual({FAILED}, fleet.states_of("c2"))

    @with_fleet()
    async def test_restarted_node_while_the_old_one_speaks(self, fleet):
        """Guards against an old process that hides its successor."""
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
        """Guards against a restarted node that reports on its predecessor keep out."""
        await fleet.kill("b0")
        await fleet.clock.sleep_ms(4_000)
        fleet.start("b0", start_number=7)
        await fleet.clock.sleep_ms(2_000)
        self.assertEqual({LIVE}, fleet.states_of("b0"))

    @with_fleet()
    async def test_new_node_learns_the_fleet(self, fleet):
        """Guards against a new node that the fleet does not know, or the other way round."""
        fleet.names.append("c9")
        fleet.start("c9")
        await fleet.clock.sleep_ms(2_500)
        self.assertEqual({LIVE}, fleet.states_of("c9"))
        self.assertEqual(13, len(fleet.members["c9"].all()))
        self.assertEqual(1, len(fleet.digests()))

    @with_fleet()
    async def test_duplicates_are_not_passed_on(self, fleet):
        """Guards against a flood that goes round for ever."""
        fleet.fabric.default_conditions = PathConditions(duplication=0.5)
        await fleet.members["a2"].leave()
        await fleet.clock.sleep_ms(1_000)
        before = fleet.fabric.sent_messages
        await fleet.clock.sleep_ms(10_000)
        # Ten exchanges with 4 neighbours and as many answers, some of them doubled.
        exchanges = 10 * 12 * 4 * 2 * 1.5
        self.assertTrue(fleet.fabric.sent_messages - before < exchanges * 1.2)

    @with_fleet(zones="abcd")
    async def test_cut_off_zone_carries_on(self, fleet):
        """Guards against a cut-off zone that loses its own members or keeps the others."""
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
        """Guards against a graceful shutdown that a partition hides from the own zone."""
        fleet.cut_zone("a")
        await fleet.clock.sleep_ms(4_000)
        await fleet.members["a1"].leave()
        await fleet.clock.sleep_ms(1_000)
        self.assertEqual({LEAVING}, fleet.states_of("a1", fleet.zone("a") - {"a1"}))

    @with_fleet(zones="abcd", per_zone=10)
    async def test_healing_without_a_message_storm(self, fleet):
        """Guards against a healed zone that stays out, or whose return floods the links."""
        before = fleet.fabric.sent_messages
        await fleet.clock.sleep_ms(10_000)
        calm = fleet.fabric.sent_messages - before
        fleet.cut_zone("a")
        await fleet.clock.sleep_ms(30_000)
        before = fleet.fabric.sent_messages
        fleet.fabric.heal()
        await fleet.clock.sleep_ms(10_000)
        healing = fleet.fabric.sent_messages - before
        for name in fleet.names:
            self.assertEqual({LIVE}, fleet.states_of(name))
        self.assertEqual(1, len(fleet.digests()))
        # Each of 40 nodes may send 20 batches to 8 contacts and compare with each twice.
        self.assertTrue(healing < calm + 40 * 8 * 24, (calm, healing))

    @with_fleet(zones="abc")
    async def test_broken_path_between_two_zones(self, fleet):
        """Guards against two zones that the third one drops because they miss each other."""
        fleet.fabric.cut(fleet.zone("a"), fleet.zone("b"))
        await fleet.clock.sleep_ms(4_000)
        for name in fleet.zone("a") | fleet.zone("b"):
            for viewer in fleet.zone("c"):
                self.assertTrue(fleet.members[viewer].takes_work(name))
        for name in fleet.zone("a"):
            self.assertEqual({UNREACHABLE}, fleet.states_of(name, fleet.zone("b")))

    @with_fleet()
    async def test_lossy_links_drop_nobody(self, fleet):
        """Guards against healthy nodes that lost messages drop."""
        fleet.fabric.default_conditions = PathConditions(delay_ms=5, jitter_ms=5, loss=0.05)
        wrong = []
        for members in fleet.members.values():
            members.changes.subscribe(
                lambda member: wrong.append(member) if member.state is FAILED else None
            )
        await fleet.clock.sleep_ms(120_000)
        self.assertEqual([], wrong)

    async def test_single_node(self):
        """Guards against an error in a fleet of one."""
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
