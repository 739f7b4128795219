"""Define the messages that distribute configuration versions between nodes."""

import attrs

from ..ids import ConfigVersion, KeyId
from .codec import message


@message(50)
@attrs.frozen
class Announcement:
    """Announce a version; receivers forward the announcement if the version is new to them.

    Attributes:
        version: The version.
        digest: SHA-256 of the payload of its bundle.
        part_count: Number of parts in which the bundle is transferred.
        withdrawn: API keys that the version withdraws; they stop working at once.
    """

    version: ConfigVersion
    digest: bytes
    part_count: int
    withdrawn: tuple[KeyId, ...]


@message(51)
@attrs.frozen
class Withdrawal:
    """Report a withdrawn API key whose bundle has not arrived yet.

    Attributes:
        key_id: Id of the key.
        version: The version that withdraws it.
    """

    key_id: KeyId
    version: ConfigVersion


@message(52)
@attrs.frozen
class VersionExchange:
    """Compare versions with a neighbour, which answers with the same message type.

    Attributes:
        version: Version that the sender has accepted, or 0.
        digest: SHA-256 of the payload of its bundle, or empty.
        part_count: Number of parts of the bundle.
        withdrawn: API keys that are withdrawn although their bundle has not arrived yet.
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
        digest: SHA-256 of the payload of the bundle.
        number: Number of the part, starting at 0.
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
