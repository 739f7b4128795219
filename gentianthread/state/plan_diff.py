"""Describe the differences between two plans, and warn of risky ones."""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from ..ids import Priority
from .plan import Plan, Profile
from .plan_rules import SECTIONS, link_name

# Name of the queue order that sheds important requests last.
_PRIORITY_ORDER = "priority"


@attrs.frozen
class PlanDiff:
    """List the differences between two plans.

    Attributes:
        changes: One line of text for each change.
        warnings: One line of text for each risky change.
    """

    changes: tuple[str, ...]
    warnings: tuple[str, ...]


def compare_plans(before: Plan, after: Plan) -> PlanDiff:
    """Return the changes from one plan to another, with warnings of risky ones."""
    changes = [*_compare_zones(before, after), *_compare_links(before, after)]
    for kind, rule in SECTIONS.items():
        old, new = getattr(before, rule.container), getattr(after, rule.container)
        changes += _compare_items(kind, rule.fields, old, new)
    changes += _compare_fractions(before, after)
    warnings = [
        *_warn_rates(before, after),
        *_warn_zones(before, after),
        *_warn_profiles(before, after),
        *_warn_routes(before, after),
        *_warn_upstreams(before, after),
        *_warn_keys(before, after),
    ]
    return PlanDiff(tuple(changes), tuple(warnings))


def _compare_zones(before: Plan, after: Plan) -> Iterator[str]:
    old, new = set(before.availability_zones), set(after.availability_zones)
    yield from (f"availability-zone {name} is removed" for name in sorted(old - new))
    yield from (f"availability-zone {name} is added" for name in sorted(new - old))


def _compare_links(before: Plan, after: Plan) -> Iterator[str]:
    old = {link_name(link): link.delay_ms for link in before.links}
    new = {link_name(link): link.delay_ms for link in after.links}
    yield from (f"link {name} is removed" for name in sorted(old.keys() - new.keys()))
    yield from (f"link {name} is added" for name in sorted(new.keys() - old.keys()))
    for name in sorted(old.keys() & new.keys()):
        if old[name] != new[name]:
            yield f"link {name}: delay changes from {old[name]:g} ms to {new[name]:g} ms"


def _compare_items(kind: str, fields: Mapping, old: Mapping, new: Mapping) -> Iterator[str]:
    yield from (f"{kind} {name} is removed" for name in sorted(old.keys() - new.keys()))
    yield from (f"{kind} {name} is added" for name in sorted(new.keys() - old.keys()))
    for name in sorted(old.keys() & new.keys()):
        for field, rule in fields.items():
            old_value = getattr(old[name], rule.attribute)
            new_value = getattr(new[name], rule.attribute)
            if old_value != new_value:
                change = (
                    f"from {format_value(rule.attribute, old_value)} "
                    f"to {format_value(rule.attribute, new_value)}"
                )
                yield f"{kind} {name}: {field} changes {change}"
        if kind == "key" and old[name] != new[name] and old[name].digest != new[name].digest:
            yield f"key {name}: digest changes, the earlier key stops working"


def _compare_fractions(before: Plan, after: Plan) -> Iterator[str]:
    for name in sorted(before.fractions.keys() & after.fractions.keys()):
        old, new = before.fractions[name], after.fractions[name]
        if abs(old - new) > 1e-9:
            yield f"upstream {name}: fraction changes from {old:.2%} to {new:.2%}"


def format_value(attribute: str, value: Any) -> str:
    """Return the value of an attribute as text, with the unit that its name states."""
    if isinstance(value, Priority):
        return value.name.lower()
    if isinstance(value, bool):
        return "yes" if value else "no"
    if attribute.endswith("_ms"):
        return f"{value:g} ms"
    if attribute.endswith("_per_s"):
        return f"{value:g}/s"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _warn_rates(before: Plan, after: Plan) -> Iterator[str]:
    for name in sorted(before.organisations.keys() & after.organisations.keys()):
        old, new = before.organisations[name], after.organisations[name]
        if new.rate_per_s < old.rate_per_s:
            cut = 1 - new.rate_per_s / old.rate_per_s
            yield (
                f"rate cut: organisation {name} gets {new.rate_per_s:g}/s in place of "
                f"{old.rate_per_s:g}/s ({cut:.0%} less); requests over it are refused"
            )
        if new.burst < old.burst:
            yield (
                f"burst cut: organisation {name} gets {new.burst:g} in place of {old.burst:g} "
                "requests at once"
            )
    for name in sorted(before.organisations.keys() - after.organisations.keys()):
        yield f"organisation {name} is removed; all its requests are refused"


