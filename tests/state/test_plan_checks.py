import attrs

from gentianthread.ids import ConfigVersion, OrganisationId, RegionId, RouteId, ServiceId
from gentianthread.state.fleet_plan import (
    OWN_REGION_ONLY,
    CallerLimits,
    FleetOrganisation,
    FleetPlan,
    FleetService,
    HostRoute,
    RequestKind,
    WeightedService,
)
from gentianthread.state.plan_checks import CheckInput, check_plan
from gentianthread.state.plan_findings import (
    FieldPaths,
    Finding,
    FindingKind,
    Severity,
    describe_value,
    sort_findings,
    without_unreadable,
)

from ..base import TestCase

CATALOGUE, ORDERS = ServiceId("catalogue"), ServiceId("orders")
ROUTE = HostRoute(
    RouteId("stock"),
    "shop.example",
    "/stock/",
    RequestKind.IDEMPOTENT,
    (WeightedService(CATALOGUE, 1.0),),
    max_attempts=2,
    timeout_ms=1_500.0,
    latency_objective_ms=800.0,
)
SERVICE = FleetService(CATALOGUE, "/healthz", 64, 3_000.0, 6.0)
ACME = FleetOrganisation(OrganisationId("acme"), ("one",), 1, 40.0, 8.0)
PATHS = FieldPaths({"organisations": "tenants", "service_weights": "parts"})


def regions(*names):
    return frozenset(map(RegionId, names))


def plan_of(routes=(ROUTE,), services=(SERVICE,), organisations=(ACME,), **limits):
    return FleetPlan(
        ConfigVersion(2),
        {each.route_id: each for each in routes},
        {each.service_id: each for each in services},
        {each.organisation_id: each for each in organisations},
        CallerLimits(**limits),
    )


