"""Model the content of one configuration version: profiles, routes, upstreams and organisations."""

from collections.abc import Mapping

import attrs

from ..ids import (
    AvailabilityZoneId,
    ConfigVersion,
    KeyId,
    OrganisationId,
    Priority,
    ProfileId,
    RouteId,
    ServiceId,
    UpstreamId,
)


@attrs.frozen
class Profile:
    """Configure how a service behaves under load.

    Attributes:
        profile_id: Name of the profile.
        queue_target_ms: Queueing delay above which the target's node counts as overloaded.
        queue_limit: Largest number of waiting requests.
        limiter: Name of the concurrency limiter in its registry.
        min_concurrency: Lower bound of the adaptive limit.
        max_concurrency: Upper bound of the adaptive limit; 0 means the published slots.
        queue_order: Name of the queue order in its registry.
        chooser: Name of the upstream chooser in its registry.
        retry_allowance: Extra attempts that one root request and its inner calls may use in total.
        retry_ratio: Retries that a service accepts per first attempt.
        hedging: Whether an idempotent request is sent a second time if the first attempt is slow.
        hedge_delay_ms: How long a hedged request waits before the second attempt.
        deadline_ms: Default deadline of routes that set none.
        slow_start_ms: Time in which the limit of a cold target rises to its full value.
        probe_interval_ms: Mean time between health probes of the target.
        idempotency_window_ms: How long an idempotency key stays bound to its execution.
    """

    profile_id: ProfileId
    queue_target_ms: float = 20.0
    queue_limit: int = 100
    limiter: str = "gradient"
    min_concurrency: int = 1
    max_concurrency: int = 0
    queue_order: str = "priority"
    chooser: str = "two-choices"
    retry_allowance: int = 3
    retry_ratio: float = 0.1
    hedging: bool = False
    hedge_delay_ms: float = 50.0
    deadline_ms: float = 2_000.0
    slow_start_ms: float = 5_000.0
    probe_interval_ms: float = 2_000.0
    idempotency_window_ms: float = 600_000.0


@attrs.frozen
class Service:
    """Assign a profile to a service."""

    service_id: ServiceId
    profile_id: ProfileId


@attrs.frozen
class Route:
    """Configure how requests with one method and path prefix are handled.

    Attributes:
        route_id: Name of the route.
        service_id: Service that answers it.
        method: HTTP method in upper case, or "*".
        path_prefix: Prefix of whole path segments; the route with the longest match is used.
        idempotent: Whether running a request twice has the same effect as running it once.
        priority: Priority of root requests on the route.
        open_to_all: Whether it is served without a key.
        deadline_ms: Default and longest deadline of a request.
    """

    route_id: RouteId
    service_id: ServiceId
    method: str
    path_prefix: str
    idempotent: bool
    priority: Priority
    open_to_all: bool
    deadline_ms: float


@attrs.frozen
class Upstream:
    """Declare a target of a service and the node beside it.

    Attributes:
        upstream_id: Name of the upstream.
        service_id: Service that it serves.
        availability_zone: Availability zone of its instance.
        host: IP address of the instance.
        peer_port: Port of its node's peer listener.
        caller_port: Port of its node's caller listener.
        target_port: Port of the target.
        slots: Number of requests that the target runs concurrently.
        connections: Largest number of connections that the target accepts.
        draining: Whether it takes no new work, so that it can be removed.
    """

    upstream_id: UpstreamId
    service_id: ServiceId
    availability_zone: AvailabilityZoneId
    host: str
    peer_port: int
    caller_port: int
    target_port: int
    slots: int
    connections: int
    draining: bool = False


@attrs.frozen
class Organisation:
    """Set the rate limit and the weight of an organisation.

    Attributes:
        organisation_id: Name of the organisation.
        rate_per_s: Total requests per second across the fleet.
        burst: Requests above the rate that may come at once.
        weight: Weight in max-min fairness.
    """

    organisation_id: OrganisationId
    rate_per_s: float
    burst: float
    weight: float = 1.0


@attrs.frozen
class Key:
    """Store the published digest of an organisation's key.

    Attributes:
        key_id: Id, which is part of the key.
        organisation_id: Organisation that the key authenticates.
        salt: Random bytes.
        digest: SHA-256 of salt and key.
    """

    key_id: KeyId
    organisation_id: OrganisationId
    salt: bytes
    digest: bytes


@attrs.frozen
class Link:
    """Describe the network between two availability zones.

    Attributes:
        first: One availability zone.
        second: The other one.
        delay_ms: Typical one-way delay.
    """

    first: AvailabilityZoneId
    second: AvailabilityZoneId
    delay_ms: float


@attrs.frozen(eq=False)
class Plan:
    """Store one accepted configuration version with its look-up tables.

    Attributes:
        version: Version number; never decreases.
        availability_zones: All availability zones.
        links: Networks between availability zones.
        profiles: Profiles by id.
        services: Services by id.
        routes: Routes by id.
        upstreams: Upstreams by id.
        organisations: Organisations by id.
        keys: Keys by id; a withdrawn key is absent.
        fractions: Fraction of every organisation's rate and burst that each upstream owns; the sum
            is at most 1.
        upstreams_by_service: Upstreams of each service in id order.
    """

    version: ConfigVersion
    availability_zones: tuple[AvailabilityZoneId, ...] = ()
    links: tuple[Link, ...] = ()
    profiles: Mapping[ProfileId, Profile] = attrs.field(factory=dict)
    services: Mapping[ServiceId, Service] = attrs.field(factory=dict)
    routes: Mapping[RouteId, Route] = attrs.field(factory=dict)
    upstreams: Mapping[UpstreamId, Upstream] = attrs.field(factory=dict)
    organisations: Mapping[OrganisationId, Organisation] = attrs.field(factory=dict)
    keys: Mapping[KeyId, Key] = attrs.field(factory=dict)
    fractions: Mapping[UpstreamId, float] = attrs.field(factory=dict)
    upstreams_by_service: Mapping[ServiceId, tuple[Upstream, ...]] = attrs.field(init=False)
    _routes_by_path: Mapping[str, tuple[Route, ...]] = attrs.field(init=False, repr=False)

    @upstreams_by_service.default
    def _group_upstreams(self) -> dict[ServiceId, tuple[Upstream, ...]]:
        groups: dict[ServiceId, list[Upstream]] = {name: [] for name in self.services}
        for upstream_id in sorted(self.upstreams):
            upstream = self.upstreams[upstream_id]
            groups.setdefault(upstream.service_id, []).append(upstream)
        return {name: tuple(upstreams) for name, upstreams in groups.items()}

    @_routes_by_path.default
    def _index_routes(self) -> dict[str, tuple[Route, ...]]:
        index: dict[str, list[Route]] = {}
        for route in self.routes.values():
            index.setdefault(route.path_prefix.rstrip("/"), []).append(route)
        return {path: tuple(routes) for path, routes in index.items()}

    def profile_of(self, service_id: ServiceId) -> Profile:
        """Return the profile of a service.

        Raises:
            KeyError: The plan has no such service.
        """
        return self.profiles[self.services[service_id].profile_id]

    def match_route(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Args:
            method: HTTP method in upper case.
            path: Path without the query.
        """
        prefix = path.rstrip("/")
        while True:
            for route in self._routes_by_path.get(prefix, ()):
                if route.method in (method, "*"):
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]
