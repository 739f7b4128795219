import asyncio
from collections import Counter
from random import Random

import attrs

from gentianthread.clock import LoopClock
from gentianthread.coordination.load_router import LoadRouter
from gentianthread.errors import NoUpstream, Refused
from gentianthread.ids import (
    AvailabilityZoneId,
    NodeIdentity,
    Outcome,
    RefusalReason,
    StartNumber,
    UpstreamId,
)
from gentianthread.state.members import Member, MemberState, StaticMembers
from gentianthread.state.shed_levels import FADE_MS, HOLD_MS
from gentianthread.state.work import ShedLevel

from ..base import VirtualTimeTestCase
from ..plans import small_plan
from ..work_items import work_item

SHEDS_ALL = ShedLevel(threshold=4.0, running=4, limit=4)
CALM = ShedLevel(running=1, limit=4)
NONE = frozenset()


def member(upstream, state=MemberState.LIVE, start_number=1):
    identity = NodeIdentity(
        upstream.upstream_id, upstream.availability_zone, StartNumber(start_number)
    )
    return Member(identity, state)


class RouterTestCase(VirtualTimeTestCase):
    def make(self, upstreams=4, zone="larisa-a", zones=("larisa-a", "volos-a")):
        self.plan = small_plan(upstreams_per_service=upstreams, zones=zones)
        self.members = StaticMembers([member(up) for up in self.plan.upstreams.values()])
        self.router = LoadRouter(
            lambda: self.plan, self.members, AvailabilityZoneId(zone), LoopClock(), Random(5)
        )
        return self.router

    def set_state(self, name, state, start_number=1):
        self.members.set(member(self.plan.upstreams[UpstreamId(name)], state, start_number))

    def answer(self, name, outcome=Outcome.SUCCESS, latency_ms=10.0, level=CALM, item=None):
        self.router.attempt_started(name)
        self.router.attempt_finished(name, outcome, latency_ms, level, item or work_item())

    def chosen(self, number=400, excluded=NONE):
        return Counter(self.router.choose(work_item(), excluded) for _ in range(number))


class TestChoose(RouterTestCase):
    async def test_own_zone_first(self):
        """Guards against traffic between zones while the own zone has room."""
        self.make()
        self.assertEqual({"catalogue-0", "catalogue-2"}, set(self.chosen()))

    async def test_spills_as_local_upstreams_saturate(self):
        """Guards against a full zone that refuses while other zones are idle."""
        self.make()
        for name in ("catalogue-0", "catalogue-2"):
            for _ in range(4):
                self.router.attempt_started(name)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.chosen()))

    async def test_spills_when_local_upstreams_shed(self):
        """Guards against requests sent to an upstream whose level refuses them."""
        self.make()
        for name in ("catalogue-0", "catalogue-2"):
            self.answer(name, Outcome.REFUSED, level=SHEDS_ALL)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.chosen()))

    async def test_never_an_excluded_upstream(self):
        """Guards against a retry at the upstream that has just failed."""
        self.make()
        excluded = frozenset({"catalogue-0", "catalogue-1", "catalogue-2"})
        self.assertEqual({"catalogue-3"}, set(self.chosen(excluded=excluded)))
        everything = excluded | {"catalogue-3"}
        with self.assertRaisesType(NoUpstream):
            self.router.choose(work_item(), everything)

    async def test_leaving_member_gets_nothing_new(self):
        """Guards against new work for a target that shuts down (P10)."""
        self.make()
        self.set_state("catalogue-0", MemberState.LEAVING)
        self.set_state("catalogue-2", MemberState.FAILED)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.chosen()))

    async def test_draining_upstream_gets_nothing_new(self):
        """Guards against new work for an upstream that operators drain."""
        self.make(upstreams=1)
        upstream = attrs.evolve(self.plan.upstreams["catalogue-0"], draining=True)
        self.plan = attrs.evolve(self.plan, upstreams={"catalogue-0": upstream})
        with self.assertRaisesType(NoUpstream):
            self.router.choose(work_item(), NONE)

    async def test_partition(self):
        """Guards against work for unreachable zones, or none at all in the own zone."""
        self.make()
        for name in ("catalogue-1", "catalogue-3"):
            self.set_state(name, MemberState.UNREACHABLE)
        for name in ("catalogue-0", "catalogue-2"):
            for _ in range(4):
                self.router.attempt_started(name)
        self.assertEqual({"catalogue-0", "catalogue-2"}, set(self.chosen()))
        for name in ("catalogue-0", "catalogue-2"):
            self.set_state(name, MemberState.UNREACHABLE)
        with self.assertRaisesType(NoUpstream) as caught:
            self.router.choose(work_item(), NONE)
        self.assertTrue(caught.exception.not_run)

    async def test_suspect_member_gets_less(self):
        """Guards against one wrong observer that removes a member, or changes nothing."""
        self.make(zones=("larisa-a",))
        self.set_state("catalogue-0", MemberState.SUSPECT)
        found = self.chosen(2000)
        self.assertTrue(0 < found["catalogue-0"] < 0.7 * found["catalogue-1"], found)

    async def test_slow_upstream_gets_less(self):
        """Guards against routing that ignores latency."""
        self.make(zones=("larisa-a",))
        for _ in range(20):
            for index in range(4):
                self.answer(f"catalogue-{index}", latency_ms=30.0 if index == 0 else 10.0)
        self.assertEqual(0, self.chosen()["catalogue-0"])

    async def test_misleading_load_report(self):
        """Guards against a target that reports no load while it answers slowly or fails."""
        self.make(zones=("larisa-a",))
        idle = ShedLevel(running=0, limit=1000)
        for _ in range(20):
            for index in range(4):
                self.answer(
                    f"catalogue-{index}",
                    latency_ms=90.0 if index == 0 else 40.0,
                    level=idle if index == 0 else CALM,
                )
        self.assertEqual(0, self.chosen()["catalogue-0"])


