"""Simulate the quota of whole fleets on virtual time, for tests and benchmarks."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

import attrs

from gentianthread.clock import Clock, LoopClock
from gentianthread.coordination.escrow_quota import EscrowQuota
from gentianthread.coordination.peer_network import MemoryFabric, MemoryPeerNetwork
from gentianthread.coordination.quota_context import QuotaTimes
from gentianthread.errors import RateExceeded
from gentianthread.ids import (
    AvailabilityZoneId,
    ConfigVersion,
    NodeIdentity,
    OrganisationId,
    ServiceId,
    StartNumber,
    UpstreamId,
)
from gentianthread.state.members import Member, Members, MemberState
from gentianthread.state.plan import Organisation, Plan, Upstream

ORGANISATION = OrganisationId("alpha")


def quota_plan(
    zones: dict[str, int],
    version: int = 1,
    organisations: dict[str, tuple[float, float]] | None = None,
    fractions: dict[str, float] | None = None,
) -> Plan:
    """Return a plan with only those parts that the quota reads.

    Args:
        zones: Number of upstreams in each zone.
        version: Version number.
        organisations: Rate per second and burst of each organisation.
        fractions: Fractions of upstreams, equal by default.
    """
    upstreams = {}
    for zone, number in zones.items():
        for index in range(number):
            name = UpstreamId(f"{zone}-{index}")
            upstreams[name] = Upstream(
                name, ServiceId("s"), AvailabilityZoneId(zone), "127.0.0.1", 1, 2, 3, 4, 8
            )
    rates = organisations or {ORGANISATION: (100.0, 50.0)}
    return Plan(
        version=ConfigVersion(version),
        availability_zones=tuple(AvailabilityZoneId(zone) for zone in zones),
        upstreams=upstreams,
        organisations={
            OrganisationId(name): Organisation(OrganisationId(name), rate, burst)
            for name, (rate, burst) in rates.items()
        },
        fractions=fractions or {name: 1 / len(upstreams) for name in upstreams},
    )


class PausableClock(Clock):
    """Simulate the clock of a process that can be paused.

    While paused, the time stands still and no sleeping task wakes up.
    """

    def __init__(self, speed: float = 1.0) -> None:
        """Create a running clock.

        Args:
            speed: Speed of the clock relative to true time.
        """
        self._speed = speed
        self._loop_clock = LoopClock()
        self._paused_at_ms: float | None = None
        self._resumed_event = asyncio.Event()
        self._resumed_event.set()

    @property
    def paused(self) -> bool:
        """Return whether the process is paused."""
        return self._paused_at_ms is not None

    def pause(self) -> None:
        """Stop the time."""
        self._paused_at_ms = self.now_ms()
        self._resumed_event.clear()

    def resume(self) -> None:
        """Continue at the current time of the event loop."""
        self._paused_at_ms = None
        self._resumed_event.set()

    def now_ms(self) -> float:
        """Return the time that the process sees."""
        now_ms = self._loop_clock.now_ms() * self._speed
        return now_ms if self._paused_at_ms is None else self._paused_at_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep, and stay asleep while paused."""
        await super().sleep_ms(duration_ms)
        await self._resumed_event.wait()


class FleetView(Members):
    """Give one process a view of the fleet that stays as it is until the next refresh.

    The time between refreshes simulates the delay of failure detection.
    """

    def __init__(self, fleet: "QuotaFleet", local: NodeIdentity):
        """Create a view.

        Args:
            fleet: The fleet.
            local: Process that has the view.
        """
        self._fleet = fleet
        self._local = local
        self._members: dict[UpstreamId, Member] = {}
        self._by_zone: dict[AvailabilityZoneId | None, list[UpstreamId]] = {}

    def refresh(self) -> None:
        """Update the view to the current state of the fleet."""
        self._members = {
            upstream_id: Member(node.identity, self._state_of(node))
            for upstream_id, node in self._fleet.newest_nodes.items()
        }
        self._by_zone = {}

    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return a member as of the last refresh."""
        return self._members.get(upstream_id)

    def all(self) -> list[Member]:
        """Return every member in id order."""
        return [self._members[name] for name in sorted(self._members)]

    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return no neighbours, since the quota reads none."""
        return ()

    def reachable(self, availability_zone: AvailabilityZoneId | None = None) -> list[UpstreamId]:
        """Return the reachable members, cached until the next refresh."""
        if availability_zone not in self._by_zone:
            self._by_zone[availability_zone] = super().reachable(availability_zone)
        return self._by_zone[availability_zone]

    def _state_of(self, node: "QuotaNode") -> MemberState:
        if node.identity == self._local:
            return MemberState.LIVE
        fabric = self._fleet.fabric
        source, other = self._local.upstream_id, node.identity.upstream_id
        if (
            fabric.conditions_between(source, other).cut
            or fabric.conditions_between(other, source).cut
        ):
            same_zone = node.identity.availability_zone == self._local.availability_zone
            return MemberState.FAILED if same_zone else MemberState.UNREACHABLE
        if not node.alive or node.clock.paused:
            return MemberState.FAILED
        leaving = node.quota.zone_holder.leaving
        return MemberState.LEAVING if leaving else MemberState.LIVE


