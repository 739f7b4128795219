from gentianthread.state.zone_transfer import ZoneOutlook, ZoneTransfer

from ..base import TestCase

NEAR = ZoneOutlook(0.0, 8.0)


class TestZoneTransfer(TestCase):
    def setUp(self):
        super().setUp()
        self.transfer = ZoneTransfer()
        self.now_ms = 0.0
        self.changes = []

    def play(self, wait_ms, outlook=NEAR, duration_ms=3_000.0):
        """Let requests wait for a time in the own zone, and return the shares."""
        shares = []
        for _ in range(int(duration_ms / 100)):
            self.now_ms += 100.0
            self.transfer.record_wait(wait_ms)
            if self.transfer.observe(outlook, self.now_ms):
                self.changes.append(self.transfer.active)
            shares.append(self.transfer.share_elsewhere(self.now_ms))
        return shares

    def test_share_rises_while_sending_pays_and_falls_afterwards(self):
        """Guards against a zone that stays full beside one with free slots."""
        self.assertGreater(self.play(60.0)[-1], 0.5)
        self.assertEqual(0.0, self.play(0.0, duration_ms=6_000.0)[-1])
        self.assertEqual([True, False], self.changes)

    def test_short_burst_moves_little(self):
        """Guards against traffic between zones because of a burst of 200 ms."""
        self.assertLess(max(self.play(60.0, duration_ms=200.0) + self.play(0.0)), 0.2)

    def test_share_stays_between_cost_and_margin(self):
        """Guards against a share that rises and falls in turn where the gain is near the cost."""
        self.play(60.0, duration_ms=800.0)
        shares = self.play(10.0)
        self.assertEqual(shares[-1], shares[-10])
        self.assertGreater(shares[-1], 0)

    def test_slow_link_ends_the_transfer(self):
        """Guards against requests over a link whose delay has risen to 40 ms."""
        self.play(30.0)
        self.assertEqual(0.0, self.play(30.0, ZoneOutlook(0.0, 85.0), 6_000.0)[-1])

    def test_full_zones_keep_their_requests(self):
        """Guards against two full zones that send requests to each other."""
        self.assertEqual({0.0}, set(self.play(60.0, ZoneOutlook(55.0, 8.0))))

    def test_no_targets_elsewhere(self):
        """Guards against a share for zones that are excluded or have no targets any more."""
        self.play(60.0)
        shares = self.play(60.0, None)
        self.assertEqual({0.0}, set(shares[9:]))
        self.assertEqual([True, False], self.changes)

    def test_requests_bound_to_one_zone_leave_the_share_of_the_others(self):
        """Guards against a share that is reset by requests that may run in one zone only."""
        for _ in range(30):
            self.play(60.0, duration_ms=100.0)
            share = self.play(60.0, None, 100.0)[-1]
        self.assertGreater(share, 0.5)

    def test_share_is_forgotten_without_updates(self):
        """Guards against a share that was right before a pause."""
        self.play(60.0)
        self.assertEqual(0.0, self.transfer.share_elsewhere(self.now_ms + 5_000.0))
