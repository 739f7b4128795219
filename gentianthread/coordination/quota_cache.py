"""Cache the tokens of one organisation at a zone holder."""

import math

from ..clock import Clock
from ..ids import NodeIdentity
from ..protocol.messages_quota import DrawEntry
from ..state.escrow import Ledger, TokenHolding
from .quota_context import QuotaTimes

# Part of the prefetched tokens that stays at the zone holder for nodes that run out.
ZONE_RESERVE_RATIO = 0.7
# Tokens with less than this part of their validity left are not granted to nodes.
MIN_VALIDITY_RATIO = 0.1


class ZoneCache:
    """Grant tokens of a fleet holder to the nodes of an availability zone.

    The zone holder reports its own stock and all tokens that its nodes can hold as held.
    """

    def __init__(self, clock: Clock, times: QuotaTimes):
        """Create an empty cache.

        Args:
            clock: Clock of the leases.
            times: Intervals, timeouts and amounts.
        """
        self.clock = clock
        self.times = times
        self.grantor: NodeIdentity | None = None
        self.stock = TokenHolding()
        self.ledger: Ledger[NodeIdentity] = Ledger()
        self.target = 0
        self.waiting_requests: dict[NodeIdentity, int] = {}
        # Number of draws sent to the fleet holder, and the number of the last one answered.
        self.draws_sent = 0
        self.last_draw_answered = 0
        self._blocked_until_ms = 0.0

    def switch_grantor(self, grantor: NodeIdentity | None) -> None:
        """Draw from another fleet holder once all tokens of the last one have expired."""
        if grantor == self.grantor:
            return
        now_ms = self.clock.now_ms()
        if self.held() > 0:
            self._blocked_until_ms = max(
                self._blocked_until_ms, self.stock.expires_at_ms, self.ledger.last_expiry_ms()
            )
        self.grantor = grantor
        self.stock.amount = 0
        self.stock.expires_at_ms = now_ms
        self.target = 0

    def transfer_to_successor(self, grantor: NodeIdentity, successor: NodeIdentity) -> None:
        """Keep the tokens of a fleet holder that handed its records over to a successor."""
        if self.grantor == grantor:
            self.grantor = successor

    def is_usable(self) -> bool:
        """Return whether tokens of the current fleet holder can be drawn and granted."""
        return self.grantor is not None and self.clock.now_ms() >= self._blocked_until_ms

    def held(self) -> int:
        """Return how many tokens the zone can still spend."""
        now_ms = self.clock.now_ms()
        self.stock.expire(now_ms)
        return self.stock.amount + self.ledger.outstanding(now_ms)

    def wanted(self) -> int:
        """Return how many waiting requests the stock cannot serve."""
        return max(0, sum(self.waiting_requests.values()) - self.stock.amount)

    def validity_ms(self) -> float:
        """Return how long tokens that are granted now are valid."""
        remaining_ms = self.stock.expires_at_ms - self.clock.now_ms()
        return min(self.times.grant_validity_ms, remaining_ms)

    def return_excess(self) -> None:
        """Give back stock beyond the target and the waiting requests."""
        excess = self.held() - self.target - sum(self.waiting_requests.values())
        if excess > 0:
            self.stock.return_tokens(excess)

    def settle(self, drawer: NodeIdentity, sequence: int, entry: DrawEntry) -> bool:
        """Apply the report of a draw and return whether the tokens of the node may be renewed."""
        now_ms = self.clock.now_ms()
        self.stock.expire(now_ms)
        credit = self.ledger.settle(drawer, sequence, entry.held, entry.returned, now_ms)
        if credit is None or not self.is_usable() or self._expires_soon():
            return False
        self.stock.amount += credit
        return True

    def _expires_soon(self) -> bool:
        return self.validity_ms() < MIN_VALIDITY_RATIO * self.times.grant_validity_ms

    def prefetch_target(self, drawer: NodeIdentity) -> int:
        """Return how many tokens a node should hold besides those for waiting requests."""
        demand = self.ledger.records[drawer].demand_per_s
        total = self.ledger.active_demand_per_s(self.clock.now_ms())
        if demand <= 0 or total <= 0:
            return 0
        prefetch_share = self.target * (1 - ZONE_RESERVE_RATIO) * demand / max(total, demand)
        demand_limit = math.ceil(demand * self.times.prefetch_horizon_ms / 1000)
        return min(demand_limit, round(prefetch_share))

    def grant(self, drawer: NodeIdentity, entry: DrawEntry, target: int) -> int:
        """Grant what a settled node needs, up to the stock, and return the number of tokens."""
        need = max(entry.wanted, entry.wanted + target - entry.held)
        amount = max(0, min(self.stock.amount, need))
        self.stock.amount -= amount
        self.ledger.grant(drawer, amount, self.clock.now_ms(), self.validity_ms())
        return amount

    def drop(self) -> int:
        """Drop the stock and return its amount; the records of what nodes hold stay."""
        dropped, self.stock.amount = self.stock.amount, 0
        return dropped
