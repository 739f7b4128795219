"""Serialise a plan to its published form and parse it.

The payload of a bundle is the canonical CBOR array `[FORMAT, version, content]`; its digest is the
SHA-256 of the payload. The bundle is published as `bundle/head` and `bundle/<version>/<part>`.
"""

import hashlib
import math
from collections.abc import Mapping
from typing import Any, get_type_hints

import attrs
import cbor2

from ..errors import BundleError
from ..ids import ConfigVersion, Priority
from .plan import Key, Link, Organisation, Plan, Profile, Route, Service, Upstream
from .plan_rules import find_problems, order_routes

FORMAT = 1

# The platform accepts values of at most 1 MB.
PART_LIMIT_BYTES = 1_000_000

# Limits the memory use that an invalid head can cause; a plan of 670 upstreams needs one part.
PART_COUNT_LIMIT = 16

# Messages encode versions as 64-bit integers.
VERSION_LIMIT = 2**63

HEAD_KEY = "bundle/head"

_TABLE_CLASSES: dict[str, type] = {
    "profiles": Profile,
    "services": Service,
    "routes": Route,
    "upstreams": Upstream,
    "organisations": Organisation,
    "keys": Key,
}


@attrs.frozen
class BundleHead:
    """Identify a published bundle.

    Attributes:
        version: Its version.
        digest: SHA-256 of its payload.
        part_count: Number of its parts.
    """

    version: ConfigVersion
    digest: bytes
    part_count: int


@attrs.frozen
class Bundle:
    """Store one published version, which `decode_plan` has yet to check.

    Attributes:
        version: Stated version.
        digest: Stated SHA-256 of the payload.
        payload: Canonical CBOR of the plan.
    """

    version: ConfigVersion
    digest: bytes
    payload: bytes = attrs.field(repr=False)

    @property
    def part_count(self) -> int:
        """Return the number of parts."""
        return max(1, math.ceil(len(self.payload) / PART_LIMIT_BYTES))

    @property
    def head(self) -> BundleHead:
        """Return the head that identifies the bundle."""
        return BundleHead(self.version, self.digest, self.part_count)

    def part(self, number: int) -> bytes:
        """Return one part of the payload; numbers start at 0."""
        return self.payload[number * PART_LIMIT_BYTES : (number + 1) * PART_LIMIT_BYTES]


def part_key(version: int, number: int) -> str:
    """Return the key under which a part is published."""
    return f"bundle/{version}/{number}"


def make_bundle(plan: Plan) -> Bundle:
    """Return the bundle of a plan; equal plans give identical bytes."""
    payload = cbor2.dumps([FORMAT, plan.version, _pack_plan(plan)], canonical=True)
    return Bundle(plan.version, hashlib.sha256(payload).digest(), payload)


def make_published_values(bundle: Bundle) -> dict[str, bytes]:
    """Return the values to publish by key.

    The head comes last, so that it never refers to parts that are not yet published.
    """
    parts = {
        part_key(bundle.version, number): bundle.part(number) for number in range(bundle.part_count)
    }
    return {**parts, HEAD_KEY: encode_head(bundle.head)}


def encode_head(head: BundleHead) -> bytes:
    """Serialise a head to its published form."""
    return cbor2.dumps([FORMAT, head.version, head.digest, head.part_count], canonical=True)


def decode_head(data: bytes) -> BundleHead:
    """Parse the published form of a head.

    Raises:
        BundleError: The data is not a valid head.
    """
    items = _load_cbor(data, None, "head")
    if not isinstance(items, list) or len(items) != 4:
        raise BundleError(None, "head", "not an array of 4 items")
    version = _check_version(items[1], "head")
    if items[0] != FORMAT:
        raise BundleError(version, "head", f"format {items[0]!r} in place of {FORMAT}")
    if not isinstance(items[2], bytes) or len(items[2]) != 32:
        raise BundleError(version, "head", "digest is not 32 bytes")
    if not _is_int(items[3]) or not 1 <= items[3] <= PART_COUNT_LIMIT:
        raise BundleError(version, "head", f"part count is not from 1 to {PART_COUNT_LIMIT}")
    return BundleHead(version, items[2], items[3])


def join_parts(head: BundleHead, parts: list[bytes]) -> Bundle:
    """Assemble a bundle from its head and parts; `decode_plan` checks its content.

    Raises:
        BundleError: The number or the size of the parts is wrong.
    """
    if len(parts) != head.part_count:
        problem = f"{len(parts)} parts in place of {head.part_count}"
        raise BundleError(head.version, "parts", problem)
    for number, part in enumerate(parts):
        if len(part) > PART_LIMIT_BYTES:
            raise BundleError(head.version, f"part {number}", f"{len(part)} bytes are too many")
    return Bundle(head.version, head.digest, b"".join(parts))


