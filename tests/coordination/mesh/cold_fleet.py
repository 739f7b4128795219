"""Play cold targets that crash when they get too much, beside real nodes without a network."""

import asyncio
from random import Random

import attrs

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.crash_reports import CrashReports
from gentianthread.coordination.mesh.target import LocalTarget
from gentianthread.decisions import DecisionLog
from gentianthread.errors import ConnectionLost, DialError
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.metrics_text import HistogramMetrics
from gentianthread.platform.names import DIALECT
from gentianthread.protocol.messages_mesh import RunOutcome, RunRequest
from gentianthread.state.balancer import Balancer
from gentianthread.state.directory import Directory, UpstreamEntry
from gentianthread.state.fleet_plan import FleetService
from gentianthread.state.overload_level import KnownLevels
from gentianthread.state.return_times import ReturnTimes
from gentianthread.transport.http_pipeline import BufferedResponse
from gentianthread.transport.target_pool import PooledResponse

SERVICE_ID = ServiceId("catalogue")
HEALTH_PATH = "/healthz"

# The service and the bounds of the known deployment.
WARM_UP_MS, PER_S, OVERAGE, SLACK = 3_000.0, 6.0, 1.5, 8.0
BOUND = PER_S * OVERAGE + SLACK

# Time until a crashed target serves again, and until its entry has reached the nodes.
RESTART_MS = 400.0
ENTRY_DELAY_MS = 150.0

# Time of a request at a warm target, and the factor by which a cold one is slower.
WORK_MS = 20.0
COLD_FACTOR = 4.0
SLOTS = 8


class ColdTarget:
    """Stand in for the connections to a target, which crashes if it gets too much while cold.

    Attributes:
        arrivals_ms: Times at which requests and checks reached it while it was cold.
        checks_ms: Times at which health checks reached it.
        crashes: Number of its crashes.
        is_up: Whether it accepts connections.
        connected: Whether a connection to it is open.
        cold_until_ms: End of its cold time.
        instance: Id that it states in its health responses.
        answer_check: Returns the response to a health check, or None for none; `check` by default.
        bound: Requests in a second under which it crashes while cold.
    """

    def __init__(self, upstream_id, clock):
        self.upstream_id = self.instance = upstream_id
        self.clock = clock
        self.arrivals_ms, self.checks_ms, self.served = [], [], 0
        self.crashes = 0
        self.is_up, self.connected = True, False
        self.cold_until_ms = 0.0
        self.start_count = 0
        self.bound = BOUND
        self.answer_check = self.check
        self.on_start = lambda: None
        self.ended = asyncio.Event()

    def is_cold(self):
        return self.clock.now_ms() < self.cold_until_ms

    def crash(self, restart_ms=RESTART_MS):
        """End all connections, and serve again later as the next start, which is cold."""
        if not self.is_up:
            return
        self.crashes += 1
        self.is_up = self.connected = False
        self.ended.set()
        asyncio.get_running_loop().call_later(restart_ms / 1_000, self._start)

    def _start(self):
        self.is_up, self.ended = True, asyncio.Event()
        self.start_count += 1
        self.arrivals_ms = []
        self.cold_until_ms = self.clock.now_ms() + WARM_UP_MS
        self.on_start()

    def become_cold(self, duration_ms=WARM_UP_MS):
        """Become cold without a restart."""
        self.arrivals_ms = []
        self.cold_until_ms = self.clock.now_ms() + duration_ms

    def most_in_second(self):
        """Return the largest number of arrivals in a second of the present cold time."""
        times_ms = self.arrivals_ms
        return max(
            (sum(start <= time < start + 1_000 for time in times_ms) for start in times_ms),
            default=0,
        )

    def _record_arrival(self):
        now_ms = self.clock.now_ms()
        if not self.is_cold():
            return
        self.arrivals_ms.append(now_ms)
        if sum(time_ms > now_ms - 1_000 for time_ms in self.arrivals_ms) > self.bound:
            self.crash()

    # What the node uses of a pool.

    def has_open_connection(self):
        return self.connected

    async def has_crashed(self):
        await asyncio.sleep(0.03)
        return not self.is_up

    def start_exchange(self, request, idle_limit_ms, on_result):
        return None

    async def exchange(self, request, idle_limit_ms=None):
        if not self.is_up:
            await asyncio.sleep(0.0002)
            raise DialError("target", "refused")
        self.connected = True
        ended = self.ended
        is_check = request.data.startswith(f"GET {HEALTH_PATH} ".encode())
        if is_check:
            self.checks_ms.append(self.clock.now_ms())
        self._record_arrival()
        work = asyncio.ensure_future(self._work(request, is_check))
        lost = asyncio.ensure_future(ended.wait())
        await asyncio.wait((work, lost), return_when=asyncio.FIRST_COMPLETED)
        lost.cancel()
        if ended.is_set():
            work.cancel()
            raise ConnectionLost("target", "reset")
        return await work

    async def _work(self, request, is_check):
        if is_check:
            await asyncio.sleep(0.006)
            answer = self.answer_check()
            if answer is None:
                await asyncio.sleep(request.timeout_ms / 1_000)
                raise TimeoutError
            status, fields = answer
        else:
            await asyncio.sleep(WORK_MS * (COLD_FACTOR if self.is_cold() else 1) / 1_000)
            self.served += 1
            status, fields = 200, {DIALECT.seal.lower(): "seal"}
        fields = {DIALECT.request_id.lower(): request.request_id} | fields
        return PooledResponse(BufferedResponse(status, []), fields, 1, 2)

    def check(self):
        left_ms = max(0.0, self.cold_until_ms - self.clock.now_ms())
        fields = {DIALECT.instance.lower(): self.instance}
        return 200, fields | ({DIALECT.warm_up.lower(): f"{left_ms:.0f}"} if left_ms else {})


