"""Observe other nodes, spread what is observed, and keep the view of the fleet."""

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

# Neighbours exchange digests at this interval, with jitter, so that their exchanges spread out.
EXCHANGE_INTERVAL_MS = 1_000
EXCHANGE_JITTER = 0.1

# Three attempts make a false report through lost messages unlikely: at a loss of 1% each way, one
# exchange in 120,000 fails. All attempts end before the next exchange.
EXCHANGE_TIMEOUT_MS = 300
EXCHANGE_ATTEMPTS = 3

# Changes that follow each other within this time travel in one message.
FLUSH_INTERVAL_MS = 50

# A batch of this many records says that a zone was cut off or healed; the next one then waits
# longer, so that fewer messages carry the rest and fewer records cross on a link.
BUSY_RECORDS = 16
BUSY_FLUSH_INTERVAL_MS = 200

# A peer that asked within this time counts as a contact: its floods and ours use its link.
CONTACT_MS = 3_500

# A one-way message that cannot be handed to its link in this time is given up.
SEND_TIMEOUT_MS = 500

# Tables that still differ after a second exchange are compared after a random delay up to this
# one, so that two healed sides do not all compare at once.
COMPARE_JITTER_MS = 800
COMPARE_TIMEOUT_MS = 1_000

# Neighbours are chosen again at most this often: while many nodes join, each choice costs about a
# millisecond at 670 nodes.
CHOICE_INTERVAL_MS = 250

# A tick that comes later than this says that the process was paused; silence seen meanwhile
# counts for nothing.
PAUSE_LIMIT_MS = 500


