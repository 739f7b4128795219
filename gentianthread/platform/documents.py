"""Decode the documents of the platform's store into the product's types."""

import json
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from ..errors import DocumentError
from ..ids import AvailabilityZoneId, ConfigVersion, OrganisationId, RouteId, ServiceId, UpstreamId
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

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_UNITS_MS = {"ms": 1.0, "s": 1_000.0}
_VERSION = re.compile(r"r(\d+)")

T = TypeVar("T")


class _Fields:
    """Read the fields of one table with checked types."""

    def __init__(self, key: str, place: str, table: Any):
        if not isinstance(table, Mapping):
            raise DocumentError(key, place, "a table")
        self.key = key
        self.place = place
        self.table = table

    def reject(self, field: str, expected: str) -> DocumentError:
        return DocumentError(self.key, f"{self.place}{field}", expected)

    def inner(self, field: str) -> "_Fields":
        return _Fields(self.key, f"{self.place}{field}.", self.table.get(field, {}))

    def each(self) -> "list[tuple[str, _Fields]]":
        return [(str(name), self.inner(name)) for name in self.table]

    def text(self, field: str) -> str:
        value = self.table.get(field)
        if not isinstance(value, str) or not value:
            raise self.reject(field, "a text")
        return value

    def number(self, field: str, default: float | None = None) -> float:
        value = self.table.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self.reject(field, "a number of at least 0")
        return value

    def whole(self, field: str, default: int | None = None) -> int:
        value = self.number(field, default)
        if value != int(value):
            raise self.reject(field, "a whole number")
        return int(value)

    def flag(self, field: str) -> bool:
        value = self.table.get(field, False)
        if not isinstance(value, bool):
            raise self.reject(field, "true or false")
        return value

    def duration_ms(self, field: str, default_ms: float | None) -> float | None:
        value = self.table.get(field)
        if value is None:
            return default_ms
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise self.reject(field, "a duration such as 1500ms or 2.5s")
        return float(match.group(1)) * _UNITS_MS[match.group(2)]

    def word(self, field: str, words: Mapping[str, T]) -> T:
        value = self.table.get(field)
        if not isinstance(value, str) or value not in words:
            raise self.reject(field, f"one of {', '.join(words)}")
        return words[value]


_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}
_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


def read_plan(data: bytes) -> FleetPlan:
    """Decode a configuration.

    Raises:
        DocumentError: The document is malformed or contradicts itself.
    """
    fields = _Fields(PLAN_KEY, "", _parse(PLAN_KEY, data))
    services = {
        ServiceId(name): FleetService(
            ServiceId(name), inner.text("health_path"), inner.whole("max_connections")
        )
        for name, inner in fields.inner("services").each()
    }
    routes = {
        RouteId(name): _read_route(RouteId(name), inner, services)
        for name, inner in fields.inner("routes").each()
    }
    organisations = {
        OrganisationId(name): _read_organisation(OrganisationId(name), inner)
        for name, inner in fields.inner("tenants").each()
    }
    _check_unique(routes, organisations)
    return FleetPlan(_read_version(fields), routes, services, organisations, _read_limits(fields))


def _read_version(fields: _Fields) -> ConfigVersion:
    match = _VERSION.fullmatch(fields.text("version"))
    if match is None:
        raise fields.reject("version", "r and a number")
    return ConfigVersion(int(match.group(1)))


