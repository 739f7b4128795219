import asyncio

from gentianthread.clock import LoopClock
from gentianthread.coordination.watchdog import Watchdog
from gentianthread.metrics import MemoryMetrics

from ..base import VirtualTimeTestCase


class PausableClock(LoopClock):
    def __init__(self):
        self.paused_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.paused_ms


class TestWatchdog(VirtualTimeTestCase):
    async def test_pause_is_detected_before_the_next_request(self):
        """Guards against permissions used between the end of a pause and the next tick."""
        clock, expired_at_ms = PausableClock(), []
        watchdog = Watchdog(clock, MemoryMetrics())
        watchdog.register(lambda: expired_at_ms.append(clock.now_ms()))
        watchdog.check()
        task = asyncio.ensure_future(watchdog.run())
        await asyncio.sleep(5.05)
        watchdog.check()
        self.assertEqual([], expired_at_ms)
        clock.paused_ms = 501
        watchdog.check()
        self.assertEqual(1, len(expired_at_ms))
        await asyncio.sleep(1)
        self.assertEqual(1, len(expired_at_ms))
        clock.paused_ms += 600
        await asyncio.sleep(1)
        self.assertEqual(2, len(expired_at_ms))
        task.cancel()
