"""Define the interface of admission control and an admission with fixed slots."""

from abc import ABC, abstractmethod

from ..clock import Clock
from ..errors import Refused
from ..ids import Outcome, RefusalReason, ServiceId
from ..state.work import ShedLevel, WorkItem


class Permit(ABC):
    """Represent the slot of one request at the target until it is released."""

    @abstractmethod
    def release(self, outcome: Outcome, latency_ms: float) -> None:
        """Release the slot; further calls do nothing.

        Args:
            outcome: Outcome of the request.
            latency_ms: Time that the target took.
        """


class Admission(ABC):
    """Admit requests to one target."""

    @abstractmethod
    async def admit(self, item: WorkItem) -> Permit:
        """Wait for a slot at the target.

        Raises:
            Refused: The request is shed, cannot meet its deadline or finds the queue full; it has
                not run.
        """

    @abstractmethod
    def level(self) -> ShedLevel:
        """Return the present load of the target, which answers report to the caller's node."""

    def level_for(self, item: WorkItem) -> ShedLevel:
        """Return the level to report in the answer to a request, inner calls included.

        Args:
            item: The request.
        """
        return self.level()

    def record_inner_level(  # noqa: B027  # Optional: of no use without thresholds.
        self, item: WorkItem, service_id: ServiceId, level: ShedLevel
    ) -> None:
        """Record the shed level of a service that a request calls.

        Args:
            item: The request that made the inner call.
            service_id: Service of the inner call.
            level: Level of that service's upstreams; see `Router.pool_level`.
        """

    def passed_threshold(self, item: WorkItem) -> float:
        """Return the shedding threshold that applies to the inner calls of an admitted request."""
        return item.passed_threshold

    @abstractmethod
    def has_capacity(self) -> bool:
        """Return whether a request would start without queueing."""


class _SlotPermit(Permit):
    def __init__(self, admission: "SlotAdmission"):
        self._admission: SlotAdmission | None = admission

    def release(self, outcome: Outcome, latency_ms: float) -> None:
        if self._admission is not None:
            self._admission.running -= 1
            self._admission = None


class SlotAdmission(Admission):
    """Admit up to a fixed number of concurrent requests and refuse the rest without queueing."""

    def __init__(self, slots: int, clock: Clock):
        """Create an admission without a queue.

        Args:
            slots: Highest number of concurrent requests.
            clock: Clock for deadlines.
        """
        self.slots = slots
        self.clock = clock
        self.running = 0

    async def admit(self, item: WorkItem) -> Permit:
        """Return a permit if a slot is free.

        Raises:
            Refused: The deadline has passed or no slot is free.
        """
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
