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

    async def check_repeats(self, behaviour):
        """Check what a target writes on a connection with two requests, the second one late."""
        target = StandinTarget(behaviour)
        port = await target.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        received = b""
        for name in (b"a", b"b"):
            writer.write(
                b"POST /?id=%b&size=3 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                b"Gentian-Request-Id: %b.0\r\n\r\n" % (name, name)
            )
            await asyncio.sleep(0.05)
            received += await reader.read(100_000)
        writer.close()
        repeated = target.repeated
        await target.close()
        answers = received.split(b"HTTP/1.1 200 OK\r\n")[1:]
        names = [answer.partition(b"Gentian-Request-Id: ")[2][:3] for answer in answers]
        for answer, name in zip(answers, names, strict=True):
            self.assertEqual(pattern(name[:1].decode(), 3), answer[-3:])
        self.assertEqual(len(set(answers)), len(answers) - repeated)
        return b" ".join(names)

    async def test_repeated_answers(self):
        """Guards against tests of late answers whose target repeats none or names none."""
        self.assertEqual(b"a.0 b.0", await self.check_repeats(Behaviour()))
        at_once = Behaviour(repeat_after_ms=0)
        self.assertEqual(b"a.0 a.0 b.0 b.0", await self.check_repeats(at_once))
        on_next = Behaviour(repeat_on_next=True)
        self.assertEqual(b"a.0 a.0 b.0", await self.check_repeats(on_next))

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
