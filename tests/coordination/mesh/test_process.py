import asyncio

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.process import MIN_LEAVE_MS, max_leave_ms, stop_gracefully

from ...base import VirtualTimeTestCase

# Fraction of the grace period after which a process with a late event loop has ended.
LATE_LOOP_END_FRACTION = 0.9


class StoppingSidecar:
    """Record when it is asked to leave, to drain and to refuse callers."""

    def __init__(self, busy_until_ms=0.0):
        self.clock = LoopClock()
        self.busy_until_ms = busy_until_ms
        self.draining = False
        self.events = []

    def begin_leaving(self, ends_at_ms):
        self.change_end(ends_at_ms)
        self.events.append(("leave", self.clock.now_ms()))

    def change_end(self, ends_at_ms):
        self.ends_at_ms = ends_at_ms

    def begin_draining(self):
        self.draining = True
        self.events.append(("drain", round(self.clock.now_ms())))

    def refuse_callers(self):
        if ("refuse", MIN_LEAVE_MS) not in self.events:
            self.events.append(("refuse", round(self.clock.now_ms())))

    @property
    def busy(self):
        return self.clock.now_ms() < self.busy_until_ms


class LateClock(LoopClock):
    """Sleep longer than asked for, as on an event loop that is held up by each of its steps."""

    def __init__(self, late_ms):
        self.late_ms = late_ms

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms + self.late_ms)


class TestLeave(VirtualTimeTestCase):
    async def stop(self, grace_ms, busy_until_ms=0.0):
        """Return the recorded calls and the time at which the stop ended."""
        sidecar = StoppingSidecar(busy_until_ms)
        await stop_gracefully(sidecar, sidecar.clock, grace_ms)
        self.assertEqual(max_leave_ms(grace_ms), sidecar.ends_at_ms)
        return sidecar.events, round(asyncio.get_running_loop().time() * 1000)

    async def test_target_drains_last(self):
        """Guards against a target that is idle while its node still waits for callers to leave."""
        events, ended_ms = await self.stop(6_000.0)
        self.assertEqual([("leave", 0.0), ("drain", 1_800), ("refuse", 2_300)], events)
        self.assertEqual(2_300, ended_ms)

    async def test_work_under_way_ends_first_within_the_grace_period(self):
        """Guards against a stop that aborts a long request, or that lasts until the kill."""
        _, ended_ms = await self.stop(6_000.0, busy_until_ms=3_000.0)
        self.assertEqual(3_000, ended_ms)

    async def test_short_grace_period_leaves_time_to_drain(self):
        """Guards against a drain that begins only shortly before the process is killed."""
        events, ended_ms = await self.stop(2_000.0, busy_until_ms=9_000.0)
        self.assertEqual([("leave", 0.0), ("drain", 1_000)], events)
        self.assertEqual(1_800, ended_ms)

    async def test_call_that_needs_most_of_the_grace_period_is_not_ended(self):
        """Guards against calls that are broken off although the process has time left."""
        _, ended_ms = await self.stop(6_000.0, busy_until_ms=5_650.0)
        self.assertEqual(5_650, ended_ms)

    async def test_stop_leaves_time_to_close_before_the_kill(self):
        """Guards against a process that answers until the kill and is cut off in its answers."""
        for grace_ms, latest_ms in ((2_000.0, 1_800.0), (6_000.0, 5_700.0), (10_000.0, 9_700.0)):
            self.assertEqual(latest_ms, max_leave_ms(grace_ms))

    async def test_late_event_loop_ends_before_the_kill(self):
        """Guards against a process that is killed before it has answered what is under way.

        The end of the grace period is noticed late if the event loop is held up for longer than
        the time that is left after it.
        """
        grace_ms = 6_000.0
        for late_ms in (300.0, 700.0, 1_000.0, 1_300.0):
            sidecar = StoppingSidecar(busy_until_ms=90_000.0)
            started_ms = sidecar.clock.now_ms()
            await stop_gracefully(sidecar, LateClock(late_ms), grace_ms)
            ended_ms = sidecar.clock.now_ms() - started_ms
            latest_ms = grace_ms * LATE_LOOP_END_FRACTION
            self.assertLessEqual(ended_ms, latest_ms)
            self.assertGreaterEqual(ended_ms, latest_ms - 2 * late_ms - 100)
            self.assertLess(sidecar.ends_at_ms - started_ms, latest_ms)

    async def test_single_pause_does_not_end_requests_early(self):
        """Guards against requests that are ended after a pause which is over."""
        sidecar, clock = StoppingSidecar(busy_until_ms=90_000.0), LateClock(0.0)
        started_ms = sidecar.clock.now_ms()
        loop = asyncio.get_running_loop()
        loop.call_later(2.0, setattr, clock, "late_ms", 2_500.0)
        loop.call_later(2.2, setattr, clock, "late_ms", 0.0)
        await stop_gracefully(sidecar, clock, 6_000.0)
        self.assertGreaterEqual(sidecar.clock.now_ms() - started_ms, 5_400.0)
