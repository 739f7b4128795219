"""Serve HTTP with the low-level server of aiohttp, without an application or an access log."""

import asyncio
import logging
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict

from ..errors import CallerGone, ConnectionLost
from .http_names import PHRASES

HeaderPairs = Iterable[tuple[str, str]]

# Heads over these limits are refused before any routing work is done.
LINE_LIMIT_BYTES = 8 * 1024
FIELD_LIMIT_BYTES = 8 * 1024
MAX_FIELD_COUNT = 100

# Idle time after which the connection of a caller is closed.
KEEP_ALIVE_S = 75.0

# After an early response, the rest of the request is read for this time: an immediate close would
# reset the connection, and the caller could lose the response.
LINGER_S = 1.0

# SO_LINGER value with which closing a socket sends RST. A caller that reads a body without a length
# would otherwise take the close for the end of the response.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_silent_logger = logging.getLogger("gentianthread.http_server")
_silent_logger.addHandler(logging.NullHandler())
_silent_logger.propagate = False


class Exchange(ABC):
    """Read one HTTP request and write its response.

    Attributes:
        method: HTTP method in upper case.
        target: Path and query as sent.
        headers: Header fields in order.
        has_body: Whether the head announces a body.
        body_length: Content-Length in bytes, or None.
        head_sent: Whether the head of the response was written.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    has_body: bool
    body_length: int | None
    head_sent: bool = False

    @abstractmethod
    async def read(self) -> bytes | None:
        """Return the next bytes of the request body, or None after its end.

        Raises:
            CallerGone: The body ended early.
        """

    @abstractmethod
    async def send_head(
        self, status: int, headers: HeaderPairs, *, has_body: bool, close: bool = False
    ) -> None:
        """Write the head of the response.

        Args:
            status: HTTP status.
            headers: Header fields; without Content-Length, a body is chunked.
            has_body: Whether body bytes may follow.
            close: Whether the connection closes after the response.

        Raises:
            CallerGone: The caller closed the connection.
        """

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Write body bytes, waiting while the send buffer is full.

        Raises:
            CallerGone: The caller closed the connection.
        """

    @abstractmethod
    async def finish(self) -> None:
        """Complete the response.

        Raises:
            CallerGone: The caller closed the connection.
        """

    @abstractmethod
    def abort(self) -> None:
        """Reset the caller's connection, so that an incomplete response never looks complete."""


class HttpExchange(Exchange):
    """Adapt a request of the aiohttp server."""

    __slots__ = ("_keep_alive", "_payload", "_request", "_writer", "body_length", "has_body")

    def __init__(self, request: web.BaseRequest):
        """Wrap a request.

        Args:
            request: The request of the aiohttp server.
        """
        self._request = request
        self._writer = request.writer
        self._payload = request.content
        self._keep_alive = request.keep_alive
        self.method = request.method
        self.target = request.raw_path
        self.headers = list(request.headers.items())
        self.has_body = request.body_exists
        self.body_length = request.content_length

    @property
    def transport(self) -> asyncio.Transport | None:
        """Return the transport of the connection, or None if the caller has closed it."""
        return self._request.transport

    @property
    def keep_alive(self) -> bool:
        """Return whether the connection stays open after the response."""
        return self._keep_alive

    async def read(self) -> bytes | None:
        """Return the next bytes of the request body."""
        if not self.head_sent and self.headers:
            await self._send_continue()
        try:
            data = await self._payload.readany()
        except Exception as error:  # aiohttp raises several types for a body that ends early.
            raise CallerGone(f"request body: {type(error).__name__}") from error
        return data or None

    async def _send_continue(self) -> None:
        expected = self._request.headers.get("Expect")
        if expected is None or expected.lower() != "100-continue":
            return
        if not self._payload.is_eof() and not self._payload.total_bytes:
            transport = self._request.transport
            if transport is not None:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.headers = [pair for pair in self.headers if pair[0].lower() != "expect"]

    async def send_head(
        self, status: int, headers: HeaderPairs, *, has_body: bool, close: bool = False
    ) -> None:
        """Write the head of the response, which is sent together with the first body bytes."""
        fields = CIMultiDict(headers)
        if close:
            self._keep_alive = False
        is_http_1_0 = self._request.version < (1, 1)
        if has_body and "Content-Length" not in fields:
            if is_http_1_0:
                self._keep_alive = False
            else:
                fields["Transfer-Encoding"] = "chunked"
                self._writer.enable_chunking()
        if not self._keep_alive:
            fields["Connection"] = "close"
        elif is_http_1_0:
            fields["Connection"] = "keep-alive"
        self.head_sent = True
        reason = PHRASES.get(status, "Unknown")
        try:
            await self._writer.write_headers(f"HTTP/1.1 {status} {reason}", fields)
        except ValueError as error:
            raise ConnectionLost("caller", "answer head cannot be written") from error

    async def send(self, data: bytes) -> None:
        """Write body bytes."""
        try:
            await self._writer.write(data)
        except ConnectionError as error:
            raise CallerGone("closed while the answer was sent") from error

    async def finish(self) -> None:
        """Complete the response."""
        try:
            await self._writer.write_eof()
        except ConnectionError as error:
            raise CallerGone("closed while the answer was sent") from error

    def abort(self) -> None:
        """Reset the caller's connection."""
        self._keep_alive = False
        transport = self._request.transport
        if transport is None:
            return
        raw = transport.get_extra_info("socket")
        if raw is not None:
            try:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            except OSError:
                pass
        transport.abort()


