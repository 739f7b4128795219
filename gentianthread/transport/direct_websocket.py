"""Send and receive messages over WebSockets without a task for each connection.

The protocol is the sans-I/O implementation of the `websockets` library. Its asyncio implementation
passes each message through two queues and wakes two tasks, which takes longer than everything else
that a sidecar does with a short message.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from ..errors import ConnectionLost
from .connections import (
    CLOSE_TIMEOUT_MS,
    OPEN_TIMEOUT_MS,
    OPENING_LIMIT,
    UNAUTHENTICATED_MESSAGE_LIMIT_BYTES,
    Accept,
    Listener,
    MessageConnection,
    MessageTransport,
)
from .sockets import enable_keepalive
from .websocket_frames import extract_payload, parse_head, serialize_binary

# Handles a received message.
Receiver = Callable[[bytes], None]

# End of an opening request and of its response; neither has a body.
_HEAD_END = b"\r\n\r\n"


class DirectWebSocket(asyncio.Protocol, MessageConnection):
    """Act as one end of a WebSocket.

    Attributes:
        problem: Why the connection ended; empty while it is open.
    """

    def __init__(self, protocol: Protocol, on_open: Callable[["DirectWebSocket"], None]):
        """Create an end that is not connected yet.

        Args:
            protocol: The sans-I/O protocol of this end.
            on_open: Called with this end when the opening handshake is done.
        """
        loop = asyncio.get_running_loop()
        self.opened_at_s = loop.time()
        self.problem = ""
        self._protocol = protocol
        # The dialling end masks its payloads (RFC 6455, section 5.1).
        self._masks_payload = isinstance(protocol, ClientProtocol)
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._address = "unknown"
        self._is_open = False
        # Received start of an incomplete opening request, response or frame.
        self._incomplete = b""
        self._fragments: list[bytes] = []
        self._received: deque[bytes] = deque()
        self._receive_waiter: asyncio.Future | None = None
        self._receiver: Receiver | None = None
        self._on_lost: Callable[[str], None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._ended = asyncio.Event()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; send the opening request if this is the dialling end."""
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))
        address = transport.get_extra_info("peername")
        self._address = f"{address[0]}:{address[1]}" if address else "unknown"
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._write()

    def data_received(self, data: bytes) -> None:
        """Handle bytes of the peer."""
        if not self._is_open:
            self._receive_opening(data)
            return
        if self._incomplete:
            data = self._incomplete + data
        self._receive_frames(data)

    def _receive_opening(self, data: bytes) -> None:
        """Pass the opening request or response to the library once it is complete."""
        data = self._incomplete + data
        end = data.find(_HEAD_END)
        if end < 0 or end > UNAUTHENTICATED_MESSAGE_LIMIT_BYTES:
            self._incomplete = data
            if len(data) > UNAUTHENTICATED_MESSAGE_LIMIT_BYTES:
                self._terminate("opening request is too long")
            return
        self._incomplete = b""
        end += len(_HEAD_END)
        self._feed_protocol(data[:end])
        if self._is_open:
            self._receive_frames(data[end:])
        elif end < len(data):
            self._feed_protocol(data[end:])

    def _receive_frames(self, data: bytes) -> None:
        """Deliver unfragmented binary frames; pass other frames to the library one at a time."""
        start = 0
        while start < len(data) and not self._ended.is_set():
            head = parse_head(data, start)
            if head is None:
                break
            if (
                head.masked is self._masks_payload
                or head.payload_bytes > self._protocol.max_message_size
            ):
                # The library reports the protocol error to the peer and closes.
                self._feed_protocol(data[start:])
                return
            end = start + head.head_bytes + head.payload_bytes
            if end > len(data):
                break
            if (
                head.is_unfragmented_binary
                and not self._fragments
                and self._protocol.state is State.OPEN
            ):
                self._deliver(extract_payload(data, start, head))
            else:
                self._feed_protocol(data[start:end])
            start = end
        self._incomplete = data[start:]

    def _feed_protocol(self, data: bytes) -> None:
        self._protocol.receive_data(data)
        self._handle_events()

    def eof_received(self) -> None:
        """Handle the end of the peer's bytes."""
        self._protocol.receive_eof()
        self._handle_events()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self._terminate(self.problem or (str(error) if error else "closed"))

    def pause_writing(self) -> None:
        """Make `send` wait, as the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let `send` continue, as the send buffer has been drained."""
        self._writable.set()

    # Events of the protocol.

    def _handle_events(self) -> None:
        for event in self._protocol.events_received():
            if isinstance(event, Request):
                self._protocol.send_response(self._protocol.accept(event))
                self._handle_open()
            elif isinstance(event, Response):
                if self._protocol.handshake_exc is None:
                    self._handle_open()
            elif isinstance(event, Frame):
                self._handle_frame(event)
        self._write()
        failure = self._protocol.handshake_exc or self._protocol.parser_exc
        if failure is not None and not self._ended.is_set():
            self._terminate(str(failure))
        elif self._protocol.state is State.CLOSED:
            self._terminate("closed")

    def _handle_open(self) -> None:
        if self._protocol.state is State.OPEN:
            self._is_open = True
            self._on_open(self)

    def _handle_frame(self, frame: Frame) -> None:
        if frame.opcode not in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
            return
        if self._fragments or not frame.fin:
            self._fragments.append(bytes(frame.data))
            if not frame.fin:
                return
            data = b"".join(self._fragments)
            self._fragments.clear()
        else:
            data = bytes(frame.data)
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._receiver is not None:
            self._receiver(data)
            return
        self._received.append(data)
        self._wake_receiver()

    def _write(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for data in self._protocol.data_to_send():
            if data:
                self._transport.write(data)
            elif self._transport.can_write_eof():
                self._transport.write_eof()

    def _terminate(self, problem: str) -> None:
        if self._ended.is_set():
            return
        self.problem = problem
        self._ended.set()
        self._writable.set()
        self._wake_receiver()
        if self._transport is not None:
            self._transport.abort()
        if self._on_lost is not None:
            self._on_lost(problem)

    def _wake_receiver(self) -> None:
        if self._receive_waiter is not None and not self._receive_waiter.done():
            self._receive_waiter.set_result(None)

    # Methods of MessageConnection, and their variants without tasks.

    @property
    def peer_address(self) -> str:
        """Return the address and port of the peer."""
        return self._address

    @property
    def closed(self) -> bool:
        """Return whether the connection accepts no more messages."""
        return self._ended.is_set() or self._protocol.state is not State.OPEN

    @property
    def full(self) -> bool:
        """Return whether the send buffer is full."""
        return not self._writable.is_set()

    def post(self, data: bytes) -> None:
        """Send a message without waiting.

        Raises:
            ConnectionLost: The connection is closed.
        """
        if self.closed:
            raise ConnectionLost(self._address, self.problem or "closed")
        if not self._transport.is_closing():
            self._transport.write(serialize_binary(data, masked=self._masks_payload))

    async def send(self, data: bytes) -> None:
        """Send a message, then wait while the send buffer is full."""
        self.post(data)
        await self._writable.wait()

    async def receive(self) -> bytes:
        """Wait for the next message."""
        while not self._received:
            if self._ended.is_set():
                raise ConnectionLost(self._address, self.problem)
            self._receive_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._receive_waiter
            finally:
                self._receive_waiter = None
        return self._received.popleft()

    def deliver_to(self, receiver: Receiver, on_lost: Callable[[str], None]) -> None:
        """Deliver each further message to a function instead of `receive`.

        Args:
            receiver: Called with each message.
            on_lost: Called once with the reason when the connection has ended.
        """
        self._receiver, self._on_lost = receiver, on_lost
        while self._received:
            receiver(self._received.popleft())
        if self._ended.is_set():
            on_lost(self.problem)

    def raise_limit(self, limit_bytes: int) -> None:
        """Raise the limit of the parser, which applies it from the next message on."""
        self._protocol.max_message_size = limit_bytes

    async def close(self) -> None:
        """Close with a closing handshake, within a bounded time."""
        if not self.closed:
            self._protocol.send_close()
            self._write()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / 1000):
                await self._ended.wait()
        except TimeoutError:
            self._terminate("closing handshake not finished")

    def abort(self) -> None:
        """Abort the TCP connection."""
        self._terminate("aborted")


