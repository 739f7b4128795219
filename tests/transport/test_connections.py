import asyncio

from gentianthread.errors import ConnectionLost
from gentianthread.transport.connections import (
    OPENING_LIMIT,
    UNAUTHENTICATED_MESSAGE_LIMIT_BYTES,
    MemoryTransport,
    WebSocketTransport,
    memory_connection_pair,
)
from gentianthread.transport.direct_websocket import DirectTransport

from ..base import SocketTestCase, VirtualTimeTestCase

HOST = "127.0.0.1"


class ConnectionCases:
    """Check what every message connection does."""

    def make_transport(self):
        raise NotImplementedError

    async def open_pair(self):
        """Return the dialling and the accepting end; the accepting handler runs until `done`."""
        self.done = asyncio.Event()
        accepted = asyncio.get_running_loop().create_future()

        async def accept(connection):
            accepted.set_result(connection)
            await self.done.wait()

        transport = self.make_transport()
        self.listener = await transport.listen(HOST, 0, accept)
        near = await transport.connect(HOST, self.listener.port)
        return near, await accepted

    async def shut(self, *connections):
        for connection in connections:
            await connection.close()
        self.done.set()
        await self.listener.close()

    async def test_messages_arrive_whole_and_in_order(self):
        """Guards against messages that are joined, split or reordered."""
        near, far = await self.open_pair()
        sent = [b"", b"one", bytes(4_000), b"last"]
        for data in sent:
            await near.send(data)
            await far.send(data)
        self.assertEqual(sent, [await far.receive() for _ in sent])
        self.assertEqual(sent, [await near.receive() for _ in sent])
        await self.shut(near, far)

    async def test_close_ends_the_other_end(self):
        """Guards against a reader that waits forever for a closed peer."""
        near, far = await self.open_pair()
        await near.send(b"before")
        closing = asyncio.ensure_future(near.close())
        self.assertEqual(b"before", await far.receive())
        with self.assertRaisesType(ConnectionLost):
            await far.receive()
        await closing
        with self.assertRaisesType(ConnectionLost):
            await near.send(b"after")
        self.assertTrue(near.closed)
        await self.shut(far)

    async def test_abort_ends_both_ends(self):
        """Guards against an abort that leaves the own reader waiting."""
        near, far = await self.open_pair()
        near.abort()
        for end in (near, far):
            with self.assertRaisesType(ConnectionLost):
                await end.receive()
        await self.shut()

    async def test_long_message_is_refused_until_the_limit_is_raised(self):
        """Guards against an unproven peer that makes the node buffer long messages."""
        near, far = await self.open_pair()
        await near.send(b"small")
        self.assertEqual(b"small", await far.receive())
        far.raise_limit(100_000)
        long = bytes(UNAUTHENTICATED_MESSAGE_LIMIT_BYTES + 1)
        await near.send(long)
        self.assertEqual(long, await far.receive())
        await far.send(long)
        with self.assertRaisesType(ConnectionLost):
            await near.receive()
        await self.shut(near, far)

    async def test_missing_listener_is_a_lost_connection(self):
        """Guards against an untyped error for a peer that is down."""
        near, far = await self.open_pair()
        await self.shut(near, far)
        with self.assertRaisesType(ConnectionLost):
            await self.make_transport().connect(HOST, self.listener.port)


class TestMemoryConnection(ConnectionCases, VirtualTimeTestCase):
    def make_transport(self):
        return MemoryTransport()

    async def test_delay_and_rate_take_virtual_time(self):
        """Guards against link tests whose delay does nothing."""
        near, far = memory_connection_pair(delay_ms=5, bytes_per_s=1_000_000)
        loop = asyncio.get_running_loop()
        await near.send(bytes(4_000))
        self.assertAlmostEqual(0.004, loop.time(), 6)
        await far.receive()
        self.assertAlmostEqual(0.005, loop.time(), 6)

    async def test_silent_connection_loses_everything(self):
        """Guards against silence tests that still see the closing."""
        near, far = memory_connection_pair()
        near.go_silent()
        await near.send(b"lost")
        near.abort()
        with self.assertRaisesType(TimeoutError):
            await asyncio.wait_for(far.receive(), 10)


class TestWebSocketConnection(ConnectionCases, SocketTestCase):
    def make_transport(self):
        return WebSocketTransport()

    async def test_long_opening_request_is_dropped(self):
        """Guards against strangers who make the node hold 1 MB of HTTP headers each."""
        near, far = await self.open_pair()
        reader, writer = await asyncio.open_connection(HOST, self.listener.port)
        writer.write(b"GET / HTTP/1.1\r\n" + b"x: " + b"y" * 5_000 + b"\r\n")
        with self.assertRaisesType((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        await self.shut(near, far)

    async def test_opening_connections_are_limited(self):
        """Guards against strangers who hold connections without an opening request."""
        near, far = await self.open_pair()
        address = (HOST, self.listener.port)
        held = [await asyncio.open_connection(*address) for _ in range(OPENING_LIMIT)]
        with self.assertRaisesType(ConnectionLost):
            await self.make_transport().connect(*address)
        for _, writer in held:
            writer.close()
        await near.send(b"still served")
        self.assertEqual(b"still served", await far.receive())
        await self.shut(near, far)

    async def test_open_connections_do_not_count_as_opening(self):
        """Guards against a node that takes no more peers after 256 of them."""
        done = asyncio.Event()

        async def accept(connection):
            await done.wait()

        transport = self.make_transport()
        listener = await transport.listen(HOST, 0, accept)
        opened = [await transport.connect(HOST, listener.port) for _ in range(OPENING_LIMIT + 5)]
        self.assertEqual([], [connection for connection in opened if connection.closed])
        done.set()
        await listener.close()
        for connection in opened:
            connection.abort()


class TestDirectWebSocket(TestWebSocketConnection):
    def make_transport(self):
        return DirectTransport()

    async def test_receiver_gets_every_message_in_order(self):
        """Guards against messages before the receiver was set that are lost or overtaken."""
        near, far = await self.open_pair()
        await near.send(b"one")
        await asyncio.sleep(0.02)
        found, lost = [], asyncio.Event()
        far.deliver_to(found.append, lambda problem: lost.set())
        near.post(b"two")
        near.post(b"three")
        await near.close()
        await asyncio.wait_for(lost.wait(), 2)
        self.assertEqual([b"one", b"two", b"three"], found)
        await self.shut(near, far)


class TestSourceAddress(SocketTestCase):
    async def test_connections_come_from_the_chosen_address(self):
        """Guards against a host with several addresses whose peers see the wrong one."""
        seen = asyncio.get_running_loop().create_future()

        async def accept(connection):
            seen.set_result(connection.peer_address)

        listener = await WebSocketTransport().listen(HOST, 0, accept)
        near = await WebSocketTransport("127.0.3.9").connect(HOST, listener.port)
        self.assertEqual("127.0.3.9", (await seen).partition(":")[0])
        await near.close()
        await listener.close()
