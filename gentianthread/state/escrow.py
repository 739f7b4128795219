"""Account for delegated fractions and granted tokens.

A fraction is used by one bucket at a time. A *promise* is the delegator's record of a delegation, a
*share* the holder's. A *ledger* is the giver's record of tokens that drawers hold, a *holding* the
drawer's. The record of the side that gives always ends after the record of the side that uses.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from ..clock import Clock
from .bucket import TokenBucket

K = TypeVar("K", bound=Hashable)

# Largest error in the speed of a clock. Quartz is within 0.02% and kernels slew by at most 0.05%.
CLOCK_DRIFT = 0.001
# Covers rounding and the time between reading a clock and using the reading.
EXPIRY_MARGIN_MS = 20.0


def holder_expiry_ms(start_ms: float, duration_ms: float) -> float:
    """Return when the side that uses a lease stops, counted from its own request."""
    return start_ms + duration_ms * (1 - CLOCK_DRIFT)


def grantor_expiry_ms(start_ms: float, duration_ms: float) -> float:
    """Return when the side that gave a lease may assume that it ended."""
    return start_ms + duration_ms * (1 + CLOCK_DRIFT) + EXPIRY_MARGIN_MS


@attrs.define
class DelegationRecord(Generic[K]):
    """Record to whom a fraction is delegated and when it is certainly free again.

    Attributes:
        holder: Who may use the fraction, or None before the first delegation.
        free_at_ms: From when on another holder can have it.
        sequence: Poll that the delegation answers.
    """

    holder: K | None = None
    free_at_ms: float = 0.0
    sequence: int = 0

    def may_delegate_to(self, holder: K, now_ms: float) -> bool:
        """Return whether the fraction may be delegated to a holder now."""
        return self.holder == holder or now_ms >= self.free_at_ms

    def delegate(
        self, holder: K, sequence: int, now_ms: float, duration_ms: float, tail_ms: float
    ) -> None:
        """Delegate to a holder that `may_delegate_to` accepts.

        Args:
            holder: The holder.
            sequence: Sequence number of its poll.
            now_ms: When the poll was received.
            duration_ms: For how long, in ms.
            tail_ms: How long tokens that the holder grants can outlive the delegation.
        """
        lapsed_at_ms = grantor_expiry_ms(now_ms, duration_ms)
        self.holder = holder
        self.sequence = sequence
        self.free_at_ms = max(self.free_at_ms, grantor_expiry_ms(lapsed_at_ms, tail_ms))

    def transfer(self, holder: K, successor: K) -> None:
        """Accept that a holder handed its delegation on, with all records of its grants."""
        if self.holder == holder:
            self.holder = successor

    def release(self, holder: K, sequence: int, now_ms: float, tail_ms: float) -> None:
        """Accept that the holder uses no answer to its polls up to a sequence number.

        A delayed release must not end a delegation that a later poll brought.
        """
        if self.holder == holder and self.sequence <= sequence:
            self.free_at_ms = min(self.free_at_ms, grantor_expiry_ms(now_ms, tail_ms))
            self.holder = None


@attrs.frozen
class Share:
    """Record a live delegation at its holder.

    Attributes:
        fraction: Fraction of every organisation's rate and burst.
        expires_at_ms: From when on it must not be used.
    """

    fraction: float
    expires_at_ms: float


class Shares(Generic[K]):
    """Hold the live delegations of one holder."""

    def __init__(self) -> None:
        self._shares: dict[K, Share] = {}

    def set(self, key: K, fraction: float, expires_at_ms: float) -> None:
        """Replace the delegation of one delegator."""
        self._shares[key] = Share(fraction, expires_at_ms)

    def drop(self, key: K) -> None:
        """Forget the delegation of one delegator."""
        self._shares.pop(key, None)

    def clear(self) -> None:
        """Forget all delegations."""
        self._shares.clear()

    def next_lapse_ms(self) -> float:
        """Return when the first delegation lapses, or infinity."""
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
        """Return the delegations that last beyond a time and carry a fraction."""
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
        sequence: Largest sequence number seen.
        amount: Tokens that it can hold at most.
        expires_at_ms: When they are certainly worthless.
        returned: Tokens that the drawer says it returned since its start.
        demand_per_s: Requests per second that it reports.
        wanted: Requests that wait there for tokens.
    """

    sequence: int = -1
    amount: int = 0
    expires_at_ms: float = 0.0
    returned: int = 0
    demand_per_s: float = 0.0
    wanted: int = 0


