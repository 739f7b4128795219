import asyncio
from types import SimpleNamespace

from gentianthread.coordination.mesh.outcomes import refused_answer, unknown_answer
from gentianthread.coordination.mesh.started_forward import StartedForward
from gentianthread.protocol.messages_mesh import RunOutcome

from ...base import VirtualTimeTestCase


class Attempts:
    def __init__(self):
        self.pending = SimpleNamespace(request_id="r1")
        self.last_answer = refused_answer("no upstream is left")


class Work:
    def __init__(self):
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class StubForwarder:
    """Hand out upstreams in order; a refusal leads to the next one, another outcome is final.

    With `in_task` each attempt needs a task, and with `broken` settling an attempt fails.
    """

    def __init__(self, upstreams, *, in_task=False, broken=False):
        self.upstreams = list(upstreams)
        self.in_task = in_task
        self.broken = broken
        self.work = Work()
        self.abandoned = []
        self.tried = []

    def next_upstream(self, attempts):
        return self.upstreams.pop(0) if self.upstreams else None

    def start_attempt(self, attempts, upstream, on_end):
        if self.in_task:
            return None
        self.tried.append(upstream)
        self.on_end = on_end
        return self.work

    async def attempt(self, attempts, upstream):
        self.tried.append(upstream)
        await asyncio.sleep(0.1)
        return unknown_answer(upstream)

    def settle_attempt(self, attempts, upstream, result):
        if self.broken:
            raise ValueError("internal error")
        return result

    def evaluate_attempt(self, attempts, upstream, answer):
        attempts.last_answer = answer
        return answer if answer.outcome is RunOutcome.UNKNOWN else None

    def abandon_attempt(self, upstream):
        self.abandoned.append(upstream)


class TestStartedForward(VirtualTimeTestCase):
    def start(self, *upstreams, **options):
        self.forwarder, self.delivered = StubForwarder(upstreams, **options), []
        run = StartedForward(self.forwarder, Attempts(), self.delivered.append)
        run.begin()
        return run

    def reasons(self):
        return [answer.reason for answer in self.delivered]

    async def test_outcome_is_delivered_once(self):
        """Guards against two answers for one request."""
        run = self.start("a")
        self.forwarder.on_end(unknown_answer("a"))
        self.forwarder.on_end(unknown_answer("late"))
        run.cancel()
        self.assertEqual((["a"], False), (self.reasons(), self.forwarder.work.cancelled))

    async def test_next_upstream_is_tried_after_a_refusal(self):
        """Guards against a request that ends with the first refusal, or hangs after it."""
        self.start("a", "b")
        self.forwarder.on_end(refused_answer("a is full"))
        await asyncio.sleep(0.2)
        self.assertEqual((["b"], ["a", "b"]), (self.reasons(), self.forwarder.tried))

    async def test_last_refusal_is_delivered_if_no_upstream_is_left(self):
        """Guards against a caller that waits for its deadline though all upstreams refused."""
        self.start("a")
        self.forwarder.on_end(refused_answer("a is full"))
        await asyncio.sleep(0.01)
        self.assertEqual(["a is full"], self.reasons())
        self.start()
        self.assertEqual([], self.reasons())
        await asyncio.sleep(0.01)
        self.assertEqual(["no upstream is left"], self.reasons())

    async def test_cancelled_attempts_deliver_nothing(self):
        """Guards against answers to callers that have gone, and attempts counted as running."""
        run = self.start("a")
        run.cancel()
        self.forwarder.on_end(unknown_answer("a"))
        self.assertEqual(["a"], self.forwarder.abandoned)
        self.assertTrue(self.forwarder.work.cancelled)
        run = self.start("b", in_task=True)
        await asyncio.sleep(0.05)
        run.cancel()
        await asyncio.sleep(0.2)
        self.assertEqual([], self.reasons())

    async def test_internal_error_ends_only_its_own_request(self):
        """Guards against an exception that closes the link and fails other requests on it."""
        self.start("a", broken=True)
        self.forwarder.on_end(unknown_answer("a"))
        self.assertEqual(["fault of the node"], self.reasons())
