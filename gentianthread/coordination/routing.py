"""Define the interface of routers and a round-robin router."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from ..errors import NoUpstream
from ..ids import Outcome, ServiceId, UpstreamId
from ..state.plan import Plan
from ..state.work import ShedLevel, WorkItem


class Router(ABC):
    """Choose upstreams and update their statistics with the answers."""

    @abstractmethod
    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return the upstream for the next attempt.

        Args:
            item: The request.
            excluded: Upstreams that must not be chosen, because they were tried before.

        Raises:
            NoUpstream: No upstream of the service accepts requests.
        """

    @abstractmethod
    def check_early(self, item: WorkItem) -> None:
        """Refuse a request at the entry node that would be shed or miss its deadline further on.

        Raises:
            Refused: The request is refused; it has not run.
        """

    @abstractmethod
    def attempt_started(self, upstream_id: UpstreamId) -> None:
        """Record the start of an attempt."""

    @abstractmethod
    def attempt_finished(
        self,
        upstream_id: UpstreamId,
        outcome: Outcome,
        latency_ms: float,
        level: ShedLevel | None,
        item: WorkItem | None = None,
    ) -> None:
        """Record the end of an attempt.

        Args:
            upstream_id: Upstream of the attempt.
            outcome: Outcome of the attempt.
            latency_ms: Duration measured at this node.
            level: Shed level that the answer reported, or None.
            item: The request; without it the statistics of its route are not updated.
        """

    def entry_threshold(self, item: WorkItem) -> float:
        """Return the threshold that `check_early` applies to a root request, or 0 for none."""
        return 0.0

    def pool_level(self, item: WorkItem) -> ShedLevel | None:
        """Return the shed level of the upstreams of an item's service, or None if unknown."""
        return None


class RoundRobinRouter(Router):
    """Choose the upstreams of a service in turn, for tests and small deployments."""

    def __init__(
        self, plan: Callable[[], Plan], available: Callable[[UpstreamId], bool] = lambda _: True
    ):
        """Create a router.

        Args:
            plan: Returns the accepted plan.
            available: Returns whether an upstream accepts new requests.
        """
        self._plan = plan
        self._available = available
        self._next_turns: dict[ServiceId, int] = {}

    def choose(self, item: WorkItem, excluded: frozenset[UpstreamId]) -> UpstreamId:
        """Return the next available upstream."""
        upstreams = [
            upstream.upstream_id
            for upstream in self._plan().upstreams_by_service.get(item.service_id, ())
            if upstream.upstream_id not in excluded
            and not upstream.draining
            and self._available(upstream.upstream_id)
        ]
        if not upstreams:
            raise NoUpstream()
        turn = self._next_turns.get(item.service_id, 0)
        self._next_turns[item.service_id] = turn + 1
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
