"""Decide how long upstreams whose entries are missing after a store outage stay in use.

Entries lapse while the store is away, and living upstreams are listed again soon after its return.
The time until the last node stops using an upstream that left is bounded from the removal at the
store, so every node counts from the same two events there, which travel with the documents: the
return of the store, and its revision at that time.

- A removal up to that revision may be a lapse. Its entry stays until the relisting period ends.
- A later removal was confirmed by a store that answers. Its entry stays for `LATE_LAPSE_MS` at the
  most, so that the removal is in force on all nodes `DRAIN_LIMIT_MS` after the store's event.
"""

import attrs

# Time allowed from the store's confirmation of a removal to the last request for the upstream, once
# the store has been well for `SETTLED_AFTER_MS`.
DRAIN_LIMIT_MS = 2_000.0
SETTLED_AFTER_MS = 3_000.0

# Length of the relisting period. Living upstreams are listed again within about two seconds, and
# the change then has to reach each node. Without a recent failed call, the start of the period may
# lag the return of the store, and the shorter length applies.
RELIST_RANGE_MS = (1_900.0, 2_400.0)

# Longest time by which the first answer may lag the return of the store: one delay between calls,
# and one connection that could not be opened. A call whose answer is lost adds its time limit.
RETURN_LAG_MS = 1_000.0

# Time for which the failure of a call may lag the moment at which the store was away.
FAILURE_LAG_MS = 500.0

# Smallest difference by which a later end of the same period is taken over from another node.
# Messages take some time, and nodes that inform each other must not prolong the period with each.
MERGE_TOLERANCE_MS = 300.0

# Longest time for which the entry of an upstream stays that the store removed after its return.
LATE_LAPSE_MS = 1_300.0


@attrs.frozen
class StoreReturn:
    """Describe the last return of the store to a node that may not have noticed it.

    Attributes:
        revision: Revision of the store when it first answered again.
        relisting_ms: Time for which removed entries may still be listed again; 0 if the relisting
            period is over.
    """

    revision: int = 0
    relisting_ms: float = 0.0


class RelistingPeriod:
    """Track the period after a store outage in which living upstreams are listed again.

    Attributes:
        revision: Revision of the store at its last return.
        end_ms: End of the period.
    """

    def __init__(self):
        """Create a period that is over."""
        self.revision = 0
        self.end_ms = float("-inf")
        self._failed_ms = float("-inf")

    def record_failure(self, now_ms: float) -> None:
        """Record that the store is away, which prolongs a period that is not over."""
        self._failed_ms = now_ms
        if now_ms < self.end_ms:
            self.end_ms = now_ms + RELIST_RANGE_MS[1]

    def begin(self, revision: int, now_ms: float) -> None:
        """Begin a period as the store answers again.

        Args:
            revision: Revision in the store's first answer.
            now_ms: Time of that answer.
        """
        shortest_ms, longest_ms = RELIST_RANGE_MS
        settled_ms = self._failed_ms + SETTLED_AFTER_MS - FAILURE_LAG_MS
        length_ms = min(max(settled_ms - now_ms, shortest_ms), longest_ms)
        self._extend(revision, now_ms + length_ms)

    def merge(self, store_return: StoreReturn, now_ms: float) -> None:
        """Take over the period of another node, if it ends later."""
        if store_return.relisting_ms <= 0:
            return
        end_ms = now_ms + store_return.relisting_ms
        if store_return.revision <= self.revision and end_ms <= self.end_ms + MERGE_TOLERANCE_MS:
            return
        self._extend(store_return.revision, end_ms)

    def _extend(self, revision: int, end_ms: float) -> None:
        self.revision = max(self.revision, revision)
        self.end_ms = max(self.end_ms, end_ms)

    def describe(self, now_ms: float) -> StoreReturn:
        """Return the period for a message to another node."""
        return StoreReturn(self.revision, max(0.0, self.end_ms - now_ms))

    def kept_until_ms(self, revision: int, now_ms: float) -> float:
        """Return until when the entry of a removed upstream stays.

        Args:
            revision: Revision of the removal.
            now_ms: Time at which this node learns of it.

        Returns:
            The time; not after `now_ms` if the upstream is gone.
        """
        if revision <= self.revision:
            return self.end_ms
        return min(self.end_ms, now_ms + LATE_LAPSE_MS)
