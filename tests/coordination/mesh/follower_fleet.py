"""Run document followers over links in memory, on virtual time, beside a store that counts."""

import asyncio
from random import Random

import attrs

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.feeds import DocumentFeeds
from gentianthread.coordination.mesh.follower import DocumentFollower
from gentianthread.errors import DocumentError, PeerUnreachable, PlatformUnavailable
from gentianthread.ids import UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.protocol.messages_mesh import (
    DocumentChanges,
    Documents,
    DocumentsWanted,
    EvacuationRecords,
    FeedState,
    FollowFeed,
    Probe,
)
from gentianthread.state.directory import Directory, UpstreamEntry, UpstreamState
from gentianthread.state.revisions import combine_revision, era_of, number_of
from gentianthread.transport.metadata_store import (
    Document,
    DocumentKind,
    DocumentReader,
    HistoryLost,
    MetadataStore,
    StorePage,
    StoreRead,
)

PLAN_KEY = "plan"
EVACUATION_PREFIX = "evacuate/"
PAGE_ENTRIES = 50
STALE_CALL_PRICE = 0.1

# Content of an entry that names no upstream.
ODD_ENTRY = b"odd"
LINK_DELAY_S = 0.002
DIAL_TIMEOUT_S = 0.35

# Step in which frozen nodes look whether they are awake again.
FREEZE_STEP_S = 0.01


@attrs.frozen
class Version:
    """Stand in for a plan, of which only the version matters here."""

    version: int
    problems: tuple = ()


class Reader(DocumentReader):
    """Decode entries of the form `host zone [state [start [write]]]` and plans of a version."""

    def kind(self, key):
        if key.startswith(EVACUATION_PREFIX):
            return DocumentKind.EVACUATION
        return DocumentKind.PLAN if key == PLAN_KEY else DocumentKind.UPSTREAM

    def evacuated_zone(self, key):
        return key.removeprefix(EVACUATION_PREFIX)

    def evacuation_key(self, zone):
        return EVACUATION_PREFIX + zone

    def upstream_id(self, key):
        return UpstreamId(key)

    def plan(self, data):
        try:
            return Version(int(data))
        except ValueError as error:
            raise DocumentError(PLAN_KEY, "", "a version") from error

    def upstream(self, upstream_id, data):
        fields = data.decode().split()
        if len(fields) < 2:
            raise DocumentError(upstream_id, "", "a host and a zone")
        host, zone, *rest = fields
        state, start, write = (*rest, *("ready", 0, 0)[len(rest) :])
        return UpstreamEntry(
            upstream_id,
            "catalogue",
            host,
            1,
            zone,
            1,
            UpstreamState(state),
            started_at_ms=int(start),
            write_number=int(write),
        )


