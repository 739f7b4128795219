from gentianthread.state.completion_times import CompletionTimes

from ..base import TestCase


class TestCompletionTimes(TestCase):
    def setUp(self):
        super().setUp()
        self.times = CompletionTimes()

    def record(self, *durations_ms, key="call", now_ms=0.0):
        for took_ms in durations_ms:
            self.times.record(key, took_ms, now_ms)

    def test_high_quantile_covers_the_slow_requests(self):
        """Guards against an estimate by the mean, which half of the requests exceed."""
        self.record(*[100.0] * 18, 900.0, 900.0)
        self.assertEqual(900.0, self.times.expected_ms("call", 0.95, 0.0))
        self.assertEqual(100.0, self.times.expected_ms("call", 0.5, 0.0))

    def test_few_samples_give_no_estimate(self):
        """Guards against refusals because of a single slow request."""
        self.record(5_000.0, 5_000.0)
        self.assertIsNone(self.times.expected_ms("call", 0.95, 0.0))
        self.assertIsNone(self.times.expected_ms("another", 0.95, 0.0))

    def test_old_samples_expire(self):
        """Guards against an estimate from a phase of overload that is over."""
        self.record(5_000.0, 5_000.0, 5_000.0)
        later_ms = CompletionTimes.MAX_AGE_MS + 1
        self.assertIsNone(self.times.expected_ms("call", 0.95, later_ms))
        self.record(50.0, 60.0, 70.0, now_ms=later_ms)
        self.assertEqual(70.0, self.times.expected_ms("call", 0.95, later_ms))

    def test_number_of_samples_is_bounded(self):
        """Guards against memory that grows with the requests, and an estimate that lags behind."""
        self.record(*[5_000.0] * 200, *[50.0] * CompletionTimes.MAX_SAMPLES)
        self.assertEqual(50.0, self.times.expected_ms("call", 1.0, 0.0))
