"""Handle a request of a caller through callbacks, from its arrival to its answer."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer
from ...transport.callbacks import Cancellable
from ...transport.http_pipeline import BufferedRequest, DeliverResponse

if TYPE_CHECKING:
    from .entry import Entry
    from .pending_request import PendingRequest


@attrs.define(eq=False)
class EntryReply:
    """Store the reply to a caller.

    Attributes:
        status: HTTP status.
        reason: Why the node answers itself; empty if the reply is the target's.
        headers: Header fields that the node adds.
        body: The body.
        fields: Header fields of the target as lines of an HTTP head.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    fields: str = ""


class StartedRequest:
    """Handle one request from its arrival to its answer.

    Attributes:
        request_id: Its id, or an empty string.
        started_ms: Time of its arrival.
        pending: The request to forward; None if it is invalid or there is no plan yet.
    """

    def __init__(self, entry: "Entry", request: BufferedRequest, deliver: DeliverResponse):
        """Use `Entry.start` to create one."""
        self.request_id = entry.find_request_id(request)
        self.started_ms = entry.clock.now_ms()
        self.pending: PendingRequest | None = None
        self._entry = entry
        self._request = request
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None
        self._work: Cancellable | None = None

    def begin(self) -> None:
        """Refuse the request, or forward it and start the timer of its deadline."""
        entry, now_ms = self._entry, self.started_ms
        entry.requests.add(self)
        try:
            resolved = entry.resolve_request(self._request, self.request_id, now_ms)
            if isinstance(resolved, EntryReply):
                refusal = resolved
            else:
                self.pending = resolved
                refusal = entry.check_admission(resolved, now_ms)
            if refusal is None:
                resolved.fields = entry.target_fields(self._request, resolved.organisation_id)
                remaining_s = max(0.0, resolved.deadline_ms - now_ms) / 1000
                self._timer = self._loop.call_later(remaining_s, self.expire)
                self._work = entry.forwarder.start(resolved, now_ms, self._finish_with_answer)
                return
        except Exception as error:
            # If it propagated, the listener would answer 400 as for an invalid request.
            log(TASK_FAILED, task=f"request {self.request_id}", error=repr(error))
            if self._timer is not None:
                self._timer.cancel()
            refusal = entry.fault_reply(self.pending)
        self._timer = self._loop.call_soon(self._finish, refusal)

    def _finish_with_answer(self, answer: RunAnswer) -> None:
        self._timer.cancel()
        self._finish(self._entry.outcome_reply(self.pending, answer))

    def expire(self) -> None:
        """Stop waiting for an upstream and answer the caller."""
        if self._work is None:
            # It is being refused already.
            return
        self._timer.cancel()
        self._work.cancel()
        self._finish(self._entry.timeout_reply(self.pending))

    def _finish(self, reply: EntryReply) -> None:
        self._work = None
        self._deliver(self._entry.finish(self, reply))

    def cancel(self) -> None:
        """Cancel the request of a caller that has gone, and deliver nothing."""
        self._timer.cancel()
        if self._work is not None:
            self._work.cancel()
        self._entry.requests.discard(self)
        self._entry.metrics.count("entry.cancelled")
