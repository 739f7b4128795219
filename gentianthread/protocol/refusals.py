"""Convert refusals to HTTP answers."""

import json

from ..errors import Refused
from ..ids import RefusalReason
from .headers import NOT_RUN, OUTCOME, REFUSAL, REQUEST_ID, RETRY_AFTER_MS

STATUS_BY_REASON = {
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_UNKNOWN: 401,
    RefusalReason.KEY_MISPLACED: 400,
    RefusalReason.ROUTE_UNKNOWN: 404,
    RefusalReason.CONTEXT_UNKNOWN: 403,
    RefusalReason.DEPTH_EXCEEDED: 508,
    RefusalReason.HEADER_INVALID: 400,
    RefusalReason.RATE_EXCEEDED: 429,
    RefusalReason.SHED: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.DOOMED: 503,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.LEAVING: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.TARGET_UNREACHABLE: 502,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.RECORDS_FULL: 503,
}

# These refusals report that an earlier request with the same idempotency key runs or ran. They say
# nothing about "not run", since clients would read that as a statement about the earlier request.
_ABOUT_EARLIER_RUN = frozenset((RefusalReason.IN_PROGRESS, RefusalReason.ALREADY_RUN))

HttpAnswer = tuple[int, list[tuple[str, str]], bytes]


def refusal_answer(
    refusal: Refused, request_id: str | None = None, status: int | None = None
) -> HttpAnswer:
    """Return the status, headers and body that report a refusal to the caller.

    Args:
        refusal: The refusal.
        request_id: Id of the request, or None if none was assigned.
        status: Status to use instead of the one in `STATUS_BY_REASON`.
    """
    reason = refusal.reason
    status = status or STATUS_BY_REASON[reason]
    headers = [("Content-Type", "application/json"), (REFUSAL, reason.value)]
    content: dict[str, object] = {"refusal": reason.value}
    if reason not in _ABOUT_EARLIER_RUN:
        content["not_run"] = refusal.not_run
        headers.append((NOT_RUN, "true") if refusal.not_run else (OUTCOME, "unknown"))
    if refusal.retry_after_ms is not None:
        headers.append((RETRY_AFTER_MS, str(max(0, round(refusal.retry_after_ms)))))
        content["retry_after_ms"] = max(0, round(refusal.retry_after_ms))
    if request_id is not None:
        headers.append((REQUEST_ID, request_id))
        content["request_id"] = request_id
    body = json.dumps(content).encode()
    headers.append(("Content-Length", str(len(body))))
    return status, headers, body


def malformed_answer(status: int) -> HttpAnswer:
    """Return the answer to a request head that cannot be parsed, without its `Content-Length`.

    Args:
        status: HTTP status chosen by the parser; any other than 400 and 431 becomes 400.
    """
    refusal = Refused(RefusalReason.HEADER_INVALID, not_run=True)
    code, headers, body = refusal_answer(refusal, status=status if status in (400, 431) else 400)
    return code, [pair for pair in headers if pair[0] != "Content-Length"], body
