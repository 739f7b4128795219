"""Send and receive messages over connections in memory and over WebSockets."""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from ..errors import ConnectionLost

# Longest message of a peer before the handshake: an unauthenticated peer must not make the node
# buffer more than a handshake message needs.
UNAUTHENTICATED_MESSAGE_LIMIT_BYTES = 4 * 1024

# Connections of a listener that may be in their opening handshake at the same time.
OPENING_LIMIT = 256

# Timeouts of the opening and the closing handshake of a WebSocket.
OPEN_TIMEOUT_MS = 1_000
CLOSE_TIMEOUT_MS = 500

# The library logs a traceback for each failed opening handshake; a port scan would flood the log.
_library_logger = logging.getLogger("gentianthread.websockets")
_library_logger.addHandler(logging.NullHandler())
_library_logger.propagate = False


class MessageConnection(ABC):
    """Send and receive messages; one task may receive and one task may send.

    Attributes:
        opened_at_s: Event loop time at which the connection was made, in s.
    """

    opened_at_s: float

    @property
    @abstractmethod
    def peer_address(self) -> str:
        """Return the address of the peer, for logs."""

    @property
    @abstractmethod
    def closed(self) -> bool:
        """Return whether `send` is certain to fail without sending any byte."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a message, waiting while the send buffer is full.

        Raises:
            ConnectionLost: The connection is closed; the message may have been sent.
        """

    @abstractmethod
    async def receive(self) -> bytes:
        """Wait for the next message.

        Raises:
            ConnectionLost: The connection closed, or the message exceeds the limit.
        """

    @abstractmethod
    def raise_limit(self, limit_bytes: int) -> None:
        """Accept longer messages once the peer is authenticated.

        The limit applies to messages of which no byte has been received.

        Args:
            limit_bytes: New limit of the message length.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection after the messages that were sent, within a bounded time."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""


# Handles an accepted connection, which is closed when the call returns.
Accept = Callable[[MessageConnection], Awaitable[None]]


class Listener(ABC):
    """Accept connections on one address."""

    @property
    @abstractmethod
    def port(self) -> int:
        """Return the port on which connections are accepted."""

    @abstractmethod
    async def close(self) -> None:
        """Stop accepting connections; open ones stay open."""


class MessageTransport(ABC):
    """Open and accept message connections."""

    @abstractmethod
    async def connect(self, host: str, port: int) -> MessageConnection:
        """Open a connection.

        Raises:
            ConnectionLost: No listener accepted the connection.
        """

    @abstractmethod
    async def listen(self, host: str, port: int, accept: Accept) -> Listener:
        """Accept connections; a connection is closed when its `accept` call returns.

        Args:
            host: IP address to listen on.
            port: Port to listen on, or 0 for any free one.
            accept: Called with each connection.
        """


class MemoryConnection(MessageConnection):
    """Act as one end of a connection within a process; see `memory_connection_pair`.

    Attributes:
        other: The other end.
        silent: Whether all messages are lost.
        sent_messages: Number of messages sent.
        sent_bytes: Total length of the messages sent.
    """

    def __init__(self, name: str, delay_ms: float = 0.0, bytes_per_s: float | None = None):
        """Create one end.

        Args:
            name: Address of the other end, for logs.
            delay_ms: Delay of each message.
            bytes_per_s: Rate at which `send` accepts bytes, or None for no limit.
        """
        self.other: MemoryConnection = self
        self.opened_at_s = asyncio.get_running_loop().time()
        self.silent = False
        self.sent_messages = 0
        self.sent_bytes = 0
        self._name = name
        self._delay_ms = delay_ms
        self._bytes_per_s = bytes_per_s
        self._limit_bytes = UNAUTHENTICATED_MESSAGE_LIMIT_BYTES
        self._closed = False
        self._in_transit: deque[bytes | None] = deque()
        self._inbox: deque[bytes | None] = deque()
        self._arrived = asyncio.Event()

    @property
    def peer_address(self) -> str:
        """Return the name of the other end."""
        return self._name

    @property
    def closed(self) -> bool:
        """Return whether this end is closed."""
        return self._closed

    def go_silent(self) -> None:
        """Lose everything that either end sends from now on, including a close."""
        self.silent = self.other.silent = True

    async def send(self, data: bytes) -> None:
        """Deliver a message to the other end after the delay."""
        self._check_open()
        self.sent_messages += 1
        self.sent_bytes += len(data)
        self._transmit(data)
        if self._bytes_per_s is not None:
            await asyncio.sleep(len(data) / self._bytes_per_s)
            self._check_open()

    async def receive(self) -> bytes:
        """Wait for the next message."""
        while not self._inbox:
            self._check_open()
            self._arrived.clear()
            await self._arrived.wait()
        self._check_open()
        data = self._inbox.popleft()
        if data is None:
            self._closed = True
            raise ConnectionLost(self._name, "closed by the peer")
        if len(data) > self._limit_bytes:
            self.abort()
            raise ConnectionLost(self._name, f"message over {self._limit_bytes} bytes")
        return data

    def raise_limit(self, limit_bytes: int) -> None:
        """Accept longer messages."""
        self._limit_bytes = limit_bytes

    async def close(self) -> None:
        """Close this end and notify the other one."""
        self.abort()

    def abort(self) -> None:
        """Close this end and notify the other one."""
        if not self._closed:
            self._closed = True
            self._arrived.set()
            self._transmit(None)

    def _transmit(self, data: bytes | None) -> None:
        if self.silent:
            return
        if self._delay_ms <= 0:
            self._deliver(data)
            return
        # Timers with equal times fire in any order; the queue preserves the order of the messages.
        self._in_transit.append(data)
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_ms / 1000, lambda: self._deliver(self._in_transit.popleft()))

    def _deliver(self, data: bytes | None) -> None:
        if not self.silent:
            self.other._inbox.append(data)
            self.other._arrived.set()

    def _check_open(self) -> None:
        if self._closed:
            raise ConnectionLost(self._name, "closed")


def memory_connection_pair(
    delay_ms: float = 0.0, bytes_per_s: float | None = None
) -> tuple[MemoryConnection, MemoryConnection]:
    """Return the two ends of a memory connection.

    Args:
        delay_ms: Delay of each message.
        bytes_per_s: Rate at which each end accepts bytes, or None for no limit.
    """
    first = MemoryConnection("memory:first", delay_ms, bytes_per_s)
    second = MemoryConnection("memory:second", delay_ms, bytes_per_s)
    first.other, second.other = second, first
    return first, second


class MemoryListener(Listener):
    """Accept connections on one address of a `MemoryTransport`."""

    def __init__(self, transport: "MemoryTransport", address: tuple[str, int], accept: Accept):
        """Use `MemoryTransport.listen` to create one."""
        self.accept = accept
        self._transport = transport
        self._address = address

    @property
    def port(self) -> int:
        """Return the port."""
        return self._address[1]

    async def close(self) -> None:
        """Remove the listener from its address."""
        if self._transport.listeners.get(self._address) is self:
            del self._transport.listeners[self._address]


class MemoryTransport(MessageTransport):
    """Connect listeners inside one process.

    Attributes:
        connections: The dialling ends of all connections, in the order of opening.
        delay_ms: Delay of each message on new connections.
        bytes_per_s: Rate at which each end of new connections accepts bytes.
        listeners: Listeners by host and port.
    """

    def __init__(self, delay_ms: float = 0.0, bytes_per_s: float | None = None):
        """Create an empty transport.

        Args:
            delay_ms: Delay of each message on every connection.
            bytes_per_s: Rate at which each end accepts bytes, or None for no limit.
        """
        self.delay_ms = delay_ms
        self.bytes_per_s = bytes_per_s
        self.listeners: dict[tuple[str, int], MemoryListener] = {}
        self.connections: list[MemoryConnection] = []
        self._next_port = 1
        self._tasks: set[asyncio.Task] = set()

    async def connect(self, host: str, port: int) -> MemoryConnection:
        """Open a connection to a listener."""
        await asyncio.sleep(2 * self.delay_ms / 1000)
        listener = self.listeners.get((host, port))
        if listener is None:
            raise ConnectionLost(f"{host}:{port}", "refused")
        client_end, server_end = memory_connection_pair(self.delay_ms, self.bytes_per_s)
        self.connections.append(client_end)
        task = asyncio.ensure_future(self._serve(listener, server_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client_end

    async def listen(self, host: str, port: int, accept: Accept) -> MemoryListener:
        """Listen on an address; a later listener on the same address replaces this one."""
        if port == 0:
            port, self._next_port = self._next_port, self._next_port + 1
        listener = MemoryListener(self, (host, port), accept)
        self.listeners[host, port] = listener
        return listener

    async def _serve(self, listener: MemoryListener, connection: MemoryConnection) -> None:
        try:
            await listener.accept(connection)
        finally:
            connection.abort()


class WebSocketConnection(MessageConnection):
    """Send each message as one binary WebSocket message."""

    def __init__(self, socket: Connection, opened_at_s: float | None = None):
        """Wrap an open WebSocket.

        Args:
            socket: The open WebSocket.
            opened_at_s: Event loop time at which TCP connected; now by default.
        """
        self._socket = socket
        self.opened_at_s = opened_at_s or asyncio.get_running_loop().time()
        address = socket.remote_address
        self._address = f"{address[0]}:{address[1]}" if address else "unknown"

    @property
    def peer_address(self) -> str:
        """Return the address and port of the peer."""
        return self._address

    @property
    def closed(self) -> bool:
        """Return whether the WebSocket accepts no more messages."""
        return self._socket.state is not State.OPEN or self._socket.transport.is_closing()

    async def send(self, data: bytes) -> None:
        """Send a binary message."""
        try:
            await self._socket.send(data)
        except ConnectionClosed as error:
            raise ConnectionLost(self._address, str(error)) from error

    async def receive(self) -> bytes:
        """Wait for the next message."""
        try:
            return await self._socket.recv(decode=False)
        except ConnectionClosed as error:
            raise ConnectionLost(self._address, str(error)) from error

    def raise_limit(self, limit_bytes: int) -> None:
        """Raise the limit of the parser, which applies it from the next message on."""
        self._socket.protocol.max_message_size = limit_bytes

    async def close(self) -> None:
        """Close with a closing handshake."""
        await self._socket.close()

    def abort(self) -> None:
        """Abort the TCP connection."""
        self._socket.transport.abort()


class _OpeningCount:
    """Count the connections of a listener whose opening handshake is not finished."""

    def __init__(self) -> None:
        self.connections = 0


class _BoundedServerConnection(ServerConnection):
    """Limit the resources of connections whose opening handshake is not finished.

    The library accepts about 1 MB of HTTP headers and any number of connections.

    Attributes:
        opened_at_s: Event loop time at which TCP connected, in s.
    """

    def __init__(self, opening: _OpeningCount, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self._opening = opening
        self._is_opening = False
        self._opening_bytes = 0
        # The timeout of the handshake between nodes starts when TCP connects.
        self.opened_at_s = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or abort it if too many are opening."""
        super().connection_made(transport)
        if self._opening.connections >= OPENING_LIMIT:
            self.transport.abort()
            return
        self._is_opening = True
        self._opening.connections += 1

    def data_received(self, data: bytes) -> None:
        """Abort the connection if its opening request is too long."""
        if self._is_opening:
            self._opening_bytes += len(data)
            if self._opening_bytes > UNAUTHENTICATED_MESSAGE_LIMIT_BYTES:
                self.transport.abort()
                return
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Stop counting a connection that closed during its opening handshake."""
        self.finish_opening()
        super().connection_lost(error)

    def finish_opening(self) -> None:
        """Stop counting the connection as opening."""
        if self._is_opening:
            self._is_opening = False
            self._opening.connections -= 1


class WebSocketListener(Listener):
    """Accept WebSockets on one TCP port."""

    def __init__(self, server: Server):
        """Use `WebSocketTransport.listen` to create one."""
        self._server = server

    @property
    def port(self) -> int:
        """Return the TCP port."""
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listening sockets."""
        self._server.close(close_connections=False)


