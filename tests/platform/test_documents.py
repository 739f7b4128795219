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


def encode_plan(**changes):
    return json.dumps(plan_document(7, **changes)).encode()


class TestPlan(TestCase):
    def test_fields_are_decoded(self):
        """Guards against decoding a field with the wrong unit or from the wrong name."""
        plan = read_plan(encode_plan())
        self.assertEqual(7, plan.version)
        order = plan.match("shop.example", "/order/1")
        self.assertIs(RequestKind.NON_IDEMPOTENT, order.kind)
        self.assertEqual(
            (1500.0, 800.0, 0, 2),
            (order.timeout_ms, order.latency_objective_ms, order.priority, order.max_attempts),
        )
        self.assertTrue(plan.match("inner.example", "/ledger/1").open_to_all)
        self.assertEqual("acme", plan.organisation_of_key("key-acme").organisation_id)
        self.assertEqual((1048576, 15000.0), (plan.limits.body_bytes, plan.limits.idle_timeout_ms))

    def test_weighted_services_replace_the_single_service(self):
        """Guards against a traffic split that is ignored."""
        weighted = [{"service": "catalogue", "weight": 90}, {"service": "orders", "weight": 10}]
        route = {"host": "h", "prefix": "/", "kind": "idempotent", "weighted_services": weighted}
        matched = read_plan(encode_plan(routes={"r": route})).match("h", "/x")
        self.assertEqual(
            [("catalogue", 90), ("orders", 10)],
            [(item.service_id, item.weight) for item in matched.service_weights],
        )

    def test_invalid_plans_are_rejected_with_the_field(self):
        """Guards against an invalid configuration that takes effect or terminates the process."""

        def route(**changes):
            defaults = {"host": "h", "prefix": "/", "kind": "idempotent", "service": "catalogue"}
            return {"r": defaults | changes}

        two_routes = route() | {"s": route()["r"]}
        # A route that is refused still takes its host and prefix.
        half_readable = route() | {"s": route(service="none")["r"]}
        cases = (
            (b"{", "JSON"),
            (b"[1]", "table"),
            (json.dumps(plan_document() | {"version": 7}).encode(), "version"),
            (json.dumps(plan_document() | {"version": None}).encode(), "version"),
            (encode_plan(routes=two_routes), "one route"),
            (encode_plan(routes=half_readable), "one route"),
            (encode_plan(tenants={"a": {"api_keys": ["k"]}, "b": {"api_keys": ["k"]}}), "keys"),
            (encode_plan(routes=3), "routes"),
            (encode_plan(services=["a"]), "services"),
            (encode_plan(tenants="a"), "tenants"),
        )
        for data, message in cases:
            error = self.assertRaises(DocumentError, read_plan, data)
            self.assertIn(message, str(error))


class TestUpstream(TestCase):
    def read(self, **changes):
        return read_upstream(UpstreamId("i-1"), json.dumps(ENTRY | changes).encode())

    def test_fields_are_decoded(self):
        """Guards against decoding a field with the wrong unit or from the wrong name."""
        entry = self.read()
        self.assertEqual(("10.1.0.9", 8080, 57), (entry.host, entry.port, entry.slots))
        self.assertEqual((2500.0, 1_700_000_000_123), (entry.warm_up_ms, entry.started_at_ms))
        self.assertIs(UpstreamState.DRAINING, self.read(state="draining").state)

    def test_durations_of_any_precision_are_read(self):
        """Guards against an upstream that is left out because its warm-up is not rounded."""
        entry = self.read(warmup_left="0.30000000000000004s")
        self.assertAlmostEqual(300.0, entry.warm_up_ms)

    def test_malformed_entries_are_rejected(self):
        """Guards against using an entry of another program that does not describe an upstream."""
        for changes in (
            {"service": 3},
            {"address": "10.1.0.9"},
            {"address": "10.1.0.9:x"},
            {"address": "10.1.0.256:8080"},
            {"address": "a..b:8080"},
            {"address": "instance-9:8080"},
            {"address": "0.0.0.0:8080"},
            {"address": "224.0.0.1:8080"},
            {"slots": "many"},
            {"state": "resting"},
            {"zone": None},
            {"slots": 2.5},
        ):
            self.assertRaises(DocumentError, self.read, **changes)

    def test_ids_that_do_not_fit_into_a_header_field_are_rejected(self):
        """Guards against a foreign entry that adds fields to requests, or that fails them."""
        for upstream_id in ("", "a b", "a\r\nX: y", "\ud83d", "\xe9", "x" * 201):
            with self.assertRaisesType(DocumentError):
                read_upstream(UpstreamId(upstream_id), json.dumps(ENTRY).encode())

    def test_text_that_cannot_be_sent_is_rejected(self):
        """Guards against one entry that ends the task which spreads changes, on every node.

        The task computes a hash over the names of zones, which fails for surrogates.
        """
        for text in ("a\ud800", "a\r\nX: y", "\x7f"):
            for field in ("zone", "service"):
                self.assertRaises(DocumentError, self.read, **{field: text})
            # An organisation with such a name has no key, but requests still need one.
            plan = read_plan(encode_plan(tenants={text: {"api_keys": ["k"]}}))
            self.assertIsNone(plan.organisation_of_key("k"))
            self.assertEqual([ascii(text)], list(plan.organisations))
            self.assertEqual([f"tenants.{text!a}"], [each.field for each in plan.problems])
        plan = read_plan(encode_plan(tenants={"Ελένη Ltd": {"api_keys": ["κ"]}}))
        self.assertEqual("Ελένη Ltd", plan.organisation_of_key("κ").organisation_id)

    def test_numbers_out_of_range_are_rejected(self):
        """Guards against a number that no code can hold and that ends the task which reads it.

        One entry with `1e999` slots made every node read all documents again each half second, and
        no change took effect any more.
        """
        text = json.dumps(ENTRY)
        for number in ("1e999", "NaN", "Infinity", "1e308", "9" * 400, "-1"):
            data = text.replace('"slots": 57', f'"slots": {number}').encode()
            self.assertRaises(DocumentError, read_upstream, UpstreamId("i-1"), data)
        for address in ("10.1.0.9:" + "9" * 5_000, "10.1.0.9:٣"):
            self.assertRaises(DocumentError, self.read, address=address)
        self.assertRaises(DocumentError, self.read, warmup_left="9" * 400 + "ms")
        plan = plan_document() | {"version": "r" + "9" * 5_000}
        self.assertRaises(DocumentError, read_plan, json.dumps(plan).encode())

    def test_undecodable_entries_are_rejected(self):
        """Guards against bytes that end the task which reads them."""
        self.assertRaises(DocumentError, read_upstream, UpstreamId("i-1"), b"\xff\x00")

    def test_kind_follows_from_the_key(self):
        """Guards against reading items of other programs as configuration."""
        reader = JsonDocuments()
        kinds = {
            "op/config": DocumentKind.PLAN,
            "servers/i-1": DocumentKind.UPSTREAM,
            "op/evacuate/a": DocumentKind.EVACUATION,
            "op/evacuate/": DocumentKind.OTHER,
            "op/evacuate": DocumentKind.OTHER,
            "op/evacuate/a\ud800": DocumentKind.OTHER,
            "my/leader": DocumentKind.OTHER,
        }
        self.assertEqual(kinds, {key: reader.kind(key) for key in kinds})
        self.assertEqual("i-1", reader.upstream_id("servers/i-1"))
        self.assertEqual("a", reader.evacuated_zone("op/evacuate/a"))
        self.assertEqual("op/evacuate/a", reader.evacuation_key("a"))
