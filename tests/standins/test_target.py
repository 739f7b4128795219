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

    def test_digest_is_that_of_the_body(self):
        """Guards against callers that accept a wrong body or refuse a right one."""
        body = (pattern("a", 16 * 1024) * 3)[:40_000]
        self.assertEqual(hashlib.sha256(body).hexdigest(), digest_of("a", 40_000))
        self.assertNotEqual(digest_of("a", 40_000), digest_of("b", 40_000))
