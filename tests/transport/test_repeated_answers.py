import asyncio
import random

from gentianthread.clock import SystemClock
from gentianthread.errors import ConnectionLost, DialError
from gentianthread.transport.target_connection import make_request
from gentianthread.transport.target_pool import PooledResponse, TargetPool

from ..base import SocketTestCase


class RepeatingTarget:
    """Answer each request, and write copies of earlier answers of the connection around the answer.

    Answers name the send that they belong to, which tells the attempts of a request apart.
    """

    def __init__(self, rng):
        self.rng = rng
        self.copies = 0
        self.writers = []

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        written = []
        rng = self.rng
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path = head.split(b" ", 2)[:2]
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                answer = self.render(method, path[1:], fields[b"Request-Id"])
                data = b""
                for _ in range(rng.choice((0, 0, 1, 2)) * bool(written)):
                    self.copies += 1
                    data += rng.choice(written)
                if rng.random() < 0.1:
                    data += b"HTTP/1.1 103 X\r\nNot-Executed: 1\r\nRequest-Id: x\r\n\r\n"
                data += answer
                if rng.random() < 0.2:
                    data += answer
                written.append(answer)
                cut = rng.randrange(len(data))
                for piece in (data[:cut], data[cut:]):
                    writer.write(piece)
                    await asyncio.sleep(rng.choice((0, 0, 0.002, 0.01)))
                if b"Content-Length" not in answer and b"chunked" not in answer:
                    # The answer ends with its connection.
                    return
                if rng.random() < 0.2:
                    await asyncio.sleep(0.002)
                    writer.write(rng.choice(written))
                    self.copies += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def render(self, method, send, request_id):
        status = self.rng.choice((b"200", b"503", b"429", b"421", b"500"))
        head = b"HTTP/1.1 %b X\r\nRequest-Id: %b\r\nSend: %b\r\n" % (status, request_id, send)
        form = self.rng.random()
        if form < 0.05 and method != b"HEAD":
            return head + b"\r\n" + send
        if form < 0.3 and method != b"HEAD":
            return head + b"Transfer-Encoding: chunked\r\n\r\n1\r\ns\r\n0\r\n\r\n"
        body = b"" if method == b"HEAD" else send
        return head + b"Content-Length: %d\r\n\r\n" % len(send) + body


class TestRepeatedAnswers(SocketTestCase):
    timeout_s = 60

    async def send(self, pool, rng, name, send):
        """Send a request in a random way; return its result, or None if it was cancelled."""
        method = rng.choice(("GET", "POST", "HEAD"))
        timeout_ms = rng.choice((5.0, 40.0, 300.0, 300.0, 300.0))
        fields = f"Host: h\r\nRequest-Id: {name}\r\n"
        request = make_request(method, f"/{send}", fields, b"", name, timeout_ms)
        idle_limit_ms = rng.choice((None, 100.0, 0.0))
        if rng.random() < 0.6:
            ended = asyncio.get_running_loop().create_future()
            exchange = pool.start_exchange(request, idle_limit_ms, ended.set_result)
            if exchange is not None:
                if rng.random() < 0.15:
                    await asyncio.sleep(rng.choice((0, 0.001, 0.004)))
                    exchange.cancel()
                    return None
                return await ended
        task = asyncio.ensure_future(pool.exchange(request, idle_limit_ms))
        if rng.random() < 0.15:
            await asyncio.sleep(rng.choice((0, 0.001, 0.004)))
            task.cancel()
        try:
            return await task
        except asyncio.CancelledError:
            return None
        except (ConnectionLost, DialError, TimeoutError) as error:
            return error

    async def test_no_answer_belongs_to_another_send(self):
        """Guards against an answer to an earlier attempt on any way through the pool."""
        totals = {"answered": 0, "failed": 0, "cancelled": 0, "copies": 0, "reused": 0}
        for seed in range(4):
            rng = random.Random(seed)
            target = RepeatingTarget(rng)
            port = await target.open()
            limit = rng.choice((1, 2, 4, 8))
            pool = TargetPool("127.0.0.1", port, lambda n=limit: n, SystemClock(), "Request-Id")
            sends = iter(range(1_000_000))

            async def request(name, pool=pool, rng=rng, sends=sends):
                for _ in range(rng.choice((1, 2, 3, 4))):
                    send = f"s{next(sends)}"
                    result = await self.send(pool, rng, name, send)
                    if result is None:
                        totals["cancelled"] += 1
                    elif isinstance(result, PooledResponse):
                        totals["answered"] += 1
                        totals["reused"] += not result.on_new_connection
                        fields = result.fields
                        self.assertEqual((name, send), (fields["request-id"], fields["send"]))
                    else:
                        totals["failed"] += 1

            for batch in range(30):
                # Two callers of each batch use the same id.
                names = [f"r{batch}.{index // 2 if index < 2 else index}" for index in range(8)]
                await asyncio.gather(*(request(name) for name in names))
            totals["copies"] += target.copies
            await asyncio.sleep(0.1)
            self.assertEqual(len(pool._idle), pool.open_connections)
            pool.close()
            self.assertEqual(0, pool.open_connections)
            target.close()
        for name, least in (("answered", 500), ("reused", 100), ("copies", 200), ("cancelled", 50)):
            self.assertGreater(totals[name], least, totals)
