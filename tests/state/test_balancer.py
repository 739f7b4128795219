from collections import Counter
from random import Random

from gentianthread.clock import ManualClock
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.state.balancer import Balancer, LoadReport
from gentianthread.state.directory import UpstreamEntry

from ..base import TestCase


def entry(name, zone="a", slots=10):
    return UpstreamEntry(
        UpstreamId(name),
        ServiceId("catalogue"),
        f"host-{name}",
        80,
        AvailabilityZoneId(zone),
        slots,
    )


class TestBalancer(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.balancer = Balancer(AvailabilityZoneId("a"), self.clock.now_ms, Random(1))

    def report(self, name, running, queued=0, service_ms=100.0, limit=10):
        self.balancer.record_sent(UpstreamId(name))
        self.balancer.record_ended(
            UpstreamId(name), LoadReport(running, queued, limit, service_ms, 0.0)
        )

    def chosen(self, pool, times=200, tried=frozenset()):
        names = [self.balancer.choose(pool, set(tried)).upstream_id for _ in range(times)]
        return Counter(names)

    def test_own_zone_comes_first(self):
        """Guards against traffic between zones while the local zone has free slots."""
        self.assertEqual({"near"}, set(self.chosen([entry("near"), entry("far", "b")])))

    def test_full_zone_spills(self):
        """Guards against requests that wait while upstreams in other zones have free slots."""
        self.report("near", 10, 5)
        self.report("far", 0)
        self.assertEqual({"far"}, set(self.chosen([entry("near"), entry("far", "b")])))

    def test_short_wait_stays_in_the_zone(self):
        """Guards against spilling to another zone when the path costs more than the wait."""
        self.report("near", 10, 0, service_ms=20.0)
        self.report("far", 0, service_ms=20.0)
        self.assertEqual({"near"}, set(self.chosen([entry("near"), entry("far", "b")])))

    def test_upstream_that_limits_its_callers_gets_what_it_takes(self):
        """Guards against requests that wait for the limit of a target while others have room."""
        pool = [entry("near"), entry("far", "b")]
        limited = LoadReport(0, 0, 10, 20.0, 0.0, 10.0, 2.0)
        self.balancer.record_sent(UpstreamId("near"))
        self.balancer.record_ended(UpstreamId("near"), limited)
        chosen = []
        for _ in range(90):
            upstream_id = self.balancer.choose(pool, set()).upstream_id
            self.balancer.record_sent(upstream_id)
            self.balancer.record_ended(upstream_id, None)
            chosen.append(upstream_id)
            self.clock.advance_ms(10)
        # Other nodes use what the limit allows after the report, too.
        self.assertEqual(2, chosen.count("near"))

    def test_limited_upstream_without_a_recent_report_is_asked_by_one_request(self):
        """Guards against a burst at a limited target whose last load report has become too old.

        Every node sent all requests of its zone there until the first answer came, and they waited
        for up to two seconds.
        """
        pool = [entry("near"), entry("far", "b")]
        self.balancer.record_sent(UpstreamId("near"))
        self.balancer.record_ended(UpstreamId("near"), LoadReport(0, 0, 10, 20.0, 0.0, 10.0, -5.0))
        self.clock.advance_ms(self.balancer.REPORT_MAX_AGE_MS + 1)
        chosen = []
        for _ in range(20):
            chosen.append(self.balancer.choose(pool, set()).upstream_id)
            self.balancer.record_sent(chosen[-1])
            if chosen[-1] == "far":
                self.balancer.record_ended(chosen[-1], None)
        self.assertEqual(1, chosen.count("near"))

    def test_burst_stays_in_the_zone(self):
        """Guards against expensive traffic between zones because of the short queue of a burst.

        87 requests waited 28 ms at one of three upstreams whose slots were otherwise half empty,
        and 500 calls per second left each of two zones.
        """
        self.report("near", 55, 87, service_ms=18.0, limit=55)
        self.report("far", 20, service_ms=18.0, limit=55)
        pool = [entry("near", slots=58), entry("far", "b", slots=58)]
        self.assertEqual("near", self.balancer.choose(pool, set()).upstream_id)

    def test_faster_upstream_gets_more(self):
        """Guards against an equal load for upstreams that differ in speed."""
        self.report("slow", 3, service_ms=300.0)
        self.report("fast", 3, service_ms=100.0)
        self.report("usual", 3, service_ms=200.0)
        counts = self.chosen([entry("slow"), entry("fast"), entry("usual")], 600)
        self.assertGreater(counts["fast"], counts["usual"])
        self.assertEqual(0, counts["slow"])

    def test_new_upstream_gets_work_beside_fast_ones(self):
        """Guards against a new upstream that gets no work because it has not reported any load."""
        self.report("one", 3, service_ms=2.0)
        self.report("two", 3, service_ms=2.0)
        counts = self.chosen([entry("one"), entry("two"), entry("new")])
        self.assertGreater(counts["new"], 20)

    def test_unreachable_upstream_is_avoided_for_a_while(self):
        """Guards against sending requests repeatedly to a node that is down."""
        self.balancer.record_failure(UpstreamId("near"), unreachable=True)
        pool = [entry("near"), entry("far", "b")]
        self.assertEqual({"far"}, set(self.chosen(pool)))
        self.clock.advance_ms(400.0)
        self.assertEqual({"near"}, set(self.chosen(pool)))

    def test_upstream_that_fails_part_of_its_requests_loses_work(self):
        """Guards against an upstream that passes its health check but fails a third of requests."""
        self.check_failing(service_ms=50.0)

    def test_fast_upstream_that_fails_part_of_its_requests_loses_work(self):
        """Guards against failures that count for less than the cost of another zone."""
        self.check_failing(service_ms=15.0)

    def check_failing(self, service_ms):
        pool = [entry("near"), entry("far", "b")]
        for name in ("near", "far"):
            self.report(name, 1, service_ms=service_ms)
        for number in range(60):
            if number % 3:
                self.balancer.record_success(UpstreamId("near"))
            else:
                self.balancer.record_error_answer(UpstreamId("near"))
            self.balancer.record_success(UpstreamId("far"))
        self.assertEqual({"far"}, set(self.chosen(pool)))
        self.clock.advance_ms(5_000.0)
        self.assertIn("near", self.chosen(pool))

    def test_failure_behind_all_upstreams_moves_nothing(self):
        """Guards against leaving the zone because a service that all upstreams call fails."""
        pool = [entry("near"), entry("far", "b")]
        for _ in range(20):
            for name in ("near", "far"):
                self.balancer.record_error_answer(UpstreamId(name))
        self.assertEqual({"near"}, set(self.chosen(pool)))

    def test_rejections_count_mildly_where_three_figures_are_reported(self):
        """Guards against retry budget spent at a target that rejects 40% of its arrivals.

        Such a target loses its place to equal ones of its zone, but no request leaves the zone, and
        it keeps work that the others of the zone have no room for.
        """
        pool = [entry("near"), entry("next"), entry("far", "b")]
        for name in ("near", "next", "far"):
            self.report(name, 1)
        for number in range(60):
            if number % 5 < 2:
                self.balancer.record_rejection(UpstreamId("near"))
            else:
                self.balancer.record_success(UpstreamId("near"))
        self.assertEqual({"next"}, set(self.chosen(pool)))
        self.assertEqual({"near"}, set(self.chosen(pool, tried={"next"})))
        self.report("next", 12)
        self.assertEqual({"near"}, set(self.chosen(pool)))
        self.report("next", 1)
        self.clock.advance_ms(8_000.0)
        self.assertIn("near", self.chosen(pool))

    def test_rejections_of_all_targets_move_nothing(self):
        """Guards against leaving the zone because all targets of a service reject a part."""
        pool = [entry("near"), entry("far", "b")]
        for _ in range(20):
            for name in ("near", "far"):
                self.balancer.record_rejection(UpstreamId(name))
        self.assertEqual({"near"}, set(self.chosen(pool)))

    def test_service_with_only_failing_upstreams_keeps_them(self):
        """Guards against a service without any usable upstream because all of them fail."""
        self.balancer.record_failure(UpstreamId("near"), unreachable=True)
        self.assertEqual({"near"}, set(self.chosen([entry("near")])))

    def test_tried_upstreams_are_excluded(self):
        """Guards against a retry at the upstream that has just failed."""
        pool = [entry("near"), entry("far", "b")]
        self.assertEqual({"far"}, set(self.chosen(pool, tried={"near"})))
        self.assertIsNone(self.balancer.choose(pool, {"near", "far"}))

    def test_requests_under_way_count_before_the_next_report(self):
        """Guards against a burst that goes to a single upstream because of one old report."""
        self.report("one", 0)
        self.report("two", 0)
        pool = [entry("one"), entry("two")]
        for _ in range(10):
            self.balancer.record_sent(self.balancer.choose(pool, set()).upstream_id)
        shares = [self.balancer.view(entry.upstream_id).outstanding for entry in pool]
        self.assertEqual([5, 5], shares)
