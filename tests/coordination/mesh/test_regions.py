import asyncio

import attrs
import logbook

from gentianthread.coordination.mesh.available_upstreams import REASON_NOT_ALLOWED
from gentianthread.events import REQUEST_ENDED
from gentianthread.standins.mesh import answer_sealed, break_off, fail

from .base import MeshTestCase

REGIONS = {"a": "north", "b": "north", "c": "south"}
ACME = {"api_keys": ["key-acme"], "priority": 1}


def route(prefix, service="catalogue", **changes):
    common = {"host": "shop.example", "prefix": prefix, "kind": "idempotent", "max_attempts": 3}
    return common | {"service": service, "timeout": "2s"} | changes


ROUTES = {
    "free": route("/free/"),
    "north": route("/north/", allowed_regions=["north"]),
    "both": route("/both/", allowed_regions=["north", "south"]),
    "nowhere": route("/nowhere/", allowed_regions=["west"]),
    "odd": route("/odd/", allowed_regions="north"),
    "run": route("/run/", "orders", allowed_regions=["south"]),
    "inner": route("/inner/", host="inner.example", no_auth=True),
}


class TestRegions(MeshTestCase):
    async def begin(self, services, zones, tenants=None):
        tenants = {"acme": ACME} if tenants is None else tenants
        await self.start(services, zones, routes=ROUTES, tenants=tenants)
        for instance in self.fleet.instances.values():
            sidecar = instance.sidecar
            sidecar.settings = attrs.evolve(sidecar.settings, regions=REGIONS)

    def seen(self, service="catalogue"):
        return {
            name: len(instance.target.seen)
            for name, instance in self.fleet.instances.items()
            if instance.target.service_id == service and instance.target.seen
        }

    async def call_many(self, caller, path, number=12, **options):
        replies = [await self.call(caller, f"{path}{n}", **options) for n in range(number)]
        return [reply.status for reply in replies]

    async def test_requests_stay_in_the_allowed_regions(self):
        """Guards against a body in another region, from each entry, its own target included."""
        await self.begin({"catalogue": 3, "orders": 3}, ("a", "b", "c"))
        for caller in self.fleet.instances:
            statuses = await self.call_many(caller, "/north/", 6, body=b"personal")
            self.assertEqual({200}, set(statuses))
        self.assertLessEqual(self.seen().keys(), {"catalogue-0", "catalogue-1"})
        self.assertEqual([200] * 4, await self.call_many("catalogue-2", "/both/", 4))
        self.assertEqual([200] * 4, await self.call_many("catalogue-2", "/free/", 4))
        self.assertEqual(8, self.seen()["catalogue-2"])
        # Nothing of the other region's node has passed a link to the node in the south.
        for instance in self.fleet.instances.values():
            for request in instance.target.seen:
                if request.body == b"personal":
                    self.assertNotEqual("c", instance.zone)
        await self.stop()

    async def test_list_of_the_organisation_is_binding_too(self):
        """Guards against a body in a region that only the route allows."""
        tenants = {"acme": ACME | {"allowed_regions": ["south"]}}
        await self.begin({"catalogue": 3}, ("a", "b", "c"), tenants)
        for path in ("/free/", "/both/"):
            self.assertEqual([200] * 6, await self.call_many("catalogue-0", path, 6))
        self.assertEqual({"catalogue-2": 12}, self.seen())
        self.assertEqual({503}, set(await self.call_many("catalogue-0", "/north/")))
        self.assertEqual({"catalogue-2": 12}, self.seen())
        await self.stop()

    async def test_request_without_an_allowed_upstream_is_refused_with_a_reason(self):
        """Guards against a reason that sends operators to look for lost upstreams."""
        await self.begin({"catalogue": 2}, ("c",))
        with logbook.TestHandler().applicationbound() as records:
            for path in ("/nowhere/", "/north/"):
                reply = await self.call("catalogue-0", f"{path}1")
                self.assertEqual(503, reply.status)
                self.assertIn("Retry-After", reply.fields)
        reasons = {
            record.extra["fields"]["reason"]
            for record in records.records
            if record.extra["number"] == REQUEST_ENDED.number
        }
        self.assertEqual({REASON_NOT_ALLOWED}, reasons)
        self.assertEqual({}, self.seen())
        await self.stop()

    async def test_unreadable_list_keeps_to_the_region_of_the_node(self):
        """Guards against a list with a mistake that allows all regions."""
        await self.begin({"catalogue": 3}, ("a", "b", "c"))
        self.assertEqual([200] * 6, await self.call_many("catalogue-2", "/odd/", 6))
        self.assertEqual({"catalogue-2": 6}, self.seen())
        self.assertEqual([200] * 6, await self.call_many("catalogue-0", "/odd/", 6))
        self.assertEqual({"catalogue-2": 6}, {"catalogue-2": self.seen()["catalogue-2"]})
        await self.stop()

    async def test_retries_stay_in_the_allowed_regions(self):
        """Guards against a second attempt in another region after a failure."""
        await self.begin({"catalogue": 4}, ("a", "b", "c", "c"))
        for behave in (fail, break_off):
            for name in ("catalogue-0", "catalogue-1"):
                self.target(name).behave = behave
            statuses = await self.call_many("catalogue-2", "/north/", 8)
            self.assertLessEqual(set(statuses), {500, 502, 503})
        self.assertLessEqual(self.seen().keys(), {"catalogue-0", "catalogue-1"})
        self.assertEqual(2, len(self.seen()))
        await self.stop()

    async def test_unreachable_upstreams_are_not_replaced_by_others(self):
        """Guards against a body in another region as the allowed ones cannot be reached."""
        await self.begin({"catalogue": 3}, ("a", "b", "c"))
        for name in ("catalogue-0", "catalogue-1"):
            instance = self.fleet.instances[name]
            await instance.sidecar.stop()
        statuses = await self.call_many("catalogue-2", "/north/", 4, Timeout_Ms="300")
        self.assertEqual({503}, set(statuses))
        self.assertEqual({}, self.seen())
        await self.stop()

    async def test_calls_of_a_bound_run_stay_in_its_regions(self):
        """Guards against data of a run that a call takes to another region.

        The route of the call has no list, and its upstreams in the own zone would be preferred.
        """
        await self.begin({"catalogue": 2, "orders": 1, "other": 0}, ("c", "a"))
        caller = self.fleet.instances["orders-0"]

        async def call_inner(target, request):
            if request.target.startswith("/run/"):
                for number in range(3):
                    await self.call("orders-0", f"/inner/{number}", host="inner.example", key=None)
            return await answer_sealed(target, request)

        caller.target.behave = call_inner
        # No place in the own zone: the call would go to zone a, which is in the north.
        await self.list_as("catalogue-0", "draining")
        reply = await self.call("orders-0", "/run/1")
        self.assertEqual(200, reply.status)
        self.assertEqual({}, self.seen())
        await self.list_as("catalogue-0", "ready")
        self.assertEqual(200, (await self.call("orders-0", "/run/2")).status)
        self.assertEqual({"catalogue-0": 3}, self.seen())
        # Without a bound run, calls go anywhere.
        await self.list_as("catalogue-0", "draining")
        reply = await self.call("orders-0", "/inner/1", host="inner.example", key=None)
        self.assertEqual((200, b"catalogue-1"), (reply.status, reply.body.split()[0]))
        await self.stop()

    async def test_bound_calls_of_calls(self):
        """Guards against a list that is lost on the second hop of a run."""
        tenants = {"acme": ACME | {"allowed_regions": ["south"]}}
        await self.begin({"catalogue": 1, "orders": 1, "ledger": 0}, ("c",), tenants)
        inner_regions = []

        async def note_regions(target, request):
            sidecar = self.sidecar("catalogue-0")
            inner_regions.append(sidecar.target.bound_runs.regions(sidecar.clock.now_ms()))
            return await answer_sealed(target, request)

        async def call_inner(target, request):
            await self.call("orders-0", "/inner/1", host="inner.example", key=None)
            return await answer_sealed(target, request)

        self.target("orders-0").behave = call_inner
        self.target("catalogue-0").behave = note_regions
        self.assertEqual(200, (await self.call("catalogue-0", "/run/1")).status)
        self.assertEqual([frozenset(["south"])], inner_regions)
        await asyncio.sleep(0.05)
        for name in ("orders-0", "catalogue-0"):
            sidecar = self.sidecar(name)
            self.assertIsNone(sidecar.target.bound_runs.regions(sidecar.clock.now_ms()))
        await self.stop()
