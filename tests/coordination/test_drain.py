import asyncio
import itertools

import aiohttp

from gentianthread.clock import LoopClock
from gentianthread.coordination.drain import Drain, TargetWatch
from gentianthread.errors import ConnectionLost
from gentianthread.ids import (
    AvailabilityZoneId,
    NodeIdentity,
    RefusalReason,
    StartNumber,
    UpstreamId,
)
from gentianthread.metrics import MemoryMetrics
from gentianthread.standins.target import Behaviour
from gentianthread.state.members import Member, MemberState, StaticMembers

from ..base import VirtualTimeTestCase
from ..fleets import FleetTestCase
from ..plans import small_plan

LOCAL = UpstreamId("catalogue-0")


class TestGracefulStop(FleetTestCase):
    async def test_stop_under_load_cuts_nothing(self):
        """Guards against requests that a planned stop aborts (P11)."""
        for links in (False, True):
            self.links = links
            async with self.fleet({"catalogue": 2, "pricing": 2}, slots=100) as fleet:
                await self.stop_under_load(fleet)

    async def stop_under_load(self, fleet):
        for member in fleet.members.values():
            member.target.behaviour = Behaviour(service_ms=30, body_bytes=50_000)
        counts = {"answered": 0, "refused": 0, "cut": 0}
        stopping = asyncio.Event()

        async def caller(number):
            entry = f"catalogue-{number % 2}"
            for step in range(12):
                path = ("/catalogue", "/pricing")[step % 2]
                url = f"{fleet.members[entry].url}/open{path}?id={number}-{step}"
                try:
                    async with fleet.session.get(url) as answer:
                        whole = len(await answer.read()) == 50_000
                        if answer.status == 200 and whole:
                            counts["answered"] += 1
                        elif answer.headers.get("Gentian-Not-Run") == "true":
                            counts["refused"] += 1
                            entry = "catalogue-1"
                        else:
                            counts["cut"] += 1
                except aiohttp.ClientConnectorError:
                    entry = "catalogue-1"
                except aiohttp.ClientError:
                    counts["cut"] += 1
                if step == 3:
                    stopping.set()

        callers = [asyncio.ensure_future(caller(number)) for number in range(16)]
        await stopping.wait()
        await asyncio.gather(
            *(fleet.members[name].node.stop_gracefully() for name in ("catalogue-0", "pricing-0"))
        )
        await asyncio.gather(*callers)
        self.assertEqual(0, counts["cut"], counts)
        self.assertTrue(counts["answered"] > 150, counts)

    async def test_leaving_node_refuses_with_close(self):
        """Guards against callers that stay connected to a stopping node."""
        async with self.fleet() as fleet:
            await fleet.members["catalogue-0"].node.drain.begin()
            status, headers, _ = await self.call(fleet, "catalogue-0", "/pricing")
            self.assertEqual((503, "leaving"), (status, headers["Gentian-Refusal"]))
            self.assertEqual(("close", "true"), (headers["Connection"], headers["Gentian-Not-Run"]))

    async def test_running_request_may_make_inner_calls_while_leaving(self):
        """Guards against running requests that fail because their node refuses inner calls."""
        async with self.fleet() as fleet:
            target = fleet.members["catalogue-0"].target
            target.behaviour = Behaviour(service_ms=100, inner_paths=("/pricing?id=inner",))
            running = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/catalogue"))
            await self.until(lambda: target.running)
            await fleet.members["catalogue-0"].node.stop_gracefully()
            self.assertEqual(200, (await running)[0])
            self.assertEqual(1, fleet.executions("inner"))

    async def test_draining_target_gets_no_new_work(self):
        """Guards against new requests for a leaving target (P10); other nodes serve its callers."""
        async with self.fleet({"catalogue": 2}) as fleet:
            member = fleet.members["catalogue-0"]
            member.target.draining = True
            await member.node.target_watch.check()
            for number in range(4):
                self.assertEqual(
                    200, (await self.call(fleet, "catalogue-0", f"/catalogue?id={number}"))[0]
                )
            self.assertEqual(0, len(member.target.seen))
            member.target.draining = False
            await member.node.target_watch.check()
            await self.call(fleet, "catalogue-0", "/catalogue")
            self.assertEqual(1, len(member.target.seen))


class FakeTarget:
    def __init__(self):
        self.probe_answer = b"ready"
        self.probes_at_ms = []

    async def probe(self, path, timeout_ms):
        self.probes_at_ms.append(asyncio.get_running_loop().time() * 1000)
        if self.probe_answer is None:
            raise ConnectionLost("target", "silent")
        return self.probe_answer


class FakeRequestHandler:
    def __init__(self):
        self.leaving = None
        self.running = 0
        self.served = 0


