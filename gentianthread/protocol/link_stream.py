"""Implement the streams of a link, each of which carries one request and its answer."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..errors import FrameError, MessageError, StreamAborted
from .codec import decode, encode
from .frames import FRAME_LIMIT_BYTES, FrameKind, frame_header
from .streams import CHUNK_LIMIT_BYTES, STREAM_CREDIT_BYTES, Stream

if TYPE_CHECKING:
    from .link import Link

# Bytes that a stream may have queued for sending. Senders wait above this, so that an abort drops
# the rest of a body before it is queued.
STREAM_QUEUE_LIMIT_BYTES = 4 * CHUNK_LIMIT_BYTES

# Consumed bytes are returned as credit in steps of this size: one CREDIT frame for four chunks.
CREDIT_STEP_BYTES = STREAM_CREDIT_BYTES // 4

PROBLEM_LIMIT_BYTES = 256

_HEAD, _DATA, _FINISH = int(FrameKind.HEAD), int(FrameKind.DATA), int(FrameKind.FINISH)
_OPEN, _ABORT = int(FrameKind.OPEN), int(FrameKind.ABORT)


class Notifier:
    """Wake every task that waits for a condition; the tasks check it again themselves."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future] = []

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            raise

    def notify(self) -> None:
        """Wake all waiting tasks."""
        if self._waiters:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)


def encode_head(head: Any) -> bytes:
    """Encode a head or a summary.

    Raises:
        MessageError: The encoded message does not fit into a frame.
    """
    data = encode(head)
    if len(data) > FRAME_LIMIT_BYTES:
        raise MessageError(type(head).__name__, f"{len(data)} bytes exceed {FRAME_LIMIT_BYTES}")
    return data


