import asyncio

from gentianthread.errors import ConnectionLost, HandshakeError, OutdatedProcess
from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.protocol.codec import decode, encode
from gentianthread.protocol.handshake import Role, accept_peer, dial_peer, make_proof
from gentianthread.protocol.messages_links import (
    AcceptorProof,
    Challenge,
    DialerProof,
    Hello,
    Outdated,
)
from gentianthread.transport.connections import memory_connection_pair

from ..base import VirtualTimeTestCase

SECRET = b"a fleet secret for tests"


def identity(name: str, start: int = 1) -> NodeIdentity:
    return NodeIdentity(UpstreamId(name), AvailabilityZoneId("larisa-a"), StartNumber(start))


DIALER, ACCEPTOR = identity("a"), identity("b")


def admit_any(peer: NodeIdentity) -> None:
    """Admit every proven identity."""


def dial(connection, secret=SECRET, expected="b"):
    return dial_peer(connection, DIALER, secret, UpstreamId(expected), admit_any)


def accept(connection, secret=SECRET, admit=admit_any):
    return asyncio.ensure_future(accept_peer(connection, ACCEPTOR, secret, admit))


class TestHandshake(VirtualTimeTestCase):
    async def assert_refused(self, work, problem="wrong proof"):
        with self.assertRaisesType(HandshakeError) as caught:
            await work
        self.assertIn(problem, caught.exception.problem)

    async def test_both_ends_learn_the_proven_identity(self):
        """Guards against links to a peer whose identity is unknown."""
        near, far = memory_connection_pair(delay_ms=1)
        accepting = accept(far)
        self.assertEqual(ACCEPTOR, await dial(near))
        self.assertEqual(DIALER, await accepting)

    async def test_dialler_without_the_secret_is_given_no_proof(self):
        """Guards against clients without the secret that get a link, or an HMAC to guess it."""
        near, far = memory_connection_pair()
        accepting = accept(far)
        await near.send(encode(Hello(1, DIALER, bytes(32))))
        self.assertIsInstance(decode(await near.receive()), Challenge)
        await near.send(encode(DialerProof(bytes(32))))
        await self.assert_refused(accepting)
        far.abort()
        with self.assertRaisesType(ConnectionLost):
            await near.receive()

    async def test_acceptor_without_the_secret_is_refused(self):
        """Guards against another process that listens at the address of a stopped node."""
        near, far = memory_connection_pair()

        async def pretend():
            await far.receive()
            await far.send(encode(Challenge(ACCEPTOR, bytes(32))))
            await far.receive()
            await far.send(encode(AcceptorProof(bytes(32))))

        pretending = asyncio.ensure_future(pretend())
        await self.assert_refused(dial(near))
        await pretending

    async def test_recorded_proof_is_refused(self):
        """Guards against a replay of an earlier handshake."""
        near, far = memory_connection_pair()
        accepting = accept(far)
        hello = Hello(1, DIALER, bytes(32))
        await near.send(encode(hello))
        challenge = decode(await near.receive())
        recorded = encode(DialerProof(make_proof(SECRET, Role.DIALER, hello, challenge)))
        await near.send(recorded)
        await near.receive()
        await near.send(b"")
        self.assertEqual(DIALER, await accepting)

        near, far = memory_connection_pair()
        accepting = accept(far)
        await near.send(encode(hello))
        await near.receive()
        await near.send(recorded)
        await self.assert_refused(accepting)

    async def test_reflected_proof_is_refused(self):
        """Guards against an acceptor that sends the dialler's own proof back."""
        near, far = memory_connection_pair()

        async def reflect():
            hello = decode(await far.receive())
            await far.send(encode(Challenge(ACCEPTOR, hello.nonce)))
            proof = decode(await far.receive())
            await far.send(encode(AcceptorProof(proof.proof)))

        reflecting = asyncio.ensure_future(reflect())
        await self.assert_refused(dial(near))
        await reflecting

    async def test_proof_for_another_identity_is_refused(self):
        """Guards against a node that claims a newer start number than it proves."""
        near, far = memory_connection_pair()
        accepting = accept(far)
        await near.send(encode(Hello(1, identity("a", 9), bytes(32))))
        challenge = decode(await near.receive())
        proven = Hello(1, identity("a", 1), bytes(32))
        await near.send(encode(DialerProof(make_proof(SECRET, Role.DIALER, proven, challenge))))
        await self.assert_refused(accepting)

    async def test_proof_covers_every_part(self):
        """Guards against a nonce or an identity that the proof does not cover."""
        hello, challenge = Hello(1, DIALER, bytes(32)), Challenge(ACCEPTOR, bytes(32))
        other = b"x" * 32
        proofs = {
            make_proof(SECRET, Role.DIALER, hello, challenge),
            make_proof(SECRET, Role.ACCEPTOR, hello, challenge),
            make_proof(SECRET, Role.REFUSER, hello, challenge, 1),
            make_proof(SECRET, Role.REFUSER, hello, challenge, 2),
            make_proof(other, Role.DIALER, hello, challenge),
            make_proof(SECRET, Role.DIALER, Hello(2, DIALER, bytes(32)), challenge),
            make_proof(SECRET, Role.DIALER, Hello(1, DIALER, other), challenge),
            make_proof(SECRET, Role.DIALER, Hello(1, identity("a", 2), bytes(32)), challenge),
            make_proof(SECRET, Role.DIALER, Hello(1, identity("c"), bytes(32)), challenge),
            make_proof(SECRET, Role.DIALER, hello, Challenge(ACCEPTOR, other)),
            make_proof(SECRET, Role.DIALER, hello, Challenge(identity("b", 2), bytes(32))),
        }
        self.assertEqual(11, len(proofs))

    async def test_other_upstream_than_expected_is_refused(self):
        """Guards against requests for one upstream that reach the node of another."""
        near, far = memory_connection_pair()
        accepting = accept(far)
        await self.assert_refused(dial(near, expected="c"), "b in place of c")
        near.abort()
        with self.assertRaisesType(ConnectionLost):
            await accepting

    async def test_unwanted_identity_is_refused_before_the_proof(self):
        """Guards against an outdated process that gets a link although its successor is known."""
        near, far = memory_connection_pair()

        def admit(peer):
            raise HandshakeError(f"start number {peer.start_number} is old")

        accepting = accept(far, admit=admit)
        dialling = asyncio.ensure_future(dial(near))
        await self.assert_refused(accepting, "start number 1 is old")
        far.abort()
        with self.assertRaisesType(ConnectionLost):
            await dialling

    async def test_outdated_process_is_told_the_newest_start_number(self):
        """Guards against an outdated process that all nodes refuse without giving the reason."""
        near, far = memory_connection_pair(delay_ms=1)

        def admit(peer):
            raise OutdatedProcess(peer.upstream_id, peer.start_number, 9)

        accepting = accept(far, admit=admit)
        with self.assertRaisesType(OutdatedProcess) as caught:
            await dial(near)
        self.assertEqual(("a", 9), (caught.exception.upstream_id, caught.exception.newest))
        near.abort()
        await self.assert_refused(accepting, "start number 1 of a, newest is 9")

    async def test_only_a_proven_peer_can_call_a_process_outdated(self):
        """Guards against an `Outdated` with a wrong secret, number or role that stops a node."""
        for secret, role, proven in (
            (b"a guess", Role.REFUSER, 9),
            (SECRET, Role.REFUSER, 8),
            (SECRET, Role.ACCEPTOR, 9),
        ):
            near, far = memory_connection_pair()

            async def pretend(far, secret, role, proven):
                hello = decode(await far.receive())
                challenge = Challenge(ACCEPTOR, bytes(32))
                await far.send(encode(challenge))
                await far.receive()
                proof = make_proof(secret, role, hello, challenge, proven)
                await far.send(encode(Outdated(9, proof)))

            pretending = asyncio.ensure_future(pretend(far, secret, role, proven))
            await self.assert_refused(dial(near))
            await pretending

    async def test_slow_peer_is_refused_after_two_seconds(self):
        """Guards against unauthenticated clients that keep connections open."""
        _, far = memory_connection_pair()
        await self.assert_refused(accept(far), "not finished in 2000 ms")
        self.assertAlmostEqual(2.0, asyncio.get_running_loop().time(), 3)

    async def test_one_bad_message_is_refused(self):
        """Guards against a client that can continue on its connection after a wrong message."""
        wrong = {
            b"": "bad message",
            b"\xff": "bad message",
            encode(DialerProof(b"")): "DialerProof in place of Hello",
            encode(Hello(2, DIALER, bytes(32))): "version 2",
            encode(Hello(1, DIALER, b"short")): "nonce of 5 bytes",
            encode(Hello(1, ACCEPTOR, bytes(32))): "upstream of this node",
        }
        for data, problem in wrong.items():
            near, far = memory_connection_pair()
            accepting = accept(far)
            await near.send(data)
            await self.assert_refused(accepting, problem)

    async def test_long_message_is_refused(self):
        """Guards against an unauthenticated client that makes the node buffer long messages."""
        near, far = memory_connection_pair()
        accepting = accept(far)
        await near.send(bytes(4_097))
        with self.assertRaisesType(ConnectionLost):
            await accepting
