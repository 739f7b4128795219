"""Decide whether a failed attempt is retried, within a budget for each service."""

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

# The longest delay before the first retry; it doubles with each further retry. Full jitter spreads
# the retries of callers that failed at the same time.
INITIAL_BACKOFF_MS = 10.0
MAX_BACKOFF_MS = 200.0

# With less time than this before the deadline another attempt is of no use.
MIN_REMAINING_MS = 5.0

# The node accepts no requests at all or was not reached. Trying another upstream then adds no load
# and uses neither allowance nor budget; each upstream is tried at most once.
_NOT_OFFERED_REASONS = frozenset(
    (RefusalReason.LEAVING, RefusalReason.NOT_READY, RefusalReason.NO_UPSTREAM)
)


class AnswerClass(Enum):
    """Classify answers for the retry decision.

    Attributes:
        FINAL: The answer is relayed to the caller without a retry.
        NOT_RUN: No byte of the request can have reached a target.
        NOT_OFFERED: As `NOT_RUN`, and the attempt put no load on the target's node.
        FAILED: The request ran or may have run, and it failed at the next hop, not further down.
    """

    FINAL = "final"
    NOT_RUN = "not run"
    NOT_OFFERED = "not offered"
    FAILED = "failed"


def classify_answer(head: ResponseHead | RefusalHead) -> AnswerClass:
    """Return the class of an answer by its head."""
    if isinstance(head, ResponseHead):
        failed = head.status >= FAILURE_STATUS and not head.inner_failed
        return AnswerClass.FAILED if failed else AnswerClass.FINAL
    if head.reason in (
        RefusalReason.IN_PROGRESS,
        RefusalReason.ALREADY_RUN,
        RefusalReason.DEADLINE_EXCEEDED,
    ):
        return AnswerClass.FINAL
    if not head.not_run:
        return AnswerClass.FAILED
    return AnswerClass.NOT_OFFERED if head.reason in _NOT_OFFERED_REASONS else AnswerClass.NOT_RUN


@attrs.define(eq=False)
class RetryState:
    """Count the attempts of one request.

    Attributes:
        allowance: Limit of the extra attempts.
        attempts: Attempts made so far.
        retries: Retries that used the allowance.
    """

    allowance: Allowance
    attempts: int = 0
    retries: int = 0


class RetryPolicy:
    """Decide on retries, with one retry budget for each service."""

    def __init__(self, clock: Clock, rng: random.Random | None = None):
        """Create the policy.

        Args:
            clock: Clock for deadlines.
            rng: Random source for jitter.
        """
        self._clock = clock
        self._random = rng or random.Random()
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def record_first_attempt(self, plan: Plan, service_id: ServiceId) -> None:
        """Credit the budget of a service with a first attempt."""
        self.budget(plan, service_id).record_first_attempt()

    def try_acquire(
        self,
        plan: Plan,
        item: WorkItem,
        state: RetryState,
        answer_class: AnswerClass,
        *,
        replayable: bool,
    ) -> bool:
        """Return whether another attempt may be made, and charge it to allowance and budget.

        Args:
            plan: The plan of the request.
            item: The request.
            state: Attempts of the request so far.
            answer_class: Class of the last answer.
            replayable: Whether the request body can be sent again.
        """
        if answer_class is AnswerClass.FINAL or not replayable:
            return False
        if answer_class is AnswerClass.FAILED and not item.idempotent:
            return False
        if item.deadline_at_ms - self._clock.now_ms() < MIN_REMAINING_MS:
            return False
        if answer_class is AnswerClass.NOT_OFFERED:
            return True
        if state.allowance.remaining <= 0 or not self.budget(plan, item.service_id).take():
            return False
        state.allowance.spend()
        state.retries += 1
        return True

    def backoff_ms(self, item: WorkItem, state: RetryState, answer_class: AnswerClass) -> float:
        """Return the delay before the next attempt, at most half of the remaining time."""
        if answer_class is AnswerClass.NOT_OFFERED:
            return 0.0
        max_delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** max(0, state.retries - 1))
        remaining_ms = item.deadline_at_ms - self._clock.now_ms()
        return min(self._random.random() * max_delay_ms, remaining_ms / 2)

    def budget(self, plan: Plan, service_id: ServiceId) -> RetryBudget:
        """Return the budget of a service, updated to the retry ratio of a plan."""
        budget = self._budgets.get(service_id)
        ratio = plan.profile_of(service_id).retry_ratio
        if budget is None:
            budget = self._budgets[service_id] = RetryBudget(ratio)
        budget.ratio = ratio
        return budget

    def balances(self) -> dict[str, float]:
        """Return the budget balance of each service, for the state dump."""
        return {name: budget.balance for name, budget in self._budgets.items()}
