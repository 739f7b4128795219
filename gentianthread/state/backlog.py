"""Queue requests that wait for a slot on a target, in the order that the profile sets."""

from abc import ABC, abstractmethod
from asyncio import Future, TimerHandle
from collections import deque
from collections.abc import Callable
from itertools import chain

import attrs

from ..ids import OrganisationId, Priority
from ..registry import Registry
from .fairness import FairScheduler
from .work import WorkItem

Weights = Callable[[OrganisationId], float]

queue_orders: Registry[type["Backlog"]] = Registry("queue order")


@attrs.define(eq=False)
class Waiter:
    """Store one waiting request.

    Attributes:
        item: The work.
        enqueued_at_ms: When it was queued.
        drop_at_ms: From when on it can no longer meet its deadline.
        slot: Resolved when the request may run, or with the reason for its refusal.
        timer: Fires at `drop_at_ms`.
    """

    item: WorkItem
    enqueued_at_ms: float
    drop_at_ms: float
    slot: Future | None = None
    timer: TimerHandle | None = None


class Backlog(ABC):
    """Queue waiting requests; the caller bounds their number with `evict`."""

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
        """Remove and return the request that runs next, or None.

        Args:
            overloaded: Whether the queueing delay of the target exceeds its bound.
        """

    @abstractmethod
    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the request that is refused if the backlog is full, or None."""

    @abstractmethod
    def remove(self, waiter: Waiter) -> bool:
        """Remove a request from any position, and return whether it was queued."""

    @abstractmethod
    def drain(self) -> list[Waiter]:
        """Remove and return all requests, in the order of their arrival."""

    @abstractmethod
    def __len__(self) -> int: ...


class _DequeBacklog(Backlog):
    """Queue requests in a single double-ended queue."""

    def __init__(self, weights: Weights = lambda _: 1.0):
        super().__init__(weights)
        self._waiters: deque[Waiter] = deque()

    def push(self, waiter: Waiter) -> None:
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> bool:
        try:
            self._waiters.remove(waiter)
        except ValueError:
            return False
        return True

    def drain(self) -> list[Waiter]:
        waiters = list(self._waiters)
        self._waiters.clear()
        return waiters

    def __len__(self) -> int:
        return len(self._waiters)


@queue_orders.register("fifo")
class FifoBacklog(_DequeBacklog):
    """Serve the oldest request first and refuse the newest."""

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the oldest request."""
        return self._waiters.popleft() if self._waiters else None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the newest request."""
        return self._waiters.pop() if self._waiters else None


@queue_orders.register("lifo")
class LifoBacklog(_DequeBacklog):
    """Serve the newest request first and refuse the oldest."""

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the newest request."""
        return self._waiters.pop() if self._waiters else None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the oldest request."""
        return self._waiters.popleft() if self._waiters else None


class _PriorityClass:
    """Queue the requests of one priority class by organisation and depth."""

    def __init__(self) -> None:
        self.waiters_by_organisation: dict[OrganisationId, dict[int, deque[Waiter]]] = {}
        self.sizes: dict[OrganisationId, int] = {}
        self.scheduler = FairScheduler()

    def push(self, waiter: Waiter) -> None:
        name = waiter.item.organisation_id
        waiters_by_depth = self.waiters_by_organisation.setdefault(name, {})
        waiters_by_depth.setdefault(waiter.item.depth, deque()).append(waiter)
        self.sizes[name] = self.sizes.get(name, 0) + 1

    def take(self, name: OrganisationId, depth: int, *, newest: bool) -> Waiter:
        waiters = self.waiters_by_organisation[name][depth]
        waiter = waiters.pop() if newest else waiters.popleft()
        self._delete_if_empty(name, depth)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        name, depth = waiter.item.organisation_id, waiter.item.depth
        waiters = self.waiters_by_organisation.get(name, {}).get(depth)
        if waiters is None or waiter not in waiters:
            return False
        waiters.remove(waiter)
        self._delete_if_empty(name, depth)
        return True

    def _delete_if_empty(self, name: OrganisationId, depth: int) -> None:
        self.sizes[name] -= 1
        if not self.waiters_by_organisation[name][depth]:
            del self.waiters_by_organisation[name][depth]
        if not self.sizes[name]:
            del self.sizes[name], self.waiters_by_organisation[name]


@queue_orders.register("priority")
class PriorityBacklog(Backlog):
    """Serve by priority class, then fairly between organisations, then by the larger depth.

    Requests of one organisation and depth are served oldest first, and newest first while the
    target is overloaded: the oldest then have the least time left, and are the most likely to be
    abandoned by their callers.
    """

    def __init__(self, weights: Weights = lambda _: 1.0):
        super().__init__(weights)
        self._classes: dict[Priority, _PriorityClass] = {}
        self._size = 0

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._classes.setdefault(waiter.item.priority, _PriorityClass()).push(waiter)
        self._size += 1

    def pop(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return the request that runs next."""
        for priority in sorted(self._classes, reverse=True):
            priority_class = self._classes[priority]
            if priority_class.sizes:
                name = min(
                    priority_class.sizes,
                    key=lambda name: (priority_class.scheduler.start_time(name), name),
                )
                priority_class.scheduler.charge(name, self.weights(name))
                self._size -= 1
                return priority_class.take(
                    name, max(priority_class.waiters_by_organisation[name]), newest=overloaded
                )
            priority_class.scheduler.prune()
        return None

    def evict(self, *, overloaded: bool) -> Waiter | None:
        """Remove and return a request of the lowest class that has any.

        It belongs to the organisation with the most queued requests in relation to its weight.
        """
        for priority in sorted(self._classes):
            priority_class = self._classes[priority]
            if priority_class.sizes:
                name = max(
                    priority_class.sizes,
                    key=lambda name: (priority_class.sizes[name] / self.weights(name)),
                )
                self._size -= 1
                return priority_class.take(
                    name, min(priority_class.waiters_by_organisation[name]), newest=not overloaded
                )
        return None

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request, and return whether it was queued."""
        priority_class = self._classes.get(waiter.item.priority)
        if priority_class is None or not priority_class.remove(waiter):
            return False
        self._size -= 1
        return True

    def drain(self) -> list[Waiter]:
        """Remove and return all requests, in the order of their arrival."""
        queues = [
            waiters
            for priority_class in self._classes.values()
            for by_depth in priority_class.waiters_by_organisation.values()
            for waiters in by_depth.values()
        ]
        waiters = sorted(chain.from_iterable(queues), key=lambda waiter: waiter.enqueued_at_ms)
        self._classes.clear()
        self._size = 0
        return waiters

    def __len__(self) -> int:
        return self._size


def revise_order(backlog: Backlog, order: str) -> Backlog:
    """Return a backlog with another queue order and the same requests.

    Raises:
        UnknownEntryError: No queue order has this name.
    """
    revised = queue_orders.get(order)(backlog.weights)
    for waiter in backlog.drain():
        revised.push(waiter)
    return revised
