"""Build small plans for tests and benchmarks."""

import hashlib

from gentianthread.ids import (
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
from gentianthread.state.plan import Key, Organisation, Plan, Profile, Route, Service, Upstream


def key_text(organisation: str) -> str:
    """Return the key of an organisation in a small plan."""
    return f"gtk_{organisation}1_{'s' * 43}"


def small_plan(
    version: int = 1,
    services: tuple[str, ...] = ("catalogue",),
    upstreams_per_service: int = 2,
    zones: tuple[str, ...] = ("larisa-a", "volos-a"),
    organisations: tuple[str, ...] = ("alpha", "beta"),
    rate_per_s: float = 1000.0,
    burst: float = 1000.0,
    slots: int = 4,
    first_port: int = 20000,
    withdrawn: frozenset[str] = frozenset(),
) -> Plan:
    """Return a plan whose routes are `/SERVICE` (GET idempotent, POST not) and `/open/SERVICE`."""
    upstreams = {}
    for service in services:
        for index in range(upstreams_per_service):
            name = UpstreamId(f"{service}-{index}")
            port = first_port + 4 * len(upstreams)
            upstreams[name] = Upstream(
                upstream_id=name,
                service_id=ServiceId(service),
                availability_zone=AvailabilityZoneId(zones[index % len(zones)]),
                host="127.0.0.1",
                peer_port=port,
                caller_port=port + 1,
                target_port=port + 2,
                slots=slots,
                connections=slots * 8,
            )
    return Plan(
        version=ConfigVersion(version),
        availability_zones=tuple(AvailabilityZoneId(zone) for zone in zones),
        profiles={ProfileId("lookup"): Profile(ProfileId("lookup"))},
        services={
            ServiceId(name): Service(ServiceId(name), ProfileId("lookup")) for name in services
        },
        routes=_routes(services),
        upstreams=upstreams,
        organisations={
            OrganisationId(name): Organisation(OrganisationId(name), rate_per_s, burst)
            for name in organisations
        },
        keys={KeyId(f"{name}1"): _key(name) for name in organisations if name not in withdrawn},
        fractions={name: 1 / len(upstreams) for name in upstreams},
    )


def _routes(services: tuple[str, ...]) -> dict[RouteId, Route]:
    routes = {}
    for name in services:
        for method, idempotent, priority in (
            ("GET", True, Priority.NORMAL),
            ("POST", False, Priority.IMPORTANT),
        ):
            route_id = RouteId(f"{name}-{method.lower()}")
            routes[route_id] = Route(
                route_id, ServiceId(name), method, f"/{name}", idempotent, priority, False, 2000.0
            )
        open_id = RouteId(f"{name}-open")
        routes[open_id] = Route(
            open_id, ServiceId(name), "GET", f"/open/{name}", True, Priority.NORMAL, True, 2000.0
        )
    return routes


def _key(organisation: str) -> Key:
    salt = organisation.encode()
    digest = hashlib.sha256(salt + key_text(organisation).encode()).digest()
    return Key(KeyId(f"{organisation}1"), OrganisationId(organisation), salt, digest)
