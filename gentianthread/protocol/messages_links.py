"""Define the messages of the handshake between two nodes."""

import attrs

from ..ids import NodeIdentity
from .codec import message


@message(1)
@attrs.frozen
class Hello:
    """Open the handshake; the dialling node sends it.

    Attributes:
        version: Version of the link protocol.
        identity: Identity of the dialling node.
        nonce: Random bytes of the dialling node.
    """

    version: int
    identity: NodeIdentity
    nonce: bytes


@message(2)
@attrs.frozen
class Challenge:
    """Answer a `Hello`.

    Attributes:
        identity: Identity of the accepting node.
        nonce: Random bytes of the accepting node.
    """

    identity: NodeIdentity
    nonce: bytes


@message(3)
@attrs.frozen
class DialerProof:
    """Prove that the dialling node knows the fleet secret.

    Attributes:
        proof: HMAC with the role of the dialling end; see `handshake.make_proof`.
    """

    proof: bytes


@message(4)
@attrs.frozen
class AcceptorProof:
    """Prove that the accepting node knows the fleet secret.

    Attributes:
        proof: HMAC with the role of the accepting end.
    """

    proof: bytes


@message(5)
@attrs.frozen
class Outdated:
    """Refuse a proven dialling node because its upstream has a newer process.

    Attributes:
        newest: Start number of the newest process of the upstream that was authenticated.
        proof: HMAC with the role of the refusing end, which also covers the start number.
    """

    newest: int
    proof: bytes
