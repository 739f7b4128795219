"""Define the valid values of a plan; declarations and bundles are checked by the same rules."""

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import attrs

from ..ids import ANONYMOUS, Priority
from ..registry import Registry
from .backlog import queue_orders
from .choosers import choosers
from .limiters import limiters
from .plan import Key, Link, Organisation, Plan, Profile, Route, Service, Upstream

METHODS = ("*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")

# Rounding errors of the separate fractions may raise their sum above 1 by this much.
FRACTION_TOLERANCE = 1e-9

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_DURATION = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|min)")
_RATE = re.compile(r"(\d+(?:\.\d+)?) ?/ ?s")
_DIGEST = re.compile(r"([0-9a-f]{2,128}):([0-9a-f]{64})")
_DURATION_FACTORS = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0}


@attrs.frozen
class Problem:
    """Describe one invalid value of a plan.

    Attributes:
        kind: Kind of the section, such as "route".
        name: Name of the section.
        field: Name of the field in declarations.
        found: The value.
        expected: The expected form.
    """

    kind: str
    name: str
    field: str
    found: str
    expected: str


@attrs.frozen
class FieldRule:
    """Define the syntax and the valid values of a field.

    Attributes:
        attribute: Attribute of the plan class.
        expected: The expected form, for error messages.
        parse: Converts a text to a value; raises ValueError or KeyError.
        valid: Returns whether a value is in range.
        refers_to: Kind of section that the value refers to, or None.
        required: Whether declarations must set it.
        placeholder: Replaces a missing or unreadable value, so that the check can go on.
    """

    attribute: str
    expected: str
    parse: Callable[[str], Any]
    valid: Callable[[Any], bool]
    refers_to: str | None = None
    required: bool = True
    placeholder: Any = None


@attrs.frozen
class SectionRule:
    """Define the fields of one kind of section.

    Attributes:
        cls: Class of its objects in the plan.
        container: Attribute of the plan with these objects by name.
        id_attribute: Attribute of the class with the name.
        fields: Rules by field name in declarations.
    """

    cls: type
    container: str
    id_attribute: str
    fields: Mapping[str, FieldRule]


def valid_name(name: str) -> bool:
    """Return whether a text is a valid name of a section."""
    return _NAME.fullmatch(name) is not None


