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
LOW_LOAD = ShedLevel(running=1, limit=4)
NO_UPSTREAMS = frozenset()


def member(upstream, state=MemberState.LIVE, start_number=1):
    identity = NodeIdentity(
        upstream.upstream_id, upstream.availability_zone, StartNumber(start_number)
    )
    return Member(identity, state)


class RouterTestCase(VirtualTimeTestCase):
    def make_router(self, upstreams=4, zone="larisa-a", zones=("larisa-a", "volos-a")):
        self.plan = small_plan(upstreams_per_service=upstreams, zones=zones)
        self.members = StaticMembers([member(up) for up in self.plan.upstreams.values()])
        self.router = LoadRouter(
            lambda: self.plan, self.members, AvailabilityZoneId(zone), LoopClock(), Random(5)
        )
        return self.router

    def set_member_state(self, name, state, start_number=1):
        self.members.set(member(self.plan.upstreams[UpstreamId(name)], state, start_number))

    def record_answer(
        self, name, outcome=Outcome.SUCCESS, latency_ms=10.0, level=LOW_LOAD, item=None
    ):
        self.router.attempt_started(name)
        self.router.attempt_finished(name, outcome, latency_ms, level, item or work_item())

    def count_choices(self, number=400, excluded=NO_UPSTREAMS):
        return Counter(self.router.choose(work_item(), excluded) for _ in range(number))


class TestChoose(RouterTestCase):
    async def test_local_zone_is_preferred(self):
        """Guards against cross-zone traffic while the local zone has capacity."""
        self.make_router()
        self.assertEqual({"catalogue-0", "catalogue-2"}, set(self.count_choices()))

    async def test_spills_as_local_upstreams_saturate(self):
        """Guards against refusals in a saturated zone while other zones are idle."""
        self.make_router()
        for name in ("catalogue-0", "catalogue-2"):
            for _ in range(4):
                self.router.attempt_started(name)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.count_choices()))

    async def test_spills_when_local_upstreams_shed(self):
        """Guards against requests sent to an upstream whose reported level sheds them."""
        self.make_router()
        for name in ("catalogue-0", "catalogue-2"):
            self.record_answer(name, Outcome.REFUSED, level=SHEDS_ALL)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.count_choices()))

    async def test_excluded_upstream_is_never_chosen(self):
        """Guards against a retry at the upstream that has just failed."""
        self.make_router()
        excluded = frozenset({"catalogue-0", "catalogue-1", "catalogue-2"})
        self.assertEqual({"catalogue-3"}, set(self.count_choices(excluded=excluded)))
        all_upstreams = excluded | {"catalogue-3"}
        with self.assertRaisesType(NoUpstream):
            self.router.choose(work_item(), all_upstreams)

    async def test_leaving_member_gets_no_new_requests(self):
        """Guards against new requests for a target that is shutting down (P10)."""
        self.make_router()
        self.set_member_state("catalogue-0", MemberState.LEAVING)
        self.set_member_state("catalogue-2", MemberState.FAILED)
        self.assertEqual({"catalogue-1", "catalogue-3"}, set(self.count_choices()))

    async def test_draining_upstream_gets_no_new_requests(self):
        """Guards against new requests for an upstream that operators drain."""
        self.make_router(upstreams=1)
        upstream = attrs.evolve(self.plan.upstreams["catalogue-0"], draining=True)
        self.plan = attrs.evolve(self.plan, upstreams={"catalogue-0": upstream})
        with self.assertRaisesType(NoUpstream):
            self.router.choose(work_item(), NO_UPSTREAMS)

    async def test_partition(self):
        """Guards against requests to unreachable zones, and refusals by a saturated local one."""
        self.make_router()
        for name in ("catalogue-1", "catalogue-3"):
            self.set_member_state(name, MemberState.UNREACHABLE)
        for name in ("catalogue-0", "catalogue-2"):
            for _ in range(4):
                self.router.attempt_started(name)
        self.assertEqual({"catalogue-0", "catalogue-2"}, set(self.count_choices()))
        for name in ("catalogue-0", "catalogue-2"):
            self.set_member_state(name, MemberState.UNREACHABLE)
        with self.assertRaisesType(NoUpstream) as caught:
            self.router.choose(work_item(), NO_UPSTREAMS)
        self.assertTrue(caught.exception.not_run)

    async def test_suspect_member_gets_fewer_requests(self):
        """Guards against one observer's report that removes a member or has no effect."""
        self.make_router(zones=("larisa-a",))
        self.set_member_state("catalogue-0", MemberState.SUSPECT)
        counts = self.count_choices(2000)
        self.assertTrue(0 < counts["catalogue-0"] < 0.7 * counts["catalogue-1"], counts)

    async def test_slow_upstream_gets_fewer_requests(self):
        """Guards against routing that ignores latency."""
        self.make_router(zones=("larisa-a",))
        for _ in range(20):
            for index in range(4):
                self.record_answer(f"catalogue-{index}", latency_ms=30.0 if index == 0 else 10.0)
        self.assertEqual(0, self.count_choices()["catalogue-0"])

    async def test_misleading_load_report(self):
        """Guards against traffic to a slow target because it reports no load."""
        self.make_router(zones=("larisa-a",))
        idle_level = ShedLevel(running=0, limit=1000)
        for _ in range(20):
            for index in range(4):
                self.record_answer(
                    f"catalogue-{index}",
                    latency_ms=90.0 if index == 0 else 40.0,
                    level=idle_level if index == 0 else LOW_LOAD,
                )
        self.assertEqual(0, self.count_choices()["catalogue-0"])


