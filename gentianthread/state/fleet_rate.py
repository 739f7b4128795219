"""Keep organisations within a rate that all nodes share.

One node counts for the fleet: it holds a bucket for each organisation, the others tell it what they
admitted, and it tells them how full the bucket is and how large the demand. A node admits while its
estimate of the bucket is above zero, and then the part of the demand that the rate allows.
"""

from collections.abc import Mapping
from random import Random

import attrs

from ..ids import OrganisationId


@attrs.frozen
class Usage:
    """Tell what one node did for an organisation in one period.

    Attributes:
        admitted: Requests that were let through.
        demanded: Requests that came.
    """

    admitted: int
    demanded: int


@attrs.frozen
class RateState:
    """Tell the state of an organisation's bucket.

    Attributes:
        tokens: Requests that may come at once; negative after an excess.
        demand_per_s: Requests that come at all nodes together.
        rate_fraction: Part of the rate that the counting node gives out; below 1 where it does not hear
            all nodes.
    """

    tokens: float
    demand_per_s: float
    rate_fraction: float


@attrs.define
class _Bucket:
    tokens: float
    at_ms: float
    demand_per_s: float = 0.0


class LimitChanges:
    """Hold a lowered limit back until every node can know it.

    Nodes learn of a plan within 2 s. One that obeyed a lower limit before the others would refuse
    what they still let through, and the organisation would get less than either limit.
    """

    HELD_BACK_MS = 1_500.0

    def __init__(self) -> None:
        self._known: dict[OrganisationId, tuple[float, float]] = {}
        self._lowered: dict[OrganisationId, tuple[tuple[float, float], float]] = {}

    def limit(
        self, name: OrganisationId, limit: tuple[float, float], now_ms: float
    ) -> tuple[float, float]:
        """Return the rate per second and burst that apply now.

        Args:
            name: The organisation.
            limit: Its rate and burst in the newest plan; a rate of 0 is no limit.
            now_ms: Present time in ms.
        """
        known = self._known.get(name)
        if known != limit:
            self._known[name] = limit
            if known is not None and 0 < limit[0] < known[0]:
                self._lowered[name] = (known, now_ms + self.HELD_BACK_MS)
            else:
                self._lowered.pop(name, None)
        lowered = self._lowered.get(name)
        if lowered is None:
            return limit
        if now_ms < lowered[1]:
            return lowered[0]
        del self._lowered[name]
        return limit


class FleetCounter:
    """Count for the whole fleet; used by the one node that the others report to."""

    # A node that has not reported for this long is not heard.
    HEARD_MS = 1_500.0
    DEMAND_TIME_MS = 600.0
    # Nodes that cannot be heard may count for themselves: together both parts stay under the
    # quarter over the rate that organisations may get.
    PART_FACTOR = 1.15
    DEEPEST = -1.0

    def __init__(self, now_ms: float):
        """Create a counter without any demand."""
        self._buckets: dict[OrganisationId, _Bucket] = {}
        self._heard: dict[str, float] = {}
        self._started_ms = now_ms

    def report(
        self,
        source: str,
        usage: Mapping[OrganisationId, Usage],
        limits: Mapping[OrganisationId, tuple[float, float]],
        nodes: int,
        now_ms: float,
    ) -> dict[OrganisationId, RateState]:
        """Take the usage of one node and return the states of all demanded organisations.

        Args:
            source: The node.
            usage: What it did since its last report.
            limits: Rate per second and burst of each organisation.
            nodes: Number of nodes in the fleet.
            now_ms: Present time in ms.
        """
        self._heard[source] = now_ms
        rate_fraction = self._part(nodes, now_ms)
        for name, used in usage.items():
            if name in limits:
                self._count(name, used, limits[name], rate_fraction, now_ms)
        states = {}
        for name, bucket in list(self._buckets.items()):
            if name not in limits:
                del self._buckets[name]
                continue
            self._refill(bucket, limits[name], rate_fraction, now_ms)
            states[name] = RateState(bucket.tokens, bucket.demand_per_s, rate_fraction)
        return states

    def _part(self, nodes: int, now_ms: float) -> float:
        for source in [name for name, at in self._heard.items() if now_ms - at > self.HEARD_MS]:
            del self._heard[source]
        return min(1.0, self.PART_FACTOR * len(self._heard) / max(1, nodes))

    def _count(
        self,
        name: OrganisationId,
        used: Usage,
        limit: tuple[float, float],
        rate_fraction: float,
        now_ms: float,
    ) -> None:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(limit[1] * rate_fraction, now_ms)
        self._refill(bucket, limit, rate_fraction, now_ms)
        bucket.tokens = max(bucket.tokens - used.admitted, self.DEEPEST * max(limit))
        bucket.demand_per_s += used.demanded * 1_000 / self.DEMAND_TIME_MS

    def _refill(
        self, bucket: _Bucket, limit: tuple[float, float], rate_fraction: float, now_ms: float
    ) -> None:
        passed_ms = max(0.0, now_ms - bucket.at_ms)
        rate_per_s, burst = limit
        bucket.tokens = min(
            burst * rate_fraction, bucket.tokens + rate_per_s * rate_fraction * passed_ms / 1_000
        )
        bucket.demand_per_s *= max(0.0, 1 - passed_ms / self.DEMAND_TIME_MS)
        bucket.at_ms = now_ms


