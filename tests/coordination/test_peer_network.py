import attrs

from gentianthread.coordination.peer_network import MemoryFabric, MemoryLinkRules
from gentianthread.errors import PeerTimeout, PeerUnreachable
from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.protocol.codec import message

from ..base import VirtualTimeTestCase


@message(99_002)
@attrs.frozen
class Number:
    value: int


def identity(name: str, start: int = 1) -> NodeIdentity:
    return NodeIdentity(UpstreamId(name), AvailabilityZoneId("larisa-a"), StartNumber(start))


class TestMemoryPeerNetwork(VirtualTimeTestCase):
    async def test_request_brings_the_answer(self):
        """Guards against answers that do not reach the asker."""
        fabric = MemoryFabric()
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        second.subscribe(Number, lambda sender, number: Number(number.value + 1))
        self.assertEqual(Number(8), await first.request(UpstreamId("b"), Number(7), 100))

    async def test_cut_path_times_out(self):
        """Guards against a request that hangs on a partition."""
        fabric = MemoryFabric()
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        second.subscribe(Number, lambda sender, number: number)
        fabric.cut({UpstreamId("a")}, {UpstreamId("b")})
        with self.assertRaisesType(PeerTimeout):
            await first.request(UpstreamId("b"), Number(7), 100)
        self.assertEqual(frozenset(), first.connected())

    async def test_missing_peer_is_unreachable(self):
        """Guards against messages to a dead process that look sent."""
        fabric = MemoryFabric()
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        fabric.detach(second)
        with self.assertRaisesType(PeerUnreachable):
            await first.send(UpstreamId("b"), Number(1))

    async def test_doubled_message_arrives_twice(self):
        """Guards against fault tests that never double a message."""
        fabric = MemoryFabric()
        fabric.default_rules = MemoryLinkRules(duplication=1.0)
        first, second = fabric.attach(identity("a")), fabric.attach(identity("b"))
        seen = []
        second.subscribe(Number, lambda sender, number: seen.append(number))
        await first.send(UpstreamId("b"), Number(1))
        await fabric.clock.sleep_ms(10)
        self.assertEqual([Number(1), Number(1)], seen)
