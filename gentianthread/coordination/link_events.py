"""Define what is observed of links, and pace the attempts to open them."""

import random
from enum import Enum

import attrs

from ..ids import StartNumber, UpstreamId

# Pause after the first failed attempt to open a link, and the longest one. Each pause doubles and
# is drawn from its upper half, so that a restarted node does not meet all its peers at once.
BACKOFF_MS = 50
BACKOFF_LIMIT_MS = 2_000


class LinkState(Enum):
    """Tell what was observed of a peer."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@attrs.frozen
class LinkEvent:
    """Report a change of the connection to a peer.

    `UP`: the first link opened. `DOWN`: the last link closed. `SILENT`: the last link closed
    because nothing arrived on it. `UNREACHABLE`: a link that is to be kept could not be opened.

    Attributes:
        upstream_id: The upstream of the peer.
        state: What was observed.
        start_number: Of the peer's process, where known.
        problem: Why the link is not up, or None.
    """

    upstream_id: UpstreamId
    state: LinkState
    start_number: StartNumber | None
    problem: str | None


class Backoff:
    """Pace the attempts to open links to one peer."""

    def __init__(self, source: random.Random):
        """Start without a pause.

        Args:
            source: Draws the jitter.
        """
        self._source = source
        self._pause_ms = 0.0
        self._until_s = 0.0

    def remaining_ms(self, now_s: float) -> float:
        """Return how long to wait until the next attempt."""
        return max(0.0, (self._until_s - now_s) * 1000)

    def failed(self, now_s: float) -> None:
        """Note a failed attempt."""
        self._pause_ms = min(BACKOFF_LIMIT_MS, max(BACKOFF_MS, self._pause_ms * 2))
        self._until_s = now_s + self._pause_ms * self._source.uniform(0.5, 1.0) / 1000

    def reset(self) -> None:
        """Note success."""
        self._pause_ms, self._until_s = 0.0, 0.0
