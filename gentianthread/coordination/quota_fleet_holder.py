"""Manage the token buckets of organisations for all reachable zones."""

import asyncio

import attrs

from ..events import DELEGATION_LAPSED, HOLDER_CHANGED, QUOTA_VERSION_SETTLED
from ..ids import AvailabilityZoneId, NodeIdentity, OrganisationId, UpstreamId
from ..logs import log
from ..protocol.messages_quota import (
    BucketTransfer,
    BucketTransfers,
    DelegationTransfer,
    Done,
    Draw,
    DrawAnswer,
    DrawEntry,
    DrawerTransfer,
    FleetAnswer,
    FleetPoll,
    GrantEntry,
    Offer,
    Release,
    TakeOver,
    Tier,
    Withdraw,
)
from ..state.escrow import Pool, grantor_expiry_ms, holder_expiry_ms
from ..state.members import MemberState
from ..state.rendezvous import choose
from .quota_context import QuotaContext
from .quota_zone_holder import FAST_POLL_FACTOR, ZoneHolder

# Fill of a bucket above which a zone with little demand prefetches the minimum of tokens.
MIN_PREFETCH_FILL_RATIO = 0.3
# The minimum is at most this part of the capacity of the bucket.
MIN_PREFETCH_CAPACITY_RATIO = 0.05


@attrs.define
class _ZoneState:
    """Store the last answer of a zone holder.

    Attributes:
        holder: The zone holder, or None if it is unknown.
        heard_at_ms: When its last answer arrived.
        confirmed: Plan versions that all fractions of the zone respect.
    """

    holder: UpstreamId | None = None
    heard_at_ms: float = float("-inf")
    confirmed: tuple[int, ...] = ()


