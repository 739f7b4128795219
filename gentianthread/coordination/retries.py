"""Decide whether a failed attempt is repeated."""

import random
from enum import Enum

import attrs

from ..clock import Clock
from ..ids import RefusalReason, ServiceId
from ..protocol.messages_requests import RefusalHead, ResponseHead
from ..state.allowance import Allowance, RetryBudget
from ..state.plan import Plan
from ..state.work import WorkItem

FAILURE_STATUS = 500

# First retry after up to this time, doubled for each further one; full jitter keeps callers that
# failed together from returning together.
BACKOFF_MS = 10.0
BACKOFF_LIMIT_MS = 200.0

# A retry needs at least this much time before the deadline to be of use.
USEFUL_REMAINING_MS = 5.0

# These refusals say that a node takes no work at all or was not reached. Choosing another upstream
# then adds no load, so it takes nothing from the allowance and the budget; every upstream is tried
# at most once.
_FREE_REASONS = frozenset(
    (RefusalReason.LEAVING, RefusalReason.NOT_READY, RefusalReason.NO_UPSTREAM)
)


class Verdict(Enum):
    """Classify how an attempt ended.

    Attributes:
        FINAL: Goes to the caller as it is.
        NOT_RUN: No byte can have reached a target.
        NOT_OFFERED: As `NOT_RUN`, and the attempt put no load on a target's node.
        FAILED: It ran or may have run, and the failure arose directly below this hop.
    """

    FINAL = "final"
    NOT_RUN = "not run"
    NOT_OFFERED = "not offered"
    FAILED = "failed"


def judge(head: ResponseHead | RefusalHead) -> Verdict:
    """Return the verdict on the head of an answer."""
    if isinstance(head, ResponseHead):
        failed = head.status >= FAILURE_STATUS and not head.inner_failed
        return Verdict.FAILED if failed else Verdict.FINAL
    if head.reason in (
        RefusalReason.IN_PROGRESS,
        RefusalReason.ALREADY_RUN,
        RefusalReason.DEADLINE_EXCEEDED,
    ):
        return Verdict.FINAL
    if not head.not_run:
        return Verdict.FAILED
    return Verdict.NOT_OFFERED if head.reason in _FREE_REASONS else Verdict.NOT_RUN


@attrs.define(eq=False)
class RetryState:
    """Count the attempts of one request.

    Attributes:
        allowance: Bounds the extra attempts.
        attempts: Attempts that were made.
        retries: Retries that took from the allowance.
    """

    allowance: Allowance
    attempts: int = 0
    retries: int = 0


class RetryPolicy:
    """Apply the retry rules; one budget for each service."""

    def __init__(self, clock: Clock, rng: random.Random | None = None):
        """Create empty budgets.

        Args:
            clock: Clock of deadlines.
            rng: Source of jitter.
        """
        self._clock = clock
        self._random = rng or random.Random()
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def record_first_attempt(self, plan: Plan, service_id: ServiceId) -> None:
        """Credit the budget of a service."""
        self.budget(plan, service_id).record_first_attempt()

    def allows(
        self,
        plan: Plan,
        item: WorkItem,
        state: RetryState,
        verdict: Verdict,
        *,
        replayable: bool,
    ) -> bool:
        """Tell whether another attempt may be made, and take it from allowance and budget.

        Args:
            plan: The plan of the request.
            item: The request.
            state: Its attempts so far.
            verdict: How the last attempt ended.
            replayable: Whether the request body can be sent again.
        """
        if verdict is Verdict.FINAL or not replayable:
            return False
        if verdict is Verdict.FAILED and not item.idempotent:
            return False
        if item.deadline_at_ms - self._clock.now_ms() < USEFUL_REMAINING_MS:
            return False
        if verdict is Verdict.NOT_OFFERED:
            return True
        if state.allowance.remaining <= 0 or not self.budget(plan, item.service_id).take():
            return False
        state.allowance.spend()
        state.retries += 1
        return True

    def backoff_ms(self, item: WorkItem, state: RetryState, verdict: Verdict) -> float:
        """Return how long to wait before the next attempt, never past the deadline."""
        if verdict is Verdict.NOT_OFFERED:
            return 0.0
        limit_ms = min(BACKOFF_LIMIT_MS, BACKOFF_MS * 2 ** max(0, state.retries - 1))
        remaining_ms = item.deadline_at_ms - self._clock.now_ms()
        return min(self._random.random() * limit_ms, remaining_ms / 2)

    def budget(self, plan: Plan, service_id: ServiceId) -> RetryBudget:
        """Return the budget of a service, with the ratio of a plan."""
        budget = self._budgets.get(service_id)
        ratio = plan.profile_of(service_id).retry_ratio
        if budget is None:
            budget = self._budgets[service_id] = RetryBudget(ratio)
        budget.ratio = ratio
        return budget

    def balances(self) -> dict[str, float]:
        """Return the balance of each service, for the state dump."""
        return {name: budget.balance for name, budget in self._budgets.items()}
