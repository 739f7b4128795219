"""Assemble the parts of one node and run its listeners."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import reactivex

from ..clock import Clock, SystemClock
from ..events import NODE_STARTED, NODE_STOPPED, TASK_FAILED
from ..ids import NodeIdentity
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..protocol.refusals import malformed_answer
from ..state.contexts import Contexts
from ..state.executions import ExecutionTable
from ..state.members import Members
from ..state.plan import Plan, Upstream
from ..transport.http_client import HttpTargetClient, TargetClient
from ..transport.http_server import Exchange, HttpListener
from .admission import Admission, SlotAdmission
from .attempts import Attempts
from .drain import Drain, TargetWatch
from .dump import answer_operator
from .executor import Executor
from .gateway import Gateway
from .idempotency import Idempotency
from .peer_network import PeerNetwork
from .quota import Quota, UnlimitedQuota
from .retries import RetryPolicy
from .routing import RoundRobinRouter, Router
from .watchdog import Watchdog


@attrs.frozen
class NodeAddresses:
    """Store the addresses of a node's HTTP listeners and of its target.

    A listener with port 0 gets a free port from the operating system.

    Attributes:
        caller_host: IP address of the listener for outside callers.
        caller_port: Port of the listener for outside callers.
        inner_host: IP address of the listener for calls of the local target, on loopback.
        inner_port: Port of the listener for calls of the local target.
        operator_host: IP address of the listener for operators, on loopback.
        operator_port: Port of the listener for operators.
        target_host: IP address of the local target.
        target_port: Port of the local target.
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
    """Collect the dependencies that are injected into a node.

    For quota, router, admission, target and executions None selects a default implementation.

    Attributes:
        plan: Returns the accepted plan, or None before there is one.
        peers: Sends requests and messages to the other nodes.
        changes: Stream of plans that come into force.
        quota: Limits organisations to their rate.
        router: Chooses upstreams.
        admission: Admits requests to the local target.
        members: Membership of the nodes in the fleet; None means that all nodes accept requests.
        target: HTTP client of the local target.
        executions: Records of idempotency keys.
        announce_leaving: Informs the peers that the node is leaving.
        announce_return: Informs the peers that the node accepts requests again.
        on_target_recovered: Called when a target that was down answers again.
        clock: Clock of the node.
        metrics: Metrics of the node.
    """

    plan: Callable[[], Plan | None]
    peers: PeerNetwork
    changes: reactivex.Observable | None = None
    quota: Quota | None = None
    router: Router | None = None
    admission: Admission | None = None
    members: Members | None = None
    target: TargetClient | None = None
    executions: ExecutionTable | None = None
    announce_leaving: Callable[[], Awaitable[None]] | None = None
    announce_return: Callable[[], Awaitable[None]] | None = None
    on_target_recovered: Callable[[], None] = lambda: None
    clock: Clock = attrs.field(factory=SystemClock)
    metrics: Metrics = attrs.field(factory=MemoryMetrics)


