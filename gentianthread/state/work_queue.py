"""Queue requests that wait for a slot on a target.

Load: runs of other services that make several calls here, more than the target can serve.
"""

from asyncio import Future
from bisect import bisect_right
from collections import deque
from itertools import islice

import attrs

from ..ids import OrganisationId


@attrs.define(eq=False)
class QueuedWork:
    """Store one waiting request.

    Attributes:
        inner: Whether it is a call made by a request that already runs on another target.
        priority: Its priority; 0 is the most important.
        organisation_id: Organisation of the request; empty for inner calls.
        enqueued_at_ms: When it was queued.
        drop_at_ms: From when on it can no longer complete in time.
        slot: Resolved with True when it may run, and with False when it is refused.
    """

    inner: bool
    priority: int
    organisation_id: OrganisationId
    enqueued_at_ms: float
    drop_at_ms: float
    slot: Future


class WorkQueue:
    """Serve inner calls first, then by priority, then organisations in turn, oldest first.

    Refusing an inner call would waste the work that other targets have already done for it. Inner
    calls of one priority are served by their deadlines: a run that has already made several calls
    has less time left than one that makes its first call. If all wait equally long, hardly any run
    completes all its calls under overload.
    """

    def __init__(self) -> None:
        self._queues: dict[tuple[bool, int], dict[OrganisationId, deque[QueuedWork]]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, work: QueuedWork) -> None:
        """Add a request."""
        queues = self._queues.setdefault((not work.inner, work.priority), {})
        queue = queues.setdefault(work.organisation_id, deque())
        if work.inner and queue and queue[-1].drop_at_ms > work.drop_at_ms:
            queue.insert(bisect_right(queue, work.drop_at_ms, key=_drop_at_ms), work)
        else:
            queue.append(work)
        self._size += 1

    def pop(self) -> QueuedWork | None:
        """Remove and return the request that runs next, or None."""
        for key in sorted(self._queues):
            queues = self._queues[key]
            # Moves the organisation that is served behind the others of the same key.
            name = next(iter(queues))
            queue = queues.pop(name)
            work = queue.popleft()
            if queue:
                queues[name] = queue
            elif not queues:
                del self._queues[key]
            self._size -= 1
            return work
        return None

    def refuse_all(self) -> None:
        """Remove all requests, and resolve their slots as refused."""
        while (work := self.pop()) is not None:
            if not work.slot.done():
                work.slot.set_result(False)

    def remove(self, work: QueuedWork) -> bool:
        """Remove a request, and return whether it was queued."""
        key = (not work.inner, work.priority)
        queue = self._queues.get(key, {}).get(work.organisation_id)
        if queue is None or work not in queue:
            return False
        queue.remove(work)
        if not queue:
            del self._queues[key][work.organisation_id]
            if not self._queues[key]:
                del self._queues[key]
        self._size -= 1
        return True

    def ahead_of(self, inner: bool, priority: int, drop_at_ms: float = float("inf")) -> int:
        """Return the number of waiting requests that would run before a new one.

        Args:
            inner: Whether it is an inner call.
            priority: Its priority.
            drop_at_ms: From when on it can no longer complete in time.
        """
        key = (not inner, priority)
        count = 0
        for queue_key, queues in self._queues.items():
            if queue_key > key:
                continue
            for queue in queues.values():
                if inner and queue_key == key:
                    count += bisect_right(queue, drop_at_ms, key=_drop_at_ms)
                else:
                    count += len(queue)
        return count

    def oldest_wait_ms(self, now_ms: float) -> float:
        """Return how long the oldest request has waited."""
        return max(
            (
                now_ms - work.enqueued_at_ms
                for (is_root, _), queues in self._queues.items()
                for queue in queues.values()
                for work in (islice(queue, 1) if is_root else queue)
            ),
            default=0.0,
        )


def _drop_at_ms(work: QueuedWork) -> float:
    return work.drop_at_ms
