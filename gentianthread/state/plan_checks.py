"""Check a configuration for entries without effect and for limits that contradict each other.

Handles documents of operators before they are sent: a document that nodes accept can still have a
route that no request reaches, or a limit that another one makes useless.
"""

from collections.abc import Callable, Iterable, Iterator

import attrs

from ..ids import RegionId
from ..registry import Registry
from .fleet_plan import (
    OWN_REGION_ONLY,
    FleetOrganisation,
    FleetPlan,
    HostRoute,
    RequestKind,
)
from .placement import combine_regions
from .plan_findings import FieldPaths, Finding, FindingKind, Severity

# Largest body that a process of the documented size holds (`docs/uneven-load.md`, 1.8).
LARGEST_BODY_BYTES = 64 * 1024 * 1024


@attrs.frozen
class CheckInput:
    """Store what the checks look at.

    Attributes:
        plan: The configuration.
        paths: Names of its fields.
        regions: Regions of all availability zones, or None if they are not known.
    """

    plan: FleetPlan
    paths: FieldPaths
    regions: frozenset[RegionId] | None = None


Check = Callable[[CheckInput], Iterator[Finding]]

plan_checks: Registry[Check] = Registry("check of a configuration")


def check_plan(checked: CheckInput) -> list[Finding]:
    """Return the findings of all checks."""
    return [finding for name in plan_checks for finding in plan_checks.get(name)(checked)]


def _finder(
    checked: CheckInput, section: str, kind: FindingKind, severity: Severity = Severity.WARNING
) -> Callable[..., Finding]:
    """Return a function that makes the findings of a check."""

    def make(item: str | None, attribute: str | None, found: str, expected: str) -> Finding:
        return Finding(
            severity, kind, checked.paths.path(section, item, attribute), found, expected
        )

    return make


# Entries without effect.


@plan_checks.register("host")
def _check_hosts(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "routes", FindingKind.NEVER_MATCHES)
    for name, route in checked.plan.routes.items():
        # A host with a port is compared with that of a request without it.
        if checked.plan.match(route.host, route.prefix) is not route or " " in route.host:
            yield find(
                name,
                "host",
                f"{route.host!a} matches no Host header",
                "expected a host without port and spaces; the port of a request is ignored",
            )


@plan_checks.register("prefix")
def _check_prefixes(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "routes", FindingKind.NEVER_MATCHES)
    for name, route in checked.plan.routes.items():
        if "?" in route.prefix or " " in route.prefix:
            yield find(
                name,
                "prefix",
                f"{route.prefix!a} matches no path",
                "expected a path without a query and spaces, which no path of a request has",
            )


@plan_checks.register("weight")
def _check_weights(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "routes", FindingKind.NEVER_USED)
    for name, route in checked.plan.routes.items():
        for part in route.service_weights:
            if part.weight == 0:
                yield find(
                    name,
                    "service_weights",
                    f"weight 0 for service {part.service_id}",
                    "expected a weight above 0; the service gets no request of this route",
                )


@plan_checks.register("service")
def _check_services(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "services", FindingKind.NEVER_USED)
    used = {
        part.service_id
        for route in checked.plan.routes.values()
        for part in route.service_weights
        if part.weight > 0
    }
    for name in checked.plan.services:
        if name not in used:
            yield find(
                name, None, "no route leads to it", "expected a route; its upstreams stay idle"
            )


@plan_checks.register("keys")
def _check_keys(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "organisations", FindingKind.NEVER_MATCHES)
    for name, organisation in checked.plan.organisations.items():
        if not organisation.keys:
            yield find(name, "keys", "no key", "expected a key; no request belongs to it")
        # Values of header fields are compared without the spaces around them.
        if any(key != key.strip() for key in organisation.keys):
            yield find(
                name,
                "keys",
                "a key with spaces around it",
                "expected none; the key of a request never has them",
            )
        if len(set(organisation.keys)) < len(organisation.keys):
            yield find(name, "keys", "a key that is listed twice", "expected each key once")


