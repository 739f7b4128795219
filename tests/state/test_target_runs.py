from types import SimpleNamespace

from gentianthread.ids import ServiceId
from gentianthread.state.target_runs import (
    LEAF_RUNS,
    MAX_DEPTH,
    MAX_LINGER_MS,
    REASON_CALL_REFUSED,
    LeafServices,
    TargetRuns,
)

from ..base import TestCase

PRICING = ServiceId("pricing")


def request(request_id="r1", remaining_ms=500.0, repeated=True, depth=0):
    return SimpleNamespace(
        request_id=request_id, remaining_ms=remaining_ms, repeated=repeated, depth=depth
    )


class TestTargetRuns(TestCase):
    def setUp(self):
        super().setUp()
        self.runs = TargetRuns()

    def test_calls_count_as_inherited_while_a_repeated_run_is_under_way(self):
        """Guards against calls of repeated runs that no retry budget counts."""
        self.runs.begin(request("r1", repeated=False), 0.0)
        self.assertFalse(self.runs.repeated_under_way(1.0))
        self.runs.begin(request("r2"), 1.0)
        self.runs.begin(request("r3"), 1.0)
        self.runs.end("r2", 200)
        self.assertTrue(self.runs.repeated_under_way(2.0))
        self.runs.end("r3", 200)
        self.assertFalse(self.runs.repeated_under_way(2.0))

    def test_repeated_run_without_an_answer_counts_until_its_time_is_over(self):
        """Guards against uncounted calls of a run whose connection failed while it went on."""
        self.runs.begin(request("r1"), 0.0)
        self.assertTrue(self.runs.repeated_under_way(499.0))
        self.assertFalse(self.runs.repeated_under_way(500.0))

    def test_run_without_a_timeout_counts_for_a_bounded_time(self):
        """Guards against a node that counts all its calls as inherited for a day."""
        self.runs.begin(request("r1", remaining_ms=86_400_000.0), 0.0)
        self.assertFalse(self.runs.repeated_under_way(MAX_LINGER_MS))

    def test_lost_runs_are_forgotten_without_calls(self):
        """Guards against a table that grows on targets that make no calls."""
        for number in range(10_000):
            self.runs.begin(request(f"r{number}"), number * 100.0)
        self.assertLess(len(self.runs._repeated), 10)

    def test_depth_of_services_that_call_each_other_is_bounded(self):
        """Guards against a depth that rises with each call of a cycle."""
        for _ in range(100):
            self.runs.begin(request(depth=self.runs.depth + 1), 0.0)
        self.assertEqual(MAX_DEPTH, self.runs.depth)

    def test_end_of_one_attempt_leaves_a_lost_one_of_the_same_request_under_way(self):
        """Guards against uncounted calls of a lost attempt after a second one was answered."""
        self.runs.begin(request("r1"), 0.0)
        self.runs.begin(request("r1"), 10.0)
        self.runs.end("r1", 200)
        self.assertTrue(self.runs.repeated_under_way(20.0))

    def test_errors_are_attributed_to_calls_refused_during_the_run(self):
        """Guards against repeats of runs whose calls the services behind turn down."""
        self.runs.record_refused_call(50.0)
        self.assertEqual(REASON_CALL_REFUSED, self.runs.error_reason(500, 40.0))
        self.assertEqual("", self.runs.error_reason(500, 60.0))
        self.assertEqual("", self.runs.error_reason(404, 40.0))

    def test_new_target_does_not_tell_whether_it_makes_calls(self):
        """Guards against the whole retry budget for runs that repeat their calls."""
        for number in range(LEAF_RUNS - 1):
            self.runs.end(f"r{number}", 200)
        self.runs.end("error", 500)
        self.runs.end("rejected")
        self.assertIsNone(self.runs.makes_calls)
        self.runs.end("last", 200)
        self.assertIs(False, self.runs.makes_calls)
        self.runs.record_call(PRICING)
        self.assertIs(True, self.runs.makes_calls)

    def test_depth_is_that_of_the_deepest_run(self):
        """Guards against a budget for calls that leaves out a service above them."""
        self.runs.begin(request(depth=2, repeated=False), 0.0)
        self.runs.begin(request(depth=0, repeated=False), 0.0)
        self.assertEqual(2, self.runs.depth)


class TestLeafServices(TestCase):
    def test_service_that_makes_calls_anywhere_is_no_leaf(self):
        """Guards against the whole retry budget for a service with rare calls."""
        services = LeafServices()
        self.assertFalse(services.is_leaf(PRICING))
        services.record(PRICING, None)
        self.assertFalse(services.is_leaf(PRICING))
        services.record(PRICING, False)
        self.assertTrue(services.is_leaf(PRICING))
        services.record(PRICING, True)
        services.record(PRICING, False)
        self.assertFalse(services.is_leaf(PRICING))
