"""Define how nodes exchange messages and request streams, and simulate it in memory."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from ..clock import Clock, LoopClock
from ..errors import PeerTimeout, PeerUnreachable
from ..ids import NodeIdentity, UpstreamId
from ..protocol.codec import decode, encode
from ..protocol.streams import Stream, memory_stream_pair

M = TypeVar("M")

Handler = Callable[[NodeIdentity, Any], Awaitable[Any] | Any]
StreamHandler = Callable[[NodeIdentity, Any, Stream], Awaitable[None]]


class PeerNetwork(ABC):
    """Send typed messages to the nodes of other upstreams.

    A handler receives the authenticated identity of the sender and the message. Its return value is
    the answer to a `request` and is ignored for one-way messages.

    Attributes:
        local: Identity of the local node.
    """

    def __init__(self, local: NodeIdentity):
        """Create a network endpoint.

        Args:
            local: Identity of the local node.
        """
        self.local = local
        self._handlers: dict[type, Handler] = {}
        self._stream_handler: StreamHandler | None = None

    def accept_streams(self, handler: StreamHandler) -> None:
        """Set the handler that receives the sender, the opening message and the stream."""
        self._stream_handler = handler

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Set the handler of a message type.

        Raises:
            ValueError: The type already has a handler.
        """
        if message_type in self._handlers:
            raise ValueError(f"message type {message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    @abstractmethod
    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message, which can be lost, delayed or duplicated.

        Raises:
            PeerUnreachable: No connection to the peer can be opened.
        """

    @abstractmethod
    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a message and return the answer of the peer's handler.

        Args:
            upstream_id: The peer.
            message: A registered message.
            timeout_ms: Maximum time to wait for the answer.

        Raises:
            PeerUnreachable: No connection to the peer can be opened.
            PeerTimeout: No answer came in time; the peer may have handled the message.
        """

    @abstractmethod
    async def open_stream(self, upstream_id: UpstreamId, head: Any) -> Stream:
        """Open a request stream.

        Args:
            upstream_id: The peer.
            head: The opening message.

        Raises:
            PeerUnreachable: No connection can be opened; nothing was sent.
        """

    async def open_whole(
        self, upstream_id: UpstreamId, head: Any, body: bytes = b"", summary: Any = None
    ) -> Stream:
        """Open a request stream, send its body and finish it; a short request fits in one message.

        Args:
            upstream_id: The peer.
            head: The opening message.
            body: The whole body.
            summary: A message that the peer reads from the attribute `summary` of its stream.

        Raises:
            PeerUnreachable: No connection can be opened; nothing was sent.
            StreamAborted: The stream ended early; its head may have been sent.
        """
        stream = await self.open_stream(upstream_id, head)
        if body:
            await stream.send_chunk(body)
        await stream.finish(summary)
        return stream

    @abstractmethod
    def connected(self) -> frozenset[UpstreamId]:
        """Return the peers to which a live link is open."""

    async def _dispatch(self, sender: NodeIdentity, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        result = handler(sender, message)
        return await result if asyncio.iscoroutine(result) else result


@attrs.define
class PathConditions:
    """Define delay, loss and duplication on the path from one upstream to another.

    Attributes:
        delay_ms: Fixed delay of each message.
        jitter_ms: Upper bound of the random delay that is added.
        loss: Probability that a message is lost.
        duplication: Probability that a message is delivered twice.
        cut: Whether every message is lost.
    """

    delay_ms: float = 0.5
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    cut: bool = False


class MemoryFabric:
    """Simulate the network between nodes in one process; one seed determines all faults.

    Attributes:
        random: Generator of delays, losses and duplications.
        clock: Clock of the delays.
        default_conditions: Conditions of the paths that have none of their own.
        conditions: Conditions of single paths, by source and destination.
        networks: Endpoint of the newest process of each upstream.
        sent_messages: Number of messages sent.
        sent_bytes: Total size of the messages sent.
    """

    def __init__(self, seed: int = 0, clock: Clock | None = None):
        """Create a fabric.

        Args:
            seed: Seed of delays, losses and duplications.
            clock: Clock of the delays; the event loop's by default.
        """
        self.random = random.Random(seed)
        self.clock = clock or LoopClock()
        self.default_conditions = PathConditions()
        self.conditions: dict[tuple[UpstreamId, UpstreamId], PathConditions] = {}
        self.networks: dict[UpstreamId, MemoryPeerNetwork] = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self._tasks: set[asyncio.Task] = set()

    def attach(self, local: NodeIdentity) -> "MemoryPeerNetwork":
        """Add a node; a newer process of the same upstream replaces the older one."""
        network = MemoryPeerNetwork(local, self)
        self.networks[local.upstream_id] = network
        return network

    def detach(self, network: "MemoryPeerNetwork") -> None:
        """Remove a node as if its process had died."""
        if self.networks.get(network.local.upstream_id) is network:
            del self.networks[network.local.upstream_id]
        network.closed = True

    def conditions_between(self, source: UpstreamId, destination: UpstreamId) -> PathConditions:
        """Return the conditions on the path from a source to a destination."""
        return self.conditions.get((source, destination), self.default_conditions)

    def cut(self, group: set[UpstreamId], other: set[UpstreamId]) -> None:
        """Cut all paths between two groups in both directions."""
        for first in group:
            for second in other:
                self.conditions[first, second] = PathConditions(cut=True)
                self.conditions[second, first] = PathConditions(cut=True)

    def heal(self) -> None:
        """Restore the default conditions on every path."""
        self.conditions.clear()

    def post(
        self, source: "MemoryPeerNetwork", destination: UpstreamId, data: bytes, deliver
    ) -> None:
        """Schedule the delivery of data after the delay of the path, or lose or duplicate it."""
        conditions = self.conditions_between(source.local.upstream_id, destination)
        self.sent_messages += 1
        self.sent_bytes += len(data)
        if conditions.cut or self.random.random() < conditions.loss:
            return
        copies = 2 if self.random.random() < conditions.duplication else 1
        for _ in range(copies):
            delay_ms = conditions.delay_ms + self.random.random() * conditions.jitter_ms
            task = asyncio.ensure_future(
                self._deliver(source, destination, data, delay_ms, deliver)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(self, source, destination, data, delay_ms, deliver) -> None:
        await self.clock.sleep_ms(delay_ms)
        receiver = self.networks.get(destination)
        if receiver is None or receiver.closed:
            return
        # A paused process receives the messages that arrived meanwhile when it resumes.
        await receiver.running.wait()
        await deliver(receiver, decode(data))

    async def close(self) -> None:
        """Cancel all pending deliveries."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class MemoryPeerNetwork(PeerNetwork):
    """Send messages to the nodes of one `MemoryFabric`.

    Attributes:
        fabric: The simulated network.
        closed: Whether the node was removed.
        running: Event that is cleared while the process is paused.
    """

    def __init__(self, local: NodeIdentity, fabric: MemoryFabric):
        """Create an endpoint; use `MemoryFabric.attach` instead."""
        super().__init__(local)
        self.fabric = fabric
        self.closed = False
        self.running = asyncio.Event()
        self.running.set()

    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message through the fabric."""
        if upstream_id not in self.fabric.networks:
            raise PeerUnreachable(upstream_id)

        async def deliver(receiver: MemoryPeerNetwork, received: Any) -> None:
            await receiver._dispatch(self.local, received)

        self.fabric.post(self, upstream_id, encode(message), deliver)

    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a message through the fabric and wait for the answer."""
        if upstream_id not in self.fabric.networks:
            raise PeerUnreachable(upstream_id)
        answer_future: asyncio.Future = asyncio.get_running_loop().create_future()

        async def resolve(receiver: MemoryPeerNetwork, received: Any) -> None:
            if not answer_future.done():
                answer_future.set_result(received)

        async def deliver(receiver: MemoryPeerNetwork, received: Any) -> None:
            answer = await receiver._dispatch(self.local, received)
            if answer is not None:
                origin = self.local.upstream_id
                self.fabric.post(receiver, origin, encode(answer), resolve)

        self.fabric.post(self, upstream_id, encode(message), deliver)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await answer_future
        except TimeoutError:
            raise PeerTimeout(upstream_id, timeout_ms) from None

    async def open_stream(self, upstream_id: UpstreamId, head: Any) -> Stream:
        """Open a stream in memory; the peer receives its end after the delay of the path."""
        receiver = self.fabric.networks.get(upstream_id)
        if (
            receiver is None
            or self.fabric.conditions_between(self.local.upstream_id, upstream_id).cut
        ):
            raise PeerUnreachable(upstream_id)
        local_end, remote_end = memory_stream_pair()

        async def deliver(receiver: MemoryPeerNetwork, received: Any) -> None:
            if receiver._stream_handler is not None:
                await receiver._stream_handler(self.local, received, remote_end)

        self.fabric.post(self, upstream_id, encode(head), deliver)
        return local_end

    def connected(self) -> frozenset[UpstreamId]:
        """Return the nodes to which no path is cut in either direction."""
        local_id = self.local.upstream_id
        return frozenset(
            other
            for other in self.fabric.networks
            if other != local_id
            and not self.fabric.conditions_between(local_id, other).cut
            and not self.fabric.conditions_between(other, local_id).cut
        )
