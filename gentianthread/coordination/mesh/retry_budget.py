"""Decide which requests may be sent again, within the retry budgets of their services."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...events import RETRIES_OVER_BUDGET
from ...ids import ServiceId
from ...logs import log
from ...metrics import Metrics
from ...protocol.messages_mesh import RunAnswer, RunOutcome
from ...state.retry_window import FleetBudget, RetryWindow
from ...state.target_runs import REASON_CALL_REFUSED, LeafServices, TargetRuns

if TYPE_CHECKING:
    from .pending_request import PendingRequest

# Time between two log lines about the budget of one service.
LOG_PERIOD_MS = 10_000.0


class RetryBudget:
    """Store the retry windows of a node, and find out which repeats count at which service.

    Attributes:
        leaf_services: Services that make no calls.
        windows: Retry windows by service.
    """

    def __init__(
        self,
        fleet_budget: Callable[[], FleetBudget],
        runs: TargetRuns,
        metrics: Metrics,
    ):
        """Create a node without any requests.

        Args:
            fleet_budget: Returns the budget of all nodes together.
            runs: Runs on the target of this node.
            metrics: Counts repeats.
        """
        self.fleet_budget = fleet_budget
        self.runs = runs
        self.metrics = metrics
        self.leaf_services = LeafServices()
        self.windows: dict[ServiceId, RetryWindow] = {}
        self._log_from_ms: dict[ServiceId, float] = {}

    def begin(self, pending: "PendingRequest", now_ms: float) -> RetryWindow:
        """Count a new request and return the window of its service."""
        if pending.inner:
            self.runs.record_call(pending.service_id)
            pending.depth = self.runs.depth + 1
            pending.inherited = self.runs.repeated_under_way(now_ms)
        window = self.windows.get(pending.service_id)
        if window is None:
            window = self.windows[pending.service_id] = RetryWindow(0.0, 0.0, 0.0)
        window.configure(self.fleet_budget())
        if pending.inherited:
            window.record_inherited(now_ms)
            self.metrics.count("forwarder.inherited_repeats")
        else:
            window.record_request(now_ms)
        return window

    def allows(self, pending: "PendingRequest", window: RetryWindow, now_ms: float) -> bool:
        """Return whether the budget has room for one more attempt of a request."""
        return window.allows(now_ms, self._leaf_depth(pending))

    def take(self, pending: "PendingRequest", window: RetryWindow, now_ms: float) -> bool:
        """Return whether a failed request may be sent again, and count it if it may not."""
        if self.allows(pending, window, now_ms):
            return True
        window.refused += 1
        self.metrics.count("forwarder.repeats_over_budget")
        if now_ms >= self._log_from_ms.get(pending.service_id, 0.0):
            self._log_from_ms[pending.service_id] = now_ms + LOG_PERIOD_MS
            requests, repeats, inherited = window.counts(now_ms)
            log(
                RETRIES_OVER_BUDGET,
                service_id=pending.service_id,
                requests=requests,
                repeats=repeats,
                inherited=inherited,
                refused=window.refused,
            )
        return False

    def _leaf_depth(self, pending: "PendingRequest") -> int | None:
        """Return how many services are above that of a request, or None if it makes calls itself.

        At a node whose target calls the service too, root requests leave the ratio to these calls:
        each of them belongs to a run that is lost if it fails.
        """
        if not self.leaf_services.is_leaf(pending.service_id):
            return None
        if not pending.inner and pending.service_id in self.runs.called_services:
            return None
        return pending.depth

    def record_end(self, pending: "PendingRequest", answer: RunAnswer, now_ms: float) -> None:
        """Record the outcome of the last attempt of a request that failed."""
        not_run = answer.outcome in (RunOutcome.NOT_SENT, RunOutcome.REJECTED)
        if pending.inner and (not_run or lacks_a_call(answer)):
            self.runs.record_refused_call(now_ms)

    def describe(self, now_ms: float) -> dict[str, dict[str, object]]:
        """Return the windows for the dump."""
        described: dict[str, dict[str, object]] = {}
        for service_id, window in sorted(self.windows.items()):
            requests, retries, inherited = window.counts(now_ms)
            described[service_id] = {
                "requests": requests,
                "repeats": retries,
                "inherited": inherited,
                "refused": window.refused,
                "makes_calls": not self.leaf_services.is_leaf(service_id),
            }
        return described


def lacks_a_call(answer: RunAnswer) -> bool:
    """Return whether a target answered with an error after one of its calls had been refused.

    A second run would need the same calls, and each of them would count as a repeat; the node
    beside the target has spent what the budget allows on the call itself.
    """
    return answer.outcome is RunOutcome.ANSWERED and answer.reason == REASON_CALL_REFUSED