class WebSocketTransport(MessageTransport):
    """Open and accept WebSockets over TCP.

    Compression is off because it costs more processor time than the saved bytes are worth between
    nodes; the pings of the library are off because links send their own heartbeats.
    """

    _options = {
        "compression": None,
        "ping_interval": None,
        "max_size": UNAUTHENTICATED_MESSAGE_LIMIT_BYTES,
        "open_timeout": OPEN_TIMEOUT_MS / 1000,
        "close_timeout": CLOSE_TIMEOUT_MS / 1000,
        "logger": _library_logger,
    }

    def __init__(self, source_address: str | None = None):
        """Create a transport.

        Args:
            source_address: Local IP address of outgoing connections, or None for any.
        """
        self._connect_options = (
            {} if source_address is None else {"local_addr": (source_address, 0)}
        )

    async def connect(self, host: str, port: int) -> WebSocketConnection:
        """Open a WebSocket."""
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            socket = await connect(
                f"ws://{name}/",
                proxy=None,
                user_agent_header=None,
                **self._connect_options,
                **self._options,
            )
        except (OSError, TimeoutError, WebSocketException) as error:
            raise ConnectionLost(name, f"{type(error).__name__}: {error}") from error
        return WebSocketConnection(socket)

    async def listen(self, host: str, port: int, accept: Accept) -> WebSocketListener:
        """Listen on a TCP port."""

        async def handle(socket: _BoundedServerConnection) -> None:
            socket.finish_opening()
            await accept(WebSocketConnection(socket, socket.opened_at_s))

        server = await serve(
            handle,
            host,
            port,
            server_header=None,
            create_connection=partial(_BoundedServerConnection, _OpeningCount()),
            **self._options,
        )
        return WebSocketListener(server)
