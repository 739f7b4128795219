import asyncio
import contextlib
import signal
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp

from bench.support.processes import ProcessFleet
from gentianthread.standins.fleet import key_of

from ..base import SocketTestCase

# Larger than all buffers between target and caller, so that an unread answer goes on running.
ANSWER_BYTES = 30_000_000
DEADLINE_MS = 25_000.0
SHORT_MS = 100
# Longer than a test runs.
LONG_MS = 60_000


class ProcessTestCase(SocketTestCase):
    timeout_s = 60

    @contextlib.asynccontextmanager
    async def processes(self, services, grace_ms=LONG_MS):
        """Run a fleet of processes; the exit codes of the end are in `self.codes`."""
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

    def signal(self, fleet, name):
        fleet.processes[name].send_signal(signal.SIGTERM)

    async def until_leaving(self, fleet, name):
        """Wait until a node refuses new requests, so that it has taken in the first signal."""
        reason = None
        while reason != "leaving":
            async with fleet.session.get(f"{fleet.url(name)}/catalogue") as answer:
                reason = answer.headers.get("Gentian-Refusal")
            await asyncio.sleep(0.02)


class TestSecondSignal(ProcessTestCase):
    async def stop_twice(self, fleet, name, read):
        """Signal a node twice during an answer; return its exit code and the bytes that came."""
        url = f"{fleet.url(name)}/catalogue?size={ANSWER_BYTES}"
        received = 0
        async with fleet.session.get(url) as answer:
            self.signal(fleet, name)
            await self.until_leaving(fleet, name)
            self.signal(fleet, name)
            if not read:
                return await fleet.processes[name].wait(), received
            with contextlib.suppress(aiohttp.ClientError):
                async for part in answer.content.iter_any():
                    received += len(part)
        return await fleet.processes[name].wait(), received

    async def test_after_the_grace_period_it_ends_running_requests(self):
        """Guards against a node that cannot be stopped, and an exit code that hides cuts."""
        async with self.processes({"catalogue": 1}, grace_ms=SHORT_MS) as fleet:
            code, _ = await self.stop_twice(fleet, "catalogue-0", read=False)
            self.assertEqual(1, code)

    async def test_before_the_end_of_the_grace_period_it_cuts_nothing(self):
        """Guards against an impatient operator who cuts off requests (P11)."""
        async with self.processes({"catalogue": 1}) as fleet:
            result = await self.stop_twice(fleet, "catalogue-0", read=True)
            self.assertEqual((0, ANSWER_BYTES), result)

    async def test_idle_node_reports_no_cut(self):
        """Guards against an exit code that tells of cut requests where none ran."""
        async with self.processes({"catalogue": 1}, grace_ms=0) as fleet:
            process = fleet.processes["catalogue-0"]
            self.signal(fleet, "catalogue-0")
            await self.until_leaving(fleet, "catalogue-0")
            self.signal(fleet, "catalogue-0")
            self.assertEqual(0, await process.wait())


class TestSupersededProcess(ProcessTestCase):
    async def test_older_process_stops_by_itself_and_cuts_nothing(self):
        """Guards against two processes that both admit work to one target (P11)."""
        async with self.processes({"catalogue": 1, "pricing": 2}) as fleet:
            url = f"{fleet.url('pricing-0')}/pricing?size={ANSWER_BYTES}"
            async with fleet.session.get(url) as answer:
                newer = await fleet.start_newer("pricing-0")
                await self.until_leaving(fleet, "pricing-0")
                self.assertIsNone(fleet.processes["pricing-0"].returncode)
                self.assertEqual(ANSWER_BYTES, len(await answer.read()))
            self.assertEqual(0, await fleet.processes["pricing-0"].wait())
            others = ("catalogue-0", "pricing-1", newer)
            self.assertEqual([None] * 3, [fleet.processes[name].returncode for name in others])
        self.assertEqual([0] * 3, [self.codes[name] for name in others])

    async def test_signal_to_a_superseded_process_is_its_first(self):
        """Guards against the only SIGTERM of an operator that is taken for a second one."""
        async with self.processes({"catalogue": 1, "pricing": 2}, grace_ms=0) as fleet:
            url = f"{fleet.url('pricing-0')}/pricing?size={ANSWER_BYTES}"
            async with fleet.session.get(url) as answer:
                await fleet.start_newer("pricing-0")
                await self.until_leaving(fleet, "pricing-0")
                self.signal(fleet, "pricing-0")
                self.assertEqual(ANSWER_BYTES, len(await answer.read()))
            self.assertEqual(0, await fleet.processes["pricing-0"].wait())

    async def test_answer_of_an_older_process_over_a_link_is_not_cut(self):
        """Guards against a replacement that cuts off what other nodes forwarded (P11)."""
        async with self.processes({"catalogue": 1, "pricing": 1}) as fleet:
            url = f"{fleet.url('catalogue-0')}/pricing?size={ANSWER_BYTES}"
            received = 0
            async with fleet.session.get(url) as answer:
                await fleet.start_newer("pricing-0")
                await self.until_leaving(fleet, "pricing-0")
                with contextlib.suppress(aiohttp.ClientError):
                    async for part in answer.content.iter_any():
                        received += len(part)
            self.assertEqual(ANSWER_BYTES, received)
