"""Read the settings of a sidecar process from an INI file."""

import os
from collections.abc import Mapping
from pathlib import Path

import attrs

from .ids import AvailabilityZoneId, RegionId, ServiceId
from .ini import FieldFormat, IniFile, Section, choice, integer, number, text
from .settings import Address, address, duration

SECTIONS = (
    "node",
    "listeners",
    "target",
    "platform",
    "retries",
    "stop",
    "log",
    "limits",
    "zones",
    "warm_up",
)


def zone_regions() -> FieldFormat:
    """Return the format of the regions of availability zones, such as `a=north, b=north`."""

    def parse(found: str) -> dict[AvailabilityZoneId, RegionId]:
        regions: dict[AvailabilityZoneId, RegionId] = {}
        for pair in filter(None, (part.strip() for part in found.split(","))):
            zone, separator, region = (part.strip() for part in pair.partition("="))
            if not (zone and separator and region) or zone in regions:
                raise ValueError(found)
            regions[AvailabilityZoneId(zone)] = RegionId(region)
        return regions

    return FieldFormat("pairs of a zone and its region, such as a=north, b=north", parse)


@attrs.frozen
class SidecarSettings:
    """Store the validated settings of a sidecar process.

    Attributes:
        host: IP address of the instance.
        availability_zone: Availability zone of the instance.
        service_id: Service of the target.
        outbound: Listening address for requests from callers and from the instance's target.
        ready: Listening address of the platform's readiness probe.
        metrics: Listening address for metrics and the state dump.
        peer_port: Port at which other nodes reach the node of any instance.
        peer_listen_port: Port on which this node accepts links; differs from `peer_port` if ports
            are mapped between the instances.
        fleet_secret: Secret shared by all nodes, or an empty string; excluded from the repr.
        target: Address of the target.
        platform: Address of the metadata store.
        adapter: Name of the adapter for the platform's protocol.
        heartbeat_ms: Interval at which upstreams write their entries in the store.
        retry_ratio: Retries per request that a service may receive from all nodes together.
        retry_slack: Retries allowed per window in addition to the ratio.
        retry_window_ms: Length of the window over which retries are counted.
        grace_ms: Time between SIGTERM and SIGKILL.
        log_format: "human" or "json".
        log_level: Lowest level that is logged.
        log_lines_per_s: Maximum number of log lines about single requests per second.
        memory_mb: Memory that the instance gives the process.
        max_fds: Descriptors that the process may open.
        reserved_fds: Descriptors that callers never take, beside those for targets and peers.
        stalled_request_ms: Time without progress after which an incomplete request is refused if
            others wait for memory.
        memory_wait_ms: Time after which an incomplete request that itself waits is refused.
        regions: Region of each availability zone; zones without one are missing.
        warm_up_overage: Factor by which the requests to a cold target may exceed its rate.
        warm_up_slack: Requests to a cold target that are allowed in a second in addition.
    """

    host: str
    availability_zone: AvailabilityZoneId
    service_id: ServiceId
    outbound: Address
    ready: Address
    metrics: Address
    peer_port: int
    peer_listen_port: int
    fleet_secret: str = attrs.field(repr=False)
    target: Address
    platform: Address
    adapter: str
    heartbeat_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    grace_ms: float
    log_format: str
    log_level: str
    log_lines_per_s: int
    memory_mb: int
    max_fds: int = 4_096
    reserved_fds: int = 40
    stalled_request_ms: float = 1_000.0
    memory_wait_ms: float = 5_000.0
    regions: Mapping[AvailabilityZoneId, RegionId] = attrs.field(factory=dict)
    warm_up_overage: float = 1.0
    warm_up_slack: float = 0.0


def read_sidecar_settings(
    path: Path, environment: Mapping[str, str] = os.environ
) -> SidecarSettings:
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.
        environment: Environment variables, from which fields that the file lacks are read.

    Raises:
        DeclarationErrors: Sections or fields are unknown, missing or invalid; the error lists all.
    """
    file = IniFile(path, environment)
    sections = {name: file.section(name) for name in SECTIONS}
    settings = _build_settings(sections)
    for section in sections.values():
        section.check_unknown_fields()
    for name in file.section_names():
        if name not in SECTIONS:
            file.section(name).add_error("", name, f"one of the sections {', '.join(SECTIONS)}")
    file.raise_errors()
    return settings


def _build_settings(sections: dict[str, Section]) -> SidecarSettings:
    node, listeners, target = sections["node"], sections["listeners"], sections["target"]
    platform, retries, log = sections["platform"], sections["retries"], sections["log"]
    peer_port = listeners.get("peer_port", integer(1, 65_535))
    return SidecarSettings(
        host=node.get("host", text("an IP address")),
        availability_zone=node.get("availability_zone", text()),
        service_id=node.get("service", text()),
        outbound=listeners.get("outbound", address()),
        ready=listeners.get("ready", address()),
        metrics=listeners.get("metrics", address()),
        peer_port=peer_port,
        peer_listen_port=listeners.get("peer_listen_port", integer(1, 65_535), peer_port),
        fleet_secret=node.get("fleet_secret", text(), ""),
        target=target.get("address", address()),
        platform=platform.get("address", address()),
        adapter=platform.get("adapter", text("the name of a platform adapter"), "mesh"),
        heartbeat_ms=platform.get("heartbeat", duration(1, 600_000), 1_500.0),
        retry_ratio=retries.get("ratio", number(0, 1), 0.2),
        retry_slack=retries.get("slack", number(0, 100_000), 50.0),
        retry_window_ms=retries.get("window", duration(1_000, 600_000), 10_000.0),
        grace_ms=sections["stop"].get("grace", duration(0, 3_600_000), 6_000.0),
        log_format=log.get("form", choice(["human", "json"]), "json"),
        log_level=log.get("level", choice(["debug", "info", "warning", "error"]), "info"),
        log_lines_per_s=sections["limits"].get("log_lines_per_s", integer(1, 100_000), 20),
        memory_mb=sections["limits"].get("memory_mb", integer(16, 1_000_000), 512),
        max_fds=sections["limits"].get("max_fds", integer(64, 10_000_000), 4_096),
        reserved_fds=sections["limits"].get("reserved_fds", integer(16, 1_000_000), 40),
        stalled_request_ms=sections["limits"].get(
            "stalled_request", duration(100, 3_600_000), 1_000.0
        ),
        memory_wait_ms=sections["limits"].get("memory_wait", duration(100, 3_600_000), 5_000.0),
        regions=sections["zones"].get("regions", zone_regions(), {}),
        warm_up_overage=sections["warm_up"].get("overage", number(1, 100), 1.0),
        warm_up_slack=sections["warm_up"].get("slack", number(0, 100_000), 0.0),
    )
