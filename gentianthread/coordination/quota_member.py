"""Delegate the fraction of the local upstream to a holder of its availability zone."""

import asyncio

from ..events import HOLDER_CHANGED
from ..ids import NodeIdentity, UpstreamId
from ..logs import log
from ..protocol.messages_quota import Done, Hello, HelloAnswer, Poll, PollAnswer, Release, Tier
from ..state.escrow import Promise, giver_expiry_ms
from .quota_context import QuotaContext


class QuotaMember:
    """Answer the polls of zone holders.

    A member *follows* one holder, from which its node draws tokens, and has *promised* its fraction
    to one holder. The two differ while a promise to a lost holder runs out.
    """

    def __init__(self, context: QuotaContext):
        """Create a member that has yet to introduce itself.

        Args:
            context: Shared parts of the process.
        """
        self.context = context
        self.promise: Promise[NodeIdentity] = Promise()
        self.follows: NodeIdentity | None = None
        self.polled_at_ms = 0.0
        self.started = False
        self._usable_from_ms = float("inf")

    async def introduce(self) -> None:
        """Make the process known in its availability zone, then wait out its predecessor.

        A predecessor that is still awake uses the fraction only while a peer that does not know of
        this process answers it, so every peer that can be reached must know.
        """
        context, times = self.context, self.context.times
        while context.plan is None:
            await context.clock.sleep_ms(times.hello_interval_ms)
        if not await self._greet_all(self._peers()):
            # Where a peer is missing, processes of other zones can be the witnesses.
            await self._greet_all(self._distant())
        wait_ms = giver_expiry_ms(0, times.delegation_duration_ms) + giver_expiry_ms(
            0, times.grant_validity_ms
        )
        self._usable_from_ms = giver_expiry_ms(context.clock.now_ms(), wait_ms)
        self.started = True

    def on_hello(self, sender: NodeIdentity, hello: Hello) -> HelloAnswer:
        """Remember a new process."""
        newest = self.context.note(sender.upstream_id, sender.start_number)
        return HelloAnswer(not newest, self.context.local.start_number)

    def on_poll(self, sender: NodeIdentity, poll: Poll) -> PollAnswer | None:
        """Delegate the fraction if it is free for the sender."""
        context = self.context
        if not context.is_new("poll", sender, poll.sequence):
            return None
        if not context.note(sender.upstream_id, sender.start_number):
            return self._answer(0.0, superseded=True)
        context.settle(poll.settled_version)
        if not self._accepts(sender):
            return self._answer(0.0, declined=True)
        now_ms = context.clock.now_ms()
        if self.follows != sender:
            log(HOLDER_CHANGED, role="zone", upstream_id=sender.upstream_id)
        self.follows, self.polled_at_ms = sender, now_ms
        fraction = context.history.usable()
        usable = now_ms >= self._usable_from_ms and not context.superseded
        if not usable or not self.promise.allows(sender, now_ms):
            return self._answer(0.0)
        if fraction > 0:
            times = context.times
            self.promise.extend(
                sender, poll.sequence, now_ms, times.delegation_duration_ms, times.grant_validity_ms
            )
        return self._answer(fraction)

    def on_release(self, sender: NodeIdentity, release: Release) -> Done:
        """Let the fraction go to another holder soon."""
        if release.tier is Tier.ZONE:
            context = self.context
            context.is_new("poll", sender, release.sequence)
            self.promise.shorten(
                sender, release.sequence, context.clock.now_ms(), context.times.grant_validity_ms
            )
            if self.follows == sender:
                self.follows = None
        return Done()

    def hears_holder(self) -> bool:
        """Return whether another process holds the zone, as far as this one can tell."""
        silence_ms = self.context.clock.now_ms() - self.polled_at_ms
        return (
            self.follows not in (None, self.context.local)
            and silence_ms < self.context.times.holder_timeout_ms
            and self.context.is_reachable(self.follows)
        )

    def giver(self) -> NodeIdentity | None:
        """Return the zone holder to draw from."""
        silence_ms = self.context.clock.now_ms() - self.polled_at_ms
        return self.follows if silence_ms < self.context.times.delegation_duration_ms else None

    def _accepts(self, sender: NodeIdentity) -> bool:
        if sender == self.follows or not self._hears_follows():
            return True
        zone_key = f"zone {self.context.local.availability_zone}"
        return self.follows.upstream_id == sender.upstream_id or self.context.better_placed(
            zone_key, sender.upstream_id, self.follows.upstream_id
        )

    def _hears_follows(self) -> bool:
        return self.follows == self.context.local or self.hears_holder()

    def _answer(
        self, fraction: float, superseded: bool = False, declined: bool = False
    ) -> PollAnswer:
        context = self.context
        return PollAnswer(
            fraction=fraction,
            duration_ms=context.times.delegation_duration_ms,
            versions=context.history.versions(),
            settled_version=context.history.settled_version,
            superseded=superseded,
            started=self.started,
            declined=declined,
            start_number=context.local.start_number,
        )

    def _peers(self) -> list[UpstreamId]:
        context = self.context
        planned = context.planned(context.local.availability_zone)
        return [peer for peer in planned if peer != context.local.upstream_id]

    def _distant(self) -> list[UpstreamId]:
        context = self.context
        local_zone = context.local.availability_zone
        zones = [zone for zone in context.zones() if zone != local_zone]
        return [name for zone in zones for name in context.planned(zone)]

    async def _greet_all(self, waiting: list[UpstreamId]) -> bool:
        """Greet peers until all know this process or the patience ends."""
        context, times = self.context, self.context.times
        deadline_ms = context.clock.now_ms() + times.hello_timeout_ms
        while waiting and context.clock.now_ms() < deadline_ms:
            answers = await asyncio.gather(*[self._greet(peer) for peer in waiting])
            waiting = [peer for peer, known in zip(waiting, answers, strict=True) if not known]
            if waiting:
                await context.clock.sleep_ms(times.hello_interval_ms)
        return not waiting

    async def _greet(self, peer: UpstreamId) -> bool:
        timeout_ms = self.context.times.hello_interval_ms
        answer = await self.context.ask(peer, Hello(), timeout_ms)
        if not isinstance(answer, HelloAnswer):
            return False
        self.context.note(peer, answer.start_number)
        if answer.superseded:
            self.context.mark_superseded()
        return True
