"""Bring configuration versions from the platform to every node.

Two watchers in each availability zone hold a watch on the service. A version that one accepts is
announced over the overlay; keys that it withdraws stop working on the announcement. Each node pulls
the bundle from the neighbour that announced it. Neighbours compare versions each second, and every
node reads the service now and then, so that a lost announcement is made up for.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from ..clock import Clock, LoopClock
from ..errors import BundleError, PeerTimeout, PeerUnreachable, PlatformUnavailable
from ..events import CONFIG_CONFLICT, CONFIG_READ_FAILED, CONFIG_REFUSED, NODE_READY, TASK_FAILED
from ..ids import ConfigVersion, NodeIdentity, UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..protocol.messages_config import (
    Announcement,
    Part,
    PartRequest,
    VersionExchange,
    Withdrawal,
)
from ..state.bundle import (
    HEAD_KEY,
    PART_COUNT_LIMIT,
    Bundle,
    Head,
    decode_head,
    join_parts,
    part_key,
)
from ..state.config_store import ConfigStore, Offer, withdrawn_keys
from ..state.members import Members, MemberState
from ..transport.platforms import Platform
from .peer_network import PeerNetwork
from .watchers import is_watcher

# Neighbours compare versions at this interval; it makes up for lost announcements.
EXCHANGE_INTERVAL_MS = 1_000
EXCHANGE_TIMEOUT_MS = 500

# Every node reads the service this often, even if it is no watcher: 2.2 reads/s at 670 nodes.
BACKSTOP_INTERVAL_MS = 300_000
BACKSTOP_JITTER = 0.5

# A failed read is repeated after a random time up to a bound that doubles from the first to the
# second value. The larger one bounds how long a change waits after the service is back.
RETRY_FIRST_MS = 250
RETRY_LIMIT_MS = 2_000

# A node that was asked for a bundle it is just pulling waits this long for it, so that the bundle
# follows the announcement hop by hop. A part of 1 MB takes about 100 ms on a link of 100 Mbit/s.
SERVE_WAIT_MS = 300
PART_TIMEOUT_MS = 500

# Announcers of a version that a node remembers to pull from.
SOURCE_LIMIT = 8

# A starting node that hears no peer for this long takes what the service has: it may be the first.
LONE_START_MS = 2_000

# Rounds over the announcers of a version before the service is asked for it.
PULL_ROUNDS = 2

# Peers that a starting node asks beside its neighbours, so that it also hears other zones.
START_PEERS = 4

SEND_TIMEOUT_MS = 500


class ConfigDistributor:
    """Keep the store of this node at the newest version that it can find.

    Attributes:
        store: The accepted version.
        ready: Set when the node has the newest version that it can find.
    """

    def __init__(
        self,
        network: PeerNetwork,
        members: Members,
        platform: Platform,
        store: ConfigStore,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        contacts: Callable[[], Iterable[UpstreamId]] | None = None,
    ):
        """Create a spread that does nothing yet.

        Args:
            network: Reaches the other nodes.
            members: View of the fleet.
            platform: Adapter of the platform.
            store: Where bundles are offered.
            clock: Clock of the intervals.
            rng: Source of jitter.
            metrics: Counts reads and pulls.
            contacts: Nodes that announcements go to; the neighbours by default.
        """
        self.store = store
        self.ready = asyncio.Event()
        self._network = network
        self._members = members
        self._platform = platform
        self._clock = clock or LoopClock()
        self._random = rng or random.Random()
        self._metrics = metrics or MemoryMetrics()
        self._contacts = contacts or members.neighbours
        self._announced: set[tuple[ConfigVersion, bytes]] = set()
        self._sources: dict[tuple[ConfigVersion, bytes], list[UpstreamId]] = {}
        self._pulling: set[tuple[ConfigVersion, bytes]] = set()
        self._arrived = asyncio.Event()
        self._newest_seen = ConfigVersion(0)
        self._conflicts: set[tuple[ConfigVersion, bytes]] = set()
        self._watch_task: asyncio.Task | None = None
        self._failing = False
        self._tasks: set[asyncio.Task] = set()
        network.subscribe(Announcement, self._receive_announcement)
        network.subscribe(VersionExchange, self._answer_exchange)
        network.subscribe(PartRequest, self._serve_part)

    def start(self) -> None:
        """Begin to look for the newest version and to keep it."""
        self._spawn(self._become_ready(), "find configuration")
        self._spawn(self._exchange_regularly(), "exchange versions")
        self._spawn(self._read_regularly(), "read configuration")
        self._spawn(self._keep_watching(), "choose watchers")

    async def close(self) -> None:
        """End all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def watching(self) -> bool:
        """Return whether this node holds a watch on the service."""
        return self._watch_task is not None

    # Start

    async def _become_ready(self) -> None:
        """Ask the service and peers until both have said what they have."""
        retry_ms = RETRY_FIRST_MS
        started_ms = self._clock.now_ms()
        while True:
            self._newest_seen = ConfigVersion(0)
            peers = self._peers_to_ask()
            _, *answers = await asyncio.gather(
                self._try_read(), *[self._exchange_with(peer) for peer in peers]
            )
            heard = any(answers) or self._clock.now_ms() - started_ms >= LONE_START_MS
            if heard and 0 < self.store.version >= self._newest_seen:
                log(NODE_READY, version=self.store.version)
                self.ready.set()
                return
            await self._clock.sleep_ms(self._random.random() * retry_ms)
            retry_ms = min(2 * retry_ms, RETRY_LIMIT_MS)

    def _peers_to_ask(self) -> list[UpstreamId]:
        local_id = self._network.local.upstream_id
        near = list(self._contacts())
        others = [
            member.identity.upstream_id
            for member in self._members.all()
            if member.identity.upstream_id not in (local_id, *near)
            and member.state in (MemberState.LIVE, MemberState.LEAVING)
        ]
        return near + self._random.sample(others, min(START_PEERS, len(others)))

    # The platform's service

    async def _keep_watching(self) -> None:
        """Watch while this node is one of the watchers of its zone."""
        while True:
            chosen = is_watcher(self._network.local, self._members)
            if chosen and self._watch_task is None:
                self._watch_task = self._spawn(self._watch(), "watch configuration")
            elif not chosen and self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None
            await self._clock.sleep_ms(EXCHANGE_INTERVAL_MS)

    async def _watch(self) -> None:
        known: str | None = None
        retry_ms = RETRY_FIRST_MS
        while True:
            try:
                value = await self._platform.watch(HEAD_KEY, known)
                if value is not None:
                    await self._use_head(value.data)
                    known = value.revision
                retry_ms = RETRY_FIRST_MS
                self._failing = False
            except (PlatformUnavailable, BundleError) as error:
                self._note_failure(error)
                await self._clock.sleep_ms(self._random.uniform(0.5, 1) * retry_ms)
                retry_ms = min(2 * retry_ms, RETRY_LIMIT_MS)

    async def _read_regularly(self) -> None:
        while True:
            jitter = 1 + BACKSTOP_JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep_ms(BACKSTOP_INTERVAL_MS * jitter)
            await self._try_read()

    async def _try_read(self) -> bool:
        """Read the service once and return whether it answered."""
        try:
            value = await self._platform.read(HEAD_KEY)
            if value is not None:
                await self._use_head(value.data)
        except (PlatformUnavailable, BundleError) as error:
            self._note_failure(error)
            return False
        return True

    async def _use_head(self, data: bytes) -> None:
        """Read and offer the bundle of a head, if it is newer.

        Raises:
            BundleError: The head or the parts are wrong or incomplete.
            PlatformUnavailable: The service failed.
        """
        head = decode_head(data)
        self._check_conflict(head.version, head.digest, "configuration service")
        if not self.store.wants(head.version, head.digest):
            return
        parts = []
        for number in range(head.part_count):
            value = await self._platform.read(part_key(head.version, number))
            if value is None:
                raise BundleError(head.version, f"part {number}", "not published")
            parts.append(value.data)
        offer = self._offer(join_parts(head, parts), "configuration service")
        if offer is Offer.REFUSED and self.store.wants(head.version, head.digest):
            # The parts do not fit the head: perhaps it was read while it was written.
            raise BundleError(head.version, "parts", "do not fit the head")

    def _note_failure(self, error: Exception) -> None:
        self._metrics.count("config.read_failures")
        if not self._failing:
            event = CONFIG_READ_FAILED if isinstance(error, PlatformUnavailable) else CONFIG_REFUSED
            log(event, source="configuration service", error=error)
        self._failing = True

    def _offer(self, bundle: Bundle, source: str) -> Offer:
        before = self.store.current
        offer = self.store.offer(bundle, source)
        if offer is Offer.ACCEPTED:
            gone = withdrawn_keys(before, self.store.current)
            self._newest_seen = max(self._newest_seen, bundle.version)
            self._forget_older()
            self._announce(bundle.head, gone, None)
            # Wakes peers that wait for the bundle.
            self._arrived.set()
            self._arrived = asyncio.Event()
        return offer

    def _forget_older(self) -> None:
        version = self.store.version
        self._announced = {key for key in self._announced if key[0] >= version}
        self._sources = {key: item for key, item in self._sources.items() if key[0] > version}
        self._conflicts = {key for key in self._conflicts if key[0] >= version}

    def _check_conflict(self, version: ConfigVersion, digest: bytes, source: str) -> None:
        key = (version, digest)
        if self.store.conflicts(version, digest) and key not in self._conflicts:
            self._conflicts.add(key)
            self._metrics.count("config.conflicts")
            log(CONFIG_CONFLICT, version=version, source=source)

    # Announcements

    def _announce(self, head: Head, withdrawn: tuple[str, ...], source: UpstreamId | None) -> None:
        """Send an announcement to all contacts but its source, once for each version."""
        key = (head.version, head.digest)
        if key in self._announced:
            return
        self._announced.add(key)
        message = Announcement(head.version, head.digest, head.part_count, withdrawn)
        for peer in self._contacts():
            if peer != source:
                self._spawn(self._send(peer, message), "announce configuration")

    def _receive_announcement(self, sender: NodeIdentity, message: Announcement) -> None:
        peer = sender.upstream_id
        self._check_conflict(message.version, message.digest, peer)
        if message.version <= self.store.version or not self._sound(message):
            return
        self.store.withdraw(message.version, message.withdrawn)
        head = Head(message.version, message.digest, message.part_count)
        self._announce(head, message.withdrawn, peer)
        self._learn(head, peer)

    @staticmethod
    def _sound(message: Announcement | VersionExchange) -> bool:
        return len(message.digest) == 32 and 1 <= message.part_count <= PART_COUNT_LIMIT

    def _learn(self, head: Head, peer: UpstreamId) -> asyncio.Task | None:
        """Note that a peer has a version, and pull it unless that is under way."""
        key = (head.version, head.digest)
        if not self.store.wants(*key):
            return None
        sources = self._sources.setdefault(key, [])
        if peer not in sources and len(sources) < SOURCE_LIMIT:
            sources.append(peer)
        if key in self._pulling:
            return None
        self._pulling.add(key)
        return self._spawn(self._pull(head, sources), "pull configuration")

    async def _pull(self, head: Head, sources: list[UpstreamId]) -> None:
        """Get a bundle from those that announced it; fall back to the service."""
        key = (head.version, head.digest)
        try:
            for _ in range(PULL_ROUNDS):
                # More announcers can join the list while the first ones are tried.
                for peer in sources:
                    if not self.store.wants(*key):
                        return
                    bundle = await self._pull_from(peer, head)
                    if bundle is not None:
                        self._offer(bundle, peer)
        finally:
            self._pulling.discard(key)
        if self.store.wants(*key):
            # Forgetting the sources lets the next exchange name one again.
            sources.clear()
            await self._try_read()

    async def _pull_from(self, peer: UpstreamId, head: Head) -> Bundle | None:
        parts = []
        for number in range(head.part_count):
            request = PartRequest(head.version, head.digest, number)
            try:
                answer = await self._network.request(peer, request, PART_TIMEOUT_MS)
            except (PeerTimeout, PeerUnreachable):
                return None
            if not isinstance(answer, Part) or answer.data is None:
                return None
            parts.append(answer.data)
        self._metrics.count("config.pulled")
        try:
            return join_parts(head, parts)
        except BundleError:
            return None

    async def _serve_part(self, sender: NodeIdentity, message: PartRequest) -> Part:
        key = (message.version, message.digest)
        if key in self._pulling:
            await self._wait_for(key)
        bundle = self.store.bundle
        if bundle is None or (bundle.version, bundle.digest) != key:
            return Part(None)
        self._metrics.count("config.parts_served")
        return Part(bundle.part(message.number) if message.number >= 0 else None)

    async def _wait_for(self, key: tuple[ConfigVersion, bytes]) -> None:
        try:
            async with asyncio.timeout(SERVE_WAIT_MS / 1000):
                while self.store.wants(*key):
                    await self._arrived.wait()
        except TimeoutError:
            pass

    # Exchanges

    async def _exchange_regularly(self) -> None:
        while True:
            await self._clock.sleep_ms(EXCHANGE_INTERVAL_MS * self._random.uniform(0.9, 1.1))
            for peer in self._members.neighbours():
                self._spawn(self._exchange_with(peer), "exchange versions")

    def _own_version(self) -> VersionExchange:
        bundle = self.store.bundle
        withdrawn = tuple(Withdrawal(*item) for item in sorted(self.store.withdrawn.items()))
        if bundle is None:
            return VersionExchange(ConfigVersion(0), b"", 0, withdrawn)
        return VersionExchange(bundle.version, bundle.digest, bundle.part_count, withdrawn)

    async def _exchange_with(self, peer: UpstreamId) -> bool:
        """Compare versions with a peer, pull a newer one, and return whether the peer answered."""
        try:
            answer = await self._network.request(peer, self._own_version(), EXCHANGE_TIMEOUT_MS)
        except (PeerTimeout, PeerUnreachable):
            return False
        if not isinstance(answer, VersionExchange):
            return False
        pulling = self._use_exchange(peer, answer)
        if pulling is not None and not self.ready.is_set():
            await asyncio.gather(pulling, return_exceptions=True)
        return True

    def _answer_exchange(self, sender: NodeIdentity, message: VersionExchange) -> VersionExchange:
        self._use_exchange(sender.upstream_id, message)
        return self._own_version()

    def _use_exchange(self, peer: UpstreamId, message: VersionExchange) -> asyncio.Task | None:
        for withdrawal in message.withdrawn:
            self.store.withdraw(withdrawal.version, (withdrawal.key_id,))
        self._check_conflict(message.version, message.digest, peer)
        if message.version <= self.store.version or not self._sound(message):
            return None
        self._newest_seen = max(self._newest_seen, message.version)
        return self._learn(Head(message.version, message.digest, message.part_count), peer)

    # Tasks

    async def _send(self, peer: UpstreamId, message: Any) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await self._network.send(peer, message)
        except (PeerUnreachable, TimeoutError):
            self._metrics.count("config.unsent")

    def _spawn(self, work: Coroutine, name: str) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(done, name))
        return task

    def _finish(self, task: asyncio.Task, name: str) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=name, error=repr(task.exception()))
