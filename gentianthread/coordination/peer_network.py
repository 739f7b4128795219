"""Carry messages and request streams between nodes."""

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

    A handler receives the proven identity of the sender and the message. What a handler returns is
    the answer to a `request`; for one-way messages it is ignored.
    """

    def __init__(self, local: NodeIdentity):
        """Create a network end.

        Args:
            local: Identity of the local node.
        """
        self.local = local
        self._handlers: dict[type, Handler] = {}
        self._stream_handler: StreamHandler | None = None

    def accept_streams(self, handler: StreamHandler) -> None:
        """Set the handler that gets the sender, the opening head and the stream."""
        self._stream_handler = handler

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Set the handler of a message type.

        Raises:
            ValueError: The type has a handler.
        """
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} has a handler")
        self._handlers[message_type] = handler

    @abstractmethod
    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message; it can be lost, delayed or doubled.

        Raises:
            PeerUnreachable: No connection to the peer can be opened.
        """

    @abstractmethod
    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a message and return the answer of the peer's handler.

        Args:
            upstream_id: The peer.
            message: A registered message.
            timeout_ms: How long to wait, in ms.

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
        """Open a request stream, send its body and finish; a short one travels in one message.

        Args:
            upstream_id: The peer.
            head: The opening message.
            body: The whole body.
            summary: A message that the other end finds in `summary`.

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
        """Return the peers that an open, live link reaches."""

    async def _dispatch(self, sender: NodeIdentity, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        result = handler(sender, message)
        return await result if asyncio.iscoroutine(result) else result


@attrs.define
class PathConditions:
    """Set the behaviour of the path between two upstreams, in one direction.

    Attributes:
        delay_ms: Fixed delay of each message.
        jitter_ms: Largest random delay on top.
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
    """Connect memory networks inside one process; every fault is drawn from one seed."""

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
        self.members: dict[UpstreamId, MemoryPeerNetwork] = {}
        self.sent_messages = 0
        self.sent_bytes = 0
        self._tasks: set[asyncio.Task] = set()

    def attach(self, local: NodeIdentity) -> "MemoryPeerNetwork":
        """Add a node; a newer process of the same upstream takes the address over."""
        network = MemoryPeerNetwork(local, self)
        self.members[local.upstream_id] = network
        return network

    def detach(self, network: "MemoryPeerNetwork") -> None:
        """Remove a node as if its process had died."""
        if self.members.get(network.local.upstream_id) is network:
            del self.members[network.local.upstream_id]
        network.closed = True

    def conditions_between(self, source: UpstreamId, destination: UpstreamId) -> PathConditions:
        """Return the rules of one direction."""
        return self.conditions.get((source, destination), self.default_conditions)

    def cut(self, group: set[UpstreamId], other: set[UpstreamId]) -> None:
        """Cut all paths between two groups, in both directions."""
        for first in group:
            for second in other:
                self.conditions[first, second] = PathConditions(cut=True)
                self.conditions[second, first] = PathConditions(cut=True)

    def heal(self) -> None:
        """Restore the default rules on every path."""
        self.conditions.clear()

    def post(
        self, source: "MemoryPeerNetwork", destination: UpstreamId, data: bytes, deliver
    ) -> None:
        """Deliver data after the delay of the path, or lose or double it."""
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
        receiver = self.members.get(destination)
        if receiver is None or receiver.closed:
            return
        # A paused process receives what arrived meanwhile when it wakes.
        await receiver.running.wait()
        await deliver(receiver, decode(data))

    async def close(self) -> None:
        """Cancel what is under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class MemoryPeerNetwork(PeerNetwork):
    """Reach the nodes of one `MemoryFabric`."""

    def __init__(self, local: NodeIdentity, fabric: MemoryFabric):
        """Use `MemoryFabric.attach` to create one."""
        super().__init__(local)
        self.fabric = fabric
        self.closed = False
        self.running = asyncio.Event()
        self.running.set()

    async def send(self, upstream_id: UpstreamId, message: Any) -> None:
        """Send a one-way message through the fabric."""
        if upstream_id not in self.fabric.members:
            raise PeerUnreachable(upstream_id)

        async def deliver(receiver: MemoryPeerNetwork, received: Any) -> None:
            await receiver._dispatch(self.local, received)

        self.fabric.post(self, upstream_id, encode(message), deliver)

    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a message through the fabric and wait for the answer."""
        if upstream_id not in self.fabric.members:
            raise PeerUnreachable(upstream_id)
        answered: asyncio.Future = asyncio.get_running_loop().create_future()

        async def accept(receiver: MemoryPeerNetwork, received: Any) -> None:
            if not answered.done():
                answered.set_result(received)

        async def deliver(receiver: MemoryPeerNetwork, received: Any) -> None:
            answer = await receiver._dispatch(self.local, received)
            if answer is not None:
                origin = self.local.upstream_id
                self.fabric.post(receiver, origin, encode(answer), accept)

        self.fabric.post(self, upstream_id, encode(message), deliver)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await answered
        except TimeoutError:
            raise PeerTimeout(upstream_id, timeout_ms) from None

    async def open_stream(self, upstream_id: UpstreamId, head: Any) -> Stream:
        """Join two memory ends after the delay of the path."""
        receiver = self.fabric.members.get(upstream_id)
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
        """Return the nodes that no cut separates from this one."""
        local_id = self.local.upstream_id
        return frozenset(
            other
            for other in self.fabric.members
            if other != local_id
            and not self.fabric.conditions_between(local_id, other).cut
            and not self.fabric.conditions_between(other, local_id).cut
        )
