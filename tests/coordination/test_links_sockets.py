import asyncio

from gentianthread.coordination.links import LinkPeerNetwork
from gentianthread.errors import PeerUnreachable
from gentianthread.ids import UpstreamId

from ..base import SocketTestCase
from .test_peer_network import Number, identity

SECRET = b"a fleet secret for tests"
HOST = "127.0.0.1"


class Fleet:
    """Hold link networks over loopback sockets and their addresses."""

    def __init__(self):
        self.addresses = {}
        self.networks = []

    async def add(self, name: str, start: int = 1, secret: bytes = SECRET) -> LinkPeerNetwork:
        network = LinkPeerNetwork(identity(name, start), secret, self.addresses.get)
        self.addresses[UpstreamId(name)] = (HOST, await network.start(HOST, 0))
        self.networks.append(network)
        return network

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        await asyncio.gather(*[network.close() for network in self.networks])


class TestLinksOverSockets(SocketTestCase):
    async def test_stream_carries_a_request_and_its_answer(self):
        """Guards against a body that changes between two nodes."""
        async with Fleet() as fleet:
            first, second = await fleet.add("a"), await fleet.add("b")

            async def echo(sender, head, stream):
                self.assertEqual((UpstreamId("a"), Number(1)), (sender.upstream_id, head))
                await stream.send_head(Number(2))
                while (chunk := await stream.receive_chunk()) is not None:
                    await stream.send_chunk(chunk)
                await stream.finish(Number(3))

            second.accept_streams(echo)
            body = bytes(range(256)) * 8_000
            stream = await first.open_stream(UpstreamId("b"), Number(1))
            sending = asyncio.create_task(send_body(stream, body))
            self.assertEqual(Number(2), await stream.receive_head())
            self.assertEqual(body, await read_body(stream))
            self.assertEqual(Number(3), stream.summary)
            await sending

    async def test_request_and_large_message_arrive(self):
        """Guards against configuration parts of 1 MB that the message limit refuses."""
        async with Fleet() as fleet:
            first, second = await fleet.add("a"), await fleet.add("b")
            second.subscribe(Number, lambda sender, number: Number(number.value + 1))
            big = 2 ** (8 * 1_000_000)
            self.assertEqual(Number(big + 1), await first.request("b", Number(big), 10_000))

    async def test_peer_without_the_secret_is_refused(self):
        """Guards against a stranger who joins the fleet."""
        async with Fleet() as fleet:
            first, second = await fleet.add("a"), await fleet.add("b", secret=b"another secret")
            with self.assertRaisesType(PeerUnreachable):
                await first.send(UpstreamId("b"), Number(1))
            self.assertEqual((frozenset(), frozenset()), (first.connected(), second.connected()))


async def send_body(stream, body):
    await stream.send_chunk(body)
    await stream.finish()


async def read_body(stream):
    chunks = []
    while (chunk := await stream.receive_chunk()) is not None:
        chunks.append(chunk)
    return b"".join(chunks)