class TestEjection(RouterTestCase):
    async def test_failing_upstream_is_left_out_and_returns_without_a_herd(self):
        """Guards against a herd on a recovered upstream that is idle and looks best."""
        self.make(zones=("larisa-a",))
        for index in range(4):
            for _ in range(20):
                self.answer(f"catalogue-{index}")
        for _ in range(5):
            self.answer("catalogue-0", Outcome.FAILURE)
        self.assertEqual(0, self.chosen()["catalogue-0"])
        for index in range(1, 4):
            for _ in range(3):
                self.router.attempt_started(f"catalogue-{index}")
        await asyncio.sleep(0.85)
        first = self.chosen()["catalogue-0"]
        await asyncio.sleep(2.5)
        later = self.chosen()["catalogue-0"]
        self.assertLess(first, 80)
        self.assertGreater(later, 100)

    async def test_all_failing_leaves_half_the_pool(self):
        """Guards against ejection that empties the pool."""
        self.make(zones=("larisa-a",))
        for index in range(4):
            for _ in range(10):
                self.answer(f"catalogue-{index}", Outcome.TIMEOUT)
        self.assertEqual(2, len(self.chosen()))

    async def test_restarted_process_starts_with_little(self):
        """Guards against a herd on a new process that has no outstanding work."""
        self.make(zones=("larisa-a",))
        for index in range(4):
            for _ in range(20):
                self.answer(f"catalogue-{index}")
            self.router.attempt_started(f"catalogue-{index}")
        await asyncio.sleep(10)
        self.set_state("catalogue-0", MemberState.LIVE, start_number=2)
        self.assertLess(self.chosen()["catalogue-0"], 80)


class TestCheckEarly(RouterTestCase):
    def is_refused(self, item=None):
        try:
            self.router.check_early(item or work_item())
        except Refused as refusal:
            self.assertTrue(refusal.not_run)
            return refusal.reason
        return None

    def shed_everywhere(self, level=SHEDS_ALL):
        for name in self.plan.upstreams:
            self.answer(name, Outcome.REFUSED, level=level)

    async def test_root_work_is_refused_when_all_upstreams_shed_it(self):
        """Guards against work that crosses the network only to be refused."""
        self.make()
        self.shed_everywhere()
        self.assertEqual(RefusalReason.SHED, self.is_refused())
        self.assertIsNone(self.is_refused(work_item(depth=1)))

    async def test_an_upstream_with_room_takes_everything(self):
        """Guards against refusals while another zone has room."""
        self.make()
        self.shed_everywhere()
        self.answer("catalogue-3", level=CALM)
        self.assertIsNone(self.is_refused())
        self.assertEqual({"catalogue-3"}, set(self.chosen()))

    async def test_levels_of_another_service_and_depth_do_not_count(self):
        """Guards against a level in the ranks of another depth, or of an inner service."""
        self.make()
        self.shed_everywhere()
        self.assertIsNotNone(self.router.pool_level(work_item()))
        self.assertIsNone(self.router.pool_level(work_item(service="orders")))
        self.assertIsNone(self.router.pool_level(work_item(depth=2)))

    async def test_unheard_upstream_is_tried(self):
        """Guards against refusals for a pool of which only a part has answered."""
        self.make()
        self.answer("catalogue-0", Outcome.REFUSED, level=SHEDS_ALL)
        found = Counter(self.is_refused() for _ in range(100))
        self.assertEqual(3, found[None])

    async def test_stale_level_does_not_refuse_for_ever(self):
        """Guards against an entry node that hears nothing more because it refuses everything."""
        self.make()
        self.shed_everywhere()
        await asyncio.sleep((HOLD_MS + FADE_MS / 2) / 1000)
        found = Counter(self.is_refused() for _ in range(200))
        self.assertTrue(60 < found[None] < 140, found)
        await asyncio.sleep(FADE_MS / 2 / 1000)
        self.assertIsNone(self.is_refused())

    async def test_doomed_work_is_refused_at_the_root(self):
        """Guards against work with less time left than the rest of its chain needs."""
        self.make()
        for _ in range(20):
            self.answer("catalogue-0", latency_ms=300.0)
        now_ms = LoopClock().now_ms()
        short, long = now_ms + 100, now_ms + 400
        found = Counter(self.is_refused(work_item(deadline_at_ms=short)) for _ in range(50))
        self.assertEqual({RefusalReason.DOOMED: 49, None: 1}, found)
        self.assertIsNone(self.is_refused(work_item(deadline_at_ms=long)))

    async def test_doomed_work_is_let_through_again(self):
        """Guards against a chain time from a slow phase that refuses everything from then on."""
        self.make()
        for _ in range(20):
            self.answer("catalogue-0", latency_ms=3000.0)
        await asyncio.sleep(8)
        self.assertIsNone(self.is_refused(work_item(deadline_at_ms=LoopClock().now_ms() + 200)))

    async def test_expired_work_is_refused(self):
        """Guards against work that starts after its deadline."""
        self.make()
        item = work_item(deadline_at_ms=LoopClock().now_ms())
        self.assertEqual(RefusalReason.DEADLINE_EXCEEDED, self.is_refused(item))
