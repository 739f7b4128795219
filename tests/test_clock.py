from gentianthread.clock import LoopClock, ManualClock, SystemClock

from .base import TestCase, VirtualTimeTestCase


class TestManualClock(TestCase):
    def test_advances_only_on_request(self):
        """Guards against a manual clock that advances without a call."""
        clock = ManualClock(5.0)
        clock.advance_ms(10)
        self.assertEqual(15.0, clock.now_ms())

    def test_rejects_negative_durations(self):
        """Guards against expired leases that become valid again because the clock went back."""
        self.assertRaises(ValueError, ManualClock().advance_ms, -1)


class TestSystemClock(TestCase):
    def test_never_goes_back(self):
        """Guards against measuring intervals with the wall clock, which can go back."""
        clock = SystemClock()
        readings = [clock.now_ms() for _ in range(1000)]
        self.assertEqual(sorted(readings), readings)


class TestLoopClock(VirtualTimeTestCase):
    async def test_follows_virtual_time(self):
        """Guards against tests that wait in real time."""
        clock = LoopClock()
        before_ms = clock.now_ms()
        await clock.sleep_ms(60_000)
        self.assertAlmostEqual(60_000, clock.now_ms() - before_ms, delta=1)
