"""Exchange messages with one peer over one connection, and detect when the peer goes silent."""

import asyncio
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any

from ...errors import ConnectionLost, MessageError, PeerUnreachable, TransportError
from ...events import PEER_SILENT, TASK_FAILED
from ...ids import UpstreamId
from ...logs import log
from ...protocol.codec import decode_batch, encode_batch
from ...protocol.compression import COMPRESSED_MARK, MIN_COMPRESSED_BYTES, Compressor, Decompressor
from ...protocol.messages_mesh import (
    BodyCredit,
    BodyOffer,
    BodyPart,
    CancelRun,
    Probe,
    RunAnswer,
    RunRequest,
)
from ...state.memory_budget import MemoryOwner
from ...transport.callbacks import Cancellable, settle
from ...transport.direct_websocket import DirectWebSocket
from .body_transfers import (
    BATCH_PART_BYTES,
    CHARGED_BODY_BYTES,
    LARGE_BODY_BYTES,
    MAX_BATCH_MESSAGES,
    BodyTransfers,
    split_batch,
)
from .outcomes import refused_answer, unknown_answer
from .peer_call import LinkSilent, OnEnd, PeerCall

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

# Longest message of a peer. Large bodies are sent in parts, but documents are not.
MAX_MESSAGE_BYTES = 70 * 1024 * 1024

# Memory of a request of a peer beside its fields and body.
RUN_BYTES = 4_096


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
        self._run_bytes: dict[int, int] = {}
        self._outgoing: list[Any] = []
        self._memory = owner.memory
        # Memory charged for queued answers, and whether some is for the last batch.
        self._queued_bytes, self._charged_output = 0, False
        self._transfers = BodyTransfers(owner.intake, self.post, owner.clock.now_ms)
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
    def has_unsent_answers(self) -> bool:
        """Return whether an answer to the peer is not sent completely."""
        return self._transfers.has_answers or bool(self._queued_bytes)

    @property
    def pending_calls(self) -> int:
        """Return the number of calls that wait for an answer of the peer."""
        return len(self._calls)

    def post(self, message: Any) -> None:
        """Queue a message for the next batch."""
        self._outgoing.append(message)
        self._flush_soon()

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
        self._send(request)
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
            self._transfers.cancel_own(number)
            self.post(CancelRun(number))

    def _fail_calls(self, calls: list[PeerCall], error: Exception) -> None:
        for call in calls:
            # An earlier callback may have cancelled this call.
            if self._calls.pop(call.number, None) is not None:
                if not self.closed and self._transfers.has_body(call.number):
                    # The link may recover, and the peer would keep its part of the transfer.
                    self.post(CancelRun(call.number))
                was_unsent = self._transfers.cancel_own(call.number)
                call.on_end(PeerUnreachable(UpstreamId(self.host)) if was_unsent else error)

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
        if self._charged_output:
            self._charged_output = False
            self._memory.release(MemoryOwner.LINK_OUT, self._connection)
        if not (batch := self._take_batch()):
            return
        data = self._compress(self._encode(batch))
        try:
            self._connection.post(data)
        except TransportError as error:
            self._on_connection_end(str(error))
            return
        if self._connection.full:
            self._charged_output = True
            self._memory.charge(MemoryOwner.LINK_OUT, self._connection, len(data))
        if self._outgoing or self._transfers.sendable:
            self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _take_batch(self) -> list[Any]:
        """Return the next messages to send: queued ones, then parts of large bodies."""
        batch, self._outgoing = self._outgoing, []
        if len(batch) > MAX_BATCH_MESSAGES:
            batch, self._outgoing = split_batch(batch)
        if self._queued_bytes:
            # Answers that were queued before the connection was full are not charged.
            sent_bytes = self._queued_bytes
            if self._outgoing:
                answers = [each for each in batch if isinstance(each, RunAnswer)]
                sent_bytes = min(sent_bytes, sum(len(each.body) for each in answers))
            self._queued_bytes -= sent_bytes
            self._memory.release(MemoryOwner.LINK_OUT, self, sent_bytes)
        if self._transfers.sendable:
            batch.extend(self._transfers.next_parts(BATCH_PART_BYTES))
        return batch

    def _send(self, message: RunRequest | RunAnswer) -> None:
        """Send a message whose body may be large."""
        size = len(message.body)
        if size >= LARGE_BODY_BYTES:
            self._transfers.offer(message)
            return
        if size > CHARGED_BODY_BYTES and isinstance(message, RunAnswer) and self._connection.full:
            self._queued_bytes += size
            self._memory.charge(MemoryOwner.LINK_OUT, self, size)
        self.post(message)

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
            if not self._transfers.is_idle:
                self._transfers.add_body(message)
                # The peer may refuse a request before its body is sent.
                self._transfers.cancel_own(message.call)
            call = self._calls.pop(message.call, None)
            if call is not None:
                call.on_end(message)
        elif isinstance(message, RunRequest):
            self._owner.on_revision(self, message.revision)
            if self._transfers.incoming:
                self._transfers.add_body(message)
            self._start_run(message)
        elif isinstance(message, CancelRun):
            self._transfers.cancel_of_peer(message.call)
            run = self._end_run(message.call)
            if run is not None:
                run.cancel()
        elif isinstance(message, BodyPart):
            self._transfers.on_part(message)
        elif isinstance(message, BodyCredit):
            self._transfers.on_credit(message)
            if self._transfers.sendable:
                self._flush_soon()
        elif isinstance(message, BodyOffer):
            self._on_offer(message)
        elif isinstance(message, Probe):
            self._on_probe(message)
            self._owner.on_revision(self, message.revision)
        else:
            self._owner.on_message(self, message)

    def _on_offer(self, offer: BodyOffer) -> None:
        if offer.of_answer and offer.call not in self._calls:
            # Nobody waits for it any more.
            self.post(CancelRun(offer.call))
        elif not self._transfers.on_offer(offer):
            self._send_answer(offer.call, refused_answer("no memory"))

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
        self._end_run(call)
        answer.call = call
        answer.revision = self._owner.revision()
        self._send(answer)

    def _end_run(self, call: int) -> Cancellable | None:
        """Return the memory of a request of the peer, and return the request if it runs."""
        run_bytes = self._run_bytes.pop(call, 0)
        if run_bytes:
            self._memory.release(MemoryOwner.LINK_IN, self, run_bytes)
        return self._runs.pop(call, None)

    def _start_run(self, request: RunRequest) -> None:
        run_bytes = RUN_BYTES + len(request.fields) + len(request.body)
        if self._memory.is_short() and self._memory.is_full(run_bytes):
            self._send_answer(request.call, refused_answer("no memory"))
            return
        self._run_bytes[request.call] = run_bytes
        self._memory.charge(MemoryOwner.LINK_IN, self, run_bytes)
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
            self._end_run(request.call)

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
        self._transfers.close()
        self._run_bytes.clear()
        self._memory.release(MemoryOwner.LINK_IN, self)
        for holder in (self, self._connection):
            self._memory.release(MemoryOwner.LINK_OUT, holder)
        self._owner.on_link_closed(self, problem)

    def abort(self) -> None:
        """Close the connection at once; calls that wait for an answer fail."""
        self._connection.abort()

    async def close(self) -> None:
        """Send the queued messages and close the connection."""
        while self._outgoing and not self._connection.full and not self.closed:
            self._flush()
        await self._connection.close()
