"""Stand in for the users' platform in one process: targets and sidecars beside a store.

Every instance has an address of its own in 127.0.0.0/8, so that all sidecars use the same peer port
as they do on the platform.
"""

import asyncio
import hashlib
import os
import socket
import time
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

import attrs

from ..clock import SystemClock
from ..coordination.mesh.sidecar import Sidecar
from ..ids import AvailabilityZoneId, ServiceId
from ..platform.documents import PLAN_KEY, UPSTREAM_PREFIX, WARM_UP_LEFT_FIELD
from ..platform.names import ADAPTER, DIALECT
from ..settings import Address
from ..sidecar_settings import SidecarSettings
from ..transport.header_fields import render_fields
from ..transport.http_names import PHRASES
from ..transport.http_pipeline import (
    BufferedRequest,
    BufferedResponse,
    PipelineListener,
    start_in_task,
)
from .mesh_store import MeshStore

# The ports of an instance, the same on each of them.
TARGET_PORT = 7801
OUTBOUND_PORT = 7802
READY_PORT = 7803
METRICS_PORT = 7804
PEER_PORT = 7805

# A process that holds this port at the last address of a network has reserved the network.
RESERVATION_PORT = 7807
RESERVATION_HOST_NUMBER = 254

_network_numbers = count()
_reservations: list[socket.socket] = []


def private_network() -> str:
    """Reserve a network of loopback addresses until this process ends, and return its prefix.

    Each call reserves another network, so that a fleet which was not stopped holds no address of
    the next one.

    Returns:
        The first three numbers of the addresses.
    """
    while True:
        network = f"127.{64 + os.getpid() % 128}.{next(_network_numbers) % 256}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.{RESERVATION_HOST_NUMBER}", RESERVATION_PORT))
        except OSError:
            # Another process, whose id is the same modulo 128, has reserved this network.
            reservation.close()
            continue
        _reservations.append(reservation)
        return network


# Path of the health checks, and time for which a cold target that got too much does not serve.
HEALTH_PATH = "/healthz"
CRASH_DOWN_S = 0.3

Behaviour = Callable[["MeshTarget", BufferedRequest], Awaitable[BufferedResponse | None]]

# Gets a request and its answer before the answer is written. It may change the answer, and write
# further bytes to the transport of the request, also later.
AnswerHook = Callable[[BufferedRequest, BufferedResponse], Awaitable[None]]


async def _write_nothing_else(request: BufferedRequest, answer: BufferedResponse) -> None:
    pass


