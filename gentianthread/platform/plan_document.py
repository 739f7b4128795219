"""Decode the configuration document, item by item, so that one unreadable value costs one item.

Handles a document that was written for another version, or with a mistake: a value that cannot be
read is replaced by the most conservative one, and an item that cannot be used is left out. A
document as a whole is invalid only where using it could serve requests under wrong conditions: it
is no JSON, has no version, or assigns a key, or a host and prefix, twice.
"""

import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from ..errors import DocumentError
from ..ids import ConfigVersion, OrganisationId, RegionId, RouteId, ServiceId
from ..json_fields import (
    Items,
    Table,
    find_repeated,
    is_usable_text,
    lowest_positive,
    parse_json,
    readable_values,
)
from ..state.fleet_plan import (
    OWN_REGION_ONLY,
    CallerLimits,
    FleetOrganisation,
    FleetPlan,
    FleetService,
    HostRoute,
    PlanProblem,
    RequestKind,
    WeightedService,
    describe_replacement,
)

PLAN_KEY = "op/config"

_VERSION = re.compile(r"r(\d{1,15})", re.ASCII)

_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
    "upload": RequestKind.UPLOAD,
}

# Values in place of unreadable ones where the document has no readable one to take over. A cold
# target of the known deployments is cold for 3 s and tolerates 6 requests per second.
UNREADABLE_RATE_PER_S = 1.0
UNREADABLE_WARM_UP_MS = 10_000.0
UNREADABLE_WARM_UP_PER_S = 1.0

# Names of sections and fields by the attributes of the plan, where the two differ.
FIELD_NAMES = {
    "organisations": "tenants",
    "service_weights": "weighted_services",
    "timeout_ms": "timeout",
    "latency_objective_ms": "target_latency",
    "open_to_all": "no_auth",
    "warm_up_ms": "warmup",
    "warm_up_per_s": "warmup_per_s",
    "keys": "api_keys",
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
    "header_timeout_ms": "header_timeout",
    "idle_timeout_ms": "idle_timeout",
}

_PREFIX_FORM = "a path between slashes"
_REFUSAL, _KEYLESS = "refusal of its requests", "an organisation without keys"

T = TypeVar("T")


def read_plan(data: bytes) -> FleetPlan:
    """Decode the configuration document.

    Returns:
        The plan; its `problems` name the values that could not be read.

    Raises:
        DocumentError: The document as a whole is invalid.
    """
    return _PlanReader(Table(PLAN_KEY, "", parse_json(PLAN_KEY, data))).read()


