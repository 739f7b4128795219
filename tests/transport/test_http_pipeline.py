import asyncio
import gc
import weakref

from gentianthread.clock import SystemClock
from gentianthread.standins.mesh import wait_until
from gentianthread.state.fleet_plan import CallerLimits
from gentianthread.transport.http_pipeline import BufferedResponse, PipelineListener, start_in_task

from ..base import SocketTestCase


class TestPipeline(SocketTestCase):
    async def open_connection(self, handler, **limits):
        self.listener = PipelineListener(
            start_in_task(handler), SystemClock(), lambda: CallerLimits(**limits)
        )
        await self.listener.open("127.0.0.1", 0)
        return await asyncio.open_connection("127.0.0.1", self.listener.port)

    async def echo(self, request):
        return BufferedResponse(200, [("X-Path", request.target)], request.body)

    async def read_response(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields.get("Content-Length", 0)))
        return int(lines[0].split()[1]), fields, body

    async def test_pipelined_requests_run_at_once_and_are_answered_in_order(self):
        """Guards against a pipelined request that waits for the previous one."""
        running, max_running = 0, 0

        async def handler(request):
            nonlocal running, max_running
            running += 1
            max_running = max(max_running, running)
            await asyncio.sleep(0.05 if request.target == "/1" else 0.001)
            running -= 1
            return BufferedResponse(200, [("X-Path", request.target)])

        reader, writer = await self.open_connection(handler)
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in (1, 2, 3)))
        paths = [(await self.read_response(reader))[1]["X-Path"] for _ in range(3)]
        self.assertEqual((["/1", "/2", "/3"], 3), (paths, max_running))
        await self.listener.close()

    async def test_bodies_with_length_and_in_chunks_are_complete(self):
        """Guards against a body that is truncated, duplicated or parsed as the next request."""
        reader, writer = await self.open_connection(self.echo)
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe")
        await asyncio.sleep(0.02)
        writer.write(b"lloPOST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"abc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(b"hello", (await self.read_response(reader))[2])
        self.assertEqual(b"abcde", (await self.read_response(reader))[2])
        await self.listener.close()

    async def test_long_bodies_pass_and_too_long_ones_are_refused(self):
        """Guards against long bodies that never complete, and bodies that fill the memory."""
        reader, writer = await self.open_connection(self.echo, body_bytes=1_000_000)
        body = b"x" * 900_000
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + body)
        self.assertEqual((200, body), (await self.read_response(reader))[::2])
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1100000\r\n\r\n")
        writer.write(b"x" * 1_100_000)
        self.assertEqual(413, (await self.read_response(reader))[0])
        await self.listener.close()

    async def test_malformed_head_is_answered_after_the_requests_before_it(self):
        """Guards against a response that is sent before that to an earlier request."""

        async def handler(request):
            await asyncio.sleep(0.03)
            return BufferedResponse(200, [])

        reader, writer = await self.open_connection(handler)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.01)
        writer.write(b"NONSENSE\r\n\r\n")
        self.assertEqual([200, 400], [(await self.read_response(reader))[0] for _ in range(2)])
        self.assertEqual(b"", await reader.read())
        await self.listener.close()

    async def test_handler_is_cancelled_when_the_caller_leaves(self):
        """Guards against work for callers that are gone."""
        cancelled = asyncio.Event()

        async def handler(request):
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        _, writer = await self.open_connection(handler)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.02)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 2)
        await self.listener.close()

    async def test_leaving_closes_only_after_the_last_request(self):
        """Guards against pending requests that get no response at a planned stop."""

        async def handler(request):
            await asyncio.sleep(0.02)
            return BufferedResponse(200, [])

        reader, writer = await self.open_connection(handler)
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.01)
        self.listener.leaving = True
        fields = [(await self.read_response(reader))[1] for _ in range(2)]
        self.assertEqual(
            [False, True], ["Connection" in response_fields for response_fields in fields]
        )
        self.assertEqual(b"", await reader.read())
        await self.listener.close()

    async def test_incomplete_head_and_idle_connection_are_closed(self):
        """Guards against inactive connections that use memory forever."""
        reader, writer = await self.open_connection(
            self.echo, header_timeout_ms=200, idle_timeout_ms=300
        )
        writer.write(b"GET / HTT")
        self.assertEqual(408, (await self.read_response(reader))[0])
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port)
        self.assertEqual(b"", await reader.read())
        await self.listener.close()

    async def test_head_over_the_limit_gets_431(self):
        """Guards against heads that fill the memory of the node."""
        reader, writer = await self.open_connection(self.echo, header_bytes=2_000)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 5_000 + b"\r\n\r\n")
        self.assertEqual(431, (await self.read_response(reader))[0])
        await self.listener.close()

    async def test_head_in_many_reads_is_accepted_up_to_the_limit(self):
        """Guards against a slow caller whose head is counted twice against the limit."""
        reader, writer = await self.open_connection(self.echo, header_bytes=2_000)
        head = b"GET /slow HTTP/1.1\r\nHost: a\r\n" + b"X: " + b"y" * 1_200 + b"\r\n"
        for part in (head[:700], head[700:], b"Z: " + b"z" * 600, b"\r\n\r\n"):
            writer.write(part)
            await asyncio.sleep(0.01)
        self.assertEqual("/slow", (await self.read_response(reader))[1]["X-Path"])
        writer.write(head[:-2] + b"y" * 1_000)
        await asyncio.sleep(0.01)
        self.assertEqual(431, (await self.read_response(reader))[0])
        await self.listener.close()

    async def test_request_that_ends_its_connection_is_answered(self):
        """Guards against bytes after the last request that prevent its response."""
        reader, writer = await self.open_connection(self.echo)
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        writer.write(b"GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nmore")
        paths = [(await self.read_response(reader))[1]["X-Path"] for _ in range(2)]
        self.assertEqual((["/1", "/2"], b""), (paths, await reader.read()))
        await self.listener.close()

    async def test_expect_100_continue_gets_an_interim_response(self):
        """Guards against uploads that wait for an interim response before their body."""
        reader, writer = await self.open_connection(self.echo)
        writer.write(
            b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        self.assertEqual(b"HTTP/1.1 100 Continue\r\n\r\n", await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"ok")
        self.assertEqual(b"ok", (await self.read_response(reader))[2])
        await self.listener.close()

    async def test_more_requests_than_run_at_once_are_all_answered(self):
        """Guards against a connection whose reading stays paused after a full pipeline."""
        reader, writer = await self.open_connection(self.echo)
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % n for n in range(500)))
        paths = [(await self.read_response(reader))[1]["X-Path"] for _ in range(500)]
        self.assertEqual([f"/{number}" for number in range(500)], paths)
        await self.listener.close()

    async def test_closed_connections_are_freed_without_the_garbage_collector(self):
        """Guards against memory that is filled by closed connections of refused callers."""
        reader, writer = await self.open_connection(self.echo)
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.read_response(reader)
        connection = weakref.ref(next(iter(self.listener.connections)))
        gc.disable()
        try:
            writer.close()
            await wait_until(lambda: not self.listener.connections)
            await asyncio.sleep(0)
            self.assertIsNone(connection())
        finally:
            gc.enable()
        await self.listener.close()
