import asyncio
import re
import signal
import sys

import aiohttp

from ..base import SocketTestCase


class TestTargetStandin(SocketTestCase):
    async def start(self, *arguments):
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "gentianthread.commands.standin", "target", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def test_target_answers_requests_and_probes(self):
        """Guards against stand-in targets that do not answer, as the tutorial uses them."""
        process = await self.start("--port", "0", "--body-bytes", "7")
        try:
            line = (await process.stdout.readline()).decode()
            url = re.search(r"http://\S+", line)[0]
            async with aiohttp.ClientSession() as session:
                async with session.get(f"{url}/stock") as answer:
                    self.assertEqual((200, 7), (answer.status, len(await answer.read())))
                async with session.get(f"{url}/.gentian/probe") as answer:
                    self.assertEqual(b"ready", await answer.read())
        finally:
            process.send_signal(signal.SIGINT)
            await process.wait()

    async def test_inner_calls_require_a_node(self):
        """Guards against starting a target whose inner calls would all fail."""
        process = await self.start("--port", "0", "--inner", "/prices")
        _, error = await process.communicate()
        self.assertEqual(2, process.returncode)
        self.assertIn(b"--node", error)
