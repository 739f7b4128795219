from random import Random

from gentianthread.ids import Outcome, UpstreamId
from gentianthread.state.upstream_stats import Ejector, UpstreamStats

from ..base import TestCase


def pool_of(number):
    return [UpstreamStats(UpstreamId(f"u{index}"), 0.0) for index in range(number)]


class TestUpstreamStats(TestCase):
    def test_fast_refusals_do_not_attract_work(self):
        """Guards against an upstream that attracts all traffic by refusing within 1 ms."""
        good, refusing = pool_of(2)
        for _ in range(50):
            good.record(Outcome.SUCCESS, 20.0)
            refusing.record(Outcome.REFUSED, 1.0)
        self.assertLess(good.score(20.0), refusing.score(20.0))

    def test_cancelled_attempts_are_ignored(self):
        """Guards against cancellations by callers that count against an upstream."""
        (stats,) = pool_of(1)
        for _ in range(50):
            stats.record(Outcome.CANCELLED, 5000.0)
        self.assertEqual((0, 0.0, None), (stats.samples, stats.failures, stats.latency_ms))


class TestEjector(TestCase):
    def setUp(self):
        super().setUp()
        self.ejector = Ejector(Random(1))

    def fail(self, stats, pool, now_ms=0.0):
        for _ in range(Ejector.CONSECUTIVE_FAILURES):
            stats.record(Outcome.FAILURE, 5.0)
        return self.ejector.eject_outlier(stats, pool, now_ms)

    def test_failing_upstream_is_ejected_for_a_bounded_time(self):
        """Guards against an upstream that fails every request and still gets its share of them."""
        pool = pool_of(4)
        duration_ms = self.fail(pool[0], pool)
        self.assertTrue(0 < duration_ms <= Ejector.MAX_EJECTION_MS * (1 + Ejector.JITTER))
        self.assertTrue(self.ejector.is_ejected(pool[0], duration_ms - 1))
        self.assertFalse(self.ejector.is_ejected(pool[0], duration_ms))

    def test_half_the_pool_stays(self):
        """Guards against ejection that turns a slow service into an outage."""
        for size in range(1, 8):
            pool = pool_of(size)
            for stats in pool:
                self.fail(stats, pool)
            remaining = sum(not self.ejector.is_ejected(stats, 1.0) for stats in pool)
            self.assertGreaterEqual(remaining, size / 2)

    def test_all_slow_is_no_outlier(self):
        """Guards against ejection because of a slow service that the whole pool calls."""
        pool = pool_of(4)
        for _ in range(100):
            for stats in pool:
                stats.record(Outcome.SUCCESS, 900.0)
        self.assertEqual(
            [0.0] * 4, [self.ejector.eject_outlier(stats, pool, 0.0) for stats in pool]
        )

    def test_one_slow_upstream_is_an_outlier(self):
        """Guards against a slow target that still gets its share of the requests."""
        pool = pool_of(4)
        for _ in range(100):
            for stats in pool:
                stats.record(Outcome.SUCCESS, 500.0 if stats is pool[0] else 50.0)
        self.assertGreater(self.ejector.eject_outlier(pool[0], pool, 0.0), 0)
        self.assertEqual(0, self.ejector.eject_outlier(pool[1], pool, 0.0))

    def test_durations_grow_to_a_bound_and_differ(self):
        """Guards against ejections that end at the same time, or outlast the recovery goal."""
        pool = pool_of(4)
        durations, now_ms = [], 0.0
        for _ in range(6):
            durations.append(self.fail(pool[0], pool, now_ms))
            now_ms += durations[-1]
        self.assertEqual(6, len(set(durations)))
        self.assertLessEqual(max(durations), Ejector.MAX_EJECTION_MS * (1 + Ejector.JITTER))
        self.assertGreater(max(durations[3:]), 2 * durations[0])

    def test_weight_grows_gradually_after_an_ejection(self):
        """Guards against a burst of requests at an upstream that has just returned."""
        pool = pool_of(4)
        end_ms = self.fail(pool[0], pool)
        weights = [self.ejector.weight(pool[0], end_ms + step * 500) for step in range(5)]
        self.assertEqual(sorted(weights), weights)
        self.assertAlmostEqual(Ejector.INITIAL_WEIGHT, weights[0])
        self.assertAlmostEqual(1.0, weights[-1])
