import json

from gentianthread.errors import DocumentError
from gentianthread.ids import UpstreamId
from gentianthread.platform.documents import JsonDocuments, read_plan, read_upstream
from gentianthread.standins.mesh import plan_document
from gentianthread.state.directory import UpstreamState
from gentianthread.state.fleet_plan import RequestKind
from gentianthread.transport.metadata_store import DocumentKind

from ..base import TestCase

ENTRY = {
    "service": "catalogue",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 57,
    "state": "ready",
    "warmup_left": "2.5s",
    "sequence": 4,
    "born": 1_700_000_000_123,
}


def plan(**changes):
    return json.dumps(plan_document(7, **changes)).encode()


class TestPlan(TestCase):
    def test_fields_are_decoded(self):
        """Guards against a field that is read with the wrong unit or under the wrong name."""
        found = read_plan(plan())
        self.assertEqual(7, found.version)
        order = found.match("shop.example", "/order/1")
        self.assertIs(RequestKind.NON_IDEMPOTENT, order.kind)
        self.assertEqual(
            (1500.0, 800.0, 0, 2),
            (order.timeout_ms, order.latency_objective_ms, order.priority, order.max_attempts),
        )
        self.assertTrue(found.match("inner.example", "/ledger/1").open_to_all)
        self.assertEqual("acme", found.organisation_of_key("key-acme").organisation_id)
        self.assertEqual(
            (1048576, 15000.0), (found.limits.body_bytes, found.limits.idle_timeout_ms)
        )

    def test_weighted_services_replace_the_service(self):
        """Guards against a split whose parts are not taken."""
        parts = [{"service": "catalogue", "weight": 90}, {"service": "orders", "weight": 10}]
        route = {"host": "h", "prefix": "/", "kind": "idempotent", "weighted_services": parts}
        found = read_plan(plan(routes={"r": route})).match("h", "/x")
        self.assertEqual(
            [("catalogue", 90), ("orders", 10)],
            [(part.service_id, part.weight) for part in found.service_weights],
        )

    def test_wrong_plans_are_refused_with_their_field(self):
        """Guards against a broken configuration that comes into force or ends the process."""

        def route(**changes):
            usual = {"host": "h", "prefix": "/", "kind": "idempotent", "service": "catalogue"}
            return {"r": usual | changes}

        cases = (
            (b"{", "JSON"),
            (b"[1]", "table"),
            (json.dumps(plan_document() | {"version": 7}).encode(), "version"),
            (plan(routes=route(service="none")), "routes.r.service"),
            (plan(routes=route(prefix="x")), "routes.r.prefix"),
            (plan(routes=route(timeout="1500")), "routes.r.timeout"),
            (plan(routes=route(kind="other")), "routes.r.kind"),
            (plan(routes=route(priority=-1)), "routes.r.priority"),
            (plan(routes=route() | {"s": route()["r"]}), "one route"),
            (plan(tenants={"a": {"api_keys": ["k"]}, "b": {"api_keys": ["k"]}}), "keys"),
            (plan(tenants={"a": {"api_keys": "k"}}), "tenants.a.api_keys"),
        )
        for data, place in cases:
            error = self.assertRaises(DocumentError, read_plan, data)
            self.assertIn(place, str(error))


class TestUpstream(TestCase):
    def read(self, **changes):
        return read_upstream(UpstreamId("i-1"), json.dumps(ENTRY | changes).encode())

    def test_fields_are_decoded(self):
        """Guards against a field that is read with the wrong unit or under the wrong name."""
        found = self.read()
        self.assertEqual(("10.1.0.9", 8080, 57), (found.host, found.port, found.slots))
        self.assertEqual((2500.0, 1_700_000_000_123), (found.warm_up_ms, found.started_at_ms))
        self.assertIs(UpstreamState.DRAINING, self.read(state="draining").state)

    def test_entries_of_other_writers_are_refused(self):
        """Guards against an entry that names no upstream and is used as one."""
        for changes in (
            {"service": 3},
            {"address": "10.1.0.9"},
            {"address": "10.1.0.9:x"},
            {"slots": "many"},
            {"state": "resting"},
            {"zone": None},
            {"slots": 2.5},
        ):
            self.assertRaises(DocumentError, self.read, **changes)
        self.assertRaises(DocumentError, read_upstream, UpstreamId("i-1"), b"\xff\x00")

    def test_keys_tell_the_kind(self):
        """Guards against items of other writers that are read as configuration."""
        reader = JsonDocuments()
        self.assertEqual(
            [DocumentKind.PLAN, DocumentKind.UPSTREAM, DocumentKind.OTHER],
            [reader.kind(key) for key in ("op/config", "servers/i-1", "my/leader")],
        )
        self.assertEqual("i-1", reader.upstream_id("servers/i-1"))
