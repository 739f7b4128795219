"""Reach the nodes of other upstreams over authenticated links."""

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
from .link_events import BACKOFF_MS, Backoff, LinkEvent, LinkState
from .peer_network import PeerNetwork

# Connections that may run their handshake at the same time.
UNPROVEN_LIMIT = 256

# Opening a link, with TCP connection and handshake, must not take longer.
DIAL_TIMEOUT_MS = 1_500

# A link that closes before this age counts as a failed attempt; without that, a peer that opens and
# closes links would be dialled in a tight loop.
STABLE_MS = 1_000

# A link that was opened on demand is closed after this time without use.
UNUSED_MS = 30_000
SWEEP_MS = 5_000

AddressOf = Callable[[UpstreamId], tuple[str, int] | None]


class _Peer:
    """Hold what is known about the node of one upstream."""

    def __init__(self, source: random.Random):
        self.links: list[Link] = []
        self.newest = StartNumber(0)
        self.backoff = Backoff(source)
        self.dialling: asyncio.Task | None = None
        self.keeper: asyncio.Task | None = None
        self.changed = asyncio.Event()

    def chosen(self) -> Link | None:
        """Return the link for new streams, if there is one."""
        for link in self.links:
            if link.usable:
                return link
        return None


class LinkPeerNetwork(PeerNetwork, LinkOwner):
    """Keep one link to each peer in use.

    Attributes:
        link_events: Observable of `LinkEvent`.
        on_superseded: Called when a peer has proven that it knows a newer process of the upstream
            of this node, with its start number.
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
        """Create a network end; `start` opens its port.

        Args:
            local: Identity of the local node.
            secret: The fleet secret.
            address_of: Returns the host and peer port of an upstream's node, or None.
            transport: Opens connections; WebSockets by default.
            metrics: Counts links and frames.
            seed: Seed of the jitter; random by default.
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
        self._kept: frozenset[UpstreamId] = frozenset()
        self._listener: Listener | None = None
        self._unproven = 0
        self._closed = False
        self._sweeper: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> int:
        """Accept links.

        Args:
            host: IP address to listen on.
            port: Peer port; 0 takes any free one.

        Returns:
            The port.
        """
        self._listener = await self._transport.listen(host, port, self._accept)
        self._sweeper = self._start(self._sweep(), "link sweep")
        return self._listener.port

    def keep_links(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Keep links to these upstreams open, and to others only while they are used."""
        self._kept = frozenset(upstream_ids) - {self.local.upstream_id}
        for upstream_id in self._kept:
            peer = self._peer(upstream_id)
            if peer.keeper is None and not self._closed:
                peer.keeper = self._start(self._keep_link(upstream_id, peer), "link keeper")
        for peer in self._peers.values():
            peer.changed.set()

    def note_start_number(self, upstream_id: UpstreamId, start_number: StartNumber) -> None:
        """Learn of a process of an upstream; older ones are refused.

        A link of an older process closes at once, or when the streams under way on it have ended:
        a planned replacement starts while its predecessor still serves its last requests.
        """
        peer = self._peer(upstream_id)
        if start_number <= peer.newest:
            return
        peer.newest = start_number
        for link in list(peer.links):
            if link.peer.start_number >= start_number:
                continue
            if link.streams:
                link.drain()
            else:
                link.fail(ConnectionLost(str(upstream_id), "replaced by a newer process"))

    def connected(self) -> frozenset[UpstreamId]:
        """Return the peers that an open link reaches."""
        return frozenset(name for name, peer in self._peers.items() if peer.links)

    async def close(self, grace_ms: float = 0.0) -> None:
        """Close the port, wait for open streams, then close the links.

        Args:
            grace_ms: How long to wait for open streams.
        """
        self._closed = True
        if self._listener is not None:
            await self._listener.close()
        for peer in self._peers.values():
            for task in (peer.keeper, peer.dialling):
                if task is not None:
                    task.cancel()
        links = [link for peer in self._peers.values() for link in peer.links]
        for link in links:
            link.drain()
        await asyncio.gather(*[link.wait_for_streams(grace_ms) for link in links])
        await asyncio.gather(*[link.close("node stops") for link in links])
        for link in links:
            link.cancel_handlers()
        running = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    # Messages and streams.

    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message over the link to the peer."""
        if upstream_id == self.local.upstream_id:
            self._start(self._dispatch(self.local, decode(encode(message))), "local message")
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
        near, far = memory_stream_pair()
        if self._stream_handler is not None:
            work = self._stream_handler(self.local, decode(encode(head)), far)
            self._start(work, "local stream")
        return near

    # Links.

    async def _link_to(self, upstream_id: UpstreamId) -> Link:
        peer = self._peers.get(upstream_id)
        link = peer.chosen() if peer is not None else None
        return link or await self._open_link(upstream_id)

    async def _open_link(self, upstream_id: UpstreamId) -> Link:
        peer = self._peer(upstream_id)
        if peer.dialling is None:
            if self._closed or peer.backoff.remaining_ms(self._now_s()) > 0:
                raise PeerUnreachable(upstream_id)
            peer.dialling = self._start(self._dial(upstream_id, peer), "link dial")
        # One attempt serves all callers; a caller that gives up does not end it.
        await asyncio.wait([peer.dialling])
        link = peer.chosen()
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
                    connection, self.local, self._secret, upstream_id, self._admit
                )
            self._serve(self._add_link(connection, identity, dialed=True))
            connection = None
        except (ProtocolError, TransportError, TimeoutError) as error:
            self._on_dial_failed(upstream_id, peer, error)
        finally:
            peer.dialling = None
            if connection is not None:
                connection.abort()

    def _on_dial_failed(self, upstream_id: UpstreamId, peer: _Peer, error: Exception) -> None:
        peer.backoff.failed(self._now_s())
        self.metrics.count("link.dials_failed")
        if isinstance(error, OutdatedProcess) and error.upstream_id == self.local.upstream_id:
            self.on_superseded(StartNumber(error.newest))
        if upstream_id in self._kept and not peer.links:
            self._report(upstream_id, LinkState.UNREACHABLE, None, str(error) or "timeout")

    async def _accept(self, connection: MessageConnection) -> None:
        if self._closed or self._unproven >= UNPROVEN_LIMIT:
            self.metrics.count("link.connections_refused")
            connection.abort()
            return
        self._unproven += 1
        try:
            identity = await accept_peer(connection, self.local, self._secret, self._admit)
            link = self._add_link(connection, identity, dialed=False)
        except (ProtocolError, TransportError) as error:
            self.metrics.count("link.connections_refused")
            log(LINK_REFUSED, address=connection.peer_address, problem=str(error))
            connection.abort()
            return
        finally:
            self._unproven -= 1
        await link.run()

    def _admit(self, identity: NodeIdentity) -> None:
        newest = self._peer(identity.upstream_id).newest
        if identity.start_number < newest:
            raise OutdatedProcess(identity.upstream_id, identity.start_number, newest)

    def _add_link(
        self, connection: MessageConnection, identity: NodeIdentity, *, dialed: bool
    ) -> Link:
        """Add a link and choose between the links to the same process.

        Raises:
            OutdatedProcess: A newer process opened a link during the handshake.
        """
        self._admit(identity)
        self.note_start_number(identity.upstream_id, identity.start_number)
        peer = self._peer(identity.upstream_id)
        link = Link(connection, identity, self, self.metrics, dialed=dialed)
        first = not peer.links
        for other in peer.links:
            # The peer dials although there is an old link, so its end of that link is gone.
            if link.opened_s - other.opened_s > DIAL_TIMEOUT_MS / 1000:
                other.drain()
        peer.links.append(link)
        peer.links.sort(key=self._rank)
        if first:
            self._report(identity.upstream_id, LinkState.UP, identity.start_number, None)
        for loser in peer.links[1:]:
            loser.drain()
        log(LINK_OPENED, peer=identity.upstream_id)
        self.metrics.count("link.opened")
        return link

    def _rank(self, link: Link) -> tuple[bool, bool, float]:
        """Order links; both ends prefer the newest one that the smaller upstream id dialled."""
        dialed_by_smaller = link.dialed == (self.local.upstream_id < link.peer.upstream_id)
        return (not link.usable, not dialed_by_smaller, -link.opened_s)

    def _serve(self, link: Link) -> None:
        self._start(link.run(), f"link to {link.peer.upstream_id}")

    async def _keep_link(self, upstream_id: UpstreamId, peer: _Peer) -> None:
        try:
            while upstream_id in self._kept and not self._closed:
                peer.changed.clear()
                if peer.chosen() is not None:
                    await peer.changed.wait()
                    continue
                await asyncio.sleep(peer.backoff.remaining_ms(self._now_s()) / 1000)
                try:
                    await self._open_link(upstream_id)
                except PeerUnreachable:
                    continue
        finally:
            peer.keeper = None

    async def _sweep(self) -> None:
        """Close links that were opened on demand and are not used any more."""
        while not self._closed:
            await asyncio.sleep(SWEEP_MS / 1000)
            unused_since_s = self._now_s() - UNUSED_MS / 1000
            for upstream_id, peer in list(self._peers.items()):
                for link in list(peer.links) if upstream_id not in self._kept else ():
                    if link.dialed and link.idle and link.used_s < unused_since_s:
                        link.drain()

    # What links report.

    def on_message(self, link: Link, message: Any) -> Any:
        """Hand a control message to its handler."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(link.peer, message)

    def on_stream(self, link: Link, head: Any, stream: LinkStream) -> Coroutine[Any, Any, None]:
        """Hand a stream to the stream handler."""
        if self._stream_handler is None:
            return _refuse(stream)
        return self._stream_handler(link.peer, head, stream)

    def on_closed(self, link: Link, error: GentianError, unsent: list[LinkStream]) -> None:
        """Note that a link closed and move the streams of which nothing was sent."""
        upstream_id = link.peer.upstream_id
        peer = self._peer(upstream_id)
        if link in peer.links:
            peer.links.remove(link)
        self.metrics.count("link.closed")
        log(LINK_CLOSED, peer=upstream_id, problem=str(error))
        if not peer.links:
            self._pace(peer, link)
            silent = isinstance(error, ConnectionSilent)
            state = LinkState.SILENT if silent else LinkState.DOWN
            self._report(upstream_id, state, link.peer.start_number, str(error))
        if unsent:
            self._start(self._move(upstream_id, error, unsent), "stream move")
        peer.changed.set()

    def _pace(self, peer: _Peer, link: Link) -> None:
        """Pause before the next link where this one failed soon after it opened."""
        now_s = self._now_s()
        if now_s - link.opened_s >= STABLE_MS / 1000:
            peer.backoff.reset()
        else:
            peer.backoff.failed(now_s)

    async def _move(
        self, upstream_id: UpstreamId, error: GentianError, unsent: list[LinkStream]
    ) -> None:
        # A young link leaves a pause behind; the shortest one is waited for, a longer one is not.
        pause_ms = self._peer(upstream_id).backoff.remaining_ms(self._now_s())
        await asyncio.sleep(min(pause_ms, BACKOFF_MS) / 1000)
        try:
            target = await self._link_to(upstream_id)
        except PeerUnreachable:
            target = None
        for stream in unsent:
            if target is None or stream.moved or not target.usable:
                stream.end(str(error))
            elif not stream.ended:
                self._adopt(target, stream)

    def _adopt(self, target: Link, stream: LinkStream) -> None:
        try:
            target.adopt(stream)
            self.metrics.count("link.streams_moved")
        except ConnectionLost as error:
            stream.end(str(error))

    def _report(
        self,
        upstream_id: UpstreamId,
        state: LinkState,
        start_number: StartNumber | None,
        problem: str | None,
    ) -> None:
        try:
            self.link_events.on_next(LinkEvent(upstream_id, state, start_number, problem))
        except Exception as error:
            # An observer's fault must not keep the link from being closed or used.
            log(TASK_FAILED, task="observer of link events", error=repr(error))

    def _peer(self, upstream_id: UpstreamId) -> _Peer:
        peer = self._peers.get(upstream_id)
        if peer is None:
            peer = self._peers[upstream_id] = _Peer(self._random)
        return peer

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _start(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task:
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))


async def _refuse(stream: LinkStream) -> None:
    stream.abort("no streams are accepted here")
