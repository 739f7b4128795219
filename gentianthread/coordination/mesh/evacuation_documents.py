"""Apply the documents of evacuations, and pass on what they alone do not tell other nodes.

The documents reach the nodes as all others do. After a restore of the store they may lack an
evacuation that is in force, or list one that has ended; neighbours on the feeds then tell each
other their records.
"""

from collections.abc import Callable, Iterable, MutableMapping

from ...events import EVACUATION_ENDED, EVACUATION_KEPT, EVACUATION_OUTDATED, ZONE_EVACUATED
from ...ids import AvailabilityZoneId
from ...logs import log
from ...protocol.messages_mesh import EvacuationRecords
from ...state.directory import Directory
from ...state.evacuations import EvacuationRecord, Evacuations, Merge
from ...state.revisions import format_revision
from ...transport.metadata_store import Document, DocumentKind, DocumentReader
from .peer_link import PeerLink

# Content of a document that a node makes for an evacuation of which another node told it.
EVACUATION_CONTENT = b"{}"


class EvacuationDocuments:
    """Keep the evacuated zones of the directory up to date.

    Attributes:
        evacuations: What is known of the zones.
        neighbours: Returns a link to each node on the feeds; the sidecar sets it.
    """

    def __init__(
        self,
        reader: DocumentReader,
        directory: Directory,
        documents: MutableMapping[str, Document],
    ):
        """Create the state without any evacuation.

        Args:
            reader: Decodes the keys of documents.
            directory: Updated with the evacuated zones.
            documents: Known documents by key; those of evacuations are in it while they are in
                force, so that they pass to other nodes with the others.
        """
        self.evacuations = Evacuations()
        self.neighbours: Callable[[], Iterable[PeerLink]] = list
        self._reader = reader
        self._directory = directory
        self._documents = documents
        # Zones whose kept evacuation or outdated key was logged, until it changes.
        self._logged: set[AvailabilityZoneId] = set()

    def apply(self, document: Document, source: str) -> bool:
        """Put the evacuation of a document in force, unless it is known to have ended.

        Its content does not matter: a zone whose evacuation cannot be read is evacuated, too.

        Returns:
            Whether it is in force.
        """
        zone = self._reader.evacuated_zone(document.key)
        if not self.evacuations.list_zone(zone, document.revision):
            if zone not in self._logged:
                self._logged.add(zone)
                log(EVACUATION_OUTDATED, zone=zone, revision=format_revision(document.revision))
            self._send(self.evacuations.record(zone))
            return False
        known = self._documents.get(document.key)
        if known is None or known.revision < document.revision:
            self._documents[document.key] = document
        self._update(source)
        return True

    def remove(self, key: str, revision: int, source: str) -> None:
        """End the evacuation whose document was removed."""
        zone = self._reader.evacuated_zone(key)
        self.evacuations.remove_zone(zone, revision)
        self._update(source)

    def apply_complete_read(
        self, documents: Iterable[Document], revision: int, source: str
    ) -> list[Document]:
        """End the evacuations that a complete read lacks, before its documents are applied.

        Returns:
            The documents of the ended ones, which are no longer known.
        """
        self.evacuations.note_complete_read(revision)
        listed = [
            self._reader.evacuated_zone(document.key)
            for document in documents
            if self._reader.kind(document.key) is DocumentKind.EVACUATION
        ]
        ended, kept = self.evacuations.miss_zones(listed, revision)
        for zone in kept:
            if zone not in self._logged:
                self._logged.add(zone)
                log(EVACUATION_KEPT, zone=zone, revision=format_revision(revision), source=source)
        keys = [self._reader.evacuation_key(zone) for zone in ended]
        removed = [self._documents.pop(key) for key in keys if key in self._documents]
        self._update(source)
        return removed

    def note_first_documents(self, revision: int) -> None:
        """Record the revision of the first documents, which came as changes from nothing."""
        self.evacuations.note_complete_read(revision)

    def send_known(self, link: PeerLink) -> None:
        """Send a node what is known of each zone; called as they begin to follow each other."""
        records = tuple(self.evacuations.records())
        if records:
            link.post(EvacuationRecords(records))

    def on_records(self, link: PeerLink, message: EvacuationRecords) -> None:
        """Take over what another node knows, and tell it or the others what they may not know."""
        for record in message.records:
            merge = self.evacuations.merge(record)
            if merge is Merge.OLDER:
                own = self.evacuations.record(record.availability_zone)
                link.post(EvacuationRecords((own,)))
            elif merge is Merge.NEWER:
                self._follow_record(record)
                self._update(f"peer {link.host}")
                self._send(self.evacuations.record(record.availability_zone), link)

    def _follow_record(self, record: EvacuationRecord) -> None:
        key = self._reader.evacuation_key(record.availability_zone)
        if record.in_force:
            self._documents[key] = Document(key, EVACUATION_CONTENT, record.written)
        else:
            self._documents.pop(key, None)

    def _send(self, record: EvacuationRecord, source: PeerLink | None = None) -> None:
        for link in self.neighbours():
            if source is None or link.host != source.host:
                link.post(EvacuationRecords((record,)))

    def _update(self, source: str) -> None:
        """Bring the directory up to date and log what has changed."""
        before, zones = self._directory.evacuated_zones, self.evacuations.zones()
        if zones == before:
            return
        for zone in sorted(zones - before):
            written = format_revision(self.evacuations.record(zone).written)
            log(ZONE_EVACUATED, zone=zone, revision=written, source=source)
        for zone in sorted(before - zones):
            ended = format_revision(self.evacuations.record(zone).ended)
            log(EVACUATION_ENDED, zone=zone, revision=ended, source=source)
        self._logged -= zones ^ before
        self._directory.set_evacuated(zones)
