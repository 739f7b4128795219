"""Make the attempts of a request; the first one can run through callbacks, without a task."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer
from ...state.directory import UpstreamEntry
from ...transport.callbacks import Cancellable
from .outcomes import unknown_answer

if TYPE_CHECKING:
    from .forwarding import Forwarder
    from .pending_request import Attempts


class StartedForward:
    """Make the attempts of one request; a task is created only for retries and slow cases."""

    def __init__(
        self, forwarder: "Forwarder", attempts: "Attempts", deliver: Callable[[RunAnswer], None]
    ):
        """Use `Forwarder.start` to create one."""
        self._forwarder = forwarder
        self._attempts = attempts
        self._deliver = deliver
        self._upstream: UpstreamEntry | None = None
        self._work: Cancellable | None = None
        self._ended = False

    def begin(self) -> None:
        """Make the first attempt."""
        upstream = self._upstream = self._forwarder.next_upstream(self._attempts)
        if upstream is not None:
            self._work = self._forwarder.start_attempt(
                self._attempts, upstream, self._end_first_attempt
            )
        if self._work is None:
            self._upstream = None
            self._work = asyncio.ensure_future(self._run_attempts(upstream))

    def _end_first_attempt(self, result: RunAnswer | Exception) -> None:
        if self._ended:
            return
        upstream, self._upstream = self._upstream, None
        try:
            answer = self._forwarder.settle_attempt(self._attempts, upstream, result)
            final_answer = self._forwarder.evaluate_attempt(self._attempts, upstream, answer)
            if final_answer is None:
                next_upstream = self._forwarder.next_upstream(self._attempts)
                self._work = asyncio.ensure_future(self._run_attempts(next_upstream))
            else:
                self._finish(final_answer)
        except Exception as error:
            # If it propagated, it would close the link and fail the other requests on it.
            self._fail(error)

    async def _run_attempts(self, upstream: UpstreamEntry | None) -> None:
        """Make the remaining attempts.

        Args:
            upstream: Upstream of the first of them, or None if none is left.
        """
        forwarder, attempts = self._forwarder, self._attempts
        try:
            while upstream is not None:
                answer = await forwarder.attempt(attempts, upstream)
                final_answer = forwarder.evaluate_attempt(attempts, upstream, answer)
                if final_answer is not None:
                    self._finish(final_answer)
                    return
                upstream = forwarder.next_upstream(attempts)
            self._finish(attempts.last_answer)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        log(TASK_FAILED, task=f"forward {self._attempts.pending.request_id}", error=repr(error))
        self._finish(unknown_answer("fault of the node"))

    def _finish(self, answer: RunAnswer) -> None:
        if self._ended:
            return
        # The attempt and its callback reference each other; breaking the cycle here frees them
        # without the garbage collector.
        self._ended, self._work = True, None
        self._deliver(answer)

    def cancel(self) -> None:
        """Cancel the present attempt and deliver nothing."""
        if self._ended:
            return
        self._ended = True
        self._work.cancel()
        if self._upstream is not None:
            self._forwarder.abandon_attempt(self._upstream)
