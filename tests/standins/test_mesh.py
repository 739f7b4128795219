import asyncio
import socket

from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import (
    RESERVATION_HOST_NUMBER,
    RESERVATION_PORT,
    TARGET_PORT,
    MeshTarget,
    private_network,
    render_answer,
)

from ..base import SocketTestCase, TestCase


class TestPrivateNetwork(TestCase):
    # Guards against "address already in use" in one of two fleets of different processes.
    def test_network_that_another_process_has_reserved_is_not_used(self):
        """Guards against two processes whose fleets get the same addresses."""
        prefix, number = private_network().rsplit(".", 1)
        next_network = f"{prefix}.{(int(number) + 1) % 256}"
        with socket.socket() as other:
            other.bind((f"{next_network}.{RESERVATION_HOST_NUMBER}", RESERVATION_PORT))
            self.assertNotEqual(next_network, private_network())

    def test_each_call_reserves_another_network(self):
        """Guards against a fleet at the addresses of one that was not stopped."""
        self.assertEqual(5, len({private_network() for _ in range(5)}))


class TestMeshTarget(SocketTestCase):
    async def open(self):
        """Start a target and connect to it."""
        self.target = MeshTarget(f"{private_network()}.1", "orders", "orders-0")
        await self.target.open()
        self.reader, self.writer = await asyncio.open_connection(self.target.host, TARGET_PORT)

    async def close(self):
        self.writer.close()
        await self.target.close()

    async def send(self, request_id, upstream_id="orders-0"):
        """Send a request and return the status and the header fields of the next answer."""
        lines = [
            "GET /stock/1 HTTP/1.1",
            f"{DIALECT.request_id}: {request_id}",
            f"{DIALECT.expected_target}: {upstream_id}",
        ]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        return await self.receive()

    async def receive(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        await self.reader.readexactly(int(fields["Content-Length"]))
        return int(head[0].split()[1]), fields

    async def test_refusals_say_so_with_the_id_of_their_request(self):
        """Guards against a stand-in whose refusals differ from those on the platform."""
        await self.open()
        for upstream_id, refusal_status, status in (
            ("orders-earlier", 0, 421),
            ("orders-0", 429, 429),
            ("orders-0", 503, 503),
        ):
            self.target.refusal_status = lambda request, status=refusal_status: status
            answered, fields = await self.send("t1", upstream_id)
            self.assertEqual((status, "t1"), (answered, fields[DIALECT.request_id]))
            self.assertIn(DIALECT.not_run, fields)
        self.assertEqual({}, self.target.runs)
        await self.close()

    async def test_answers_can_be_written_again(self):
        """Guards against a stand-in whose answers are never repeated, or only in its own order."""
        earlier = []

        async def write_earlier_answers(request, answer):
            for copy in earlier:
                request.transport.write(render_answer(copy, keeps_id=False))
            earlier.append(answer)

        await self.open()
        self.target.before_answer = write_earlier_answers
        self.assertEqual("t1", (await self.send("t1"))[1][DIALECT.request_id])
        self.assertNotIn(DIALECT.request_id, (await self.send("t2"))[1])
        self.assertEqual("t2", (await self.receive())[1][DIALECT.request_id])
        await self.close()

    async def test_next_start_under_another_id_refuses_requests_for_the_earlier_one(self):
        """Guards against a target that still answers for the start that has ended."""
        await self.open()
        await self.target.crash(0.0, "orders-0.1")
        self.assertEqual(b"", await self.reader.read())
        self.reader, self.writer = await asyncio.open_connection(self.target.host, TARGET_PORT)
        self.assertEqual(421, (await self.send("t1"))[0])
        self.assertEqual(200, (await self.send("t2", "orders-0.1"))[0])
        await self.close()