class _SentResponse:
    """Report to aiohttp that the handler has already written the response."""

    __slots__ = ("keep_alive",)

    def __init__(self, keep_alive: bool):
        self.keep_alive = keep_alive

    async def prepare(self, request: web.BaseRequest) -> None:
        """Do nothing."""

    async def write_eof(self) -> None:
        """Do nothing."""


class _Protocol(RequestHandler):
    """Respond to requests that the parser rejects with the refusal of the listener."""

    __slots__ = ("_refuse",)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed head."""
        if status >= 500 or request.writer.output_size > 0:
            # After a failure of the handler, it is unknown whether the request ran: the connection
            # closes without a response.
            raise ConnectionError("no answer")
        too_large = isinstance(exc, LineTooLong) or "Too many" in (message or "")
        status, headers, body = self._refuse(431 if too_large else status)
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        response.force_close()
        return response


# Returns the status, header fields and body of the response to a head that cannot be parsed.
ErrorResponse = Callable[[int], tuple[int, list[tuple[str, str]], bytes]]


def _empty_error(status: int) -> tuple[int, list[tuple[str, str]], bytes]:
    return status, [], b""


class _Server(web.Server):
    def __init__(self, handler: Any, refuse: ErrorResponse):
        super().__init__(handler, handler_cancellation=True)
        self._refuse = refuse

    def __call__(self) -> RequestHandler:
        protocol = _Protocol(
            self,
            loop=self._loop,
            keepalive_timeout=KEEP_ALIVE_S,
            logger=_silent_logger,
            access_log=None,
            max_line_size=LINE_LIMIT_BYTES,
            max_field_size=FIELD_LIMIT_BYTES,
            max_headers=MAX_FIELD_COUNT,
            lingering_time=LINGER_S,
            auto_decompress=False,
        )
        protocol._refuse = self._refuse
        return protocol


class HttpListener:
    """Listen on one address and run a handler for each request.

    The task of a handler is cancelled when its caller closes the connection.

    Attributes:
        port: TCP port, or 0 before `open`.
    """

    def __init__(
        self,
        handler: Callable[[Exchange], Awaitable[None]],
        refuse: ErrorResponse = _empty_error,
    ):
        """Create a listener that is not open yet.

        Args:
            handler: Writes the response of an exchange.
            refuse: Returns status, header fields and body for a head that cannot be parsed.
        """
        self._handler = handler
        self._refuse = refuse
        self._web_server: _Server | None = None
        self._tcp_server: asyncio.Server | None = None
        self.port = 0

    async def open(self, host: str, port: int) -> None:
        """Start listening.

        Args:
            host: IP address.
            port: TCP port, or 0 for any free one.
        """
        self._web_server = _Server(self._serve, self._refuse)
        loop = asyncio.get_running_loop()
        self._tcp_server = await loop.create_server(self._web_server, host, port, backlog=1024)
        self.port = self._tcp_server.sockets[0].getsockname()[1]

    async def _serve(self, request: web.BaseRequest) -> _SentResponse:
        exchange = HttpExchange(request)
        await self._handler(exchange)
        if not exchange.head_sent:
            exchange.abort()
        return _SentResponse(exchange.keep_alive)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return 0 if self._web_server is None else len(self._web_server.connections)

    async def close(self, grace_s: float = 0.0) -> None:
        """Stop listening and close all connections.

        Args:
            grace_s: Time that running handlers have to end; at least 0.05 s.
        """
        if self._tcp_server is not None:
            self._tcp_server.close()
        if self._web_server is not None:
            await self._web_server.shutdown(max(grace_s, 0.05))
