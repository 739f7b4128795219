import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from bench.support.processes import ProcessFleet
from gentianthread.standins.fleet import key_of

from ..base import SocketTestCase

CALLERS = 8
CALLS_PER_CALLER = 30


class TestNodeProcess(SocketTestCase):
    async def test_sigterm_under_load_aborts_no_request(self):
        """Guards against a graceful stop that aborts requests (P11) or exits with a wrong code."""
        with TemporaryDirectory() as folder:
            fleet = ProcessFleet(Path(folder), {"catalogue": 1, "pricing": 2})
            await fleet.start()
            try:
                counts = await self.load_and_stop(fleet)
                code = await fleet.processes["pricing-0"].wait()
            finally:
                codes = await fleet.stop()
            self.assertEqual(0, counts["aborted"], counts)
            self.assertTrue(counts["answered"] > CALLERS * CALLS_PER_CALLER / 2, counts)
            self.assertEqual((0, 0), (code, codes["catalogue-0"]))

    async def load_and_stop(self, fleet):
        counts = {"answered": 0, "refused": 0, "aborted": 0}
        headers = {"Authorization": f"Bearer {key_of('alpha')}"}

        async def caller(session):
            for _ in range(CALLS_PER_CALLER):
                try:
                    async with session.get(f"{fleet.url('catalogue-0')}/pricing") as answer:
                        body = await answer.read()
                except aiohttp.ClientError:
                    counts["aborted"] += 1
                    continue
                if answer.status == 200 and len(body) == 100:
                    counts["answered"] += 1
                else:
                    not_run = answer.headers.get("Gentian-Not-Run") == "true"
                    counts["refused" if not_run else "aborted"] += 1
                if counts["answered"] == CALLERS * 3:
                    fleet.processes["pricing-0"].send_signal(signal.SIGTERM)

        async with aiohttp.ClientSession(headers=headers) as session:
            await asyncio.gather(*(caller(session) for _ in range(CALLERS)))
        return counts

    async def test_dump_contains_state_but_no_secrets(self):
        """Guards against keys and secrets in the state dump."""
        with TemporaryDirectory() as folder:
            fleet = ProcessFleet(Path(folder), {"catalogue": 1})
            await fleet.start()
            try:
                process = fleet.processes["catalogue-0"]
                process.send_signal(signal.SIGUSR1)
                printed_dump = await process.stdout.readline()
                port = fleet.ports["catalogue-0"].operator
                async with (
                    aiohttp.ClientSession() as session,
                    session.get(f"http://127.0.0.1:{port}/dump") as answer,
                ):
                    served_dump = await answer.read()
            finally:
                await fleet.stop()
        for text in (printed_dump, served_dump):
            dump = json.loads(text)
            self.assertEqual("catalogue-0", dump["node"]["upstream"])
            self.assertEqual(["alpha1"], dump["plan"]["key_ids"])
            self.assertNotIn(b"gtk_", text)
            self.assertNotIn(b"not a secret", text)
            self.assertNotIn(b"digest", text)

    def test_invalid_settings_return_their_exit_code(self):
        """Guards against a node that starts with unknown settings."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.ini"
            path.write_text("[node]\nupstrem = pricing-0\n")
            completed = subprocess.run(
                [sys.executable, "-m", "gentianthread.commands.node", str(path)],
                capture_output=True,
                timeout=20,
            )
        self.assertEqual(2, completed.returncode)
        self.assertIn(b"node.ini: [node] upstrem", completed.stderr)
