"""Follow the platform's documents: from the store, and from peers while the store is away."""

import asyncio
from random import Random

from ...clock import Clock
from ...errors import DocumentError, PlatformUnavailable
from ...events import (
    DOCUMENT_REFUSED,
    DOCUMENTS_FROM_PEER,
    HISTORY_LOST,
    PLAN_IN_FORCE,
    STORE_LOST,
    STORE_REGAINED,
    UPSTREAM_CHANGED,
)
from ...ids import UpstreamId
from ...logs import log
from ...metrics import Metrics
from ...protocol.messages_mesh import (
    DocumentChanges,
    DocumentCopy,
    Documents,
    DocumentsWanted,
)
from ...state.directory import Directory, UpstreamEntry
from ...state.fleet_plan import FleetPlan
from ...transport.metadata_store import (
    Document,
    DocumentKind,
    DocumentReader,
    HistoryLost,
    MetadataStore,
    StoreRead,
)
from .feeds import WATCHER_WAIT_MS, DocumentFeeds
from .peer_link import PeerLink

# Longest wait of one watch. Each call is priced; a silent connection is found by keep-alives.
WATCH_WAIT_MS = 15_000.0

# Pause after changes: those that come close together cost one call. Well under the 2 s in which a
# configuration or a leaving upstream must be acted on.
GATHER_MS = 200.0

# Pause after a failed call, doubled up to the second figure and spread over nodes.
BACKOFF_MS = (150.0, 700.0)

# Time after an outage in which entries that are missing may be listed again; see `RELIST_GRACE_MS`.
RETURN_MS = 2_500.0

# How often a node with a feed looks whether it still has one.
FEED_TICK_MS = 100.0

# A peer that knows more is asked after this time, in which the own watch usually tells the same.
ASK_AFTER_MS = 500.0

# How often lapsed entries and newer revisions of peers are looked after.
MAINTENANCE_MS = 200.0


