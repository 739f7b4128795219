"""Run a small fleet of nodes and stand-in targets in one process, for the demo and tests."""

import hashlib
from collections.abc import Callable

import attrs
import reactivex

from ..coordination.links import LinkPeerNetwork
from ..coordination.node import Node, NodeAddresses, NodeParts
from ..coordination.peer_network import MemoryFabric
from ..ids import (
    AvailabilityZoneId,
    ConfigVersion,
    KeyId,
    NodeIdentity,
    OrganisationId,
    Priority,
    ProfileId,
    RouteId,
    ServiceId,
    StartNumber,
    UpstreamId,
)
from ..state.plan import Key, Organisation, Plan, Profile, Route, Service, Upstream
from .target import StandinTarget

FLEET_SECRET = b"secret of the small fleet, not for use elsewhere"


def key_of(organisation: str) -> str:
    """Return the key of an organisation of the small fleet."""
    return f"gtk_{organisation}1_{hashlib.sha256(organisation.encode()).hexdigest()[:43]}"


def make_plan(
    services: dict[str, int],
    organisations: tuple[str, ...],
    *,
    version: int = 1,
    slots: int = 16,
    withdrawn: frozenset[str] = frozenset(),
    retry_allowance: int = 3,
    deadline_ms: float = 5_000.0,
    zones: tuple[str, ...] = ("larisa-a",),
    hedge_delay_ms: float | None = None,
) -> Plan:
    """Return a plan with routes `/SERVICE` (GET idempotent, POST not) and `/open/SERVICE`.

    Args:
        services: Number of upstreams of each service.
        organisations: Names of organisations.
        version: Version of the plan.
        slots: Slots of each target.
        withdrawn: Organisations whose key is withdrawn.
        retry_allowance: Extra attempts of one root request.
        deadline_ms: Deadline of all routes.
        zones: Availability zones that the upstreams of each service are spread over.
        hedge_delay_ms: When slow idempotent requests are sent a second time, or None for never.
    """
    profile = Profile(ProfileId("demo"), retry_allowance=retry_allowance)
    if hedge_delay_ms is not None:
        profile = attrs.evolve(profile, hedging=True, hedge_delay_ms=hedge_delay_ms)
    upstreams = {}
    for service, number in services.items():
        for index in range(number):
            name = UpstreamId(f"{service}-{index}")
            zone = AvailabilityZoneId(zones[index % len(zones)])
            upstreams[name] = Upstream(
                name, ServiceId(service), zone, "127.0.0.1", 0, 0, 0, slots, slots * 4
            )
    return Plan(
        ConfigVersion(version),
        availability_zones=tuple(AvailabilityZoneId(zone) for zone in zones),
        profiles={profile.profile_id: profile},
        services={
            ServiceId(name): Service(ServiceId(name), profile.profile_id) for name in services
        },
        routes={route.route_id: route for name in services for route in _routes(name, deadline_ms)},
        upstreams=upstreams,
        organisations={
            OrganisationId(name): Organisation(OrganisationId(name), 10_000.0, 10_000.0)
            for name in organisations
        },
        keys={KeyId(f"{name}1"): _key(name) for name in organisations if name not in withdrawn},
        fractions={name: 1 / len(upstreams) for name in upstreams},
    )


def _routes(service: str, deadline_ms: float) -> list[Route]:
    name = ServiceId(service)
    return [
        Route(
            RouteId(f"{service}-get"),
            name,
            "GET",
            f"/{service}",
            True,
            Priority.NORMAL,
            False,
            deadline_ms,
        ),
        Route(
            RouteId(f"{service}-post"),
            name,
            "POST",
            f"/{service}",
            False,
            Priority.IMPORTANT,
            False,
            deadline_ms,
        ),
        Route(
            RouteId(f"{service}-open"),
            name,
            "GET",
            f"/open/{service}",
            True,
            Priority.NORMAL,
            True,
            deadline_ms,
        ),
    ]


