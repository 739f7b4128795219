"""Define the messages between the sidecars of a mesh."""

from enum import Enum

import attrs

from ..ids import OrganisationId, ServiceId, UpstreamId
from ..state.balancer import LoadReport
from ..state.crash_suspects import RequestFingerprint
from ..state.evacuations import EvacuationRecord
from ..state.relisting import StoreReturn
from .codec import fingerprint, message


class RunOutcome(Enum):
    """Classify the result of a request at the node beside the target.

    Attributes:
        ANSWERED: The target sent a complete answer.
        NOT_SENT: The node refused the request; nothing of it reached the target.
        REJECTED: The target answered that it did not run the request.
        CONNECTION_LOST: The target closed a kept connection; the request may have run, and on
            another connection the target may answer.
        UNKNOWN: The request may have run, but there is no answer.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    CONNECTION_LOST = "connection_lost"
    UNKNOWN = "unknown"


@message(100)
@attrs.define
class RunRequest:
    """Ask the node beside a target to run a request; the sending link sets `call`.

    Attributes:
        call: Number of the request on this link.
        service_id: Service that must run the request.
        upstream_id: Upstream that must run the request.
        organisation_id: Organisation for which it runs; empty for requests without an API key.
        priority: Priority rank; 0 is the most important.
        inner: Whether a target sent the request while it ran another one.
        repeatable: Whether the request may run more than once.
        may_repeat: Whether the sender can make another attempt if the target has closed a
            keep-alive connection; otherwise only recently used connections serve.
        remaining_ms: Time until the deadline of the caller.
        request_id: Id that the target echoes.
        method: HTTP method.
        target: Path and query.
        fields: Header fields for the target without the request id, as lines of an HTTP head.
        body: The complete body.
        revision: Revision of the platform's documents that the sender knows.
        repeated: Whether the run repeats work: of this request, or of a run that made this call.
        allowed_regions: Names of the regions in which it and its calls may run, separated by
            newlines; empty if they are not limited. One text keeps the fast path of the decoder.
        depth: Number of calls on the way from the root request to this one; 0 for a root request.
    """

    call: int
    service_id: ServiceId
    upstream_id: UpstreamId
    organisation_id: OrganisationId
    priority: int
    inner: bool
    repeatable: bool
    may_repeat: bool
    remaining_ms: float
    request_id: str
    method: str
    target: str
    fields: str
    body: bytes = attrs.field(repr=False)
    revision: int
    repeated: bool = False
    allowed_regions: str = ""
    depth: int = 0


@message(101)
@attrs.define
class RunAnswer:
    """Answer a `RunRequest`; the sending link sets `call`.

    Attributes:
        call: Number of the request on this link.
        outcome: Result of the request.
        reason: Why there is no answer; empty if there is one.
        status: HTTP status of the target's answer, or 0.
        fields: Header fields of the answer without the request id, as lines of an HTTP head.
        body: The complete body of the answer.
        load: Load of the target.
        revision: Revision of the platform's documents that the sender knows.
        spent_ms: Time from the arrival of the request at the node to the answer of its target; 0 if
            the target did not answer.
    """

    call: int
    outcome: RunOutcome
    reason: str
    status: int
    fields: str
    body: bytes = attrs.field(repr=False)
    load: LoadReport
    revision: int
    spent_ms: float = 0.0


@message(102)
@attrs.frozen
class CancelRun:
    """Cancel a request; the receiver sends no answer to this message.

    Attributes:
        call: Number of the request on this link.
    """

    call: int


@message(103)
@attrs.frozen
class Probe:
    """Check that the other end reads and answers, and report the state of the sender.

    Attributes:
        revision: Revision of the platform's documents that the sender knows.
        leaving: Whether the sender is shutting down.
        number: Number of this probe on the link, from 1; 0 if it wants no answer.
        answers: Number of the probe that this one answers; 0 if it answers none.
    """

    revision: int
    leaving: bool
    number: int = 0
    answers: int = 0


@message(104)
@attrs.frozen
class DocumentsWanted:
    """Request the platform's documents.

    Attributes:
        revision: Revision that the sender knows.
        plan_version: Version of the sender's plan; 0 if it has none.
    """

    revision: int
    plan_version: int


@attrs.frozen
class DocumentCopy:
    """Transfer one document of the platform's store."""

    key: str
    data: bytes = attrs.field(repr=False)
    revision: int


@message(105)
@attrs.frozen
class Documents:
    """Transfer all documents that the sender has.

    Attributes:
        revision: Revision up to which the documents are complete.
        documents: The documents.
        store_return: Last return of the store, after which removed documents may be listed again.
    """

    revision: int
    documents: tuple[DocumentCopy, ...]
    store_return: StoreReturn


