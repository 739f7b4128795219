"""Define the messages that carry requests and answers between an entry node and a target node."""

import attrs

from ..ids import (
    OrganisationId,
    Priority,
    RefusalReason,
    RequestId,
    RouteId,
    ServiceId,
)
from .codec import message

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Load:
    """Report the load of a target node.

    Attributes and their units are those of `state.work.ShedLevel`.
    """

    threshold: float
    queue_delay_ms: float
    running: int
    limit: int
    by_organisation: tuple[tuple[OrganisationId, float], ...] = ()
    age_ms: float = 0.0


@message(10)
@attrs.frozen
class RequestHead:
    """Start a request stream.

    Attributes:
        request_id: Id of this attempt.
        root_request_id: Id of the root request, from which the call graph of this one started.
        route_id: Route that matched at the entry node.
        service_id: Service that must handle the request.
        organisation_id: Organisation of the root request.
        priority: Priority of the root request.
        depth: Number of calls from the root request to this one.
        remaining_ms: Time until the deadline of the caller.
        lent_attempts: Extra attempts that the inner calls of this attempt may make; see
            `state.allowance`.
        idempotent: Whether the request may run more than once.
        idempotency_key: Value of the caller's `Idempotency-Key` field, or None.
        method: HTTP method.
        target_path: Path and query.
        headers: Header fields for the target, without API keys.
        has_body: Whether body chunks follow.
        passed_threshold: Shed threshold that the root request passed; see `state.work.WorkItem`.
    """

    request_id: RequestId
    root_request_id: RequestId
    route_id: RouteId
    service_id: ServiceId
    organisation_id: OrganisationId
    priority: Priority
    depth: int
    remaining_ms: float
    lent_attempts: int
    idempotent: bool
    idempotency_key: str | None
    method: str
    target_path: str
    headers: Headers
    has_body: bool
    passed_threshold: float = 0.0


@message(11)
@attrs.frozen
class ResponseHead:
    """Start the answer of a target.

    Attributes:
        status: HTTP status.
        headers: Header fields of the answer.
        inner_failed: Whether an inner call of the request failed; such a failure is not retried.
        load: Load of the target node.
    """

    status: int
    headers: Headers
    inner_failed: bool
    load: Load


@message(12)
@attrs.frozen
class RefusalHead:
    """Answer a request that was refused.

    Attributes:
        reason: Reason of the refusal.
        not_run: True only if no byte can have reached the target.
        retry_after_ms: How long the caller should wait before a retry, or None.
        used_attempts: Number of lent attempts that were used.
        load: Load of the target node.
    """

    reason: RefusalReason
    not_run: bool
    retry_after_ms: float | None
    used_attempts: int
    load: Load


@message(13)
@attrs.frozen
class ResponseSummary:
    """End a complete answer.

    Attributes:
        used_attempts: Number of lent attempts that were used.
        service_ms: Time that the target took to answer.
    """

    used_attempts: int
    service_ms: float


@message(14)
@attrs.frozen
class TicketRequest:
    """Ask a node to issue a ticket, an idempotency key whose home is that node.

    Attributes:
        organisation_id: Organisation that will use the ticket.
        service_id: Service of the request that will carry the ticket.
    """

    organisation_id: OrganisationId
    service_id: ServiceId


@message(15)
@attrs.frozen
class TicketAnswer:
    """Answer a `TicketRequest`.

    Attributes:
        ticket: The ticket, or None if the answering node is leaving.
    """

    ticket: str | None
