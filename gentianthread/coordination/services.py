"""Assemble a node with its links, membership, configuration and quota."""

from typing import Any

from reactivex import operators

from ..clock import Clock
from ..ids import NodeIdentity, OrganisationId, UpstreamId
from ..metrics import Metrics
from ..settings import Settings
from ..state.bundle import Bundle, decode_plan, make_published_values
from ..state.config_store import ConfigStore
from ..state.executions import ExecutionTable
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
    """Return the platform that is configured in the settings.

    Without a platform service, a memory platform replaces it, which contains the bundle of the
    settings, if any, and the upstreams of its plan as instances.

    Args:
        settings: Checked settings.

    Raises:
        BundleError: The bundle folder does not contain a valid bundle.
        UnknownEntryError: No adapter is registered under the name in the settings.
    """
    if settings.platform is not None:
        host = f"[{settings.platform.host}]" if ":" in settings.platform.host else None
        base_url = f"http://{host or settings.platform.host}:{settings.platform.port}"
        return platforms.get(settings.platform_adapter).connect(base_url, settings.source_address)
    state = PlatformState()
    if settings.bundle_folder is not None:
        bundle = read_bundle(settings.bundle_folder)
        state.publish(make_published_values(bundle))
        state.set_instances(_list_instances(bundle))
    return MemoryPlatform(state)


def _list_instances(bundle: Bundle) -> tuple[ListedInstance, ...]:
    return tuple(
        ListedInstance(
            upstream.upstream_id, upstream.availability_zone, upstream.host, upstream.peer_port
        )
        for upstream in decode_plan(bundle).upstreams.values()
    )


def _list_seeds(settings: Settings) -> InstanceList:
    """Return the seeds of the settings as an instance list that any other one supersedes."""
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
    """Look up the peer addresses of nodes in the plan or else in the instance list."""

    def __init__(self, store: ConfigStore):
        """Create an address book without an instance list.

        Args:
            store: The accepted configuration.
        """
        self._store = store
        self._listed_addresses: dict[UpstreamId, tuple[str, int]] = {}

    def update(self, instances: InstanceList) -> None:
        """Replace the addresses of the last instance list by those of a newer one."""
        self._listed_addresses = {
            listed.upstream_id: (listed.host, listed.peer_port)
            for listed in instances.instances
            if listed.peer_port
        }

    def find(self, upstream_id: UpstreamId) -> tuple[str, int] | None:
        """Return host and peer port of an upstream's node, or None if it is unknown."""
        plan = self._store.current
        upstream = None if plan is None else plan.upstreams.get(upstream_id)
        if upstream is not None:
            return upstream.host, upstream.peer_port
        return self._listed_addresses.get(upstream_id)


class NodeServices:
    """Assemble and run a node and the services that it depends on.

    Attributes:
        platform: Source of the instance list and of the published configuration.
        store: The accepted configuration.
        network: Links to the other nodes.
        list_reader: Reads the instance list of the platform.
        members: Membership of the nodes in the fleet, as this node sees it.
        config_distributor: Fetches new versions of the configuration and passes them on to other
            nodes.
        quota: Limits organisations to their rate.
        admission: Admits requests to the local target.
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
            BundleError: The bundle folder does not contain a valid bundle.
            UnknownEntryError: No adapter is registered under the name in the settings.
        """
        self.settings = settings
        self.local = local
        self.clock = clock
        self.metrics = metrics
        self.platform = open_platform(settings)
        self.store = ConfigStore(metrics)
        address_book = AddressBook(self.store)
        secret = settings.fleet_secret.encode()
        self.network = LinkPeerNetwork(
            local,
            secret,
            address_book.find,
            transport=WebSocketTransport(settings.source_address),
            metrics=metrics,
        )
        self.list_reader = InstanceListReader(
            self.platform, lambda: self.config_distributor.watching, clock
        )
        instances = self.list_reader.instance_lists.pipe(
            operators.start_with(_list_seeds(settings))
        )
        self._list_subscription = instances.subscribe(address_book.update)
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
            local.upstream_id,
            DEFAULT_PROFILE,
            1,
            clock,
            self._organisation_weight,
            metrics,
            cold=True,
        )
        self.node = Node(local, _node_addresses(settings), self._make_node_parts())
        self.node.watchdog.register(self.quota.expire_all)
        self.node.dump_sections["configuration"] = self._describe_configuration
        self.node.dump_sections["neighbours"] = lambda: list(self.members.neighbours())
        self._plan_subscription = self.store.changes.subscribe(self._apply_plan)
        self._member_subscription = self.members.changes.subscribe(self._handle_member_change)

    def _make_node_parts(self) -> NodeParts:
        settings = self.settings
        executions = ExecutionTable(self.clock, record_limit=settings.record_limit)
        return NodeParts(
            plan=self._plan_if_ready,
            peers=self.network,
            changes=self.store.changes,
            quota=self.quota,
            router=LoadRouter(
                self._plan_if_ready,
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
            on_target_recovered=self.admission.begin_slow_start,
            clock=self.clock,
            metrics=self.metrics,
        )

    def _plan_if_ready(self) -> Plan | None:
        # A starting node serves requests only once it has the newest version that it can find, so
        # that keys withdrawn before its start are refused.
        return self.store.current if self.config_distributor.ready.is_set() else None

    def _organisation_weight(self, organisation_id: OrganisationId) -> float:
        plan = self.store.current
        organisation = None if plan is None else plan.organisations.get(organisation_id)
        return 1.0 if organisation is None else organisation.weight

    def _apply_plan(self, plan: Plan) -> None:
        """Apply a plan that came into force to the quota and to the admission."""
        self.quota.accept_plan(plan)
        upstream = plan.upstreams.get(self.local.upstream_id)
        if upstream is None:
            return
        profile = plan.profile_of(upstream.service_id)
        if (profile, upstream.slots) != (self.admission.profile, self.admission.slots):
            self.admission.revise(profile, upstream.slots)

    def _handle_member_change(self, member: Member) -> None:
        """Refuse older processes of the member's upstream, and keep links to all neighbours."""
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
        """Open all listeners and start all background tasks.

        Raises:
            OSError: A listener can't be opened.
        """
        peers = self.settings.peers
        await self.network.start(peers.host, peers.port)
        self.list_reader.start()
        self.members.start()
        self.config_distributor.start()
        self.quota.start()
        await self.node.start()

    async def begin_leaving(self) -> None:
        """Refuse new requests, announce it to the peers, and hand over quota holder roles."""
        await self.node.drain.begin()
        await self.quota.leave()

    async def stop(self) -> None:
        """Stop the node and all services; the links and the platform close last."""
        await self.node.stop()
        await self.quota.stop()
        await self.config_distributor.close()
        await self.list_reader.close()
        await self.members.close()
        self._list_subscription.dispose()
        self._plan_subscription.dispose()
        self._member_subscription.dispose()
        await self.network.close()
        await self.platform.close()


def _node_addresses(settings: Settings) -> NodeAddresses:
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