class _PlanReader:
    """Decode one document and collect its problems."""

    def __init__(self, table: Table):
        self._table = table
        self._problems: list[PlanProblem] = []

    def read(self) -> FleetPlan:
        table = self._table
        version = _read_version(table)
        route_items, tenant_items = self._items("routes"), self._items("tenants")
        services = self._read_services(self._items("services"))
        routes = self._read_routes(route_items, services)
        organisations = self._read_organisations(tenant_items, route_items)
        _check_unique(routes, organisations)
        limits = self._read_limits(table)
        return FleetPlan(
            version, routes, services, organisations, limits, problems=tuple(self._problems)
        )

    def _or(self, read: Callable[..., T], field: str, fallback: T, *arguments: Any) -> T:
        """Return what a method of a table reads, or else a fallback, which is noted."""
        try:
            return read(field, *arguments)
        except DocumentError as error:
            self._note(error, describe_replacement(fallback))
            return fallback

    def _note(self, error: DocumentError, used: str | None) -> None:
        field = error.field if is_usable_text(error.field) else ascii(error.field)
        self._problems.append(PlanProblem(field, error.expected, used))

    def _items(self, section: str) -> Items:
        """Return the items of a section that are tables.

        Raises:
            DocumentError: The section itself is not a table.
        """
        # Some writers encode an empty table as null.
        if self._table.values.get(section) is None:
            return []
        items = []
        table = self._table.table(section)
        for name in table.values:
            try:
                items.append((name, table.table(name)))
            except DocumentError as error:
                self._note(error, _KEYLESS if section == "tenants" else None)
        return items

    def _unusable_name(self, section: str, name: str) -> DocumentError:
        return self._table.error(
            f"{section}.{name!a}", "a name without control characters and surrogates"
        )

    # Services.

    def _read_services(self, entries: Items) -> dict[ServiceId, FleetService]:
        longest_ms = max(readable_values(entries, lambda item: item.duration_ms("warmup", 0.0)))
        lowest_per_s = lowest_positive(
            readable_values(entries, lambda item: item.number("warmup_per_s", 0))
        )
        services = {}
        for name, entry in entries:
            if not is_usable_text(name):
                self._note(self._unusable_name("services", name), None)
                continue
            try:
                health_path = entry.text("health_path")
                if not health_path.startswith("/"):
                    raise entry.error("health_path", "a path")
            except DocumentError as error:
                self._note(error, None)
                continue
            services[ServiceId(name)] = FleetService(
                ServiceId(name),
                health_path,
                self._or(entry.integer, "max_connections", 0),
                self._or(entry.duration_ms, "warmup", longest_ms or UNREADABLE_WARM_UP_MS, 0.0),
                self._or(entry.number, "warmup_per_s", lowest_per_s or UNREADABLE_WARM_UP_PER_S, 0),
            )
        return services

    # Routes.

    def _read_routes(
        self, entries: Items, services: Mapping[ServiceId, FleetService]
    ) -> dict[RouteId, HostRoute]:
        least_important = max(readable_values(entries, lambda item: item.integer("priority", 0)))
        routes: dict[RouteId, HostRoute] = {}
        # Routes whose prefix lacks its last slash; their requests are refused.
        completed: dict[RouteId, HostRoute] = {}
        for name, entry in entries:
            # The name appears in logs only, so that any unambiguous text does.
            route_id = RouteId(name if is_usable_text(name) else ascii(name))
            try:
                host, prefix = entry.text("host").lower(), entry.text("prefix")
                if not prefix.startswith("/"):
                    raise entry.error("prefix", _PREFIX_FORM)
            except DocumentError as error:
                self._note(error, None)
                continue
            is_complete = prefix.endswith("/")
            try:
                if not is_complete:
                    prefix += "/"
                    raise entry.error("prefix", _PREFIX_FORM)
                weights = self._read_weighted_services(entry, services)
            except DocumentError as error:
                self._note(error, _REFUSAL)
                weights = ()
            (routes if is_complete else completed)[route_id] = HostRoute(
                route_id,
                host,
                prefix,
                self._or(entry.choice, "kind", RequestKind.NON_IDEMPOTENT, _REQUEST_KINDS),
                weights,
                max(1, self._or(entry.integer, "max_attempts", 1, 1)),
                self._or(entry.duration_ms, "timeout", None, None),
                self._or(entry.duration_ms, "target_latency", None, None),
                self._or(entry.integer, "priority", least_important, 0),
                self._or(entry.boolean, "no_auth", False),
                self._read_regions(entry),
            )
        taken = {(route.host, route.prefix) for route in routes.values()}
        for route_id, route in completed.items():
            if (route.host, route.prefix) not in taken:
                taken.add((route.host, route.prefix))
                routes[route_id] = route
        return routes

    def _read_weighted_services(
        self, table: Table, services: Mapping[ServiceId, FleetService]
    ) -> tuple[WeightedService, ...]:
        """Return the readable services of a route with their weights.

        Raises:
            DocumentError: There is none.
        """
        weights = self._read_weights(table, services)
        if weights:
            return weights
        service_id = ServiceId(table.text("service"))
        if service_id not in services:
            raise table.error("service", "a service of this configuration")
        return (WeightedService(service_id, 1.0),)

    def _read_weights(
        self, table: Table, services: Mapping[ServiceId, FleetService]
    ) -> tuple[WeightedService, ...]:
        items = table.values.get("weighted_services")
        if items is None or items == []:
            return ()
        if not isinstance(items, list):
            self._note(table.error("weighted_services", "a list"), "the single service")
            return ()
        weights = []
        for index, item in enumerate(items):
            try:
                entry = Table(table.key, f"{table.path}weighted_services.{index}.", item)
                service_id = ServiceId(entry.text("service"))
                if service_id not in services:
                    raise entry.error("service", "a service of this configuration")
                weights.append(WeightedService(service_id, entry.number("weight")))
            except DocumentError as error:
                self._note(error, None)
        if sum(item.weight for item in weights) > 0:
            return tuple(weights)
        self._note(table.error("weighted_services", "a weight above 0"), "the single service")
        return ()

    def _read_regions(self, table: Table) -> frozenset[RegionId] | None:
        """Return the regions in which requests may run, or None if the field is missing or empty.

        An unreadable list means the region of the node alone, as any other one may be forbidden.
        """
        names = table.values.get("allowed_regions")
        if names is None or names == []:
            return None
        error = table.error("allowed_regions", "a list of texts")
        if not isinstance(names, list):
            self._note(error, "the node's own region")
            return OWN_REGION_ONLY
        readable = [
            name for name in names if isinstance(name, str) and name and is_usable_text(name)
        ]
        if len(readable) < len(names):
            self._note(
                error, describe_replacement(readable) if readable else "the node's own region"
            )
        return frozenset(RegionId(name) for name in readable) or OWN_REGION_ONLY

    # Organisations.

    def _read_organisations(
        self, entries: Items, route_entries: Items
    ) -> dict[OrganisationId, FleetOrganisation]:
        least_important = max(
            readable_values([*entries, *route_entries], lambda item: item.integer("priority", 0))
        )
        lowest_per_s = lowest_positive(
            readable_values(entries, lambda item: item.number("rate_per_s", 0))
        )
        organisations = {}
        for name in self._table.values.get("tenants") or {}:
            # Without any organisation, requests would need no key: an unreadable one stays.
            organisation_id = OrganisationId(name if is_usable_text(name) else ascii(name))
            organisations[organisation_id] = FleetOrganisation(organisation_id, ())
        for name, entry in entries:
            if not is_usable_text(name):
                self._note(self._unusable_name("tenants", name), _KEYLESS)
                continue
            has_priority = entry.values.get("priority") is not None
            organisations[OrganisationId(name)] = FleetOrganisation(
                OrganisationId(name),
                self._read_keys(entry),
                self._or(entry.integer, "priority", least_important) if has_priority else None,
                self._or(entry.number, "rate_per_s", lowest_per_s or UNREADABLE_RATE_PER_S, 0),
                self._or(entry.number, "burst", 0, 0),
                self._read_regions(entry),
            )
        return organisations

    def _read_keys(self, table: Table) -> tuple[str, ...]:
        keys = table.values.get("api_keys")
        if keys is None:
            return ()
        error = table.error("api_keys", "a list of texts")
        if not isinstance(keys, list):
            self._note(error, "no key")
            return ()
        # Requests without a key carry the empty text.
        readable = tuple(key for key in keys if isinstance(key, str) and key)
        if len(readable) < len(keys):
            self._note(error, "the readable keys alone")
        return readable

    # Limits.

    def _read_limits(self, table: Table) -> CallerLimits:
        defaults = CallerLimits()
        if table.values.get("limits") is None:
            return defaults
        try:
            limits = table.table("limits")
        except DocumentError as error:
            self._note(error, "the default limits")
            return defaults

        def read(read_field: Callable[..., T], field: str, default: T) -> T:
            return self._or(read_field, field, default, default)

        return CallerLimits(
            read(limits.integer, "max_header_bytes", defaults.header_bytes),
            read(limits.integer, "max_body_bytes", defaults.body_bytes),
            read(limits.duration_ms, "header_timeout", defaults.header_timeout_ms),
            read(limits.duration_ms, "idle_timeout", defaults.idle_timeout_ms),
        )


def _read_version(table: Table) -> ConfigVersion:
    match = _VERSION.fullmatch(table.text("version"))
    if match is None:
        raise table.error("version", "r and a number")
    return ConfigVersion(int(match.group(1)))


def _check_unique(
    routes: Mapping[RouteId, HostRoute], organisations: Mapping[OrganisationId, FleetOrganisation]
) -> None:
    places = ((route.route_id, (route.host, route.prefix)) for route in routes.values())
    if both := find_repeated(places):
        expected = f"one route for each host and prefix, but that of {both[0]} is the same"
        raise DocumentError(PLAN_KEY, f"routes.{both[1]}", expected)
    if both := find_repeated(
        (name, key) for name, each in organisations.items() for key in set(each.keys)
    ):
        expected = f"keys that belong to one organisation each, but {both[0]} has one of them"
        raise DocumentError(PLAN_KEY, f"tenants.{both[1]}", expected)
