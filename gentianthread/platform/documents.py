"""Decode the documents of the platform's metadata store into the package's types."""

import ipaddress
import json
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from ..errors import DocumentError
from ..ids import (
    AvailabilityZoneId,
    ConfigVersion,
    OrganisationId,
    RegionId,
    RouteId,
    ServiceId,
    UpstreamId,
)
from ..state.directory import UpstreamEntry, UpstreamState
from ..state.fleet_plan import (
    CallerLimits,
    FleetOrganisation,
    FleetPlan,
    FleetService,
    HostRoute,
    RequestKind,
    WeightedService,
)
from ..transport.metadata_store import DocumentKind, DocumentReader

PLAN_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

# Largest number in a document; larger integers are not exact in JSON.
MAX_NUMBER = 2**53

_DURATION = re.compile(r"(\d{1,15}(?:\.\d{1,60})?)(ms|s)", re.ASCII)
_UNITS_MS = {"ms": 1.0, "s": 1_000.0}
_VERSION = re.compile(r"r(\d{1,15})", re.ASCII)
_PORT = re.compile(r"\d{1,5}", re.ASCII)
# Control characters would add lines to HTTP heads, and surrogates cannot be encoded.
_UNUSABLE_TEXT = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")
# Ids are sent to targets as the value of a header field.
_UPSTREAM_ID = re.compile(r"[!-~]{1,200}")

T = TypeVar("T")


class _Table:
    """Read and validate the fields of a table in a document."""

    def __init__(self, key: str, path: str, values: Any):
        if not isinstance(values, Mapping):
            raise DocumentError(key, path, "a table")
        self.key = key
        self.path = path
        self.values = values

    def error(self, field: str, expected: str) -> DocumentError:
        return DocumentError(self.key, f"{self.path}{field}", expected)

    def table(self, field: str) -> "_Table":
        return _Table(self.key, f"{self.path}{field}.", self.values.get(field, {}))

    def tables(self) -> "list[tuple[str, _Table]]":
        for name in self.values:
            if _UNUSABLE_TEXT.search(name):
                raise self.error(ascii(name), "a name without control characters and surrogates")
        return [(name, self.table(name)) for name in self.values]

    def text(self, field: str) -> str:
        value = self.values.get(field)
        if not isinstance(value, str) or not value or _UNUSABLE_TEXT.search(value):
            raise self.error(field, "a text without control characters and surrogates")
        return value

    def number(self, field: str, default: float | None = None) -> float:
        value = self.values.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(field, "a number of at least 0")
        # JSON decodes 1e999 as infinity and accepts NaN, for which both comparisons are false.
        if not 0 <= value <= MAX_NUMBER:
            raise self.error(field, f"a number from 0 to {MAX_NUMBER}")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        value = self.number(field, default)
        if value != int(value):
            raise self.error(field, "a whole number")
        return int(value)

    def boolean(self, field: str) -> bool:
        value = self.values.get(field, False)
        if not isinstance(value, bool):
            raise self.error(field, "true or false")
        return value

    def duration_ms(self, field: str, default_ms: float | None) -> float | None:
        value = self.values.get(field)
        if value is None:
            return default_ms
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise self.error(field, "a duration such as 1500ms or 2.5s")
        return float(match.group(1)) * _UNITS_MS[match.group(2)]

    def choice(self, field: str, choices: Mapping[str, T]) -> T:
        value = self.values.get(field)
        if not isinstance(value, str) or value not in choices:
            raise self.error(field, f"one of {', '.join(choices)}")
        return choices[value]


_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
    "upload": RequestKind.UPLOAD,
}
_UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


def read_plan(data: bytes) -> FleetPlan:
    """Decode the configuration document.

    Raises:
        DocumentError: The document is malformed or inconsistent.
    """
    table = _Table(PLAN_KEY, "", _parse(PLAN_KEY, data))
    services = {
        ServiceId(name): FleetService(
            ServiceId(name),
            entry.text("health_path"),
            entry.integer("max_connections"),
            entry.duration_ms("warmup", 0.0),
            entry.number("warmup_per_s", 0),
        )
        for name, entry in table.table("services").tables()
    }
    routes = {
        RouteId(name): _read_route(RouteId(name), entry, services)
        for name, entry in table.table("routes").tables()
    }
    organisations = {
        OrganisationId(name): _read_organisation(OrganisationId(name), entry)
        for name, entry in table.table("tenants").tables()
    }
    _check_unique(routes, organisations)
    return FleetPlan(_read_version(table), routes, services, organisations, _read_limits(table))


def _read_version(table: _Table) -> ConfigVersion:
    match = _VERSION.fullmatch(table.text("version"))
    if match is None:
        raise table.error("version", "r and a number")
    return ConfigVersion(int(match.group(1)))


