import asyncio
from random import Random

from gentianthread.clock import LoopClock
from gentianthread.coordination.probes import Prober
from gentianthread.ids import UpstreamId

from ..base import VirtualTimeTestCase


class TestProber(VirtualTimeTestCase):
    async def start(self, interval_ms=1000.0, seed=1):
        self.times, self.recovered, self.broken = [], 0, False

        async def probe():
            self.times.append(LoopClock().now_ms())
            if self.broken:
                raise ConnectionError

        def on_recovered():
            self.recovered += 1

        prober = Prober(
            UpstreamId("u"), probe, lambda: interval_ms, LoopClock(), on_recovered, Random(seed)
        )
        self.task = asyncio.ensure_future(prober.run())
        return prober

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def test_probes_are_rare_and_spread(self):
        """Guards against probes that cost the target time, or come from all nodes in step."""
        await self.start()
        await asyncio.sleep(100)
        await self.stop()
        self.assertTrue(85 <= len(self.times) <= 115, len(self.times))
        gaps = [after - before for before, after in zip(self.times, self.times[1:], strict=False)]
        self.assertGreater(max(gaps) - min(gaps), 500)

    async def test_no_probe_while_requests_are_answered(self):
        """Guards against probes that add load to a busy target."""
        prober = await self.start()
        for _ in range(100):
            prober.heard()
            await asyncio.sleep(0.1)
        await self.stop()
        self.assertEqual([], self.times)

    async def test_break_and_recovery(self):
        """Guards against a target that is given up after one probe, or is never taken back."""
        prober = await self.start()
        self.broken = True
        await asyncio.sleep(1.6)
        self.assertTrue(prober.healthy)
        await asyncio.sleep(4)
        self.assertFalse(prober.healthy)
        self.broken = False
        await asyncio.sleep(1)
        self.assertTrue(prober.healthy)
        self.assertEqual(1, self.recovered)
        await self.stop()

    async def test_hanging_probe_counts_as_failed(self):
        """Guards against a silent target on which the prober waits for ever."""

        async def hang():
            await asyncio.sleep(1e6)

        prober = Prober(UpstreamId("u"), hang, lambda: 100.0, LoopClock(), random=Random(1))
        self.task = asyncio.ensure_future(prober.run())
        await asyncio.sleep(10)
        await self.stop()
        self.assertFalse(prober.healthy)
