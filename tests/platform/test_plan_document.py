import json

from gentianthread.platform.plan_document import (
    UNREADABLE_RATE_PER_S,
    UNREADABLE_WARM_UP_MS,
    UNREADABLE_WARM_UP_PER_S,
    read_plan,
)
from gentianthread.standins.mesh import plan_document
from gentianthread.state.fleet_plan import (
    OWN_REGION_ONLY,
    CallerLimits,
    RequestKind,
    WeightedService,
)

from ..base import TestCase

# Removes a field, which differs from the JSON value null.
MISSING = object()

ROUTE = {
    "host": "h",
    "prefix": "/a/",
    "kind": "idempotent",
    "service": "catalogue",
    "max_attempts": 3,
    "timeout": "2s",
    "target_latency": "1s",
    "priority": 1,
    "no_auth": True,
    "allowed_regions": ["north"],
}
OTHER_ROUTE = {
    "host": "h",
    "prefix": "/b/",
    "kind": "idempotent",
    "service": "catalogue",
    "priority": 4,
}
SERVICE = {"health_path": "/health", "max_connections": 9, "warmup": "2s", "warmup_per_s": 6}
TENANT = {
    "api_keys": ["one"],
    "priority": 2,
    "rate_per_s": 40,
    "burst": 8,
    "allowed_regions": ["north"],
}

NOT_A_NUMBER = ("x", True, None, [], {}, -1, float("nan"), float("inf"), 1e300)
NOT_A_WHOLE_NUMBER = (*NOT_A_NUMBER, 1.5)
NOT_A_DURATION = ("x", "1500", "-1s", "1h", 5, True, [], {})
NOT_A_TEXT = (None, 3, True, [], {}, "", "a\x00", "\ud800")


def change(item, field, value):
    changed = {name: known for name, known in item.items() if name != field}
    return changed if value is MISSING else changed | {field: value}


