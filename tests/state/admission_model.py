"""Model admission at the entry nodes while the targets of a deep service accept few requests.

Root requests of the most important class go to the deep service; others go to an upper service,
whose runs make several calls there, one after the other. All nodes use the product's levels; the
targets of the deep service take a known number of requests per second, as cold targets do. Time is
virtual.

`python -m tests.state.admission_model --seeds 5` prints the figures of docs/design/admission.md.
"""

import argparse
import itertools
from heapq import heappop, heappush
from itertools import count
from random import Random

import attrs

from gentianthread.ids import ServiceId
from gentianthread.state.limited_level import LimitedLevel
from gentianthread.state.overload_level import (
    MAX_REFUSED_FRACTION,
    KnownLevels,
    LevelControl,
    rank_of,
)
from gentianthread.state.stated_limit import StatedLimit
from gentianthread.state.target_runs import TargetRuns

DEEP, UPPER = ServiceId("deep"), ServiceId("upper")
MAX_REFUSALS = 3
LOWEST_PRIORITY = 3


@attrs.frozen
class Scenario:
    """Describe the load.

    Attributes:
        deep_targets: Targets of the deep service.
        upper_targets: Targets of the upper service.
        limit_per_s: Requests per second that each deep target takes.
        calls: Calls to the deep service of a run of the upper one.
        load: Demand at the deep service divided by what its targets take.
        shares: Share of this demand by priority; priority 0 goes to the deep service directly.
        timeout_ms: Time that callers wait.
        work_ms: Time of the work of a deep target.
    """

    deep_targets: int = 30
    upper_targets: int = 30
    limit_per_s: float = 6.0
    calls: int = 4
    load: float = 4.0
    shares: tuple[float, ...] = (0.15, 0.25, 0.3, 0.3)
    timeout_ms: float = 1_500.0
    work_ms: float = 10.0


class DeepTarget:
    """Run requests at a limited rate, inner calls first, and compute the overload level."""

    def __init__(self, model, name):
        self.model, self.name = model, name
        self.limit = StatedLimit(0.0)
        self.limit.change(model.scenario.limit_per_s, 0.0)
        self.control = LevelControl(0.0)
        self.ranked = LimitedLevel(0.0)
        self.queue = []
        self.dispatching = False

    def report(self):
        self._update()
        return self.control.level, self.limit.rate_per_s, self.ranked.level

    def _update(self):
        now_ms = self.model.now_ms
        wait_ms = self._wait_ms(len(self.queue)) if self.queue else 0.0
        utilisation = self.limit.utilisation(now_ms)
        self.control.observe(utilisation, wait_ms, now_ms, float(LOWEST_PRIORITY))
        if self.model.ranked:
            highest = LOWEST_PRIORITY + MAX_REFUSED_FRACTION
            self.ranked.observe(self.limit.rate_per_s, len(self.queue), now_ms, highest)

    def _wait_ms(self, position):
        return self.limit.wait_ms(position, self.model.now_ms)

    def arrive(self, request, deliver):
        """Queue a request, or refuse it at once; `deliver` gets whether it ran."""
        now_ms = self.model.now_ms
        self._update()
        self.control.record_arrival()
        self.ranked.record_arrival(request.rank, now_ms)
        key = (not request.inner, request.priority)
        if request.inner and self.model.by_deadline:
            key = (*key, request.deadline_ms)
        ahead = sum(1 for entry in self.queue if entry[0] <= key)
        fraction = 0.5 if request.inner else 0.3
        if self._wait_ms(ahead + 1) > fraction * (request.deadline_ms - now_ms):
            self.model.at(1.0, deliver, False, self.report())
            return
        heappush(self.queue, (key, next(self.model.numbers), request, deliver))
        self._dispatch()

    def _dispatch(self):
        now_ms = self.model.now_ms
        while self.queue:
            wait_ms = self._wait_ms(1)
            if wait_ms:
                if not self.dispatching:
                    self.dispatching = True
                    self.model.at(max(1.0, wait_ms), self._end_wait)
                return
            _, _, request, deliver = heappop(self.queue)
            if request.deadline_ms <= now_ms:
                self.model.at(1.0, deliver, False, self.report())
                continue
            self.limit.take(now_ms)
            self.model.at(self.model.scenario.work_ms, self._end, deliver)

    def _end_wait(self):
        self.dispatching = False
        self._dispatch()

    def _end(self, deliver):
        self.control.record_completion()
        self.model.at(1.0, deliver, True, self.report())


@attrs.define(eq=False)
class Request:
    """Store a request: a root request, or a call of a run of the upper service."""

    priority: int
    inner: bool
    deadline_ms: float
    node: "Node"
    rank: float
    depth: int = 0
    repeated: bool = False


class Node:
    """Store what one node knows of levels."""

    def __init__(self, model):
        self.levels = KnownLevels()
        self.runs = TargetRuns()


