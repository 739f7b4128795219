from hypothesis import given
from hypothesis import strategies as st

from gentianthread.ids import Priority
from gentianthread.state.fairness import (
    MAX_CUT_FRACTION,
    FairScheduler,
    threshold_for_share,
    weighted_max_min,
)
from gentianthread.state.shed_levels import DEPTH_STEPS

from ..base import TestCase

demands = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0, 1000), min_size=1)
weights = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.1, 10))


class TestWeightedMaxMin(TestCase):
    def test_small_users_are_satisfied_first(self):
        """Guards against a large organisation that reduces the share of a small one."""
        shares = weighted_max_min(100, {"a": 10, "b": 300, "c": 300}, {"b": 2})
        self.assertEqual({"a": 10, "b": 60, "c": 30}, shares)

    @given(st.floats(0, 2000), demands, weights)
    def test_shares_use_the_capacity_and_no_more(self, capacity, asked, weight):
        """Guards against capacity that is lost or assigned twice."""
        shares = weighted_max_min(capacity, asked, weight)
        self.assertAlmostEqual(min(capacity, sum(asked.values())), sum(shares.values()), places=3)
        self.assertTrue(all(shares[name] <= asked[name] for name in asked))

    @given(st.floats(0, 2000), demands, weights)
    def test_no_unsatisfied_user_has_less_per_weight(self, capacity, asked, weight):
        """Guards against an organisation that is served worse than another one for its weight."""
        shares = weighted_max_min(capacity, asked, weight)
        per_weight = {name: shares[name] / weight.get(name, 1.0) for name in asked}
        for name in asked:
            if shares[name] < asked[name] - 1e-6:
                self.assertGreaterEqual(per_weight[name] + 1e-3, max(per_weight.values()))


class TestCutForShare(TestCase):
    def test_share_is_used_for_the_highest_ranks(self):
        """Guards against important work that is shed before background work."""
        important, normal = Priority.IMPORTANT * DEPTH_STEPS, Priority.NORMAL * DEPTH_STEPS
        self.assertAlmostEqual(
            1 + 0.75 / DEPTH_STEPS, threshold_for_share(20, {important: 10, normal: 40})
        )

    def test_top_class_is_bounded_by_the_share(self):
        """Guards against abuse of the top class that starves the lower classes for ever."""
        critical = Priority.CRITICAL * DEPTH_STEPS
        self.assertAlmostEqual(3 + 0.9 / DEPTH_STEPS, threshold_for_share(10, {critical: 100}))

    def test_satisfied_demand_is_not_cut(self):
        """Guards against shedding requests although the share covers the demand."""
        self.assertEqual(0.0, threshold_for_share(10, {32: 10}))

    def test_a_sample_is_always_admitted(self):
        """Guards against a rank step whose demand can never be measured again."""
        self.assertAlmostEqual(
            (32 + MAX_CUT_FRACTION) / DEPTH_STEPS, threshold_for_share(0, {32: 10})
        )


class TestFairTurns(TestCase):
    def test_turns_follow_the_weights(self):
        """Guards against a queue that serves organisations by how much they send."""
        turns = FairScheduler()
        served = {"a": 0, "b": 0}
        for _ in range(300):
            name = min(served, key=lambda name: (turns.start_time(name), name))
            turns.charge(name, {"a": 2.0, "b": 1.0}[name])
            served[name] += 1
        self.assertAlmostEqual(200, served["a"], delta=2)

    def test_idle_time_gives_no_credit(self):
        """Guards against an organisation that collects credit and then blocks the others."""
        turns = FairScheduler()
        for _ in range(100):
            turns.charge("a", 1.0)
        turns.charge("b", 1.0)
        self.assertLess(abs(turns.start_time("a") - turns.start_time("b")), 2)
