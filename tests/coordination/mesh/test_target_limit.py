import asyncio
import itertools
from random import Random

import logbook

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.crash_reports import CrashReports
from gentianthread.coordination.mesh.target import LocalTarget
from gentianthread.coordination.mesh.target_notices import LIMIT_LINES_PER_S
from gentianthread.decisions import DecisionLog
from gentianthread.events import TARGET_LIMIT_CHANGED, TARGET_LIMIT_LIFTED
from gentianthread.ids import AvailabilityZoneId, ServiceId, UpstreamId
from gentianthread.metrics_text import HistogramMetrics
from gentianthread.platform.names import DIALECT
from gentianthread.protocol.messages_mesh import RunOutcome, RunRequest
from gentianthread.state.directory import Directory, UpstreamEntry
from gentianthread.transport.http_pipeline import BufferedResponse
from gentianthread.transport.target_pool import PooledResponse

from ...base import VirtualTimeTestCase

# The users' rule: within any window, a target that named its limit this long before gets at most
# one and a half times what the limit allows, and this many requests besides.
WINDOW_MS = 4_000
CONTACT_MS = 3_000
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5

SLOTS = 300

LIMIT_EVENTS = (TARGET_LIMIT_CHANGED.number, TARGET_LIMIT_LIFTED.number)


class LimitingTarget:
    """Stand in for the connections to a target that may limit its callers.

    Attributes:
        arrivals_ms: Times at which requests reached the target.
        limit: Limit that it names, or None.
        name_limit: Returns the limit that the next answer names; by default `limit`.
        work_ms: Time that it takes for a request.
    """

    def __init__(self, now_ms):
        self.now_ms = now_ms
        self.arrivals_ms = []
        self.limit = None
        self.name_limit = lambda: self.limit
        self.work_ms = 60

    def start_exchange(self, request, idle_limit_ms, on_result):
        return None

    async def exchange(self, request, idle_limit_ms=None):
        self.arrivals_ms.append(self.now_ms())
        await asyncio.sleep(self.work_ms / 1000)
        fields = {"request-id": request.request_id, DIALECT.seal.lower(): "seal"}
        limit = self.name_limit()
        if limit is not None:
            fields[DIALECT.rate_limit.lower()] = limit
        return PooledResponse(
            BufferedResponse(200, []), fields, connection_number=1, request_number=1
        )

    def most_in_window(self, from_ms):
        """Return the largest number of arrivals in a window that starts after a time."""
        times_ms = [time_ms for time_ms in self.arrivals_ms if time_ms >= from_ms]
        return max(
            (
                sum(start_ms <= time_ms < start_ms + WINDOW_MS for time_ms in times_ms)
                for start_ms in times_ms
            ),
            default=0,
        )


