"""Turn what the target of a node sends, or fails to send, into answers for other nodes."""

from typing import TYPE_CHECKING

from ...errors import ConnectionLost
from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunAnswer, RunOutcome, RunRequest
from ...transport.header_fields import render_fields
from ...transport.http_names import is_final_status
from ...transport.target_pool import PooledResponse, ReusedConnectionLost

if TYPE_CHECKING:
    from .target import LocalTarget

# HTTP status of a target that did not run a request because its upstream id names another process.
MISDIRECTED_REQUEST = 421


class TargetAnswers:
    """Classify the responses of a target, and record what they tell of it."""

    def __init__(self, target: "LocalTarget", dialect: HttpDialect):
        """Create the classification of one target.

        Args:
            target: The target.
            dialect: Names of header fields.
        """
        self._target = target
        self._request_id_field = dialect.request_id.lower()
        self._seal_field = dialect.seal.lower()
        self._not_run_field = dialect.not_run.lower()
        self._load_field = dialect.load.lower()

    def unknown(self, request: RunRequest, error: Exception) -> RunAnswer:
        """Return the answer for a request that was sent and got no response from the target."""
        target = self._target
        if isinstance(error, ConnectionLost):
            target.crash_reports.record_loss(request)
            target.health.record_loss()
            target.metrics.count("target.lost")
            on_kept = isinstance(error, ReusedConnectionLost)
            outcome = RunOutcome.CONNECTION_LOST if on_kept else RunOutcome.UNKNOWN
            return target.make_answer(outcome, error.problem)
        if isinstance(error, TimeoutError):
            return target.make_answer(RunOutcome.UNKNOWN, "no answer in time")
        return target.make_answer(RunOutcome.UNKNOWN, "fault of the node")

    def classify(self, request: RunRequest, pooled: PooledResponse, started_ms: float) -> RunAnswer:
        """Classify a response of the target as an answer, a rejection or invalid.

        Args:
            request: The request.
            pooled: The response.
            started_ms: Time at which the request was sent.
        """
        target = self._target
        target.health.record_answer(target.clock.now_ms())
        answer, fields = pooled.response, pooled.fields
        echoes_id = fields.get(self._request_id_field) == request.request_id
        now_ms = target.clock.now_ms()
        if echoes_id:
            target.capacity.record_load(fields.get(self._load_field), target.running, now_ms)
        is_final = is_final_status(answer.status)
        is_rejection = is_final and self._is_rejection(answer.status, fields)
        if is_rejection and (echoes_id or pooled.on_new_connection):
            target.runs.end(request.request_id)
            if answer.status == MISDIRECTED_REQUEST:
                target.notices.record_misdirected(request, started_ms)
            else:
                target.notices.read(request, fields, started_ms)
            target.log.record_rejection(request, pooled, started_ms)
            return target.make_answer(RunOutcome.REJECTED, f"target answered {answer.status}")
        has_seal = self._seal_field in fields
        if not echoes_id or not is_final or (answer.status < 300 and not has_seal):
            target.metrics.count("target.invalid_answers")
            return target.make_answer(RunOutcome.UNKNOWN, "answer is not the target's own")
        if has_seal:
            target.notices.read(request, fields, started_ms)
        else:
            # A limit without the seal is not trusted, but leaving is passed on to the caller.
            target.notices.read_leaving(request, fields, started_ms)
        target.crash_reports.record_answer(request)
        target.runs.end(request.request_id, answer.status)
        took_ms = now_ms - started_ms
        target.metrics.timing_ms("target.took_ms", took_ms)
        target.health.record_latency(took_ms, now_ms)
        target.capacity.record_answer(took_ms, now_ms)
        target.stop.record_run(request, took_ms, now_ms)
        if answer.status < 300:
            target.low_latency.record(took_ms, now_ms)
        target.metrics.count("target.answered")
        error_reason = target.runs.error_reason(answer.status, started_ms)
        run_answer = target.make_answer(RunOutcome.ANSWERED, error_reason)
        run_answer.status, run_answer.body = answer.status, answer.body
        run_answer.fields = render_fields(answer.headers)
        return run_answer

    def _is_rejection(self, status: int, fields: dict[str, str]) -> bool:
        # Only an upstream that has run the request seals its answer.
        is_misdirected = status == MISDIRECTED_REQUEST and self._seal_field not in fields
        return is_misdirected or self._not_run_field in fields
