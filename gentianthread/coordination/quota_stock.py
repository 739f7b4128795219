"""Manage the tokens of a node and the requests that wait for them."""

import asyncio
import math
from collections import deque

from ..errors import RateExceeded
from ..ids import NodeIdentity, OrganisationId
from ..protocol.messages_quota import DrawEntry, GrantEntry
from ..state.escrow import TokenHolding
from .quota_context import QuotaContext
from .quota_draws import DrawLoop, DrawSource
from .quota_member import QuotaMember

# Time constants of the demand estimate, which follows a rise faster than a fall.
DEMAND_RISE_TIME_CONSTANT_MS = 500.0
DEMAND_FALL_TIME_CONSTANT_MS = 4_000.0
# Limit the arrival rate of one tick that enters the estimate, since a burst says nothing about the
# demand after it.
MAX_DEMAND_GROWTH_FACTOR = 2.0
MAX_DEMAND_GROWTH_PER_S = 20.0
# Smaller demands count as zero.
MIN_DEMAND_PER_S = 0.05
# A node draws ahead of its interval once its stock is down to this part of its target.
LOW_STOCK_RATIO = 0.4


class OrganisationStock:
    """Manage the tokens, waiting requests and demand of one organisation at a node."""

    def __init__(self, now_ms: float):
        """Create an empty stock.

        Args:
            now_ms: The current time.
        """
        self.holdings: dict[NodeIdentity, TokenHolding] = {}
        self.waiting: deque[asyncio.Future] = deque()
        self.target = 0
        self.demand_per_s = 0.0
        self._arrivals = 0
        self._measured_at_ms = now_ms

    def amount(self, now_ms: float) -> int:
        """Return how many unspent tokens there are, of all grantors."""
        for holding in self.holdings.values():
            holding.expire(now_ms)
        return sum(holding.amount for holding in self.holdings.values())

    def spend(self, now_ms: float) -> bool:
        """Spend one token, the first to expire, and return whether there was one."""
        available = [holding for holding in self.holdings.values() if holding.amount]
        if len(available) > 1:
            available.sort(key=lambda holding: holding.expires_at_ms)
        return any(holding.spend(now_ms) for holding in available)

    def count_arrival(self) -> None:
        """Count one request for the demand estimate."""
        self._arrivals += 1

    def measure(self, now_ms: float) -> None:
        """Update the demand estimate."""
        elapsed_ms = now_ms - self._measured_at_ms
        if elapsed_ms <= 0:
            return
        rate_per_s = min(
            self._arrivals / elapsed_ms * 1000,
            MAX_DEMAND_GROWTH_FACTOR * self.demand_per_s + MAX_DEMAND_GROWTH_PER_S,
        )
        time_constant_ms = (
            DEMAND_RISE_TIME_CONSTANT_MS
            if rate_per_s > self.demand_per_s
            else DEMAND_FALL_TIME_CONSTANT_MS
        )
        weight = 1 - math.exp(-elapsed_ms / time_constant_ms)
        self.demand_per_s += weight * (rate_per_s - self.demand_per_s)
        if self.demand_per_s < MIN_DEMAND_PER_S:
            self.demand_per_s = 0.0
        self._arrivals = 0
        self._measured_at_ms = now_ms


