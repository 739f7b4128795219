"""Assemble a sidecar from its components."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from ...clock import Clock, wall_clock_ms
from ...decisions import DecisionLog
from ...events import (
    NODE_LEAVING,
    NODE_STARTED,
    NODE_STOPPED,
    TASK_FAILED,
)
from ...ids import NodeIdentity, StartNumber, UpstreamId
from ...logs import log
from ...metrics_text import HistogramMetrics
from ...protocol.dialect import dialects
from ...protocol.messages_mesh import (
    CrashReport,
    DocumentChanges,
    Documents,
    DocumentsWanted,
    EvacuationRecords,
    FeedState,
    FollowFeed,
    Probe,
    RateStates,
    RequestCleared,
    UsageReport,
)
from ...sidecar_settings import SidecarSettings
from ...state.balancer import Balancer
from ...state.directory import Directory
from ...state.fleet_plan import CallerLimits, FleetPlan
from ...state.fleet_rate import LimitChanges, NodeRates
from ...state.memory_budget import MemoryBudget, capacity_of
from ...state.overload_level import KnownLevels
from ...state.path_delay import PathDelays
from ...state.placement import Placement
from ...state.retry_window import FleetBudget
from ...transport.direct_websocket import DirectTransport
from ...transport.http_pipeline import (
    BufferedRequest,
    BufferedResponse,
    PipelineListener,
    start_in_task,
)
from ...transport.metadata_store import store_adapters
from ...transport.target_pool import TargetPool
from .crash_reports import CrashReports
from .entry import Entry
from .feeds import DocumentFeeds
from .follower import DocumentFollower
from .forwarding import Forwarder
from .memory_report import MemoryReport
from .peer_link import PeerLink
from .peers import PeerLinks
from .rates import RateCoordinator
from .retry_budget import RetryBudget
from .sidecar_report import describe_state, write_metrics
from .target import LocalTarget
from .transfer_log import log_transfer

# Time for which a draining node still accepts requests of peers, which may not yet know that it
# drains: a path between zones takes up to about 20 ms, and peers cache upstreams for up to 20 ms.
PEER_DRAIN_GRACE_MS = 100.0

# Fraction of the memory that incomplete answers of the target may fill. A complete answer is held
# up to four times while it is joined, encoded and sent.
RESPONSE_MEMORY_FRACTION = 1 / 8

# Descriptors for the links to each peer: one in each direction, and one that replaces a silent one.
LINKS_PER_PEER = 3

# Callers that may be connected also if `max_fds` is too small for targets and peers.
MIN_CALLER_CONNECTIONS = 8

# Delay before a background task that failed is started again.
TASK_RESTART_MS = 500.0


class Sidecar:
    """Run the listeners, the request path and the background tasks of one sidecar.

    Attributes:
        leaving: Whether the readiness check reports that this node stops.
        draining: Whether new requests of peers are refused.
    """

    def __init__(self, settings: SidecarSettings, clock: Clock, seed: int | None = None):
        """Create the components; must be called on the event loop.

        Args:
            settings: Checked settings.
            clock: Clock of all components.
            seed: Seed of all random choices; random by default.

        Raises:
            ConfigurationError: The settings name an unknown adapter.
        """
        self.settings = settings
        self.clock = clock
        self.metrics = HistogramMetrics()
        self.leaving = False
        self.draining = False
        random = Random(seed)
        self.memory = MemoryBudget(capacity_of(settings.memory_mb * 1024 * 1024), clock.now_ms)
        self.memory_report = MemoryReport(self.memory, self.metrics, clock)
        dialect = dialects.get(settings.adapter)
        adapter = store_adapters.get(settings.adapter)
        decisions = DecisionLog(clock, settings.log_lines_per_s)
        self.directory = Directory(clock.now_ms)
        self.store = adapter.store.connect(
            settings.platform.host, settings.platform.port, settings.host
        )
        self.follower = DocumentFollower(
            self.store,
            adapter.reader,
            settings.heartbeat_ms,
            self.directory,
            clock,
            self.metrics,
            random,
        )
        identity = NodeIdentity(
            UpstreamId(settings.host), settings.availability_zone, StartNumber(wall_clock_ms())
        )
        self.peers = PeerLinks(
            identity,
            settings.fleet_secret.encode(),
            settings.peer_port,
            DirectTransport(settings.host),
            clock,
            self.metrics,
            random,
            self.memory,
        )
        self.pool = TargetPool(
            settings.target.host,
            settings.target.port,
            self._connection_limit,
            clock,
            dialect.request_id,
            settings.host,
            # The entry node adds the request id itself; the load is only for nodes.
            removed_fields=(dialect.request_id, dialect.load),
            memory_limit_bytes=int(settings.memory_mb * 1024 * 1024 * RESPONSE_MEMORY_FRACTION),
            memory=self.memory,
        )
        self.crash_reports = CrashReports(
            settings.host,
            self.directory,
            self.pool,
            self.peers,
            clock,
            self.metrics,
            random,
        )
        self.target = LocalTarget(
            settings.service_id,
            (settings.target.host, settings.target.port),
            self.directory,
            self.pool,
            self.crash_reports,
            dialect,
            clock,
            self.metrics,
            decisions,
        )
        self.feeds = DocumentFeeds(
            settings.host,
            settings.availability_zone,
            self.directory,
            self.peers,
            lambda: self.follower.revision,
            lambda: self.follower.store_answered_ms,
            self.follower.changed_after,
            self.follower.describe_store_return,
            lambda: self.follower.plan.version if self.follower.plan else 0,
            clock,
            random,
        )
        self.follower.feeds = self.feeds
        self.feeds.send_documents = self.follower.send_documents
        self.feeds.on_neighbour = self._inform_neighbour
        self.crash_reports.neighbours = self.feeds.neighbours
        self.follower.evacuations.neighbours = self.feeds.neighbours
        self.balancer = Balancer(
            settings.availability_zone,
            clock.now_ms,
            random,
            PathDelays(settings.availability_zone, settings.regions),
        )
        self.levels = KnownLevels()
        self.retry_budget = RetryBudget(self._fleet_retry_budget, self.target.runs, self.metrics)
        self.forwarder = Forwarder(
            self.directory,
            self.balancer,
            self.levels,
            self.peers,
            self.target,
            self.crash_reports,
            self.retry_budget,
            lambda: self.follower.revision,
            Placement(lambda: self.settings.regions, settings.availability_zone),
            clock,
            self.metrics,
            decisions,
        )
        self.target.dependency_level = self.forwarder.dependency_level
        self.target.highest_level = self._highest_level
        self.node_rates = NodeRates(random)
        self.forwarder.on_second_run = self.node_rates.record_second_run
        self.limit_changes = LimitChanges()
        self.rate_sharing = RateCoordinator(
            settings.host,
            self._ready_plan,
            self.directory,
            self.peers,
            self.node_rates,
            self.limit_changes,
            clock,
        )
        self.entry = Entry(
            self._ready_plan,
            lambda: self.settings.service_id,
            self.directory,
            self.forwarder,
            self.crash_reports,
            self.node_rates,
            self.limit_changes,
            self.levels,
            dialect,
            clock,
            self.metrics,
            decisions,
            random,
        )
        self._ready_path = dialect.ready_path
        self.outbound_listener = PipelineListener(
            self.entry.start, clock, self._caller_limits, self.memory, random
        )
        self.outbound_listener.max_connections = self._max_caller_connections
        self.outbound_listener.stalled_ms = settings.stalled_request_ms
        self.outbound_listener.memory_wait_ms = settings.memory_wait_ms
        self.outbound_listener.on_refusal = self.memory_report.record_refusal
        self.ready_listener = PipelineListener(start_in_task(self._answer_ready), clock)
        self.operator_listener = PipelineListener(start_in_task(self._answer_operator), clock)
        self._tasks: list[asyncio.Task] = []
        self._subscribe()

    def _subscribe(self) -> None:
        """Connect the components by callbacks and message handlers."""
        self.peers.runner = self.target.run
        self.peers.starter = self.target.start
        self.peers.is_in_other_zone = self._is_in_other_zone
        self.peers.revision = lambda: self.follower.revision
        self.peers.make_probe = self._make_probe
        self.peers.is_listed = self.feeds.is_known
        self.peers.on_revision = self.follower.note_peer_revision
        self.peers.handlers = {
            DocumentsWanted: self.follower.on_documents_wanted,
            Documents: self.follower.on_documents,
            FollowFeed: self.feeds.on_follow,
            FeedState: self._on_feed_state,
            DocumentChanges: self.follower.on_changes,
            UsageReport: self.rate_sharing.on_report,
            RateStates: self.rate_sharing.on_states,
            CrashReport: self.crash_reports.on_report,
            RequestCleared: self.crash_reports.on_cleared,
            EvacuationRecords: self.follower.evacuations.on_records,
        }
        self.directory.changes.subscribe(self._forget_removed)
        self.balancer.on_transfer = log_transfer
        self.follower.on_plan = self.configure_warm_up
        self.configure_warm_up()

    def configure_warm_up(self) -> None:
        """Set the limit of a cold target to what plan and settings state."""
        plan, settings = self.follower.plan, self.settings
        service = None if plan is None else plan.services.get(settings.service_id)
        self.target.health.configure(service, settings.warm_up_overage, settings.warm_up_slack)

    def _make_probe(self, number: int = 0, answers: int = 0) -> Probe:
        return Probe(self.follower.revision, self.draining, number, answers)

    def _inform_neighbour(self, link: PeerLink) -> None:
        self.crash_reports.send_known(link)
        self.follower.evacuations.send_known(link)

    def _on_feed_state(self, link: PeerLink, state: FeedState) -> None:
        self.follower.note_store_return(state.store_return)
        self.feeds.on_state(link, state)
        self.follower.note_peer_revision(link, state.revision)

    def _forget_removed(self, upstream_id: UpstreamId) -> None:
        if upstream_id not in self.directory.entries:
            self.balancer.forget(upstream_id)

    def _is_in_other_zone(self, host: str) -> bool:
        zone = self.directory.zone_of(host)
        return zone is not None and zone != self.settings.availability_zone

    def _ready_plan(self) -> FleetPlan | None:
        return self.follower.plan if self.follower.ready.is_set() else None

    def _highest_level(self) -> float:
        plan = self.follower.plan
        if plan is None:
            return 0.0
        highest, lowest = plan.priorities
        return float(lowest - highest)

    def _caller_limits(self) -> CallerLimits:
        plan = self.follower.plan
        return CallerLimits() if plan is None else plan.limits

    def _max_caller_connections(self) -> int:
        """Return how many callers may be connected, less what targets, peers and the store need."""
        hosts, settings = len(self.directory.hosts()), self.settings
        needed = self._connection_limit() + LINKS_PER_PEER * hosts + settings.reserved_fds
        return max(MIN_CALLER_CONNECTIONS, settings.max_fds - needed)

    def _connection_limit(self) -> int:
        plan = self.follower.plan
        service = None if plan is None else plan.services.get(self.settings.service_id)
        limit = 0 if service is None else service.max_connections
        return limit or self.target.limit()

    def _fleet_retry_budget(self) -> FleetBudget:
        settings = self.settings
        return FleetBudget(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
            len(self.directory.hosts()),
        )

    async def _answer_ready(self, request: BufferedRequest) -> BufferedResponse:
        if request.target.partition("?")[0] != self._ready_path:
            return BufferedResponse(404, [])
        ready = self._ready_plan() is not None and not self.leaving
        return BufferedResponse(200 if ready else 503, [])

    async def _answer_operator(self, request: BufferedRequest) -> BufferedResponse:
        path = request.target.partition("?")[0]
        if path == "/metrics":
            return BufferedResponse(
                200, [("Content-Type", "text/plain; version=0.0.4")], self._write_metrics()
            )
        if path == "/dump":
            body = json.dumps(self.describe()).encode()
            return BufferedResponse(200, [("Content-Type", "application/json")], body)
        return BufferedResponse(404, [])

    def _write_metrics(self) -> bytes:
        return write_metrics(self)

    def describe(self) -> dict[str, Any]:
        """Return the state of the node for the dump."""
        return describe_state(self)

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises:
            OSError: A listener cannot be opened.
        """
        settings = self.settings
        await self.ready_listener.open(settings.ready.host, settings.ready.port)
        await self.operator_listener.open(settings.metrics.host, settings.metrics.port)
        await self.peers.open(settings.host, settings.peer_listen_port)
        await self.outbound_listener.open(settings.outbound.host, settings.outbound.port)
        background = (
            self.follower.run,
            self.follower.maintain,
            self.feeds.run,
            self.feeds.search.run,
            self.rate_sharing.run,
            self.target.health.run,
        )
        for work in background:
            self._tasks.append(asyncio.ensure_future(self._keep_running(work)))
        log(
            NODE_STARTED,
            upstream_id=settings.host,
            availability_zone=settings.availability_zone,
        )

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task, and start it again after an unexpected error."""
        while True:
            try:
                await work()
            except Exception as error:
                log(TASK_FAILED, task=work.__qualname__, error=repr(error))
            await self.clock.sleep_ms(TASK_RESTART_MS)

    def begin_leaving(self, ends_at_ms: float) -> None:
        """Fail readiness checks, so that the platform routes callers to other instances.

        Args:
            ends_at_ms: Time at which the node ends; new requests are answered before it.
        """
        self.leaving = True
        self.change_end(ends_at_ms)
        self.outbound_listener.leaving = True
        log(NODE_LEAVING, running=self.entry.running)

    def change_end(self, ends_at_ms: float) -> None:
        """Set the time at which the node ends, which is earlier while its event loop is late.

        Args:
            ends_at_ms: Time of the clock in ms.
        """
        self.entry.ends_at_ms = self.target.stop.ends_at_ms = ends_at_ms

    def begin_draining(self) -> None:
        """Refuse new requests of peers and notify them; requests in flight continue."""
        self.draining = True
        self.target.stop.refuse_peers(self.clock.now_ms() + PEER_DRAIN_GRACE_MS)
        for link in self.peers.links():
            link.post(self.peers.make_probe())

    def refuse_callers(self) -> None:
        """Refuse new requests of callers; the calls of requests in flight continue."""
        self.entry.refuses_callers = True

    def end_requests(self) -> None:
        """Answer the requests that are still in flight at the end of the node."""
        self.entry.end_requests()
        self.target.end_waits()

    @property
    def busy(self) -> bool:
        """Return whether a request is in flight."""
        return bool(
            self.entry.running
            or self.target.running
            or self.outbound_listener.busy
            or self.peers.busy
        )

    async def stop(self) -> None:
        """Stop the background tasks and close all listeners and connections."""
        await self.outbound_listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.close()
        self.crash_reports.close()
        self.pool.close()
        await self.ready_listener.close()
        await self.operator_listener.close()
        await self.store.close()
        log(NODE_STOPPED)
