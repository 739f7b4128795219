"""Store a request that has no answer yet, and the state of its attempts."""

import attrs

from ...ids import OrganisationId, RegionId, ServiceId, UpstreamId
from ...protocol.messages_mesh import RunAnswer
from ...state.directory import UpstreamEntry
from ...state.fleet_plan import HostRoute
from ...state.retry_window import RetryWindow


@attrs.define(eq=False)
class PendingRequest:
    """Store a request that has no answer yet.

    Attributes:
        route: Its route.
        service_id: Service that answers it.
        organisation_id: Organisation for which it runs; empty if it came without a key.
        priority: Its priority; 0 is the most important.
        inner: Whether this node's own target sent it.
        request_id: Its id.
        deadline_ms: Time at which its caller stops waiting.
        method: HTTP method.
        target: Path and query.
        body: Its body.
        timeout_ms: Time for which its caller or its route allows it to wait, from its arrival.
        fields: Header fields for the target as lines of an HTTP head; set before it is sent.
        objective_missed: Whether it can no longer meet its latency objective.
        returned: Whether its caller has sent it before.
        send_count: How often it was sent to upstreams.
        may_have_run: Whether an upstream may have run it.
        inherited: Whether the run that made this call may have been a repeat itself.
        depth: Number of calls on the way from the root request to this one; 0 for a root request.
        sent_ms: Time of the last send.
        attempts: Upstream and outcome of each attempt that has ended without an answer.
        allowed_regions: Regions in which it may run, or None for all.
    """

    route: HostRoute
    service_id: ServiceId
    organisation_id: OrganisationId
    priority: int
    inner: bool
    request_id: str
    deadline_ms: float
    method: str
    target: str
    body: bytes
    timeout_ms: float = float("inf")
    fields: str = ""
    objective_missed: bool = False
    returned: bool = False
    send_count: int = 0
    may_have_run: bool = False
    inherited: bool = False
    depth: int = 0
    sent_ms: float = 0.0
    attempts: tuple[str, ...] = ()
    allowed_regions: frozenset[RegionId] | None = None


@attrs.define(eq=False)
class Attempts:
    """Store the state of the attempts of one request.

    Attributes:
        pending: The request.
        retry_window: Retry window of its service.
        last_answer: Answer for the caller if no further attempt is made.
        tried: Upstreams that were tried and are not chosen again.
        refusals: Number of nodes that refused it.
        may_have_run: Whether it may have run before the present attempt.
        connection_lost_by: Upstream of which a connection failed, or None; it is tried again if no
            other one is left.
    """

    pending: PendingRequest
    retry_window: RetryWindow
    last_answer: RunAnswer
    tried: set[UpstreamId] = attrs.field(factory=set)
    refusals: int = 0
    may_have_run: bool = False
    connection_lost_by: UpstreamEntry | None = None
