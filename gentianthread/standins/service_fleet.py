"""Run whole nodes, stand-in targets and a platform stand-in in one process, over loopback."""

import asyncio
import os
import socket

import aiohttp
import attrs

from ..clock import SystemClock
from ..coordination.services import NodeServices
from ..ids import NodeIdentity, StartNumber, UpstreamId
from ..metrics import MemoryMetrics
from ..settings import Address, Settings
from ..state.bundle import make_bundle, make_published_values
from ..state.plan import Plan, Upstream
from ..transport.platforms import ListedInstance
from .fleet import key_of
from .platform import PlatformStandin
from .target import StandinTarget

HOST = "127.0.0.1"

# A node counts as up after this many served requests in a row; a new fleet has few tokens at first.
SERVED_IN_A_ROW = 5

_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_PORT_STEP = 97
_given_out: set[int] = set()

_POLL_MS = 50.0
_START_TIMEOUT_S = 30.0


def free_ports(number: int) -> list[int]:
    """Return ports that nothing listens on.

    They lie below the usual range of outgoing connections, one of which could take a port before
    its listener opens. Each process starts at a place of its own, so that fleets that start side by
    side do not find the same ports.
    """
    found: list[int] = []
    port = _FIRST_PORT + os.getpid() * _PORT_STEP % (_LAST_PORT - _FIRST_PORT)
    while len(found) < number:
        port = port + 1 if port < _LAST_PORT else _FIRST_PORT
        if port not in _given_out and _is_free(port):
            found.append(port)
            _given_out.add(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as trial:
        try:
            trial.bind((HOST, port))
        except OSError:
            return False
        return True


@attrs.define(eq=False)
class ServiceMember:
    """Combine one node, all its services and its target."""

    services: NodeServices
    target: StandinTarget

    @property
    def url(self) -> str:
        """Return the address for callers."""
        return f"http://{HOST}:{self.services.node.caller_listener.port}"


class ServiceFleet:
    """Run one whole node and one target for each upstream of a plan.

    Attributes:
        plan: The published plan, with the addresses of this run.
        platform: Publishes the plan and lists the instances.
        members: Nodes and targets by upstream.
    """

    def __init__(self, plan: Plan):
        """Create a fleet that is not started.

        Args:
            plan: The first plan; its addresses are replaced.
        """
        ports = iter(free_ports(3 * len(plan.upstreams)))
        self._ports = {name: (next(ports), next(ports), next(ports)) for name in plan.upstreams}
        self.plan = self._place(plan)
        self.platform = PlatformStandin()
        self.members: dict[str, ServiceMember] = {}
        self._platform_port = 0
        self._clock = SystemClock()

    def _place(self, plan: Plan) -> Plan:
        upstreams = {}
        for name, upstream in plan.upstreams.items():
            peers, callers, target = self._ports[name]
            upstreams[name] = attrs.evolve(
                upstream, host=HOST, peer_port=peers, caller_port=callers, target_port=target
            )
        return attrs.evolve(plan, upstreams=upstreams)

    def publish(self, plan: Plan) -> None:
        """Publish a plan through the platform stand-in."""
        self.plan = self._place(plan)
        self.platform.state.publish(make_published_values(make_bundle(self.plan)))

    async def start(self) -> None:
        """Start platform, targets and nodes, and wait until every node serves."""
        self.publish(self.plan)
        self.platform.state.set_instances(
            tuple(
                ListedInstance(name, upstream.availability_zone, HOST, upstream.peer_port)
                for name, upstream in self.plan.upstreams.items()
            )
        )
        self._platform_port = await self.platform.start()
        for upstream in self.plan.upstreams.values():
            await self._start_member(upstream)
        async with asyncio.timeout(_START_TIMEOUT_S), aiohttp.ClientSession() as session:
            await asyncio.gather(*(self._wait_until_served(session, name) for name in self.members))

    async def _start_member(self, upstream: Upstream) -> None:
        target = StandinTarget(slots=upstream.slots)
        await target.open(HOST, upstream.target_port)
        start_number = StartNumber(len(self.members) + 1)
        identity = NodeIdentity(upstream.upstream_id, upstream.availability_zone, start_number)
        settings = self._settings(upstream)
        services = NodeServices(settings, identity, self._clock, MemoryMetrics())
        await services.start()
        target.node_url = f"http://{HOST}:{services.node.inner_listener.port}"
        self.members[upstream.upstream_id] = ServiceMember(services, target)

    def _settings(self, upstream: Upstream) -> Settings:
        any_port = Address(HOST, 0)
        return Settings(
            upstream_id=upstream.upstream_id,
            availability_zone=upstream.availability_zone,
            callers=Address(HOST, upstream.caller_port),
            inner=any_port,
            operator=any_port,
            peers=Address(HOST, upstream.peer_port),
            target=Address(HOST, upstream.target_port),
            source_address=None,
            seeds=(),
            fleet_secret="secret of a fleet in one process",
            platform=Address(HOST, self._platform_port),
            platform_adapter="http",
            bundle_folder=None,
            log_format="human",
            log_level="warning",
            statsd=None,
            statsd_prefix="",
            record_limit=1_000,
            grace_ms=0.0,
        )

    async def _wait_until_served(self, session: aiohttp.ClientSession, name: UpstreamId) -> None:
        organisation = next(iter(self.plan.organisations))
        headers = {"Authorization": f"Bearer {key_of(organisation)}"}
        url = f"{self.members[name].url}/{self.plan.upstreams[name].service_id}"
        served = 0
        while served < SERVED_IN_A_ROW:
            await self._clock.sleep_ms(_POLL_MS)
            async with session.get(url, headers=headers) as answer:
                served = served + 1 if answer.status == 200 else 0

    async def stop_gracefully(self, name: UpstreamId | str) -> None:
        """Stop one node as SIGTERM does."""
        services = self.members[name].services
        await services.begin_leaving()
        await services.node.drain.wait_idle()
        await services.stop()

    def executions(self, request_name: str) -> int:
        """Return how often all targets ran the requests with a name."""
        return sum(member.target.executions[request_name] for member in self.members.values())

    async def stop(self) -> None:
        """Stop everything at once."""
        await asyncio.gather(*(member.services.stop() for member in self.members.values()))
        await asyncio.gather(*(member.target.close() for member in self.members.values()))
        await self.platform.close()