@attrs.define
class _Local:
    """Hold the estimate of one organisation at one node."""

    state: RateState | None = None
    state_at_ms: float = float("-inf")
    admitted: int = 0
    demanded: int = 0
    unreported: int = 0
    own_per_s: float = 0.0
    own_at_ms: float = 0.0
    fallback: float = -1.0
    fallback_at_ms: float = 0.0


class NodeRates:
    """Decide at one node which requests of an organisation are within its rate."""

    # Without news from the counting node for this long, a node gives out its own part only.
    FRESH_MS = 1_200.0
    OWN_TIME_MS = 1_000.0
    # What was admitted over the bucket before the news came is taken back over this time.
    DEBT_S = 2.0
    # A late request is worth less than one that can still meet its objective. It passes only while
    # the bucket holds what comes in this time.
    LATE_RESERVE_S = 0.5
    # Tokens that a node without news holds at least; small parts would refuse every pair of
    # requests that come together.
    LEAST_FALLBACK = 1.5

    def __init__(self, random: Random):
        """Create rates without limits.

        Args:
            random: Source of the choice which requests pass at the limit.
        """
        self._random = random
        self._local: dict[OrganisationId, _Local] = {}

    def take(
        self,
        name: OrganisationId,
        rate_per_s: float,
        burst: float,
        nodes: int,
        now_ms: float,
        *,
        misses_objective: bool = False,
    ) -> bool:
        """Count a request and return whether it is within the rate.

        Args:
            name: The organisation.
            rate_per_s: Its rate over all nodes.
            burst: Requests above the rate.
            nodes: Number of nodes in the fleet.
            now_ms: Present time in ms.
            misses_objective: Whether it can no longer meet its latency objective.
        """
        local = self._local.setdefault(name, _Local(own_at_ms=now_ms))
        local.demanded += 1
        self._follow_own(local, now_ms)
        if local.state is not None and now_ms - local.state_at_ms <= self.FRESH_MS:
            passes = self._passes(local, rate_per_s, now_ms, misses_objective)
        else:
            passes = self._passes_alone(local, rate_per_s / nodes, burst / nodes, now_ms)
        if passes:
            local.admitted += 1
            local.unreported += 1
        return passes

    def _follow_own(self, local: _Local, now_ms: float) -> None:
        passed_ms = now_ms - local.own_at_ms
        local.own_per_s *= max(0.0, 1 - passed_ms / self.OWN_TIME_MS)
        local.own_per_s += 1_000 / self.OWN_TIME_MS
        local.own_at_ms = now_ms

    def _passes(
        self, local: _Local, rate_per_s: float, now_ms: float, misses_objective: bool
    ) -> bool:
        state = local.state
        passed_s = (now_ms - local.state_at_ms) / 1_000
        # The other nodes admit as well until the next news: they take what the demand leaves.
        others_per_s = max(0.0, state.demand_per_s - local.own_per_s)
        rate = rate_per_s * state.rate_fraction
        tokens = state.tokens + (rate - others_per_s) * passed_s - local.unreported
        if misses_objective and state.demand_per_s > rate:
            return tokens >= 1 + rate * self.LATE_RESERVE_S
        if tokens >= 1:
            return True
        allowed = max(0.0, rate + min(0.0, tokens) / self.DEBT_S)
        return self._random.random() * max(rate, state.demand_per_s) < allowed

    def _passes_alone(self, local: _Local, rate_per_s: float, burst: float, now_ms: float) -> bool:
        largest = max(self.LEAST_FALLBACK, burst)
        if local.fallback < 0:
            local.fallback, local.fallback_at_ms = largest, now_ms
        passed_s = (now_ms - local.fallback_at_ms) / 1_000
        local.fallback = min(largest, local.fallback + rate_per_s * passed_s)
        local.fallback_at_ms = now_ms
        if local.fallback < 1:
            return False
        local.fallback -= 1
        return True

    def catch_up_ms(self, name: OrganisationId, rate_per_s: float) -> float:
        """Return how long the rate takes to make up for one second of the present excess.

        Args:
            name: The organisation.
            rate_per_s: Its rate over all nodes.
        """
        local = self._local.get(name)
        if local is None or local.state is None:
            return 0.0
        return max(0.0, local.state.demand_per_s / rate_per_s - 1) * 1_000

    def take_usage(self) -> dict[OrganisationId, Usage]:
        """Return what was done since the last call, for the counting node."""
        found = {}
        for name, local in self._local.items():
            if local.demanded:
                found[name] = Usage(local.admitted, local.demanded)
                local.admitted = local.demanded = 0
        return found

    def apply_states(self, states: Mapping[OrganisationId, RateState], now_ms: float) -> None:
        """Take the answer to a report; what was admitted before the report is part of it."""
        for name, state in states.items():
            local = self._local.setdefault(name, _Local(own_at_ms=now_ms))
            local.state, local.state_at_ms = state, now_ms
            local.unreported = local.admitted
