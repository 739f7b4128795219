"""Distribute document changes from the few nodes that watch the store to all others.

`state.feed_plan` chooses the watchers and whom each node follows. Every node knows how long ago the
store last answered one of the nodes that its changes come through. A node for which this was too
long ago calls the store itself, and tells its sources about the answers. A source that sends
nothing is passed over, and `feed_search` finds nodes that know more until another one is chosen.
"""

import asyncio
from collections.abc import Callable
from random import Random

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
from ...state.source_silence import SILENT_AFTER_MS, STATE_INTERVAL_MS, SourceSilence
from ...transport.metadata_store import Document
from .entry_sample import HostsByZone
from .feed_search import FeedSearch
from .peer_link import PeerLink
from .peers import PeerLinks

# Interval at which nodes send their state and choose whom they follow.
FEED_INTERVAL_MS = STATE_INTERVAL_MS

# A node that has sent a state more recently need not send one at the end of an interval. States
# that it forwards come once in each interval, too.
RECENT_STATE_MS = 0.75 * FEED_INTERVAL_MS

# Smallest progress of the store's last answer that a node forwards which others follow for a while.
MIN_PROGRESS_MS = 200.0

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
        search: Asks other nodes while the feeds are lost.
        reports_outage: Whether this node knows that the store does not answer; the follower sets
            it.
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
        random: Random,
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
            random: Source of the nodes that are asked while the feeds are lost.
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
        # Nodes of outdated pages of entries, used until the directory has entries.
        self._startup_hosts: HostsByZone = {}
        # Nodes for which the plan was made.
        self._planned_hosts: HostsByZone = {}
        # The last revision sent to each follower; None for followers that receive only the state.
        self._followers: dict[PeerLink, int | None] = {}
        # When those followers are forgotten that follow this node for a while.
        self._lease_ends_ms: dict[PeerLink, float] = {}
        self.reports_outage = False
        # Since when this node is one of those that watch the store for all.
        self._watcher_since_ms = float("-inf")
        self._silence = SourceSilence()
        self.search = FeedSearch(self, clock, random)
        self._source_links: dict[str, PeerLink] = {}
        # Links to former sources that still take this node for a follower.
        self._left_links: dict[str, PeerLink] = {}
        self._contacts: dict[PeerLink, _Contact] = {}
        self._next_state_ms = float("-inf")
        self._state_sent_ms = float("-inf")
        # When followers with a lease got the last state, and which answer of the store it told of.
        self._lease_state_ms = self._lease_answer_ms = float("-inf")
        self._delayed_state: asyncio.TimerHandle | None = None

    @property
    def watching(self) -> bool:
        """Return whether this node watches the store for others."""
        return self.plan.watching or self.clock.now_ms() < self._deputy_until_ms

    @property
    def has_contact(self) -> bool:
        """Return whether a node sends its state to this one, also if it tells of an outage."""
        self._contact_ms()
        return bool(self._contacts)

    async def run(self) -> None:
        """Choose and follow sources, and send the state to followers, until cancelled."""
        while True:
            await self.clock.sleep_ms(FEED_INTERVAL_MS)
            # A node that is followed and sends nothing would be taken for lost.
            if self.watching or self.clock.now_ms() - self._state_sent_ms > RECENT_STATE_MS:
                self.send_state()
            await self.refresh()

    async def refresh(self) -> None:
        """Choose the sources by the nodes that are known now, and follow them."""
        self.choose_sources()
        await self._follow_sources()
        self._end_following()

    async def start_with(self, hosts_by_zone: HostsByZone) -> None:
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
            if link.closed or now_ms - contact.received_ms > SILENT_AFTER_MS:
                del self._contacts[link]
            else:
                newest_ms = max(newest_ms, contact.store_answered_ms)
        return newest_ms

    def choose_sources(self) -> None:
        """Choose whom this node follows, by the nodes that can be reached and are not silent."""
        hosts_by_zone = self._reachable_hosts()
        if hosts_by_zone == self._planned_hosts:
            return
        self._planned_hosts = hosts_by_zone
        plan = plan_feeds(self.host, self.availability_zone, hosts_by_zone)
        if (plan.sources, plan.watching) != (self.plan.sources, self.plan.watching):
            log(FEED_CHANGED, sources=", ".join(plan.sources) or "none", watching=plan.watching)
        if plan.sources != self.plan.sources:
            self._leave_sources(plan.sources)
        if plan.watching and not self.plan.watching:
            self._watcher_since_ms = self.clock.now_ms()
        self.plan = plan

    def _leave_sources(self, kept: tuple[str, ...]) -> None:
        """Stop to follow the present sources, except some.

        A silent source is told only once it sends a state again, which shows that it is back.
        """
        self._left_links |= self._source_links
        self._source_links.clear()
        self._silence.keep(kept, self.clock.now_ms())

    def _end_following(self) -> None:
        """Tell the nodes that were sources that this one no longer follows them."""
        now_ms = self.clock.now_ms()
        for host, link in list(self._left_links.items()):
            if link.closed or host in self.plan.sources:
                del self._left_links[host]
            elif not self._silence.is_silent(host, now_ms):
                del self._left_links[host]
                link.post(FollowFeed(self.revision(), False, self.plan_version(), 0.0))

    def _reachable_hosts(self) -> HostsByZone:
        hosts_by_zone: HostsByZone = {}
        for entry in self.directory.entries.values():
            hosts_by_zone.setdefault(entry.availability_zone, set()).add(entry.host)
        if not hosts_by_zone:
            hosts_by_zone = self._startup_hosts
        silent = self._silence.silent(self.clock.now_ms())
        return {
            zone: {
                host
                for host in hosts
                if host == self.host or (host not in silent and self.peers.reachable(host))
            }
            for zone, hosts in hosts_by_zone.items()
        }

    def is_known(self, host: str) -> bool:
        """Return whether a node may be there, by the documents or, before them, by the pages."""
        if self.directory.entries:
            return host in self.directory.hosts()
        return any(host in hosts for hosts in self._startup_hosts.values())

    def followable(self) -> tuple[list[str], list[str]]:
        """Return the nodes that can be asked, of the own zone and of all others."""
        own_zone: list[str] = []
        elsewhere: list[str] = []
        for zone, hosts in self._reachable_hosts().items():
            others = sorted(hosts - {self.host})
            (own_zone if zone == self.availability_zone else elsewhere).extend(others)
        return own_zone, elsewhere

    async def _follow_sources(self) -> None:
        for index, host in enumerate(self.plan.sources):
            try:
                link = await self.peers.link_to(host)
            except PeerUnreachable:
                # `is_lost` reports it to the follower; the next interval chooses again.
                continue
            if host not in self.plan.sources:
                # Others were chosen in the meantime.
                return
            self._silence.expect(host, self.clock.now_ms())
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
        self._state_sent_ms = now_ms
        self._forget_followers(now_ms)
        informs_leases = self._informs_leases(state, now_ms)
        for link in self._followers:
            if informs_leases or link not in self._lease_ends_ms:
                link.post(state)

    def _informs_leases(self, state: FeedState, now_ms: float) -> bool:
        """Return whether followers with a lease get a state, and record that they do.

        They have leases on each other, and would pass every state on in circles. They need those
        that tell of a recent answer of the store, with each new one and at the usual interval.
        """
        if state.store_age_ms is None or state.store_age_ms > CONTACT_MAX_AGE_MS:
            return False
        answered_ms = now_ms - state.store_age_ms
        is_due = now_ms - self._lease_state_ms > RECENT_STATE_MS
        if not is_due and not self._is_news(answered_ms):
            return False
        self._lease_state_ms, self._lease_answer_ms = now_ms, answered_ms
        return True

    def _is_news(self, answered_ms: float) -> bool:
        """Return whether an answer of the store is newer than what followers with a lease know."""
        return answered_ms > self._lease_answer_ms + MIN_PROGRESS_MS

    def _forget_followers(self, now_ms: float) -> None:
        """Forget the followers whose links have closed, or whose lease has ended."""
        for link in list(self._followers):
            if link.closed or self._lease_ends_ms.get(link, now_ms) < now_ms:
                del self._followers[link]
                self._lease_ends_ms.pop(link, None)

    def _state(self) -> FeedState:
        age_ms: float | None = None
        contact_ms = self._contact_ms()
        if self._knows_of_store(contact_ms):
            age_ms = self.clock.now_ms() - max(self.store_answered_ms(), contact_ms)
            age_ms = min(age_ms, NO_CONTACT_AGE_MS)
        return FeedState(self.revision(), age_ms, self.plan_version(), self.store_return())

    def _knows_of_store(self, contact_ms: float) -> bool:
        """Return whether this node can tell how long the store has not answered.

        A node without sources knows only that these are lost. One that has just begun to watch
        the store does not know yet whether it answers.

        Args:
            contact_ms: When the store last answered a node that sends its state to this one.
        """
        answered_ms = self.store_answered_ms()
        return (
            contact_ms > float("-inf")
            or self.reports_outage
            or (self.plan.watching and answered_ms >= self._watcher_since_ms)
            or self.clock.now_ms() - answered_ms <= CONTACT_MAX_AGE_MS
        )

    def take_over(self) -> None:
        """Watch the store for the sources after it answered this node while they had no contact."""
        self._deputy_until_ms = self.clock.now_ms() + DEPUTY_MS
        for link in self._source_links.values():
            if link.closed:
                continue
            if link not in self._followers or link in self._lease_ends_ms:
                self._lease_ends_ms[link] = self._deputy_until_ms
            if self._followers.get(link) is None:
                self._followers[link] = self.revision()
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
        now_ms = self.clock.now_ms()
        self._forget_followers(now_ms)
        if request.lease_ms == 0:
            self._followers.pop(link, None)
            self._lease_ends_ms.pop(link, None)
            return
        if request.lease_ms is None:
            self._lease_ends_ms.pop(link, None)
        elif link not in self._followers or link in self._lease_ends_ms:
            self._lease_ends_ms[link] = now_ms + request.lease_ms
        self._followers[link] = request.revision if request.takes_changes else None
        if request.takes_changes and request.revision < self.revision():
            self._send_changes_to(link, request.revision)
        elif 0 < request.plan_version < self.plan_version():
            # The store came back from a copy with an older plan, and the follower read that one.
            self.send_documents(link)
        elif 0 < self.plan_version() < request.plan_version:
            self.request_documents(link)
        link.post(self._state())
        if request.lease_ms is None:
            self.on_neighbour(link)

    def neighbours(self) -> list[PeerLink]:
        """Return a link to each node that this one follows or that follows it."""
        links = [*self._followers, *self._source_links.values()]
        return list({link.host: link for link in links if not link.closed}.values())

    def on_state(self, link: PeerLink, state: FeedState) -> None:
        """Record the state of a source or of a node that took over, and forward the news."""
        self._silence.record_state(link.host, self.clock.now_ms())
        if state.store_age_ms is not None:
            self._record_contact(link, state.store_age_ms)
        if state.revision <= self.revision() and 0 < self.plan_version() < state.plan_version:
            # The store came back from a copy with an older plan, and this node read that one.
            self.request_documents(link)
        elif state.revision >= self.revision() and 0 < state.plan_version < self.plan_version():
            self.send_documents(link)
        if state.revision < self.revision():
            # A node that the store refuses learns of newer documents from its followers.
            link.post(self.peers.make_probe())

    def _record_contact(self, link: PeerLink, store_age_ms: float) -> None:
        """Record when the store answered another node, and forward the news."""
        now_ms = self.clock.now_ms()
        was_lost = self.is_lost()
        answered_ms = now_ms - store_age_ms
        self._contacts[link] = _Contact(answered_ms, now_ms)
        # Watchers that follow each other must not answer every state with one of their own.
        from_source = link.host == next(iter(self.plan.sources), None)
        is_news = bool(self._lease_ends_ms) and self._is_news(answered_ms)
        if was_lost != self.is_lost() or ((from_source or is_news) and not self.watching):
            self.send_state()

    def request_documents(self, link: PeerLink) -> None:
        """Request all documents from a node whose changes start after the known revision."""
        link.post(DocumentsWanted(self.revision(), self.plan_version()))
