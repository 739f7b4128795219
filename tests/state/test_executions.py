from gentianthread.clock import ManualClock
from gentianthread.coordination.idempotency import HomeHistory
from gentianthread.ids import (
    AvailabilityZoneId,
    NodeIdentity,
    OrganisationId,
    ServiceId,
    StartNumber,
    UpstreamId,
)
from gentianthread.state.executions import ExecutionState, ExecutionTable, RecordKey

from ..base import TestCase
from ..plans import small_plan

ALPHA = OrganisationId("alpha")
CATALOGUE = ServiceId("catalogue")


def key(name: str) -> RecordKey:
    return RecordKey(ALPHA, CATALOGUE, name)


class TestExecutions(TestCase):
    def test_records_stay_for_their_window(self):
        """Guards against a second execution of a key inside its window."""
        clock = ManualClock()
        table = ExecutionTable(clock, window_ms=1000, record_limit=2)
        table.complete(table.claim(key("a"), "POST /"), 200, (), b"x")
        clock.advance_ms(999)
        self.assertIsNotNone(table.find(key("a")))
        clock.advance_ms(1)
        self.assertIsNone(table.find(key("a")))
        self.assertEqual(0, table.kept_bytes)

    def test_shorter_window_leaves_older_records(self):
        """Guards against a shortened window that evicts records created under the longer one."""
        clock = ManualClock()
        table = ExecutionTable(clock, window_ms=1000)
        table.complete(table.claim(key("a"), "POST /"), 200, (), b"x")
        table.window_ms = 10.0
        clock.advance_ms(900)
        self.assertIsNotNone(table.find(key("a")))

    def test_running_record_outlives_its_window(self):
        """Guards against a second execution while a slow first one still runs."""
        clock = ManualClock()
        table = ExecutionTable(clock, window_ms=1000)
        table.claim(key("a"), "POST /")
        clock.advance_ms(5000)
        self.assertIs(ExecutionState.RUNNING, table.find(key("a")).state)

    def test_kept_answers_are_bounded(self):
        """Guards against memory use that grows with the number of answers."""
        table = ExecutionTable(ManualClock(), total_limit_bytes=10)
        for name in ("a", "b"):
            table.complete(table.claim(key(name), "POST /"), 200, (), b"12345678")
        self.assertEqual(8, table.kept_bytes)
        self.assertIsNone(table.find(key("b")).body)
        self.assertIs(ExecutionState.DONE, table.find(key("b")).state)


class TestHomeHistory(TestCase):
    def test_moved_key_waits_for_a_window(self):
        """Guards against a second execution after a plan change moved a key to a new home."""
        clock = ManualClock()
        small, large = small_plan(upstreams_per_service=1), small_plan(2, upstreams_per_service=2)
        new = NodeIdentity(UpstreamId("catalogue-1"), AvailabilityZoneId("volos-a"), StartNumber(1))
        history = HomeHistory(new, clock, 1000)
        history.apply_plan(small)
        clock.advance_ms(5000)
        history.apply_plan(large)
        names = [str(number) for number in range(100)]
        self.assertFalse(any(history.was_home_for_window(ALPHA, CATALOGUE, name) for name in names))
        clock.advance_ms(1000)
        covered = sum(history.was_home_for_window(ALPHA, CATALOGUE, name) for name in names)
        self.assertTrue(30 < covered < 70)
