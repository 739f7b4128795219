from gentianthread.ids import ConfigVersion, OrganisationId, RouteId, ServiceId
from gentianthread.state.fleet_plan import (
    FleetOrganisation,
    FleetPlan,
    HostRoute,
    RequestKind,
    WeightedService,
)

from ..base import TestCase


def route(name, host, prefix, kind=RequestKind.IDEMPOTENT):
    return HostRoute(
        RouteId(name), host, prefix, kind, (WeightedService(ServiceId("catalogue"), 1.0),)
    )


class TestFleetPlan(TestCase):
    def setUp(self):
        super().setUp()
        routes = [
            route("all", "shop.example", "/"),
            route("stock", "shop.example", "/stock/"),
            route("deep", "shop.example", "/stock/deep/"),
            route("other", "other.example", "/stock/"),
        ]
        acme = FleetOrganisation(OrganisationId("acme"), ("one", "two"))
        self.plan = FleetPlan(
            ConfigVersion(3),
            {each.route_id: each for each in routes},
            {},
            {acme.organisation_id: acme},
        )

    def match(self, host, path):
        matched = self.plan.match(host, path)
        return None if matched is None else matched.route_id

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a request that is handled by a shorter prefix or another host's route."""
        self.assertEqual("deep", self.match("shop.example", "/stock/deep/1"))
        self.assertEqual("stock", self.match("shop.example", "/stock/deep"))
        self.assertEqual("all", self.match("shop.example", "/else"))
        self.assertEqual("other", self.match("other.example", "/stock/1"))

    def test_host_is_compared_without_case_and_port(self):
        """Guards against a 404 for a Host header with capital letters or a port."""
        self.assertEqual("stock", self.match("SHOP.example:8080", "/stock/1"))

    def test_unknown_host_and_path_match_nothing(self):
        """Guards against a request that runs although no route matches it."""
        self.assertIsNone(self.match("none.example", "/stock/1"))
        self.assertIsNone(self.match("other.example", "/else"))

    def test_key_belongs_to_its_organisation(self):
        """Guards against an organisation of which only the first key works."""
        self.assertEqual("acme", self.plan.organisation_of_key("two").organisation_id)
        self.assertIsNone(self.plan.organisation_of_key("three"))

    def test_only_idempotent_kinds_may_repeat(self):
        """Guards against repeated non-idempotent requests and against downloads without retries."""
        kinds = {kind: route("x", "h", "/", kind).repeatable for kind in RequestKind}
        self.assertEqual(
            {
                RequestKind.IDEMPOTENT: True,
                RequestKind.NON_IDEMPOTENT: False,
                RequestKind.DOWNLOAD: True,
                RequestKind.UPLOAD: False,
            },
            kinds,
        )
