from random import Random

import attrs

from gentianthread.ids import Priority
from gentianthread.state.shed_control import ShedControl, TargetState
from gentianthread.state.shed_levels import DEPTH_STEPS, rank

from ..base import TestCase
from ..work_items import work_item

LIMIT = 20
SERVICE_MS = 100.0  # The capacity is 200/s.


class Model:
    """Simulate a target with a queue and an entry node that applies its thresholds with a delay."""

    def __init__(self, entry_delay_ms=0.0):
        self.control = ShedControl(lambda _: 1.0, 0.0)
        self.random = Random(4)
        self.entry_delay_ms = entry_delay_ms
        self.now_ms = 0.0
        self.queued = 0
        self.running = []
        self.threshold_history = [(0.0, {})]
        self.admitted = {}
        self.completed = 0

    def run(self, duration_ms, rates, priority=Priority.NORMAL):
        """Send requests at the rates (per second) of the organisations for a duration."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 1
            self._finish()
            for name, per_s in rates.items():
                if self.random.random() < per_s / 1000:
                    self._arrive(name, priority)
            self._start()

    def _finish(self):
        self.control.observe(TargetState(len(self.running), LIMIT, self.queued), 20.0, self.now_ms)
        self.threshold_history.append((self.now_ms, dict(self.control.thresholds)))
        ended = [at_ms for at_ms in self.running if at_ms <= self.now_ms]
        self.running = [at_ms for at_ms in self.running if at_ms > self.now_ms]
        self.completed += len(ended)
        for _ in ended:
            self.control.record_completion()

    def _arrive(self, name, priority):
        item = work_item(organisation=name, priority=priority)
        applied = self.threshold_history[
            max(0, len(self.threshold_history) - 1 - int(self.entry_delay_ms))
        ][1].get(name, 0.0)
        if rank(item) < applied:
            return
        self.control.record_arrival(attrs.evolve(item, passed_threshold=applied))
        self.admitted[name] = self.admitted.get(name, 0) + 1
        self.queued += 1

    def _start(self):
        while self.queued and len(self.running) < LIMIT:
            self.queued -= 1
            self.running.append(self.now_ms + SERVICE_MS)


class TestShedControl(TestCase):
    def test_calm_target_sheds_nothing(self):
        """Guards against shedding requests without an overload."""
        model = Model()
        model.run(10_000, {"alpha": 100, "beta": 40})
        self.assertEqual(({}, False), (model.control.thresholds, model.control.overloaded))

    def test_capacity_is_measured(self):
        """Guards against a capacity estimate that is far from that of the target."""
        model = Model()
        model.run(5_000, {"alpha": 150})
        self.assertAlmostEqual(0.2, model.control.capacity_per_ms(LIMIT), delta=0.02)

    def test_goodput_and_queue_at_three_times_the_capacity(self):
        """Guards against lost capacity or a standing queue while the entry sheds with a delay."""
        model = Model(entry_delay_ms=200)
        model.run(5_000, {"alpha": 600})
        model.completed, queues = 0, []
        for _ in range(100):
            model.run(100, {"alpha": 600})
            queues.append(model.queued)
        self.assertGreater(model.completed, 0.9 * 2_000)
        self.assertLess(sum(queues) / len(queues), 40)

    def test_demand_estimate_does_not_depend_on_where_work_is_shed(self):
        """Guards against ignoring the demand that the entry nodes shed."""
        model = Model(entry_delay_ms=200)
        model.run(15_000, {"alpha": 600})
        demand = sum(model.control.demand["alpha"].values()) * 1000
        self.assertTrue(400 < demand < 850, demand)

    def test_organisation_inside_its_share_is_not_cut(self):
        """Guards against refusing an organisation within its share beside an overloading one."""
        model = Model(entry_delay_ms=200)
        model.run(5_000, {"alpha": 800, "beta": 40})
        model.admitted = {}
        model.run(10_000, {"alpha": 800, "beta": 40})
        self.assertGreater(model.admitted["beta"], 0.95 * 40 * 10)
        self.assertNotIn("beta", model.control.thresholds)

    def test_thresholds_end_with_the_overload(self):
        """Guards against shedding that continues after the overload has ended."""
        model = Model(entry_delay_ms=200)
        model.run(10_000, {"alpha": 800})
        self.assertTrue(model.control.thresholds)
        model.run(4_000, {"alpha": 120})
        self.assertEqual({}, model.control.thresholds)
        model.run(2_000, {"alpha": 120})
        self.assertFalse(model.control.overloaded)

    def test_older_threshold_of_the_entry_is_considered(self):
        """Guards against an underestimate when the entry sheds by a stricter, older threshold."""
        control = ShedControl(lambda _: 1.0, 0.0)
        entry_threshold = 1 + 0.9 / DEPTH_STEPS
        items = [attrs.evolve(work_item(), passed_threshold=entry_threshold) for _ in range(20_000)]
        for item in items:
            if rank(item) >= entry_threshold:
                control.record_arrival(item)
        control.observe(TargetState(0, LIMIT, 0), 20.0, control.WINDOW_MS)
        demand = sum(control.demand["alpha"].values())
        unfiltered = ShedControl(lambda _: 1.0, 0.0)
        for item in items:
            unfiltered.record_arrival(attrs.evolve(item, passed_threshold=0.0))
        unfiltered.observe(TargetState(0, LIMIT, 0), 20.0, control.WINDOW_MS)
        self.assertAlmostEqual(1.0, demand / sum(unfiltered.demand["alpha"].values()), delta=0.1)

    def test_abuse_of_the_top_class_is_reported(self):
        """Guards against misuse of the critical class that operators cannot see."""
        model = Model()
        model.run(8_000, {"alpha": 900, "beta": 20}, priority=Priority.CRITICAL)
        self.assertEqual({"alpha"}, model.control.over_share())
