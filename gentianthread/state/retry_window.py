"""Limit the retries at a service by the number of its requests in a sliding window."""

from collections import deque

# Length of one step of the window; a retry counts until its whole step has left the window.
STEP_MS = 500.0


class RetryWindow:
    """Allow retries up to a ratio of the recent requests plus a fixed slack.

    Each node has a window of its own. Over the fleet, retries stay below `ratio * requests + slack`
    if the slack is divided between the nodes.
    """

    def __init__(self, ratio: float, slack: float, window_ms: float):
        """Create an empty window.

        Args:
            ratio: Retries allowed per request.
            slack: Additional retries allowed in a window.
            window_ms: Length of the window.
        """
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self._steps: deque[list[float]] = deque()
        self._requests = 0.0
        self._retries = 0.0

    def record_request(self, now_ms: float) -> None:
        """Count a request."""
        self._current_step(now_ms)[1] += 1
        self._requests += 1

    def record_retry(self, now_ms: float) -> None:
        """Count a retry: any arrival of a request after the first one."""
        self._current_step(now_ms)[2] += 1
        self._retries += 1

    def allows(self, now_ms: float) -> bool:
        """Return whether one more retry is within the limit."""
        self._current_step(now_ms)
        return self._retries + 1 <= self.ratio * self._requests + self.slack

    def _current_step(self, now_ms: float) -> list[float]:
        while self._steps and self._steps[0][0] <= now_ms - self.window_ms - STEP_MS:
            _, requests, retries = self._steps.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._steps or now_ms - self._steps[-1][0] >= STEP_MS:
            self._steps.append([now_ms, 0.0, 0.0])
        return self._steps[-1]