class Ledger(Generic[K]):
    """Hold the records of all drawers of one giver and one organisation.

    A draw states what the drawer still holds. The drawer ignores answers to all earlier draws from
    then on, so the statement replaces the earlier record: a lost answer loses tokens, and a
    duplicate or overtaken draw is recognised by its sequence number.
    """

    # Keeps sequence numbers longer than any message can be under way.
    RECORD_RETENTION_MS = 60_000.0

    def __init__(self) -> None:
        self.records: dict[K, DrawerRecord] = {}

    def next_expiry_ms(self) -> float:
        """Return when the first tokens expire, or infinity."""
        return min(
            (record.expires_at_ms for record in self.records.values() if record.amount),
            default=float("inf"),
        )

    def last_expiry_ms(self) -> float:
        """Return when the last tokens have certainly expired, or 0."""
        return max((record.expires_at_ms for record in self.records.values()), default=0.0)

    def outstanding(self, now_ms: float) -> int:
        """Return the tokens that drawers can hold."""
        total = 0
        for record in self.records.values():
            if record.amount and now_ms >= record.expires_at_ms:
                record.amount = 0
            total += record.amount
        return total

    def admit(self, drawer: K, sequence: int) -> DrawerRecord | None:
        """Return the record for a new draw, or None for a duplicate or overtaken one."""
        record = self.records.setdefault(drawer, DrawerRecord())
        if sequence <= record.sequence:
            return None
        record.sequence = sequence
        return record

    def settle(
        self, drawer: K, sequence: int, held: int, returned: int, now_ms: float
    ) -> int | None:
        """Replace the record of a drawer by what its draw states.

        Args:
            drawer: The drawer.
            sequence: Sequence number of an admitted draw.
            held: Tokens that the drawer holds.
            returned: Tokens that it returned since its start.
            now_ms: The present time.

        Returns:
            The returned tokens to credit, or None if a later draw has come or the record does not
            cover what the drawer holds. Its tokens then run out unrenewed.
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
        # A return that arrives after its tokens expired here must not bring them back: their room
        # has been refilled since.
        credit = min(newly_returned, record.amount - held)
        record.amount = held
        return credit

    def grant(self, drawer: K, amount: int, now_ms: float, validity_ms: float) -> None:
        """Add tokens to a settled record and renew the ones it has."""
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
        """Add the record that another giver had of a drawer."""
        record = self.records.setdefault(drawer, DrawerRecord())
        record.sequence = max(record.sequence, sequence)
        record.amount += amount
        record.returned = max(record.returned, returned)
        record.demand_per_s = demand_per_s
        record.expires_at_ms = max(record.expires_at_ms, expires_at_ms)

    def remove_expired(self, now_ms: float) -> None:
        """Remove records of drawers that are long gone."""
        for drawer, record in list(self.records.items()):
            if now_ms > record.expires_at_ms + self.RECORD_RETENTION_MS:
                del self.records[drawer]

    def active_demand_per_s(self, now_ms: float) -> float:
        """Return the demand of the drawers with a live record."""
        return sum(
            record.demand_per_s for record in self.records.values() if now_ms < record.expires_at_ms
        )


class Pool(Generic[K]):
    """Hold the bucket of one organisation over the live delegations of a holder."""

    def __init__(self, clock: Clock, rate_per_s: float, burst: float):
        """Create a pool without delegations.

        Args:
            clock: Clock of leases and refill.
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
        """Bring the bucket up to the present; returns the delegators whose share lapsed."""
        now_ms = self.clock.now_ms()
        lapsed: list[K] = []
        # Each lapse and expiry takes effect at its own time: a lapsed share must not add to the
        # level, and room that expired tokens occupied must not be filled for the time before.
        while (at_ms := self._next_event_ms()) <= now_ms:
            self.bucket.refill(at_ms, self._reserved)
            lapsed += self.shares.remove_lapsed(at_ms)
            self._resize(at_ms)
        self.bucket.refill(now_ms, self._reserved)
        return lapsed

    def set_share(self, key: K, fraction: float, expires_at_ms: float) -> None:
        """Accept or renew a delegation; it brings rate and room, no tokens."""
        self.refresh()
        self.shares.set(key, fraction, expires_at_ms)
        self._resize(self.clock.now_ms())

    def set_limits(self, rate_per_s: float, burst: float) -> None:
        """Change rate and burst of the organisation."""
        self.refresh()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._resize(self.clock.now_ms())

    def drop_share(self, key: K) -> None:
        """Give up one delegation before its end."""
        self.refresh()
        self.shares.drop(key)
        self._resize(self.clock.now_ms())

    def drop_shares(self) -> None:
        """Give up all delegations and the level; what drawers hold stays on record."""
        self.refresh()
        self.shares.clear()
        self._resize(self.clock.now_ms())

    def add_level(self, level: float) -> None:
        """Take over the tokens of another bucket, after its delegations and records."""
        self._resize(self.clock.now_ms())
        self.bucket.put_back(level, self._reserved)

    def overdrawn(self) -> bool:
        """Return whether drawers hold more than the remaining shares cover."""
        return self._reserved > self.bucket.cap + 1e-6

    def settle(self, drawer: K, sequence: int, held: int, returned: int) -> bool:
        """Take a draw's statement; returns whether its tokens may be renewed."""
        now_ms = self.clock.now_ms()
        self.refresh()
        credit = self.ledger.settle(drawer, sequence, held, returned, now_ms)
        self._reserved = self.ledger.outstanding(now_ms)
        if credit:
            self.bucket.put_back(credit, self._reserved)
        return credit is not None

    def grant(self, drawer: K, wanted: int, validity_ms: float) -> int:
        """Grant up to a number of whole tokens to a settled drawer."""
        amount = max(0, min(wanted, int(self.bucket.level + 1e-9)))
        self.bucket.level = max(0.0, self.bucket.level - amount)
        self.ledger.grant(drawer, amount, self.clock.now_ms(), validity_ms)
        self._reserved += amount
        return amount

    def _next_event_ms(self) -> float:
        return min(self.shares.next_lapse_ms(), self.ledger.next_expiry_ms())

    def _resize(self, at_ms: float) -> None:
        fraction = min(1.0, self.shares.fraction())
        self._reserved = self.ledger.outstanding(at_ms)
        self.bucket.adjust(
            at_ms,
            # A holder whose clock is fast must not refill faster than the true rate.
            fraction * self.rate_per_s * (1 - CLOCK_DRIFT),
            fraction * self.burst,
            self._reserved,
        )


