"""Send the draws of one drawer: regularly, and at once when tokens run out."""

import asyncio
from abc import ABC, abstractmethod
from collections import defaultdict

import attrs

from ..ids import NodeIdentity, OrganisationId
from ..protocol.messages_quota import Draw, DrawAnswer, DrawEntry, GrantEntry, Tier
from ..state.escrow import user_expiry_ms
from .quota_context import QuotaContext

# A draw takes other organisations along whose last draw is older than this part of the period.
BATCH_AGE_RATIO = 0.6
# Keeps rounding of the clock from turning a wait into a busy loop.
MIN_WAIT_MS = 1.0


class DrawSource(ABC):
    """Hold the tokens that a `DrawLoop` draws."""

    @abstractmethod
    def organisations(self) -> list[OrganisationId]:
        """Return the organisations that hold tokens or expect requests."""

    @abstractmethod
    def grantor(self, organisation_id: OrganisationId) -> NodeIdentity | None:
        """Return the holder to draw from, or None while there is none."""

    @abstractmethod
    def entry(self, organisation_id: OrganisationId) -> DrawEntry:
        """Return what to state in a draw that is sent now."""

    @abstractmethod
    def receive(self, grantor: NodeIdentity, grant: GrantEntry, expires_at_ms: float) -> None:
        """Take granted tokens."""

    @abstractmethod
    def waits(self, organisation_id: OrganisationId) -> bool:
        """Return whether requests wait for tokens."""


@attrs.define
class _Pace:
    """Time the draws of one organisation."""

    last_at_ms: float = float("-inf")
    scarce: bool = False
    in_flight: bool = False
    urgent: bool = False


class DrawLoop:
    """Draw for one source, with at most one draw under way for each organisation.

    The next draw states what is held and makes the holder forget the earlier one, so an answer
    that is not used any more can only lose tokens.
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
            tier: Role of the givers.
            period_ms: Time between regular draws.
            min_spacing_ms: Least time between two draws.
            source: What is drawn for.
        """
        self.context = context
        self.tier = tier
        self.period_ms = period_ms
        self.min_spacing_ms = min_spacing_ms
        self.source = source
        self._paces: dict[OrganisationId, _Pace] = defaultdict(_Pace)
        self._woken = asyncio.Event()

    def wake(self, organisation_id: OrganisationId) -> None:
        """Draw for an organisation as soon as the spacing allows."""
        pace = self._paces[organisation_id]
        if not pace.urgent:
            pace.urgent = True
            self._woken.set()

    async def run(self) -> None:
        """Send draws until the process stops."""
        while True:
            self._woken.clear()
            wait_ms = max(MIN_WAIT_MS, self._send_due())
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._woken.wait()
            except TimeoutError:
                pass
            await self.context.clock.sleep_ms(0)

    def _send_due(self) -> float:
        """Send every due draw and return the time until the next one, in ms."""
        now_ms = self.context.clock.now_ms()
        names = set(self.source.organisations())
        names |= {name for name, pace in self._paces.items() if pace.urgent}
        # A holder can keep a draw of a scarce organisation for a while, so these go alone.
        due: dict[tuple[NodeIdentity, bool], list[OrganisationId]] = defaultdict(list)
        companions: dict[tuple[NodeIdentity, bool], list[OrganisationId]] = defaultdict(list)
        wait_ms = self.period_ms
        for name in sorted(names):
            pace = self._paces[name]
            grantor = self.source.grantor(name)
            if pace.in_flight or grantor is None:
                continue
            left_ms = pace.last_at_ms + self._interval_ms(pace) - now_ms
            if left_ms <= 0.01:
                due[grantor, pace.scarce].append(name)
                continue
            wait_ms = min(wait_ms, left_ms)
            if now_ms - pace.last_at_ms >= BATCH_AGE_RATIO * self.period_ms:
                companions[grantor, pace.scarce].append(name)
        for key, organisations in due.items():
            self.context.spawn(self._draw(key[0], organisations + companions[key]))
        return wait_ms

    def _interval_ms(self, pace: _Pace) -> float:
        times = self.context.times
        if not pace.urgent:
            return self.period_ms
        return times.scarce_min_spacing_ms if pace.scarce else self.min_spacing_ms

    async def _draw(self, grantor: NodeIdentity, organisations: list[OrganisationId]) -> None:
        context = self.context
        sent_at_ms = context.clock.now_ms()
        epoch = context.epoch
        for name in organisations:
            pace = self._paces[name]
            pace.in_flight, pace.urgent, pace.last_at_ms = True, False, sent_at_ms
        entries = tuple(self.source.entry(name) for name in organisations)
        draw = Draw(self.tier, context.next_sequence(), entries)
        answer = await context.request(grantor.upstream_id, draw, context.times.draw_timeout_ms)
        for name in organisations:
            self._paces[name].in_flight = False
        if isinstance(answer, DrawAnswer) and epoch == context.epoch:
            expires_at_ms = user_expiry_ms(sent_at_ms, answer.validity_ms)
            grants = {grant.organisation_id: grant for grant in answer.entries}
            for entry in entries:
                name = entry.organisation_id
                if name in grants:
                    self.source.receive(grantor, grants[name], expires_at_ms)
                    self._paces[name].scarce = grants[name].granted < entry.wanted
        for name in organisations:
            self._paces[name].urgent |= self.source.waits(name)
        self._woken.set()
