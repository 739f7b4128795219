"""Account for delegated fractions of a rate and for granted tokens.

Both are leases. A fraction of a rate is used by one bucket at a time: the delegator keeps a
`DelegationRecord` of it, its holder a `Share`. Tokens are granted to *drawers*: the grantor keeps a
`Ledger` of them, each drawer a `TokenHolding`. The record of the grantor or delegator always
expires after the one of the side that uses the lease.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from ..clock import Clock
from .bucket import TokenBucket

K = TypeVar("K", bound=Hashable)

# Upper bound of clock drift. Quartz is within 0.02%, and kernels slew a clock by at most 0.05%.
CLOCK_DRIFT = 0.001
# Covers rounding and the time between reading a clock and using the reading.
EXPIRY_MARGIN_MS = 20.0


def holder_expiry_ms(start_ms: float, duration_ms: float) -> float:
    """Return when the holder of a lease stops using it, counted from when it sent its request."""
    return start_ms + duration_ms * (1 - CLOCK_DRIFT)


def grantor_expiry_ms(start_ms: float, duration_ms: float) -> float:
    """Return when the grantor of a lease may assume that the holder stopped using it."""
    return start_ms + duration_ms * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN_MS


@attrs.define
class DelegationRecord(Generic[K]):
    """Record to whom a fraction is delegated and when it is certainly free again.

    Attributes:
        holder: Process that may use the fraction, or None if it is released or was never delegated.
        free_at_ms: Time from which it may be delegated to another holder.
        sequence: Sequence number of the poll that the delegation answers.
    """

    holder: K | None = None
    free_at_ms: float = 0.0
    sequence: int = 0

    def may_delegate_to(self, holder: K, now_ms: float) -> bool:
        """Return whether the fraction may be delegated to a holder now."""
        return self.holder == holder or now_ms >= self.free_at_ms

    def delegate(
        self, holder: K, sequence: int, now_ms: float, duration_ms: float, grant_tail_ms: float
    ) -> None:
        """Delegate to a holder that `may_delegate_to` accepts, or renew its delegation.

        Args:
            holder: The holder.
            sequence: Sequence number of its poll.
            now_ms: When the poll was received.
            duration_ms: Duration of the delegation.
            grant_tail_ms: How long tokens that the holder granted can outlive the delegation.
        """
        lapsed_at_ms = grantor_expiry_ms(now_ms, duration_ms)
        self.holder = holder
        self.sequence = sequence
        self.free_at_ms = max(self.free_at_ms, grantor_expiry_ms(lapsed_at_ms, grant_tail_ms))

    def transfer(self, holder: K, successor: K) -> None:
        """Record that a holder transferred its delegation, with all records of its grants."""
        if self.holder == holder:
            self.holder = successor

    def release(self, holder: K, sequence: int, now_ms: float, grant_tail_ms: float) -> None:
        """Record that the holder uses no answer to its polls up to a sequence number.

        A delayed release must not end a delegation that answers a later poll.

        Args:
            holder: The holder.
            sequence: Sequence number of the last poll that the release covers.
            now_ms: The current time.
            grant_tail_ms: How long tokens that the holder granted can stay valid.
        """
        if self.holder == holder and self.sequence <= sequence:
            self.free_at_ms = min(self.free_at_ms, grantor_expiry_ms(now_ms, grant_tail_ms))
            self.holder = None


@attrs.frozen
class Share:
    """Record a delegation at its holder.

    Attributes:
        fraction: Delegated fraction of the rate and burst.
        expires_at_ms: Time from which it must not be used.
    """

    fraction: float
    expires_at_ms: float


class Shares(Generic[K]):
    """Store the unexpired delegations of one holder by delegator."""

    def __init__(self) -> None:
        self._shares: dict[K, Share] = {}

    def set(self, key: K, fraction: float, expires_at_ms: float) -> None:
        """Store or replace the delegation of one delegator."""
        self._shares[key] = Share(fraction, expires_at_ms)

    def drop(self, key: K) -> None:
        """Remove the delegation of one delegator."""
        self._shares.pop(key, None)

    def clear(self) -> None:
        """Remove all delegations."""
        self._shares.clear()

    def next_lapse_ms(self) -> float:
        """Return when the next delegation lapses, or infinity."""
        return min((share.expires_at_ms for share in self._shares.values()), default=float("inf"))

    def remove_lapsed(self, now_ms: float) -> list[K]:
        """Remove lapsed delegations and return their delegators."""
        lapsed = [key for key, share in self._shares.items() if share.expires_at_ms <= now_ms]
        for key in lapsed:
            del self._shares[key]
        return lapsed

    def fraction(self) -> float:
        """Return the sum of the fractions."""
        return sum(share.fraction for share in self._shares.values())

    def items(self) -> list[tuple[K, Share]]:
        """Return the delegators with their delegations."""
        return list(self._shares.items())

    def valid_beyond(self, until_ms: float) -> list[Share]:
        """Return the delegations of a positive fraction that are still valid after a time."""
        return [
            share
            for share in self._shares.values()
            if share.expires_at_ms > until_ms and share.fraction > 0
        ]

    def __contains__(self, key: object) -> bool:
        return key in self._shares

    def __len__(self) -> int:
        return len(self._shares)

    def delegators(self) -> list[K]:
        """Return the delegators."""
        return list(self._shares)


@attrs.define
class DrawerRecord:
    """Record the tokens that one drawer can hold.

    Attributes:
        sequence: Largest sequence number of its draws.
        amount: Upper bound of the tokens that it holds.
        expires_at_ms: Time from which none of them can be spent.
        returned: Tokens that it reports as returned since its start.
        demand_per_s: Requests per second that it reports.
        wanted: Requests that wait for tokens there.
    """

    sequence: int = -1
    amount: int = 0
    expires_at_ms: float = 0.0
    returned: int = 0
    demand_per_s: float = 0.0
    wanted: int = 0


class Ledger(Generic[K]):
    """Store the records of all drawers of one grantor for one organisation.

    A draw states how many tokens the drawer still holds. From then on the drawer ignores answers to
    all earlier draws, so the statement replaces the earlier record: a lost answer loses its tokens
    but never duplicates them. Duplicate and reordered draws are detected by their sequence number.
    """

    # Keeps sequence numbers longer than a message can be in transit, to detect late duplicates.
    RECORD_RETENTION_MS = 60_000.0

    def __init__(self) -> None:
        self.records: dict[K, DrawerRecord] = {}

    def next_expiry_ms(self) -> float:
        """Return when the next tokens expire, or infinity."""
        return min(
            (record.expires_at_ms for record in self.records.values() if record.amount),
            default=float("inf"),
        )

    def last_expiry_ms(self) -> float:
        """Return when all tokens have certainly expired, or 0 without records."""
        return max((record.expires_at_ms for record in self.records.values()), default=0.0)

    def outstanding(self, now_ms: float) -> int:
        """Return the number of unexpired tokens that drawers can hold."""
        total = 0
        for record in self.records.values():
            if record.amount and now_ms >= record.expires_at_ms:
                record.amount = 0
            total += record.amount
        return total

    def admit(self, drawer: K, sequence: int) -> DrawerRecord | None:
        """Return the record for a new draw, or None for a duplicate or reordered one."""
        record = self.records.setdefault(drawer, DrawerRecord())
        if sequence <= record.sequence:
            return None
        record.sequence = sequence
        return record

    def settle(
        self, drawer: K, sequence: int, held: int, returned: int, now_ms: float
    ) -> int | None:
        """Replace the record of a drawer by the statement of its draw.

        Args:
            drawer: The drawer.
            sequence: Sequence number of an admitted draw.
            held: Tokens that the drawer holds.
            returned: Tokens that it returned since its start.
            now_ms: The current time.

        Returns:
            The number of returned tokens to credit, or None if a later draw has arrived or the
            record does not cover the tokens held. These then expire without renewal.
        """
        record = self.records[drawer]
        if record.sequence != sequence:
            return None
        if now_ms >= record.expires_at_ms:
            record.amount = 0
        newly_returned = max(0, returned - record.returned)
        record.returned = max(record.returned, returned)
        if held > record.amount:
            return None
        # Tokens that are returned after they expired here are not credited: the bucket has refilled
        # their room since.
        credit = min(newly_returned, record.amount - held)
        record.amount = held
        return credit

    def grant(self, drawer: K, amount: int, now_ms: float, validity_ms: float) -> None:
        """Add tokens to a settled record and renew those that the drawer holds."""
        record = self.records[drawer]
        record.amount += amount
        record.expires_at_ms = max(record.expires_at_ms, grantor_expiry_ms(now_ms, validity_ms))

    def merge_record(
        self,
        drawer: K,
        sequence: int,
        amount: int,
        returned: int,
        demand_per_s: float,
        expires_at_ms: float,
    ) -> None:
        """Merge the record that another grantor kept of a drawer."""
        record = self.records.setdefault(drawer, DrawerRecord())
        record.sequence = max(record.sequence, sequence)
        record.amount += amount
        record.returned = max(record.returned, returned)
        record.demand_per_s = demand_per_s
        record.expires_at_ms = max(record.expires_at_ms, expires_at_ms)

    def remove_expired(self, now_ms: float) -> None:
        """Remove the records that expired more than `RECORD_RETENTION_MS` ago."""
        for drawer, record in list(self.records.items()):
            if now_ms > record.expires_at_ms + self.RECORD_RETENTION_MS:
                del self.records[drawer]

    def active_demand_per_s(self, now_ms: float) -> float:
        """Return the total demand of the drawers whose record has not expired."""
        return sum(
            record.demand_per_s for record in self.records.values() if now_ms < record.expires_at_ms
        )


class Pool(Generic[K]):
    """Manage the token bucket of one organisation at a holder of delegations.

    The rate and the capacity of the bucket follow from the unexpired delegations.
    """

    def __init__(self, clock: Clock, rate_per_s: float, burst: float):
        """Create a pool without delegations.

        Args:
            clock: Clock for leases and refill.
            rate_per_s: Rate of the organisation over the fleet.
            burst: Burst of the organisation over the fleet.
        """
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.shares: Shares[K] = Shares()
        self.ledger: Ledger[K] = Ledger()
        self.bucket = TokenBucket(clock.now_ms())
        self._reserved = 0

    def refresh(self) -> list[K]:
        """Refill the bucket up to the current time; returns the delegators whose share lapsed."""
        now_ms = self.clock.now_ms()
        lapsed: list[K] = []
        # Each lapse and expiry takes effect at its own time: a lapsed share must not refill the
        # bucket afterwards, nor the room of expired tokens be refilled for the time before.
        while (at_ms := self._next_expiry_ms()) <= now_ms:
            self.bucket.refill(at_ms, self._reserved)
            lapsed += self.shares.remove_lapsed(at_ms)
            self._resize(at_ms)
        self.bucket.refill(now_ms, self._reserved)
        return lapsed

    def set_share(self, key: K, fraction: float, expires_at_ms: float) -> None:
        """Store or renew a delegation; it adds rate and capacity, but no tokens."""
        self.refresh()
        self.shares.set(key, fraction, expires_at_ms)
        self._resize(self.clock.now_ms())

    def set_limits(self, rate_per_s: float, burst: float) -> None:
        """Change the rate and burst of the organisation."""
        self.refresh()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._resize(self.clock.now_ms())

    def drop_share(self, key: K) -> None:
        """Remove one delegation before its expiry."""
        self.refresh()
        self.shares.drop(key)
        self._resize(self.clock.now_ms())

    def drop_shares(self) -> None:
        """Remove all delegations and the bucket's tokens; records of drawers stay."""
        self.refresh()
        self.shares.clear()
        self._resize(self.clock.now_ms())

    def add_level(self, level: float) -> None:
        """Add the tokens of another bucket, after its delegations and records were added."""
        self._resize(self.clock.now_ms())
        self.bucket.put_back(level, self._reserved)

    def overdrawn(self) -> bool:
        """Return whether drawers can hold more tokens than the remaining shares cover."""
        return self._reserved > self.bucket.cap + 1e-6

    def settle(self, drawer: K, sequence: int, held: int, returned: int) -> bool:
        """Apply the statement of a draw; returns whether the drawer's tokens may be renewed."""
        now_ms = self.clock.now_ms()
        self.refresh()
        credit = self.ledger.settle(drawer, sequence, held, returned, now_ms)
        self._reserved = self.ledger.outstanding(now_ms)
        if credit:
            self.bucket.put_back(credit, self._reserved)
        return credit is not None

    def grant(self, drawer: K, wanted: int, validity_ms: float) -> int:
        """Grant up to `wanted` whole tokens to a settled drawer; returns their number."""
        amount = max(0, min(wanted, int(self.bucket.level + 1e-9)))
        self.bucket.level = max(0.0, self.bucket.level - amount)
        self.ledger.grant(drawer, amount, self.clock.now_ms(), validity_ms)
        self._reserved += amount
        return amount

    def _next_expiry_ms(self) -> float:
        return min(self.shares.next_lapse_ms(), self.ledger.next_expiry_ms())

    def _resize(self, at_ms: float) -> None:
        fraction = min(1.0, self.shares.fraction())
        self._reserved = self.ledger.outstanding(at_ms)
        self.bucket.adjust(
            at_ms,
            # A holder with a fast clock must not refill faster than the true rate.
            fraction * self.rate_per_s * (1 - CLOCK_DRIFT),
            fraction * self.burst,
            self._reserved,
        )


