from gentianthread.ids import (
    AvailabilityZoneId,
    OrganisationId,
    RouteId,
    ServiceId,
    UpstreamId,
)
from gentianthread.state.directory import UpstreamEntry
from gentianthread.state.fleet_plan import (
    OWN_REGION_ONLY,
    FleetOrganisation,
    HostRoute,
    RequestKind,
)
from gentianthread.state.placement import (
    BoundRuns,
    Placement,
    combine_regions,
    decode_regions,
    encode_regions,
)

from ..base import TestCase

REGIONS = {"a": "north", "b": "north", "c": "south"}
NORTH, SOUTH = frozenset(["north"]), frozenset(["south"])
BOTH = NORTH | SOUTH


def route(regions=None):
    return HostRoute(RouteId("r"), "h", "/", RequestKind.IDEMPOTENT, (), allowed_regions=regions)


def organisation(regions=None):
    return FleetOrganisation(OrganisationId("acme"), (), allowed_regions=regions)


class TestPlacement(TestCase):
    def setUp(self):
        super().setUp()
        self.regions = dict(REGIONS)
        self.placement = Placement(lambda: self.regions, AvailabilityZoneId("a"))
        # The settings name no region for the last zone.
        self.upstreams = tuple(
            UpstreamEntry(
                UpstreamId(f"in-{zone}"), ServiceId("s"), "h", 1, AvailabilityZoneId(zone), 1
            )
            for zone in "abcd"
        )

    def allowed(self, of_route=None, of_organisation=None):
        upstreams = self.placement.allowed(
            self.upstreams, route(of_route), organisation(of_organisation)
        )
        return [upstream.availability_zone for upstream in upstreams]

    def test_without_a_list_all_upstreams_are_allowed(self):
        """Guards against a fleet without regions in its settings that serves nothing."""
        self.assertEqual(["a", "b", "c", "d"], self.allowed())
        self.assertIs(
            self.upstreams, self.placement.allowed(self.upstreams, route(), organisation())
        )

    def test_both_lists_are_binding(self):
        """Guards against a body in a region that one of the lists does not contain."""
        self.assertEqual(["a", "b"], self.allowed(of_route=NORTH))
        self.assertEqual(["c"], self.allowed(of_organisation=SOUTH))
        self.assertEqual(["c"], self.allowed(of_route=BOTH, of_organisation=SOUTH))
        self.assertEqual([], self.allowed(of_route=NORTH, of_organisation=SOUTH))
        self.assertEqual([], self.allowed(of_route=frozenset(["nowhere"])))

    def test_zone_without_a_region_is_not_allowed(self):
        """Guards against a body in a zone of which nothing is known."""
        self.assertNotIn("d", self.allowed(of_route=BOTH))
        self.regions = {}
        self.assertEqual([], self.allowed(of_route=BOTH))

    def test_unreadable_list_means_the_own_region(self):
        """Guards against a list with a mistake that allows all regions."""
        self.assertEqual(["a", "b"], self.allowed(of_route=OWN_REGION_ONLY))
        self.assertEqual([], self.allowed(of_route=OWN_REGION_ONLY, of_organisation=SOUTH))
        del self.regions["a"]
        self.assertEqual([], self.allowed(of_route=OWN_REGION_ONLY))

    def test_regions_of_the_calling_run_are_binding_too(self):
        """Guards against a call that takes the data of its run elsewhere."""
        self.assertEqual(NORTH, self.placement.regions_for(route(), None, NORTH))
        self.assertEqual(NORTH, self.placement.regions_for(route(BOTH), None, NORTH))
        self.assertEqual(frozenset(), self.placement.regions_for(route(SOUTH), None, NORTH))

    def test_regions_pass_messages_unchanged(self):
        """Guards against a list that another node reads as no list."""
        for regions in (None, NORTH, BOTH, frozenset(["a,b", "Βορράς"])):
            self.assertEqual(regions, decode_regions(encode_regions(regions)))

    def test_lists_are_combined(self):
        """Guards against a list that is lost beside none."""
        self.assertIsNone(combine_regions(None, None))
        self.assertEqual(NORTH, combine_regions(None, NORTH))
        self.assertEqual(NORTH, combine_regions(NORTH, None))
        self.assertEqual(NORTH, combine_regions(BOTH, NORTH))


class TestBoundRuns(TestCase):
    def setUp(self):
        super().setUp()
        self.runs = BoundRuns()
        self.north, self.both = encode_regions(NORTH), encode_regions(BOTH)

    def test_calls_keep_to_the_regions_of_all_runs(self):
        """Guards against a call of a bound run that is taken for one of another run."""
        self.assertIsNone(self.runs.regions(0))
        self.runs.start("")
        self.assertIsNone(self.runs.regions(0))
        for regions in (self.both, self.north, self.north):
            self.runs.start(regions)
        self.assertEqual(NORTH, self.runs.regions(0))
        self.runs.end(self.north)
        self.assertEqual(NORTH, self.runs.regions(0))
        self.runs.end(self.north)
        self.assertEqual(BOTH, self.runs.regions(0))
        self.runs.end(self.both)
        self.runs.end("")
        self.assertIsNone(self.runs.regions(0))

    def test_run_without_an_answer_binds_until_its_deadline(self):
        """Guards against calls of a run that its caller no longer waits for."""
        self.runs.start(self.north)
        self.runs.end(self.north, until_ms=500)
        self.assertEqual(NORTH, self.runs.regions(499))
        self.assertIsNone(self.runs.regions(500))

    def test_run_without_an_answer_does_not_bind_for_the_timeout_of_a_day(self):
        """Guards against one cancelled request that binds all calls of a target for hours."""
        self.runs.start(self.north)
        self.runs.end(self.north, 1_000, until_ms=86_400_000)
        self.assertEqual(NORTH, self.runs.regions(10_999))
        self.assertIsNone(self.runs.regions(11_000))

    def test_expired_runs_are_forgotten_without_calls(self):
        """Guards against a table that grows on targets that make no calls."""
        for now_ms in range(0, 1_000_000, 100):
            self.runs.start(self.north)
            self.runs.end(self.north, now_ms, until_ms=now_ms + 500)
        self.assertLess(len(self.runs._lingering), 10)
