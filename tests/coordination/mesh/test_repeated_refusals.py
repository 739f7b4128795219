import asyncio

from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.standins.mesh import TARGET_PORT

from .base import MeshTestCase
from .test_faulty_targets import NOT_RUN, SEAL, render, request_id_of

SERVED_ID = "orders-0"
EARLIER_ID = "orders-earlier"


class TestRepeatedRefusals(MeshTestCase):
    async def start_refusing(self, status, write_copy):
        """Start a mesh whose target is listed under two ids and refuses each request once.

        A target that has started again under another id is listed under both for some seconds.

        Args:
            status: Status of the refusals.
            write_copy: Coroutine function of the writer and a refusal; it writes the refusal once
                more, on the connection on which the request came again.
        """
        await self.start({"orders": 1, "catalogue": 1})
        self.ran, self.refused, self.copies = [], {}, 0
        await self.target(SERVED_ID).close()
        self.server = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, status, write_copy),
            self.target(SERVED_ID).host,
            TARGET_PORT,
        )
        self.fleet.store.put(UPSTREAM_PREFIX + EARLIER_ID, self.target(SERVED_ID).entry())
        await self.until(
            lambda: all(
                EARLIER_ID in instance.sidecar.directory.entries
                for instance in self.fleet.instances.values()
            )
        )

    async def serve(self, reader, writer, status, write_copy):
        try:
            while True:
                request_id = request_id_of(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(1)
                if request_id not in self.refused:
                    self.refused[request_id] = writer
                    writer.write(render(status, request_id, NOT_RUN))
                    continue
                self.ran.append(request_id)
                if self.refused[request_id] is writer:
                    self.copies += 1
                    await write_copy(writer, render(status, request_id, NOT_RUN))
                await asyncio.sleep(0.02)
                writer.write(render(200, request_id, SEAL))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def stop_refusing(self):
        self.server.close()
        await self.stop()

    async def order(self):
        """Send an order and check that it ran once, and that its caller learns so."""
        reply = await self.call("catalogue-0", "/order/1", method="POST", body=b"x")
        runs = self.ran.count(reply.request_id.encode())
        self.assertEqual((200, b"ok", 1), (reply.status, reply.body, runs))

    # Guards against 503 for an order that runs: the copy of the refusal of its first attempt is
    # taken for the answer to its second attempt.
    async def test_copy_of_a_refusal_does_not_answer_the_next_attempt_of_the_same_request(self):
        """Guards against 'not run' for an order that runs on the connection that refused it."""

        async def write_whole(writer, refusal):
            writer.write(refusal)

        for status in (503, 429):
            await self.start_refusing(status, write_whole)
            for _ in range(6):
                await self.order()
            await self.stop_refusing()

    async def test_copy_of_a_misdirected_answer_does_not_answer_the_next_attempt(self):
        """Guards against the same after 421, with which a target refuses its earlier id."""

        async def write_whole(writer, refusal):
            writer.write(refusal)

        for _ in range(3):
            await self.start_refusing(421, write_whole)
            await self.order()
            await self.stop_refusing()

    async def test_copy_of_a_refusal_in_pieces_does_not_answer_the_next_attempt(self):
        """Guards against the same with a copy whose bytes come one after the other."""

        async def write_pieces(writer, refusal):
            for index in range(0, len(refusal), 7):
                writer.write(refusal[index : index + 7])
                await writer.drain()
                await asyncio.sleep(0.001)

        await self.start_refusing(503, write_pieces)
        for _ in range(3):
            await self.order()
        await self.stop_refusing()
