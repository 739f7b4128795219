"""Collect the delegated fractions of an availability zone and grant tokens to its nodes."""

import asyncio

from ..events import DELEGATION_LAPSED, HOLDER_CHANGED
from ..ids import NodeIdentity, OrganisationId, UpstreamId
from ..logs import log
from ..protocol.messages_quota import (
    Done,
    Draw,
    DrawAnswer,
    DrawEntry,
    FleetAnswer,
    FleetPoll,
    GrantEntry,
    Hello,
    HelloAnswer,
    Poll,
    PollAnswer,
    Release,
    Tier,
    Withdraw,
)
from ..state.escrow import DelegationRecord, Shares, holder_expiry_ms
from ..state.rendezvous import choose
from .quota_cache import ZoneCache
from .quota_context import QuotaContext
from .quota_draws import DrawLoop, DrawSource
from .quota_member import QuotaMember

# A zone's delegation lasts no longer than the first of its shares to expire, so shares that have
# less than this part of the delegation duration left are excluded.
MIN_SHARE_LIFETIME_RATIO = 0.4
# The zone holder draws ahead of its interval once its stock is down to this part of its target.
LOW_STOCK_RATIO = 0.7
# A new holder polls more often by this factor.
FAST_POLL_FACTOR = 4


class ZoneHolder(DrawSource):
    """Poll the members of the zone, delegate the sum of their fractions and cache tokens.

    A *witness* is another process that answers and knows no newer process of the local upstream.
    """

    def __init__(self, context: QuotaContext, member: QuotaMember):
        """Create an inactive holder.

        Args:
            context: Shared parts of the process.
            member: Member role of the process.
        """
        self.context = context
        self.member = member
        self.active = False
        self.leaving = False
        self.shares: Shares[UpstreamId] = Shares()
        self.caches: dict[OrganisationId, ZoneCache] = {}
        self.promises: dict[OrganisationId, DelegationRecord[NodeIdentity]] = {}
        self.followed_holders: dict[OrganisationId, NodeIdentity] = {}
        self.draw_loop: DrawLoop | None = None
        self._last_poll_at_ms: dict[OrganisationId, float] = {}
        self._member_versions: dict[UpstreamId, tuple[float, tuple[int, ...]]] = {}
        self._released_sequence = 0
        self._fast_poll_until_ms = 0.0
        self._created_at_ms = context.clock.now_ms()
        self._active_since_ms = 0.0
        self._last_witness_at_ms = float("-inf")
        self._supply_event = asyncio.Event()

    # Role of the process

    async def run(self) -> None:
        """Poll the zone while this process is its holder."""
        while True:
            if not self.active and self._should_become_holder():
                self.active = True
                self._active_since_ms = self.context.clock.now_ms()
                times = self.context.times
                # Fractions become free one by one as the delegations to the last holder expire.
                self._fast_poll_until_ms = (
                    self.context.clock.now_ms()
                    + times.delegation_duration_ms
                    + times.grant_validity_ms
                )
                log(HOLDER_CHANGED, role="zone", upstream_id=self.context.local.upstream_id)
            if self.active:
                self.context.spawn(self._poll_zone())
                await self.context.clock.sleep_ms(self._poll_interval_ms())
            else:
                await self.context.clock.sleep_ms(self.context.times.poll_interval_ms / 4)

    def _poll_interval_ms(self) -> float:
        times = self.context.times
        polls_fast = self.context.clock.now_ms() < self._fast_poll_until_ms
        return times.poll_interval_ms / FAST_POLL_FACTOR if polls_fast else times.poll_interval_ms

    def _should_become_holder(self) -> bool:
        context = self.context
        if self.leaving or context.superseded or context.plan is None:
            return False
        if context.clock.now_ms() < self._created_at_ms + context.times.holder_timeout_ms:
            # The current holder needs this long to notice a new process and poll it.
            return False
        zone = context.local.availability_zone
        best = choose(f"zone {zone}", context.candidates(zone))
        return best == context.local.upstream_id and not self.member.has_other_live_holder()

    def deactivate(self) -> None:
        """Stop acting as holder at once, but keep the records of grants and promises."""
        if not self.active:
            return
        self.active = False
        self._released_sequence = self.context.sequence
        self.shares.clear()
        for cache in self.caches.values():
            cache.drop()
            cache.switch_grantor(None)
        self.followed_holders.clear()
        if self.member.followed_holder == self.context.local:
            self.member.followed_holder = None

    async def hand_over(self) -> None:
        """Stop acting as holder and release the fractions early where that is safe.

        It is safe once all fleet holders have confirmed that they no longer use them; otherwise the
        delegations run until they expire.
        """
        if not self.active:
            return
        promises = {
            (promise.holder, name)
            for name, promise in self.promises.items()
            if promise.holder is not None
        }
        members = self.shares.delegators()
        self.deactivate()
        sequence = self._released_sequence
        holders = sorted({holder for holder, _ in promises})
        withdrawn = await asyncio.gather(*[self._request_withdrawal(holder) for holder in holders])
        if all(withdrawn):
            release = Release(Tier.ZONE, sequence, ())
            timeout_ms = self.context.times.poll_timeout_ms
            await asyncio.gather(
                *[self.context.request(member, release, timeout_ms) for member in members]
            )

    async def _request_withdrawal(self, holder: NodeIdentity) -> bool:
        timeout_ms = self.context.times.poll_timeout_ms
        answer = await self.context.request(holder.upstream_id, Withdraw(), timeout_ms)
        if not isinstance(answer, Done):
            return False
        times, now_ms = self.context.times, self.context.clock.now_ms()
        for promise in self.promises.values():
            promise.release(holder, promise.sequence, now_ms, times.grant_validity_ms)
        return True

    def expire_all(self) -> tuple[int, int]:
        """Drop tokens and delegations after a pause and return how many of each."""
        dropped = len(self.shares)
        self.shares.clear()
        self._released_sequence = self.context.sequence
        self._last_witness_at_ms = float("-inf")
        return sum(cache.drop() for cache in self.caches.values()), dropped

    # Polls of the members

    async def _poll_zone(self) -> None:
        context = self.context
        zone = context.local.availability_zone
        reachable = set(context.reachable(zone))
        local_id = context.local.upstream_id
        polled = [
            name for name in context.planned_upstreams(zone) if name in reachable - {local_id}
        ]
        await asyncio.gather(*[self._poll_member(name) for name in polled])
        if not polled:
            await self._request_remote_witness()
        # Polled last, so that the answers of this round count as witnesses for the local fraction.
        await self._poll_member(local_id)
        for upstream_id in self.shares.remove_lapsed(context.clock.now_ms()):
            log(DELEGATION_LAPSED, upstream_id=upstream_id)

    async def _request_remote_witness(self) -> None:
        """Ask other zones for a witness, one process each, until one answers."""
        context = self.context
        local_zone = context.local.availability_zone
        remote_upstreams = [
            choose(f"zone {zone}", context.reachable(zone))
            for zone in context.planned_zones()
            if zone != local_zone
        ]
        timeout_ms = context.times.poll_timeout_ms / 2
        for upstream_id in remote_upstreams:
            if upstream_id is None:
                continue
            sent_at_ms = context.clock.now_ms()
            answer = await context.request(upstream_id, Hello(), timeout_ms)
            if isinstance(answer, HelloAnswer):
                if answer.superseded:
                    context.mark_superseded()
                    self.deactivate()
                else:
                    self._last_witness_at_ms = max(self._last_witness_at_ms, sent_at_ms)
                return

    async def _poll_member(self, upstream_id: UpstreamId) -> None:
        context = self.context
        poll = Poll(context.next_sequence(), context.fraction_history.settled_version)
        sent_at_ms = context.clock.now_ms()
        answer = await context.request(upstream_id, poll, context.times.poll_timeout_ms)
        if not isinstance(answer, PollAnswer) or not self.active:
            return
        if poll.sequence <= self._released_sequence:
            return
        if not context.record_start(upstream_id, answer.start_number):
            return
        if answer.superseded:
            context.mark_superseded()
            self.deactivate()
            return
        self._process_answer(upstream_id, sent_at_ms, answer)

    def _process_answer(
        self, upstream_id: UpstreamId, sent_at_ms: float, answer: PollAnswer
    ) -> None:
        context = self.context
        context.accept_settled_version(answer.settled_version)
        if answer.started and upstream_id != context.local.upstream_id:
            self._last_witness_at_ms = max(self._last_witness_at_ms, sent_at_ms)
        self._member_versions[upstream_id] = (context.clock.now_ms(), answer.versions)
        if answer.declined:
            self.shares.drop(upstream_id)
            return
        expires_at_ms = holder_expiry_ms(sent_at_ms, answer.duration_ms)
        if upstream_id == context.local.upstream_id:
            expires_at_ms = min(expires_at_ms, self._witnessed_until_ms())
        self.shares.set(upstream_id, answer.fraction, expires_at_ms)

    def _witnessed_until_ms(self) -> float:
        """Return until when the local fraction can be used.

        A process that was replaced but still runs has to notice it, so its fraction counts only for
        one delegation duration after the last answer of a witness.
        """
        context = self.context
        if len(context.planned_upstreams(context.local.availability_zone)) <= 1:
            return float("inf")
        return holder_expiry_ms(self._last_witness_at_ms, context.times.delegation_duration_ms)

    # Polls by fleet holders

    def on_fleet_poll(self, sender: NodeIdentity, poll: FleetPoll) -> FleetAnswer | None:
        """Delegate the sum of the shares for the organisations that the sender leads."""
        context = self.context
        if not context.accept_sequence("fleet poll", sender, poll.sequence):
            return None
        is_newest = context.record_start(sender.upstream_id, sender.start_number)
        context.accept_settled_version(poll.settled_version)
        if not self.active or not is_newest:
            holder = None if self.active else self._probable_holder()
            if holder is None and not self.active:
                return None
            return self._make_fleet_answer((), (), 0.0, 0.0, holder)
        now_ms = context.clock.now_ms()
        self.shares.remove_lapsed(now_ms)
        lasting_shares = self.shares.valid_beyond(
            now_ms + MIN_SHARE_LIFETIME_RATIO * context.times.delegation_duration_ms
        )
        fraction = sum(share.fraction for share in lasting_shares)
        duration_ms = min((share.expires_at_ms - now_ms for share in lasting_shares), default=0.0)
        following = tuple(
            name
            for name in poll.organisations
            if self._accepts_holder(sender, name, poll.predecessors)
        )
        delegating = []
        for name in following:
            promise = self.promises.setdefault(name, DelegationRecord())
            for organisation_id, predecessor in poll.predecessors:
                if organisation_id == name:
                    promise.transfer(predecessor, sender)
                    self.cache(name).transfer_to_successor(predecessor, sender)
            self._follow_fleet_holder(sender, name, now_ms)
            if lasting_shares and promise.may_delegate_to(sender, now_ms):
                promise.delegate(
                    sender, poll.sequence, now_ms, duration_ms, context.times.grant_validity_ms
                )
                delegating.append(name)
        return self._make_fleet_answer(tuple(delegating), following, fraction, duration_ms, None)

    def _probable_holder(self) -> UpstreamId | None:
        context, followed = self.context, self.member.followed_holder
        if followed not in (None, context.local):
            return followed.upstream_id
        zone = context.local.availability_zone
        others = set(context.candidates(zone)) - {context.local.upstream_id}
        return choose(f"zone {zone}", others)

    def _make_fleet_answer(
        self, delegating, following, fraction, duration_ms, holder
    ) -> FleetAnswer:
        context = self.context
        return FleetAnswer(
            delegating=delegating,
            following=following,
            fraction=fraction,
            duration_ms=duration_ms,
            confirmed=self._confirmed_versions() if self.active else (),
            settled_version=context.fraction_history.settled_version,
            holder=holder,
            start_number=context.local.start_number,
        )

    def _confirmed_versions(self) -> tuple[int, ...]:
        """Return the plan versions that all fractions of the zone respect."""
        context = self.context
        fresh_from_ms = context.clock.now_ms() - context.times.delegation_duration_ms
        confirmed_by_all: set[int] | None = None
        for name in context.planned_upstreams(context.local.availability_zone):
            heard_at_ms, versions = self._member_versions.get(name, (float("-inf"), ()))
            if heard_at_ms < fresh_from_ms:
                if context.has_failed(name) and name not in self.shares:
                    continue
                return ()
            confirmed_by_all = (
                set(versions) if confirmed_by_all is None else confirmed_by_all & set(versions)
            )
        return tuple(sorted(confirmed_by_all or ()))

    def may_become_fleet_holder(self, organisation_id: OrganisationId) -> bool:
        """Return whether this process can become fleet holder of an organisation.

        A new zone holder waits until a current fleet holder has had time to find and poll it.
        """
        eligible_from_ms = self._active_since_ms + self.context.times.holder_timeout_ms
        waited = self.context.clock.now_ms() >= eligible_from_ms
        return waited and not self.has_other_live_fleet_holder(organisation_id)

    def has_other_live_fleet_holder(self, organisation_id: OrganisationId) -> bool:
        """Return whether this zone follows another, reachable process that polled it lately."""
        holder = self.followed_holders.get(organisation_id)
        polled_at_ms = self._last_poll_at_ms.get(organisation_id, float("-inf"))
        silence_ms = self.context.clock.now_ms() - polled_at_ms
        return (
            holder not in (None, self.context.local)
            and silence_ms < self.context.times.holder_timeout_ms
            and self.context.is_reachable(holder)
        )

    def _accepts_holder(
        self,
        sender: NodeIdentity,
        name: OrganisationId,
        predecessors: tuple[tuple[OrganisationId, NodeIdentity], ...],
    ) -> bool:
        followed = self.followed_holders.get(name)
        if any(known == (name, followed) for known in predecessors):
            return True
        is_local_holder = followed == self.context.local
        if sender == followed or not (is_local_holder or self.has_other_live_fleet_holder(name)):
            return True
        if followed.upstream_id == sender.upstream_id:
            return True
        zone, other_zone = sender.availability_zone, followed.availability_zone
        if zone == other_zone:
            return self.context.ranks_higher(
                f"zone {zone}", sender.upstream_id, followed.upstream_id
            )
        return self.context.ranks_higher(f"organisation {name}", zone, other_zone)

    def _follow_fleet_holder(
        self, sender: NodeIdentity, name: OrganisationId, now_ms: float
    ) -> None:
        self.followed_holders[name] = sender
        self._last_poll_at_ms[name] = now_ms
        self.cache(name).switch_grantor(sender)

    def on_fleet_release(self, sender: NodeIdentity, release: Release) -> Done:
        """Free the shares for another fleet holder once the tokens of the sender have expired."""
        context = self.context
        context.accept_sequence("fleet poll", sender, release.sequence)
        for name in release.organisations:
            if name in self.promises:
                self.promises[name].release(
                    sender,
                    release.sequence,
                    context.clock.now_ms(),
                    context.times.grant_validity_ms,
                )
            if self.followed_holders.get(name) == sender:
                self.followed_holders.pop(name)
        return Done()

    # Draws of the nodes

    def cache(self, name: OrganisationId) -> ZoneCache:
        """Return the token cache of an organisation, creating it if there is none."""
        if name not in self.caches:
            self.caches[name] = ZoneCache(self.context.clock, self.context.times)
        return self.caches[name]

    async def on_draw(self, sender: NodeIdentity, draw: Draw) -> DrawAnswer | None:
        """Grant tokens to a node, waiting briefly for new ones while the stock is short."""
        admitted = []
        for entry in draw.entries:
            cache = self.cache(entry.organisation_id)
            record = cache.ledger.admit(sender, draw.sequence)
            if record is None:
                return None
            record.demand_per_s = float(max(0, entry.demand_per_s))
            admitted.append((entry, cache))
        if not self.active:
            return None
        await self._await_supply(sender, admitted)
        if not self.active:
            return None
        grants = [
            grant
            for entry, cache in admitted
            if (grant := self._grant(sender, draw.sequence, entry, cache)) is not None
        ]
        validity_ms = min((validity for _, validity in grants), default=0.0)
        return DrawAnswer(draw.sequence, validity_ms, tuple(grant for grant, _ in grants))

    async def _await_supply(
        self, sender: NodeIdentity, admitted: list[tuple[DrawEntry, ZoneCache]]
    ) -> None:
        short_of_tokens = [
            (entry, cache)
            for entry, cache in admitted
            if entry.wanted > self._available(entry, cache)
        ]
        if not short_of_tokens:
            return
        sent_before = [cache.draws_sent for _, cache in short_of_tokens]
        for entry, cache in short_of_tokens:
            cache.waiting_requests[sender] = entry.wanted
            self.draw_loop.wake(entry.organisation_id)

        def is_supplied() -> bool:
            # The fleet holder has answered a draw that reported these requests, or the stock now
            # suffices for them.
            return all(
                cache.last_draw_answered > before or entry.wanted <= self._available(entry, cache)
                for (entry, cache), before in zip(short_of_tokens, sent_before, strict=True)
            )

        deadline_ms = self.context.clock.now_ms() + self.context.times.supply_wait_ms
        while not is_supplied():
            left_ms = deadline_ms - self.context.clock.now_ms()
            if left_ms <= 0:
                break
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._supply_event.wait()
            except TimeoutError:
                break
        for _, cache in short_of_tokens:
            cache.waiting_requests.pop(sender, None)

    def _available(self, entry: DrawEntry, cache: ZoneCache) -> int:
        cache.stock.expire(self.context.clock.now_ms())
        return cache.stock.amount + entry.held

    def _grant(
        self, sender: NodeIdentity, sequence: int, entry: DrawEntry, cache: ZoneCache
    ) -> tuple[GrantEntry, float] | None:
        held = cache.held()
        settled = cache.settle(sender, sequence, entry)
        if held - cache.held() >= self.context.report_threshold(entry.organisation_id):
            self.draw_loop.wake(entry.organisation_id)
        if not settled:
            return None
        validity_ms = cache.validity_ms()
        target = cache.prefetch_target(sender)
        amount = cache.grant(sender, entry, target)
        if cache.stock.amount <= LOW_STOCK_RATIO * cache.target:
            self.draw_loop.wake(entry.organisation_id)
        return GrantEntry(entry.organisation_id, amount, target), validity_ms

    # Draws from fleet holders

    def active_organisations(self) -> list[OrganisationId]:
        """Return the organisations that have tokens, demand or waiting requests in the zone."""
        now_ms = self.context.clock.now_ms()
        return [
            name
            for name, cache in self.caches.items()
            if cache.waiting_requests
            or cache.held() > 0
            or cache.ledger.active_demand_per_s(now_ms) > 0
        ]

    def grantor(self, organisation_id: OrganisationId) -> NodeIdentity | None:
        """Return the fleet holder to draw from, or None if it is unknown or silent."""
        cache = self.cache(organisation_id)
        silence_ms = self.context.clock.now_ms() - self._last_poll_at_ms.get(
            organisation_id, float("-inf")
        )
        silent = silence_ms >= self.context.times.delegation_duration_ms
        return cache.grantor if self.active and cache.is_usable() and not silent else None

    def draw_entry(self, organisation_id: OrganisationId) -> DrawEntry:
        """Give excess tokens back and report those in stock and at the nodes."""
        cache = self.cache(organisation_id)
        cache.return_excess()
        cache.draws_sent += 1
        now_ms = self.context.clock.now_ms()
        return DrawEntry(
            organisation_id=organisation_id,
            held=cache.held(),
            wanted=cache.wanted(),
            demand_per_s=round(cache.ledger.active_demand_per_s(now_ms)),
            returned=cache.stock.returned,
        )

    def receive_grant(self, grantor: NodeIdentity, grant: GrantEntry, expires_at_ms: float) -> None:
        """Store tokens of a fleet holder and wake the draws that wait for them."""
        cache = self.cache(grant.organisation_id)
        if cache.grantor != grantor or not self.active:
            return
        cache.stock.receive(grant.granted, expires_at_ms, self.context.clock.now_ms())
        cache.target = grant.target
        cache.last_draw_answered = cache.draws_sent
        self._supply_event.set()
        self._supply_event.clear()

    def has_waiting_requests(self, organisation_id: OrganisationId) -> bool:
        """Return whether requests at nodes wait for more tokens than are in stock."""
        return self.cache(organisation_id).wanted() > 0
