"""Find the upstreams to which a request may be sent."""

from collections.abc import Callable
from typing import Protocol

from ...ids import RegionId, ServiceId, UpstreamId
from ...state.directory import Directory, UpstreamEntry
from ...state.placement import Placement

# Lifetime of the cached upstreams and dependency level, which saves computing them per request. A
# peer that becomes silent in the meantime is noticed no later than by its failing requests.
CACHE_TTL_MS = 20.0

# Why a request is refused before any attempt.
REASON_NONE_LEFT = "no upstream is left"
REASON_NOT_ALLOWED = "no upstream in the allowed regions"
REASON_ALL_EVACUATED = "all upstreams are evacuated"


class Placed(Protocol):
    """Describe what decides where a request may run."""

    service_id: ServiceId
    allowed_regions: frozenset[RegionId] | None


class AvailableUpstreams:
    """Find ready and reachable upstreams, and cache them for a moment."""

    def __init__(
        self,
        directory: Directory,
        placement: Placement,
        reachable: Callable[[str], bool],
        own_host: str,
    ):
        """Create an empty cache.

        Args:
            directory: Upstreams that the platform lists.
            placement: Regions of upstreams.
            reachable: Returns whether a link to the node at an address can be expected to work.
            own_host: Address of this instance.
        """
        self._directory = directory
        self._placement = placement
        self._reachable = reachable
        self._own_host = own_host
        self._cache: dict[ServiceId, tuple[float, tuple[UpstreamEntry, ...]]] = {}
        # Upstreams in the regions of requests; few combinations of services and regions occur.
        self._allowed: dict[
            tuple[ServiceId, frozenset[RegionId]], tuple[float, tuple[UpstreamEntry, ...]]
        ] = {}
        directory.changes.subscribe(lambda _: self._clear())
        directory.evacuations.subscribe(lambda _: self._clear())

    def _clear(self) -> None:
        self._cache.clear()
        self._allowed.clear()

    def of(self, service_id: ServiceId, now_ms: float) -> tuple[UpstreamEntry, ...]:
        """Return the ready upstreams of a service that are reachable, or all if none is.

        Args:
            service_id: The service.
            now_ms: Present time in ms.
        """
        cached = self._cache.get(service_id)
        if cached is not None and now_ms < cached[0]:
            return cached[1]
        ready = self._directory.ready(service_id)
        reachable = tuple(
            upstream
            for upstream in ready
            if upstream.host == self._own_host or self._reachable(upstream.host)
        )
        upstreams = reachable or ready
        self._cache[service_id] = (now_ms + CACHE_TTL_MS, upstreams)
        return upstreams

    def for_request(self, request: Placed, now_ms: float) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams of a request's service, only those in its allowed regions.

        Args:
            request: The request.
            now_ms: Present time in ms.
        """
        service_id, regions = request.service_id, request.allowed_regions
        upstreams = self.of(service_id, now_ms)
        if regions is None:
            return upstreams
        cached = self._allowed.get((service_id, regions))
        if cached is not None and now_ms < cached[0]:
            return cached[1]
        within = self._placement.within
        allowed = within(upstreams, regions) or within(self._directory.ready(service_id), regions)
        self._allowed[service_id, regions] = (now_ms + CACHE_TTL_MS, allowed)
        return allowed

    def missing_reason(self, request: Placed) -> str:
        """Return why there is no upstream for a request."""
        if request.allowed_regions is not None and self._directory.ready(request.service_id):
            return REASON_NOT_ALLOWED
        if self._directory.has_evacuated(request.service_id):
            return REASON_ALL_EVACUATED
        return REASON_NONE_LEFT

    def in_zone_of(self, upstream: UpstreamEntry) -> set[UpstreamId]:
        """Return the ids of the ready upstreams of the same service and availability zone."""
        return {
            entry.upstream_id
            for entry in self._directory.ready(upstream.service_id)
            if entry.availability_zone == upstream.availability_zone
        }
