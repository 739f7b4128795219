"""Build small plans for tests and benchmarks."""

import attrs

from gentianthread.standins.fleet import make_plan
from gentianthread.state.plan import Plan
from gentianthread.state.profiles import built_in

DEADLINE_MS = 2_000.0


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
    plan = make_plan(
        dict.fromkeys(services, upstreams_per_service),
        organisations,
        version=version,
        slots=slots,
        withdrawn=withdrawn,
        deadline_ms=DEADLINE_MS,
        zones=zones,
    )
    profile = attrs.evolve(built_in("lookup"), hedging=False, deadline_ms=DEADLINE_MS)
    return attrs.evolve(
        plan,
        profiles={profile.profile_id: profile},
        services={
            name: attrs.evolve(service, profile_id=profile.profile_id)
            for name, service in plan.services.items()
        },
        upstreams={
            name: attrs.evolve(
                upstream,
                peer_port=first_port + 4 * index,
                caller_port=first_port + 4 * index + 1,
                target_port=first_port + 4 * index + 2,
                connections=slots * 8,
            )
            for index, (name, upstream) in enumerate(plan.upstreams.items())
        },
        organisations={
            name: attrs.evolve(organisation, rate_per_s=rate_per_s, burst=burst)
            for name, organisation in plan.organisations.items()
        },
    )
