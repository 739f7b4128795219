"""Define the events of links and the backoff between attempts to open them."""

import random
from enum import Enum

import attrs

from ..ids import StartNumber, UpstreamId

# Initial and maximum delay after a failed attempt to open a link. The delay doubles with each
# failure and is drawn from its upper half, so that the peers of a restarted node do not all dial it
# at once.
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000


class LinkState(Enum):
    """Define the observed states of the connection to a peer."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@attrs.frozen
class LinkEvent:
    """Report a change of the connection to a peer.

    `UP`: the first link opened. `DOWN`: the last link closed. `SILENT`: the last link closed
    because nothing arrived on it. `UNREACHABLE`: a link to a peer that this node keeps links to
    could not be opened.

    Attributes:
        upstream_id: The upstream of the peer.
        state: The observed state.
        start_number: Start number of the peer's process, or None if it is unknown.
        problem: Reason why no link is open, or None.
    """

    upstream_id: UpstreamId
    state: LinkState
    start_number: StartNumber | None
    problem: str | None


class Backoff:
    """Compute the delays between attempts to open links to one peer."""

    def __init__(self, rng: random.Random):
        """Create a backoff without a delay.

        Args:
            rng: Generator of the jitter.
        """
        self._rng = rng
        self._delay_ms = 0.0
        self._retry_at_s = 0.0

    def remaining_ms(self, now_s: float) -> float:
        """Return the time until the next attempt may start."""
        return max(0.0, (self._retry_at_s - now_s) * 1000)

    def record_failure(self, now_s: float) -> None:
        """Double the delay, up to the maximum, and start it at `now_s`."""
        self._delay_ms = min(MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, self._delay_ms * 2))
        self._retry_at_s = now_s + self._delay_ms * self._rng.uniform(0.5, 1.0) / 1000

    def reset(self) -> None:
        """Clear the delay after a success."""
        self._delay_ms, self._retry_at_s = 0.0, 0.0
