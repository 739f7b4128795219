"""Connect the asyncio protocols of one event loop in memory, so that they run on virtual time."""

import asyncio
import socket
from collections import deque

LATENCY_S = 0.002

# Chunks under way from which a sender is told to pause.
PAUSE_CHUNKS = 4


class MemoryTransport(asyncio.Transport):
    """One end of a connection; bytes pass to the other end in order and with a delay."""

    def __init__(self, network, host, peer_host, peer_port):
        super().__init__()
        self.network = network
        self.host = host
        self.peer_host, self.peer_port = peer_host, peer_port
        self.protocol = None
        self.other = None
        self.under_way = deque()
        self.closing = self.ended = self.paused = self.pumping = False

    def get_extra_info(self, name, default=None):
        values = {"peername": (self.peer_host, self.peer_port), "socket": self.network.socket}
        return values.get(name, default)

    def is_closing(self):
        return self.closing

    def can_write_eof(self):
        return False

    def write(self, data):
        if not self.closing:
            self._send(bytes(data))
            if len(self.under_way) > PAUSE_CHUNKS and not self.paused:
                self.paused = True
                self.protocol.pause_writing()

    def get_write_buffer_size(self):
        return sum(len(data) for _, data in self.under_way if isinstance(data, bytes))

    def close(self):
        if not self.closing:
            self.closing = True
            self._send(None)
            self.network.loop.call_soon(self._end, None)

    def abort(self):
        if not self.closing:
            self.closing = True
            if self.network.random.random() < 0.5:
                self.under_way.clear()
            self._send(ConnectionResetError("reset"))
            self.network.loop.call_soon(self._end, None)

    def _end(self, error):
        if not self.ended:
            self.closing = self.ended = True
            self.network.transports.pop(self, None)
            self.protocol.connection_lost(error)

    def _send(self, data):
        self.under_way.append((self.network.loop.time() + LATENCY_S, data))
        self._pump()

    def _pump(self):
        """Deliver the next chunk when it is due and the direction is not cut."""
        if self.pumping or not self.under_way:
            return
        self.pumping = True
        due_s = max(self.under_way[0][0], self.network.open_from_s(self.host, self.peer_host))
        self.network.loop.call_at(due_s, self._deliver)

    def _deliver(self):
        self.pumping = False
        if self.under_way and self.network.open_from_s(self.host, self.peer_host) <= (
            self.network.loop.time()
        ):
            _, data = self.under_way.popleft()
            if data is None:
                self.other._receive_end()
            elif isinstance(data, Exception):
                self.other._end(data)
            elif not self.other.ended:
                self.other.protocol.data_received(data)
        if self.paused and not self.under_way:
            self.paused = False
            if not self.ended:
                self.protocol.resume_writing()
        self._pump()

    def _receive_end(self):
        if not self.ended:
            self.protocol.eof_received()
            self._end(None)


class MemoryServer:
    """Stand in for `asyncio.Server`."""

    def __init__(self, network, address):
        self.network, self.address = network, address
        self.sockets = [self]

    def getsockname(self):
        return self.address

    def close(self):
        self.network.listeners.pop(self.address, None)


class MemoryNetwork:
    """Replace the network functions of an event loop.

    Attributes:
        listeners: Protocol factories by address.
        transports: Open ends of all connections.
    """

    def __init__(self, loop, random):
        self.loop, self.random = loop, random
        self.listeners = {}
        # A dict keeps their order, on which the faults of a play depend.
        self.transports = {}
        # For the code that asks whether a connection was reset; nothing is sent over it.
        self.socket, self._socket_end = socket.socketpair()
        self._cut_until_s = {}
        loop.create_server, loop.create_connection = self.listen, self.connect

    def cut(self, host, peer_host, duration_s):
        """Delay everything from one host to another until a time."""
        until_s = self.loop.time() + duration_s
        self._cut_until_s[host, peer_host] = max(until_s, self.open_from_s(host, peer_host))

    def open_from_s(self, host, peer_host):
        return self._cut_until_s.get((host, peer_host), 0.0)

    async def listen(self, factory, host, port, **options):
        self.listeners[host, port] = factory
        return MemoryServer(self, (host, port))

    async def connect(self, factory, host, port, local_addr=None, **options):
        local_host = host if local_addr is None else local_addr[0]
        for one, other in ((local_host, host), (host, local_host)):
            wait_s = self.open_from_s(one, other) - self.loop.time()
            await asyncio.sleep(LATENCY_S + max(0.0, wait_s))
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError("refused")
        near = MemoryTransport(self, local_host, host, port)
        far = MemoryTransport(self, host, local_host, 50_000)
        near.other, far.other = far, near
        near.protocol, far.protocol = factory(), self.listeners[host, port]()
        for transport in (far, near):
            self.transports[transport] = None
            transport.protocol.connection_made(transport)
        return near, near.protocol

    def close(self):
        self.socket.close()
        self._socket_end.close()
