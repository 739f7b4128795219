"""Define the messages that delegate fractions and draw tokens.

The sender's identity comes with every message. Every message is a request with an answer; the
answer to `Release` and `Withdraw` is `Done`.
"""

from enum import IntEnum

import attrs

from ..ids import NodeIdentity, OrganisationId, StartNumber, UpstreamId
from .codec import message


class Tier(IntEnum):
    """Name the kind of holder that a draw addresses."""

    ZONE = 0
    FLEET = 1


@message(70)
@attrs.frozen
class Hello:
    """Announce a new process to the other processes of its availability zone."""


@message(71)
@attrs.frozen
class HelloAnswer:
    """Confirm that the start number of a process is known.

    Attributes:
        superseded: Whether a newer process of the same upstream is known.
        start_number: Start number of the process that answers.
    """

    superseded: bool
    start_number: StartNumber


@message(72)
@attrs.frozen
class Poll:
    """Ask a member for its fraction.

    Attributes:
        sequence: Rises with every poll of the sender.
        settled_version: Newest plan version whose decreases are in force everywhere, if known.
    """

    sequence: int
    settled_version: int | None


@message(73)
@attrs.frozen
class PollAnswer:
    """Delegate a fraction, or say why not.

    Attributes:
        fraction: The delegated fraction; 0 while none can be delegated.
        duration_ms: How long the delegation lasts.
        versions: Newest plan versions that the fraction obeys.
        settled_version: As in `Poll`, from the member's memory.
        superseded: Whether the member knows a newer process of the poller's upstream.
        started: Whether the member has introduced itself to its availability zone.
        declined: Whether the member follows a better placed holder.
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
    """Ask a zone holder for the fractions that were delegated to it.

    Attributes:
        sequence: As in `Poll`.
        organisations: Organisations whose fleet holder the poller is.
        settled_version: As in `Poll`.
        predecessors: Holders whose estates the poller took over lately, with the organisation.
    """

    sequence: int
    organisations: tuple[OrganisationId, ...]
    settled_version: int | None
    predecessors: tuple[tuple[OrganisationId, NodeIdentity], ...]


@message(75)
@attrs.frozen
class FleetAnswer:
    """Delegate the sum of a zone's fractions.

    Attributes:
        delegating: Organisations for which the fraction is delegated.
        following: Organisations for which the zone draws from the poller from now on.
        fraction: The sum of the fractions.
        duration_ms: How long the delegation lasts.
        confirmed: Plan versions that all fractions of the zone obey.
        settled_version: As in `Poll`.
        holder: The zone holder, where the receiver of the poll is none.
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
    """State what a drawer holds and needs of one organisation.

    Attributes:
        organisation_id: The organisation.
        held: Unspent tokens.
        wanted: Requests that wait for a token.
        demand_per_s: Smoothed rate of requests.
        returned: Tokens returned since the drawer's start.
    """

    organisation_id: OrganisationId
    held: int
    wanted: int
    demand_per_s: int
    returned: int


@message(76)
@attrs.frozen
class Draw:
    """Ask a holder for tokens and report what became of earlier ones.

    Attributes:
        tier: Which role of the receiver is meant.
        sequence: Rises with every draw of this drawer process.
        entries: One entry for each organisation in use.
    """

    tier: Tier
    sequence: int
    entries: tuple[DrawEntry, ...]


@attrs.frozen
class GrantEntry:
    """Grant tokens of one organisation and renew the ones that the draw stated.

    Attributes:
        organisation_id: The organisation.
        granted: New tokens.
        target: Tokens that the drawer should hold; it returns what is above.
    """

    organisation_id: OrganisationId
    granted: int
    target: int


@message(77)
@attrs.frozen
class DrawAnswer:
    """Answer a draw; organisations that it leaves out get nothing and are not renewed.

    Attributes:
        sequence: Sequence number of the draw.
        validity_ms: How long the tokens are valid, counted from the sending of the draw.
        entries: One entry for each organisation.
    """

    sequence: int
    validity_ms: float
    entries: tuple[GrantEntry, ...]


@message(78)
@attrs.frozen
class Release:
    """Tell delegators that the sender no longer uses their fractions.

    Attributes:
        tier: Which role of the sender ends.
        sequence: The sender uses no answer to its polls up to this one.
        organisations: The organisations concerned, for a fleet holder.
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
    """Ask another zone holder to take over the buckets of a fleet holder that leaves.

    Attributes:
        organisations: The organisations offered.
    """

    organisations: tuple[OrganisationId, ...]


@message(82)
@attrs.frozen
class TakeOver:
    """Ask for the estates that were offered; the sender becomes their holder.

    Attributes:
        organisations: The organisations.
    """

    organisations: tuple[OrganisationId, ...]


@attrs.frozen
class DelegationTransfer:
    """Hand a delegation on.

    Attributes:
        delegator: The zone holder that delegated it.
        fraction: The fraction.
        remaining_ms: Time until it lapses.
    """

    delegator: NodeIdentity
    fraction: float
    remaining_ms: float


@attrs.frozen
class DrawerTransfer:
    """Hand the record of a drawer on.

    Attributes:
        drawer: The drawer.
        sequence: Largest sequence number seen.
        amount: Tokens that it can hold.
        returned: Tokens that it returned since its start.
        demand_per_s: Requests per second that it reports.
        remaining_ms: Time until its tokens are certainly worthless.
    """

    drawer: NodeIdentity
    sequence: int
    amount: int
    returned: int
    demand_per_s: float
    remaining_ms: float


@attrs.frozen
class BucketTransfer:
    """Hand one bucket on with its delegations and records.

    Attributes:
        organisation_id: The organisation.
        level: Tokens in the bucket.
        shares: Its live delegations.
        records: Its live records.
    """

    organisation_id: OrganisationId
    level: float
    shares: tuple[DelegationTransfer, ...]
    records: tuple[DrawerTransfer, ...]


@message(83)
@attrs.frozen
class BucketTransfers:
    """Answer a `TakeOver`; the sender keeps nothing of what it hands on.

    Attributes:
        transfers: One for each organisation that the sender still held.
    """

    transfers: tuple[BucketTransfer, ...]
