"""Authenticate two nodes to each other with the fleet secret.

The dialling node sends `Hello`, receives `Challenge`, sends `DialerProof`, receives `AcceptorProof`
and sends an empty message. The dialling node proves itself first, so that an unauthenticated client
gets no HMAC from which it could guess the secret offline.

The accepting node sends nothing after its proof until the empty message arrives: the dialling node
raises its message limit only when it has checked the proof, and would refuse a long message that
follows the proof directly.

A dialling node whose upstream has a newer process receives `Outdated` in place of `AcceptorProof`.
All nodes close their links to an outdated process, so the handshake is the only place where it can
learn of the newer one.
"""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from enum import Enum
from typing import TypeVar

import attrs
import cbor2

from ..errors import ConnectionLost, HandshakeError, MessageError, OutdatedProcess
from ..ids import NodeIdentity, UpstreamId
from ..transport.connections import MessageConnection
from .codec import decode, encode
from .frames import LINK_MESSAGE_LIMIT_BYTES
from .messages_links import AcceptorProof, Challenge, DialerProof, Hello, Outdated

PROTOCOL_VERSION = 1
NONCE_BYTES = 32

# A connection is closed if its peer has not proven its identity within this time.
HANDSHAKE_TIMEOUT_MS = 2_000

T = TypeVar("T")

AdmissionCheck = Callable[[NodeIdentity], None]


class Role(Enum):
    """Name the end that makes a proof; covered by the HMAC, so that a reflected proof is wrong."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"
    REFUSER = "refuser"


def make_proof(
    secret: bytes, role: Role, hello: Hello, challenge: Challenge, newest_start_number: int = 0
) -> bytes:
    """Return the HMAC-SHA-256 of one end over its role, both nonces and both identities.

    Args:
        secret: The fleet secret.
        role: The end that proves itself.
        hello: The message of the dialling node.
        challenge: The message of the accepting node.
        newest_start_number: The start number in an `Outdated`, covered if the role is `REFUSER`.
    """
    authenticated = cbor2.dumps(
        [
            "gentianthread link",
            hello.version,
            role.value,
            hello.nonce,
            challenge.nonce,
            list(attrs.astuple(hello.identity)),
            list(attrs.astuple(challenge.identity)),
            *([newest_start_number] if role is Role.REFUSER else []),
        ]
    )
    return hmac.digest(secret, authenticated, hashlib.sha256)


async def dial_peer(
    connection: MessageConnection,
    local: NodeIdentity,
    secret: bytes,
    expected: UpstreamId,
    admit: AdmissionCheck,
    version: int = PROTOCOL_VERSION,
) -> NodeIdentity:
    """Run the handshake at the dialling end and return the proven identity of the peer.

    Args:
        connection: A new connection.
        local: Identity of this node.
        secret: The fleet secret.
        expected: Upstream that the accepting node must have.
        admit: Raises `HandshakeError` to refuse a proven identity.
        version: Version of the messages that follow.

    Raises:
        OutdatedProcess: The upstream of one of the two ends has a newer process.
        HandshakeError: The peer did not prove the expected identity in time.
        ConnectionLost: The connection closed.
    """
    async with _deadline(connection):
        hello = Hello(version, local, secrets.token_bytes(NONCE_BYTES))
        await connection.send(encode(hello))
        challenge = await _receive(connection, Challenge)
        _check_nonce(challenge.nonce)
        if challenge.identity.upstream_id != expected:
            raise HandshakeError(f"{challenge.identity.upstream_id} in place of {expected}")
        proof = make_proof(secret, Role.DIALER, hello, challenge)
        await connection.send(encode(DialerProof(proof)))
        answer = await _receive(connection, AcceptorProof, Outdated)
        if isinstance(answer, Outdated):
            expected_proof = make_proof(secret, Role.REFUSER, hello, challenge, answer.newest)
            _check_proof(answer.proof, expected_proof)
            raise OutdatedProcess(local.upstream_id, local.start_number, answer.newest)
        _check_proof(answer.proof, make_proof(secret, Role.ACCEPTOR, hello, challenge))
        admit(challenge.identity)
        connection.raise_limit(LINK_MESSAGE_LIMIT_BYTES)
        await connection.send(b"")
        return challenge.identity


async def accept_peer(
    connection: MessageConnection,
    local: NodeIdentity,
    secret: bytes,
    admit: AdmissionCheck,
    version: int = PROTOCOL_VERSION,
) -> NodeIdentity:
    """Run the handshake at the accepting end and return the proven identity of the peer.

    Args:
        connection: A new connection.
        local: Identity of this node.
        secret: The fleet secret.
        admit: Raises `HandshakeError` to refuse a proven identity.
        version: Version of the messages that follow; a peer with another version is refused.

    Raises:
        HandshakeError: The peer did not prove an identity in time.
        ConnectionLost: The connection closed.
    """
    async with _deadline(connection):
        hello = await _receive(connection, Hello)
        if hello.version != version:
            raise HandshakeError(f"link protocol version {hello.version}")
        _check_nonce(hello.nonce)
        if hello.identity.upstream_id == local.upstream_id:
            raise HandshakeError("the peer claims the upstream of this node")
        challenge = Challenge(local, secrets.token_bytes(NONCE_BYTES))
        await connection.send(encode(challenge))
        answer = await _receive(connection, DialerProof)
        _check_proof(answer.proof, make_proof(secret, Role.DIALER, hello, challenge))
        try:
            admit(hello.identity)
        except OutdatedProcess as refusal:
            proof = make_proof(secret, Role.REFUSER, hello, challenge, refusal.newest)
            await connection.send(encode(Outdated(refusal.newest, proof)))
            # Wait until the dialling node closes the connection: closing it here could discard the
            # message before it is read.
            with suppress(ConnectionLost):
                await connection.receive()
            raise
        # The limit must be raised before the proof is sent, since the dialling end may send long
        # messages as soon as it has the proof.
        connection.raise_limit(LINK_MESSAGE_LIMIT_BYTES)
        proof = make_proof(secret, Role.ACCEPTOR, hello, challenge)
        await connection.send(encode(AcceptorProof(proof)))
        if await connection.receive():
            raise HandshakeError("bytes in place of the empty message")
        return hello.identity


@asynccontextmanager
async def _deadline(connection: MessageConnection) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout_at(connection.opened_at_s + HANDSHAKE_TIMEOUT_MS / 1000):
            yield
    except TimeoutError:
        raise HandshakeError(f"not finished in {HANDSHAKE_TIMEOUT_MS} ms") from None


async def _receive(connection: MessageConnection, *expected: type[T]) -> T:
    data = await connection.receive()
    try:
        received = decode(data)
    except MessageError as error:
        raise HandshakeError(f"bad message: {error.problem}") from error
    if not isinstance(received, expected):
        name = type(received).__name__
        raise HandshakeError(f"{name} in place of {expected[0].__name__}")
    return received


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise HandshakeError(f"nonce of {len(nonce)} bytes")


def _check_proof(received: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(received, expected):
        raise HandshakeError("wrong proof")
