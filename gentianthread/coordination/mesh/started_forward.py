"""Follow the attempts of a request; the first one needs no task."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer
from ...state.directory import UpstreamEntry
from ...transport.callbacks import Cancellable
from .outcomes import unknown

if TYPE_CHECKING:
    from .forwarding import Attempts, Forwarder


class StartedForward:
    """Follow the attempts of one request; only those after the first need a task."""

    def __init__(
        self, forwarder: "Forwarder", attempts: "Attempts", deliver: Callable[[RunAnswer], None]
    ):
        """Use `Forwarder.start` to create one."""
        self._forwarder = forwarder
        self._attempts = attempts
        self._deliver = deliver
        self._entry: UpstreamEntry | None = None
        self._work: Cancellable | None = None
        self._ended = False

    def begin(self) -> None:
        """Make the first attempt."""
        entry = self._entry = self._forwarder.next_upstream(self._attempts)
        if entry is not None:
            self._work = self._forwarder.start_attempt(self._attempts, entry, self._end_first)
        if self._work is None:
            self._entry = None
            self._work = asyncio.ensure_future(self._go_on(entry))

    def _end_first(self, result: RunAnswer | Exception) -> None:
        if self._ended:
            return
        entry, self._entry = self._entry, None
        try:
            answer = self._forwarder.settle_attempt(self._attempts, entry, result)
            final = self._forwarder.judge(self._attempts, entry, answer)
            if final is None:
                following = self._forwarder.next_upstream(self._attempts)
                self._work = asyncio.ensure_future(self._go_on(following))
            else:
                self._finish(final)
        except Exception as error:
            # Raised on, it would end the link and with it the requests of others.
            self._fail(error)

    async def _go_on(self, entry: UpstreamEntry | None) -> None:
        """Make the attempts that are left, the first of them at an upstream that was chosen."""
        forwarder, attempts = self._forwarder, self._attempts
        try:
            while entry is not None:
                answer = await forwarder.attempt(attempts, entry)
                final = forwarder.judge(attempts, entry, answer)
                if final is not None:
                    self._finish(final)
                    return
                entry = forwarder.next_upstream(attempts)
            self._finish(attempts.last)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        log(TASK_FAILED, task=f"forward {self._attempts.pending.request_id}", error=repr(error))
        self._finish(unknown("fault of the node"))

    def _finish(self, answer: RunAnswer) -> None:
        if self._ended:
            return
        # Work and its callback refer to each other; the collector would have to find them.
        self._ended, self._work = True, None
        self._deliver(answer)

    def cancel(self) -> None:
        """Stop the present attempt; nothing is delivered."""
        if self._ended:
            return
        self._ended = True
        self._work.cancel()
        if self._entry is not None:
            self._forwarder.abandon_attempt(self._entry)
