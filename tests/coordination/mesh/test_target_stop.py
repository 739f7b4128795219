"""Load: runs that take seconds and reach a node shortly before it ends."""

import attrs

from gentianthread.coordination.mesh.target_stop import END_MARGIN_MS, TargetStop
from gentianthread.protocol.messages_mesh import RunRequest

from ...base import TestCase

REQUEST = RunRequest(
    1, "orders", "orders-0", "", 0, False, False, False, 6_000.0, "r", "POST", "/", "", b"", 1
)
ENDS_AT_MS = 5_000.0


class TestTargetStop(TestCase):
    def setUp(self):
        super().setUp()
        self.stop = TargetStop()

    def record(self, *durations_ms, **changes):
        for took_ms in durations_ms:
            self.stop.record_run(attrs.evolve(REQUEST, **changes), took_ms, 0.0)

    def test_node_that_does_not_stop_takes_every_run(self):
        """Guards against refusals of long runs at a node that goes on."""
        self.record(9_000.0, 9_000.0, 9_000.0)
        self.assertTrue(self.stop.can_end(REQUEST, 0.0))
        self.assertFalse(self.stop.refuses(REQUEST, 0.0))

    def test_run_is_taken_until_its_time_no_longer_fits(self):
        """Guards against a run that is cut off with its calls, and a target that drains early."""
        self.record(2_000.0, 2_000.0, 2_000.0)
        self.stop.ends_at_ms = ENDS_AT_MS
        latest_ms = ENDS_AT_MS - END_MARGIN_MS - 2_000.0
        self.assertTrue(self.stop.can_end(REQUEST, latest_ms))
        self.assertFalse(self.stop.can_end(REQUEST, latest_ms + 1))

    def test_few_long_runs_do_not_withhold_the_target(self):
        """Guards against a service that is deprived of a target for most of a planned stop."""
        self.record(100.0, 100.0, 100.0, 4_900.0, 4_900.0)
        self.stop.ends_at_ms = ENDS_AT_MS
        self.assertTrue(self.stop.can_end(REQUEST, ENDS_AT_MS / 2))

    def test_classes_are_told_apart(self):
        """Guards against short calls that are refused since root requests take long."""
        self.record(4_000.0, 4_000.0, 4_000.0)
        self.record(10.0, 10.0, 10.0, inner=True)
        self.stop.ends_at_ms = ENDS_AT_MS
        self.assertFalse(self.stop.can_end(REQUEST, 2_000.0))
        self.assertTrue(self.stop.can_end(attrs.evolve(REQUEST, inner=True), 2_000.0))

    def test_run_that_ends_at_its_own_time_limit_is_taken(self):
        """Guards against refusals of a run whose target stops it before the node ends."""
        self.record(4_000.0, 4_000.0, 4_000.0)
        self.stop.ends_at_ms = ENDS_AT_MS
        self.assertTrue(self.stop.can_end(attrs.evolve(REQUEST, remaining_ms=500.0), 2_000.0))

    def test_requests_of_the_node_itself_are_never_refused(self):
        """Guards against callers of a leaving node who are turned away from its own target."""
        self.record(9_000.0, 9_000.0, 9_000.0)
        self.stop.ends_at_ms = ENDS_AT_MS
        self.stop.refuse_peers(0.0)
        own = attrs.evolve(REQUEST, call=0)
        self.assertEqual((True, False), (self.stop.can_end(own, 1.0), self.stop.refuses(own, 1.0)))
        self.assertTrue(self.stop.refuses(REQUEST, 1.0))
