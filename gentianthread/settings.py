"""Read the settings of one process from an INI file."""

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

# Shorter secrets could be found by trying.
SECRET_LIMIT_CHARACTERS = 32


@attrs.frozen
class Address:
    """Hold an IP address and a port."""

    host: str
    port: int


@attrs.frozen
class Seed:
    """Name a peer that a starting node asks while the platform's instance list is down.

    Attributes:
        upstream_id: Its upstream.
        availability_zone: Where it is.
        address: Its peer listener.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    address: Address


@attrs.frozen
class Settings:
    """Hold the checked settings of a node process.

    Attributes:
        upstream_id: Upstream whose target the node serves.
        availability_zone: Where the node runs.
        callers: Address for outside callers.
        inner: Address for calls of the own target, on loopback.
        operator: Address for operators, on loopback.
        peers: Address for other nodes.
        target: Address of the own target.
        source_address: IP address that outgoing connections to other nodes and to the platform come
            from, or None for the system's choice. It matters on hosts with several addresses.
        seeds: Peers to ask while the instance list is down.
        fleet_secret: Secret that all nodes share; never shown.
        platform: Address of the platform's services, or None.
        platform_adapter: Name of the adapter that speaks the platform's protocol.
        bundle_folder: Folder that `gentianctl bundle` wrote, read at the start, or None.
        log_format: "human" or "json".
        log_level: Lowest level that is written.
        statsd: Address of the statsd server, or None.
        statsd_prefix: Put before every metric name.
        record_limit: Largest number of execution records.
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
    """Return the form of a duration with its unit; it reads as ms.

    Args:
        low_ms: Shortest duration.
        high_ms: Longest duration.
    """

    def parse(found: str) -> float:
        match = _DURATION.fullmatch(found)
        if match is None:
            raise ValueError(found)
        value_ms = float(match.group(1)) * _UNITS_MS[match.group(2)]
        if not low_ms <= value_ms <= high_ms:
            raise ValueError(found)
        return value_ms

    shown = f"{_show_ms(low_ms)} to {_show_ms(high_ms)}"
    return FieldFormat(f"a duration with its unit (ms, s or min) from {shown}", parse)


def address(*, loopback: bool = False) -> FieldFormat:
    """Return the form of IP address and port.

    Args:
        loopback: Whether only loopback addresses are accepted.
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
    """Return the form of an IP address without a port."""
    return FieldFormat(
        "an IP address without a port", lambda found: str(ipaddress.ip_address(found))
    )


def folder() -> FieldFormat:
    """Return the form of a folder that exists."""

    def parse(found: str) -> Path:
        path = Path(found)
        if not path.is_dir():
            raise ValueError(found)
        return path

    return FieldFormat("the path of a folder", parse)


def seeds() -> FieldFormat:
    """Return the form of a list of seeds."""
    parse_address = address().parse

    def parse(found: str) -> tuple[Seed, ...]:
        entries = [part.split() for part in found.split(",")]
        return tuple(
            Seed(UpstreamId(upstream), AvailabilityZoneId(zone), parse_address(place))
            for upstream, zone, place in entries
        )

    return FieldFormat(
        "upstream, availability zone and address, as pricing-0 volos-a 10.0.0.1:8083", parse
    )


def secret() -> FieldFormat:
    """Return the form of the fleet secret."""

    def parse(found: str) -> str:
        if len(found) < SECRET_LIMIT_CHARACTERS:
            raise ValueError(found)
        return found

    return FieldFormat(f"at least {SECRET_LIMIT_CHARACTERS} characters", parse)


def read_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The file.

    Raises:
        DeclarationErrors: Sections or fields are unknown, missing or wrong; each is named.
    """
    file = IniFile(path)
    for name in file.names():
        if name not in SECTIONS:
            expected = f"one of the sections {', '.join(SECTIONS)}"
            file.errors.append(FieldError(file.name, name, "", name, expected))
    sections = {name: file.section(name) for name in SECTIONS}
    settings = _build(sections)
    for section in sections.values():
        section.finish()
    file.raise_errors()
    return settings


def _build(sections: dict[str, Section]) -> Settings:
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
    form = secret()
    found = peers.get("fleet_secret", text(form.expected))
    if found is None:
        return ""
    try:
        return form.parse(found)
    except ValueError:
        # An error message must not show the secret.
        peers.reject("fleet_secret", f"{len(found)} characters", form.expected)
        return ""


def _show_ms(value_ms: float) -> str:
    return f"{value_ms:g} ms" if value_ms < 1_000 else f"{value_ms / 1_000:g} s"
