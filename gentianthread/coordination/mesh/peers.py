"""Manage the links to other nodes, by the address of their instance."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from ...clock import Clock
from ...errors import (
    GentianError,
    PeerUnreachable,
    ProtocolError,
    TransportError,
)
from ...events import PEER_CLOSED, PEER_OPENED, TASK_FAILED
from ...ids import NodeIdentity, UpstreamId
from ...logs import log
from ...metrics import Metrics
from ...protocol.handshake import accept_peer, dial_peer
from ...protocol.messages_mesh import MESH_VERSION, Probe, RunAnswer, RunRequest
from ...state.memory_budget import MemoryBudget
from ...transport.connections import Listener
from ...transport.direct_websocket import DirectTransport, DirectWebSocket
from .body_transfers import BodyIntake
from .peer_call import Runner, Starter
from .peer_link import MAX_MESSAGE_BYTES, PROBE_AFTER_MS, PeerLink

# Opening a link takes four round trips, under 60 ms between zones.
DIAL_TIMEOUT_MS = 350.0

# Initial and maximum delay after a failed dial; it doubles on each failure. Dials after the first
# failure are made in the background, so that no request waits for them.
BACKOFF_RANGE_MS = (200.0, 1_000.0)

# Interval at which links with pending calls are checked for silence.
MONITOR_INTERVAL_MS = 100.0


class PeerLinks:
    """Open links on demand, accept those of peers, and monitor links with pending calls.

    Attributes:
        memory: Memory of the process.
        intake: Permits peers to send large bodies.
        version: Version of the message format; peers with another version are refused.
        runner: Runs a request of a peer in a task.
        starter: Starts a request that needs no task; returns None for others.
        handlers: Handlers by message type, called with the link and the message.
        make_probe: Returns a probe with this node's state; takes its `number` and `answers`.
        revision: Returns the revision of the documents that this node knows.
        is_listed: Returns whether the platform lists an upstream at an address.
        is_in_other_zone: Returns whether an address is in another availability zone.
        on_revision: Called with the link and the document revision that its peer knows.
    """

    def __init__(
        self,
        local: NodeIdentity,
        secret: bytes,
        peer_port: int,
        transport: DirectTransport,
        clock: Clock,
        metrics: Metrics,
        random: Random,
        memory: MemoryBudget | None = None,
    ):
        """Create the links without accepting any; see `open`.

        Args:
            local: Identity of this node; its upstream id is the address of its instance.
            secret: The fleet secret; empty where the deployment has none.
            peer_port: Port at which every node accepts links.
            transport: Opens and accepts connections.
            clock: Clock for silence detection and backoff.
            metrics: Counts opened links, failed dials and refused connections.
            random: Source of the jitter of backoff.
            memory: Memory of the process; unbounded by default.
        """
        self.local = local
        self.version = MESH_VERSION
        self.clock = clock
        self.metrics = metrics
        self.memory = MemoryBudget() if memory is None else memory
        self.intake = BodyIntake(self.memory, clock.now_ms)
        self.runner: Runner = _refuse_request
        self.starter: Starter = lambda request, deliver: None
        self.handlers: dict[type, Callable[[PeerLink, Any], None]] = {}
        self.make_probe: Callable[..., Probe] = partial(Probe, 0, False)
        self.revision: Callable[[], int] = lambda: 0
        self.is_listed: Callable[[str], bool] = lambda host: True
        self.is_in_other_zone: Callable[[str], bool] = lambda host: False
        self.on_revision: Callable[[PeerLink, int], None] = lambda link, revision: None
        self._secret = secret
        self._peer_port = peer_port
        self._transport = transport
        self._random = random
        self._dialled: dict[str, PeerLink] = {}
        self._accepted: dict[str, PeerLink] = {}
        self._dialling: dict[str, asyncio.Task] = {}
        self._backoff: dict[str, tuple[float, float]] = {}
        self._monitored: set[PeerLink] = set()
        self._tasks: set[asyncio.Task] = set()
        self._listener: Listener | None = None

    async def open(self, host: str, port: int) -> None:
        """Start to accept links and to monitor them.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on; peers connect to it through the peer port.

        Raises:
            OSError: The port cannot be listened on.
        """
        self._listener = await self._transport.listen(host, port, self._accept)
        self._spawn(self._monitor_links())

    def links(self) -> list[PeerLink]:
        """Return all open links."""
        return [*self._dialled.values(), *self._accepted.values()]

    @property
    def busy(self) -> bool:
        """Return whether an answer to a peer is not sent completely."""
        return any(link.has_unsent_answers for link in self.links())

    def reachable(self, host: str) -> bool:
        """Return whether new requests may be sent to a peer."""
        link = self._dialled.get(host)
        if link is not None:
            return not link.silent and not link.leaving
        accepted = self._accepted.get(host)
        if accepted is not None and accepted.leaving:
            return False
        return host not in self._backoff

    def open_link(self, host: str) -> PeerLink | None:
        """Return the link to a peer if one is open and not silent."""
        link = self._dialled.get(host)
        return None if link is None or link.closed or link.silent else link

    async def link_to(self, host: str) -> PeerLink:
        """Return the link to a peer, after opening it if needed.

        Raises:
            PeerUnreachable: No link can be opened; nothing was sent.
        """
        link = self.open_link(host)
        if link is not None:
            return link
        task = self._dialling.get(host)
        if task is None:
            if host in self._backoff:
                raise PeerUnreachable(UpstreamId(host))
            task = self._dialling[host] = self._spawn(self._dial(host))
        await asyncio.wait([task])
        # After a failed dial the silent link that it was to replace is still there.
        link = self.open_link(host)
        if link is None:
            raise PeerUnreachable(UpstreamId(host))
        return link

    async def _dial(self, host: str) -> None:
        connection: DirectWebSocket | None = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000):
                connection = await self._transport.connect(host, self._peer_port)
                await dial_peer(
                    connection,
                    self.local,
                    self._secret,
                    UpstreamId(host),
                    lambda _: None,
                    self.version,
                )
            connection.raise_limit(MAX_MESSAGE_BYTES)
            self._register(PeerLink(host, connection, self, dialled=True))
            connection = None
            self._backoff.pop(host, None)
        except (ProtocolError, TransportError, TimeoutError, OSError) as error:
            self.metrics.count("peers.dials_failed")
            if host not in self._backoff:
                log(PEER_CLOSED, peer=host, problem=f"no link: {error or type(error).__name__}")
            self._back_off(host)
        finally:
            self._dialling.pop(host, None)
            if connection is not None:
                connection.abort()

    def _back_off(self, host: str) -> None:
        last_ms, _ = self._backoff.get(host, (BACKOFF_RANGE_MS[0] / 2, 0.0))
        wait_ms = min(BACKOFF_RANGE_MS[1], last_ms * 2)
        until_ms = self.clock.now_ms() + wait_ms * (0.75 + 0.5 * self._random.random())
        self._backoff[host] = (wait_ms, until_ms)

    def _retry_dials(self, now_ms: float) -> None:
        """Dial peers whose backoff has expired, and drop those that are no longer listed."""
        for host, (_, until_ms) in list(self._backoff.items()):
            if not self.is_listed(host):
                del self._backoff[host]
            elif now_ms >= until_ms and host not in self._dialling:
                self._dialling[host] = self._spawn(self._dial(host))

    async def _accept(self, connection: DirectWebSocket) -> None:
        try:
            identity = await accept_peer(
                connection, self.local, self._secret, lambda _: None, self.version
            )
        except (ProtocolError, TransportError) as error:
            self.metrics.count("peers.connections_refused")
            log(PEER_CLOSED, peer=connection.peer_address, problem=str(error))
            connection.abort()
            return
        connection.raise_limit(MAX_MESSAGE_BYTES)
        link = PeerLink(str(identity.upstream_id), connection, self, dialled=False)
        # A peer that dials again is reachable: it lost its link or restarted.
        self._backoff.pop(link.host, None)
        self._register(link)
        await link.wait_closed()

    def _register(self, link: PeerLink) -> None:
        links = self._dialled if link.dialled else self._accepted
        previous = links.get(link.host)
        if previous is not None and link.dialled:
            previous.replaced = True
            self.monitor(previous)
        links[link.host] = link
        self.metrics.count("peers.opened")
        log(PEER_OPENED, peer=link.host)
        link.post(self.make_probe())
        link.start()

    def on_link_closed(self, link: PeerLink, problem: str) -> None:
        """Remove a closed link; if it was silent, back off before the next dial."""
        links = self._dialled if link.dialled else self._accepted
        if links.get(link.host) is link:
            del links[link.host]
            if link.dialled and link.silent:
                self._back_off(link.host)
        self._monitored.discard(link)
        log(PEER_CLOSED, peer=link.host, problem=problem)

    def on_message(self, link: PeerLink, message: Any) -> None:
        """Pass a message to the handler of its type; an error in it leaves the link open."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(link, message)
        except Exception as error:
            task = f"{type(message).__name__} of {link.host}"
            log(TASK_FAILED, task=task, error=repr(error))

    def on_link_silent(self, link: PeerLink) -> None:
        """Dial the peer of a silent link again, as a new connection may work."""
        host = link.host
        if link.dialled and not link.replaced and host not in self._dialling:
            self._dialling[host] = self._spawn(self._dial(host))

    def monitor(self, link: PeerLink) -> None:
        """Check a link for silence while it has pending calls."""
        self._monitored.add(link)

    async def _monitor_links(self) -> None:
        checked_ms = self.clock.now_ms()
        while True:
            await self.clock.sleep_ms(MONITOR_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            self._retry_dials(now_ms)
            delay_ms = now_ms - checked_ms - MONITOR_INTERVAL_MS
            checked_ms = now_ms
            for link in list(self._monitored):
                if delay_ms > PROBE_AFTER_MS:
                    # This process was paused and could not receive messages.
                    link.reset_silence(now_ms)
                try:
                    self._check_link(link, now_ms)
                except Exception as error:
                    # The other links still need their checks.
                    log(TASK_FAILED, task=f"check of the link to {link.host}", error=repr(error))
                    self._monitored.discard(link)
                    link.abort()

    def _check_link(self, link: PeerLink, now_ms: float) -> None:
        """Check a link for silence, or stop to monitor it once it has no calls."""
        if link.pending_calls or (link.silent and not link.replaced):
            link.check_silence(now_ms)
            return
        self._monitored.discard(link)
        if link.replaced:
            self._spawn(link.close())

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task="peer link", error=repr(task.exception()))

    async def close(self) -> None:
        """Close all links."""
        if self._listener is not None:
            await self._listener.close()
        await asyncio.gather(*[link.close() for link in self.links()])
        for task in list(self._tasks):
            task.cancel()


async def _refuse_request(request: RunRequest) -> RunAnswer:
    raise GentianError("no target")
