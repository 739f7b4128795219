import asyncio
import json

from gentianthread.clock import ManualClock
from gentianthread.coordination.mesh.target_notices import MISDIRECTED_RETRY_MS
from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import answer_sealed, fail, wait_until

from .base import MeshTestCase


class TestTargetNotices(MeshTestCase):
    def limit_of(self, upstream_id):
        return self.sidecar(upstream_id).describe()["target"]["stated_limit_per_s"]

    async def assert_served_by_others(self, leaving):
        """Check that a target which says that it leaves gets no request after its first one."""
        while not leaving.seen:
            await self.call("orders-0", "/stock/1")
        before = len(leaving.seen)
        for caller in ("orders-0", "catalogue-0", "catalogue-1"):
            for _ in range(10):
                self.assertEqual(200, (await self.call(caller, "/stock/1")).status)
        self.assertEqual(before, len(leaving.seen))

    async def test_limit_of_the_target_shows_in_the_dump(self):
        """Guards against an incident in which nobody can tell which limit a target named."""
        await self.start({"catalogue": 1})
        self.assertIsNone(self.limit_of("catalogue-0"))
        self.target("catalogue-0").limit = "55.5"
        await self.call("catalogue-0", "/stock/1")
        self.assertEqual(55.5, self.limit_of("catalogue-0"))
        self.target("catalogue-0").limit = None
        await self.call("catalogue-0", "/stock/1")
        self.assertIsNone(self.limit_of("catalogue-0"))
        json.dumps(self.sidecar("catalogue-0").describe())
        await self.stop()

    async def test_first_limit_is_logged_with_the_time_since_the_start(self):
        """Guards against a log line that counts from the boot of the machine."""
        await self.start({"catalogue": 1})
        sidecar = self.sidecar("catalogue-0")
        self.assertLess(sidecar.clock.now_ms() - sidecar.target.stated_limit.since_ms, 30_000)
        await self.stop()

    async def test_malformed_limit_leaves_the_limit_before_in_force(self):
        """Guards against a malformed limit that lifts the limit of a target in need."""
        await self.start({"catalogue": 1})
        for text in ("20", "nan"):
            self.target("catalogue-0").limit = text
            reply = await self.call("catalogue-0", "/stock/1")
            self.assertEqual(text, reply.fields[DIALECT.rate_limit])
        self.assertEqual(20.0, self.limit_of("catalogue-0"))
        counters = self.sidecar("catalogue-0").metrics.counters
        self.assertEqual(1, counters["target.invalid_limits"])
        await self.stop()

    async def test_leaving_target_gets_no_more_requests_although_the_store_is_away(self):
        """Guards against work for a leaving target that the unreachable store lists as ready."""
        await self.start({"catalogue": 2, "orders": 1})
        self.fleet.store.down = True
        leaving = self.target("catalogue-0")
        leaving.leaving = True
        await self.call("catalogue-0", "/stock/1")
        await self.assert_served_by_others(leaving)
        await self.stop()

    async def test_node_that_passed_on_the_notice_knows_it_while_the_one_beside_forgot(self):
        """Guards against work for a leaving target after a restart of the node beside it."""
        await self.start({"catalogue": 2, "orders": 1})
        leaving = self.target("catalogue-0")
        leaving.leaving = True
        while not leaving.seen:
            await self.call("orders-0", "/stock/1")
        directory = self.sidecar("orders-0").directory
        self.assertEqual(
            ["catalogue-1"], [entry.upstream_id for entry in directory.ready("catalogue")]
        )
        await self.stop()

    async def test_notice_in_an_error_without_a_seal_is_read(self):
        """Guards against work for a leaving target whose notice only came with an error.

        The error is passed on to the caller with its notice, so the node must act on it.
        """
        await self.start({"catalogue": 2, "orders": 1})

        async def fail_without_seal(target, request):
            answer = await fail(target, request)
            answer.headers = [field for field in answer.headers if field[0] != DIALECT.seal]
            return answer

        leaving = self.target("catalogue-0")
        leaving.leaving = True
        leaving.behave = fail_without_seal
        await self.assert_served_by_others(leaving)
        await self.stop()