class TestPlanChecks(TestCase):
    def check(self, plan, known_regions=None):
        return [
            (each.severity, each.kind, each.field)
            for each in check_plan(CheckInput(plan, PATHS, known_regions))
        ]

    def check_route(self, **changes):
        return self.check(plan_of(routes=(attrs.evolve(ROUTE, **changes),)))

    def check_organisation(self, **changes):
        return self.check(plan_of(organisations=(attrs.evolve(ACME, **changes),)))

    def check_service(self, **changes):
        return self.check(plan_of(services=(attrs.evolve(SERVICE, **changes),)))

    def warning(self, kind, field):
        return [(Severity.WARNING, kind, field)]

    def notice(self, kind, field):
        return [(Severity.NOTICE, kind, field)]

    def test_usual_plan_has_no_findings(self):
        """Guards against findings that teach operators to ignore the check."""
        self.assertEqual([], self.check(plan_of()))

    def test_host_that_never_matches(self):
        """Guards against a route with a port in its host, which no request reaches."""
        expected = self.warning(FindingKind.NEVER_MATCHES, "routes.stock.host")
        for host in ("shop.example:8080", "[::1]", " shop.example"):
            self.assertEqual(expected, self.check_route(host=host), host)
        # The host without the port has a route of its own, which the look-up finds.
        with_port = attrs.evolve(ROUTE, route_id=RouteId("other"), host="shop.example:80")
        found = self.check(plan_of(routes=(ROUTE, with_port)))
        self.assertEqual(self.warning(FindingKind.NEVER_MATCHES, "routes.other.host"), found)

    def test_prefix_that_never_matches(self):
        """Guards against a route for a query, which the entry removes before it compares."""
        expected = self.warning(FindingKind.NEVER_MATCHES, "routes.stock.prefix")
        for prefix in ("/stock?kind=/", "/a b/"):
            self.assertEqual(expected, self.check_route(prefix=prefix))

    def test_weight_of_zero(self):
        """Guards against a part of a split that gets nothing."""
        parts = (WeightedService(CATALOGUE, 1.0), WeightedService(ORDERS, 0.0))
        services = (SERVICE, attrs.evolve(SERVICE, service_id=ORDERS))
        route = attrs.evolve(ROUTE, service_weights=parts)
        found = self.check(plan_of(routes=(route,), services=services))
        expected = self.warning(FindingKind.NEVER_USED, "services.orders")
        expected += self.warning(FindingKind.NEVER_USED, "routes.stock.parts")
        self.assertEqual(expected, found)

    def test_service_without_a_route(self):
        """Guards against targets that stay idle since a route was forgotten."""
        services = (SERVICE, attrs.evolve(SERVICE, service_id=ORDERS))
        expected = self.warning(FindingKind.NEVER_USED, "services.orders")
        self.assertEqual(expected, self.check(plan_of(services=services)))

    def test_keys_that_never_match(self):
        """Guards against a tenant whose requests all get 401."""
        expected = self.warning(FindingKind.NEVER_MATCHES, "tenants.acme.keys")
        for keys in ((), (" one",), ("one\n",), ("one", "one")):
            self.assertEqual(expected, self.check_organisation(keys=keys), keys)

    def test_routes_that_need_a_key_without_any_organisation(self):
        """Guards against a document without tenants, with which routes are open to everybody."""
        expected = self.warning(FindingKind.CONTRADICTION, "tenants")
        self.assertEqual(expected, self.check(plan_of(organisations=())))
        is_open = attrs.evolve(ROUTE, open_to_all=True)
        self.assertEqual([], self.check(plan_of(routes=(is_open,), organisations=())))

    def test_regions_that_no_organisation_allows(self):
        """Guards against a route or a tenant of which all requests get 503."""
        north = attrs.evolve(ACME, allowed_regions=regions("north"))
        east = attrs.evolve(
            ACME, organisation_id=OrganisationId("east"), allowed_regions=regions("east")
        )
        south_only = attrs.evolve(ROUTE, allowed_regions=regions("south"))
        anywhere = attrs.evolve(ROUTE, route_id=RouteId("any"), prefix="/any/")
        found = self.check(plan_of(routes=(south_only, anywhere), organisations=(north, east)))
        # Both tenants have the other route.
        expected = self.warning(FindingKind.NO_REGION, "routes.stock.allowed_regions")
        self.assertEqual(expected, found)
        in_north = attrs.evolve(ROUTE, allowed_regions=regions("north", "south"))
        found = self.check(plan_of(routes=(in_north,), organisations=(north, east)))
        expected = self.warning(FindingKind.NO_REGION, "tenants.east.allowed_regions")
        self.assertEqual(expected, found)
        found = self.check(plan_of(routes=(in_north, anywhere), organisations=(north, east)))
        expected = self.notice(FindingKind.NO_REGION, "routes.stock.allowed_regions")
        self.assertEqual(expected, found)

    def test_regions_without_a_conflict(self):
        """Guards against findings about lists that meet, were not read, or need no tenant."""
        north = attrs.evolve(ACME, allowed_regions=regions("north"))
        for changes in (
            {"allowed_regions": regions("north", "south")},
            {"allowed_regions": OWN_REGION_ONLY},
            {"allowed_regions": regions("south"), "open_to_all": True},
        ):
            route = attrs.evolve(ROUTE, **changes)
            self.assertEqual([], self.check(plan_of(routes=(route,), organisations=(north,))))

    def test_regions_without_a_zone(self):
        """Guards against a mistyped region, which is noticed only by 503 for all requests."""
        route = attrs.evolve(ROUTE, allowed_regions=regions("nroth"))
        plan, known = plan_of(routes=(route,)), regions("north", "south")
        expected = self.warning(FindingKind.NO_REGION, "routes.stock.allowed_regions")
        self.assertEqual(expected, self.check(plan, known))
        self.assertEqual([], self.check(plan))
        route = attrs.evolve(ROUTE, allowed_regions=regions("nroth", "south"))
        expected = self.notice(FindingKind.NEVER_USED, "routes.stock.allowed_regions")
        self.assertEqual(expected, self.check(plan_of(routes=(route,)), known))

    def test_times_of_routes(self):
        """Guards against an objective that no request can miss, and requests without any time."""
        expected = self.warning(FindingKind.CONTRADICTION, "routes.stock.latency_objective_ms")
        self.assertEqual(expected, self.check_route(latency_objective_ms=1_501.0))
        self.assertEqual([], self.check_route(latency_objective_ms=1_500.0))
        self.assertEqual([], self.check_route(latency_objective_ms=9_000.0, timeout_ms=None))
        expected = self.warning(FindingKind.CONTRADICTION, "routes.stock.timeout_ms")
        self.assertEqual(expected, self.check_route(timeout_ms=0.0))

    def test_attempts_of_a_route_that_is_not_repeatable(self):
        """Guards against reading several attempts as permission to run a request twice."""
        expected = self.notice(FindingKind.UNUSUAL, "routes.stock.max_attempts")
        self.assertEqual(expected, self.check_route(kind=RequestKind.UPLOAD))
        self.assertEqual([], self.check_route(kind=RequestKind.UPLOAD, max_attempts=1))

    def test_rate_and_burst(self):
        """Guards against a rate whose requests are refused when two arrive together."""
        expected = self.warning(FindingKind.CONTRADICTION, "tenants.acme.burst")
        for changes in ({"burst": 0.0}, {"burst": 0.5}, {"rate_per_s": 0.0}):
            self.assertEqual(expected, self.check_organisation(**changes))
        self.assertEqual([], self.check_organisation(rate_per_s=0.0, burst=0.0))

    def test_warm_up(self):
        """Guards against a cold target without the limit that its operator meant to set."""
        for changed, field in (
            ({"warm_up_per_s": 0.0}, "warm_up_ms"),
            ({"warm_up_ms": 0.0}, "warm_up_per_s"),
        ):
            expected = self.warning(FindingKind.CONTRADICTION, f"services.catalogue.{field}")
            self.assertEqual(expected, self.check_service(**changed))
        self.assertEqual([], self.check_service(warm_up_ms=0.0, warm_up_per_s=0.0))

    def test_limits_of_callers(self):
        """Guards against limits with which callers cannot be served, or memory runs out."""
        for limits, field in (
            ({"header_timeout_ms": 0.0}, "header_timeout_ms"),
            ({"header_timeout_ms": 20_000.0}, "header_timeout_ms"),
            ({"idle_timeout_ms": 0.0}, "idle_timeout_ms"),
            ({"header_bytes": 0}, "header_bytes"),
            ({"body_bytes": 64 * 1024 * 1024 + 1}, "body_bytes"),
        ):
            expected = self.warning(FindingKind.CONTRADICTION, f"limits.{field}")
            self.assertEqual(expected, self.check(plan_of(**limits)), limits)
        upload = attrs.evolve(ROUTE, kind=RequestKind.UPLOAD, max_attempts=1)
        found = self.check(plan_of(routes=(upload,), body_bytes=0))
        self.assertEqual(self.warning(FindingKind.CONTRADICTION, "limits.body_bytes"), found)
        self.assertEqual([], self.check(plan_of(body_bytes=0)))

    def test_organisation_that_is_always_last(self):
        """Guards against a tenant that gets nothing under overload without anybody's intention."""
        other = attrs.evolve(ACME, organisation_id=OrganisationId("other"), priority=None)
        last = attrs.evolve(ACME, priority=7)
        expected = self.notice(FindingKind.UNUSUAL, "tenants.acme.priority")
        self.assertEqual(expected, self.check(plan_of(organisations=(last, other))))
        same = attrs.evolve(other, priority=7)
        self.assertEqual([], self.check(plan_of(organisations=(last, same))))


