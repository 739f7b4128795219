"""Send draws at a regular interval, and earlier when tokens run out."""

import asyncio
from abc import ABC, abstractmethod
from collections import defaultdict

import attrs

from ..ids import NodeIdentity, OrganisationId
from ..protocol.messages_quota import Draw, DrawAnswer, DrawEntry, GrantEntry, Tier
from ..state.escrow import holder_expiry_ms
from .quota_context import QuotaContext

# A draw includes other organisations whose last draw is older than this part of the period.
BATCH_AGE_RATIO = 0.6
# Prevents a busy loop when rounding of the clock makes a wait too short.
MIN_WAIT_MS = 1.0


class DrawSource(ABC):
    """Supply the reports of a `DrawLoop` and store the tokens that it draws."""

    @abstractmethod
    def active_organisations(self) -> list[OrganisationId]:
        """Return the organisations that have tokens, demand or waiting requests."""

    @abstractmethod
    def grantor(self, organisation_id: OrganisationId) -> NodeIdentity | None:
        """Return the holder to draw from, or None if there is none."""

    @abstractmethod
    def draw_entry(self, organisation_id: OrganisationId) -> DrawEntry:
        """Return what to report in a draw that is sent now."""

    @abstractmethod
    def receive_grant(self, grantor: NodeIdentity, grant: GrantEntry, expires_at_ms: float) -> None:
        """Store granted tokens."""

    @abstractmethod
    def has_waiting_requests(self, organisation_id: OrganisationId) -> bool:
        """Return whether requests wait for tokens."""


@attrs.define
class _DrawState:
    """Track the draws of one organisation.

    Attributes:
        last_draw_at_ms: When the last draw was sent.
        scarce: Whether the last answer granted fewer tokens than were wanted.
        in_flight: Whether the answer to a draw is outstanding.
        urgent: Whether to draw ahead of the regular period.
    """

    last_draw_at_ms: float = float("-inf")
    scarce: bool = False
    in_flight: bool = False
    urgent: bool = False


class DrawLoop:
    """Draw for one source, with at most one draw in flight for each organisation.

    Each draw reports what is held and replaces the holder's record, so an answer that is lost or
    comes too late can only lose tokens, never duplicate them.
    """

    def __init__(
        self,
        context: QuotaContext,
        tier: Tier,
        period_ms: float,
        min_spacing_ms: float,
        source: DrawSource,
    ):
        """Create a loop.

        Args:
            context: Shared parts of the process.
            tier: Role of the holders to draw from.
            period_ms: Interval between regular draws.
            min_spacing_ms: Minimum time between two draws for one organisation.
            source: Reports what is held and stores what is drawn.
        """
        self.context = context
        self.tier = tier
        self.period_ms = period_ms
        self.min_spacing_ms = min_spacing_ms
        self.source = source
        self._draw_states: dict[OrganisationId, _DrawState] = defaultdict(_DrawState)
        self._wake_event = asyncio.Event()

    def wake(self, organisation_id: OrganisationId) -> None:
        """Draw for an organisation as soon as the minimum spacing allows."""
        draw_state = self._draw_states[organisation_id]
        if not draw_state.urgent:
            draw_state.urgent = True
            self._wake_event.set()

    async def run(self) -> None:
        """Send draws until the process stops."""
        while True:
            self._wake_event.clear()
            wait_ms = max(MIN_WAIT_MS, self._send_due())
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            await self.context.clock.sleep_ms(0)

    def _send_due(self) -> float:
        """Send every due draw and return the time until the next one, in ms."""
        now_ms = self.context.clock.now_ms()
        names = set(self.source.active_organisations())
        names |= {name for name, draw_state in self._draw_states.items() if draw_state.urgent}
        # A holder may delay the answer to a draw for a scarce organisation, so these are sent apart
        # from the others.
        due: dict[tuple[NodeIdentity, bool], list[OrganisationId]] = defaultdict(list)
        batched: dict[tuple[NodeIdentity, bool], list[OrganisationId]] = defaultdict(list)
        wait_ms = self.period_ms
        for name in sorted(names):
            draw_state = self._draw_states[name]
            grantor = self.source.grantor(name)
            if draw_state.in_flight or grantor is None:
                continue
            left_ms = draw_state.last_draw_at_ms + self._interval_ms(draw_state) - now_ms
            if left_ms <= 0.01:
                due[grantor, draw_state.scarce].append(name)
                continue
            wait_ms = min(wait_ms, left_ms)
            if now_ms - draw_state.last_draw_at_ms >= BATCH_AGE_RATIO * self.period_ms:
                batched[grantor, draw_state.scarce].append(name)
        for key, organisations in due.items():
            self.context.spawn(self._draw(key[0], organisations + batched[key]))
        return wait_ms

    def _interval_ms(self, draw_state: _DrawState) -> float:
        times = self.context.times
        if not draw_state.urgent:
            return self.period_ms
        return times.scarce_min_spacing_ms if draw_state.scarce else self.min_spacing_ms

    async def _draw(self, grantor: NodeIdentity, organisations: list[OrganisationId]) -> None:
        context = self.context
        sent_at_ms = context.clock.now_ms()
        epoch = context.epoch
        for name in organisations:
            draw_state = self._draw_states[name]
            draw_state.in_flight, draw_state.urgent, draw_state.last_draw_at_ms = (
                True,
                False,
                sent_at_ms,
            )
        entries = tuple(self.source.draw_entry(name) for name in organisations)
        draw = Draw(self.tier, context.next_sequence(), entries)
        answer = await context.request(grantor.upstream_id, draw, context.times.draw_timeout_ms)
        for name in organisations:
            self._draw_states[name].in_flight = False
        if isinstance(answer, DrawAnswer) and epoch == context.epoch:
            expires_at_ms = holder_expiry_ms(sent_at_ms, answer.validity_ms)
            grants = {grant.organisation_id: grant for grant in answer.entries}
            for entry in entries:
                name = entry.organisation_id
                if name in grants:
                    self.source.receive_grant(grantor, grants[name], expires_at_ms)
                    self._draw_states[name].scarce = grants[name].granted < entry.wanted
        for name in organisations:
            self._draw_states[name].urgent |= self.source.has_waiting_requests(name)
        self._wake_event.set()
