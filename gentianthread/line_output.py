"""Write lines to a stream without ever waiting for its reader."""

import asyncio
import os
import select
from collections.abc import Callable
from typing import TextIO

# Bytes of one write. A pipe that is ready takes as many without blocking.
CHUNK_BYTES = select.PIPE_BUF

# Bytes that wait for a reader that stalls, beyond what the pipe itself holds; more are dropped. The
# largest texts are state dumps of large fleets.
MAX_PENDING_BYTES = 1024 * 1024

# Interval at which a reader that stalled is tried again.
RETRY_S = 0.1


class LineOutput:
    """Write whole lines to a stream, and drop lines while its reader stalls for too long.

    The descriptor stays in blocking mode, since other processes may share it.

    Attributes:
        on_dropped: Called with the number of dropped lines once the reader goes on.
    """

    def __init__(self, stream: TextIO):
        """Create an output of a stream.

        Args:
            stream: Stream with a file descriptor; nothing else should write to it.
        """
        stream.flush()
        # Keeps the descriptor open.
        self._stream = stream
        self._descriptor = stream.fileno()
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)
        self._pending = bytearray()
        self._dropped = 0
        self._retry: asyncio.TimerHandle | None = None
        self.on_dropped: Callable[[int], None] = lambda lines: None

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes that wait for the reader."""
        return len(self._pending)

    def write(self, text: str) -> None:
        """Write lines, now if the reader takes them, else later.

        Args:
            text: One line or several, each with its line break.
        """
        data = text.encode(errors="replace")
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._dropped += text.count("\n")
        else:
            self._pending += data
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes at once."""
        try:
            while self._pending and self._poll.poll(0):
                written = os.write(self._descriptor, self._pending[:CHUNK_BYTES])
                del self._pending[:written]
        except BlockingIOError:
            # Another process has changed the mode of the descriptor.
            pass
        except OSError:
            # The reader has closed its end, so that no report of the loss would reach it either.
            self._pending.clear()
            self._dropped = 0
        if self._pending:
            self._retry_later()
        elif self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.on_dropped(dropped)

    def _retry_later(self) -> None:
        """Write again after a while; without an event loop, with the next line."""
        if self._retry is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._retry = loop.call_later(RETRY_S, self._flush_again)

    def _flush_again(self) -> None:
        self._retry = None
        self.flush()
