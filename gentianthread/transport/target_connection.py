"""Exchange one buffered HTTP message at a time over a connection to the target of a node.

The parser is that of `httptools`. Each response gets a new parser, so that bytes which belong to no
request are not parsed as a part of the next response.
"""

import asyncio
from collections.abc import Callable
from functools import partial

import attrs
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..errors import ConnectionLost
from ..state.carried_requests import CarriedRequests
from .callbacks import settle
from .header_fields import HeaderFields
from .http_messages import LARGE_BODY_BYTES
from .http_names import MIN_FINAL_STATUS, MIN_INTERIM_STATUS, is_final_status
from .response_memory import BODY_LIMIT_BYTES, ResponseMemory
from .sockets import enable_keepalive, is_reset

# Longest head of a response.
HEAD_LIMIT_BYTES = 32 * 1024

# Bytes that may come before the head of a response: interim responses and late copies of responses
# to earlier requests.
SKIPPED_LIMIT_BYTES = 1024 * 1024

# Bytes of chunk framing and trailer fields that may come with a body: a fixed number, and as many
# for each byte of the body as chunks of one byte take.
FRAMING_LIMIT_BYTES = 32 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8

# Memory that a header field takes beside its name and value.
FIELD_OVERHEAD_BYTES = 256

# Descriptions of bytes that belong to no request, for `OnStray`.
STRAY_OTHER_ID = "an answer with the id of another request"
STRAY_AFTER_ANSWER = "bytes after a complete answer"
STRAY_WHILE_IDLE = "bytes while no request was under way"

# Idle time after which a connection is not reused if the target states no idle timeout.
DEFAULT_IDLE_LIMIT_MS = 4_000.0


@attrs.define(eq=False)
class TargetRequest:
    """Store a serialized request; `make_request` creates it.

    Attributes:
        data: The head, and the body unless it is large.
        method: HTTP method.
        request_id: Id that the response must echo.
        timeout_ms: Time until the response must be complete.
        large_body: A large body, which is not copied; else empty.
    """

    data: bytes
    method: str
    request_id: str
    timeout_ms: float
    large_body: bytes = b""


def make_request(
    method: str, target: str, fields: str, body: bytes, request_id: str, timeout_ms: float
) -> TargetRequest:
    """Serialize a request.

    Args:
        method: HTTP method.
        target: Path and query.
        fields: Serialized header field lines, without hop-by-hop fields and Content-Length.
        body: The body; an empty one gets a Content-Length only if the method usually has a body.
        request_id: Id that the response must echo.
        timeout_ms: Time until the response must be complete.
    """
    length = ""
    if body or method in ("POST", "PUT", "PATCH"):
        length = f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\n{fields}{length}\r\n"
    data = head.encode("utf-8", "surrogateescape")
    if len(body) < LARGE_BODY_BYTES:
        return TargetRequest(data + body, method, request_id, timeout_ms)
    return TargetRequest(data, method, request_id, timeout_ms, body)


