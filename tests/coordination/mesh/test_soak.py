import asyncio
import hashlib
import itertools
import time

import attrs

from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import OUTBOUND_PORT, MeshInstance, MeshTarget

from ...base import SocketTestCase
from .evacuation_faults import IN_FORCE_S, EvacuationPeriod
from .refusal_faults import CopyForm, CopyTime
from .soak import (
    MIN_CALLS,
    MIN_SUCCESSES,
    NOT_RUN,
    CrashSoak,
    EvacuationSoak,
    RefusalSoak,
    Soak,
    StoreAndLimitSoak,
    answer_slowly,
)
from .soak_caller import CALLER_SLACK_MS, CALLER_TIMEOUT_MS, Call
from .store_and_limit_faults import CONTACT_S, DRAIN_S, NoticePeriod

# More seeds: `python -m tests.coordination.mesh.soak --seeds 50`, also with `--kind`.
SEEDS = (0, 1)
# Broken before a connection carried a request only once.
REFUSAL_SEEDS = (2,)


class TestSoak(SocketTestCase):
    timeout_s = 90

    async def play(self, kind, seeds=SEEDS):
        for seed in seeds:
            soak = kind(seed)
            await soak.play()
            self.assertEqual([], soak.violations)
            self.assertGreater(len(soak.calls), MIN_CALLS)
            self.assertTrue(any(call.on_kept_connection for call in soak.calls))
            self.assertGreater(sum(call.status == 200 for call in soak.calls), MIN_SUCCESSES)
        return soak

    async def test_faults_break_nothing(self):
        """Guards against duplicate runs, invalid answers, false "not run" and missing recovery."""
        await self.play(Soak)

    async def test_restores_of_the_store_and_limits_of_targets_break_nothing(self):
        """Guards against older plans, and targets left out, after several such faults at once."""
        await self.play(StoreAndLimitSoak)

    async def test_evacuations_and_restores_of_the_store_break_nothing(self):
        """Guards against requests for an evacuated zone after several such faults at once."""
        soak = await self.play(EvacuationSoak)
        # Faults that no longer happen would pass unseen.
        self.assertLess(0, len(soak.periods))
        self.assertLess(0, soak.restores)

    async def test_request_that_crashes_targets_breaks_nothing(self):
        """Guards against one request that crashes target after target while other faults go on."""
        await self.play(CrashSoak)

    async def test_answers_that_targets_write_again_break_nothing(self):
        """Guards against a copy that is taken for the answer to another attempt or request."""
        soak = await self.play(RefusalSoak, REFUSAL_SEEDS)
        # Faults that no longer happen would pass unseen.
        self.assertEqual(set(itertools.product(CopyTime, CopyForm)), set(soak.copies))
        self.assertLess(0, soak.changed_ids)


class TestAnswerChecks(SocketTestCase):
    """Guards against a soak that no longer notices answers which are not true."""

    async def check(self, status, runs, **fields):
        soak = Soak(0)
        call = Call("s1", "POST", "/order/1", b"x", "orders-0", status)
        call.fields = {name.replace("_", "-"): value for name, value in fields.items()}
        call.answer = b"orders-0 s1 POST /order/1 x"
        soak._check_call(call, runs)
        return soak.violations

    async def test_refusal_of_an_order_that_ran_is_reported(self):
        """Guards against a check that leaves out one of the statuses that promise no run."""
        self.assertLessEqual({408, 421, 429, 503}, NOT_RUN)
        for status in NOT_RUN:
            self.assertEqual([], await self.check(status, 0))
            self.assertEqual(1, len(await self.check(status, 1)), status)

    async def test_answer_of_another_request_is_reported(self):
        """Guards against a check that reads only the answers with status 200."""
        seal = hashlib.sha256(b"orders-0 s1 POST /order/1 x").hexdigest()[:16]
        for status in (200, 500):
            own = await self.check(status, 1, Request_Id="s1", Server_Seal=seal)
            self.assertEqual([], own)
            other_id = await self.check(status, 1, Request_Id="s2", Server_Seal=seal)
            self.assertIn("with the id of another request", "".join(other_id))
            other_body = await self.check(status, 1, Request_Id="s1", Server_Seal="0" * 16)
            self.assertIn("not the target's", "".join(other_body))


