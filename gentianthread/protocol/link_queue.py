"""Schedule the frames that a link sends: control frames first, then streams in round-robin."""

import asyncio
from collections import deque

from .frames import BATCH_BYTES, FRAME_LIMIT_BYTES, FrameKind, frame_header
from .link_stream import LinkStream

# Senders wait while the streams of a link have this many bytes queued.
QUEUE_LIMIT_BYTES = 4 * 1024 * 1024

# Bytes of control frames that may be queued; the link closes above this, since a peer that lets so
# many pile up has stopped reading.
CONTROL_LIMIT_BYTES = 8 * 1024 * 1024


class SendQueue:
    """Store control frames, and the streams that have frames to send, until the link sends them.

    Attributes:
        heartbeat_due: Whether the link must send a message even if no frame is queued.
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
        """Add a frame that is sent before those of the streams.

        Returns:
            False if the queue now exceeds its limit.
        """
        self._control_frames.append((kind, frame_id, payload))
        self._control_bytes += len(payload)
        self.wake()
        return self._control_bytes <= CONTROL_LIMIT_BYTES

    def add_message(self, kind: int, frame_id: int, data: bytes) -> bool:
        """Add a control message, split into several frames if it exceeds the frame limit.

        Returns:
            False if the queue now exceeds its limit.
        """
        start = 0
        while len(data) - start > FRAME_LIMIT_BYTES:
            self.add_control(FrameKind.PART, 0, data[start : start + FRAME_LIMIT_BYTES])
            start += FRAME_LIMIT_BYTES
        return self.add_control(kind, frame_id, data[start:] if start else data)

    def schedule(self, stream: LinkStream) -> None:
        """Add a stream that has frames to send, unless it is scheduled already."""
        if not stream.scheduled:
            stream.scheduled = True
            self._ready_streams.append(stream)
            self.wake()

    def change_stream_bytes(self, change_bytes: int) -> bool:
        """Change the number of bytes queued in streams; return whether senders may go on again."""
        was_full = self.full
        self._stream_bytes += change_bytes
        return was_full and not self.full

    @property
    def full(self) -> bool:
        """Return whether senders have to wait until queued bytes are sent."""
        return self._stream_bytes >= QUEUE_LIMIT_BYTES

    def take_batch(self) -> bytes:
        """Remove queued frames and return them as one message, which is empty if there are none."""
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
        """Wait until something is queued or `wake` is called."""
        self._wake_future = asyncio.get_running_loop().create_future()
        await self._wake_future

    def wake(self) -> None:
        """Wake the task that sends the queued frames."""
        wake_future = self._wake_future
        if wake_future is not None and not wake_future.done():
            wake_future.set_result(None)

    def clear(self) -> None:
        """Drop all queued frames."""
        self._control_frames.clear()
        self._ready_streams.clear()
        self.wake()
