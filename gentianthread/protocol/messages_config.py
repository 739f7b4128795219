"""Define the messages by which nodes spread configuration versions."""

import attrs

from ..ids import ConfigVersion, KeyId
from .codec import message


@message(50)
@attrs.frozen
class Announcement:
    """Announce a version; a receiver passes on one that is new to it.

    Attributes:
        version: The version.
        digest: SHA-256 of its payload.
        part_count: Number of its parts.
        withdrawn: Keys that it withdraws; they stop working at once.
    """

    version: ConfigVersion
    digest: bytes
    part_count: int
    withdrawn: tuple[KeyId, ...]


@message(51)
@attrs.frozen
class Withdrawal:
    """Name a key whose withdrawal arrived ahead of its bundle.

    Attributes:
        key_id: The key.
        version: The version that withdraws it.
    """

    key_id: KeyId
    version: ConfigVersion


@message(52)
@attrs.frozen
class VersionExchange:
    """Compare versions with a neighbour; the answer has the same form.

    Attributes:
        version: Version that the sender has accepted, or 0.
        digest: SHA-256 of its payload, or nothing.
        part_count: Number of its parts.
        withdrawn: Keys that are withdrawn ahead of their bundle.
    """

    version: ConfigVersion
    digest: bytes
    part_count: int
    withdrawn: tuple[Withdrawal, ...]


@message(53)
@attrs.frozen
class PartRequest:
    """Ask for one part of a bundle.

    Attributes:
        version: Version of the bundle.
        digest: Its digest.
        number: Number of the part; they start at 0.
    """

    version: ConfigVersion
    digest: bytes
    number: int


@message(54)
@attrs.frozen
class Part:
    """Answer a `PartRequest`.

    Attributes:
        data: The part, or None if the node does not have the bundle.
    """

    data: bytes | None
