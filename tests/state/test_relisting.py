from gentianthread.coordination.mesh.follower import (
    BACKOFF_RANGE_MS,
    BATCH_DELAY_MS,
    MAINTENANCE_INTERVAL_MS,
)
from gentianthread.platform.store import CONNECT_TIMEOUT_MS
from gentianthread.state.relisting import (
    DRAIN_LIMIT_MS,
    FAILURE_LAG_MS,
    LATE_LAPSE_MS,
    MERGE_TOLERANCE_MS,
    RELIST_RANGE_MS,
    RETURN_LAG_MS,
    SETTLED_AFTER_MS,
    RelistingPeriod,
    StoreReturn,
)

from ..base import TestCase

# Largest factor that the jitter of a backoff gives.
MAX_JITTER = 1.5

# Three hops between nodes, of which one or two are between zones, and the forwarding of a request.
SPREAD_MS = 200.0


class TestRelistingPeriod(TestCase):
    def setUp(self):
        super().setUp()
        self.period = RelistingPeriod()

    def test_sum_of_the_delays_of_a_removal_is_within_the_bound(self):
        """Guards against delays of several modules that are each small, and too long together."""
        sum_ms = BATCH_DELAY_MS + SPREAD_MS + LATE_LAPSE_MS + MAINTENANCE_INTERVAL_MS
        self.assertLessEqual(sum_ms, DRAIN_LIMIT_MS)

    def test_period_ends_before_removals_from_before_an_outage_bind(self):
        """Guards against a removal before an outage that is still not in force long after it."""
        self.assertLessEqual(BACKOFF_RANGE_MS[1] * MAX_JITTER + CONNECT_TIMEOUT_MS, RETURN_LAG_MS)
        self.assertLessEqual(CONNECT_TIMEOUT_MS, FAILURE_LAG_MS)
        self.assertLessEqual(RETURN_LAG_MS + RELIST_RANGE_MS[0], SETTLED_AFTER_MS)

    def test_period_counts_from_the_last_failed_call(self):
        """Guards against a period that ends later the later a node notices the store's return."""
        self.period.record_failure(1_000)
        self.period.begin(7, 1_300)
        self.assertEqual(1_000 + SETTLED_AFTER_MS - FAILURE_LAG_MS, self.period.end_ms)
        self.period.record_failure(10_000)
        self.period.begin(8, 10_010)
        self.assertEqual(10_010 + RELIST_RANGE_MS[1], self.period.end_ms)

    def test_period_without_a_recent_failed_call_has_the_shorter_length(self):
        """Guards against entries that are dropped at once by a node that rarely calls the store."""
        self.period.record_failure(1_000)
        self.period.begin(7, 9_000)
        self.assertEqual(9_000 + RELIST_RANGE_MS[0], self.period.end_ms)

    def test_removal_after_the_return_stays_only_for_the_late_lapse(self):
        """Guards against an upstream that left after an outage and is kept like a lapsed one."""
        self.period.begin(7, 1_000)
        self.assertEqual(self.period.end_ms, self.period.kept_until_ms(7, 1_100))
        self.assertEqual(1_100 + LATE_LAPSE_MS, self.period.kept_until_ms(8, 1_100))
        end_ms = self.period.end_ms
        self.assertEqual(end_ms, self.period.kept_until_ms(8, end_ms - 10))

    def test_nodes_that_inform_each_other_do_not_prolong_the_period(self):
        """Guards against a period that grows by the way of each message about it."""
        other = RelistingPeriod()
        self.period.begin(7, 1_000)
        end_ms = self.period.end_ms
        for now_ms in range(1_000, int(end_ms), 100):
            other.merge(self.period.describe(now_ms), now_ms + 20)
            self.period.merge(other.describe(now_ms + 20), now_ms + 40)
        self.assertEqual(end_ms, self.period.end_ms)
        self.assertLessEqual(other.end_ms, end_ms + MERGE_TOLERANCE_MS)

    def test_later_period_of_another_node_is_taken_over(self):
        """Guards against entries dropped by nodes that follow others after a second outage."""
        self.period.begin(7, 1_000)
        self.period.merge(StoreReturn(7, 2_000.0), 3_000)
        self.assertEqual(5_000, self.period.end_ms)
        self.period.merge(StoreReturn(9, 0.0), 3_000)
        self.assertEqual(7, self.period.revision)

    def test_failure_within_the_period_prolongs_it(self):
        """Guards against lapsed entries dropped while the store is away again."""
        self.period.begin(7, 1_000)
        self.period.record_failure(2_000)
        self.assertEqual(2_000 + RELIST_RANGE_MS[1], self.period.end_ms)
        end_ms = self.period.end_ms
        self.period.record_failure(end_ms + 10)
        self.assertEqual(end_ms, self.period.end_ms)
