"""Log decisions about single requests with a rate limit."""

from typing import Any

from .clock import Clock
from .events import LINES_LEFT_OUT, Event
from .logs import log

# Maximum log lines per second; further decisions are only counted. Writing a line takes about
# 0.1 ms of CPU time, so this limits the cost to 0.2% of a core.
LINES_PER_S = 20


class DecisionLog:
    """Write one log line per decision, up to a maximum number of lines per second."""

    def __init__(self, clock: Clock, lines_per_s: int = LINES_PER_S):
        """Create a decision log.

        Args:
            clock: Clock that measures the seconds.
            lines_per_s: Maximum number of lines per second.
        """
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._current_second = -1
        self._written_lines = 0
        self._omitted_lines = 0

    def write(self, event: Event, **fields: Any) -> None:
        """Write an event, or count it as omitted if the limit of this second is reached."""
        second = int(self._clock.now_ms() // 1_000)
        if second != self._current_second:
            if self._omitted_lines:
                log(LINES_LEFT_OUT, left_out=self._omitted_lines)
            self._current_second, self._written_lines, self._omitted_lines = second, 0, 0
        if self._written_lines >= self._lines_per_s:
            self._omitted_lines += 1
            return
        self._written_lines += 1
        log(event, **fields)
