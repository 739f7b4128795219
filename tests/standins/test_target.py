import asyncio
import hashlib

import aiohttp

from gentianthread.standins.target import Behaviour, StandinTarget, digest_of, pattern

from ..base import SocketTestCase


class TestStandinTarget(SocketTestCase):
    async def test_slots_bound_what_runs_together(self):
        """Guards against overload tests on a target that never is overloaded."""
        running, most = 0, 0

        def choose(seen):
            nonlocal running, most
            running += 1
            most = max(most, running)
            asyncio.get_running_loop().call_later(0.01, leave)
            return Behaviour(service_ms=20)

        def leave():
            nonlocal running
            running -= 1

        target = StandinTarget(choose=choose, slots=2)
        port = await target.open()
        async with aiohttp.ClientSession() as session:

            async def one(number):
                async with session.get(f"http://127.0.0.1:{port}/?id={number}") as answer:
                    return await answer.read()

            bodies = await asyncio.gather(*(one(number) for number in range(8)))
        await target.close()
        self.assertEqual([pattern(str(number), 100) for number in range(8)], bodies)
        self.assertEqual((2, 8), (most, len(target.executions)))

    async def read_answers(self, behaviour, *counts):
        """Return the ids in what a target writes on a connection after each of some requests.

        Args:
            behaviour: The behaviour of the target.
            counts: How many answers are read after each request.
        """
        target = StandinTarget(behaviour)
        port = await target.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answers = {}
        names = []
        for name, count in zip("abc", counts, strict=False):
            writer.write(
                f"POST /?id={name}&size=3 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                f"Gentian-Request-Id: {name}.0\r\n\r\n".encode()
            )
            for _ in range(count):
                head = await reader.readuntil(b"\r\n\r\n")
                named = head.decode().partition("Gentian-Request-Id: ")[2][:3]
                names.append(named)
                # A copy is the same to the last byte.
                answer = head + await reader.readexactly(3)
                self.assertEqual(answer, answers.setdefault(named, answer))
                self.assertEqual(pattern(named[0], 3), answer[-3:])
        writer.close()
        self.assertEqual(len(names) - len(answers), target.repeated)
        await target.close()
        return names

    async def test_repeated_answers(self):
        """Guards against tests of late answers whose target repeats none or names none."""
        self.assertEqual(["a.0", "b.0"], await self.read_answers(Behaviour(), 1, 1))
        at_once = Behaviour(repeat_after_ms=0)
        self.assertEqual(["a.0", "a.0", "b.0", "b.0"], await self.read_answers(at_once, 2, 2))
        on_next = Behaviour(repeat_on_next=True)
        self.assertEqual(
            ["a.0", "a.0", "b.0", "b.0", "c.0"], await self.read_answers(on_next, 1, 2, 2)
        )

    async def test_echo_can_be_left_out(self):
        """Guards against tests of targets that echo nothing whose target does."""
        target = StandinTarget(Behaviour(echo_id=False))
        port = await target.open()
        async with aiohttp.ClientSession(headers={"Gentian-Request-Id": "a.0"}) as session:
            async with session.get(f"http://127.0.0.1:{port}/") as answer:
                self.assertNotIn("Gentian-Request-Id", answer.headers)
            async with session.get(f"http://127.0.0.1:{port}/.gentian/probe") as answer:
                self.assertEqual("a.0", answer.headers["Gentian-Request-Id"])
        await target.close()

    def test_digest_is_that_of_the_body(self):
        """Guards against callers that accept a wrong body or refuse a right one."""
        body = (pattern("a", 16 * 1024) * 3)[:40_000]
        self.assertEqual(hashlib.sha256(body).hexdigest(), digest_of("a", 40_000))
        self.assertNotEqual(digest_of("a", 40_000), digest_of("b", 40_000))
