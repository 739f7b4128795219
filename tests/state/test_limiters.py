import heapq

from gentianthread.ids import Outcome
from gentianthread.state.limiters import limiters

from ..base import TestCase


def drive(limiter, duration_ms, latency_of, outcome=Outcome.SUCCESS, start_ms=0.0):
    """Keep a target busy at its limit; `latency_of(running)` is the latency in ms.

    Returns:
        The time at the end, and the lowest and highest limit.
    """
    running, now_ms, limits = [], start_ms, []
    while now_ms < start_ms + duration_ms:
        while len(running) < int(limiter.current(now_ms)):
            # Varies the latency, so that requests do not end simultaneously.
            latency_ms = latency_of(len(running) + 1) * (0.9 + 0.2 * (len(limits) % 7) / 6)
            heapq.heappush(running, (now_ms + latency_ms, now_ms))
            limits.append(limiter.limit)
        now_ms, started_at_ms = heapq.heappop(running)
        saturated = len(running) + 1 >= limiter.current(now_ms) - 1
        limiter.record(now_ms, started_at_ms, outcome, saturated=saturated)
    return now_ms, min(limits), max(limits)


class TestEveryLimiter(TestCase):
    def test_published_slots_bound_the_limit(self):
        """Guards against an adaptive limit above the slots of a target."""
        for name in limiters:
            limiter = limiters.get(name)(1, 20)
            _, _, highest = drive(limiter, 20_000, lambda running: 10.0)
            self.assertLessEqual(highest, 20)

    def test_revised_bounds_apply_at_once(self):
        """Guards against a limit that stays above a reduced number of published slots."""
        for name in limiters:
            limiter = limiters.get(name)(1, 20)
            limiter.revise(1, 5)
            self.assertEqual(5, limiter.limit)
            limiter.revise(1, 30)
            self.assertEqual(30, limiter.limit)


class TestStatic(TestCase):
    def test_limit_is_constant(self):
        """Guards against a static limit that changes with the outcomes."""
        limiter = limiters.get("static")(1, 20)
        drive(limiter, 1_000, lambda running: 10.0, Outcome.REFUSED)
        self.assertEqual(20, limiter.limit)


class TestAimd(TestCase):
    def test_refusals_shrink_it_to_the_lower_bound_and_successes_grow_it_back(self):
        """Guards against a target that refuses requests and still gets the same load."""
        limiter = limiters.get("aimd")(3, 20)
        now_ms, lowest, _ = drive(limiter, 5_000, lambda running: 10.0, Outcome.REFUSED)
        self.assertEqual(3, lowest)
        drive(limiter, 5_000, lambda running: 10.0, start_ms=now_ms)
        self.assertEqual(20, limiter.limit)

    def test_one_burst_of_refusals_counts_once(self):
        """Guards against a limit that collapses because of one short burst of refusals."""
        limiter = limiters.get("aimd")(1, 100)
        for _ in range(50):
            limiter.record(10.0, 0.0, Outcome.REFUSED, saturated=True)
        self.assertEqual(90, limiter.limit)

    def test_no_growth_without_use(self):
        """Guards against a limit that grows at low load and is far too high at high load."""
        limiter = limiters.get("aimd")(1, 100)
        limiter.record(10.0, 0.0, Outcome.REFUSED, saturated=True)
        for now_ms in range(20, 2000):
            limiter.record(float(now_ms), now_ms - 5.0, Outcome.SUCCESS, saturated=False)
        self.assertEqual(90, limiter.limit)


class TestGradient(TestCase):
    def test_finds_the_usable_concurrency_of_a_target(self):
        """Guards against published slots far above what the target can use (15 of 60)."""
        limiter = limiters.get("gradient")(1, 60)
        drive(limiter, 90_000, lambda running: 10.0 * max(1.0, running / 15))
        self.assertTrue(10 <= limiter.limit <= 30, limiter.limit)

    def test_slow_target_keeps_its_slots(self):
        """Guards against a lower limit when the latency triples at every concurrency."""
        limiter = limiters.get("gradient")(1, 60)
        now_ms, _, _ = drive(limiter, 10_000, lambda running: 10.0)
        _, lowest, _ = drive(limiter, 30_000, lambda running: 30.0, start_ms=now_ms)
        self.assertGreaterEqual(lowest, 54)

    def test_grows_again_when_the_target_can_use_more(self):
        """Guards against a limit that stays low after the cause has ended."""
        limiter = limiters.get("gradient")(1, 60)
        now_ms, _, _ = drive(limiter, 90_000, lambda running: 10.0 * max(1.0, running / 15))
        drive(limiter, 60_000, lambda running: 10.0, start_ms=now_ms)
        self.assertEqual(60, limiter.limit)

    def test_refusals_of_the_target_shrink_it(self):
        """Guards against a target that refuses requests although it has free slots."""
        limiter = limiters.get("gradient")(1, 60)
        drive(limiter, 1_000, lambda running: 10.0, Outcome.REFUSED)
        self.assertLess(limiter.limit, 10)

    def test_timeouts_alone_do_not_shrink_it(self):
        """Guards against a slow service that lowers the limits of the targets that call it."""
        limiter = limiters.get("gradient")(1, 60)
        drive(limiter, 10_000, lambda running: 500.0, Outcome.TIMEOUT)
        self.assertEqual(60, limiter.limit)
