import asyncio
from types import SimpleNamespace

from gentianthread.clock import LoopClock
from gentianthread.coordination.quota_draws import DrawLoop, DrawSource
from gentianthread.protocol.messages_quota import Tier

from ..base import VirtualTimeTestCase

# More steps of the event loop than pass between a wake-up and the end of the wait that it
# interrupts.
EVENT_LOOP_STEPS = 8


class EmptyDrawSource(DrawSource):
    """Draw source without organisations."""

    def active_organisations(self):
        return []

    def grantor(self, organisation_id):
        return None

    def draw_entry(self, organisation_id):
        raise NotImplementedError

    def receive_grant(self, grantor, grant, expires_at_ms):
        raise NotImplementedError

    def has_waiting_requests(self, organisation_id):
        return False


class TestCancellation(VirtualTimeTestCase):
    async def ends_when_cancelled_after(self, steps):
        """Cancel a draw loop some steps after a wake-up and return whether it ended."""
        context = SimpleNamespace(clock=LoopClock())
        loop = DrawLoop(
            context, Tier.ZONE, period_ms=1000.0, min_spacing_ms=100.0, source=EmptyDrawSource()
        )
        task = asyncio.ensure_future(loop.run())
        await asyncio.sleep(0.01)
        loop.wake("alpha")
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=30.0)
        ended = task.done()
        task.cancel()
        return ended

    async def test_cancellation_beside_a_wake_up_is_not_lost(self):
        """Guards against a stop that hangs because a wake-up made the draw loop lose it."""
        ended = [await self.ends_when_cancelled_after(steps) for steps in range(EVENT_LOOP_STEPS)]
        self.assertEqual([True] * EVENT_LOOP_STEPS, ended)
