import asyncio
import random

from gentianthread.clock import ManualClock
from gentianthread.errors import ConnectionLost
from gentianthread.metrics import MemoryMetrics
from gentianthread.transport.http_client import ECHO_MEMORY_MS, BytesBody, HttpTargetClient

from ..base import SocketTestCase


def answer_to(request_id, body=b"ok", status="200 OK"):
    """Return an answer that names a request, or none."""
    named = b"" if request_id is None else b"Gentian-Request-Id: %b\r\n" % request_id
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %b\r\n%b%b\r\n%b" % (status.encode(), named, length, body)


def unnamed(_):
    """Answer without naming the request."""
    return [answer_to(None)]


class EchoingTarget:
    """Answer each request by the next function of a script, then with an answer that names it.

    A function gets the id of the request and returns the pieces that are written, of which each
    comes a moment after the one before; a piece of None closes the connection.
    """

    def __init__(self, *script, limit=1, pause_s=0.02):
        self.script = list(script)
        self.limit = limit
        self.pause_s = pause_s
        self.connections = 0
        self.request_ids = []
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.clock = ManualClock()
        self.metrics = MemoryMetrics()
        self.client = HttpTargetClient(
            "127.0.0.1", port, lambda: self.limit, self.clock, self.metrics
        )
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
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = next(
                    line.partition(b": ")[2]
                    for line in head.split(b"\r\n")
                    if line.startswith(b"Gentian-Request-Id: ")
                )
                self.request_ids.append(request_id)
                answer = self.script.pop(0) if self.script else lambda name: [answer_to(name)]
                for piece in answer(request_id):
                    if piece is None:
                        writer.close()
                        return
                    writer.write(piece)
                    await asyncio.sleep(self.pause_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            writer.close()

    async def call(self, request_id, method="GET"):
        headers = [("Host", "x"), ("Gentian-Request-Id", request_id)]
        body = BytesBody(b"order") if method == "POST" else None
        response = await self.client.exchange(method, "/", headers, body)
        body = b""
        while (data := await response.read()) is not None:
            body += data
        return response.status, body


REFUSAL = answer_to(b"a.0", b"refused", "503 Service Unavailable")


class TestLateAnswers(SocketTestCase):
    async def check_copy(self, *pieces):
        """Check that the second request gets its own answer although a copy comes before it."""
        async with EchoingTarget(
            lambda _: [REFUSAL],
            lambda name: [*pieces, answer_to(name, b"second")],
        ) as target:
            self.assertEqual((503, b"refused"), await target.call("a.0", "POST"))
            self.assertEqual((200, b"second"), await target.call("b.0", "POST"))
            self.assertEqual(1, target.connections)
            self.assertEqual((200, b"ok"), await target.call("c.0"))
            # The connection may carry further copies.
            self.assertEqual(2, target.connections)
            self.assertEqual(1, target.client.open_connections)
            self.assertEqual(1, target.metrics.counters["target.unmatched_answers"])

    async def test_copy_does_not_answer_the_next_request(self):
        """Guards against the answer of an earlier request that answers the one under way."""
        await self.check_copy(REFUSAL)

    async def test_copy_together_with_the_answer(self):
        """Guards against a copy that hides the answer which comes in the same segment."""
        async with EchoingTarget(
            lambda _: [REFUSAL], lambda name: [REFUSAL + answer_to(name, b"second")]
        ) as target:
            await target.call("a.0")
            self.assertEqual((200, b"second"), await target.call("b.0"))

    async def test_copy_in_pieces(self):
        """Guards against a copy that is told apart only if it comes whole."""
        await self.check_copy(REFUSAL[:30], REFUSAL[30:-3], REFUSAL[-3:])

    async def test_long_copy(self):
        """Guards against a copy that stops the connection since nobody reads its body."""
        await self.check_copy(answer_to(b"a.0", bytes(3_000_000)))

    async def test_interim_copy(self):
        """Guards against an interim answer before the copy that lets the copy pass."""
        await self.check_copy(b"HTTP/1.1 103 Early Hints\r\n\r\n" + REFUSAL)

    async def test_several_copies(self):
        """Guards against a second copy that is taken for the answer."""
        async with EchoingTarget(
            lambda _: [REFUSAL], lambda name: [REFUSAL, REFUSAL, answer_to(name, b"second")]
        ) as target:
            await target.call("a.0")
            self.assertEqual((200, b"second"), await target.call("b.0"))
            self.assertEqual(2, target.metrics.counters["target.unmatched_answers"])

    async def test_copy_and_no_answer(self):
        """Guards against a lost answer in place of which the copy is delivered."""
        for cut in (len(REFUSAL), len(REFUSAL) - 3, 30):
            async with EchoingTarget(
                lambda _: [REFUSAL], lambda _, cut=cut: [REFUSAL[:cut], None]
            ) as target:
                await target.call("a.0")
                with self.assertRaisesType(ConnectionLost):
                    await target.call("b.0", "POST")
                self.assertEqual(0, target.client.open_connections)

    async def test_answer_without_an_id_on_a_connection_that_had_some(self):
        """Guards against a copy that lost its id and is taken for the answer."""
        async with EchoingTarget(
            lambda name: [answer_to(name)], lambda name: [answer_to(None, b"copy"), answer_to(name)]
        ) as target:
            await target.call("a.0")
            with self.assertRaisesType(ConnectionLost):
                await target.call("b.0", "POST")
            self.assertEqual(0, target.client.open_connections)

    async def test_first_answer_of_a_connection_with_another_id(self):
        """Guards against an answer to somebody else's request."""
        async with EchoingTarget(lambda _: [answer_to(b"z.0")]) as target:
            with self.assertRaisesType(ConnectionLost):
                await target.call("a.0")
            self.assertEqual(0, target.client.open_connections)

    async def test_answer_with_two_ids(self):
        """Guards against an answer that names the request beside another one."""
        for names in ((b"b.0", b"z.0"), (b"z.0", b"b.0"), (b"z.0", b"z.0")):
            fields = b"".join(b"Gentian-Request-Id: %b\r\n" % name for name in names)
            answer = b"HTTP/1.1 200 OK\r\n" + fields + b"Content-Length: 2\r\n\r\nok"
            async with EchoingTarget(
                lambda _: [REFUSAL], lambda name, first=answer: [first, answer_to(name)]
            ) as target:
                await target.call("a.0")
                with self.assertRaisesType(ConnectionLost):
                    await target.call("b.0")

    async def test_copy_without_a_length(self):
        """Guards against body bytes that pass for an answer, in a copy whose end is unknown."""
        copy = REFUSAL.replace(b"Content-Length: 7\r\n", b"").replace(b"refused", b"")
        async with EchoingTarget(
            lambda _: [REFUSAL], lambda name: [copy, answer_to(name, b"forged")]
        ) as target:
            await target.call("a.0")
            with self.assertRaisesType(ConnectionLost):
                await target.call("b.0")

    async def test_copy_of_the_answer_to_a_head_request(self):
        """Guards against body bytes that pass for an answer, behind a copy without its body."""

        def second(name):
            forged = answer_to(name, b"forged")
            answer = answer_to(name, forged)
            head_length = len(answer) - len(forged)
            return [answer_to(b"a.0", bytes(head_length))[:-head_length] + answer]

        head_answer = answer_to(b"a.0", b"0123456789")[:-10]
        async with EchoingTarget(lambda _: [head_answer], second) as target:
            self.assertEqual((200, b""), await target.call("a.0", "HEAD"))
            with self.assertRaisesType(ConnectionLost):
                await target.call("b.0")

    async def test_target_that_names_no_requests_works(self):
        """Guards against lost requests or a new connection for each where targets echo nothing."""
        async with EchoingTarget(*[unnamed] * 5) as target:
            for number in range(5):
                self.assertEqual((200, b"ok"), await target.call(f"{number}.0", "POST"))
            self.assertEqual((1, 5), (target.connections, len(target.request_ids)))

    async def test_connection_without_ids_beside_others_is_not_reused(self):
        """Guards against a connection on which a copy cannot be told apart, though others can."""
        async with EchoingTarget(
            unnamed, lambda name: [answer_to(name), None], *[unnamed] * 4
        ) as target:
            for number in range(4):
                self.assertEqual((200, b"ok"), await target.call(f"{number}.0"))
                await asyncio.sleep(0.05)
            # Requests 0 and 1 share a connection; 2 and 3 have one each after the first echo.
            self.assertEqual(3, target.connections)
            # The target may have been replaced by one that echoes nothing.
            target.clock.advance_ms(ECHO_MEMORY_MS + 1)
            for number in range(4, 6):
                await target.call(f"{number}.0")
            self.assertEqual(4, target.connections)

    async def test_idle_connection_from_before_the_first_echo_is_not_reused(self):
        """Guards against an old connection without ids that is used once the target echoes."""
        async with EchoingTarget(unnamed, unnamed, limit=2) as target:
            await asyncio.gather(target.call("a.0"), target.call("b.0"))
            await target.call("c.0")
            self.assertEqual(2, target.connections)
            await asyncio.gather(target.call("d.0"), target.call("e.0"))
            self.assertEqual(3, target.connections)
            self.assertEqual(2, target.client.open_connections)

    async def test_part_of_a_head_on_an_idle_connection(self):
        """Guards against a request on a connection that has begun to carry a copy."""
        async with EchoingTarget() as target:
            await target.call("a.0")
            target.writers[0].write(REFUSAL[:20])
            await asyncio.sleep(0.05)
            self.assertEqual((200, b"ok"), await target.call("b.0"))
            self.assertEqual(2, target.connections)

    async def test_copy_does_not_answer_a_probe(self):
        """Guards against a target that is taken out of service by the copy of another answer."""
        draining = answer_to(b"a.0", b"draining")
        async with EchoingTarget(
            lambda _: [draining], lambda name: [draining, answer_to(name, b"ready")]
        ) as target:
            await target.call("a.0")
            self.assertEqual(b"ready", await target.client.probe("/probe", 1_000))

    async def test_copy_of_the_answer_to_a_probe(self):
        """Guards against the answer of a probe that answers an order."""
        kept = []

        def first(name):
            kept.append(answer_to(name, b"ready"))
            return kept

        async with EchoingTarget(first, lambda name: [*kept, answer_to(name, b"second")]) as target:
            await target.client.probe("/probe", 1_000)
            self.assertEqual((200, b"second"), await target.call("b.0", "POST"))
            await target.client.probe("/probe", 1_000)
            self.assertEqual(3, len(set(target.request_ids)))

    async def test_random_copies(self):
        """Guards against a mixture of copies, pieces and ends that lets a wrong answer pass."""
        outcomes = {"own": 0, "lost": 0}
        for seed in range(4):
            rng = random.Random(seed)
            written = []

            def answer(name, rng=rng, written=written):
                """Return the answer among whole and cut copies of earlier ones, in pieces."""
                own = answer_to(name, b"body of " + name + bytes(rng.choice((0, 9, 20_000))))
                copies = [
                    rng.choice(written) for _ in range(rng.choice((0, 0, 1, 3)) * bool(written))
                ]
                data = [*copies, own, *copies[:1]]
                if rng.random() < 0.2:
                    data[0] = data[0][: rng.randrange(len(data[0]))]
                whole = b"".join(data)
                cut = rng.randrange(len(whole))
                written.append(own)
                end = [None] if rng.random() < 0.1 else []
                return [whole[:cut], whole[cut:], *end]

            async def call(target, name, method):
                try:
                    status, body = await asyncio.wait_for(target.call(name, method), 0.15)
                except (ConnectionLost, TimeoutError):
                    outcomes["lost"] += 1
                    return
                self.assertEqual(200, status)
                expected = b"" if method == "HEAD" else b"body of " + name.encode()
                self.assertEqual(expected, body.rstrip(b"\0"))
                outcomes["own"] += 1

            async with EchoingTarget(*[answer] * 60, limit=3, pause_s=0.0) as target:
                for number in range(20):
                    methods = [rng.choice(("GET", "POST", "GET", "HEAD")) for _ in range(3)]
                    await asyncio.gather(
                        *(call(target, f"{number}.{i}", m) for i, m in enumerate(methods))
                    )
        # Copies of answers that other connections carried are not skipped.
        self.assertGreater(outcomes["own"], 40, outcomes)
