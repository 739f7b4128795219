"""Define the messages that distribute the rate limits of organisations over the fleet.

A fraction is the part of each organisation's rate that belongs to one upstream. Each member of an
availability zone delegates its fraction to the zone holder, and zone holders delegate the sums to
the fleet holder of an organisation, which runs the token bucket of the organisation. In the other
direction, zone holders draw tokens from fleet holders, and nodes draw them from their zone holder.

The link identifies the sender of a message. Every message is a request or an answer; `Release` and
`Withdraw` are answered by `Done`.
"""

from enum import IntEnum

import attrs

from ..ids import NodeIdentity, OrganisationId, StartNumber, UpstreamId
from .codec import message


class Tier(IntEnum):
    """Identify the role of a holder, since one process can be zone holder and fleet holder."""

    ZONE = 0
    FLEET = 1


@message(70)
@attrs.frozen
class Hello:
    """Announce a new process to the other processes of its availability zone."""


@message(71)
@attrs.frozen
class HelloAnswer:
    """Confirm that the start number of a new process was recorded.

    Attributes:
        superseded: Whether a newer process of the same upstream is known.
        start_number: Start number of the process that answers.
    """

    superseded: bool
    start_number: StartNumber


@message(72)
@attrs.frozen
class Poll:
    """Ask a member of the availability zone to delegate its fraction.

    Attributes:
        sequence: Number that increases with every poll of the sender.
        settled_version: Newest plan version whose decreases are in force everywhere, or None if
            unknown.
    """

    sequence: int
    settled_version: int | None


@message(73)
@attrs.frozen
class PollAnswer:
    """Delegate a fraction, or report why none is delegated.

    Attributes:
        fraction: The delegated fraction; 0 while none can be delegated.
        duration_ms: How long the delegation is valid.
        versions: Newest plan versions with which the fraction complies.
        settled_version: As in `Poll`, as far as the member knows.
        superseded: Whether the member knows a newer process of the poller's upstream.
        started: Whether the member has announced itself in its availability zone.
        declined: Whether the member refuses the poller, since it follows a preferred holder.
        start_number: Start number of the process that answers.
    """

    fraction: float
    duration_ms: float
    versions: tuple[int, ...]
    settled_version: int | None
    superseded: bool
    started: bool
    declined: bool
    start_number: StartNumber


@message(74)
@attrs.frozen
class FleetPoll:
    """Ask a zone holder to delegate the sum of the fractions that its members delegated to it.

    Attributes:
        sequence: As in `Poll`.
        organisations: Organisations of which the poller is the fleet holder.
        settled_version: As in `Poll`.
        predecessors: Organisation and former fleet holder of each bucket that the poller took over
            recently.
    """

    sequence: int
    organisations: tuple[OrganisationId, ...]
    settled_version: int | None
    predecessors: tuple[tuple[OrganisationId, NodeIdentity], ...]


@message(75)
@attrs.frozen
class FleetAnswer:
    """Delegate the sum of the fractions of an availability zone.

    Attributes:
        delegating: Organisations for which the sum is delegated.
        following: Organisations whose tokens the zone draws from the poller from now on.
        fraction: The sum of the fractions.
        duration_ms: How long the delegation is valid.
        confirmed: Plan versions with which all fractions of the zone comply.
        settled_version: As in `Poll`.
        holder: The probable zone holder if the answering process is not zone holder itself.
        start_number: Start number of the process that answers.
    """

    delegating: tuple[OrganisationId, ...]
    following: tuple[OrganisationId, ...]
    fraction: float
    duration_ms: float
    confirmed: tuple[int, ...]
    settled_version: int | None
    holder: UpstreamId | None
    start_number: StartNumber


@attrs.frozen
class DrawEntry:
    """Report the tokens and the demand of a drawer (the sender of a draw) for one organisation.

    Attributes:
        organisation_id: The organisation.
        held: Unspent tokens.
        wanted: Number of requests that wait for a token.
        demand_per_s: Smoothed rate of requests.
        returned: Tokens returned since the start of the drawer.
    """

    organisation_id: OrganisationId
    held: int
    wanted: int
    demand_per_s: int
    returned: int


