import asyncio

import attrs

from gentianthread.coordination.links import LinkPeerNetwork
from gentianthread.coordination.peer_network import MemoryFabric, PathConditions
from gentianthread.errors import PeerTimeout, PeerUnreachable, StreamAborted
from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.protocol.codec import message
from gentianthread.protocol.streams import CHUNK_LIMIT_BYTES, STREAM_CREDIT_BYTES
from gentianthread.transport.connections import MemoryTransport, WebSocketTransport

from ..base import SocketTestCase, VirtualTimeTestCase


@message(99_002)
@attrs.frozen
class Number:
    value: int


def identity(name: str, start: int = 1) -> NodeIdentity:
    return NodeIdentity(UpstreamId(name), AvailabilityZoneId("larisa-a"), StartNumber(start))


SECRET = b"a fleet secret for tests"
HOST = "127.0.0.1"


class LinkFleet:
    """Run link networks over one transport and store their addresses."""

    def __init__(self, transport):
        self.transport = transport
        self.addresses = {}
        self.networks = []

    async def add(self, name: str, start: int = 1, secret: bytes = SECRET) -> LinkPeerNetwork:
        network = LinkPeerNetwork(
            identity(name, start), secret, self.addresses.get, transport=self.transport, seed=1
        )
        port = await network.start(HOST, 0)
        self.addresses[UpstreamId(name)] = (HOST, port)
        self.networks.append(network)
        return network

    async def close(self) -> None:
        await asyncio.gather(*[network.close() for network in self.networks])


async def read_body(stream) -> bytes:
    chunks = []
    while (chunk := await stream.receive_chunk()) is not None:
        chunks.append(chunk)
    return b"".join(chunks)


class PeerNetworkCases:
    """Check the behaviour that all peer networks share."""

    async def open_fleet(self, *names: str):
        """Return one network for each name and an awaitable that closes them."""
        raise NotImplementedError

    async def test_request_brings_the_answer(self):
        """Guards against answers that do not reach the requesting node."""
        (first, second), close = await self.open_fleet("a", "b")
        senders = []

        async def answer(sender, number):
            senders.append(sender)
            return Number(number.value + 1)

        second.subscribe(Number, answer)
        self.assertEqual(Number(8), await first.request(UpstreamId("b"), Number(7), 5_000))
        self.assertEqual([first.local], senders)
        await close()

    async def test_message_arrives(self):
        """Guards against one-way messages that are lost on a path without faults."""
        (first, second), close = await self.open_fleet("a", "b")
        arrived = asyncio.get_running_loop().create_future()
        second.subscribe(Number, lambda sender, number: arrived.set_result(number))
        await first.send(UpstreamId("b"), Number(7))
        self.assertEqual(Number(7), await arrived)
        await close()

    async def test_request_without_an_answer_times_out(self):
        """Guards against a request that waits forever."""
        (first, _), close = await self.open_fleet("a", "b")
        with self.assertRaisesType(PeerTimeout):
            await first.request(UpstreamId("b"), Number(7), 50)
        await close()

    async def test_missing_peer_is_unreachable(self):
        """Guards against messages to a dead process that look sent."""
        (first,), close = await self.open_fleet("a")
        for call in (first.send, first.open_stream):
            with self.assertRaisesType(PeerUnreachable):
                await call(UpstreamId("b"), Number(1))
        with self.assertRaisesType(PeerUnreachable):
            await first.request(UpstreamId("b"), Number(1), 1_000)
        await close()

    async def test_stream_carries_a_request_and_its_answer(self):
        """Guards against heads, bodies or summaries that are altered between two nodes."""
        (first, second), close = await self.open_fleet("a", "b")

        async def serve(sender, head, stream):
            self.assertEqual((first.local, Number(1)), (sender, head))
            await stream.send_head(Number(2))
            while (chunk := await stream.receive_chunk()) is not None:
                await stream.send_chunk(chunk)
            await stream.finish(Number(3))

        second.accept_streams(serve)
        body = bytes(range(256)) * 4_000
        stream = await first.open_stream(UpstreamId("b"), Number(1))

        async def send():
            await stream.send_chunk(body)
            await stream.finish()

        sending = asyncio.ensure_future(send())
        self.assertEqual(Number(2), await stream.receive_head())
        self.assertEqual(body, await read_body(stream))
        self.assertEqual((Number(3), True), (stream.summary, stream.may_have_sent))
        await sending
        await close()

    async def test_whole_request_gets_a_whole_answer(self):
        """Guards against a request in one message that the receiver decodes differently."""
        (first, second), close = await self.open_fleet("a", "b")

        async def serve(sender, head, stream):
            body = await read_body(stream)
            await stream.send_complete(head, body + b" back", stream.summary)

        second.accept_streams(serve)
        stream = await first.open_whole(UpstreamId("b"), Number(1), b"there", Number(2))
        self.assertEqual(Number(1), await stream.receive_head())
        self.assertEqual(b"there back", await read_body(stream))
        self.assertEqual(Number(2), stream.summary)
        await close()

    async def test_abort_reaches_the_other_end(self):
        """Guards against a cancelled request that continues at the other node."""
        (first, second), close = await self.open_fleet("a", "b")
        abort_reason = asyncio.get_running_loop().create_future()

        async def serve(sender, head, stream):
            await stream.send_head(head)
            abort_reason.set_result(await stream.wait_until_aborted())

        second.accept_streams(serve)
        stream = await first.open_stream(UpstreamId("b"), Number(1))
        await stream.receive_head()
        stream.abort("caller left")
        self.assertEqual("caller left", await abort_reason)
        with self.assertRaisesType(StreamAborted):
            await stream.receive_chunk()
        await close()

    async def test_slow_reader_stops_its_sender(self):
        """Guards against a body that is buffered without limit for a reader that does not read."""
        (first, second), close = await self.open_fleet("a", "b")
        sent = []
        filled = asyncio.Event()

        async def serve(sender, head, stream):
            await stream.send_head(head)
            for _ in range(100):
                await stream.send_chunk(bytes(CHUNK_LIMIT_BYTES))
                sent.append(CHUNK_LIMIT_BYTES)
                if sum(sent) == STREAM_CREDIT_BYTES:
                    filled.set()
            await stream.finish()

        second.accept_streams(serve)
        stream = await first.open_stream(UpstreamId("b"), Number(1))
        await stream.receive_head()
        await filled.wait()
        await asyncio.sleep(0.02)
        self.assertEqual(STREAM_CREDIT_BYTES, sum(sent))
        self.assertEqual(100 * CHUNK_LIMIT_BYTES, len(await read_body(stream)))
        await close()

    async def test_node_reaches_itself(self):
        """Guards against a quota holder that cannot send requests to itself."""
        (first,), close = await self.open_fleet("a")
        first.subscribe(Number, lambda sender, number: Number(number.value + 1))
        self.assertEqual(Number(8), await first.request(UpstreamId("a"), Number(7), 100))

        async def serve(sender, head, stream):
            await stream.send_complete(head)

        first.accept_streams(serve)
        stream = await first.open_stream(UpstreamId("a"), Number(1))
        self.assertEqual(Number(1), await stream.receive_head())
        await close()


