"""Hold what a node knows about all processes of the fleet, and judge their state.

Every process owns one record, which it alone changes: whether it leaves and which processes it
cannot reach. A record with a larger start number, or the same one and a larger sequence, replaces
an earlier one. Tables that have seen the same records are therefore equal, whatever the order.
"""

from collections.abc import Iterable
from functools import lru_cache

import attrs
import xxhash

from ..ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from .members import Member, MemberState

# Differences between tables are found by bucket: at 670 nodes one holds about 10 records.
BUCKET_COUNT = 64

# Observers needed to drop a process; a single one may have a broken link of its own.
MIN_OBSERVERS = 2

_DIGEST_BYTES = 8

# Revision of the list that settings give to a node; every list of the platform is newer.
SEED_REVISION = -1


@attrs.frozen
class MemberRecord:
    """Hold the statements of one process.

    Attributes:
        identity: The process.
        sequence: Rises with each statement of the process.
        leaving: Whether it takes no new work.
        silent: Fingerprints of the processes that it cannot reach, in order.
    """

    identity: NodeIdentity
    sequence: int
    leaving: bool = False
    silent: tuple[int, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Return what orders records of one upstream."""
        return (self.identity.start_number, self.sequence)


@attrs.frozen
class Listing:
    """Hold the entry of a process in the platform's list.

    Attributes:
        upstream_id: Its upstream.
        availability_zone: Where it is.
        leaving: Whether the platform is about to stop it.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    leaving: bool


def fingerprint(identity: NodeIdentity) -> int:
    """Return a short hash of a process, by which records name unreachable ones."""
    return _fingerprint(identity.upstream_id, identity.start_number)


@lru_cache(maxsize=100_000)
def _fingerprint(upstream_id: UpstreamId, start_number: StartNumber) -> int:
    return xxhash.xxh32_intdigest(f"{upstream_id}\0{start_number}".encode())


def _bucket(upstream_id: UpstreamId) -> int:
    return xxhash.xxh32_intdigest(upstream_id.encode()) % BUCKET_COUNT


def _hash(record: MemberRecord) -> int:
    identity = record.identity
    text = (
        f"{identity.upstream_id}\0{identity.availability_zone}\0{identity.start_number}\0"
        f"{record.sequence}\0{record.leaving}\0{record.silent}"
    )
    return xxhash.xxh64_intdigest(text.encode())


class MemberTable:
    """Hold records and the list, and judge states as one node sees them.

    A process is

    - failed if two observers, one of them in its own zone, cannot reach it, or if the list no
      longer has it;
    - unreachable if two observers of two other zones or of this node's zone cannot reach it, or if
      this node's zone is cut off from its zone;
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
        self._dropped: dict[UpstreamId, StartNumber] = {}
        self._states: dict[UpstreamId, MemberState] = {}
        self._by_zone: dict[AvailabilityZoneId, set[UpstreamId]] = {}
        self._names: dict[int, UpstreamId] = {}
        self._observers: dict[int, dict[UpstreamId, AvailabilityZoneId]] = {}
        self._cut_zones: frozenset[AvailabilityZoneId] = frozenset()
        self._buckets = [0] * BUCKET_COUNT
        self._total = 0
        self.apply(MemberRecord(local, 1))

    def apply(self, record: MemberRecord) -> list[Member] | None:
        """Take over a record.

        Args:
            record: A record of any process.

        Returns:
            The members whose state changed, or None if the record is not newer.
        """
        fresh, changed = self.apply_all((record,))
        return changed if fresh else None

    def apply_all(self, records: Iterable[MemberRecord]) -> tuple[list[MemberRecord], list[Member]]:
        """Take over several records and judge states once.

        Returns:
            The records that are newer than the known ones, and the members whose state changed.
        """
        fresh: list[MemberRecord] = []
        affected: set[UpstreamId] = set()
        reports_changed = False
        for record in records:
            known = self.records.get(record.identity.upstream_id)
            if known is not None and record.rank <= known.rank:
                continue
            fresh.append(record)
            affected |= self._replace(known, record)
            reports_changed |= known is None or known.silent != record.silent
        return fresh, self._judge_all(affected, reports_changed) if fresh else []

    def _replace(self, known: MemberRecord | None, record: MemberRecord) -> set[UpstreamId]:
        """Put a record in place of an earlier one and return the upstreams to judge again."""
        upstream_id = record.identity.upstream_id
        affected = {upstream_id, *self._forget(known), *self._names_of(record.silent)}
        self.records[upstream_id] = record
        self._toggle(record)
        for mark in record.silent:
            observers = self._observers.setdefault(mark, {})
            observers[upstream_id] = record.identity.availability_zone
        if self._dropped.get(upstream_id, record.identity.start_number) < (
            record.identity.start_number
        ):
            del self._dropped[upstream_id]
        self._index(record.identity)
        return affected

    def apply_listings(self, revision: int, listings: Iterable[Listing]) -> list[Member]:
        """Take over the platform's list unless a newer one is known.

        Args:
            revision: Revision of the list.
            listings: All entries.

        Returns:
            The members whose state changed.
        """
        if revision <= self._revision:
            return []
        self._revision = revision
        before, self._listings = self._listings, {item.upstream_id: item for item in listings}
        affected = set(before) | set(self._listings)
        for upstream_id in before.keys() - self._listings.keys():
            self._dropped[upstream_id] = self.identity(upstream_id).start_number
        for upstream_id, listing in self._listings.items():
            self._dropped.pop(upstream_id, None)
            if upstream_id not in self.records:
                zone = listing.availability_zone
                self._index(NodeIdentity(upstream_id, zone, StartNumber(0)))
        return self._judge_all(affected)

    def listing(self, upstream_id: UpstreamId) -> Listing | None:
        """Return the entry of an upstream in the list, or None."""
        return self._listings.get(upstream_id)

    def identity(self, upstream_id: UpstreamId) -> NodeIdentity:
        """Return the newest known process; it has start number 0 if only the list has it.

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
        """Return all known upstreams in order."""
        return sorted(self._states)

    def upstreams_by_zone(self) -> dict[AvailabilityZoneId, set[UpstreamId]]:
        """Return the known upstreams by zone."""
        return self._by_zone

    def digest(self) -> bytes:
        """Return a hash of all records."""
        return self._total.to_bytes(_DIGEST_BYTES)

    def bucket_digests(self) -> bytes:
        """Return the hashes of all buckets."""
        return b"".join(value.to_bytes(_DIGEST_BYTES) for value in self._buckets)

    def differing_buckets(self, digests: bytes) -> tuple[int, ...]:
        """Return the buckets whose hash differs from another table's."""
        own = self.bucket_digests()
        places = range(0, BUCKET_COUNT * _DIGEST_BYTES, _DIGEST_BYTES)
        return tuple(
            place // _DIGEST_BYTES
            for place in places
            if own[place : place + _DIGEST_BYTES] != digests[place : place + _DIGEST_BYTES]
        )

    def records_in_buckets(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the records of some buckets."""
        wanted = set(buckets)
        return [record for name, record in self.records.items() if _bucket(name) in wanted]

    def _toggle(self, record: MemberRecord) -> None:
        """Add a record to the hashes, or take it out again."""
        value = _hash(record)
        self._buckets[_bucket(record.identity.upstream_id)] ^= value
        self._total ^= value

    def _forget(self, known: MemberRecord | None) -> list[UpstreamId]:
        if known is None:
            return []
        upstream_id = known.identity.upstream_id
        self._toggle(known)
        for mark in known.silent:
            observers = self._observers.get(mark, {})
            observers.pop(upstream_id, None)
            if not observers:
                self._observers.pop(mark, None)
        return self._names_of(known.silent)

    def _names_of(self, marks: Iterable[int]) -> list[UpstreamId]:
        return [self._names[mark] for mark in marks if mark in self._names]

    def _index(self, identity: NodeIdentity) -> None:
        self._names[fingerprint(identity)] = identity.upstream_id
        for zone, names in self._by_zone.items():
            if zone != identity.availability_zone:
                names.discard(identity.upstream_id)
        self._by_zone.setdefault(identity.availability_zone, set()).add(identity.upstream_id)

    def _judge_all(self, affected: set[UpstreamId], reports_changed: bool = True) -> list[Member]:
        cut = self._find_cut_zones() if reports_changed else self._cut_zones
        for zone in cut ^ self._cut_zones:
            affected |= self._by_zone[zone]
        self._cut_zones = cut
        changed = []
        for upstream_id in affected:
            state = self._judge(self.identity(upstream_id))
            if self._states.get(upstream_id) is not state:
                self._states[upstream_id] = state
                changed.append(Member(self.identity(upstream_id), state))
        return changed

    def _judge(self, identity: NodeIdentity) -> MemberState:
        upstream_id = identity.upstream_id
        record, listing = self.records.get(upstream_id), self._listings.get(upstream_id)
        leaving = (record is not None and record.leaving) or (
            listing is not None and listing.leaving
        )
        if upstream_id == self.local.upstream_id:
            return MemberState.LEAVING if leaving else MemberState.LIVE
        if upstream_id in self._dropped or self._has_failed(identity):
            return MemberState.FAILED
        observers = self._observers_of(identity)
        zones = set(observers.values())
        if len(observers) >= MIN_OBSERVERS and (
            len(zones) > 1 or zones == {self.local.availability_zone}
        ):
            return MemberState.UNREACHABLE
        if identity.availability_zone in self._cut_zones:
            return MemberState.UNREACHABLE
        if leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if observers else MemberState.LIVE

    def _observers_of(self, identity: NodeIdentity) -> dict[UpstreamId, AvailabilityZoneId]:
        found = self._observers.get(fingerprint(identity), {})
        return {
            name: zone
            for name, zone in found.items()
            if name != identity.upstream_id and name not in self._dropped
        }

    def _has_failed(self, identity: NodeIdentity) -> bool:
        observers = self._observers_of(identity)
        return len(observers) >= MIN_OBSERVERS and identity.availability_zone in observers.values()

    def _find_cut_zones(self) -> frozenset[AvailabilityZoneId]:
        """Return the zones of which nodes of the local zone miss more than half."""
        local_zone = self.local.availability_zone
        missed: dict[AvailabilityZoneId, int] = {}
        failed: dict[AvailabilityZoneId, int] = {}
        witnesses: dict[AvailabilityZoneId, set[UpstreamId]] = {}
        for upstream_id in self._names_of(self._observers):
            identity = self.identity(upstream_id)
            zone = identity.availability_zone
            if zone == local_zone or upstream_id in self._dropped:
                continue
            observers = self._observers_of(identity)
            if self._has_failed(identity):
                failed[zone] = failed.get(zone, 0) + 1
                continue
            near = {name for name, place in observers.items() if place == local_zone}
            if near:
                missed[zone] = missed.get(zone, 0) + 1
                witnesses.setdefault(zone, set()).update(near)
        for upstream_id in self._dropped:
            zone = self.identity(upstream_id).availability_zone
            failed[zone] = failed.get(zone, 0) + 1
        needed = min(MIN_OBSERVERS, len(self._by_zone.get(local_zone, ())))
        return frozenset(
            zone
            for zone, count in missed.items()
            if count * 2 > len(self._by_zone[zone]) - failed.get(zone, 0)
            and len(witnesses[zone]) >= needed
        )