class TestLateNotices(MeshTestCase):
    async def start_request(self):
        """Start a request at orders-0 that catalogue-0 answers once `self.may_answer` is set."""
        await self.start({"catalogue": 1, "orders": 1})
        self.may_answer = asyncio.Event()

        async def answer_when_told(target, request):
            await self.may_answer.wait()
            return await answer_sealed(target, request)

        target = self.target("catalogue-0")
        target.behave = answer_when_told
        request = asyncio.ensure_future(self.call("orders-0", "/stock/1"))
        await wait_until(lambda: target.running)
        return request

    async def answer_with_notice(self, request):
        """Let the target answer the request, and say in this answer that it leaves."""
        target = self.target("catalogue-0")
        target.leaving = True
        self.may_answer.set()
        self.assertEqual("1", (await request).fields[DIALECT.leaving])
        target.leaving = False

    def list_upstream(self, entry):
        self.fleet.store.put(UPSTREAM_PREFIX + "catalogue-0", entry)

    async def wait_listed(self, started_at_ms):
        """Wait until both nodes list this start of catalogue-0; None for no start."""

        def is_listed(node):
            entry = self.sidecar(node).directory.entries.get("catalogue-0")
            return (None if entry is None else entry.started_at_ms) == started_at_ms

        await wait_until(lambda: is_listed("catalogue-0") and is_listed("orders-0"))

    def ready_upstreams(self, node):
        return [entry.upstream_id for entry in self.sidecar(node).directory.ready("catalogue")]

    async def test_late_notice_of_the_start_before_does_not_stop_the_next_start(self):
        """Guards against an upstream that gets no work after it started again under its id.

        The node reads the last answer of the previous start after the entry of the next one.
        """
        request = await self.start_request()
        self.target("catalogue-0").start_again()
        entry = self.target("catalogue-0").entry()
        self.list_upstream(entry)
        await self.wait_listed(entry["born"])
        await self.answer_with_notice(request)
        for node in ("catalogue-0", "orders-0"):
            self.assertEqual(["catalogue-0"], self.ready_upstreams(node))
        await self.stop()

    async def test_notice_of_an_upstream_without_an_entry_holds_when_it_is_listed_again(self):
        """Guards against work for a leaving upstream that lapsed before its last answers."""
        request = await self.start_request()
        entry = self.target("catalogue-0").entry()
        self.fleet.store.remove(UPSTREAM_PREFIX + "catalogue-0")
        await self.wait_listed(None)
        await self.answer_with_notice(request)
        self.list_upstream(entry)
        await self.wait_listed(entry["born"])
        for node in ("catalogue-0", "orders-0"):
            self.assertEqual([], self.ready_upstreams(node))
        await self.stop()

    async def test_notice_of_a_start_that_is_listed_later_holds_for_it(self):
        """Guards against work for a leaving upstream whose new start the store listed late.

        It started again under its id while the nodes knew only the entry of its previous start.
        """
        await self.start({"catalogue": 1, "orders": 1})
        target = self.target("catalogue-0")
        target.start_again()
        entry = target.entry()
        await asyncio.sleep(0.01)
        target.leaving = True
        await self.call("orders-0", "/stock/1")
        self.list_upstream(entry)
        await self.wait_listed(entry["born"])
        self.assertEqual([], self.ready_upstreams("catalogue-0"))
        await self.call("orders-0", "/stock/2")
        self.assertEqual([], self.ready_upstreams("orders-0"))
        self.assertEqual(1, len(target.seen))
        await self.stop()

    async def test_next_start_that_tells_no_start_time_gets_work(self):
        """Guards against an upstream without a start time that stays leaving after a restart."""
        await self.start({"catalogue": 1, "orders": 1})
        entry = self.target("catalogue-0").entry() | {"born": 0}
        self.list_upstream(entry)
        await self.wait_listed(0)
        self.target("catalogue-0").leaving = True
        await self.call("orders-0", "/stock/1")
        self.assertEqual([], self.ready_upstreams("orders-0"))
        self.target("catalogue-0").leaving = False
        self.fleet.store.remove(UPSTREAM_PREFIX + "catalogue-0")
        await self.wait_listed(None)
        self.list_upstream(entry)
        await self.wait_listed(0)
        self.assertIsNone(self.sidecar("catalogue-0").target.load().leaving_id)
        self.assertEqual(200, (await self.call("orders-0", "/stock/2")).status)
        self.assertEqual(["catalogue-0"], self.ready_upstreams("orders-0"))
        await self.stop()


class TestAnotherProcess(MeshTestCase):
    async def test_next_start_gets_work_after_another_process_had_its_address(self):
        """Guards against an upstream that gets no work for good after it started again.

        While it was down, a process with another id answered a request for it at its address.
        """
        await self.start({"catalogue": 1, "orders": 1})
        target = self.target("catalogue-0")
        target.upstream_id = "other"
        self.assertEqual(503, (await self.call("orders-0", "/stock/1")).status)
        rejected = self.sidecar("catalogue-0").metrics.counters["target.rejected"]
        self.assertEqual(503, (await self.call("orders-0", "/stock/2")).status)
        # The start that has ended is not asked again.
        self.assertEqual(rejected, self.sidecar("catalogue-0").metrics.counters["target.rejected"])
        target.upstream_id = "catalogue-0"
        target.start_again()
        entry = target.entry()
        self.fleet.store.put(UPSTREAM_PREFIX + "catalogue-0", entry)
        await self.until(
            lambda: all(
                instance.sidecar.directory.entries["catalogue-0"].started_at_ms == entry["born"]
                for instance in self.fleet.instances.values()
            )
        )
        self.assertEqual(200, (await self.call("orders-0", "/stock/3")).status)
        await self.stop()

    async def test_start_is_asked_again_after_a_wrong_rejection(self):
        """Guards against an upstream that gets no work for good after one damaged answer."""
        await self.start({"catalogue": 1, "orders": 1})
        target, sidecar = self.target("catalogue-0"), self.sidecar("catalogue-0")
        target.upstream_id = "other"
        self.assertEqual(503, (await self.call("orders-0", "/stock/1")).status)
        target.upstream_id = "catalogue-0"
        self.assertEqual(503, (await self.call("orders-0", "/stock/2")).status)
        now_ms = sidecar.clock.now_ms()
        sidecar.target.notices._clock = ManualClock(now_ms + MISDIRECTED_RETRY_MS)
        self.assertEqual(200, (await self.call("orders-0", "/stock/3")).status)
        await self.stop()
