"""Read the settings of a node process from an INI file."""

import ipaddress
import re
from pathlib import Path

import attrs

from .errors import FieldError
from .ids import AvailabilityZoneId, UpstreamId
from .ini import FieldFormat, IniFile, Section, choice, integer, text

SECTIONS = ("node", "listeners", "target", "peers", "platform", "log", "statsd", "limits")

_UNITS_MS = {"ms": 1.0, "s": 1_000.0, "min": 60_000.0}
_DURATION = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|min)")

# Shorter secrets could be found by brute force.
MIN_SECRET_CHARACTERS = 32


@attrs.frozen
class Address:
    """Represent an IP address and a port."""

    host: str
    port: int


@attrs.frozen
class Seed:
    """Describe a peer that a starting node contacts if the platform's instance list is unavailable.

    Attributes:
        upstream_id: Upstream of the peer.
        availability_zone: Availability zone of the peer.
        address: Address of its listener for other nodes.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    address: Address


@attrs.frozen
class Settings:
    """Store the validated settings of a node process.

    Attributes:
        upstream_id: Upstream whose target the node serves.
        availability_zone: Availability zone of the node.
        callers: Listening address for external callers.
        inner: Listening address for calls from the node's target, on loopback.
        operator: Listening address for operators, on loopback.
        peers: Listening address for other nodes.
        target: Address of the node's target.
        source_address: Source IP address of connections to other nodes and to the platform, or None
            for the operating system's choice. Set it on hosts with several addresses.
        seeds: Peers to contact while the instance list is unavailable.
        fleet_secret: Secret shared by all nodes; excluded from the repr and from error messages.
        platform: Address of the platform's services, or None.
        platform_adapter: Name of the adapter for the platform's protocol.
        bundle_folder: Output folder of `gentianctl bundle` to read at startup, or None.
        log_format: "human" or "json".
        log_level: Lowest level that is logged.
        statsd: Address of the statsd server, or None.
        statsd_prefix: Prefix of every metric name.
        record_limit: Maximum number of execution records.
        grace_ms: How long a stopping node ignores a second SIGTERM.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    callers: Address
    inner: Address
    operator: Address
    peers: Address
    target: Address
    source_address: str | None
    seeds: tuple[Seed, ...]
    fleet_secret: str = attrs.field(repr=False)
    platform: Address | None
    platform_adapter: str
    bundle_folder: Path | None
    log_format: str
    log_level: str
    statsd: Address | None
    statsd_prefix: str
    record_limit: int
    grace_ms: float


def duration(low_ms: float, high_ms: float) -> FieldFormat:
    """Return the format of a duration with a unit, parsed to ms.

    Args:
        low_ms: Shortest valid duration.
        high_ms: Longest valid duration.
    """

    def parse(found: str) -> float:
        match = _DURATION.fullmatch(found)
        if match is None:
            raise ValueError(found)
        value_ms = float(match.group(1)) * _UNITS_MS[match.group(2)]
        if not low_ms <= value_ms <= high_ms:
            raise ValueError(found)
        return value_ms

    limits = f"{_format_ms(low_ms)} to {_format_ms(high_ms)}"
    return FieldFormat(f"a duration with its unit (ms, s or min) from {limits}", parse)


def address(*, loopback: bool = False) -> FieldFormat:
    """Return the format of an IP address with a port.

    Args:
        loopback: Whether to accept loopback addresses only.
    """

    def parse(found: str) -> Address:
        host, _, port = found.rpartition(":")
        ip = ipaddress.ip_address(host.strip("[]"))
        if not 0 <= int(port) <= 65535 or (loopback and not ip.is_loopback):
            raise ValueError(found)
        return Address(str(ip), int(port))

    kind = "a loopback IP address" if loopback else "an IP address"
    return FieldFormat(f"{kind} and a port, as 127.0.0.1:8080", parse)


def ip() -> FieldFormat:
    """Return the format of an IP address without a port."""
    return FieldFormat(
        "an IP address without a port", lambda found: str(ipaddress.ip_address(found))
    )


def folder() -> FieldFormat:
    """Return the format of the path of an existing folder."""

    def parse(found: str) -> Path:
        path = Path(found)
        if not path.is_dir():
            raise ValueError(found)
        return path

    return FieldFormat("the path of a folder", parse)


def seeds() -> FieldFormat:
    """Return the format of a comma-separated list of seeds."""
    parse_address = address().parse

    def parse(found: str) -> tuple[Seed, ...]:
        entries = [entry.split() for entry in found.split(",")]
        return tuple(
            Seed(UpstreamId(upstream), AvailabilityZoneId(zone), parse_address(peer_address))
            for upstream, zone, peer_address in entries
        )

    return FieldFormat(
        "upstream, availability zone and address, as pricing-0 volos-a 10.0.0.1:8083", parse
    )


def secret() -> FieldFormat:
    """Return the format of the fleet secret."""

    def parse(found: str) -> str:
        if len(found) < MIN_SECRET_CHARACTERS:
            raise ValueError(found)
        return found

    return FieldFormat(f"at least {MIN_SECRET_CHARACTERS} characters", parse)


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.

    Raises:
        DeclarationErrors: Sections or fields are unknown, missing or invalid; the error lists all.
    """
    file = IniFile(path)
    for name in file.section_names():
        if name not in SECTIONS:
            expected = f"one of the sections {', '.join(SECTIONS)}"
            file.errors.append(FieldError(file.name, name, "", name, expected))
    sections = {name: file.section(name) for name in SECTIONS}
    settings = _build_settings(sections)
    for section in sections.values():
        section.check_unknown_fields()
    file.raise_errors()
    return settings


def _build_settings(sections: dict[str, Section]) -> Settings:
    node, listeners, peers = sections["node"], sections["listeners"], sections["peers"]
    platform, log = sections["platform"], sections["log"]
    statsd, limits = sections["statsd"], sections["limits"]
    return Settings(
        upstream_id=node.get("upstream", text("the id of an upstream")),
        availability_zone=node.get("availability_zone", text("the name of an availability zone")),
        callers=listeners.get("callers", address()),
        inner=listeners.get("target", address(loopback=True)),
        operator=listeners.get("operator", address(loopback=True)),
        peers=listeners.get("peers", address()),
        target=sections["target"].get("address", address()),
        source_address=peers.get("source_address", ip(), None),
        seeds=peers.get("seeds", seeds(), ()),
        fleet_secret=_read_secret(peers),
        platform=platform.get("address", address(), None),
        platform_adapter=platform.get("adapter", text("the name of a platform adapter"), "http"),
        bundle_folder=platform.get("bundle_folder", folder(), None),
        log_format=log.get("form", choice(["human", "json"]), "human"),
        log_level=log.get("level", choice(["debug", "info", "warning", "error"]), "info"),
        statsd=statsd.get("address", address(), None),
        statsd_prefix=statsd.get("prefix", text(), "gentianthread"),
        record_limit=limits.get("execution_records", integer(1, 1_000_000), 60_000),
        grace_ms=limits.get("grace", duration(0, 3_600_000), 30_000.0),
    )


def _read_secret(peers: Section) -> str:
    secret_format = secret()
    found = peers.get("fleet_secret", text(secret_format.expected))
    if found is None:
        return ""
    try:
        return secret_format.parse(found)
    except ValueError:
        # The error message must not contain the secret, so it states only its length.
        peers.add_error("fleet_secret", f"{len(found)} characters", secret_format.expected)
        return ""


def _format_ms(value_ms: float) -> str:
    return f"{value_ms:g} ms" if value_ms < 1_000 else f"{value_ms / 1_000:g} s"
