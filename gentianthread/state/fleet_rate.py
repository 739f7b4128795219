"""Limit the request rate of organisations over all nodes.

One node counts for the fleet. It has a token bucket for each organisation; the other nodes report
the requests that they admitted, and it answers with the tokens and the total demand. A node admits
requests while it estimates that tokens are left, and otherwise the fraction of the demand that the
rate allows.
"""

from collections import deque
from collections.abc import Callable, Mapping
from math import sqrt
from random import Random

import attrs

from ..ids import OrganisationId


@attrs.frozen
class Usage:
    """Count the requests of one organisation at one node since its last report.

    Attributes:
        admitted: Requests that were admitted.
        demanded: Requests that arrived.
    """

    admitted: int
    demanded: int


@attrs.frozen
class RateState:
    """Report the state of an organisation's token bucket.

    Attributes:
        tokens: Requests that may be admitted at once; negative after too many were admitted.
        demand_per_s: Requests that arrive at all nodes together.
    """

    tokens: float
    demand_per_s: float


# What an organisation may get in any window beyond its rate and burst: a fraction of what these
# allow, and a number of requests.
EXCESS_WINDOW_S = 5.0
EXCESS_FRACTION = 0.25
EXCESS_SLACK = 20.0


def allowed_excess(rate_per_s: float, burst: float) -> float:
    """Return how many requests beyond its rate and burst an organisation may get in a window."""
    return EXCESS_FRACTION * (rate_per_s * EXCESS_WINDOW_S + burst) + EXCESS_SLACK


# A bucket that holds more than this fraction of its burst is left out of the answers to reports, so
# that their size depends on the organisations near their rates and not on all of them.
LISTED_TOKENS_FRACTION = 0.5


@attrs.frozen
class RateAnswer:
    """Answer the report of a node.

    Attributes:
        rate_fraction: Fraction of the rates that the counting node grants; below 1 while it gets no
            reports from some of the nodes.
        states: Organisations near their rates. The buckets of all others hold more than
            `LISTED_TOKENS_FRACTION` of their burst.
    """

    rate_fraction: float
    states: Mapping[OrganisationId, RateState]


@attrs.define
class _Bucket:
    tokens: float
    refilled_at_ms: float
    demand_per_s: float = 0.0


class LimitChanges:
    """Delay a lowered limit until every node can have received it.

    A new plan reaches all nodes within 2 s. If one node applied a lower limit before the others, it
    would refuse requests because of those that they still admit, and the organisation would get
    less than either limit.
    """

    DECREASE_DELAY_MS = 1_500.0

    def __init__(self) -> None:
        self._newest: dict[OrganisationId, tuple[float, float]] = {}
        self._delayed: dict[OrganisationId, tuple[tuple[float, float], float]] = {}

    def limit(
        self, name: OrganisationId, limit: tuple[float, float], now_ms: float
    ) -> tuple[float, float]:
        """Return the rate per second and burst that apply now.

        Args:
            name: The organisation.
            limit: Its rate and burst in the newest plan; a rate of 0 is no limit.
            now_ms: Present time in ms.
        """
        previous = self._newest.get(name)
        if previous != limit:
            self._newest[name] = limit
            if previous is not None and 0 < limit[0] < previous[0]:
                self._delayed[name] = (previous, now_ms + self.DECREASE_DELAY_MS)
            else:
                self._delayed.pop(name, None)
        delayed = self._delayed.get(name)
        if delayed is None:
            return limit
        if now_ms < delayed[1]:
            return delayed[0]
        del self._delayed[name]
        return limit