class Node:
    """Run the listeners, the request path and the background tasks of one node.

    Attributes:
        dump_sections: Functions that return additional sections of the state dump, by name.
        contexts: Requests that run on the target, by the handles that their inner calls send.
        watchdog: Calls registered callbacks after a pause of the process.
        drain: Takes the node or its target out of service.
        caller_listener: Listener for outside callers.
        inner_listener: Listener for calls of the local target.
        operator_listener: Listener for the state dump and the metrics.
    """

    def __init__(self, local: NodeIdentity, addresses: NodeAddresses, parts: NodeParts):
        """Assemble a node; `start` starts it.

        Args:
            local: Identity of the node.
            addresses: Addresses of its listeners and of its target.
            parts: Dependencies of the node.
        """
        self.local = local
        self.addresses = addresses
        self.plan = parts.plan
        self.peers = parts.peers
        self.members = parts.members
        self.clock = parts.clock
        self.metrics = parts.metrics
        self.dump_sections: dict[str, Callable[[], Any]] = {}
        self.contexts = Contexts()
        self.watchdog = Watchdog(parts.clock, parts.metrics)
        self._changes = parts.changes
        self._tasks: list[asyncio.Task] = []
        self._plan_subscription: Any = None
        self._assemble_target_side(parts)
        self._assemble_caller_side(parts)
        self.drain = Drain(
            self.gateway,
            self.executor,
            self.clock,
            parts.announce_leaving,
            parts.announce_return,
        )
        self.target_watch = TargetWatch(
            local.upstream_id,
            parts.plan,
            parts.members,
            self.target,
            self.drain,
            parts.clock,
            parts.metrics,
            parts.on_target_recovered,
        )

    def _assemble_target_side(self, parts: NodeParts) -> None:
        addresses = self.addresses
        self.target = parts.target or HttpTargetClient(
            addresses.target_host,
            addresses.target_port,
            self._connection_limit,
            self.clock,
            self.metrics,
        )
        upstream = self._local_upstream()
        slots = 1 if upstream is None else upstream.slots
        self.admission = parts.admission or SlotAdmission(slots, self.clock)
        self.executor = Executor(
            self.admission, self.target, self.contexts, self.clock, self.metrics
        )
        self.idempotency = Idempotency(
            self.local, self.executor, self.peers, self.clock, parts.executions
        )
        self.executor.run_keyed = self.idempotency.run

    def _assemble_caller_side(self, parts: NodeParts) -> None:
        self.retries = RetryPolicy(self.clock)
        router = parts.router or RoundRobinRouter(parts.plan, self._accepts_work)
        self.attempts = Attempts(
            self.local,
            router,
            self.executor,
            self.peers,
            self.retries,
            self.clock,
            self.metrics,
        )
        self.gateway = Gateway(
            parts.plan,
            parts.quota or UnlimitedQuota(),
            self.attempts,
            self.contexts,
            self.clock,
            self.metrics,
            self.idempotency,
            self.watchdog.check,
        )
        self.caller_listener = HttpListener(self.gateway.handle_caller, malformed_answer)
        self.inner_listener = HttpListener(self.gateway.handle_inner, malformed_answer)
        self.operator_listener = HttpListener(self._answer_operator, malformed_answer)

    def _local_upstream(self) -> Upstream | None:
        plan = self.plan()
        return None if plan is None else plan.upstreams.get(self.local.upstream_id)

    def _connection_limit(self) -> int:
        upstream = self._local_upstream()
        return 1 if upstream is None else upstream.connections

    def _accepts_work(self, upstream_id: Any) -> bool:
        return self.members is None or self.members.takes_work(upstream_id)

    async def _answer_operator(self, exchange: Exchange) -> None:
        await answer_operator(self, exchange)

    async def start(self) -> None:
        """Start the background tasks and open the listeners."""
        self._follow_plan()
        self.peers.accept_streams(self.executor.serve_stream)
        self._spawn("watchdog", self.watchdog.run())
        self._spawn("target watch", self.target_watch.run())
        addresses = self.addresses
        await self.operator_listener.open(addresses.operator_host, addresses.operator_port)
        await self.inner_listener.open(addresses.inner_host, addresses.inner_port)
        await self.caller_listener.open(addresses.caller_host, addresses.caller_port)
        log(
            NODE_STARTED,
            upstream_id=self.local.upstream_id,
            availability_zone=self.local.availability_zone,
        )

    def _follow_plan(self) -> None:
        plan = self.plan()
        if plan is not None:
            self.idempotency.apply_plan(plan)
        if self._changes is not None:
            self._plan_subscription = self._changes.subscribe(self.idempotency.apply_plan)

    def _spawn(self, name: str, work: Any) -> None:
        task = asyncio.ensure_future(work)

        def report(finished_task: asyncio.Task) -> None:
            if not finished_task.cancelled() and finished_task.exception() is not None:
                log(TASK_FAILED, task=name, error=repr(finished_task.exception()))

        task.add_done_callback(report)
        self._tasks.append(task)

    async def stop_gracefully(self) -> None:
        """Refuse new requests, wait for the ones in flight, then close everything."""
        await self.drain.begin()
        await self.drain.wait_idle()
        await self.stop()

    async def stop(self) -> None:
        """Close the listeners, the background tasks and the target client without draining."""
        if self._plan_subscription is not None:
            self._plan_subscription.dispose()
        listeners = (self.caller_listener, self.inner_listener, self.operator_listener)
        await asyncio.gather(*(listener.close() for listener in listeners))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.target.close()
        log(NODE_STOPPED)
