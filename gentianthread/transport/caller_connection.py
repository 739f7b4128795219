"""Read the requests of one connection of a caller and write their responses in order."""

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from httptools import HttpParserError

from ..state.fleet_plan import CallerLimits
from ..state.memory_budget import SMALL_HOLDER_BYTES, MemoryOwner, buffer_bytes
from .header_fields import HeaderFields
from .http_messages import (
    LARGE_BODY_BYTES,
    BufferedRequest,
    BufferedResponse,
    PendingResponse,
    serialize_response,
)
from .http_names import decode_text
from .pipeline_backlog import PipelineBacklog
from .request_receiver import MESSAGE_BYTES, LimitExceeded, RequestReceiver
from .sockets import unacknowledged_bytes, unread_bytes

if TYPE_CHECKING:
    from .http_pipeline import PipelineListener

# Number of pending requests at which a connection stops reading; further ones stay in the socket.
MAX_PIPELINED_REQUESTS = 64

# Reasons for which a connection reads no further bytes; a bit mask.
PAUSED_BY_PIPELINE, PAUSED_BY_OUTPUT, PAUSED_BY_MEMORY, PAUSED_BY_BACKLOG = 1, 2, 4, 8

# Longest piece of received bytes that is parsed at once, and thus of the requests in it that start
# before memory is looked at again.
PARSED_BYTES = 16 * 1024

# Memory charged for the response of a pipelined request until it is there, as it may have to wait
# for those before it. Longer responses of targets are read only while there is memory for them.
RESPONSE_RESERVE_BYTES = SMALL_HOLDER_BYTES

# Time for which the rest of a refused request is read and dropped. Closing the connection earlier
# would reset it, and the caller might lose the response.
LINGER_MS = 2_000.0

# Range of the time in Retry-After for requests that are refused for lack of memory.
RETRY_AFTER_RANGE_S = (0.5, 2.0)


