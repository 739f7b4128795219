from random import Random
from types import SimpleNamespace

from gentianthread.clock import ManualClock
from gentianthread.coordination.mesh.crash_reports import CrashReports
from gentianthread.ids import UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.protocol.messages_mesh import CrashReport
from gentianthread.state.crash_suspects import RequestFingerprint
from gentianthread.state.directory import Directory

from ...base import TestCase


class RecordingLink:
    """Record the messages that are sent over a link."""

    def __init__(self, host):
        self.host = host
        self.messages = []

    def post(self, message):
        self.messages.append(message)


class TestCrashReports(TestCase):
    def test_neighbour_that_has_started_between_two_crashes_learns_both(self):
        """Guards against a request that a restarted node lets through, as it knows one crash less.

        Of two crashes it was told only the second, as its neighbour had not shared the first when
        the node began to follow it: a request that was lost only once is not blocked.
        """
        clock, link = ManualClock(), RecordingLink("10.0.0.9")
        reports = CrashReports(
            "10.0.0.1",
            Directory(clock.now_ms),
            None,
            SimpleNamespace(links=list),
            clock,
            MemoryMetrics(),
            Random(1),
        )
        restarted = RecordingLink("10.0.0.2")
        fingerprint = RequestFingerprint(7)
        first = CrashReport("10.0.0.3", 1, UpstreamId("a"), 0.0, (fingerprint,))
        second = CrashReport("10.0.0.4", 2, UpstreamId("b"), 0.0, (fingerprint,))
        reports.on_report(link, first)
        reports.neighbours = lambda: [restarted]
        reports.send_known(restarted)
        self.assertEqual([], restarted.messages)
        reports.on_report(link, second)
        self.assertEqual({1, 2}, {message.number for message in restarted.messages})
