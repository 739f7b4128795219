import asyncio

from gentianthread.ids import OrganisationId
from gentianthread.state.work_queue import QueuedWork, WorkQueue

from ..base import VirtualTimeTestCase


def work(name, priority=1, inner=False, organisation="acme", at_ms=0.0):
    slot = asyncio.get_running_loop().create_future()
    slot.name = name
    return QueuedWork(inner, priority, OrganisationId(organisation), at_ms, 1e9, slot)


class TestWorkQueue(VirtualTimeTestCase):
    def order(self, *works):
        queue = WorkQueue()
        for one in works:
            queue.push(one)
        found = []
        while (one := queue.pop()) is not None:
            found.append(works.index(one))
        self.assertEqual(0, len(queue))
        return found

    async def test_inner_calls_then_priorities(self):
        """Guards against a call of running work, or an important request, that waits for others."""
        self.assertEqual(
            [2, 1, 0], self.order(work("a", 2), work("b", 0), work("c", 3, inner=True))
        )

    async def test_organisations_take_turns(self):
        """Guards against an organisation that sends many requests and takes all places."""
        self.assertEqual(
            [0, 3, 1, 2],
            self.order(work("a"), work("b"), work("c"), work("d", organisation="bond")),
        )

    async def test_removed_work_is_not_served(self):
        """Guards against a place that goes to a request whose caller has left."""
        queue, one, two = WorkQueue(), work("a"), work("b")
        queue.push(one)
        queue.push(two)
        self.assertTrue(queue.remove(one))
        self.assertFalse(queue.remove(one))
        self.assertIs(two, queue.pop())
        self.assertIsNone(queue.pop())

    async def test_counts_only_what_runs_before(self):
        """Guards against the refusal of an important request behind a queue of others."""
        queue = WorkQueue()
        for priority in (0, 2, 2):
            queue.push(work("x", priority))
        self.assertEqual(1, queue.ahead_of(False, 0))
        self.assertEqual(0, queue.ahead_of(True, 3))
        self.assertEqual(3, queue.ahead_of(False, 2))
