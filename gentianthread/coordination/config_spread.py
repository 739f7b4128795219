"""Distribute configuration versions from the platform to every node.

Two watchers in each availability zone watch the configuration service of the platform. A version
that a node accepts is announced over the overlay; keys that it withdraws stop working as soon as
the announcement arrives. Each node pulls the bundle from the neighbour that announced it. To make
up for lost announcements, neighbours compare versions every second and every node reads the service
periodically.
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
    BundleHead,
    decode_head,
    join_parts,
    part_key,
)
from ..state.config_store import ConfigStore, OfferResult, withdrawn_keys
from ..state.members import Members, MemberState
from ..transport.platforms import Platform
from .peer_network import PeerNetwork
from .watchers import is_watcher

# Neighbours compare versions at this interval, which makes up for lost announcements.
EXCHANGE_INTERVAL_MS = 1_000
EXCHANGE_TIMEOUT_MS = 500

# Every node, watcher or not, reads the service at this interval: 2.2 reads/s at 670 nodes. The
# jitter is a fraction of it.
FALLBACK_READ_INTERVAL_MS = 300_000
FALLBACK_READ_JITTER = 0.5

# A failed read is retried after a random delay below a bound that doubles from the initial to the
# maximum value. The maximum limits how long a change is delayed once the service is back.
INITIAL_RETRY_MS = 250
MAX_RETRY_MS = 2_000

# A request for a part of a bundle that this node is still pulling waits up to this long for it, so
# that the bundle follows the announcement hop by hop. A part of 1 MB takes about 100 ms on a link
# of 100 Mbit/s.
PART_SERVE_WAIT_MS = 300
PART_TIMEOUT_MS = 500

# Number of announcers of a version that a node remembers as sources to pull from.
SOURCE_LIMIT = 8

# A starting node that no peer answers for this long accepts the version of the service: it may be
# the first node of the fleet.
STARTUP_PEER_WAIT_MS = 2_000

# Number of times that all announcers of a version are tried before the service is read.
PULL_ROUNDS = 2

# Number of peers that a starting node asks besides its contacts, so that it also learns the version
# of other zones.
STARTUP_PEERS = 4

SEND_TIMEOUT_MS = 500


class ConfigDistributor:
    """Keep the store of this node at the newest available version.

    Attributes:
        store: Stores the accepted version.
        ready: Event that is set once the store has the newest available version.
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
        """Create a distributor; `start` starts its tasks.

        Args:
            network: Sends messages to the other nodes.
            members: View of the fleet.
            platform: Adapter of the platform.
            store: Accepts or refuses the bundles that are found.
            clock: Clock of the intervals; the event loop's by default.
            rng: Generator of the jitter; seeded at random by default.
            metrics: Counts reads and pulls.
            contacts: Returns the nodes that receive announcements; the neighbours by default.
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
        self._bundle_accepted = asyncio.Event()
        self._newest_seen = ConfigVersion(0)
        self._conflicts: set[tuple[ConfigVersion, bytes]] = set()
        self._watch_task: asyncio.Task | None = None
        self._reads_failing = False
        self._tasks: set[asyncio.Task] = set()
        network.subscribe(Announcement, self._receive_announcement)
        network.subscribe(VersionExchange, self._answer_exchange)
        network.subscribe(PartRequest, self._serve_part)

    def start(self) -> None:
        """Start to look for the newest version and to follow later ones."""
        self._spawn(self._find_initial_version(), "find configuration")
        self._spawn(self._exchange_periodically(), "exchange versions")
        self._spawn(self._read_periodically(), "read configuration")
        self._spawn(self._update_watcher_role(), "choose watchers")

    async def close(self) -> None:
        """Cancel all tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def watching(self) -> bool:
        """Return whether this node watches the service."""
        return self._watch_task is not None

    # Start-up

    async def _find_initial_version(self) -> None:
        """Ask the service and peers until the newest version seen is accepted, then set `ready`."""
        retry_ms = INITIAL_RETRY_MS
        started_ms = self._clock.now_ms()
        while True:
            self._newest_seen = ConfigVersion(0)
            peers = self._peers_to_ask()
            _, *answers = await asyncio.gather(
                self._try_read(), *[self._exchange_with(peer) for peer in peers]
            )
            peer_wait_over = (
                any(answers) or self._clock.now_ms() - started_ms >= STARTUP_PEER_WAIT_MS
            )
            if peer_wait_over and 0 < self.store.version >= self._newest_seen:
                log(NODE_READY, version=self.store.version)
                self.ready.set()
                return
            await self._clock.sleep_ms(self._random.random() * retry_ms)
            retry_ms = min(2 * retry_ms, MAX_RETRY_MS)

    def _peers_to_ask(self) -> list[UpstreamId]:
        local_id = self._network.local.upstream_id
        contacts = list(self._contacts())
        others = [
            member.identity.upstream_id
            for member in self._members.all()
            if member.identity.upstream_id not in (local_id, *contacts)
            and member.state in (MemberState.LIVE, MemberState.LEAVING)
        ]
        return contacts + self._random.sample(others, min(STARTUP_PEERS, len(others)))

    # Configuration service of the platform

    async def _update_watcher_role(self) -> None:
        """Start or cancel the watch as this node becomes or stops being a watcher of its zone."""
        while True:
            should_watch = is_watcher(self._network.local, self._members)
            if should_watch and self._watch_task is None:
                self._watch_task = self._spawn(self._watch(), "watch configuration")
            elif not should_watch and self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None
            await self._clock.sleep_ms(EXCHANGE_INTERVAL_MS)

    async def _watch(self) -> None:
        known_revision: str | None = None
        retry_ms = INITIAL_RETRY_MS
        while True:
            try:
                value = await self._platform.watch(HEAD_KEY, known_revision)
                if value is not None:
                    await self._process_head(value.data)
                    known_revision = value.revision
                retry_ms = INITIAL_RETRY_MS
                self._reads_failing = False
            except (PlatformUnavailable, BundleError) as error:
                self._record_failure(error)
                await self._clock.sleep_ms(self._random.uniform(0.5, 1) * retry_ms)
                retry_ms = min(2 * retry_ms, MAX_RETRY_MS)

    async def _read_periodically(self) -> None:
        while True:
            jitter = 1 + FALLBACK_READ_JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep_ms(FALLBACK_READ_INTERVAL_MS * jitter)
            await self._try_read()

    async def _try_read(self) -> bool:
        """Read the service once and return whether that succeeded."""
        try:
            value = await self._platform.read(HEAD_KEY)
            if value is not None:
                await self._process_head(value.data)
        except (PlatformUnavailable, BundleError) as error:
            self._record_failure(error)
            return False
        return True

    async def _process_head(self, data: bytes) -> None:
        """Read the bundle of a head and offer it to the store, if it is newer.

        Raises:
            BundleError: The head or its parts are malformed, missing or do not match.
            PlatformUnavailable: The service failed.
        """
        head = decode_head(data)
        self._check_conflict(head.version, head.digest, "configuration service")
        if not self.store.wants(head.version, head.digest):
            return
        parts = []
        for part_number in range(head.part_count):
            value = await self._platform.read(part_key(head.version, part_number))
            if value is None:
                raise BundleError(head.version, f"part {part_number}", "not published")
            parts.append(value.data)
        offer = self._offer(join_parts(head, parts), "configuration service")
        if offer is OfferResult.REFUSED and self.store.wants(head.version, head.digest):
            # The head may have been read while the bundle was being written.
            raise BundleError(head.version, "parts", "do not match the head")

    def _record_failure(self, error: Exception) -> None:
        self._metrics.count("config.read_failures")
        if not self._reads_failing:
            event = CONFIG_READ_FAILED if isinstance(error, PlatformUnavailable) else CONFIG_REFUSED
            log(event, source="configuration service", error=error)
        self._reads_failing = True

    def _offer(self, bundle: Bundle, source: str) -> OfferResult:
        previous_plan = self.store.current
        offer = self.store.offer(bundle, source)
        if offer is OfferResult.ACCEPTED:
            withdrawn_ids = withdrawn_keys(previous_plan, self.store.current)
            self._newest_seen = max(self._newest_seen, bundle.version)
            self._discard_older()
            self._announce(bundle.head, withdrawn_ids, None)
            # Wakes the requests of peers that wait for the bundle.
            self._bundle_accepted.set()
            self._bundle_accepted = asyncio.Event()
        return offer

    def _discard_older(self) -> None:
        version = self.store.version
        self._announced = {
            version_key for version_key in self._announced if version_key[0] >= version
        }
        self._sources = {
            version_key: peers
            for version_key, peers in self._sources.items()
            if version_key[0] > version
        }
        self._conflicts = {
            version_key for version_key in self._conflicts if version_key[0] >= version
        }

    def _check_conflict(self, version: ConfigVersion, digest: bytes, source: str) -> None:
        version_key = (version, digest)
        if self.store.conflicts(version, digest) and version_key not in self._conflicts:
            self._conflicts.add(version_key)
            self._metrics.count("config.conflicts")
            log(CONFIG_CONFLICT, version=version, source=source)

    # Announcements

    def _announce(
        self, head: BundleHead, withdrawn: tuple[str, ...], source: UpstreamId | None
    ) -> None:
        """Announce a version to all contacts except its source, once per version and digest."""
        version_key = (head.version, head.digest)
        if version_key in self._announced:
            return
        self._announced.add(version_key)
        message = Announcement(head.version, head.digest, head.part_count, withdrawn)
        for peer in self._contacts():
            if peer != source:
                self._spawn(self._send(peer, message), "announce configuration")

    def _receive_announcement(self, sender: NodeIdentity, message: Announcement) -> None:
        peer = sender.upstream_id
        self._check_conflict(message.version, message.digest, peer)
        if message.version <= self.store.version or not self._is_valid(message):
            return
        self.store.withdraw(message.version, message.withdrawn)
        head = BundleHead(message.version, message.digest, message.part_count)
        self._announce(head, message.withdrawn, peer)
        self._schedule_pull(head, peer)

    @staticmethod
    def _is_valid(message: Announcement | VersionExchange) -> bool:
        return len(message.digest) == 32 and 1 <= message.part_count <= PART_COUNT_LIMIT

    def _schedule_pull(self, head: BundleHead, peer: UpstreamId) -> asyncio.Task | None:
        """Add a peer as source of a version and start to pull it unless a pull is in progress.

        Returns:
            The task of the pull, or None if none was started.
        """
        version_key = (head.version, head.digest)
        if not self.store.wants(*version_key):
            return None
        sources = self._sources.setdefault(version_key, [])
        if peer not in sources and len(sources) < SOURCE_LIMIT:
            sources.append(peer)
        if version_key in self._pulling:
            return None
        self._pulling.add(version_key)
        return self._spawn(self._pull(head, sources), "pull configuration")

    async def _pull(self, head: BundleHead, sources: list[UpstreamId]) -> None:
        """Pull a bundle from the peers that announced it; fall back to the service."""
        version_key = (head.version, head.digest)
        try:
            for _ in range(PULL_ROUNDS):
                # Sources can be added to the list during the iteration.
                for peer in sources:
                    if not self.store.wants(*version_key):
                        return
                    bundle = await self._pull_from(peer, head)
                    if bundle is not None:
                        self._offer(bundle, peer)
        finally:
            self._pulling.discard(version_key)
        if self.store.wants(*version_key):
            # Cleared so that the next exchange can add a source again.
            sources.clear()
            await self._try_read()

    async def _pull_from(self, peer: UpstreamId, head: BundleHead) -> Bundle | None:
        parts = []
        for part_number in range(head.part_count):
            request = PartRequest(head.version, head.digest, part_number)
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
        version_key = (message.version, message.digest)
        if version_key in self._pulling:
            await self._wait_for_bundle(version_key)
        bundle = self.store.bundle
        if bundle is None or (bundle.version, bundle.digest) != version_key:
            return Part(None)
        self._metrics.count("config.parts_served")
        return Part(bundle.part(message.number) if message.number >= 0 else None)

    async def _wait_for_bundle(self, version_key: tuple[ConfigVersion, bytes]) -> None:
        try:
            async with asyncio.timeout(PART_SERVE_WAIT_MS / 1000):
                while self.store.wants(*version_key):
                    await self._bundle_accepted.wait()
        except TimeoutError:
            pass

    # Exchanges

    async def _exchange_periodically(self) -> None:
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
        """Compare versions with a peer, pull a newer one and return whether the peer answered."""
        try:
            answer = await self._network.request(peer, self._own_version(), EXCHANGE_TIMEOUT_MS)
        except (PeerTimeout, PeerUnreachable):
            return False
        if not isinstance(answer, VersionExchange):
            return False
        pulling = self._process_exchange(peer, answer)
        if pulling is not None and not self.ready.is_set():
            await asyncio.gather(pulling, return_exceptions=True)
        return True

    def _answer_exchange(self, sender: NodeIdentity, message: VersionExchange) -> VersionExchange:
        self._process_exchange(sender.upstream_id, message)
        return self._own_version()

    def _process_exchange(self, peer: UpstreamId, message: VersionExchange) -> asyncio.Task | None:
        for withdrawal in message.withdrawn:
            self.store.withdraw(withdrawal.version, (withdrawal.key_id,))
        self._check_conflict(message.version, message.digest, peer)
        if message.version <= self.store.version or not self._is_valid(message):
            return None
        self._newest_seen = max(self._newest_seen, message.version)
        return self._schedule_pull(
            BundleHead(message.version, message.digest, message.part_count), peer
        )

    # Tasks

    async def _send(self, peer: UpstreamId, message: Any) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await self._network.send(peer, message)
        except (PeerUnreachable, TimeoutError):
            self._metrics.count("config.unsent")

    def _spawn(self, coroutine: Coroutine, task_name: str) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_task_done(done, task_name))
        return task

    def _on_task_done(self, task: asyncio.Task, task_name: str) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task_name, error=repr(task.exception()))