class CountingStore:
    """Store documents and add up the price of the calls.

    Attributes:
        charged: Calls so far; a read that may be outdated counts as `STALE_CALL_PRICE`.
        down: Whether all calls fail.
        silent_s: If not 0, calls get no answer and fail after this time, also those that began in
            the last moments before the store is back.
        refused: Hosts whose calls fail.
        frozen: Hosts that make no calls and read no answers at present.
        large: Keys of entries that have a page to themselves.
    """

    def __init__(self):
        self.charged = 0.0
        self.down = False
        self.silent_s = 0.0
        self.refused = set()
        self.frozen = set()
        self.large = set()
        self.revision = 1
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    def put(self, key, data):
        self.revision += 1
        if data is None:
            self.items.pop(key)
        else:
            self.items[key] = Document(key, data, self.revision)
        self.events.append(Document(key, data, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def entries(self):
        """Return the entries of upstreams in the order of their keys."""
        other = (PLAN_KEY, EVACUATION_PREFIX)
        return [item for key, item in sorted(self.items.items()) if not key.startswith(other)]

    def page(self, after):
        """Return the page of entries after a key."""
        entries = [item for item in self.entries() if item.key > after]
        fills_page = [item.key in self.large for item in entries]
        size = PAGE_ENTRIES
        if any(fills_page):
            size = min(size, max(1, fills_page.index(True)))
        next_after = entries[size - 1].key if len(entries) > size else None
        return StorePage(tuple(entries[:size]), self.revision, next_after)

    def go_down(self, silent_s=0.0):
        """Fail all calls, also the watches that wait; without an answer if a time is given."""
        self.down, self.silent_s = not silent_s, silent_s
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy of the state, for `restore`."""
        return self.revision, dict(self.items)

    def restore(self, copy):
        """Come back from a copy in the next era, in which revisions are given out again."""
        era = era_of(self.revision) + 1
        self.revision = combine_revision(era, number_of(copy[0]))
        self.items = {
            key: Document(key, item.data, combine_revision(era, number_of(item.revision)))
            for key, item in copy[1].items()
        }
        self.events = []
        self.changed.set()
        self.changed = asyncio.Event()


class Client(MetadataStore):
    """Call a `CountingStore` from one host."""

    def __init__(self, store, host):
        self.store = store
        self.host = host
        # Whether the next watch fails, as the store no longer has the changes.
        self.loses_history = False

    @classmethod
    def connect(cls, host, port, source_address):
        raise NotImplementedError

    async def _wait_while_frozen(self):
        while self.host in self.store.frozen:  # noqa: ASYNC110  # Virtual time.
            await asyncio.sleep(FREEZE_STEP_S)

    async def _charge(self, price=1.0):
        await self._wait_while_frozen()
        self.store.charged += price
        await self._fail_if_silent()
        await asyncio.sleep(0.004)
        if self.store.down or self.host in self.store.refused:
            raise PlatformUnavailable("call", "status 503")

    async def _fail_if_silent(self):
        if self.store.silent_s:
            await asyncio.sleep(self.store.silent_s)
            raise PlatformUnavailable("call", "no answer in time")

    async def read_all(self):
        await self._charge()
        after = ""
        while after is not None:
            await self._charge()
            after = self.store.page(after).next_after
        return StoreRead(tuple(self.store.items.values()), self.store.revision)

    async def sample_entries(self, after=""):
        await self._charge(STALE_CALL_PRICE)
        return self.store.page(after)

    async def watch(self, revision, wait_ms):
        await self._charge()
        end_s = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            await self._fail_if_silent()
            if self.store.down or self.host in self.store.refused:
                raise PlatformUnavailable("watch", "connection reset")
            if era_of(revision) != era_of(self.store.revision):
                raise HistoryLost("watch", "restored")
            if self.loses_history:
                self.loses_history = False
                raise HistoryLost("watch", "compacted")
            await self._wait_while_frozen()
            found = tuple(event for event in self.store.events if event.revision > revision)
            if found:
                return StoreRead(found, found[-1].revision)
            try:
                async with asyncio.timeout_at(end_s):
                    await self.store.changed.wait()
            except TimeoutError:
                await self._wait_while_frozen()
                return StoreRead((), self.store.revision)

    async def close(self):
        pass


class MemoryLink:
    """Deliver messages to another node of the fleet."""

    def __init__(self, fleet, local, host):
        self.fleet = fleet
        self.local = local
        self.host = host
        self._nodes = (fleet.nodes.get(local), fleet.nodes.get(host))

    @property
    def closed(self):
        return (self.fleet.nodes.get(self.local), self.fleet.nodes.get(self.host)) != self._nodes

    def post(self, message):
        self.fleet.messages += 1
        asyncio.get_running_loop().call_later(LINK_DELAY_S, self._deliver, message)

    def _deliver(self, message):
        if self.fleet.is_held_up(self.local, self.host):
            asyncio.get_running_loop().call_later(FREEZE_STEP_S, self._deliver, message)
        elif not self.closed and (self.local, self.host) not in self.fleet.cut:
            node = self.fleet.nodes[self.host]
            node.receive(node.peers.link(self.local), message)


class MemoryPeers:
    """Open links to the nodes of the fleet that run."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host
        self.links = {}

    def reachable(self, host):
        return host in self.fleet.nodes

    async def link_to(self, host):
        await asyncio.sleep(LINK_DELAY_S * 4)
        if host not in self.fleet.nodes:
            raise PeerUnreachable(UpstreamId(host))
        if host not in self.links and self.fleet.is_held_up(self.host, host):
            await asyncio.sleep(DIAL_TIMEOUT_S)
            raise PeerUnreachable(UpstreamId(host))
        return self.link(host)

    def link(self, host):
        """Return the link to a running node; one that restarted gets a new link."""
        link = self.links.get(host)
        if link is None or link.closed:
            link = self.links[host] = MemoryLink(self.fleet, self.host, host)
        return link

    def make_probe(self):
        return Probe(self.fleet.nodes[self.host].follower.revision, False)


class FollowerNode:
    """Run one follower with its feeds."""

    def __init__(self, fleet, host, zone):
        clock = LoopClock()
        directory = Directory(clock.now_ms)
        self.peers = MemoryPeers(fleet, host)
        self.follower = DocumentFollower(
            Client(fleet.store, host),
            Reader(),
            fleet.heartbeat_ms,
            directory,
            clock,
            MemoryMetrics(),
            fleet.random,
        )
        self.feeds = DocumentFeeds(
            host,
            zone,
            directory,
            self.peers,
            lambda: self.follower.revision,
            lambda: self.follower.store_answered_ms,
            self.follower.changed_after,
            self.follower.describe_store_return,
            lambda: self.follower.plan.version if self.follower.plan else 0,
            clock,
            fleet.random,
        )
        self.follower.feeds = self.feeds
        self.feeds.send_documents = self.follower.send_documents
        self.feeds.on_neighbour = self.follower.evacuations.send_known
        self.follower.evacuations.neighbours = self.feeds.neighbours
        self.directory = directory
        self.tasks = [
            asyncio.ensure_future(work)
            for work in (
                self.follower.run(),
                self.follower.maintain(),
                self.feeds.run(),
                self.feeds.search.run(),
            )
        ]

    def receive(self, link, message):
        if isinstance(message, FeedState):
            self.follower.note_store_return(message.store_return)
            self.feeds.on_state(link, message)
            self.follower.note_peer_revision(link, message.revision)
        elif isinstance(message, FollowFeed):
            self.feeds.on_follow(link, message)
        elif isinstance(message, DocumentChanges):
            self.follower.on_changes(link, message)
        elif isinstance(message, Documents):
            self.follower.on_documents(link, message)
        elif isinstance(message, DocumentsWanted):
            self.follower.on_documents_wanted(link, message)
        elif isinstance(message, EvacuationRecords):
            self.follower.evacuations.on_records(link, message)
        elif isinstance(message, Probe):
            self.follower.note_peer_revision(link, message.revision)


class FollowerFleet:
    """Run the followers of a whole fleet.

    Attributes:
        heartbeat_ms: Interval at which upstreams write their entries, as the settings of nodes say.
        nodes: Running nodes by host.
        messages: Messages between nodes so far.
        cut: Pairs of hosts of which the first one's messages do not reach the second one.
    """

    def __init__(self, size, zones, seed=1, heartbeat_ms=1_500.0):
        self.store = CountingStore()
        self.heartbeat_ms = heartbeat_ms
        self.random = Random(seed)
        self.nodes = {}
        self.messages = 0
        self.cut = set()
        self.zone_by_host = {
            f"10.{place % zones}.0.{place}": f"zone-{place % zones}" for place in range(size)
        }

    def list_all(self, version=1):
        """Publish a plan and the entries of all hosts."""
        self.store.put(PLAN_KEY, str(version).encode())
        for host, zone in self.zone_by_host.items():
            self.store.put(f"up-{host}", f"{host} {zone}".encode())

    def start(self, *hosts):
        """Start the nodes of some hosts, or of all."""
        for host in hosts or self.zone_by_host:
            self.nodes[host] = FollowerNode(self, host, self.zone_by_host[host])

    async def stop(self, *hosts):
        """Stop the nodes of some hosts, or of all."""
        stopped = [self.nodes.pop(host) for host in hosts or list(self.nodes)]
        for node in stopped:
            for task in node.tasks:
                task.cancel()
        await asyncio.gather(
            *(task for node in stopped for task in node.tasks), return_exceptions=True
        )

    def is_held_up(self, local, host):
        """Return whether one of two nodes is frozen, so that messages wait."""
        return not self.store.frozen.isdisjoint((local, host))

    def evacuated(self):
        """Return the different sets of evacuated zones on the nodes that run."""
        return {node.directory.evacuated_zones for node in self.nodes.values()}

    def ready(self):
        """Return the number of nodes that are ready."""
        return sum(node.follower.ready.is_set() for node in self.nodes.values())

    def versions(self):
        """Return the plan versions that the nodes use."""
        return {
            node.follower.plan.version if node.follower.plan else None
            for node in self.nodes.values()
        }
