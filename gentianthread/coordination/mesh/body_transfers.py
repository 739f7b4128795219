"""Transfer large bodies between nodes in parts, as fast as the receiver has memory for them.

A body in one message would be copied several times by either end, would hold up all other messages
of the link, and would reach a receiver that has no memory for it.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from ...errors import MessageError
from ...protocol.messages_mesh import BodyCredit, BodyOffer, BodyPart, RunAnswer, RunRequest
from ...state.memory_budget import MemoryBudget, MemoryOwner
from ...transport.memory_handover import hand_over

# Bodies of at least this size are sent in parts.
LARGE_BODY_BYTES = 64 * 1024

# Bodies of at least this size are charged while they wait for a connection.
CHARGED_BODY_BYTES = 4_096

# Length of a part.
PART_BYTES = 32 * 1024

# Bytes that a sender may be ahead of its receiver: what a path of 10 ms between zones carries at
# 50 MB/s.
WINDOW_BYTES = 512 * 1024

# Interval of the checks for free memory while bodies wait for it.
CHECK_INTERVAL_MS = 20.0

# A body whose sender does not use its permission for this long keeps no others waiting.
STALLED_MS = 1_000.0

# Longest body that is accepted; callers and targets may send 64 MB.
MAX_BODY_BYTES = 70 * 1024 * 1024

# A batch is encoded, compressed and masked as a whole, so that it is held several times.
MAX_BATCH_MESSAGES = 32
MAX_BATCH_BODY_BYTES = 512 * 1024
BATCH_PART_BYTES = 256 * 1024

# Identifies a body on a link: number of the call, and whether it belongs to the answer.
BodyKey = tuple[int, bool]


def split_batch(messages: list[Any]) -> tuple[list[Any], list[Any]]:
    """Return those of many queued messages that form the next batch, and the others."""
    end = body_bytes = 0
    while end < len(messages) and body_bytes < MAX_BATCH_BODY_BYTES:
        body_bytes += len(getattr(messages[end], "body", b""))
        end += 1
    return messages[:end], messages[end:]


@attrs.define(eq=False)
class IncomingBody:
    """Store a body that is being received.

    Attributes:
        key: Identifies it on its link.
        size: Its length.
        post: Sends a message to its sender.
        data: What was received.
        allowed: Bytes that the sender may have sent in all.
        progress_ms: When the last part or permission was sent.
    """

    key: BodyKey
    size: int
    post: Callable[[Any], None] = attrs.field(repr=False)
    data: bytearray = attrs.field(factory=bytearray, repr=False)
    allowed: int = 0
    progress_ms: float = 0.0


class BodyIntake:
    """Permit peers to send bodies, on all links of a node together.

    While memory is short, only the oldest body is received. While it is full, none is, except that
    bodies of answers may use the reserve: the requests they answer release memory.
    """

    def __init__(self, memory: MemoryBudget, now_ms: Callable[[], float]):
        """Create an intake that receives nothing.

        Args:
            memory: Memory of the process.
            now_ms: Returns the present time.
        """
        self.memory = memory
        self._now_ms = now_ms
        self._bodies: dict[IncomingBody, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, body: IncomingBody) -> None:
        """Start to receive a body."""
        body.progress_ms = self._now_ms()
        self._bodies[body] = None
        self._permit(body)

    def receive(self, body: IncomingBody, data: bytes) -> None:
        """Add a part of a body.

        Raises:
            MessageError: The sender was not permitted to send it.
        """
        if len(body.data) + len(data) > body.allowed:
            raise MessageError("BodyPart", "more than was permitted")
        body.data += data
        body.progress_ms = self._now_ms()
        self.memory.charge(MemoryOwner.LINK_IN, body, len(data))
        self._permit(body)

    def end(self, body: IncomingBody) -> None:
        """Stop to receive a body, which is complete or no longer wanted."""
        if body in self._bodies:
            del self._bodies[body]
        self.memory.release(MemoryOwner.LINK_IN, body)

    def _permit(self, body: IncomingBody) -> None:
        """Permit the sender of a body to send more, if there is memory for it."""
        if body.allowed >= body.size:
            return
        if body.allowed - len(body.data) > WINDOW_BYTES // 2:
            return
        if not self._may_receive(body):
            self._check_later()
            return
        body.allowed = min(body.size, len(body.data) + WINDOW_BYTES)
        body.progress_ms = self._now_ms()
        body.post(BodyCredit(*body.key, body.allowed))

    def _may_receive(self, body: IncomingBody) -> bool:
        memory = self.memory
        if not memory.is_short():
            return True
        _, of_answer = body.key
        if memory.is_full(0 if of_answer else memory.capacity_bytes):
            return False
        return self._oldest() is body

    def _oldest(self) -> IncomingBody | None:
        now_ms = self._now_ms()
        for body in self._bodies:
            waits = len(body.data) >= body.allowed
            if len(body.data) < body.size and (waits or now_ms - body.progress_ms <= STALLED_MS):
                return body
        return None

    def _check_later(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        self._timer = None
        # Each permission is used up only later.
        room_bytes = self.memory.room_bytes()
        for body in list(self._bodies):
            if body.allowed < body.size and len(body.data) >= body.allowed:
                if room_bytes >= WINDOW_BYTES or self._oldest() is body:
                    room_bytes -= WINDOW_BYTES
                    self._permit(body)
                else:
                    self._check_later()


@attrs.define(eq=False)
class _OutgoingBody:
    """Store a body that is being sent, with its message."""

    message: RunRequest | RunAnswer
    offered_ms: float
    body: bytes = attrs.field(repr=False)
    sent: int = 0
    allowed: int = 0


class BodyTransfers:
    """Send and receive the large bodies of one link.

    Attributes:
        sendable: Bodies of which a part may be sent, in turn.
        incoming: Bodies that are being received.
    """

    def __init__(
        self, intake: BodyIntake, post: Callable[[Any], None], now_ms: Callable[[], float]
    ):
        """Create the transfers of a link.

        Args:
            intake: Permits peers to send bodies.
            post: Queues a message for the peer.
            now_ms: Returns the present time.
        """
        self._intake = intake
        self._post = post
        self._now_ms = now_ms
        self._outgoing: dict[BodyKey, _OutgoingBody] = {}
        self.sendable: deque[BodyKey] = deque()
        self.incoming: dict[BodyKey, IncomingBody] = {}

    def offer(self, message: RunRequest | RunAnswer) -> None:
        """Announce the large body of a message; the message follows its last part."""
        key = (message.call, isinstance(message, RunAnswer))
        outgoing = _OutgoingBody(message, self._now_ms(), message.body)
        message.body = b""
        self._outgoing[key] = outgoing
        if isinstance(message, RunAnswer):
            # The body of a request is charged to the connection of its caller.
            self._intake.memory.charge(MemoryOwner.LINK_OUT, outgoing, len(outgoing.body))
        self._post(BodyOffer(*key, len(outgoing.body)))

    def next_parts(self, max_bytes: int) -> list[Any]:
        """Return the next messages to send: parts of bodies, and messages whose body is sent.

        Args:
            max_bytes: Length of all parts.
        """
        messages: list[Any] = []
        while self.sendable and max_bytes > 0:
            key = self.sendable.popleft()
            outgoing = self._outgoing.get(key)
            if outgoing is None:
                continue
            end = min(outgoing.sent + PART_BYTES, outgoing.allowed)
            part = bytes(memoryview(outgoing.body)[outgoing.sent : end])
            outgoing.sent = end
            max_bytes -= len(part)
            messages.append(BodyPart(*key, part))
            if end >= len(outgoing.body):
                self._drop_outgoing(key)
                messages.append(self._finished(outgoing))
            elif end < outgoing.allowed:
                self.sendable.append(key)
        return messages

    def _drop_outgoing(self, key: BodyKey) -> None:
        outgoing = self._outgoing.pop(key, None)
        if outgoing is not None:
            self._intake.memory.release(MemoryOwner.LINK_OUT, outgoing)

    def _finished(self, outgoing: _OutgoingBody) -> RunRequest | RunAnswer:
        message = outgoing.message
        if isinstance(message, RunRequest):
            # The time since the offer counts against the deadline of the caller.
            message.remaining_ms -= self._now_ms() - outgoing.offered_ms
        return message

    def on_credit(self, credit: BodyCredit) -> None:
        """Handle the permission to send more of a body."""
        key = (credit.call, credit.of_answer)
        outgoing = self._outgoing.get(key)
        if outgoing is None:
            return
        waits = outgoing.sent >= outgoing.allowed
        outgoing.allowed = max(outgoing.allowed, min(credit.allowed, len(outgoing.body)))
        if waits and outgoing.allowed > outgoing.sent:
            self.sendable.append(key)

    def on_offer(self, offer: BodyOffer) -> bool:
        """Handle an announced body, and return whether it is accepted."""
        key = (offer.call, offer.of_answer)
        if not 0 < offer.size <= MAX_BODY_BYTES or key in self.incoming:
            raise MessageError("BodyOffer", "invalid size or call")
        if not offer.of_answer and self._intake.memory.is_full(offer.size):
            return False
        body = self.incoming[key] = IncomingBody(key, offer.size, self._post)
        self._intake.add(body)
        return True

    def on_part(self, part: BodyPart) -> None:
        """Handle a part of a body; those of a cancelled call are dropped."""
        body = self.incoming.get((part.call, part.of_answer))
        if body is not None:
            self._intake.receive(body, part.data)

    def add_body(self, message: RunRequest | RunAnswer) -> None:
        """Add the body that was received for a message, if it has a large one."""
        body = self.take(message.call, of_answer=isinstance(message, RunAnswer))
        if body is not None:
            message.body = body

    def take(self, call: int, of_answer: bool) -> bytearray | None:
        """Return the complete body that was received for a message, if it has a large one."""
        body = self.incoming.pop((call, of_answer), None)
        if body is None:
            return None
        self._intake.end(body)
        if of_answer:
            hand_over(self._intake.memory, MemoryOwner.LINK_IN, len(body.data))
        if len(body.data) != body.size:
            raise MessageError("BodyPart", "the message came before the end of its body")
        return body.data

    @property
    def has_answers(self) -> bool:
        """Return whether an answer is not sent completely."""
        return any(of_answer for _, of_answer in self._outgoing)

    @property
    def is_idle(self) -> bool:
        """Return whether no body is being sent or received."""
        return not self._outgoing and not self.incoming

    def cancel_own(self, call: int) -> bool:
        """Drop the bodies of a call of this node, which is no longer wanted or was answered.

        Returns:
            Whether the request was not sent, as its body was not sent completely.
        """
        was_unsent = (call, False) in self._outgoing
        self._drop_outgoing((call, False))
        self._drop_incoming((call, True))
        return was_unsent

    def cancel_of_peer(self, call: int) -> None:
        """Drop the bodies of a call of the peer. Each end numbers its own calls."""
        self._drop_incoming((call, False))
        self._drop_outgoing((call, True))

    def has_body(self, call: int) -> bool:
        """Return whether a body of a call of this node is being sent or received."""
        return (call, False) in self._outgoing or (call, True) in self.incoming

    def _drop_incoming(self, key: BodyKey) -> None:
        body = self.incoming.pop(key, None)
        if body is not None:
            self._intake.end(body)

    def close(self) -> None:
        """Drop all bodies."""
        for key in list(self._outgoing):
            self._drop_outgoing(key)
        self.sendable.clear()
        for body in self.incoming.values():
            self._intake.end(body)
        self.incoming.clear()
