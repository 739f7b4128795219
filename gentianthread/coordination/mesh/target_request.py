"""Build the HTTP requests that the node beside a target sends to it."""

from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunRequest
from ...transport.target_connection import TargetRequest, make_request
from ...transport.target_pool import NO_RESEND_IDLE_LIMIT_MS


def build_target_request(
    dialect: HttpDialect, request: RunRequest, remaining_ms: float
) -> TargetRequest:
    """Return the HTTP request for a target, with the fields that the node sets.

    Args:
        dialect: Names of header fields.
        request: The request of a node.
        remaining_ms: Time until the deadline of its caller.
    """
    fields = (
        f"{request.fields}{dialect.request_id}: {request.request_id}\r\n"
        f"{dialect.remaining_ms}: {max(1, int(remaining_ms))}\r\n"
        f"{dialect.expected_target}: {request.upstream_id}\r\n"
    )
    return make_request(
        request.method,
        request.target,
        fields,
        request.body,
        request.request_id,
        remaining_ms,
    )


def idle_limit_ms(request: RunRequest) -> float | None:
    """Return how long a kept connection may have been idle to be used for a request."""
    return None if request.may_repeat else NO_RESEND_IDLE_LIMIT_MS
