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
    """Define the tests that every message connection passes."""

    def make_transport(self):
        raise NotImplementedError

    async def open_pair(self):
        """Return the dialling and the accepting end, whose handler runs until `done` is set."""
        self.done = asyncio.Event()
        accepted = asyncio.get_running_loop().create_future()

        async def accept(connection):
            accepted.set_result(connection)
            await self.done.wait()

        transport = self.make_transport()
        self.listener = await transport.listen(HOST, 0, accept)
        client = await transport.connect(HOST, self.listener.port)
        return client, await accepted

    async def close_all(self, *connections):
        for connection in connections:
            await connection.close()
        self.done.set()
        await self.listener.close()

    async def test_messages_arrive_whole_and_in_order(self):
        """Guards against messages that are joined, split or reordered."""
        client, server = await self.open_pair()
        sent = [b"", b"one", bytes(4_000), b"last"]
        for data in sent:
            await client.send(data)
            await server.send(data)
        self.assertEqual(sent, [await server.receive() for _ in sent])
        self.assertEqual(sent, [await client.receive() for _ in sent])
        await self.close_all(client, server)

    async def test_close_ends_the_other_end(self):
        """Guards against a reader that waits forever for a closed peer."""
        client, server = await self.open_pair()
        await client.send(b"before")
        closing = asyncio.ensure_future(client.close())
        self.assertEqual(b"before", await server.receive())
        with self.assertRaisesType(ConnectionLost):
            await server.receive()
        await closing
        with self.assertRaisesType(ConnectionLost):
            await client.send(b"after")
        self.assertTrue(client.closed)
        await self.close_all(server)

    async def test_abort_ends_both_ends(self):
        """Guards against an abort that leaves its own end waiting for a message."""
        client, server = await self.open_pair()
        client.abort()
        for end in (client, server):
            with self.assertRaisesType(ConnectionLost):
                await end.receive()
        await self.close_all()

    async def test_long_message_is_refused_until_the_limit_is_raised(self):
        """Guards against an unauthenticated peer that makes the node buffer long messages."""
        client, server = await self.open_pair()
        await client.send(b"small")
        self.assertEqual(b"small", await server.receive())
        server.raise_limit(100_000)
        long = bytes(UNAUTHENTICATED_MESSAGE_LIMIT_BYTES + 1)
        await client.send(long)
        self.assertEqual(long, await server.receive())
        await server.send(long)
        with self.assertRaisesType(ConnectionLost):
            await client.receive()
        await self.close_all(client, server)

    async def test_missing_listener_is_a_lost_connection(self):
        """Guards against an untyped error for a peer that is down."""
        client, server = await self.open_pair()
        await self.close_all(client, server)
        with self.assertRaisesType(ConnectionLost):
            await self.make_transport().connect(HOST, self.listener.port)


class TestMemoryConnection(ConnectionCases, VirtualTimeTestCase):
    def make_transport(self):
        return MemoryTransport()

    async def test_delay_and_rate_take_virtual_time(self):
        """Guards against link tests whose delay does nothing."""
        client, server = memory_connection_pair(delay_ms=5, bytes_per_s=1_000_000)
        loop = asyncio.get_running_loop()
        await client.send(bytes(4_000))
        self.assertAlmostEqual(0.004, loop.time(), 6)
        await server.receive()
        self.assertAlmostEqual(0.005, loop.time(), 6)

    async def test_silent_connection_loses_everything(self):
        """Guards against tests of silent connections that still see the close."""
        client, server = memory_connection_pair()
        client.go_silent()
        await client.send(b"lost")
        client.abort()
        with self.assertRaisesType(TimeoutError):
            await asyncio.wait_for(server.receive(), 10)


class TestWebSocketConnection(ConnectionCases, SocketTestCase):
    def make_transport(self):
        return WebSocketTransport()

    async def test_long_opening_request_is_dropped(self):
        """Guards against unauthenticated connections that each use 1 MB for HTTP headers."""
        client, server = await self.open_pair()
        reader, writer = await asyncio.open_connection(HOST, self.listener.port)
        writer.write(b"GET / HTTP/1.1\r\n" + b"x: " + b"y" * 5_000 + b"\r\n")
        with self.assertRaisesType((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        await self.close_all(client, server)

    async def test_opening_connections_are_limited(self):
        """Guards against clients that keep connections without an opening request."""
        client, server = await self.open_pair()
        address = (HOST, self.listener.port)
        half_open = [await asyncio.open_connection(*address) for _ in range(OPENING_LIMIT)]
        with self.assertRaisesType(ConnectionLost):
            await self.make_transport().connect(*address)
        for _, writer in half_open:
            writer.close()
        await client.send(b"still served")
        self.assertEqual(b"still served", await server.receive())
        await self.close_all(client, server)

    async def test_open_connections_do_not_count_as_opening(self):
        """Guards against a node that accepts no more peers after 256 of them."""
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
        """Guards against losing or reordering messages from before the receiver was set."""
        client, server = await self.open_pair()
        await client.send(b"one")
        await asyncio.sleep(0.02)
        messages, lost = [], asyncio.Event()
        server.deliver_to(messages.append, lambda problem: lost.set())
        client.post(b"two")
        client.post(b"three")
        await client.close()
        await asyncio.wait_for(lost.wait(), 2)
        self.assertEqual([b"one", b"two", b"three"], messages)
        await self.close_all(client, server)


class TestSourceAddress(SocketTestCase):
    async def test_connections_come_from_the_chosen_address(self):
        """Guards against a host with several addresses whose peers see the wrong one."""
        seen_address = asyncio.get_running_loop().create_future()

        async def accept(connection):
            seen_address.set_result(connection.peer_address)

        listener = await WebSocketTransport().listen(HOST, 0, accept)
        client = await WebSocketTransport("127.0.3.9").connect(HOST, listener.port)
        self.assertEqual("127.0.3.9", (await seen_address).partition(":")[0])
        await client.close()
        await listener.close()
