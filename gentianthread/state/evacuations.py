"""Track which availability zones are evacuated, across losses and restores of the store.

Handles a store that was compacted, or restored from an older copy, while zones are evacuated or
after their evacuation has ended, and nodes that know different parts of that history. An evacuation
is in force while its key exists. Within an era of the store (see `state.revisions`) revisions order
all writes and removals. Across eras they do not:

- A complete read of a newer era that lacks the key does not end an evacuation of an earlier era, as
  the copy may be older than the evacuation. Only a removal ends it, or a node that knows its end.
- A key of a newer era whose end is known from an earlier era counts as the copied one if its number
  is not above that of the last known write: the copy is from before the end. A write after this
  node's first read of the newer era is always a new one.
"""

from collections.abc import Iterable
from enum import Enum

import attrs

from ..ids import AvailabilityZoneId
from .revisions import era_of, number_of


@attrs.frozen
class EvacuationRecord:
    """Describe what a node knows of the evacuations of a zone.

    Attributes:
        availability_zone: The zone.
        written: Revision of the last known write of the key, or 0.
        ended: Revision at which the last known end was known, or 0.
        in_force: Whether the zone is evacuated.
    """

    availability_zone: AvailabilityZoneId
    written: int
    ended: int
    in_force: bool


class Merge(Enum):
    """Classify what another node knows of a zone, compared with this one."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"


class Evacuations:
    """Combine what the store and other nodes say about evacuations."""

    def __init__(self):
        """Create a state in which no evacuation is known."""
        self._records: dict[AvailabilityZoneId, EvacuationRecord] = {}
        # Revision of the first complete read of the newest era.
        self._era_read = 0

    def zones(self) -> frozenset[AvailabilityZoneId]:
        """Return the evacuated zones."""
        return frozenset(zone for zone, record in self._records.items() if record.in_force)

    def records(self) -> list[EvacuationRecord]:
        """Return what is known of each zone, ended evacuations included."""
        return list(self._records.values())

    def record(self, zone: AvailabilityZoneId) -> EvacuationRecord | None:
        """Return what is known of a zone, or None."""
        return self._records.get(zone)

    def note_complete_read(self, revision: int) -> None:
        """Record the revision of a read of all documents."""
        if era_of(revision) > era_of(self._era_read):
            self._era_read = revision

    def list_zone(self, zone: AvailabilityZoneId, revision: int) -> bool:
        """Record that the key of a zone exists.

        Args:
            zone: The zone.
            revision: Revision of the last write of the key.

        Returns:
            Whether the zone is evacuated; False if the key is a copy from before a known end.
        """
        known = self._records.get(zone) or EvacuationRecord(zone, 0, 0, False)
        if not known.in_force and self._is_before_end(revision, known):
            return False
        written = max(known.written, revision)
        self._records[zone] = EvacuationRecord(zone, written, known.ended, True)
        return True

    def miss_zones(
        self, listed: Iterable[AvailabilityZoneId], revision: int
    ) -> tuple[list[AvailabilityZoneId], list[AvailabilityZoneId]]:
        """Record that a complete read lacks the keys of zones that are evacuated.

        Args:
            listed: Zones whose keys it has.
            revision: Revision of the read.

        Returns:
            Zones whose evacuation has ended, and zones that stay evacuated, as the store came back
            from a copy that may be older than their evacuation.
        """
        listed_zones = frozenset(listed)
        ended, kept = [], []
        for zone in self.zones() - listed_zones:
            record = self._records[zone]
            if era_of(record.written) < era_of(revision):
                kept.append(zone)
            elif record.written <= revision:
                self._end(record, revision)
                ended.append(zone)
        return ended, kept

    def remove_zone(self, zone: AvailabilityZoneId, revision: int) -> bool:
        """Record that the key of a zone was removed.

        Returns:
            Whether this ended an evacuation.
        """
        known = self._records.get(zone) or EvacuationRecord(zone, 0, 0, False)
        if revision <= known.written:
            return False
        self._end(known, revision)
        return known.in_force

    def merge(self, other: EvacuationRecord) -> Merge:
        """Take over what another node knows, if it is newer.

        Returns:
            Whether it was newer. If it was older, the other node must be told this one's record; a
            node that then keeps its own record has taken over the known end, so that its next
            message is accepted here.
        """
        zone = other.availability_zone
        known = self._records.get(zone)
        if known is None:
            self._records[zone] = other
            return Merge.NEWER
        latest = EvacuationRecord(
            zone,
            max(known.written, other.written),
            max(known.ended, other.ended),
            known.in_force,
        )
        if known.in_force == other.in_force:
            self._records[zone] = latest
            return Merge.SAME
        if other.in_force:
            # A node that knows of the end and holds the zone evacuated knows a later write.
            if other.ended < known.ended and self._is_before_end(other.written, known):
                return Merge.OLDER
        elif other.ended <= known.ended or not self._is_before_end(known.written, other):
            self._records[zone] = latest
            return Merge.OLDER
        self._records[zone] = attrs.evolve(latest, in_force=other.in_force)
        return Merge.NEWER

    def _end(self, record: EvacuationRecord, revision: int) -> None:
        ended = max(record.ended, revision)
        self._records[record.availability_zone] = attrs.evolve(record, ended=ended, in_force=False)

    def _is_before_end(self, revision: int, ended: EvacuationRecord) -> bool:
        """Return whether a write of a key came before an end that is known."""
        if era_of(revision) <= era_of(ended.ended):
            return revision <= ended.ended
        if revision > self._era_read and era_of(revision) == era_of(self._era_read):
            return False
        # A follower may get the end of a short evacuation without its write.
        return number_of(revision) <= number_of(ended.written or ended.ended)