def parse_duration_ms(text: str) -> float:
    """Parse a duration with its unit, such as `5 s`, and return it in ms."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(text)
    return float(match[1]) * _DURATION_FACTORS[match[2]]


def parse_digest(text: str) -> tuple[bytes, bytes]:
    """Parse the salt and the digest of a key, `SALT:DIGEST` in hexadecimal."""
    match = _DIGEST.fullmatch(text)
    if match is None or len(match[1]) % 2:
        raise ValueError(text)
    return bytes.fromhex(match[1]), bytes.fromhex(match[2])


def _parse_rate(text: str) -> float:
    match = _RATE.fullmatch(text)
    if match is None:
        raise ValueError(text)
    return float(match[1])


def _parse_bool(text: str) -> bool:
    return {"yes": True, "no": False}[text]


def _parse_priority(text: str) -> Priority:
    return {priority.name.lower(): priority for priority in Priority}[text]


def _parse_number(text: str) -> float:
    if not re.fullmatch(r"\d+(\.\d+)?", text):
        raise ValueError(text)
    return float(text)


def _parse_int(text: str) -> int:
    if not re.fullmatch(r"\d+", text):
        raise ValueError(text)
    return int(text)


def _duration(attribute: str, low_ms: float, high_ms: float, required: bool = False) -> FieldRule:
    return FieldRule(
        attribute,
        f"a duration with its unit, such as 20 ms or 5 s, from {low_ms:g} ms to {high_ms:g} ms",
        parse_duration_ms,
        lambda value: low_ms <= value <= high_ms,
        required=required,
        placeholder=low_ms,
    )


def _integer(attribute: str, low: int, high: int, required: bool = False) -> FieldRule:
    return FieldRule(
        attribute,
        f"a whole number from {low} to {high}",
        _parse_int,
        lambda value: low <= value <= high,
        required=required,
        placeholder=low,
    )


def _number(attribute: str, low: float, high: float, required: bool = False) -> FieldRule:
    return FieldRule(
        attribute,
        f"a number from {low:g} to {high:g}",
        _parse_number,
        lambda value: low <= value <= high,
        required=required,
        placeholder=low,
    )


def _yes_no(attribute: str, required: bool = False) -> FieldRule:
    return FieldRule(
        attribute,
        "yes or no",
        _parse_bool,
        lambda value: isinstance(value, bool),
        required=required,
        placeholder=False,
    )


def _registered(attribute: str, registry: Registry) -> FieldRule:
    """Return the rule of a field that names an entry of a registry.

    An unknown name has to be refused with the bundle: once in force, it would fail in every node.
    """
    names = registry.names()
    expected = f"one of {', '.join(names)}"
    return FieldRule(
        attribute, expected, str, names.__contains__, required=False, placeholder=names[0]
    )


def _reference(attribute: str, kind: str) -> FieldRule:
    return FieldRule(
        attribute, f"the name of a declared {kind}", str, valid_name, kind, placeholder="none"
    )


def _valid_host(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _valid_path(path: str) -> bool:
    return path.startswith("/") and not re.search(r"[?#%\s]|//|/\.\.?(/|$)", path)


def _one_of(attribute: str, choices: tuple[str, ...], parse, valid, placeholder) -> FieldRule:
    expected = f"one of {', '.join(choices)}"
    return FieldRule(attribute, expected, parse, valid, placeholder=placeholder)


_PROFILE_FIELDS = {
    "queue_target": _duration("queue_target_ms", 1, 60_000),
    "queue_limit": _integer("queue_limit", 0, 100_000),
    "limiter": _registered("limiter", limiters),
    "min_concurrency": _integer("min_concurrency", 1, 100_000),
    "max_concurrency": _integer("max_concurrency", 0, 100_000),
    "queue_order": _registered("queue_order", queue_orders),
    "chooser": _registered("chooser", choosers),
    "retry_allowance": _integer("retry_allowance", 0, 20),
    "retry_ratio": _number("retry_ratio", 0, 1),
    "hedging": _yes_no("hedging"),
    "hedge_delay": _duration("hedge_delay_ms", 1, 60_000),
    "deadline": _duration("deadline_ms", 1, 3_600_000),
    "slow_start": _duration("slow_start_ms", 0, 600_000),
    "probe_interval": _duration("probe_interval_ms", 100, 600_000),
    "idempotency_window": _duration("idempotency_window_ms", 1_000, 3_600_000),
}

_ROUTE_FIELDS = {
    "service": _reference("service_id", "service"),
    "method": _one_of("method", METHODS, str, METHODS.__contains__, "GET"),
    "path": FieldRule(
        "path_prefix",
        "a path that starts with / and has no query, escapes or empty segments",
        str,
        _valid_path,
        placeholder="/",
    ),
    "idempotent": _yes_no("idempotent", required=True),
    "priority": _one_of(
        "priority",
        tuple(priority.name.lower() for priority in Priority),
        _parse_priority,
        lambda value: isinstance(value, Priority),
        Priority.NORMAL,
    ),
    "open": _yes_no("open_to_all"),
    "deadline": _duration("deadline_ms", 1, 3_600_000),
}

_UPSTREAM_FIELDS = {
    "service": _reference("service_id", "service"),
    "availability_zone": _reference("availability_zone", "availability-zone"),
    "host": FieldRule("host", "an IP address", str, _valid_host, placeholder="127.0.0.1"),
    "peer_port": _integer("peer_port", 1, 65_535, required=True),
    "caller_port": _integer("caller_port", 1, 65_535, required=True),
    "target_port": _integer("target_port", 1, 65_535, required=True),
    "slots": _integer("slots", 1, 100_000, required=True),
    "connections": _integer("connections", 1, 100_000, required=True),
    "draining": _yes_no("draining"),
}

_ORGANISATION_FIELDS = {
    "rate": FieldRule(
        "rate_per_s",
        "a rate per second, such as 400/s, from 0.1/s to 1000000/s",
        _parse_rate,
        lambda value: 0.1 <= value <= 1_000_000,
        placeholder=1.0,
    ),
    "burst": _number("burst", 1, 10_000_000, required=True),
    "weight": _number("weight", 0.001, 1_000),
}

SECTIONS: dict[str, SectionRule] = {
    "profile": SectionRule(Profile, "profiles", "profile_id", _PROFILE_FIELDS),
    "service": SectionRule(
        Service, "services", "service_id", {"profile": _reference("profile_id", "profile")}
    ),
    "route": SectionRule(Route, "routes", "route_id", _ROUTE_FIELDS),
    "upstream": SectionRule(Upstream, "upstreams", "upstream_id", _UPSTREAM_FIELDS),
    "organisation": SectionRule(
        Organisation, "organisations", "organisation_id", _ORGANISATION_FIELDS
    ),
    "key": SectionRule(
        Key,
        "keys",
        "key_id",
        {"organisation": _reference("organisation_id", "organisation")},
    ),
}

LINK_DELAY = _duration("delay_ms", 0, 60_000, required=True)
KEY_DIGEST_EXPECTED = (
    "SALT:DIGEST in hexadecimal, 4 to 64 bytes and 32 bytes, as `gentianctl key new` prints it"
)
FRACTION = _number("fraction", 0, 1)


def order_routes(routes: Iterable[Route]) -> dict[str, Route]:
    """Return routes by id, those for one method before those for all methods.

    The plan uses the first route of a path that matches, so a route for one method has no effect
    after a route for all methods.
    """
    ordered = sorted(routes, key=lambda route: (route.method == "*", route.route_id))
    return {route.route_id: route for route in ordered}


def find_problems(plan: Plan) -> list[Problem]:
    """Return every invalid value of a plan, in a fixed order."""
    problems = [*_check_zones(plan)]
    for kind, rule in SECTIONS.items():
        for name, item in getattr(plan, rule.container).items():
            problems.extend(_check_item(plan, kind, rule, name, item))
    problems.extend(_check_links(plan))
    problems.extend(_check_keys(plan))
    problems.extend(_check_routes(plan))
    problems.extend(_check_addresses(plan))
    problems.extend(_check_fractions(plan))
    return problems


def _declared_names(plan: Plan, kind: str) -> Any:
    if kind == "availability-zone":
        return plan.availability_zones
    return getattr(plan, SECTIONS[kind].container)


def _check_zones(plan: Plan) -> Iterator[Problem]:
    for name in plan.availability_zones:
        yield from _check_name("availability-zone", name)
    if len(set(plan.availability_zones)) < len(plan.availability_zones):
        yield Problem("availability-zone", "", "name", "", "a name that no other section has")
    if ANONYMOUS in plan.organisations:
        yield Problem(
            "organisation", ANONYMOUS, "name", ANONYMOUS, "a name other than the reserved one"
        )


def _check_name(kind: str, name: str) -> Iterator[Problem]:
    if not valid_name(name):
        expected = "a name of lower-case letters, digits, dots and hyphens, at most 63"
        yield Problem(kind, name, "name", name, expected)


def _check_item(plan: Plan, kind: str, rule: SectionRule, name: str, item) -> Iterator[Problem]:
    yield from _check_name(kind, name)
    for field, field_rule in rule.fields.items():
        value = getattr(item, field_rule.attribute)
        dangling = field_rule.refers_to is not None and value not in _declared_names(
            plan, field_rule.refers_to
        )
        if not field_rule.valid(value) or dangling:
            yield Problem(kind, name, field, str(value), field_rule.expected)
    if kind == "profile" and 0 < item.max_concurrency < item.min_concurrency:
        expected = f"0 or at least min_concurrency, which is {item.min_concurrency}"
        yield Problem(kind, name, "max_concurrency", str(item.max_concurrency), expected)


def _check_links(plan: Plan) -> Iterator[Problem]:
    seen: set[frozenset[str]] = set()
    for link in plan.links:
        name = link_name(link)
        for zone in (link.first, link.second):
            if zone not in plan.availability_zones:
                yield Problem(
                    "link", name, "name", zone, "the name of a declared availability-zone"
                )
        if link.first == link.second:
            yield Problem("link", name, "name", name, "two different availability zones")
        if frozenset((link.first, link.second)) in seen:
            yield Problem("link", name, "name", name, "one link for each pair of zones")
        seen.add(frozenset((link.first, link.second)))
        if not LINK_DELAY.valid(link.delay_ms):
            yield Problem("link", name, "delay", str(link.delay_ms), LINK_DELAY.expected)


def link_name(link: Link) -> str:
    """Return the name of a link's section in declarations."""
    return f"{link.first} {link.second}"


