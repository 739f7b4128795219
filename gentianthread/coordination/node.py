"""Assemble the parts of one node and run its listeners."""

import asyncio
from collections.abc import Callable

import attrs

from ..clock import Clock, SystemClock
from ..events import NODE_STARTED, NODE_STOPPED
from ..ids import NodeIdentity
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..protocol.refusals import malformed_answer
from ..state.contexts import Contexts
from ..state.plan import Plan
from ..transport.http_client import HttpTargetClient, TargetClient
from ..transport.http_server import HttpListener
from .admission import Admission, SlotAdmission
from .executor import Executor
from .gateway import Gateway
from .peer_network import PeerNetwork
from .quota import Quota, UnlimitedQuota
from .routing import Router, TurnRouter


@attrs.frozen
class NodeAddresses:
    """Hold the addresses of a node's HTTP listeners; port 0 means any.

    Attributes:
        caller_host: IP address for outside callers.
        caller_port: Port for outside callers.
        inner_host: IP address for calls of the own target, on loopback.
        inner_port: Port for calls of the own target.
        operator_host: IP address for operators, on loopback.
        operator_port: Port for operators.
        target_host: IP address of the own target.
        target_port: Port of the own target.
    """

    caller_host: str = "127.0.0.1"
    caller_port: int = 0
    inner_host: str = "127.0.0.1"
    inner_port: int = 0
    operator_host: str = "127.0.0.1"
    operator_port: int = 0
    target_host: str = "127.0.0.1"
    target_port: int = 0


@attrs.define
class NodeParts:
    """Hold the parts that are injected into a node; None means a simple default.

    Attributes:
        plan: Returns the accepted plan, or None before there is one.
        peers: Reaches the other nodes.
        quota: Keeps organisations within their rate.
        router: Chooses upstreams.
        admission: Admits work to the own target.
        target: Reaches the own target.
        clock: Clock of the node.
        metrics: Metrics of the node.
    """

    plan: Callable[[], Plan | None]
    peers: PeerNetwork
    quota: Quota | None = None
    router: Router | None = None
    admission: Admission | None = None
    target: TargetClient | None = None
    clock: Clock = attrs.field(factory=SystemClock)
    metrics: Metrics = attrs.field(factory=MemoryMetrics)


class Node:
    """Be one node: listeners, request path and background work."""

    def __init__(self, local: NodeIdentity, addresses: NodeAddresses, parts: NodeParts):
        """Assemble a node that is not started.

        Args:
            local: Identity of the node.
            addresses: Addresses of its listeners and of its target.
            parts: What is injected.
        """
        self.local = local
        self.addresses = addresses
        self.plan = parts.plan
        self.peers = parts.peers
        self.clock = parts.clock
        self.metrics = parts.metrics
        self.contexts = Contexts()
        self.target = parts.target or HttpTargetClient(
            addresses.target_host, addresses.target_port, self._connection_limit, parts.clock
        )
        self.admission = parts.admission or SlotAdmission(self._slots(), parts.clock)
        self.executor = Executor(
            local, self.admission, self.target, self.contexts, parts.clock, parts.metrics
        )
        self.gateway = Gateway(
            local,
            parts.plan,
            parts.quota or UnlimitedQuota(),
            parts.router or TurnRouter(parts.plan),
            self.executor,
            parts.peers,
            self.contexts,
            parts.clock,
            parts.metrics,
        )
        self.callers = HttpListener(self.gateway.handle_caller, malformed_answer)
        self.inner = HttpListener(self.gateway.handle_inner, malformed_answer)

    def _connection_limit(self) -> int:
        plan = self.plan()
        upstream = None if plan is None else plan.upstreams.get(self.local.upstream_id)
        return 1 if upstream is None else upstream.connections

    def _slots(self) -> int:
        plan = self.plan()
        upstream = None if plan is None else plan.upstreams.get(self.local.upstream_id)
        return 1 if upstream is None else upstream.slots

    async def start(self) -> None:
        """Open the listeners."""
        self.peers.accept_streams(self.executor.serve_stream)
        addresses = self.addresses
        await self.inner.open(addresses.inner_host, addresses.inner_port)
        await self.callers.open(addresses.caller_host, addresses.caller_port)
        log(
            NODE_STARTED,
            upstream_id=self.local.upstream_id,
            availability_zone=self.local.availability_zone,
        )

    async def stop(self) -> None:
        """Close everything at once."""
        await asyncio.gather(self.callers.close(), self.inner.close())
        await self.target.close()
        log(NODE_STOPPED)
