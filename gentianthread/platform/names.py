"""Define the platform's HTTP header fields."""

from ..protocol.dialect import HttpDialect, dialects

ADAPTER = "mesh"

DIALECT = HttpDialect(
    request_id="Request-Id",
    # Remaining time in ms that the sender waits for the answer, not a time of day.
    remaining_ms="Timeout-Ms",
    seal="Server-Seal",
    organisation="Tenant",
    expected_target="Target-Instance",
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
    load="Server-Load",
    warm_up="Warmup-Ms",
    not_run="Not-Executed",
    retry_after="Retry-After",
    caller_service="Caller-Service",
    instance="Instance-Id",
    key="Key",
    ready_path="/api/readyz",
)

dialects.register(ADAPTER)(DIALECT)
