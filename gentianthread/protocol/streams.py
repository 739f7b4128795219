"""Define the request stream between two nodes, and implement it within one process."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any

from ..errors import StreamAborted
from .codec import decode, encode

# Longest body chunk of one frame; longer chunks would delay the other streams of a link.
CHUNK_LIMIT_BYTES = 16 * 1024

# Bytes that a sender may have sent and the receiver not yet read, per stream and direction.
STREAM_CREDIT_BYTES = 256 * 1024


class Stream(ABC):
    """Carry one request and its answer, one in each direction.

    Each end sends one head, the chunks of a body, and a finish mark. The end that opens the stream
    passes its head on opening. A body is complete only with its finish mark; reading from a stream
    that was aborted before raises `StreamAborted`.
    """

    @abstractmethod
    async def send_head(self, head: Any) -> None:
        """Send the head of this direction.

        Raises:
            StreamAborted: The stream ended early.
        """

    @abstractmethod
    async def receive_head(self) -> Any:
        """Return the head of the other direction, waiting for it if necessary.

        Raises:
            StreamAborted: The stream ended early.
        """

    @abstractmethod
    async def send_chunk(self, data: bytes) -> None:
        """Send body bytes, waiting while the receiver has no credit left.

        Raises:
            StreamAborted: The stream ended early.
        """

    @abstractmethod
    async def receive_chunk(self) -> bytes | None:
        """Return the next body bytes, or None after the finish mark.

        Raises:
            StreamAborted: The stream ended before the finish mark.
        """

    def receive_rest_nowait(self) -> bytes | None:
        """Return the rest of the body if all of it has arrived; None otherwise. Does not wait."""
        return None

    @abstractmethod
    async def finish(self, summary: Any = None) -> None:
        """Send the finish mark, which ends this direction.

        Args:
            summary: A message for the `summary` property of the other end.

        Raises:
            StreamAborted: The stream ended early.
        """

    async def send_complete(self, head: Any, body: bytes = b"", summary: Any = None) -> None:
        """Send a head, a body and the finish mark; short ones share one message of the connection.

        Args:
            head: The head of this direction.
            body: The complete body.
            summary: A message for the `summary` property of the other end.

        Raises:
            StreamAborted: The stream ended early.
        """
        await self.send_head(head)
        if body:
            await self.send_chunk(body)
        await self.finish(summary)

    @property
    @abstractmethod
    def summary(self) -> Any:
        """Return the message that came with the other end's finish mark, or None."""

    @abstractmethod
    def abort(self, problem: str) -> None:
        """End both directions at once; the other end is notified within one link delay."""

    @abstractmethod
    async def wait_until_aborted(self) -> str:
        """Wait until either end aborts the stream and return the problem."""

    def set_abort_callback(self, callback: Callable[[], None]) -> None:
        """Call a function once when either end aborts the stream.

        Args:
            callback: Called on the event loop; must not block.
        """

        async def call_after_abort() -> None:
            await self.wait_until_aborted()
            callback()

        self._abort_task = asyncio.ensure_future(call_after_abort())

    def clear_abort_callback(self) -> None:
        """Remove the function that `set_abort_callback` set."""
        abort_task = getattr(self, "_abort_task", None)
        if abort_task is not None:
            abort_task.cancel()

    @property
    @abstractmethod
    def may_have_sent(self) -> bool:
        """Return whether the opening head may have reached the other end."""


class MemoryStream(Stream):
    """Act as one end of a stream within one process; see `memory_stream_pair`."""

    def __init__(self) -> None:
        self.other_end: MemoryStream = self
        self._peer_head: asyncio.Future = asyncio.get_running_loop().create_future()
        self._unread_chunks: deque[bytes] = deque()
        self._unread_bytes = 0
        self._peer_finished = False
        self._peer_summary: Any = None
        self._end_reason: asyncio.Future = asyncio.get_running_loop().create_future()
        self._changed = asyncio.Condition()

    async def send_head(self, head: Any) -> None:
        """Pass the head to the other end."""
        self._check_open()
        if not self.other_end._peer_head.done():
            self.other_end._peer_head.set_result(decode(encode(head)))

    async def receive_head(self) -> Any:
        """Return the other end's head, waiting for it if necessary."""
        await asyncio.wait([self._peer_head, self._end_reason], return_when=asyncio.FIRST_COMPLETED)
        if self._peer_head.done():
            return self._peer_head.result()
        raise StreamAborted(self._end_reason.result())

    async def send_chunk(self, data: bytes) -> None:
        """Pass bytes to the other end, waiting while it has its full credit unread."""
        for start in range(0, len(data), CHUNK_LIMIT_BYTES):
            await self._send_one_chunk(data[start : start + CHUNK_LIMIT_BYTES])

    async def _send_one_chunk(self, chunk: bytes) -> None:
        async with self.other_end._changed:
            while self.other_end._unread_bytes + len(chunk) > STREAM_CREDIT_BYTES:
                self._check_open()
                await self.other_end._changed.wait()
            self._check_open()
            self.other_end._unread_chunks.append(chunk)
            self.other_end._unread_bytes += len(chunk)
            self.other_end._changed.notify_all()

    async def receive_chunk(self) -> bytes | None:
        """Return the next body bytes, or None after the finish mark."""
        async with self._changed:
            while not self._unread_chunks and not self._peer_finished:
                self._check_open()
                await self._changed.wait()
            if not self._unread_chunks:
                return None
            chunk = self._unread_chunks.popleft()
            self._unread_bytes -= len(chunk)
            self._changed.notify_all()
            return chunk

    async def finish(self, summary: Any = None) -> None:
        """Mark this direction as complete."""
        self._check_open()
        async with self.other_end._changed:
            self.other_end._peer_summary = summary if summary is None else decode(encode(summary))
            self.other_end._peer_finished = True
            self.other_end._changed.notify_all()

    @property
    def summary(self) -> Any:
        """Return the message that came with the other end's finish mark, or None."""
        return self._peer_summary

    def abort(self, problem: str) -> None:
        """End both directions at both ends."""
        for end in (self, self.other_end):
            if not end._end_reason.done():
                end._end_reason.set_result(problem)
                end._notify_changed()

    async def wait_until_aborted(self) -> str:
        """Wait until either end aborts the stream and return the problem."""
        return await asyncio.shield(self._end_reason)

    @property
    def may_have_sent(self) -> bool:
        """Return True: the other end of a memory stream gets the head at once."""
        return True

    def _check_open(self) -> None:
        if self._end_reason.done():
            raise StreamAborted(self._end_reason.result())

    def _notify_changed(self) -> None:
        async def notify() -> None:
            async with self._changed:
                self._changed.notify_all()

        self._notify_task = asyncio.ensure_future(notify())


def memory_stream_pair() -> tuple[MemoryStream, MemoryStream]:
    """Return the two ends of a memory stream."""
    first, second = MemoryStream(), MemoryStream()
    first.other_end, second.other_end = second, first
    return first, second
