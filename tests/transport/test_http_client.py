import asyncio

from gentianthread.clock import ManualClock
from gentianthread.errors import ConnectionLost, DialError
from gentianthread.transport.http_client import (
    IDLE_LIMIT_MS,
    RECENT_IDLE_LIMIT_MS,
    BytesBody,
    HttpTargetClient,
)

from ..base import SocketTestCase

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ScriptedTarget:
    """Respond to each request with the next bytes of a script, then with `RESPONSE`."""

    def __init__(self, *script):
        self.script = list(script)
        self.connections = 0
        self.requests = []
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.clock = ManualClock()
        self.client = HttpTargetClient("127.0.0.1", self.port, lambda: 2, self.clock)
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                response = self.script.pop(0) if self.script else RESPONSE
                writer.write(response)
                if response is not RESPONSE:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    async def get(self, **options):
        response = await self.client.exchange("GET", "/", [("Host", "x")], None, **options)
        body = b""
        while (data := await response.read()) is not None:
            body += data
        return response.status, body


class TestHttpTargetClient(SocketTestCase):
    async def test_connections_are_reused(self):
        """Guards against a new connection for each request."""
        async with ScriptedTarget() as target:
            for _ in range(5):
                self.assertEqual((200, b"ok"), await target.get())
            self.assertEqual((1, 5), (target.connections, len(target.requests)))

    async def test_limit_is_kept_and_waiters_are_served(self):
        """Guards against more connections than the target accepts and requests that never run."""
        async with ScriptedTarget() as target:
            results = await asyncio.gather(*(target.get() for _ in range(20)))
            self.assertEqual([(200, b"ok")] * 20, results)
            self.assertTrue(target.connections <= 2)

    async def test_old_and_closed_connections_are_not_reused(self):
        """Guards against requests on connections that the target may have closed."""
        async with ScriptedTarget() as target:
            await target.get()
            target.clock.advance_ms(IDLE_LIMIT_MS + 1)
            await target.get()
            self.assertEqual(2, target.connections)
            target.clock.advance_ms(RECENT_IDLE_LIMIT_MS + 1)
            await target.get(recent_only=True)
            self.assertEqual(3, target.connections)
            for writer in target.writers:
                writer.close()
            for writer in target.writers:
                await writer.wait_closed()
            self.assertEqual((200, b"ok"), await target.get())

    async def test_unsolicited_bytes_make_a_connection_unusable(self):
        """Guards against bytes without a request that are returned as the next response."""
        async with ScriptedTarget() as target:
            await target.get()
            target.writers[0].write(RESPONSE.replace(b"ok", b"no"))
            await target.writers[0].drain()
            await asyncio.sleep(0)
            self.assertEqual((200, b"ok"), await target.get())
            self.assertEqual(2, target.connections)

    async def test_responses_with_an_invalid_status_are_errors(self):
        """Guards against a status outside 200 to 599 that reaches the caller as an answer."""
        for status in (b"000", b"042", b"099", b"600", b"999"):
            head = b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\nok"
            early = b"HTTP/1.1 103 Early Hints\r\n\r\n"
            async with ScriptedTarget(head, early + head) as target:
                for _ in range(2):
                    with self.assertRaisesType(ConnectionLost):
                        await target.get()
                self.assertEqual((200, b"ok"), await target.get())

    async def test_truncated_and_malformed_responses_are_errors(self):
        """Guards against truncated or malformed responses that look complete."""
        truncated_responses = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"",
            b"garbage\r\n\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        )
        async with ScriptedTarget(*truncated_responses) as target:
            for response in truncated_responses:
                with self.assertRaisesType(ConnectionLost):
                    await target.get()
                self.assertEqual(0, target.client.open_connections, response)
            self.assertEqual(len(truncated_responses), len(target.requests))

    async def test_interim_responses_are_skipped(self):
        """Guards against an interim response that is returned as the final one."""
        interim_then_final = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + RESPONSE
        async with ScriptedTarget(interim_then_final) as target:
            self.assertEqual((200, b"ok"), await target.get())

    async def test_failed_dial_sends_nothing(self):
        """Guards against an unknown outcome although nothing was sent."""
        client = HttpTargetClient("127.0.0.1", 1, lambda: 2, ManualClock())
        with self.assertRaisesType(DialError):
            await client.exchange("POST", "/", [], BytesBody(b"x"))
        self.assertEqual(0, client.open_connections)

    async def test_cancelled_waiter_does_not_leak_a_connection(self):
        """Guards against a pool that runs out of connections when waiters are cancelled."""
        async with ScriptedTarget() as target:
            responses = [
                await target.client.exchange("GET", "/", [("Host", "x")], None) for _ in range(2)
            ]
            waiting = [asyncio.ensure_future(target.get()) for _ in range(3)]
            await asyncio.sleep(0.01)
            responses[0].close()
            waiting[0].cancel()
            results = await asyncio.gather(*waiting[1:])
            self.assertEqual([(200, b"ok")] * 2, results)
            responses[1].close()
