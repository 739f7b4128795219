import attrs

from gentianthread.state.capacity import ConcurrencyLimit, MeasuredCapacity

from ..base import TestCase
from .uneven_world import World, play_all


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


class TestConcurrencyLimit(TestCase):
    def play(self, limit, took_ms, duration_ms=20_000.0, demand=1_000):
        """Keep as many requests running as the limit allows, and return the limits over time."""
        now_ms, values = 0.0, []
        while now_ms < duration_ms:
            running = min(demand, limit.value)
            now_ms += took_ms(running) / running
            limit.record(running, took_ms(running), now_ms)
            values.append(limit.value)
        return values

    def test_constant_latency_keeps_the_usable_slots(self):
        """Guards against a limit that falls without a cause and leaves slots empty."""
        limit = ConcurrencyLimit()
        limit.configure(20)
        values = self.play(limit, lambda running: 100.0)
        self.assertEqual(19, values[-1])
        self.assertGreater(sum(values) / len(values), 18.9)

    def test_target_that_slows_down_when_full_is_not_filled(self):
        """Guards against filling a target that takes 1.3 times as long from 95% of its slots on."""
        limit = ConcurrencyLimit()
        limit.configure(20)
        values = self.play(limit, lambda running: 130.0 if running >= 19 else 100.0, 40_000.0)
        late = values[len(values) // 4 :]
        self.assertLess(sum(value >= 19 for value in late) / len(late), 0.2)

    def test_slowdown_that_starts_below_the_limit_is_found(self):
        """Guards against comparing only with bands that are as slow as the limit.

        A target with 50 slots that took twice as long from 45 on stayed at a limit of 47.
        """
        limit = ConcurrencyLimit()
        limit.configure(50)
        values = self.play(limit, lambda running: 200.0 if running >= 45 else 100.0, 40_000.0)
        late = values[len(values) // 4 :]
        self.assertLess(sum(value >= 45 for value in late) / len(late), 0.2)

    def test_limit_has_a_floor(self):
        """Guards against a limit that falls without end on a target that is never fast."""
        limit = ConcurrencyLimit()
        limit.configure(50)
        values = self.play(limit, lambda running: 10.0 * running * running)
        self.assertGreaterEqual(min(values), int(47 * 0.8))

    def test_few_slots_are_all_used(self):
        """Guards against an empty slot of a target with four, a quarter of its capacity."""
        limit = ConcurrencyLimit()
        limit.configure(4)
        self.assertEqual({4}, set(self.play(limit, lambda running: 50.0 * running)))

    def test_free_target_keeps_the_usable_slots(self):
        """Guards against a lower limit because of latencies at little load."""
        limit = ConcurrencyLimit()
        limit.configure(20)
        self.assertEqual({19}, set(self.play(limit, lambda running: 100.0, demand=5)))

    def test_full_targets_that_slow_down(self):
        """Guards against reads that miss their objective on targets that slow down when full.

        Load: 8 targets with 20 slots in 2 zones, speeds 0.7 to 1.6, 300 requests of 380 ms per s;
        1.3 times as long from 95% of the slots on.
        """
        world = World(("a", "b"), (0.7, 0.7, 1.6, 1.0), 20, 380.0, 300.0, 1_240.0, full_factor=1.3)
        world.duration_ms = 24_000.0
        fixed = play_all(attrs.evolve(world, measures_limit=False))
        measured = play_all(world)
        text = f"fixed {fixed.describe(8)}; measured {measured.describe(8)}"
        self.assertGreater(measured.within(), fixed.within() + 0.05, text)
        self.assertLess(measured.unanswered, fixed.unanswered, text)
