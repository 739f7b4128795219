"""Detect failures of other nodes, gossip the results and maintain the view of the fleet.

Each node exchanges table digests with its overlay neighbours. A neighbour that answers no attempt
is listed as silent in the record of the node. Changed records are flooded over the overlay, and
tables that still differ are reconciled bucket by bucket.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import attrs
import reactivex
from reactivex.subject import Subject

from ..clock import Clock, LoopClock
from ..errors import PeerTimeout, PeerUnreachable
from ..events import MEMBER_CHANGED, MEMBER_SUPERSEDED, TASK_FAILED
from ..ids import AvailabilityZoneId, NodeIdentity, UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics
from ..protocol.messages_membership import (
    BucketAnswer,
    BucketRequest,
    Changes,
    Exchange,
    ExchangeAnswer,
    LeavingNotice,
)
from ..state.member_table import Listing, MemberRecord, MemberTable, fingerprint
from ..state.members import REACHABLE, Member, Members, MemberState
from ..state.overlay import choose_neighbours
from ..transport.platforms import InstanceList
from .peer_network import PeerNetwork

# Interval at which neighbours exchange digests; the jitter (a fraction) spreads the exchanges out.
EXCHANGE_INTERVAL_MS = 1_000
EXCHANGE_JITTER = 0.1

# Three attempts make it unlikely that lost messages alone report a peer as silent: at 1% loss in
# each direction, one exchange in 120,000 fails. All attempts end before the next exchange starts.
EXCHANGE_TIMEOUT_MS = 300
EXCHANGE_ATTEMPTS = 3

# Changes within this interval are sent in one message.
FLUSH_INTERVAL_MS = 50

# A batch of this many records indicates that a zone was cut off or reconnected. The next batch then
# waits longer, so that the remaining records need fewer messages and two peers less often send each
# other the same record.
LARGE_BATCH_RECORDS = 16
LARGE_BATCH_FLUSH_INTERVAL_MS = 200

# A peer that sent a digest within this time counts as a contact: changes are flooded over its link
# in both directions.
CONTACT_EXPIRY_MS = 3_500

# A one-way message that its link does not accept within this time is dropped.
SEND_TIMEOUT_MS = 500

# Tables that still differ at the second exchange are reconciled after a random delay of at most
# this time, so that the nodes on both sides of a healed partition do not all reconcile at once.
RECONCILE_JITTER_MS = 800
RECONCILE_TIMEOUT_MS = 1_000

# Minimum time between two selections of neighbours: while many nodes join, each selection costs
# about 1 ms at 670 nodes.
NEIGHBOUR_UPDATE_INTERVAL_MS = 250

# If the exchange timer fires later than this, the process was paused; exchanges that failed
# meanwhile do not report the peer as silent.
PAUSE_THRESHOLD_MS = 500


class Membership(Members):
    """Maintain the view of the fleet from the instance list and from the reports of nodes.

    Attributes:
        network: Sends messages to the other nodes.
        local: Identity of the local node.
        table: Records and states of all known nodes.
        superseded: Event that is set once a newer process of the local upstream is known.
    """

    def __init__(
        self,
        network: PeerNetwork,
        instances: reactivex.Observable[InstanceList],
        clock: Clock | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ):
        """Create a view that contains only the local node.

        Args:
            network: Sends messages to the other nodes.
            instances: Stream of instance lists.
            clock: Clock of the intervals; the event loop's by default.
            rng: Generator of the jitter; seeded at random by default.
            metrics: Counts observations and messages.
        """
        self.network = network
        self.local = network.local
        self.table = MemberTable(self.local)
        self.superseded = asyncio.Event()
        self._clock = clock or LoopClock()
        self._random = rng or random.Random()
        self._metrics = metrics or MemoryMetrics()
        self._changes: Subject[Member] = Subject()
        self._neighbours: tuple[UpstreamId, ...] = ()
        self._neighbours_outdated = True
        self._neighbours_updated_ms = float("-inf")
        self._cached_members: list[Member] | None = None
        self._last_request_ms: dict[UpstreamId, float] = {}
        self._silent_peers: dict[UpstreamId, NodeIdentity] = {}
        self._peers_in_check: set[UpstreamId] = set()
        self._differing_peers: set[UpstreamId] = set()
        self._outbox: dict[UpstreamId, tuple[MemberRecord, set[UpstreamId]]] = {}
        self._flush_scheduled = False
        self._last_flush_ms = float("-inf")
        self._flush_interval_ms = FLUSH_INTERVAL_MS
        self._pause_count = 0
        self._listed_as_leaving = False
        self._synchronised = False
        self._tasks: set[asyncio.Task] = set()
        for message_type, handler in (
            (Exchange, self._answer_exchange),
            (BucketRequest, self._answer_buckets),
            (Changes, self._receive_changes),
            (LeavingNotice, self._receive_leaving_notice),
        ):
            network.subscribe(message_type, handler)
        self._subscription = instances.subscribe(on_next=self._receive_instance_list)

    @property
    def changes(self) -> reactivex.Observable[Member]:
        """Return the stream of members whose state changed."""
        return self._changes

    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return the member for the newest known process of an upstream, or None."""
        return self.table.get(upstream_id)

    def takes_work(self, upstream_id: UpstreamId) -> bool:
        """Return whether new requests may be sent to an upstream."""
        return self.table.state(upstream_id) in (MemberState.LIVE, MemberState.SUSPECT)

    def all(self) -> list[Member]:
        """Return every known member in id order."""
        if self._cached_members is None:
            upstream_ids = self.table.upstream_ids()
            self._cached_members = [
                member for upstream_id in upstream_ids if (member := self.table.get(upstream_id))
            ]
        return list(self._cached_members)

    def reachable(self, availability_zone: AvailabilityZoneId | None = None) -> list[UpstreamId]:
        """Return the sorted ids of live, suspect and leaving members.

        The quota calls this several times a second, so only the given zone is searched.

        Args:
            availability_zone: Zone to search; all zones by default.
        """
        zones = self.table.upstreams_by_zone()
        selected = (
            zones.values() if availability_zone is None else [zones.get(availability_zone, ())]
        )
        state = self.table.state
        return sorted(
            upstream_id
            for upstream_ids in selected
            for upstream_id in upstream_ids
            if state(upstream_id) in REACHABLE
        )

    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return the overlay neighbours, to which this node keeps links open."""
        if self._neighbours_outdated:
            self._update_neighbours()
        return self._neighbours

    def contacts(self) -> tuple[UpstreamId, ...]:
        """Return the responsive nodes that have this node as a neighbour or are its neighbours."""
        since_ms = self._clock.now_ms() - CONTACT_EXPIRY_MS
        requesting = [
            upstream_id for upstream_id, at_ms in self._last_request_ms.items() if at_ms >= since_ms
        ]
        upstream_ids = dict.fromkeys((*self.neighbours(), *requesting))
        return tuple(
            upstream_id for upstream_id in upstream_ids if upstream_id not in self._silent_peers
        )

    def start(self) -> None:
        """Announce this node and start to exchange digests with others."""
        self._queue_record(self.table.records[self.local.upstream_id])
        self._spawn(self._exchange_periodically(), "observe members")

    async def leave(self) -> None:
        """Announce that this node is leaving; return when its links have accepted the messages."""
        self._update_own_record(leaving=True)
        await self._flush()

    async def rejoin(self) -> None:
        """Announce that this node accepts requests again, unless it is listed as leaving."""
        if not self._listed_as_leaving:
            self._update_own_record(leaving=False)
            await self._flush()

    @property
    def listed_as_leaving(self) -> bool:
        """Return whether the platform lists the local instance as leaving."""
        return self._listed_as_leaving

    async def close(self) -> None:
        """Unsubscribe from the instance list and cancel all tasks."""
        self._subscription.dispose()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _exchange_periodically(self) -> None:
        await self._clock.sleep_ms(self._random.random() * FLUSH_INTERVAL_MS)
        while True:
            self._update_neighbours()
            for peer in self._peers_to_check():
                if peer not in self._peers_in_check:
                    self._spawn(self._check(peer), f"check {peer}")
            jitter = 1 + EXCHANGE_JITTER * (2 * self._random.random() - 1)
            interval_ms = EXCHANGE_INTERVAL_MS * jitter
            before_ms = self._clock.now_ms()
            await self._clock.sleep_ms(interval_ms)
            if self._clock.now_ms() - before_ms > interval_ms + PAUSE_THRESHOLD_MS:
                self._pause_count += 1

    def _peers_to_check(self) -> list[UpstreamId]:
        """Return the neighbours, silent peers and peers whose next digest is overdue."""
        since_ms = self._clock.now_ms() - 1.5 * EXCHANGE_INTERVAL_MS
        overdue = [
            upstream_id for upstream_id, at_ms in self._last_request_ms.items() if at_ms < since_ms
        ]
        return list(dict.fromkeys((*self._neighbours, *self._silent_peers, *overdue)))

    async def _check(self, peer: UpstreamId) -> None:
        """Exchange digests with a peer; report it as silent if no attempt succeeds."""
        self._peers_in_check.add(peer)
        pauses_before = self._pause_count
        attempts = 1 if peer in self._silent_peers else EXCHANGE_ATTEMPTS
        try:
            for _ in range(attempts):
                answer = await self._exchange(peer)
                if answer is not None:
                    await self._process_answer(peer, answer)
                    return
            if pauses_before == self._pause_count:
                self._report_silent(peer)
        finally:
            self._peers_in_check.discard(peer)

    async def _exchange(self, peer: UpstreamId) -> ExchangeAnswer | None:
        started_ms = self._clock.now_ms()
        message = Exchange(self.table.digest())
        try:
            answer = await self.network.request(peer, message, EXCHANGE_TIMEOUT_MS)
        except PeerTimeout:
            return None
        except PeerUnreachable:
            # A restarting node briefly refuses connections, so wait before the next attempt.
            waited_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep_ms(EXCHANGE_TIMEOUT_MS - waited_ms)
            return None
        return answer if isinstance(answer, ExchangeAnswer) else None

    async def _process_answer(self, peer: UpstreamId, answer: ExchangeAnswer) -> None:
        self._mark_responsive(peer)
        # The peer answers but no longer sends digests: it may have chosen other neighbours, so its
        # digests are not overdue any more.
        if self._last_request_ms.get(peer, 0) < self._clock.now_ms() - CONTACT_EXPIRY_MS:
            self._last_request_ms.pop(peer, None)
        if answer.newest_start > self.local.start_number:
            self.note_superseded(answer.newest_start)
        if answer.digest == self.table.digest():
            self._differing_peers.discard(peer)
            self._synchronised = True
        elif not self._synchronised:
            await self._reconcile(peer)
        elif peer in self._differing_peers:
            self._differing_peers.discard(peer)
            await self._clock.sleep_ms(self._random.random() * RECONCILE_JITTER_MS)
            await self._reconcile(peer)
        else:
            # A first difference may come from changes that are still in flight.
            self._differing_peers.add(peer)

    async def _reconcile(self, peer: UpstreamId) -> None:
        request = BucketRequest(self.table.bucket_digests())
        try:
            answer = await self.network.request(peer, request, RECONCILE_TIMEOUT_MS)
        except (PeerTimeout, PeerUnreachable):
            return
        if not isinstance(answer, BucketAnswer):
            return
        self._metrics.count("members.compared")
        self._synchronised = True
        known = {record.identity.upstream_id: record.rank for record in answer.records}
        newer = [
            record
            for record in self.table.records_in_buckets(answer.buckets)
            if record.rank > known.get(record.identity.upstream_id, (-1, -1))
        ]
        self._apply_records(answer.records, peer)
        if newer:
            await self._send(peer, Changes(tuple(newer)))

    def _answer_exchange(self, sender: NodeIdentity, message: Exchange) -> ExchangeAnswer:
        peer = sender.upstream_id
        known = self.table.records.get(peer)
        newest = max(sender.start_number, known.identity.start_number if known else 0)
        if sender.start_number == newest:
            self._last_request_ms[peer] = self._clock.now_ms()
            if known is None or known.identity.start_number < newest:
                self._apply_records((MemberRecord(sender, 0),), peer)
            # A request proves only one direction of the path; a silent peer must also answer one.
            if peer in self._silent_peers and peer not in self._peers_in_check:
                self._spawn(self._check(peer), f"check {peer}")
        return ExchangeAnswer(self.table.digest(), newest)

    def _answer_buckets(self, sender: NodeIdentity, message: BucketRequest) -> BucketAnswer:
        buckets = self.table.differing_buckets(message.digests)
        return BucketAnswer(buckets, tuple(self.table.records_in_buckets(buckets)))

    def _receive_changes(self, sender: NodeIdentity, message: Changes) -> None:
        self._apply_records(message.records, sender.upstream_id)

    def _receive_leaving_notice(self, sender: NodeIdentity, message: LeavingNotice) -> None:
        self._listed_as_leaving = True
        self._update_own_record(leaving=True)

    def _receive_instance_list(self, instances: InstanceList) -> None:
        listings = [
            Listing(entry.upstream_id, entry.availability_zone, entry.leaving)
            for entry in instances.instances
        ]
        self._cached_members = None
        self._publish_changes(self.table.apply_listings(instances.revision, listings))
        for peer in [
            upstream_id for upstream_id in self._silent_peers if self._is_removed(upstream_id)
        ]:
            del self._silent_peers[peer]
        own_listing = self.table.listing(self.local.upstream_id)
        if own_listing is not None and own_listing.leaving:
            self._listed_as_leaving = True
            self._update_own_record(leaving=True)
        elif own_listing is not None and self._listed_as_leaving:
            self._listed_as_leaving = False
            self._update_own_record(leaving=False)
        self._notify_leaving(instances.revision, listings)

    def _notify_leaving(self, revision: int, listings: list[Listing]) -> None:
        """Notify nodes that are listed as leaving and have not announced it themselves."""
        for listing in listings:
            record = self.table.records.get(listing.upstream_id)
            if listing.leaving and record is not None and not record.leaving:
                self._spawn(
                    self._send(listing.upstream_id, LeavingNotice(revision)), "notify leaving"
                )

    def _is_removed(self, peer: UpstreamId) -> bool:
        return self.table.listing(peer) is None and self.table.state(peer) is MemberState.FAILED

    def _mark_responsive(self, peer: UpstreamId) -> None:
        if self._silent_peers.pop(peer, None) is not None:
            self._metrics.count("members.heard_again")
            self._update_own_record()

    def _report_silent(self, peer: UpstreamId) -> None:
        self._last_request_ms.pop(peer, None)
        if peer not in self._silent_peers and self.table.state(peer) is not None:
            self._silent_peers[peer] = self.table.identity(peer)
            self._metrics.count("members.reported_silent")
            self._update_own_record()

    def _update_own_record(self, leaving: bool | None = None) -> None:
        """Update the record of this node and send it to the contacts if it changed."""
        known = self.table.records[self.local.upstream_id]
        if known.identity != self.local:
            return
        record = attrs.evolve(
            known,
            sequence=known.sequence + 1,
            leaving=known.leaving if leaving is None else leaving,
            silent=tuple(sorted(fingerprint(identity) for identity in self._silent_peers.values())),
        )
        if (record.leaving, record.silent) != (known.leaving, known.silent):
            self._apply_records((record,), None)

    def _apply_records(self, records: tuple[MemberRecord, ...], source: UpstreamId | None) -> None:
        """Apply records and forward those that are newer than the known ones."""
        newer_records, changed = self.table.apply_all(records)
        applied_ids = {record.identity.upstream_id for record in newer_records}
        for record in records:
            if record.identity.upstream_id not in applied_ids:
                self._mark_known_to(record, source)
        if newer_records:
            self._cached_members = None
        for record in newer_records:
            upstream_id = record.identity.upstream_id
            silent_identity = self._silent_peers.get(upstream_id)
            if (
                silent_identity is not None
                and silent_identity.start_number < record.identity.start_number
            ):
                self._silent_peers.pop(upstream_id)
                self._update_own_record()
            if upstream_id == self.local.upstream_id and record.identity != self.local:
                self.note_superseded(record.identity.start_number)
            self._queue_record(record, source)
        self._publish_changes(changed)

    def _mark_known_to(self, record: MemberRecord, source: UpstreamId | None) -> None:
        """Exclude a peer that sent a queued record itself from the recipients of the record."""
        pending = self._outbox.get(record.identity.upstream_id)
        if pending is not None and source is not None and record.rank >= pending[0].rank:
            pending[1].add(source)

    def note_superseded(self, start_number: int) -> None:
        """Mark this process as superseded by a newer one of the local upstream.

        Args:
            start_number: Start number of the newer process.
        """
        if not self.superseded.is_set():
            self.superseded.set()
            log(MEMBER_SUPERSEDED, upstream_id=self.local.upstream_id, start_number=start_number)

    def _publish_changes(self, changed: list[Member]) -> None:
        self._neighbours_outdated = self._neighbours_outdated or bool(changed)
        for member in changed:
            if member.state is not MemberState.LIVE or member.identity.start_number:
                log(
                    MEMBER_CHANGED,
                    upstream_id=member.identity.upstream_id,
                    state=member.state.value,
                )
            self._changes.on_next(member)

    def _update_neighbours(self) -> None:
        now_ms = self._clock.now_ms()
        if (
            not self._neighbours_outdated
            or now_ms - self._neighbours_updated_ms < NEIGHBOUR_UPDATE_INTERVAL_MS
        ):
            return
        self._neighbours_outdated = False
        self._neighbours_updated_ms = now_ms
        candidates = {
            zone: self._candidates(zone, upstream_ids)
            for zone, upstream_ids in self.table.upstreams_by_zone().items()
        }
        self._neighbours = choose_neighbours(
            self.local.upstream_id, self.local.availability_zone, candidates
        )

    def _candidates(self, zone: str, upstream_ids: set[UpstreamId]) -> list[UpstreamId]:
        """Return the neighbour candidates of a zone.

        These are the reachable nodes, or all that have not failed if the zone is cut off.
        """
        states = {upstream_id: self.table.state(upstream_id) for upstream_id in upstream_ids}
        not_failed = [
            upstream_id for upstream_id, state in states.items() if state is not MemberState.FAILED
        ]
        reachable = [
            upstream_id
            for upstream_id in not_failed
            if states[upstream_id] is not MemberState.UNREACHABLE
        ]
        return reachable or not_failed

    def _queue_record(self, record: MemberRecord, source: UpstreamId | None = None) -> None:
        known_to = {record.identity.upstream_id} | ({source} if source else set())
        self._outbox[record.identity.upstream_id] = (record, known_to)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._spawn(self._flush_after_interval(), "spread changes")

    async def _flush_after_interval(self) -> None:
        # The first change is sent at once; changes that follow within the interval share a message.
        waited_ms = self._clock.now_ms() - self._last_flush_ms
        await self._clock.sleep_ms(self._flush_interval_ms - waited_ms)
        await self._flush()

    async def _flush(self) -> None:
        self._flush_scheduled = False
        self._last_flush_ms = self._clock.now_ms()
        pending, self._outbox = list(self._outbox.values()), {}
        is_large_batch = len(pending) >= LARGE_BATCH_RECORDS
        self._flush_interval_ms = (
            LARGE_BATCH_FLUSH_INTERVAL_MS if is_large_batch else FLUSH_INTERVAL_MS
        )
        sends = []
        for peer in self.contacts():
            records = tuple(record for record, known_to in pending if peer not in known_to)
            if records:
                sends.append(self._send(peer, Changes(records)))
        await asyncio.gather(*sends)

    async def _send(self, peer: UpstreamId, message: Any) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await self.network.send(peer, message)
        except (PeerUnreachable, TimeoutError):
            self._metrics.count("members.unsent")

    def _spawn(self, coroutine: Coroutine, task_name: str) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_task_done(done, task_name))

    def _on_task_done(self, task: asyncio.Task, task_name: str) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=task_name, error=repr(task.exception()))