def _read_route(
    route_id: RouteId, fields: _Fields, services: Mapping[ServiceId, FleetService]
) -> HostRoute:
    prefix = fields.text("prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise fields.reject("prefix", "a path between slashes")
    return HostRoute(
        route_id,
        fields.text("host").lower(),
        prefix,
        fields.word("kind", _KINDS),
        _read_parts(fields, services),
        max(1, fields.whole("max_attempts", 1)),
        fields.duration_ms("timeout", None),
        fields.duration_ms("target_latency", None),
        fields.whole("priority", 0),
        fields.flag("no_auth"),
    )


def _read_parts(
    fields: _Fields, services: Mapping[ServiceId, FleetService]
) -> tuple[WeightedService, ...]:
    weighted = fields.table.get("weighted_services")
    if weighted:
        if not isinstance(weighted, list):
            raise fields.reject("weighted_services", "a list")
        inner = [_Fields(fields.key, f"{fields.place}weighted_services.", one) for one in weighted]
        parts = tuple(
            WeightedService(ServiceId(one.text("service")), one.number("weight")) for one in inner
        )
    else:
        parts = (WeightedService(ServiceId(fields.text("service")), 1.0),)
    if any(part.service_id not in services for part in parts):
        raise fields.reject("service", "a service of this configuration")
    if sum(part.weight for part in parts) <= 0:
        raise fields.reject("weighted_services", "a weight above 0")
    return parts


def _read_organisation(organisation_id: OrganisationId, fields: _Fields) -> FleetOrganisation:
    keys = fields.table.get("api_keys") or []
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise fields.reject("api_keys", "a list of texts")
    has_priority = fields.table.get("priority") is not None
    return FleetOrganisation(
        organisation_id,
        tuple(keys),
        fields.whole("priority") if has_priority else None,
        fields.number("rate_per_s", 0),
        fields.number("burst", 0),
    )


def _read_limits(fields: _Fields) -> CallerLimits:
    limits = fields.inner("limits")
    usual = CallerLimits()
    return CallerLimits(
        limits.whole("max_header_bytes", usual.header_bytes),
        limits.whole("max_body_bytes", usual.body_bytes),
        limits.duration_ms("header_timeout", usual.header_timeout_ms),
        limits.duration_ms("idle_timeout", usual.idle_timeout_ms),
    )


def _check_unique(
    routes: Mapping[RouteId, HostRoute], organisations: Mapping[OrganisationId, FleetOrganisation]
) -> None:
    places = [(route.host, route.prefix) for route in routes.values()]
    if len(set(places)) < len(places):
        raise DocumentError(PLAN_KEY, "routes", "one route for each host and prefix")
    keys = [key for found in organisations.values() for key in set(found.keys)]
    if len(set(keys)) < len(keys):
        raise DocumentError(PLAN_KEY, "tenants", "keys that belong to one organisation each")


def read_upstream(upstream_id: UpstreamId, data: bytes) -> UpstreamEntry:
    """Decode the entry of an upstream.

    Raises:
        DocumentError: The entry is malformed, as those of other writers may be.
    """
    fields = _Fields(UPSTREAM_PREFIX + upstream_id, "", _parse(UPSTREAM_PREFIX + upstream_id, data))
    host, _, port = fields.text("address").rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise fields.reject("address", "an IP address and a port")
    return UpstreamEntry(
        upstream_id,
        ServiceId(fields.text("service")),
        host,
        int(port),
        AvailabilityZoneId(fields.text("zone")),
        max(1, fields.whole("slots")),
        fields.word("state", _STATES),
        fields.duration_ms("warmup_left", 0.0),
        # The wall clock of its start; absent in entries of older upstreams.
        fields.whole("born", 0),
    )


def _parse(key: str, data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(key, "", "a JSON document") from error


class JsonDocuments(DocumentReader):
    """Read the JSON documents of the store."""

    plan = staticmethod(read_plan)
    upstream: Callable[[UpstreamId, bytes], UpstreamEntry] = staticmethod(read_upstream)

    def kind(self, key: str) -> DocumentKind:
        """Return what the document with a key describes."""
        if key == PLAN_KEY:
            return DocumentKind.PLAN
        return DocumentKind.UPSTREAM if key.startswith(UPSTREAM_PREFIX) else DocumentKind.OTHER

    def upstream_id(self, key: str) -> UpstreamId:
        """Return the upstream that a key names."""
        return UpstreamId(key.removeprefix(UPSTREAM_PREFIX))
