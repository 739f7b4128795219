from gentianthread.state.bucket import TokenBucket

from ..base import TestCase


class TestTokenBucket(TestCase):
    def test_level_stops_at_the_cap(self):
        """Guards against a larger burst than the published one after an idle time."""
        bucket = TokenBucket(0.0, rate_per_s=10.0, cap=5.0)
        self.assertEqual(5.0, bucket.refill(60_000.0))

    def test_lower_cap_reduces_the_level(self):
        """Guards against tokens of an expired delegation that stay in the bucket."""
        bucket = TokenBucket(0.0, rate_per_s=10.0, cap=10.0)
        bucket.adjust(1_000.0, rate_per_s=5.0, cap=4.0)
        self.assertEqual(4.0, bucket.level)

    def test_new_rate_counts_from_its_change_only(self):
        """Guards against a raised rate that is applied to the time before the change."""
        bucket = TokenBucket(0.0, rate_per_s=1.0, cap=100.0)
        bucket.adjust(1_000.0, rate_per_s=10.0, cap=100.0)
        self.assertEqual(11.0, bucket.refill(2_000.0))

    def test_earlier_time_adds_nothing(self):
        """Guards against refilling for the same period twice."""
        bucket = TokenBucket(1_000.0, rate_per_s=10.0, cap=100.0)
        bucket.refill(2_000.0)
        bucket.refill(1_500.0)
        self.assertEqual(10.0, bucket.refill(2_000.0))

    def test_returned_tokens_respect_tokens_outside(self):
        """Guards against a return that raises level and outstanding tokens above the cap."""
        bucket = TokenBucket(0.0, rate_per_s=0.0, cap=10.0)
        bucket.put_back(8.0, reserved=5.0)
        self.assertEqual(5.0, bucket.level)
