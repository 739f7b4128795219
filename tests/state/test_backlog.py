from gentianthread.errors import UnknownEntryError
from gentianthread.ids import Priority
from gentianthread.state.backlog import Waiter, queue_orders, revise_order

from ..base import TestCase
from ..work_items import work_item


def waiter(at_ms=0.0, **fields):
    return Waiter(work_item(**fields), at_ms, 1e9)


def pop_all(backlog, overloaded=False):
    return [backlog.pop(overloaded=overloaded) for _ in range(len(backlog))]


class TestPriorityBacklog(TestCase):
    def setUp(self):
        super().setUp()
        self.backlog = queue_orders.get("priority")()

    def push(self, *waiters):
        for item in waiters:
            self.backlog.push(item)

    def test_priority_then_depth(self):
        """Guards against important requests that wait behind less important ones."""
        normal = waiter()
        deep = waiter(depth=3)
        important = waiter(priority=Priority.IMPORTANT)
        self.push(normal, deep, important)
        self.assertEqual([important, deep, normal], pop_all(self.backlog))

    def test_newest_first_once_overloaded(self):
        """Guards against a standing queue in which every request is served too late."""
        waiters = [waiter(at_ms) for at_ms in range(3)]
        self.push(*waiters)
        self.assertEqual(waiters[::-1], pop_all(self.backlog, overloaded=True))
        self.push(*waiters)
        self.assertEqual(waiters, pop_all(self.backlog))

    def test_organisations_take_turns(self):
        """Guards against one organisation that fills the queue and delays the others."""
        flood = [waiter(organisation="alpha") for _ in range(10)]
        single = waiter(organisation="beta")
        self.push(*flood, single)
        self.assertIn(single, pop_all(self.backlog)[:2])

    def test_lowest_class_and_largest_user_is_evicted(self):
        """Guards against a full queue that refuses important work or small organisations."""
        flood = [waiter(organisation="alpha") for _ in range(3)]
        single = waiter(organisation="beta")
        important = waiter(organisation="alpha", priority=Priority.IMPORTANT)
        self.push(*flood, single, important)
        evicted = [self.backlog.evict(overloaded=True) for _ in range(2)]
        self.assertEqual(flood[:2], evicted)

    def test_removed_waiter_is_no_longer_counted(self):
        """Guards against cancelled requests that count against the bound of the queue."""
        item, other = waiter(), waiter()
        self.push(item, other)
        self.assertTrue(self.backlog.remove(item))
        self.assertFalse(self.backlog.remove(item))
        self.assertEqual(1, len(self.backlog))
        self.assertEqual([other], pop_all(self.backlog))

    def test_empty(self):
        """Guards against an error on an empty queue."""
        self.assertIsNone(self.backlog.pop(overloaded=False))
        self.assertIsNone(self.backlog.evict(overloaded=False))


class TestOrders(TestCase):
    def test_every_order_returns_each_request_once(self):
        """Guards against an order that loses, duplicates or miscounts requests."""
        for name in queue_orders:
            backlog = queue_orders.get(name)()
            waiters = [waiter(at_ms, depth=at_ms % 2) for at_ms in range(6)]
            for item in waiters:
                backlog.push(item)
            backlog.remove(waiters[2])
            popped = [backlog.evict(overloaded=True), *pop_all(backlog)]
            self.assertEqual({*waiters} - {waiters[2]}, {*popped})
            self.assertEqual(0, len(backlog))

    def test_fifo_and_lifo(self):
        """Guards against benchmarks that measure a different order than the configured one."""
        waiters = [waiter(at_ms) for at_ms in range(3)]
        for name, expected in (("fifo", waiters), ("lifo", waiters[::-1])):
            backlog = queue_orders.get(name)()
            for item in waiters:
                backlog.push(item)
            self.assertEqual(expected, pop_all(backlog))

    def test_revised_order_keeps_requests(self):
        """Guards against a profile change that drops waiting requests."""
        backlog = queue_orders.get("priority")()
        waiters = [waiter(at_ms, priority=Priority(at_ms % 4)) for at_ms in range(8)]
        for item in waiters:
            backlog.push(item)
        self.assertEqual(waiters, pop_all(revise_order(backlog, "fifo")))

    def test_unknown_order(self):
        """Guards against a misspelled order in a profile that is detected only under load."""
        self.assertRaises(UnknownEntryError, queue_orders.get, "fiffo")
