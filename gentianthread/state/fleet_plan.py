"""Model the configuration that a fleet follows: routes by host, services, organisations, limits."""

from collections.abc import Mapping
from enum import Enum

import attrs

from ..ids import ConfigVersion, OrganisationId, RouteId, ServiceId


class RequestKind(Enum):
    """Tell what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


@attrs.frozen
class WeightedService:
    """Give one service its share of the requests of a route.

    Attributes:
        service_id: The service.
        weight: Its share, relative to the other parts.
    """

    service_id: ServiceId
    weight: float


@attrs.frozen
class HostRoute:
    """Say how requests for one host and path prefix are treated.

    Attributes:
        route_id: Name of the route.
        host: Host in lower case.
        prefix: Path prefix that begins and ends with a slash.
        kind: What may be repeated.
        weighted_services: Services that answer, with their shares.
        max_attempts: Upstreams to which one request may be sent.
        timeout_ms: Longest time until the final answer, or None.
        latency_objective_ms: Time within which an answer is worth most, or None.
        priority: Rank among requests; 0 is the most important.
        open_to_all: Whether no key is needed.
    """

    route_id: RouteId
    host: str
    prefix: str
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int = 1
    timeout_ms: float | None = None
    latency_objective_ms: float | None = None
    priority: int = 0
    open_to_all: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@attrs.frozen
class FleetService:
    """Describe a service.

    Attributes:
        service_id: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
    """

    service_id: ServiceId
    health_path: str
    max_connections: int


@attrs.frozen
class FleetOrganisation:
    """Describe an organisation.

    Attributes:
        organisation_id: Name of the organisation.
        keys: Its keys.
        priority: Rank that replaces that of the route, or None.
        rate_per_s: Requests per second over all nodes; 0 is no limit.
        burst: Requests above the rate.
    """

    organisation_id: OrganisationId
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class CallerLimits:
    """Bound what a caller may send.

    Attributes:
        header_bytes: Longest request head.
        body_bytes: Longest request body.
        header_timeout_ms: Longest time until a head is complete.
        idle_timeout_ms: Longest time that a kept connection may be idle.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(eq=False)
class FleetPlan:
    """Hold one configuration version with look-up tables.

    Attributes:
        version: Version number; only rises.
        routes: Routes by id.
        services: Services by id.
        organisations: Organisations by id.
        limits: Limits for callers.
    """

    version: ConfigVersion
    routes: Mapping[RouteId, HostRoute] = attrs.field(factory=dict)
    services: Mapping[ServiceId, FleetService] = attrs.field(factory=dict)
    organisations: Mapping[OrganisationId, FleetOrganisation] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    _by_host: Mapping[str, tuple[HostRoute, ...]] = attrs.field(init=False, repr=False)
    _by_key: Mapping[str, FleetOrganisation] = attrs.field(init=False, repr=False)
    _priorities: tuple[int, int] = attrs.field(init=False, repr=False)

    @property
    def priorities(self) -> tuple[int, int]:
        """Return the most and the least important priority that requests with a key can have."""
        return self._priorities

    @_priorities.default
    def _find_priorities(self) -> tuple[int, int]:
        routes = {route.priority for route in self.routes.values() if not route.open_to_all}
        found: set[int] = set()
        for organisation in self.organisations.values():
            found |= routes if organisation.priority is None else {organisation.priority}
        found = found or routes or {0}
        return min(found), max(found)

    @_by_host.default
    def _index_hosts(self) -> dict[str, tuple[HostRoute, ...]]:
        hosts: dict[str, list[HostRoute]] = {}
        for route in self.routes.values():
            hosts.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in hosts.items()
        }

    @_by_key.default
    def _index_keys(self) -> dict[str, FleetOrganisation]:
        return {key: found for found in self.organisations.values() for key in found.keys}

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix that begins the path, or None.

        Args:
            host: Host header; a port is left out.
            path: Path without the query.
        """
        for route in self._by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of_key(self, key: str) -> FleetOrganisation | None:
        """Return the organisation that holds a key, or None."""
        return self._by_key.get(key)
