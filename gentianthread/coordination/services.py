"""Assemble a node with its view of the fleet, its configuration and its quota."""

from typing import Any

from reactivex import operators

from ..clock import Clock
from ..ids import NodeIdentity, OrganisationId, UpstreamId
from ..metrics import Metrics
from ..settings import Settings
from ..state.bundle import Bundle, decode_plan, make_values
from ..state.config_store import ConfigStore
from ..state.executions import Executions
from ..state.member_table import SEED_REVISION
from ..state.members import Member
from ..state.plan import Plan, Profile
from ..transport import platform_http  # noqa: F401  # Registers its adapter.
from ..transport.connections import WebSocketTransport
from ..transport.platforms import (
    InstanceList,
    ListedInstance,
    MemoryPlatform,
    Platform,
    PlatformState,
    platforms,
)
from .config_spread import ConfigDistributor
from .escrow_quota import EscrowQuota
from .instance_list import InstanceListReader
from .links import LinkPeerNetwork
from .load_router import LoadRouter
from .membership import Membership
from .node import Node, NodeAddresses, NodeParts
from .operations import read_bundle
from .target_admission import TargetAdmission

DEFAULT_PROFILE = Profile("default")


def open_platform(settings: Settings) -> Platform:
    """Return the platform that the settings name.

    Without a platform service, the bundle folder of the settings and the upstreams of its plan
    stand in for it.

    Args:
        settings: Checked settings.

    Raises:
        BundleError: The bundle folder holds no valid bundle.
        UnknownEntryError: No adapter has the name in the settings.
    """
    if settings.platform is not None:
        host = f"[{settings.platform.host}]" if ":" in settings.platform.host else None
        base_url = f"http://{host or settings.platform.host}:{settings.platform.port}"
        return platforms.get(settings.platform_adapter).connect(base_url, settings.source_address)
    state = PlatformState()
    if settings.bundle_folder is not None:
        bundle = read_bundle(settings.bundle_folder)
        state.publish(make_values(bundle))
        state.set_instances(_listed(bundle))
    return MemoryPlatform(state)


def _listed(bundle: Bundle) -> tuple[ListedInstance, ...]:
    return tuple(
        ListedInstance(
            upstream.upstream_id, upstream.availability_zone, upstream.host, upstream.peer_port
        )
        for upstream in decode_plan(bundle).upstreams.values()
    )


def _seed_list(settings: Settings) -> InstanceList:
    """Return the peers that the settings name, as an instance list older than any other."""
    return InstanceList(
        SEED_REVISION,
        tuple(
            ListedInstance(
                seed.upstream_id, seed.availability_zone, seed.address.host, seed.address.port
            )
            for seed in settings.seeds
        ),
    )


class AddressBook:
    """Know where the nodes listen for peers, from the plan or else from the instance list."""

    def __init__(self, store: ConfigStore):
        """Create a book.

        Args:
            store: The accepted configuration.
        """
        self._store = store
        self._listed: dict[UpstreamId, tuple[str, int]] = {}

    def observe(self, instances: InstanceList) -> None:
        """Take in an instance list."""
        self._listed = {
            listed.upstream_id: (listed.host, listed.peer_port)
            for listed in instances.instances
            if listed.peer_port
        }

    def find(self, upstream_id: UpstreamId) -> tuple[str, int] | None:
        """Return host and peer port of an upstream's node, or None."""
        plan = self._store.current
        upstream = None if plan is None else plan.upstreams.get(upstream_id)
        if upstream is not None:
            return upstream.host, upstream.peer_port
        return self._listed.get(upstream_id)


