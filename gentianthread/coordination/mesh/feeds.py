"""Distribute document changes from one watching node per availability zone to the others.

The store charges for every call, and a change ends the watches of all waiting nodes. Therefore one
node of each zone, chosen by rendezvous hashing, watches the store and forwards changes to the zone,
where traffic is free. Each node also receives the known revision from the watcher of another zone.
A node that receives neither feed watches the store itself.
"""

from collections.abc import Callable

from ...clock import Clock
from ...errors import PeerUnreachable
from ...events import FEED_CHANGED
from ...ids import AvailabilityZoneId
from ...logs import log
from ...protocol.messages_mesh import (
    DocumentChange,
    DocumentChanges,
    DocumentsWanted,
    FeedState,
    FollowFeed,
)
from ...state.directory import Directory
from ...state.rendezvous import choose
from ...transport.metadata_store import Document
from .peer_link import PeerLink
from .peers import PeerLinks

# Interval at which watchers send their state and followers choose their watchers.
FEED_INTERVAL_MS = 400.0

# A feed is lost after this time without a state message. A watcher cut off from the store reports
# it within 1.4 s and an unreachable watcher is noticed after 0.8 s; the allowed delay is 2 s.
FEED_TIMEOUT_MS = 700.0

# Maximum duration of one watch by a watcher, so that it soon detects an unresponsive store.
WATCHER_MAX_WAIT_MS = 700.0

# A watcher reports that it is out of touch when the store's last answer is older than this.
STORE_CONTACT_MS = 1_000.0

# Time after startup during which a node waits for its feed instead of watching the store.
STARTUP_WAIT_MS = 1_200.0


class DocumentFeeds:
    """Follow the watcher of the local zone, or act as that watcher.

    Attributes:
        watching: Whether this node watches the store for its zone.
    """

    def __init__(
        self,
        host: str,
        availability_zone: AvailabilityZoneId,
        directory: Directory,
        peers: PeerLinks,
        revision: Callable[[], int],
        store_answered_ms: Callable[[], float],
        changed_after: Callable[[int], list[Document]],
        lapsing: Callable[[], bool],
        clock: Clock,
    ):
        """Create the feeds without starting them; see `run`.

        Args:
            host: Address of this instance.
            availability_zone: Availability zone of this instance.
            directory: Upstreams listed by the platform.
            peers: Links to the other nodes.
            revision: Returns the revision of the known documents.
            store_answered_ms: Returns when the store last answered this node.
            changed_after: Returns the documents changed after a revision, including removals.
            lapsing: Returns whether missing entries may soon be listed again after an outage.
            clock: Clock for intervals and timeouts.
        """
        self.host = host
        self.availability_zone = availability_zone
        self.directory = directory
        self.peers = peers
        self.revision = revision
        self.store_answered_ms = store_answered_ms
        self.changed_after = changed_after
        self.lapsing = lapsing
        self.clock = clock
        self.watching = True
        self.started_ms = clock.now_ms()
        # The last revision sent to each follower; None for followers that receive only the state.
        self._followers: dict[PeerLink, int | None] = {}
        self._sources: tuple[str, ...] = ()
        self._source_links: dict[str, PeerLink] = {}
        self._last_state_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Choose and follow watchers, and send the state to followers, until cancelled."""
        while True:
            await self.clock.sleep_ms(FEED_INTERVAL_MS)
            if self.revision():
                self._choose_sources()
                await self._follow_sources()
                self.send_state()

    def is_lost(self) -> bool:
        """Return whether this node must watch the store because it receives no feed."""
        now_ms = self.clock.now_ms()
        if now_ms - self.started_ms < STARTUP_WAIT_MS:
            return False
        return not any(self._is_live(host, now_ms) for host in self._sources)

    def _is_live(self, host: str, now_ms: float) -> bool:
        link = self._source_links.get(host)
        if link is None or link.closed:
            return False
        return now_ms - self._last_state_ms.get(host, float("-inf")) <= FEED_TIMEOUT_MS

    def _choose_sources(self) -> None:
        """Choose the watcher of the local zone and that of one other zone."""
        hosts_by_zone: dict[AvailabilityZoneId, list[str]] = {}
        for entry in self.directory.entries.values():
            if entry.host == self.host or self.peers.reachable(entry.host):
                hosts_by_zone.setdefault(entry.availability_zone, []).append(entry.host)
        watchers = {zone: choose("watch", hosts) for zone, hosts in hosts_by_zone.items()}
        local = watchers.pop(self.availability_zone, self.host)
        remote = choose(self.host, watchers.values())
        self.watching = local == self.host
        sources = tuple(host for host in (local, remote) if host not in (None, self.host))
        if sources != self._sources:
            log(FEED_CHANGED, sources=", ".join(sources) or "none", watching=self.watching)
            self._sources = sources
            self._last_state_ms = {
                host: at for host, at in self._last_state_ms.items() if host in sources
            }
            self._source_links.clear()

    async def _follow_sources(self) -> None:
        for index, host in enumerate(self._sources):
            try:
                link = await self.peers.link_to(host)
            except PeerUnreachable:
                # `is_lost` reports it to the follower; the next interval chooses again.
                continue
            if self._source_links.get(host) is not link:
                self._source_links[host] = link
                takes_changes = index == 0 and not self.watching
                link.post(FollowFeed(self.revision(), takes_changes))

    def send_state(self) -> None:
        """Send the known revision to all followers, and whether the store answers this node."""
        in_touch = self.clock.now_ms() - self.store_answered_ms() < STORE_CONTACT_MS
        for link in list(self._followers):
            if link.closed:
                del self._followers[link]
            else:
                link.post(FeedState(self.revision(), in_touch))

    def send_changes(self) -> None:
        """Send new changes to the followers that receive them; called after each change."""
        revision = self.revision()
        for link, sent_revision in list(self._followers.items()):
            if sent_revision is not None and sent_revision < revision and not link.closed:
                self._send_changes_to(link, sent_revision)

    def _send_changes_to(self, link: PeerLink, base: int) -> None:
        changes = tuple(
            DocumentChange(document.key, document.data, document.revision)
            for document in self.changed_after(base)
        )
        self._followers[link] = self.revision()
        link.post(DocumentChanges(base, self.revision(), changes, self.lapsing()))

    def on_follow(self, link: PeerLink, request: FollowFeed) -> None:
        """Register a follower and send it the changes it lacks."""
        self._followers[link] = request.revision if request.takes_changes else None
        if request.takes_changes and request.revision < self.revision():
            self._send_changes_to(link, request.revision)

    def on_state(self, link: PeerLink, state: FeedState) -> None:
        """Record the state of a watcher."""
        if state.in_touch and link.host in self._sources:
            self._last_state_ms[link.host] = self.clock.now_ms()
        else:
            self._last_state_ms.pop(link.host, None)
        if state.revision < self.revision():
            # A watcher that the store refuses learns of newer documents from its followers.
            link.post(self.peers.make_probe(reply=True))

    def request_documents(self, link: PeerLink) -> None:
        """Request all documents from a watcher whose changes start after the known revision."""
        link.post(DocumentsWanted(self.revision()))
