"""Define the interfaces for reading the documents of a platform's metadata store."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from enum import Enum

import attrs

from ..errors import PlatformUnavailable
from ..ids import AvailabilityZoneId, UpstreamId
from ..registry import Registry
from ..state.directory import UpstreamEntry
from ..state.fleet_plan import FleetPlan


class HistoryLost(PlatformUnavailable):
    """Report that the store no longer has the changes after a revision."""


class DocumentKind(Enum):
    """Name what a document describes."""

    PLAN = "plan"
    UPSTREAM = "upstream"
    EVACUATION = "evacuation"
    OTHER = "other"


@attrs.frozen
class Document:
    """Store a document as read.

    Attributes:
        key: Key of the document.
        data: Content, or None if the document was removed.
        revision: Revision of its last change. All revisions are those of `state.revisions`, ordered
            across restores of the store.
    """

    key: str
    data: bytes | None = attrs.field(repr=False)
    revision: int


@attrs.frozen
class StoreRead:
    """Store the result of a read.

    Attributes:
        documents: The documents.
        revision: Revision of the store up to which they are complete.
    """

    documents: tuple[Document, ...]
    revision: int


@attrs.frozen
class StorePage(StoreRead):
    """Store a page of a longer read.

    Attributes:
        next_after: Key after which the next page begins, or None if this is the last one.
    """

    next_after: str | None


def make_page(
    call: str, documents: Sequence[Document], revision: int, after: str, *, has_more: bool
) -> StorePage:
    """Return a page, after a check that it leads to the next one.

    Args:
        call: Call that read it, for the error.
        documents: Its documents in the order of their keys.
        revision: Revision of the store.
        after: Key after which the page begins.
        has_more: Whether more documents follow.

    Raises:
        PlatformUnavailable: More documents follow, and it is not known after which key.
    """
    next_after = documents[-1].key if has_more and documents else None
    if has_more and (next_after is None or next_after <= after):
        raise PlatformUnavailable(call, "page does not lead to the next one")
    return StorePage(tuple(documents), revision, next_after)


class MetadataStore(ABC):
    """Read the documents of a store, with a timeout for each call; nothing is written."""

    @classmethod
    @abstractmethod
    def connect(cls, host: str, port: int, source_address: str | None) -> "MetadataStore":
        """Create a client of the store at an address.

        Args:
            host: IP address of the store.
            port: Its TCP port.
            source_address: Local IP address of the connections, or None for any.
        """

    @abstractmethod
    async def read_all(self) -> StoreRead:
        """Return all documents that nodes follow.

        Raises:
            PlatformUnavailable: The store failed or did not respond in time.
        """

    @abstractmethod
    async def sample_entries(self, after: str = "") -> StorePage:
        """Return a page of upstream entries, possibly outdated, at a lower price than a full read.

        Args:
            after: Key after which the page begins; empty for the first page.

        Raises:
            PlatformUnavailable: The store failed or did not respond in time.
        """

    @abstractmethod
    async def watch(self, revision: int, wait_ms: float) -> StoreRead:
        """Wait for changes.

        Args:
            revision: Revision after which changes are returned.
            wait_ms: Longest time that the store waits for a change.

        Raises:
            HistoryLost: The store no longer has these changes, or was restored from a copy.
            PlatformUnavailable: The store failed or did not respond in time.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class DocumentReader(ABC):
    """Decode the documents of a store."""

    @abstractmethod
    def kind(self, key: str) -> DocumentKind:
        """Return what the document with a key describes."""

    @abstractmethod
    def upstream_id(self, key: str) -> UpstreamId:
        """Return the id of the upstream that a key names."""

    @abstractmethod
    def evacuated_zone(self, key: str) -> AvailabilityZoneId:
        """Return the availability zone whose evacuation a key stands for."""

    @abstractmethod
    def evacuation_key(self, zone: AvailabilityZoneId) -> str:
        """Return the key that stands for the evacuation of an availability zone."""

    @abstractmethod
    def plan(self, data: bytes) -> FleetPlan:
        """Decode a configuration.

        Raises:
            DocumentError: The document is malformed.
        """

    @abstractmethod
    def upstream(self, upstream_id: UpstreamId, data: bytes) -> UpstreamEntry:
        """Decode the entry of an upstream.

        Raises:
            DocumentError: The document is malformed.
        """


@attrs.frozen
class StoreAdapter:
    """Combine the parts of an adapter.

    Attributes:
        store: Client class of the store.
        reader: Decoder of its documents.
    """

    store: type[MetadataStore]
    reader: DocumentReader


# Store adapters by their names in the settings.
store_adapters: Registry[StoreAdapter] = Registry("store adapter")
