"""Read the declaration of a load experiment."""

from pathlib import Path

import attrs

from ..ids import Priority
from ..ini import FieldFormat, IniFile, Section, choice, integer, number, text


@attrs.frozen
class RequestStream:
    """Describe one open-loop stream of equal requests.

    Attributes:
        name: Name of the stream.
        organisation: Label in reports.
        priority: Label in reports; the route decides the real priority.
        method: HTTP method.
        path: Path and query.
        key: The organisation's key, or "" on open routes.
        rate_per_s: Mean arrivals per second, exponentially spaced.
        body_bytes: Length of the request body.
        deadline_ms: Deadline sent with each request.
        retries: How often a failed request is sent again by the caller.
        retry_wait_ms: Mean wait before a retry.
        ticket_service: Service whose tickets are used as idempotency keys, or "".
        surge_factor: Factor on the rate while the trigger lasts.
    """

    name: str
    organisation: str
    priority: Priority
    method: str
    path: str
    key: str
    rate_per_s: float
    body_bytes: int
    deadline_ms: float
    retries: int
    retry_wait_ms: float
    ticket_service: str
    surge_factor: float


@attrs.frozen
class Workload:
    """Describe a whole experiment.

    Attributes:
        entries: Base addresses of the nodes that callers connect to.
        duration_s: Length of the experiment.
        trigger_start_s: When the surge begins.
        trigger_end_s: When it ends.
        streams: The streams.
    """

    entries: tuple[str, ...]
    duration_s: float
    trigger_start_s: float
    trigger_end_s: float
    streams: tuple[RequestStream, ...]


def read_workload(path: Path) -> Workload:
    """Read and check a workload file.

    Args:
        path: The INI file.

    Raises:
        DeclarationErrors: Fields are wrong.
    """
    file = IniFile(path)
    experiment = file.section("experiment")
    entries = experiment.get("entries", _addresses())
    duration_s = experiment.get("duration_s", number(0.1, 3600, "s"), 10.0)
    start_s = experiment.get("trigger_start_s", number(0, 3600, "s"), 0.0)
    end_s = experiment.get("trigger_end_s", number(0, 3600, "s"), 0.0)
    experiment.check_unknown_fields()
    streams = []
    for name in file.section_names():
        kind, _, label = name.partition(" ")
        if kind == "stream":
            streams.append(_read_stream(file.section(name), label))
        elif name != "experiment":
            file.section(name).add_error("", name, "[experiment] or [stream NAME]")
    file.raise_errors()
    return Workload(entries, duration_s, start_s, end_s, tuple(streams))


def _addresses() -> FieldFormat:
    def read(found: str) -> tuple[str, ...]:
        addresses = tuple(part.strip().rstrip("/") for part in found.split(","))
        if not all(address.startswith("http://127.") for address in addresses):
            raise ValueError(found)
        return addresses

    return FieldFormat(
        "loopback addresses such as http://127.0.0.1:8080, with commas between", read
    )


def _read_stream(section: Section, name: str) -> RequestStream:
    stream = RequestStream(
        name=name,
        organisation=section.get("organisation", text(), "anonymous"),
        priority=section.get("priority", choice(Priority), Priority.NORMAL),
        method=section.get("method", choice(["GET", "POST", "PUT", "DELETE"]), "GET"),
        path=section.get("path", text("a path")),
        key=section.get("key", text("a key"), ""),
        rate_per_s=section.get("rate_per_s", number(0.001, 100_000, "requests/s")),
        body_bytes=section.get("body_bytes", integer(0, 10_000_000, "bytes"), 0),
        deadline_ms=section.get("deadline_ms", number(1, 600_000, "ms"), 2_000.0),
        retries=section.get("retries", integer(0, 100), 0),
        retry_wait_ms=section.get("retry_wait_ms", number(0, 60_000, "ms"), 50.0),
        ticket_service=section.get("ticket_service", text("a service"), ""),
        surge_factor=section.get("surge_factor", number(0, 100), 1.0),
    )
    section.check_unknown_fields()
    return stream