class MeshTarget:
    """Act as a target: run requests in slots, seal answers, and reject what is not its own.

    Attributes:
        upstream_id: Id of its present start.
        started_at_ms: Wall clock of this start.
        runs: Requests that it ran, by id.
        seen: Requests that it ran, in order.
        seen_at_s: Times of the event loop at which they came.
        work_percent: Fourth figure of the load in its answers, or None if they have three.
        limit: Limit of the request rate that its answers name, or None.
        leaving: Whether its answers say that it leaves.
        crashes: Number of its crashes.
        down: Whether it has crashed and does not serve.
        crash_task: Task of its last crash; see `crash`.
        warm_up_ms: Time for which it is cold after a start.
        warm_up_factor: Factor by which it is slower while it is cold.
        cold_until_s: Time of the event loop until which it is cold.
        cold_bound: Requests in any second with more of which it crashes while it is cold.
        cold_at_s: Times at which requests and health checks came while it was cold.
        checks: Number of health checks that it answered.
        refusal_status: Returns the status with which a request is refused without running it, or 0.
        behave: Answers a request that passed the checks.
        before_answer: Called before an answer is written.
    """

    def __init__(self, host: str, service_id: str, upstream_id: str, slots: int = 8):
        """Create a target that does not serve yet."""
        self.host = host
        self.service_id = service_id
        self.upstream_id = upstream_id
        self.slots = slots
        self.work_ms = 1.0
        self.work_percent: int | None = None
        self.listed_port = TARGET_PORT
        self.running = 0
        self.most_running = 0
        self.runs: dict[str, int] = {}
        self.seen: list[BufferedRequest] = []
        self.seen_at_s: list[float] = []
        self.limit: str | None = None
        self.leaving = False
        self.crashes = 0
        self.down = False
        self.crash_task: asyncio.Task | None = None
        self.warm_up_ms = 0.0
        self.warm_up_factor = 4.0
        self.cold_until_s = float("-inf")
        self.cold_bound = float("inf")
        self.cold_at_s: list[float] = []
        self.checks = 0
        self.refusal_status: Callable[[BufferedRequest], int] = lambda request: 0
        self.behave: Behaviour = answer_sealed
        self.before_answer: AnswerHook = _write_nothing_else
        self.started_at_ms = 0
        self.start_again()
        self._listener = PipelineListener(start_in_task(self._answer), SystemClock())

    async def open(self) -> None:
        """Start to serve."""
        await self._listener.open(self.host, TARGET_PORT)

    def start_again(self, upstream_id: str | None = None) -> None:
        """Begin the next start, whose count of writes starts anew.

        Args:
            upstream_id: Id of the next start, or None for the same.
        """
        self.upstream_id = upstream_id or self.upstream_id
        self.started_at_ms = max(self.started_at_ms + 1, time.time_ns() // 1_000_000)
        self._writes = 0

    async def close(self) -> None:
        """Stop to serve."""
        await self._listener.close()

    def crash(self, down_s: float, next_id: str | None = None) -> asyncio.Task:
        """End with all connections, and serve again later as its next start.

        Args:
            down_s: Time until it serves again.
            next_id: Id of the next start, or None for the same.

        Returns:
            A task that ends when it serves again.
        """
        if not self.down:
            self.crashes += 1
            self.down = True
            self.crash_task = asyncio.ensure_future(self._restart(down_s, next_id))
        return self.crash_task

    async def _restart(self, down_s: float, next_id: str | None) -> None:
        await self.close()
        await asyncio.sleep(down_s)
        self.start_again(next_id)
        await self.open()
        self.down = False
        if self.warm_up_ms:
            self.become_cold()

    def become_cold(self) -> None:
        """Begin a cold time."""
        self.cold_until_s = asyncio.get_running_loop().time() + self.warm_up_ms / 1_000
        self.cold_at_s = []

    def cold_left_ms(self) -> float:
        """Return the remaining cold time; 0 if it is warm."""
        if self.cold_until_s == float("-inf"):
            return 0.0
        return max(0.0, self.cold_until_s - asyncio.get_running_loop().time()) * 1_000

    def entry(self, state: str = "ready", zone: str = "a") -> dict[str, Any]:
        """Return what it writes next to the store."""
        self._writes += 1
        entry = {
            "service": self.service_id,
            "address": f"{self.host}:{self.listed_port}",
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": self._writes,
            "born": self.started_at_ms,
        }
        left_ms = self.cold_left_ms()
        return entry | {WARM_UP_LEFT_FIELD: f"{left_ms:.3f}ms"} if left_ms else entry

    def load_figures(self) -> str:
        """Return the load figures of an answer."""
        figures = f"{self.running},0,{self.slots}"
        return figures if self.work_percent is None else f"{figures},{self.work_percent}"

    def notices(self) -> list[tuple[str, str]]:
        """Return the header fields in which it tells of a limit, and that it leaves."""
        notices = [] if self.limit is None else [(DIALECT.rate_limit, self.limit)]
        return [*notices, (DIALECT.leaving, "1")] if self.leaving else notices

    async def _answer(self, request: BufferedRequest) -> BufferedResponse | None:
        answer = await self._refuse_or_run(request)
        if answer is not None:
            await self.before_answer(request, answer)
        return answer

    async def _refuse_or_run(self, request: BufferedRequest) -> BufferedResponse | None:
        request_id = request.find(DIALECT.request_id.lower()) or ""
        is_own = request.find(DIALECT.expected_target.lower()) == self.upstream_id
        if is_own and self._crashes_under_next():
            await asyncio.shield(self.crash(CRASH_DOWN_S))
            return None
        if is_own and request.target == HEALTH_PATH:
            return self._answer_check(request_id)
        if not is_own:
            status = 421
        else:
            status = 503 if self.running >= self.slots else self.refusal_status(request)
        if status:
            headers = [
                (DIALECT.not_run, "1"),
                (DIALECT.request_id, request_id),
                (DIALECT.instance, self.upstream_id),
                *self.notices(),
            ]
            return BufferedResponse(status, headers)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.seen.append(request)
        self.seen_at_s.append(asyncio.get_running_loop().time())
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            factor = self.warm_up_factor if self.cold_left_ms() else 1.0
            await asyncio.sleep(self.work_ms * factor / 1000)
            return await self.behave(self, request)
        finally:
            self.running -= 1

    def _crashes_under_next(self) -> bool:
        """Count a request that came, and return whether it is one too many for a cold target."""
        if not self.cold_left_ms():
            return False
        now_s = asyncio.get_running_loop().time()
        self.cold_at_s.append(now_s)
        return sum(time_s > now_s - 1 for time_s in self.cold_at_s) > self.cold_bound

    def _answer_check(self, request_id: str) -> BufferedResponse:
        self.checks += 1
        headers = [
            (DIALECT.request_id, request_id),
            (DIALECT.instance, self.upstream_id),
            (DIALECT.load, f"{self.running},0,{self.slots}"),
        ]
        left_ms = self.cold_left_ms()
        if left_ms:
            headers.append((DIALECT.warm_up, f"{left_ms:.0f}"))
        return BufferedResponse(200, headers)


def render_answer(answer: BufferedResponse, *, keeps_id: bool = True) -> bytes:
    """Return the bytes of an answer of a target.

    Args:
        answer: The answer.
        keeps_id: Whether it bears the id of its request.
    """
    fields = [pair for pair in answer.headers if keeps_id or pair[0] != DIALECT.request_id]
    head = f"HTTP/1.1 {answer.status} {PHRASES[answer.status]}\r\n{render_fields(fields)}"
    return f"{head}Content-Length: {len(answer.body)}\r\n\r\n".encode() + answer.body


async def answer_sealed(target: MeshTarget, request: BufferedRequest) -> BufferedResponse:
    """Answer with a body that tells who ran the request."""
    request_id = request.find(DIALECT.request_id.lower()) or ""
    body = f"{target.upstream_id} {request_id} {request.method} {request.target}".encode()
    body += b" " + request.body
    return BufferedResponse(
        200,
        [
            (DIALECT.request_id, request_id),
            (DIALECT.seal, hashlib.sha256(body).hexdigest()[:16]),
            (DIALECT.load, target.load_figures()),
            *target.notices(),
        ],
        body,
    )


async def fail(target: MeshTarget, request: BufferedRequest) -> BufferedResponse:
    """Answer 500 as a target does whose work failed."""
    answer = await answer_sealed(target, request)
    return BufferedResponse(500, answer.headers, answer.body)


async def break_off(target: MeshTarget, request: BufferedRequest) -> None:
    """Close the connection without an answer, after the request has run."""


def crash_on(path: str, down_s: float, otherwise: Behaviour = answer_sealed) -> Behaviour:
    """Return a behaviour that crashes the target when it runs a request for a path.

    Args:
        path: Path and query of the requests that crash it.
        down_s: Time after which it serves again.
        otherwise: Answers the other requests.
    """

    async def behave(target: MeshTarget, request: BufferedRequest) -> BufferedResponse | None:
        if request.target != path:
            return await otherwise(target, request)
        # The connection of this request ends with the others.
        await asyncio.shield(target.crash(down_s))
        return None

    return behave


@attrs.define(eq=False)
class MeshInstance:
    """Combine the target and the sidecar of one instance."""

    target: MeshTarget
    zone: str
    sidecar: Sidecar


def plan_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with two services and one organisation.

    Args:
        version: Its version.
        changes: Top-level tables that replace the usual ones.
    """
    usual = {
        "version": f"r{version}",
        "routes": {
            "stock": {
                "host": "shop.example",
                "prefix": "/stock/",
                "kind": "idempotent",
                "timeout": "1500ms",
                "target_latency": "800ms",
                "priority": 2,
                "service": "catalogue",
                "max_attempts": 2,
            },
            "order": {
                "host": "shop.example",
                "prefix": "/order/",
                "kind": "non_idempotent",
                "timeout": "1500ms",
                "target_latency": "800ms",
                "priority": 0,
                "service": "orders",
                "max_attempts": 2,
            },
            "ledger": {
                "host": "inner.example",
                "prefix": "/ledger/",
                "kind": "idempotent",
                "priority": 1,
                "service": "orders",
                "max_attempts": 2,
                "no_auth": True,
            },
        },
        "services": {
            "catalogue": {"health_path": "/healthz", "max_connections": 64},
            "orders": {"health_path": "/healthz", "max_connections": 64},
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
        "tenants": {
            "acme": {"api_keys": ["key-acme"], "priority": 1, "rate_per_s": 100000, "burst": 100000}
        },
    }
    return usual | changes


async def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110  # The conditions have no events of their own.
            await asyncio.sleep(0.005)


class MeshFleet:
    """Run a store, targets and sidecars in one event loop.

    Attributes:
        network: First three numbers of the addresses of this process.
        store: The store.
        instances: Instances by the id of their upstream.
        warm_up: Overage and slack in the settings of new instances.
    """

    def __init__(self) -> None:
        self.warm_up = (1.0, 0.0)
        self.network = private_network()
        self.store = MeshStore(f"{self.network}.250")
        self.instances: dict[str, MeshInstance] = {}

    async def start(self, services: dict[str, int], zones: tuple[str, ...] = ("a",)) -> None:
        """Publish a plan and start instances.

        Args:
            services: Number of instances of each service.
            zones: Availability zones, taken in turn.
        """
        await self.store.open()
        self.store.put(PLAN_KEY, plan_document())
        for service, number in services.items():
            for place in range(number):
                await self.add(service, f"{service}-{place}", zones[place % len(zones)])
        await self.wait_ready()

    async def add(self, service: str, upstream_id: str, zone: str = "a") -> MeshInstance:
        """Start one more instance and list its upstream."""
        host = f"{self.network}.{len(self.instances) + 1}"
        target = MeshTarget(host, service, upstream_id)
        await target.open()
        sidecar = Sidecar(self.settings(host, service, zone), SystemClock())
        instance = self.instances[upstream_id] = MeshInstance(target, zone, sidecar)
        await sidecar.start()
        self.store.put(UPSTREAM_PREFIX + upstream_id, target.entry(zone=zone))
        return instance

    def settings(self, host: str, service: str, zone: str) -> SidecarSettings:
        """Return the settings of the sidecar of an instance."""
        overage, slack = self.warm_up
        return SidecarSettings(
            host=host,
            availability_zone=AvailabilityZoneId(zone),
            service_id=ServiceId(service),
            outbound=Address(host, OUTBOUND_PORT),
            ready=Address(host, READY_PORT),
            metrics=Address(host, METRICS_PORT),
            peer_port=PEER_PORT,
            peer_listen_port=PEER_PORT,
            fleet_secret="",
            target=Address(host, TARGET_PORT),
            platform=Address(self.store.host, self.store.port),
            adapter=ADAPTER,
            heartbeat_ms=1_500.0,
            retry_ratio=0.2,
            retry_slack=1_000.0,
            retry_window_ms=10_000.0,
            grace_ms=2_000.0,
            log_format="json",
            log_level="error",
            log_lines_per_s=20,
            memory_mb=512,
            warm_up_overage=overage,
            warm_up_slack=slack,
        )

    async def wait_ready(self) -> None:
        """Wait until every sidecar knows all upstreams that are listed."""
        wanted = {instance.target.upstream_id for instance in self.instances.values()}
        sidecars = [instance.sidecar for instance in self.instances.values()]
        await wait_until(
            lambda: all(set(sidecar.directory.entries) == wanted for sidecar in sidecars)
        )
        for sidecar in sidecars:
            await sidecar.follower.ready.wait()

    async def restart_sidecars(self) -> None:
        """Stop all sidecars, and start them anew while the targets run on."""
        for instance in self.instances.values():
            await instance.sidecar.stop()
        for instance in self.instances.values():
            instance.sidecar = Sidecar(instance.sidecar.settings, SystemClock())
            await instance.sidecar.start()

    async def stop(self) -> None:
        """Close everything."""
        for instance in self.instances.values():
            await instance.sidecar.stop()
            if instance.target.crash_task is not None:
                instance.target.crash_task.cancel()
            await instance.target.close()
        await self.store.close()
