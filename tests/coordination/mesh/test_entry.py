import asyncio
from unittest import mock

from gentianthread.coordination.mesh import process

from .base import MeshTestCase


class TestEntryWithoutTask(MeshTestCase):
    async def test_successful_call_creates_no_task(self):
        """Guards against a task for each call, which costs processor time under heavy load."""
        await self.start({"catalogue": 1, "orders": 1})
        for path in ("/stock/1", "/order/1"):
            await self.call("catalogue-0", path)
        loop, created_tasks = asyncio.get_running_loop(), []

        def record_task(loop, coroutine, **options):
            created_tasks.append(getattr(coroutine, "__qualname__", ""))
            return asyncio.Task(coroutine, loop=loop, **options)

        loop.set_task_factory(record_task)
        for path in ("/stock/1", "/order/1"):
            self.assertEqual(200, (await self.call("catalogue-0", path)).status)
        loop.set_task_factory(None)
        request_tasks = [
            name
            for name in created_tasks
            if "_run_attempts" in name or "Entry" in name or "CallerConnection" in name
        ]
        self.assertEqual([], request_tasks)
        await self.stop()

    async def test_disconnect_of_the_caller_cancels_its_request(self):
        """Guards against requests that count as running for ever, and work nobody waits for."""
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

    async def test_timed_out_request_is_answered_once(self):
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

    async def test_timeout_at_the_target_that_arrives_first_is_a_timeout(self):
        """Guards against a 502 for a request whose time is over.

        The node beside the target stops waiting at the same time, and on a busy machine its answer
        was handled before the timer of the entry.
        """
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").work_ms = 400
        entry = self.sidecar("catalogue-0").entry
        forward, answers = entry.forwarder.start, []

        def hold_answer(pending, now_ms, deliver):
            pending.deadline_ms = now_ms + 60
            return forward(pending, now_ms, lambda answer: answers.append((pending, answer)))

        with mock.patch.object(entry.forwarder, "start", hold_answer):
            call = asyncio.ensure_future(
                self.call("catalogue-0", "/order/1", method="POST", Timeout_Ms=2000)
            )
            await self.until(lambda: answers)
            pending, answer = answers[0]
            self.assertEqual(504, entry.outcome_reply(pending, answer).status)
        await call
        await self.stop()

    async def test_internal_error_is_not_reported_as_an_invalid_request(self):
        """Guards against a 400 for a valid request when the node's own code fails."""
        await self.start({"catalogue": 1})
        entry = self.sidecar("catalogue-0").entry
        with mock.patch.object(entry, "resolve_request", side_effect=ValueError("internal error")):
            reply = await self.call("catalogue-0", "/stock/1")
        self.assertEqual((503, 0), (reply.status, entry.running))
        self.assertIn("Retry-After", reply.fields)
        await self.stop()

    async def test_refused_requests_at_a_leaving_node_do_not_run(self):
        """Guards against requests that are cut off when the grace period is over.

        Callers may keep using a stopping node until its end, as in seed 3 of the process soak.
        """
        await self.start({"catalogue": 1, "orders": 1})
        sidecar = self.sidecar("catalogue-0")
        self.target("orders-0").work_ms = 300
        running_call = asyncio.ensure_future(self.call("catalogue-0", "/order/1", method="POST"))
        await self.until(lambda: self.target("orders-0").running == 1)
        with mock.patch.object(process, "MIN_LEAVE_MS", 100.0):
            leaving = asyncio.ensure_future(
                process.stop_gracefully(sidecar, sidecar.clock, 60_000.0)
            )
            replies = []
            while not leaving.done():
                replies.append(await self.call("catalogue-0", "/stock/1"))
        self.assertEqual(200, (await running_call).status)
        refused = [reply for reply in replies if reply.status != 200]
        self.assertEqual({503}, {reply.status for reply in refused})
        self.assertTrue(all("Retry-After" in reply.fields for reply in refused))
        runs = self.target("catalogue-0").runs
        self.assertFalse([reply for reply in refused if reply.request_id in runs])
        await self.stop()

    async def test_inner_calls_pass_at_a_leaving_node(self):
        """Guards against a graceful stop that fails running requests by refusing their calls."""
        await self.start({"catalogue": 1, "orders": 1})
        self.sidecar("catalogue-0").refuse_callers()
        reply = await self.call("catalogue-0", "/ledger/1", host="inner.example", key=None)
        self.assertEqual(200, reply.status)
        await self.stop()

    async def test_order_uses_a_new_link_if_the_idle_one_is_silent(self):
        """Guards against an order that is sent on a dead link, which leaves its outcome unknown."""
        await self.start({"catalogue": 1, "orders": 1})
        self.assertEqual(200, (await self.call("catalogue-0", "/order/1", method="POST")).status)
        link = self.sidecar("catalogue-0").peers.open_link(self.target("orders-0").host)
        sent = []
        with mock.patch.object(link._connection, "post", sent.append):
            link._answered_ms -= 1_000.0
            reply = await self.call("catalogue-0", "/order/2", method="POST")
        self.assertEqual(200, reply.status)
        self.assertNotIn(reply.request_id.encode(), b"".join(sent))
        self.assertEqual(1, self.target("orders-0").runs[reply.request_id])
        await self.stop()


