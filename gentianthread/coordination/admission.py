"""Decide which work runs on the target of this node."""

from abc import ABC, abstractmethod

from ..clock import Clock
from ..errors import Refused
from ..ids import Outcome, RefusalReason, ServiceId
from ..state.work import ShedLevel, WorkItem


class Permit(ABC):
    """Allow one request to run on the target."""

    @abstractmethod
    def release(self, outcome: Outcome, latency_ms: float) -> None:
        """Give the place back; further calls do nothing.

        Args:
            outcome: How the request ended.
            latency_ms: How long the target took.
        """


class Admission(ABC):
    """Admit work to one target."""

    @abstractmethod
    async def admit(self, item: WorkItem) -> Permit:
        """Wait for a place.

        Raises:
            Refused: The work is shed, too late or does not fit the queue; it has not run.
        """

    @abstractmethod
    def level(self) -> ShedLevel:
        """Return the present load, which travels back on answers."""

    def level_for(self, item: WorkItem) -> ShedLevel:
        """Return the level for the answer to a request, with what its inner calls met.

        Args:
            item: The request that is answered.
        """
        return self.level()

    def record_inner_level(  # noqa: B027  # Optional: nothing to learn without thresholds.
        self, item: WorkItem, service_id: ServiceId, level: ShedLevel
    ) -> None:
        """Learn the level that inner calls of a request meet.

        Args:
            item: The request that made the inner call.
            service_id: Service of the inner call.
            level: Level of that service's upstreams; see `Router.pool_level`.
        """

    def passed_threshold(self, item: WorkItem) -> float:
        """Return the threshold that the inner calls of an admitted request have passed."""
        return item.passed_threshold

    @abstractmethod
    def has_capacity(self) -> bool:
        """Return whether a request would start at once."""


class _SlotPermit(Permit):
    def __init__(self, owner: "SlotAdmission"):
        self._owner: SlotAdmission | None = owner

    def release(self, outcome: Outcome, latency_ms: float) -> None:
        if self._owner is not None:
            self._owner.running -= 1
            self._owner = None


class SlotAdmission(Admission):
    """Admit up to a fixed number of slots and refuse the rest at once."""

    def __init__(self, slots: int, clock: Clock):
        """Create an admission without a queue.

        Args:
            slots: Requests that may run at once.
            clock: Clock of the deadlines.
        """
        self.slots = slots
        self.clock = clock
        self.running = 0

    async def admit(self, item: WorkItem) -> Permit:
        """Take a slot or refuse."""
        if item.deadline_at_ms <= self.clock.now_ms():
            raise Refused(RefusalReason.DEADLINE_EXCEEDED, not_run=True)
        if self.running >= self.slots:
            raise Refused(RefusalReason.QUEUE_FULL, not_run=True)
        self.running += 1
        return _SlotPermit(self)

    def level(self) -> ShedLevel:
        """Return the slots in use."""
        return ShedLevel(running=self.running, limit=self.slots)

    def has_capacity(self) -> bool:
        """Return whether a slot is free."""
        return self.running < self.slots