@plan_checks.register("authentication")
def _check_authentication(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "organisations", FindingKind.CONTRADICTION)
    keyed = [name for name, route in checked.plan.routes.items() if not route.open_to_all]
    if keyed and not checked.plan.organisations:
        yield find(
            None,
            None,
            f"there is none, but {len(keyed)} routes need a key",
            "without any, nodes serve these routes to everybody",
        )


def _binding_regions(item: HostRoute | FleetOrganisation) -> frozenset[RegionId] | None:
    """Return a list of regions; None if it could not be read, which is an error of its own."""
    return None if item.allowed_regions == OWN_REGION_ONLY else item.allowed_regions


def _can_run(first: frozenset[RegionId] | None, second: frozenset[RegionId] | None) -> bool:
    regions = combine_regions(first, second)
    return regions is None or bool(regions)


@plan_checks.register("regions")
def _check_regions(checked: CheckInput) -> Iterator[Finding]:
    plan = checked.plan
    find_route = _finder(checked, "routes", FindingKind.NO_REGION)
    find_organisation = _finder(checked, "organisations", FindingKind.NO_REGION)
    routes = {
        name: _binding_regions(route)
        for name, route in plan.routes.items()
        if not route.open_to_all
    }
    organisations = {
        name: _binding_regions(item) for name, item in plan.organisations.items() if item.keys
    }
    unmet = {
        (route, organisation)
        for route, route_regions in routes.items()
        for organisation, organisation_regions in organisations.items()
        if not _can_run(route_regions, organisation_regions)
    }
    refused_routes = [
        route for route in routes if organisations and unmet >= {(route, o) for o in organisations}
    ]
    refused_organisations = [
        organisation
        for organisation in organisations
        if routes and unmet >= {(route, organisation) for route in routes}
    ]
    for name in refused_routes:
        yield find_route(
            name,
            "allowed_regions",
            f"{_list_names(routes[name])}, no region of any tenant",
            "expected a region that a tenant allows too; all requests get 503",
        )
    for name in refused_organisations:
        yield find_organisation(
            name,
            "allowed_regions",
            f"{_list_names(organisations[name])}, no region of any route",
            "expected a region that a route allows too; all its requests get 503",
        )
    find_pair = _finder(checked, "routes", FindingKind.NO_REGION, Severity.NOTICE)
    for route, organisation in sorted(unmet):
        if route not in refused_routes and organisation not in refused_organisations:
            yield find_pair(
                route,
                "allowed_regions",
                f"no region that tenant {organisation} allows",
                "its requests on this route get 503",
            )


@plan_checks.register("zones")
def _check_zones(checked: CheckInput) -> Iterator[Finding]:
    if checked.regions is None:
        return
    for section in ("routes", "organisations"):
        for name, item in getattr(checked.plan, section).items():
            regions = _binding_regions(item)
            unknown = frozenset() if regions is None else regions - checked.regions
            if not unknown:
                continue
            is_unmet = unknown == regions
            find = _finder(
                checked,
                section,
                FindingKind.NO_REGION if is_unmet else FindingKind.NEVER_USED,
                Severity.WARNING if is_unmet else Severity.NOTICE,
            )
            yield find(
                name,
                "allowed_regions",
                f"{_list_names(unknown)}, in which no availability zone is",
                (
                    "expected a region of a zone; all requests get 503"
                    if is_unmet
                    else "expected regions of zones"
                ),
            )


def _list_names(names: Iterable[str] | None) -> str:
    return ", ".join(sorted(names or ()))


# Limits that contradict each other.


@plan_checks.register("times-of-routes")
def _check_times(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "routes", FindingKind.CONTRADICTION)
    for name, route in checked.plan.routes.items():
        timeout_ms, objective_ms = route.timeout_ms, route.latency_objective_ms
        if timeout_ms == 0:
            yield find(name, "timeout_ms", "0 ms", "expected more; requests end as they arrive")
        elif timeout_ms is not None and objective_ms is not None and objective_ms > timeout_ms:
            yield find(
                name,
                "latency_objective_ms",
                f"{objective_ms:g} ms",
                f"expected at most the {timeout_ms:g} ms after which a request of the route ends",
            )


