"""Combine the quota roles of one process: member, zone holder and fleet holder."""

from ..clock import Clock
from ..errors import RateExceeded
from ..events import PROCESS_PAUSED, QUOTA_PERMISSIONS_DROPPED, TASK_FAILED
from ..ids import NodeIdentity, OrganisationId
from ..logs import log
from ..protocol.messages_quota import (
    Draw,
    DrawAnswer,
    FleetPoll,
    Hello,
    Offer,
    Poll,
    Release,
    TakeOver,
    Tier,
    Withdraw,
)
from ..state.members import Members
from ..state.plan import Plan
from .peer_network import PeerNetwork
from .quota import Quota
from .quota_context import QuotaContext, QuotaTimes
from .quota_draws import DrawLoop
from .quota_fleet_holder import FleetHolder
from .quota_member import QuotaMember
from .quota_stock import NodeStock
from .quota_zone_holder import ZoneHolder


class EscrowQuota(Quota):
    """Limit organisations to their rate and burst over the whole fleet.

    Every process is a member and can become holder of its zone and fleet holder of organisations.
    Members delegate their fractions of rate and burst to a zone holder, and zone holders delegate
    the sums to fleet holders. Nodes draw tokens from zone holders, and these draw them from fleet
    holders; both are called drawers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        members: Members,
        clock: Clock,
        times: QuotaTimes | None = None,
    ):
        """Create the roles and subscribe to their messages.

        Args:
            network: Network endpoint of the process.
            members: Membership view of the process.
            clock: Clock of all leases.
            times: Intervals, timeouts and amounts.
        """
        self.context = QuotaContext(network, members, clock, times or QuotaTimes())
        self.member = QuotaMember(self.context)
        self.stock = NodeStock(self.context, self.member)
        self.zone_holder = ZoneHolder(self.context, self.member)
        self.fleet_holder = FleetHolder(self.context, self.zone_holder)
        times = self.context.times
        self.stock.draw_loop = DrawLoop(
            self.context, Tier.ZONE, times.draw_interval_ms, times.min_spacing_ms, self.stock
        )
        self.zone_holder.draw_loop = DrawLoop(
            self.context,
            Tier.FLEET,
            times.zone_draw_interval_ms,
            times.zone_min_spacing_ms,
            self.zone_holder,
        )
        self._last_tick_at_ms = clock.now_ms()
        self._subscribe()

    def start(self) -> None:
        """Start the tasks."""
        for name, coroutine in (
            ("quota ticks", self._tick()),
            ("quota introduction", self.member.announce()),
            ("quota zone holder", self.zone_holder.run()),
            ("quota fleet holder", self.fleet_holder.run()),
            ("quota node draws", self.stock.draw_loop.run()),
            ("quota zone draws", self.zone_holder.draw_loop.run()),
        ):
            self.context.spawn(self._run_and_log_failure(name, coroutine))

    async def leave(self) -> None:
        """Hand the holder roles over for good before a planned stop."""
        self.zone_holder.leaving = True
        self.fleet_holder.leaving = True
        # The fractions of the local zone are withdrawn from the buckets before a successor takes
        # these over.
        await self.zone_holder.hand_over()
        await self.fleet_holder.offer_buckets()

    async def stop(self) -> None:
        """Cancel the tasks."""
        await self.context.close()

    def accept_plan(self, plan: Plan) -> None:
        """Apply a plan; decreases take effect at once, increases once the plan is settled."""
        self._check_pause()
        self.context.accept_plan(plan)
        self.fleet_holder.accept_plan()

    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Acquire one token, waiting for it if necessary."""
        self._check_pause()
        if self.context.organisation(organisation_id) is None:
            raise RateExceeded()
        await self.stock.acquire(organisation_id, max_wait_ms)

    def expire_all(self) -> None:
        """Drop all tokens and received delegations; promises to other holders stay in force."""
        self.context.epoch += 1
        tokens = self.stock.drop()
        zone_tokens, shares = self.zone_holder.expire_all()
        shares += self.fleet_holder.expire_all()
        self._last_tick_at_ms = self.context.clock.now_ms()
        log(QUOTA_PERMISSIONS_DROPPED, tokens=tokens + zone_tokens, shares=shares)

    def _subscribe(self) -> None:
        subscribe = self.context.subscribe
        subscribe(Hello, self._with_pause_check(self.member.on_hello))
        subscribe(Poll, self._with_pause_check(self._on_poll))
        subscribe(FleetPoll, self._with_pause_check(self._on_fleet_poll))
        subscribe(Draw, self._with_pause_check(self._on_draw))
        subscribe(Release, self._with_pause_check(self._on_release))
        subscribe(Offer, self._with_pause_check(self.fleet_holder.on_offer))
        subscribe(TakeOver, self._with_pause_check(self.fleet_holder.on_take_over))
        subscribe(Withdraw, self._with_pause_check(self.fleet_holder.on_withdraw))

    def _with_pause_check(self, handler):
        def handle_message(sender: NodeIdentity, message):
            self._check_pause()
            return handler(sender, message)

        return handle_message

    def _on_poll(self, sender: NodeIdentity, poll: Poll):
        answer = self.member.on_poll(sender, poll)
        if self.zone_holder.active and self.member.followed_holder not in (
            None,
            self.context.local,
        ):
            self.fleet_holder.step_down(sorted(self.fleet_holder.led_organisations))
            self.context.spawn(self.zone_holder.hand_over())
        return answer

    def _on_fleet_poll(self, sender: NodeIdentity, poll: FleetPoll):
        answer = self.zone_holder.on_fleet_poll(sender, poll)
        if answer is not None and sender != self.context.local:
            self.fleet_holder.step_down(
                sorted(set(answer.following) & self.fleet_holder.led_organisations)
            )
        return answer

    def _on_draw(self, sender: NodeIdentity, draw: Draw) -> DrawAnswer | None:
        role = self.fleet_holder if draw.tier is Tier.FLEET else self.zone_holder
        return role.on_draw(sender, draw)

    def _on_release(self, sender: NodeIdentity, release: Release):
        if release.tier is Tier.FLEET:
            return self.zone_holder.on_fleet_release(sender, release)
        return self.member.on_release(sender, release)

    def _check_pause(self) -> None:
        now_ms = self.context.clock.now_ms()
        gap_ms = now_ms - self._last_tick_at_ms
        if gap_ms > self.context.times.pause_threshold_ms:
            log(PROCESS_PAUSED, gap_ms=gap_ms)
            self.expire_all()

    async def _tick(self) -> None:
        while True:
            self._check_pause()
            self._last_tick_at_ms = self.context.clock.now_ms()
            self.stock.measure()
            await self.context.clock.sleep_ms(self.context.times.tick_interval_ms)

    async def _run_and_log_failure(self, name: str, coroutine) -> None:
        try:
            await coroutine
        except Exception as error:
            log(TASK_FAILED, task=name, error=repr(error))
            raise