class TestTargetLimit(VirtualTimeTestCase):
    def start(self):
        self.clock = LoopClock()
        self.pool = LimitingTarget(self.clock.now_ms)
        self.start_node()

    def start_node(self):
        """Start the node beside the target; called again, it has forgotten everything."""
        directory = Directory(self.clock.now_ms)
        decisions = DecisionLog(self.clock, 1)
        address = ("10.0.0.1", 80)
        metrics = HistogramMetrics()
        crash_reports = CrashReports(
            address[0], directory, self.pool, None, self.clock, metrics, Random(1)
        )
        self.node = LocalTarget(
            ServiceId("catalogue"),
            address,
            directory,
            self.pool,
            crash_reports,
            DIALECT,
            self.clock,
            metrics,
            decisions,
        )
        zone = AvailabilityZoneId("a")
        entry = UpstreamEntry(UpstreamId("i-1"), self.node.service_id, *address, zone, SLOTS)
        directory.put(entry)

    async def send(self, rate_per_s, duration_ms):
        """Send requests of a peer at a steady rate, and return their answers."""
        tasks = []
        for number in range(int(rate_per_s * duration_ms / 1000)):
            head = (number + 1, "catalogue", "i-1", "", 0, False, True, True, 2_000.0)
            request = RunRequest(*head, f"r{number}", "GET", "/", "", b"", 0)
            tasks.append(asyncio.ensure_future(self.node.run(request)))
            await asyncio.sleep(1 / rate_per_s)
        return await asyncio.gather(*tasks)

    def assert_limit_kept(self, limit_per_s, named_ms):
        allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1000 + ALLOWED_SLACK
        self.assertLessEqual(self.pool.most_in_window(named_ms + CONTACT_MS), allowed)

    async def test_target_gets_no_more_than_the_limit_it_names(self):
        """Guards against a target in need that gets as many requests as its slots take.

        Three of four targets named limits of 50 to 100 requests per second, and got up to 1.7
        times what the rule allows.
        """
        self.start()
        await self.send(200, 1_000)
        self.pool.limit, named_ms = "50.0", self.clock.now_ms()
        answers = await self.send(200, 10_000)
        self.assert_limit_kept(50, named_ms)
        refused = [answer for answer in answers if answer.outcome is RunOutcome.NOT_SENT]
        self.assertEqual(len(self.pool.arrivals_ms) - 200, len(answers) - len(refused))

    async def test_limit_that_changes_with_each_answer_is_kept_and_rarely_logged(self):
        """Guards against a log line for each answer, and requests above a limit that varies."""
        self.start()
        named_ms, duration_ms = self.clock.now_ms(), 10_000
        limits = itertools.cycle(("50.0", "49.5"))
        self.pool.name_limit = lambda: next(limits)
        with logbook.TestHandler() as records:
            await self.send(200, duration_ms)
        self.assert_limit_kept(50, named_ms)
        lines = [record for record in records.records if record.extra["number"] in LIMIT_EVENTS]
        self.assertLess(0, len(lines))
        self.assertLessEqual(len(lines), LIMIT_LINES_PER_S * (duration_ms / 1000 + 1))

    async def test_limit_is_used_in_full(self):
        """Guards against requests that are refused although the limit allows them."""
        self.start()
        self.pool.limit = "50"
        await self.send(50, 1_000)
        arrived = len(self.pool.arrivals_ms)
        await self.send(100, 8_000)
        self.assertGreaterEqual(len(self.pool.arrivals_ms) - arrived, 0.95 * 50 * 8)

    async def test_restarted_node_keeps_to_the_limit(self):
        """Guards against a restarted node that fills all slots before it learns of the limit."""
        self.start()
        self.pool.limit, named_ms = "10", self.clock.now_ms()
        self.pool.work_ms = 400
        await self.send(100, 5_000)
        for _ in range(3):
            self.start_node()
            await self.send(100, 3_000)
        self.assert_limit_kept(10, named_ms)

    async def test_restarted_node_keeps_to_a_limit_of_zero(self):
        """Guards against a restarted node whose first requests are already too many."""
        for work_ms in (20, 400, 1_500):
            self.start()
            self.pool.limit, named_ms = "0", self.clock.now_ms()
            self.pool.work_ms = work_ms
            await self.send(100, 5_000)
            self.start_node()
            await self.send(100, 4_500)
            self.assert_limit_kept(0, named_ms)

    async def test_limit_ends_with_the_first_answer_without_it(self):
        """Guards against a limit that outlasts the need of the target."""
        self.start()
        self.pool.limit = "10"
        await self.send(100, 2_000)
        self.pool.limit = None
        await self.send(20, 1_000)
        arrived = len(self.pool.arrivals_ms)
        answers = await self.send(100, 1_000)
        self.assertEqual(100, len(self.pool.arrivals_ms) - arrived)
        self.assertEqual({RunOutcome.ANSWERED}, {answer.outcome for answer in answers})

    async def test_overload_level_ends_with_the_limit(self):
        """Guards against callers that are refused for seconds after the need of the target."""
        self.start()
        self.node.highest_level = lambda: 2.0
        self.pool.limit = "20"
        await self.send(100, 5_000)
        self.assertGreater(self.node.load().level, 0.3)
        self.pool.limit = None
        await self.send(10, 1_000)
        self.assertEqual(0.0, self.node.load().level)

    async def test_late_answer_does_not_lift_the_limit(self):
        """Guards against an answer from before the limit that arrives last and lifts it."""
        self.start()
        await self.send(10, 500)
        self.pool.work_ms = 1_000
        late = asyncio.ensure_future(self.send(100, 30))
        await asyncio.sleep(0.05)
        self.pool.work_ms, self.pool.limit = 10, "5"
        await self.send(5, 500)
        self.pool.limit = None
        await late
        self.assertEqual(5.0, self.node.stated_limit.per_s)

    async def test_limit_of_zero_is_asked_again(self):
        """Guards against a target that never gets work again after a limit of zero."""
        self.start()
        self.pool.limit, named_ms = "0", self.clock.now_ms()
        await self.send(50, 8_000)
        self.assert_limit_kept(0, named_ms)
        self.pool.limit = None
        await self.send(50, 6_000)
        self.assertIsNone(self.node.stated_limit.per_s)

    async def test_report_tells_how_many_requests_the_limit_leaves(self):
        """Guards against peers that choose a limited target because it has free slots."""
        self.start()
        await self.send(50, 2_000)
        self.assertEqual(0.0, self.node.load().rate_per_s)
        self.pool.limit = "50"
        requests = asyncio.ensure_future(self.send(100, 2_000))
        await asyncio.sleep(1.5)
        report = self.node.load()
        await requests
        self.assertEqual(50.0, report.rate_per_s)
        self.assertLess(report.allowance, 1)
