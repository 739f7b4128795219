import asyncio
from unittest import mock

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
            name for name in made if "_go_on" in name or "Entry" in name or "_Connection" in name
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
        with mock.patch.object(entry, "describe", side_effect=ValueError("fault in the code")):
            reply = await self.call("catalogue-0", "/stock/1")
        self.assertEqual((503, 0), (reply.status, entry.running))
        self.assertIn("Retry-After", reply.fields)
        await self.stop()
