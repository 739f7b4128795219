import asyncio

from gentianthread.clock import SystemClock
from gentianthread.coordination.mesh.sidecar import Sidecar
from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.protocol.messages_mesh import RunRequest
from gentianthread.standins.mesh import answer_sealed, break_off, crash_on

from .base import MeshTestCase

POISON = "/stock/poison"
DOWN_S = 0.15


class TestCrashes(MeshTestCase):
    async def start_crashing(self, services, **options):
        await self.start(services, **options)
        for upstream_id in self.fleet.instances:
            self.target(upstream_id).behave = crash_on(POISON, DOWN_S)

    def crashes(self):
        return sum(instance.target.crashes for instance in self.fleet.instances.values())

    async def wait_served(self):
        """Wait until all targets serve again and are listed as the starts that they are."""
        await self.until(
            lambda: not any(instance.target.down for instance in self.fleet.instances.values())
        )
        for upstream_id, instance in self.fleet.instances.items():
            entry = instance.target.entry(zone=instance.zone)
            self.fleet.store.put(UPSTREAM_PREFIX + upstream_id, entry)

    def nodes_that_block(self):
        return [
            upstream_id
            for upstream_id, instance in self.fleet.instances.items()
            if instance.sidecar.describe()["blocked_requests"]
        ]

    async def test_request_that_crashes_targets_is_blocked_at_all_nodes(self):
        """Guards against one request that crashes server after server, sent to any node."""
        await self.start_crashing({"catalogue": 4, "orders": 2}, zones=("a", "b"))
        callers = list(self.fleet.instances)
        for number in range(30):
            await self.call(callers[number % len(callers)], POISON)
            await self.wait_served()
        # At most three retries may reach targets once it has crashed the third one.
        self.assertLessEqual(self.crashes(), 3 + 3)
        self.assertEqual(callers, self.nodes_that_block())
        reply = await self.call("orders-0", POISON)
        self.assertEqual(503, reply.status)
        self.assertGreater(float(reply.fields["Retry-After"]), 1)
        await self.stop()

    async def test_restarted_node_learns_which_requests_are_blocked(self):
        """Guards against a request that crashes further targets through a restarted node."""
        await self.start_crashing({"catalogue": 3, "orders": 1})
        for _ in range(3):
            await self.call("catalogue-0", POISON)
            await self.wait_served()
        instance = self.fleet.instances["orders-0"]
        await instance.sidecar.stop()
        instance.sidecar = Sidecar(instance.sidecar.settings, SystemClock())
        await instance.sidecar.start()
        await self.until(lambda: "orders-0" in self.nodes_that_block())
        await instance.sidecar.follower.ready.wait()
        before = self.crashes()
        self.assertEqual(503, (await self.call("orders-0", POISON)).status)
        self.assertEqual(before, self.crashes())
        await self.stop()

    async def test_refusal_of_a_blocked_order_is_true(self):
        """Guards against telling that an order has not run that an attempt has begun to run."""
        await self.start({"orders": 3})
        for upstream_id in self.fleet.instances:
            self.target(upstream_id).behave = crash_on("/order/poison", DOWN_S)
        for _ in range(6):
            reply = await self.call("orders-0", "/order/poison", method="POST", body=b"x")
            runs = sum(
                instance.target.runs.get(reply.request_id, 0)
                for instance in self.fleet.instances.values()
            )
            self.assertEqual({503: 0, 502: 1}[reply.status], runs)
            await self.wait_served()
        self.assertEqual(503, reply.status)
        await self.stop()

    async def test_other_requests_that_crashes_interrupt_are_served_afterwards(self):
        """Guards against blocking requests that only ran beside the one that crashes targets."""
        await self.start_crashing({"catalogue": 3})
        for _ in range(4):
            interrupted = [
                asyncio.ensure_future(self.call("catalogue-0", f"/stock/{number}"))
                for number in range(10)
            ]
            await self.call("catalogue-1", POISON)
            await asyncio.gather(*interrupted)
            await self.wait_served()
            for number in range(10):
                await self.until_served("catalogue-2", f"/stock/{number}")
        await self.stop()

    async def until_served(self, at, path):
        for _ in range(200):
            if (await self.call(at, path)).status == 200:
                return
            await asyncio.sleep(0.05)
        self.fail(f"{path} is not served at {at}")

    async def test_lost_connections_of_a_running_target_block_nothing(self):
        """Guards against counting a reset connection, or a lost answer, as a crash."""
        await self.start({"catalogue": 2, "orders": 1})
        for upstream_id in ("catalogue-0", "catalogue-1"):
            self.target(upstream_id).behave = break_off
        for _ in range(5):
            self.assertEqual(502, (await self.call("orders-0", "/stock/1")).status)
            await asyncio.sleep(0.06)
        for upstream_id in ("catalogue-0", "catalogue-1"):
            self.target(upstream_id).behave = answer_sealed
        self.assertEqual([], self.nodes_that_block())
        await self.until_served("orders-0", "/stock/1")
        await self.stop()

    async def test_end_of_a_leaving_target_blocks_nothing(self):
        """Guards against blocking a long request that planned stops of targets interrupt."""
        await self.start({"catalogue": 1})
        target = self.target("catalogue-0")

        async def run_until_the_end(target, request):
            await asyncio.sleep(10)

        for _ in range(3):
            target.behave = run_until_the_end
            running = asyncio.ensure_future(self.call("catalogue-0", "/stock/long"))
            await self.until(lambda: target.running)
            await self.list_as("catalogue-0", "draining")
            await target.crash(DOWN_S)
            self.assertEqual(502, (await running).status)
            await self.list_as("catalogue-0", "ready")
            target.behave = answer_sealed
            await self.until_served("catalogue-0", "/stock/1")
        self.assertEqual([], self.nodes_that_block())
        await self.stop()

    async def test_answer_of_a_target_ends_the_block_on_all_nodes(self):
        """Guards against a request that stays blocked elsewhere although a target answers it."""
        await self.start_crashing({"catalogue": 2, "orders": 1})
        for _ in range(2):
            await self.call("catalogue-0", POISON)
            await self.wait_served()
        await self.until(lambda: self.nodes_that_block() == list(self.fleet.instances))
        reports = self.sidecar("orders-0").crash_reports
        head = (1, "catalogue", "catalogue-0", "acme", 0, False, True, True, 500.0, "a")
        reports.record_answer(RunRequest(*head, "GET", POISON, "", b"", 0))
        await self.until(lambda: not self.nodes_that_block())
        await self.stop()
