import copy

from gentianthread.state.retry_window import (
    FULL_SHARE,
    OWN_SHARE,
    SLACK_SHARE,
    FleetBudget,
    RetryWindow,
)

from ..base import TestCase
from .retry_budget_model import (
    DEEP_REJECTIONS,
    SCENARIOS,
    EarlierRules,
    Model,
    Rules,
    WholeRatioRules,
)


class TestRetryWindow(TestCase):
    def test_retries_stay_below_ratio_and_slack(self):
        """Guards against retries that multiply the load of a failing service."""
        window = RetryWindow(0.1, 2, 10_000)
        retries = 0
        for step in range(1_000):
            window.record_request(step * 5.0)
            if window.allows(step * 5.0):
                window.record_retry(step * 5.0)
                retries += 1
        self.assertEqual(102, retries)

    def test_old_requests_stop_counting(self):
        """Guards against retries that are allowed because of requests before the window."""
        window = RetryWindow(0.1, 0, 10_000)
        for _ in range(100):
            window.record_request(0.0)
        self.assertTrue(window.allows(9_000.0))
        self.assertFalse(window.allows(10_600.0))

    def test_retries_count_for_a_whole_window(self):
        """Guards against exceeding the limit of retries in a sliding window."""
        window = RetryWindow(0.0, 1, 10_000)
        window.record_retry(499.0)
        self.assertFalse(window.allows(10_400.0))
        self.assertTrue(window.allows(11_100.0))

    def test_inherited_repeats_leave_less_for_own_ones(self):
        """Guards against services that get the calls of repeated runs in addition to the budget."""
        window = RetryWindow(0.0, 0.0, 10_000)
        window.configure(FleetBudget(0.2, 0.0, 10_000.0, 1))
        for _ in range(900):
            window.record_request(0.0)
        for _ in range(100):
            window.record_inherited(0.0)
        # What is left of the ratio, or what the services above cannot use up at their own ratios.
        for leaf_depth, share in (
            (None, OWN_SHARE),
            (0, FULL_SHARE),
            (1, FULL_SHARE - OWN_SHARE),
            (4, OWN_SHARE),
        ):
            expected = int(1_000 * 0.2 * share)
            if leaf_depth is not None:
                expected = max(expected, int(900 * 0.2 * FULL_SHARE) - 100)
            self.assertEqual(expected, self.repeats_allowed(window, leaf_depth), leaf_depth)

    def test_calls_of_a_target_may_use_the_whole_ratio_if_nothing_is_inherited(self):
        """Guards against a budget for calls that is left unused while runs end without a result."""
        window = RetryWindow(0.0, 0.0, 10_000)
        window.configure(FleetBudget(0.2, 0.0, 10_000.0, 1))
        for _ in range(1_000):
            window.record_request(0.0)
        self.assertEqual(190, self.repeats_allowed(window, 3))

    def repeats_allowed(self, window, leaf_depth):
        window = copy.deepcopy(window)
        repeats = 0
        while window.allows(0.0, leaf_depth):
            window.record_retry(0.0)
            repeats += 1
        return repeats

    def test_slack_is_divided_between_the_nodes(self):
        """Guards against nodes that each use the slack of all of them."""
        window = RetryWindow(0.0, 0.0, 10_000)
        window.configure(FleetBudget(0.2, 80.0, 10_000.0, 10))
        self.assertEqual(80 * SLACK_SHARE / 10, self.repeats_allowed(window, None))


class TestRetryBudget(TestCase):
    def test_no_window_at_any_service_gets_more_repeats_than_allowed(self):
        """Guards against repeats that multiply along the call graph.

        Repeats are counted by the true lineage, over all nodes, in windows that start every 50 ms.
        With the whole ratio at each node, a service got up to four times what is allowed.
        """
        for name, scenario in SCENARIOS.items():
            for seed in range(3):
                model = Model(scenario, Rules(), seed).play(30.0)
                self.assertLess(model.worst_use(), 1.0, (name, seed))

    def test_model_finds_repeats_that_exceed_the_budget(self):
        """Guards against a model that cannot show a broken limit."""
        model = Model(SCENARIOS["some rejections"], WholeRatioRules(), 1).play(30.0)
        self.assertGreater(model.worst_use(), 1.5)

    def test_budget_completes_runs_whose_calls_are_rejected_at_random(self):
        """Guards against a budget that is spent on runs that it does not complete.

        A third of the runs at the services above a deep one ended without a result.
        """
        completed = {}
        for rules in (EarlierRules, Rules):
            models = [Model(DEEP_REJECTIONS, rules(), seed).play(30.0) for seed in range(3)]
            completed[rules] = sum(model.completed for model in models) / sum(
                model.roots for model in models
            )
        self.assertGreater(completed[Rules], completed[EarlierRules] + 0.1)
