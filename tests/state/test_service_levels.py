"""Pattern: hundreds of entries share the requests to services of dozens of small targets."""

from random import Random

from gentianthread.ids import ServiceId
from gentianthread.state.overload_level import KnownLevels, LevelControl
from gentianthread.state.service_levels import ServiceLevels, TargetLoad

from ..base import TestCase

CATALOGUE, ORDERS, DRAWINGS, PRICING = (
    ServiceId(name) for name in ("catalogue", "orders", "drawings", "pricing")
)
CALLS = {CATALOGUE: {ORDERS}, ORDERS: {DRAWINGS}, DRAWINGS: {PRICING}, PRICING: set()}
REPORT_PERIOD_MS = 400


def load(service_id, overload, calls=CALLS):
    """Return the load of a target that gets more requests than it completes, or as many."""
    return TargetLoad(
        service_id,
        round(40 * (1 + overload)),
        40,
        1.0 if overload else 0.5,
        60.0 if overload else 0.0,
        frozenset(calls[service_id]),
    )


class SmallTargets:
    """Simulate targets of two slots with queues, and an entry that applies the fleet's level.

    Each request goes to the shorter queue of two random targets and waits 200 ms at most.
    """

    STEP_MS = 5
    WORK_MS = 45.0

    def __init__(self, targets=50, seed=1):
        self.random = Random(seed)
        self.running = [[] for _ in range(targets)]
        self.queues = [[] for _ in range(targets)]
        self.counts = [[0, 0] for _ in range(targets)]
        self.controls = [LevelControl(0.0) for _ in range(targets)]
        self.fleet, self.known = ServiceLevels(), KnownLevels(Random(seed))
        self.now_ms = 0

    def run(self, demand, duration_ms):
        """Send a multiple of the capacity; return the used fraction, failures and mean level."""
        used = failed = arrived = 0
        levels, single_levels = [], []
        for _ in range(0, duration_ms, self.STEP_MS):
            self.now_ms += self.STEP_MS
            level = self.known.level(PRICING, self.now_ms, len(self.queues))
            levels.append(level)
            single_levels.append(sum(c.level for c in self.controls) / len(self.controls))
            offered = demand * 2 * len(self.queues) * self.STEP_MS / self.WORK_MS
            for _ in range(int(offered + self.random.random())):
                if self.random.random() >= level:
                    arrived += 1
                    self.send()
            for place in range(len(self.queues)):
                failed += self.serve(place)
                used += len(self.running[place])
                if (self.now_ms + place * self.STEP_MS) % REPORT_PERIOD_MS == 0:
                    self.report(place)
        slots = 2 * len(self.queues) * duration_ms / self.STEP_MS
        mean = len(levels)
        return used / slots, failed / arrived, sum(levels) / mean, sum(single_levels) / mean

    def send(self):
        place = min(
            self.random.sample(range(len(self.queues)), 2),
            key=lambda place: len(self.queues[place]) + len(self.running[place]),
        )
        self.queues[place].append(self.now_ms)
        self.counts[place][0] += 1
        self.controls[place].record_arrival()

    def serve(self, place):
        ended = [end_ms for end_ms in self.running[place] if end_ms <= self.now_ms]
        self.running[place] = [end for end in self.running[place] if end > self.now_ms]
        self.counts[place][1] += len(ended)
        for _ in ended:
            self.controls[place].record_completion()
        waiting = [at_ms for at_ms in self.queues[place] if self.now_ms - at_ms < 200]
        failed = len(self.queues[place]) - len(waiting)
        while waiting and len(self.running[place]) < 2:
            waiting.pop(0)
            self.running[place].append(self.now_ms + self.random.expovariate(1 / self.WORK_MS))
        self.queues[place] = waiting
        self.controls[place].observe(
            len(self.running[place]) / 2, self.wait_ms(place), self.now_ms, 0.0
        )
        return failed

    def wait_ms(self, place):
        return self.now_ms - self.queues[place][0] if self.queues[place] else 0.0

    def report(self, place):
        arrived, completed = self.counts[place]
        self.counts[place] = [0, 0]
        utilisation = len(self.running[place]) / 2
        report = TargetLoad(
            PRICING, arrived, completed, utilisation, self.wait_ms(place), frozenset()
        )
        self.fleet.record(str(place), report, self.now_ms)
        self.known.apply_fleet_levels(self.fleet.levels(self.now_ms, 0.0), self.now_ms)


