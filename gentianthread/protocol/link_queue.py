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
        self._control_frames: deque[tuple[int, int, bytes]] = deque()
        self._control_bytes = 0
        self._ready_streams: deque[LinkStream] = deque()
        self._stream_bytes = 0
        self._wake_future: asyncio.Future | None = None

    def __bool__(self) -> bool:
        return bool(self._control_frames or self._ready_streams)

    def add_control(self, kind: int, frame_id: int, payload: bytes) -> bool:
        """Add a frame that goes before those of the streams.

        Returns:
            Whether the queue has room for it.
        """
        self._control_frames.append((kind, frame_id, payload))
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
            self._ready_streams.append(stream)
            self.wake()

    def change_stream_bytes(self, change_bytes: int) -> bool:
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
        buffers: list[bytes | memoryview] = []
        size_bytes = 0
        control_frames = self._control_frames
        while control_frames and size_bytes < BATCH_BYTES:
            kind, frame_id, payload = control_frames.popleft()
            buffers.append(frame_header(kind, frame_id, len(payload)))
            buffers.append(payload)
            size_bytes += len(payload) + len(buffers[-2])
            self._control_bytes -= len(payload)
        ready_streams = self._ready_streams
        while ready_streams and size_bytes < BATCH_BYTES:
            stream = ready_streams.popleft()
            size_bytes += stream.take_frames(buffers, BATCH_BYTES - size_bytes)
            if stream.has_queued_frames():
                ready_streams.append(stream)
            else:
                stream.scheduled = False
        return b"".join(buffers)

    async def wait(self) -> None:
        """Wait for `wake`."""
        self._wake_future = asyncio.get_running_loop().create_future()
        await self._wake_future

    def wake(self) -> None:
        """Let the writing task look again."""
        wake_future = self._wake_future
        if wake_future is not None and not wake_future.done():
            wake_future.set_result(None)

    def clear(self) -> None:
        """Drop everything."""
        self._control_frames.clear()
        self._ready_streams.clear()
        self.wake()
