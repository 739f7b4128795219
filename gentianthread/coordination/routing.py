"""Choose the upstream that a request goes to."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..errors import NoUpstream
from ..ids import Outcome, ServiceId, UpstreamId
from ..state.plan import Plan
from ..state.work import ShedLevel, WorkItem


class Router(ABC):
    """Choose upstreams and learn from the answers."""

    @abstractmethod
    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return the upstream for the next attempt.

        Args:
            item: The work.
            excluded: Upstreams that were tried.

        Raises:
            NoUpstream: No upstream of the service can take work.
        """

    @abstractmethod
    def check_early(self, item: WorkItem) -> None:
        """Refuse work at its entry that would be shed or end too late further on.

        Raises:
            Refused: The work has not run.
        """

    @abstractmethod
    def attempt_started(self, upstream_id: UpstreamId) -> None:
        """Count an attempt that begins."""

    @abstractmethod
    def attempt_finished(
        self,
        upstream_id: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        item: WorkItem | None = None,
    ) -> None:
        """Learn from an attempt that ended.

        Args:
            upstream_id: Where it ran.
            outcome: How it ended.
            latency_ms: How long it took, as seen here.
            level: Load that the answer reported, if it did.
            item: The work; without it nothing is learned about its route.
        """

    def entry_threshold(self, item: WorkItem) -> float:
        """Return the threshold that `check_early` applies to a root request, or 0 for none."""
        return 0.0

    def pool_level(self, item: WorkItem) -> ShedLevel | None:
        """Return the level that the upstreams of an item's service reported, or None if unknown."""
        return None


class RoundRobinRouter(Router):
    """Take the upstreams of a service in turn, for tests and small set-ups."""

    def __init__(
        self, plan: Callable[[], Plan], available: Callable[[UpstreamId], bool] = lambda _: True
    ):
        """Create a router.

        Args:
            plan: Returns the accepted plan.
            available: Tells whether an upstream takes new work.
        """
        self._plan = plan
        self._available = available
        self._turns: dict[ServiceId, int] = {}

    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return the next upstream in turn."""
        upstreams = [
            upstream.upstream_id
            for upstream in self._plan().upstreams_by_service.get(item.service_id, ())
            if upstream.upstream_id not in excluded
            and not upstream.draining
            and self._available(upstream.upstream_id)
        ]
        if not upstreams:
            raise NoUpstream()
        turn = self._turns.get(item.service_id, 0)
        self._turns[item.service_id] = turn + 1
        return upstreams[turn % len(upstreams)]

    def check_early(self, item: WorkItem) -> None:
        """Refuse nothing."""

    def attempt_started(self, upstream_id: UpstreamId) -> None:
        """Keep no statistics."""

    def attempt_finished(
        self,
        upstream_id: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        item: WorkItem | None = None,
    ) -> None:
        """Keep no statistics."""
