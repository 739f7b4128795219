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
from .link_stream import LinkStream, Notifier, encode_head

HEARTBEAT_INTERVAL_MS = 250
SILENCE_TIMEOUT_MS = 1_000

# Heartbeat times are rounded down to a multiple of this, so that the event loop wakes once for the
# heartbeats of all links instead of once for each link.
TIMER_GRID_MS = 50

# A timer that fires later than this shows that the process was paused. Frames of the peer may then
# be waiting unread, so the link does not yet count as silent.
LATE_TIMER_THRESHOLD_MS = 100

# Streams that one end may have open. If each had its full credit unread, a peer could make the node
# buffer 256 MiB; the receiver stops returning credit long before, at `UNREAD_LIMIT_BYTES`.
OPEN_STREAMS_LIMIT = 1_024

# Handler tasks of one link. The handler of an aborted stream may outlive its stream, so the limit
# on open streams does not bound them.
TASKS_LIMIT = 4 * OPEN_STREAMS_LIMIT

# No credit is returned while the streams of a link have more unread bytes than this.
UNREAD_LIMIT_BYTES = 16 * 1024 * 1024

# Stream and request ids have 32 bits; a link that reaches this id opens no more and is replaced.
FRAME_ID_LIMIT = 2**32 - 1_000

FLUSH_TIMEOUT_MS = 500

_CREDIT = struct.Struct("!I")