class TestCallerTimeout(MeshTestCase):
    async def test_endless_timeout_is_served(self):
        """Guards against an error of the node for a timeout with more digits than a float holds."""
        await self.start({"catalogue": 1, "orders": 1})
        reply = await self.call(
            "catalogue-0", "/ledger/1", host="inner.example", Timeout_Ms="9" * 400
        )
        self.assertEqual(200, reply.status)
        await self.stop()

    async def test_one_long_timeout_does_not_make_the_other_callers_late(self):
        """Guards against a caller with a long timeout, or none, that gets all others refused.

        Requests that have used up most of their latency objective are refused first in an
        overload. A node took the longest timeout that it had ever seen on a route for the full one.
        """
        await self.start({"catalogue": 1, "orders": 1})
        entry = self.sidecar("catalogue-0").entry
        late = []

        def record(request, request_id, now_ms):
            pending = type(entry).resolve_request(entry, request, request_id, now_ms)
            late.append(pending.objective_missed)
            return pending

        entry.resolve_request = record
        for timeout_ms in (5_000, 3_600_000, "", "9" * 400, 5_000, 5_000, 2_000):
            self.assertEqual(
                200, (await self.call("catalogue-0", "/stock/1", Timeout_Ms=timeout_ms)).status
            )
        self.assertEqual([False] * 6 + [True], late)
        await self.stop()


class TestOrderOfReturn(MeshTestCase):
    async def call_under_overload(self, path, timeout_ms):
        entry = self.sidecar("orders-0").entry
        entry.levels.record("catalogue", "catalogue-0", 1.5, entry.clock.now_ms())
        return await self.call("orders-0", path, Timeout_Ms=timeout_ms)

    async def test_refused_callers_are_told_times_that_they_follow(self):
        """Guards against a caller that is told to return after its deadline."""
        await self.start({"catalogue": 1, "orders": 1})
        waits = []
        for number in range(30):
            reply = await self.call_under_overload(f"/stock/{number}", 600)
            if reply.status == 503:
                waits.append(float(reply.fields["Retry-After"]))
        self.assertTrue(waits)
        self.assertLessEqual(max(waits), 0.2)
        await self.stop()

    async def test_callers_with_less_than_the_full_timeout_have_returned(self):
        """Guards against callers that waited as told and are refused like new ones."""
        await self.start({"catalogue": 1, "orders": 1})
        entry = self.sidecar("orders-0").entry
        returned = []
        check = entry.check_admission
        with mock.patch.object(
            entry,
            "check_admission",
            lambda pending, now_ms: (returned.append(pending.returned), check(pending, now_ms))[1],
        ):
            for timeout_ms in (1500, 1500, 1200, 1500):
                await self.call("orders-0", "/stock/1", Timeout_Ms=timeout_ms)
        self.assertEqual([False, False, True, False], returned)
        await self.stop()
