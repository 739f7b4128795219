"""Store buffered HTTP messages of callers, and connect handlers to listeners."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from httptools import HttpRequestParser

from .callbacks import Cancellable
from .header_fields import HeaderFields, HeaderPairs, render_fields
from .http_names import BODILESS_STATUS, PHRASES

# A body of this size or more is not copied: neither to an immutable object nor to its head.
LARGE_BODY_BYTES = 64 * 1024

# The classes below are instantiated for every request. They are not frozen, since the constructor
# of a frozen attrs class makes a call for each field.


@attrs.define(eq=False)
class BufferedRequest:
    """Store a request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        fields: Header fields.
        body: The body.
        transport: Transport of the caller's connection.
    """

    method: str
    target: str
    fields: HeaderFields = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    transport: asyncio.BaseTransport | None = attrs.field(default=None, repr=False)

    @property
    def peer_host(self) -> str:
        """Return the IP address of the caller, or an empty string if the connection is closed."""
        address = None if self.transport is None else self.transport.get_extra_info("peername")
        return address[0] if address else ""

    @property
    def headers(self) -> HeaderPairs:
        """Return the header fields in order."""
        return self.fields.pairs

    def find(self, name: str) -> str | None:
        """Return the first value of a header field, or None.

        Args:
            name: Name of the field in lower case.
        """
        return self.fields.first.get(name)


@attrs.define(eq=False)
class BufferedResponse:
    """Store a response with its complete body.

    Attributes:
        status: HTTP status.
        headers: Header fields without hop-by-hop fields.
        body: The body.
        fields: Serialized lines of further header fields.
    """

    status: int
    headers: HeaderPairs
    body: bytes = attrs.field(default=b"", repr=False)
    fields: str = ""


# Returns the response to a request, or None to close the connection without a response.
Handler = Callable[[BufferedRequest], Awaitable[BufferedResponse | None]]

# Receives the result of a handler; called once.
DeliverResponse = Callable[[BufferedResponse | None], None]

# Starts to handle a request. The response must be delivered after the call has returned, but not
# after the returned work was cancelled.
RequestStarter = Callable[[BufferedRequest, DeliverResponse], Cancellable]


def start_in_task(handler: Handler) -> RequestStarter:
    """Return a starter that creates a task for each request, which runs a handler."""

    async def run(request: BufferedRequest, deliver: DeliverResponse) -> None:
        try:
            response = await handler(request)
        except Exception:
            deliver(None)
            raise
        deliver(response)

    return lambda request, deliver: asyncio.ensure_future(run(request, deliver))


class PendingResponse:
    """Store the state of a request until its response is written.

    Attributes:
        method: HTTP method of the request.
        closes: Whether the connection closes after the response.
        response: The response; None to close the connection without one.
        done: Whether the handler has ended.
        work: Running work for the request, if any.
        held_bytes: Memory that is charged for the request, or for the response once it is done.
    """

    __slots__ = ("closes", "done", "held_bytes", "method", "response", "work")

    def __init__(self, method: str, closes: bool):
        self.method = method
        self.closes = closes
        self.response: BufferedResponse | None = None
        self.done = False
        self.work: Cancellable | None = None
        self.held_bytes = 0


def serialize_response(pending: PendingResponse, closes: bool) -> tuple[bytes, bytes]:
    """Return the head and the body of a response."""
    response = pending.response
    text = (
        f"HTTP/1.1 {response.status} {PHRASES.get(response.status, 'Unknown')}\r\n{response.fields}"
    )
    if response.headers:
        text += render_fields(response.headers)
    if response.status not in BODILESS_STATUS and pending.method != "HEAD":
        text += f"Content-Length: {len(response.body)}\r\n"
    text += "Connection: close\r\n\r\n" if closes else "\r\n"
    head = text.encode("utf-8", "surrogateescape")
    return head, b"" if pending.method == "HEAD" else response.body


def head_without_upgrade(parser: HttpRequestParser, fields: HeaderFields) -> bytes:
    """Return a head with only the framing of a request, for another parser.

    Args:
        parser: Parser that has read the head of the request.
        fields: Its header fields.
    """
    framing = [
        (name, value)
        for (_, value), name in zip(fields.pairs, fields.names, strict=True)
        if name in ("content-length", "transfer-encoding")
    ]
    if not parser.should_keep_alive():
        framing.append(("connection", "close"))
    line = f"{parser.get_method().decode()} / HTTP/{parser.get_http_version()}\r\n"
    return f"{line}{render_fields(framing)}\r\n".encode("utf-8", "surrogateescape")
