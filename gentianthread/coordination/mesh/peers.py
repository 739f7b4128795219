"""Keep links to the nodes beside other upstreams, by the address of their instance."""

import asyncio
from collections.abc import Callable
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
from ...transport.connections import Listener
from ...transport.direct_websocket import DirectTransport, DirectWebSocket
from .peer_link import ASK_MS, MESSAGE_LIMIT_BYTES, PeerLink, Runner, Starter

# Opening a link takes four round trips; between zones that is under 60 ms.
DIAL_TIMEOUT_MS = 350.0

# Wait after a failed dial, doubled for each further one up to the second figure. Dials after the
# first failure are made in the background, so that no request waits for them.
BACKOFF_MS = (200.0, 1_000.0)

# How often links with requests under way are looked at.
WATCH_MS = 100.0


class PeerLinks:
    """Open links on demand, accept those of others, and watch those with requests under way.

    Attributes:
        version: Version of the messages; peers with another one are refused.
        runner: Runs a request that a peer sent.
        handlers: Called with the link and each message of a type.
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
    ):
        """Create links; `open` starts to accept.

        Args:
            local: Identity of this node; its upstream id is the address of its instance.
            secret: The fleet secret; empty where the deployment has none.
            peer_port: Port at which every node is reached.
            transport: Opens connections.
            clock: Clock of silences and backoff.
            metrics: Counts links.
            random: Source of jitter.
        """
        self.local = local
        self.version = MESH_VERSION
        self.clock = clock
        self.metrics = metrics
        self.runner: Runner = _refuse_all
        # Starts a request that needs no task, or returns None; it calls back with the answer.
        self.starter: Starter = lambda request, deliver: None
        self.handlers: dict[type, Callable[[PeerLink, Any], None]] = {}
        self.probe: Callable[..., Probe] = lambda reply: Probe(0, False, reply)
        # Returns the revision of the documents that this node knows.
        self.revision: Callable[[], int] = lambda: 0
        # Returns whether the platform lists an upstream at an address.
        self.is_listed: Callable[[str], bool] = lambda host: True
        # Returns whether an address is that of an instance in another availability zone.
        self.is_in_other_zone: Callable[[str], bool] = lambda host: False
        # Called with the link and the revision of the documents that a peer knows.
        self.on_revision: Callable[[PeerLink, int], None] = lambda link, revision: None
        self._secret = secret
        self._peer_port = peer_port
        self._transport = transport
        self._random = random
        self._dialled: dict[str, PeerLink] = {}
        self._accepted: dict[str, PeerLink] = {}
        self._dialling: dict[str, asyncio.Task] = {}
        self._backoff: dict[str, tuple[float, float]] = {}
        self._watched: set[PeerLink] = set()
        self._tasks: set[asyncio.Task] = set()
        self._listener: Listener | None = None

    async def open(self, host: str, port: int) -> None:
        """Accept links.

        Args:
            host: IP address.
            port: TCP port; others reach it as the peer port.

        Raises:
            OSError: The port cannot be listened on.
        """
        self._listener = await self._transport.listen(host, port, self._accept)
        self._spawn(self._watch())

    def links(self) -> list[PeerLink]:
        """Return all open links."""
        return [*self._dialled.values(), *self._accepted.values()]

    def reachable(self, host: str) -> bool:
        """Return whether new work may go to a peer."""
        link = self._dialled.get(host)
        if link is not None:
            return not link.silent and not link.leaving
        accepted = self._accepted.get(host)
        if accepted is not None and accepted.leaving:
            return False
        return host not in self._backoff

    def open_link(self, host: str) -> PeerLink | None:
        """Return the link to a peer if it is open and the peer was not found silent."""
        link = self._dialled.get(host)
        return None if link is None or link.closed or link.silent else link

    async def link_to(self, host: str) -> PeerLink:
        """Return the link to a peer, opening it if needed.

        Raises:
            PeerUnreachable: The peer does not answer; nothing was sent.
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
        link = self._dialled.get(host)
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
            connection.raise_limit(MESSAGE_LIMIT_BYTES)
            self._add(PeerLink(host, connection, self, dialled=True))
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
        last_ms, _ = self._backoff.get(host, (BACKOFF_MS[0] / 2, 0.0))
        wait_ms = min(BACKOFF_MS[1], last_ms * 2)
        until_ms = self.clock.now_ms() + wait_ms * (0.75 + 0.5 * self._random.random())
        self._backoff[host] = (wait_ms, until_ms)

    def _redial(self, now_ms: float) -> None:
        """Dial the peers whose backoff is over, and forget those that are no longer listed."""
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
        connection.raise_limit(MESSAGE_LIMIT_BYTES)
        link = PeerLink(str(identity.upstream_id), connection, self, dialled=False)
        # A peer that dials again has lost its end, or has started anew.
        self._backoff.pop(link.host, None)
        self._add(link)
        await link.wait_ended()

    def _add(self, link: PeerLink) -> None:
        links = self._dialled if link.dialled else self._accepted
        before = links.get(link.host)
        if before is not None and link.dialled:
            before.retired = True
            self.watch(before)
        links[link.host] = link
        self.metrics.count("peers.opened")
        log(PEER_OPENED, peer=link.host)
        link.post(self.probe(reply=True))
        link.start()

    def ended(self, link: PeerLink, problem: str) -> None:
        """Forget a link that closed."""
        links = self._dialled if link.dialled else self._accepted
        if links.get(link.host) is link:
            del links[link.host]
            if link.dialled and link.silent:
                self._back_off(link.host)
        self._watched.discard(link)
        log(PEER_CLOSED, peer=link.host, problem=problem)

    def on_message(self, link: PeerLink, message: Any) -> None:
        """Hand a message to its handler."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def found_silent(self, link: PeerLink) -> None:
        """Dial a peer anew whose link went silent; new connections may work."""
        host = link.host
        if link.dialled and not link.retired and host not in self._dialling:
            self._dialling[host] = self._spawn(self._dial(host))

    def watch(self, link: PeerLink) -> None:
        """Look after a link while it has requests under way."""
        self._watched.add(link)

    async def _watch(self) -> None:
        looked_ms = self.clock.now_ms()
        while True:
            await self.clock.sleep_ms(WATCH_MS)
            now_ms = self.clock.now_ms()
            self._redial(now_ms)
            late_ms = now_ms - looked_ms - WATCH_MS
            looked_ms = now_ms
            for link in list(self._watched):
                if late_ms > ASK_MS:
                    # This process was paused; its peers could not be heard.
                    link.restart_silence(now_ms)
                if link.calls or (link.silent and not link.retired):
                    link.check_silence(now_ms)
                    continue
                self._watched.discard(link)
                if link.retired:
                    self._spawn(link.close())

    def _spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
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


async def _refuse_all(request: RunRequest) -> RunAnswer:
    raise GentianError("no target")
