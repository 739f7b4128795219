"""Delegate the fraction of the local upstream to a holder of its availability zone."""

import asyncio

from ..events import HOLDER_CHANGED
from ..ids import NodeIdentity, UpstreamId
from ..logs import log
from ..protocol.messages_quota import Done, Hello, HelloAnswer, Poll, PollAnswer, Release, Tier
from ..state.escrow import DelegationRecord, grantor_expiry_ms
from .quota_context import QuotaContext


class QuotaMember:
    """Answer the polls of zone holders.

    A member *follows* the holder from which its node draws tokens, and its *promise* records the
    holder to which its fraction is delegated. After the loss of a holder the two differ until the
    delegation and the tokens granted under it have expired.
    """

    def __init__(self, context: QuotaContext):
        """Create a member that has not announced its process yet.

        Args:
            context: Shared parts of the process.
        """
        self.context = context
        self.promise: DelegationRecord[NodeIdentity] = DelegationRecord()
        self.followed_holder: NodeIdentity | None = None
        self.last_poll_at_ms = 0.0
        self.announced = False
        self._fraction_usable_from_ms = float("inf")

    async def announce(self) -> None:
        """Announce the process to its peers and set when its fraction becomes usable.

        A previous process of this upstream that still runs uses the fraction only while peers that
        do not know of its replacement answer it. So every reachable peer has to know, and the
        leases that the previous process gave have to expire first.
        """
        context, times = self.context, self.context.times
        while context.plan is None:
            await context.clock.sleep_ms(times.hello_interval_ms)
        if not await self._send_hellos(self._zone_peers()):
            # The previous process asks another zone if it reaches no peer in its own, so those
            # processes have to know as well.
            await self._send_hellos(self._upstreams_of_other_zones())
        wait_ms = grantor_expiry_ms(0, times.delegation_duration_ms) + grantor_expiry_ms(
            0, times.grant_validity_ms
        )
        self._fraction_usable_from_ms = grantor_expiry_ms(context.clock.now_ms(), wait_ms)
        self.announced = True

    def on_hello(self, sender: NodeIdentity, hello: Hello) -> HelloAnswer:
        """Record the start of a process and report whether a newer one is known."""
        is_newest = self.context.record_start(sender.upstream_id, sender.start_number)
        return HelloAnswer(not is_newest, self.context.local.start_number)

    def on_poll(self, sender: NodeIdentity, poll: Poll) -> PollAnswer | None:
        """Delegate the fraction to the sender unless another holder may still use it."""
        context = self.context
        if not context.accept_sequence("poll", sender, poll.sequence):
            return None
        if not context.record_start(sender.upstream_id, sender.start_number):
            return self._make_answer(0.0, superseded=True)
        context.accept_settled_version(poll.settled_version)
        if not self._accepts_holder(sender):
            return self._make_answer(0.0, declined=True)
        now_ms = context.clock.now_ms()
        if self.followed_holder != sender:
            log(HOLDER_CHANGED, role="zone", upstream_id=sender.upstream_id)
        self.followed_holder, self.last_poll_at_ms = sender, now_ms
        fraction = context.fraction_history.usable_fraction()
        usable = now_ms >= self._fraction_usable_from_ms and not context.superseded
        if not usable or not self.promise.may_delegate_to(sender, now_ms):
            return self._make_answer(0.0)
        if fraction > 0:
            times = context.times
            self.promise.delegate(
                sender, poll.sequence, now_ms, times.delegation_duration_ms, times.grant_validity_ms
            )
        return self._make_answer(fraction)

    def on_release(self, sender: NodeIdentity, release: Release) -> Done:
        """Free the fraction for another holder once the tokens of the sender have expired."""
        if release.tier is Tier.ZONE:
            context = self.context
            context.accept_sequence("poll", sender, release.sequence)
            self.promise.release(
                sender, release.sequence, context.clock.now_ms(), context.times.grant_validity_ms
            )
            if self.followed_holder == sender:
                self.followed_holder = None
        return Done()

    def has_other_live_holder(self) -> bool:
        """Return whether this process follows another, reachable one that polled it lately."""
        silence_ms = self.context.clock.now_ms() - self.last_poll_at_ms
        return (
            self.followed_holder not in (None, self.context.local)
            and silence_ms < self.context.times.holder_timeout_ms
            and self.context.is_reachable(self.followed_holder)
        )

    def grantor(self) -> NodeIdentity | None:
        """Return the zone holder to draw from, or None if it is unknown or silent."""
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

    def _make_answer(
        self, fraction: float, superseded: bool = False, declined: bool = False
    ) -> PollAnswer:
        context = self.context
        return PollAnswer(
            fraction=fraction,
            duration_ms=context.times.delegation_duration_ms,
            versions=context.fraction_history.versions(),
            settled_version=context.fraction_history.settled_version,
            superseded=superseded,
            started=self.announced,
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
        """Announce this process to peers until all have answered or the time is up.

        Returns:
            Whether all have answered.
        """
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
