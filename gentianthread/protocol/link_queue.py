"""Queue what a link sends: control frames first, then the streams in turn."""

import asyncio
from collections import deque

from .frames import BATCH_BYTES, FRAME_LIMIT_BYTES, FrameKind, frame_header
from .link_stream import LinkStream

# Bytes that the streams of a link may have queued before senders wait.
QUEUE_LIMIT_BYTES = 4 * 1024 * 1024

# Control bytes that may be queued. More shows that the peer has stopped reading.
CONTROL_LIMIT_BYTES = 8 * 1024 * 1024


class SendQueue:
    """Hold the frames that wait for the connection.

    Attributes:
        heartbeat_due: Whether a message has to go out even if no frame waits.
    """

    def __init__(self) -> None:
        self.heartbeat_due = False
        self._control: deque[tuple[int, int, bytes]] = deque()
        self._control_bytes = 0
        self._ready: deque[LinkStream] = deque()
        self._stream_bytes = 0
        self._waker: asyncio.Future | None = None

    def __bool__(self) -> bool:
        return bool(self._control or self._ready)

    def add_control(self, kind: int, frame_id: int, payload: bytes) -> bool:
        """Add a frame that goes before those of the streams.

        Returns:
            Whether the queue has room for it.
        """
        self._control.append((kind, frame_id, payload))
        self._control_bytes += len(payload)
        self.wake()
        return self._control_bytes <= CONTROL_LIMIT_BYTES

    def add_message(self, kind: int, frame_id: int, data: bytes) -> bool:
        """Add a control message of any length, in parts where it is long.

        Returns:
            Whether the queue has room for it.
        """
        start = 0
        while len(data) - start > FRAME_LIMIT_BYTES:
            self.add_control(FrameKind.PART, 0, data[start : start + FRAME_LIMIT_BYTES])
            start += FRAME_LIMIT_BYTES
        return self.add_control(kind, frame_id, data[start:] if start else data)

    def schedule(self, stream: LinkStream) -> None:
        """Serve a stream in its turn."""
        if not stream.scheduled:
            stream.scheduled = True
            self._ready.append(stream)
            self.wake()

    def change_bytes(self, change_bytes: int) -> bool:
        """Count bytes that wait in streams and return whether that made room for senders."""
        was_full = self.full
        self._stream_bytes += change_bytes
        return was_full and not self.full

    @property
    def full(self) -> bool:
        """Return whether senders have to wait."""
        return self._stream_bytes >= QUEUE_LIMIT_BYTES

    def take_batch(self) -> bytes:
        """Return the next message; without frames it is empty."""
        parts: list[bytes | memoryview] = []
        size = 0
        control = self._control
        while control and size < BATCH_BYTES:
            kind, frame_id, payload = control.popleft()
            parts.append(frame_header(kind, frame_id, len(payload)))
            parts.append(payload)
            size += len(payload) + len(parts[-2])
            self._control_bytes -= len(payload)
        ready = self._ready
        while ready and size < BATCH_BYTES:
            stream = ready.popleft()
            size += stream.take_frames(parts, BATCH_BYTES - size)
            if stream.has_frames():
                ready.append(stream)
            else:
                stream.scheduled = False
        return b"".join(parts)

    async def wait(self) -> None:
        """Wait for `wake`."""
        self._waker = asyncio.get_running_loop().create_future()
        await self._waker

    def wake(self) -> None:
        """Let the writing task look again."""
        waker = self._waker
        if waker is not None and not waker.done():
            waker.set_result(None)

    def clear(self) -> None:
        """Drop everything."""
        self._control.clear()
        self._ready.clear()
        self.wake()
