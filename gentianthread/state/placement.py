"""Decide in which regions a request may run.

Handles requests of routes and organisations whose data must stay in some regions, while upstreams
of these regions are few, evacuated or unreachable: they are refused rather than sent elsewhere. The
lists of the route and of the organisation are both binding, and so are those of the run that made a
call. Where no list is present, nothing is computed.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from heapq import heappop, heappush

from ..ids import AvailabilityZoneId, RegionId
from .directory import UpstreamEntry
from .fleet_plan import OWN_REGION_ONLY, FleetOrganisation, HostRoute

# Separates regions in messages; no name has a control character.
_SEPARATOR = "\n"

# Longest time for which a run without an answer binds calls. Callers may state a timeout of a day,
# and all other calls of the target would keep to the regions of one run that was given up.
MAX_LINGER_MS = 10_000.0


def encode_regions(regions: frozenset[RegionId] | None) -> str:
    """Return regions as one text for a message; empty if requests are not bound to any."""
    return _SEPARATOR.join(sorted(regions)) if regions else ""


def decode_regions(text: str) -> frozenset[RegionId] | None:
    """Return the regions of a text of `encode_regions`."""
    return frozenset(map(RegionId, text.split(_SEPARATOR))) if text else None


def combine_regions(
    first: frozenset[RegionId] | None, second: frozenset[RegionId] | None
) -> frozenset[RegionId] | None:
    """Return the regions that two lists both contain; None stands for all regions."""
    if first is None:
        return second
    return first if second is None else first & second


class Placement:
    """Know the regions of the availability zones and choose among upstreams by them."""

    def __init__(
        self,
        regions: Callable[[], Mapping[AvailabilityZoneId, RegionId]],
        own_zone: AvailabilityZoneId,
    ):
        """Create a placement.

        Args:
            regions: Returns the region of each zone, from the settings.
            own_zone: Availability zone of this node.
        """
        self._regions = regions
        self._own_zone = own_zone

    def region_of(self, zone: AvailabilityZoneId) -> RegionId | None:
        """Return the region of a zone, or None if the settings do not name it."""
        return self._regions().get(zone)

    def regions_for(
        self,
        route: HostRoute,
        organisation: FleetOrganisation | None,
        inherited: frozenset[RegionId] | None = None,
    ) -> frozenset[RegionId] | None:
        """Return the regions in which a request may run, or None if it is not bound to any.

        Args:
            route: Its route.
            organisation: Its organisation, or None.
            inherited: Regions of the runs that may have made it, or None.
        """
        regions = inherited
        if route.allowed_regions is not None:
            regions = combine_regions(regions, self._resolve(route.allowed_regions))
        if organisation is not None and organisation.allowed_regions is not None:
            regions = combine_regions(regions, self._resolve(organisation.allowed_regions))
        return regions

    def _resolve(self, regions: frozenset[RegionId]) -> frozenset[RegionId]:
        """Return the regions of a list; one that could not be read means this node's region."""
        if regions != OWN_REGION_ONLY:
            return regions
        own_region = self.region_of(self._own_zone)
        return frozenset() if own_region is None else frozenset((own_region,))

    def within(
        self, upstreams: tuple[UpstreamEntry, ...], regions: frozenset[RegionId] | None
    ) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams in some regions; those of zones without a region are left out."""
        if regions is None:
            return upstreams
        return tuple(
            upstream
            for upstream in upstreams
            if self.region_of(upstream.availability_zone) in regions
        )

    def allowed(
        self,
        upstreams: tuple[UpstreamEntry, ...],
        route: HostRoute,
        organisation: FleetOrganisation | None,
    ) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams to which a request of a route and an organisation may be sent."""
        return self.within(upstreams, self.regions_for(route, organisation))


class BoundRuns:
    """Count the runs on a target that are bound to regions, for the calls that they make.

    A call does not name the run that made it. While bound runs are under way, each call keeps to
    the regions of all of them. The region of the target is one of them, as it runs them all. A run
    without an answer may go on; it counts until its deadline, for `MAX_LINGER_MS` at most.
    """

    def __init__(self):
        """Create a state without runs."""
        self._counts: Counter[str] = Counter()
        # Heap of the ends of runs without an answer, which may go on: time and regions.
        self._lingering: list[tuple[float, str]] = []
        self._regions: frozenset[RegionId] | None = None

    def start(self, regions: str) -> None:
        """Record the start of a run; see `encode_regions` for its regions."""
        if regions:
            self._counts[regions] += 1
            self._regions = combine_regions(self._regions, decode_regions(regions))

    def end(self, regions: str, now_ms: float = 0.0, *, until_ms: float | None = None) -> None:
        """Record the end of a run.

        Args:
            regions: Its regions.
            now_ms: Present time in ms.
            until_ms: Time until which the target may go on with it, if there was no answer.
        """
        if not regions:
            return
        if until_ms is not None:
            self._end_expired(now_ms)
            heappush(self._lingering, (min(until_ms, now_ms + MAX_LINGER_MS), regions))
            return
        self._counts[regions] -= 1
        if self._counts[regions] > 0:
            return
        del self._counts[regions]
        self._regions = None
        for each in self._counts:
            self._regions = combine_regions(self._regions, decode_regions(each))

    def _end_expired(self, now_ms: float) -> None:
        while self._lingering and self._lingering[0][0] <= now_ms:
            self.end(heappop(self._lingering)[1])

    def regions(self, now_ms: float) -> frozenset[RegionId] | None:
        """Return the regions to which calls of the target are bound now, or None."""
        self._end_expired(now_ms)
        return self._regions
