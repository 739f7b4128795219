import asyncio
import contextlib
import signal
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from bench.support.processes import ProcessFleet
from gentianthread.standins.fleet import key_of

from ..base import SocketTestCase

# Larger than all buffers between target and caller, so that an unread answer stays in progress.
ANSWER_BYTES = 30_000_000
DEADLINE_MS = 25_000.0
SHORT_GRACE_MS = 100
# Longer than any test.
LONG_GRACE_MS = 60_000


class ProcessTestCase(SocketTestCase):
    timeout_s = 60

    @contextlib.asynccontextmanager
    async def processes(self, services, grace_ms=LONG_GRACE_MS):
        """Run a fleet of processes; store their exit codes in `self.codes` at the end."""
        with TemporaryDirectory() as folder:
            fleet = ProcessFleet(Path(folder), services, deadline_ms=DEADLINE_MS)
            fleet.grace_ms = grace_ms
            try:
                await fleet.start()
                headers = {"Authorization": f"Bearer {key_of('alpha')}"}
                connector = aiohttp.TCPConnector(limit=0)
                async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
                    fleet.session = session
                    yield fleet
            finally:
                self.codes = await fleet.stop()

    def send_sigterm(self, fleet, name):
        fleet.processes[name].send_signal(signal.SIGTERM)

    async def wait_until_leaving(self, fleet, name):
        """Wait until a node refuses new requests, which shows that it has handled the signal."""
        reason = None
        while reason != "leaving":
            async with fleet.session.get(f"{fleet.url(name)}/catalogue") as answer:
                reason = answer.headers.get("Gentian-Refusal")
            await asyncio.sleep(0.02)


class TestSecondSignal(ProcessTestCase):
    async def stop_twice(self, fleet, name, read):
        """Send SIGTERM twice during an answer; return the exit code and the received bytes."""
        url = f"{fleet.url(name)}/catalogue?size={ANSWER_BYTES}"
        received = 0
        async with fleet.session.get(url) as answer:
            self.send_sigterm(fleet, name)
            await self.wait_until_leaving(fleet, name)
            self.send_sigterm(fleet, name)
            if not read:
                return await fleet.processes[name].wait(), received
            with contextlib.suppress(aiohttp.ClientError):
                async for chunk in answer.content.iter_any():
                    received += len(chunk)
        return await fleet.processes[name].wait(), received

    async def test_second_signal_after_the_grace_period_aborts_requests(self):
        """Guards against an unstoppable node, and an exit code that hides aborted requests."""
        async with self.processes({"catalogue": 1}, grace_ms=SHORT_GRACE_MS) as fleet:
            code, _ = await self.stop_twice(fleet, "catalogue-0", read=False)
            self.assertEqual(1, code)

    async def test_second_signal_within_the_grace_period_aborts_nothing(self):
        """Guards against a second signal that aborts requests too early (P11)."""
        async with self.processes({"catalogue": 1}) as fleet:
            result = await self.stop_twice(fleet, "catalogue-0", read=True)
            self.assertEqual((0, ANSWER_BYTES), result)

    async def test_idle_node_reports_no_aborted_request(self):
        """Guards against an exit code that reports aborted requests although none were running."""
        async with self.processes({"catalogue": 1}, grace_ms=0) as fleet:
            process = fleet.processes["catalogue-0"]
            self.send_sigterm(fleet, "catalogue-0")
            await self.wait_until_leaving(fleet, "catalogue-0")
            self.send_sigterm(fleet, "catalogue-0")
            self.assertEqual(0, await process.wait())


class TestSupersededProcess(ProcessTestCase):
    async def test_superseded_process_stops_without_aborting_requests(self):
        """Guards against two processes that both admit requests to one target (P11)."""
        async with self.processes({"catalogue": 1, "pricing": 2}) as fleet:
            url = f"{fleet.url('pricing-0')}/pricing?size={ANSWER_BYTES}"
            async with fleet.session.get(url) as answer:
                newer = await fleet.start_newer("pricing-0")
                await self.wait_until_leaving(fleet, "pricing-0")
                self.assertIsNone(fleet.processes["pricing-0"].returncode)
                self.assertEqual(ANSWER_BYTES, len(await answer.read()))
            self.assertEqual(0, await fleet.processes["pricing-0"].wait())
            others = ("catalogue-0", "pricing-1", newer)
            self.assertEqual([None] * 3, [fleet.processes[name].returncode for name in others])
        self.assertEqual([0] * 3, [self.codes[name] for name in others])

    async def test_superseded_process_counts_sigterm_as_its_first(self):
        """Guards against counting an operator's only SIGTERM as the second one."""
        async with self.processes({"catalogue": 1, "pricing": 2}, grace_ms=0) as fleet:
            url = f"{fleet.url('pricing-0')}/pricing?size={ANSWER_BYTES}"
            async with fleet.session.get(url) as answer:
                await fleet.start_newer("pricing-0")
                await self.wait_until_leaving(fleet, "pricing-0")
                self.send_sigterm(fleet, "pricing-0")
                self.assertEqual(ANSWER_BYTES, len(await answer.read()))
            self.assertEqual(0, await fleet.processes["pricing-0"].wait())

    async def test_superseded_process_completes_answers_over_links(self):
        """Guards against a replacement that aborts requests forwarded by other nodes (P11)."""
        async with self.processes({"catalogue": 1, "pricing": 1}) as fleet:
            url = f"{fleet.url('catalogue-0')}/pricing?size={ANSWER_BYTES}"
            received = 0
            async with fleet.session.get(url) as answer:
                await fleet.start_newer("pricing-0")
                await self.wait_until_leaving(fleet, "pricing-0")
                with contextlib.suppress(aiohttp.ClientError):
                    async for chunk in answer.content.iter_any():
                        received += len(chunk)
            self.assertEqual(ANSWER_BYTES, received)
