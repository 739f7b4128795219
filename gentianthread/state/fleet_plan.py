"""Model the configuration of a fleet: routes by host, services, organisations and limits."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import attrs

from ..ids import ConfigVersion, OrganisationId, RegionId, RouteId, ServiceId


class RequestKind(Enum):
    """Classify the requests of a route by whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
    UPLOAD = "upload"


# Requests of other kinds may have an effect that a second run would repeat.
REPEATABLE_KINDS = frozenset((RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD))

# List of regions that could not be read: requests run in the region of the node alone. No region of
# the settings has an empty name.
OWN_REGION_ONLY = frozenset((RegionId(""),))


@attrs.frozen
class PlanProblem:
    """Describe a value of a configuration that could not be read.

    Attributes:
        field: Path of the field.
        expected: What it should contain.
        used: What applies instead, or None if the item was left out.
    """

    field: str
    expected: str
    used: str | None


def describe_replacement(value: Any) -> str:
    """Return a value that applies in place of an unreadable one, as text for `PlanProblem`."""
    if isinstance(value, RequestKind):
        return value.value
    return "none" if value is None else str(value)


@attrs.frozen
class WeightedService:
    """Assign a share of the requests of a route to one service.

    Attributes:
        service_id: The service.
        weight: Its share, relative to the other services of the route.
    """

    service_id: ServiceId
    weight: float


@attrs.frozen
class HostRoute:
    """Configure how requests for one host and path prefix are handled.

    Attributes:
        route_id: Name of the route.
        host: Host name in lower case.
        prefix: Path prefix that begins and ends with a slash.
        kind: Whether its requests may run more than once.
        service_weights: Services that answer, with their weights; empty if none could be read. The
            requests of such a route are refused, as a route that is configured must not seem to
            be missing.
        max_attempts: Largest number of upstreams to which one request is sent.
        timeout_ms: Longest time until the final answer, or None.
        latency_objective_ms: Latency up to which an answer has its full value, or None.
        priority: Priority of its requests; 0 is the most important.
        open_to_all: Whether requests need no key.
        allowed_regions: Regions in which its requests may run, or None for all.
    """

    route_id: RouteId
    host: str
    prefix: str
    kind: RequestKind
    service_weights: tuple[WeightedService, ...]
    max_attempts: int = 1
    timeout_ms: float | None = None
    latency_objective_ms: float | None = None
    priority: int = 0
    open_to_all: bool = False
    allowed_regions: frozenset[RegionId] | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind in REPEATABLE_KINDS


@attrs.frozen
class FleetService:
    """Describe a service.

    Attributes:
        service_id: Name of the service.
        health_path: Path of the health check.
        max_connections: Largest number of connections that one upstream accepts; 0 if unknown.
        warm_up_ms: Time for which an upstream is cold after its start.
        warm_up_per_s: Requests per second that a cold upstream tolerates; 0 if there is no limit.
    """

    service_id: ServiceId
    health_path: str
    max_connections: int
    warm_up_ms: float = 0.0
    warm_up_per_s: float = 0.0


@attrs.frozen
class FleetOrganisation:
    """Describe an organisation.

    Attributes:
        organisation_id: Name of the organisation.
        keys: Keys that authenticate its requests.
        priority: Priority that overrides that of the route, or None.
        rate_per_s: Requests per second over all nodes; 0 means no limit.
        burst: Requests above the rate that may come at once.
        allowed_regions: Regions in which its requests may run, or None for all.
    """

    organisation_id: OrganisationId
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[RegionId] | None = None


@attrs.frozen
class CallerLimits:
    """Limit the requests and connections of callers.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_ms: Longest time until a head is complete.
        idle_timeout_ms: Longest idle time of a keep-alive connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(eq=False)
class FleetPlan:
    """Store one configuration version with its look-up tables.

    Attributes:
        version: Version number; never decreases.
        routes: Routes by id.
        services: Services by id.
        organisations: Organisations by id.
        limits: Limits for callers.
        problems: Values that could not be read.
    """

    version: ConfigVersion
    routes: Mapping[RouteId, HostRoute] = attrs.field(factory=dict)
    services: Mapping[ServiceId, FleetService] = attrs.field(factory=dict)
    organisations: Mapping[OrganisationId, FleetOrganisation] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    problems: tuple[PlanProblem, ...] = ()
    _routes_by_host: Mapping[str, tuple[HostRoute, ...]] = attrs.field(init=False, repr=False)
    _organisations_by_key: Mapping[str, FleetOrganisation] = attrs.field(init=False, repr=False)
    _priorities: tuple[int, int] = attrs.field(init=False, repr=False)

    @property
    def priorities(self) -> tuple[int, int]:
        """Return the most and the least important priority of requests that have a key."""
        return self._priorities

    @_priorities.default
    def _compute_priorities(self) -> tuple[int, int]:
        by_route = {route.priority for route in self.routes.values() if not route.open_to_all}
        priorities: set[int] = set()
        for organisation in self.organisations.values():
            priorities |= by_route if organisation.priority is None else {organisation.priority}
        priorities = priorities or by_route or {0}
        return min(priorities), max(priorities)

    @_routes_by_host.default
    def _index_routes(self) -> dict[str, tuple[HostRoute, ...]]:
        routes_by_host: dict[str, list[HostRoute]] = {}
        for route in self.routes.values():
            routes_by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in routes_by_host.items()
        }

    @_organisations_by_key.default
    def _index_keys(self) -> dict[str, FleetOrganisation]:
        return {
            key: organisation
            for organisation in self.organisations.values()
            for key in organisation.keys
        }

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix that matches the path, or None.

        Args:
            host: Host header; a port is ignored.
            path: Path without the query.
        """
        for route in self._routes_by_host.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of_key(self, key: str) -> FleetOrganisation | None:
        """Return the organisation to which a key belongs, or None."""
        return self._organisations_by_key.get(key)
