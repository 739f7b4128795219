import asyncio
from random import Random

import attrs

from gentianthread.clock import LoopClock
from gentianthread.coordination.target_admission import TargetAdmission
from gentianthread.errors import Refused, UnknownEntryError
from gentianthread.ids import Outcome, Priority, ProfileId, RefusalReason, ServiceId, UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.state.plan import Profile
from gentianthread.state.shed_levels import HOLD_MS, threshold_for
from gentianthread.state.work import ShedLevel

from ..base import VirtualTimeTestCase
from ..work_items import work_item

PROFILE = Profile(ProfileId("lookup"), slow_start_ms=1_000.0, queue_limit=40)


def make_admission(slots=4, profile=PROFILE, **options):
    return TargetAdmission(
        UpstreamId("catalogue-0"), profile, slots, LoopClock(), random=Random(1), **options
    )


class LoadGenerator:
    """Generate open-loop load on an admission and count sent and completed requests by label."""

    def __init__(self, admission, service_ms=50.0):
        self.admission = admission
        self.service_ms = service_ms
        self.clock = LoopClock()
        self.sent, self.done, self.refused, self.waits = {}, {}, {}, []
        self.tasks = set()

    async def send_request(self, label, deadline_ms, **fields):
        self.sent[label] = self.sent.get(label, 0) + 1
        arrived_ms = self.clock.now_ms()
        item = work_item(deadline_at_ms=arrived_ms + deadline_ms, **fields)
        try:
            permit = await self.admission.admit(item)
        except Refused as refusal:
            assert refusal.not_run
            self.refused[refusal.reason] = self.refused.get(refusal.reason, 0) + 1
            return
        started_ms = self.clock.now_ms()
        self.waits.append(started_ms - arrived_ms)
        await self.clock.sleep_ms(self.service_ms)
        permit.release(Outcome.SUCCESS, self.clock.now_ms() - started_ms)
        self.done[label] = self.done.get(label, 0) + 1

    async def run(self, label, rate_per_s, duration_ms, deadline_ms=1000.0, **fields):
        end_ms = self.clock.now_ms() + duration_ms
        random = Random(label)
        while self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(random.expovariate(rate_per_s) * 1000)
            task = asyncio.ensure_future(self.send_request(label, deadline_ms, **fields))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def success_rate(self, label):
        return self.done.get(label, 0) / self.sent[label]


