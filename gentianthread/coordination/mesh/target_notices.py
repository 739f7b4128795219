"""Read from the answers of a target whether it limits its rate, leaves or is another process."""

from collections import deque
from collections.abc import Callable

import attrs

from ...clock import Clock, wall_clock_ms
from ...decisions import DecisionLog
from ...events import TARGET_LEAVING, TARGET_LIMIT_CHANGED, TARGET_LIMIT_LIFTED
from ...ids import ServiceId, UpstreamId
from ...logs import log
from ...metrics import Metrics
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunRequest
from ...state.directory import Directory, UpstreamEntry
from ...state.stated_limit import StatedLimit, parse_limit

# Number of starts at the address that are remembered, for answers to requests sent before the last.
MAX_STARTS = 8

# Time after which a start is asked again that another process answered for. The answer may have
# been damaged, and the entry of a start that has ended is removed soon.
MISDIRECTED_RETRY_MS = 3_000.0

# Maximum log lines per second about changes of the limit, which each answer may change.
LIMIT_LINES_PER_S = 2


@attrs.frozen
class TargetStart:
    """Identify one start of an upstream at the address of the target.

    Attributes:
        upstream_id: The upstream.
        started_at_ms: Wall clock of its start, as in its entry.
        listed_ms: Time at which this node learned of it.
    """

    upstream_id: UpstreamId
    started_at_ms: int
    listed_ms: float


