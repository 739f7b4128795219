import asyncio
import socket

from gentianthread.clock import SystemClock
from gentianthread.standins.mesh import wait_until
from gentianthread.state.fleet_plan import CallerLimits
from gentianthread.state.memory_budget import MemoryBudget, MemoryOwner
from gentianthread.transport.event_loop import new_event_loop
from gentianthread.transport.http_pipeline import BufferedResponse, PipelineListener, start_in_task

from ..base import SocketTestCase, TestCase

MB = 1024 * 1024


class ListenerCase(SocketTestCase):
    async def open(self, capacity_bytes=float("inf"), handler=None, **limits):
        clock = SystemClock()
        self.memory = MemoryBudget(capacity_bytes, clock.now_ms)
        self.requests = []
        self.listener = PipelineListener(
            start_in_task(handler or self.answer),
            clock,
            lambda: CallerLimits(**limits),
            self.memory,
        )
        await self.listener.open("127.0.0.1", 0)

    async def answer(self, request):
        self.requests.append((request.method, request.target, bytes(request.body)))
        return BufferedResponse(200, [("X-Length", str(len(request.body)))])

    async def connect(self, receive_bytes=None):
        raw = socket.socket()
        if receive_bytes:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, ("127.0.0.1", self.listener.port))
        return await asyncio.open_connection(sock=raw, limit=MB)

    async def read_response(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(head.split()[1]), fields, body


class TestUpgrade(ListenerCase):
    offer = b"Host: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"

    async def test_connection_goes_on_after_an_offer_to_upgrade(self):
        """Guards against a connection that ignores all bytes after an Upgrade field."""
        await self.open()
        chunked = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        data = (
            b"GET /1 HTTP/1.1\r\n" + self.offer + b"\r\n"
            b"POST /2 HTTP/1.1\r\n" + self.offer + b"Content-Length: 5\r\n\r\nhello"
            b"POST /3 HTTP/1.1\r\n" + self.offer + b"Transfer-Encoding: chunked\r\n\r\n" + chunked
        ) + b"GET /4 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        data += b"POST /5 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
        expected = [
            ("GET", "/1", b""),
            ("POST", "/2", b"hello"),
            ("POST", "/3", b"abcde"),
            ("GET", "/4", b""),
            ("POST", "/5", b"ok"),
        ]
        for step in (len(data), 7, 1):
            self.requests.clear()
            reader, writer = await self.connect()
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await writer.drain()
                if step == 1:
                    await asyncio.sleep(0.0001)
            statuses = [(await self.read_response(reader))[0] for _ in expected]
            self.assertEqual(([200] * 5, expected), (statuses, self.requests))
            writer.close()
        await self.listener.close()

    async def test_offer_on_a_connection_that_closes(self):
        """Guards against a connection that stays open though its caller asked to close it."""
        await self.open()
        reader, writer = await self.connect()
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close, Upgrade\r\n")
        writer.write(b"Upgrade: h2c\r\n\r\n")
        self.assertEqual(200, (await self.read_response(reader))[0])
        self.assertEqual(b"", await reader.read())
        await self.listener.close()

    async def test_tunnel_is_answered_and_closed(self):
        """Guards against bytes of a tunnel that are taken for requests."""
        await self.open()
        reader, writer = await self.connect()
        writer.write(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        status, fields, _ = await self.read_response(reader)
        self.assertEqual((200, "close", 1), (status, fields["connection"], len(self.requests)))
        await self.listener.close()


class TestCallerMemory(ListenerCase):
    async def test_all_memory_is_returned(self):
        """Guards against memory that stays charged after a caller was served, refused or left."""
        await self.open(header_bytes=2_000, body_bytes=1_000)
        for data in (
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + b"x" * 500,
            b"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + b"x" * 100,
            b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"x" * 3_000,
            b"GET / HTTP/1.1\r\nA: " + b"x" * 3_000,
            b"GET / HTTP/1.1\r\nA: b",
            b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nA: b\r\nC",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
            b"no request\r\n\r\n",
        ):
            _, writer = await self.connect()
            half = len(data) // 2
            writer.write(data[:half])
            await asyncio.sleep(0.01)
            writer.write(data[half:])
            await asyncio.sleep(0.01)
            writer.close()
            await wait_until(lambda: not self.listener.connections)
            self.assertEqual(0, self.memory.total_bytes, data)
        await self.listener.close()

    async def test_single_slow_caller_is_served_in_calm(self):
        """Guards against refusing a slow body though nobody else needs the memory."""
        await self.open(capacity_bytes=3 * MB)
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (2 * MB))
        for pause_s in (0.0, 1.5, 1.5):
            writer.write(b"x" * (2 * MB // 3))
            await asyncio.sleep(pause_s)
        writer.write(b"x" * (2 * MB - 2 * MB // 3 * 3))
        status, fields, _ = await self.read_response(reader)
        self.assertEqual((200, str(2 * MB)), (status, fields["x-length"]))
        await self.listener.close()

    async def test_stalled_body_gives_way_to_one_that_progresses(self):
        """Guards against a few stalled bodies that keep all others from being read."""
        await self.open(capacity_bytes=3 * MB)
        stalled, stalled_writer = await self.connect()
        stalled_writer.write(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (2 * MB))
        stalled_writer.write(b"x" * (2 * MB - 1))
        await asyncio.sleep(0.3)
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (2 * MB))
        writer.write(b"x" * (2 * MB))
        self.assertEqual(200, (await self.read_response(reader))[0])
        status, fields, _ = await self.read_response(stalled)
        self.assertEqual((503, True), (status, float(fields["retry-after"]) > 0))
        self.assertEqual(1, len(self.requests))
        await self.listener.close()

    async def test_new_connection_takes_the_place_of_an_inactive_one(self):
        """Guards against callers that keep others out by connections that they leave open."""
        await self.open()
        self.listener.max_connections = lambda: 10
        crowd = [await self.connect() for _ in range(30)]
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(200, (await self.read_response(reader))[0])
        self.assertLessEqual(len(self.listener.connections), 10)
        self.assertEqual(31, len(crowd) + 1)
        await self.listener.close()


class TestPipeliningSlowReaders(ListenerCase):
    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    async def answer_slowly(self, request):
        self.running += 1
        self.max_running = max(self.running, self.max_running)
        await asyncio.sleep(0.1)
        self.running -= 1
        self.requests.append(request.target)
        return BufferedResponse(200, [], b"ok" if request.target == "/ok" else bytes(60_000))

    async def open_slow(self, capacity_bytes):
        self.running = self.max_running = 0
        await self.open(capacity_bytes=capacity_bytes, handler=self.answer_slowly)

    async def test_ordinary_caller_is_answered_beside_them(self):
        """Guards against responses that fill the memory, as pipelined requests start without it."""
        await self.open_slow(8 * MB)
        crowd = []
        for _ in range(60):
            reader, writer = await self.connect(receive_bytes=4_096)
            reader._transport.pause_reading()
            writer.write(self.REQUEST * 64)
            crowd.append(writer)
        statuses = []
        for _ in range(10):
            await asyncio.sleep(0.2)
            reader, writer = await self.connect()
            writer.write(b"GET /ok HTTP/1.1\r\nHost: a\r\n\r\n")
            statuses.append((await self.read_response(reader))[0])
            writer.close()
        self.assertEqual([200] * 10, statuses)
        self.assertLess(self.memory.peak_bytes, self.memory.capacity_bytes)
        for writer in crowd:
            writer.transport.abort()
        await wait_until(lambda: not self.listener.connections)
        self.assertEqual(0, self.memory.total_bytes)
        await self.listener.close()

    async def test_deferred_requests_are_all_answered_in_order(self):
        """Guards against requests that are lost, or run twice, once they have waited for memory."""
        await self.open_slow(MB)
        reader, writer = await self.connect()
        expected = [f"/{number}" for number in range(40)]
        data = b"".join(
            b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nsome text" % number
            for number in range(40)
        )
        # In two pieces that end within a request.
        writer.write(data[:1_000])
        await asyncio.sleep(0.02)
        writer.write(data[1_000:])
        for _ in expected:
            status, _, body = await self.read_response(reader)
            self.assertEqual((200, 60_000), (status, len(body)))
        self.assertEqual(sorted(expected), sorted(self.requests))
        # Half of the capacity, in which each response counts as 64 KB.
        self.assertLessEqual(self.max_running, 9)
        self.assertGreater(self.max_running, 4)
        await wait_until(lambda: not self.memory.total_bytes)
        writer.write(self.REQUEST)
        self.assertEqual(200, (await self.read_response(reader))[0])
        writer.close()
        await self.listener.close()

    async def test_request_that_closes_is_the_last_one_after_a_wait(self):
        """Guards against running what follows the last request, and against cutting it off."""
        await self.open_slow(MB)
        reader, writer = await self.connect()
        writer.write(self.REQUEST * 20)
        writer.write(b"GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        writer.write(self.REQUEST * 20)
        for _ in range(21):
            status, fields, _ = await self.read_response(reader)
            self.assertEqual(200, status)
        self.assertEqual("close", fields["connection"])
        self.assertEqual(b"", await reader.read())
        self.assertEqual((21, "/last"), (len(self.requests), self.requests[-1]))
        await wait_until(lambda: not self.listener.connections)
        self.assertEqual(0, self.memory.total_bytes)
        await self.listener.close()

    async def test_requests_that_wait_end_with_their_connection(self):
        """Guards against running all requests, or holding their memory, after their caller left.

        Reading is paused, so that only the first response shows that the caller is gone.
        """
        await self.open_slow(MB)
        _, writer = await self.connect()
        writer.write(self.REQUEST * 1_000)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await wait_until(lambda: not self.listener.connections)
        self.assertEqual(0, self.memory.total_bytes)
        await asyncio.sleep(0.3)
        self.assertLess(len(self.requests), 32)
        await self.listener.close()


class TestSlowReaders(TestCase):
    """Run on the event loop of the sidecar, whose transports write without copies."""

    def test_slow_reader_is_charged_and_busy_until_it_has_read(self):
        """Guards against responses that nothing counts, and a stop that cuts them off."""
        case = ListenerCase("run")

        async def large(request):
            return BufferedResponse(200, [], bytearray(8 * MB))

        async def play():
            await case.open(handler=large)
            reader, writer = await case.connect(receive_bytes=16_384)
            writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
            await asyncio.sleep(0.2)
            held_bytes = case.memory.sum_of(MemoryOwner.ANSWER_OUT)
            self.assertGreater(held_bytes, 24 * MB)
            self.assertLess(held_bytes, 25 * MB)
            # A request after them stays in the socket, also when the node leaves.
            writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.sleep(0.1)
            self.assertEqual(1, case.listener.busy)
            self.assertEqual(held_bytes, case.memory.sum_of(MemoryOwner.ANSWER_OUT))
            case.listener.leaving = True
            for _ in range(4):
                status, fields, body = await case.read_response(reader)
                self.assertEqual((200, 8 * MB), (status, len(body)))
            self.assertEqual("close", fields["connection"])
            await wait_until(lambda: not case.listener.busy)
            writer.close()
            await wait_until(lambda: not case.listener.connections)
            self.assertEqual(0, case.memory.total_bytes)
            await case.listener.close()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(play())

    def test_small_responses_that_stay_in_the_transport_are_charged(self):
        """Guards against thousands of slow readers who hold less than the limit of the transport.

        Up to 64 KB of each were charged to nobody, as in `review/8`.
        """
        case = ListenerCase("run")
        count = 10

        async def small(request):
            return BufferedResponse(200, [], bytes(5_000))

        async def play():
            await case.open(handler=small)
            reader, writer = await case.connect(receive_bytes=4_096)
            reader._transport.pause_reading()
            await wait_until(lambda: case.listener.connections)
            connection = next(iter(case.listener.connections))
            raw = connection.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * count)
            await wait_until(lambda: connection.unsent_bytes() > 5_000)
            await wait_until(lambda: case.memory.sum_of(MemoryOwner.ANSWER_OUT) > 0)
            unsent_bytes = connection.unsent_bytes()
            self.assertEqual(unsent_bytes, case.memory.sum_of(MemoryOwner.ANSWER_OUT))
            reader._transport.resume_reading()
            for _ in range(count):
                status, _, body = await case.read_response(reader)
                self.assertEqual((200, 5_000), (status, len(body)))
            await wait_until(lambda: not case.memory.total_bytes)
            writer.close()
            await wait_until(lambda: not case.listener.connections)
            await case.listener.close()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(play())

    def test_slow_reader_gets_all_and_one_that_reads_nothing_is_dropped(self):
        """Guards against cutting a response whose rest stays in the transport between two reads.

        The system takes more from the transport only once much of its own buffer is free.
        """
        case = ListenerCase("run")
        size = 6 * MB

        async def large(request):
            return BufferedResponse(200, [], bytes(size))

        async def play():
            await case.open(handler=large, idle_timeout_ms=1_500)
            _, stopped_writer = await case.connect()
            stopped_writer.transport.pause_reading()
            stopped_writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            slow = socket.socket()
            # A small buffer, as bytes in the buffer of the reader are received for the system.
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, ("127.0.0.1", case.listener.port))
            await loop.sock_sendall(slow, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received = 0
            # Slowly for twice the timeout, which the rest in the transport does not change.
            for _ in range(50):
                await asyncio.sleep(0.1)
                received += len(await loop.sock_recv(slow, 20_000))
            self.assertEqual({"response not read": 1}, case.memory.refused)
            self.assertEqual(1, len(case.listener.connections))
            while received < size:
                data = await loop.sock_recv(slow, MB)
                self.assertTrue(data, received)
                received += len(data)
            slow.close()
            stopped_writer.close()
            await wait_until(lambda: not case.listener.connections)
            self.assertEqual(0, case.memory.total_bytes)
            await case.listener.close()

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(play())