class Model:
    """Play the scenario and count root requests by priority and second."""

    def __init__(self, scenario, seed, *, ranked=True, by_deadline=True):
        self.scenario, self.random = scenario, Random(seed)
        self.ranked, self.by_deadline = ranked, by_deadline
        self.now_ms = 0.0
        self.numbers, self._events = count(), []
        self.targets = [DeepTarget(self, f"deep-{n}") for n in range(scenario.deep_targets)]
        self.upper = [Node(self) for _ in range(scenario.upper_targets)]
        self.nodes = self.upper + [Node(self) for _ in self.targets]
        self.arrived, self.refused, self.completed, self.failed = ({} for _ in range(4))
        self.runs_used = 0

    def at(self, delay_ms, action, *arguments):
        heappush(self._events, (self.now_ms + delay_ms, next(self.numbers), action, arguments))

    def play(self, duration_s):
        for priority, share in enumerate(self.scenario.shares):
            if share:
                self._schedule_root(priority)
        while self._events and self._events[0][0] < duration_s * 1_000:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self

    def rate_per_s(self, priority):
        """Return the root requests of a priority per second."""
        scenario = self.scenario
        capacity_per_s = scenario.deep_targets * scenario.limit_per_s
        calls = scenario.calls if priority else 1
        return capacity_per_s * scenario.load * scenario.shares[priority] / calls

    def _schedule_root(self, priority):
        interval_ms = self.random.expovariate(self.rate_per_s(priority)) * 1_000
        self.at(interval_ms, self._root, priority)

    def _count(self, counts, priority):
        key = (priority, int(self.now_ms / 1_000))
        counts[key] = counts.get(key, 0) + 1

    def _root(self, priority):
        self._schedule_root(priority)
        self._count(self.arrived, priority)
        node = self.random.choice(self.nodes)
        service = UPPER if priority else DEEP
        total = len(self.upper) if priority else len(self.targets)
        fraction = node.levels.refused_fraction(
            service, priority, LOWEST_PRIORITY, self.now_ms, total
        )
        draw = self.random.random()
        if draw < fraction:
            self._count(self.refused, priority)
            return
        rank = rank_of(priority, LOWEST_PRIORITY, draw)
        request = Request(priority, False, self.now_ms + self.scenario.timeout_ms, node, rank)
        if priority:
            place = self.random.randrange(len(self.upper))
            self.upper[place].runs.begin(request, self.now_ms)
            self.at(5.0, self._run_upper, request, place, self.scenario.calls)
        else:
            self._send(request, lambda ran: self._end_root(request, ran))

    def _run_upper(self, request, place, calls_left):
        node = self.upper[place]
        if not calls_left:
            self._answer_upper(request, place, True)
            return
        # The node does not know which run made the call.
        rank = node.runs.draw_rank(self.random)
        call = Request(1, True, request.deadline_ms, node, rank)

        def go_on(ran):
            if ran:
                self.at(5.0, self._run_upper, request, place, calls_left - 1)
            else:
                self._answer_upper(request, place, False)

        self._send(call, go_on)

    def _answer_upper(self, request, place, successful):
        levels, total = self.upper[place].levels, len(self.targets)
        request.node.levels.record(
            UPPER,
            place,
            levels.level(DEEP, self.now_ms, total),
            self.now_ms,
            limited_level=levels.limited_level(DEEP, self.now_ms, total),
        )
        self._end_root(request, successful)

    def _end_root(self, request, successful):
        in_time = successful and self.now_ms <= request.deadline_ms
        self._count(self.completed if in_time else self.failed, request.priority)

    def _send(self, request, deliver, tried=()):
        targets = self.random.sample(self.targets, min(3, len(self.targets)))
        # The balancer knows about the queues of a few targets.
        fresh = [target for target in targets if target not in tried] or targets
        target = min(fresh, key=lambda target: len(target.queue))

        def on_end(ran, report):
            level, rate_per_s, limited_level = report
            request.node.levels.record(
                DEEP, target.name, level, self.now_ms, rate_per_s, limited_level
            )
            self.runs_used += ran
            more = len(tried) + 1 < MAX_REFUSALS and self.now_ms < request.deadline_ms
            if not ran and more:
                self._send(request, deliver, (*tried, target))
            else:
                deliver(ran)

        target.arrive(request, on_end)

    def completed_share(self, priority, from_s, until_s):
        """Return the completed part of the root requests of a priority in some seconds."""
        arrived = sum(self.arrived.get((priority, s), 0) for s in range(from_s, until_s))
        completed = sum(self.completed.get((priority, s), 0) for s in range(from_s, until_s))
        return completed / max(1, arrived)

    def useful(self, from_s, until_s):
        """Return the part of the capacity that completed root requests used."""
        scenario = self.scenario
        used = sum(
            self.completed.get((priority, s), 0) * (scenario.calls if priority else 1)
            for priority in range(len(scenario.shares))
            for s in range(from_s, until_s)
        )
        return used / (scenario.deep_targets * scenario.limit_per_s * (until_s - from_s))


VARIANTS = {
    "without the limited level": {"ranked": False, "by_deadline": False},
    "oldest calls first": {"ranked": True, "by_deadline": False},
    "product": {},
}


def mean(models, method, *arguments):
    """Return the mean of a method's results over several models."""
    return sum(getattr(model, method)(*arguments) for model in models) / len(models)


def main():
    """Print the used capacity and the completed requests by priority, for each load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for targets, load in itertools.product((5, 30, 80), (0.7, 1.3, 2.0, 4.0, 10.0)):
        for name, options in VARIANTS.items():
            models = [
                Model(Scenario(targets, targets, load=load), seed, **options).play(8)
                for seed in range(arguments.seeds)
            ]
            used = " ".join(
                f"{mean(models, 'useful', from_s, until_s):.2f}"
                for from_s, until_s in ((0, 1), (1, 2), (2, 3), (3, 8))
            )
            completed = " ".join(
                f"{mean(models, 'completed_share', priority, 0, 8):.2f}" for priority in range(4)
            )
            print(f"{targets:2} targets, load {load:4}, {name:25}: {used}, {completed}", flush=True)


if __name__ == "__main__":
    main()