@attrs.define(eq=False)
class QuotaNode:
    """Group the parts of one process of the fleet.

    Attributes:
        identity: Its identity.
        network: Its network endpoint.
        clock: Its clock.
        view: Its view of the fleet.
        quota: Its quota.
        alive: Whether the process runs or is paused.
        plan: The plan that was delivered to it last.
    """

    identity: NodeIdentity
    network: MemoryPeerNetwork
    clock: PausableClock
    view: FleetView
    quota: EscrowQuota
    alive: bool = True
    plan: Plan | None = None

    def pause(self) -> None:
        """Stop the tasks, the message handlers and the clock of the process."""
        self.clock.pause()
        self.network.running.clear()

    def resume(self) -> None:
        """Resume the process; messages that arrived meanwhile are handled first."""
        self.clock.resume()
        self.network.running.set()


class QuotaFleet:
    """Run the processes of a plan over one memory fabric."""

    def __init__(
        self,
        plan: Plan,
        seed: int = 0,
        times: QuotaTimes | None = None,
        drift: float = 0.0,
        fabric: MemoryFabric | None = None,
    ):
        """Create the processes without starting them.

        Args:
            plan: The first plan.
            seed: Seed of the fabric.
            times: Times and amounts of the quota.
            drift: Largest error in the speed of the clocks.
            fabric: Fabric to use in place of a fresh one.
        """
        self.drift = drift
        self.plan = plan
        self.times = times or QuotaTimes()
        self.fabric = fabric or MemoryFabric(seed)
        self.newest_nodes: dict[UpstreamId, QuotaNode] = {}
        self.nodes: list[QuotaNode] = []
        self.admitted: dict[OrganisationId, list[float]] = defaultdict(list)
        self._starts = 0

    def start(self) -> None:
        """Start one process for each upstream."""
        for upstream_id in self.plan.upstreams:
            self.add(upstream_id)
        self.refresh_views()

    def add(self, upstream_id: UpstreamId) -> QuotaNode:
        """Start a process; an older one of the same upstream runs on without its address."""
        self._starts += 1
        zone = self.plan.upstreams[upstream_id].availability_zone
        identity = NodeIdentity(upstream_id, zone, StartNumber(self._starts))
        clock = PausableClock(1 + self.fabric.random.uniform(-self.drift, self.drift))
        network = self.fabric.attach(identity)
        view = FleetView(self, identity)
        quota = EscrowQuota(network, view, clock, self.times)
        node = QuotaNode(identity, network, clock, view, quota)
        self.newest_nodes[upstream_id] = node
        self.nodes.append(node)
        view.refresh()
        quota.start()
        self.deliver_plan(node, self.plan)
        return node

    def deliver_plan(self, node: QuotaNode, plan: Plan) -> None:
        """Deliver a plan to a process."""
        node.plan = plan
        node.quota.accept_plan(plan)

    async def kill(self, node: QuotaNode) -> None:
        """End a process without warning."""
        node.alive = False
        self.fabric.detach(node.network)
        await node.quota.stop()

    def refresh_views(self) -> None:
        """Update the views of all running processes to the current state of the fleet."""
        for node in self.nodes:
            if node.alive and not node.clock.paused:
                node.view.refresh()

    def upstreams_of_zone(self, zone: str) -> set[UpstreamId]:
        """Return the upstreams of a zone."""
        return {
            name
            for name, upstream in self.plan.upstreams.items()
            if upstream.availability_zone == zone
        }

    async def acquire(
        self, node: QuotaNode, organisation_id: OrganisationId, max_wait_ms: float = 50.0
    ) -> bool:
        """Send one request; record its time and return true if it is admitted."""
        try:
            await node.quota.acquire(organisation_id, max_wait_ms)
        except RateExceeded:
            return False
        self.admitted[organisation_id].append(asyncio.get_running_loop().time() * 1000)
        return True

    async def send_overload(
        self,
        until_ms: float,
        random,
        interval_ms: float = 2.0,
        nodes: Callable[[], list[QuotaNode]] | None = None,
    ) -> None:
        """Send more requests than the limits allow to random nodes until a given time."""
        tasks: set[asyncio.Task] = set()
        clock = LoopClock()
        organisations = sorted(self.plan.organisations)
        while clock.now_ms() < until_ms:
            running_nodes = [node for node in self.nodes if node.alive and not node.clock.paused]
            candidates = nodes() if nodes else running_nodes
            if candidates:
                node = random.choice(candidates)
                work = self.acquire(node, random.choice(organisations))
                task = asyncio.ensure_future(work)
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await clock.sleep_ms(random.uniform(0.0, 2.0 * interval_ms))
        await asyncio.gather(*tasks)

    def count_tokens(self, organisation_id: OrganisationId) -> float:
        """Return how many tokens running processes can spend or grant at this moment."""
        total = 0.0
        for node in self.nodes:
            if not node.alive or node.clock.paused:
                continue
            quota = node.quota
            pool = quota.fleet_holder.pools.get(organisation_id)
            if pool is not None:
                pool.refresh()
                total += pool.bucket.level
            cache = quota.zone_holder.caches.get(organisation_id)
            if cache is not None and node.clock.now_ms() < cache.stock.expires_at_ms:
                total += cache.stock.amount
            total += quota.stock.amount(organisation_id)
        return total

    async def close(self) -> None:
        """End all processes."""
        for node in self.nodes:
            await node.quota.stop()
        await self.fabric.close()


def excess(times_ms: list[float], rate_per_s: float, burst: float) -> float:
    """Return by how much admissions overflow a leaky bucket; at most 0 if they keep the limits.

    The bucket overflows exactly if some interval `t` contains more than `rate * t + burst`
    admissions.
    """
    level, last_ms, largest = 0.0, 0.0, -burst
    for at_ms in sorted(times_ms):
        level = max(0.0, level - rate_per_s * (at_ms - last_ms) / 1000) + 1.0
        last_ms = at_ms
        largest = max(largest, level - burst)
    return largest
