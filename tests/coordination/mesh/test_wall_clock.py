import asyncio
import re
import time
from random import Random
from unittest import mock

from gentianthread.clock import ManualClock
from gentianthread.coordination.mesh.sidecar import Sidecar
from gentianthread.coordination.mesh.target_notices import TargetNotices
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.platform.documents import EVACUATION_PREFIX, UPSTREAM_PREFIX
from gentianthread.platform.names import DIALECT
from gentianthread.protocol.messages_mesh import RunRequest
from gentianthread.state.directory import Directory, UpstreamEntry

from ...base import TestCase, VirtualTimeTestCase
from ...test_layers import PACKAGE
from .base import MeshTestCase

WALL_CLOCK = re.compile(
    r"\btime_ns\b|\btime\.(?:time|gmtime|localtime|CLOCK_REALTIME)\b|\bdatetime\b|wall_clock_ms"
)

# Start numbers, which `gentian-node` alone compares, and the notices of leaving targets.
USERS_OF_THE_WALL_CLOCK = {
    "clock.py",
    "coordination/process.py",
    "coordination/mesh/sidecar.py",
    "coordination/mesh/target_notices.py",
}

HOST, PORT = "10.0.0.1", 80


class JumpingWallClock:
    """Replace the time of day by one that a test moves.

    Attributes:
        offset_s: By how much it is ahead of the true one.
    """

    def __init__(self):
        self.offset_s = 0.0
        self._true_ns = time.time_ns
        patch = mock.patch("gentianthread.clock.time.time_ns", self.read_ns)
        patch.start()
        self.stop = patch.stop

    def read_ns(self):
        return self._true_ns() + int(self.offset_s * 1e9)


class TestUsesOfTheWallClock(TestCase):
    def test_only_few_modules_read_the_time_of_day(self):
        """Guards against intervals, deadlines and order that a jump of the clock breaks."""
        users = {
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "standins" and WALL_CLOCK.search(path.read_text())
        }
        self.assertEqual(USERS_OF_THE_WALL_CLOCK, users)


class TestJumpsOfTheWallClock(MeshTestCase):
    def setUp(self):
        super().setUp()
        self.wall_clock = JumpingWallClock()
        self.addCleanup(self.wall_clock.stop)

    async def jump_around(self):
        """Move the time of day by up to 10 s both ways, fifty times a second."""
        random = Random(3)
        while True:
            self.wall_clock.offset_s = random.uniform(-10, 10)
            await asyncio.sleep(0.02)

    async def test_requests_changes_and_rates_do_not_depend_on_the_time_of_day(self):
        """Guards against time limits, rates and changes that follow the wall clock."""
        await self.start({"catalogue": 2, "orders": 1}, zones=("a", "b"))
        jumps = asyncio.ensure_future(self.jump_around())
        loop = asyncio.get_running_loop()
        for number in range(60):
            caller = ("catalogue-0", "catalogue-1", "orders-0")[number % 3]
            self.assertEqual(200, (await self.call(caller, f"/stock/{number}")).status)
        self.target("orders-0").work_ms = 3_000
        started_s = loop.time()
        reply = await self.call("catalogue-0", "/order/1", method="POST", Timeout_Ms="300")
        self.assertEqual(504, reply.status)
        self.assertTrue(0.25 < loop.time() - started_s < 0.8)
        started_s = loop.time()
        await self.publish(2, tenants={"acme": {"api_keys": ["key-acme"], "rate_per_s": 20}})
        self.fleet.store.put(f"{EVACUATION_PREFIX}b", b"{}")
        await self.until(
            lambda: all(
                instance.sidecar.directory.evacuated_zones
                for instance in self.fleet.instances.values()
            )
        )
        self.assertLess(loop.time() - started_s, 2.0)
        # Lowered limits are in force on all nodes after a while.
        await asyncio.sleep(2)
        statuses, started_s = [], loop.time()
        while loop.time() - started_s < 2:
            statuses.append((await self.call("catalogue-0", "/stock/1")).status)
        self.assertLess(statuses.count(200), 1.25 * 20 * 2 + 10)
        self.assertGreater(statuses.count(200), 10)
        self.assertLessEqual(set(statuses), {200, 429})
        jumps.cancel()
        await self.stop()

    async def test_node_that_starts_again_at_an_earlier_time_is_used(self):
        """Guards against links that are refused as those of an earlier process."""
        await self.start({"catalogue": 1, "orders": 1})
        self.assertEqual(200, (await self.call("orders-0", "/stock/1")).status)
        instance = self.fleet.instances["catalogue-0"]
        for offset_s in (-3_600, 3_600):
            self.wall_clock.offset_s = offset_s
            await instance.sidecar.stop()
            instance.sidecar = Sidecar(instance.sidecar.settings, instance.sidecar.clock)
            await instance.sidecar.start()
            await instance.sidecar.follower.ready.wait()
            await self.until(
                lambda: self.sidecar("orders-0").peers.reachable(instance.sidecar.settings.host)
            )
            for _ in range(5):
                self.assertEqual(200, (await self.call("orders-0", "/stock/1")).status)
                self.assertEqual(200, (await self.call("catalogue-0", "/stock/1")).status)
        await self.stop()

    async def test_target_that_starts_again_at_an_earlier_time_is_used(self):
        """Guards against a target that gets no requests, as its start seems to be the older one."""
        await self.start({"catalogue": 1, "orders": 1})
        instance = self.fleet.instances["catalogue-0"]
        for turn, offset_ms in enumerate((-5_000, 5_000, -8_000)):
            former_id = instance.target.upstream_id
            instance.target.start_again(f"again-{turn}")
            instance.target.started_at_ms += offset_ms
            self.fleet.store.remove(UPSTREAM_PREFIX + former_id)
            entry = instance.target.entry(zone=instance.zone)
            self.fleet.store.put(UPSTREAM_PREFIX + instance.target.upstream_id, entry)
            await self.until(
                lambda: all(
                    instance.target.upstream_id in each.sidecar.directory.entries
                    for each in self.fleet.instances.values()
                )
            )
            for _ in range(4):
                reply = await self.call("orders-0", "/stock/1")
                self.assertEqual(200, reply.status)
        await self.stop()


