"""Replicate the membership records of the fleet and derive the state of each process.

Every process owns one record, which it alone changes: whether it is leaving and which processes it
cannot reach. A record with a larger start number, or the same one and a larger sequence number,
replaces an earlier one. Tables that received the same records are therefore equal, in any order.
"""

from collections.abc import Iterable
from functools import lru_cache

import attrs
import xxhash

from ..ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from .members import Member, MemberState

# Two tables are compared by hashes of buckets of records: at 670 nodes one has about 10 records.
BUCKET_COUNT = 64

# Number of observers that must report a process before it counts as failed or unreachable; a single
# one may have a broken link of its own.
MIN_OBSERVERS = 2

_DIGEST_BYTES = 8

# Revision of the seed list in a node's settings; every list of the platform is newer.
SEED_REVISION = -1


@attrs.frozen
class MemberRecord:
    """Store the statement of one process about itself and others.

    Attributes:
        identity: The process.
        sequence: Sequence number; increases with each statement of the process.
        leaving: Whether it takes no new work.
        silent: Fingerprints of the processes that it cannot reach, in ascending order.
    """

    identity: NodeIdentity
    sequence: int
    leaving: bool = False
    silent: tuple[int, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of records of one upstream; the largest is the newest."""
        return (self.identity.start_number, self.sequence)


@attrs.frozen
class Listing:
    """Describe an upstream as the platform's list has it.

    Attributes:
        upstream_id: The upstream.
        availability_zone: Availability zone of its instance.
        leaving: Whether the platform is about to stop it.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    leaving: bool


def fingerprint(identity: NodeIdentity) -> int:
    """Return the short hash of a process by which records refer to unreachable processes."""
    return _fingerprint(identity.upstream_id, identity.start_number)


@lru_cache(maxsize=100_000)
def _fingerprint(upstream_id: UpstreamId, start_number: StartNumber) -> int:
    return xxhash.xxh32_intdigest(f"{upstream_id}\0{start_number}".encode())


def _bucket_of(upstream_id: UpstreamId) -> int:
    return xxhash.xxh32_intdigest(upstream_id.encode()) % BUCKET_COUNT


def _hash_record(record: MemberRecord) -> int:
    identity = record.identity
    text = (
        f"{identity.upstream_id}\0{identity.availability_zone}\0{identity.start_number}\0"
        f"{record.sequence}\0{record.leaving}\0{record.silent}"
    )
    return xxhash.xxh64_intdigest(text.encode())


class MemberTable:
    """Store the records and the platform's list, and derive states from the view of one node.

    A process is

    - failed if two observers, one of them in its own zone, cannot reach it, or if it was removed
      from the list;
    - unreachable if two observers in two other zones or in this node's zone cannot reach it, or if
      this node's zone is partitioned from its zone;
    - suspect if a single observer cannot reach it.

    Attributes:
        local: The node that owns the table.
        records: Records by upstream.
    """

    def __init__(self, local: NodeIdentity):
        """Create a table that knows the local node.

        Args:
            local: The node that owns the table.
        """
        self.local = local
        self.records: dict[UpstreamId, MemberRecord] = {}
        self._listings: dict[UpstreamId, Listing] = {}
        self._revision = SEED_REVISION - 1
        self._delisted: dict[UpstreamId, StartNumber] = {}
        self._states: dict[UpstreamId, MemberState] = {}
        self._by_zone: dict[AvailabilityZoneId, set[UpstreamId]] = {}
        self._upstream_by_fingerprint: dict[int, UpstreamId] = {}
        self._observers: dict[int, dict[UpstreamId, AvailabilityZoneId]] = {}
        self._partitioned_zones: frozenset[AvailabilityZoneId] = frozenset()
        self._bucket_hashes = [0] * BUCKET_COUNT
        self._table_digest = 0
        self.apply(MemberRecord(local, 1))

    def apply(self, record: MemberRecord) -> list[Member] | None:
        """Store a record if it is newer than the known one of its upstream.

        Args:
            record: A record of any process.

        Returns:
            The members whose state changed, or None if the record is not newer.
        """
        newer, changed = self.apply_all((record,))
        return changed if newer else None

    def apply_all(self, records: Iterable[MemberRecord]) -> tuple[list[MemberRecord], list[Member]]:
        """Store the newer ones of several records and update the states once.

        Returns:
            The records that are newer than the known ones, and the members whose state changed.
        """
        newer: list[MemberRecord] = []
        affected: set[UpstreamId] = set()
        reports_changed = False
        for record in records:
            known = self.records.get(record.identity.upstream_id)
            if known is not None and record.rank <= known.rank:
                continue
            newer.append(record)
            affected |= self._replace(known, record)
            reports_changed |= known is None or known.silent != record.silent
        return newer, self._update_states(affected, reports_changed) if newer else []

    def _replace(self, known: MemberRecord | None, record: MemberRecord) -> set[UpstreamId]:
        """Replace an earlier record and return the upstreams whose state may have changed."""
        upstream_id = record.identity.upstream_id
        affected = {upstream_id, *self._remove_record(known), *self._upstreams_with(record.silent)}
        self.records[upstream_id] = record
        self._update_digests(record)
        for missed in record.silent:
            observers = self._observers.setdefault(missed, {})
            observers[upstream_id] = record.identity.availability_zone
        if self._delisted.get(upstream_id, record.identity.start_number) < (
            record.identity.start_number
        ):
            del self._delisted[upstream_id]
        self._index_identity(record.identity)
        return affected

    def apply_listings(self, revision: int, listings: Iterable[Listing]) -> list[Member]:
        """Replace the platform's list unless the known one is as new or newer.

        Args:
            revision: Revision of the list.
            listings: All entries of the list.

        Returns:
            The members whose state changed.
        """
        if revision <= self._revision:
            return []
        self._revision = revision
        previous, self._listings = self._listings, {item.upstream_id: item for item in listings}
        affected = set(previous) | set(self._listings)
        for upstream_id in previous.keys() - self._listings.keys():
            self._delisted[upstream_id] = self.identity(upstream_id).start_number
        for upstream_id, listing in self._listings.items():
            self._delisted.pop(upstream_id, None)
            if upstream_id not in self.records:
                zone = listing.availability_zone
                self._index_identity(NodeIdentity(upstream_id, zone, StartNumber(0)))
        return self._update_states(affected)

    def listing(self, upstream_id: UpstreamId) -> Listing | None:
        """Return the entry of an upstream in the platform's list, or None."""
        return self._listings.get(upstream_id)

    def identity(self, upstream_id: UpstreamId) -> NodeIdentity:
        """Return the newest known process of an upstream.

        Its start number is 0 if the upstream is in the list but has no record yet.

        Raises:
            KeyError: The upstream is unknown.
        """
        record = self.records.get(upstream_id)
        if record is not None:
            return record.identity
        for zone, names in self._by_zone.items():
            if upstream_id in names:
                return NodeIdentity(upstream_id, zone, StartNumber(0))
        raise KeyError(upstream_id)

    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return a member, or None if the upstream is unknown."""
        state = self._states.get(upstream_id)
        return None if state is None else Member(self.identity(upstream_id), state)

    def state(self, upstream_id: UpstreamId) -> MemberState | None:
        """Return the state of a member, or None if the upstream is unknown."""
        return self._states.get(upstream_id)

    def upstream_ids(self) -> list[UpstreamId]:
        """Return the ids of all known upstreams in order."""
        return sorted(self._states)

    def upstreams_by_zone(self) -> dict[AvailabilityZoneId, set[UpstreamId]]:
        """Return the ids of the known upstreams by availability zone."""
        return self._by_zone

    def digest(self) -> bytes:
        """Return a hash of all records."""
        return self._table_digest.to_bytes(_DIGEST_BYTES)

    def bucket_digests(self) -> bytes:
        """Return the hashes of all buckets, concatenated."""
        return b"".join(value.to_bytes(_DIGEST_BYTES) for value in self._bucket_hashes)

    def differing_buckets(self, digests: bytes) -> tuple[int, ...]:
        """Return the numbers of the buckets whose hash differs in another table.

        Args:
            digests: The other table's `bucket_digests`.
        """
        own = self.bucket_digests()
        offsets = range(0, BUCKET_COUNT * _DIGEST_BYTES, _DIGEST_BYTES)
        return tuple(
            offset // _DIGEST_BYTES
            for offset in offsets
            if own[offset : offset + _DIGEST_BYTES] != digests[offset : offset + _DIGEST_BYTES]
        )

    def records_in_buckets(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the records in some buckets, given by number."""
        wanted = set(buckets)
        return [record for name, record in self.records.items() if _bucket_of(name) in wanted]

    def _update_digests(self, record: MemberRecord) -> None:
        """Add a record to the hashes, or remove it: the exclusive or is its own inverse."""
        value = _hash_record(record)
        self._bucket_hashes[_bucket_of(record.identity.upstream_id)] ^= value
        self._table_digest ^= value

    def _remove_record(self, known: MemberRecord | None) -> list[UpstreamId]:
        if known is None:
            return []
        upstream_id = known.identity.upstream_id
        self._update_digests(known)
        for missed in known.silent:
            observers = self._observers.get(missed, {})
            observers.pop(upstream_id, None)
            if not observers:
                self._observers.pop(missed, None)
        return self._upstreams_with(known.silent)

    def _upstreams_with(self, fingerprints: Iterable[int]) -> list[UpstreamId]:
        return [
            self._upstream_by_fingerprint[value]
            for value in fingerprints
            if value in self._upstream_by_fingerprint
        ]

    def _index_identity(self, identity: NodeIdentity) -> None:
        self._upstream_by_fingerprint[fingerprint(identity)] = identity.upstream_id
        for zone, names in self._by_zone.items():
            if zone != identity.availability_zone:
                names.discard(identity.upstream_id)
        self._by_zone.setdefault(identity.availability_zone, set()).add(identity.upstream_id)

    def _update_states(
        self, affected: set[UpstreamId], reports_changed: bool = True
    ) -> list[Member]:
        partitioned = self._find_partitioned_zones() if reports_changed else self._partitioned_zones
        for zone in partitioned ^ self._partitioned_zones:
            affected |= self._by_zone[zone]
        self._partitioned_zones = partitioned
        changed = []
        for upstream_id in affected:
            state = self._derive_state(self.identity(upstream_id))
            if self._states.get(upstream_id) is not state:
                self._states[upstream_id] = state
                changed.append(Member(self.identity(upstream_id), state))
        return changed

    def _derive_state(self, identity: NodeIdentity) -> MemberState:
        upstream_id = identity.upstream_id
        record, listing = self.records.get(upstream_id), self._listings.get(upstream_id)
        leaving = (record is not None and record.leaving) or (
            listing is not None and listing.leaving
        )
        if upstream_id == self.local.upstream_id:
            return MemberState.LEAVING if leaving else MemberState.LIVE
        if upstream_id in self._delisted or self._has_failed(identity):
            return MemberState.FAILED
        observers = self._observers_of(identity)
        zones = set(observers.values())
        if len(observers) >= MIN_OBSERVERS and (
            len(zones) > 1 or zones == {self.local.availability_zone}
        ):
            return MemberState.UNREACHABLE
        if identity.availability_zone in self._partitioned_zones:
            return MemberState.UNREACHABLE
        if leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if observers else MemberState.LIVE

    def _observers_of(self, identity: NodeIdentity) -> dict[UpstreamId, AvailabilityZoneId]:
        observers = self._observers.get(fingerprint(identity), {})
        return {
            name: zone
            for name, zone in observers.items()
            if name != identity.upstream_id and name not in self._delisted
        }

    def _has_failed(self, identity: NodeIdentity) -> bool:
        observers = self._observers_of(identity)
        return len(observers) >= MIN_OBSERVERS and identity.availability_zone in observers.values()

    def _find_partitioned_zones(self) -> frozenset[AvailabilityZoneId]:
        """Return the zones of which nodes of the local zone cannot reach more than half.

        Failed processes do not count, and at least `MIN_OBSERVERS` local nodes must report, or all
        of a smaller local zone.
        """
        local_zone = self.local.availability_zone
        missed: dict[AvailabilityZoneId, int] = {}
        failed: dict[AvailabilityZoneId, int] = {}
        local_observers: dict[AvailabilityZoneId, set[UpstreamId]] = {}
        for upstream_id in self._upstreams_with(self._observers):
            identity = self.identity(upstream_id)
            zone = identity.availability_zone
            if zone == local_zone or upstream_id in self._delisted:
                continue
            observers = self._observers_of(identity)
            if self._has_failed(identity):
                failed[zone] = failed.get(zone, 0) + 1
                continue
            local = {
                name for name, observer_zone in observers.items() if observer_zone == local_zone
            }
            if local:
                missed[zone] = missed.get(zone, 0) + 1
                local_observers.setdefault(zone, set()).update(local)
        for upstream_id in self._delisted:
            zone = self.identity(upstream_id).availability_zone
            failed[zone] = failed.get(zone, 0) + 1
        needed = min(MIN_OBSERVERS, len(self._by_zone.get(local_zone, ())))
        return frozenset(
            zone
            for zone, count in missed.items()
            if count * 2 > len(self._by_zone[zone]) - failed.get(zone, 0)
            and len(local_observers[zone]) >= needed
        )
