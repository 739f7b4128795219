import asyncio

import logbook

from gentianthread.coordination.mesh.target_health import (
    HEALTH_TIMEOUT_MS,
    LATENCY_CHECK_INTERVAL_MS,
    RETRY_DELAY_MS,
)
from gentianthread.events import HEALTH_CHECK_FAILED, TARGET_COLD, TARGET_WARM
from gentianthread.platform.names import DIALECT
from gentianthread.protocol.messages_mesh import RunOutcome, RunRequest
from gentianthread.transport.target_pool import ReusedConnectionLost

from ...base import VirtualTimeTestCase
from .cold_fleet import BOUND, WARM_UP_MS, ColdFleet

RECOVER_MS = 15_000.0


class TestColdFleet(VirtualTimeTestCase):
    async def play_power_loss(self, per_s):
        """Let all targets and nodes lose power under load, and return the last second's outcome."""
        fleet = ColdFleet(4, per_s)
        await fleet.send(200, 2_000)
        for number, target in enumerate(fleet.targets):
            target.crash()
            fleet.start_node(number)
        await fleet.send(200, RECOVER_MS - 1_000)
        served = await fleet.send(200, 1_000)
        fleet.stop()
        return fleet, served

    async def test_targets_crash_again_and_again_without_the_limit(self):
        """Shows the crash loop that the limit ends; guards against a play that proves nothing."""
        fleet, served = await self.play_power_loss(0.0)
        for target in fleet.targets:
            self.assertGreater(target.crashes, 10)
        self.assertLess(served.answered, 100)
        self.assertEqual([], [time_ms for target in fleet.targets for time_ms in target.checks_ms])

    async def test_fleet_recovers_after_all_targets_turned_cold(self):
        """Guards against targets that crash again and again after an outage of all instances."""
        fleet, served = await self.play_power_loss(6.0)
        for target in fleet.targets:
            self.assertEqual(1, target.crashes)
            self.assertLessEqual(target.most_in_second(), BOUND)
            self.assertLessEqual(len(target.checks_ms), 4)
        self.assertEqual((200, 0, 0), (served.answered, served.refused, served.failed))

    async def test_cold_fleet_serves_what_the_limit_allows(self):
        """Guards against a limit that refuses far more than cold targets need."""
        fleet = ColdFleet(4)
        for target in fleet.targets:
            target.crash()
        await asyncio.sleep(0.6)
        served = await fleet.send(200, 2_000)
        self.assertGreater(served.answered, 0.7 * 14 * 4 * 2)
        self.assertEqual(0, served.failed)
        fleet.stop()

    async def test_burst_at_a_cold_fleet_is_refused_at_once(self):
        """Guards against hundreds of callers that wait, or that crash targets of unknown state."""
        fleet = ColdFleet(4)
        for target in fleet.targets:
            target.become_cold()
        started_ms = fleet.clock.now_ms()
        calls = asyncio.ensure_future(fleet.burst(600))
        await asyncio.sleep(0.001)
        waiting = sum(len(node.queue) + node.running for node in fleet.nodes)
        # Each of the four nodes lets requests wait for at most 0.3 of their 1.5 s.
        self.assertLessEqual(waiting, 4 * 9)
        served = await calls
        self.assertLess(fleet.clock.now_ms() - started_ms, 1_500)
        self.assertEqual(0, served.failed)
        self.assertEqual(600, served.answered + served.refused)
        for target in fleet.targets:
            self.assertEqual(0, target.crashes)
            self.assertLessEqual(target.most_in_second(), BOUND)
        fleet.stop()


