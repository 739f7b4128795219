"""Estimate the delay of the path to each availability zone from the fastest exchanges.

This handles links whose delay differs (1.4 ms between zones of a region, 8 ms between regions) and
links whose bandwidth decreases, which shows as a longer delay.
"""

from collections.abc import Mapping

import attrs

from ..ids import AvailabilityZoneId, RegionId


@attrs.define(eq=False)
class _Path:
    """Store the least delays of the present and the previous period."""

    since_ms: float
    least_ms: float
    previous_ms: float
    recorded_ms: float


class PathDelays:
    """Estimate the round trip to each zone, and the cost of sending a request there."""

    # The least delay of the last one to two periods counts. It leaves out the time for which a
    # message waits in a batch or for the processor.
    PERIOD_MS = 1_000.0
    # Round trip that is assumed for a zone until the first exchange.
    ASSUMED_MS = 10.0
    # An estimate without new exchanges approaches the assumed value, so that a path that was slow
    # is tried again.
    HALF_LIFE_MS = 4_000.0
    # Surcharge for the bytes of a request that leaves the zone or the region, in ms of waiting.
    BETWEEN_ZONES_MS = 5.0
    BETWEEN_REGIONS_MS = 10.0

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        regions: Mapping[AvailabilityZoneId, RegionId] | None = None,
    ):
        """Create the estimates of a node.

        Args:
            availability_zone: Its availability zone.
            regions: Region of each zone; zones without one count as one region.
        """
        self.availability_zone = availability_zone
        self._regions = regions or {}
        self._paths: dict[AvailabilityZoneId, _Path] = {}

    def record(self, zone: AvailabilityZoneId, round_trip_ms: float, now_ms: float) -> None:
        """Record an exchange.

        Args:
            zone: Zone of the upstream.
            round_trip_ms: Latency at this node less the time at the upstream's node.
            now_ms: Present time in ms.
        """
        round_trip_ms = max(0.0, round_trip_ms)
        path = self._paths.get(zone)
        if path is None or now_ms - path.since_ms >= 2 * self.PERIOD_MS:
            self._paths[zone] = _Path(now_ms, round_trip_ms, round_trip_ms, now_ms)
            return
        if now_ms - path.since_ms >= self.PERIOD_MS:
            path.previous_ms, path.least_ms, path.since_ms = path.least_ms, round_trip_ms, now_ms
        path.least_ms = min(path.least_ms, round_trip_ms)
        path.recorded_ms = now_ms

    def round_trip_ms(self, zone: AvailabilityZoneId, now_ms: float) -> float:
        """Return the estimated round trip to a zone; 0 for the own one."""
        if zone == self.availability_zone:
            return 0.0
        path = self._paths.get(zone)
        if path is None:
            return self.ASSUMED_MS
        known_ms = min(path.least_ms, path.previous_ms)
        idle_ms = max(0.0, now_ms - path.recorded_ms - self.PERIOD_MS)
        weight = 0.5 ** (idle_ms / self.HALF_LIFE_MS)
        return self.ASSUMED_MS + weight * (known_ms - self.ASSUMED_MS)

    def cost_ms(self, zone: AvailabilityZoneId, now_ms: float) -> float:
        """Return the round trip to a zone with the surcharge for bytes; 0 for the own one."""
        if zone == self.availability_zone:
            return 0.0
        own_region = self._regions.get(self.availability_zone)
        same_region = own_region == self._regions.get(zone)
        surcharge_ms = self.BETWEEN_ZONES_MS if same_region else self.BETWEEN_REGIONS_MS
        return self.round_trip_ms(zone, now_ms) + surcharge_ms

    def describe(self, now_ms: float) -> dict[str, float]:
        """Return the round trip to each zone with exchanges, for the dump."""
        return {zone: round(self.round_trip_ms(zone, now_ms), 1) for zone in sorted(self._paths)}