class NoPeers:
    """Stand in for the links to other nodes."""

    def links(self):
        return []


@attrs.define
class Served:
    """Count the outcomes of a play."""

    answered: int = 0
    refused: int = 0
    failed: int = 0


class ColdFleet:
    """Run targets of one service, the node beside each, and one entry that balances over them.

    Attributes:
        targets: The targets.
        nodes: The node beside each of them.
    """

    def __init__(self, count, per_s=PER_S):
        self.clock = LoopClock()
        self.per_s = per_s
        self.random = Random(1)
        self.directory = Directory(self.clock.now_ms)
        self.targets = [ColdTarget(f"i-{number}", self.clock) for number in range(count)]
        self.nodes, self.tasks = [None] * count, [None] * count
        self.metrics = HistogramMetrics()
        self.balancer = Balancer(AvailabilityZoneId("a"), self.clock.now_ms, self.random)
        self.levels = KnownLevels()
        self.return_times = ReturnTimes(self.random)
        self._numbers = 0
        for number, target in enumerate(self.targets):
            target.on_start = lambda number=number: self._list_later(number)
            self.start_node(number)
            self.list_target(number)

    def start_node(self, number):
        """Start the node beside a target; called again, it has forgotten everything."""
        if self.tasks[number] is not None:
            self.tasks[number].cancel()
        target, address = self.targets[number], (f"10.0.0.{number + 1}", 80)
        crash_reports = CrashReports(
            address[0], self.directory, target, NoPeers(), self.clock, self.metrics, self.random
        )
        node = self.nodes[number] = LocalTarget(
            SERVICE_ID,
            address,
            self.directory,
            target,
            crash_reports,
            DIALECT,
            self.clock,
            self.metrics,
            DecisionLog(self.clock, 1),
        )
        node.highest_level = lambda: 1.0
        node.health.record_entry(self.directory.find_by_address(*address))
        self.configure(number)
        self.tasks[number] = asyncio.ensure_future(node.health.run())

    def configure(self, number):
        service = FleetService(SERVICE_ID, HEALTH_PATH, 64, WARM_UP_MS, self.per_s)
        self.nodes[number].health.configure(service, OVERAGE, SLACK)

    def list_target(self, number, warm_up_ms=0.0, upstream_id=None):
        """List a target as its entry would."""
        target = self.targets[number]
        entry = UpstreamEntry(
            UpstreamId(upstream_id or target.upstream_id),
            SERVICE_ID,
            f"10.0.0.{number + 1}",
            80,
            AvailabilityZoneId("a"),
            SLOTS,
            warm_up_ms=warm_up_ms,
            started_at_ms=1 + target.start_count,
        )
        self.directory.put(entry)

    def _list_later(self, number):
        left_ms = self.targets[number].cold_until_ms - self.clock.now_ms()
        asyncio.get_running_loop().call_later(
            ENTRY_DELAY_MS / 1_000, self.list_target, number, left_ms
        )

    async def send(self, rate_per_s, duration_ms):
        """Send requests of callers at a steady rate, and count their outcomes."""
        served, tasks = Served(), []
        for _ in range(int(rate_per_s * duration_ms / 1_000)):
            tasks.append(asyncio.ensure_future(self._call(served)))
            await asyncio.sleep(1 / rate_per_s)
        await asyncio.gather(*tasks)
        return served

    async def burst(self, count):
        """Send requests of callers at once, and count their outcomes."""
        served = Served()
        await asyncio.gather(*(self._call(served) for _ in range(count)))
        return served

    async def _call(self, served):
        """Handle a root request as an entry node does."""
        now_ms = self.clock.now_ms()
        pool = self.directory.ready(SERVICE_ID)
        fraction = self.levels.refused_fraction(SERVICE_ID, 1, 1, now_ms, len(pool))
        draw = self.return_times.draw(SERVICE_ID, 1, now_ms)
        if draw < fraction:
            served.refused += 1
            return
        tried = set()
        for _ in range(3):
            entry = self.balancer.choose(pool, tried)
            if entry is None:
                break
            tried.add(entry.upstream_id)
            answer = await self._attempt(entry)
            if answer.outcome is RunOutcome.ANSWERED:
                served.answered += 1
                return
            if answer.outcome is not RunOutcome.NOT_SENT:
                served.failed += 1
                return
        served.refused += 1

    async def _attempt(self, entry):
        self._numbers += 1
        number = int(entry.upstream_id.partition("-")[2].partition("-")[0])
        head = (self._numbers, SERVICE_ID, entry.upstream_id, "", 1, False, True, True, 1_500.0)
        request = RunRequest(*head, f"r{self._numbers}", "GET", f"/{self._numbers}", "", b"", 0)
        self.balancer.record_sent(entry.upstream_id)
        answer = await self.nodes[number].run(request)
        self.balancer.record_ended(entry.upstream_id, answer.load)
        load = answer.load
        self.levels.record(
            SERVICE_ID,
            entry.upstream_id,
            load.level,
            self.clock.now_ms(),
            load.rate_per_s,
        )
        if answer.outcome is RunOutcome.ANSWERED:
            self.balancer.record_success(entry.upstream_id)
        elif answer.outcome is RunOutcome.UNKNOWN:
            self.balancer.record_failure(entry.upstream_id)
        elif "gone" in answer.reason:
            self.balancer.record_failure(entry.upstream_id, unreachable=True)
        return answer

    def stop(self):
        for task in self.tasks:
            task.cancel()
