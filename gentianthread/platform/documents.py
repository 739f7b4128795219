"""Decode the documents of the platform's metadata store into the package's types."""

import ipaddress
import re

from ..ids import AvailabilityZoneId, ServiceId, UpstreamId
from ..json_fields import Table, is_usable_text, parse_json
from ..state.directory import UpstreamEntry, UpstreamState
from ..transport.metadata_store import DocumentKind, DocumentReader
from .plan_document import PLAN_KEY, read_plan

UPSTREAM_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
WARM_UP_LEFT_FIELD = "warmup_left"

_PORT = re.compile(r"\d{1,5}", re.ASCII)
# Ids are sent to targets as the value of a header field.
_UPSTREAM_ID = re.compile(r"[!-~]{1,200}")

_UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


def read_upstream(upstream_id: UpstreamId, data: bytes) -> UpstreamEntry:
    """Decode the entry of an upstream.

    Raises:
        DocumentError: The entry is malformed; other programs may write to the store, too.
    """
    key = UPSTREAM_PREFIX + upstream_id
    table = Table(key, "", parse_json(key, data))
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
        table.duration_ms(WARM_UP_LEFT_FIELD, 0.0),
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


class JsonDocuments(DocumentReader):
    """Decode the JSON documents of the metadata store."""

    plan = staticmethod(read_plan)
    upstream = staticmethod(read_upstream)

    def kind(self, key: str) -> DocumentKind:
        """Return the kind of the document stored under a key."""
        if key == PLAN_KEY:
            return DocumentKind.PLAN
        if key.startswith(UPSTREAM_PREFIX):
            return DocumentKind.UPSTREAM
        zone = key.removeprefix(EVACUATION_PREFIX)
        if zone and zone != key and is_usable_text(zone):
            return DocumentKind.EVACUATION
        return DocumentKind.OTHER

    def upstream_id(self, key: str) -> UpstreamId:
        """Return the id of the upstream whose entry is stored under a key."""
        return UpstreamId(key.removeprefix(UPSTREAM_PREFIX))

    def evacuated_zone(self, key: str) -> AvailabilityZoneId:
        """Return the availability zone whose evacuation a key stands for."""
        return AvailabilityZoneId(key.removeprefix(EVACUATION_PREFIX))

    def evacuation_key(self, zone: AvailabilityZoneId) -> str:
        """Return the key that stands for the evacuation of an availability zone."""
        return EVACUATION_PREFIX + zone
