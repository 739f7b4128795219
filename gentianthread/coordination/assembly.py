"""Assemble the parts of a node that work together with other nodes."""

from collections.abc import Callable
from typing import Any

import attrs
import reactivex
from reactivex import operators
from reactivex.subject import ReplaySubject

from ..clock import Clock
from ..ids import NodeIdentity, OrganisationId, UpstreamId
from ..metrics import Metrics
from ..settings import Settings
from ..state.config_store import ConfigStore
from ..state.executions import Executions
from ..state.members import Member
from ..state.plan import Plan, Upstream
from ..state.profiles import built_in
from ..transport.connections import WebSocketTransport
from ..transport.platform_http import HttpPlatform
from ..transport.platforms import InstanceList, ListedInstance, Platform
from .config_spread import ConfigSpread
from .escrow_quota import EscrowQuota
from .instance_list import InstanceListReader
from .links import LinkPeerNetwork
from .load_router import LoadRouter
from .membership import Membership
from .node import NodeParts
from .target_admission import TargetAdmission
from .watchers import is_watcher

# Profile of a target until the first plan names the one of its service.
FIRST_PROFILE = "lookup"

_EMPTY_PLAN = Plan(version=0)


@attrs.define(eq=False)
class Assembly:
    """Hold the parts that act together with other nodes.

    Attributes:
        local: Identity of the node.
        store: The accepted configuration.
        network: Links to the other nodes.
        members: The view of the fleet.
        spread: Brings configuration; None without a platform.
        router: Chooses upstreams.
        admission: Admits work to the own target.
        quota: Keeps organisations within their rate.
    """

    local: NodeIdentity
    store: ConfigStore
    network: LinkPeerNetwork
    clock: Clock
    metrics: Metrics
    members: Membership
    router: LoadRouter
    admission: TargetAdmission
    quota: EscrowQuota
    platform: Platform | None
    reader: InstanceListReader | None
    spread: ConfigSpread | None
    _addresses: dict[UpstreamId, tuple[str, int]]
    _subscriptions: list = attrs.field(factory=list)

    def plan(self) -> Plan | None:
        """Return the plan in force, or None while a newer one may still be found."""
        if self.spread is not None and not self.spread.ready.is_set():
            return None
        return self.store.current

    def parts(self, executions: Executions) -> NodeParts:
        """Return what a node needs.

        Args:
            executions: Records of idempotency keys.
        """
        return NodeParts(
            plan=self.plan,
            peers=self.network,
            changes=self.store.changes,
            quota=self.quota,
            router=self.router,
            admission=self.admission,
            members=self.members,
            executions=executions,
            announce_leaving=self.leave,
            clock=self.clock,
            metrics=self.metrics,
        )

    def describers(self) -> dict[str, Callable[[], Any]]:
        """Return the sections of the state dump that these parts add."""
        return {
            "configuration": self._describe_configuration,
            "overlay": lambda: {"neighbours": list(self.members.neighbours())},
        }

    def _describe_configuration(self) -> dict[str, Any]:
        source, reason = self.store.last_refusal or (None, None)
        return {
            "version": self.store.version,
            "sha256": self.store.digest.hex(),
            "ready": self.spread is None or self.spread.ready.is_set(),
            "watching": self.spread is not None and self.spread.watching,
            "last_refusal": {"source": source, "reason": reason},
            "withdrawn_ahead": sorted(self.store.withdrawn),
        }

    async def start(self) -> None:
        """Start background work; the network must listen already."""
        if self.store.current is not None:
            self._obey(self.store.current)
        self._subscriptions.append(self.store.changes.subscribe(self._obey))
        self._subscriptions.append(self.members.changes.subscribe(self._follow_member))
        self._follow_neighbours()
        self.members.start()
        self.quota.start()
        if self.reader is not None:
            self.reader.start()
        if self.spread is not None:
            self.spread.start()

    async def leave(self) -> None:
        """Tell the fleet that this node stops."""
        await self.members.leave()
        await self.quota.leave()

    async def close(self) -> None:
        """Stop background work."""
        for subscription in self._subscriptions:
            subscription.dispose()
        await self.quota.stop()
        for part in (self.spread, self.reader, self.members, self.platform):
            if part is not None:
                await part.close()

    def _obey(self, plan: Plan) -> None:
        """Let admission and quota follow a plan that came into force."""
        self.quota.accept_plan(plan)
        upstream = plan.upstreams.get(self.local.upstream_id)
        if upstream is not None:
            self._revise_admission(plan, upstream)

    def _revise_admission(self, plan: Plan, upstream: Upstream) -> None:
        profile = plan.profile_of(upstream.service_id)
        if (profile, upstream.slots) != (self.admission.profile, self.admission.slots):
            self.admission.revise(profile, upstream.slots)

    def _follow_member(self, member: Member) -> None:
        identity = member.identity
        if identity != self.local:
            self.network.note_start_number(identity.upstream_id, identity.start_number)
        self._follow_neighbours()

    def _follow_neighbours(self) -> None:
        self.network.keep(self.members.neighbours())


