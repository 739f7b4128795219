"""Model the repeats in a call graph four deep, on virtual time, with the product's retry windows.

`python -m tests.state.retry_budget_model --seeds 40` prints the figures of
docs/design/retry-budget.md.
"""

import argparse
from bisect import bisect_left
from heapq import heappop, heappush
from itertools import count
from random import Random

import attrs

from gentianthread.state.retry_window import FleetBudget, RetryWindow
from gentianthread.state.target_runs import TargetRuns

RATIO = 0.2
SLACK = 100.0
WINDOW_MS = 10_000.0
MAX_ATTEMPTS = 3
TIMEOUT_MS = 3_000.0


@attrs.frozen
class Scenario:
    """Describe a call graph in which each service calls the next one.

    Attributes:
        calls: Calls of a run of each service to the next one, one after the other; 0 at the end.
        targets: Targets of each service.
        rejected: Fraction of the arrivals that each service's targets reject as not run.
        lost: Fraction of the runs of each service that are lost at a random call.
        deep_roots: Fraction of the root requests that go to the last service.
        roots_per_s: Root requests per second, before and after `changes_at_s`.
        changes_at_s: Time at which the demand changes.
        restarts_per_s: Nodes that restart per second, over all nodes.
        work_ms: Time of the work of a run before each call and at its end.
        path_ms: Time of an attempt that is rejected.
    """

    calls: tuple[int, ...] = (2, 2, 2, 0)
    targets: tuple[int, ...] = (6, 6, 6, 6)
    rejected: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
    lost: tuple[float, ...] = (0.0, 0.0, 0.0, 0.0)
    deep_roots: float = 0.0
    roots_per_s: tuple[float, float] = (40.0, 40.0)
    changes_at_s: float = 1e9
    restarts_per_s: float = 0.0
    work_ms: float = 30.0
    path_ms: float = 4.0


# Rejections at the last service alone: the requirement on callers that compete for it.
DEEP_REJECTIONS = Scenario((4, 0), (10, 6), (0.0, 0.3), (0.0, 0.0), roots_per_s=(80.0, 80.0))


class Node:
    """Store the state of the node beside one target."""

    def __init__(self, rules, node_count, service):
        self.rules = rules
        self.service = service
        self.node_count = node_count
        self.restart()

    def restart(self):
        """Forget the windows; the target and its runs go on."""
        self.windows = {}
        self.runs = TargetRuns()

    def window(self, service):
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = RetryWindow(0.0, 0.0, 0.0)
            self.rules.configure(window, self.node_count)
        return window


class Rules:
    """Apply the rules of the product."""

    leaves_to_calls = True

    def configure(self, window, node_count):
        window.configure(FleetBudget(RATIO, SLACK, WINDOW_MS, node_count))

    def inherits(self, node, truly_repeated, now_ms):
        return node.runs.repeated_under_way(now_ms)


class EarlierRules:
    """Apply a quarter of the ratio at each node, with all requests alike."""

    leaves_to_calls = False

    def configure(self, window, node_count):
        window.ratio = window.own_ratio = RATIO / 4
        window.slack = SLACK / 4 / node_count
        window.window_ms = WINDOW_MS

    def inherits(self, node, truly_repeated, now_ms):
        return False


class WholeRatioRules(EarlierRules):
    """Apply the whole ratio at each node without regard to the calls of repeated runs."""

    def configure(self, window, node_count):
        super().configure(window, node_count)
        window.ratio = window.own_ratio = RATIO


class RepeatingRules(Rules):
    """Repeat runs also after one of their calls was refused."""

    leaves_to_calls = False


class ExactRules(Rules):
    """Know which run made a call, which a node does not."""

    def inherits(self, node, truly_repeated, now_ms):
        return truly_repeated


@attrs.define(eq=False)
class Request:
    """Store a request under way; its attempts and the run of its last attempt.

    Attributes:
        service: Number of its service.
        node: Node that sends it.
        parent: Run that made it, or None for a root request.
        counts_as_repeat: Whether its arrivals count as repeats, by the true lineage.
        marked: Whether the node believes so.
        attempts: Attempts that arrived.
    """

    service: int
    node: Node
    parent: "Run | None"
    counts_as_repeat: bool
    marked: bool
    request_id: str
    depth: int = 0
    remaining_ms: float = TIMEOUT_MS
    repeated: bool = False
    attempts: int = 0
    tried: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Run:
    """Store a run on a target: the calls it has made, and whether it repeats work."""

    request: Request
    node: Node
    repeats: bool
    calls_left: int
    lost_after: int
    started_ms: float


