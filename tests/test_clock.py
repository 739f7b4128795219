from gentianthread.clock import LoopClock, ManualClock, SystemClock

from .base import TestCase, VirtualTimeTestCase


class TestManualClock(TestCase):
    def test_advances_only_when_told(self):
        """Guards against a test clock that drifts by itself."""
        clock = ManualClock(5.0)
        clock.advance_ms(10)
        self.assertEqual(15.0, clock.now_ms())

    def test_refuses_to_go_back(self):
        """Guards against leases that revive because the clock went back."""
        self.assertRaises(ValueError, ManualClock().advance_ms, -1)


class TestSystemClock(TestCase):
    def test_never_goes_back(self):
        """Guards against the use of the wall clock for intervals."""
        clock = SystemClock()
        readings = [clock.now_ms() for _ in range(1000)]
        self.assertEqual(sorted(readings), readings)


class TestLoopClock(VirtualTimeTestCase):
    async def test_follows_virtual_time(self):
        """Guards against components that wait in real time under test."""
        clock = LoopClock()
        before_ms = clock.now_ms()
        await clock.sleep_ms(60_000)
        self.assertAlmostEqual(60_000, clock.now_ms() - before_ms, delta=1)