def assemble(
    settings: Settings,
    local: NodeIdentity,
    store: ConfigStore,
    clock: Clock,
    metrics: Metrics,
) -> Assembly:
    """Create the parts of a node process; nothing runs yet.

    Args:
        settings: Checked settings.
        local: Identity of the node.
        store: The accepted configuration.
        clock: Clock of the node.
        metrics: Metrics of the node.
    """
    addresses: dict[UpstreamId, tuple[str, int]] = {}
    secret = settings.fleet_secret.encode()
    network = LinkPeerNetwork(
        local,
        secret,
        _finder(store, addresses),
        transport=WebSocketTransport(settings.source_address),
        metrics=metrics,
    )
    platform = _make_platform(settings)
    reader = None
    if platform is not None:
        reader = InstanceListReader(platform, lambda: is_watcher(local, members), clock)
    instances = _plan_instances(store) if reader is None else reader.lists
    instances.subscribe(lambda found: addresses.update(_addresses_of(found)))
    members = Membership(network, instances, clock, metrics=metrics)
    spread = None
    if platform is not None:
        spread = ConfigSpread(
            network, members, platform, store, clock, metrics=metrics, contacts=members.contacts
        )

    def plan() -> Plan:
        return store.current or _EMPTY_PLAN

    return Assembly(
        local,
        store,
        network,
        clock,
        metrics,
        members,
        LoadRouter(plan, members, local.availability_zone, clock, metrics=metrics),
        _make_admission(local, plan(), clock, _weights(plan), metrics),
        EscrowQuota(network, members, clock),
        platform,
        reader,
        spread,
        addresses,
    )


def _make_platform(settings: Settings) -> Platform | None:
    if settings.platform is None:
        return None
    base_url = f"http://{settings.platform.host}:{settings.platform.port}"
    return HttpPlatform(base_url, source_address=settings.source_address)


def _make_admission(
    local: NodeIdentity,
    plan: Plan,
    clock: Clock,
    weights: Callable[[OrganisationId], float],
    metrics: Metrics,
) -> TargetAdmission:
    upstream = plan.upstreams.get(local.upstream_id)
    profile = built_in(FIRST_PROFILE)
    if upstream is not None:
        profile = plan.profile_of(upstream.service_id)
    slots = 1 if upstream is None else upstream.slots
    return TargetAdmission(local.upstream_id, profile, slots, clock, weights, metrics, cold=True)


def _weights(plan: Callable[[], Plan]) -> Callable[[OrganisationId], float]:
    def weight(organisation_id: OrganisationId) -> float:
        organisation = plan().organisations.get(organisation_id)
        return 1.0 if organisation is None else organisation.weight

    return weight


def _finder(
    store: ConfigStore, addresses: dict[UpstreamId, tuple[str, int]]
) -> Callable[[UpstreamId], tuple[str, int] | None]:
    """Return the look-up of peer addresses: the plan decides, the instance list fills gaps.

    A starting node has no plan yet and learns its peers from the list.
    """

    def find(upstream_id: UpstreamId) -> tuple[str, int] | None:
        plan = store.current
        upstream = None if plan is None else plan.upstreams.get(upstream_id)
        if upstream is None:
            return addresses.get(upstream_id)
        return upstream.host, upstream.peer_port

    return find


def _plan_instances(store: ConfigStore) -> reactivex.Observable[InstanceList]:
    """Return the upstreams of the plan as an instance list, for fleets without a platform."""
    lists: ReplaySubject[InstanceList] = ReplaySubject(1)
    if store.current is not None:
        lists.on_next(_listed(store.current))
    store.changes.pipe(operators.map(_listed)).subscribe(lists)
    return lists


def _listed(plan: Plan) -> InstanceList:
    return InstanceList(
        plan.version,
        tuple(
            ListedInstance(
                upstream.upstream_id, upstream.availability_zone, upstream.host, upstream.peer_port
            )
            for upstream in plan.upstreams.values()
        ),
    )


def _addresses_of(found: InstanceList) -> dict[UpstreamId, tuple[str, int]]:
    return {item.upstream_id: (item.host, item.peer_port) for item in found.instances}
