"""Distribute document changes from the few nodes that watch the store to all others.

`state.feed_plan` chooses the watchers and whom each node follows. Every node knows how long ago the
store last answered one of the nodes that its changes come through. A node for which this was too
long ago calls the store itself, and tells its sources about the answers.
"""

import asyncio
from collections.abc import Callable

import attrs

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
from ...state.feed_plan import FeedPlan, plan_feeds
from ...state.relisting import StoreReturn
from ...transport.metadata_store import Document
from .peer_link import PeerLink
from .peers import PeerLinks

# Interval at which watchers send their state and nodes choose whom they follow.
FEED_INTERVAL_MS = 400.0

# Mean interval between the states that a node sends at most, and states that it may send at once.
# Nodes answer states with their own while they disagree about the sources, or while they lose their
# feeds. Without a limit, nodes that send each other states multiply them until the messages take
# all their processor time and memory. The first states of an outage are not held up: each delay
# adds to the time after which a new configuration is known.
MEAN_STATE_INTERVAL_MS = 50.0
STATE_BURST = 4

# Maximum duration of one watch by a watcher, so that it soon detects an unresponsive store.
WATCHER_MAX_WAIT_MS = 700.0

# A feed is lost if the store's last known answer is older. While all is well it is at most as old
# as a watch and an interval between states take together; the allowed delay of a change is 2 s.
CONTACT_MAX_AGE_MS = 1_400.0

# Time after startup during which a node waits for its feed instead of calling the store.
STARTUP_WAIT_MS = 1_200.0

# Time for which a node that took over goes on watching after its last loss of the feeds.
DEPUTY_MS = 3_000.0

# Largest error of the time of an answer that another node reports.
ANSWER_TIME_ERROR_MS = 100.0

# Age that is reported while no answer of the store is known.
NO_CONTACT_AGE_MS = 3_600_000.0


@attrs.define
class _Contact:
    """Store the last state of a node that is followed or that took over.

    Attributes:
        store_answered_ms: When the store answered, as far as that node knows.
        received_ms: When the state arrived.
    """

    store_answered_ms: float
    received_ms: float