class NodeServices:
    """Hold one node and everything that it stands on.

    Attributes:
        store: The accepted configuration.
        network: Links to the other nodes.
        members: View of the fleet.
        config_distributor: Keeps the configuration at the newest version.
        quota: Keeps organisations within their rate.
        node: The node.
    """

    def __init__(self, settings: Settings, local: NodeIdentity, clock: Clock, metrics: Metrics):
        """Assemble the parts; must be called on the event loop.

        Args:
            settings: Checked settings.
            local: Identity of the node.
            clock: Clock of all parts.
            metrics: Metrics of all parts.

        Raises:
            BundleError: The bundle folder holds no valid bundle.
        """
        self.settings = settings
        self.local = local
        self.clock = clock
        self.metrics = metrics
        self.platform = open_platform(settings)
        self.store = ConfigStore(metrics)
        addresses = AddressBook(self.store)
        secret = settings.fleet_secret.encode()
        self.network = LinkPeerNetwork(
            local,
            secret,
            addresses.find,
            transport=WebSocketTransport(settings.source_address),
            metrics=metrics,
        )
        self.lists = InstanceListReader(
            self.platform, lambda: self.config_distributor.watching, clock
        )
        instances = self.lists.lists.pipe(operators.start_with(_seed_list(settings)))
        self._listed = instances.subscribe(addresses.observe)
        self.members = Membership(self.network, instances, clock, metrics=metrics)
        self.network.on_superseded = self.members.note_superseded
        self.config_distributor = ConfigDistributor(
            self.network,
            self.members,
            self.platform,
            self.store,
            clock,
            metrics=metrics,
            contacts=self.members.contacts,
        )
        self.quota = EscrowQuota(self.network, self.members, clock)
        self.admission = TargetAdmission(
            local.upstream_id, DEFAULT_PROFILE, 1, clock, self._weight, metrics, cold=True
        )
        self.node = Node(local, _addresses(settings), self._parts())
        self.node.watchdog.register(self.quota.expire_all)
        self.node.describers["configuration"] = self._describe_configuration
        self.node.describers["neighbours"] = lambda: list(self.members.neighbours())
        self._followed = self.store.changes.subscribe(self._follow)
        self._followed_members = self.members.changes.subscribe(self._follow_member)

    def _parts(self) -> NodeParts:
        settings = self.settings
        executions = Executions(self.clock, record_limit=settings.record_limit)
        return NodeParts(
            plan=self._plan,
            peers=self.network,
            changes=self.store.changes,
            quota=self.quota,
            router=LoadRouter(
                self._plan,
                self.members,
                self.local.availability_zone,
                self.clock,
                metrics=self.metrics,
            ),
            admission=self.admission,
            members=self.members,
            executions=executions,
            announce_leaving=self._announce_leaving,
            announce_return=self.members.rejoin,
            target_recovered=self.admission.start_slowly,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _plan(self) -> Plan | None:
        # A starting node serves only with the newest version that it can find, so that a key
        # withdrawn before its start does not work.
        return self.store.current if self.config_distributor.ready.is_set() else None

    def _weight(self, organisation_id: OrganisationId) -> float:
        plan = self.store.current
        organisation = None if plan is None else plan.organisations.get(organisation_id)
        return 1.0 if organisation is None else organisation.weight

    def _follow(self, plan: Plan) -> None:
        """Bring a plan into force in the parts that keep values of it."""
        self.quota.accept_plan(plan)
        upstream = plan.upstreams.get(self.local.upstream_id)
        if upstream is None:
            return
        profile = plan.profile_of(upstream.service_id)
        if (profile, upstream.slots) != (self.admission.profile, self.admission.slots):
            self.admission.revise(profile, upstream.slots)

    def _follow_member(self, member: Member) -> None:
        """Refuse older processes of an upstream, and keep links to the present neighbours."""
        if member.identity != self.local:
            identity = member.identity
            self.network.note_start_number(identity.upstream_id, identity.start_number)
        self.network.keep_links(self.members.neighbours())

    def _describe_configuration(self) -> dict[str, Any]:
        source, reason = self.store.last_refusal or (None, None)
        return {
            "version": self.store.version,
            "sha256": self.store.digest.hex(),
            "ready": self.config_distributor.ready.is_set(),
            "watching": self.config_distributor.watching,
            "last_refusal": {"source": source, "reason": reason},
            "withdrawn_ahead": sorted(self.store.withdrawn),
        }

    async def _announce_leaving(self) -> None:
        await self.members.leave()

    async def start(self) -> None:
        """Open all listeners and start all tasks.

        Raises:
            OSError: A listener cannot be opened.
        """
        peers = self.settings.peers
        await self.network.start(peers.host, peers.port)
        self.lists.start()
        self.members.start()
        self.config_distributor.start()
        self.quota.start()
        await self.node.start()

    async def begin_leaving(self) -> None:
        """Refuse new work, tell the peers, and hand holder roles over."""
        await self.node.drain.begin()
        await self.quota.leave()

    async def stop(self) -> None:
        """Close everything, the links last."""
        await self.node.stop()
        await self.quota.stop()
        await self.config_distributor.close()
        await self.lists.close()
        await self.members.close()
        self._listed.dispose()
        self._followed.dispose()
        self._followed_members.dispose()
        await self.network.close()
        await self.platform.close()


def _addresses(settings: Settings) -> NodeAddresses:
    return NodeAddresses(
        settings.callers.host,
        settings.callers.port,
        settings.inner.host,
        settings.inner.port,
        settings.operator.host,
        settings.operator.port,
        settings.target.host,
        settings.target.port,
    )
