import asyncio

import attrs

from gentianthread.clock import LoopClock
from gentianthread.coordination.hedging import run_hedged
from gentianthread.ids import ProfileId
from gentianthread.state.allowance import Allowance, RetryBudget
from gentianthread.state.plan import Profile

from ..base import VirtualTimeTestCase
from ..work_items import work_item

PROFILE = Profile(ProfileId("lookup"), hedging=True, hedge_delay_ms=50.0)


class TestHedging(VirtualTimeTestCase):
    async def run_with(self, *attempts, profile=PROFILE, item=None, allowance=3, balance=10.0):
        """Run hedged attempts of (duration in ms, result or error) and return the result."""
        self.started, self.ended = [], []
        self.allowance = Allowance(allowance)
        budget = RetryBudget(0.1)
        budget.balance = balance

        async def attempt(number):
            self.started.append(number)
            duration_ms, result = attempts[number]
            try:
                await asyncio.sleep(duration_ms / 1000)
            finally:
                self.ended.append(number)
            if isinstance(result, Exception):
                raise result
            return result

        return await run_hedged(
            attempt, item or work_item(), profile, self.allowance, budget, LoopClock()
        )

    async def test_fast_request_is_sent_once(self):
        """Guards against hedging that doubles the load on a healthy service."""
        self.assertEqual("a", await self.run_with((10, "a"), (10, "b")))
        self.assertEqual(([0], 3), (self.started, self.allowance.remaining))

    async def test_hedge_is_charged_to_the_allowance(self):
        """Guards against extra attempts that the end-to-end bound does not count (P1)."""
        self.assertEqual("b", await self.run_with((500, "a"), (10, "b")))
        self.assertEqual((2, 1), (self.allowance.remaining, self.allowance.used))
        self.assertEqual({0, 1}, set(self.ended))
        self.assertLess(LoopClock().now_ms(), 100)

    async def test_non_idempotent_request_is_sent_once(self):
        """Guards against a second execution (P9)."""
        item = work_item(idempotent=False)
        self.assertEqual("a", await self.run_with((500, "a"), (10, "b"), item=item))
        self.assertEqual([0], self.started)

    async def test_profile_allowance_budget_and_deadline_can_prevent_a_hedge(self):
        """Guards against hedges that add load under overload."""
        expiring_item = work_item(deadline_at_ms=20)
        for options in (
            {"profile": attrs.evolve(PROFILE, hedging=False)},
            {"allowance": 0},
            {"balance": 0.5},
            {"item": expiring_item},
        ):
            self.assertEqual("a", await self.run_with((500, "a"), (10, "b"), **options))
            self.assertEqual([0], self.started)

    async def test_failed_attempt_waits_for_the_other(self):
        """Guards against the failure of one attempt that hides the success of the other."""
        result = await self.run_with((60, ValueError()), (100, "b"))
        self.assertEqual("b", result)

    async def test_error_of_the_first_attempt_is_raised(self):
        """Guards against the error of the hedge in place of the first attempt's."""
        with self.assertRaisesType(ValueError):
            await self.run_with((100, ValueError()), (10, KeyError()))

    async def test_cancelled_request_cancels_its_attempts(self):
        """Guards against attempts that keep running after their caller was cancelled."""
        task = asyncio.ensure_future(self.run_with((500, "a"), (500, "b")))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual({0, 1}, set(self.ended))
