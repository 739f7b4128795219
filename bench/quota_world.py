"""Build simulated deployments for the quota benchmarks."""

import asyncio
from collections import Counter, defaultdict

import logbook
import looptime

from gentianthread.clock import LoopClock
from gentianthread.coordination.peer_network import MemoryFabric, PathConditions
from gentianthread.ids import OrganisationId, UpstreamId
from gentianthread.state.plan import Plan
from tests.coordination.quota_fleet import QuotaFleet, QuotaNode, quota_plan

from .quota_traffic import Arrival, Limits

# Assumed one-way delay inside a zone, between two nodes of one data centre network.
INSIDE_DELAY_MS = 0.25
JITTER_PART = 0.1
DETECTION_MS = 1_000.0
ANNOUNCEMENT_MS = 200.0


class CountingFabric(MemoryFabric):
    """Count messages and bytes of each node and give each pair of zones its delay."""

    def __init__(self, seed: int, plan: Plan, delay_ms: float):
        """Create a fabric.

        Args:
            seed: Seed of the jitter.
            plan: Where the upstreams are.
            delay_ms: One-way delay between zones.
        """
        super().__init__(seed)
        self.zone_of = {name: each.availability_zone for name, each in plan.upstreams.items()}
        self.inside = PathConditions(INSIDE_DELAY_MS, JITTER_PART * INSIDE_DELAY_MS)
        self.between = PathConditions(delay_ms, JITTER_PART * delay_ms)
        self.messages: Counter[UpstreamId] = Counter()
        self.bytes: Counter[UpstreamId] = Counter()

    def conditions_between(self, source: UpstreamId, destination: UpstreamId) -> PathConditions:
        """Return the rules of one direction."""
        conditions = self.conditions.get((source, destination))
        if conditions is not None:
            return conditions
        same = self.zone_of[source] == self.zone_of[destination]
        return self.inside if same else self.between

    def post(self, source, destination, data, deliver) -> None:
        """Count a message at both ends and deliver it."""
        for end in (source.local.upstream_id, destination):
            self.messages[end] += 1
            self.bytes[end] += len(data)
        super().post(source, destination, data, deliver)

    def reset_counts(self) -> None:
        """Start counting anew."""
        self.messages.clear()
        self.bytes.clear()


class World:
    """Run one deployment and send it traffic."""

    def __init__(
        self,
        zones: dict[str, int],
        delay_ms: float,
        organisations: dict[str, Limits],
        seed: int,
        max_wait_ms: float,
    ):
        """Create a deployment whose processes are not started.

        Args:
            zones: Number of nodes in each zone.
            delay_ms: One-way delay between zones.
            organisations: Limits by name.
            seed: Seed of the fabric.
            max_wait_ms: How long a request may wait for a token.
        """
        rates = {name: (each.rate_per_s, each.burst) for name, each in organisations.items()}
        plan = quota_plan(zones, organisations=rates)
        self.fabric = CountingFabric(seed, plan, delay_ms)
        self.fleet = QuotaFleet(plan, seed, fabric=self.fabric)
        self.max_wait_ms = max_wait_ms
        self.clock = LoopClock()
        self.results: list[tuple[Arrival, bool, float]] = []
        self.admitted: dict[str, list[float]] = defaultdict(list)

    async def warm_up(self) -> None:
        """Start all processes and wait until the buckets can be full."""
        self.fleet.start()
        await self.clock.sleep_ms(10_000.0)

    def node_for(self, arrival: Arrival) -> QuotaNode | None:
        """Return the node where a request enters; callers avoid nodes that are down."""
        names = sorted(self.fleet.upstreams_of_zone(arrival.zone))
        nodes = [self.fleet.newest_nodes[name] for name in names]
        # A leaving node refuses new requests before their quota, and callers go elsewhere.
        alive = [node for node in nodes if node.alive and not node.quota.zone_holder.leaving]
        return alive[min(int(arrival.spot * len(alive)), len(alive) - 1)] if alive else None

    async def send(self, arrivals: list[Arrival]) -> None:
        """Send the arrivals at their times and wait for the last one."""
        tasks = []
        for arrival in arrivals:
            wait_ms = arrival.at_ms - self.clock.now_ms()
            if wait_ms > 0:
                await self.clock.sleep_ms(wait_ms)
            tasks.append(asyncio.ensure_future(self._send(arrival)))
        await asyncio.gather(*tasks)

    async def _send(self, arrival: Arrival) -> None:
        node = self.node_for(arrival)
        if node is None:
            return
        began_ms = self.clock.now_ms()
        name = OrganisationId(arrival.organisation)
        admitted = await self.fleet.acquire(node, name, self.max_wait_ms)
        self.results.append((arrival, admitted, self.clock.now_ms() - began_ms))

    async def lose(self, node: QuotaNode) -> None:
        """End a process without warning; the others notice after the detection time."""
        await self.fleet.kill(node)
        await self.clock.sleep_ms(DETECTION_MS)
        self.fleet.refresh_views()

    async def replace(self, node: QuotaNode, planned: bool) -> None:
        """Replace a process, after it has left if the replacement is planned."""
        if planned:
            node.quota.zone_holder.leaving = True
            self.fleet.refresh_views()
            await node.quota.leave()
            await self.clock.sleep_ms(ANNOUNCEMENT_MS)
            await self.fleet.kill(node)
            self.fleet.refresh_views()
        else:
            await self.lose(node)
        await self.clock.sleep_ms(DETECTION_MS)
        self.fleet.add(node.identity.upstream_id)
        await self.clock.sleep_ms(ANNOUNCEMENT_MS)
        self.fleet.refresh_views()

    def holders(self) -> set[UpstreamId]:
        """Return the nodes that hold a zone."""
        return {
            name
            for name, node in self.fleet.newest_nodes.items()
            if node.alive and node.quota.zone_holder.active
        }

    def fleet_holders(self) -> set[UpstreamId]:
        """Return the nodes that hold an organisation's bucket."""
        return {
            name
            for name in self.holders()
            if self.fleet.newest_nodes[name].quota.fleet_holder.led_organisations
        }


def run_virtual(work) -> object:
    """Run a coroutine function on virtual time and return its result."""
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    quiet = logbook.NullHandler().applicationbound()
    with quiet, asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(work())