@message(76)
@attrs.frozen
class Draw:
    """Ask a holder for tokens, and report the tokens of earlier draws.

    Attributes:
        tier: Role in which the receiver is asked.
        sequence: Number that increases with every draw of the sender.
        entries: One entry for each organisation in use.
    """

    tier: Tier
    sequence: int
    entries: tuple[DrawEntry, ...]


@attrs.frozen
class GrantEntry:
    """Grant tokens of one organisation, and renew the held tokens that the draw reported.

    Attributes:
        organisation_id: The organisation.
        granted: Number of new tokens.
        target: Number of tokens that the drawer should hold; it returns any further ones.
    """

    organisation_id: OrganisationId
    granted: int
    target: int


@message(77)
@attrs.frozen
class DrawAnswer:
    """Answer a draw; for organisations without an entry, no tokens are granted or renewed.

    Attributes:
        sequence: Sequence number of the draw.
        validity_ms: How long the tokens are valid, counted from when the draw was sent.
        entries: At most one entry for each organisation.
    """

    sequence: int
    validity_ms: float
    entries: tuple[GrantEntry, ...]


@message(78)
@attrs.frozen
class Release:
    """Notify delegators that the sender no longer uses their fractions.

    Attributes:
        tier: Role that the sender gives up.
        sequence: The sender ignores answers to its polls up to this sequence number.
        organisations: The organisations that a fleet holder gives up; empty for a zone holder.
    """

    tier: Tier
    sequence: int
    organisations: tuple[OrganisationId, ...]


@message(79)
@attrs.frozen
class Withdraw:
    """Ask a fleet holder to stop using the fractions that the sender delegated."""


@message(80)
@attrs.frozen
class Done:
    """Confirm that a request took effect."""


@message(81)
@attrs.frozen
class Offer:
    """Ask another zone holder to take over the buckets of a fleet holder that shuts down.

    Attributes:
        organisations: Organisations of the offered buckets.
    """

    organisations: tuple[OrganisationId, ...]


@message(82)
@attrs.frozen
class TakeOver:
    """Request buckets that were offered; the sender becomes their fleet holder.

    Attributes:
        organisations: Organisations of the requested buckets.
    """

    organisations: tuple[OrganisationId, ...]


@attrs.frozen
class DelegationTransfer:
    """Transfer a delegation to the next fleet holder.

    Attributes:
        delegator: The zone holder that delegated the fraction.
        fraction: The delegated fraction.
        remaining_ms: Time until the delegation expires.
    """

    delegator: NodeIdentity
    fraction: float
    remaining_ms: float


@attrs.frozen
class DrawerTransfer:
    """Transfer the record of a drawer to the next fleet holder.

    Attributes:
        drawer: Process that drew tokens.
        sequence: Largest sequence number of its draws.
        amount: Largest number of tokens that it can hold.
        returned: Tokens that it has returned since its start.
        demand_per_s: Requests per second that it reports.
        remaining_ms: Time after which all its tokens have certainly expired.
    """

    drawer: NodeIdentity
    sequence: int
    amount: int
    returned: int
    demand_per_s: float
    remaining_ms: float


@attrs.frozen
class BucketTransfer:
    """Transfer one token bucket with its delegations and drawer records.

    Attributes:
        organisation_id: Organisation of the bucket.
        level: Number of tokens in the bucket.
        shares: Delegations that have not expired.
        records: Drawer records that have not expired.
    """

    organisation_id: OrganisationId
    level: float
    shares: tuple[DelegationTransfer, ...]
    records: tuple[DrawerTransfer, ...]


@message(83)
@attrs.frozen
class BucketTransfers:
    """Answer a `TakeOver`; the sender stops using the transferred buckets.

    Attributes:
        transfers: One for each requested bucket that the sender still had.
    """

    transfers: tuple[BucketTransfer, ...]
