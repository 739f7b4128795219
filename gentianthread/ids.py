"""Define identifier types, the identity of a node and the enums shared by several layers."""

from enum import Enum, IntEnum
from typing import NewType

import attrs

OrganisationId = NewType("OrganisationId", str)
KeyId = NewType("KeyId", str)
ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
UpstreamId = NewType("UpstreamId", str)
ProfileId = NewType("ProfileId", str)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
RegionId = NewType("RegionId", str)
RequestId = NewType("RequestId", str)
StartNumber = NewType("StartNumber", int)
ConfigVersion = NewType("ConfigVersion", int)

# Organisation of requests without a key, on routes that require none.
ANONYMOUS = OrganisationId("anonymous")


@attrs.frozen(order=True)
class NodeIdentity:
    """Identify a node process and the upstream that it serves.

    Attributes:
        upstream_id: The upstream whose target the node serves.
        availability_zone: Availability zone of the node.
        start_number: Wall clock at process start in ms; newer processes have larger numbers.
    """

    upstream_id: UpstreamId
    availability_zone: AvailabilityZoneId
    start_number: StartNumber


class Priority(IntEnum):
    """Rank requests for load shedding; lower values are shed first."""

    BACKGROUND = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3


class Outcome(Enum):
    """Classify the result of an attempt at a target."""

    SUCCESS = "success"
    FAILURE = "failure"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    LOST = "lost"


class RefusalReason(Enum):
    """List the reasons for refusing a request."""

    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_MISPLACED = "key_misplaced"
    ROUTE_UNKNOWN = "route_unknown"
    CONTEXT_UNKNOWN = "context_unknown"
    DEPTH_EXCEEDED = "depth_exceeded"
    HEADER_INVALID = "header_invalid"
    RATE_EXCEEDED = "rate_exceeded"
    SHED = "shed"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DOOMED = "doomed"
    NO_UPSTREAM = "no_upstream"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    TARGET_UNREACHABLE = "target_unreachable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    ALREADY_RUN = "already_run"
    RECORDS_FULL = "records_full"