class FleetCounter:
    """Count the requests of the whole fleet, on the one node that the others report to."""

    # A node without a report for this long counts as unreachable.
    REPORT_TIMEOUT_MS = 1_500.0
    DEMAND_AVERAGING_MS = 600.0
    # Unreachable nodes may admit their own share of the rate. This factor keeps the sum within the
    # 25% over the rate that an organisation may get.
    RATE_FRACTION_FACTOR = 1.15
    # Lower bound of the tokens, as a multiple of the larger one of rate per second and burst. What
    # was admitted beyond it would be forgotten within the window that limits the excess.
    MIN_TOKENS_FACTOR = -EXCESS_WINDOW_S

    def __init__(self, now_ms: float):
        """Create a counter without any demand."""
        self._buckets: dict[OrganisationId, _Bucket] = {}
        self._reported_at_ms: dict[str, float] = {}
        self._started_ms = now_ms

    def report(
        self,
        source: str,
        usage: Mapping[OrganisationId, Usage],
        limits: Mapping[OrganisationId, tuple[float, float]],
        nodes: int,
        now_ms: float,
    ) -> RateAnswer:
        """Count the usage of one node and return the states of organisations near their rates.

        Args:
            source: The node.
            usage: Requests since its last report.
            limits: Rate per second and burst of each organisation.
            nodes: Number of nodes in the fleet.
            now_ms: Present time in ms.
        """
        self._reported_at_ms[source] = now_ms
        rate_fraction = self._rate_fraction(nodes, now_ms)
        for name, node_usage in usage.items():
            if name in limits:
                self._count(name, node_usage, limits[name], rate_fraction, now_ms)
        states = {}
        for name, bucket in list(self._buckets.items()):
            if name not in limits:
                del self._buckets[name]
                continue
            self._refill(bucket, limits[name], rate_fraction, now_ms)
            if bucket.tokens <= LISTED_TOKENS_FRACTION * limits[name][1] * rate_fraction:
                states[name] = RateState(bucket.tokens, bucket.demand_per_s)
        return RateAnswer(rate_fraction, states)

    def forget_source(self, source: str) -> None:
        """Stop granting the part of the rates of a node that reports to another one."""
        self._reported_at_ms.pop(source, None)

    def merge_known_tokens(
        self,
        known_tokens: Mapping[OrganisationId, float],
        limits: Mapping[OrganisationId, tuple[float, float]],
        nodes: int,
        now_ms: float,
    ) -> None:
        """Take over what a node knows from the node that counted before this one.

        Args:
            known_tokens: Tokens of organisations near their rates.
            limits: Rate per second and burst of each organisation.
            nodes: Number of nodes in the fleet.
            now_ms: Present time in ms.
        """
        rate_fraction = self._rate_fraction(nodes, now_ms)
        for name, tokens in known_tokens.items():
            if name in limits:
                bucket = self._refilled_bucket(name, limits[name], rate_fraction, now_ms)
                least = self.MIN_TOKENS_FACTOR * max(limits[name])
                bucket.tokens = max(min(bucket.tokens, tokens), least)

    def _rate_fraction(self, nodes: int, now_ms: float) -> float:
        for source in [
            name
            for name, reported_at_ms in self._reported_at_ms.items()
            if now_ms - reported_at_ms > self.REPORT_TIMEOUT_MS
        ]:
            del self._reported_at_ms[source]
        return min(1.0, self.RATE_FRACTION_FACTOR * len(self._reported_at_ms) / max(1, nodes))

    def _count(
        self,
        name: OrganisationId,
        node_usage: Usage,
        limit: tuple[float, float],
        rate_fraction: float,
        now_ms: float,
    ) -> None:
        bucket = self._refilled_bucket(name, limit, rate_fraction, now_ms)
        bucket.tokens = max(
            bucket.tokens - node_usage.admitted, self.MIN_TOKENS_FACTOR * max(limit)
        )
        bucket.demand_per_s += node_usage.demanded * 1_000 / self.DEMAND_AVERAGING_MS

    def _refilled_bucket(
        self, name: OrganisationId, limit: tuple[float, float], rate_fraction: float, now_ms: float
    ) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(limit[1] * rate_fraction, now_ms)
        self._refill(bucket, limit, rate_fraction, now_ms)
        return bucket

    def _refill(
        self, bucket: _Bucket, limit: tuple[float, float], rate_fraction: float, now_ms: float
    ) -> None:
        elapsed_ms = max(0.0, now_ms - bucket.refilled_at_ms)
        rate_per_s, burst = limit
        bucket.tokens = min(
            burst * rate_fraction, bucket.tokens + rate_per_s * rate_fraction * elapsed_ms / 1_000
        )
        bucket.demand_per_s *= max(0.0, 1 - elapsed_ms / self.DEMAND_AVERAGING_MS)
        bucket.refilled_at_ms = now_ms


