"""Find other nodes in the store's list of upstreams, while this node knows no document."""

from ...errors import DocumentError
from ...events import DOCUMENT_REFUSED
from ...ids import AvailabilityZoneId
from ...logs import log
from ...metrics import Metrics
from ...state.revisions import format_revision
from ...transport.metadata_store import DocumentKind, DocumentReader, MetadataStore, StorePage

# Addresses of nodes by availability zone.
HostsByZone = dict[AvailabilityZoneId, set[str]]


class EntrySample:
    """Read pages of entries until one names nodes.

    One page is enough while its nodes answer, whatever the number of nodes. It does not stand for
    the list: entries of other programs may fill it, and its nodes may all be gone.

    Attributes:
        is_whole: Whether the last read covered the whole list, also if such a read failed.
    """

    def __init__(self, store: MetadataStore, reader: DocumentReader, metrics: Metrics):
        """Create a sample without reading any page.

        Args:
            store: The platform's store.
            reader: Decodes entries.
            metrics: Counts the pages.
        """
        self._store = store
        self._reader = reader
        self._metrics = metrics
        self.is_whole = False
        # Key after which the first page with nodes begins; the next read skips the pages before it.
        self._first_after = ""

    async def read(self, *, whole: bool) -> HostsByZone:
        """Read pages up to the first one that names nodes.

        Args:
            whole: Whether to read on after it, up to the end of the list.

        Returns:
            The nodes that the pages name; none if no entry of the list can be used.

        Raises:
            PlatformUnavailable: The store failed or did not respond in time.
        """
        hosts_by_zone: HostsByZone = {}
        after: str | None = "" if whole else self._first_after
        is_from_start = not after
        self.is_whole = whole
        self._first_after = ""
        while after is not None:
            self._metrics.count("store.sampled")
            page = await self._store.sample_entries(after)
            was_empty = not hosts_by_zone
            self._add_hosts(page, hosts_by_zone)
            if hosts_by_zone and was_empty:
                self._first_after = after
            if hosts_by_zone and not whole and page.next_after is not None:
                return hosts_by_zone
            after = page.next_after
        self.is_whole = is_from_start
        return hosts_by_zone

    def _add_hosts(self, page: StorePage, hosts_by_zone: HostsByZone) -> None:
        for document in page.documents:
            if self._reader.kind(document.key) is not DocumentKind.UPSTREAM:
                continue
            upstream_id = self._reader.upstream_id(document.key)
            try:
                entry = self._reader.upstream(upstream_id, document.data)
            except DocumentError as error:
                revision = format_revision(page.revision)
                log(DOCUMENT_REFUSED, key=document.key, revision=revision, problem=str(error))
                continue
            hosts_by_zone.setdefault(entry.availability_zone, set()).add(entry.host)
