from random import Random

from gentianthread.state.limited_level import LimitedLevel
from gentianthread.state.overload_level import MAX_REFUSED_FRACTION

from ..base import TestCase
from .admission_model import VARIANTS, Model, Scenario, mean

LOWEST = 3.0
RATE_PER_S = 20.0


class TestLimitedLevel(TestCase):
    def setUp(self):
        super().setUp()
        self.control = LimitedLevel(0.0)
        self.random = Random(1)
        self.now_ms = 0.0

    def offer(self, load, duration_ms, applied_level=0.0):
        """Let requests of all ranks from a level on arrive."""
        for _ in range(int(duration_ms / 10)):
            self.now_ms += 10.0
            if self.random.random() < load * RATE_PER_S / 100:
                rank = self.random.random() * (LOWEST + 1)
                if rank >= applied_level:
                    self.control.record_arrival(rank, self.now_ms)
            self.control.observe(RATE_PER_S, 0, self.now_ms, LOWEST + MAX_REFUSED_FRACTION)

    def test_level_is_reached_within_half_a_second(self):
        """Guards against seconds in which a cold target gets several times what it takes."""
        self.offer(4.0, 500)
        # A load of 4 over ranks from 0 to 4 is admitted from rank 3 on.
        self.assertAlmostEqual(3.0, self.control.level, delta=0.5)

    def test_level_does_not_rise_while_requests_of_an_older_level_arrive(self):
        """Guards against a level that overshoots, since entry nodes learn it a second later."""
        self.offer(4.0, 3_000)
        self.assertLess(self.control.level, 3.6)

    def test_target_within_its_limit_refuses_nothing(self):
        """Guards against refusals while a limited target takes all requests."""
        self.offer(0.6, 10_000)
        self.assertEqual(0.0, self.control.level)

    def test_level_falls_after_the_overload(self):
        """Guards against refusals that go on after the demand has fallen."""
        self.offer(4.0, 2_000)
        self.offer(0.3, 8_000, applied_level=self.control.level)
        self.assertLess(self.control.level, 0.5)

    def test_some_of_the_most_important_requests_are_admitted(self):
        """Guards against a level that refuses every request, so that no answer ends it."""
        for _ in range(50):
            self.now_ms += 100.0
            for _ in range(50):
                self.control.record_arrival(LOWEST + 0.99, self.now_ms)
            self.control.observe(RATE_PER_S, 100, self.now_ms, LOWEST + MAX_REFUSED_FRACTION)
        self.assertEqual(LOWEST + MAX_REFUSED_FRACTION, self.control.level)


class TestAdmission(TestCase):
    def models(self, variant, targets, load, duration_s=6):
        return [
            Model(Scenario(targets, targets, load=load), seed, **VARIANTS[variant]).play(duration_s)
            for seed in range(2)
        ]

    def test_limited_service_completes_whole_requests_from_the_first_second_on(self):
        """Guards against targets that work for requests of which none completes.

        Without the limited level, at four times what the targets take, nothing completed after the
        second second, with 5, 30 or 80 targets.
        """
        for targets in (5, 30, 80):
            before = self.models("without the limited level", targets, 4.0)
            self.assertLess(mean(before, "useful", 2, 6), 0.1, targets)
            models = self.models("product", targets, 4.0)
            self.assertGreater(mean(models, "useful", 0, 2), 0.4, targets)
            self.assertGreater(mean(models, "useful", 2, 6), 0.4, targets)

    def test_less_important_requests_are_not_served_better(self):
        """Guards against requests with several calls that displace more important ones.

        The most important class goes to the limited service directly, behind the calls of others.
        """
        for targets in (30, 80):
            models = self.models("product", targets, 2.0, duration_s=10)
            shares = [mean(models, "completed_share", priority, 4, 10) for priority in range(4)]
            self.assertEqual(sorted(shares, reverse=True), shares, targets)

    def test_service_below_its_limit_serves_all(self):
        """Guards against refusals at the entry while the limited targets have room."""
        models = self.models("product", 30, 0.6)
        for priority in range(4):
            self.assertGreater(mean(models, "completed_share", priority, 1, 5), 0.95)
