"""Carry messages over WebSockets without a task for each connection.

The protocol is that of the `websockets` library in its form without I/O. Its asyncio form passes
each message through two queues and wakes two tasks for it, which takes longer than all else that a
sidecar does with a short message.
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
from .websocket_frames import read_head, read_payload, write_binary

Receiver = Callable[[bytes], None]

# End of an opening request and of its response; neither has a body.
_HEAD_END = b"\r\n\r\n"


class DirectWebSocket(asyncio.Protocol, MessageConnection):
    """Be one end of a WebSocket."""

    def __init__(self, protocol: Protocol, on_open: Callable[["DirectWebSocket"], None]):
        """Wrap a protocol.

        Args:
            protocol: The protocol without I/O.
            on_open: Called once the opening handshake is done.
        """
        loop = asyncio.get_running_loop()
        self.opened_at_s = loop.time()
        self.problem = ""
        self._protocol = protocol
        # The end that dialled masks what it sends (RFC 6455, section 5.1).
        self._masks = isinstance(protocol, ClientProtocol)
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._address = "unknown"
        self._open = False
        # The start of an opening request, a response or a frame whose rest has not come.
        self._incomplete = b""
        self._parts: list[bytes] = []
        self._waiting: deque[bytes] = deque()
        self._reader: asyncio.Future | None = None
        self._receiver: Receiver | None = None
        self._on_lost: Callable[[str], None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._lost = asyncio.Event()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the opening request at the dialling end."""
        self._transport = transport
        enable_keepalive(transport.get_extra_info("socket"))
        address = transport.get_extra_info("peername")
        self._address = f"{address[0]}:{address[1]}" if address else "unknown"
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._write()

    def data_received(self, data: bytes) -> None:
        """Take bytes of the other end."""
        if not self._open:
            self._take_opening(data)
            return
        if self._incomplete:
            data = self._incomplete + data
        self._take_frames(data)

    def _take_opening(self, data: bytes) -> None:
        """Give the opening request or response to the library once it is whole."""
        data = self._incomplete + data
        end = data.find(_HEAD_END)
        if end < 0 or end > UNAUTHENTICATED_MESSAGE_LIMIT_BYTES:
            self._incomplete = data
            if len(data) > UNAUTHENTICATED_MESSAGE_LIMIT_BYTES:
                self._end("opening request is too long")
            return
        self._incomplete = b""
        end += len(_HEAD_END)
        self._give(data[:end])
        if self._open:
            self._take_frames(data[end:])
        elif end < len(data):
            self._give(data[end:])

    def _take_frames(self, data: bytes) -> None:
        """Deliver whole binary frames, and give all others to the library one at a time."""
        start = 0
        while start < len(data) and not self._lost.is_set():
            head = read_head(data, start)
            if head is None:
                break
            if head.masked is self._masks or head.payload_bytes > self._protocol.max_message_size:
                # The library tells the other end what is wrong and closes.
                self._give(data[start:])
                return
            end = start + head.head_bytes + head.payload_bytes
            if end > len(data):
                break
            if head.is_whole_binary and not self._parts and self._protocol.state is State.OPEN:
                self._deliver(read_payload(data, start, head))
            else:
                self._give(data[start:end])
            start = end
        self._incomplete = data[start:]

    def _give(self, data: bytes) -> None:
        self._protocol.receive_data(data)
        self._take_events()

    def eof_received(self) -> None:
        """Take the end of the other end's bytes."""
        self._protocol.receive_eof()
        self._take_events()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the reader that nothing more comes."""
        self._end(self.problem or (str(error) if error else "closed"))

    def pause_writing(self) -> None:
        """Note that too many bytes are unsent."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Note that bytes may be sent again."""
        self._drained.set()

    # Protocol.

    def _take_events(self) -> None:
        for event in self._protocol.events_received():
            if isinstance(event, Request):
                self._protocol.send_response(self._protocol.accept(event))
                self._note_open()
            elif isinstance(event, Response):
                if self._protocol.handshake_exc is None:
                    self._note_open()
            elif isinstance(event, Frame):
                self._take_frame(event)
        self._write()
        failure = self._protocol.handshake_exc or self._protocol.parser_exc
        if failure is not None and not self._lost.is_set():
            self._end(str(failure))
        elif self._protocol.state is State.CLOSED:
            self._end("closed")

    def _note_open(self) -> None:
        if self._protocol.state is State.OPEN:
            self._open = True
            self._on_open(self)

    def _take_frame(self, frame: Frame) -> None:
        if frame.opcode not in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
            return
        if self._parts or not frame.fin:
            self._parts.append(bytes(frame.data))
            if not frame.fin:
                return
            data = b"".join(self._parts)
            self._parts.clear()
        else:
            data = bytes(frame.data)
        self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self._receiver is not None:
            self._receiver(data)
            return
        self._waiting.append(data)
        self._wake()

    def _write(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for data in self._protocol.data_to_send():
            if data:
                self._transport.write(data)
            elif self._transport.can_write_eof():
                self._transport.write_eof()

    def _end(self, problem: str) -> None:
        if self._lost.is_set():
            return
        self.problem = problem
        self._lost.set()
        self._drained.set()
        self._wake()
        if self._transport is not None:
            self._transport.abort()
        if self._on_lost is not None:
            self._on_lost(problem)

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    # MessageConnection.

    @property
    def peer_address(self) -> str:
        """Return the address and port of the other end."""
        return self._address

    @property
    def closed(self) -> bool:
        """Return whether the connection takes no more messages."""
        return self._lost.is_set() or self._protocol.state is not State.OPEN

    @property
    def full(self) -> bool:
        """Return whether the connection holds more unsent bytes than it should."""
        return not self._drained.is_set()

    def post(self, data: bytes) -> None:
        """Send a message without waiting.

        Raises:
            ConnectionLost: The connection is closed.
        """
        if self.closed:
            raise ConnectionLost(self._address, self.problem or "closed")
        if not self._transport.is_closing():
            self._transport.write(write_binary(data, masked=self._masks))

    async def send(self, data: bytes) -> None:
        """Send a message, waiting while the connection takes no more bytes."""
        self.post(data)
        await self._drained.wait()

    async def receive(self) -> bytes:
        """Wait for the next message."""
        while not self._waiting:
            if self._lost.is_set():
                raise ConnectionLost(self._address, self.problem)
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return self._waiting.popleft()

    def deliver_to(self, receiver: Receiver, on_lost: Callable[[str], None]) -> None:
        """Hand each further message to a function, in place of `receive`.

        Args:
            receiver: Called with each message.
            on_lost: Called once with the reason when the connection has ended.
        """
        self._receiver, self._on_lost = receiver, on_lost
        while self._waiting:
            receiver(self._waiting.popleft())
        if self._lost.is_set():
            on_lost(self.problem)

    def raise_limit(self, limit_bytes: int) -> None:
        """Raise the limit of the parser, which reads it at the start of a message."""
        self._protocol.max_message_size = limit_bytes

    async def close(self) -> None:
        """Close with a closing handshake; bounded in time."""
        if not self.closed:
            self._protocol.send_close()
            self._write()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / 1000):
                await self._lost.wait()
        except TimeoutError:
            self._end("closing handshake not finished")

    def abort(self) -> None:
        """Drop the TCP connection."""
        self._end("aborted")


