"""Exchange messages with one peer over one connection, and detect when the peer goes silent."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any

import attrs

from ...errors import ConnectionLost, MessageError, PeerUnreachable, TransportError
from ...events import PEER_SILENT, TASK_FAILED
from ...ids import UpstreamId
from ...logs import log
from ...protocol.codec import decode_batch, encode_batch
from ...protocol.compression import COMPRESSED_MARK, MIN_COMPRESSED_BYTES, Compressor, Decompressor
from ...protocol.messages_mesh import CancelRun, Probe, RunAnswer, RunRequest
from ...transport.callbacks import Cancellable, settle
from ...transport.direct_websocket import DirectWebSocket
from .outcomes import unknown_answer

if TYPE_CHECKING:
    from .peers import PeerLinks

# Only answers show that a link works in both directions: if it is cut in one, a peer that reads
# nothing goes on sending messages of its own.

# A link with pending calls sends a probe after receiving no answer for this long.
PROBE_AFTER_MS = 250.0

# A link is silent after receiving no answer for this long: it gets no new requests, and repeatable
# ones are retried elsewhere. Route timeouts start at 700 ms, so time is left for the retry.
SILENT_AFTER_MS = 600.0

# A silent link is closed after this time. Until then the answer to a request that may not be
# repeated can still arrive.
CLOSE_AFTER_MS = 5_000.0

# A link that received no answer for this long may be broken. A request that may not be repeated is
# sent over it only after the peer has answered a probe. A round trip between zones takes under
# 20 ms.
IDLE_AFTER_MS = 500.0
PROBE_TIMEOUT_MS = 150.0

# Delay before the next attempt to write to a connection whose send buffer is full.
WRITE_RETRY_MS = 5.0

# Allows one answer with a body of 64 MB and its head; bodies are not split.
MAX_MESSAGE_BYTES = 70 * 1024 * 1024


class LinkSilent(ConnectionLost):
    """Report a call whose link went silent; the peer may have run the request."""


# Called once with the peer's answer, or with the error that prevented it.
OnEnd = Callable[[RunAnswer | Exception], None]


@attrs.define(eq=False)
class PeerCall:
    """Track a request that a peer runs.

    Attributes:
        link: The link that the request was sent over.
        number: Number of the call on the link.
        repeatable: Whether the request may run more than once.
        on_end: Called with the answer or the error.
    """

    link: "PeerLink"
    number: int
    repeatable: bool
    on_end: OnEnd

    def cancel(self) -> None:
        """Ask the peer to stop the request; `on_end` is not called."""
        self.link.cancel(self.number)


# Runs a request of a peer and returns the answer.
Runner = Callable[[RunRequest], Awaitable[RunAnswer]]
# Starts a request of a peer without a task, and passes the answer to the callback. Returns None if
# the request needs a task.
Starter = Callable[[RunRequest, Callable[[RunAnswer], None]], Cancellable | None]


class PeerLink:
    """Send and receive messages of one peer over one connection.

    Attributes:
        host: Address of the peer's instance.
        dialled: Whether this node opened the connection.
        leaving: Whether the peer announced that it stops.
        silent: Whether the peer stopped answering.
        replaced: Whether a newer link is used instead; pending calls may still end.
        closed: Whether the connection has ended.
    """

    def __init__(
        self, host: str, connection: DirectWebSocket, owner: "PeerLinks", *, dialled: bool
    ):
        """Wrap an open connection after its handshake."""
        self.host = host
        self.dialled = dialled
        self.leaving = False
        self.silent = False
        self.replaced = False
        self.closed = False
        self._connection = connection
        self._owner = owner
        self._numbers = count(1)
        self._calls: dict[int, PeerCall] = {}
        self._runs: dict[int, Cancellable] = {}
        self._outgoing: list[Any] = []
        self._compressor: Compressor | None = None
        self._decompressor: Decompressor | None = None
        self._flushing = False
        self._closed_event = asyncio.Event()
        # When the last answer arrived; the handshake counts as one.
        self._answered_ms = owner.clock.now_ms()
        # Since when an answer is missing; starts anew with the first pending call, with the check
        # of an idle link and after a pause of this process.
        self._unanswered_since_ms = self._answered_ms
        self._probed_ms = float("-inf")
        self._last_probe = 0
        # The last check, with the number of its probe and the time at which it was sent.
        self._check: asyncio.Future | None = None
        self._checked_probe = 0
        self._checked_ms = float("-inf")

    def is_idle(self, now_ms: float) -> bool:
        """Return whether no answer was received for so long that the link may be broken."""
        return now_ms - self._answered_ms > IDLE_AFTER_MS

    async def check_alive(self) -> bool:
        """Probe the peer and return whether it answers this probe, or a later one, in time."""
        now_ms = self._owner.clock.now_ms()
        # An answer to an older probe, whose request may have been cancelled, tells nothing of now.
        if self._check is None or now_ms - self._checked_ms >= PROBE_TIMEOUT_MS:
            self._check = asyncio.get_running_loop().create_future()
            self._checked_probe, self._checked_ms = self._send_probe(), now_ms
            if not self._calls and not self.silent:
                self._unanswered_since_ms = now_ms
        check = self._check
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                await asyncio.shield(check)
        except TimeoutError:
            self._mark_silent(self._owner.clock.now_ms() - self._answered_ms)
        return not self.silent and not self.closed

    def _send_probe(self) -> int:
        """Send a probe and return its number."""
        self._last_probe += 1
        self.post(self._owner.make_probe(number=self._last_probe))
        return self._last_probe

    def _mark_silent(self, silence_ms: float) -> None:
        """Stop using the link for new requests, and have the peer dialled again."""
        if self.silent:
            return
        self.silent = True
        log(PEER_SILENT, peer=self.host, silence_ms=silence_ms)
        self._owner.monitor(self)
        self._owner.on_link_silent(self)
        repeatable = [call for call in self._calls.values() if call.repeatable]
        self._fail_calls(repeatable, LinkSilent(self.host, "silent"))

    @property
    def pending_calls(self) -> int:
        """Return the number of calls that wait for an answer of the peer."""
        return len(self._calls)

    def post(self, message: Any) -> None:
        """Queue a message for the next batch."""
        self._outgoing.append(message)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def begin(self, request: RunRequest, on_end: OnEnd) -> PeerCall:
        """Send a request.

        Args:
            request: The request; its call number is set.
            on_end: Called once, unless the call is cancelled: with the answer, or with
                `ConnectionLost` if the link closed, or went silent during a repeatable request.

        Raises:
            PeerUnreachable: The link is closed; nothing was sent.
        """
        if self.closed:
            raise PeerUnreachable(UpstreamId(self.host))
        number = next(self._numbers)
        call = PeerCall(self, number, request.repeatable, on_end)
        if not self._calls:
            self._unanswered_since_ms = self._owner.clock.now_ms()
            self._owner.monitor(self)
        self._calls[number] = call
        request.call = number
        self.post(request)
        return call

    async def run(self, request: RunRequest) -> RunAnswer:
        """Send a request and return the answer of the peer.

        Cancelling the call asks the peer to stop the request.

        Args:
            request: The request; its call number is set.

        Raises:
            PeerUnreachable: The link is closed; nothing was sent.
            ConnectionLost: The link closed, or went silent during a repeatable request.
        """
        outcome: asyncio.Future[RunAnswer | Exception] = asyncio.get_running_loop().create_future()
        call = self.begin(request, partial(settle, outcome))
        try:
            result = await outcome
        except asyncio.CancelledError:
            call.cancel()
            raise
        if isinstance(result, Exception):
            raise result
        return result

    def cancel(self, number: int) -> None:
        """Ask the peer to stop a request that is not yet answered."""
        if self._calls.pop(number, None) is not None and not self.closed:
            self.post(CancelRun(number))

    def _fail_calls(self, calls: list[PeerCall], error: Exception) -> None:
        for call in calls:
            # An earlier callback may have cancelled this call.
            if self._calls.pop(call.number, None) is not None:
                call.on_end(error)

    def start(self) -> None:
        """Start to receive messages."""
        self._connection.deliver_to(self._on_data, self._on_connection_end)

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        await self._closed_event.wait()

    def _flush(self) -> None:
        """Write all queued messages as one batch."""
        if self.closed:
            return
        if self._connection.full:
            asyncio.get_running_loop().call_later(WRITE_RETRY_MS / 1000, self._flush)
            return
        self._flushing = False
        batch, self._outgoing = self._outgoing, []
        try:
            self._connection.post(self._compress(self._encode(batch)))
        except TransportError as error:
            self._on_connection_end(str(error))

    def _encode(self, batch: list[Any]) -> bytes:
        try:
            return encode_batch(batch)
        except Exception as error:
            log(TASK_FAILED, task=f"messages to {self.host}", error=repr(error))
            return self._encode_one_by_one(batch)

    def _encode_one_by_one(self, batch: list[Any]) -> bytes:
        """Encode the messages of a batch that can be encoded, and fail the others."""
        encodable = []
        for message in batch:
            try:
                encode_batch([message])
            except Exception as error:
                log(TASK_FAILED, task=f"{type(message).__name__} to {self.host}", error=repr(error))
                self._fail_message(message)
            else:
                encodable.append(message)
        return encode_batch(encodable)

    def _fail_message(self, message: Any) -> None:
        """End the request that an unsent message belongs to, if any."""
        if isinstance(message, RunRequest):
            call = self._calls.pop(message.call, None)
            if call is not None:
                # Nothing was sent.
                call.on_end(PeerUnreachable(UpstreamId(self.host)))
        elif isinstance(message, RunAnswer):
            self._send_answer(message.call, unknown_answer("fault of the node"))

    def _compress(self, data: bytes) -> bytes:
        """Compress a batch for another availability zone, as traffic between zones is charged."""
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        if self._compressor is None:
            if not self._owner.is_in_other_zone(self.host):
                return data
            self._compressor = Compressor()
        packed = self._compressor.compress(data)
        self._owner.metrics.count("peers.cross_zone_bytes", len(data))
        self._owner.metrics.count("peers.cross_zone_bytes_sent", len(packed))
        return packed

    def _decompress(self, data: bytes) -> bytes:
        if not data.startswith(COMPRESSED_MARK):
            return data
        if self._decompressor is None:
            self._decompressor = Decompressor(MAX_MESSAGE_BYTES)
        return self._decompressor.decompress(data)

    def _on_data(self, data: bytes) -> None:
        try:
            data = self._decompress(data)
            for message in decode_batch(data):
                self._on_message(message)
        except MessageError as error:
            self._on_connection_end(str(error))

    def _on_message(self, message: Any) -> None:
        if isinstance(message, RunAnswer):
            self._record_answer()
            self._owner.on_revision(self, message.revision)
            call = self._calls.pop(message.call, None)
            if call is not None:
                call.on_end(message)
        elif isinstance(message, RunRequest):
            self._owner.on_revision(self, message.revision)
            self._start_run(message)
        elif isinstance(message, CancelRun):
            run = self._runs.pop(message.call, None)
            if run is not None:
                run.cancel()
        elif isinstance(message, Probe):
            self._on_probe(message)
            self._owner.on_revision(self, message.revision)
        else:
            self._owner.on_message(self, message)

    def _on_probe(self, probe: Probe) -> None:
        self.leaving = probe.leaving
        if probe.number:
            self.post(self._owner.make_probe(answers=probe.number))
        if not probe.answers:
            return
        self._record_answer()
        if self._check is not None and probe.answers >= self._checked_probe:
            settle(self._check, None)
            self._check = None

    def _record_answer(self) -> None:
        """Record that the peer answered something that this node had sent."""
        self._answered_ms = self._unanswered_since_ms = self._owner.clock.now_ms()
        self.silent = False

    def _send_answer(self, call: int, answer: RunAnswer) -> None:
        self._runs.pop(call, None)
        answer.call = call
        answer.revision = self._owner.revision()
        self.post(answer)

    def _start_run(self, request: RunRequest) -> None:
        try:
            run = self._owner.starter(request, partial(self._send_answer, request.call))
        except Exception as error:
            self._fail_run(request, error)
            return
        if run is None:
            run = asyncio.ensure_future(self._run_in_task(request))
        self._runs[request.call] = run

    async def _run_in_task(self, request: RunRequest) -> None:
        try:
            self._send_answer(request.call, await self._owner.runner(request))
        except Exception as error:
            self._fail_run(request, error)
        finally:
            self._runs.pop(request.call, None)

    def _fail_run(self, request: RunRequest, error: Exception) -> None:
        """Answer a request that failed in this node; the others on the link go on."""
        log(TASK_FAILED, task=f"run {request.request_id}", error=repr(error))
        self._send_answer(request.call, unknown_answer("fault of the node"))

    def reset_silence(self, now_ms: float) -> None:
        """Restart the measurement of silence."""
        self._unanswered_since_ms = now_ms

    def check_silence(self, now_ms: float) -> None:
        """Probe an unresponsive peer, then mark the link silent, then close it."""
        silence_ms = now_ms - self._unanswered_since_ms
        if silence_ms > CLOSE_AFTER_MS:
            self._connection.abort()
        elif silence_ms > SILENT_AFTER_MS:
            self._mark_silent(silence_ms)
        if silence_ms > PROBE_AFTER_MS and now_ms - self._probed_ms > PROBE_AFTER_MS:
            self._probed_ms = now_ms
            self._send_probe()

    def _on_connection_end(self, problem: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._closed_event.set()
        if self._check is not None:
            settle(self._check, None)
        self._connection.abort()
        self._fail_calls(list(self._calls.values()), ConnectionLost(self.host, problem))
        for run in list(self._runs.values()):
            run.cancel()
        self._owner.on_link_closed(self, problem)

    def abort(self) -> None:
        """Close the connection at once; calls that wait for an answer fail."""
        self._connection.abort()

    async def close(self) -> None:
        """Send the queued messages and close the connection."""
        if self._outgoing:
            self._flush()
        await self._connection.close()
