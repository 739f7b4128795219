"""Run a request on the target through callbacks, without a task."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...events import TASK_FAILED
from ...logs import log
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...transport.callbacks import Cancellable
from ...transport.target_pool import PooledResponse

if TYPE_CHECKING:
    from .target import LocalTarget


class StartedRun:
    """Run one request that needs no task, since a slot and a kept connection are available.

    Attributes:
        work: The exchange with the target; None at the end.
    """

    def __init__(
        self,
        target: "LocalTarget",
        request: RunRequest,
        started_ms: float,
        deliver: Callable[[RunAnswer], None],
    ):
        """Use `LocalTarget.start` to create one."""
        self._target = target
        self._request = request
        self._started_ms = started_ms
        self._deadline_ms = started_ms + request.remaining_ms
        self._deliver = deliver
        self._ended = False
        self.work: Cancellable | None = None

    def end(self, result: PooledResponse | Exception) -> None:
        """Deliver the outcome of the exchange.

        Args:
            result: The response of the target, or the error of its connection.
        """
        if self._ended:
            return
        target, request = self._target, self._request
        try:
            if isinstance(result, PooledResponse):
                answer = target.classify_answer(request, result, self._started_ms)
                answer.spent_ms = target.clock.now_ms() - self._started_ms
                self._finish(answer)
                return
            self._finish(target.unknown_answer(request, result))
        except Exception as error:
            # If it propagated, it would close the connection and never release the slot.
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        """Log an error and answer at once; the peer would otherwise wait until the deadline."""
        log(TASK_FAILED, task=f"run {self._request.request_id}", error=repr(error))
        if not self._ended:
            self._finish(self._target.unknown_answer(self._request, error))

    def _finish(self, answer: RunAnswer) -> None:
        self._ended, self.work = True, None
        # Without a response, the target may go on with the run until its deadline.
        is_over = answer.outcome in (RunOutcome.ANSWERED, RunOutcome.REJECTED)
        self._release(None if is_over else self._deadline_ms)
        self._deliver(answer)

    def _release(self, may_run_until_ms: float | None) -> None:
        target = self._target
        target.bound_runs.end(
            self._request.allowed_regions, target.clock.now_ms(), until_ms=may_run_until_ms
        )
        target.release_slot()

    def cancel(self) -> None:
        """Stop the exchange with the target and deliver nothing."""
        if self._ended:
            return
        self._ended = True
        if self.work is not None:
            self.work.cancel()
        self._release(self._deadline_ms)