class FractionHistory:
    """Store the fractions of one upstream in all plan versions that may be in force on some node.

    The usable fraction is the smallest of them. A version is settled when every upstream obeys it
    and delegations made under earlier versions have ended; older versions then no longer count.
    """

    # Number of versions reported in messages; older ones cannot become the newest settled one.
    REPORTED_VERSIONS = 4

    def __init__(self) -> None:
        self._fractions: dict[int, float] = {}
        self.settled_version: int | None = None

    def accept(self, version: int, fraction: float) -> None:
        """Add a new plan version to those that are obeyed."""
        self._fractions[version] = fraction
        self._remove_older()

    def settle(self, version: int | None) -> None:
        """Set the newest settled version and remove older ones; None and older ones are ignored."""
        if version is None or (self.settled_version or -1) >= version:
            return
        self.settled_version = version
        self._remove_older()

    def usable_fraction(self) -> float:
        """Return the fraction that may be delegated now.

        It is 0 in a process that never saw the settled version, since the other upstreams may use
        their full fractions of it.
        """
        if self.settled_version not in self._fractions:
            return 0.0
        return min(self._fractions.values())

    def _remove_older(self) -> None:
        if self.settled_version in self._fractions:
            for version in [each for each in self._fractions if each < self.settled_version]:
                del self._fractions[version]

    def versions(self) -> tuple[int, ...]:
        """Return the newest versions that the usable fraction obeys."""
        return tuple(sorted(self._fractions)[-self.REPORTED_VERSIONS :])


@attrs.define
class TokenHolding:
    """Store the tokens of one grantor at a drawer.

    Attributes:
        amount: Unspent tokens.
        expires_at_ms: Time from which they must not be spent.
        returned: Tokens returned since the start of the drawer.
    """

    amount: int = 0
    expires_at_ms: float = 0.0
    returned: int = 0

    def expire(self, now_ms: float) -> None:
        """Discard the tokens if they have expired."""
        if now_ms >= self.expires_at_ms:
            self.amount = 0

    def spend(self, now_ms: float) -> bool:
        """Spend one token; returns False if there is none."""
        self.expire(now_ms)
        if self.amount < 1:
            return False
        self.amount -= 1
        return True

    def return_tokens(self, amount: int) -> None:
        """Return up to `amount` unspent tokens; the next draw reports them to the grantor."""
        amount = max(0, min(amount, self.amount))
        self.amount -= amount
        self.returned += amount

    def receive(self, amount: int, expires_at_ms: float, now_ms: float) -> None:
        """Add granted tokens and renew the unexpired ones."""
        self.expire(now_ms)
        self.expires_at_ms = max(self.expires_at_ms, expires_at_ms)
        self.amount += amount