class DirectListener(Listener):
    """Accept WebSockets at one TCP port."""

    def __init__(self, accept: Accept):
        """Use `DirectTransport.listen` to create one."""
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._port = 0
        self._opening: set[DirectWebSocket] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self, host: str, port: int) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make, host, port, backlog=1024)
        self._port = self._server.sockets[0].getsockname()[1]

    def _make(self) -> asyncio.Protocol:
        protocol = ServerProtocol(max_size=UNAUTHENTICATED_MESSAGE_LIMIT_BYTES)
        connection = DirectWebSocket(protocol, self._start)
        if len(self._opening) >= OPENING_LIMIT:
            return _Refusing()
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


class _Refusing(asyncio.Protocol):
    """Drop a connection beyond the limit of those that are opening."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        transport.abort()


class DirectTransport(MessageTransport):
    """Open and accept WebSockets over TCP; see `WebSocketTransport` for what is left off."""

    def __init__(self, source_address: str | None = None):
        """Create a transport.

        Args:
            source_address: IP address that outgoing connections come from, or None for any.
        """
        self._source = None if source_address is None else (source_address, 0)

    async def connect(self, host: str, port: int) -> DirectWebSocket:
        """Open a WebSocket."""
        name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        loop = asyncio.get_running_loop()
        opened = loop.create_future()

        def make() -> DirectWebSocket:
            protocol = ClientProtocol(
                parse_uri(f"ws://{name}/"), max_size=UNAUTHENTICATED_MESSAGE_LIMIT_BYTES
            )
            return DirectWebSocket(protocol, lambda _: opened.done() or opened.set_result(None))

        connection: DirectWebSocket | None = None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    make, host, port, local_addr=self._source
                )
                lost = asyncio.ensure_future(connection._lost.wait())
                await asyncio.wait((opened, lost), return_when=asyncio.FIRST_COMPLETED)
                lost.cancel()
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