def _read_route(
    route_id: RouteId, table: _Table, services: Mapping[ServiceId, FleetService]
) -> HostRoute:
    prefix = table.text("prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise table.error("prefix", "a path between slashes")
    return HostRoute(
        route_id,
        table.text("host").lower(),
        prefix,
        table.choice("kind", _REQUEST_KINDS),
        _read_weighted_services(table, services),
        max(1, table.integer("max_attempts", 1)),
        table.duration_ms("timeout", None),
        table.duration_ms("target_latency", None),
        table.integer("priority", 0),
        table.boolean("no_auth"),
        _read_regions(table),
    )


def _read_regions(table: _Table) -> frozenset[RegionId] | None:
    """Return the regions in which requests may run, or None if the field is missing or empty."""
    names = table.values.get("allowed_regions")
    if not names:
        return None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise table.error("allowed_regions", "a list of texts")
    return frozenset(RegionId(name) for name in names)


def _read_weighted_services(
    table: _Table, services: Mapping[ServiceId, FleetService]
) -> tuple[WeightedService, ...]:
    items = table.values.get("weighted_services")
    if items:
        if not isinstance(items, list):
            raise table.error("weighted_services", "a list")
        entries = [_Table(table.key, f"{table.path}weighted_services.", item) for item in items]
        weighted_services = tuple(
            WeightedService(ServiceId(entry.text("service")), entry.number("weight"))
            for entry in entries
        )
    else:
        weighted_services = (WeightedService(ServiceId(table.text("service")), 1.0),)
    if any(item.service_id not in services for item in weighted_services):
        raise table.error("service", "a service of this configuration")
    if sum(item.weight for item in weighted_services) <= 0:
        raise table.error("weighted_services", "a weight above 0")
    return weighted_services


def _read_organisation(organisation_id: OrganisationId, table: _Table) -> FleetOrganisation:
    keys = table.values.get("api_keys") or []
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise table.error("api_keys", "a list of texts")
    has_priority = table.values.get("priority") is not None
    return FleetOrganisation(
        organisation_id,
        tuple(keys),
        table.integer("priority") if has_priority else None,
        table.number("rate_per_s", 0),
        table.number("burst", 0),
        _read_regions(table),
    )


def _read_limits(table: _Table) -> CallerLimits:
    limits = table.table("limits")
    defaults = CallerLimits()
    return CallerLimits(
        limits.integer("max_header_bytes", defaults.header_bytes),
        limits.integer("max_body_bytes", defaults.body_bytes),
        limits.duration_ms("header_timeout", defaults.header_timeout_ms),
        limits.duration_ms("idle_timeout", defaults.idle_timeout_ms),
    )


def _check_unique(
    routes: Mapping[RouteId, HostRoute], organisations: Mapping[OrganisationId, FleetOrganisation]
) -> None:
    host_prefixes = [(route.host, route.prefix) for route in routes.values()]
    if len(set(host_prefixes)) < len(host_prefixes):
        raise DocumentError(PLAN_KEY, "routes", "one route for each host and prefix")
    keys = [key for organisation in organisations.values() for key in set(organisation.keys)]
    if len(set(keys)) < len(keys):
        raise DocumentError(PLAN_KEY, "tenants", "keys that belong to one organisation each")


def read_upstream(upstream_id: UpstreamId, data: bytes) -> UpstreamEntry:
    """Decode the entry of an upstream.

    Raises:
        DocumentError: The entry is malformed; other programs may write to the store, too.
    """
    table = _Table(UPSTREAM_PREFIX + upstream_id, "", _parse(UPSTREAM_PREFIX + upstream_id, data))
    if not _UPSTREAM_ID.fullmatch(upstream_id):
        raise table.error("", "a key with an id of visible ASCII characters")
    host, _, port = table.text("address").rpartition(":")
    if not _is_instance_address(host) or not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise table.error("address", "an IP address of an instance and a port")
    return UpstreamEntry(
        upstream_id,
        ServiceId(table.text("service")),
        host,
        int(port),
        AvailabilityZoneId(table.text("zone")),
        max(1, table.integer("slots")),
        table.choice("state", _UPSTREAM_STATES),
        table.duration_ms("warmup_left", 0.0),
        # Wall clock of the upstream's start; older upstreams do not write this field.
        table.integer("born", 0),
        table.integer("sequence", 0),
    )


def _is_instance_address(host: str) -> bool:
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    # A connection to the unspecified address would reach this node itself.
    return not (address.is_unspecified or address.is_multicast)


def _parse(key: str, data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(key, "", "a JSON document") from error


class JsonDocuments(DocumentReader):
    """Decode the JSON documents of the metadata store."""

    plan = staticmethod(read_plan)
    upstream: Callable[[UpstreamId, bytes], UpstreamEntry] = staticmethod(read_upstream)

    def kind(self, key: str) -> DocumentKind:
        """Return the kind of the document stored under a key."""
        if key == PLAN_KEY:
            return DocumentKind.PLAN
        return DocumentKind.UPSTREAM if key.startswith(UPSTREAM_PREFIX) else DocumentKind.OTHER

    def upstream_id(self, key: str) -> UpstreamId:
        """Return the id of the upstream whose entry is stored under a key."""
        return UpstreamId(key.removeprefix(UPSTREAM_PREFIX))
