"""Follow a run on the target that needs no task."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer, RunRequest
from ...transport.callbacks import Cancellable
from ...transport.target_pool import KeptConnectionLost, PooledAnswer

if TYPE_CHECKING:
    from .target import LocalTarget


class StartedRun:
    """Follow a run that needs no task: nothing waits, and a kept connection is there."""

    def __init__(
        self,
        side: "LocalTarget",
        request: RunRequest,
        started_ms: float,
        deliver: Callable[[RunAnswer], None],
    ):
        """Use `LocalTarget.start` to create one."""
        self._side = side
        self._request = request
        self._started_ms = started_ms
        self._deliver = deliver
        self._ended = False
        self.work: Cancellable | None = None

    def end(self, result: PooledAnswer | Exception) -> None:
        """Take the outcome of the exchange."""
        if self._ended:
            return
        side, request = self._side, self._request
        try:
            if isinstance(result, PooledAnswer):
                self._finish(side.read_answer(request, result, self._started_ms))
                return
            answer = side.lost(result)
            if isinstance(result, KeptConnectionLost) and request.may_resend:
                self.work = asyncio.ensure_future(self._resend())
            else:
                self._finish(answer)
        except Exception as error:
            # Raised on, it would end the connection and keep the place of the request for ever.
            self._fail(error)

    async def _resend(self) -> None:
        deadline_ms = self._started_ms + self._request.remaining_ms
        try:
            self._finish(await self._side.resend(self._request, self._started_ms, deadline_ms))
        except Exception as failure:
            self._fail(failure)

    def _fail(self, error: Exception) -> None:
        """Tell the peer at once; it would wait until the time of its caller is over."""
        log(TASK_FAILED, task=f"run {self._request.request_id}", error=repr(error))
        if not self._ended:
            self._finish(self._side.lost(error))

    def _finish(self, answer: RunAnswer) -> None:
        self._ended, self.work = True, None
        self._side.ended()
        self._deliver(answer)

    def cancel(self) -> None:
        """Stop the work at the target; nothing is delivered."""
        if self._ended:
            return
        self._ended = True
        if self.work is not None:
            self.work.cancel()
        self._side.ended()
