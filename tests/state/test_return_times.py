from random import Random

from gentianthread.ids import ServiceId
from gentianthread.state.return_times import FOLLOWED_PART, ReturnTimes, has_returned

from ..base import TestCase
from .return_model import SCENARIOS, Model

PRICING = ServiceId("pricing")


class TestReturnTimes(TestCase):
    def setUp(self):
        super().setUp()
        self.times = ReturnTimes(Random(1))

    def admit(self, per_s, from_ms, until_ms):
        for step in range(int((until_ms - from_ms) / 1_000 * per_s)):
            self.times.record_admitted(PRICING, 0, from_ms + step * 1_000 / per_s)

    def waits(self, count, remaining_ms, now_ms=2_000.0):
        return [self.times.next_wait_ms(PRICING, 0, remaining_ms, now_ms) for _ in range(count)]

    def test_refused_callers_are_spread_over_the_time_that_admissions_need(self):
        """Guards against callers that all return at once after a loss of power."""
        self.admit(20.0, 0.0, 2_000.0)
        waits = self.waits(40, 9_000.0)
        # 40 callers need 2 s at 20 admissions per second.
        for until_ms in (700.0, 1_200.0, 1_700.0):
            expected = (until_ms - 150) / 50
            self.assertAlmostEqual(expected, sum(wait < until_ms for wait in waits), delta=6)
        self.assertLess(max(waits), 2_700.0)

    def test_callers_are_told_no_time_that_they_do_not_follow(self):
        """Guards against a caller that is told a time after its deadline."""
        for remaining_ms in (9_000.0, 1_500.0, 300.0, 60.0, 0.0, -5.0):
            for wait_ms in self.waits(100, remaining_ms):
                self.assertLessEqual(wait_ms, max(0.0, remaining_ms * FOLLOWED_PART))
                self.assertGreaterEqual(wait_ms, 0.0)

    def test_callers_without_a_place_do_not_delay_later_ones(self):
        """Guards against a virtual queue that grows while nobody in it can be served."""
        self.admit(20.0, 0.0, 2_000.0)
        self.waits(1_000, 900.0)
        self.assertLess(min(self.waits(1, 9_000.0)), 600.0)

    def test_waits_are_short_again_after_the_overload(self):
        """Guards against callers that wait for places of callers who have returned long ago."""
        self.admit(20.0, 0.0, 2_000.0)
        self.waits(40, 9_000.0)
        self.admit(20.0, 2_000.0, 6_000.0)
        self.assertLess(self.waits(1, 9_000.0, now_ms=6_000.0)[0], 300.0)

    def test_returned_callers_go_before_new_ones(self):
        """Guards against callers that wait as told and are refused in favour of new ones."""
        draws = {True: [], False: []}
        for number in range(4_000):
            returned = number % 4 == 0
            draw = self.times.draw(PRICING, 0, number * 1.0, returned=returned)
            if number > 2_000:
                draws[returned].append(draw)
        self.assertGreater(min(draws[True]), max(draws[False]) - 0.05)
        # A level refuses the same part of all requests as before.
        refused = sum(draw < 0.3 for part in draws.values() for draw in part)
        self.assertAlmostEqual(0.3, refused / 2_000, delta=0.03)

    def test_new_callers_are_not_taken_for_returned_ones(self):
        """Guards against an order by small differences of the timeouts that callers state."""
        self.assertFalse(has_returned(3_000.0, 3_000.0))
        self.assertFalse(has_returned(3_000.0, 2_950.0))
        self.assertTrue(has_returned(3_000.0, 2_800.0))

    def test_order_of_return_serves_at_least_as_many_callers(self):
        """Guards against an order of return by which callers run out of time."""
        for name, scenario in SCENARIOS.items():
            before = [Model(scenario, seed, ordered=False).play(12) for seed in range(2)]
            models = [Model(scenario, seed).play(12) for seed in range(2)]
            served, served_before = (
                sum(model.served() for model in each) / 2 for each in (models, before)
            )
            self.assertGreater(served, served_before - 0.03, name)