def _serving_slots(plan: Plan) -> dict[tuple[str, str], int]:
    """Return the slots of upstreams that take work, by availability zone and service."""
    slots: dict[tuple[str, str], int] = {}
    for upstream in plan.upstreams.values():
        key = (upstream.availability_zone, upstream.service_id)
        slots[key] = slots.get(key, 0) + (0 if upstream.draining else upstream.slots)
    return slots


def _warn_zones(before: Plan, after: Plan) -> Iterator[str]:
    old, new = _serving_slots(before), _serving_slots(after)
    for zone in before.availability_zones:
        served = [
            service for key_zone, service in old if key_zone == zone and old[key_zone, service]
        ]
        if served and not any(new.get((zone, service)) for service in served):
            yield (
                f"availability zone {zone} is drained: none of its upstreams takes work; "
                "cut off from the other zones it serves nothing"
            )
            continue
        for service in sorted(served):
            if not new.get((zone, service)):
                yield f"service {service} has no upstream left in availability zone {zone}"


def _warn_profiles(before: Plan, after: Plan) -> Iterator[str]:
    for service_id in sorted(before.services.keys() & after.services.keys()):
        important = sorted(
            route.route_id
            for route in after.routes.values()
            if route.service_id == service_id and route.priority >= Priority.IMPORTANT
        )
        if not important:
            continue
        old, new = before.profile_of(service_id), after.profile_of(service_id)
        reasons = list(_shedding_reasons(old, new))
        if reasons:
            yield (
                f"service {service_id} sheds important requests earlier "
                f"(routes {', '.join(important)}): {'; '.join(reasons)}"
            )


def _shedding_reasons(old: Profile, new: Profile) -> Iterator[str]:
    if new.queue_order != old.queue_order and new.queue_order != _PRIORITY_ORDER:
        yield f"queue order {new.queue_order} does not put them first"
    if new.queue_limit < old.queue_limit:
        yield f"queue limit falls from {old.queue_limit} to {new.queue_limit}"
    if new.queue_target_ms < old.queue_target_ms:
        yield f"queue target falls from {old.queue_target_ms:g} ms to {new.queue_target_ms:g} ms"
    if new.max_concurrency and new.max_concurrency < (old.max_concurrency or float("inf")):
        yield f"at most {new.max_concurrency} requests run at once"
    if new.deadline_ms < old.deadline_ms:
        yield f"default deadline falls from {old.deadline_ms:g} ms to {new.deadline_ms:g} ms"


def _warn_routes(before: Plan, after: Plan) -> Iterator[str]:
    for name in sorted(before.routes.keys() & after.routes.keys()):
        old, new = before.routes[name], after.routes[name]
        if new.priority < old.priority:
            yield (
                f"route {name} falls from priority {old.priority.name.lower()} to "
                f"{new.priority.name.lower()}; it is shed earlier"
            )
        if new.open_to_all and not old.open_to_all:
            yield f"route {name} becomes open to all; it is served without a key"
        if new.idempotent and not old.idempotent:
            yield f"route {name} counts as idempotent; its requests may run twice"


def _warn_upstreams(before: Plan, after: Plan) -> Iterator[str]:
    for name in sorted(before.upstreams.keys() - after.upstreams.keys()):
        yield f"upstream {name} is removed; drain it before, or its running requests may be lost"
    for name in sorted(before.upstreams.keys() & after.upstreams.keys()):
        if after.upstreams[name].draining and not before.upstreams[name].draining:
            yield f"upstream {name} is drained; it takes no new work"


def _warn_keys(before: Plan, after: Plan) -> Iterator[str]:
    for name in sorted(before.keys.keys() - after.keys.keys()):
        owner = before.keys[name].organisation_id
        others = [key for key in after.keys.values() if key.organisation_id == owner]
        consequence = "" if others else "; the organisation has no key left"
        yield f"key {name} of organisation {owner} is withdrawn{consequence}"