@attrs.define
class _Estimate:
    """Store the last reported state and the local counts of one organisation.

    Attributes:
        state: State in the last answer of the counting node, or None if it was not listed.
        admitted: Requests admitted since the last report.
        demanded: Requests that arrived since the last report.
        unanswered: Requests admitted since the last report that was answered.
        own_demand_per_s: Requests that arrive at this node.
        own_demand_at_ms: Time of that value.
        allowance: Random part of a request that the last answer allows in addition to this node's
            part of the excess, so that parts below one request add up over all nodes.
        counted_per_s: Requests that this node admitted in answered reports, a moving average.
        share_tokens: Tokens of this node's own share of the rate; None before the first use.
        share_refilled_at_ms: Time of that value.
    """

    state: RateState | None = None
    admitted: int = 0
    demanded: int = 0
    unanswered: int = 0
    own_demand_per_s: float = 0.0
    own_demand_at_ms: float = 0.0
    allowance: float = 0.0
    counted_per_s: float = 0.0
    share_tokens: float | None = None
    share_refilled_at_ms: float = 0.0


class NodeRates:
    """Decide on one node which requests of an organisation are within its rate.

    What the counting node does not know yet is bounded at every node by what it may admit on one
    answer, however late the next one comes: a part of the allowed excess, which is divided among
    the nodes, and what the node has admitted in answered reports, which the counting node expects.
    Beyond these a node admits its own share of the rate only.

    Attributes:
        on_answer_used_up: Called when a request would exceed what the last answer allows, so that
            the usage can be reported early.
    """

    # If the counting node's last answer is older, a node admits its own share of the rate only.
    STATE_MAX_AGE_MS = 1_200.0
    OWN_DEMAND_AVERAGING_MS = 1_000.0
    # Time over which negative tokens are compensated by admitting less than the rate.
    DEBT_RECOVERY_S = 2.0
    # While the demand exceeds the rate, a request that misses its objective is admitted only if the
    # bucket has the tokens of this time in reserve, so that requests that can still meet theirs
    # come first.
    MISSED_OBJECTIVE_RESERVE_S = 0.5
    # Fraction of the allowed excess that all nodes together may admit on one answer.
    ANSWER_EXCESS_FRACTION = 0.5
    # Fraction of its share of the burst that a node without an answer admits at once.
    INITIAL_BURST_FRACTION = 0.2
    # Time over which the requests in answered reports are averaged.
    COUNTED_AVERAGING_MS = 500.0
    # Multiple of that rate which the next answer allows, so that it can grow.
    COUNTED_FACTOR = 1.5
    # Where an organisation has its callers at few nodes, the number of its requests there varies by
    # more than one. A node that admits as many may exceed the mean of a short time by two standard
    # deviations; nodes that share the requests evenly admit less.
    BUSY_PER_S = 10.0
    BUSY_WINDOW_S = 0.1
    BUSY_DEVIATIONS = 2.0
    # Shortest interval between two answers over which requests are averaged.
    MIN_ANSWER_INTERVAL_MS = 50.0
    # While the answer is not older, it allows one request at least: at small rates the part of one
    # node is far less than a request.
    FRESH_ANSWER_MS = 500.0

    def __init__(self, random: Random):
        """Create an empty table of rates.

        Args:
            random: Source of the random choice of the requests that pass at the limit.
        """
        self.on_answer_used_up: Callable[[], None] = lambda: None
        self._random = random
        self._estimates: dict[OrganisationId, _Estimate] = {}
        self._answered_at_ms = float("-inf")
        self._rate_fraction = 1.0
        # Usage in the reports that the counting node has not answered, oldest first.
        self._unanswered_reports: deque[dict[OrganisationId, Usage]] = deque()

    def take(
        self,
        name: OrganisationId,
        rate_per_s: float,
        burst: float,
        nodes: int,
        now_ms: float,
        *,
        objective_missed: bool = False,
    ) -> bool:
        """Count a request and return whether it is within the rate.

        Args:
            name: The organisation.
            rate_per_s: Its rate over all nodes.
            burst: Largest number of tokens over all nodes.
            nodes: Number of nodes in the fleet.
            now_ms: Present time in ms.
            objective_missed: Whether it can no longer meet its latency objective.
        """
        estimate = self._estimate(name, now_ms)
        estimate.demanded += 1
        self._record_own_demand(estimate, now_ms)
        if now_ms - self._answered_at_ms <= self.STATE_MAX_AGE_MS:
            state = estimate.state or RateState(
                LISTED_TOKENS_FRACTION * burst * self._rate_fraction,
                rate_per_s * self._rate_fraction,
            )
            passes = self._passes_shared_rate(
                estimate, state, rate_per_s, now_ms, objective_missed=objective_missed
            )
            if passes and not self._is_allowed_on_answer(
                estimate, state, rate_per_s, burst, nodes, now_ms
            ):
                self.on_answer_used_up()
                passes = self._passes_own_share(estimate, rate_per_s, burst, nodes, now_ms)
        else:
            passes = self._passes_own_share(estimate, rate_per_s, burst, nodes, now_ms)
        if passes:
            estimate.admitted += 1
            estimate.unanswered += 1
        return passes

    def record_second_run(self, name: OrganisationId) -> None:
        """Count a further attempt of an admitted request, which may run again."""
        estimate = self._estimates.get(name)
        if estimate is not None:
            estimate.admitted += 1
            estimate.unanswered += 1

    def _estimate(self, name: OrganisationId, now_ms: float) -> _Estimate:
        estimate = self._estimates.get(name)
        if estimate is None:
            estimate = self._estimates[name] = _Estimate(
                own_demand_at_ms=now_ms,
                allowance=self._random.random(),
                share_refilled_at_ms=now_ms,
            )
        return estimate

    def _record_own_demand(self, estimate: _Estimate, now_ms: float) -> None:
        elapsed_ms = now_ms - estimate.own_demand_at_ms
        estimate.own_demand_per_s *= max(0.0, 1 - elapsed_ms / self.OWN_DEMAND_AVERAGING_MS)
        estimate.own_demand_per_s += 1_000 / self.OWN_DEMAND_AVERAGING_MS
        estimate.own_demand_at_ms = now_ms

    def _passes_shared_rate(
        self,
        estimate: _Estimate,
        state: RateState,
        rate_per_s: float,
        now_ms: float,
        *,
        objective_missed: bool,
    ) -> bool:
        elapsed_s = (now_ms - self._answered_at_ms) / 1_000
        # The other nodes admit requests as well; their demand is subtracted until the next state.
        others_per_s = max(0.0, state.demand_per_s - estimate.own_demand_per_s)
        rate = rate_per_s * self._rate_fraction
        tokens = state.tokens + (rate - others_per_s) * elapsed_s - estimate.unanswered
        if objective_missed and state.demand_per_s > rate:
            return tokens >= 1 + rate * self.MISSED_OBJECTIVE_RESERVE_S
        if tokens >= 1:
            return True
        admitted_per_s = max(0.0, rate + min(0.0, tokens) / self.DEBT_RECOVERY_S)
        return self._random.random() * max(rate, state.demand_per_s) < admitted_per_s

    def _is_allowed_on_answer(
        self,
        estimate: _Estimate,
        state: RateState,
        rate_per_s: float,
        burst: float,
        nodes: int,
        now_ms: float,
    ) -> bool:
        """Return whether the last answer allows another request, whatever the other nodes do."""
        excess = self.ANSWER_EXCESS_FRACTION * allowed_excess(rate_per_s, burst)
        allowed = estimate.allowance + (excess + max(0.0, state.tokens)) / nodes
        age_ms = now_ms - self._answered_at_ms
        allowed += self.COUNTED_FACTOR * estimate.counted_per_s * age_ms / 1_000
        if estimate.counted_per_s > self.BUSY_PER_S:
            allowed += self.BUSY_DEVIATIONS * sqrt(estimate.counted_per_s * self.BUSY_WINDOW_S)
        if age_ms <= self.FRESH_ANSWER_MS:
            allowed = max(1.0, allowed)
        return estimate.unanswered + 1 <= allowed

    def _passes_own_share(
        self, estimate: _Estimate, rate_per_s: float, burst: float, nodes: int, now_ms: float
    ) -> bool:
        """Return whether a request is within this node's own share of the rate.

        The tokens start at one request and only a part of the burst, as nodes may be restarted
        again and again.
        """
        cap = max(1.0, burst / nodes)
        if estimate.share_tokens is None:
            burst_tokens = self.INITIAL_BURST_FRACTION * burst / nodes
            estimate.share_tokens = burst_tokens + 1.0
        elapsed_s = (now_ms - estimate.share_refilled_at_ms) / 1_000
        estimate.share_tokens = min(cap, estimate.share_tokens + rate_per_s / nodes * elapsed_s)
        estimate.share_refilled_at_ms = now_ms
        if estimate.share_tokens < 1:
            return False
        estimate.share_tokens -= 1
        return True

    def catch_up_ms(self, name: OrganisationId, rate_per_s: float) -> float:
        """Return how long the rate takes to serve the excess demand of one second.

        Args:
            name: The organisation.
            rate_per_s: Its rate over all nodes.
        """
        estimate = self._estimates.get(name)
        if estimate is None or estimate.state is None:
            return 0.0
        return max(0.0, estimate.state.demand_per_s / rate_per_s - 1) * 1_000

    def take_usage(self) -> dict[OrganisationId, Usage]:
        """Return the usage since the last call, to be reported to the counting node."""
        usage_by_organisation = {}
        for name, estimate in self._estimates.items():
            if estimate.demanded or estimate.admitted:
                usage_by_organisation[name] = Usage(estimate.admitted, estimate.demanded)
                estimate.admitted = estimate.demanded = 0
        self._unanswered_reports.append(usage_by_organisation)
        return usage_by_organisation

    def put_back_unanswered(self) -> None:
        """Count the usage of all unanswered reports again, so that the next report includes it."""
        for usage in self._unanswered_reports:
            for name, used in usage.items():
                estimate = self._estimates[name]
                estimate.admitted += used.admitted
                estimate.demanded += used.demanded
        self._unanswered_reports.clear()

    def forget_unanswered(self) -> None:
        """Assume that the counting node has received all reports that it has not answered."""
        while self._unanswered_reports:
            self._settle(self._unanswered_reports.popleft())

    def known_tokens(
        self, limits: Mapping[OrganisationId, tuple[float, float]], now_ms: float
    ) -> dict[OrganisationId, float]:
        """Return the tokens of organisations near their rates, for a node that begins to count.

        Args:
            limits: Rate per second and burst of each organisation.
            now_ms: Present time in ms.
        """
        elapsed_s = (now_ms - self._answered_at_ms) / 1_000
        return {
            name: min(limits[name][1], estimate.state.tokens + limits[name][0] * elapsed_s)
            for name, estimate in self._estimates.items()
            if estimate.state is not None and name in limits
        }

    def apply_answer(self, answer: RateAnswer, now_ms: float) -> None:
        """Store the answer to the oldest unanswered report."""
        interval_ms = max(self.MIN_ANSWER_INTERVAL_MS, now_ms - self._answered_at_ms)
        self._answered_at_ms, self._rate_fraction = now_ms, answer.rate_fraction
        usage = self._unanswered_reports.popleft() if self._unanswered_reports else {}
        self._settle(usage)
        for name in answer.states:
            self._estimate(name, now_ms)
        weight = min(1.0, interval_ms / self.COUNTED_AVERAGING_MS)
        for name, estimate in self._estimates.items():
            counted = usage[name].admitted if name in usage else 0
            counted_per_s = counted * 1_000 / interval_ms
            estimate.counted_per_s += weight * (counted_per_s - estimate.counted_per_s)
            estimate.state = answer.states.get(name)
            estimate.allowance = self._random.random()

    def _settle(self, usage: dict[OrganisationId, Usage]) -> None:
        for name, used in usage.items():
            self._estimates[name].unanswered -= used.admitted
