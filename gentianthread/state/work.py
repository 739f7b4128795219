"""Define a request to run on a target, and the shed level that answers report."""

import attrs

from ..ids import OrganisationId, Priority, RequestId, RouteId, ServiceId


@attrs.frozen
class WorkItem:
    """Describe one request for admission and routing.

    Attributes:
        root_request_id: Id of the root request; the same on every hop.
        service_id: Service that the request is sent to.
        organisation_id: Organisation of the root request.
        priority: Priority of the root request.
        depth: Number of hops from the root request, whose depth is 0.
        deadline_at_ms: When the caller stops waiting, on the local clock.
        idempotent: Whether it may be executed more than once.
        route_id: Route that the request matched at this hop. Shed levels and chain times are stored
            by route, so that an overload behind one route does not shed requests of the others.
        passed_threshold: Threshold that the entry node applied to the root request, in ranks of
            depth 0; 0 if it knew none. The other nodes derive from it what fraction of the demand
            reaches them.
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
    """Report the rank below which the node of a target sheds work.

    Ranks order all work of the call graph; smaller ranks are shed first. The integer part is the
    priority, and the fraction orders requests of one priority.

    Attributes:
        threshold: Work with a smaller rank is shed, unless `by_organisation` has a threshold for
            its organisation; 0 sheds nothing.
        queue_delay_ms: Present queueing delay of admitted work.
        running: Requests that run on the target.
        limit: Requests that may run at once.
        by_organisation: Thresholds of the organisations whose demand exceeds their weighted max-min
            share.
        age_ms: Time since the level was measured.
    """

    threshold: float = 0.0
    queue_delay_ms: float = 0.0
    running: int = 0
    limit: int = 0
    by_organisation: tuple[tuple[OrganisationId, float], ...] = ()
    age_ms: float = 0.0
