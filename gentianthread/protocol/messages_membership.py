"""Define the messages by which nodes keep their view of the fleet."""

import attrs

from ..ids import StartNumber
from ..state.member_table import MemberRecord
from .codec import message


@message(30)
@attrs.frozen
class Exchange:
    """Show that the sender lives and what its table holds.

    Attributes:
        digest: Hash of the sender's table.
    """

    digest: bytes


@message(31)
@attrs.frozen
class ExchangeAnswer:
    """Answer an `Exchange`.

    Attributes:
        digest: Hash of the answering node's table.
        newest_start: Newest start number that it knows for the upstream of the sender.
    """

    digest: bytes
    newest_start: StartNumber


@message(32)
@attrs.frozen
class BucketRequest:
    """Ask for the records in which two tables differ.

    Attributes:
        digests: Hashes of the sender's buckets.
    """

    digests: bytes


@message(33)
@attrs.frozen
class BucketAnswer:
    """Answer a `BucketRequest`.

    Attributes:
        buckets: Buckets that differ.
        records: The answering node's records in them.
    """

    buckets: tuple[int, ...]
    records: tuple[MemberRecord, ...]


@message(34)
@attrs.frozen
class Changes:
    """Spread records; a receiver passes on those that are new to it.

    Attributes:
        records: The records.
    """

    records: tuple[MemberRecord, ...]


@message(35)
@attrs.frozen
class LeavingNotice:
    """Tell a node that the platform lists it as leaving.

    Attributes:
        revision: Revision of the list.
    """

    revision: int