class TargetResponse:
    """Store a response while it is parsed.

    Attributes:
        status: HTTP status.
        fields: Header fields.
        body: The body so far. Chunks are not kept apart: one of a byte would take over forty.
        has_head: Whether the head is complete.
        complete: Whether the whole response was received.
        skipped: Whether it belongs to an earlier request.
        keeps_alive: Whether the connection stays open after the response.
        head_bytes: Number of bytes received until the head was complete.
        rest_bytes: Number of bytes received after that, framing and trailer included.
        body_bytes: Length of the body so far.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "complete",
        "fields",
        "has_head",
        "head_bytes",
        "keeps_alive",
        "rest_bytes",
        "skipped",
        "status",
    )

    def __init__(self) -> None:
        self.status = 0
        self.fields = HeaderFields()
        self.body = bytearray()
        self.has_head = self.complete = self.skipped = False
        self.keeps_alive = True
        self.head_bytes = self.rest_bytes = self.body_bytes = 0


# Stands for the response of a connection without an exchange; it is never changed.
_NO_RESPONSE = TargetResponse()

# Called with a connection that received bytes which belong to no request, and what they were.
OnStray = Callable[["TargetConnection", str], None]


class TargetConnection(asyncio.Protocol):
    """Send requests to the target, one at a time.

    Attributes:
        number: Number that its pool gave it.
        transport: Transport of the connection; None before it is made and after it is lost.
        request_count: Number of requests sent.
        carried: Requests that were sent; an answer does not tell two attempts of one apart.
        idle_since_ms: Time at which the pool made the connection idle.
        acquired_at_ms: Time at which the pool last handed it out.
        keep_alive_ms: Idle time after which it is not reused.
        reusable: Whether its state allows another request.
        ended_by_close: Whether the current response has no length and ended with the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request_id_field: str,
        memory: ResponseMemory | None = None,
        on_stray: OnStray = lambda connection, description: None,
    ):
        """Create a connection that is not open yet.

        Args:
            loop: The event loop.
            request_id_field: Header field in which the target echoes the request id.
            memory: Limit that several connections share; one of its own by default.
            on_stray: Called for each response, or piece of one, that belongs to no request.
        """
        self.number = 0
        self.transport: asyncio.Transport | None = None
        self.request_count = 0
        self.carried = CarriedRequests()
        self.idle_since_ms = 0.0
        self.acquired_at_ms = 0.0
        self.keep_alive_ms = DEFAULT_IDLE_LIMIT_MS
        self.reusable = True
        self.ended_by_close = False
        self._loop = loop
        self._memory = ResponseMemory() if memory is None else memory
        self._on_stray = on_stray
        self._request_id_field = request_id_field.lower()
        self._on_result: Callable[[TargetResponse | Exception], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: TargetRequest | None = None
        self._was_head_request = self._answered_head_request = False
        self._parser: HttpResponseParser | None = None
        self._response = TargetResponse()
        # Bytes of this exchange that came before the head of its response.
        self._skipped_bytes = 0
        # Memory of the response that is not charged yet, and whether some is.
        self._uncharged_bytes = 0
        self._is_charged = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive probes."""
        self.transport = transport
        enable_keepalive(transport.get_extra_info("socket"))

    @property
    def usable(self) -> bool:
        """Return whether another request can be sent."""
        return self.reusable and self.transport is not None and not self.transport.is_closing()

    def start_exchange(
        self, request: TargetRequest, on_result: Callable[[TargetResponse | Exception], None]
    ) -> None:
        """Send a request.

        Args:
            request: The request.
            on_result: Called once with the response, with `ConnectionLost` if the connection failed
                or the response is malformed, or with `TimeoutError`.
        """
        self._answered_head_request |= self._was_head_request
        self._was_head_request = request.method == "HEAD"
        self._request = request
        self._parser, self._response = HttpResponseParser(self), TargetResponse()
        self._on_result = on_result
        self._skipped_bytes = 0
        self.request_count += 1
        # asyncio.timeout would need a task.
        self._timer = self._loop.call_later(request.timeout_ms / 1000, self._finish, TimeoutError())
        self.transport.write(request.data)
        if request.large_body:
            self.transport.write(request.large_body)

    def abandon_exchange(self) -> None:
        """Stop waiting for the current response without calling `on_result`."""
        self._on_result = None
        # An idle connection would keep their bodies.
        self._request, self._response = None, _NO_RESPONSE
        self._uncharged_bytes = 0
        if self._is_charged:
            self._is_charged = False
            self._memory.release(self)
        if self._timer is not None:
            self._timer.cancel()

    def _finish(self, result: TargetResponse | Exception) -> None:
        on_result = self._on_result
        if on_result is None:
            return
        if isinstance(result, TargetResponse) and result.body_bytes >= LARGE_BODY_BYTES:
            self._memory.hand_over(result.body_bytes)
        self.abandon_exchange()
        on_result(result)

    async def exchange(self, request: TargetRequest) -> TargetResponse:
        """Send a request and return its response.

        Raises:
            ConnectionLost: The connection failed, or the response is malformed.
            TimeoutError: The response was not complete in time.
        """
        ended: asyncio.Future[TargetResponse | Exception] = self._loop.create_future()
        self.start_exchange(request, partial(settle, ended))
        try:
            result = await ended
        except asyncio.CancelledError:
            self.abandon_exchange()
            raise
        if isinstance(result, Exception):
            raise result
        return result

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the current response; abort the connection if none is expected."""
        if self._on_result is None:
            self._on_stray(self, STRAY_WHILE_IDLE)
            self.abort()
            return
        response = self._response
        # The parser buffers an incomplete field without reporting its size.
        if response.has_head:
            response.rest_bytes += len(data)
        else:
            self._skipped_bytes += len(data)
            if not response.skipped:
                response.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.reusable = False
            if not self._response.complete:
                self._fail(f"no HTTP answer: {type(error).__name__}")
                return
            if isinstance(error, HttpParserError):
                self._on_stray(self, STRAY_AFTER_ANSWER)
        if self._response.complete:
            self._finish(self._response)
            return
        self._charge()
        problem = self._exceeded_limit()
        if problem:
            self._fail(problem)
        elif self._on_result is not None and self._memory.must_pause(self):
            self._memory.pause(self)

    def pause(self) -> None:
        """Read nothing, so that the target stops to send."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _exceeded_limit(self) -> str:
        """Return which limit the incomplete response exceeds, or an empty string."""
        response = self._response
        if not response.has_head:
            if response.head_bytes > HEAD_LIMIT_BYTES and not response.skipped:
                return "head too long"
            if self._skipped_bytes > SKIPPED_LIMIT_BYTES:
                return "too many bytes before the answer"
            return ""
        if response.body_bytes > BODY_LIMIT_BYTES:
            return "answer too long"
        framing_bytes = response.rest_bytes - response.body_bytes
        if framing_bytes > FRAMING_LIMIT_BYTES + FRAMING_BYTES_PER_BODY_BYTE * response.body_bytes:
            return "framing or trailer too long"
        return ""

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Mark the connection as not reusable if a response follows a complete one."""
        if self._response.complete:
            self._on_stray(self, STRAY_AFTER_ANSWER)
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; those of a trailer come after the body and decide nothing."""
        response = self._response
        if not response.complete and not response.has_head and self._on_result is not None:
            self._response.fields.add(name, value)
            self._uncharged_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Handle a complete head; skip interim responses and responses to an earlier request."""
        response = self._response
        if response.complete or self._request is None:
            # The exchange has ended within this read.
            return
        response.status = self._parser.get_status_code()
        if MIN_INTERIM_STATUS <= response.status < MIN_FINAL_STATUS:
            return
        if not is_final_status(response.status):
            # The target is in trouble; its response is complete, but no answer.
            self.reusable = False
        echoed_id = response.fields.first.get(self._request_id_field)
        if echoed_id is not None and echoed_id != self._request.request_id:
            self._on_stray(self, STRAY_OTHER_ID)
            self.reusable = False
            response.skipped = True
            if self._answered_head_request:
                # A copy of that answer may state the length of a body that it does not have.
                self.give_up("answer of another request after a HEAD request")
            return
        if echoed_id is None and self._request.request_id:
            # A copy of it could not be told from the answer to a later request.
            self.reusable = False
        response.has_head = True
        response.keeps_alive = self._parser.should_keep_alive()
        if self._request.method == "HEAD":
            response.complete = True

    def on_body(self, data: bytes) -> None:
        """Add bytes of the body."""
        response = self._response
        if response.has_head and not response.complete:
            response.body += data
            response.body_bytes += len(data)
            self._uncharged_bytes += len(data)

    def _charge(self) -> None:
        """Charge what the last read added to an incomplete response.

        Responses that are complete within one read, as most are, are not charged here.
        """
        count, self._uncharged_bytes = self._uncharged_bytes, 0
        if not count or self._on_result is None:
            return
        self._is_charged = True
        longest = self._memory.add(self, count)
        if longest is not None:
            longest.give_up("responses of the target fill the memory")

    def on_message_complete(self) -> None:
        """Complete the response, or discard a skipped one."""
        if self._response.has_head:
            self._response.complete = True
        else:
            self._response = TargetResponse()

    def eof_received(self) -> bool | None:
        """Complete a response without a length, unless the connection was in fact reset."""
        if is_reset(self.transport.get_extra_info("socket")):
            self._fail("reset")
            return None
        response = self._response
        self.reusable = False
        if self._on_result is not None and response.has_head and _ends_with_connection(response):
            # Only an orderly close completes a response that has no length.
            self.ended_by_close = response.complete = True
            self._finish(response)
        return None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the current exchange."""
        self.transport = None
        # Breaks the reference cycle, which would otherwise wait for the garbage collector.
        self._parser = None
        self.reusable = False
        self._fail("closed" if exc is None else str(exc))

    def give_up(self, problem: str) -> None:
        """Fail the current exchange and close the connection.

        Args:
            problem: Why, for the error of the exchange.
        """
        self._response = TargetResponse()
        self._fail(problem)

    def _fail(self, problem: str) -> None:
        self.abort()
        self._finish(ConnectionLost("target", problem))

    def abort(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


def _ends_with_connection(response: TargetResponse) -> bool:
    """Return whether the end of the connection ends a response: it has no length and no chunks."""
    fields = response.fields.first
    return "content-length" not in fields and "transfer-encoding" not in fields
