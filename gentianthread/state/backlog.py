"""Hold the requests that wait for a place on a target, in the order of a profile."""

from abc import ABC, abstractmethod
from asyncio import Future, TimerHandle
from collections import deque
from collections.abc import Callable
from itertools import chain

import attrs

from ..ids import OrganisationId, Priority
from ..registry import Registry
from .fairness import FairTurns
from .work import WorkItem

Weights = Callable[[OrganisationId], float]

queue_orders: Registry[type["Backlog"]] = Registry("queue order")


@attrs.define(eq=False)
class Waiter:
    """Hold one waiting request.

    Attributes:
        item: The work.
        enqueued_at_ms: When it began to wait.
        drop_at_ms: From when on it cannot meet its deadline.
        slot: Resolved when the request may run, or with the reason for its refusal.
        timer: Fires at `drop_at_ms`.
    """

    item: WorkItem
    enqueued_at_ms: float
    drop_at_ms: float
    slot: Future | None = None
    timer: TimerHandle | None = None


class Backlog(ABC):
    """Hold waiting requests; the caller bounds their number with `evict`."""

    def __init__(self, weights: Weights = lambda _: 1.0):
        """Create an empty backlog.

        Args:
            weights: Returns the weight of an organisation.
        """
        self.weights = weights

    @abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a request."""

    @abstractmethod
    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Take the request that runs next, or None.

        Args:
            overloaded: Whether the target is over its queue target.
        """

    @abstractmethod
    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Take the request that is refused first when the backlog is full, or None."""

    @abstractmethod
    def remove(self, waiter: Waiter) -> bool:
        """Take a request out of any place and tell whether it was there."""

    @abstractmethod
    def drain(self) -> list[Waiter]:
        """Take all requests, in the order of their arrival."""

    @abstractmethod
    def __len__(self) -> int: ...


class _LineBacklog(Backlog):
    """Hold one line of requests."""

    def __init__(self, weights: Weights = lambda _: 1.0):
        super().__init__(weights)
        self._line: deque[Waiter] = deque()

    def push(self, waiter: Waiter) -> None:
        self._line.append(waiter)

    def remove(self, waiter: Waiter) -> bool:
        try:
            self._line.remove(waiter)
        except ValueError:
            return False
        return True

    def drain(self) -> list[Waiter]:
        waiters = list(self._line)
        self._line.clear()
        return waiters

    def __len__(self) -> int:
        return len(self._line)


@queue_orders.register("fifo")
class FifoBacklog(_LineBacklog):
    """Serve the oldest request first and refuse the newest."""

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Take the oldest request."""
        return self._line.popleft() if self._line else None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Take the newest request."""
        return self._line.pop() if self._line else None


@queue_orders.register("lifo")
class LifoBacklog(_LineBacklog):
    """Serve the newest request first and refuse the oldest."""

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Take the newest request."""
        return self._line.pop() if self._line else None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Take the oldest request."""
        return self._line.popleft() if self._line else None


class _Class:
    """Hold the requests of one priority class by organisation and depth."""

    def __init__(self) -> None:
        self.lines: dict[OrganisationId, dict[int, deque[Waiter]]] = {}
        self.sizes: dict[OrganisationId, int] = {}
        self.turns = FairTurns()

    def push(self, waiter: Waiter) -> None:
        name = waiter.item.organisation_id
        lines = self.lines.setdefault(name, {})
        lines.setdefault(waiter.item.depth, deque()).append(waiter)
        self.sizes[name] = self.sizes.get(name, 0) + 1

    def take(self, name: OrganisationId, depth: int, *, newest: bool) -> Waiter:
        line = self.lines[name][depth]
        waiter = line.pop() if newest else line.popleft()
        self._forget(name, depth)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        name, depth = waiter.item.organisation_id, waiter.item.depth
        line = self.lines.get(name, {}).get(depth)
        if line is None or waiter not in line:
            return False
        line.remove(waiter)
        self._forget(name, depth)
        return True

    def _forget(self, name: OrganisationId, depth: int) -> None:
        self.sizes[name] -= 1
        if not self.lines[name][depth]:
            del self.lines[name][depth]
        if not self.sizes[name]:
            del self.sizes[name], self.lines[name]


@queue_orders.register("priority")
class PriorityBacklog(Backlog):
    """Serve by priority class, then fairly between organisations, then the deeper request.

    Requests of one organisation and depth are served oldest first, and newest first once the target
    is overloaded: then the oldest have the least time left and are the likeliest to be given up.
    """

    def __init__(self, weights: Weights = lambda _: 1.0):
        super().__init__(weights)
        self._classes: dict[Priority, _Class] = {}
        self._size = 0

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._classes.setdefault(waiter.item.priority, _Class()).push(waiter)
        self._size += 1

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Take the best request."""
        for priority in sorted(self._classes, reverse=True):
            held = self._classes[priority]
            if held.sizes:
                name = min(held.sizes, key=lambda name: (held.turns.start(name), name))
                held.turns.charge(name, self.weights(name))
                self._size -= 1
                return held.take(name, max(held.lines[name]), newest=overloaded)
            held.turns.prune()
        return None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Take from the lowest class the organisation that fills most of it for its weight."""
        for priority in sorted(self._classes):
            held = self._classes[priority]
            if held.sizes:
                name = max(held.sizes, key=lambda name: (held.sizes[name] / self.weights(name)))
                self._size -= 1
                return held.take(name, min(held.lines[name]), newest=not overloaded)
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Take a request out of its place."""
        held = self._classes.get(waiter.item.priority)
        if held is None or not held.remove(waiter):
            return False
        self._size -= 1
        return True

    def drain(self) -> list[Waiter]:
        """Take all requests, in the order of their arrival."""
        lines = [
            line
            for held in self._classes.values()
            for by_depth in held.lines.values()
            for line in by_depth.values()
        ]
        waiters = sorted(chain.from_iterable(lines), key=lambda waiter: waiter.enqueued_at_ms)
        self._classes.clear()
        self._size = 0
        return waiters

    def __len__(self) -> int:
        return self._size


def revise_order(backlog: Backlog, order: str) -> Backlog:
    """Return a backlog of another order with the same requests.

    Raises:
        UnknownEntryError: No queue order has the name.
    """
    revised = queue_orders.get(order)(backlog.weights)
    for waiter in backlog.drain():
        revised.push(waiter)
    return revised
