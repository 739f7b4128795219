"""Follow the platform's documents, from the store or, while it is unavailable, from peers."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from ...clock import Clock
from ...errors import DocumentError, PlatformUnavailable
from ...events import (
    DOCUMENT_REFUSED,
    DOCUMENTS_FROM_PEER,
    HISTORY_LOST,
    PLAN_IN_FORCE,
    STORE_LOST,
    STORE_REGAINED,
    STORE_RESTORED,
)
from ...logs import log
from ...metrics import Metrics
from ...protocol.messages_mesh import (
    DocumentChanges,
    DocumentCopy,
    Documents,
    DocumentsWanted,
)
from ...state.directory import Directory
from ...state.fleet_plan import FleetPlan
from ...state.relisting import RelistingPeriod, StoreReturn
from ...state.revisions import era_of, format_revision
from ...transport.metadata_store import (
    Document,
    DocumentKind,
    DocumentReader,
    HistoryLost,
    MetadataStore,
    StoreRead,
)
from .entry_history import EntryHistory
from .entry_sample import EntrySample
from .evacuation_documents import EvacuationDocuments
from .feeds import WATCHER_MAX_WAIT_MS, DocumentFeeds
from .peer_link import PeerLink
from .plan_problems import log_plan_problems
from .store_turn import FEED_CHECK_MS, StoreTurn
from .upstream_documents import UpstreamDocuments

# Maximum duration of one watch. The store charges for each call; keep-alives detect a connection
# that went silent.
WATCH_MAX_WAIT_MS = 15_000.0

# Duration of a watch while the store is away or the feeds are lost: the first answer tells that the
# store is there, which a longer watch would delay until the next change.
PROBE_WAIT_MS = 1.0

# Delay after a change, so that changes in quick succession cost one call. It must stay well below
# the 2 s allowed for acting on a new configuration or a leaving upstream.
BATCH_DELAY_MS = 200.0

# Initial and maximum delay after a failed call; it doubles on each failure, with jitter of half of
# it. The maximum is part of `state.relisting.RETURN_LAG_MS`.
BACKOFF_RANGE_MS = (150.0, 400.0)

# Initial and maximum interval at which a starting node looks for other nodes in the store; it
# doubles on each try, with jitter.
SAMPLE_INTERVAL_RANGE_MS = (200.0, 1_200.0)

# Delay before newer documents are fetched from a peer; usually the node's own watch or feed
# delivers them first.
PEER_FETCH_DELAY_MS = 500.0

# Interval at which lapsed entries are dropped and newer documents are requested from peers.
MAINTENANCE_INTERVAL_MS = 200.0


class DocumentFollower:
    """Keep the plan and the directory up to date with the newest available documents.

    Attributes:
        plan: The plan in force, or None before the first.
        revision: Revision up to which the documents are complete; 0 before the first read.
        ready: Set once a plan and at least one upstream are known.
        documents: Stored documents by key, undecoded, for sending to peers.
        on_plan: Called after a plan was put in force.
        store_answered_ms: Time of the store's last answer; minus infinity while it is unavailable.
        evacuations: Applies the documents of evacuations.
    """

    def __init__(
        self,
        store: MetadataStore,
        reader: DocumentReader,
        heartbeat_ms: float,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
        random: Random,
    ):
        """Create a follower without starting it; see `run` and `maintain`.

        Args:
            store: The platform's store.
            reader: Decodes the store's documents.
            heartbeat_ms: Interval at which upstreams write their entries.
            directory: Updated with the entries of upstreams.
            clock: Clock for delays and timeouts.
            metrics: Counts store calls and refused documents.
            random: Source of the jitter of delays.
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
        self._feeds: DocumentFeeds | None = None
        self.on_plan: Callable[[], None] = lambda: None
        self.store_answered_ms = float("-inf")
        self._history = EntryHistory(reader, heartbeat_ms, clock)
        self._upstreams = UpstreamDocuments(reader, directory, self.documents, self._history)
        self.evacuations = EvacuationDocuments(reader, directory, self.documents)
        # Revision of the last complete read, before which removals may be unknown.
        self._removals_known_from = 0
        self._sample = EntrySample(store, reader, metrics)
        self._turn: StoreTurn | None = None
        self._watch: asyncio.Future | None = None
        # A peer that knows a newer revision, that revision, and when it was first reported.
        self._newer_peer: tuple[PeerLink, int, float] | None = None
        self._outage_started_ms: float | None = None
        self._relisting = RelistingPeriod()
        self._backoff_ms = BACKOFF_RANGE_MS[0]
        self._sample_interval_ms = SAMPLE_INTERVAL_RANGE_MS[0]

    @property
    def feeds(self) -> DocumentFeeds | None:
        """Return the feeds of the zones' watchers; if None, this node always watches the store."""
        return self._feeds

    @feeds.setter
    def feeds(self, feeds: DocumentFeeds) -> None:
        self._feeds = feeds
        self._turn = StoreTurn(feeds, self.clock, self.random)

    async def run(self) -> None:
        """Follow the store or a feed until cancelled."""
        while True:
            try:
                await self._follow_once()
            except HistoryLost as error:
                log(HISTORY_LOST, revision=format_revision(self.revision), problem=str(error))
                await self._read_all()
            except PlatformUnavailable as error:
                await self._back_off(error)

    async def maintain(self) -> None:
        """Drop lapsed entries and fetch newer documents from peers, until cancelled."""
        while True:
            await self.clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
            self.directory.remove_expired()
            self._upstreams.use_due()
            self._fetch_from_peer()

    async def _follow_once(self) -> None:
        if not await self._is_own_call_due():
            return
        if not self.revision:
            await self._read_all()
            return
        wait_ms = WATCH_MAX_WAIT_MS if self.feeds is None else WATCHER_MAX_WAIT_MS
        if self._outage_started_ms is not None or self._has_lost_feeds():
            wait_ms = PROBE_WAIT_MS
        self.metrics.count("store.calls")
        self._watch = asyncio.ensure_future(self.store.watch(self.revision, wait_ms))
        # `on_documents` cancels only the watch; cancelling this task must cancel the watch as well.
        try:
            await asyncio.wait([self._watch])
        except asyncio.CancelledError:
            self._watch.cancel()
            raise
        if self._watch.cancelled():
            return
        read = self._watch.result()
        self._note_store_answer(read.revision)
        self._apply_changes(read, "store")
        if read.documents:
            await self.clock.sleep_ms(BATCH_DELAY_MS)

    async def _is_own_call_due(self) -> bool:
        """Return whether this node must call the store, after waiting a little if it need not."""
        feeds = self.feeds
        if feeds is None or feeds.watching:
            return True
        if not self.revision and self._is_sample_due():
            await self._look_for_nodes()
            return False
        if not feeds.is_lost():
            self._note_feed_return()
            await self.clock.sleep_ms(FEED_CHECK_MS)
            return False
        # Silent sources are passed over, which may make this node a watcher or a head.
        feeds.choose_sources()
        if feeds.is_outage_reported():
            # This node's first call may come after the outage, and must know of it then.
            self._note_outage("reported by the nodes that this one follows")
        if feeds.watching or feeds.plan.position == 0:
            return True
        return await self._turn.is_due()

    def _is_sample_due(self) -> bool:
        """Return whether a starting node still looks for others instead of calling the store.

        A node that has lost its feeds calls the store, but has looked into the whole list before:
        the nodes of a part of it may all be gone.
        """
        has_lost_sources = bool(self.feeds.plan.sources) and self.feeds.is_lost()
        return not (has_lost_sources and self._sample.is_whole)

    async def _look_for_nodes(self) -> None:
        """Find nodes to follow in the store's list; their feeds bring all documents."""
        feeds = self.feeds
        await feeds.start_with(await self._sample.read(whole=feeds.is_lost()))
        if not (feeds.plan.sources or feeds.watching or self._sample.is_whole):
            # None of the nodes of these pages can be reached.
            await feeds.start_with(await self._sample.read(whole=True))
        may_call_now = feeds.watching or not self._is_sample_due()
        if not may_call_now:
            await self.clock.sleep_ms(self._sample_interval_ms * (0.5 + self.random.random()))
            self._sample_interval_ms = min(
                SAMPLE_INTERVAL_RANGE_MS[1], self._sample_interval_ms * 2
            )

    async def _read_all(self) -> None:
        try:
            self.metrics.count("store.calls")
            read = await self.store.read_all()
        except PlatformUnavailable as error:
            await self._back_off(error)
            return
        self._note_store_answer(read.revision)
        self._apply_snapshot(read, "store")

    async def _back_off(self, error: PlatformUnavailable) -> None:
        self._note_outage(str(error))
        delay_ms = self._backoff_ms * (0.5 + self.random.random())
        self._backoff_ms = min(BACKOFF_RANGE_MS[1], self._backoff_ms * 2)
        await self.clock.sleep_ms(delay_ms)

    def _note_outage(self, problem: str) -> None:
        now_ms = self.clock.now_ms()
        is_first = self._outage_started_ms is None
        if is_first:
            self._outage_started_ms = now_ms
        if self.feeds is None or not self.feeds.is_answered_after(self._outage_started_ms):
            self._change_relisting(self._relisting.record_failure, now_ms)
        if not is_first:
            return
        version = None if self.plan is None else self.plan.version
        log(STORE_LOST, problem=problem, version=version)
        self.store_answered_ms = float("-inf")
        if self.feeds is not None:
            self.feeds.reports_outage = True
            self.feeds.send_state()

    def _note_store_answer(self, revision: int) -> None:
        now_ms = self.clock.now_ms()
        without_feed = self._has_lost_feeds() and not self.feeds.watching
        self.store_answered_ms = now_ms
        self._backoff_ms = BACKOFF_RANGE_MS[0]
        if without_feed:
            self.feeds.take_over()
        if self._outage_started_ms is not None:
            self._note_outage_end()
            self._change_relisting(self._relisting.begin, revision, now_ms)

    def _note_feed_return(self) -> None:
        """Record that the store answers a node that this one follows."""
        self._turn.reset()
        self._backoff_ms = BACKOFF_RANGE_MS[0]
        if self._outage_started_ms is not None:
            self._note_outage_end()

    def _note_outage_end(self) -> None:
        """Record that the store is back."""
        log(STORE_REGAINED, away_ms=self.clock.now_ms() - self._outage_started_ms)
        self._outage_started_ms = None
        if self.feeds is not None:
            self.feeds.reports_outage = False

    def _has_lost_feeds(self) -> bool:
        """Return whether the nodes that this one follows tell nothing recent of the store."""
        return self.feeds is not None and self.feeds.is_lost()

    def describe_store_return(self) -> StoreReturn:
        """Return the last return of the store for messages to other nodes."""
        return self._relisting.describe(self.clock.now_ms())

    def note_store_return(self, store_return: StoreReturn) -> None:
        """Take over the relisting period of a node that noticed the return of the store."""
        self._change_relisting(self._relisting.merge, store_return, self.clock.now_ms())

    def _change_relisting(self, change: Callable[..., None], *arguments: Any) -> None:
        """Change the relisting period, and keep the entries that stay until its end."""
        known_end_ms = self._relisting.end_ms
        change(*arguments)
        self.directory.postpone_removals(known_end_ms, self._relisting.end_ms)

    def _apply_snapshot(self, read: StoreRead, source: str) -> None:
        """Replace the known documents by a complete read."""
        if self.revision and era_of(read.revision) > era_of(self.revision):
            self._note_restore(read.revision, source)
        # Entries that came and went since the last known revision do not show in the read.
        self._removals_known_from = max(self._removals_known_from, read.revision)
        ended = self.evacuations.apply_complete_read(read.documents, read.revision, source)
        for document in ended:
            self._history.record_removal(document, read.revision, lapsed=False)
        documents_by_key = {document.key: document for document in read.documents}
        for key in [key for key in self.documents if key not in documents_by_key]:
            # The plan is never removed; a copy of the store may be older than the first one.
            is_upstream = self.reader.kind(key) is DocumentKind.UPSTREAM
            if is_upstream and self.documents[key].revision <= read.revision:
                self._remove_document(key, read.revision, source)
        # A peer may have told of them while the read was under way.
        removed_since = {document.key for document in self._history.removed_after(read.revision)}
        for document in read.documents:
            if document.key not in removed_since:
                self._apply_document(document, source)
        self.revision = max(self.revision, read.revision)
        self._on_update()

    def _note_restore(self, revision: int, source: str) -> None:
        """Record that the store came back from an older copy.

        Upstreams that were listed after the copy was made are missing until they write again.
        """
        log(
            STORE_RESTORED,
            known=format_revision(self.revision),
            revision=format_revision(revision),
            source=source,
        )
        self._change_relisting(self._relisting.begin, revision, self.clock.now_ms())

    def _apply_changes(self, read: StoreRead, source: str) -> None:
        # A peer may have told of some of them, and of what came after, while a watch was under way.
        known_revision = self.revision
        for document in read.documents:
            if document.revision <= known_revision:
                continue
            if document.data is None:
                self._remove_document(document.key, document.revision, source)
            else:
                self._apply_document(document, source)
        self.revision = max(self.revision, read.revision)
        self._on_update()

    def changed_after(self, revision: int) -> list[Document] | None:
        """Return the documents that changed after a revision, including removals.

        Args:
            revision: The revision; 0 if nothing is known, so that no removal matters.

        Returns:
            The documents, or None if removals after the revision may be unknown.
        """
        if 0 < revision < self._removals_known_from:
            return None
        changed = [document for document in self.documents.values() if document.revision > revision]
        return changed + self._history.removed_after(revision)

    def on_changes(self, link: PeerLink, message: DocumentChanges) -> None:
        """Apply changes forwarded by a watcher, or request all documents if some are missing."""
        if message.base > self.revision and self.feeds is not None:
            self.feeds.request_documents(link)
        elif message.revision > self.revision:
            if not self.revision:
                self._removals_known_from = message.revision
                self.evacuations.note_first_documents(message.revision)
            self.note_store_return(message.store_return)
            documents = tuple(
                Document(change.key, change.data, change.revision) for change in message.changes
            )
            self._apply_changes(StoreRead(documents, message.revision), "a feed")

    def _on_update(self) -> None:
        """Forward changes to followers and set `ready` once plan and upstreams are known."""
        if self.feeds is not None:
            self.feeds.send_changes()
        if self.plan is not None and self.directory.entries:
            self.ready.set()

    def _remove_document(self, key: str, revision: int, source: str) -> None:
        kind = self.reader.kind(key)
        now_ms = self.clock.now_ms()
        kept_until_ms = now_ms
        if kind is DocumentKind.UPSTREAM:
            kept_until_ms = self._relisting.kept_until_ms(revision, now_ms)
        lapsed = kept_until_ms > now_ms
        document = self.documents.pop(key, None)
        if document is not None:
            self._history.record_removal(document, revision, lapsed=lapsed)
        if kind is DocumentKind.UPSTREAM:
            self._upstreams.remove(key, kept_until_ms, lapsed=lapsed)
        elif kind is DocumentKind.EVACUATION:
            self.evacuations.remove(key, revision, source)

    def _apply_document(self, document: Document, source: str) -> None:
        kind = self.reader.kind(document.key)
        if kind is DocumentKind.OTHER:
            return
        try:
            if kind is DocumentKind.PLAN:
                self._apply_plan(document, source)
            elif kind is DocumentKind.EVACUATION:
                if self.evacuations.apply(document, source):
                    self._history.record_use(document.key)
            else:
                self._upstreams.apply(document)
        except DocumentError as error:
            self.metrics.count("store.documents_refused")
            revision = format_revision(document.revision)
            log(DOCUMENT_REFUSED, key=document.key, revision=revision, problem=str(error))

    def _apply_plan(self, document: Document, source: str) -> None:
        """Put a plan in force, unless it is older than the present one.

        Versions order the plans also where the store was restored from an older copy. A document
        that is malformed or older is not kept, so that it is never passed to another node.

        Raises:
            DocumentError: The document is malformed; the present plan stays in force.
        """
        known = self.documents.get(document.key)
        if known is not None and known.data == document.data:
            return
        plan = self.reader.plan(document.data)
        if self.plan is not None and plan.version <= self.plan.version:
            return
        self.documents[document.key] = document
        self.plan = plan
        self.on_plan()
        log(PLAN_IN_FORCE, version=plan.version, source=source)
        log_plan_problems(document.key, plan)

    # Messages from peers.

    def note_peer_revision(self, link: PeerLink, revision: int) -> None:
        """Record a peer that knows a newer revision."""
        if revision <= self.revision:
            return
        if self._newer_peer is None or self._newer_peer[1] <= self.revision:
            self._newer_peer = (link, revision, self.clock.now_ms())
        elif self._newer_peer[0].closed:
            self._newer_peer = (link, revision, self._newer_peer[2])

    def _fetch_from_peer(self) -> None:
        """Request newer documents from a peer if the watch or feed has not delivered them."""
        if self._newer_peer is None:
            return
        link, revision, since_ms = self._newer_peer
        if revision <= self.revision or link.closed:
            self._newer_peer = None
        elif not self.revision or self.clock.now_ms() - since_ms >= PEER_FETCH_DELAY_MS:
            self._newer_peer = None
            link.post(DocumentsWanted(self.revision, 0 if self.plan is None else self.plan.version))

    def on_documents_wanted(self, link: PeerLink, request: DocumentsWanted) -> None:
        """Send all documents to a peer with an older revision or an older plan."""
        has_newer_plan = self.plan is not None and self.plan.version > request.plan_version
        if self.revision > request.revision or has_newer_plan:
            self.send_documents(link)

    def send_documents(self, link: PeerLink) -> None:
        """Send all documents to a peer."""
        copies = tuple(
            DocumentCopy(document.key, document.data, document.revision)
            for document in self.documents.values()
        )
        link.post(Documents(self.revision, copies, self.describe_store_return()))

    def on_documents(self, link: PeerLink, message: Documents) -> None:
        """Apply the documents of a peer with a newer revision, or else only a newer plan."""
        documents = tuple(
            Document(copy.key, copy.data, copy.revision) for copy in message.documents
        )
        source = f"peer {link.host}"
        if message.revision <= self.revision:
            for document in documents:
                if self.reader.kind(document.key) is DocumentKind.PLAN:
                    self._apply_document(document, source)
            return
        log(DOCUMENTS_FROM_PEER, revision=format_revision(message.revision), peer=link.host)
        self.note_store_return(message.store_return)
        self._apply_snapshot(StoreRead(documents, message.revision), source)
        if self._watch is not None:
            # The watch should have delivered these documents before; replace it.
            self._watch.cancel()
