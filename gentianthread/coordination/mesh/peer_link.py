"""Exchange messages with one peer over one connection."""

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
from ...protocol.compression import LEAST_BYTES, MARK, Compressor, Decompressor
from ...protocol.messages_mesh import CancelRun, Probe, RunAnswer, RunRequest
from ...transport.callbacks import Cancellable, settle
from ...transport.direct_websocket import DirectWebSocket

if TYPE_CHECKING:
    from .peers import PeerLinks

# A link with requests under way on which nothing arrived for this long is asked.
ASK_MS = 250.0

# It counts as silent after this time: no new work goes over it, repeatable requests go elsewhere.
# Routes have timeouts from 700 ms on, and a repeat needs some of that.
SILENT_MS = 600.0

# It is closed after this time. Until then an answer to a request that may not be repeated can
# still arrive.
CLOSE_MS = 5_000.0

# A link that was quiet for this long may have gone silent for good. A request that may not be
# repeated goes over it only once the peer has answered a question. A path between zones and back
# takes under 20 ms.
QUIET_MS = 500.0
CONFIRM_MS = 150.0

# Pause before messages are written to a connection that holds too many unsent bytes.
FULL_PAUSE_MS = 5.0

# One answer of 64 MB and its head; bodies travel whole.
MESSAGE_LIMIT_BYTES = 70 * 1024 * 1024


class LinkSilent(ConnectionLost):
    """Report a request whose link went silent; it may have run."""


# Called once with the answer of a peer, or with the reason why there is none.
OnEnd = Callable[[RunAnswer | Exception], None]


@attrs.define(eq=False)
class PeerCall:
    """Follow a request that a peer runs.

    Attributes:
        link: The link that it was sent over.
        number: Its number on the link.
        repeatable: Whether it may run more than once.
        on_end: Takes its outcome.
    """

    link: "PeerLink"
    number: int
    repeatable: bool
    on_end: OnEnd

    def cancel(self) -> None:
        """Ask the peer to stop; nothing is called back."""
        self.link.cancel(self.number)


Runner = Callable[[RunRequest], Awaitable[RunAnswer]]
Starter = Callable[[RunRequest, Callable[[RunAnswer], None]], Cancellable | None]


