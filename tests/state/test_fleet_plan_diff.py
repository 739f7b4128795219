import attrs

from gentianthread.ids import ConfigVersion, OrganisationId, RouteId, ServiceId
from gentianthread.state.fleet_plan import RequestKind, WeightedService
from gentianthread.state.fleet_plan_diff import compare_with_force
from gentianthread.state.plan_findings import FindingKind, Severity

from ..base import TestCase
from .test_plan_checks import ACME, ORDERS, PATHS, ROUTE, SERVICE, plan_of, regions


class TestComparison(TestCase):
    def compare(self, old, new, version=3):
        new = attrs.evolve(new, version=ConfigVersion(version))
        return compare_with_force(old, new, PATHS)

    def summary(self, old, new, version=3):
        found = self.compare(old, new, version)
        return [(each.severity, each.kind, each.field) for each in found]

    def test_same_content(self):
        """Guards against findings about a document that changes nothing."""
        for version in (2, 3):
            self.assertEqual([], self.summary(plan_of(), plan_of(), version))

    def test_version_that_is_not_newer(self):
        """Guards against a change that all nodes ignore without an error."""
        changed = plan_of(body_bytes=64 * 1024 * 1024 - 1)
        error = (Severity.ERROR, FindingKind.VERSION_NOT_NEWER, "version")
        for version in (1, 2):
            self.assertIn(error, self.summary(plan_of(), changed, version))
        self.assertEqual([error], self.summary(plan_of(), plan_of(), 1))
        self.assertNotIn(error, self.summary(plan_of(), changed, 3))

    def test_items_that_come_and_go(self):
        """Guards against a removed route, service or tenant that nobody notices."""
        route = attrs.evolve(ROUTE, route_id=RouteId("new"), prefix="/new/")
        service = attrs.evolve(SERVICE, service_id=ORDERS)
        organisation = attrs.evolve(ACME, organisation_id=OrganisationId("beta"), keys=("two",))
        more = plan_of((ROUTE, route), (SERVICE, service), (ACME, organisation))
        fields = ["routes.new", "services.orders", "tenants.beta"]
        expected = [(Severity.NOTICE, FindingKind.ADDED, field) for field in fields]
        self.assertEqual(expected, self.summary(plan_of(), more))
        expected = [(Severity.WARNING, FindingKind.REMOVED, field) for field in fields]
        self.assertEqual(expected, self.summary(more, plan_of()))

    def test_requests_of_a_removed_route(self):
        """Guards against a wrong statement of where the requests of a removed route go."""
        wide = attrs.evolve(ROUTE, route_id=RouteId("wide"), prefix="/")
        (found,) = self.compare(plan_of((ROUTE, wide)), plan_of((wide,)))
        self.assertIn("route wide gets the requests", found.expected)
        (found,) = self.compare(plan_of((ROUTE, wide)), plan_of((ROUTE,)))
        self.assertIn("404", found.expected)

    def test_requests_that_an_added_route_takes(self):
        """Guards against a new route with a longer prefix that moves requests unnoticed."""
        wide = attrs.evolve(ROUTE, route_id=RouteId("wide"), prefix="/")
        (found,) = self.compare(plan_of((wide,)), plan_of((wide, ROUTE)))
        self.assertEqual(Severity.NOTICE, found.severity)
        self.assertIn("from route wide", found.expected)
        other = attrs.evolve(ROUTE, service_weights=(WeightedService(ORDERS, 1.0),))
        (found,) = self.compare(plan_of((wide,)), plan_of((wide, other)))
        self.assertEqual(Severity.WARNING, found.severity)

    def test_renamed_route(self):
        """Guards against a change of name, which callers do not notice, shown as a removal."""
        renamed = attrs.evolve(ROUTE, route_id=RouteId("store"))
        self.assertEqual([], self.summary(plan_of(), plan_of((renamed,))))

    def test_moved_route(self):
        """Guards against requests that go to another service or place unnoticed."""
        parts = (WeightedService(ServiceId("orders"), 1.0),)
        moved = attrs.evolve(ROUTE, service_weights=parts)
        expected = [(Severity.WARNING, FindingKind.CHANGED, "routes.stock.parts")]
        self.assertEqual(expected, self.summary(plan_of(), plan_of((moved,))))
        moved = attrs.evolve(ROUTE, host="other.example")
        expected = [(Severity.WARNING, FindingKind.REMOVED, "routes.stock")]
        self.assertEqual(expected, self.summary(plan_of(), plan_of((moved,))))

    def test_keys(self):
        """Guards against a withdrawn key that nobody notices, and against keys in the output."""
        changed = attrs.evolve(ACME, keys=("secret",))
        found = self.compare(plan_of(), plan_of(organisations=(changed,)))
        self.assertEqual(
            [FindingKind.REMOVED, FindingKind.ADDED], [finding.kind for finding in found]
        )
        self.assertNotIn("secret", "".join(map(str, found)))
        other = attrs.evolve(ACME, organisation_id=OrganisationId("beta"))
        new = plan_of(organisations=(attrs.evolve(ACME, keys=()), other))
        (withdrawn,) = [
            each for each in self.compare(plan_of(), new) if each.kind is FindingKind.REMOVED
        ]
        self.assertIn("count for tenant beta", withdrawn.expected)
        self.assertIn("no key left", withdrawn.expected)

    def compare_item(self, section, before, after):
        position = ("routes", "services", "organisations").index(section)
        usual = [(ROUTE,), (SERVICE,), (ACME,)]
        plans = []
        for changes in (before, after):
            items = list(usual)
            items[position] = (attrs.evolve(usual[position][0], **changes),)
            plans.append(plan_of(*items))
        ((severity, kind, _),) = self.summary(*plans)
        return severity, kind

    def test_lowered_limits(self):
        """Guards against a limit that is lowered unnoticed, where 0 or none is no limit."""
        lowered = (Severity.WARNING, FindingKind.LOWERED)
        raised = (Severity.NOTICE, FindingKind.CHANGED)
        for section, attribute, high, low in (
            ("routes", "timeout_ms", 2_000.0, 1_000.0),
            ("routes", "timeout_ms", None, 1_000.0),
            ("routes", "max_attempts", 3, 1),
            ("routes", "priority", 0, 1),
            ("routes", "allowed_regions", None, regions("north")),
            ("routes", "allowed_regions", regions("a", "b"), regions("a")),
            ("services", "warm_up_per_s", 0.0, 6.0),
            ("organisations", "rate_per_s", 40.0, 20.0),
            ("organisations", "rate_per_s", 0.0, 20.0),
            ("organisations", "burst", 8.0, 0.0),
        ):
            before, after = {attribute: high}, {attribute: low}
            self.assertEqual(lowered, self.compare_item(section, before, after), attribute)
            self.assertEqual(raised, self.compare_item(section, after, before), attribute)

    def test_lowered_limits_of_callers(self):
        """Guards against callers that are refused after a change of the common limits."""
        low, high = plan_of(body_bytes=10), plan_of(body_bytes=20)
        field = "limits.body_bytes"
        self.assertEqual([(Severity.WARNING, FindingKind.LOWERED, field)], self.summary(high, low))
        self.assertEqual([(Severity.NOTICE, FindingKind.CHANGED, field)], self.summary(low, high))

    def test_routes_that_are_opened(self):
        """Guards against a route that needs no key any more, or whose requests may run twice."""
        opened = (Severity.WARNING, FindingKind.OPENED)
        before, after = {"open_to_all": False}, {"open_to_all": True}
        self.assertEqual(opened, self.compare_item("routes", before, after))
        before, after = {"kind": RequestKind.UPLOAD}, {"kind": RequestKind.IDEMPOTENT}
        self.assertEqual(opened, self.compare_item("routes", before, after))