class Membership(Members):
    """Keep the view of the fleet from the instance list and from observation by peers.

    Attributes:
        table: What is known.
        superseded: Set when a newer process of the same upstream is heard of.
    """

    def __init__(
        self,
        network: PeerNetwork,
        instances: reactivex.Observable[InstanceList],
        clock: Clock | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ):
        """Create a view that knows only the local node.

        Args:
            network: Reaches the other nodes.
            instances: Stream of instance lists.
            clock: Clock of the intervals.
            rng: Source of jitter.
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
        self._chosen_at_ms = float("-inf")
        self._present: list[Member] | None = None
        self._asked_at_ms: dict[UpstreamId, float] = {}
        self._silent: dict[UpstreamId, NodeIdentity] = {}
        self._checking: set[UpstreamId] = set()
        self._differed: set[UpstreamId] = set()
        self._outbox: dict[UpstreamId, tuple[MemberRecord, set[UpstreamId]]] = {}
        self._flush_due = False
        self._flushed_at_ms = float("-inf")
        self._flush_interval_ms = FLUSH_INTERVAL_MS
        self._pauses = 0
        self._leaving_by_list = False
        self._synchronised = False
        self._tasks: set[asyncio.Task] = set()
        for message_type, handler in (
            (Exchange, self._answer_exchange),
            (BucketRequest, self._answer_buckets),
            (Changes, self._receive_changes),
            (LeavingNotice, self._receive_notice),
        ):
            network.subscribe(message_type, handler)
        self._subscription = instances.subscribe(on_next=self._receive_list)

    @property
    def changes(self) -> reactivex.Observable[Member]:
        """Return the stream of members whose state changed."""
        return self._changes

    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return what is known about the newest process of an upstream."""
        return self.table.get(upstream_id)

    def takes_work(self, upstream_id: UpstreamId) -> bool:
        """Return whether new work may go to an upstream."""
        return self.table.state(upstream_id) in (MemberState.LIVE, MemberState.SUSPECT)

    def all(self) -> list[Member]:
        """Return every known member in id order."""
        if self._present is None:
            names = self.table.upstream_ids()
            self._present = [member for name in names if (member := self.table.get(name))]
        return list(self._present)

    def reachable(self, availability_zone: AvailabilityZoneId | None = None) -> list[UpstreamId]:
        """Return the ids of live, suspect and leaving members, of one zone if it is given.

        The quota asks several times a second, so this looks only at the zone in question.
        """
        zones = self.table.upstreams_by_zone()
        chosen = zones.values() if availability_zone is None else [zones.get(availability_zone, ())]
        state = self.table.state
        return sorted(name for names in chosen for name in names if state(name) in REACHABLE)

    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return the overlay neighbours that this node keeps links to."""
        if self._neighbours_outdated:
            self._choose_neighbours()
        return self._neighbours

    def contacts(self) -> tuple[UpstreamId, ...]:
        """Return the neighbours and the nodes that have this one as a neighbour."""
        since_ms = self._clock.now_ms() - CONTACT_MS
        asking = [name for name, at_ms in self._asked_at_ms.items() if at_ms >= since_ms]
        names = dict.fromkeys((*self.neighbours(), *asking))
        return tuple(name for name in names if name not in self._silent)

    def start(self) -> None:
        """Announce this node and begin to observe others."""
        self._queue(self.table.records[self.local.upstream_id])
        self._spawn(self._observe(), "observe members")

    async def leave(self) -> None:
        """Announce that this node leaves; returns when the messages are on their way."""
        self._state_own(leaving=True)
        await self._flush()

    async def rejoin(self) -> None:
        """Announce that this node takes work again, unless the platform has it as leaving."""
        if not self._leaving_by_list:
            self._state_own(leaving=False)
            await self._flush()

    @property
    def listed_as_leaving(self) -> bool:
        """Return whether the platform has the own instance as leaving."""
        return self._leaving_by_list

    async def close(self) -> None:
        """End all tasks."""
        self._subscription.dispose()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _observe(self) -> None:
        await self._clock.sleep_ms(self._random.random() * FLUSH_INTERVAL_MS)
        while True:
            self._choose_neighbours()
            for peer in self._peers_to_check():
                if peer not in self._checking:
                    self._spawn(self._check(peer), f"check {peer}")
            jitter = 1 + EXCHANGE_JITTER * (2 * self._random.random() - 1)
            interval_ms = EXCHANGE_INTERVAL_MS * jitter
            before_ms = self._clock.now_ms()
            await self._clock.sleep_ms(interval_ms)
            if self._clock.now_ms() - before_ms > interval_ms + PAUSE_LIMIT_MS:
                self._pauses += 1

    def _peers_to_check(self) -> list[UpstreamId]:
        """Return neighbours, silent peers and peers that have just stopped asking."""
        since_ms = self._clock.now_ms() - 1.5 * EXCHANGE_INTERVAL_MS
        missing = [name for name, at_ms in self._asked_at_ms.items() if at_ms < since_ms]
        return list(dict.fromkeys((*self._neighbours, *self._silent, *missing)))

    async def _check(self, peer: UpstreamId) -> None:
        """Exchange digests with one peer; report it as silent when no attempt succeeds."""
        self._checking.add(peer)
        pauses = self._pauses
        attempts = 1 if peer in self._silent else EXCHANGE_ATTEMPTS
        try:
            for _ in range(attempts):
                answer = await self._exchange(peer)
                if answer is not None:
                    await self._use_answer(peer, answer)
                    return
            if pauses == self._pauses:
                self._report_silent(peer)
        finally:
            self._checking.discard(peer)

    async def _exchange(self, peer: UpstreamId) -> ExchangeAnswer | None:
        started_ms = self._clock.now_ms()
        message = Exchange(self.table.digest())
        try:
            answer = await self.network.request(peer, message, EXCHANGE_TIMEOUT_MS)
        except PeerTimeout:
            return None
        except PeerUnreachable:
            # A node that restarts refuses connections for a moment.
            waited_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep_ms(EXCHANGE_TIMEOUT_MS - waited_ms)
            return None
        return answer if isinstance(answer, ExchangeAnswer) else None

    async def _use_answer(self, peer: UpstreamId, answer: ExchangeAnswer) -> None:
        self._hear(peer)
        # The peer may just have another neighbour now, so its silence towards this node is over.
        if self._asked_at_ms.get(peer, 0) < self._clock.now_ms() - CONTACT_MS:
            self._asked_at_ms.pop(peer, None)
        if answer.newest_start > self.local.start_number:
            self.note_superseded(answer.newest_start)
        if answer.digest == self.table.digest():
            self._differed.discard(peer)
            self._synchronised = True
        elif not self._synchronised:
            await self._compare(peer)
        elif peer in self._differed:
            self._differed.discard(peer)
            await self._clock.sleep_ms(self._random.random() * COMPARE_JITTER_MS)
            await self._compare(peer)
        else:
            # Changes that are under way explain a first difference.
            self._differed.add(peer)

    async def _compare(self, peer: UpstreamId) -> None:
        request = BucketRequest(self.table.bucket_digests())
        try:
            answer = await self.network.request(peer, request, COMPARE_TIMEOUT_MS)
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
        self._take_over(answer.records, peer)
        if newer:
            await self._send(peer, Changes(tuple(newer)))

    def _answer_exchange(self, sender: NodeIdentity, message: Exchange) -> ExchangeAnswer:
        peer = sender.upstream_id
        known = self.table.records.get(peer)
        newest = max(sender.start_number, known.identity.start_number if known else 0)
        if sender.start_number == newest:
            self._asked_at_ms[peer] = self._clock.now_ms()
            if known is None or known.identity.start_number < newest:
                self._take_over((MemberRecord(sender, 0),), peer)
            # A request proves one direction only, so a silent peer must answer before it counts.
            if peer in self._silent and peer not in self._checking:
                self._spawn(self._check(peer), f"check {peer}")
        return ExchangeAnswer(self.table.digest(), newest)

    def _answer_buckets(self, sender: NodeIdentity, message: BucketRequest) -> BucketAnswer:
        buckets = self.table.differing_buckets(message.digests)
        return BucketAnswer(buckets, tuple(self.table.records_in_buckets(buckets)))

    def _receive_changes(self, sender: NodeIdentity, message: Changes) -> None:
        self._take_over(message.records, sender.upstream_id)

    def _receive_notice(self, sender: NodeIdentity, message: LeavingNotice) -> None:
        self._leaving_by_list = True
        self._state_own(leaving=True)

    def _receive_list(self, instances: InstanceList) -> None:
        listings = [
            Listing(entry.upstream_id, entry.availability_zone, entry.leaving)
            for entry in instances.instances
        ]
        self._present = None
        self._publish(self.table.apply_listings(instances.revision, listings))
        for peer in [name for name in self._silent if self._is_gone(name)]:
            del self._silent[peer]
        own = self.table.listing(self.local.upstream_id)
        if own is not None and own.leaving:
            self._leaving_by_list = True
            self._state_own(leaving=True)
        elif own is not None and self._leaving_by_list:
            self._leaving_by_list = False
            self._state_own(leaving=False)
        self._notify_leaving(instances.revision, listings)

    def _notify_leaving(self, revision: int, listings: list[Listing]) -> None:
        """Tell nodes that the list has as leaving and that have not said so themselves."""
        for listing in listings:
            record = self.table.records.get(listing.upstream_id)
            if listing.leaving and record is not None and not record.leaving:
                self._spawn(
                    self._send(listing.upstream_id, LeavingNotice(revision)), "notify leaving"
                )

    def _is_gone(self, peer: UpstreamId) -> bool:
        return self.table.listing(peer) is None and self.table.state(peer) is MemberState.FAILED

    def _hear(self, peer: UpstreamId) -> None:
        if self._silent.pop(peer, None) is not None:
            self._metrics.count("members.heard_again")
            self._state_own()

    def _report_silent(self, peer: UpstreamId) -> None:
        self._asked_at_ms.pop(peer, None)
        if peer not in self._silent and self.table.state(peer) is not None:
            self._silent[peer] = self.table.identity(peer)
            self._metrics.count("members.reported_silent")
            self._state_own()

    def _state_own(self, leaving: bool | None = None) -> None:
        """Change the record of this node and spread it, if it says something new."""
        known = self.table.records[self.local.upstream_id]
        if known.identity != self.local:
            return
        record = attrs.evolve(
            known,
            sequence=known.sequence + 1,
            leaving=known.leaving if leaving is None else leaving,
            silent=tuple(sorted(fingerprint(identity) for identity in self._silent.values())),
        )
        if (record.leaving, record.silent) != (known.leaving, known.silent):
            self._take_over((record,), None)

    def _take_over(self, records: tuple[MemberRecord, ...], source: UpstreamId | None) -> None:
        """Apply records and pass on those that are new."""
        fresh, changed = self.table.apply_all(records)
        taken = {record.identity.upstream_id for record in fresh}
        for record in records:
            if record.identity.upstream_id not in taken:
                self._note_known(record, source)
        if fresh:
            self._present = None
        for record in fresh:
            upstream_id = record.identity.upstream_id
            silent = self._silent.get(upstream_id)
            if silent is not None and silent.start_number < record.identity.start_number:
                self._silent.pop(upstream_id)
                self._state_own()
            if upstream_id == self.local.upstream_id and record.identity != self.local:
                self.note_superseded(record.identity.start_number)
            self._queue(record, source)
        self._publish(changed)

    def _note_known(self, record: MemberRecord, source: UpstreamId | None) -> None:
        """Keep a record from going back to a peer that sent it as well."""
        waiting = self._outbox.get(record.identity.upstream_id)
        if waiting is not None and source is not None and record.rank >= waiting[0].rank:
            waiting[1].add(source)

    def note_superseded(self, start_number: int) -> None:
        """Learn of a newer process of the local upstream.

        Args:
            start_number: Its start number.
        """
        if not self.superseded.is_set():
            self.superseded.set()
            log(MEMBER_SUPERSEDED, upstream_id=self.local.upstream_id, start_number=start_number)

    def _publish(self, changed: list[Member]) -> None:
        self._neighbours_outdated = self._neighbours_outdated or bool(changed)
        for member in changed:
            if member.state is not MemberState.LIVE or member.identity.start_number:
                log(
                    MEMBER_CHANGED,
                    upstream_id=member.identity.upstream_id,
                    state=member.state.value,
                )
            self._changes.on_next(member)

    def _choose_neighbours(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._neighbours_outdated or now_ms - self._chosen_at_ms < CHOICE_INTERVAL_MS:
            return
        self._neighbours_outdated = False
        self._chosen_at_ms = now_ms
        candidates = {
            zone: self._candidates(zone, names)
            for zone, names in self.table.upstreams_by_zone().items()
        }
        self._neighbours = choose_neighbours(
            self.local.upstream_id, self.local.availability_zone, candidates
        )

    def _candidates(self, zone: str, names: set[UpstreamId]) -> list[UpstreamId]:
        """Return the nodes of a zone to choose from; a zone that is cut off keeps all of its."""
        states = {name: self.table.state(name) for name in names}
        present = [name for name, state in states.items() if state is not MemberState.FAILED]
        reachable = [name for name in present if states[name] is not MemberState.UNREACHABLE]
        return reachable or present

    def _queue(self, record: MemberRecord, source: UpstreamId | None = None) -> None:
        holders = {record.identity.upstream_id} | ({source} if source else set())
        self._outbox[record.identity.upstream_id] = (record, holders)
        if not self._flush_due:
            self._flush_due = True
            self._spawn(self._flush_later(), "spread changes")

    async def _flush_later(self) -> None:
        # The first change goes out at once, those that follow closely in one message.
        waited_ms = self._clock.now_ms() - self._flushed_at_ms
        await self._clock.sleep_ms(self._flush_interval_ms - waited_ms)
        await self._flush()

    async def _flush(self) -> None:
        self._flush_due = False
        self._flushed_at_ms = self._clock.now_ms()
        waiting, self._outbox = list(self._outbox.values()), {}
        busy = len(waiting) >= BUSY_RECORDS
        self._flush_interval_ms = BUSY_FLUSH_INTERVAL_MS if busy else FLUSH_INTERVAL_MS
        sends = []
        for peer in self.contacts():
            records = tuple(record for record, holders in waiting if peer not in holders)
            if records:
                sends.append(self._send(peer, Changes(records)))
        await asyncio.gather(*sends)

    async def _send(self, peer: UpstreamId, message: Any) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_MS / 1000):
                await self.network.send(peer, message)
        except (PeerUnreachable, TimeoutError):
            self._metrics.count("members.unsent")

    def _spawn(self, work: Coroutine, name: str) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(done, name))

    def _finish(self, task: asyncio.Task, name: str) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(TASK_FAILED, task=name, error=repr(task.exception()))
