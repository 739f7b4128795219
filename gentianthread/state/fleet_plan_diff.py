"""Compare a configuration with the version in force, and find the risky steps.

Handles changes by operators that take service away from callers: routes, tenants and keys that are
removed, and limits that are lowered.
"""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from ..ids import RegionId, RouteId
from .fleet_plan import FleetOrganisation, FleetPlan, HostRoute
from .plan_diff import format_value
from .plan_findings import FieldPaths, Finding, FindingKind, Severity

# Limits where no limit is stated by None or 0.
_LIMITS = {
    "routes": ("timeout_ms", "max_attempts"),
    "services": ("max_connections", "warm_up_per_s"),
    "organisations": ("rate_per_s",),
}
# Limits where 0 means nothing rather than no limit.
_AMOUNTS = {"organisations": ("burst",)}

# Attributes that are compared by a function of their own, or that follow from the item's name.
_COMPARED_OTHERWISE = frozenset(
    ("route_id", "service_id", "organisation_id", "service_weights", "keys", "host", "prefix")
)

_NO_RISK = "takes effect with this version"

_SINGULAR = {"routes": "route", "services": "service", "organisations": "tenant"}
_EFFECT_OF_REMOVAL = {
    "services": "its upstreams get no requests",
    "organisations": "its requests get 401",
}


def compare_with_force(force: FleetPlan, plan: FleetPlan, paths: FieldPaths) -> list[Finding]:
    """Return what differs from the version in force."""
    comparison = _Comparison(force, plan, paths)
    findings = [
        finding
        for section in ("routes", "services", "organisations")
        for finding in comparison.compare_items(section)
    ]
    findings += comparison.compare_keys()
    findings += comparison.compare_limits()
    findings += comparison.compare_version(differs=bool(findings))
    return findings


