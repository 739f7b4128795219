"""Read the settings of one sidecar from an INI file."""

from pathlib import Path

import attrs

from .ids import AvailabilityZoneId, ServiceId
from .ini import IniFile, Section, choice, integer, number, text
from .settings import Address, address, duration

SECTIONS = ("node", "listeners", "target", "platform", "retries", "stop", "log", "limits")


@attrs.frozen
class SidecarSettings:
    """Hold the checked settings of a sidecar process.

    Attributes:
        host: IP address of the instance.
        availability_zone: Where it is.
        service_id: Service of the target.
        outbound: Address for the callers and the target of this instance.
        ready: Address at which the platform asks whether the node is ready.
        metrics: Address of metrics and state dump.
        peer_port: Port at which the nodes of all instances are reached by others.
        peer_listen_port: Port at which this node accepts links; another one than `peer_port` where
            something between the instances maps ports.
        fleet_secret: Secret that all nodes share, or an empty text; never shown.
        target: Address of the target.
        platform: Address of the metadata store.
        adapter: Name of the adapter that speaks the platform's protocol.
        retry_ratio: Repeats per request that a service may get from all nodes together.
        retry_slack: Repeats in a window beside these.
        retry_window_ms: Length of the window.
        grace_ms: Time between SIGTERM and SIGKILL.
        log_format: "human" or "json".
        log_level: Lowest level that is written.
        log_lines_per_s: Lines about single requests per second.
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
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    grace_ms: float
    log_format: str
    log_level: str
    log_lines_per_s: int


def read_sidecar_settings(path: Path) -> SidecarSettings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Raises:
        DeclarationErrors: Fields are missing or wrong; the error names file, section and field.
    """
    file = IniFile(path)
    sections = {name: file.section(name) for name in SECTIONS}
    settings = _read(sections)
    for section in sections.values():
        section.finish()
    for name in file.names():
        if name not in SECTIONS:
            file.section(name).reject("", name, f"one of the sections {', '.join(SECTIONS)}")
    file.raise_errors()
    return settings


def _read(sections: dict[str, Section]) -> SidecarSettings:
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
        retry_ratio=retries.get("ratio", number(0, 1), 0.2),
        retry_slack=retries.get("slack", number(0, 100_000), 50.0),
        retry_window_ms=retries.get("window", duration(1_000, 600_000), 10_000.0),
        grace_ms=sections["stop"].get("grace", duration(0, 3_600_000), 6_000.0),
        log_format=log.get("form", choice(["human", "json"]), "json"),
        log_level=log.get("level", choice(["debug", "info", "warning", "error"]), "info"),
        log_lines_per_s=sections["limits"].get("log_lines_per_s", integer(1, 100_000), 20),
    )
