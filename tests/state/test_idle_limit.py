from gentianthread.state.idle_limit import AT_ONCE_MS, HOLD_MS, MIN_IDLE_MS, IdleLimit

from ..base import TestCase

FORGOTTEN_MS = 271.0
EVERY_MS = 300.0


class TestIdleLimit(TestCase):
    def play(self, limit, requests):
        """Send requests to a target that forgets idle connections; return how many are lost."""
        lost = 0
        for number in range(requests):
            now_ms = number * EVERY_MS
            if limit.limit_ms(now_ms) >= EVERY_MS and EVERY_MS > FORGOTTEN_MS:
                lost += 1
                limit.record_loss(EVERY_MS, 0.3, now_ms)
        return lost

    def test_target_that_forgets_connections_costs_one_request(self):
        """Guards against every request being reset at a target that forgets idle connections.

        Each one would draw on the retry budget, and orders would end without an outcome.
        """
        self.assertEqual(1, self.play(IdleLimit(), 30))

    def test_limit_ends_some_time_after_the_last_loss(self):
        """Guards against new connections for ever after one reset."""
        limit = IdleLimit()
        limit.record_loss(1_000.0, 0.3, 0.0)
        self.assertLess(limit.limit_ms(HOLD_MS - 1), 1_000.0)
        self.assertEqual(float("inf"), limit.limit_ms(HOLD_MS))

    def test_crash_and_lost_answer_teach_nothing(self):
        """Guards against a storm of connections after failures that have other causes."""
        limit = IdleLimit()
        limit.record_loss(MIN_IDLE_MS - 1, 0.3, 0.0)
        limit.record_loss(1_000.0, AT_ONCE_MS + 1, 0.0)
        self.assertEqual(float("inf"), limit.limit_ms(1.0))
