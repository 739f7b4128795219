"""Build fleets of nodes that are connected in memory, for tests and benchmarks."""

import random

from reactivex.subject import BehaviorSubject

from gentianthread.clock import LoopClock
from gentianthread.coordination.config_spread import ConfigDistributor
from gentianthread.coordination.membership import Membership
from gentianthread.coordination.peer_network import MemoryFabric
from gentianthread.ids import NodeIdentity
from gentianthread.metrics import MemoryMetrics
from gentianthread.state.bundle import make_bundle, make_published_values
from gentianthread.state.config_store import ConfigStore
from gentianthread.state.members import MemberState
from gentianthread.transport.platforms import (
    InstanceList,
    ListedInstance,
    MemoryPlatform,
    PlatformState,
)

from ..plans import small_plan


class Fleet:
    """Run the membership of several nodes over one simulated network.

    Nodes are named after their zone, `a0`, `a1`, `b0`, ...

    Attributes:
        names: Names of all nodes, also of those that are not started.
        lists: Stream of the instance lists that all nodes read.
        members: Membership of each running node, by name.
        stopped: Memberships that a test has taken out of `members` and that `close` closes too.
    """

    def __init__(self, zones: str = "abc", per_zone: int = 4, seed: int = 1):
        self.fabric = MemoryFabric(seed)
        self.clock = LoopClock()
        self.random = random.Random(seed)
        self.names = [f"{zone}{number}" for zone in zones for number in range(per_zone)]
        self.revision = 1
        self.lists: BehaviorSubject = BehaviorSubject(self.make_list(self.names))
        self.members: dict[str, Membership] = {}
        self.metrics: dict[str, MemoryMetrics] = {}
        self.stopped: list[Membership] = []

    def make_list(self, names, leaving=()) -> InstanceList:
        entries = tuple(ListedInstance(name, name[0], leaving=name in leaving) for name in names)
        return InstanceList(self.revision, entries)

    def publish_list(self, names, leaving=()) -> None:
        self.revision += 1
        self.lists.on_next(self.make_list(names, leaving))

    def start(self, name: str, start_number: int = 1) -> Membership:
        network = self.fabric.attach(NodeIdentity(name, name[0], start_number))
        self.metrics[name] = MemoryMetrics()
        members = Membership(
            network,
            self.lists,
            self.clock,
            random.Random(self.random.random()),
            self.metrics[name],
        )
        members.start()
        self.members[name] = members
        return members

    async def start_all(self, settle_ms: float = 4_000) -> None:
        for name in self.names:
            self.start(name)
        await self.clock.sleep_ms(settle_ms)

    async def kill(self, name: str) -> Membership:
        members = self.members.pop(name)
        self.fabric.detach(members.network)
        await members.close()
        return members

    def zone(self, zone: str) -> set[str]:
        return {name for name in self.names if name[0] == zone}

    def cut_zone(self, zone: str) -> None:
        self.fabric.cut(self.zone(zone), set(self.names) - self.zone(zone))

    def states_of(self, name: str, seen_by=None) -> set[MemberState | None]:
        """Return the states of a node in the tables of `seen_by`, by default of all other nodes."""
        viewers = seen_by or [other for other in self.members if other != name]
        return {self.members[viewer].table.state(name) for viewer in viewers}

    def digests(self) -> set[bytes]:
        return {members.table.digest() for members in self.members.values()}

    def observers_of(self, name: str) -> list[str]:
        """Return the names of the nodes that have a given node as a neighbour."""
        return [other for other, item in self.members.items() if name in item.neighbours()]

    async def close(self) -> None:
        for members in [*self.members.values(), *self.stopped]:
            await members.close()
        await self.fabric.close()


class ConfigFleet(Fleet):
    """Run membership and the distribution of configuration versions.

    Attributes:
        platform_state: Platform data that a node reads which isn't in `platform_overrides`.
        platform_overrides: Platform data of single nodes, by name.
        accepted_at_ms: When a node first accepted a version, by name and version.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.platform_state = PlatformState()
        self.platform_overrides: dict[str, PlatformState] = {}
        self.distributors: dict[str, ConfigDistributor] = {}
        self.accepted_at_ms: dict[tuple[str, int], float] = {}

    def start(self, name: str, start_number: int = 1) -> Membership:
        members = super().start(name, start_number)
        distributor = ConfigDistributor(
            members.network,
            members,
            MemoryPlatform(self.platform_overrides.get(name, self.platform_state)),
            ConfigStore(self.metrics[name]),
            self.clock,
            random.Random(self.random.random()),
            self.metrics[name],
            members.contacts,
        )
        distributor.store.changes.subscribe(
            lambda plan: self._record_acceptance(name, plan.version)
        )
        distributor.start()
        self.distributors[name] = distributor
        return members

    def _record_acceptance(self, name: str, version: int) -> None:
        self.accepted_at_ms.setdefault((name, version), self.clock.now_ms())

    async def kill(self, name: str) -> Membership:
        distributor = self.distributors.pop(name)
        await distributor.close()
        return await super().kill(name)

    def publish(self, version: int, **options) -> None:
        self.platform_state.publish(
            make_published_values(make_bundle(small_plan(version=version, **options)))
        )

    def versions(self) -> set[int]:
        return {distributor.store.version for distributor in self.distributors.values()}

    def nodes_with_key(self, key_id: str) -> list[str]:
        """Return the names of the nodes that accept a key."""
        return [name for name, s in self.distributors.items() if key_id in s.store.current.keys]

    def watchers(self) -> list[str]:
        return [name for name, distributor in self.distributors.items() if distributor.watching]

    def count(self, counter: str) -> int:
        return sum(metrics.counters[counter] for metrics in self.metrics.values())

    async def close(self) -> None:
        for distributor in self.distributors.values():
            await distributor.close()
        await super().close()
