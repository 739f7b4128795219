"""Define the messages with which nodes synchronise their member tables."""

import attrs

from ..ids import StartNumber
from ..state.member_table import MemberRecord
from .codec import message


@message(30)
@attrs.frozen
class Exchange:
    """Show that the sender is alive, and compare member tables by their hash.

    Attributes:
        digest: Hash of the sender's member table.
    """

    digest: bytes


@message(31)
@attrs.frozen
class ExchangeAnswer:
    """Answer an `Exchange`.

    Attributes:
        digest: Hash of the answering node's member table.
        newest_start: Newest start number that the answering node knows for the sender's upstream.
    """

    digest: bytes
    newest_start: StartNumber


@message(32)
@attrs.frozen
class BucketRequest:
    """Ask for the records in which two member tables differ.

    Attributes:
        digests: Concatenated hashes of the buckets of the sender's table.
    """

    digests: bytes


@message(33)
@attrs.frozen
class BucketAnswer:
    """Answer a `BucketRequest`.

    Attributes:
        buckets: Numbers of the buckets that differ.
        records: Records of the answering node in these buckets.
    """

    buckets: tuple[int, ...]
    records: tuple[MemberRecord, ...]


@message(34)
@attrs.frozen
class Changes:
    """Distribute changed records; receivers forward those that are new to them.

    Attributes:
        records: The changed records.
    """

    records: tuple[MemberRecord, ...]


@message(35)
@attrs.frozen
class LeavingNotice:
    """Notify a node that the platform lists it as leaving.

    Attributes:
        revision: Revision of the platform's list.
    """

    revision: int
