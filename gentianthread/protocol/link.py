"""Multiplex control messages and request streams over one connection."""

import asyncio
import math
import struct
from collections.abc import Coroutine
from typing import Any

from ..errors import (
    ConnectionLost,
    ConnectionSilent,
    FrameError,
    GentianError,
    ProtocolError,
    TransportError,
)
from ..events import FRAME_DROPPED, TASK_FAILED
from ..ids import NodeIdentity
from ..logs import log
from ..metrics import Metrics
from ..transport.connections import MessageConnection
from .codec import decode
from .frames import FrameKind, read_frames
from .link_control import ControlChannel, LinkOwner
from .link_queue import SendQueue
from .link_stream import LinkStream, Signal, encode_head

HEARTBEAT_MS = 250
SILENCE_MS = 1_000

# Heartbeats are due at multiples of this time of the event loop, so that those of all links of a
# process leave in one turn of the loop and do not wake it for each link.
TIMER_GRID_MS = 50

# A timer that fires this late shows that this process was held up; frames may wait unread then.
LATE_TIMER_MS = 100

# Streams that one end may have open. With a full credit unread on each, a peer can make the node
# hold 256 MiB; the receiver stops returning credit long before.
OPEN_STREAMS_LIMIT = 1_024

# Handlers that one link may keep running. Those of aborted streams end on their own time, so the
# limit on open streams does not bound them.
TASKS_LIMIT = 4 * OPEN_STREAMS_LIMIT

# Unread bytes of all streams of a link above which no credit is returned.
UNREAD_LIMIT_BYTES = 16 * 1024 * 1024

# Ids have 32 bits; a link that comes near the end is replaced.
LAST_STREAM_ID = 2**32 - 1_000

FLUSH_TIMEOUT_MS = 500

_CREDIT = struct.Struct("!I")


