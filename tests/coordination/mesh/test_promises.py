import asyncio
import json
from collections import Counter
from functools import partial
from random import Random
from types import SimpleNamespace
from unittest import mock

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh import started_request
from gentianthread.coordination.mesh.entry import NOT_RUN_STATUSES
from gentianthread.coordination.mesh.peer_link import IDLE_AFTER_MS
from gentianthread.coordination.mesh.sidecar import Sidecar
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.platform.documents import JsonDocuments
from gentianthread.platform.names import ADAPTER, DIALECT
from gentianthread.sidecar_settings import Address, SidecarSettings
from gentianthread.standins.mesh import (
    METRICS_PORT,
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    TARGET_PORT,
    plan_document,
)
from gentianthread.state.directory import UpstreamEntry
from gentianthread.transport.header_fields import HeaderFields
from gentianthread.transport.http_pipeline import BufferedRequest

from ...base import VirtualTimeTestCase
from .memory_network import MemoryNetwork

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
SLOTS = 8
DURATION_S = 20.0
ORDERS_PER_S = 60
MEAN_FAULT_INTERVAL_S = 0.4


class Target(asyncio.Protocol):
    """Run, reject, lose or ignore requests; a rejected one never runs."""

    def __init__(self, play):
        self.play, self.data = play, b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        head, end, _ = self.data.partition(b"\r\n\r\n")
        if not end:
            return
        self.data = b""
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        request_id = fields[DIALECT.request_id.encode()].decode()
        kind = self.choose()
        self.play.kinds[kind] += 1
        if kind == "reject":
            self._answer_after(0.05, request_id, 503, f"{DIALECT.not_run}: 1\r\n")
            return
        self.play.runs[request_id] += 1
        seal = f"{DIALECT.seal}: seal\r\n"
        if kind == "run":
            self._answer_after(0.3, request_id, 200, seal)
        elif kind == "fail":
            self._answer_after(0.3, request_id, 500, seal)
        elif kind == "pose":
            status = self.play.random.choice(sorted(NOT_RUN_STATUSES))
            self._answer_after(0.3, request_id, status, seal)
        elif kind == "lose":
            self.play.loop.call_later(0.1 * self.play.random.random(), self.transport.abort)

    def choose(self):
        """Return what to do with a request."""
        kinds = {"run": 12, "reject": 4, "lose": 1, "ignore": 1, "fail": 1, "pose": 1}
        return self.play.random.choices(list(kinds), list(kinds.values()))[0]

    def _answer_after(self, longest_s, request_id, status, fields):
        answer = (
            f"HTTP/1.1 {status} x\r\n{DIALECT.request_id}: {request_id}\r\n{fields}"
            "Content-Length: 0\r\n\r\n"
        )
        delay_s = longest_s * self.play.random.random()
        self.play.loop.call_later(delay_s, self.transport.write, answer.encode())

    def pause_writing(self):
        pass

    def resume_writing(self):
        pass


class RunningTarget(Target):
    """Run every request at once."""

    def choose(self):
        return "run"


class LateTimers:
    """Fire some timers late, as in a process that is suspended or short of processor time."""

    def __init__(self, loop, random):
        self._loop, self._random = loop, random
        self.call_soon = loop.call_soon

    def call_later(self, delay_s, callback):
        late_s = self._random.random() if self._random.random() < 0.2 else 0.0
        return self._loop.call_later(delay_s + late_s, callback)