def decode_plan(bundle: Bundle) -> Plan:
    """Check a bundle and return its plan; the result depends only on the bundle.

    Raises:
        BundleError: The digest, encoding or content is invalid.
    """
    version = bundle.version
    if hashlib.sha256(bundle.payload).digest() != bundle.digest:
        raise BundleError(version, "payload", "digest does not match")
    items = _load_cbor(bundle.payload, version, "payload")
    if not isinstance(items, list) or len(items) != 3 or items[0] != FORMAT:
        raise BundleError(version, "payload", f"not an array of format {FORMAT}")
    if _check_version(items[1], "payload") != version:
        raise BundleError(version, "payload", f"holds version {items[1]}")
    plan = _unpack_plan(version, items[2])
    problems = find_problems(plan)
    if problems:
        first = problems[0]
        part = f"{first.kind} {first.name} {first.field}"
        raise BundleError(version, part, f"{first.found!r}; expected {first.expected}")
    # Another encoding of the same plan has another digest and would count as a conflict.
    if make_bundle(plan).payload != bundle.payload:
        raise BundleError(version, "payload", "not in canonical form")
    return plan


def _pack_plan(plan: Plan) -> list:
    return [
        sorted(plan.availability_zones),
        [_pack(link) for link in sorted(plan.links, key=lambda link: (link.first, link.second))],
        *[
            [_pack(items[name]) for name in sorted(items)]
            for items in (getattr(plan, table) for table in _TABLE_CLASSES)
        ],
        {name: float(fraction) for name, fraction in plan.fractions.items()},
    ]


def _pack(item: Any) -> list:
    types = _field_types(type(item))
    values = [getattr(item, name) for name in types]
    return [
        float(value) if kind is float else int(value) if kind is Priority else value
        for kind, value in zip(types.values(), values, strict=True)
    ]


def _unpack_plan(version: ConfigVersion, content: Any) -> Plan:
    if not isinstance(content, list) or len(content) != 3 + len(_TABLE_CLASSES):
        raise BundleError(version, "plan", f"not an array of {3 + len(_TABLE_CLASSES)} items")
    zones, links, *containers, fractions = content
    tables = {
        name: _unpack_table(version, name, cls, items)
        for (name, cls), items in zip(_TABLE_CLASSES.items(), containers, strict=True)
    }
    tables["routes"] = order_routes(tables["routes"].values())
    return Plan(
        version=version,
        availability_zones=tuple(_unpack_names(version, zones)),
        links=tuple(_unpack_all(version, "links", Link, links)),
        fractions=_unpack_fractions(version, fractions),
        **tables,
    )


def _unpack_names(version: ConfigVersion, items: Any) -> list[str]:
    if not isinstance(items, list) or not all(isinstance(item, str) for item in items):
        raise BundleError(version, "availability_zones", "not an array of names")
    return items


def _unpack_fractions(version: ConfigVersion, items: Any) -> dict:
    if not isinstance(items, dict) or not all(
        isinstance(name, str) and _is_finite(value) for name, value in items.items()
    ):
        raise BundleError(version, "fractions", "not a map of names to numbers")
    return {name: items[name] for name in sorted(items)}


def _unpack_table(version: ConfigVersion, part: str, cls: type, items: Any) -> dict:
    table: dict[str, Any] = {}
    for item in _unpack_all(version, part, cls, items):
        name = getattr(item, attrs.fields(cls)[0].name)
        if name in table:
            raise BundleError(version, part, f"{name!r} is there twice")
        table[name] = item
    return table


def _unpack_all(version: ConfigVersion, part: str, cls: type, items: Any) -> list:
    if not isinstance(items, list):
        raise BundleError(version, part, "not an array")
    return [_unpack(version, part, cls, item) for item in items]


def _unpack(version: ConfigVersion, part: str, cls: type, values: Any) -> Any:
    types = _field_types(cls)
    if not isinstance(values, list) or len(values) != len(types):
        raise BundleError(version, part, f"not an array of {len(types)} items")
    for (name, kind), value in zip(types.items(), values, strict=True):
        if not _is_valid(kind, value):
            raise BundleError(version, part, f"{name} is no {kind.__name__}")
    kinds = types.values()
    return cls(*[Priority(v) if k is Priority else v for k, v in zip(kinds, values, strict=True)])


def _is_valid(kind: type, value: Any) -> bool:
    if kind is float:
        return _is_finite(value)
    if kind is Priority:
        return _is_int(value) and value in set(Priority)
    if kind is int:
        return _is_int(value) and 0 <= value < VERSION_LIMIT
    return isinstance(value, kind)


_field_types_by_class: dict[type, Mapping[str, type]] = {}


def _field_types(cls: type) -> Mapping[str, type]:
    """Return the type of each field of a class, with `NewType` replaced by its base type."""
    if cls not in _field_types_by_class:
        hints = get_type_hints(cls)
        _field_types_by_class[cls] = {
            field.name: getattr(hints[field.name], "__supertype__", hints[field.name])
            for field in attrs.fields(cls)
        }
    return _field_types_by_class[cls]


def _load_cbor(data: bytes, version: int | None, part: str) -> Any:
    try:
        return cbor2.loads(data)
    except Exception as error:  # cbor2 raises several exception types on invalid input.
        raise BundleError(version, part, f"not CBOR: {type(error).__name__}") from error


def _check_version(value: Any, part: str) -> ConfigVersion:
    if not _is_int(value) or not 1 <= value < VERSION_LIMIT:
        raise BundleError(None, part, "version is not a positive whole number")
    return ConfigVersion(value)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_finite(value: Any) -> bool:
    return isinstance(value, float) and math.isfinite(value)
