"""Provide the state that the quota roles of one process share."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from ..clock import Clock
from ..errors import PeerTimeout, PeerUnreachable
from ..events import QUOTA_SUPERSEDED
from ..ids import AvailabilityZoneId, NodeIdentity, OrganisationId, StartNumber, UpstreamId
from ..logs import log
from ..state.escrow import FractionHistory
from ..state.members import Members, MemberState
from ..state.plan import Organisation, Plan
from ..state.rendezvous import choose
from .peer_network import PeerNetwork

# A drawer reports spent tokens ahead of its interval once they reach this part of the burst. The
# minimum keeps small bursts from costing a message for every few requests.
REPORT_BURST_RATIO = 0.02
MIN_REPORT_TOKENS = 4.0


@attrs.frozen
class QuotaTimes:
    """Configure the intervals, timeouts and token amounts of the quota.

    Attributes:
        poll_interval_ms: Interval between the polls of a holder.
        poll_timeout_ms: How long a holder waits for the answer to a poll.
        delegation_duration_ms: How long a delegation lasts; it outlasts several lost polls.
        grant_validity_ms: How long granted tokens last without renewal.
        draw_interval_ms: Interval between the regular draws of a node.
        zone_draw_interval_ms: Interval between the regular draws of a zone holder.
        min_spacing_ms: Minimum time between two draws of a node for one organisation.
        zone_min_spacing_ms: Minimum time between two draws of a zone holder for one organisation.
        scarce_min_spacing_ms: Minimum time between two draws of a node or zone holder while the
            last draw brought fewer tokens than there were waiting requests.
        draw_timeout_ms: How long a drawer waits for the answer to a draw.
        supply_wait_ms: How long a zone holder delays the answer to a draw while it is short of
            tokens.
        hello_interval_ms: Interval between attempts to announce a new process to a peer, and the
            timeout of each attempt.
        hello_timeout_ms: How long a new process tries to reach a silent peer before it goes on
            without it.
        tick_interval_ms: Interval between the checks for pauses of the process.
        pause_threshold_ms: Gap between two ticks from which on the process counts as paused.
        prefetch_ratio: Largest part of the tokens in a bucket that zones prefetch together.
        min_prefetch_tokens: Tokens that a zone with demand prefetches at least while the bucket
            is not low.
        prefetch_horizon_ms: Time of its demand that a drawer prefetches at most.
    """

    poll_interval_ms: float = 700.0
    poll_timeout_ms: float = 300.0
    delegation_duration_ms: float = 2_100.0
    grant_validity_ms: float = 800.0
    draw_interval_ms: float = 250.0
    zone_draw_interval_ms: float = 150.0
    min_spacing_ms: float = 5.0
    zone_min_spacing_ms: float = 10.0
    scarce_min_spacing_ms: float = 60.0
    draw_timeout_ms: float = 150.0
    supply_wait_ms: float = 60.0
    hello_interval_ms: float = 250.0
    hello_timeout_ms: float = 3_000.0
    tick_interval_ms: float = 100.0
    pause_threshold_ms: float = 500.0
    prefetch_ratio: float = 0.2
    min_prefetch_tokens: int = 4
    prefetch_horizon_ms: float = 500.0

    @property
    def holder_timeout_ms(self) -> float:
        """Return the time without a poll after which a holder counts as lost."""
        return 2.5 * self.poll_interval_ms


class QuotaContext:
    """Provide identity, network, plans and known processes to the quota roles."""

    def __init__(
        self, network: PeerNetwork, members: Members, clock: Clock, times: QuotaTimes
    ) -> None:
        """Create a context.

        Args:
            network: Network endpoint of the process.
            members: Membership view of the process.
            clock: Clock of all leases.
            times: Intervals, timeouts and amounts.
        """
        self.network = network
        self.local: NodeIdentity = network.local
        self.members = members
        self.clock = clock
        self.times = times
        self.fraction_history = FractionHistory()
        self.plans: list[Plan] = []
        self._upstreams_by_zone: dict[AvailabilityZoneId, list[UpstreamId]] = {}
        self.superseded = False
        # Incremented whenever tokens and delegations are dropped after a pause. Answers to requests
        # of an earlier epoch are ignored.
        self.epoch = 0
        self._sequence = 0
        self._last_sequences: dict[tuple[str, NodeIdentity], int] = {}
        self._newest_starts: dict[UpstreamId, StartNumber] = {
            self.local.upstream_id: self.local.start_number
        }
        self._handlers: dict[type, Callable[[NodeIdentity, Any], Any]] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def plan(self) -> Plan | None:
        """Return the plan in force."""
        return self.plans[-1] if self.plans else None

    def accept_plan(self, plan: Plan) -> None:
        """Apply a newer plan; a lower fraction takes effect at once."""
        if self.plans and plan.version <= self.plans[-1].version:
            return
        self.plans.append(plan)
        self.fraction_history.accept(plan.version, plan.fractions.get(self.local.upstream_id, 0.0))
        self._drop_old_plans()
        self._index_upstreams()

    def accept_settled_version(self, version: int | None) -> None:
        """Record the newest plan version whose decreases are in force everywhere."""
        self.fraction_history.settle(version)
        self._drop_old_plans()

    def organisation(self, organisation_id: OrganisationId) -> Organisation | None:
        """Return an organisation of the plan in force."""
        return self.plan.organisations.get(organisation_id) if self.plan else None

    def report_threshold(self, organisation_id: OrganisationId) -> float:
        """Return how many spent tokens a drawer reports ahead of its interval.

        The holder counts unreported tokens as held, and its bucket cannot refill that room.
        """
        organisation = self.organisation(organisation_id)
        burst = organisation.burst if organisation else 0.0
        return max(MIN_REPORT_TOKENS, REPORT_BURST_RATIO * burst)

    def planned_zones(self) -> list[AvailabilityZoneId]:
        """Return the zones of all plans that may be in force somewhere."""
        return sorted(self._upstreams_by_zone)

    def planned_upstreams(self, zone: AvailabilityZoneId) -> list[UpstreamId]:
        """Return the upstreams of a zone in all plans that may be in force somewhere."""
        return self._upstreams_by_zone.get(zone, [])

    def _index_upstreams(self) -> None:
        """Group the upstreams by zone, since holders look them up with every poll."""
        by_zone: dict[AvailabilityZoneId, set[UpstreamId]] = {}
        for plan in self.plans:
            for upstream in plan.upstreams.values():
                by_zone.setdefault(upstream.availability_zone, set()).add(upstream.upstream_id)
        self._upstreams_by_zone = {zone: sorted(names) for zone, names in by_zone.items()}

    def reachable(self, zone: AvailabilityZoneId) -> list[UpstreamId]:
        """Return the upstreams of a zone that are reachable in the membership view."""
        names = set(self.members.reachable(zone))
        if zone == self.local.availability_zone:
            names.add(self.local.upstream_id)
        return sorted(names)

    def candidates(self, zone: AvailabilityZoneId) -> list[UpstreamId]:
        """Return the reachable upstreams of a zone that are not leaving and can be its holder."""
        return [
            name
            for name in self.reachable(zone)
            if name == self.local.upstream_id or self.members.takes_work(name)
        ]

    def is_reachable(self, identity: NodeIdentity) -> bool:
        """Return whether a process is reachable in the membership view and not superseded."""
        if identity == self.local:
            return True
        member = self.members.get(identity.upstream_id)
        if member is None or self.knows_newer_process(identity):
            return False
        return member.state in (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)

    def has_failed(self, upstream_id: UpstreamId) -> bool:
        """Return whether the membership view lists an upstream as failed or not at all."""
        member = self.members.get(upstream_id)
        if upstream_id == self.local.upstream_id:
            return False
        return member is None or member.state is MemberState.FAILED

    def record_start(self, upstream_id: UpstreamId, start_number: StartNumber) -> bool:
        """Record a process and return whether it is the newest known of its upstream."""
        newest = max(self._newest_starts.get(upstream_id, start_number), start_number)
        self._newest_starts[upstream_id] = newest
        return start_number == newest

    def knows_newer_process(self, identity: NodeIdentity) -> bool:
        """Return whether a newer process of the same upstream is known."""
        return self._newest_starts.get(identity.upstream_id, 0) > identity.start_number

    def mark_superseded(self) -> None:
        """Record that a newer process serves the local upstream."""
        if not self.superseded:
            self.superseded = True
            log(QUOTA_SUPERSEDED, upstream_id=self.local.upstream_id)

    def next_sequence(self) -> int:
        """Return the next sequence number of polls and draws."""
        self._sequence += 1
        return self._sequence

    @property
    def sequence(self) -> int:
        """Return the last sequence number that was assigned."""
        return self._sequence

    def accept_sequence(self, kind: str, sender: NodeIdentity, sequence: int) -> bool:
        """Record a message and return whether it is neither a duplicate nor out of order."""
        if sequence <= self._last_sequences.get((kind, sender), 0):
            return False
        self._last_sequences[kind, sender] = sequence
        return True

    def ranks_higher(self, key: str, first: str, second: str) -> bool:
        """Return whether the first of two candidates ranks higher for a key."""
        return first != second and choose(key, [first, second]) == first

    def subscribe(self, message_type: type, handler: Callable[[NodeIdentity, Any], Any]) -> None:
        """Set the handler of a message type for messages of peers and of this process."""
        self._handlers[message_type] = handler
        self.network.subscribe(message_type, handler)

    async def request(self, upstream_id: UpstreamId, message: Any, timeout_ms: float) -> Any:
        """Send a request to a peer or to this process; return None if no answer comes."""
        try:
            if upstream_id == self.local.upstream_id:
                result = self._handlers[type(message)](self.local, message)
                return await result if asyncio.iscoroutine(result) else result
            return await self.network.request(upstream_id, message, timeout_ms)
        except (PeerTimeout, PeerUnreachable):
            return None

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Run a task until it ends or the process stops."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _drop_old_plans(self) -> None:
        settled = self.fraction_history.settled_version
        if settled is not None and self.plans[-1:] and self.plans[-1].version >= settled:
            kept = [plan for plan in self.plans if plan.version >= settled]
            if len(kept) < len(self.plans):
                self.plans = kept
                self._index_upstreams()