class TestNoticesOfLeavingTargets(VirtualTimeTestCase):
    """A target that leaves and starts again under its id, while the time of day jumps."""

    def setUp(self):
        super().setUp()
        self.wall_clock = JumpingWallClock()
        self.addCleanup(self.wall_clock.stop)
        self.clock = ManualClock(1_000_000.0)
        # The time of day advances with the clock of the node only.
        self.day_ms = 1_700_000_000_000.0
        self.wall_clock._true_ns = lambda: int((self.day_ms + self.clock.now_ms()) * 1e6)
        self.directory = Directory(self.clock.now_ms)
        self.notices = TargetNotices(
            (HOST, PORT), self.directory, DIALECT, self.clock, MemoryMetrics()
        )

    def wall_ms(self):
        return self.wall_clock.read_ns() // 1_000_000

    def list_start(self, started_at_ms):
        self.directory.put(
            UpstreamEntry(
                UpstreamId("i-1"),
                ServiceId("catalogue"),
                HOST,
                PORT,
                AvailabilityZoneId("a"),
                8,
                started_at_ms=started_at_ms,
            )
        )

    def notice(self):
        head = (0, "catalogue", "i-1", "", 0, False, True, True, 500.0, "r", "GET", "/", "")
        started_ms = self.clock.now_ms()
        self.clock.advance_ms(5)
        fields = {DIALECT.leaving.lower(): "1"}
        self.notices.read_leaving(RunRequest(*head, b"", 0), fields, started_ms)

    def is_ready(self):
        return bool(self.directory.ready(ServiceId("catalogue")))

    async def test_next_start_is_used_although_the_time_of_day_jumped(self):
        """Guards against a target that gets no requests until it starts once more.

        Its start seemed to be earlier than the request that its former start had answered.
        """
        for before_start_s, before_listing_s in ((-10, 0), (10, 0), (0, -10), (0, 10)):
            self.wall_clock.offset_s = 0.0
            self.clock.advance_ms(60_000)
            self.list_start(self.wall_ms())
            self.clock.advance_ms(1_000)
            self.notice()
            self.assertFalse(self.is_ready())
            self.clock.advance_ms(2_000)
            self.wall_clock.offset_s += before_start_s
            started_at_ms = self.wall_ms()
            self.clock.advance_ms(500)
            self.wall_clock.offset_s += before_listing_s
            self.list_start(started_at_ms)
            self.assertTrue(self.is_ready(), (before_start_s, before_listing_s))

    async def test_start_that_said_that_it_leaves_before_it_was_listed_is_known(self):
        """Guards against work for a target that leaves, as its entry came late."""
        self.list_start(self.wall_ms())
        self.clock.advance_ms(1_000)
        started_at_ms = self.wall_ms()
        self.clock.advance_ms(1_000)
        self.notice()
        self.list_start(started_at_ms)
        self.assertFalse(self.is_ready())