class NodeStock(DrawSource):
    """Serve the requests of a node from the tokens that it draws."""

    def __init__(self, context: QuotaContext, member: QuotaMember):
        """Create an empty stock.

        Args:
            context: Shared parts of the process.
            member: Member role of the process, which knows the zone holder.
        """
        self.context = context
        self.member = member
        self.draw_loop: DrawLoop | None = None
        self._stocks: dict[OrganisationId, OrganisationStock] = {}

    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Spend one token, waiting for it if necessary.

        Raises:
            RateExceeded: No token was granted in time.
        """
        stock = self._stock(organisation_id)
        stock.count_arrival()
        if not stock.waiting and stock.spend(self.context.clock.now_ms()):
            amount = stock.amount(self.context.clock.now_ms())
            if stock.target and amount <= LOW_STOCK_RATIO * stock.target:
                self.draw_loop.wake(organisation_id)
            return
        token_future = asyncio.get_running_loop().create_future()
        stock.waiting.append(token_future)
        self.draw_loop.wake(organisation_id)
        try:
            await asyncio.wait([token_future], timeout=max_wait_ms / 1000)
            if not token_future.done():
                raise RateExceeded(self._retry_after_ms(organisation_id))
        finally:
            if token_future in stock.waiting:
                stock.waiting.remove(token_future)

    def amount(self, organisation_id: OrganisationId) -> int:
        """Return how many unspent tokens an organisation has."""
        return self._stock(organisation_id).amount(self.context.clock.now_ms())

    def measure(self) -> None:
        """Update the demand estimates and remove expired holdings; called on every tick."""
        now_ms = self.context.clock.now_ms()
        for stock in self._stocks.values():
            stock.measure(now_ms)
            for grantor, holding in list(stock.holdings.items()):
                if grantor != self.member.followed_holder and now_ms >= holding.expires_at_ms:
                    del stock.holdings[grantor]

    def drop(self) -> int:
        """Drop all tokens and return how many there were."""
        dropped = 0
        for stock in self._stocks.values():
            dropped += sum(holding.amount for holding in stock.holdings.values())
            for holding in stock.holdings.values():
                holding.amount = 0
        return dropped

    def active_organisations(self) -> list[OrganisationId]:
        """Return the organisations that have tokens, demand or waiting requests."""
        now_ms = self.context.clock.now_ms()
        return [
            name
            for name, stock in self._stocks.items()
            if stock.waiting or stock.demand_per_s > 0 or stock.amount(now_ms) > 0
        ]

    def grantor(self, organisation_id: OrganisationId) -> NodeIdentity | None:
        """Return the zone holder to draw from, or None if it is unknown or silent."""
        return self.member.grantor()

    def draw_entry(self, organisation_id: OrganisationId) -> DrawEntry:
        """Give back tokens beyond the target and report the rest."""
        stock = self._stock(organisation_id)
        grantor = self.member.followed_holder
        holding = stock.holdings.setdefault(grantor, TokenHolding())
        holding.expire(self.context.clock.now_ms())
        holding.return_tokens(holding.amount - stock.target)
        return DrawEntry(
            organisation_id=organisation_id,
            held=holding.amount,
            wanted=sum(not token_future.done() for token_future in stock.waiting),
            demand_per_s=math.ceil(stock.demand_per_s),
            returned=holding.returned,
        )

    def receive_grant(self, grantor: NodeIdentity, grant: GrantEntry, expires_at_ms: float) -> None:
        """Store granted tokens and serve waiting requests."""
        stock = self._stock(grant.organisation_id)
        now_ms = self.context.clock.now_ms()
        stock.target = grant.target
        stock.holdings.setdefault(grantor, TokenHolding()).receive(
            grant.granted, expires_at_ms, now_ms
        )
        while stock.waiting and stock.waiting[0].done():
            stock.waiting.popleft()
        served_count = 0
        while stock.waiting and stock.spend(now_ms):
            served_count += 1
            token_future = stock.waiting.popleft()
            token_future.set_result(None)
            while stock.waiting and stock.waiting[0].done():
                stock.waiting.popleft()

        if served_count >= self.context.report_threshold(grant.organisation_id):
            self.draw_loop.wake(grant.organisation_id)

    def has_waiting_requests(self, organisation_id: OrganisationId) -> bool:
        """Return whether requests wait for tokens."""
        return any(not token_future.done() for token_future in self._stock(organisation_id).waiting)

    def _stock(self, organisation_id: OrganisationId) -> OrganisationStock:
        stock = self._stocks.get(organisation_id)
        if stock is None:
            stock = OrganisationStock(self.context.clock.now_ms())
            self._stocks[organisation_id] = stock
        return stock

    def _retry_after_ms(self, organisation_id: OrganisationId) -> float:
        organisation = self.context.organisation(organisation_id)
        if organisation is None or organisation.rate_per_s <= 0:
            return 1000.0
        waiting = len(self._stock(organisation_id).waiting)
        return 1000.0 * (1 + waiting) / organisation.rate_per_s
