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
        self.followed_holder: NodeIdentity | None = None
        self.last_poll_at_ms = 0.0
        self.started = False
        self._fraction_usable_from_ms = float("inf")

    async def announce(self) -> None:
        """Make the process known in its availability zone, then wait out its predecessor.

        A predecessor that is still awake uses the fraction only while a peer that does not know of
        this process answers it, so every peer that can be reached must know.
        """
        context, times = self.context, self.context.times
        while context.plan is None:
            await context.clock.sleep_ms(times.hello_interval_ms)
        if not await self._send_hellos(self._zone_peers()):
            # Where a peer is missing, processes of other zones can be the witnesses.
            await self._send_hellos(self._upstreams_of_other_zones())
        wait_ms = giver_expiry_ms(0, times.delegation_duration_ms) + giver_expiry_ms(
            0, times.grant_validity_ms
        )
        self._fraction_usable_from_ms = giver_expiry_ms(context.clock.now_ms(), wait_ms)
        self.started = True

    def on_hello(self, sender: NodeIdentity, hello: Hello) -> HelloAnswer:
        """Remember a new process."""
        newest = self.context.record_start(sender.upstream_id, sender.start_number)
        return HelloAnswer(not newest, self.context.local.start_number)

    def on_poll(self, sender: NodeIdentity, poll: Poll) -> PollAnswer | None:
        """Delegate the fraction if it is free for the sender."""
        context = self.context
        if not context.accept_sequence("poll", sender, poll.sequence):
            return None
        if not context.record_start(sender.upstream_id, sender.start_number):
            return self._answer(0.0, superseded=True)
        context.accept_settled_version(poll.settled_version)
        if not self._accepts_holder(sender):
            return self._answer(0.0, declined=True)
        now_ms = context.clock.now_ms()
        if self.followed_holder != sender:
            log(HOLDER_CHANGED, role="zone", upstream_id=sender.upstream_id)
        self.followed_holder, self.last_poll_at_ms = sender, now_ms
        fraction = context.fraction_history.usable()
        usable = now_ms >= self._fraction_usable_from_ms and not context.superseded
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
            context.accept_sequence("poll", sender, release.sequence)
            self.promise.shorten(
                sender, release.sequence, context.clock.now_ms(), context.times.grant_validity_ms
            )
            if self.followed_holder == sender:
                self.followed_holder = None
        return Done()

    def has_other_live_holder(self) -> bool:
        """Return whether another process holds the zone, as far as this one can tell."""
        silence_ms = self.context.clock.now_ms() - self.last_poll_at_ms
        return (
            self.followed_holder not in (None, self.context.local)
            and silence_ms < self.context.times.holder_timeout_ms
            and self.context.is_reachable(self.followed_holder)
        )

    def grantor(self) -> NodeIdentity | None:
        """Return the zone holder to draw from."""
        silence_ms = self.context.clock.now_ms() - self.last_poll_at_ms
        return (
            self.followed_holder if silence_ms < self.context.times.delegation_duration_ms else None
        )

    def _accepts_holder(self, sender: NodeIdentity) -> bool:
        if sender == self.followed_holder or not self._has_live_holder():
            return True
        zone_key = f"zone {self.context.local.availability_zone}"
        return self.followed_holder.upstream_id == sender.upstream_id or self.context.ranks_higher(
            zone_key, sender.upstream_id, self.followed_holder.upstream_id
        )

    def _has_live_holder(self) -> bool:
        return self.followed_holder == self.context.local or self.has_other_live_holder()

    def _answer(
        self, fraction: float, superseded: bool = False, declined: bool = False
    ) -> PollAnswer:
        context = self.context
        return PollAnswer(
            fraction=fraction,
            duration_ms=context.times.delegation_duration_ms,
            versions=context.fraction_history.versions(),
            settled_version=context.fraction_history.settled_version,
            superseded=superseded,
            started=self.started,
            declined=declined,
            start_number=context.local.start_number,
        )

    def _zone_peers(self) -> list[UpstreamId]:
        context = self.context
        planned = context.planned_upstreams(context.local.availability_zone)
        return [peer for peer in planned if peer != context.local.upstream_id]

    def _upstreams_of_other_zones(self) -> list[UpstreamId]:
        context = self.context
        local_zone = context.local.availability_zone
        zones = [zone for zone in context.planned_zones() if zone != local_zone]
        return [name for zone in zones for name in context.planned_upstreams(zone)]

    async def _send_hellos(self, unaware: list[UpstreamId]) -> bool:
        """Greet peers until all know this process or the patience ends."""
        context, times = self.context, self.context.times
        deadline_ms = context.clock.now_ms() + times.hello_timeout_ms
        while unaware and context.clock.now_ms() < deadline_ms:
            answers = await asyncio.gather(*[self._send_hello(peer) for peer in unaware])
            unaware = [peer for peer, known in zip(unaware, answers, strict=True) if not known]
            if unaware:
                await context.clock.sleep_ms(times.hello_interval_ms)
        return not unaware

    async def _send_hello(self, peer: UpstreamId) -> bool:
        timeout_ms = self.context.times.hello_interval_ms
        answer = await self.context.request(peer, Hello(), timeout_ms)
        if not isinstance(answer, HelloAnswer):
            return False
        self.context.record_start(peer, answer.start_number)
        if answer.superseded:
            self.context.mark_superseded()
        return True
