import asyncio
import tracemalloc

from gentianthread.errors import ConnectionLost
from gentianthread.transport.target_connection import (
    ResponseMemory,
    TargetConnection,
    make_request,
)

from ..base import SocketTestCase

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 11\r\n\r\nhello world"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n"
)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n"
INTERIM_FIRST = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH


class FakeTransport:
    """Act as a transport that discards all data."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        pass

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def get_extra_info(self, name):
        return None


class TestAnswerBytes(SocketTestCase):
    async def exchange(self, parts, method="GET", end=False):
        """Pass bytes to a connection; return the status and body, the error type, or "open"."""
        connection = TargetConnection(asyncio.get_running_loop(), "Request-Id")
        connection.connection_made(FakeTransport())
        request = make_request(method, "/", "", b"", "a", 5_000.0)
        task = asyncio.ensure_future(connection.exchange(request))
        await asyncio.sleep(0)
        for part in parts:
            connection.data_received(part)
        if end:
            connection.eof_received()
            connection.connection_lost(None)
        if not task.done():
            await asyncio.sleep(0)
        if not task.done():
            task.cancel()
            return "open"
        if task.exception() is not None:
            return type(task.exception())
        response = task.result()
        return response.status, bytes(response.body)

    async def test_responses_truncated_anywhere_are_lost(self):
        """Guards against a truncated response that looks complete, for each possible length."""
        for data in (WITH_LENGTH, CHUNKED, NO_CONTENT, INTERIM_FIRST):
            for cut in range(len(data)):
                outcome = await self.exchange([data[:cut]], end=True)
                self.assertEqual(ConnectionLost, outcome, data[:cut])

    async def test_responses_split_across_two_reads_are_complete(self):
        """Guards against bytes lost or duplicated if a response spans two reads."""
        for data in (WITH_LENGTH, CHUNKED, INTERIM_FIRST):
            for cut in range(1, len(data)):
                outcome = await self.exchange([data[:cut], data[cut:]])
                self.assertEqual((200, b"hello world"), outcome, data[:cut])

    async def test_response_to_head_has_no_body(self):
        """Guards against waiting for a body because the response states its length."""
        head = WITH_LENGTH.partition(b"hello")[0]
        self.assertEqual((200, b""), await self.exchange([head], method="HEAD"))

    async def test_response_without_a_body_is_complete(self):
        """Guards against waiting for the end of the connection after a 204."""
        self.assertEqual((204, b""), await self.exchange([NO_CONTENT]))

    async def test_contradictory_lengths_are_an_error(self):
        """Guards against a response whose length is ambiguous."""
        length_and_chunks = CHUNKED.replace(b"Transfer", b"Content-Length: 3\r\nTransfer")
        two_lengths = WITH_LENGTH.replace(
            b"Content-Length: 11", b"Content-Length: 3\r\nContent-Length: 11"
        )
        for data in (length_and_chunks, two_lengths):
            self.assertEqual(ConnectionLost, await self.exchange([data]))

    async def test_endless_head_is_an_error(self):
        """Guards against a faulty target that fills the memory of the node."""
        parts = [b"HTTP/1.1 200 OK\r\nX: "] + [b"y" * 4_096] * 20
        self.assertEqual(ConnectionLost, await self.exchange(parts))

    async def test_endless_interim_responses_are_an_error(self):
        """Guards against a target that sends interim responses without end.

        Each of them is complete, so that none reaches the limit of a head.
        """
        parts = [b"HTTP/1.1 100 Continue\r\n\r\n" * 200] * 300
        self.assertEqual(ConnectionLost, await self.exchange(parts))

    async def test_endless_response_to_another_request_is_an_error(self):
        """Guards against a late copy of another answer that has no end."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = [head] + [b"1000\r\n" + b"y" * 4_096 + b"\r\n"] * 1_000
        self.assertEqual(ConnectionLost, await self.exchange(parts))

    async def test_long_late_copy_of_another_response_is_skipped(self):
        """Guards against a lost answer because a late copy before it is longer than a head."""
        copy = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 50000\r\n\r\n" + b"y" * 50_000
        self.assertEqual(
            (200, b"hello world"), await self.exchange([copy[:40_000], copy[40_000:], WITH_LENGTH])
        )

    async def test_blanks_around_the_id_are_no_part_of_it(self):
        """Guards against an answer that is taken for a copy of another one, so that it is lost."""
        padded = WITH_LENGTH.replace(b"Request-Id: a", b"Request-Id: \t a \t")
        self.assertEqual((200, b"hello world"), await self.exchange([padded]))

    # Guards against "not run" for an order that ran: a field behind its answer makes it a refusal.
    async def test_trailer_fields_are_no_header_fields(self):
        """Guards against fields behind a body that change what the head of the answer says."""
        trailer = b"0\r\nNot-Executed: 1\r\n\r\n"
        connection = TargetConnection(asyncio.get_running_loop(), "Request-Id")
        connection.connection_made(FakeTransport())
        exchange = asyncio.ensure_future(
            connection.exchange(make_request("GET", "/", "", b"", "a", 5_000.0))
        )
        await asyncio.sleep(0)
        connection.data_received(CHUNKED.replace(b"0\r\n\r\n", trailer))
        response = await exchange
        self.assertEqual((200, b"hello world"), (response.status, bytes(response.body)))
        self.assertNotIn("not-executed", response.fields.first)

    async def test_endless_trailer_is_an_error(self):
        """Guards against trailer fields without end, in many lines or in one, after a body."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        lines = [head] + [b"X-More: " + b"y" * 100 + b"\r\n"] * 2_000
        one_line = [head + b"X-More: "] + [b"y" * 4_096] * 100
        for parts in (lines, one_line):
            self.assertEqual(ConnectionLost, await self.exchange(parts))

    async def test_chunk_framing_without_end_is_an_error(self):
        """Guards against chunk extensions without end, which bring no body."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x="
        self.assertEqual(ConnectionLost, await self.exchange([head] + [b"y" * 4_096] * 100))

    async def test_body_in_small_chunks_is_complete(self):
        """Guards against a sound body that is refused because of its framing."""
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = [head] + [b"1\r\ny\r\n"] * 30_000 + [b"0\r\n\r\n"]
        self.assertEqual((200, b"y" * 30_000), await self.exchange(parts))


