"""Follow a request from its arrival at the entry to its answer."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer
from ...transport.callbacks import Cancellable
from ...transport.http_pipeline import Deliver, WholeRequest

if TYPE_CHECKING:
    from .entry import Entry
    from .forwarding import PendingRequest


@attrs.define(eq=False)
class EntryReply:
    """Tell how a request ended.

    Attributes:
        status: HTTP status of the answer.
        reason: Why it is none of the target; empty otherwise.
        headers: Header fields of the node's own.
        body: The body.
        fields: Header fields of the target, as the lines of a head.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    fields: str = ""


class StartedRequest:
    """Follow one request from its arrival to its answer.

    Attributes:
        request_id: Its id, or an empty text.
        started_ms: When it came.
        pending: What is known of it, once it is found to be proper.
    """

    def __init__(self, entry: "Entry", request: WholeRequest, deliver: Deliver):
        """Use `Entry.start` to create one."""
        self.request_id = entry.find_id(request)
        self.started_ms = entry.clock.now_ms()
        self.pending: PendingRequest | None = None
        self._entry = entry
        self._request = request
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._work: Cancellable | None = None

    def begin(self) -> None:
        """Refuse the request, or send it on until its caller stops waiting."""
        entry, now_ms = self._entry, self.started_ms
        entry.running += 1
        try:
            found = entry.describe(self._request, self.request_id, now_ms)
            if isinstance(found, EntryReply):
                refusal = found
            else:
                self.pending = found
                refusal = entry.admit(found, now_ms)
            if refusal is None:
                found.fields = entry.fields(self._request, found.organisation_id)
                left_s = max(0.0, found.deadline_ms - now_ms) / 1000
                self._timer = self._loop.call_later(left_s, self._expire)
                self._work = entry.forwarder.start(found, now_ms, self._take)
                return
        except Exception as error:
            # Raised on, it would count as a fault of the caller's request.
            log(TASK_FAILED, task=f"request {self.request_id}", error=repr(error))
            if self._timer is not None:
                self._timer.cancel()
            refusal = entry.fault(self.pending)
        self._timer = self._loop.call_soon(self._end, refusal)

    def _take(self, answer: RunAnswer) -> None:
        self._timer.cancel()
        self._end(self._entry.reply(self.pending, answer))

    def _expire(self) -> None:
        self._work.cancel()
        self._end(self._entry.out_of_time(self.pending))

    def _end(self, reply: EntryReply) -> None:
        self._work = None
        self._deliver(self._entry.end(self, reply))

    def cancel(self) -> None:
        """Stop the work, since the caller has gone; nothing is delivered."""
        self._timer.cancel()
        if self._work is not None:
            self._work.cancel()
        self._entry.running -= 1
        self._entry.metrics.count("entry.cancelled")
