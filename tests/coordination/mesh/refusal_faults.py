"""Let targets refuse requests, write answers again, and start again under other ids, in a soak."""

import asyncio
from collections import Counter
from enum import Enum
from weakref import WeakKeyDictionary

import attrs

from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import render_answer
from gentianthread.transport.http_pipeline import BufferedRequest, BufferedResponse

# Fraction of the requests that a target refuses, with weights of the statuses. After a 421, its
# node sends nothing more to this start for some seconds.
REFUSAL_FRACTION = 0.15
REFUSAL_WEIGHTS = {503: 50, 429: 50, 421: 1}

# Fractions of the refusals, and of the other answers, that are written again.
REFUSAL_COPY_FRACTION = 0.6
OTHER_COPY_FRACTION = 0.1

LATE_S = (0.001, 0.4)
PIECE_BYTES = 9
PIECE_INTERVAL_S = 0.001
LONG_BODY = bytes(50_000)

# How long the next start takes, and how long the id of an earlier start stays listed: at most three
# heartbeats of 1.5 s.
DOWN_S = (0.0, 0.2)
EARLIER_LISTED_S = (0.5, 4.5)
RESTART_NODE_FRACTION = 0.3


class CopyTime(Enum):
    """Name the times at which the copy of an answer is written."""

    AT_ONCE = "at once"
    LATE = "late"
    BEFORE_NEXT_ANSWER = "before the next answer"


class CopyForm(Enum):
    """Name the forms of the copy of an answer."""

    WHOLE = "whole"
    PIECES = "in pieces"
    WITHOUT_ID = "without an id"
    LONGER = "longer"
    CUT = "cut by the end of the connection"


@attrs.define(eq=False)
class AnsweredConnection:
    """Store the state of a connection on which answers are written again.

    Attributes:
        writing: Held while a copy is written, as its pieces must not mix with other answers.
        due: Copies to write before the next answer, with their forms.
    """

    writing: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    due: list[tuple[bytes, CopyForm]] = attrs.field(factory=list)


class RefusalFaults:
    """Add to a soak targets that refuse requests, write answers again and change their ids.

    Attributes:
        copies: Number of answers that were written again, by time and form.
        refusals: Number of refusals.
        returned: Number of requests that came again at the address that had refused them.
        changed_ids: Number of starts under another id.
    """

    faults_s = 8.0
    # Of a request that may run twice, a second run is no violation.
    order_fraction = 0.6

    def __init__(self, seed: int):
        """Prepare a run without starting it; see `play`."""
        super().__init__(seed)
        self._connections: WeakKeyDictionary[asyncio.BaseTransport, AnsweredConnection] = (
            WeakKeyDictionary()
        )
        # Addresses and ids of refused requests.
        self._refused: set[tuple[str, str]] = set()
        self.copies: Counter[tuple[CopyTime, CopyForm]] = Counter()
        self.refusals = 0
        self.returned = 0
        self.changed_ids = 0

    async def _run_caller(self) -> None:
        for instance in self.fleet.instances.values():
            instance.target.refusal_status = self._refusal_status
            instance.target.before_answer = self._copy_answer
        await super()._run_caller()

    def _fault_kinds(self) -> tuple:
        kinds = super()._fault_kinds()
        # As many as all others, since few of them lead to a second attempt at the same address.
        return (*kinds, *[self._start_under_another_id] * len(kinds))

    async def _start_under_another_id(self, name: str) -> None:
        """Start a target again under another id; its earlier one stays listed for a while."""
        instance = self.fleet.instances[name]
        target = instance.target
        if target.down:
            return
        earlier_id = target.upstream_id
        self.changed_ids += 1
        await target.crash(self.random.uniform(*DOWN_S), f"{name}.{self.changed_ids}")
        self.fleet.store.put(UPSTREAM_PREFIX + target.upstream_id, target.entry(zone=instance.zone))
        if self.random.random() < RESTART_NODE_FRACTION:
            await self._restart_node(name)
        await asyncio.sleep(self.random.uniform(*EARLIER_LISTED_S))
        self.fleet.store.remove(UPSTREAM_PREFIX + earlier_id)

    async def _restart_node(self, name: str) -> None:
        """Restart the node beside a target without a graceful stop."""
        raise NotImplementedError

    def _refusal_status(self, request: BufferedRequest) -> int:
        if not self._injecting or self.random.random() >= REFUSAL_FRACTION:
            return 0
        return self.random.choices(*zip(*REFUSAL_WEIGHTS.items(), strict=True))[0]

    async def _copy_answer(self, request: BufferedRequest, answer: BufferedResponse) -> None:
        """Write the copies that are due before an answer, and choose whether to copy this one."""
        transport = request.transport
        connection = self._connections.setdefault(transport, AnsweredConnection())
        async with connection.writing:
            while connection.due:
                await self._write(transport, *connection.due.pop())
        # Nothing may wait from here on: the answer follows once this returns.
        is_refusal = any(name == DIALECT.not_run for name, _ in answer.headers)
        self._count(request, is_refusal=is_refusal)
        fraction = REFUSAL_COPY_FRACTION if is_refusal else OTHER_COPY_FRACTION
        if not self._injecting or self.random.random() >= fraction:
            return
        time, form = self.random.choice(list(CopyTime)), self.random.choice(list(CopyForm))
        self.copies[time, form] += 1
        copy = _render_copy(answer, form)
        if time is CopyTime.BEFORE_NEXT_ANSWER:
            connection.due.append((copy, form))
            return
        delay_s = self.random.uniform(*LATE_S) if time is CopyTime.LATE else 0.0
        self._tasks.append(
            asyncio.ensure_future(self._write_after(delay_s, transport, connection, copy, form))
        )

    def _count(self, request: BufferedRequest, *, is_refusal: bool) -> None:
        host = request.transport.get_extra_info("sockname")[0]
        refused = (host, request.find(DIALECT.request_id.lower()))
        self.returned += refused in self._refused
        if is_refusal:
            self.refusals += 1
            self._refused.add(refused)

    async def _write_after(
        self,
        delay_s: float,
        transport: asyncio.Transport,
        connection: AnsweredConnection,
        copy: bytes,
        form: CopyForm,
    ) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
        async with connection.writing:
            await self._write(transport, copy, form)

    async def _write(self, transport: asyncio.Transport, copy: bytes, form: CopyForm) -> None:
        piece_bytes = PIECE_BYTES if form is CopyForm.PIECES else len(copy)
        end = self.random.randrange(1, len(copy)) if form is CopyForm.CUT else len(copy)
        for start in range(0, end, piece_bytes):
            if transport.is_closing():
                return
            transport.write(copy[start : min(end, start + piece_bytes)])
            if form is CopyForm.PIECES:
                await asyncio.sleep(PIECE_INTERVAL_S)
        if form is CopyForm.CUT:
            # A transport that still has bytes to send would send the answer behind the cut copy.
            ends_orderly = self.random.random() < 0.5 and not transport.get_write_buffer_size()
            (transport.close if ends_orderly else transport.abort)()

    def summary(self) -> str:
        """Return how many refusals, copies and changes of ids there were."""
        return (
            f" refusals={self.refusals} copies={self.copies.total()}"
            f" changed_ids={self.changed_ids} returned={self.returned}"
        )


def _render_copy(answer: BufferedResponse, form: CopyForm) -> bytes:
    if form is CopyForm.LONGER:
        answer = BufferedResponse(answer.status, answer.headers, LONG_BODY)
    return render_answer(answer, keeps_id=form is not CopyForm.WITHOUT_ID)
