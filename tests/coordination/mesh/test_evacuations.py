import asyncio

import logbook

from gentianthread.coordination.mesh.available_upstreams import REASON_ALL_EVACUATED
from gentianthread.coordination.mesh.target_evacuation import REASON_EVACUATED
from gentianthread.events import REQUEST_ENDED, RUN_REFUSED
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.platform.documents import EVACUATION_PREFIX

from .base import MeshTestCase

# Time within which an evacuation must be in force everywhere, the users' bound.
EVACUATION_S = 5.0


class TestEvacuations(MeshTestCase):
    async def evacuate(self, *zones):
        """Write the evacuations of zones, end the others, and wait until all nodes know."""
        for zone in "abc":
            self.fleet.store.remove(EVACUATION_PREFIX + zone)
        for zone in zones:
            self.fleet.store.put(EVACUATION_PREFIX + zone, b"{}")
        await self.until(
            lambda: all(
                instance.sidecar.directory.evacuated_zones == frozenset(zones)
                for instance in self.fleet.instances.values()
            ),
            EVACUATION_S,
        )

    def seen(self, service):
        """Return how many requests each target of a service has run."""
        return [
            len(instance.target.seen)
            for name, instance in sorted(self.fleet.instances.items())
            if instance.target.service_id == service
        ]

    def reasons(self, records, event):
        return [
            record.extra["fields"]["reason"]
            for record in records.records
            if record.extra["number"] == event.number
        ]

    async def test_other_zones_serve_while_a_zone_is_evacuated(self):
        """Guards against requests for an evacuated zone, and callers there that are not served."""
        await self.start({"catalogue": 4, "orders": 2}, zones=("a", "b"))
        await self.evacuate("b")
        before = self.seen("catalogue")
        for caller in self.fleet.instances:
            for number in range(8):
                reply = await self.call(caller, f"/stock/{number}")
                self.assertEqual(200, reply.status)
                self.assertIn(reply.body.split()[0], (b"catalogue-0", b"catalogue-2"))
                order = await self.call(caller, f"/order/{number}", method="POST")
                self.assertEqual((200, b"orders-0"), (order.status, order.body.split()[0]))
        self.assertEqual(before[1::2], self.seen("catalogue")[1::2])
        await self.evacuate()
        for number in range(8):
            reply = await self.call("catalogue-1", f"/stock/{number}")
            self.assertEqual(200, reply.status)
        self.assertGreater(sum(self.seen("catalogue")[1::2]), sum(before[1::2]))
        await self.stop()

    async def test_waiting_requests_are_refused_and_running_ones_end(self):
        """Guards against requests that reach a target long after its zone was evacuated.

        They waited for a slot. Requests that the target runs are answered.
        """
        await self.start({"orders": 1, "catalogue": 1}, zones=("a",))
        target, sidecar = self.target("orders-0"), self.sidecar("orders-0")
        target.slots, target.work_ms = 1, 400
        await self.list_as("orders-0", "ready")
        await self.until(lambda: sidecar.target.limit() == 1)
        sidecar.target.capacity.service_ms = 1.0
        calls = [
            asyncio.ensure_future(self.call(caller, f"/order/{number}", method="POST"))
            for number, caller in enumerate(["orders-0", "catalogue-0"] * 4)
        ]
        await self.until(lambda: len(sidecar.target.queue) >= 4 and target.seen)
        with logbook.TestHandler().applicationbound() as records:
            started_s = asyncio.get_running_loop().time()
            await self.evacuate("a")
            await self.until(lambda: sum(call.done() for call in calls) >= 7)
            self.assertLess(asyncio.get_running_loop().time() - started_s, 0.4)
            replies = await asyncio.gather(*calls)
        statuses = sorted(reply.status for reply in replies)
        self.assertEqual(200, statuses[0])
        self.assertEqual({503}, set(statuses[len(target.seen) :]))
        self.assertEqual(len(target.seen), statuses.count(200))
        self.assertIn(REASON_EVACUATED, self.reasons(records, RUN_REFUSED))
        for reply in replies:
            if reply.status == 503:
                self.assertIn("Retry-After", reply.fields)
        await self.stop()

    async def test_service_without_another_zone_is_refused_with_a_reason(self):
        """Guards against a reason that sends operators to look for lost links."""
        await self.start({"catalogue": 2, "orders": 2}, zones=("a", "b"))
        await self.evacuate("a", "b")
        with logbook.TestHandler().applicationbound() as records:
            for caller in self.fleet.instances:
                reply = await self.call(caller, "/stock/1")
                self.assertEqual(503, reply.status)
        self.assertEqual({REASON_ALL_EVACUATED}, set(self.reasons(records, REQUEST_ENDED)))
        self.assertEqual([0, 0], self.seen("catalogue"))
        await self.stop()

    async def test_node_that_has_not_heard_is_refused_and_asks_another_zone(self):
        """Guards against a 503 in the moment in which an evacuation spreads.

        Three refusals end a request otherwise, and the zone has four upstreams that refuse.
        """
        await self.start({"catalogue": 5, "orders": 1}, zones=("b", "b", "b", "b", "a"))
        # The node of `orders-0` is in the zone, too, and prefers it.
        for name in self.fleet.instances:
            if name != "orders-0":
                self.sidecar(name).directory.set_evacuated(frozenset([AvailabilityZoneId("b")]))
        for number in range(10):
            reply = await self.call("orders-0", f"/stock/{number}")
            self.assertEqual((200, b"catalogue-4"), (reply.status, reply.body.split()[0]))
        self.assertEqual([0, 0, 0, 0, 10], self.seen("catalogue"))
        await self.stop()

    async def test_cached_upstreams_follow_at_once(self):
        """Guards against requests for an evacuated zone out of a cache, and its levels."""
        await self.start({"catalogue": 2}, zones=("a", "b"))
        sidecar = self.sidecar("catalogue-0")
        service_id, now_ms = ServiceId("catalogue"), sidecar.clock.now_ms()
        self.assertEqual(2, len(sidecar.forwarder.reachable_upstreams(service_id, now_ms)))
        sidecar.levels.record(service_id, UpstreamId("catalogue-1"), 2.0, now_ms)
        self.assertEqual(1.0, sidecar.levels.level(service_id, now_ms, 2))
        sidecar.directory.set_evacuated(frozenset([AvailabilityZoneId("b")]))
        upstreams = sidecar.forwarder.reachable_upstreams(service_id, now_ms)
        self.assertEqual(["catalogue-0"], [upstream.upstream_id for upstream in upstreams])
        self.assertEqual(0.0, sidecar.levels.level(service_id, now_ms, 1))
        await self.stop()

    async def test_node_beside_a_target_learns_of_the_end(self):
        """Guards against a target that is taken for warm after its zone was empty."""
        await self.start({"catalogue": 2}, zones=("a", "b"))
        ends = []
        for name in self.fleet.instances:
            evacuation = self.sidecar(name).target.evacuation
            evacuation.on_evacuation_end = lambda name=name: ends.append(name)
        await self.evacuate("b")
        self.assertEqual([], ends)
        self.assertTrue(self.sidecar("catalogue-1").target.evacuation.in_force)
        await self.evacuate()
        self.assertEqual(["catalogue-1"], ends)
        await self.stop()

    async def test_evacuation_that_comes_before_the_entry(self):
        """Guards against a target that starts in an evacuated zone and gets requests."""
        await self.start({"catalogue": 1, "orders": 1}, zones=("a",))
        await self.evacuate("b")
        await self.fleet.add("catalogue", "catalogue-1", "b")
        await self.fleet.wait_ready()
        await self.until(lambda: self.sidecar("catalogue-1").target.evacuation.in_force)
        for number in range(6):
            self.assertEqual(200, (await self.call("catalogue-1", f"/stock/{number}")).status)
        self.assertEqual([6, 0], self.seen("catalogue"))
        await self.stop()

    async def test_dump_and_metrics_tell_of_it(self):
        """Guards against an operator who cannot see whether a node knows an evacuation."""
        await self.start({"catalogue": 2}, zones=("a", "b"))
        await self.evacuate("b")
        sidecar = self.sidecar("catalogue-0")
        self.assertEqual(["b"], sidecar.describe()["evacuated_zones"])
        self.assertIn(b"zones_evacuated 1", sidecar._write_metrics())
        await self.stop()