class Play:
    """Send orders to one sidecar of three while links, targets and callers fail.

    Attributes:
        runs: Number of runs of each request.
        replies: Statuses that each caller got.
        kinds: Number of requests by what their target did.
        reasons: Number of replies by status and reason of the node.
    """

    def __init__(self, seed):
        self.loop = asyncio.get_running_loop()
        self.random = Random(seed)
        self.network = MemoryNetwork(self.loop, self.random)
        self.runs, self.kinds, self.reasons = Counter(), Counter(), Counter()
        self.replies = {}
        self.work = {}
        self.sidecars = []

    async def start(self):
        plan = JsonDocuments().plan(json.dumps(plan_document()).encode())
        for number, host in enumerate(HOSTS):
            sidecar = Sidecar(_settings(host), LoopClock(), self.random.getrandbits(32))
            sidecar.follower.plan = plan
            sidecar.follower.ready.set()
            self.network.listeners[host, TARGET_PORT] = partial(Target, self)
            await sidecar.peers.open(host, PEER_PORT)
            self.sidecars.append(sidecar)
            for other in self.sidecars[:-1]:
                other.directory.put(_entry(number))
            for known in range(number + 1):
                sidecar.directory.put(_entry(known))
        self.entry = self.sidecars[0].entry
        finish = self.entry.finish

        def record_reason(started, reply):
            self.reasons[reply.status, reply.reason] += 1
            return finish(started, reply)

        self.entry.finish = record_reason

    def send_at_random(self, number):
        """Send one order; some callers leave before they have an answer."""
        request_id = f"o{number}"
        self.send(request_id, self.random.choice((30, 100, 300, 1_000)))
        if self.random.random() < 0.05:
            self.loop.call_later(0.2 * self.random.random(), self._leave, request_id)

    def send(self, request_id, timeout_ms):
        """Send one order."""
        self.replies[request_id] = []
        fields = HeaderFields()
        for name, value in (
            ("Host", "shop.example"),
            (DIALECT.request_id, request_id),
            (DIALECT.key, "key-acme"),
            (DIALECT.remaining_ms, str(timeout_ms)),
        ):
            fields.add(name.encode(), value.encode())
        request = BufferedRequest("POST", "/order/1", fields, b"")
        self.work[request_id] = self.entry.start(request, partial(self._deliver, request_id))

    def _deliver(self, request_id, response):
        self.replies[request_id].append(response.status)
        self.work.pop(request_id, None)

    def _leave(self, request_id):
        if request_id in self.work:
            self.work.pop(request_id).cancel()
            self.replies[request_id].append(None)

    def strike(self):
        """Cut paths, reset connections, let a target or node refuse, or end all requests."""
        random = self.random
        host, other = random.sample(HOSTS, 2)
        duration_s = random.choice((0.05, 0.2, 0.7, 5.5))
        fault = random.choice(("cut", "cut", "silence", "freeze", "reset", "gone", "drain", "end"))
        if fault == "cut":
            self.network.cut(host, other, duration_s)
        elif fault == "silence":
            self.network.cut(host, other, duration_s)
            self.network.cut(other, host, duration_s)
        elif fault == "freeze":
            for peer in HOSTS:
                self.network.cut(peer, host, min(duration_s, 1.0))
        elif fault == "reset":
            for transport in list(self.network.transports):
                if random.random() < 0.3:
                    transport.abort()
        elif fault == "end":
            self.entry.end_requests()
        elif fault == "gone":
            listener = self.network.listeners.pop((host, TARGET_PORT), None)
            if listener is not None:
                restore = partial(self.network.listeners.setdefault, (host, TARGET_PORT), listener)
                self.loop.call_later(min(duration_s, 1.0), restore)
        else:
            target = self.sidecars[HOSTS.index(host)].target
            target.stop.refuse_peers(target.clock.now_ms())
            self.loop.call_later(min(duration_s, 0.7), target.stop.refuse_peers, float("inf"))

    async def close(self):
        for sidecar in self.sidecars:
            await sidecar.peers.close()
            sidecar.crash_reports.close()
            sidecar.pool.close()
        self.network.close()

    async def run(self):
        await self.start()
        strikes = asyncio.ensure_future(self._strike_at_random())
        for number in range(int(DURATION_S * ORDERS_PER_S)):
            self.send_at_random(number)
            await asyncio.sleep(self.random.expovariate(ORDERS_PER_S))
        self.entry.end_requests()
        strikes.cancel()
        # What is still under way may reach a target until long after its deadline.
        await asyncio.sleep(30)
        await self.close()

    async def _strike_at_random(self):
        while True:
            await asyncio.sleep(self.random.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            self.strike()


def _entry(number):
    return UpstreamEntry(
        UpstreamId(f"i-{number}"),
        ServiceId("orders"),
        HOSTS[number],
        TARGET_PORT,
        AvailabilityZoneId("a"),
        SLOTS,
        started_at_ms=1_000 + number,
    )


def _settings(host):
    return SidecarSettings(
        host=host,
        availability_zone=AvailabilityZoneId("a"),
        service_id=ServiceId("orders"),
        outbound=Address(host, OUTBOUND_PORT),
        ready=Address(host, READY_PORT),
        metrics=Address(host, METRICS_PORT),
        peer_port=PEER_PORT,
        peer_listen_port=PEER_PORT,
        fleet_secret="",
        target=Address(host, TARGET_PORT),
        platform=Address(host, 1),
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
    )


class TestPromises(VirtualTimeTestCase):
    async def play(self, seed):
        play = Play(seed)
        late = SimpleNamespace(get_running_loop=lambda: LateTimers(play.loop, play.random))
        with mock.patch.object(started_request, "asyncio", late):
            await play.run()
        return play

    async def test_order_that_got_a_promise_never_runs(self):
        """Guards against a refusal of a request that the node has handed on.

        Cancellations, deadlines, lost links, late messages and refusals cross each other here.
        """
        reasons, kinds = Counter(), Counter()
        for seed in range(2):
            play = await self.play(seed)
            broken = {
                request_id: statuses
                for request_id, statuses in play.replies.items()
                if play.runs[request_id] and not NOT_RUN_STATUSES.isdisjoint(statuses)
            }
            self.assertEqual({}, broken, f"seed {seed}")
            self.assertEqual(1, max(play.runs.values()), f"seed {seed}: an order ran twice")
            unanswered = [name for name, statuses in play.replies.items() if len(statuses) != 1]
            self.assertEqual([], unanswered, f"seed {seed}: not answered once")
            reasons += play.reasons
            kinds += play.kinds
        self.assertEqual(6, len(kinds))
        for expected in (
            (200, ""),
            (502, "outcome unknown"),
            (503, "out of time"),
            (504, "out of time"),
            (503, "target answered 503"),
        ):
            self.assertGreater(reasons[expected], 0, expected)

    async def test_order_refused_while_its_link_is_opened_or_checked_is_not_sent_later(self):
        """Guards against an order that is sent by a task which was to be cancelled.

        Both orders get a promise while the first waits for a dial and the second for a probe.
        """
        play = Play(seed=1)
        await play.start()
        for host in HOSTS[1:]:
            play.network.listeners[host, TARGET_PORT] = partial(RunningTarget, play)
        play.sidecars[0].directory.remove(UpstreamId("i-0"))
        for number in range(2):
            play.network.cut(HOSTS[0], HOSTS[1], 0.1)
            play.network.cut(HOSTS[0], HOSTS[2], 0.1)
            play.send(f"refused{number}", 1_000)
            await asyncio.sleep(0.05)
            play.entry.end_requests()
            await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.2)
        self.assertEqual({"refused0": [503], "refused1": [503]}, play.replies)
        self.assertEqual(Counter(), play.runs)
        play.send("later", 1_000)
        await asyncio.sleep(1.0)
        self.assertEqual(({"later": 1}, [200]), (play.runs, play.replies["later"]))
        await play.close()
