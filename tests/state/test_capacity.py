from gentianthread.state.capacity import MeasuredCapacity

from ..base import TestCase


class TestMeasuredCapacity(TestCase):
    def play(self, capacity, service_ms, running, answered=True, duration_ms=8_000.0):
        """Keep a number of requests running on a target that takes a constant time."""
        now_ms = 0.0
        while now_ms < duration_ms:
            capacity.record_running(running, now_ms)
            now_ms += service_ms / running
            if answered:
                capacity.record_load(f"{running},0,{capacity.slots},100", running, now_ms)
                capacity.record_answer(service_ms, now_ms)
        return now_ms

    def test_three_figures_measure_nothing(self):
        """Guards against a change for deployments whose targets report three figures."""
        capacity = MeasuredCapacity(0.0)
        capacity.configure(20)
        capacity.record_load("5,0,20", 5, 0.0)
        capacity.record_answer(100.0, 0.0)
        self.assertEqual((19, 0.0, False), (capacity.limit, capacity.throughput_per_s, False))

    def test_throughput_follows_the_speed_of_the_target(self):
        """Guards against equal amounts for targets that differ in speed at equal slots."""
        rates = []
        for service_ms in (60.0, 180.0):
            capacity = MeasuredCapacity(0.0)
            capacity.configure(20)
            self.play(capacity, service_ms, 6)
            rates.append(capacity.throughput_per_s)
        self.assertAlmostEqual(19_000 / 60, rates[0], delta=16)
        self.assertAlmostEqual(3.0, rates[0] / rates[1], delta=0.2)

    def test_malformed_figures_are_counted(self):
        """Guards against a target with a broken field that nobody notices."""
        capacity = MeasuredCapacity(0.0)
        capacity.record_load("1,2,3,many", 1, 0.0)
        self.assertEqual((1, False), (capacity.invalid_figures, capacity.active))