class Link:
    """Be one end of an authenticated connection between two nodes."""

    def __init__(
        self,
        connection: MessageConnection,
        peer: NodeIdentity,
        owner: LinkOwner,
        metrics: Metrics,
        *,
        dialed: bool,
    ):
        """Create a link; `run` serves it.

        Args:
            connection: The connection, after the handshake.
            peer: The proven identity of the other end.
            owner: Receives what arrives.
            metrics: Counts frames.
            dialed: Whether this end opened the connection.
        """
        self.connection = connection
        self.peer = peer
        self.dialed = dialed
        self.error: GentianError | None = None
        self.draining = False
        self.peer_draining = False
        self.streams: dict[int, LinkStream] = {}
        self._owner = owner
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        # Each end numbers the streams and requests that it opens; parity keeps both apart.
        self._next_id = 1 if dialed else 2
        self._last_peer_id = 0
        self._opened_here = 0
        self._queue = SendQueue()
        self.control = ControlChannel(self, owner)
        self._unread_bytes = 0
        self._withheld: dict[int, int] = {}
        self._writing = False
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._settled = Signal()
        now_s = self._loop.time()
        self._received_s = self._sent_s = self.used_s = self.opened_s = now_s
        self._accepts = {
            FrameKind.OPEN: self._on_open,
            FrameKind.HEAD: self._on_head,
            FrameKind.DATA: self._on_data,
            FrameKind.FINISH: self._on_finish,
            FrameKind.CREDIT: self._on_credit,
            FrameKind.ABORT: self._on_abort,
            FrameKind.MESSAGE: self.control.on_message,
            FrameKind.REQUEST: self.control.on_request,
            FrameKind.ANSWER: self.control.on_answer,
            FrameKind.PART: self.control.on_part,
            FrameKind.DRAIN: self._on_drain,
        }

    # The side of the owner.

    @property
    def usable(self) -> bool:
        """Return whether new streams and messages may go here."""
        return (
            self.error is None
            and not self.draining
            and not self.peer_draining
            and self._next_id < LAST_STREAM_ID
        )

    @property
    def idle(self) -> bool:
        """Return whether nothing is open, awaited or queued."""
        return not (self.streams or self.control.waiting or self._queue or self._writing)

    async def run(self) -> None:
        """Serve the link until it closes; what went wrong is in `error`."""
        self._schedule_timer()
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        except (TransportError, ProtocolError) as error:
            self.fail(error)
        finally:
            writer.cancel()
            self.fail(ConnectionLost(self.connection.peer_address, "link ended"))

    def cancel_handlers(self) -> None:
        """Cancel the handlers that still run.

        A link that closes leaves them running: they learn it from their streams, and a request that
        a target runs has to be recorded.
        """
        for task in self._tasks:
            task.cancel()

    def open_stream(self, head: Any) -> LinkStream:
        """Open a stream; its head waits for its turn.

        Raises:
            ConnectionLost: The link takes no more streams; nothing was sent.
        """
        data = encode_head(head)
        self._check_open_limit()
        stream = LinkStream(self, self.take_id(), opened_here=True)
        self._add(stream)
        stream.queue_open(data)
        return stream

    def adopt(self, stream: LinkStream) -> None:
        """Take over a stream of another link of which nothing was sent.

        Raises:
            ConnectionLost: The link takes no more streams.
        """
        self._check_open_limit()
        stream.move(self, self.take_id())
        self._add(stream)
        stream.scheduled = False
        self.schedule(stream)

    def drain(self) -> None:
        """Open nothing more here; the peer does the same, and the link closes when it is idle."""
        if not self.draining and self.error is None:
            self.draining = True
            self.send_control(FrameKind.DRAIN, 0, b"")
            self._close_if_drained()

    async def close(self, problem: str) -> None:
        """Send what is queued, bounded in time, and close.

        Args:
            problem: Why, for the log and the streams that are still open.
        """
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                while (self._queue or self._writing) and self.error is None:
                    await self._settled.wait()
        except TimeoutError:
            pass
        self.fail(ConnectionLost(str(self.peer.upstream_id), problem), graceful=True)
        await self.connection.close()

    async def wait_for_streams(self, timeout_ms: float) -> None:
        """Wait until no stream is open, the link closed, or the time is over."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self.streams and self.error is None:
                    await self._settled.wait()
        except TimeoutError:
            pass

    def fail(self, error: GentianError, *, graceful: bool = False) -> None:
        """Close at once and end everything that is open.

        Args:
            error: Why.
            graceful: Whether the caller closes the connection.
        """
        if self.error is not None:
            return
        self.error = error
        if self._timer is not None:
            self._timer.cancel()
        if not graceful:
            self.connection.abort()
        self._settled.notify()
        unsent = []
        for stream in list(self.streams.values()):
            if stream.may_have_sent:
                stream.end(str(error))
            else:
                unsent.append(stream)
        self.streams.clear()
        self.control.fail(error)
        self._queue.clear()
        self._owner.on_closed(self, error, unsent)

    # The side of the streams and control messages.

    def schedule(self, stream: LinkStream) -> None:
        """Serve a stream in its turn."""
        if self.error is None:
            self._queue.schedule(stream)

    def send_control(self, kind: int, frame_id: int, payload: bytes) -> None:
        """Queue a frame before those of the streams."""
        if self.error is None and not self._queue.add_control(kind, frame_id, payload):
            self.fail(ConnectionLost(str(self.peer.upstream_id), "control queue full"))

    def send_parts(self, kind: int, frame_id: int, data: bytes) -> None:
        """Queue a control message of any length.

        Raises:
            ConnectionLost: The link is closed.
        """
        if self.error is not None:
            raise ConnectionLost(str(self.peer.upstream_id), "closed")
        self.used_s = self._loop.time()
        if not self._queue.add_message(kind, frame_id, data):
            self.fail(ConnectionLost(str(self.peer.upstream_id), "control queue full"))

    def send_credit(self, stream_id: int, amount_bytes: int) -> None:
        """Return credit, or withhold it while the streams hold too much unread."""
        if self._unread_bytes > UNREAD_LIMIT_BYTES:
            self._withheld[stream_id] = self._withheld.get(stream_id, 0) + amount_bytes
            return
        self.send_control(FrameKind.CREDIT, stream_id, _CREDIT.pack(amount_bytes))

    def queued(self, change_bytes: int) -> None:
        """Count bytes that wait in streams to be sent."""
        if self._queue.change_bytes(change_bytes):
            for stream in self.streams.values():
                stream.wake_sender()

    def queue_full(self) -> bool:
        """Return whether senders have to wait."""
        return self._queue.full

    def unread(self, change_bytes: int) -> None:
        """Count bytes that wait in streams to be read."""
        self._unread_bytes += change_bytes
        if self._withheld and self._unread_bytes <= UNREAD_LIMIT_BYTES:
            withheld, self._withheld = self._withheld, {}
            for stream_id, amount_bytes in withheld.items():
                self.send_control(FrameKind.CREDIT, stream_id, _CREDIT.pack(amount_bytes))

    def forget(self, stream: LinkStream) -> None:
        """Let go of a stream that is complete or aborted."""
        if self.streams.pop(stream.stream_id, None) is not None:
            self._opened_here -= stream.opened_here
            self._withheld.pop(stream.stream_id, None)
            if not self.streams:
                self._settled.notify()
            self._close_if_drained()

    # Sending.

    def take_id(self) -> int:
        """Return an id that this end has not used on the link."""
        taken = self._next_id
        self._next_id += 2
        self.used_s = self._loop.time()
        return taken

    def _check_open_limit(self) -> None:
        if self.error is not None or self._opened_here >= OPEN_STREAMS_LIMIT:
            problem = "closed" if self.error else f"{self._opened_here} streams are open"
            raise ConnectionLost(str(self.peer.upstream_id), problem)

    def _add(self, stream: LinkStream) -> None:
        self.streams[stream.stream_id] = stream
        self._opened_here += stream.opened_here

    async def _write(self) -> None:
        connection = self.connection
        try:
            while self.error is None:
                if not self._queue and not self._queue.heartbeat_due:
                    self._settled.notify()
                    self._close_if_drained()
                    await self._queue.wait()
                    continue
                if connection.closed:
                    raise ConnectionLost(connection.peer_address, "closed")
                batch = self._queue.take_batch()
                if batch or self._queue.heartbeat_due:
                    await self._send(batch)
        except TransportError as error:
            self.fail(error)

    async def _send(self, data: bytes) -> None:
        self._sent_s = self._loop.time()
        self._queue.heartbeat_due = False
        self._writing = True
        try:
            await self.connection.send(data)
        finally:
            self._writing = False

    # Time.

    def _schedule_timer(self) -> None:
        silent_s = self._received_s + SILENCE_MS / 1000
        waiting = self._writing or self._queue.heartbeat_due
        due_s = (self._loop.time() if waiting else self._sent_s) + HEARTBEAT_MS / 1000
        turn_s = TIMER_GRID_MS / 1000
        self._timer_s = min(math.floor(due_s / turn_s) * turn_s, silent_s)
        self._timer = self._loop.call_at(self._timer_s, self._on_timer)

    def _on_timer(self) -> None:
        if self.error is not None:
            return
        now_s = self._loop.time()
        late = now_s - self._timer_s > LATE_TIMER_MS / 1000
        silence_ms = (now_s - self._received_s) * 1000
        if silence_ms >= SILENCE_MS - 0.5 and not late:
            self.fail(ConnectionSilent(str(self.peer.upstream_id), silence_ms))
            return
        if (
            now_s - self._sent_s >= (HEARTBEAT_MS - TIMER_GRID_MS - 0.5) / 1000
            and not self._writing
        ):
            self._queue.heartbeat_due = True
            self._queue.wake()
        if silence_ms >= SILENCE_MS - 0.5:
            # The silence may be this process's own pause: read what has arrived first.
            self._timer_s = now_s + HEARTBEAT_MS / 1000
            self._timer = self._loop.call_at(self._timer_s, self._on_timer)
        else:
            self._schedule_timer()

    # Receiving.

    async def _read(self) -> None:
        connection = self.connection
        accepts = self._accepts
        while self.error is None:
            data = await connection.receive()
            self._received_s = self._loop.time()
            if self.error is not None:
                return
            for kind, frame_id, payload in read_frames(data):
                accepts[kind](frame_id, payload)

    def drop(self, kind: FrameKind, frame_id: int) -> None:
        """Count a frame that nobody waits for."""
        self._metrics.count("link.frames_dropped")
        problem = f"{kind.name} for {frame_id} is late, double or unknown"
        log(FRAME_DROPPED, peer=self.peer.upstream_id, problem=problem)

    def _on_open(self, stream_id: int, payload: bytes) -> None:
        from_peer = stream_id % 2 == (0 if self.dialed else 1)
        if not from_peer or stream_id <= self._last_peer_id:
            self.drop(FrameKind.OPEN, stream_id)
            return
        self._last_peer_id = stream_id
        accepted = len(self.streams) - self._opened_here
        if accepted >= OPEN_STREAMS_LIMIT or len(self._tasks) >= TASKS_LIMIT:
            self.send_control(FrameKind.ABORT, stream_id, b"too many open streams")
            return
        head = decode(payload)
        stream = LinkStream(self, stream_id, opened_here=False, head=head)
        self._add(stream)
        self.used_s = self._received_s
        self.start(self._serve(head, stream), "stream")

    async def _serve(self, head: Any, stream: LinkStream) -> None:
        try:
            await self._owner.on_stream(self, head, stream)
        finally:
            stream.end_service()

    def _on_head(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_head(payload):
            self.drop(FrameKind.HEAD, stream_id)

    def _on_data(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_data(payload):
            self.drop(FrameKind.DATA, stream_id)

    def _on_finish(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_finish(payload):
            self.drop(FrameKind.FINISH, stream_id)

    def _on_credit(self, stream_id: int, payload: bytes) -> None:
        if len(payload) != _CREDIT.size:
            raise FrameError(f"credit of {len(payload)} bytes")
        stream = self.streams.get(stream_id)
        if stream is None:
            self.drop(FrameKind.CREDIT, stream_id)
        else:
            stream.on_credit(_CREDIT.unpack(payload)[0])

    def _on_abort(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            self.drop(FrameKind.ABORT, stream_id)
        else:
            stream.end(payload.decode(errors="replace"))

    def _on_drain(self, frame_id: int, payload: bytes) -> None:
        self.peer_draining = True
        self.drain()
        self._close_if_drained()

    def start(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run a handler in a task; its failure is logged."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))

    def _close_if_drained(self) -> None:
        # The dialling end closes, so that both ends do not close while the other still sends.
        drained = self.draining and self.peer_draining and self.idle
        if drained and self.dialed and self.error is None and not self._closing:
            self._closing = True
            self.start(self.close("drained"), "close")