class TestEjection(RouterTestCase):
    async def test_ejected_upstream_returns_gradually(self):
        """Guards against a thundering herd on a recovered upstream because it has no load."""
        self.make_router(zones=("larisa-a",))
        for index in range(4):
            for _ in range(20):
                self.record_answer(f"catalogue-{index}")
        for _ in range(5):
            self.record_answer("catalogue-0", Outcome.FAILURE)
        self.assertEqual(0, self.count_choices()["catalogue-0"])
        for index in range(1, 4):
            for _ in range(3):
                self.router.attempt_started(f"catalogue-{index}")
        await asyncio.sleep(0.85)
        count_after_return = self.count_choices()["catalogue-0"]
        await asyncio.sleep(2.5)
        count_after_ramp = self.count_choices()["catalogue-0"]
        self.assertLess(count_after_return, 80)
        self.assertGreater(count_after_ramp, 100)

    async def test_at_most_half_of_the_pool_is_ejected(self):
        """Guards against ejection of the whole pool when all its upstreams fail."""
        self.make_router(zones=("larisa-a",))
        for index in range(4):
            for _ in range(10):
                self.record_answer(f"catalogue-{index}", Outcome.TIMEOUT)
        self.assertEqual(2, len(self.count_choices()))

    async def test_restarted_process_ramps_up(self):
        """Guards against a thundering herd on a new process because it has no load."""
        self.make_router(zones=("larisa-a",))
        for index in range(4):
            for _ in range(20):
                self.record_answer(f"catalogue-{index}")
            self.router.attempt_started(f"catalogue-{index}")
        await asyncio.sleep(10)
        self.set_member_state("catalogue-0", MemberState.LIVE, start_number=2)
        self.assertLess(self.count_choices()["catalogue-0"], 80)


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
            self.record_answer(name, Outcome.REFUSED, level=level)

    async def test_root_request_is_refused_when_all_upstreams_shed_it(self):
        """Guards against requests that cross the network only to be refused."""
        self.make_router()
        self.shed_everywhere()
        self.assertEqual(RefusalReason.SHED, self.is_refused())
        self.assertIsNone(self.is_refused(work_item(depth=1)))

    async def test_an_upstream_with_capacity_gets_all_requests(self):
        """Guards against refusals while another zone has capacity."""
        self.make_router()
        self.shed_everywhere()
        self.record_answer("catalogue-3", level=LOW_LOAD)
        self.assertIsNone(self.is_refused())
        self.assertEqual({"catalogue-3"}, set(self.count_choices()))

    async def test_levels_of_another_service_and_depth_do_not_count(self):
        """Guards against shedding by the level of another service or another call depth."""
        self.make_router()
        self.shed_everywhere()
        self.assertIsNotNone(self.router.pool_level(work_item()))
        self.assertIsNone(self.router.pool_level(work_item(service="orders")))
        self.assertIsNone(self.router.pool_level(work_item(depth=2)))

    async def test_upstream_without_a_known_level_is_probed(self):
        """Guards against refusals by the level of one upstream while the others are unknown."""
        self.make_router()
        self.record_answer("catalogue-0", Outcome.REFUSED, level=SHEDS_ALL)
        counts = Counter(self.is_refused() for _ in range(100))
        self.assertEqual(3, counts[None])

    async def test_stale_level_expires(self):
        """Guards against an entry node that refuses all requests and so gets no newer level."""
        self.make_router()
        self.shed_everywhere()
        await asyncio.sleep((HOLD_MS + FADE_MS / 2) / 1000)
        counts = Counter(self.is_refused() for _ in range(200))
        self.assertTrue(60 < counts[None] < 140, counts)
        await asyncio.sleep(FADE_MS / 2 / 1000)
        self.assertIsNone(self.is_refused())

    async def test_doomed_request_is_refused_at_the_root(self):
        """Guards against requests with less remaining time than their route takes."""
        self.make_router()
        for _ in range(20):
            self.record_answer("catalogue-0", latency_ms=300.0)
        now_ms = LoopClock().now_ms()
        short_deadline_ms, long_deadline_ms = now_ms + 100, now_ms + 400
        counts = Counter(
            self.is_refused(work_item(deadline_at_ms=short_deadline_ms)) for _ in range(50)
        )
        self.assertEqual({RefusalReason.DOOMED: 49, None: 1}, counts)
        self.assertIsNone(self.is_refused(work_item(deadline_at_ms=long_deadline_ms)))

    async def test_route_latency_of_a_slow_phase_expires(self):
        """Guards against the latency of a slow phase that keeps refusing requests afterwards."""
        self.make_router()
        for _ in range(20):
            self.record_answer("catalogue-0", latency_ms=3000.0)
        await asyncio.sleep(8)
        self.assertIsNone(self.is_refused(work_item(deadline_at_ms=LoopClock().now_ms() + 200)))

    async def test_expired_request_is_refused(self):
        """Guards against requests that start after their deadline."""
        self.make_router()
        item = work_item(deadline_at_ms=LoopClock().now_ms())
        self.assertEqual(RefusalReason.DEADLINE_EXCEEDED, self.is_refused(item))
