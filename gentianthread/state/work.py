"""Describe a unit of work that asks to run on a target, and the load that answers report."""

import attrs

from ..ids import OrganisationId, Priority, RequestId, RouteId, ServiceId


@attrs.frozen
class WorkItem:
    """Describe one request to admission and routing.

    Attributes:
        root_request_id: Id of the root request; the same on every hop.
        service_id: Service that answers.
        organisation_id: Organisation of the root request.
        priority: Priority of the root request.
        depth: Hops from the root request, which has 0.
        deadline_at_ms: When the caller stops waiting, on the local clock.
        idempotent: Whether it may run twice.
        route_id: Route that the request matched at this hop; shed levels and chain times are kept
            by it, so that an overload behind one route does not shed the others.
        passed_threshold: Threshold that the root request passed at its entry, in ranks of depth 0;
            0 if none was known. It tells the nodes further on what part of the demand they see.
    """

    root_request_id: RequestId
    service_id: ServiceId
    organisation_id: OrganisationId
    priority: Priority
    depth: int
    deadline_at_ms: float
    idempotent: bool
    route_id: RouteId | None = None
    passed_threshold: float = 0.0


@attrs.frozen
class ShedLevel:
    """Tell below which rank a target node sheds work.

    Ranks order all work of the call graph: a larger rank is shed later. The integer part is the
    priority; the fraction orders requests inside a priority.

    Attributes:
        threshold: Work with a smaller rank is shed, unless its organisation has its own threshold
            below; 0 sheds nothing.
        queue_delay_ms: Delay that admitted work waits at present.
        running: Requests that run on the target.
        limit: Requests that may run at once.
        by_organisation: Thresholds of the organisations that ask for more than their weighted
            max-min share.
    """

    threshold: float = 0.0
    queue_delay_ms: float = 0.0
    running: int = 0
    limit: int = 0
    by_organisation: tuple[tuple[OrganisationId, float], ...] = ()
    age_ms: float = 0.0