class PeerLink:
    """Exchange messages with one peer over one connection.

    Attributes:
        host: Address of the peer's instance.
        leaving: Whether the peer said that it stops.
        silent: Whether nothing comes from the peer though it was asked.
        retired: Whether another link has taken its place; calls under way may still end.
    """

    def __init__(
        self, host: str, connection: DirectWebSocket, owner: "PeerLinks", *, dialled: bool
    ):
        """Wrap an open connection whose handshake is done."""
        self.host = host
        self.dialled = dialled
        self.leaving = False
        self.silent = False
        self.retired = False
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
        self._ended = asyncio.Event()
        self._received_ms = owner.clock.now_ms()
        self._asked_ms = float("-inf")
        self._heard: asyncio.Future | None = None

    def is_idle(self, now_ms: float) -> bool:
        """Return whether nothing came from the peer for a while."""
        return now_ms - self._received_ms > QUIET_MS

    async def check_alive(self) -> bool:
        """Return whether the peer answers a question in time."""
        if self._heard is None or self._heard.done():
            self._heard = asyncio.get_running_loop().create_future()
            self.post(self._owner.probe(reply=False))
        try:
            async with asyncio.timeout(CONFIRM_MS / 1000):
                await asyncio.shield(self._heard)
        except TimeoutError:
            self._become_silent(self._owner.clock.now_ms() - self._received_ms)
        return not self.silent and not self.closed

    def _become_silent(self, silence_ms: float) -> None:
        """Give no more work to the link, and have the peer dialled anew."""
        if self.silent:
            return
        self.silent = True
        log(PEER_SILENT, peer=self.host, silence_ms=silence_ms)
        self._owner.watch(self)
        self._owner.found_silent(self)
        repeatable = [call for call in self._calls.values() if call.repeatable]
        self._end_calls(repeatable, LinkSilent(self.host, "silent"))

    @property
    def calls(self) -> int:
        """Return the number of requests that wait for an answer of the peer."""
        return len(self._calls)

    def post(self, message: Any) -> None:
        """Send a message with the next batch."""
        self._outgoing.append(message)
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def begin(self, request: RunRequest, on_end: OnEnd) -> PeerCall:
        """Send a request.

        Args:
            request: The request; it gets the next number.
            on_end: Called once with the answer, with `ConnectionLost` where the link closed or went
                silent for a repeatable request, unless the call is cancelled.

        Raises:
            PeerUnreachable: The link is closed; nothing was sent.
        """
        if self.closed:
            raise PeerUnreachable(UpstreamId(self.host))
        number = next(self._numbers)
        call = PeerCall(self, number, request.repeatable, on_end)
        if not self._calls:
            self._received_ms = max(self._received_ms, self._owner.clock.now_ms())
            self._owner.watch(self)
        self._calls[number] = call
        request.call = number
        self.post(request)
        return call

    async def run(self, request: RunRequest) -> RunAnswer:
        """Send a request and return the answer of the peer.

        Cancelling the call asks the peer to stop the request.

        Args:
            request: The request; it gets the next number.

        Raises:
            PeerUnreachable: The link is closed; nothing was sent.
            ConnectionLost: The link closed, or went silent for a repeatable request.
        """
        ended: asyncio.Future[RunAnswer | Exception] = asyncio.get_running_loop().create_future()
        call = self.begin(request, partial(settle, ended))
        try:
            result = await ended
        except asyncio.CancelledError:
            call.cancel()
            raise
        if isinstance(result, Exception):
            raise result
        return result

    def cancel(self, number: int) -> None:
        """Ask the peer to stop a request that has no answer yet."""
        if self._calls.pop(number, None) is not None and not self.closed:
            self.post(CancelRun(number))

    def _end_calls(self, calls: list[PeerCall], error: Exception) -> None:
        for call in calls:
            # The end of an earlier one may have cancelled it.
            if self._calls.pop(call.number, None) is not None:
                call.on_end(error)

    def start(self) -> None:
        """Take messages until the connection ends."""
        self._connection.deliver_to(self._take, self._end)

    async def wait_ended(self) -> None:
        """Wait until the connection has ended."""
        await self._ended.wait()

    def _flush(self) -> None:
        """Write all messages that were posted in this turn of the loop as one."""
        if self.closed:
            return
        if self._connection.full:
            asyncio.get_running_loop().call_later(FULL_PAUSE_MS / 1000, self._flush)
            return
        self._flushing = False
        batch, self._outgoing = self._outgoing, []
        try:
            self._connection.post(self._pack(encode_batch(batch)))
        except TransportError as error:
            self._end(str(error))

    def _pack(self, data: bytes) -> bytes:
        """Compress a batch to another availability zone; these bytes are dear."""
        if len(data) < LEAST_BYTES:
            return data
        if self._compressor is None:
            if not self._owner.is_in_other_zone(self.host):
                return data
            self._compressor = Compressor()
        packed = self._compressor.compress(data)
        self._owner.metrics.count("peers.cross_zone_bytes", len(data))
        self._owner.metrics.count("peers.cross_zone_bytes_sent", len(packed))
        return packed

    def _unpack(self, data: bytes) -> bytes:
        if not data.startswith(MARK):
            return data
        if self._decompressor is None:
            self._decompressor = Decompressor(MESSAGE_LIMIT_BYTES)
        return self._decompressor.decompress(data)

    def _take(self, data: bytes) -> None:
        try:
            data = self._unpack(data)
            for message in decode_batch(data):
                self._receive(message)
        except MessageError as error:
            self._end(str(error))

    def _receive(self, message: Any) -> None:
        self._received_ms = self._owner.clock.now_ms()
        self.silent = False
        if self._heard is not None:
            settle(self._heard, None)
            self._heard = None
        if isinstance(message, RunAnswer):
            self._owner.on_revision(self, message.revision)
            call = self._calls.pop(message.call, None)
            if call is not None:
                call.on_end(message)
        elif isinstance(message, RunRequest):
            self._owner.on_revision(self, message.revision)
            run = self._owner.starter(message, partial(self._answer, message.call))
            if run is None:
                run = asyncio.ensure_future(self._run_here(message))
            self._runs[message.call] = run
        elif isinstance(message, CancelRun):
            run = self._runs.pop(message.call, None)
            if run is not None:
                run.cancel()
        elif isinstance(message, Probe):
            self.leaving = message.leaving
            if not message.reply:
                self.post(self._owner.probe(reply=True))
            self._owner.on_revision(self, message.revision)
        else:
            self._owner.on_message(self, message)

    def _answer(self, call: int, answer: RunAnswer) -> None:
        self._runs.pop(call, None)
        answer.call = call
        answer.revision = self._owner.revision()
        self.post(answer)

    async def _run_here(self, request: RunRequest) -> None:
        try:
            self._answer(request.call, await self._owner.runner(request))
        except Exception as error:
            log(TASK_FAILED, task=f"run {request.request_id}", error=repr(error))
            self._connection.abort()
        finally:
            self._runs.pop(request.call, None)

    def restart_silence(self, now_ms: float) -> None:
        """Count the silence from now on."""
        self._received_ms = now_ms

    def check_silence(self, now_ms: float) -> None:
        """Ask a quiet peer, and give up on one that does not answer."""
        silence_ms = now_ms - self._received_ms
        if silence_ms > CLOSE_MS:
            self._connection.abort()
        elif silence_ms > SILENT_MS:
            self._become_silent(silence_ms)
        if silence_ms > ASK_MS and now_ms - self._asked_ms > ASK_MS:
            self._asked_ms = now_ms
            self.post(self._owner.probe(reply=False))

    def _end(self, problem: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._ended.set()
        if self._heard is not None:
            settle(self._heard, None)
        self._connection.abort()
        self._end_calls(list(self._calls.values()), ConnectionLost(self.host, problem))
        for run in list(self._runs.values()):
            run.cancel()
        self._owner.ended(self, problem)

    async def close(self) -> None:
        """Send what is queued and close the connection."""
        if self._outgoing:
            self._flush()
        await self._connection.close()
