"""Define the messages of the request path between an entry node and a target node."""

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
    """Report the load of a target node; see `state.work.ShedLevel`."""

    threshold: float
    queue_delay_ms: float
    running: int
    limit: int
    by_organisation: tuple[tuple[OrganisationId, float], ...] = ()
    age_ms: float = 0.0


@message(10)
@attrs.frozen
class RequestHead:
    """Open a request stream.

    Attributes:
        request_id: Id of this attempt.
        root_request_id: Id of the root request.
        route_id: Route that matched at the entry node.
        service_id: Service that answers.
        organisation_id: Organisation of the root request.
        priority: Priority of the root request.
        depth: Hops from the root request.
        remaining_ms: Time until the caller stops waiting.
        lent_attempts: Retry allowance lent to this attempt.
        idempotent: Whether the request may run twice.
        idempotency_key: The caller's key, if it sent one.
        method: HTTP method.
        target_path: Path and query.
        headers: Headers for the target, without keys.
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
    """Open the answer of a target.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
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
    """Answer that the request was refused.

    Attributes:
        reason: Why.
        not_run: True only where no byte can have reached the target.
        retry_after_ms: How long to wait, or None.
        used_attempts: Part of the lent allowance that was used.
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
    """Close a complete answer.

    Attributes:
        used_attempts: Part of the lent allowance that was used.
        service_ms: Time that the target took.
    """

    used_attempts: int
    service_ms: float


@message(14)
@attrs.frozen
class TicketRequest:
    """Ask a home for a ticket.

    Attributes:
        organisation_id: Whose ticket it will be.
        service_id: Service of the request that will carry it.
    """

    organisation_id: OrganisationId
    service_id: ServiceId


@message(15)
@attrs.frozen
class TicketAnswer:
    """Return a ticket.

    Attributes:
        ticket: The ticket, or None from a home that is leaving.
    """

    ticket: str | None
