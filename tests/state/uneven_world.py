"""Play demand against targets of uneven speed on virtual time, with the balancers of entries."""

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import pi, sin
from random import Random

import attrs

from gentianthread.clock import ManualClock
from gentianthread.ids import AvailabilityZoneId, RegionId, ServiceId, UpstreamId
from gentianthread.state.balancer import Balancer, LoadReport
from gentianthread.state.capacity import MeasuredCapacity
from gentianthread.state.directory import UpstreamEntry
from gentianthread.state.path_delay import PathDelays

# A target takes 2.5 times as long in 15% of its phases of 600 ms.
SLOW_FRACTION = 0.15
SLOW_FACTOR = 2.5
PHASE_MS = 600.0


@attrs.define
class World:
    """Describe a deployment and its demand.

    Attributes:
        zones: Names of the zones.
        speeds: Speeds of the targets of each zone; service times are divided by them.
        slots: Slots of each target.
        service_ms: Mean service time at speed 1 and usual pace.
        per_s: Demand of all zones.
        objective_ms: Latency objective.
        entries: Entry nodes per zone.
        duration_ms: Duration; the first quarter is not counted.
        states_pace: Whether targets state the fourth figure; otherwise the old choice is used.
        phases: Whether the pace changes.
        full_factor: Factor of the service time while nearly all slots are in use.
        full_from: Fraction of the slots from which it applies.
        measures_limit: Whether the limit is measured; otherwise it stays at the usable slots.
        path_ms: One-way delay between two zones at a time.
        demand: Factor of the demand of a zone at a time.
        stated: Changes the percentage that a target states: true value, time, random.
        rejects: Fraction of the arrivals that a target rejects, by its name.
        gone_from_ms: Time from which a target cannot be reached, by its name.
        regions: Region of each zone.
        seed: Seed of all random choices.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slots: int = 20
    service_ms: float = 100.0
    per_s: float = 300.0
    objective_ms: float = 500.0
    entries: int = 4
    duration_ms: float = 16_000.0
    states_pace: bool = True
    phases: bool = True
    full_factor: float = 1.0
    full_from: float = 0.95
    measures_limit: bool = True
    path_ms: Callable[[str, str, float], float] = lambda one, other, now_ms: 1.4
    demand: Callable[[str, float], float] = lambda zone, now_ms: 1.0
    stated: Callable[[float, float, Random], float] = lambda percent, now_ms, random: percent
    rejects: dict[str, float] = attrs.field(factory=dict)
    gone_from_ms: dict[str, float] = attrs.field(factory=dict)
    regions: dict[str, str] = attrs.field(factory=dict)
    seed: int = 1


@attrs.define
class Outcome:
    """Store what was measured.

    Attributes:
        latencies_ms: Latencies of the requests that were answered.
        unanswered: Requests without an answer.
        objective_ms: Latency objective.
        by_target: Requests that each target completed.
        busy_ms: Time for which requests of each target held slots, by its name.
        left: Requests of each zone that were first sent to another one.
        sent: Requests of each zone.
        rejections: Arrivals that targets rejected.
        arrivals: Arrivals at each target, those that it rejected included.
        left_by_second: Requests sent elsewhere, by zone and second.
        queue_peak: Longest queue beside a target.
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    unanswered: int = 0
    objective_ms: float = 0.0
    by_target: Counter = attrs.field(factory=Counter)
    busy_ms: Counter = attrs.field(factory=Counter)
    left: Counter = attrs.field(factory=Counter)
    sent: Counter = attrs.field(factory=Counter)
    rejections: int = 0
    arrivals: Counter = attrs.field(factory=Counter)
    left_by_second: Counter = attrs.field(factory=Counter)
    queue_peak: int = 0

    def within(self) -> float:
        """Return the fraction of the requests that met the objective."""
        good = sum(latency <= self.objective_ms for latency in self.latencies_ms)
        return good / (len(self.latencies_ms) + self.unanswered)

    def p99_ms(self) -> float:
        """Return the 99th percentile of the latencies."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(len(ordered) * 0.99)]

    def mean_ms(self) -> float:
        """Return the mean latency."""
        return sum(self.latencies_ms) / len(self.latencies_ms)

    def busiest(self, targets: int) -> float:
        """Return the requests of the busiest target relative to the mean."""
        return max(self.by_target.values()) * targets / sum(self.by_target.values())

    def left_share(self) -> float:
        """Return the fraction of the requests that left their zone."""
        return sum(self.left.values()) / max(1, sum(self.sent.values()))

    def describe(self, targets: int) -> str:
        """Return the figures for a commit."""
        return (
            f"within {self.within():.4f} p99 {self.p99_ms():.0f} ms mean {self.mean_ms():.0f} ms "
            f"busiest/mean {self.busiest(targets):.2f} left {self.left_share():.3f} "
            f"rejected {self.rejections} unanswered {self.unanswered}"
        )


@attrs.define(eq=False)
class _Target:
    name: str
    entry: UpstreamEntry
    speed: float
    capacity: MeasuredCapacity
    random: Random
    running: int = 0
    queue: deque = attrs.field(factory=deque)
    phase_until_ms: float = 0.0
    pace: float = 1.0


@attrs.define(eq=False)
class _Request:
    zone: str
    node: "_Entry"
    arrived_ms: float
    work_ms: float
    tried: set = attrs.field(factory=set)
    sent_ms: float = 0.0
    received_ms: float = 0.0
    started_ms: float = 0.0


@attrs.define(eq=False)
class _Entry:
    zone: str
    balancer: Balancer


class Player:
    """Play one world."""

    MAX_ATTEMPTS = 4

    def __init__(self, world: World):
        self.world = world
        self.clock = ManualClock()
        self.random = Random(world.seed)
        self.outcome = Outcome(objective_ms=world.objective_ms)
        self._events: list = []
        self._numbers = count()
        self.targets: dict[str, _Target] = {}
        for zone in world.zones:
            for number, speed in enumerate(world.speeds):
                name = f"{zone}{number}"
                entry = UpstreamEntry(
                    UpstreamId(name),
                    ServiceId("stock"),
                    f"host-{name}",
                    80,
                    AvailabilityZoneId(zone),
                    world.slots,
                )
                capacity = MeasuredCapacity(0.0)
                capacity.configure(world.slots)
                if not world.measures_limit:
                    capacity._concurrency.record = lambda running, took_ms, now_ms: None
                self.targets[name] = _Target(
                    name, entry, speed, capacity, Random(f"{world.seed} {name}")
                )
        self.pool = tuple(target.entry for target in self.targets.values())
        regions = {AvailabilityZoneId(zone): RegionId(r) for zone, r in world.regions.items()}
        self.entries = {
            zone: [
                _Entry(
                    zone,
                    Balancer(
                        AvailabilityZoneId(zone),
                        self.clock.now_ms,
                        Random(f"{world.seed} {zone} {number}"),
                        PathDelays(AvailabilityZoneId(zone), regions),
                    ),
                )
                for number in range(world.entries)
            ]
            for zone in world.zones
        }

    def at(self, time_ms: float, action: Callable, *arguments) -> None:
        heappush(self._events, (time_ms, next(self._numbers), action, arguments))

    def play(self) -> Outcome:
        """Play the world to its end and return the figures."""
        for zone in self.world.zones:
            self.at(0.0, self._arrive, zone)
        while self._events:
            time_ms, _, action, arguments = heappop(self._events)
            self.clock.advance_ms(max(0.0, time_ms - self.clock.now_ms()))
            action(*arguments)
        return self.outcome

    def _arrive(self, zone: str) -> None:
        now_ms, world = self.clock.now_ms(), self.world
        if now_ms >= world.duration_ms:
            return
        per_ms = world.per_s / 1_000 / len(world.zones) * world.demand(zone, now_ms)
        self.at(now_ms + self.random.expovariate(max(per_ms, 1e-6)), self._arrive, zone)
        node = self.random.choice(self.entries[zone])
        work_ms = world.service_ms * (0.7 + 0.6 * self.random.random())
        self._send(_Request(zone, node, now_ms, work_ms))

    def counted(self) -> bool:
        return self.clock.now_ms() >= self.world.duration_ms / 4

    def _send(self, request: _Request) -> None:
        now_ms = self.clock.now_ms()
        balancer = request.node.balancer
        upstream = balancer.choose(self.pool, request.tried)
        if upstream is None or len(request.tried) >= self.MAX_ATTEMPTS:
            self.outcome.unanswered += self.counted()
            return
        if not request.tried and self.counted():
            self.outcome.sent[request.zone] += 1
            if upstream.availability_zone != request.zone:
                self.outcome.left[request.zone] += 1
                self.outcome.left_by_second[request.zone, int(now_ms / 1_000)] += 1
        request.tried.add(upstream.upstream_id)
        balancer.record_sent(upstream.upstream_id)
        request.sent_ms = now_ms
        target = self.targets[upstream.upstream_id]
        self.at(now_ms + self._path_ms(request, target), self._receive, request, target)

    def _path_ms(self, request: _Request, target: _Target) -> float:
        zone = target.entry.availability_zone
        if zone == request.zone:
            return 0.2
        return self.world.path_ms(request.zone, zone, self.clock.now_ms())

    def _receive(self, request: _Request, target: _Target) -> None:
        now_ms = self.clock.now_ms()
        request.received_ms = now_ms
        if now_ms >= self.world.gone_from_ms.get(target.name, float("inf")):
            self._answer(request, target, "gone")
            return
        wait_ms = (len(target.queue) + 1) * target.capacity.service_ms / target.capacity.limit
        if target.running >= target.capacity.limit and wait_ms > 0.4 * self.world.objective_ms:
            self._answer(request, target, "refused")
            return
        target.queue.append(request)
        self.outcome.queue_peak = max(self.outcome.queue_peak, len(target.queue))
        self._dispatch(target)

    def _dispatch(self, target: _Target) -> None:
        while target.queue and target.running < target.capacity.limit:
            request = target.queue.popleft()
            now_ms = self.clock.now_ms()
            self.outcome.arrivals[target.name] += self.counted()
            if target.random.random() < self.world.rejects.get(target.name, 0.0):
                self.outcome.rejections += self.counted()
                self._answer(request, target, "rejected")
                continue
            target.running += 1
            target.capacity.record_running(target.running, now_ms)
            request.started_ms = now_ms
            took_ms = request.work_ms / target.speed * self._pace(target)
            if target.running >= self.world.full_from * self.world.slots:
                took_ms *= self.world.full_factor
            self.at(now_ms + took_ms, self._complete, request, target)

    def _pace(self, target: _Target) -> float:
        now_ms = self.clock.now_ms()
        if self.world.phases and now_ms >= target.phase_until_ms:
            target.phase_until_ms = now_ms + PHASE_MS
            target.pace = SLOW_FACTOR if target.random.random() < SLOW_FRACTION else 1.0
        return target.pace

    def _complete(self, request: _Request, target: _Target) -> None:
        now_ms, world = self.clock.now_ms(), self.world
        took_ms = now_ms - request.started_ms
        if self.counted():
            self.outcome.by_target[target.name] += 1
            self.outcome.busy_ms[target.name] += took_ms
        figures = f"{target.running},0,{world.slots}"
        if world.states_pace:
            percent = world.stated(100 * self._pace(target), now_ms, target.random)
            figures += f",{percent:.0f}"
        target.capacity.record_load(figures, target.running, now_ms)
        target.capacity.record_answer(took_ms, now_ms)
        target.running -= 1
        target.capacity.record_running(target.running, now_ms)
        self._dispatch(target)
        self._answer(request, target, "answered")

    def _answer(self, request: _Request, target: _Target, outcome: str) -> None:
        now_ms, capacity = self.clock.now_ms(), target.capacity
        report = LoadReport(
            target.running,
            len(target.queue),
            capacity.limit,
            capacity.service_ms,
            0.0,
            throughput_per_s=capacity.throughput_per_s,
            work_percent=capacity.pace.percent(now_ms),
        )
        spent_ms = now_ms - request.received_ms
        self.at(
            now_ms + self._path_ms(request, target),
            self._settle,
            request,
            target,
            outcome,
            None if outcome == "gone" else report,
            spent_ms,
        )

    def _settle(
        self,
        request: _Request,
        target: _Target,
        outcome: str,
        report: LoadReport | None,
        spent_ms: float,
    ) -> None:
        now_ms, balancer = self.clock.now_ms(), request.node.balancer
        upstream_id = target.entry.upstream_id
        balancer.record_ended(upstream_id, report)
        if outcome == "answered":
            balancer.record_exchange(target.entry, now_ms - request.sent_ms, spent_ms)
            balancer.record_success(upstream_id)
            if self.counted():
                self.outcome.latencies_ms.append(now_ms - request.arrived_ms)
            return
        if outcome == "rejected":
            balancer.record_rejection(upstream_id)
        elif outcome == "gone":
            balancer.record_failure(upstream_id, unreachable=True)
        self._send(request)


def opposite_waves(amplitude: float, period_ms: float = 11_000.0) -> Callable[[str, float], float]:
    """Return a demand whose zones rise and fall in opposite phase."""
    return lambda zone, now_ms: 1 + amplitude * sin(
        2 * pi * now_ms / period_ms + (pi if ord(zone) % 2 else 0.0)
    )


def play_all(world: World, seeds: tuple[int, ...] = (1, 2, 3)) -> Outcome:
    """Play a world with several seeds, as single ones differ by half a percent of the requests."""
    outcomes = [Player(attrs.evolve(world, seed=seed)).play() for seed in seeds]
    total = Outcome(objective_ms=world.objective_ms)
    for outcome in outcomes:
        total.latencies_ms += outcome.latencies_ms
        total.unanswered += outcome.unanswered
        total.rejections += outcome.rejections
        total.queue_peak = max(total.queue_peak, outcome.queue_peak)
        for name in ("by_target", "busy_ms", "left", "sent", "arrivals", "left_by_second"):
            getattr(total, name).update(getattr(outcome, name))
    return total


def compare(world: World) -> tuple[Outcome, Outcome]:
    """Play the same load and seeds with the old and the new choice."""
    return play_all(attrs.evolve(world, states_pace=False)), play_all(world)
