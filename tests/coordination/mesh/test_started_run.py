from gentianthread.clock import ManualClock
from gentianthread.coordination.mesh.started_run import StartedRun
from gentianthread.errors import ConnectionLost
from gentianthread.protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from gentianthread.state.balancer import LoadReport
from gentianthread.state.placement import BoundRuns
from gentianthread.transport.http_pipeline import BufferedResponse
from gentianthread.transport.target_pool import PooledResponse, ReusedConnectionLost

from ...base import VirtualTimeTestCase

POOLED = PooledResponse(BufferedResponse(200, []), {}, connection_number=1, request_number=2)


class StubTarget:
    """Record released slots."""

    def __init__(self):
        self.released_slots = 0
        self.broken = False
        self.bound_runs = BoundRuns()
        self.clock = ManualClock()

    def _answer(self, outcome):
        return RunAnswer(0, outcome, "", 0, "", b"", LoadReport(0, 0, 1, 1.0, 0.0), 0)

    def classify_answer(self, request, pooled, started_ms):
        if self.broken:
            raise ValueError("internal error")
        return self._answer(RunOutcome.ANSWERED)

    def unknown_answer(self, request, error):
        return self._answer(RunOutcome.UNKNOWN)

    def release_slot(self):
        self.released_slots += 1


class TestStartedRun(VirtualTimeTestCase):
    def start(self, may_repeat=True):
        self.target, self.delivered = StubTarget(), []
        head = (1, "catalogue", "i-1", "", 0, False, True, may_repeat, 500.0, "a", "GET", "/", "")
        return StartedRun(self.target, RunRequest(*head, b"", 0), 0.0, self.delivered.append)

    def outcomes(self):
        return [answer.outcome for answer in self.delivered]

    async def test_each_outcome_releases_the_slot_once(self):
        """Guards against slots that are never released, or released twice."""
        for result in (POOLED, TimeoutError(), ConnectionLost("target", "reset")):
            run = self.start()
            run.end(result)
            run.end(result)
            run.cancel()
            self.assertEqual((1, 1), (self.target.released_slots, len(self.delivered)))

    async def test_cancelled_run_delivers_nothing(self):
        """Guards against an answer to a caller that has gone, and a slot that is not released."""
        run = self.start()
        run.cancel()
        run.end(POOLED)
        self.assertEqual((1, []), (self.target.released_slots, self.delivered))

    async def test_request_is_never_sent_twice_after_a_lost_kept_connection(self):
        """Guards against a run that the caller's node does not know of if the answer is lost."""
        for may_repeat in (True, False):
            run = self.start(may_repeat)
            run.end(ReusedConnectionLost("target", "closed"))
            self.assertEqual([RunOutcome.UNKNOWN], self.outcomes())
            self.assertEqual(1, self.target.released_slots)

    async def test_internal_error_releases_the_slot_and_is_answered(self):
        """Guards against a slot that is never released, and a caller that gets no answer."""
        run = self.start()
        self.target.broken = True
        run.end(POOLED)
        self.assertEqual((1, [RunOutcome.UNKNOWN]), (self.target.released_slots, self.outcomes()))