@attrs.frozen
class DocumentChange:
    """Transfer a changed document, or its removal if `data` is None."""

    key: str
    data: bytes | None = attrs.field(repr=False)
    revision: int


@message(108)
@attrs.frozen
class FollowFeed:
    """Subscribe to the state of another node.

    Attributes:
        revision: Revision that the sender knows.
        takes_changes: Whether the sender also wants to receive each change.
        plan_version: Version of the sender's plan; 0 if it has none.
        lease_ms: Time for which the sender is a follower, or None if until the link closes; 0 ends
            it.
    """

    revision: int
    takes_changes: bool
    plan_version: int
    lease_ms: float | None = None


@message(109)
@attrs.frozen
class FeedState:
    """Report what a node knows of the store to the nodes that follow it.

    Attributes:
        revision: Revision that the node knows.
        store_age_ms: Time since the store last answered the node or one that it follows; None if
            the node has lost its sources and can't tell whether the store answers.
        plan_version: Version of the node's plan; 0 if it has none.
        store_return: Last return of the store that the node knows.
    """

    revision: int
    store_age_ms: float | None
    plan_version: int
    store_return: StoreReturn


@message(110)
@attrs.frozen
class DocumentChanges:
    """Transfer the changes between two revisions.

    Attributes:
        base: Revision that the receiver must have to apply the changes.
        revision: Revision that the receiver has afterwards.
        changes: The changes.
        store_return: Last return of the store, after which removed documents may be listed again.
    """

    base: int
    revision: int
    changes: tuple[DocumentChange, ...]
    store_return: StoreReturn


@message(106)
@attrs.frozen
class UsageReport:
    """Report the requests of organisations to the node that counts them.

    Attributes:
        usage: Organisation, number of admitted requests, number of demanded requests.
        known_tokens: Organisation near its rate, tokens that are left; only in the first report to
            a node, which may have begun to count.
        last: Whether the sender reports to another node from now on; it gets no answer then.
    """

    usage: tuple[tuple[OrganisationId, int, int], ...]
    known_tokens: tuple[tuple[OrganisationId, float], ...]
    last: bool


@message(107)
@attrs.frozen
class RateStates:
    """Answer a `UsageReport`.

    Attributes:
        rate_fraction: Fraction of the rates that the counting node grants.
        states: Organisation near its rate, tokens, demand per second.
    """

    rate_fraction: float
    states: tuple[tuple[OrganisationId, float, float], ...]


@message(111)
@attrs.frozen
class CrashReport:
    """Report that a target crashed while it ran requests.

    Attributes:
        host: Address of the instance of the target.
        number: Number that the node beside the target gave the crash.
        upstream_id: The upstream that crashed.
        age_ms: Time since the crash was noticed.
        fingerprints: Requests that were lost with it.
    """

    host: str
    number: int
    upstream_id: UpstreamId
    age_ms: float
    fingerprints: tuple[RequestFingerprint, ...]


@message(112)
@attrs.frozen
class RequestCleared:
    """Report that a target answered a request that was lost in several crashes.

    Attributes:
        fingerprint: The request.
    """

    fingerprint: RequestFingerprint


@message(113)
@attrs.frozen
class BodyOffer:
    """Announce a large body, which is sent in parts before the message that it belongs to.

    Attributes:
        call: Number of the request on this link.
        of_answer: Whether the body is that of the answer, and not of the request.
        size: Length of the body.
    """

    call: int
    of_answer: bool
    size: int


@message(114)
@attrs.frozen
class BodyCredit:
    """Allow the sender of a large body to send more of it.

    Attributes:
        call: Number of the request on this link.
        of_answer: Whether the body is that of the answer, and not of the request.
        allowed: Bytes that the sender may have sent in all.
    """

    call: int
    of_answer: bool
    allowed: int


@message(115)
@attrs.frozen
class BodyPart:
    """Transfer the next part of a large body.

    Attributes:
        call: Number of the request on this link.
        of_answer: Whether the body is that of the answer, and not of the request.
        data: The part.
    """

    call: int
    of_answer: bool
    data: bytes = attrs.field(repr=False)


@message(120)
@attrs.frozen
class EvacuationRecords:
    """Transfer what a node knows of the evacuations of zones.

    Attributes:
        records: The records.
    """

    records: tuple[EvacuationRecord, ...]


# Nodes with different message definitions refuse links to each other: a request that the peer
# cannot decode would close the link, and its outcome would be unknown although it never ran.
MESH_VERSION = fingerprint(
    RunRequest,
    RunAnswer,
    CancelRun,
    Probe,
    DocumentsWanted,
    Documents,
    FollowFeed,
    FeedState,
    DocumentChanges,
    UsageReport,
    RateStates,
    CrashReport,
    RequestCleared,
    BodyOffer,
    BodyCredit,
    BodyPart,
    EvacuationRecords,
)
