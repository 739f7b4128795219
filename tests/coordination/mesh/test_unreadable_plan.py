import logbook

from gentianthread.events import PLAN_FIELD_UNREADABLE, PLAN_ITEM_LEFT_OUT, PLAN_PROBLEMS_LEFT_OUT
from gentianthread.standins.mesh import break_off

from .base import MeshTestCase


def route(prefix, **changes):
    common = {"host": "shop.example", "prefix": prefix, "kind": "idempotent", "max_attempts": 3}
    return common | {"service": "catalogue"} | changes


class TestUnreadablePlan(MeshTestCase):
    async def test_one_unreadable_route_leaves_the_others_served(self):
        """Guards against a fleet without a plan after one value that this version does not know.

        A route of an unknown kind left 18,424 requests of a deployment unserved.
        """
        with logbook.TestHandler() as records:
            await self.start(
                {"catalogue": 2},
                routes={
                    "good": route("/good/"),
                    "kind": route("/kind/", kind="stream"),
                    "service": route("/service/", service="none"),
                    "host": route("/host/", host=7),
                },
            )
        statuses = {}
        for path in ("good", "kind", "service", "host"):
            reply = await self.call("catalogue-0", f"/{path}/1")
            statuses[path] = reply.status
            if path == "service":
                self.assertIn("Retry-After", reply.fields)
        counters = self.sidecar("catalogue-0").metrics.counters
        self.assertEqual(1, counters["entry.refused.route_is_not_readable"])
        # A configured route that cannot be used is not answered as if it did not exist.
        self.assertEqual({"good": 200, "kind": 200, "service": 503, "host": 404}, statuses)
        plan = self.sidecar("catalogue-0").follower.plan
        self.assertFalse(plan.match("shop.example", "/kind/1").repeatable)
        events = {
            (record.extra["number"], record.extra["fields"]["field"])
            for record in records.records
            if record.extra["number"] in (PLAN_FIELD_UNREADABLE.number, PLAN_ITEM_LEFT_OUT.number)
        }
        self.assertEqual(
            {
                (PLAN_FIELD_UNREADABLE.number, "routes.kind.kind"),
                (PLAN_FIELD_UNREADABLE.number, "routes.service.service"),
                (PLAN_ITEM_LEFT_OUT.number, "routes.host.host"),
            },
            events,
        )
        dump = self.sidecar("catalogue-0").describe()
        self.assertEqual(3, len(dump["plan_problems"]))
        await self.stop()

    async def test_request_of_an_unknown_kind_is_not_repeated(self):
        """Guards against a second run of a request that may have had an effect."""
        await self.start({"catalogue": 2}, routes={"kind": route("/kind/", kind="stream")})
        for number in range(2):
            self.target(f"catalogue-{number}").behave = break_off
        reply = await self.call("catalogue-0", "/kind/1")
        self.assertEqual(502, reply.status)
        self.assertEqual(1, sum(len(self.target(f"catalogue-{n}").seen) for n in range(2)))
        await self.stop()

    async def test_many_problems_are_logged_within_a_bound(self):
        """Guards against some thousand log lines of each node for one mistake."""
        with logbook.TestHandler() as records:
            await self.start(
                {"catalogue": 1},
                routes={f"r{n}": route(f"/{n}/", timeout="soon") for n in range(300)},
            )
        numbers = [record.extra["number"] for record in records.records]
        self.assertEqual(50, numbers.count(PLAN_FIELD_UNREADABLE.number))
        self.assertEqual(1, numbers.count(PLAN_PROBLEMS_LEFT_OUT.number))
        await self.stop()