class DirectListener(Listener):
    """Accept WebSockets on one TCP port."""

    def __init__(self, accept: Accept):
        """Use `DirectTransport.listen` to create one."""
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._port = 0
        self._opening: set[DirectWebSocket] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_connection, host, port, backlog=1024)
        self._port = self._server.sockets[0].getsockname()[1]

    def _make_connection(self) -> asyncio.Protocol:
        protocol = ServerProtocol(max_size=UNAUTHENTICATED_MESSAGE_LIMIT_BYTES)
        connection = DirectWebSocket(protocol, self._start)
        if len(self._opening) >= OPENING_LIMIT:
            return _RejectedConnection()
        self._opening.add(connection)
        asyncio.get_running_loop().call_later(OPEN_TIMEOUT_MS / 1000, self._expire, connection)
        return connection

    def _expire(self, connection: DirectWebSocket) -> None:
        if connection in self._opening:
            self._opening.discard(connection)
            connection.abort()

    def _start(self, connection: DirectWebSocket) -> None:
        self._opening.discard(connection)
        task = asyncio.ensure_future(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: DirectWebSocket) -> None:
        try:
            await self._accept(connection)
        finally:
            connection.abort()

    @property
    def port(self) -> int:
        """Return the TCP port."""
        return self._port

    async def close(self) -> None:
        """Close the listening sockets."""
        self._server.close()


class _RejectedConnection(asyncio.Protocol):
    """Reset a connection over the limit of concurrent opening handshakes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        transport.abort()


class DirectTransport(MessageTransport):
    """Open and accept WebSockets over TCP, with the options of `WebSocketTransport`."""

    def __init__(self, source_address: str | None = None):
        """Create a transport.

        Args:
            source_address: Local IP address of outgoing connections, or None for any.
        """
        self._local_address = None if source_address is None else (source_address, 0)

    async def connect(self, host: str, port: int) -> DirectWebSocket:
        """Open a WebSocket."""
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        loop = asyncio.get_running_loop()
        opened = loop.create_future()

        def make_connection() -> DirectWebSocket:
            protocol = ClientProtocol(
                parse_uri(f"ws://{name}/"), max_size=UNAUTHENTICATED_MESSAGE_LIMIT_BYTES
            )
            return DirectWebSocket(protocol, lambda _: opened.done() or opened.set_result(None))

        connection: DirectWebSocket | None = None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    make_connection, host, port, local_addr=self._local_address
                )
                ended = asyncio.ensure_future(connection._ended.wait())
                await asyncio.wait((opened, ended), return_when=asyncio.FIRST_COMPLETED)
                ended.cancel()
        except (OSError, TimeoutError, WebSocketException) as error:
            if connection is not None:
                connection.abort()
            raise ConnectionLost(name, f"{type(error).__name__}: {error}") from error
        except BaseException:
            if connection is not None:
                connection.abort()
            raise
        if not opened.done():
            raise ConnectionLost(name, connection.problem)
        return connection

    async def listen(self, host: str, port: int, accept: Accept) -> DirectListener:
        """Listen on a TCP port."""
        listener = DirectListener(accept)
        await listener.open(host, port)
        return listener
