"""Model callers that are refused under overload and return after the time in Retry-After.

`python -m tests.state.return_model --seeds 5` prints the figures of docs/design/admission.md.
"""

import argparse
import itertools
from collections import deque
from heapq import heappop, heappush
from itertools import count
from random import Random

import attrs

from gentianthread.ids import ServiceId
from gentianthread.state.return_times import ReturnTimes, has_returned
from gentianthread.state.timeout_estimate import TimeoutEstimate

SERVICE = ServiceId("pricing")
OBJECTIVE_MS = 800.0


@attrs.frozen
class Scenario:
    """Describe the load.

    Attributes:
        capacity_per_s: Requests per second that can be admitted, over all entries.
        load: Demand of new requests divided by the capacity.
        pulse_s: Time for which the demand exceeds the capacity; it is 0.7 of the capacity then.
        outage_s: Time at the beginning for which nothing can be admitted.
        entries: Entry nodes; a caller returns to any of them.
        timeout_ms: Time for which a caller tries.
        has_objective: Whether the route has a latency objective.
    """

    capacity_per_s: float = 100.0
    load: float = 2.0
    pulse_s: float = 1e9
    outage_s: float = 0.0
    entries: int = 8
    timeout_ms: float = 3_000.0
    has_objective: bool = True


@attrs.define(eq=False)
class Caller:
    """Store one request of a caller."""

    started_ms: float
    attempts: int = 0


class Model:
    """Play callers, and entries that refuse by a level of half a second ago."""

    def __init__(self, scenario, seed, *, ordered=True):
        self.scenario, self.ordered, self.random = scenario, ordered, Random(seed)
        self.now_ms, self._numbers, self._events = 0.0, count(), []
        self.entries = [ReturnTimes(self.random) for _ in range(scenario.entries)]
        self.estimates = [TimeoutEstimate(scenario.timeout_ms) for _ in range(scenario.entries)]
        # Requests that passed the level in the last second, and the fractions refused last.
        self.arrived = deque()
        self.fractions = deque([0.0] * 5, 5)
        self.tokens = 0.0
        self.callers, self.served_ms, self.lost, self.attempts = 0, [], 0, 0

    def at(self, delay_ms, action, *arguments):
        heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action, arguments))

    def play(self, duration_s):
        self.at(0.0, self._new)
        self.at(0.0, self._update)
        while self._events and self._events[0][0] < duration_s * 1_000:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self

    def capacity_per_s(self):
        return self.scenario.capacity_per_s * (self.now_ms >= self.scenario.outage_s * 1_000)

    def _update(self):
        self.at(100.0, self._update)
        while self.arrived and self.arrived[0] < self.now_ms - 1_000:
            self.arrived.popleft()
        # As in `LevelControl`: the demand is what passes, divided by the passed part.
        demand_per_s = len(self.arrived) / max(0.1, 1 - self.fractions[0])
        wanted = max(0.0, 1 - self.capacity_per_s() / max(1e-9, demand_per_s))
        fraction = self.fractions[-1] + 0.35 * (wanted - self.fractions[-1])
        self.fractions.append(min(0.95, fraction))
        # What a queue of 100 ms takes; more is refused by the targets, as a level is never exact.
        self.tokens = min(self.tokens + self.capacity_per_s() / 10, self.capacity_per_s() / 5)

    def _new(self):
        scenario = self.scenario
        load = scenario.load if self.now_ms < scenario.pulse_s * 1_000 else 0.7
        self.at(self.random.expovariate(scenario.capacity_per_s * load) * 1_000, self._new)
        self.callers += 1
        self._send(Caller(self.now_ms))

    def _send(self, caller):
        caller.attempts += 1
        self.attempts += 1
        remaining_ms = caller.started_ms + self.scenario.timeout_ms - self.now_ms
        place = self.random.randrange(len(self.entries))
        entry, estimate, fraction = self.entries[place], self.estimates[place], self.fractions[0]
        estimate.record(remaining_ms)
        used_ms = estimate.value_ms - remaining_ms
        returned = self.ordered and has_returned(estimate.value_ms, remaining_ms)
        missed = self.scenario.has_objective and used_ms > 0.6 * OBJECTIVE_MS
        draw = entry.draw(SERVICE, 0, self.now_ms, returned=returned, objective_missed=missed)
        if draw >= fraction:
            self.arrived.append(self.now_ms)
        if draw >= fraction and self.tokens >= 1:
            self.tokens -= 1
            entry.record_admitted(SERVICE, 0, self.now_ms)
            self.served_ms.append(self.now_ms - caller.started_ms)
            return
        if self.ordered:
            wait_ms = entry.next_wait_ms(SERVICE, 0, remaining_ms, self.now_ms)
        else:
            wait_ms = self.random.uniform(150, 450) + 1_000 * fraction / (1.1 - fraction)
        wait_ms = min(wait_ms, remaining_ms / 3)
        if remaining_ms - wait_ms < 100:
            self.lost += 1
        else:
            self.at(wait_ms, self._send, caller)

    def served(self):
        """Return the part of the ended callers that was served."""
        return len(self.served_ms) / max(1, len(self.served_ms) + self.lost)

    def in_time(self):
        """Return the part of the ended callers that was served within the objective."""
        in_time = sum(took_ms <= OBJECTIVE_MS for took_ms in self.served_ms)
        return in_time / max(1, len(self.served_ms) + self.lost)

    def attempts_per_caller(self):
        """Return how often a caller sent its request."""
        return self.attempts / self.callers


SCENARIOS = {
    "load 1.2": Scenario(load=1.2),
    "load 2": Scenario(load=2.0),
    "load 4": Scenario(load=4.0),
    "pulse of 2 s at 2": Scenario(load=2.0, pulse_s=2.0),
    "pulse of 2 s at 4": Scenario(load=4.0, pulse_s=2.0),
    "outage of 2 s": Scenario(load=0.7, outage_s=2.0),
    "outage of 2 s, 10 s timeout": Scenario(load=0.7, outage_s=2.0, timeout_ms=10_000.0),
    "pulse of 5 s at 2, 10 s timeout": Scenario(load=2.0, pulse_s=5.0, timeout_ms=10_000.0),
}


def main():
    """Print what callers get, with and without the order of return."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    cases = itertools.product((True, False), SCENARIOS, (False, True))
    for has_objective, name, ordered in cases:
        models = [
            Model(
                attrs.evolve(SCENARIOS[name], has_objective=has_objective), seed, ordered=ordered
            ).play(20)
            for seed in range(arguments.seeds)
        ]

        def mean(method, models=models):
            return sum(getattr(model, method)() for model in models) / len(models)

        kind = "objective" if has_objective else ""
        variant = "product" if ordered else "before"
        print(
            f"{name:32} {kind:9} {variant:8} served {mean('served'):.3f}, "
            f"within the objective {mean('in_time'):.3f}, "
            f"attempts {mean('attempts_per_caller'):.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