class _Comparison:
    """Compare two plans."""

    def __init__(self, force: FleetPlan, plan: FleetPlan, paths: FieldPaths):
        self._force = force
        self._plan = plan
        self._paths = paths

    def compare_version(self, *, differs: bool) -> Iterator[Finding]:
        old, new = self._force.version, self._plan.version
        if new < old or (new == old and differs):
            yield Finding(
                Severity.ERROR,
                FindingKind.VERSION_NOT_NEWER,
                self._paths.path("version"),
                f"r{new} while r{old} is in force",
                "expected a higher one; nodes do not apply a version that is not newer",
            )

    def compare_items(self, section: str) -> Iterator[Finding]:
        old: Mapping[str, Any] = getattr(self._force, section)
        new: Mapping[str, Any] = getattr(self._plan, section)
        kind = _SINGULAR[section]
        if section == "routes":
            old = self._rename_routes()
        for name in sorted(old.keys() - new.keys()):
            yield Finding(
                Severity.WARNING,
                FindingKind.REMOVED,
                self._paths.path(section, name),
                f"{kind} is removed",
                self._effect_of_removal(section, old[name]),
            )
        for name in sorted(new.keys() - old.keys()):
            severity, effect = self._effect_of_addition(section, new[name])
            yield Finding(
                severity,
                FindingKind.ADDED,
                self._paths.path(section, name),
                f"{kind} is added",
                effect,
            )
        for name in sorted(old.keys() & new.keys()):
            if section == "routes":
                yield from self._compare_route(old[name], new[name])
            yield from self._compare_fields(section, name, old[name], new[name])

    def _rename_routes(self) -> dict[RouteId, HostRoute]:
        """Return the routes in force, with the new name where only the name changes."""
        names = {(each.host, each.prefix): name for name, each in self._plan.routes.items()}
        routes = {}
        for name, route in self._force.routes.items():
            new_name = names.get((route.host, route.prefix), name)
            is_renamed = name not in self._plan.routes and new_name not in self._force.routes
            routes[new_name if is_renamed else name] = route
        return routes

    def _effect_of_addition(self, section: str, item: Any) -> tuple[Severity, str]:
        """Return severity and effect; a route may take requests from one with a shorter prefix."""
        earlier = self._force.match(item.host, item.prefix) if section == "routes" else None
        if earlier is None:
            return Severity.NOTICE, _NO_RISK
        is_moved = earlier.service_weights != item.service_weights
        effect = f"it takes requests from route {earlier.route_id}"
        return Severity.WARNING if is_moved else Severity.NOTICE, effect

    def _effect_of_removal(self, section: str, item: Any) -> str:
        if section == "routes":
            return f"now {self._answer_at(item)}"
        return _EFFECT_OF_REMOVAL[section]

    def _answer_at(self, route: HostRoute) -> str:
        """Return what happens to requests at the place of a route that is gone."""
        other = self._plan.match(route.host, route.prefix)
        return "requests get 404" if other is None else f"route {other.route_id} gets the requests"

    def _compare_route(self, old: HostRoute, new: HostRoute) -> Iterator[Finding]:
        if (old.host, old.prefix) != (new.host, new.prefix):
            yield Finding(
                Severity.WARNING,
                FindingKind.REMOVED,
                self._paths.path("routes", new.route_id),
                f"moves from {old.host}{old.prefix} to {new.host}{new.prefix}",
                f"at the earlier place {self._answer_at(old)}",
            )
        if old.service_weights != new.service_weights:
            yield Finding(
                Severity.WARNING,
                FindingKind.CHANGED,
                self._paths.path("routes", new.route_id, "service_weights"),
                f"moves from {_describe_services(old)} to {_describe_services(new)}",
                "the services need capacity for the requests that come to them",
            )

    def _compare_fields(self, section: str, name: str, old: Any, new: Any) -> Iterator[Finding]:
        for field in attrs.fields(type(new)):
            attribute = field.name
            before, after = getattr(old, attribute), getattr(new, attribute)
            if attribute in _COMPARED_OTHERWISE or before == after:
                continue
            severity, kind, effect = _judge(section, attribute, old, new)
            yield Finding(
                severity,
                kind,
                self._paths.path(section, name, attribute),
                f"changes from {_describe(attribute, before)} to {_describe(attribute, after)}",
                effect,
            )

    def compare_keys(self) -> Iterator[Finding]:
        """Yield the keys that come, go or change their organisation; keys are not shown."""
        for name, new in sorted(self._plan.organisations.items()):
            old = self._force.organisations.get(name)
            if old is None:
                continue
            path = self._paths.path("organisations", name, "keys")
            withdrawn, given = set(old.keys) - set(new.keys), set(new.keys) - set(old.keys)
            if withdrawn:
                rest = "" if new.keys else "; the tenant has no key left"
                yield Finding(
                    Severity.WARNING,
                    FindingKind.REMOVED,
                    path,
                    f"{len(withdrawn)} of {len(set(old.keys))} keys are withdrawn",
                    f"requests with them get {self._answer_to(withdrawn)}{rest}",
                )
            if given:
                yield Finding(
                    Severity.NOTICE,
                    FindingKind.ADDED,
                    path,
                    f"{len(given)} keys are added",
                    _NO_RISK,
                )

    def _answer_to(self, withdrawn: set[str]) -> str:
        owners = {self._plan.organisation_of_key(key) for key in withdrawn} - {None}
        names = sorted(owner.organisation_id for owner in owners if owner is not None)
        return f"401, or count for tenant {', '.join(names)}" if names else "401"

    def compare_limits(self) -> Iterator[Finding]:
        old, new = self._force.limits, self._plan.limits
        for field in attrs.fields(type(new)):
            before, after = getattr(old, field.name), getattr(new, field.name)
            if before == after:
                continue
            lowered = after < before
            yield Finding(
                Severity.WARNING if lowered else Severity.NOTICE,
                FindingKind.LOWERED if lowered else FindingKind.CHANGED,
                self._paths.path("limits", None, field.name),
                f"changes from {_describe(field.name, before)} to {_describe(field.name, after)}",
                "callers above it are refused" if lowered else _NO_RISK,
            )


def _judge(
    section: str, attribute: str, old: HostRoute | FleetOrganisation, new: Any
) -> tuple[Severity, FindingKind, str]:
    """Return severity, kind and effect of a changed attribute."""
    before, after = getattr(old, attribute), getattr(new, attribute)
    if attribute in _LIMITS.get(section, ()):
        lowered = bool(after) and (not before or after < before)
    else:
        lowered = attribute in _AMOUNTS.get(section, ()) and after < before
    if lowered:
        return Severity.WARNING, FindingKind.LOWERED, "the limit is lowered"
    if attribute == "allowed_regions" and _loses_regions(before, after):
        return Severity.WARNING, FindingKind.LOWERED, "requests run in fewer regions"
    if attribute == "open_to_all" and after:
        return Severity.WARNING, FindingKind.OPENED, "requests are served without a key"
    if attribute == "kind" and new.repeatable and not old.repeatable:
        return Severity.WARNING, FindingKind.OPENED, "a request may run twice"
    if attribute == "priority" and (after or 0) > (before or 0):
        return Severity.WARNING, FindingKind.LOWERED, "requests are refused earlier under overload"
    return Severity.NOTICE, FindingKind.CHANGED, _NO_RISK


def _loses_regions(before: frozenset[RegionId] | None, after: frozenset[RegionId] | None) -> bool:
    return after is not None and (before is None or not before <= after)


def _describe(attribute: str, value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "none"
    return getattr(value, "value", None) or format_value(attribute, value)


def _describe_services(route: HostRoute) -> str:
    parts = [f"{part.service_id} ({part.weight:g})" for part in route.service_weights]
    return ", ".join(parts) or "no service"
