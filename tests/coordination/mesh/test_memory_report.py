import logbook

from gentianthread.clock import ManualClock
from gentianthread.coordination.mesh.memory_report import LOG_INTERVAL_MS, MemoryReport
from gentianthread.events import MEMORY_SHORT
from gentianthread.metrics_text import HistogramMetrics, format_prometheus
from gentianthread.state.memory_budget import MemoryBudget, MemoryOwner

from ...base import TestCase

MB = 1024 * 1024


class TestMemoryReport(TestCase):
    def test_refusals_are_counted_and_logged_with_the_holders_once_a_second(self):
        """Guards against refusals whose cause operators cannot find, and a log that they fill."""
        clock, metrics = ManualClock(), HistogramMetrics()
        memory = MemoryBudget(10 * MB, clock.now_ms)
        report = MemoryReport(memory, metrics, clock)
        memory.charge(MemoryOwner.WAITING, "a", 4 * MB)
        memory.charge(MemoryOwner.ANSWER_OUT, "b", 3 * MB)
        handler = logbook.TestHandler()
        with handler.applicationbound():
            for _ in range(5):
                memory.record_refusal("no memory for the request")
                report.record_refusal("no memory for the request")
            clock.advance_ms(LOG_INTERVAL_MS)
            report.record_refusal("no memory for the request")
        records = [each for each in handler.records if each.extra["number"] == MEMORY_SHORT.number]
        self.assertEqual(2, len(records))
        for part in ("7.0 of 10.0 MB", "waiting 4.0 (1)", "answer_out 3.0 (1)"):
            self.assertIn(part, records[0].message)
        self.assertEqual(6, metrics.counters["memory.refused.no_memory_for_the_request"])
        report.write_metrics()
        text = format_prometheus(metrics)
        for line in ("memory_held_bytes_waiting 4.1943e+06", "memory_holders_answer_out 1"):
            self.assertIn(line, text)
        dump = report.describe()
        self.assertEqual((7 * MB, True), (dump["held_bytes"], dump["short"]))
        self.assertEqual({"no memory for the request": 5}, dump["refused"])
