"""Build the HTTP requests that the target of this node gets."""

from ...protocol.dialect import HttpDialect
from ...protocol.messages_mesh import RunRequest
from ...transport.target_connection import TargetRequest, make_request
from ...transport.target_pool import NO_RESEND_IDLE_LIMIT_MS


def build_target_request(
    request: RunRequest, remaining_ms: float, dialect: HttpDialect
) -> TargetRequest:
    """Return the HTTP request for the target, with the fields that the node sets.

    Args:
        request: The request.
        remaining_ms: Time until its deadline.
        dialect: Names of header fields.
    """
    fields = (
        f"{request.fields}{dialect.request_id}: {request.request_id}\r\n"
        f"{dialect.remaining_ms}: {max(1, int(remaining_ms))}\r\n"
        f"{dialect.expected_target}: {request.upstream_id}\r\n"
    )
    return make_request(
        request.method, request.target, fields, request.body, request.request_id, remaining_ms
    )


def build_health_check(
    upstream_id: str,
    host: str,
    path: str,
    request_id: str,
    timeout_ms: float,
    dialect: HttpDialect,
) -> TargetRequest:
    """Return the HTTP request of a health check.

    Args:
        upstream_id: Upstream that has to answer.
        host: Value of the Host field.
        path: Path of the health check.
        request_id: Id that the response should echo.
        timeout_ms: Time until the response must be complete.
        dialect: Names of header fields.
    """
    fields = (
        f"Host: {host}\r\n"
        f"{dialect.request_id}: {request_id}\r\n"
        f"{dialect.remaining_ms}: {timeout_ms:.0f}\r\n"
        f"{dialect.expected_target}: {upstream_id}\r\n"
    )
    return make_request("GET", path, fields, b"", request_id, timeout_ms)


def idle_limit_ms(request: RunRequest) -> float | None:
    """Return how long a kept connection may have been idle to be used for a request."""
    return None if request.may_repeat else NO_RESEND_IDLE_LIMIT_MS