class DocumentFollower:
    """Keep plan and directory at the newest documents that can be had.

    Attributes:
        plan: The plan in force, or None before the first.
        revision: Revision up to which the documents are complete; 0 before the first read.
        ready: Set once a plan and a listing are known.
        documents: The documents as the store has them, for peers.
        feeds: What the watchers of zones tell; without it this node always watches.
        heard_ms: When the store last answered this node.
    """

    def __init__(
        self,
        store: MetadataStore,
        reader: DocumentReader,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
        random: Random,
    ):
        """Create a follower; `run` starts it.

        Args:
            store: The platform's store.
            reader: Decodes its documents.
            directory: Takes the entries of upstreams.
            clock: Clock of pauses.
            metrics: Counts calls.
            random: Source of jitter.
        """
        self.store = store
        self.reader = reader
        self.directory = directory
        self.clock = clock
        self.metrics = metrics
        self.random = random
        self.plan: FleetPlan | None = None
        self.revision = 0
        self.ready = asyncio.Event()
        self.documents: dict[str, Document] = {}
        self.feeds: DocumentFeeds | None = None
        self.heard_ms = float("-inf")
        # Revisions of removals, for followers that have not heard of them.
        self._removed: dict[str, int] = {}
        self._watch: asyncio.Future | None = None
        # A peer that knows a newer revision, and since when.
        self._ahead: tuple[PeerLink, int, float] | None = None
        self._lost_ms: float | None = None
        self._returned_ms = float("-inf")
        self._backoff_ms = BACKOFF_MS[0]

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            try:
                await self._follow_once()
            except HistoryLost as error:
                log(HISTORY_LOST, revision=self.revision, problem=str(error))
                await self._read_all()
            except PlatformUnavailable as error:
                await self._pause(error)

    async def maintain(self) -> None:
        """Drop lapsed entries and ask peers that know more, for ever."""
        while True:
            await self.clock.sleep_ms(MAINTENANCE_MS)
            self.directory.remove_expired()
            self._ask_ahead()

    async def _follow_once(self) -> None:
        if not self.revision:
            await self._read_all()
            return
        if self.feeds is not None and not self.feeds.watching and not self.feeds.lost():
            await self.clock.sleep_ms(FEED_TICK_MS)
            return
        wait_ms = WATCH_WAIT_MS
        if self.feeds is not None and self.feeds.watching:
            wait_ms = WATCHER_WAIT_MS
        self.metrics.count("store.calls")
        self._watch = asyncio.ensure_future(self.store.watch(self.revision, wait_ms))
        # The watch is cancelled from `on_documents`, and this task only from outside.
        try:
            await asyncio.wait([self._watch])
        except asyncio.CancelledError:
            self._watch.cancel()
            raise
        if self._watch.cancelled():
            return
        read = self._watch.result()
        self._heard()
        self._take_changes(read)
        if read.documents:
            await self.clock.sleep_ms(GATHER_MS)

    async def _read_all(self) -> None:
        try:
            self.metrics.count("store.calls")
            read = await self.store.read_all()
        except PlatformUnavailable as error:
            await self._pause(error)
            return
        self._heard()
        self._take_all(read, "store")

    async def _pause(self, error: PlatformUnavailable) -> None:
        if self._lost_ms is None:
            self._lost_ms = self.clock.now_ms()
            version = None if self.plan is None else self.plan.version
            log(STORE_LOST, problem=str(error), version=version)
            self.heard_ms = float("-inf")
            if self.feeds is not None:
                self.feeds.tell_state()
        pause_ms = self._backoff_ms * (0.5 + self.random.random())
        self._backoff_ms = min(BACKOFF_MS[1], self._backoff_ms * 2)
        await self.clock.sleep_ms(pause_ms)

    def _heard(self) -> None:
        now_ms = self.clock.now_ms()
        self.heard_ms = now_ms
        self._backoff_ms = BACKOFF_MS[0]
        if self._lost_ms is not None:
            log(STORE_REGAINED, away_ms=now_ms - self._lost_ms)
            self._lost_ms = None
            self._returned_ms = now_ms

    @property
    def lapsing(self) -> bool:
        """Return whether missing entries may be listed again soon."""
        return self.clock.now_ms() - self._returned_ms < RETURN_MS

    def _take_all(self, read: StoreRead, source: str) -> None:
        """Replace what is known by a complete read."""
        listed = {document.key: document for document in read.documents}
        for key in [key for key in self.documents if key not in listed]:
            if self.documents[key].revision <= read.revision:
                self._remove(key, read.revision)
        for document in read.documents:
            self._take(document, source)
        self.revision = max(self.revision, read.revision)
        self._check_ready()

    def _take_changes(self, read: StoreRead) -> None:
        for document in read.documents:
            if document.data is None:
                self._remove(document.key, document.revision)
            else:
                self._take(document, "store")
        self.revision = max(self.revision, read.revision)
        self._check_ready()

    def _note_lapsing(self, lapsing: bool) -> None:
        """Take over that a peer has just seen the store return."""
        if lapsing and not self.lapsing:
            self._returned_ms = self.clock.now_ms()

    def changed_after(self, revision: int) -> list[Document]:
        """Return the documents that changed after a revision, removals too."""
        changed = [one for one in self.documents.values() if one.revision > revision]
        removed = [Document(key, None, at) for key, at in self._removed.items() if at > revision]
        return changed + removed

    def on_changes(self, link: PeerLink, found: DocumentChanges) -> None:
        """Take the changes that a watcher hands on."""
        if found.base > self.revision and self.feeds is not None:
            self.feeds.ask_for_all(link)
        elif found.revision > self.revision:
            self._note_lapsing(found.lapsing)
            documents = tuple(Document(one.key, one.data, one.revision) for one in found.changes)
            self._take_changes(StoreRead(documents, found.revision))

    def _check_ready(self) -> None:
        if self.feeds is not None:
            self.feeds.push()
        if self.plan is not None and self.directory.entries:
            self.ready.set()

    def _remove(self, key: str, revision: int) -> None:
        if self.documents.pop(key, None) is not None:
            self._removed[key] = revision
        if self.reader.kind(key) is DocumentKind.UPSTREAM:
            upstream_id = self.reader.upstream_id(key)
            known = self.directory.entries.get(upstream_id)
            if known is not None:
                state = "lapsed" if self.lapsing else "gone"
                self._note_upstream(known, state)
            self.directory.remove(upstream_id, lapsed=self.lapsing)

    def _take(self, document: Document, source: str) -> None:
        known = self.documents.get(document.key)
        if known is not None and known.revision >= document.revision:
            return
        kind = self.reader.kind(document.key)
        if kind is DocumentKind.OTHER:
            return
        self.documents[document.key] = document
        self._removed.pop(document.key, None)
        try:
            if kind is DocumentKind.PLAN:
                self._take_plan(self.reader.plan(document.data), source)
            else:
                self._take_upstream(document)
        except DocumentError as error:
            self.metrics.count("store.documents_refused")
            log(DOCUMENT_REFUSED, key=document.key, revision=document.revision, problem=str(error))
            if kind is DocumentKind.UPSTREAM:
                # An entry that cannot be read names no upstream to use.
                self.directory.remove(self.reader.upstream_id(document.key))

    def _take_plan(self, plan: FleetPlan, source: str) -> None:
        if self.plan is not None and plan.version <= self.plan.version:
            return
        self.plan = plan
        log(PLAN_IN_FORCE, version=plan.version, source=source)

    def _take_upstream(self, document: Document) -> None:
        upstream_id: UpstreamId = self.reader.upstream_id(document.key)
        entry = self.reader.upstream(upstream_id, document.data)
        known = self.directory.entries.get(upstream_id)
        if known is None or known.state is not entry.state:
            self._note_upstream(entry, entry.state.value)
        self.directory.put(entry)

    def _note_upstream(self, entry: UpstreamEntry, state: str) -> None:
        log(
            UPSTREAM_CHANGED,
            upstream_id=entry.upstream_id,
            service_id=entry.service_id,
            state=state,
        )

    # Peers.

    def note_revision(self, link: PeerLink, revision: int) -> None:
        """Remember a peer that knows a newer revision."""
        if revision <= self.revision:
            return
        if self._ahead is None or self._ahead[1] <= self.revision:
            self._ahead = (link, revision, self.clock.now_ms())
        elif self._ahead[0].closed:
            self._ahead = (link, revision, self._ahead[2])

    def _ask_ahead(self) -> None:
        """Ask a peer that has known more for some time: the own watch hears nothing."""
        if self._ahead is None:
            return
        link, revision, since_ms = self._ahead
        if revision <= self.revision or link.closed:
            self._ahead = None
        elif not self.revision or self.clock.now_ms() - since_ms >= ASK_AFTER_MS:
            self._ahead = None
            link.post(DocumentsWanted(self.revision))

    def on_wanted(self, link: PeerLink, wanted: DocumentsWanted) -> None:
        """Send all documents to a peer that knows less."""
        if self.revision <= wanted.revision:
            return
        copies = tuple(
            DocumentCopy(document.key, document.data, document.revision)
            for document in self.documents.values()
        )
        link.post(Documents(self.revision, copies, self.lapsing))

    def on_documents(self, link: PeerLink, found: Documents) -> None:
        """Take the documents of a peer that knows more."""
        if found.revision <= self.revision:
            return
        log(DOCUMENTS_FROM_PEER, revision=found.revision, peer=link.host)
        self._note_lapsing(found.lapsing)
        documents = tuple(Document(one.key, one.data, one.revision) for one in found.documents)
        self._take_all(StoreRead(documents, found.revision), f"peer {link.host}")
        if self._watch is not None:
            # It should have told the same before.
            self._watch.cancel()
