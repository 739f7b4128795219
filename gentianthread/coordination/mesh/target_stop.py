"""Decide which requests of peers the node beside a target still takes while it stops.

Load: runs that take seconds with their calls, and reach a node shortly before it ends.
"""

from ...protocol.messages_mesh import RunRequest
from ...state.completion_times import CompletionTimes

# Time before the end of a stopping node at which its last requests are answered.
END_MARGIN_MS = 50.0

# A stopping node takes a request of a peer only if this fraction of the recent runs of the same
# class would have ended by its end. It is refused otherwise, and another instance serves it. With a
# higher fraction a few long runs would withhold the target from its service for the whole stop.
RUN_QUANTILE = 0.5

# Why requests are refused by a node that stops.
REASON_LEAVING = "node is leaving"


class TargetStop:
    """Know when the node beside a target stops, and which runs can end before.

    Attributes:
        draining: Whether new requests of peers are refused, or soon will be.
        ended: Whether the node ends now.
        ends_at_ms: Time at which the node ends; infinity before it stops.
    """

    def __init__(self) -> None:
        """Create the state of a node that does not stop."""
        self.draining = self.ended = False
        self.ends_at_ms = float("inf")
        self._refuse_peers_from_ms = float("inf")
        self._run_times = CompletionTimes()

    def refuse_peers(self, from_ms: float) -> None:
        """Refuse new requests of peers from a time on.

        Args:
            from_ms: Clock time in ms.
        """
        self.draining, self._refuse_peers_from_ms = True, from_ms

    def refuses(self, request: RunRequest, now_ms: float) -> bool:
        """Return whether a new request is refused; those of the node itself never are."""
        return bool(request.call) and now_ms >= self._refuse_peers_from_ms

    def record_run(self, request: RunRequest, took_ms: float, now_ms: float) -> None:
        """Record how long a request took that the target has answered."""
        self._run_times.record(_class_of(request), took_ms, now_ms)

    def can_end(self, request: RunRequest, now_ms: float) -> bool:
        """Return whether a request of a peer is expected to be over before this node ends."""
        if self.ends_at_ms == float("inf") or not request.call:
            return True
        expected_ms = self._run_times.expected_ms(_class_of(request), RUN_QUANTILE, now_ms)
        if expected_ms is None:
            return True
        left_ms = self.ends_at_ms - END_MARGIN_MS - now_ms
        return min(expected_ms, request.remaining_ms) <= left_ms


def _class_of(request: RunRequest) -> tuple[bool, int]:
    """Return what tells the kinds of requests of one service apart."""
    return request.inner, request.priority
