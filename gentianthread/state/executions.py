"""Record the executions of idempotency keys at their home, the node that runs their requests."""

from collections import OrderedDict
from enum import Enum

import attrs

from ..clock import Clock
from ..ids import OrganisationId, ServiceId

# How long a key stays bound to its execution unless a plan sets another window. People repeat an
# order minutes after its answer was lost.
DEFAULT_WINDOW_MS = 600_000.0

# At 50 keyed requests per second a window of ten minutes holds 30,000 records.
RECORD_LIMIT = 60_000

# Largest answer body that is kept. A repeat of a request with a longer answer is only told that the
# request has run.
BODY_LIMIT_BYTES = 16 * 1024

# Largest total size of the kept answers; beyond it, further answers are not kept. Leaves most of
# the memory of a node (128 MB) to other uses.
TOTAL_LIMIT_BYTES = 24 * 1024 * 1024


class ExecutionState(Enum):
    """Classify the execution of a key by what is known about it."""

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
    """Record the execution of one key and its answer.

    Attributes:
        fingerprint: Method and path of the first request, to detect a key with another request.
        expires_at_ms: End of the window that was in force when the first request arrived.
        state: Whether the execution runs, is done or ended with an unknown outcome.
        status: HTTP status of the answer, once done.
        headers: Header fields of the answer, once done.
        body: Body of the answer, or None if it was too long or incomplete.
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
        return len(self.body or b"") + sum(len(name) + len(value) for name, value in self.headers)


class ExecutionTable:
    """Store execution records, bounded in number and size.

    No record is evicted inside its window, since its request could then run twice. A full table
    accepts no new keys instead.

    Attributes:
        window_ms: Window of new records.
        kept_bytes: Total size of the kept answers.
    """

    def __init__(
        self,
        clock: Clock,
        window_ms: float = DEFAULT_WINDOW_MS,
        record_limit: int = RECORD_LIMIT,
        total_limit_bytes: int = TOTAL_LIMIT_BYTES,
    ):
        """Create an empty table.

        Args:
            clock: Clock for the expiry of records.
            window_ms: How long a record is kept; assigned again when a plan changes it.
            record_limit: Largest number of records.
            total_limit_bytes: Largest total size of the kept answers.
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
        self._evict_expired()
        return self._records.get(key)

    def claim(self, key: RecordKey, fingerprint: str) -> ExecutionRecord | None:
        """Create the record of a key that has none.

        Args:
            key: The key.
            fingerprint: Method and path of the request.

        Returns:
            The record, or None if the table is full.
        """
        self._evict_expired()
        if len(self._records) >= self.record_limit:
            return None
        record = ExecutionRecord(fingerprint, self.clock.now_ms() + self.window_ms)
        self._records[key] = record
        return record

    def release(self, key: RecordKey) -> None:
        """Remove the record of a request that certainly has not run."""
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
        """Store the answer of a request that has run, if the size limits allow it."""
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
        """Record that it is unknown whether the request has run."""
        record.state = ExecutionState.UNKNOWN

    def _evict_expired(self) -> None:
        now_ms = self.clock.now_ms()
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at_ms > now_ms:
                return
            if record.state is ExecutionState.RUNNING:
                # A running execution keeps its record after the window; it is checked again after
                # another window.
                record.expires_at_ms = now_ms + self.window_ms
                self._records.move_to_end(key)
                continue
            self.release(key)