class TestTargetAdmission(VirtualTimeTestCase):
    async def test_limit_is_never_exceeded(self):
        """Guards against a target that runs more requests than its published slots."""
        admission = make_admission()
        permits = [await admission.admit(work_item()) for _ in range(4)]
        waiting = asyncio.ensure_future(admission.admit(work_item()))
        await asyncio.sleep(0)
        self.assertEqual((4, 1, False), (admission.running, admission.queued(), waiting.done()))
        permits[0].release(Outcome.SUCCESS, 1.0)
        await waiting
        self.assertEqual((4, 0), (admission.running, admission.queued()))

    async def test_second_release_does_nothing(self):
        """Guards against a double release that lets one request too many run."""
        admission = make_admission()
        permits = [await admission.admit(work_item()) for _ in range(2)]
        permits[0].release(Outcome.SUCCESS, 1.0)
        permits[0].release(Outcome.SUCCESS, 1.0)
        self.assertEqual(1, admission.running)

    async def test_cancelled_waiter_leaves_the_queue(self):
        """Guards against cancelled requests that still fill the queue."""
        admission = make_admission(slots=1)
        permit = await admission.admit(work_item())
        waiting = asyncio.ensure_future(admission.admit(work_item()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(0, admission.queued())
        permit.release(Outcome.SUCCESS, 1.0)
        self.assertEqual(0, admission.running)

    async def test_waiter_cancelled_after_its_permit_was_granted(self):
        """Guards against a slot that leaks when a waiter is cancelled after getting its permit."""
        admission = make_admission(slots=1)
        permit = await admission.admit(work_item())
        waiting = asyncio.ensure_future(admission.admit(work_item()))
        await asyncio.sleep(0)
        permit.release(Outcome.SUCCESS, 1.0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(0, admission.running)

    async def test_deadline_expires_in_the_queue(self):
        """Guards against requests that start after their deadline."""
        admission = make_admission(slots=1)
        permit = await admission.admit(work_item())
        expiring_item = work_item(deadline_at_ms=LoopClock().now_ms() + 30)
        with self.assertRaisesType(Refused) as caught:
            await admission.admit(expiring_item)
        self.assertEqual(RefusalReason.DEADLINE_EXCEEDED, caught.exception.reason)
        self.assertTrue(caught.exception.not_run)
        self.assertAlmostEqual(30, LoopClock().now_ms(), delta=2)
        self.assertEqual(0, admission.queued())
        permit.release(Outcome.SUCCESS, 1.0)

    async def test_expired_work_is_refused_on_arrival(self):
        """Guards against requests that arrive after their deadline and still use a slot."""
        admission = make_admission()
        with self.assertRaisesType(Refused):
            await admission.admit(work_item(deadline_at_ms=LoopClock().now_ms()))
        self.assertEqual(0, admission.running)

    async def test_work_that_cannot_end_in_time_is_refused(self):
        """Guards against slots used by requests whose remaining time is under the service time."""
        admission = make_admission()
        generator = LoadGenerator(admission, service_ms=100.0)
        await generator.run("warm", 20, 2_000)
        with self.assertRaisesType(Refused) as caught:
            await admission.admit(work_item(deadline_at_ms=LoopClock().now_ms() + 60))
        self.assertEqual(RefusalReason.DEADLINE_EXCEEDED, caught.exception.reason)

    async def test_full_queue_refuses_the_least_important(self):
        """Guards against a full queue that refuses important work."""
        admission = make_admission(slots=1, profile=attrs.evolve(PROFILE, queue_limit=2))
        await admission.admit(work_item())
        tasks = [
            asyncio.ensure_future(admission.admit(work_item(priority=priority)))
            for priority in (Priority.NORMAL, Priority.NORMAL, Priority.IMPORTANT)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(2, admission.queued())
        self.assertEqual([False, True, False], [task.done() for task in tasks])
        self.assertEqual(RefusalReason.QUEUE_FULL, tasks[1].exception().reason)

    async def test_cold_target_ramps_up(self):
        """Guards against a cold target that gets its full limit immediately."""
        admission = make_admission(slots=100, cold=True)
        limits = []
        for _ in range(5):
            limits.append(admission.level().limit)
            await asyncio.sleep(0.25)
        self.assertEqual(sorted(limits), limits)
        self.assertEqual((10, 100), (limits[0], limits[-1]))

    async def test_revised_profile_drops_no_request(self):
        """Guards against a configuration change that drops running or queued requests."""
        admission = make_admission(slots=2)
        permits = [await admission.admit(work_item()) for _ in range(2)]
        waiting = [asyncio.ensure_future(admission.admit(work_item())) for _ in range(5)]
        await asyncio.sleep(0)
        admission.revise(attrs.evolve(PROFILE, queue_order="fifo", limiter="aimd"), 1)
        self.assertEqual((2, 5), (admission.running, admission.queued()))
        for permit in permits:
            permit.release(Outcome.SUCCESS, 1.0)
        for task in waiting:
            (await task).release(Outcome.SUCCESS, 1.0)
        self.assertEqual((0, 0), (admission.running, admission.queued()))

    async def test_revision_with_an_unknown_name_changes_nothing(self):
        """Guards against a partially applied profile."""
        admission = make_admission()
        invalid_profile = attrs.evolve(PROFILE, queue_order="fiffo")
        self.assertRaises(UnknownEntryError, admission.revise, invalid_profile, 1)
        self.assertEqual((PROFILE, 4), (admission.profile, admission.slots))

    async def test_more_slots_start_queued_requests(self):
        """Guards against queued requests that do not start when the published slots increase."""
        admission = make_admission(slots=1)
        await admission.admit(work_item())
        waiting = asyncio.ensure_future(admission.admit(work_item()))
        await asyncio.sleep(0)
        admission.revise(PROFILE, 2)
        await waiting
        self.assertEqual(2, admission.running)


class TestOverload(VirtualTimeTestCase):
    # Idle loop cycles before each time step make long load runs slow.
    loop_options = {"start": 0, "noop_cycles": 0}

    async def test_queue_over_its_target_sheds(self):
        """Guards against a standing queue at twice the capacity (80/s here)."""
        admission = make_admission()
        generator = LoadGenerator(admission)
        await generator.run("all", 160, 15_000)
        self.assertGreater(generator.done["all"], 0.9 * 80 * 15)
        self.assertLess(sorted(generator.waits)[len(generator.waits) // 2], 200)
        self.assertGreater(generator.refused[RefusalReason.SHED], 300)

    async def test_important_work_is_shed_last(self):
        """Guards against important requests that are shed because of normal ones (P2)."""
        generator = LoadGenerator(make_admission())
        await asyncio.gather(
            generator.run("normal", 200, 15_000),
            generator.run("important", 30, 15_000, priority=Priority.IMPORTANT),
        )
        self.assertGreater(generator.success_rate("important"), 0.99)
        self.assertLess(generator.success_rate("normal"), 0.4)

    async def test_small_organisation_keeps_its_share(self):
        """Guards against an organisation at several times its share that starves another one."""
        generator = LoadGenerator(make_admission())
        await asyncio.gather(
            generator.run("alpha", 300, 15_000, organisation="alpha"),
            generator.run("beta", 20, 15_000, organisation="beta"),
        )
        self.assertGreater(generator.success_rate("beta"), 0.95)

    async def test_abuse_of_the_top_class_does_not_starve_lower_classes(self):
        """Guards against an organisation that marks all its requests as critical."""
        metrics = MemoryMetrics()
        generator = LoadGenerator(make_admission(metrics=metrics))
        await asyncio.gather(
            generator.run("abuse", 300, 20_000, organisation="alpha", priority=Priority.CRITICAL),
            generator.run("normal", 30, 20_000, organisation="beta"),
        )
        self.assertGreater(generator.success_rate("normal"), 0.8)
        self.assertGreater(metrics.counters["admission.share_exceeded"], 0)

    async def test_slow_target_recovers(self):
        """Guards against shedding that continues after the target is fast again."""
        admission = make_admission()
        generator = LoadGenerator(admission)
        await generator.run("before", 60, 5_000)
        generator.service_ms = 150.0
        await generator.run("slow", 60, 10_000)
        self.assertTrue(admission.level().by_organisation)
        generator.service_ms = 50.0
        await generator.run("settle", 60, 3_000)
        await generator.run("after", 60, 5_000)
        self.assertGreater(generator.success_rate("after"), 0.97)

    async def test_shed_level_names_organisations_over_their_share_only(self):
        """Guards against entry nodes that refuse an organisation inside its share."""
        admission = make_admission()
        generator = LoadGenerator(admission)
        await asyncio.gather(
            generator.run("alpha", 300, 5_000, organisation="alpha"),
            generator.run("beta", 10, 5_000, organisation="beta"),
        )
        level = admission.level()
        self.assertGreater(threshold_for(level, "alpha"), 1.0)
        self.assertEqual(0.0, threshold_for(level, "beta"))


class TestInnerLevels(VirtualTimeTestCase):
    async def test_root_request_is_shed_for_an_overloaded_inner_service(self):
        """Guards against root requests that run here although their inner calls are shed."""
        admission = make_admission()
        item = work_item()
        admission.record_inner_level(item, ServiceId("pricing"), ShedLevel(threshold=3.0))
        self.assertGreater(admission.level_for(item).threshold, 2.9)
        self.assertEqual(0.0, admission.level().threshold)
        with self.assertRaisesType(Refused) as caught:
            await admission.admit(work_item())
        self.assertEqual(RefusalReason.SHED, caught.exception.reason)

    async def test_inner_call_is_not_shed_for_an_overloaded_inner_service(self):
        """Guards against inner calls that are refused although targets above them have run."""
        admission = make_admission()
        admission.record_inner_level(work_item(), ServiceId("pricing"), ShedLevel(threshold=3.0))
        await admission.admit(work_item(depth=1))

    async def test_level_of_another_route_does_not_count(self):
        """Guards against an overload on one route that sheds all routes of a service."""
        admission = make_admission()
        deep_item = attrs.evolve(work_item(), route_id="deep")
        flat_item = attrs.evolve(work_item(), route_id="flat")
        admission.record_inner_level(deep_item, ServiceId("pricing"), ShedLevel(threshold=3.0))
        self.assertEqual(0.0, admission.level_for(flat_item).threshold)
        await admission.admit(flat_item)

    async def test_stale_inner_level_ends(self):
        """Guards against a level that keeps shedding after its service is no longer reported."""
        admission = make_admission()
        admission.record_inner_level(work_item(), ServiceId("pricing"), ShedLevel(threshold=3.0))
        await asyncio.sleep(HOLD_MS * 4 / 1000)
        await admission.admit(work_item())