class TestTargetHealth(VirtualTimeTestCase):
    def start(self, per_s=6.0):
        self.fleet = ColdFleet(1, per_s)
        self.target, self.node = self.fleet.targets[0], self.fleet.nodes[0]

    @property
    def is_cold(self):
        return self.node.health.warm_up.is_cold(self.fleet.clock.now_ms())

    async def start_warm(self):
        self.start()
        await asyncio.sleep(0.1)
        self.assertFalse(self.is_cold)
        self.assertEqual(1, len(self.target.checks_ms))

    async def test_one_check_resolves_the_state_after_the_start(self):
        """Guards against a node that limits a warm target for longer than a check takes."""
        self.start()
        self.assertTrue(self.is_cold)
        self.assertEqual(14.0, self.node.load().rate_per_s)
        await asyncio.sleep(0.02)
        self.assertFalse(self.is_cold)
        self.assertEqual(0.0, self.node.load().rate_per_s)
        await self.fleet.send(100, 20_000)
        self.assertEqual(1, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_no_limit_and_no_check_without_a_rate(self):
        """Guards against a change for deployments that know no cold targets."""
        self.start(per_s=0.0)
        self.target.become_cold()
        self.target.bound = 1_000
        served = await self.fleet.send(60, 2_000)
        self.assertEqual(120, served.answered)
        self.target.crash()
        await self.fleet.send(60, 2_000)
        self.assertEqual([], self.target.checks_ms)
        self.assertEqual(0.0, self.node.load().rate_per_s)
        self.fleet.stop()

    async def test_report_names_the_limit_of_a_cold_target(self):
        """Guards against peers that choose a cold target because it has free slots."""
        await self.start_warm()
        self.target.become_cold()
        self.fleet.list_target(0, WARM_UP_MS)
        requests = asyncio.ensure_future(self.fleet.send(100, 1_000))
        await asyncio.sleep(0.5)
        report = self.node.load()
        self.assertEqual(14.0, report.rate_per_s)
        self.assertLess(report.allowance, 1)
        await requests
        self.fleet.stop()

    async def test_target_is_warm_when_the_time_of_its_entry_is_over(self):
        """Guards against a limit or a level that outlasts the cold time."""
        await self.start_warm()
        self.target.become_cold()
        self.fleet.list_target(0, WARM_UP_MS)
        self.assertTrue(self.is_cold)
        await self.fleet.send(100, WARM_UP_MS)
        self.assertLessEqual(self.target.most_in_second(), BOUND)
        self.assertEqual(0, self.target.crashes)
        await self.fleet.send(100, 2_000)
        served = await self.fleet.send(100, 1_000)
        self.assertEqual(100, served.answered)
        self.assertEqual(0.0, self.node.control.level)
        self.fleet.stop()

    async def test_each_crash_makes_the_target_cold(self):
        """Guards against full load on a target that just started again."""
        await self.start_warm()
        for crashes in range(1, 4):
            self.target.crash()
            await self.fleet.send(100, 6_000)
            self.assertEqual(crashes, self.target.crashes)
            self.assertLessEqual(self.target.most_in_second(), BOUND)
            self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_loss_of_all_connections_makes_the_target_cold(self):
        """Guards against full load on a target that started again before the next dial."""
        await self.start_warm()
        self.target.on_start = lambda: None
        lost = asyncio.ensure_future(self.fleet.burst(1))
        await asyncio.sleep(0.01)
        self.target.crash(restart_ms=30)
        self.assertEqual(1, (await lost).failed)
        self.assertTrue(self.is_cold)
        await asyncio.sleep(0.05)
        served = await self.fleet.burst(60)
        self.assertEqual((1, 0), (self.target.crashes, served.failed))
        self.assertLessEqual(self.target.most_in_second(), BOUND)
        self.fleet.stop()

    async def test_restart_while_idle_makes_the_target_cold(self):
        """Guards against a target that started again between two requests without notice."""
        await self.start_warm()
        self.target.crash(restart_ms=300)
        self.target.on_start = lambda: None
        await asyncio.sleep(1)
        self.assertFalse(self.is_cold)
        served = await self.fleet.burst(60)
        self.assertEqual((1, 0), (self.target.crashes, served.failed))
        self.assertLessEqual(self.target.most_in_second(), BOUND)
        self.fleet.stop()

    async def test_connection_that_the_node_closes_itself_leads_to_no_check(self):
        """Guards against a check after each idle time whose connections the pool discards."""
        await self.start_warm()
        await self.fleet.send(50, 500)
        usual = self.target.start_exchange

        def discard_idle(*arguments):
            self.target.connected = False
            return usual(*arguments)

        self.target.start_exchange = discard_idle
        await asyncio.sleep(10)
        head = (1, "catalogue", "i-0", "", 1, False, True, True, 1_500.0, "r", "GET", "/", "")
        request = RunRequest(*head, b"", 0)
        self.assertIsNone(self.node.start(request, lambda answer: None))
        self.assertIs(RunOutcome.ANSWERED, (await self.node.run(request)).outcome)
        self.assertEqual(1, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_level_of_an_overloaded_target_outlasts_a_check(self):
        """Guards against a surge of admitted requests after each lost connection."""
        await self.start_warm()
        control = self.node.control
        self.node.health.suspect("test")
        await asyncio.sleep(0.1)
        self.assertFalse(self.is_cold)
        self.assertIs(control, self.node.control)
        self.fleet.stop()

    async def test_target_that_closes_each_connection_is_not_checked_each_time(self):
        """Guards against a check before every request to a target without kept connections."""
        await self.start_warm()
        await self.fleet.send(50, 500)
        self.target.has_open_connection = lambda: False
        await self.fleet.send(50, 5_000)
        self.assertEqual(1, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_new_start_in_the_entry_makes_the_target_cold(self):
        """Guards against full load on a start that the node only knows from the store."""
        await self.start_warm()
        self.target.start_count += 1
        self.target.become_cold()
        self.fleet.list_target(0)
        self.assertTrue(self.is_cold)
        await asyncio.sleep(1)
        self.assertTrue(self.is_cold)
        self.assertEqual(2, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_suspected_target_is_checked_once(self):
        """Guards against full load after the end of an evacuation."""
        await self.start_warm()
        self.node.health.suspect("evacuation ended")
        self.assertTrue(self.is_cold)
        await asyncio.sleep(1)
        self.assertFalse(self.is_cold)
        self.assertEqual(2, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_no_check_is_sent_while_nothing_may_be_sent(self):
        """Guards against checks at a target of an evacuated zone."""
        await self.start_warm()
        self.node.health.may_check = lambda: False
        self.node.health.suspect("evacuation")
        await asyncio.sleep(3)
        self.assertEqual(1, len(self.target.checks_ms))
        self.node.health.may_check = lambda: True
        self.node.health.suspect("evacuation ended")
        await asyncio.sleep(0.1)
        self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_rise_of_the_latencies_leads_to_a_check(self):
        """Guards against a target that becomes cold without notice and gets full load."""
        await self.start_warm()
        await self.fleet.send(100, 2_000)
        self.target.bound = 1_000
        self.target.become_cold(10_000)
        await self.fleet.send(100, 1_000)
        self.assertTrue(self.is_cold)
        self.assertEqual(2, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_checks_of_a_slow_warm_target_are_rare(self):
        """Guards against checks that take slots of a target which is slow but not cold."""
        await self.start_warm()
        for _ in range(10_000):
            self.node.health.record_latency(20.0, self.fleet.clock.now_ms())
        for _ in range(300):
            self.node.health.record_latency(200.0, self.fleet.clock.now_ms())
            await asyncio.sleep(0.05)
        checks = len(self.target.checks_ms) - 1
        self.assertLess(0, checks)
        self.assertLessEqual(checks, 15_000 / LATENCY_CHECK_INTERVAL_MS + 1)
        self.fleet.stop()

    async def test_check_without_an_answer_leaves_the_target_cold(self):
        """Guards against a target that is taken for warm as it does not answer."""
        self.start()
        self.target.answer_check = lambda: None
        await asyncio.sleep(10)
        self.assertTrue(self.is_cold)
        period_ms = HEALTH_TIMEOUT_MS + RETRY_DELAY_MS
        self.assertLessEqual(len(self.target.checks_ms), 10_000 / period_ms + 1)
        self.target.answer_check = self.target.check
        await asyncio.sleep(2)
        self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_check_is_repeated_at_once_after_the_loss_of_a_kept_connection(self):
        """Guards against a limit that lasts longer as the target closed an idle connection."""
        self.start()
        usual, attempts = self.target.exchange, []

        async def lose_first(request, idle_limit_ms=None):
            attempts.append(request)
            if len(attempts) == 1:
                raise ReusedConnectionLost("target", "closed")
            return await usual(request, idle_limit_ms)

        self.target.exchange = lose_first
        await asyncio.sleep(0.1)
        self.assertEqual(2, len(attempts))
        self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_waiting_requests_run_while_a_check_has_no_answer(self):
        """Guards against requests that wait for the answer of a check that got a place first."""
        self.start()
        self.target.answer_check = lambda: None
        # The second check becomes due while three of four requests wait for the limit.
        await asyncio.sleep((HEALTH_TIMEOUT_MS + RETRY_DELAY_MS - 10) / 1_000)
        calls = asyncio.ensure_future(self.fleet.burst(4))
        await asyncio.sleep(0.5)
        self.assertEqual((2, 4), (len(self.target.checks_ms), self.target.served))
        self.assertEqual(4, (await calls).answered)
        self.fleet.stop()

    async def test_requests_run_while_a_check_has_no_answer(self):
        """Guards against a cold target that gets nothing until a check succeeds."""
        self.start()
        self.target.answer_check = lambda: None
        served = await self.fleet.send(10, 5_000)
        self.assertEqual(50, served.answered)
        self.assertTrue(self.is_cold)
        self.fleet.stop()

    async def test_late_answer_does_not_resolve_a_later_suspicion(self):
        """Guards against the answer of the start before that lifts the limit of the next one."""
        await self.start_warm()
        release = asyncio.Event()
        checked = self.target.check

        async def work(request, is_check, usual=self.target._work):
            pooled = await usual(request, is_check)
            if is_check:
                await release.wait()
            return pooled

        self.target._work = work
        self.node.health.suspect("first reason")
        await asyncio.sleep(0.1)
        self.target.become_cold()
        self.node.health.suspect("second reason")
        self.target.answer_check = lambda: checked()
        release.set()
        await asyncio.sleep(0.001)
        self.assertTrue(self.is_cold)
        await asyncio.sleep(0.2)
        self.assertFalse(self.node.health.warm_up.unknown)
        self.assertTrue(self.is_cold)
        self.assertEqual(3, len(self.target.checks_ms))
        self.fleet.stop()

    async def test_answer_of_another_instance_leaves_the_target_cold(self):
        """Guards against a state that another process at the address tells."""
        self.start()
        self.target.instance = "i-9"
        await asyncio.sleep(2)
        self.assertTrue(self.is_cold)
        self.fleet.list_target(0, upstream_id="i-9")
        self.fleet.directory.remove("i-0")
        await asyncio.sleep(0.5)
        self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_answers_that_tell_nothing_leave_the_target_cold(self):
        """Guards against a rejected check or a damaged time that is taken for a warm target."""
        usual = {DIALECT.instance.lower(): "i-0"}
        for status, fields in (
            (503, usual | {DIALECT.not_run.lower(): "1"}),
            (200, usual | {DIALECT.not_run.lower(): "1"}),
            (421, usual),
            (500, usual),
            (200, {}),
            (200, usual | {DIALECT.warm_up.lower(): "nan"}),
            (200, usual | {DIALECT.warm_up.lower(): "-5"}),
        ):
            self.start()
            self.target.answer_check = lambda answer=(status, fields): answer
            await asyncio.sleep(3)
            self.assertTrue(self.is_cold)
            self.assertLess(len(self.target.checks_ms), 16)
            self.fleet.stop()

    async def test_remaining_time_of_zero_means_warm(self):
        """Guards against a target that states its time as zero and stays limited."""
        self.start()
        fields = {DIALECT.instance.lower(): "i-0", DIALECT.warm_up.lower(): "0"}
        self.target.answer_check = lambda: (200, fields)
        await asyncio.sleep(0.1)
        self.assertFalse(self.is_cold)
        self.fleet.stop()

    async def test_failed_check_of_a_warm_target_makes_it_cold(self):
        """Guards against full load on a target that no longer answers checks."""
        await self.start_warm()
        self.target.answer_check = lambda: None
        for _ in range(100):
            self.node.health.record_latency(20.0, self.fleet.clock.now_ms())
        for _ in range(30):
            self.node.health.record_latency(100.0, self.fleet.clock.now_ms())
        self.assertFalse(self.is_cold)
        await asyncio.sleep(HEALTH_TIMEOUT_MS / 1_000 + 0.1)
        self.assertTrue(self.is_cold)
        self.fleet.stop()

    async def test_changes_and_failed_checks_are_logged_once(self):
        """Guards against an outage of a target that fills the log, or leaves no trace in it."""
        with logbook.TestHandler() as records:
            await self.start_warm()
            await asyncio.sleep(1)
            self.target.crash(restart_ms=5_000)
            await self.fleet.send(20, 10_000)
        numbers = [record.extra["number"] for record in records.records]
        # Once for the start of the node, and once for the crash.
        for event in (TARGET_COLD, TARGET_WARM):
            self.assertEqual(2, numbers.count(event.number))
        self.assertIn(numbers.count(HEALTH_CHECK_FAILED.number), (1, 2))
        self.fleet.stop()

    async def test_check_gets_the_next_slot(self):
        """Guards against a check that never gets a slot beside waiting requests."""
        await self.start_warm()
        requests = asyncio.ensure_future(self.fleet.send(500, 2_000))
        await asyncio.sleep(1)
        self.node.health.suspect("test")
        await asyncio.sleep(1.0)
        self.assertFalse(self.is_cold)
        self.assertEqual(2, len(self.target.checks_ms))
        await requests
        self.assertEqual(0, self.node.running)
        self.fleet.stop()

    async def test_changed_configuration_applies_at_once(self):
        """Guards against a limit that a new configuration takes away or adds only at a restart."""
        self.start(per_s=0.0)
        self.target.become_cold(60_000)
        await asyncio.sleep(0.5)
        self.fleet.per_s = 6.0
        self.fleet.configure(0)
        await asyncio.sleep(0.5)
        self.assertTrue(self.is_cold)
        self.assertEqual(14.0, self.node.load().rate_per_s)
        self.fleet.per_s = 0.0
        self.fleet.configure(0)
        self.assertEqual(0.0, self.node.load().rate_per_s)
        self.fleet.stop()

    async def test_target_of_an_unknown_service_gets_at_most_the_slack(self):
        """Guards against full load on a cold target before the node knows the configuration."""
        self.start()
        self.node.health.configure(None, 1.5, 8.0)
        await asyncio.sleep(1)
        self.assertTrue(self.is_cold)
        self.assertLessEqual(self.node.load().rate_per_s, 8.0)
        self.node.health.configure(None, 1.0, 0.0)
        self.assertFalse(self.is_cold)
        self.fleet.stop()