def _key(organisation: str) -> Key:
    salt = organisation.encode()
    digest = hashlib.sha256(salt + key_of(organisation).encode()).digest()
    return Key(KeyId(f"{organisation}1"), OrganisationId(organisation), salt, digest)


@attrs.define(eq=False)
class FleetMember:
    """Combine one node and its target."""

    node: Node
    target: StandinTarget

    @property
    def url(self) -> str:
        """Return the address for callers."""
        return f"http://127.0.0.1:{self.node.caller_listener.port}"


class Fleet:
    """Run one node and one target for each upstream of a plan.

    Attributes:
        plan: The plan that all nodes use; `publish` replaces it.
        changes: Stream of the plans that replace it.
        fabric: Connects the nodes.
        members: Nodes and targets by upstream.
    """

    def __init__(
        self,
        plan: Plan,
        seed: int = 0,
        adjust: Callable[[UpstreamId, NodeParts], None] | None = None,
        links: bool = False,
    ):
        """Create a fleet that is not started.

        Args:
            plan: The first plan.
            seed: Seed of the network between the nodes.
            adjust: Changes the parts of a node before it is assembled.
            links: Whether the nodes reach each other over links and not in memory.
        """
        self.plan = plan
        self.adjust = adjust
        self.changes: reactivex.Subject = reactivex.Subject()
        self.fabric = MemoryFabric(seed)
        self.links = links
        self._peer_ports: dict[UpstreamId, int] = {}
        self.members: dict[str, FleetMember] = {}
        self._start_number = 0

    async def start(self) -> None:
        """Start all targets and nodes."""
        for upstream_id in self.plan.upstreams:
            target = StandinTarget()
            await target.open()
            await self.start_node(upstream_id, target)

    async def start_node(self, upstream_id: UpstreamId, target: StandinTarget) -> None:
        """Start a node for a target that is open."""
        self._start_number += 1
        target.draining = False
        zone = self.plan.upstreams[upstream_id].availability_zone
        local = NodeIdentity(upstream_id, zone, StartNumber(self._start_number))
        peers = await self._open_links(local) if self.links else self.fabric.attach(local)
        parts = NodeParts(plan=lambda: self.plan, peers=peers, changes=self.changes)
        if self.adjust is not None:
            self.adjust(upstream_id, parts)
        node = Node(local, NodeAddresses(target_port=target.port), parts)
        await node.start()
        target.node_url = f"http://127.0.0.1:{node.inner_listener.port}"
        self.members[upstream_id] = FleetMember(node, target)

    async def _open_links(self, local: NodeIdentity) -> LinkPeerNetwork:
        def address_of(upstream_id: UpstreamId) -> tuple[str, int] | None:
            port = self._peer_ports.get(upstream_id)
            return None if port is None else ("127.0.0.1", port)

        network = LinkPeerNetwork(local, FLEET_SECRET, address_of)
        self._peer_ports[local.upstream_id] = await network.start("127.0.0.1", 0)
        return network

    def publish(self, plan: Plan) -> None:
        """Bring another plan into force on all nodes."""
        self.plan = plan
        self.changes.on_next(plan)

    async def crash_node(self, upstream_id: UpstreamId) -> StandinTarget:
        """End a node without notice; its target stays."""
        member = self.members.pop(upstream_id)
        await self._close_peers(member)
        await member.node.stop()
        return member.target

    async def stop(self) -> None:
        """Stop all nodes and targets at once."""
        for member in self.members.values():
            await member.node.stop()
            await self._close_peers(member)
            await member.target.close()
        await self.fabric.close()

    async def _close_peers(self, member: FleetMember) -> None:
        peers = member.node.peers
        if isinstance(peers, LinkPeerNetwork):
            await peers.close()
        else:
            self.fabric.detach(peers)

    def executions(self, name: str) -> int:
        """Return how often all targets together ran the request with an id."""
        return sum(member.target.executions[name] for member in self.members.values())
