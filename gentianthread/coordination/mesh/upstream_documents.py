"""Apply the entries of upstreams to the directory."""

from collections.abc import MutableMapping

import attrs

from ...errors import DocumentError
from ...events import UPSTREAM_CHANGED
from ...logs import log
from ...state.directory import Directory, UpstreamEntry
from ...transport.metadata_store import Document, DocumentReader
from .entry_history import EntryHistory


class UpstreamDocuments:
    """Keep the directory up to date with the entries of upstreams."""

    def __init__(
        self,
        reader: DocumentReader,
        directory: Directory,
        documents: MutableMapping[str, Document],
        history: EntryHistory,
    ):
        """Create the state without any entry.

        Args:
            reader: Decodes entries.
            directory: Updated with the entries.
            documents: Known documents by key.
            history: Remembers removed entries.
        """
        self._reader = reader
        self._directory = directory
        self._documents = documents
        self._history = history

    def apply(self, document: Document) -> None:
        """Apply the entry of an upstream, unless it is older than the known one.

        Raises:
            DocumentError: The entry is malformed; the upstream is no longer used.
        """
        known = self._documents.get(document.key)
        if known is not None and known.revision >= document.revision:
            return
        if known is not None and self._history.is_outdated(document, known):
            return
        self._documents[document.key] = document
        if not self._history.hold_back(document):
            self._use(document)

    def use_due(self) -> None:
        """Use the held entries that ended upstreams would have lost by now.

        Raises:
            DocumentError: An entry is malformed.
        """
        for key in self._history.due_keys():
            self._use(self._documents[key])

    def remove(self, key: str, kept_until_ms: float, *, lapsed: bool) -> None:
        """Remove the entry of an upstream.

        Args:
            key: Key of the entry.
            kept_until_ms: Time until which it stays listed.
            lapsed: Whether it may only have lapsed while the store was away.
        """
        upstream_id = self._reader.upstream_id(key)
        known = self._directory.entries.get(upstream_id)
        if known is not None:
            _log_upstream(known, "lapsed" if lapsed else "gone")
        self._directory.remove(upstream_id, kept_until_ms=kept_until_ms)

    def _use(self, document: Document) -> None:
        """List the upstream of an entry, or no longer if the entry is malformed.

        Raises:
            DocumentError: The entry is malformed.
        """
        self._history.record_use(document.key)
        upstream_id = self._reader.upstream_id(document.key)
        try:
            entry = self._reader.upstream(upstream_id, document.data)
        except DocumentError:
            self._directory.remove(upstream_id)
            # Other programs may write much, and its revision alone tells other nodes of the entry.
            self._documents[document.key] = attrs.evolve(document, data=b"")
            raise
        listed = self._directory.entries.get(upstream_id)
        if listed is None or listed.state is not entry.state:
            _log_upstream(entry, entry.state.value)
        self._directory.put(entry)


def _log_upstream(entry: UpstreamEntry, state: str) -> None:
    log(UPSTREAM_CHANGED, upstream_id=entry.upstream_id, service_id=entry.service_id, state=state)