@plan_checks.register("attempts")
def _check_attempts(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "routes", FindingKind.UNUSUAL, Severity.NOTICE)
    for name, route in checked.plan.routes.items():
        if route.max_attempts > 1 and not route.repeatable:
            yield find(
                name,
                "max_attempts",
                f"{route.max_attempts} for kind {route.kind.value}",
                "a further attempt is made only after one that has certainly not run",
            )


@plan_checks.register("rates")
def _check_rates(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "organisations", FindingKind.CONTRADICTION)
    for name, organisation in checked.plan.organisations.items():
        if organisation.rate_per_s > 0 and organisation.burst < 1:
            yield find(
                name,
                "burst",
                f"{organisation.burst:g} with a rate of {organisation.rate_per_s:g}/s",
                "expected at least 1; requests that arrive together may be refused below the rate",
            )
        elif organisation.burst > 0 and organisation.rate_per_s == 0:
            yield find(
                name,
                "burst",
                f"{organisation.burst:g} without a rate",
                "expected a rate; without one, requests are not limited",
            )


@plan_checks.register("warm-up")
def _check_warm_up(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "services", FindingKind.CONTRADICTION)
    per_s = checked.paths.name("warm_up_per_s")
    duration = checked.paths.name("warm_up_ms")
    for name, service in checked.plan.services.items():
        if service.warm_up_ms > 0 and service.warm_up_per_s == 0:
            yield find(
                name,
                "warm_up_ms",
                f"{service.warm_up_ms:g} ms without {per_s}",
                f"expected {per_s}; without it, cold targets are not limited",
            )
        elif service.warm_up_per_s > 0 and service.warm_up_ms == 0:
            yield find(
                name,
                "warm_up_per_s",
                f"{service.warm_up_per_s:g} without {duration}",
                f"expected {duration}; without it, the time that a target stays cold is not known",
            )


@plan_checks.register("limits")
def _check_limits(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "limits", FindingKind.CONTRADICTION)
    limits = checked.plan.limits
    for attribute in ("header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, attribute) == 0:
            yield find(None, attribute, "0 ms", "expected more; connections end at once")
    if limits.header_timeout_ms > limits.idle_timeout_ms > 0:
        yield find(
            None,
            "header_timeout_ms",
            f"{limits.header_timeout_ms:g} ms",
            f"expected at most the {limits.idle_timeout_ms:g} ms of "
            f"{checked.paths.name('idle_timeout_ms')}; a caller that sends a head slowly "
            "may stay longer than one that is idle",
        )
    if limits.header_bytes == 0:
        yield find(None, "header_bytes", "0", "expected more; all requests are refused")
    if limits.body_bytes > LARGEST_BODY_BYTES:
        yield find(
            None,
            "body_bytes",
            f"{limits.body_bytes}",
            f"expected at most {LARGEST_BODY_BYTES}, the largest body that a process can hold",
        )
    uploads = [
        name
        for name, route in checked.plan.routes.items()
        if route.kind is RequestKind.UPLOAD and limits.body_bytes == 0
    ]
    if uploads:
        yield find(
            None,
            "body_bytes",
            f"0, but route {uploads[0]} is of kind upload",
            "expected more; its requests are refused",
        )


@plan_checks.register("priorities")
def _check_priorities(checked: CheckInput) -> Iterator[Finding]:
    find = _finder(checked, "organisations", FindingKind.UNUSUAL, Severity.NOTICE)
    plan = checked.plan
    by_route = {route.priority for route in plan.routes.values() if not route.open_to_all}
    for name, organisation in plan.organisations.items():
        others: set[int] = set()
        for other in plan.organisations.values():
            if other is not organisation:
                others |= by_route if other.priority is None else {other.priority}
        if others and organisation.priority is not None and organisation.priority > max(others):
            yield find(
                name,
                "priority",
                f"{organisation.priority}, below every other tenant on all routes",
                "under overload all its requests are refused before any other one with a key",
            )
