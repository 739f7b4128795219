from gentianthread.ids import AvailabilityZoneId, RegionId
from gentianthread.state.path_delay import PathDelays

from ..base import TestCase

NEAR, FAR = AvailabilityZoneId("near"), AvailabilityZoneId("far")


class TestPathDelays(TestCase):
    def setUp(self):
        super().setUp()
        own = AvailabilityZoneId("own")
        regions = {own: RegionId("north"), NEAR: RegionId("north"), FAR: RegionId("south")}
        self.paths = PathDelays(own, regions)

    def record(self, zone, delays_ms, from_ms=0.0):
        now_ms = from_ms
        for delay_ms in delays_ms:
            self.paths.record(zone, delay_ms, now_ms)
            now_ms += 100.0
        return now_ms

    def test_fastest_exchanges_tell_the_delay(self):
        """Guards against delays that contain waits for the processor or in batches."""
        now_ms = self.record(NEAR, (9.0, 2.8, 30.0, 4.0))
        self.assertEqual(2.8, self.paths.round_trip_ms(NEAR, now_ms))

    def test_longer_delay_of_a_narrowed_link_is_noticed(self):
        """Guards against sending over a link whose delay has risen to 40 ms."""
        now_ms = self.record(NEAR, [2.8] * 20)
        now_ms = self.record(NEAR, [80.0] * 25, now_ms)
        self.assertEqual(80.0, self.paths.round_trip_ms(NEAR, now_ms))

    def test_slow_path_is_tried_again(self):
        """Guards against a link that is never used again after its delay was long once."""
        now_ms = self.record(NEAR, [80.0] * 25)
        self.assertLess(self.paths.round_trip_ms(NEAR, now_ms + 20_000.0), 15.0)

    def test_other_region_costs_more(self):
        """Guards against requests to another region while a zone of the own one is as fast."""
        now_ms = self.record(NEAR, [5.0])
        self.record(FAR, [5.0])
        self.assertLess(self.paths.cost_ms(NEAR, now_ms), self.paths.cost_ms(FAR, now_ms))
        self.assertEqual(0.0, self.paths.cost_ms(AvailabilityZoneId("own"), now_ms))