class TestLinksOverMemory(PeerNetworkCases, VirtualTimeTestCase):
    async def open_fleet(self, *names):
        fleet = LinkFleet(MemoryTransport(delay_ms=1))
        return [await fleet.add(name) for name in names], fleet.close


class TestLinksOverSockets(PeerNetworkCases, SocketTestCase):
    async def open_fleet(self, *names):
        fleet = LinkFleet(WebSocketTransport())
        return [await fleet.add(name) for name in names], fleet.close

    async def test_large_message_arrives(self):
        """Guards against configuration parts of 1 MB that exceed the message limit."""
        (first, second), close = await self.open_fleet("a", "b")
        second.subscribe(Number, lambda sender, number: Number(number.value + 1))
        big = 2 ** (8 * 1_000_000)
        self.assertEqual(Number(big + 1), await first.request("b", Number(big), 20_000))
        await close()

    async def test_peer_without_the_secret_is_refused(self):
        """Guards against a process without the fleet secret that joins the fleet."""
        fleet = LinkFleet(WebSocketTransport())
        first, second = await fleet.add("a"), await fleet.add("b", secret=b"another secret")
        with self.assertRaisesType(PeerUnreachable):
            await first.send(UpstreamId("b"), Number(1))
        self.assertEqual((frozenset(), frozenset()), (first.connected(), second.connected()))
        await fleet.close()


class TestMemoryPeerNetwork(PeerNetworkCases, VirtualTimeTestCase):
    async def open_fleet(self, *names):
        fabric = MemoryFabric()
        return [fabric.attach(identity(name)) for name in names], fabric.close

    async def test_cut_path_times_out(self):
        """Guards against a request that hangs on a partition."""
        fabric = MemoryFabric()
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        second.subscribe(Number, lambda sender, number: number)
        fabric.cut({UpstreamId("a")}, {UpstreamId("b")})
        with self.assertRaisesType(PeerTimeout):
            await first.request(UpstreamId("b"), Number(7), 100)
        self.assertEqual(frozenset(), first.connected())

    async def test_detached_peer_is_unreachable(self):
        """Guards against messages to a dead process that look sent."""
        fabric = MemoryFabric()
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        fabric.detach(second)
        with self.assertRaisesType(PeerUnreachable):
            await first.send(UpstreamId("b"), Number(1))

    async def test_duplicated_message_arrives_twice(self):
        """Guards against fault tests that never duplicate a message."""
        fabric = MemoryFabric()
        fabric.default_conditions = PathConditions(duplication=1.0)
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        seen = []
        second.subscribe(Number, lambda sender, number: seen.append(number))
        await first.send(UpstreamId("b"), Number(1))
        await fabric.clock.sleep_ms(10)
        self.assertEqual([Number(1), Number(1)], seen)