class TestCallerTimeouts(SocketTestCase):
    def make_call(self, soak):
        return Call("s1", "GET", "/stock/1", b"", next(iter(soak.fleet.instances)))

    async def test_pause_of_the_process_is_not_reported_as_a_missing_answer(self):
        """Guards against violations that a pause of the host causes.

        The sidecar answers in time; a caller whose own time has passed must still read the answer.
        """
        soak = Soak(0)
        await soak.fleet.start({"catalogue": 1})
        for instance in soak.fleet.instances.values():
            instance.target.behave = answer_slowly
        call = self.make_call(soak)
        sending = asyncio.ensure_future(soak._send_alone(call))
        await asyncio.sleep(0.2)
        time.sleep((CALLER_TIMEOUT_MS + CALLER_SLACK_MS) / 1000)  # noqa: ASYNC251
        await sending
        soak._check()
        await soak.fleet.stop()
        self.assertEqual([], soak.violations)
        self.assertEqual(504, call.status)

    async def test_missing_answer_is_reported(self):
        """Guards against a check that waits for an answer which never comes."""
        soak = Soak(0)
        await soak.fleet.start({"catalogue": 1})
        call = self.make_call(soak)
        host = soak.fleet.instances[call.at].target.host
        await soak.fleet.instances[call.at].sidecar.outbound_listener.close()

        async def never_answer(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(never_answer, host, OUTBOUND_PORT)
        started_s = time.monotonic()
        await soak._send_alone(call)
        waited_ms = (time.monotonic() - started_s) * 1000
        soak._check()
        server.close()
        await soak.fleet.stop()
        self.assertEqual(
            [f"s1 GET at {call.at}: 0 no answer in its time, ran 0 times"], soak.violations
        )
        self.assertGreaterEqual(waited_ms, CALLER_TIMEOUT_MS + CALLER_SLACK_MS)


@attrs.frozen
class SeenRequest:
    """Stand in for a request that a target saw."""

    request_id: str

    def find(self, name):
        return self.request_id


class TestEvacuationChecks(SocketTestCase):
    async def test_requests_to_an_evacuated_zone_are_reported(self):
        """Guards against a soak that no longer notices requests for an evacuated zone."""
        for zone, time_s, broken in (
            ("a", 10.1 + IN_FORCE_S, True),
            ("a", 9.9 + IN_FORCE_S, False),
            ("b", 10.1 + IN_FORCE_S, False),
            ("a", 20.1, False),
        ):
            soak = EvacuationSoak(0)
            soak.periods.append(EvacuationPeriod("a", 10.0, 20.0))
            target = MeshTarget("127.0.0.1", "catalogue", "catalogue-0")
            target.seen_at_s = [time_s]
            soak.fleet.instances["catalogue-0"] = MeshInstance(target, zone, None)
            soak._check()
            self.assertEqual(broken, bool(soak.violations), (zone, time_s))


class TestNoticeChecks(SocketTestCase):
    """Guards against a soak that no longer notices requests to targets in need."""

    def make_soak(self, calls, limit_per_s=0.0):
        """Return a soak with one target that got some calls as they were sent."""
        soak = StoreAndLimitSoak(0)
        target = MeshTarget("127.0.0.1", "catalogue", "catalogue-0")
        target.seen = [SeenRequest(call.request_id) for call in calls]
        target.seen_at_s = [call.started_s for call in calls]
        soak.calls = calls
        self.period = NoticePeriod(target, 0.0, 10.0, limit_per_s)
        return soak

    def make_call(self, number, at, started_s, **fields):
        call = Call(f"s{number}", "GET", "/stock/1", b"", at, started_s=started_s)
        call.fields, call.ended_s = fields, started_s + 0.01
        return call

    async def test_requests_above_a_limit_are_reported(self):
        """Guards against a check that accepts any rate."""
        # 1.5 times 5.5 requests a second in 4 s, and 5 more.
        for count, broken in ((38, False), (39, True)):
            calls = [
                self.make_call(number, "orders-0", CONTACT_S + number / 10)
                for number in range(count)
            ]
            soak = self.make_soak(calls, limit_per_s=5.5)
            soak._check_limit(self.period)
            self.assertEqual(broken, bool(soak.violations))

    async def test_requests_to_a_target_that_left_are_reported(self):
        """Guards against a check that accepts requests after the notice of leaving."""
        notice = self.make_call(0, "orders-0", 1.0, **{DIALECT.leaving: "1"})
        for at, started_s, broken in (
            ("orders-0", 1.1 + DRAIN_S, True),
            ("orders-0", 0.9 + DRAIN_S, False),
            ("orders-1", 1.1 + DRAIN_S, False),
        ):
            soak = self.make_soak([notice, self.make_call(1, at, started_s)])
            soak._check_departure(self.period)
            self.assertEqual(broken, bool(soak.violations))
            soak.violations.clear()
            soak.restarted.add(at)
            soak._check_departure(self.period)
            self.assertEqual([], soak.violations)