class LinkStream(Stream):
    """Act as one end of a stream of a link.

    Outgoing frames are queued in the stream and get their stream id only when the link sends them,
    so that a stream of which nothing was sent can move to another link.
    """

    def __init__(self, link: "Link", stream_id: int, *, opened_locally: bool, head: Any = None):
        """Create the stream; applications call `Link.open_stream` instead.

        Args:
            link: The link that carries the stream.
            stream_id: Id of the stream on the link.
            opened_locally: Whether this end opened the stream.
            head: The received opening head, if the peer opened the stream.
        """
        self.link = link
        self.stream_id = stream_id
        self.opened_locally = opened_locally
        self.moved = False
        self.scheduled = False
        self._may_have_sent = not opened_locally
        self._outgoing_frames: deque[tuple[int, bytes]] = deque()
        self._queued_bytes = 0
        self._send_credit_bytes = STREAM_CREDIT_BYTES
        self._head_sent = opened_locally
        self._finish_sent = False
        self._peer_head = head
        self._unread_chunks: deque[bytes] = deque()
        self._receive_credit_bytes = STREAM_CREDIT_BYTES
        self._consumed_bytes = 0
        self._peer_finished = False
        self._peer_summary: Any = None
        self._end_reason: str | None = None
        self._send_ready = Notifier()
        self._receive_ready = Notifier()
        self._abort_notifier = Notifier()
        self._abort_callback: Callable[[], None] | None = None

    # Methods for the application.

    async def send_head(self, head: Any) -> None:
        """Queue the head of an answer; the opening head is sent by `Link.open_stream`."""
        self._check_open()
        if not self._head_sent:
            self._head_sent = True
            self._queue_frame(_HEAD, encode_head(head))

    async def send_chunk(self, data: bytes) -> None:
        """Queue body bytes, waiting for credit and for room in the queues."""
        if len(data) <= CHUNK_LIMIT_BYTES:
            if data:
                await self._send_one_chunk(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), CHUNK_LIMIT_BYTES):
            await self._send_one_chunk(view[start : start + CHUNK_LIMIT_BYTES])

    async def _send_one_chunk(self, chunk: bytes | memoryview) -> None:
        length = len(chunk)
        self._check_sending()
        while (
            self._send_credit_bytes < length
            or self._queued_bytes >= STREAM_QUEUE_LIMIT_BYTES
            or self.link.queue_full()
        ):
            await self._send_ready.wait()
            self._check_sending()
        self._send_credit_bytes -= length
        self._queue_frame(_DATA, chunk)

    async def finish(self, summary: Any = None) -> None:
        """Queue the FINISH frame, which ends this direction."""
        self._check_sending()
        data = b"" if summary is None else encode_head(summary)
        self._finish_sent = True
        self._queue_frame(_FINISH, data)
        self._remove_if_complete()

    async def receive_head(self) -> Any:
        """Return the other end's head, waiting for it if necessary."""
        while self._peer_head is None:
            self._check_open()
            if self._peer_finished:
                raise StreamAborted("finished without a head")
            await self._receive_ready.wait()
        return self._peer_head

    async def receive_chunk(self) -> bytes | None:
        """Return the next body bytes and give credit for them back to the sender."""
        while not self._unread_chunks:
            if self._peer_finished:
                return None
            self._check_open()
            await self._receive_ready.wait()
        chunk = self._unread_chunks.popleft()
        self.link.change_unread_bytes(-len(chunk))
        self._consumed_bytes += len(chunk)
        if self._consumed_bytes >= CREDIT_STEP_BYTES and not self._peer_finished:
            self._receive_credit_bytes += self._consumed_bytes
            self.link.send_credit(self.stream_id, self._consumed_bytes)
            self._consumed_bytes = 0
        return chunk

    def receive_rest_nowait(self) -> bytes | None:
        """Return all unread bytes of a finished body, or None if it is not finished."""
        if not self._peer_finished:
            return None
        data = b"".join(self._unread_chunks)
        self._unread_chunks.clear()
        self.link.change_unread_bytes(-len(data))
        return data

    @property
    def summary(self) -> Any:
        """Return the message that came with the other end's FINISH frame, or None."""
        return self._peer_summary

    def abort(self, problem: str) -> None:
        """End both directions and drop what is queued or unread."""
        if self._end_reason is not None:
            return
        complete = self._finish_sent and self._peer_finished
        self._drop_unread()
        if complete:
            # The FINISH frame may still be queued; it must reach the other end.
            self._end_reason = problem
            self._notify_abort()
            return
        if self._may_have_sent:
            text = problem.encode()[:PROBLEM_LIMIT_BYTES]
            self.link.send_control(_ABORT, self.stream_id, text)
        self.end_locally(problem)

    def _notify_abort(self) -> None:
        self._abort_notifier.notify()
        callback, self._abort_callback = self._abort_callback, None
        if callback is not None:
            callback()

    def set_abort_callback(self, callback: Callable[[], None]) -> None:
        """Call a function once when the stream ends early, or now if it has ended."""
        if self._end_reason is not None:
            callback()
        else:
            self._abort_callback = callback

    def clear_abort_callback(self) -> None:
        """Remove the function that `set_abort_callback` set."""
        self._abort_callback = None

    async def wait_until_aborted(self) -> str:
        """Wait until the stream ends early and return the problem."""
        while self._end_reason is None:
            await self._abort_notifier.wait()
        return self._end_reason

    @property
    def may_have_sent(self) -> bool:
        """Return whether the opening head may have reached the other end."""
        return self._may_have_sent

    @property
    def ended(self) -> bool:
        """Return whether the stream was aborted or lost."""
        return self._end_reason is not None

    # Methods for the link.

    def queue_opening_head(self, head: bytes) -> None:
        """Queue the opening head."""
        self._queue_frame(_OPEN, head)

    def take_frames(self, buffers: list, limit_bytes: int) -> int:
        """Move queued frames into a batch.

        Args:
            buffers: The batch, to which frame headers and payloads are appended.
            limit_bytes: Frames are taken until their total length reaches this.

        Returns:
            The total length of the frames that were taken.
        """
        taken_bytes = 0
        while self._outgoing_frames and taken_bytes < limit_bytes:
            kind, payload = self._outgoing_frames.popleft()
            length = len(payload)
            buffers.append(frame_header(kind, self.stream_id, length))
            if length:
                buffers.append(payload)
                self._queued_bytes -= length
                self.link.change_queued_bytes(-length)
            taken_bytes += length + 9
        if taken_bytes:
            self._may_have_sent = True
            self._send_ready.notify()
        return taken_bytes

    def has_queued_frames(self) -> bool:
        """Return whether frames wait to be sent."""
        return bool(self._outgoing_frames)

    def wake_senders(self) -> None:
        """Let waiting senders check again whether the link's queue has room."""
        self._send_ready.notify()

    def move_to_link(self, link: "Link", stream_id: int) -> None:
        """Move to another link; only allowed while nothing was sent."""
        self.moved = True
        self.link, self.stream_id = link, stream_id
        link.change_queued_bytes(self._queued_bytes)
        self._send_ready.notify()

    def on_head(self, payload: bytes) -> bool:
        """Store the other end's head and return whether it was expected."""
        if self._peer_head is not None or self._peer_finished or not self.opened_locally:
            return False
        self._peer_head = decode(payload)
        self._receive_ready.notify()
        return True

    def on_data(self, payload: bytes) -> bool:
        """Store received body bytes and return whether they were expected.

        Raises:
            FrameError: The chunk is empty or too long, or exceeds the credit of the peer.
        """
        if self._peer_finished:
            return False
        length = len(payload)
        if not 0 < length <= CHUNK_LIMIT_BYTES:
            raise FrameError(f"chunk of {length} bytes")
        if length > self._receive_credit_bytes:
            raise FrameError(
                f"chunk of {length} bytes with a credit of {self._receive_credit_bytes}"
            )
        self._receive_credit_bytes -= length
        self._unread_chunks.append(payload)
        self.link.change_unread_bytes(length)
        self._receive_ready.notify()
        return True

    def on_finish(self, payload: bytes) -> bool:
        """Handle the other end's FINISH frame and return whether it was expected."""
        if self._peer_finished:
            return False
        if payload:
            self._peer_summary = decode(payload)
        self._peer_finished = True
        self._receive_ready.notify()
        self._remove_if_complete()
        return True

    def on_credit(self, amount_bytes: int) -> None:
        """Add returned credit.

        Raises:
            FrameError: The peer returns more credit than was used.
        """
        self._send_credit_bytes += amount_bytes
        if self._send_credit_bytes > STREAM_CREDIT_BYTES:
            raise FrameError(f"credit of {self._send_credit_bytes} bytes")
        self._send_ready.notify()

    def end_locally(self, problem: str) -> None:
        """End the stream without sending an ABORT frame."""
        if self._end_reason is not None:
            return
        self._end_reason = problem
        self.link.change_queued_bytes(-self._queued_bytes)
        self._outgoing_frames.clear()
        self._queued_bytes = 0
        # A body whose FINISH frame has arrived is complete and stays readable.
        if not self._peer_finished:
            self._drop_unread()
        self.link.remove_stream(self)
        self._send_ready.notify()
        self._receive_ready.notify()
        self._notify_abort()

    def end_after_handler(self) -> None:
        """Abort the directions that the handler of an accepted stream did not finish."""
        if not self._finish_sent:
            self.abort("handler ended without a finish mark")
        elif not self._peer_finished and self._end_reason is None:
            # The answer is complete. The ABORT frame is queued behind it and only stops the peer
            # from sending the rest of the request body.
            self._queue_frame(_ABORT, b"body not read")
            self._drop_unread()
            self.link.remove_stream(self)

    def _queue_frame(self, kind: int, payload: bytes | memoryview) -> None:
        self._outgoing_frames.append((kind, payload))
        self._queued_bytes += len(payload)
        self.link.change_queued_bytes(len(payload))
        self.link.schedule(self)

    def _drop_unread(self) -> None:
        self.link.change_unread_bytes(-sum(map(len, self._unread_chunks)))
        self._unread_chunks.clear()

    def _remove_if_complete(self) -> None:
        if self._finish_sent and self._peer_finished:
            self.link.remove_stream(self)

    def _check_open(self) -> None:
        if self._end_reason is not None:
            raise StreamAborted(self._end_reason)

    def _check_sending(self) -> None:
        self._check_open()
        if self._finish_sent:
            raise StreamAborted("this direction is finished")
