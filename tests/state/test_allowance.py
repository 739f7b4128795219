from gentianthread.state.allowance import Allowance, RetryBudget

from ..base import TestCase


class TestAllowance(TestCase):
    def test_lost_answer_counts_as_used(self):
        """Guards against retries that exceed the limit when answers are lost."""
        allowance = Allowance(3)
        lent = allowance.lend()
        allowance.settle(lent, None)
        self.assertEqual((2, 1, 2), (lent, allowance.remaining, allowance.used))

    def test_unused_attempts_are_returned(self):
        """Guards against an allowance that shrinks although nothing was retried."""
        allowance = Allowance(3)
        allowance.settle(allowance.lend(), 0)
        self.assertEqual(3, allowance.remaining)

    def test_reported_use_is_capped_at_the_lent_attempts(self):
        """Guards against a peer that reports more attempts than it was lent."""
        allowance = Allowance(4)
        allowance.settle(allowance.lend(), 99)
        self.assertEqual((2, 2), (allowance.remaining, allowance.used))

    def test_spending_is_limited(self):
        """Guards against an unlimited number of attempts."""
        allowance = Allowance(2)
        self.assertEqual([True, True, False], [allowance.spend() for _ in range(3)])


class TestRetryBudget(TestCase):
    def test_retries_stop_without_first_attempts(self):
        """Guards against retries that keep a service overloaded."""
        budget = RetryBudget(0.1)
        granted = sum(budget.take() for _ in range(1000))
        self.assertEqual(RetryBudget.INITIAL_BALANCE, granted)