class TestTargetWatch(VirtualTimeTestCase):
    def make(self, members=None):
        executor, gateway, target = FakeRequestHandler(), FakeRequestHandler(), FakeTarget()
        announced_at_ms = []
        self.return_announcements, self.recovered = [], []

        async def announce():
            announced_at_ms.append(asyncio.get_running_loop().time() * 1000)
            if members is not None:
                members.set(Member(members.get(LOCAL).identity, MemberState.LEAVING))

        async def announce_return():
            self.return_announcements.append(True)

        drain = Drain(gateway, executor, LoopClock(), announce, announce_return)
        plan = small_plan()
        watch = TargetWatch(
            LOCAL,
            lambda: plan,
            members,
            target,
            drain,
            LoopClock(),
            MemoryMetrics(),
            lambda: self.recovered.append(True),
        )
        return executor, target, watch, announced_at_ms

    async def test_target_that_drained_takes_work_again(self):
        """Guards against a node that reads its own announcement and stays out of service."""
        identity = NodeIdentity(LOCAL, AvailabilityZoneId("larisa-a"), StartNumber(1))
        members = StaticMembers([Member(identity, MemberState.LIVE)])
        executor, target, watch, announced_at_ms = self.make(members)
        for number in (1, 2):
            target.probe_answer = b"draining"
            await watch.check()
            self.assertIs(RefusalReason.LEAVING, executor.leaving)
            target.probe_answer = b"ready"
            await watch.check()
            self.assertIsNone(executor.leaving)
            self.assertEqual(
                (number, number), (len(announced_at_ms), len(self.return_announcements))
            )
        members.own_leaving = True
        await watch.check()
        self.assertIs(RefusalReason.LEAVING, executor.leaving)

    async def test_recovered_target_is_reported_once(self):
        """Guards against full load on a cold target, and a slow start after a single lost probe."""
        _, target, watch, _ = self.make()
        for failures, reported in ((1, 0), (2, 0), (5, 1), (1, 1)):
            target.probe_answer = None
            for _ in range(failures):
                await watch.check()
            target.probe_answer = b"ready"
            await watch.check()
            self.assertEqual(reported, len(self.recovered))

    async def test_draining_target_is_noticed_in_time(self):
        """Guards against new requests for a target that has been draining for 3 s (P10)."""
        executor, target, watch, announced_at_ms = self.make()
        task = asyncio.ensure_future(watch.run())
        for start_ms in range(0, 60_000, 7_300):
            await asyncio.sleep(start_ms / 1000 - asyncio.get_running_loop().time())
            target.probe_answer, drained_at_ms = b"draining", start_ms
            await asyncio.sleep(3)
            self.assertIs(RefusalReason.LEAVING, executor.leaving)
            self.assertTrue(0 < announced_at_ms[-1] - drained_at_ms < 3_000)
            target.probe_answer = b"ready"
            await asyncio.sleep(3)
            self.assertIsNone(executor.leaving)
        task.cancel()

    async def test_failed_probe_keeps_the_target_in_service(self):
        """Guards against a target taken out of service because of a lost probe."""
        executor, target, watch, _ = self.make()
        target.probe_answer = None
        await watch.check()
        self.assertIsNone(executor.leaving)

    async def test_probe_intervals_are_jittered(self):
        """Guards against synchronised probes of a fleet."""
        _, target, watch, _ = self.make()
        task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(60)
        task.cancel()
        times = target.probes_at_ms
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        self.assertTrue(min(gaps) >= 1_500 and max(gaps) <= 2_500)
        self.assertTrue(len({round(gap) for gap in gaps}) > len(gaps) / 2)


class TestDrain(VirtualTimeTestCase):
    def make(self):
        gateway, executor = FakeRequestHandler(), FakeRequestHandler()
        return gateway, executor, Drain(gateway, executor, LoopClock(), None)

    async def keep_sending(self, gateway):
        while True:
            gateway.served += 1
            await asyncio.sleep(0.05)

    async def test_callers_that_keep_sending_do_not_prevent_the_stop(self):
        """Guards against a planned stop that never ends because refused callers keep sending."""
        gateway, _, drain = self.make()
        sending = asyncio.ensure_future(self.keep_sending(gateway))
        async with asyncio.timeout(4):
            await drain.wait_idle()
        sending.cancel()

    async def test_a_running_request_is_never_cut_off(self):
        """Guards against a time limit of the stop that aborts running requests (P11)."""
        gateway, executor, drain = self.make()
        sending = asyncio.ensure_future(self.keep_sending(gateway))
        executor.running = 1
        stopping = asyncio.ensure_future(drain.wait_idle())
        await asyncio.sleep(60)
        self.assertFalse(stopping.done())
        executor.running = 0
        await asyncio.wait_for(stopping, 4)
        sending.cancel()
