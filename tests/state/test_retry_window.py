from gentianthread.state.retry_window import RetryWindow

from ..base import TestCase


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
