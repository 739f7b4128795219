"""Track the upstreams that the platform lists, and which of them take new work."""

from collections.abc import Callable, Iterable
from enum import Enum

import attrs
import reactivex
from reactivex.subject import Subject

from ..ids import AvailabilityZoneId, ServiceId, UpstreamId

# Maximum number of remembered starts of leaving upstreams; the oldest are dropped first.
MAX_LEAVING = 10_000


class UpstreamState(Enum):
    """Distinguish upstreams that take new work from draining ones."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class UpstreamEntry:
    """Describe one process of an upstream as the platform lists it.

    Attributes:
        upstream_id: Id of the process; a restarted one has another id.
        service_id: Service that it runs.
        host: IP address of its instance.
        port: Its TCP port, reachable only from its own instance.
        availability_zone: Availability zone of its instance.
        slots: Number of requests that it runs concurrently.
        state: Whether it takes new work.
        warm_up_ms: Remaining time of its warm-up, in which it is slow.
        started_at_ms: Wall clock of its start in ms since 1970, or 0.
        write_number: Number of the writes since its start up to this one; not compared.
    """

    upstream_id: UpstreamId
    service_id: ServiceId
    host: str
    port: int
    availability_zone: AvailabilityZoneId
    slots: int
    state: UpstreamState = UpstreamState.READY
    warm_up_ms: float = 0.0
    started_at_ms: int = 0
    write_number: int = attrs.field(default=0, eq=False)

    def write_order(self) -> tuple[int, int] | None:
        """Return a value that orders what the upstream wrote, or None if it tells no start."""
        return (self.started_at_ms, self.write_number) if self.started_at_ms else None


class Directory:
    """Store the listed upstreams and publish their changes.

    Attributes:
        changes: Observable of the id of each upstream that was added, replaced or removed.
        entries: Entries by id, including those of draining upstreams.
        first_seen_ms: Time at which each entry was first listed.
        evacuated_zones: Availability zones whose upstreams take no new work.
        evacuations: Observable of the evacuated zones, after each change of them.
    """

    def __init__(self, now_ms: Callable[[], float]):
        """Create an empty directory.

        Args:
            now_ms: Returns the current time in ms.
        """
        self.changes: reactivex.Observable[UpstreamId] = Subject()
        self.entries: dict[UpstreamId, UpstreamEntry] = {}
        self.first_seen_ms: dict[UpstreamId, float] = {}
        self.evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
        self.evacuations: reactivex.Observable[frozenset[AvailabilityZoneId]] = Subject()
        self._now_ms = now_ms
        self._ready_by_service: dict[ServiceId, tuple[UpstreamEntry, ...]] = {}
        self._hosts: set[str] | None = None
        self._zone_by_host: dict[str, AvailabilityZoneId] | None = None
        self._removal_due_ms: dict[UpstreamId, float] = {}
        # Starts of upstreams that said that they leave, oldest first. They stay after the removal
        # of an entry, as the store may list an outdated one again.
        self._leaving: dict[tuple[UpstreamId, int], None] = {}

    def put(self, entry: UpstreamEntry) -> None:
        """Add or replace an entry, and cancel a pending removal of it.

        An upstream that said that it leaves stays draining until it starts again, even if the store
        lists it as ready.
        """
        if self.is_leaving(entry):
            entry = attrs.evolve(entry, state=UpstreamState.DRAINING)
        self._removal_due_ms.pop(entry.upstream_id, None)
        known = self.entries.get(entry.upstream_id)
        # A cold upstream that becomes cold once more may write the same remaining time again.
        if known == entry and (not entry.warm_up_ms or known.write_number == entry.write_number):
            return
        self.entries[entry.upstream_id] = entry
        self.first_seen_ms.setdefault(entry.upstream_id, self._now_ms())
        self._publish_change(entry.upstream_id)

    def mark_leaving(self, upstream_id: UpstreamId, started_at_ms: int) -> bool:
        """Record that an upstream said that it leaves; it takes no new work from now on.

        Args:
            upstream_id: The upstream.
            started_at_ms: The start that leaves, as in its entry.

        Returns:
            Whether this is news.
        """
        if (upstream_id, started_at_ms) in self._leaving:
            return False
        self._leaving[upstream_id, started_at_ms] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        entry = self.entries.get(upstream_id)
        if entry is not None and entry.started_at_ms == started_at_ms:
            self.entries[upstream_id] = attrs.evolve(entry, state=UpstreamState.DRAINING)
            self._publish_change(upstream_id)
        return True

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream said that it leaves."""
        return (entry.upstream_id, entry.started_at_ms) in self._leaving

    def remove(self, upstream_id: UpstreamId, *, kept_until_ms: float | None = None) -> None:
        """Remove an entry.

        Args:
            upstream_id: The upstream.
            kept_until_ms: Time until which the entry stays, if it may have lapsed while the store
                was unavailable and be listed again soon; see `state.relisting`.
        """
        if upstream_id not in self.entries:
            return
        if kept_until_ms is not None and kept_until_ms > self._now_ms():
            self._removal_due_ms.setdefault(upstream_id, kept_until_ms)
            return
        if not self.entries[upstream_id].started_at_ms:
            # The next start of an upstream that does not tell its start looks the same.
            self._leaving.pop((upstream_id, 0), None)
        del self.entries[upstream_id]
        self.first_seen_ms.pop(upstream_id, None)
        self._removal_due_ms.pop(upstream_id, None)
        self._publish_change(upstream_id)

    def postpone_removals(self, due_ms: float, new_due_ms: float) -> None:
        """Keep the lapsed entries that stay until a time up to a later one."""
        for upstream_id, removal_due_ms in self._removal_due_ms.items():
            if removal_due_ms == due_ms:
                self._removal_due_ms[upstream_id] = new_due_ms

    def remove_expired(self) -> None:
        """Remove the lapsed entries that were not listed again in time."""
        now_ms = self._now_ms()
        for upstream_id in [
            name for name, end_ms in self._removal_due_ms.items() if end_ms <= now_ms
        ]:
            self.remove(upstream_id)

    def replace(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace all entries by a complete listing.

        Args:
            entries: The complete listing.
        """
        listed = {entry.upstream_id: entry for entry in entries}
        for upstream_id in [name for name in self.entries if name not in listed]:
            self.remove(upstream_id)
        for entry in listed.values():
            self.put(entry)

    def ready(self, service_id: ServiceId) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams of a service that take new work, in id order.

        Upstreams of evacuated zones are left out.
        """
        upstreams = self._ready_by_service.get(service_id)
        if upstreams is None:
            upstreams = self._ready_by_service[service_id] = tuple(
                entry
                for _, entry in sorted(self.entries.items())
                if entry.service_id == service_id
                and entry.state is UpstreamState.READY
                and not self.is_evacuated(entry)
            )
        return upstreams

    def set_evacuated(self, zones: frozenset[AvailabilityZoneId]) -> None:
        """Replace the evacuated zones."""
        if zones == self.evacuated_zones:
            return
        self.evacuated_zones = zones
        self._ready_by_service.clear()
        self.evacuations.on_next(zones)

    def is_evacuated(self, entry: UpstreamEntry) -> bool:
        """Return whether the zone of an upstream is evacuated."""
        return entry.availability_zone in self.evacuated_zones

    def has_evacuated(self, service_id: ServiceId) -> bool:
        """Return whether an upstream of a service takes no new work as its zone is evacuated."""
        return bool(self.evacuated_zones) and any(
            entry.service_id == service_id
            and entry.state is UpstreamState.READY
            and self.is_evacuated(entry)
            for entry in self.entries.values()
        )

    def find_by_address(self, host: str, port: int) -> UpstreamEntry | None:
        """Return the most recently started upstream of an address, or None."""
        candidates = [
            entry for entry in self.entries.values() if entry.host == host and entry.port == port
        ]
        return max(
            candidates,
            key=lambda entry: (entry.started_at_ms, self.first_seen_ms[entry.upstream_id]),
            default=None,
        )

    def hosts(self) -> set[str]:
        """Return the IP addresses of all listed instances."""
        if self._hosts is None:
            self._hosts = {entry.host for entry in self.entries.values()}
        return self._hosts

    def zone_of(self, host: str) -> AvailabilityZoneId | None:
        """Return the availability zone of an instance, or None if no upstream on it is listed."""
        if self._zone_by_host is None:
            self._zone_by_host = {
                entry.host: entry.availability_zone for entry in self.entries.values()
            }
        return self._zone_by_host.get(host)

    def _publish_change(self, upstream_id: UpstreamId) -> None:
        self._ready_by_service.clear()
        self._hosts = self._zone_by_host = None
        self.changes.on_next(upstream_id)