class TestResponseMemory(SocketTestCase):
    """Pattern: a target in trouble sends bodies without end on many connections at once."""

    async def test_bodies_of_all_connections_share_one_limit(self):
        """Guards against a node that is killed for its memory by the bodies of a faulty target."""
        memory = ResponseMemory(100_000)
        loop = asyncio.get_running_loop()
        connections = [TargetConnection(loop, "Request-Id", memory) for _ in range(4)]
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        tasks = []
        for connection in connections:
            connection.connection_made(FakeTransport())
            request = make_request("GET", "/", "", b"", "a", 5_000.0)
            tasks.append(asyncio.ensure_future(connection.exchange(request)))
        await asyncio.sleep(0)
        sound = b"1388\r\n" + b"s" * 5_000 + b"\r\n"
        endless = b"2710\r\n" + b"y" * 10_000 + b"\r\n"
        connections[0].data_received(head + sound)
        for connection in connections[1:]:
            connection.data_received(head)
        for _ in range(50):
            for connection in connections[1:]:
                if connection.usable:
                    connection.data_received(endless)
            self.assertLessEqual(memory.held_bytes, 100_000 + 10_000)
        connections[0].data_received(sound + b"0\r\n\r\n")
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(10_000, ended[0].body_bytes)
        self.assertEqual([ConnectionLost] * 3, [type(error) for error in ended[1:]])
        self.assertEqual(0, memory.held_bytes)

    async def measure_peak_bytes(self, memory, count, parts):
        """Pass bytes to new connections until they fail; return the peak of the memory they take.

        Args:
            memory: Limit that the connections share.
            count: Number of connections.
            parts: Bytes for each connection.
        """
        connections, tasks = [], []
        tracemalloc.start()
        try:
            for _ in range(count):
                connection = TargetConnection(asyncio.get_running_loop(), "Request-Id", memory)
                connection.connection_made(FakeTransport())
                connections.append(connection)
                request = make_request("GET", "/", "", b"", "a", 5_000.0)
                tasks.append(asyncio.ensure_future(connection.exchange(request)))
                await asyncio.sleep(0)
                for part in parts:
                    if connection.usable:
                        connection.data_received(part)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        for connection in connections:
            connection.abort()
            connection.connection_lost(None)
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual({ConnectionLost}, {type(error) for error in ended})
        self.assertEqual(0, memory.held_bytes)
        return peak_bytes

    async def test_body_without_end_in_tiny_chunks_stays_within_the_limit(self):
        """Guards against a node killed for its memory by a body in chunks of one byte.

        Each chunk was kept as an object of its own, which takes over forty times its length.
        """
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = [head] + [b"1\r\ny\r\n" * 1_000] * 600
        peak_bytes = await self.measure_peak_bytes(ResponseMemory(500_000), 1, parts)
        self.assertLessEqual(peak_bytes, 2 * 500_000)

    async def test_fields_of_all_connections_share_the_limit(self):
        """Guards against a node killed for its memory by heads without end on many connections.

        A head of the longest length with fields of a few bytes takes over a megabyte.
        """
        chunked = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start in (b"HTTP/1.1 200 OK\r\n", chunked + b"0\r\n"):
            parts = [start + b"a:b\r\n" * 5_000]
            peak_bytes = await self.measure_peak_bytes(ResponseMemory(500_000), 5, parts)
            self.assertLessEqual(peak_bytes, 2 * 500_000)