class Model:
    """Play a scenario and record the arrivals at each service."""

    def __init__(self, scenario, rules, seed):
        self.scenario, self.rules, self.random = scenario, rules, Random(seed)
        total = sum(scenario.targets)
        self.nodes = [
            [Node(rules, total, s) for _ in range(n)] for s, n in enumerate(scenario.targets)
        ]
        self.all_nodes = [node for nodes in self.nodes for node in nodes]
        self.now_ms = 0.0
        self._events, self._numbers = [], count()
        self.requests = [[] for _ in scenario.targets]
        self.repeats = [[] for _ in scenario.targets]
        self.roots = self.completed = self.runs_ended = self.runs_failed = 0

    def at(self, delay_ms, action, *arguments):
        heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action, arguments))

    def play(self, duration_s):
        self.at(0, self._root)
        if self.scenario.restarts_per_s:
            self.at(self._interval_ms(self.scenario.restarts_per_s), self._restart)
        while self._events and self._events[0][0] < duration_s * 1_000:
            self.now_ms, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self

    def _interval_ms(self, rate_per_s):
        return self.random.expovariate(rate_per_s) * 1_000

    def _restart(self):
        self.random.choice(self.all_nodes).restart()
        self.at(self._interval_ms(self.scenario.restarts_per_s), self._restart)

    def _root(self):
        scenario = self.scenario
        changed = self.now_ms >= scenario.changes_at_s * 1_000
        self.at(self._interval_ms(scenario.roots_per_s[changed]), self._root)
        is_deep = self.random.random() < scenario.deep_roots
        service = len(scenario.targets) - 1 if is_deep else 0
        self._send(Request(service, self.random.choice(self.all_nodes), None, False, False, ""))

    def _send(self, request):
        request.request_id = str(next(self._numbers))
        window = request.node.window(request.service)
        if request.marked:
            window.record_inherited(self.now_ms)
        else:
            window.record_request(self.now_ms)
        self._attempt(request)

    def _attempt(self, request):
        scenario, service = self.scenario, request.service
        repeats = request.counts_as_repeat or request.attempts > 0
        (self.repeats if repeats else self.requests)[service].append(self.now_ms)
        request.attempts += 1
        places = [n for n in range(len(self.nodes[service])) if n not in request.tried]
        place = self.random.choice(places)
        request.tried.add(place)
        node = self.nodes[service][place]
        if self.random.random() < scenario.rejected[service]:
            self.at(scenario.path_ms, self._ended, request, "rejected", False)
            return
        calls = scenario.calls[service]
        is_lost = self.random.random() < scenario.lost[service]
        lost_after = self.random.randint(0, calls) if is_lost else -1
        run = Run(request, node, repeats, calls, lost_after, self.now_ms)
        request.repeated = request.marked or request.attempts > 1
        node.runs.begin(request, self.now_ms)
        self.at(self._work_ms(), self._step, run)

    def _work_ms(self):
        return self.scenario.work_ms * self.random.uniform(0.5, 1.5)

    def _step(self, run):
        made = self.scenario.calls[run.request.service] - run.calls_left
        if made == run.lost_after:
            self._ended(run.request, "lost", False)
        elif not run.calls_left:
            self._answer(run, successful=True)
        else:
            run.calls_left -= 1
            marked = self.rules.inherits(run.node, run.repeats, self.now_ms)
            self._send(
                Request(
                    run.request.service + 1,
                    run.node,
                    run,
                    run.repeats,
                    marked,
                    "",
                    run.node.runs.depth + 1,
                )
            )

    def _answer(self, run, *, successful):
        run.node.runs.end(run.request.request_id, 200 if successful else 500)
        if run.request.service == 0:
            self.runs_ended += 1
            self.runs_failed += not successful
        lacks_call = bool(not successful and run.node.runs.error_reason(500, run.started_ms))
        self._ended(run.request, "completed" if successful else "failed", lacks_call)

    def _ended(self, request, outcome, lacks_call):
        """End an attempt; repeat it or deliver the outcome to the run that called."""
        if outcome != "completed" and self._may_repeat(request, lacks_call):
            request.node.window(request.service).record_retry(self.now_ms)
            self._attempt(request)
            return
        run = request.parent
        if run is None:
            if request.service == 0:
                self.roots += 1
                self.completed += outcome == "completed"
        elif outcome == "completed":
            self.at(self._work_ms(), self._step, run)
        else:
            if outcome == "rejected" or lacks_call:
                request.node.runs.record_refused_call(self.now_ms)
            self._answer(run, successful=False)

    def _may_repeat(self, request, lacks_call):
        if request.attempts >= MAX_ATTEMPTS or (lacks_call and self.rules.leaves_to_calls):
            return False
        window = request.node.window(request.service)
        return window.allows(self.now_ms, self._leaf_depth(request))

    def _leaf_depth(self, request):
        is_leaf = not self.scenario.calls[request.service]
        is_left_to_calls = request.parent is None and request.service - 1 == request.node.service
        return request.depth if is_leaf and not is_left_to_calls else None

    def worst_use(self):
        """Return the largest part of the allowed repeats that any window at any service had.

        Windows start every 50 ms.
        """
        worst = 0.0
        for requests, repeats in zip(self.requests, self.repeats, strict=True):
            start_ms = 0.0
            while start_ms + WINDOW_MS <= self.now_ms:
                most = max(
                    _count(requests, start_ms - before_ms)
                    for before_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
                )
                worst = max(worst, _count(repeats, start_ms) / (RATIO * most + SLACK))
                start_ms += 50.0
        return worst

    def repeat_ratio(self, service):
        """Return the repeats of a service per request."""
        return len(self.repeats[service]) / max(1, len(self.requests[service]))


