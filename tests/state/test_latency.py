from random import Random

from gentianthread.state.latency import LowLatency

from ..base import TestCase


class TestLowLatency(TestCase):
    def test_follows_a_low_quantile(self):
        """Guards against refusing requests that could still complete in time."""
        low, random = LowLatency(), Random(2)
        samples = [random.uniform(100, 1000) for _ in range(5000)]
        for now_ms, sample in enumerate(samples):
            low.record(sample, now_ms)
        below = sum(sample < low.value_ms(5000) for sample in samples) / 5000
        self.assertTrue(0.05 < below < 0.35, below)

    def test_decays_without_samples(self):
        """Guards against a value from a slow phase that refuses everything from then on."""
        low = LowLatency()
        for now_ms in range(100):
            low.record(2000.0, now_ms)
        self.assertGreater(low.value_ms(100), 1900)
        self.assertLess(low.value_ms(10_000), 20)

    def test_few_samples_refuse_nothing(self):
        """Guards against refusing requests because of one slow answer."""
        low = LowLatency()
        low.record(5000.0, 0)
        self.assertEqual(0.0, low.value_ms(0))