class TestTolerantReading(TestCase):
    """Each field missing, of an unknown value, malformed, and of a wrong type."""

    def read(self, **sections):
        services = {"catalogue": SERVICE, "orders": SERVICE | {"warmup_per_s": 3, "warmup": "4s"}}
        document = {
            "version": "r7",
            "services": services,
            "routes": {"r": ROUTE, "other": OTHER_ROUTE},
            "tenants": {"acme": TENANT, "other": {"api_keys": ["two"], "rate_per_s": 5}},
        }
        return read_plan(json.dumps(document | sections).encode())

    def check(self, section, name, item, cases, others):
        """Read an item with changed fields and compare what is used, and whether it is noted.

        Args:
            section: Section of the item.
            name: Its name.
            item: The valid item.
            cases: Field, values, what is used, whether that is noted as a problem.
            others: The other items of the section, all valid.
        """
        attribute = {"tenants": "organisations"}.get(section, section)
        for field, values, read_used, used, is_problem in cases:
            for value in values:
                with self.subTest(field=field, value=value):
                    plan = self.read(**{section: {name: change(item, field, value)} | others})
                    found = getattr(plan, attribute)[name]
                    self.assertEqual(used, read_used(found))
                    self.assertEqual(is_problem, bool(plan.problems), plan.problems)
                    for problem in plan.problems:
                        self.assertTrue(
                            problem.field.startswith(f"{section}.{name}.{field}"), problem
                        )
                        self.assertTrue(problem.expected)
                    # The other items apply as before.
                    self.assertLessEqual(others.keys(), getattr(plan, attribute).keys())

    def test_valid_document_has_no_problems(self):
        """Guards against log lines about values that are read as they are."""
        self.assertEqual((), self.read().problems)
        self.assertEqual((), read_plan(json.dumps(plan_document()).encode()).problems)

    def test_fields_of_routes(self):
        """Guards against one value that leaves a fleet unserved, or is read generously.

        One route of a kind that was not known left a whole deployment without a plan.
        """
        cases = (
            (
                "kind",
                (MISSING, "other", *NOT_A_TEXT),
                lambda route: (route.kind, route.repeatable),
                (RequestKind.NON_IDEMPOTENT, False),
                True,
            ),
            ("kind", ("upload",), lambda route: route.kind, RequestKind.UPLOAD, False),
            ("max_attempts", (MISSING, 0, 1), lambda route: route.max_attempts, 1, False),
            ("max_attempts", NOT_A_WHOLE_NUMBER, lambda route: route.max_attempts, 1, True),
            ("timeout", (MISSING, None), lambda route: route.timeout_ms, None, False),
            ("timeout", NOT_A_DURATION, lambda route: route.timeout_ms, None, True),
            (
                "target_latency",
                (MISSING, None),
                lambda route: route.latency_objective_ms,
                None,
                False,
            ),
            (
                "target_latency",
                NOT_A_DURATION,
                lambda route: route.latency_objective_ms,
                None,
                True,
            ),
            ("priority", (MISSING, 0), lambda route: route.priority, 0, False),
            # The least important priority of the document.
            ("priority", NOT_A_WHOLE_NUMBER, lambda route: route.priority, 4, True),
            ("no_auth", (MISSING, False), lambda route: route.open_to_all, False, False),
            ("no_auth", ("yes", 1, None, [], {}), lambda route: route.open_to_all, False, True),
            (
                "allowed_regions",
                (MISSING, None, []),
                lambda route: route.allowed_regions,
                None,
                False,
            ),
            (
                "allowed_regions",
                ("north", 3, 0, "", False, True, {}, {"north": 1}, [3], [""], [None]),
                lambda route: route.allowed_regions,
                OWN_REGION_ONLY,
                True,
            ),
            (
                "allowed_regions",
                (["north", 3], ["", "north"], ["north", ["south"]]),
                lambda route: route.allowed_regions,
                frozenset(["north"]),
                True,
            ),
        )
        self.check("routes", "r", ROUTE, cases, {"other": OTHER_ROUTE})

    def test_route_without_a_readable_service_is_kept_for_refusals(self):
        """Guards against a 404 for a configured route, which callers take as final."""
        cases = (
            ("service", (MISSING, "none", *NOT_A_TEXT), lambda r: r.service_weights, (), True),
        )
        self.check("routes", "r", ROUTE, cases, {"other": OTHER_ROUTE})

    def test_weighted_services(self):
        """Guards against a traffic split of which one unreadable part refuses all requests."""
        orders, catalogue = WeightedService("orders", 1.0), WeightedService("catalogue", 1.0)
        valid = {"service": "orders", "weight": 1.0}
        cases = (
            (
                "weighted_services",
                (MISSING, None, []),
                lambda r: r.service_weights,
                (catalogue,),
                0,
            ),
            ("weighted_services", ([valid],), lambda r: r.service_weights, (orders,), 0),
            (
                "weighted_services",
                tuple(
                    [valid, odd]
                    for odd in (
                        3,
                        None,
                        "orders",
                        {},
                        {"service": "none", "weight": 1},
                        {"service": 3, "weight": 1},
                        {"service": "catalogue"},
                        *({"service": "catalogue", "weight": weight} for weight in NOT_A_NUMBER),
                    )
                ),
                lambda r: r.service_weights,
                (orders,),
                1,
            ),
            # Without any weight, the single service answers.
            (
                "weighted_services",
                (3, "orders", True, {"orders": 1}, [3], [{"service": "orders", "weight": 0}]),
                lambda r: r.service_weights,
                (catalogue,),
                1,
            ),
        )
        self.check("routes", "r", ROUTE, cases, {"other": OTHER_ROUTE})

    def test_route_without_host_or_prefix_is_left_out(self):
        """Guards against a route that matches requests that it is not meant for."""
        for field, values in (
            ("host", (MISSING, *NOT_A_TEXT)),
            ("prefix", (MISSING, "a/", "a", *NOT_A_TEXT)),
        ):
            for value in values:
                plan = self.read(routes={"r": change(ROUTE, field, value), "other": OTHER_ROUTE})
                self.assertEqual(["other"], list(plan.routes))
                problems = [(problem.field, problem.used) for problem in plan.problems]
                self.assertEqual([(f"routes.r.{field}", None)], problems)
        for item in (3, None, "x", []):
            plan = self.read(routes={"r": item, "other": OTHER_ROUTE})
            self.assertEqual(["other"], list(plan.routes))
            self.assertEqual(1, len(plan.problems))

    def test_route_whose_prefix_lacks_the_last_slash_refuses_its_requests(self):
        """Guards against a 404 for a configured route, and against one that matches too much."""
        odd = ROUTE | {"prefix": "/odd"}
        plan = self.read(routes={"r": ROUTE, "odd": odd, "odd-too": odd})
        self.assertEqual((), plan.match("h", "/odd/1").service_weights)
        self.assertIsNone(plan.match("h", "/oddly/1"))
        self.assertEqual(["routes.odd.prefix", "routes.odd-too.prefix"], self.fields(plan))
        # A whole route with that prefix is served, and the document stays valid.
        plan = self.read(routes={"odd": odd, "r": ROUTE | {"prefix": "/odd/"}})
        self.assertTrue(plan.match("h", "/odd/1").service_weights)

    def fields(self, plan):
        return [problem.field for problem in plan.problems]

    def test_fields_of_services(self):
        """Guards against a service that is lost, or a target that is taken to stand more."""
        others = {
            "orders": SERVICE | {"warmup": "4s", "warmup_per_s": 3},
            "catalogue-2": SERVICE,
        }
        cases = (
            (
                "max_connections",
                (MISSING, *NOT_A_WHOLE_NUMBER),
                lambda service: service.max_connections,
                0,
                True,
            ),
            ("warmup", (MISSING, None), lambda service: service.warm_up_ms, 0.0, False),
            ("warmup", NOT_A_DURATION, lambda service: service.warm_up_ms, 4_000.0, True),
            ("warmup_per_s", (MISSING, 0), lambda service: service.warm_up_per_s, 0, False),
            ("warmup_per_s", NOT_A_NUMBER, lambda service: service.warm_up_per_s, 3, True),
        )
        self.check("services", "catalogue", SERVICE, cases, others)
        plan = self.read(services={"catalogue": SERVICE | {"warmup": 3, "warmup_per_s": "x"}})
        found = plan.services["catalogue"]
        self.assertEqual(
            (UNREADABLE_WARM_UP_MS, UNREADABLE_WARM_UP_PER_S),
            (found.warm_up_ms, found.warm_up_per_s),
        )

    def test_service_without_a_health_path_is_left_out(self):
        """Guards against requests for a service of which nothing tells whether it is healthy."""
        for value in (MISSING, "health", *NOT_A_TEXT):
            services = {"catalogue": change(SERVICE, "health_path", value), "orders": SERVICE}
            plan = self.read(services=services)
            self.assertEqual(["orders"], list(plan.services))
            self.assertIn("services.catalogue.health_path", [each.field for each in plan.problems])
            # Its routes refuse their requests.
            self.assertEqual((), plan.match("h", "/a/1").service_weights)
        for item in (3, None, "x", []):
            plan = self.read(services={"catalogue": item, "orders": SERVICE})
            self.assertEqual(["orders"], list(plan.services))

    def test_fields_of_organisations(self):
        """Guards against an organisation without its limits, or one that is lost with a value."""
        others = {"other": {"api_keys": ["two"], "rate_per_s": 5}}
        cases = (
            ("api_keys", (MISSING, None, []), lambda tenant: tenant.keys, (), False),
            ("api_keys", ("one", 3, True, {}, "", [3], [""]), lambda tenant: tenant.keys, (), True),
            ("api_keys", (["one", 3], ["", "one"]), lambda tenant: tenant.keys, ("one",), True),
            ("priority", (MISSING, None), lambda tenant: tenant.priority, None, False),
            (
                "priority",
                [value for value in NOT_A_WHOLE_NUMBER if value is not None],
                lambda tenant: tenant.priority,
                4,
                True,
            ),
            ("rate_per_s", (MISSING, 0), lambda tenant: tenant.rate_per_s, 0, False),
            # 0 would mean that there is no limit.
            ("rate_per_s", NOT_A_NUMBER, lambda tenant: tenant.rate_per_s, 5, True),
            ("burst", (MISSING, 0), lambda tenant: tenant.burst, 0, False),
            ("burst", NOT_A_NUMBER, lambda tenant: tenant.burst, 0, True),
            ("allowed_regions", (MISSING, []), lambda tenant: tenant.allowed_regions, None, False),
            (
                "allowed_regions",
                ("north", 3, {}, [3]),
                lambda tenant: tenant.allowed_regions,
                OWN_REGION_ONLY,
                True,
            ),
        )
        self.check("tenants", "acme", TENANT, cases, others)
        plan = self.read(tenants={"acme": TENANT | {"rate_per_s": "x"}})
        self.assertEqual(UNREADABLE_RATE_PER_S, plan.organisations["acme"].rate_per_s)

    def test_unreadable_organisation_does_not_open_the_routes(self):
        """Guards against requests without a key, which run where no organisation is known."""
        for item in (3, None, "x", []):
            plan = self.read(tenants={"acme": item})
            self.assertEqual(["acme"], list(plan.organisations))
            self.assertEqual((), plan.organisations["acme"].keys)

    def test_empty_key_belongs_to_nobody(self):
        """Guards against requests without a key that run for an organisation with an empty one."""
        plan = self.read(tenants={"acme": TENANT | {"api_keys": ["", "one"]}})
        self.assertIsNone(plan.organisation_of_key(""))
        self.assertEqual("acme", plan.organisation_of_key("one").organisation_id)

    def test_limits(self):
        """Guards against one limit of callers that makes a whole configuration invalid."""
        defaults = CallerLimits()
        for limits, problems in (
            (None, 0),
            ({}, 0),
            (3, 1),
            ([], 1),
            ({"max_header_bytes": "x"}, 1),
            ({"max_body_bytes": -1}, 1),
            ({"header_timeout": 5, "idle_timeout": "x"}, 2),
        ):
            plan = self.read(limits=limits)
            self.assertEqual(defaults, plan.limits)
            self.assertEqual(problems, len(plan.problems))
        for field, value, attribute in (
            ("max_header_bytes", 512, "header_bytes"),
            ("max_body_bytes", 1, "body_bytes"),
        ):
            plan = self.read(limits={field: value, "idle_timeout": 7})
            self.assertEqual(value, getattr(plan.limits, attribute))

    def test_missing_sections_are_empty(self):
        """Guards against a document of a writer that encodes empty tables as null."""
        plan = self.read(services=None, routes=None, tenants=None)
        self.assertEqual(({}, {}, {}), (plan.services, plan.routes, plan.organisations))
        self.assertEqual((), read_plan(b'{"version": "r1"}').problems)

    def test_names_that_cannot_be_sent(self):
        """Guards against a name that fails messages or log lines, and takes its item with it."""
        plan = self.read(
            routes={"a\ud800": ROUTE, "other": OTHER_ROUTE},
            services={"catalogue": SERVICE, "o\x00": SERVICE},
        )
        self.assertTrue(plan.match("h", "/a/1").service_weights)
        self.assertEqual(["catalogue"], list(plan.services))
        for problem in plan.problems:
            problem.field.encode()
