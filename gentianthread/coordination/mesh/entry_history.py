"""Remember removed entries of upstreams, and recognise outdated ones of a restored store."""

import attrs

from ...clock import Clock
from ...errors import DocumentError
from ...state.revisions import era_of
from ...transport.metadata_store import Document, DocumentReader

# Heartbeats after which an entry that had been removed before a restore of the store, and that is
# listed again without being written, is used: those of ended upstreams expire after three.
RESTORED_ENTRY_HOLD_HEARTBEATS = 4


class EntryHistory:
    """Remember the last content of removed entries, and hold back those that a copy lists again.

    Revisions of different eras do not tell which of two entries was written later; the upstream's
    own count of its writes does.
    """

    def __init__(self, reader: DocumentReader, heartbeat_ms: float, clock: Clock):
        """Create an empty history.

        Args:
            reader: Decodes entries.
            heartbeat_ms: Interval at which upstreams write their entries.
            clock: Clock for the time for which entries are held back.
        """
        self._reader = reader
        self._hold_ms = RESTORED_ENTRY_HOLD_HEARTBEATS * heartbeat_ms
        self._clock = clock
        # Last content of removed documents, None if they lapsed, with the revision of the removal.
        self._removed: dict[str, Document] = {}
        self._held_until_ms: dict[str, float] = {}

    def record_removal(self, document: Document, revision: int, *, lapsed: bool) -> None:
        """Remember a removed document.

        Args:
            document: Its last content.
            revision: Revision of the removal.
            lapsed: Whether it may only have lapsed while the store was away. It is used as soon
                as it is listed again, since its upstream may be running.
        """
        if self._held_until_ms.pop(document.key, None) is not None:
            # A held entry is older than the one that was removed before.
            document = self._removed[document.key]
        data = None if lapsed else document.data
        self._removed[document.key] = attrs.evolve(document, data=data, revision=revision)

    def removed_after(self, revision: int) -> list[Document]:
        """Return the removals after a revision, as documents without content."""
        return [
            Document(document.key, None, document.revision)
            for document in self._removed.values()
            if document.revision > revision
        ]

    def is_outdated(self, document: Document, known: Document) -> bool:
        """Return whether the upstream had replaced a listed entry by the known one."""
        return self._compare_writes(document, known) < 0

    def hold_back(self, document: Document) -> bool:
        """Defer the use of an entry that a restored store lists as it was before its removal.

        Returns:
            Whether it is deferred; `due_keys` returns its key once it is to be used.
        """
        removed = self._removed.get(document.key)
        if removed is None or removed.data is None or self._compare_writes(document, removed) > 0:
            return False
        self._held_until_ms.setdefault(document.key, self._clock.now_ms() + self._hold_ms)
        return True

    def record_use(self, key: str) -> None:
        """Forget the removal of an entry that is used again."""
        self._removed.pop(key, None)
        self._held_until_ms.pop(key, None)

    def due_keys(self) -> list[str]:
        """Return the keys of held entries that ended upstreams would have lost by now."""
        now_ms = self._clock.now_ms()
        return [key for key, due_ms in self._held_until_ms.items() if due_ms <= now_ms]

    def _compare_writes(self, document: Document, known: Document) -> int:
        """Return whether an upstream wrote a document before, as or after the known one.

        Returns:
            -1, 0 or 1; 1 also if there is no sign that the document is the older one.
        """
        if era_of(known.revision) == era_of(document.revision):
            return 1
        upstream_id = self._reader.upstream_id(document.key)
        try:
            known_order = self._reader.upstream(upstream_id, known.data).write_order()
            order = self._reader.upstream(upstream_id, document.data).write_order()
        except DocumentError:
            return 1
        if known_order is None or order is None:
            return 1
        return (order > known_order) - (order < known_order)
