import asyncio

from gentianthread.errors import ConnectionLost
from gentianthread.transport.target_connection import TargetConnection, make_request

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
        return response.status, b"".join(response.body)

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