class FleetHolder:
    """Poll zone holders and manage a pool for each organisation that this process leads.

    A process leads an organisation if it is its fleet holder. Each zone holder is fleet holder of
    the organisations for which rendezvous hashing ranks its zone first among the reachable ones.
    """

    def __init__(self, context: QuotaContext, zone_holder: ZoneHolder):
        """Create a holder that leads no organisation.

        Args:
            context: Shared parts of the process.
            zone_holder: Zone holder role of the process.
        """
        self.context = context
        self.zone_holder = zone_holder
        self.pools: dict[OrganisationId, Pool[NodeIdentity]] = {}
        self.led_organisations: set[OrganisationId] = set()
        self._zone_states: dict[AvailabilityZoneId, _ZoneState] = {}
        self._released_sequences: dict[OrganisationId, int] = {}
        self._withdrawn_sequences: dict[NodeIdentity, int] = {}
        self._expired_sequence = 0
        self._fast_poll_until_ms = 0.0
        self._wake_event = asyncio.Event()
        self._predecessors: dict[OrganisationId, tuple[NodeIdentity, float]] = {}
        self.leaving = False
        self._settling_until_ms: dict[int, float] = {}

    # Role of the process

    async def run(self) -> None:
        """Poll the zones for the organisations that this process leads."""
        context = self.context
        while True:
            self._update_led_organisations()
            if self.led_organisations:
                context.spawn(self._poll_fleet(tuple(sorted(self.led_organisations))))
                polls_fast = context.clock.now_ms() < self._fast_poll_until_ms
                poll_interval_ms = context.times.poll_interval_ms
                wait_ms = poll_interval_ms / FAST_POLL_FACTOR if polls_fast else poll_interval_ms
                self._wake_event.clear()
                try:
                    async with asyncio.timeout(wait_ms / 1000):
                        await self._wake_event.wait()
                except TimeoutError:
                    pass
                # The wait above runs on the event loop; this one runs on the clock, which tests can
                # pause.
                await context.clock.sleep_ms(poll_interval_ms / 10)
            else:
                await context.clock.sleep_ms(context.times.poll_interval_ms / 4)

    def _update_led_organisations(self) -> None:
        context = self.context
        if self.leaving:
            return
        if not self.zone_holder.active:
            self.step_down(sorted(self.led_organisations))
            return
        reachable = [zone for zone in context.planned_zones() if context.reachable(zone)]
        organisations = context.plan.organisations if context.plan else {}
        for name in sorted(set(organisations) - self.led_organisations):
            best = choose(f"organisation {name}", reachable)
            is_ranked_first = best == context.local.availability_zone
            if is_ranked_first and self.zone_holder.may_become_fleet_holder(name):
                self._lead(name)
        self.step_down(sorted(self.led_organisations - set(organisations)))

    async def offer_buckets(self) -> None:
        """Offer buckets with all their tokens to other zone holders before a planned stop."""
        self.leaving = True
        offers: dict[UpstreamId, list[OrganisationId]] = {}
        for name in sorted(self.led_organisations):
            successor = self._successor(name)
            if successor is not None:
                offers.setdefault(successor, []).append(name)
        timeout_ms = self.context.times.poll_timeout_ms
        await asyncio.gather(
            *[
                self.context.request(successor, Offer(tuple(names)), timeout_ms)
                for successor, names in offers.items()
            ]
        )
        self.step_down(sorted(self.led_organisations))

    def _successor(self, name: OrganisationId) -> UpstreamId | None:
        context = self.context
        zones = [
            zone
            for zone, state in self._zone_states.items()
            if zone != context.local.availability_zone
            and state.holder in context.candidates(zone)
            and context.clock.now_ms() - state.heard_at_ms < context.times.holder_timeout_ms
        ]
        best = choose(f"organisation {name}", zones)
        return self._zone_states[best].holder if best else None

    async def on_offer(self, sender: NodeIdentity, offer: Offer) -> Done | None:
        """Request the offered buckets and take them over."""
        context = self.context
        names = tuple(name for name in offer.organisations if name not in self.led_organisations)
        if not self.zone_holder.active or self.leaving:
            return None
        sent_at_ms, epoch = context.clock.now_ms(), context.epoch
        timeout_ms = context.times.poll_timeout_ms / 2
        answer = await context.request(sender.upstream_id, TakeOver(names), timeout_ms)
        if not isinstance(answer, BucketTransfers) or epoch != context.epoch:
            return None
        for estate in answer.transfers:
            if estate.organisation_id not in self.led_organisations and self.zone_holder.active:
                self._adopt_estate(sender, estate, sent_at_ms)
        context.spawn(self._poll_fleet(tuple(sorted(self.led_organisations))))
        return Done()

    def on_take_over(self, sender: NodeIdentity, request: TakeOver) -> BucketTransfers:
        """Hand buckets over to a successor and stop using them."""
        estates = []
        for name in request.organisations:
            if not self.leaving or name not in self.led_organisations or name not in self.pools:
                continue
            pool = self.pools[name]
            pool.refresh()
            estates.append(make_estate(name, pool))
            self.led_organisations.discard(name)
            self._released_sequences[name] = self.context.sequence
            pool.drop_shares()
        return BucketTransfers(tuple(estates))

    def _adopt_estate(
        self, sender: NodeIdentity, estate: BucketTransfer, sent_at_ms: float
    ) -> None:
        name, now_ms = estate.organisation_id, self.context.clock.now_ms()
        pool = self._pool(name)
        pool.drop_shares()
        # Shares expire here before they do at their delegators, so their time counts from the
        # request. Records outlast the tokens of the drawers, so theirs counts from now.
        for share in estate.shares:
            expires_at_ms = holder_expiry_ms(sent_at_ms, share.remaining_ms)
            pool.shares.set(share.delegator, share.fraction, expires_at_ms)
        for record in estate.records:
            pool.ledger.merge_record(
                record.drawer,
                record.sequence,
                record.amount,
                record.returned,
                record.demand_per_s,
                grantor_expiry_ms(now_ms, record.remaining_ms),
            )
        pool.add_level(estate.level)
        self._lead(name)
        times = self.context.times
        self._predecessors[name] = (
            sender,
            now_ms + times.delegation_duration_ms + times.grant_validity_ms,
        )

    def _lead(self, name: OrganisationId) -> None:
        self.led_organisations.add(name)
        self._poll_faster()
        local_id = self.context.local.upstream_id
        log(HOLDER_CHANGED, role=f"{name} fleet", upstream_id=local_id)

    def _poll_faster(self) -> None:
        times = self.context.times
        duration_ms = times.delegation_duration_ms + 2 * times.grant_validity_ms
        self._fast_poll_until_ms = self.context.clock.now_ms() + duration_ms
        self._wake_event.set()

    def _recent_predecessors(self) -> tuple[tuple[OrganisationId, NodeIdentity], ...]:
        now_ms = self.context.clock.now_ms()
        return tuple(
            (name, identity)
            for name, (identity, until_ms) in sorted(self._predecessors.items())
            if name in self.led_organisations and now_ms < until_ms
        )

    def step_down(self, organisations: list[OrganisationId]) -> None:
        """Stop leading organisations and release their shares before these expire."""
        given_up = [name for name in organisations if name in self.led_organisations]
        if not given_up:
            return
        sequence = self.context.sequence
        delegators: set[UpstreamId] = set()
        for name in given_up:
            self.led_organisations.discard(name)
            self._predecessors.pop(name, None)
            self._released_sequences[name] = sequence
            if name in self.pools:
                delegators |= {key.upstream_id for key in self.pools[name].shares.delegators()}
                self.pools[name].drop_shares()
        release = Release(Tier.FLEET, sequence, tuple(given_up))
        for upstream_id in sorted(delegators):
            self.context.spawn(self._release(upstream_id, release))

    async def _release(self, upstream_id: UpstreamId, release: Release) -> None:
        await self.context.request(upstream_id, release, self.context.times.poll_timeout_ms)

    def on_withdraw(self, sender: NodeIdentity, withdraw: Withdraw) -> Done | None:
        """Stop using the shares of a zone holder."""
        if self.leaving and sender != self.context.local:
            # A successor may already use the shares, so this process cannot confirm.
            return None
        self._withdrawn_sequences[sender] = self.context.sequence
        # The zone gets a new holder, which has to be polled before its nodes run out of tokens.
        self._poll_faster()
        for pool in self.pools.values():
            pool.drop_share(sender)
        return Done()

    def accept_plan(self) -> None:
        """Apply the rates and bursts of the current plan to all pools."""
        for name, pool in self.pools.items():
            organisation = self.context.organisation(name)
            rate, burst = (organisation.rate_per_s, organisation.burst) if organisation else (0, 0)
            pool.set_limits(rate, burst)

    def expire_all(self) -> int:
        """Drop levels and delegations after a pause and return the number of delegations."""
        self._expired_sequence = self.context.sequence
        dropped = sum(len(pool.shares) for pool in self.pools.values())
        for pool in self.pools.values():
            pool.drop_shares()
        return dropped

    # Polls of the zones

    async def _poll_fleet(self, organisations: tuple[OrganisationId, ...]) -> None:
        zones = [zone for zone in self.context.planned_zones() if self.context.reachable(zone)]
        await asyncio.gather(*[self._poll_zone(zone, organisations) for zone in zones])
        for pool in self.pools.values():
            for holder in pool.refresh():
                log(DELEGATION_LAPSED, upstream_id=holder.upstream_id)
            pool.ledger.remove_expired(self.context.clock.now_ms())
        self._update_settled_version()

    async def _poll_zone(
        self, zone: AvailabilityZoneId, organisations: tuple[OrganisationId, ...]
    ) -> None:
        context = self.context
        upstream_id = self._zone_holder_of(zone)
        # A process that is not the zone holder names the one that it follows. If no answer comes,
        # the next candidate is polled.
        for _ in range(3):
            if upstream_id is None:
                return
            poll = FleetPoll(
                context.next_sequence(),
                organisations,
                context.fraction_history.settled_version,
                self._recent_predecessors(),
            )
            sent_at_ms = context.clock.now_ms()
            answer = await context.request(upstream_id, poll, context.times.poll_timeout_ms)
            state = self._zone_states.setdefault(zone, _ZoneState())
            if not isinstance(answer, FleetAnswer):
                state.holder = None
                others = set(context.candidates(zone)) - {upstream_id, context.local.upstream_id}
                upstream_id = choose(f"zone {zone}", others)
                continue
            context.accept_settled_version(answer.settled_version)
            if answer.holder is None:
                identity = NodeIdentity(upstream_id, zone, answer.start_number)
                self._process_answer(identity, poll, sent_at_ms, answer, state)
                return
            upstream_id = state.holder = answer.holder

    def _zone_holder_of(self, zone: AvailabilityZoneId) -> UpstreamId | None:
        if zone == self.context.local.availability_zone:
            return self.context.local.upstream_id
        reachable = self.context.reachable(zone)
        known_holder = self._zone_states.get(zone, _ZoneState()).holder
        return known_holder if known_holder in reachable else choose(f"zone {zone}", reachable)

    def _process_answer(
        self,
        zone_holder: NodeIdentity,
        poll: FleetPoll,
        sent_at_ms: float,
        answer: FleetAnswer,
        state: _ZoneState,
    ) -> None:
        context = self.context
        if not context.record_start(zone_holder.upstream_id, zone_holder.start_number):
            return
        state.holder = zone_holder.upstream_id
        state.heard_at_ms = context.clock.now_ms()
        state.confirmed = answer.confirmed
        last_dropped_sequence = max(
            self._withdrawn_sequences.get(zone_holder, 0), self._expired_sequence
        )
        if poll.sequence <= last_dropped_sequence:
            return
        expires_at_ms = holder_expiry_ms(sent_at_ms, answer.duration_ms)
        for name in poll.organisations:
            if name not in self.led_organisations or poll.sequence <= self._released_sequences.get(
                name, 0
            ):
                continue
            if name in answer.delegating:
                self._pool(name).set_share(zone_holder, answer.fraction, expires_at_ms)
            else:
                self._pool(name).drop_share(zone_holder)

    def _pool(self, name: OrganisationId) -> Pool[NodeIdentity]:
        if name not in self.pools:
            organisation = self.context.organisation(name)
            rate, burst = (organisation.rate_per_s, organisation.burst) if organisation else (0, 0)
            self.pools[name] = Pool(self.context.clock, rate, burst)
        return self.pools[name]

    # Plan versions

    def _update_settled_version(self) -> None:
        """Mark a plan version as settled once older delegations have expired.

        Delegations under older versions can last for the settling duration after all zones have
        confirmed the version.
        """
        context = self.context
        now_ms = context.clock.now_ms()
        confirmed_by_all = self._confirmed_everywhere(now_ms)
        for version in sorted(confirmed_by_all):
            if context.fraction_history.settled_version is None:
                # No version was in force before, and no process uses its fraction until the leases
                # of the previous process have expired, so there is nothing to wait for.
                self._settling_until_ms[version] = now_ms
            self._settling_until_ms.setdefault(version, now_ms + self._settling_duration_ms())
        settled = [version for version, at_ms in self._settling_until_ms.items() if at_ms <= now_ms]
        if settled and max(settled) > (context.fraction_history.settled_version or -1):
            log(QUOTA_VERSION_SETTLED, version=max(settled))
            context.accept_settled_version(max(settled))
        for version in list(self._settling_until_ms):
            if version <= (context.fraction_history.settled_version or -1):
                del self._settling_until_ms[version]

    def _settling_duration_ms(self) -> float:
        times = self.context.times
        return grantor_expiry_ms(
            grantor_expiry_ms(0, times.delegation_duration_ms), times.grant_validity_ms
        )

    def _confirmed_everywhere(self, now_ms: float) -> set[int]:
        context = self.context
        confirmed_by_all: set[int] | None = None
        for zone in context.planned_zones():
            state = self._zone_states.get(zone, _ZoneState())
            if now_ms - state.heard_at_ms < context.times.delegation_duration_ms:
                confirmed = set(state.confirmed)
                confirmed_by_all = (
                    confirmed if confirmed_by_all is None else confirmed_by_all & confirmed
                )
            elif not self._may_skip_confirmation(zone):
                return set()
        return confirmed_by_all or set()

    def _may_skip_confirmation(self, zone: AvailabilityZoneId) -> bool:
        """Return whether a silent zone need not confirm a plan version.

        A zone that is only unreachable goes on using the older version, so an increase has to wait
        for it. An exception applies while no settled version is known, as after a restart of all
        reachable processes: they would have no quota at all until the partition ends.
        """
        context = self.context
        planned_upstreams = context.planned_upstreams(zone)
        if all(context.has_failed(name) for name in planned_upstreams):
            return True
        states = [context.members.get(name) for name in planned_upstreams]
        return context.fraction_history.settled_version is None and all(
            member is None or member.state in (MemberState.FAILED, MemberState.UNREACHABLE)
            for member in states
        )

    # Draws of the zone holders

    def on_draw(self, sender: NodeIdentity, draw: Draw) -> DrawAnswer | None:
        """Grant tokens to a zone holder."""
        grants = []
        for entry in draw.entries:
            name = entry.organisation_id
            if name not in self.led_organisations or name not in self.pools:
                continue
            pool = self.pools[name]
            record = pool.ledger.admit(sender, draw.sequence)
            if record is None:
                return None
            record.demand_per_s = float(max(0, entry.demand_per_s))
            if not pool.settle(sender, draw.sequence, entry.held, entry.returned):
                continue
            if pool.overdrawn():
                # Renews nothing, so that the tokens which the remaining shares do not cover expire
                # before the lapsed fractions are used by another holder.
                continue
            grants.append(self._grant(sender, pool, entry))
        return DrawAnswer(draw.sequence, self.context.times.grant_validity_ms, tuple(grants))

    def _grant(
        self, sender: NodeIdentity, pool: Pool[NodeIdentity], entry: DrawEntry
    ) -> GrantEntry:
        target = self._prefetch_target(sender, pool)
        need = max(entry.wanted, entry.wanted + target - entry.held)
        amount = pool.grant(sender, need, self.context.times.grant_validity_ms)
        return GrantEntry(entry.organisation_id, amount, target)

    def _prefetch_target(self, sender: NodeIdentity, pool: Pool[NodeIdentity]) -> int:
        """Return how many tokens a zone should hold in advance; more while the bucket is fuller."""
        times = self.context.times
        demand = pool.ledger.records[sender].demand_per_s
        total = pool.ledger.active_demand_per_s(self.context.clock.now_ms())
        if demand <= 0 or pool.bucket.cap <= 0:
            return 0
        fill_ratio = pool.bucket.level / pool.bucket.cap
        budget = times.prefetch_ratio * pool.bucket.level
        demand_limit = demand * times.prefetch_horizon_ms / 1000
        target = round(min(demand_limit, budget * demand / max(total, demand)))
        minimum = min(
            times.min_prefetch_tokens, round(MIN_PREFETCH_CAPACITY_RATIO * pool.bucket.cap)
        )
        return max(target, minimum) if fill_ratio > MIN_PREFETCH_FILL_RATIO else target


def make_estate(name: OrganisationId, pool: Pool[NodeIdentity]) -> BucketTransfer:
    """Return the level, the shares and the unexpired drawer records of a pool for its successor."""
    now_ms = pool.clock.now_ms()
    shares = tuple(
        DelegationTransfer(delegator, share.fraction, share.expires_at_ms - now_ms)
        for delegator, share in pool.shares.items()
    )
    records = tuple(
        DrawerTransfer(
            drawer,
            record.sequence,
            record.amount,
            record.returned,
            record.demand_per_s,
            record.expires_at_ms - now_ms,
        )
        for drawer, record in pool.ledger.records.items()
        if record.expires_at_ms > now_ms
    )
    return BucketTransfer(name, pool.bucket.level, shares, records)