class TestFindings(TestCase):
    def finding(self, severity, field):
        return Finding(severity, FindingKind.CHANGED, field, "x", "y")

    def test_worst_come_first(self):
        """Guards against an error below many notices."""
        found = [self.finding(each, "a") for each in (Severity.NOTICE, Severity.ERROR)]
        self.assertEqual(Severity.ERROR, sort_findings(found)[0].severity)

    def test_unreadable_fields_are_not_judged(self):
        """Guards against findings about the replacement of a value that is reported already."""
        errors = [self.finding(Severity.ERROR, "tenants.a")]
        found = [
            self.finding(Severity.WARNING, field) for field in ("tenants.a.keys", "tenants.ab")
        ]
        self.assertEqual(found[1:], without_unreadable(found, errors))

    def test_found_values(self):
        """Guards against keys in the output, and against long or missing values that fail."""
        document = {
            "routes": {"a.b": {"kind": "x"}, "long": "y" * 200, "list": [{"w": 1}]},
            "tenants": {"acme": {"keys": ["secret"], "burst": -1}},
        }
        for path, expected in (
            ("routes.a.b.kind", "'x'"),
            ("routes.list.0.w", "1"),
            ("routes.none", "no value"),
            ("routes.a.b.kind.deeper", "no value"),
            ("tenants.acme", "a table"),
            ("tenants.acme.keys", "a list"),
            ("tenants.acme.keys.0", "a text"),
            ("tenants.acme.burst", "-1"),
        ):
            self.assertEqual(expected, describe_value(document, path, PATHS))
        self.assertLess(len(describe_value(document, "routes.long", PATHS)), 100)
