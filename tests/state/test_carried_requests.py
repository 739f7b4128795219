from gentianthread.state.carried_requests import (
    MAX_REMEMBERED,
    RESEND_MARGIN_MS,
    CarriedRequests,
)

from ..base import TestCase

DEADLINE_MS = 1_000.0


class TestCarriedRequests(TestCase):
    def test_request_is_remembered_until_it_cannot_be_sent_again(self):
        """Guards against an id that is forgotten while a second attempt may still come."""
        carried = CarriedRequests()
        last_ms = DEADLINE_MS + RESEND_MARGIN_MS - 1
        carried.add("first", DEADLINE_MS, 0.0)
        for number in range(100):
            carried.add(f"other {number}", last_ms, last_ms)
        self.assertIn("first", carried)
        self.assertNotIn("another", carried)

    def test_expired_requests_are_forgotten(self):
        """Guards against memory that grows with the age of a connection."""
        carried = CarriedRequests()
        for number in range(100_000):
            carried.add(str(number), number + DEADLINE_MS, float(number))
        remembered = sum(str(number) in carried for number in range(100_000))
        self.assertLessEqual(remembered, 2 * (DEADLINE_MS + RESEND_MARGIN_MS) + 1)

    def test_it_is_full_until_requests_expire(self):
        """Guards against a connection that is given up for ids which no longer matter."""
        carried = CarriedRequests()
        for number in range(MAX_REMEMBERED):
            self.assertFalse(carried.is_full(0.0))
            carried.add(str(number), DEADLINE_MS, 0.0)
        self.assertTrue(carried.is_full(0.0))
        self.assertFalse(carried.is_full(DEADLINE_MS + RESEND_MARGIN_MS))
