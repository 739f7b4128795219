from gentianthread.state.idle_limit import HOLD_MS, MAX_RESET_DELAY_MS, MIN_IDLE_MS, IdleLimit

from ..base import TestCase

TARGET_IDLE_TIMEOUT_MS = 271.0
INTERVAL_MS = 300.0


class TestIdleLimit(TestCase):
    def count_losses(self, limit, requests):
        """Send requests to a target that drops idle connections; return how many are lost."""
        lost = 0
        for number in range(requests):
            now_ms = number * INTERVAL_MS
            if limit.limit_ms(now_ms) >= INTERVAL_MS and INTERVAL_MS > TARGET_IDLE_TIMEOUT_MS:
                lost += 1
                limit.record_loss(INTERVAL_MS, 0.3, now_ms)
        return lost

    def test_target_that_drops_connections_costs_one_request(self):
        """Guards against a reset of every request at a target that drops idle connections.

        Each reset would use up the retry budget, and orders would end without an outcome.
        """
        self.assertEqual(1, self.count_losses(IdleLimit(), 30))

    def test_limit_expires_after_the_last_loss(self):
        """Guards against never reusing idle connections again after one reset."""
        limit = IdleLimit()
        limit.record_loss(1_000.0, 0.3, 0.0)
        self.assertLess(limit.limit_ms(HOLD_MS - 1), 1_000.0)
        self.assertEqual(float("inf"), limit.limit_ms(HOLD_MS))

    def test_crash_and_lost_answer_set_no_limit(self):
        """Guards against many new connections after failures that have other causes."""
        limit = IdleLimit()
        limit.record_loss(MIN_IDLE_MS - 1, 0.3, 0.0)
        limit.record_loss(1_000.0, MAX_RESET_DELAY_MS + 1, 0.0)
        self.assertEqual(float("inf"), limit.limit_ms(1.0))