class DocumentFeeds:
    """Receive changes from other nodes, forward them, and decide whether to call the store.

    Attributes:
        plan: This node's part; see `state.feed_plan`.
    """

    def __init__(
        self,
        host: str,
        availability_zone: AvailabilityZoneId,
        directory: Directory,
        peers: PeerLinks,
        revision: Callable[[], int],
        store_answered_ms: Callable[[], float],
        changed_after: Callable[[int], list[Document] | None],
        store_return: Callable[[], StoreReturn],
        plan_version: Callable[[], int],
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
            changed_after: Returns the documents changed after a revision, including removals, or
                None if not all removals since then are known.
            store_return: Returns the last return of the store after an outage.
            plan_version: Returns the version of the plan in force, or 0.
            clock: Clock for intervals and timeouts.
        """
        self.host = host
        self.availability_zone = availability_zone
        self.directory = directory
        self.peers = peers
        self.revision = revision
        self.store_answered_ms = store_answered_ms
        self.changed_after = changed_after
        self.store_return = store_return
        self.plan_version = plan_version
        self.clock = clock
        self.plan = FeedPlan()
        # Answers followers that lack more than the known changes; the follower sets it.
        self.send_documents: Callable[[PeerLink], None] = lambda link: None
        # Called with each link over which this node and another one begin to follow each other.
        self.on_neighbour: Callable[[PeerLink], None] = lambda link: None
        self._started_ms = clock.now_ms()
        self._deputy_until_ms = float("-inf")
        # Nodes of an outdated page of entries, used until the directory has entries.
        self._startup_hosts: dict[AvailabilityZoneId, list[str]] = {}
        # Nodes for which the plan was made.
        self._planned_hosts: dict[AvailabilityZoneId, set[str]] = {}
        # The last revision sent to each follower; None for followers that receive only the state.
        self._followers: dict[PeerLink, int | None] = {}
        self._source_links: dict[str, PeerLink] = {}
        self._contacts: dict[PeerLink, _Contact] = {}
        self._next_state_ms = float("-inf")
        self._delayed_state: asyncio.TimerHandle | None = None

    @property
    def watching(self) -> bool:
        """Return whether this node watches the store for others."""
        return self.plan.watching or self.clock.now_ms() < self._deputy_until_ms

    async def run(self) -> None:
        """Choose and follow sources, and send the state to followers, until cancelled."""
        while True:
            await self.clock.sleep_ms(FEED_INTERVAL_MS)
            await self.refresh()
            if self.watching or self.store_answered_ms() >= self._contact_ms():
                self.send_state()

    async def refresh(self) -> None:
        """Choose the sources by the nodes that are known now, and follow them."""
        self._choose_sources()
        await self._follow_sources()

    async def start_with(self, hosts_by_zone: dict[AvailabilityZoneId, list[str]]) -> None:
        """Follow nodes of a possibly outdated list until the directory has entries.

        Args:
            hosts_by_zone: Addresses of nodes by availability zone.
        """
        self._startup_hosts = hosts_by_zone
        await self.refresh()

    def is_lost(self) -> bool:
        """Return whether no node that this one follows was recently answered by the store."""
        now_ms = self.clock.now_ms()
        if now_ms - self._started_ms < STARTUP_WAIT_MS:
            return False
        return now_ms - max(self.store_answered_ms(), self._contact_ms()) > CONTACT_MAX_AGE_MS

    def is_outage_reported(self) -> bool:
        """Return whether a node that sends its state reports that the store does not answer."""
        self._contact_ms()
        oldest_ms = self.clock.now_ms() - CONTACT_MAX_AGE_MS
        return any(contact.store_answered_ms < oldest_ms for contact in self._contacts.values())

    def is_answered_after(self, time_ms: float) -> bool:
        """Return whether the store has answered a node that sends its state after a time."""
        return self._contact_ms() > time_ms + ANSWER_TIME_ERROR_MS

    def _contact_ms(self) -> float:
        """Return when the store last answered a node that sends its state to this one."""
        now_ms = self.clock.now_ms()
        newest_ms = float("-inf")
        for link, contact in list(self._contacts.items()):
            if link.closed or now_ms - contact.received_ms > CONTACT_MAX_AGE_MS:
                del self._contacts[link]
            else:
                newest_ms = max(newest_ms, contact.store_answered_ms)
        return newest_ms

    def _choose_sources(self) -> None:
        hosts_by_zone = self._reachable_hosts()
        if hosts_by_zone == self._planned_hosts:
            return
        self._planned_hosts = hosts_by_zone
        plan = plan_feeds(self.host, self.availability_zone, hosts_by_zone)
        if (plan.sources, plan.watching) != (self.plan.sources, self.plan.watching):
            log(FEED_CHANGED, sources=", ".join(plan.sources) or "none", watching=plan.watching)
        if plan.sources != self.plan.sources:
            self._source_links.clear()
        self.plan = plan

    def _reachable_hosts(self) -> dict[AvailabilityZoneId, set[str]]:
        hosts_by_zone: dict[AvailabilityZoneId, set[str]] = {}
        for entry in self.directory.entries.values():
            hosts_by_zone.setdefault(entry.availability_zone, set()).add(entry.host)
        if not hosts_by_zone:
            hosts_by_zone = {zone: set(hosts) for zone, hosts in self._startup_hosts.items()}
        return {
            zone: {host for host in hosts if host == self.host or self.peers.reachable(host)}
            for zone, hosts in hosts_by_zone.items()
        }

    async def _follow_sources(self) -> None:
        for index, host in enumerate(self.plan.sources):
            try:
                link = await self.peers.link_to(host)
            except PeerUnreachable:
                # `is_lost` reports it to the follower; the next interval chooses again.
                continue
            if self._source_links.get(host) is not link:
                self._source_links[host] = link
                takes_changes = index == 0 and not self.plan.watching
                link.post(FollowFeed(self.revision(), takes_changes, self.plan_version()))
                self.on_neighbour(link)

    def send_state(self) -> None:
        """Send the known revision and the age of the store's last answer to all followers.

        If it has sent too many, one is sent as soon as the limit allows it.
        """
        if self._delayed_state is not None:
            return
        wait_ms = self._next_state_ms - self.clock.now_ms()
        if wait_ms > 0:
            loop = asyncio.get_running_loop()
            self._delayed_state = loop.call_later(wait_ms / 1000, self._send_state_now)
        else:
            self._send_state_now()

    def _send_state_now(self) -> None:
        self._delayed_state = None
        # Each state defers the next one; a quiet node regains up to a burst.
        now_ms = self.clock.now_ms()
        earliest_ms = now_ms - (STATE_BURST - 1) * MEAN_STATE_INTERVAL_MS
        self._next_state_ms = max(self._next_state_ms, earliest_ms) + MEAN_STATE_INTERVAL_MS
        state = self._state()
        for link in list(self._followers):
            if link.closed:
                del self._followers[link]
            else:
                link.post(state)

    def _state(self) -> FeedState:
        age_ms = self.clock.now_ms() - max(self.store_answered_ms(), self._contact_ms())
        age_ms = min(age_ms, NO_CONTACT_AGE_MS)
        return FeedState(self.revision(), age_ms, self.plan_version(), self.store_return())

    def take_over(self) -> None:
        """Watch the store for the sources after it answered this node while they had no contact."""
        self._deputy_until_ms = self.clock.now_ms() + DEPUTY_MS
        for link in self._source_links.values():
            if not link.closed:
                self._followers.setdefault(link, None)
        self.send_state()

    def send_changes(self) -> None:
        """Send new changes to the followers that receive them; called after each change."""
        revision = self.revision()
        for link, sent_revision in list(self._followers.items()):
            if sent_revision is not None and sent_revision < revision and not link.closed:
                self._send_changes_to(link, sent_revision)

    def _send_changes_to(self, link: PeerLink, base: int) -> None:
        self._followers[link] = self.revision()
        changed = self.changed_after(base)
        if changed is None:
            self.send_documents(link)
            return
        changes = tuple(
            DocumentChange(document.key, document.data, document.revision) for document in changed
        )
        link.post(DocumentChanges(base, self.revision(), changes, self.store_return()))

    def on_follow(self, link: PeerLink, request: FollowFeed) -> None:
        """Register a follower and send it the changes it lacks, and the state."""
        self._followers[link] = request.revision if request.takes_changes else None
        if request.takes_changes and request.revision < self.revision():
            self._send_changes_to(link, request.revision)
        elif 0 < request.plan_version < self.plan_version():
            # The store came back from a copy with an older plan, and the follower read that one.
            self.send_documents(link)
        elif 0 < self.plan_version() < request.plan_version:
            self.request_documents(link)
        link.post(self._state())
        self.on_neighbour(link)

    def neighbours(self) -> list[PeerLink]:
        """Return a link to each node that this one follows or that follows it."""
        links = [*self._followers, *self._source_links.values()]
        return list({link.host: link for link in links if not link.closed}.values())

    def on_state(self, link: PeerLink, state: FeedState) -> None:
        """Record the state of a source or of a node that took over, and forward the news."""
        now_ms = self.clock.now_ms()
        was_lost = self.is_lost()
        self._contacts[link] = _Contact(now_ms - state.store_age_ms, now_ms)
        # Watchers that follow each other must not answer every state with one of their own.
        from_source = link.host == next(iter(self.plan.sources), None)
        if was_lost != self.is_lost() or (from_source and not self.watching):
            self.send_state()
        if state.revision <= self.revision() and 0 < self.plan_version() < state.plan_version:
            # The store came back from a copy with an older plan, and this node read that one.
            self.request_documents(link)
        elif state.revision >= self.revision() and 0 < state.plan_version < self.plan_version():
            self.send_documents(link)
        if state.revision < self.revision():
            # A node that the store refuses learns of newer documents from its followers.
            link.post(self.peers.make_probe())

    def request_documents(self, link: PeerLink) -> None:
        """Request all documents from a node whose changes start after the known revision."""
        link.post(DocumentsWanted(self.revision(), self.plan_version()))