class Link:
    """Act as one end of an authenticated connection between two nodes."""

    def __init__(
        self,
        connection: MessageConnection,
        peer: NodeIdentity,
        owner: LinkOwner,
        metrics: Metrics,
        *,
        dialed: bool,
    ):
        """Create the link; `run` reads and writes its frames.

        Args:
            connection: The connection, after the handshake.
            peer: The proven identity of the other end.
            owner: Handles messages and streams that arrive, and the closing of the link.
            metrics: Counts dropped frames.
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
        # The dialling end uses odd ids and the accepting end even ones, so that they never collide.
        self._next_id = 1 if dialed else 2
        self._last_peer_stream_id = 0
        self._local_stream_count = 0
        self._queue = SendQueue()
        self.control = ControlChannel(self, owner)
        self._unread_bytes = 0
        self._withheld_credit: dict[int, int] = {}
        self._writing = False
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._state_changed = Notifier()
        now_s = self._loop.time()
        self._last_received_s = self._last_sent_s = self.last_used_s = self.opened_at_s = now_s
        self._frame_handlers = {
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

    # Methods for the owner of the link.

    @property
    def usable(self) -> bool:
        """Return whether new streams and messages may use this link."""
        return (
            self.error is None
            and not self.draining
            and not self.peer_draining
            and self._next_id < FRAME_ID_LIMIT
        )

    @property
    def idle(self) -> bool:
        """Return whether there are no open streams, no unanswered requests and no queued frames."""
        return not (self.streams or self.control.busy or self._queue or self._writing)

    async def run(self) -> None:
        """Read and write frames until the link closes; `error` then has the cause."""
        self._schedule_timer()
        writer = asyncio.create_task(self._write_batches())
        try:
            await self._read_frames()
        except (TransportError, ProtocolError) as error:
            self.fail(error)
        finally:
            writer.cancel()
            self.fail(ConnectionLost(self.connection.peer_address, "link ended"))

    def cancel_handlers(self) -> None:
        """Cancel the handlers that still run.

        Closing a link does not cancel them: their streams end, and a handler whose request runs at
        a target still has to record the outcome.
        """
        for task in self._tasks:
            task.cancel()

    def open_stream(self, head: Any) -> LinkStream:
        """Open a stream and queue its head.

        Raises:
            ConnectionLost: The link is closed or has too many open streams; nothing was sent.
            MessageError: The head does not fit into a frame.
        """
        data = encode_head(head)
        self._check_can_open()
        stream = LinkStream(self, self.allocate_id(), opened_locally=True)
        self._add_stream(stream)
        stream.queue_opening_head(data)
        return stream

    def adopt_stream(self, stream: LinkStream) -> None:
        """Take over a stream of another link that has sent nothing of it.

        Raises:
            ConnectionLost: The link is closed or has too many open streams.
        """
        self._check_can_open()
        stream.move_to_link(self, self.allocate_id())
        self._add_stream(stream)
        stream.scheduled = False
        self.schedule(stream)

    def drain(self) -> None:
        """Stop opening streams at both ends; the link closes as soon as it is idle."""
        if not self.draining and self.error is None:
            self.draining = True
            self.send_control(FrameKind.DRAIN, 0, b"")
            self._close_if_drained()

    async def close(self, problem: str) -> None:
        """Send what is queued, for at most `FLUSH_TIMEOUT_MS`, and close.

        Args:
            problem: Why the link closes, for the log and the streams that are still open.
        """
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                while (self._queue or self._writing) and self.error is None:
                    await self._state_changed.wait()
        except TimeoutError:
            pass
        self.fail(ConnectionLost(str(self.peer.upstream_id), problem), graceful=True)
        await self.connection.close()

    async def wait_for_streams(self, timeout_ms: float) -> None:
        """Wait until no stream is open, the link is closed, or the timeout has passed."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self.streams and self.error is None:
                    await self._state_changed.wait()
        except TimeoutError:
            pass

    def fail(self, error: GentianError, *, graceful: bool = False) -> None:
        """Close at once, and end all streams and pending requests.

        Args:
            error: Why the link closes.
            graceful: Whether the caller closes the connection; otherwise it is aborted here.
        """
        if self.error is not None:
            return
        self.error = error
        if self._timer is not None:
            self._timer.cancel()
        if not graceful:
            self.connection.abort()
        self._state_changed.notify()
        unsent = []
        for stream in list(self.streams.values()):
            if stream.may_have_sent:
                stream.end_locally(str(error))
            else:
                unsent.append(stream)
        self.streams.clear()
        self.control.fail(error)
        self._queue.clear()
        self._owner.on_closed(self, error, unsent)

    # Methods for the streams and the control channel.

    def schedule(self, stream: LinkStream) -> None:
        """Let a stream send its queued frames in its turn."""
        if self.error is None:
            self._queue.schedule(stream)

    def send_control(self, kind: int, frame_id: int, payload: bytes) -> None:
        """Queue a frame that is sent before those of the streams."""
        if self.error is None and not self._queue.add_control(kind, frame_id, payload):
            self.fail(ConnectionLost(str(self.peer.upstream_id), "control queue full"))

    def send_message(self, kind: int, frame_id: int, data: bytes) -> None:
        """Queue a control message, split into several frames if it is long.

        Raises:
            ConnectionLost: The link is closed.
        """
        if self.error is not None:
            raise ConnectionLost(str(self.peer.upstream_id), "closed")
        self.last_used_s = self._loop.time()
        if not self._queue.add_message(kind, frame_id, data):
            self.fail(ConnectionLost(str(self.peer.upstream_id), "control queue full"))

    def send_credit(self, stream_id: int, amount_bytes: int) -> None:
        """Return credit to the peer, or withhold it while too many bytes are unread."""
        if self._unread_bytes > UNREAD_LIMIT_BYTES:
            self._withheld_credit[stream_id] = (
                self._withheld_credit.get(stream_id, 0) + amount_bytes
            )
            return
        self.send_control(FrameKind.CREDIT, stream_id, _CREDIT.pack(amount_bytes))

    def change_queued_bytes(self, change_bytes: int) -> None:
        """Change the number of bytes that the streams have queued for sending."""
        if self._queue.change_stream_bytes(change_bytes):
            for stream in self.streams.values():
                stream.wake_senders()

    def queue_full(self) -> bool:
        """Return whether senders have to wait for room in the queue."""
        return self._queue.full

    def change_unread_bytes(self, change_bytes: int) -> None:
        """Change the number of unread bytes; return withheld credit once it is low enough."""
        self._unread_bytes += change_bytes
        if self._withheld_credit and self._unread_bytes <= UNREAD_LIMIT_BYTES:
            withheld_credit, self._withheld_credit = self._withheld_credit, {}
            for stream_id, amount_bytes in withheld_credit.items():
                self.send_control(FrameKind.CREDIT, stream_id, _CREDIT.pack(amount_bytes))

    def remove_stream(self, stream: LinkStream) -> None:
        """Remove a stream that is complete or has ended."""
        if self.streams.pop(stream.stream_id, None) is not None:
            self._local_stream_count -= stream.opened_locally
            self._withheld_credit.pop(stream.stream_id, None)
            if not self.streams:
                self._state_changed.notify()
            self._close_if_drained()

    # Sending.

    def allocate_id(self) -> int:
        """Return an unused id for a stream or a request that this end opens."""
        allocated_id = self._next_id
        self._next_id += 2
        self.last_used_s = self._loop.time()
        return allocated_id

    def _check_can_open(self) -> None:
        if self.error is not None or self._local_stream_count >= OPEN_STREAMS_LIMIT:
            problem = "closed" if self.error else f"{self._local_stream_count} streams are open"
            raise ConnectionLost(str(self.peer.upstream_id), problem)

    def _add_stream(self, stream: LinkStream) -> None:
        self.streams[stream.stream_id] = stream
        self._local_stream_count += stream.opened_locally

    async def _write_batches(self) -> None:
        connection = self.connection
        try:
            while self.error is None:
                if not self._queue and not self._queue.heartbeat_due:
                    self._state_changed.notify()
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
        self._last_sent_s = self._loop.time()
        self._queue.heartbeat_due = False
        self._writing = True
        try:
            await self.connection.send(data)
        finally:
            self._writing = False

    # Heartbeats and the silence timeout.

    def _schedule_timer(self) -> None:
        silence_deadline_s = self._last_received_s + SILENCE_TIMEOUT_MS / 1000
        waiting = self._writing or self._queue.heartbeat_due
        due_s = (self._loop.time() if waiting else self._last_sent_s) + HEARTBEAT_INTERVAL_MS / 1000
        grid_s = TIMER_GRID_MS / 1000
        self._timer_due_s = min(math.floor(due_s / grid_s) * grid_s, silence_deadline_s)
        self._timer = self._loop.call_at(self._timer_due_s, self._on_timer)

    def _on_timer(self) -> None:
        if self.error is not None:
            return
        now_s = self._loop.time()
        timer_late = now_s - self._timer_due_s > LATE_TIMER_THRESHOLD_MS / 1000
        silence_ms = (now_s - self._last_received_s) * 1000
        if silence_ms >= SILENCE_TIMEOUT_MS - 0.5 and not timer_late:
            self.fail(ConnectionSilent(str(self.peer.upstream_id), silence_ms))
            return
        if (
            now_s - self._last_sent_s >= (HEARTBEAT_INTERVAL_MS - TIMER_GRID_MS - 0.5) / 1000
            and not self._writing
        ):
            self._queue.heartbeat_due = True
            self._queue.wake()
        if silence_ms >= SILENCE_TIMEOUT_MS - 0.5:
            # This process may have been paused: read the frames that have arrived meanwhile before
            # judging the peer.
            self._timer_due_s = now_s + HEARTBEAT_INTERVAL_MS / 1000
            self._timer = self._loop.call_at(self._timer_due_s, self._on_timer)
        else:
            self._schedule_timer()

    # Receiving.

    async def _read_frames(self) -> None:
        connection = self.connection
        frame_handlers = self._frame_handlers
        while self.error is None:
            data = await connection.receive()
            self._last_received_s = self._loop.time()
            if self.error is not None:
                return
            for kind, frame_id, payload in read_frames(data):
                frame_handlers[kind](frame_id, payload)

    def drop_frame(self, kind: FrameKind, frame_id: int) -> None:
        """Count and log a frame that belongs to no open stream or pending request."""
        self._metrics.count("link.frames_dropped")
        problem = f"{kind.name} for {frame_id} is late, duplicated or unknown"
        log(FRAME_DROPPED, peer=self.peer.upstream_id, problem=problem)

    def _on_open(self, stream_id: int, payload: bytes) -> None:
        from_peer = stream_id % 2 == (0 if self.dialed else 1)
        if not from_peer or stream_id <= self._last_peer_stream_id:
            self.drop_frame(FrameKind.OPEN, stream_id)
            return
        self._last_peer_stream_id = stream_id
        peer_stream_count = len(self.streams) - self._local_stream_count
        if peer_stream_count >= OPEN_STREAMS_LIMIT or len(self._tasks) >= TASKS_LIMIT:
            self.send_control(FrameKind.ABORT, stream_id, b"too many open streams")
            return
        head = decode(payload)
        stream = LinkStream(self, stream_id, opened_locally=False, head=head)
        self._add_stream(stream)
        self.last_used_s = self._last_received_s
        self.start_task(self._serve(head, stream), "stream")

    async def _serve(self, head: Any, stream: LinkStream) -> None:
        try:
            await self._owner.on_stream(self, head, stream)
        finally:
            stream.end_after_handler()

    def _on_head(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_head(payload):
            self.drop_frame(FrameKind.HEAD, stream_id)

    def _on_data(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_data(payload):
            self.drop_frame(FrameKind.DATA, stream_id)

    def _on_finish(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None or not stream.on_finish(payload):
            self.drop_frame(FrameKind.FINISH, stream_id)

    def _on_credit(self, stream_id: int, payload: bytes) -> None:
        if len(payload) != _CREDIT.size:
            raise FrameError(f"credit of {len(payload)} bytes")
        stream = self.streams.get(stream_id)
        if stream is None:
            self.drop_frame(FrameKind.CREDIT, stream_id)
        else:
            stream.on_credit(_CREDIT.unpack(payload)[0])

    def _on_abort(self, stream_id: int, payload: bytes) -> None:
        stream = self.streams.get(stream_id)
        if stream is None:
            self.drop_frame(FrameKind.ABORT, stream_id)
        else:
            stream.end_locally(payload.decode(errors="replace"))

    def _on_drain(self, frame_id: int, payload: bytes) -> None:
        self.peer_draining = True
        self.drain()
        self._close_if_drained()

    def start_task(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        """Run a coroutine in a task of this link and log its failure."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task.get_name(), error=repr(task.exception()))

    def _close_if_drained(self) -> None:
        # Only the dialling end closes, so that neither end closes while the other still sends.
        drained = self.draining and self.peer_draining and self.idle
        if drained and self.dialed and self.error is None and not self._closing:
            self._closing = True
            self.start_task(self.close("drained"), "close")