def _count(times, start_ms):
    return bisect_left(times, start_ms + WINDOW_MS) - bisect_left(times, start_ms)


SCENARIOS = {
    "deep rejections": DEEP_REJECTIONS,
    "some rejections above": Scenario(
        (1, 4, 0), (6, 8, 6), (0.05, 0.05, 0.3), (0.02, 0.02, 0.0), roots_per_s=(60.0, 60.0)
    ),
    "some losses above": Scenario(
        (1, 4, 0), (6, 8, 6), (0.0, 0.0, 0.2), (0.1, 0.1, 0.0), roots_per_s=(60.0, 60.0)
    ),
    "some rejections": Scenario(
        (1, 2, 2, 0), rejected=(0.1, 0.1, 0.1, 0.1), lost=(0.02, 0.02, 0.02, 0.02)
    ),
    "low concurrency": Scenario(
        (1, 2, 2, 0), rejected=(0.1, 0.1, 0.1, 0.1), lost=(0.02, 0.02, 0.02, 0.02), work_ms=3.0
    ),
    "low, middle": Scenario(
        (1, 2, 2, 0), rejected=(0.0, 0.4, 0.1, 0.1), lost=(0.02, 0.02, 0.02, 0.02), work_ms=3.0
    ),
    "rejections everywhere": Scenario(rejected=(0.3, 0.3, 0.3, 0.3)),
    "losses everywhere": Scenario(lost=(0.3, 0.3, 0.3, 0.3)),
    "losses above": Scenario(lost=(0.6, 0.1, 0.0, 0.0)),
    "both": Scenario(rejected=(0.2, 0.2, 0.2, 0.3), lost=(0.2, 0.2, 0.2, 0.0), deep_roots=0.3),
    "demand falls": Scenario(
        rejected=(0.0, 0.3, 0.3, 0.3),
        lost=(0.3, 0.0, 0.0, 0.0),
        roots_per_s=(60.0, 6.0),
        changes_at_s=15.0,
    ),
    "restarts": Scenario(rejected=(0.2, 0.2, 0.2, 0.3), restarts_per_s=1.0),
    "four calls": Scenario(
        (4, 4, 4, 0),
        rejected=(0.2, 0.2, 0.2, 0.3),
        lost=(0.1, 0.0, 0.0, 0.0),
        roots_per_s=(10.0, 10.0),
    ),
}
RULES = {
    "earlier": EarlierRules,
    "product": Rules,
    "whole ratio": WholeRatioRules,
    "repeating": RepeatingRules,
    "exact": ExactRules,
}


def main():
    """Print the worst use of the budget and the completed part for all scenarios and rules."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--scenario", choices=SCENARIOS)
    arguments = parser.parse_args()
    for scenario_name in [arguments.scenario] if arguments.scenario else SCENARIOS:
        for rules_name, rules in RULES.items():
            models = [
                Model(SCENARIOS[scenario_name], rules(), seed).play(arguments.seconds)
                for seed in range(arguments.seeds)
            ]
            completed = sum(m.completed for m in models) / sum(m.roots for m in models)
            failed = sum(m.runs_failed for m in models) / max(1, sum(m.runs_ended for m in models))
            ratios = [
                sum(m.repeat_ratio(service) for m in models) / len(models)
                for service in range(len(SCENARIOS[scenario_name].targets))
            ]
            print(
                f"{scenario_name:22} {rules_name:12} worst use "
                f"{max(m.worst_use() for m in models):.3f}, completed {completed:.3f}, "
                f"upper runs that failed {failed:.3f}, repeats per request "
                + " ".join(f"{ratio:.3f}" for ratio in ratios),
                flush=True,
            )


if __name__ == "__main__":
    main()