def _check_keys(plan: Plan) -> Iterator[Problem]:
    for name, key in plan.keys.items():
        if not 4 <= len(key.salt) <= 64 or len(key.digest) != 32:
            found = f"{key.salt.hex()}:{key.digest.hex()}"
            yield Problem("key", name, "digest", found, KEY_DIGEST_EXPECTED)


def _check_routes(plan: Plan) -> Iterator[Problem]:
    owners: dict[tuple[str, str], str] = {}
    for name in sorted(plan.routes):
        route = plan.routes[name]
        key = (route.method, route.path_prefix.rstrip("/"))
        if key in owners:
            expected = f"a method and path that route {owners[key]} does not have"
            yield Problem("route", name, "path", f"{route.method} {route.path_prefix}", expected)
        owners.setdefault(key, name)


def _check_addresses(plan: Plan) -> Iterator[Problem]:
    owners: dict[tuple[str, int], str] = {}
    for name in sorted(plan.upstreams):
        upstream = plan.upstreams[name]
        for field in ("peer_port", "caller_port", "target_port"):
            address = (upstream.host, getattr(upstream, field))
            if address in owners:
                expected = f"a port of {upstream.host} that {owners[address]} does not use"
                yield Problem("upstream", name, field, str(address[1]), expected)
            owners.setdefault(address, f"upstream {name}")


def _check_fractions(plan: Plan) -> Iterator[Problem]:
    for name, fraction in plan.fractions.items():
        if name not in plan.upstreams:
            yield Problem(
                "upstream", name, "fraction", str(fraction), "the name of a declared upstream"
            )
        elif not FRACTION.valid(fraction):
            yield Problem("upstream", name, "fraction", str(fraction), FRACTION.expected)
    total = sum(plan.fractions.values())
    if total > 1 + FRACTION_TOLERANCE:
        first = min(plan.fractions)
        found = f"{plan.fractions[first]:g}"
        expected = f"fractions that sum to at most 1 over all upstreams; the sum is {total:g}"
        yield Problem("upstream", first, "fraction", found, expected)
