import asyncio

from bench.faults.relays import NetworkRules, RelayNetwork

from ..base import SocketTestCase

NEAR, FAR = "127.0.8.1", "127.0.8.2"


class Echo(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


class TestRelays(SocketTestCase):
    async def start(self):
        """Open an echo server behind a relay between two availability zones."""
        self.network = RelayNetwork(NetworkRules(delay_ms=1.0), {NEAR: "a", FAR: "b"}, seed=1)

        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(Echo, FAR, 0)
        port = self.server.sockets[0].getsockname()[1]
        await self.network.add_relay(FAR, 0, port)
        self.port = self.network.ports[FAR]

    async def stop(self):
        self.server.close()
        await self.network.close()

    async def connect(self):
        return await asyncio.open_connection(FAR, self.port, local_addr=(NEAR, 0))

    async def test_bytes_pass_in_order_and_whole(self):
        """Guards against a relay that itself loses or crosses bytes."""
        await self.start()
        self.network.rules.loss = 0.05
        reader, writer = await self.connect()
        sent = bytes(range(256)) * 4_000
        writer.write(sent)
        self.assertEqual(sent, await reader.readexactly(len(sent)))
        writer.close()
        await self.stop()

    async def test_a_partition_holds_and_a_heal_delivers(self):
        """Guards against a partition that lets bytes through or loses them."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(b"1")
        self.assertEqual(b"1", await reader.readexactly(1))
        self.network.partition("a", "b")
        writer.write(b"2")
        late = asyncio.ensure_future(reader.readexactly(1))
        new_reader, new_writer = await self.connect()
        new_writer.write(b"3")
        self.assertEqual((set(), {late}), await asyncio.wait([late], timeout=0.1))
        self.network.heal("a", "b")
        self.assertEqual(b"2", await late)
        self.assertEqual(b"3", await new_reader.readexactly(1))
        writer.close()
        new_writer.close()
        await self.stop()

    async def test_a_silent_connection_stays_silent_while_new_ones_work(self):
        """Guards against silence that also hits new connections or that ends."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(b"1")
        self.assertEqual(b"1", await reader.readexactly(1))
        self.network.silence(FAR)
        writer.write(b"2")
        new_reader, new_writer = await self.connect()
        new_writer.write(b"3")
        self.assertEqual(b"3", await new_reader.readexactly(1))
        never = asyncio.ensure_future(reader.read(1))
        self.assertEqual((set(), {never}), await asyncio.wait([never], timeout=0.1))
        never.cancel()
        writer.close()
        new_writer.close()
        await self.stop()
