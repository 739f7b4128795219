import asyncio
from unittest import mock

from gentianthread.coordination.mesh import process

from .base import MeshTestCase


class TestEntryWithoutTask(MeshTestCase):
    async def test_call_that_goes_well_takes_no_task(self):
        """Guards against a task for each call, which takes processor time on the heaviest days."""
        await self.start({"catalogue": 1, "orders": 1})
        for path in ("/stock/1", "/order/1"):
            await self.call("catalogue-0", path)
        loop, made = asyncio.get_running_loop(), []

        def count(loop, work, **options):
            made.append(getattr(work, "__qualname__", ""))
            return asyncio.Task(work, loop=loop, **options)

        loop.set_task_factory(count)
        for path in ("/stock/1", "/order/1"):
            self.assertEqual(200, (await self.call("catalogue-0", path)).status)
        loop.set_task_factory(None)
        ours = [
            name
            for name in made
            if "_run_attempts" in name or "Entry" in name or "_Connection" in name
        ]
        self.assertEqual([], ours)
        await self.stop()

    async def test_caller_that_leaves_frees_everything(self):
        """Guards against requests that count as running for ever, and work for callers gone."""
        await self.start({"catalogue": 1, "orders": 1})
        for upstream_id, path in (("catalogue-0", "/stock/1"), ("orders-0", "/order/1")):
            self.target(upstream_id).work_ms = 5_000
            entry = self.sidecar("catalogue-0").entry
            _, writer = await self.connect("catalogue-0")
            method = "POST" if path == "/order/1" else "GET"
            writer.write(self.request(path, method=method)[0])
            await self.until(lambda entry=entry: entry.running == 1)
            await self.until(lambda name=upstream_id: self.target(name).running == 1)
            writer.close()
            await self.until(lambda entry=entry: entry.running == 0)
            await self.until(lambda name=upstream_id: self.sidecar(name).target.running == 0)
            view = self.sidecar("catalogue-0").balancer.view(upstream_id)
            self.assertEqual(0, view.outstanding)
        await self.stop()

    async def test_request_out_of_time_ends_once(self):
        """Guards against a second answer on the connection when the target answers late."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").work_ms = 400
        reader, writer = await self.connect("catalogue-0")
        writer.write(self.request("/order/1", method="POST", Timeout_Ms=100)[0])
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 504 ", head)
        await asyncio.sleep(0.5)
        self.target("orders-0").work_ms = 1
        data, request_id = self.request("/order/2", method="POST")[:2]
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        self.assertIn(request_id.encode(), head)
        self.assertEqual(0, self.sidecar("catalogue-0").entry.running)
        writer.close()
        await self.stop()

    async def test_fault_of_the_node_is_no_fault_of_the_caller(self):
        """Guards against a 400 for a proper request when the node's own code fails."""
        await self.start({"catalogue": 1})
        entry = self.sidecar("catalogue-0").entry
        with mock.patch.object(
            entry, "resolve_request", side_effect=ValueError("fault in the code")
        ):
            reply = await self.call("catalogue-0", "/stock/1")
        self.assertEqual((503, 0), (reply.status, entry.running))
        self.assertIn("Retry-After", reply.fields)
        await self.stop()

    async def test_caller_that_stays_at_a_leaving_node_is_refused_truly(self):
        """Guards against requests that are cut off when the grace period is over.

        Found by seed 3 of the process soak: callers kept using a stopping node until its end.
        """
        await self.start({"catalogue": 1, "orders": 1})
        sidecar = self.sidecar("catalogue-0")
        self.target("orders-0").work_ms = 300
        under_way = asyncio.ensure_future(self.call("catalogue-0", "/order/1", method="POST"))
        await self.until(lambda: self.target("orders-0").running == 1)
        with mock.patch.object(process, "LEAVE_LEAST_MS", 100.0):
            leaving = asyncio.ensure_future(process.leave(sidecar, sidecar.clock, 60_000.0))
            replies = []
            while not leaving.done():
                replies.append(await self.call("catalogue-0", "/stock/1"))
        self.assertEqual(200, (await under_way).status)
        refused = [reply for reply in replies if reply.status != 200]
        self.assertEqual({503}, {reply.status for reply in refused})
        self.assertTrue(all("Retry-After" in reply.fields for reply in refused))
        ran = self.target("catalogue-0").runs
        self.assertFalse([reply for reply in refused if reply.request_id in ran])
        await self.stop()

    async def test_calls_of_work_under_way_pass_at_a_leaving_node(self):
        """Guards against a graceful stop that fails the request whose calls it refuses."""
        await self.start({"catalogue": 1, "orders": 1})
        self.sidecar("catalogue-0").refuse_callers()
        reply = await self.call("catalogue-0", "/ledger/1", host="inner.example", key=None)
        self.assertEqual(200, reply.status)
        await self.stop()

    async def test_order_takes_a_new_link_where_the_idle_one_went_silent(self):
        """Guards against an order whose outcome is unknown though it need not have been sent."""
        await self.start({"catalogue": 1, "orders": 1})
        self.assertEqual(200, (await self.call("catalogue-0", "/order/1", method="POST")).status)
        link = self.sidecar("catalogue-0").peers.open_link(self.target("orders-0").host)
        sent = []
        with mock.patch.object(link._connection, "post", sent.append):
            link._heard_ms -= 1_000.0
            reply = await self.call("catalogue-0", "/order/2", method="POST")
        self.assertEqual(200, reply.status)
        self.assertNotIn(reply.request_id.encode(), b"".join(sent))
        self.assertEqual(1, self.target("orders-0").runs[reply.request_id])
        await self.stop()
