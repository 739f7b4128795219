"""Send messages and streams to the nodes of other upstreams over authenticated links."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import reactivex
from reactivex.subject import Subject

from ..errors import (
    ConnectionLost,
    ConnectionSilent,
    GentianError,
    OutdatedProcess,
    PeerTimeout,
    PeerUnreachable,
    ProtocolError,
    TransportError,
)
from ..events import LINK_CLOSED, LINK_OPENED, LINK_REFUSED, TASK_FAILED
from ..ids import NodeIdentity, StartNumber, UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..protocol.codec import decode, encode
from ..protocol.handshake import accept_peer, dial_peer
from ..protocol.link import Link
from ..protocol.link_control import LinkOwner
from ..protocol.link_stream import LinkStream
from ..protocol.streams import Stream, memory_stream_pair
from ..transport.connections import (
    Listener,
    MessageConnection,
    MessageTransport,
    WebSocketTransport,
)
from .link_events import INITIAL_BACKOFF_MS, Backoff, LinkEvent, LinkState
from .peer_network import PeerNetwork

# Maximum number of accepted connections whose handshake is in progress.
UNAUTHENTICATED_LIMIT = 256

# Timeout for opening a link, including the TCP connection and the handshake.
DIAL_TIMEOUT_MS = 1_500

# A link that closes before this age counts as a failed attempt. Otherwise a peer that accepts and
# closes links would be dialled in a tight loop.
MIN_STABLE_MS = 1_000

# A link that was opened on demand is closed after this time without use; links are checked at the
# sweep interval.
IDLE_TIMEOUT_MS = 30_000
SWEEP_INTERVAL_MS = 5_000

AddressOf = Callable[[UpstreamId], tuple[str, int] | None]


class _Peer:
    """Store the links to the node of one upstream and the state of dialling it."""

    def __init__(self, rng: random.Random):
        self.links: list[Link] = []
        self.newest_start = StartNumber(0)
        self.backoff = Backoff(rng)
        self.dial_task: asyncio.Task | None = None
        self.keep_task: asyncio.Task | None = None
        self.links_changed = asyncio.Event()

    def usable_link(self) -> Link | None:
        """Return the link for new messages and streams, or None."""
        for link in self.links:
            if link.usable:
                return link
        return None


class LinkPeerNetwork(PeerNetwork, LinkOwner):
    """Keep one link to each peer in use.

    Attributes:
        link_events: Observable of `LinkEvent`.
        on_superseded: Called with the start number of a newer process of the local upstream when a
            peer has proven that it knows one.
        metrics: Counts links and frames.
    """

    def __init__(
        self,
        local: NodeIdentity,
        secret: bytes,
        address_of: AddressOf,
        *,
        transport: MessageTransport | None = None,
        metrics: Metrics | None = None,
        seed: int | None = None,
    ):
        """Create a network endpoint; `start` opens its port.

        Args:
            local: Identity of the local node.
            secret: The fleet secret.
            address_of: Returns the host and the peer port of an upstream's node, or None.
            transport: Opens connections; WebSockets by default.
            metrics: Counts links and frames.
            seed: Seed of the jitter; chosen at random by default.
        """
        super().__init__(local)
        self.link_events: reactivex.Observable[LinkEvent] = Subject()
        self.on_superseded: Callable[[StartNumber], None] = lambda _: None
        self.metrics = metrics or MemoryMetrics()
        self._secret = secret
        self._address_of = address_of
        self._transport = transport or WebSocketTransport()
        self._random = random.Random(seed)
        self._peers: dict[UpstreamId, _Peer] = {}
        self._kept_ids: frozenset[UpstreamId] = frozenset()
        self._listener: Listener | None = None
        self._unauthenticated = 0
        self._closed = False
        self._sweeper: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> int:
        """Start to accept links.

        Args:
            host: IP address to listen on.
            port: Peer port; 0 selects any free one.

        Returns:
            The port that is listened on.
        """
        self._listener = await self._transport.listen(host, port, self._accept)
        self._sweeper = self._spawn(self._sweep(), "link sweep")
        return self._listener.port

    def keep_links(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Keep links to these upstreams open, and links to others only while they are used."""
        self._kept_ids = frozenset(upstream_ids) - {self.local.upstream_id}
        for upstream_id in self._kept_ids:
            peer = self._peer(upstream_id)
            if peer.keep_task is None and not self._closed:
                peer.keep_task = self._spawn(self._keep_link(upstream_id, peer), "link keeper")
        for peer in self._peers.values():
            peer.links_changed.set()

    def note_start_number(self, upstream_id: UpstreamId, start_number: StartNumber) -> None:
        """Record the start number of an upstream's process; older processes are refused.

        A link to an older process closes at once, or when its open streams have ended: a planned
        replacement starts while its predecessor still serves its last requests.
        """
        peer = self._peer(upstream_id)
        if start_number <= peer.newest_start:
            return
        peer.newest_start = start_number
        for link in list(peer.links):
            if link.peer.start_number >= start_number:
                continue
            if link.streams:
                link.drain()
            else:
                link.fail(ConnectionLost(str(upstream_id), "replaced by a newer process"))

    def connected(self) -> frozenset[UpstreamId]:
        """Return the peers to which a link is open."""
        return frozenset(upstream_id for upstream_id, peer in self._peers.items() if peer.links)

    async def close(self, grace_ms: float = 0.0) -> None:
        """Close the port, wait for open streams, then close the links.

        Args:
            grace_ms: Maximum time to wait for open streams.
        """
        self._closed = True
        if self._listener is not None:
            await self._listener.close()
        for peer in self._peers.values():
            for task in (peer.keep_task, peer.dial_task):
                if task is not None:
                    task.cancel()
        links = [link for peer in self._peers.values() for link in peer.links]
        for link in links:
            link.drain()
        await asyncio.gather(*[link.wait_for_streams(grace_ms) for link in links])
        await asyncio.gather(*[link.close("node stops") for link in links])
        for link in links:
            link.cancel_handlers()
        remaining_tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in remaining_tasks:
            task.cancel()
        await asyncio.gather(*remaining_tasks, return_exceptions=True)

    # Messages and streams

    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message over the link to the peer."""
        if upstream_id == self.local.upstream_id:
            self._spawn(self._dispatch(self.local, decode(encode(message))), "local message")
            return
        link = await self._link_to(upstream_id)
        try:
            link.control.send(message)
        except ConnectionLost as error:
            raise PeerUnreachable(upstream_id) from error

    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a message over the link to the peer and wait for the answer."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                if upstream_id == self.local.upstream_id:
                    return await self._request_local(message)
                link = await self._link_to(upstream_id)
                return await link.control.request(message)
        except (TimeoutError, ConnectionLost) as error:
            raise PeerTimeout(upstream_id, timeout_ms) from error

    async def open_stream(self, upstream_id: UpstreamId, head: Any) -> Stream:
        """Open a stream on the link to the peer."""
        if upstream_id == self.local.upstream_id:
            return self._open_local(head)
        link = await self._link_to(upstream_id)
        try:
            return link.open_stream(head)
        except ConnectionLost as error:
            raise PeerUnreachable(upstream_id) from error

    async def _request_local(self, message: Any) -> Any:
        answer = await self._dispatch(self.local, decode(encode(message)))
        if answer is None:
            await asyncio.Event().wait()
        return decode(encode(answer))

    def _open_local(self, head: Any) -> Stream:
        local_end, remote_end = memory_stream_pair()
        if self._stream_handler is not None:
            coroutine = self._stream_handler(self.local, decode(encode(head)), remote_end)
            self._spawn(coroutine, "local stream")
        return local_end

    # Links

    async def _link_to(self, upstream_id: UpstreamId) -> Link:
        peer = self._peers.get(upstream_id)
        link = peer.usable_link() if peer is not None else None
        return link or await self._open_link(upstream_id)

    async def _open_link(self, upstream_id: UpstreamId) -> Link:
        peer = self._peer(upstream_id)
        if peer.dial_task is None:
            if self._closed or peer.backoff.remaining_ms(self._now_s()) > 0:
                raise PeerUnreachable(upstream_id)
            peer.dial_task = self._spawn(self._dial(upstream_id, peer), "link dial")
        # All callers share one attempt; it continues when a caller is cancelled.
        await asyncio.wait([peer.dial_task])
        link = peer.usable_link()
        if link is None:
            raise PeerUnreachable(upstream_id)
        return link

    async def _dial(self, upstream_id: UpstreamId, peer: _Peer) -> None:
        connection: MessageConnection | None = None
        try:
            address = self._address_of(upstream_id)
            if address is None:
                raise PeerUnreachable(upstream_id)
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000):
                connection = await self._transport.connect(*address)
                identity = await dial_peer(
                    connection, self.local, self._secret, upstream_id, self._check_outdated
                )
            self._serve(self._add_link(connection, identity, dialed=True))
            connection = None
        except (ProtocolError, TransportError, TimeoutError) as error:
            self._on_dial_failed(upstream_id, peer, error)
        finally:
            peer.dial_task = None
            if connection is not None:
                connection.abort()

    def _on_dial_failed(self, upstream_id: UpstreamId, peer: _Peer, error: Exception) -> None:
        peer.backoff.record_failure(self._now_s())
        self.metrics.count("link.dials_failed")
        if isinstance(error, OutdatedProcess) and error.upstream_id == self.local.upstream_id:
            self.on_superseded(StartNumber(error.newest))
        if upstream_id in self._kept_ids and not peer.links:
            self._publish_event(upstream_id, LinkState.UNREACHABLE, None, str(error) or "timeout")

    async def _accept(self, connection: MessageConnection) -> None:
        if self._closed or self._unauthenticated >= UNAUTHENTICATED_LIMIT:
            self.metrics.count("link.connections_refused")
            connection.abort()
            return
        self._unauthenticated += 1
        try:
            identity = await accept_peer(connection, self.local, self._secret, self._check_outdated)
            link = self._add_link(connection, identity, dialed=False)
        except (ProtocolError, TransportError) as error:
            self.metrics.count("link.connections_refused")
            log(LINK_REFUSED, address=connection.peer_address, problem=str(error))
            connection.abort()
            return
        finally:
            self._unauthenticated -= 1
        await link.run()

    def _check_outdated(self, identity: NodeIdentity) -> None:
        newest = self._peer(identity.upstream_id).newest_start
        if identity.start_number < newest:
            raise OutdatedProcess(identity.upstream_id, identity.start_number, newest)

    def _add_link(
        self, connection: MessageConnection, identity: NodeIdentity, *, dialed: bool
    ) -> Link:
        """Add a link and drain the surplus links to the same peer.

        Raises:
            OutdatedProcess: A newer process opened a link during the handshake.
        """
        self._check_outdated(identity)
        self.note_start_number(identity.upstream_id, identity.start_number)
        peer = self._peer(identity.upstream_id)
        link = Link(connection, identity, self, self.metrics, dialed=dialed)
        is_first = not peer.links
        for old_link in peer.links:
            # A peer that dials long after the old link opened has lost its end of the old link.
            if link.opened_at_s - old_link.opened_at_s > DIAL_TIMEOUT_MS / 1000:
                old_link.drain()
        peer.links.append(link)
        peer.links.sort(key=self._sort_key)
        if is_first:
            self._publish_event(identity.upstream_id, LinkState.UP, identity.start_number, None)
        for surplus_link in peer.links[1:]:
            surplus_link.drain()
        log(LINK_OPENED, peer=identity.upstream_id)
        self.metrics.count("link.opened")
        return link

    def _sort_key(self, link: Link) -> tuple[bool, bool, float]:
        """Return the sort key of a link; lower is preferred.

        Both ends prefer the newest link that the node with the smaller upstream id dialled.
        """
        dialed_by_smaller = link.dialed == (self.local.upstream_id < link.peer.upstream_id)
        return (not link.usable, not dialed_by_smaller, -link.opened_at_s)

    def _serve(self, link: Link) -> None:
        self._spawn(link.run(), f"link to {link.peer.upstream_id}")

    async def _keep_link(self, upstream_id: UpstreamId, peer: _Peer) -> None:
        try:
            while upstream_id in self._kept_ids and not self._closed:
                peer.links_changed.clear()
                if peer.usable_link() is not None:
                    await peer.links_changed.wait()
                    continue
                await asyncio.sleep(peer.backoff.remaining_ms(self._now_s()) / 1000)
                try:
                    await self._open_link(upstream_id)
                except PeerUnreachable:
                    continue
        finally:
            peer.keep_task = None

    async def _sweep(self) -> None:
        """Drain links that were opened on demand and are idle for too long."""
        while not self._closed:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            idle_since_s = self._now_s() - IDLE_TIMEOUT_MS / 1000
            for upstream_id, peer in list(self._peers.items()):
                for link in list(peer.links) if upstream_id not in self._kept_ids else ():
                    if link.dialed and link.idle and link.last_used_s < idle_since_s:
                        link.drain()

    # Callbacks of links

    def on_message(self, link: Link, message: Any) -> Any:
        """Pass a control message to its handler."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(link.peer, message)

    def on_stream(self, link: Link, head: Any, stream: LinkStream) -> Coroutine[Any, Any, None]:
        """Pass a stream to the stream handler."""
        if self._stream_handler is None:
            return _refuse_stream(stream)
        return self._stream_handler(link.peer, head, stream)

    def on_closed(self, link: Link, error: GentianError, unsent: list[LinkStream]) -> None:
        """Remove a closed link and move the streams of which nothing was sent to another one."""
        upstream_id = link.peer.upstream_id
        peer = self._peer(upstream_id)
        if link in peer.links:
            peer.links.remove(link)
        self.metrics.count("link.closed")
        log(LINK_CLOSED, peer=upstream_id, problem=str(error))
        if not peer.links:
            self._update_backoff(peer, link)
            silent = isinstance(error, ConnectionSilent)
            state = LinkState.SILENT if silent else LinkState.DOWN
            self._publish_event(upstream_id, state, link.peer.start_number, str(error))
        if unsent:
            self._spawn(self._move_streams(upstream_id, error, unsent), "stream move")
        peer.links_changed.set()

    def _update_backoff(self, peer: _Peer, link: Link) -> None:
        """Delay the next dial if the link closed soon after it opened; else clear the delay."""
        now_s = self._now_s()
        if now_s - link.opened_at_s >= MIN_STABLE_MS / 1000:
            peer.backoff.reset()
        else:
            peer.backoff.record_failure(now_s)

    async def _move_streams(
        self, upstream_id: UpstreamId, error: GentianError, unsent: list[LinkStream]
    ) -> None:
        # A link that closed soon after it opened delays the next dial. Wait for the initial delay,
        # but not for a longer one.
        delay_ms = self._peer(upstream_id).backoff.remaining_ms(self._now_s())
        await asyncio.sleep(min(delay_ms, INITIAL_BACKOFF_MS) / 1000)
        try:
            new_link = await self._link_to(upstream_id)
        except PeerUnreachable:
            new_link = None
        for stream in unsent:
            if new_link is None or stream.moved or not new_link.usable:
                stream.end_locally(str(error))
            elif not stream.ended:
                self._adopt(new_link, stream)

    def _adopt(self, new_link: Link, stream: LinkStream) -> None:
        try:
            new_link.adopt_stream(stream)
            self.metrics.count("link.streams_moved")
        except ConnectionLost as error:
            stream.end_locally(str(error))

    def _publish_event(
        self,
        upstream_id: UpstreamId,
        state: LinkState,
        start_number: StartNumber | None,
        problem: str | None,
    ) -> None:
        try:
            self.link_events.on_next(LinkEvent(upstream_id, state, start_number, problem))
        except Exception as error:
            # An error in an observer must not prevent the link from being used or closed.
            log(TASK_FAILED, task="observer of link events", error=repr(error))

    def _peer(self, upstream_id: UpstreamId) -> _Peer:
        peer = self._peers.get(upstream_id)
        if peer is None:
            peer = self._peers[upstream_id] = _Peer(self._random)
        return peer

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))


async def _refuse_stream(stream: LinkStream) -> None:
    stream.abort("no streams are accepted here")
