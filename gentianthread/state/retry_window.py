"""Limit the repeats at a service by the number of its requests in a sliding window.

Load: targets that reject or lose a part of their requests for a long time, at any depth of the call
graph. All repeats at a service count together: second arrivals of a request, and all calls of runs
that were repeats themselves (inherited repeats), which can no longer be prevented when they arrive.

Let the fraction at a service be its repeats divided by its requests. The fraction that a service
inherits is about the whole fraction of the service that calls it. A service that makes calls may
add `OWN_SHARE` of the ratio by itself, so that n services above another one cause an inherited
fraction of about n times `OWN_SHARE` there. What is left of `FULL_SHARE` is for the repeats of
services that make no calls: they cause no others, and each of them completes a run that has cost
most.
"""

from collections import deque

import attrs

# Length of one step of the window; a retry counts until its whole step has left the window.
STEP_MS = 500.0

# Part of the ratio that all repeats at a service may use, inherited ones included. The rest is a
# margin: the windows of nodes are up to one step longer than the stated one, calls follow the
# request that caused them by up to their timeout, and a node that restarts forgets its window.
FULL_SHARE = 0.95

# Part of the ratio that the own repeats of a service may use, however many are inherited. It is a
# little less than a quarter of the ratio, as call graphs are up to four services deep, and as runs
# that are lost make fewer calls than the repeats that follow them.
OWN_SHARE = 0.215

# Part of the slack that all nodes together use. One repeat within the slack of a service can cause
# four or more inherited ones at a service behind it, for which that service has no requests.
SLACK_SHARE = 0.25


@attrs.frozen
class FleetBudget:
    """Store the repeats that all nodes together may cause at a service.

    Attributes:
        ratio: Repeats per request.
        slack: Additional repeats in a window.
        window_ms: Length of the window.
        node_count: Number of nodes.
    """

    ratio: float
    slack: float
    window_ms: float
    node_count: int


class RetryWindow:
    """Allow repeats at one service up to a ratio of the recent requests plus a fixed slack.

    Each node has a window of its own. Over the fleet, repeats stay below `ratio * requests + slack`
    if the slack is divided between the nodes.

    Attributes:
        ratio: Repeats allowed per request, inherited ones included.
        own_ratio: Own repeats allowed per request, however many are inherited.
        slack: Additional repeats allowed in a window.
        window_ms: Length of the window.
        refused: Repeats that were not allowed, since the node has started.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float):
        """Create an empty window.

        Args:
            ratio: Repeats allowed per request.
            slack: Additional repeats allowed in a window.
            window_ms: Length of the window.
        """
        self.ratio = self.own_ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.refused = 0
        # Start of the step, requests, retries and inherited repeats.
        self._steps: deque[list[float]] = deque()
        self._requests = 0.0
        self._retries = 0.0
        self._inherited = 0.0

    def configure(self, budget: FleetBudget) -> None:
        """Set the part of the budget of all nodes that this one may use."""
        self.ratio = budget.ratio * FULL_SHARE
        self.own_ratio = budget.ratio * OWN_SHARE
        self.slack = budget.slack * SLACK_SHARE / max(1, budget.node_count)
        self.window_ms = budget.window_ms

    def record_request(self, now_ms: float) -> None:
        """Count a request that is no inherited repeat."""
        self._current_step(now_ms)[1] += 1
        self._requests += 1

    def record_retry(self, now_ms: float) -> None:
        """Count a retry: any arrival of a request after the first one."""
        self._current_step(now_ms)[2] += 1
        self._retries += 1

    def record_inherited(self, now_ms: float) -> None:
        """Count a call of a run that may be a repeat."""
        self._current_step(now_ms)[3] += 1
        self._inherited += 1

    def allows(self, now_ms: float, leaf_depth: int | None = None) -> bool:
        """Return whether one more repeat is within the limit.

        More calls are counted as inherited than are, as a node does not know which run made a call.
        What is inherited from the services above, at their own ratios, is therefore left at least.

        Args:
            now_ms: Present time in ms.
            leaf_depth: Number of services above this one if it makes no calls; else None.
        """
        self._current_step(now_ms)
        used, calls = self._retries + 1, self._requests + self._inherited
        if leaf_depth is None:
            return used <= self.own_ratio * calls + self.slack
        left_ratio = self.ratio - leaf_depth * self.own_ratio
        if used <= max(self.own_ratio, left_ratio) * calls + self.slack:
            return True
        return used + self._inherited <= self.ratio * self._requests + self.slack

    def counts(self, now_ms: float) -> tuple[int, int, int]:
        """Return the requests, the retries and the inherited repeats in the window."""
        self._current_step(now_ms)
        return int(self._requests), int(self._retries), int(self._inherited)

    def _current_step(self, now_ms: float) -> list[float]:
        while self._steps and self._steps[0][0] <= now_ms - self.window_ms - STEP_MS:
            _, requests, retries, inherited = self._steps.popleft()
            self._requests -= requests
            self._retries -= retries
            self._inherited -= inherited
        if not self._steps or now_ms - self._steps[-1][0] >= STEP_MS:
            self._steps.append([now_ms, 0.0, 0.0, 0.0])
        return self._steps[-1]