class TestSmallTargets(TestCase):
    def test_service_with_room_refuses_next_to_nothing(self):
        """Guards against refusals because some of many small targets have a queue now and then.

        The mean of the targets' own levels is above 0 at loads that the service can carry.
        """
        model = SmallTargets()
        model.run(0.8, 4_000)
        _, failed, level, mean_of_targets = model.run(0.8, 10_000)
        self.assertLess(level, 0.02)
        self.assertLess(failed, 0.02)
        self.assertGreater(mean_of_targets, level)

    def test_overloaded_service_is_used_and_little_fails_in_it(self):
        """Guards against admitting so much that the work above a failed call is wasted."""
        for demand in (1.3, 1.7, 2.5):
            model = SmallTargets()
            model.run(demand, 4_000)
            used, failed, _, _ = model.run(demand, 10_000)
            self.assertGreater(used, 0.85, demand)
            self.assertLess(failed, 0.05, demand)


class TestServiceLevels(TestCase):
    def levels(self, overloads, calls=CALLS):
        """Return the levels after four seconds of the same loads."""
        fleet = ServiceLevels()
        for now_ms in range(0, 4_000, REPORT_PERIOD_MS):
            for service_id, overload in overloads.items():
                fleet.record(service_id, load(service_id, overload, calls), now_ms)
            levels = fleet.levels(now_ms, 0.0)
        return levels

    def test_level_of_a_deep_service_reaches_the_services_above(self):
        """Guards against root requests that are admitted and then fail at a service far below."""
        levels = self.levels({CATALOGUE: 0, ORDERS: 0, DRAWINGS: 0, PRICING: 1})
        self.assertEqual(set(CALLS), set(levels))
        self.assertEqual(1, len(set(levels.values())))

    def test_services_below_are_not_charged_with_the_level_above(self):
        """Guards against refusals at a service that has room because a caller of it has none."""
        levels = self.levels({CATALOGUE: 0, ORDERS: 1, DRAWINGS: 0, PRICING: 0})
        self.assertEqual({CATALOGUE, ORDERS}, set(levels))

    def test_services_that_call_each_other_end(self):
        """Guards against an endless search where the call graph has a circle."""
        circle = {ORDERS: {DRAWINGS}, DRAWINGS: {ORDERS}}
        levels = self.levels({ORDERS: 0, DRAWINGS: 1}, circle)
        self.assertEqual({ORDERS, DRAWINGS}, set(levels))

    def test_silent_targets_are_forgotten(self):
        """Guards against a level that stays after the targets of a service have gone."""
        fleet = ServiceLevels()
        for now_ms in range(0, 4_000, REPORT_PERIOD_MS):
            fleet.record("a", load(PRICING, 1), now_ms)
            fleet.levels(now_ms, 0.0)
        self.assertEqual({}, fleet.levels(6_000.0, 0.0))

    def test_answers_are_used_while_the_counting_node_is_silent(self):
        """Guards against an entry that admits everything after the loss of the counting node."""
        known = KnownLevels(Random(1))
        known.apply_fleet_levels({PRICING: 0.2}, 0.0)
        known.record(PRICING, "pricing-0", 0.8, 1_100.0)
        self.assertEqual(0.2, known.level(PRICING, 1_100.0, 1))
        self.assertEqual(0.8, known.level(PRICING, 1_300.0, 1))