class FractionHistory:
    """Hold the fractions of one upstream in the plan versions that may be in force somewhere.

    The usable fraction is the smallest of them. A version is settled when every upstream obeys it
    and delegations made under earlier versions have ended; older versions then no longer count.
    """

    # Versions named in messages; older ones cannot become the newest settled one.
    NAMED_VERSIONS = 4

    def __init__(self) -> None:
        self._fractions: dict[int, float] = {}
        self.settled_version: int | None = None

    def accept(self, version: int, fraction: float) -> None:
        """Obey a new plan version as well."""
        self._fractions[version] = fraction
        self._forget_older()

    def settle(self, version: int | None) -> None:
        """Learn the newest settled version."""
        if version is None or (self.settled_version or -1) >= version:
            return
        self.settled_version = version
        self._forget_older()

    def usable_fraction(self) -> float:
        """Return the fraction that may be delegated now.

        It is 0 in a process that never saw the settled version: others may use up to their part of
        it.
        """
        if self.settled_version not in self._fractions:
            return 0.0
        return min(self._fractions.values())

    def _forget_older(self) -> None:
        if self.settled_version in self._fractions:
            for older in [known for known in self._fractions if known < self.settled_version]:
                del self._fractions[older]

    def versions(self) -> tuple[int, ...]:
        """Return the newest versions that the usable fraction obeys."""
        return tuple(sorted(self._fractions)[-self.NAMED_VERSIONS :])


@attrs.define
class TokenHolding:
    """Hold tokens that one giver granted, at the drawer.

    Attributes:
        amount: Unspent tokens.
        expires_at_ms: From when on they must not be spent.
        returned: Tokens returned since the start.
    """

    amount: int = 0
    expires_at_ms: float = 0.0
    returned: int = 0

    def expire(self, now_ms: float) -> None:
        """Drop the tokens if their time has passed."""
        if now_ms >= self.expires_at_ms:
            self.amount = 0

    def spend(self, now_ms: float) -> bool:
        """Spend one token and tell whether there was one."""
        self.expire(now_ms)
        if self.amount < 1:
            return False
        self.amount -= 1
        return True

    def return_tokens(self, amount: int) -> None:
        """Mark unspent tokens as returned; the next draw reports them."""
        amount = max(0, min(amount, self.amount))
        self.amount -= amount
        self.returned += amount

    def receive(self, amount: int, expires_at_ms: float, now_ms: float) -> None:
        """Add granted tokens and renew the unexpired ones."""
        self.expire(now_ms)
        self.expires_at_ms = max(self.expires_at_ms, expires_at_ms)
        self.amount += amount
