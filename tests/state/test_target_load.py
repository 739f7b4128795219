from random import Random

from gentianthread.state.target_load import LoadFigures, TargetPace, parse_load

from ..base import TestCase


class TestParseLoad(TestCase):
    def test_three_and_four_figures_are_read(self):
        """Guards against targets whose pace is not read, or old ones that are taken for broken."""
        self.assertEqual(LoadFigures(3, 1, 20, 0.0), parse_load("3,1,20"))
        self.assertEqual(LoadFigures(3, 1, 20, 250.0), parse_load(" 3, 1, 20, 250 "))
        self.assertEqual(LoadFigures(0, 0, 1, 62.5), parse_load("0,0,1,62.5"))

    def test_malformed_figures_are_ignored(self):
        """Guards against an error or a wild pace because of a damaged header field."""
        for value in (
            "",
            "1,2",
            "1,2,3,",
            "1,2,3,4,5",
            "1,2,3,nan",
            "1,2,3,-5",
            "1,2,3,1e9",
            "1,2,3,9999999",
            "a,b,c",
            "1;2;3;4",
            "\u0661,2,3,4",
        ):
            self.assertIsNone(parse_load(value), value)


class TestTargetPace(TestCase):
    def play(self, pace, state, samples=400, usual_ms=100.0):
        """Record answers every 20 ms from a target whose pace changes every 600 ms."""
        random, factor = Random(1), 1.0
        for number in range(samples):
            if number % 30 == 0:
                factor = 2.5 if random.random() < 0.15 else 1.0
            pace.record_percent(state(factor, random), number * 20.0)
            pace.record_latency(usual_ms * factor * (0.8 + 0.4 * random.random()))
        return samples * 20.0

    def test_unknown_without_the_figure(self):
        """Guards against a change for deployments whose targets report three figures."""
        pace = TargetPace()
        pace.record_percent(0.0, 0.0)
        pace.record_latency(50.0)
        self.assertEqual(0.0, pace.percent(0.0))

    def test_slow_phase_is_told_at_once_and_forgotten_soon(self):
        """Guards against sending requests into a slow phase of 600 ms, or avoiding it for long."""
        pace = TargetPace()
        now_ms = self.play(pace, lambda factor, random: 100 * factor)
        pace.record_percent(250.0, now_ms)
        self.assertGreater(pace.percent(now_ms), 180.0)
        self.assertEqual(100.0, pace.percent(now_ms + 600.0))

    def test_constant_false_figure_has_no_effect(self):
        """Guards against a target that always states 250 and gets no work."""
        pace = TargetPace()
        now_ms = 0.0
        for now_ms in range(0, 8_000, 20):
            pace.record_percent(250.0, float(now_ms))
            pace.record_latency(100.0)
        self.assertAlmostEqual(100.0, pace.percent(float(now_ms)), delta=1.0)

    def test_random_figures_are_not_trusted(self):
        """Guards against choosing by figures that say nothing about the latencies."""
        pace = TargetPace()
        now_ms = self.play(pace, lambda factor, random: random.choice((40, 100, 250, 400)))
        pace.record_percent(400.0, now_ms)
        self.assertLess(pace.trust(), 0.2)
        self.assertLess(pace.percent(now_ms), 140.0)