class CallerConnection(RequestReceiver, asyncio.Protocol):
    """Read the requests of one connection and write their responses in order.

    Attributes:
        transport: Transport of the connection; None before it is made and after it is lost.
        active_at_ms: When the caller last sent something, or was last answered.
    """

    def __init__(self, listener: "PipelineListener"):
        """Create a connection that is not made yet."""
        self.transport: asyncio.Transport | None = None
        super().__init__(listener.limits)
        self._listener = listener
        self._memory = listener.memory
        self._pending: deque[PendingResponse] = deque()
        self._backlog = PipelineBacklog(self._memory)
        self._advancing = False
        self._pauses = 0
        self.active_at_ms = listener.clock.now_ms()
        # Since when the connection only waits for its caller to close it.
        self._lingering_since_ms: float | None = None
        # Whether the caller reads responses more slowly than they come, and what they hold.
        self._output_full = False
        self._output_bytes = 0
        # Bytes that the caller had not received at the last sweep, and since when they are as many.
        self._unreceived_bytes = 0
        self._unreceived_since_ms = 0.0
        # Since when the head that is being received is incomplete.
        self._head_since_ms: float | None = None
        self._holds_incomplete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the work for the caller and give back all memory."""
        self.transport = None
        # Breaks the reference cycle, which would otherwise wait for the garbage collector.
        self._parser = None
        self._listener.forget(self)
        self._closing = True
        self._drop_incomplete()
        self._cancel_pending()
        self._release_output()

    def _cancel_pending(self) -> None:
        self._backlog.clear()
        pending, self._pending = self._pending, deque()
        for pending_response in pending:
            if pending_response.work is not None:
                pending_response.work.cancel()
            if pending_response.held_bytes:
                self._release(pending_response)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests, or keep them while memory is short and others run."""
        if self._closing:
            return
        self.active_at_ms = self._listener.clock.now_ms()
        memory = self._memory
        if len(data) > PARSED_BYTES or self._backlog or memory.total_bytes > memory.short_bytes:
            self._backlog.add_data(data)
            self._advance()
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse bytes of requests, and charge the memory of an incomplete one."""
        pending_before = len(self._pending)
        try:
            self._feed(data)
        except HttpParserError as error:
            if not self._closing:
                cause = error.__context__
                self._refuse(cause.status if isinstance(cause, LimitExceeded) else 400)
            return
        if self._in_body or len(self._pending) > pending_before:
            self._head_since_ms = None
        else:
            # The parser buffers an incomplete field without reporting its size.
            self._raw_head_bytes += len(data)
            if self._head_since_ms is None:
                self._head_since_ms = self._listener.clock.now_ms()
            if self._raw_head_bytes > self._limits.header_bytes:
                self._refuse(431)
                return
        if self._in_body or self._raw_head_bytes or self._head_bytes or self._holds_incomplete:
            self._charge_incomplete()

    def on_headers_complete(self) -> None:
        """Send an interim response 100 if the caller waits for it before its body."""
        if self._parser.should_upgrade() and not self._is_tunnel():
            # The head is read again.
            return
        self._in_body = True
        if self._expects_continue and not self._pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        """Start the work for the request."""
        upgrades = self._parser.should_upgrade()
        if upgrades and not self._is_tunnel():
            return
        self._in_body = False
        method = self._parser.get_method().decode()
        # The bytes after a CONNECT request are not HTTP.
        closes = upgrades or not self._parser.should_keep_alive()
        pending = PendingResponse(method, closes)
        self._pending.append(pending)
        body = self._body
        if body:
            self._body = bytearray()
        if self._holds_incomplete:
            self._holds_incomplete = False
            self._memory.end_incomplete(self)
        pending.held_bytes = self._head_cost_bytes() + len(body)
        self._memory.charge(MemoryOwner.WAITING, self, pending.held_bytes)
        request = BufferedRequest(
            method,
            decode_text(self._target),
            self._fields,
            body if len(body) >= LARGE_BODY_BYTES else bytes(body),
            self.transport,
        )
        self._head_bytes = self._raw_head_bytes = 0
        if closes:
            # The bytes after this request are ignored.
            self._closing = True
        if self._backlog.requests or not self._may_start(pending):
            self._backlog.add_request(pending, request)
            self._pause(PAUSED_BY_BACKLOG)
            return
        self._start(pending, request)
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._pause(PAUSED_BY_PIPELINE)

    # Pipelined requests. Each of them may leave a response that a slow reader makes wait. While
    # memory is short, a connection therefore runs its requests one after the other.

    def _may_start(self, pending: PendingResponse) -> bool:
        memory = self._memory
        if pending is not self._pending[0]:
            return memory.total_bytes + RESPONSE_RESERVE_BYTES <= memory.short_bytes
        return not self._output_full or memory.total_bytes <= memory.short_bytes

    def _start(self, pending: PendingResponse, request: BufferedRequest) -> None:
        memory = self._memory
        if pending is not self._pending[0] or self.unsent_bytes():
            # Also makes the request a large one, so that the last part of the capacity is left to
            # connections that hold nothing.
            pending.held_bytes += RESPONSE_RESERVE_BYTES
            memory.charge(MemoryOwner.WAITING, self, RESPONSE_RESERVE_BYTES)
        if memory.total_bytes > memory.short_bytes and not self._listener.admits(
            self, pending.held_bytes
        ):
            self._set_response(pending, self._out_of_memory())
            return
        pending.work = self._listener.start(request, partial(self._set_response, pending))

    def _advance(self) -> None:
        """Start deferred requests and parse deferred bytes, as far as memory allows it."""
        if self._advancing or self.transport is None or self.transport.is_closing():
            return
        backlog = self._backlog
        self._advancing = True
        try:
            while backlog and self.transport is not None:
                if backlog.requests:
                    if not self._may_start(backlog.requests[0][0]):
                        break
                    self._start(*backlog.requests.popleft())
                elif self._closing:
                    backlog.clear()
                elif len(self._pending) >= MAX_PIPELINED_REQUESTS:
                    break
                else:
                    one_request = self._memory.is_short() and not self._in_body
                    self._parse(backlog.take_data(PARSED_BYTES, one_request))
        finally:
            self._advancing = False
            backlog.charge_data()
        if backlog:
            self._pause(PAUSED_BY_BACKLOG)
        else:
            self._resume(PAUSED_BY_BACKLOG)

    # Memory.

    def _charge_incomplete(self) -> None:
        """Charge the request that is being received, and give way if memory is short."""
        memory = self._memory
        if self._in_body or self._raw_head_bytes or self._head_bytes:
            self._holds_incomplete = True
            size_bytes = self._head_cost_bytes() + self._raw_head_bytes
            if self._in_body:
                memory.release(MemoryOwner.HEAD, self)
                size_bytes += buffer_bytes(len(self._body))
                memory.hold(MemoryOwner.BODY, self, size_bytes)
            else:
                memory.hold(MemoryOwner.HEAD, self, size_bytes)
        else:
            self._drop_incomplete()
        if memory.is_short():
            self._listener.give_way(self)

    def _drop_incomplete(self) -> None:
        """Forget the request that is being received, with its memory."""
        if self._holds_incomplete:
            self._holds_incomplete = False
            self._memory.end_incomplete(self)
        self._body, self._fields = bytearray(), HeaderFields()

    @property
    def held_bytes(self) -> int:
        """Return the memory that is held for requests of this connection."""
        memory = self._memory
        return memory.incomplete_bytes(self) + memory.held_by(MemoryOwner.WAITING, self)

    @property
    def incomplete(self) -> bool:
        """Return whether a request is partly received, or the connection is being closed."""
        return self._holds_incomplete or self._closing

    def pause_for_memory(self) -> None:
        """Read no further bytes until memory is free."""
        self._pause(PAUSED_BY_MEMORY)

    def resume_for_memory(self) -> None:
        """Read on, if no other reason forbids it."""
        self._resume(PAUSED_BY_MEMORY)

    def evict(self) -> None:
        """Refuse the incomplete request, which has not run, for lack of memory."""
        self._drop_incomplete()
        if self.transport is not None and not self._closing:
            self._listener.record_refusal("incomplete request evicted")
            self._refuse(503, self._out_of_memory())

    def _out_of_memory(self) -> BufferedResponse:
        shortest_s, longest_s = RETRY_AFTER_RANGE_S
        wait_s = shortest_s + (longest_s - shortest_s) * self._listener.random.random()
        return BufferedResponse(503, [("Retry-After", f"{wait_s:.3f}")])

    def _pause(self, reason: int) -> None:
        if not self._pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self._pauses |= reason

    def _resume(self, reason: int) -> None:
        if not self._pauses & reason:
            return
        self._pauses &= ~reason
        if not self._pauses and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _release(self, pending: PendingResponse) -> None:
        owner = MemoryOwner.ANSWER_OUT if pending.done else MemoryOwner.WAITING
        self._memory.release(owner, self, pending.held_bytes)
        pending.held_bytes = 0

    # Responses.

    def pause_writing(self) -> None:
        """Write no further responses, and read no further requests."""
        self._output_full = True
        self._pause(PAUSED_BY_OUTPUT)

    def resume_writing(self) -> None:
        """Write the next responses, as the caller has read most of the last one."""
        self._output_full = False
        self.active_at_ms = self._listener.clock.now_ms()
        self._release_output()
        self._resume(PAUSED_BY_OUTPUT)
        self._flush()

    def _charge_unsent(self, unsent_bytes: int) -> None:
        """Charge what stays in the buffer of the transport, also below its limit.

        Each of thousands of slow readers may fill it nearly to the limit. Responses that leave the
        buffer between two sweeps are never charged, which keeps the writing of most of them cheap.
        """
        if self._output_full or unsent_bytes == self._output_bytes:
            return
        self._release_output()
        if unsent_bytes:
            self._output_bytes = unsent_bytes
            self._memory.charge(MemoryOwner.ANSWER_OUT, self, unsent_bytes)

    def _release_output(self) -> None:
        self._memory.release(MemoryOwner.ANSWER_OUT, self, self._output_bytes)
        self._output_bytes = 0

    def _set_response(self, pending: PendingResponse, response: BufferedResponse | None) -> None:
        # As `_release`.
        self._memory.release(MemoryOwner.WAITING, self, pending.held_bytes)
        pending.held_bytes = 0
        pending.response, pending.done, pending.work = response, True, None
        if response is not None and (self._output_full or pending is not self._pending[0]):
            pending.held_bytes = MESSAGE_BYTES + len(response.body)
            self._memory.charge(MemoryOwner.ANSWER_OUT, self, pending.held_bytes)
        self._flush()

    def _flush(self) -> None:
        """Write the responses that are ready, in the order of their requests."""
        while (
            self._pending
            and self._pending[0].done
            and self.transport is not None
            and not self._output_full
        ):
            pending = self._pending.popleft()
            if pending.held_bytes:
                self._release(pending)
            if pending.response is None:
                self.transport.abort()
                return
            closes = pending.closes or (self._listener.leaving and self._is_last_request())
            head, body = serialize_response(pending, closes)
            if len(body) < LARGE_BODY_BYTES:
                self.transport.write(head + body)
            else:
                # The transport keeps the body itself, without a copy.
                self.transport.write(head)
                self.transport.write(body)
            if self._output_full:
                self._output_bytes += len(head) + len(body)
                self._memory.charge(MemoryOwner.ANSWER_OUT, self, len(head) + len(body))
            self.active_at_ms = self._listener.clock.now_ms()
            if closes:
                self._close_after_output()
                return
        if self._pauses and len(self._pending) < MAX_PIPELINED_REQUESTS:
            self._resume(PAUSED_BY_PIPELINE)
        if self._backlog:
            self._advance()

    def _is_last_request(self) -> bool:
        """Return whether no further request has come, which would be left without a response."""
        if self._pending or self._pauses or self._output_full:
            return False
        return not unread_bytes(self.transport.get_extra_info("socket"))

    def _close_after_output(self) -> None:
        """Close once the output is sent; drop what the caller still sends for a while.

        Closing a socket with unread bytes resets the connection, and the caller may lose the end
        of the response.
        """
        lingers = self._output_full or self._pauses or self._listener.leaving
        if not (lingers or self._lingering_since_ms) or not self.transport.can_write_eof():
            self.close()
            return
        self._closing = True
        self._cancel_pending()
        self._lingering_since_ms = self._listener.clock.now_ms()
        self.transport.write_eof()
        # Reading on shows when the caller closes.
        self._resume(self._pauses)

    def close(self) -> None:
        """Close the connection once its output is sent."""
        self._closing = True
        self._cancel_pending()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._closing = True
        self._drop_incomplete()
        self._cancel_pending()
        self._listener.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def _refuse(self, status: int, response: BufferedResponse | None = None) -> None:
        """Queue an error response after those to earlier requests, and read no more requests."""
        self._drop_incomplete()
        pending = PendingResponse("GET", True)
        pending.response, pending.done = response or BufferedResponse(status, []), True
        self._pending.append(pending)
        self._closing = True
        self._lingering_since_ms = self._listener.clock.now_ms()
        self._flush()

    def unsent_bytes(self) -> int:
        """Return the length of responses that the caller has not read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def busy(self) -> bool:
        """Return whether a request has no response yet, or one that is not sent completely."""
        return bool(self._pending) or self.unsent_bytes() > 0

    @property
    def has_unreceived(self) -> bool:
        """Return whether the caller has not yet received all that was sent."""
        if self.transport is None:
            return False
        return unacknowledged_bytes(self.transport.get_extra_info("socket")) > 0

    def sweep(self, now_ms: float, limits: CallerLimits) -> None:
        """Close the connection if it was idle, or refuse an incomplete head, after a timeout."""
        if self.transport is None:
            return
        unreceived_bytes = self.unsent_bytes()
        self._charge_unsent(unreceived_bytes)
        if unreceived_bytes:
            # A slow reader has as much time as it needs; one that reads nothing at all is gone. The
            # system takes bytes from the transport only once megabytes of its buffer are free.
            unreceived_bytes += unacknowledged_bytes(self.transport.get_extra_info("socket"))
            if unreceived_bytes != self._unreceived_bytes:
                self._unreceived_bytes, self._unreceived_since_ms = unreceived_bytes, now_ms
            elif now_ms - self._unreceived_since_ms > limits.idle_timeout_ms:
                self._listener.record_refusal("response not read")
                self.abort()
            return
        self._unreceived_bytes = 0
        if self._pending:
            return
        if self._lingering_since_ms is not None:
            if now_ms - max(self._lingering_since_ms, self.active_at_ms) > LINGER_MS:
                self.abort()
        elif self._head_since_ms is not None:
            if now_ms - self._head_since_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif now_ms - self.active_at_ms > limits.idle_timeout_ms and not self._pauses:
            self.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is pending or partly received."""
        if not self.busy and self._head_since_ms is None:
            self.close()