class TargetNotices:
    """Keep the limit of the target up to date, and mark it in the directory when it leaves.

    Attributes:
        limit: Limit of the request rate that the target names.
        leaving: The start that last said that it leaves, until another one is listed.
        informed: Whether an answer has told whether the target limits its rate.
        on_limit_change: Called after the limit has changed, with whether it was lifted, and after
            the first answer.
    """

    def __init__(
        self,
        address: tuple[str, int],
        directory: Directory,
        dialect: HttpDialect,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create the notices of a target that has not answered yet.

        Args:
            address: IP address and port of the target.
            directory: Upstreams that the platform lists.
            dialect: Names of header fields.
            clock: Clock of the limit.
            metrics: Counts limits that cannot be read.
        """
        self.limit = StatedLimit(clock.now_ms())
        self.leaving: TargetStart | None = None
        self.informed = False
        self.on_limit_change: Callable[[bool], None] = lambda lifted: None
        self._address = address
        self._directory = directory
        self._starts: deque[TargetStart] = deque(maxlen=MAX_STARTS)
        # Starts in whose place another process answered, with the time until which they are not
        # asked again.
        self._misdirected_until_ms: dict[TargetStart, float] = {}
        # Upstream that last said that it leaves, and time at which it got that request, by the wall
        # clock of that moment and by the clock of this node.
        self._last_notice: tuple[UpstreamId | None, float, float] = (None, 0.0, 0.0)
        self._limit_field = dialect.rate_limit.lower()
        self._leaving_field = dialect.leaving.lower()
        self._clock = clock
        self._limit_log = DecisionLog(clock, LIMIT_LINES_PER_S)
        self._metrics = metrics
        directory.changes.subscribe(self._record_start)

    def _record_start(self, upstream_id: UpstreamId) -> None:
        """Remember a start that is listed at the address of the target."""
        entry = self._directory.entries.get(upstream_id)
        if entry is None:
            self._forget_unknown_start(upstream_id)
            return
        if (entry.host, entry.port) != self._address:
            return
        known = self._start_at(upstream_id, self._clock.now_ms())
        if known is None or known.started_at_ms != entry.started_at_ms:
            self._starts.append(TargetStart(upstream_id, entry.started_at_ms, self._clock.now_ms()))
            self._misdirected_until_ms = {
                start: until_ms
                for start, until_ms in self._misdirected_until_ms.items()
                if start in self._starts
            }
            self.leaving = None
            self._check_earlier_notice(self._starts[-1], entry.service_id)

    def _check_earlier_notice(self, start: TargetStart, service_id: ServiceId) -> None:
        """Mark a start that had said that it leaves before it was listed.

        The target runs on the same instance, so that both read the same wall clock. It may have
        jumped since the notice. A start that is wrongly taken for the one that leaves would get no
        requests, while a missed one says so again: both times of the notice must be later.
        """
        noticed_id, asked_at_ms, asked_ms = self._last_notice
        if start.upstream_id != noticed_id:
            return
        asked_at_ms = min(asked_at_ms, wall_clock_ms() - (self._clock.now_ms() - asked_ms))
        if 0 < start.started_at_ms < asked_at_ms:
            self._mark_leaving(start, service_id)

    def _forget_unknown_start(self, upstream_id: UpstreamId) -> None:
        """Forget a removed upstream that tells no start, as its next start looks the same."""
        for start in list(self._starts):
            if start.upstream_id == upstream_id and not start.started_at_ms:
                self._starts.remove(start)
                self._misdirected_until_ms.pop(start, None)
                if self.leaving is start:
                    self.leaving = None

    def _start_at(self, upstream_id: UpstreamId, time_ms: float) -> TargetStart | None:
        """Return the start of an upstream that was the last one listed at a time, if any."""
        for start in reversed(self._starts):
            if start.upstream_id == upstream_id and start.listed_ms <= time_ms:
                return start
        return None

    def read(self, request: RunRequest, fields: dict[str, str], started_ms: float) -> None:
        """Read the notices in an answer of the target.

        Args:
            request: The request.
            fields: Header fields of the answer, by their names in lower case.
            started_ms: Time at which the request was sent.
        """
        was_informed, self.informed = self.informed, True
        self._read_limit(request.service_id, fields.get(self._limit_field), started_ms)
        if not was_informed:
            self.on_limit_change(False)
        self.read_leaving(request, fields, started_ms)

    def read_leaving(self, request: RunRequest, fields: dict[str, str], started_ms: float) -> None:
        """Read only whether the target leaves; see `read` for the arguments."""
        if fields.get(self._leaving_field) == "1":
            self._note_leaving(request, started_ms)

    def record_misdirected(self, request: RunRequest, started_ms: float) -> None:
        """Record that another process than the upstream of a request answered it.

        Args:
            request: The request.
            started_ms: Time at which the request was sent.
        """
        start = self._start_at(request.upstream_id, started_ms)
        if start is not None:
            self._misdirected_until_ms[start] = self._clock.now_ms() + MISDIRECTED_RETRY_MS

    def is_misdirected(self, entry: UpstreamEntry) -> bool:
        """Return whether another process recently answered for the start that an entry lists."""
        return any(
            until_ms > self._clock.now_ms()
            and (start.upstream_id, start.started_at_ms) == (entry.upstream_id, entry.started_at_ms)
            for start, until_ms in self._misdirected_until_ms.items()
        )

    def _read_limit(self, service_id: ServiceId, text: str | None, started_ms: float) -> None:
        per_s = None if text is None else parse_limit(text)
        now_ms = self._clock.now_ms()
        if text is not None and per_s is None:
            self._metrics.count("target.invalid_limits")
        elif per_s is not None:
            self.limit.confirmed_ms = now_ms
            self._change_limit(service_id, per_s, now_ms)
        elif started_ms > self.limit.confirmed_ms:
            # An answer to an earlier request may be older than the one that named the limit.
            self._change_limit(service_id, None, now_ms)

    def _change_limit(self, service_id: ServiceId, per_s: float | None, now_ms: float) -> None:
        if per_s == self.limit.per_s:
            return
        lifted = per_s is None
        self._limit_log.write(
            TARGET_LIMIT_LIFTED if lifted else TARGET_LIMIT_CHANGED,
            service_id=service_id,
            limit_per_s=self.limit.per_s if lifted else per_s,
            sent=self.limit.sent,
            period_ms=now_ms - self.limit.since_ms,
        )
        self.limit.change(per_s, now_ms)
        self.on_limit_change(lifted)

    def _note_leaving(self, request: RunRequest, started_ms: float) -> None:
        """Mark the start that got the request; by now the store may list the next one, or none."""
        start = self._start_at(request.upstream_id, started_ms)
        if start is None:
            return
        asked_at_ms = wall_clock_ms() - (self._clock.now_ms() - started_ms)
        self._last_notice = (request.upstream_id, asked_at_ms, started_ms)
        self._mark_leaving(start, request.service_id)

    def _mark_leaving(self, start: TargetStart, service_id: ServiceId) -> None:
        if start is self._starts[-1]:
            self.leaving = start
        if self._directory.mark_leaving(start.upstream_id, start.started_at_ms):
            log(TARGET_LEAVING, upstream_id=start.upstream_id, service_id=service_id)
