"""Record the executions of idempotency keys at their home."""

from collections import OrderedDict
from enum import Enum

import attrs

from ..clock import Clock
from ..ids import OrganisationId, ServiceId

# How long a key stays bound to its execution until a plan says otherwise. People repeat an order
# minutes after its answer was lost.
DEFAULT_WINDOW_MS = 600_000.0

# At 50 keyed requests per second a window of ten minutes holds 30,000 records.
RECORD_LIMIT = 60_000

# A longer answer is not kept; a repeat then learns only that the request has run.
BODY_LIMIT_BYTES = 16 * 1024

# All kept answers together; beyond it, further answers are not kept. Leaves most of the memory of
# a node (128 MB) to other uses.
TOTAL_LIMIT_BYTES = 24 * 1024 * 1024


class ExecutionState(Enum):
    """Tell what is known about the execution of a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class RecordKey:
    """Identify an idempotency key; organisations and services have separate keys."""

    organisation_id: OrganisationId
    service_id: ServiceId
    key: str


@attrs.define(eq=False)
class ExecutionRecord:
    """Hold what is known about one key.

    Attributes:
        fingerprint: Method and path of the first request.
        expires_at_ms: End of the window that was in force when the first request came.
        state: Whether it runs, is done or ended in an unknown way.
        status: HTTP status of the answer, once done.
        headers: Header fields of the answer, once done.
        body: Its body, or None where it was too long or broke off.
    """

    fingerprint: str
    expires_at_ms: float
    state: ExecutionState = ExecutionState.RUNNING
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None

    @property
    def kept_bytes(self) -> int:
        """Return the size of the kept answer."""
        return len(self.body or b"") + sum(len(a) + len(b) for a, b in self.headers)


class ExecutionTable:
    """Hold records, bounded in number and bytes; none is evicted inside its window."""

    def __init__(
        self,
        clock: Clock,
        window_ms: float = DEFAULT_WINDOW_MS,
        record_limit: int = RECORD_LIMIT,
        total_limit_bytes: int = TOTAL_LIMIT_BYTES,
    ):
        """Create an empty table.

        Args:
            clock: Clock of the window.
            window_ms: How long a record is kept; set it when a plan revises it.
            record_limit: Largest number of records.
            total_limit_bytes: Largest size of all kept answers.
        """
        self.clock = clock
        self.window_ms = window_ms
        self.record_limit = record_limit
        self.total_limit_bytes = total_limit_bytes
        self.kept_bytes = 0
        self._records: OrderedDict[RecordKey, ExecutionRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: RecordKey) -> ExecutionRecord | None:
        """Return the record of a key, or None."""
        self._evict()
        return self._records.get(key)

    def claim(self, key: RecordKey, fingerprint: str) -> ExecutionRecord | None:
        """Start a record for a key that has none.

        Returns:
            The record, or None where the table is full.
        """
        self._evict()
        if len(self._records) >= self.record_limit:
            return None
        record = ExecutionRecord(fingerprint, self.clock.now_ms() + self.window_ms)
        self._records[key] = record
        return record

    def release(self, key: RecordKey) -> None:
        """Drop the record of a request that certainly has not run."""
        record = self._records.pop(key, None)
        if record is not None:
            self.kept_bytes -= record.kept_bytes

    def complete(
        self,
        record: ExecutionRecord,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None,
    ) -> None:
        """Record the answer of a request that has run."""
        record.state = ExecutionState.DONE
        record.status = status
        if body is None or len(body) > BODY_LIMIT_BYTES:
            return
        record.headers, record.body = headers, body
        if self.kept_bytes + record.kept_bytes > self.total_limit_bytes:
            record.headers, record.body = (), None
            return
        self.kept_bytes += record.kept_bytes

    def mark_unknown(self, record: ExecutionRecord) -> None:
        """Record that nobody knows whether the request has run."""
        record.state = ExecutionState.UNKNOWN

    def _evict(self) -> None:
        now_ms = self.clock.now_ms()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at_ms > now_ms:
                return
            if record.state is ExecutionState.RUNNING:
                # It outlives its window until it ends; looked at again after another window.
                record.expires_at_ms = now_ms + self.window_ms
                self._records.move_to_end(key)
                continue
            self.release(key)
