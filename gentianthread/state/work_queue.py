"""Order the requests that wait for a place on a target."""

from asyncio import Future
from collections import deque

import attrs

from ..ids import OrganisationId


@attrs.define(eq=False)
class QueuedWork:
    """Hold one waiting request.

    Attributes:
        inner: Whether it is a call of work that already runs on another target.
        priority: Its rank; 0 is the most important.
        organisation_id: For whom it runs; empty for inner calls.
        enqueued_at_ms: When it began to wait.
        drop_at_ms: From when on it cannot end in time.
        slot: Resolved with True when it may run, and with False when it is refused.
    """

    inner: bool
    priority: int
    organisation_id: OrganisationId
    enqueued_at_ms: float
    drop_at_ms: float
    slot: Future


class WorkQueue:
    """Serve inner calls first, then by priority, then organisations in turn, the oldest first.

    An inner call has used other targets before, which its refusal would waste.
    """

    def __init__(self) -> None:
        self._lines: dict[tuple[bool, int], dict[OrganisationId, deque[QueuedWork]]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, work: QueuedWork) -> None:
        """Add a request."""
        lines = self._lines.setdefault((not work.inner, work.priority), {})
        lines.setdefault(work.organisation_id, deque()).append(work)
        self._size += 1

    def pop(self) -> QueuedWork | None:
        """Take the request that runs next, or None."""
        for key in sorted(self._lines):
            lines = self._lines[key]
            # The organisation that was served goes behind the others of its line.
            name = next(iter(lines))
            line = lines.pop(name)
            work = line.popleft()
            if line:
                lines[name] = line
            elif not lines:
                del self._lines[key]
            self._size -= 1
            return work
        return None

    def remove(self, work: QueuedWork) -> bool:
        """Take a request out of its place and tell whether it was there."""
        key = (not work.inner, work.priority)
        line = self._lines.get(key, {}).get(work.organisation_id)
        if line is None or work not in line:
            return False
        line.remove(work)
        if not line:
            del self._lines[key][work.organisation_id]
            if not self._lines[key]:
                del self._lines[key]
        self._size -= 1
        return True

    def ahead_of(self, inner: bool, priority: int) -> int:
        """Return how many waiting requests would run before a new one."""
        key = (not inner, priority)
        return sum(
            len(line)
            for line_key, lines in self._lines.items()
            if line_key <= key
            for line in lines.values()
        )

    def oldest_wait_ms(self, now_ms: float) -> float:
        """Return how long the longest waiting request has waited."""
        heads = [line[0] for lines in self._lines.values() for line in lines.values()]
        return max((now_ms - work.enqueued_at_ms for work in heads), default=0.0)
