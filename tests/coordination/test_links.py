import asyncio

from websockets.asyncio.client import connect

from gentianthread.coordination.link_events import Backoff, LinkState
from gentianthread.coordination.links import IDLE_TIMEOUT_MS, UNAUTHENTICATED_LIMIT, LinkPeerNetwork
from gentianthread.errors import (
    ConnectionLost,
    HandshakeError,
    PeerTimeout,
    PeerUnreachable,
    StreamAborted,
)
from gentianthread.ids import StartNumber, UpstreamId
from gentianthread.protocol.codec import encode
from gentianthread.protocol.messages_links import DialerProof
from gentianthread.transport.connections import (
    MemoryTransport,
    WebSocketTransport,
    memory_connection_pair,
)

from ..base import SocketTestCase, VirtualTimeTestCase
from .test_peer_network import HOST, SECRET, LinkFleet, Number, identity, read_body

A, B = UpstreamId("a"), UpstreamId("b")


def now_ms():
    return asyncio.get_running_loop().time() * 1000


async def settle(duration_ms=100):
    await asyncio.sleep(duration_ms / 1000)


def record(network):
    """Return a list to which upstream, state and time of each link event are appended."""
    events = []
    network.link_events.subscribe(
        lambda event: events.append((event.upstream_id, event.state, round(now_ms())))
    )
    return events


def states(events):
    return [state for _, state, _ in events]


async def echo(sender, head, stream):
    await stream.send_complete(head, await read_body(stream))


async def call(network, upstream_id=B):
    stream = await network.open_whole(upstream_id, Number(1), b"body")
    await stream.receive_head()
    return await read_body(stream)


class TestLinkNetwork(VirtualTimeTestCase):
    async def open_two(self, delay_ms=1.0):
        self.transport = MemoryTransport(delay_ms=delay_ms)
        self.fleet = LinkFleet(self.transport)
        first, second = await self.fleet.add("a"), await self.fleet.add("b")
        first.accept_streams(echo)
        second.accept_streams(echo)
        return first, second

    async def test_one_connection_serves_concurrent_callers(self):
        """Guards against a separate connection for each caller while the first one opens."""
        first, _ = await self.open_two()
        bodies = await asyncio.gather(*[call(first) for _ in range(20)])
        self.assertEqual(([b"body"] * 20, 1), (bodies, len(self.transport.connections)))
        await self.fleet.close()

    async def test_dialling_at_once_leaves_one_link(self):
        """Guards against two links between two nodes and requests lost when one is closed."""
        first, second = await self.open_two()
        bodies = await asyncio.gather(
            *[call(first, B) for _ in range(5)], *[call(second, A) for _ in range(5)]
        )
        self.assertEqual([b"body"] * 10, bodies)
        self.assertEqual(2, len(self.transport.connections))
        await settle(1_000)
        closed = [connection.closed for connection in self.transport.connections]
        self.assertEqual([False, True], sorted(closed))
        dialed = [link.dialed for link in first._peers[B].links]
        self.assertEqual(([True], 1), (dialed, len(second._peers[A].links)))
        await asyncio.gather(call(first, B), call(second, A))
        self.assertEqual(2, len(self.transport.connections))
        await self.fleet.close()

    async def test_silent_link_is_reported_and_replaced(self):
        """Guards against requests that hang on a dead connection although a new one would work."""
        first, _ = await self.open_two()
        events = record(first)
        await call(first)
        stream = await first.open_stream(B, Number(1))
        await settle(300)
        self.transport.connections[0].go_silent()
        silent_ms = now_ms()
        with self.assertRaisesType(StreamAborted):
            await stream.receive_head()
        self.assertTrue(700 <= now_ms() - silent_ms <= 1_010)
        self.assertTrue(stream.may_have_sent)
        self.assertEqual([LinkState.UP, LinkState.SILENT], states(events))
        self.assertEqual(b"body", await call(first))
        await self.fleet.close()

    async def test_request_that_was_not_sent_moves_once(self):
        """Guards against a request that fails although nothing of it was sent."""
        first, _ = await self.open_two()
        await call(first)
        await settle(1_500)
        stream = await first.open_whole(B, Number(1), b"moved")
        first._peers[B].links[0].fail(ConnectionLost("b", "test cuts the link"))
        self.assertFalse(stream.may_have_sent)
        self.assertEqual(Number(1), await stream.receive_head())
        self.assertEqual(b"moved", await read_body(stream))
        self.assertEqual(1, first.metrics.counters["link.streams_moved"])
        self.assertEqual(2, len(self.transport.connections))
        await self.fleet.close()

    async def test_request_of_a_new_link_moves_after_the_backoff(self):
        """Guards against an unsent request that fails because the next dial is delayed."""
        first, _ = await self.open_two()
        await call(first)
        stream = await first.open_whole(B, Number(1), b"moved")
        first._peers[B].links[0].fail(ConnectionLost("b", "test cuts the link"))
        with self.assertRaisesType(PeerUnreachable):
            await first.open_stream(B, Number(1))
        self.assertEqual(b"moved", await read_body(stream))
        await self.fleet.close()

    async def test_request_that_moved_before_does_not_move_again(self):
        """Guards against a request that is moved between failing links forever."""
        first, _ = await self.open_two()
        await call(first)
        await settle(1_500)
        stream = await first.open_whole(B, Number(1), b"moved")
        moves = []
        original = first._adopt

        def adopt(target, moved):
            moves.append(moved)
            original(target, moved)
            target.fail(ConnectionLost("b", "test cuts the link"))

        first._adopt = adopt
        first._peers[B].links[0].fail(ConnectionLost("b", "test cuts the link"))
        with self.assertRaisesType(StreamAborted):
            await stream.receive_head()
        self.assertEqual(([stream], False), (moves, stream.may_have_sent))
        await self.fleet.close()

    async def test_request_that_was_sent_is_lost_and_not_repeated(self):
        """Guards against a request that runs twice because its link was cut."""
        first, second = await self.open_two()
        heads = []

        async def serve(sender, head, stream):
            heads.append(head)
            await stream.wait_until_aborted()

        second._stream_handler = serve
        stream = await first.open_whole(B, Number(1), b"body")
        await settle()
        first._peers[B].links[0].fail(ConnectionLost("b", "test cuts the link"))
        with self.assertRaisesType(StreamAborted):
            await stream.receive_head()
        await settle(3_000)
        self.assertEqual(([Number(1)], True), (heads, stream.may_have_sent))
        await self.fleet.close()

    async def test_newer_process_replaces_the_link(self):
        """Guards against requests that are sent to a process that was replaced."""
        first, old = await self.open_two()
        events = record(first)
        await call(first)
        new = await self.fleet.add("b", start=2)
        new.accept_streams(echo)
        await call(new, A)
        self.assertEqual([LinkState.UP, LinkState.DOWN, LinkState.UP], states(events))
        self.assertEqual(b"body", await call(first))
        with self.assertRaisesType(PeerUnreachable):
            await old.send(A, Number(1))
        self.assertEqual([new.local], [link.peer for link in first._peers[B].links if link.usable])
        await self.fleet.close()

    async def test_replaced_process_completes_open_requests(self):
        """Guards against a replacement that interrupts open requests (P11)."""
        first, old = await self.open_two()
        release = asyncio.Event()

        async def answer_late(sender, head, stream):
            await release.wait()
            await stream.send_head(Number(head.value + 1))
            await stream.finish()

        old.accept_streams(answer_late)
        pending_stream = await first.open_stream(B, Number(1))
        await pending_stream.finish()
        await settle()
        new = await self.fleet.add("b", start=2)
        new.accept_streams(echo)
        await call(new, A)
        await settle(2_000)
        self.assertEqual(b"body", await call(first))
        with self.assertRaisesType(PeerUnreachable):
            await old.send(A, Number(1))
        release.set()
        self.assertEqual(Number(2), await pending_stream.receive_head())
        self.assertIsNone(await pending_stream.receive_chunk())
        await settle(2_000)
        self.assertEqual([new.local], [link.peer for link in first._peers[B].links])
        await self.fleet.close()

    async def test_process_that_is_replaced_during_its_handshake_is_refused(self):
        """Guards against an old process that is accepted because its handshake ends last."""
        first, _ = await self.open_two()
        first._check_outdated(identity("b", 1))
        first.note_start_number(B, StartNumber(2))
        local_end, _ = memory_connection_pair()
        with self.assertRaisesType(HandshakeError):
            first._add_link(local_end, identity("b", 1), dialed=False)
        self.assertEqual(frozenset(), first.connected())
        await self.fleet.close()

    async def test_peer_that_dials_again_gets_the_new_link(self):
        """Guards against new requests on a link that the peer has already lost."""
        first, second = await self.open_two()
        await call(first)
        await settle(5_000)
        # The close of the old connection is lost, so only the second node knows of it.
        self.transport.connections[0].go_silent()
        second._peers[A].links[0].fail(ConnectionLost("a", "test cuts the link"))
        await call(second, A)
        started_ms = now_ms()
        self.assertEqual(b"body", await call(first))
        self.assertAlmostEqual(2, now_ms() - started_ms, 3)
        self.assertEqual(2, len(self.transport.connections))
        await self.fleet.close()

    async def test_old_process_is_refused_while_it_still_dials(self):
        """Guards against an old process that takes the link of its replacement."""
        first, old = await self.open_two()
        first.note_start_number(B, StartNumber(2))
        old.keep_links([A])
        await settle(10_000)
        self.assertEqual((frozenset(), frozenset()), (first.connected(), old.connected()))
        with self.assertRaisesType(PeerUnreachable):
            await first.send(B, Number(1))
        await self.fleet.close()

    async def test_kept_link_returns_after_a_restart(self):
        """Guards against overlay neighbours that stay disconnected after a restart."""
        first, second = await self.open_two()
        events = record(first)
        first.keep_links([B])
        await settle()
        self.assertEqual(frozenset([B]), first.connected())
        await settle(2_000)
        await second.close()
        await settle(3_000)
        self.assertEqual([LinkState.UP, LinkState.DOWN], states(events)[:2])
        self.assertEqual({LinkState.UNREACHABLE}, set(states(events)[2:]))
        await self.fleet.add("b", start=2)
        await settle(2_100)
        self.assertEqual(frozenset([B]), first.connected())
        await self.fleet.close()

    async def test_reconnects_back_off(self):
        """Guards against a dead peer that is dialled in a tight loop."""
        self.fleet = LinkFleet(MemoryTransport())
        first = await self.fleet.add("a")
        self.fleet.addresses[B] = (HOST, 999)
        first.keep_links([B])
        await settle(60_000)
        failed = first.metrics.counters["link.dials_failed"]
        self.assertTrue(30 <= failed <= 75, failed)
        await self.fleet.close()

    async def test_dials_to_a_peer_that_closes_every_link_back_off(self):
        """Guards against dials in a tight loop to a peer that accepts and closes links."""
        first, second = await self.open_two()
        second._add_link = lambda *arguments, **options: _closing_link()
        first.keep_links([B])
        await settle(60_000)
        self.assertLess(len(self.transport.connections), 75)
        await self.fleet.close()

    async def test_unused_link_closes_and_a_kept_one_stays(self):
        """Guards against idle links that stay open to every node that was ever called."""
        first, second = await self.open_two()
        third = await self.fleet.add("c")
        first.keep_links([UpstreamId("c")])
        await call(first)
        await settle(IDLE_TIMEOUT_MS / 2)
        await call(first)
        await settle(IDLE_TIMEOUT_MS - 5_000)
        self.assertEqual(frozenset([B, UpstreamId("c")]), first.connected())
        await settle(15_000)
        self.assertEqual(frozenset([UpstreamId("c")]), first.connected())
        self.assertEqual((frozenset(), frozenset([A])), (second.connected(), third.connected()))
        self.assertEqual(b"body", await call(first))
        await self.fleet.close()

    async def test_close_lets_open_streams_finish(self):
        """Guards against a planned stop that interrupts a request."""
        first, second = await self.open_two()

        async def slow(sender, head, stream):
            await asyncio.sleep(1)
            await stream.send_complete(head, b"finished")

        second._stream_handler = slow
        stream = await first.open_whole(B, Number(1))
        await settle()
        closing = asyncio.ensure_future(second.close(grace_ms=5_000))
        self.assertEqual(Number(1), await stream.receive_head())
        self.assertEqual(b"finished", await read_body(stream))
        await closing
        self.assertLess(now_ms(), 2_000)
        await settle()
        self.assertEqual(frozenset(), first.connected())
        await self.fleet.close()

    async def test_lost_link_ends_a_control_request(self):
        """Guards against control requests that keep waiting on a closed link."""
        first, second = await self.open_two()
        second.subscribe(Number, lambda sender, number: asyncio.Event().wait())
        waiting = asyncio.ensure_future(first.request(B, Number(1), 60_000))
        await settle()
        self.transport.connections[0].abort()
        with self.assertRaisesType(PeerTimeout):
            await waiting
        self.assertLess(now_ms(), 1_000)
        await self.fleet.close()

    async def test_failing_observer_does_not_stop_links(self):
        """Guards against an observer of link events that breaks the link."""
        first, _ = await self.open_two()

        def fail(event):
            raise ValueError("fault of an observer")

        first.link_events.subscribe(fail)
        self.assertEqual(b"body", await call(first))
        await self.fleet.close()

    async def test_unauthenticated_connections_are_limited(self):
        """Guards against memory exhaustion by connections that never authenticate."""
        first, second = await self.open_two()
        address = self.fleet.addresses[B]
        open_connections = [
            await self.transport.connect(*address) for _ in range(UNAUTHENTICATED_LIMIT + 5)
        ]
        await settle(10)
        self.assertEqual(5, second.metrics.counters["link.connections_refused"])
        await settle(2_100)
        for connection in open_connections:
            with self.assertRaisesType(ConnectionLost):
                await connection.receive()
        self.assertEqual(b"body", await call(first))
        await self.fleet.close()


class _ClosingLink:
    async def run(self):
        """Close at once."""


def _closing_link():
    return _ClosingLink()


class TestBackoff(VirtualTimeTestCase):
    async def test_delays_double_with_jitter_up_to_the_maximum(self):
        """Guards against peers of a restarted node that all dial it at the same time."""
        network = LinkPeerNetwork(identity("a"), SECRET, {}.get, seed=1)
        backoff = Backoff(network._random)
        delays = []
        for _ in range(9):
            backoff.record_failure(0.0)
            delays.append(backoff.remaining_ms(0.0))
        for number, delay_ms in enumerate(delays):
            max_delay_ms = min(2_000, 50 * 2**number)
            self.assertTrue(max_delay_ms / 2 <= delay_ms <= max_delay_ms)
        backoff.reset()
        self.assertEqual(0, backoff.remaining_ms(0.0))


class TestStrangersOverSockets(SocketTestCase):
    async def test_garbage_is_refused_and_peers_are_served(self):
        """Guards against a port scan that ends the process or blocks peers."""
        fleet = LinkFleet(WebSocketTransport())
        first, second = await fleet.add("a"), await fleet.add("b")
        second.accept_streams(echo)
        host, port = fleet.addresses[B]
        for data in (b"\x00" * 100, b"GET / HTTP/1.1\r\n\r\n", b"x" * 100_000):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            while True:
                try:
                    if not await reader.read(1_000):
                        break
                except ConnectionError:
                    break
            writer.close()
        for data in (b"", b"\xff", "text", bytes(5_000), encode(DialerProof(bytes(32)))):
            async with connect(f"ws://{host}:{port}/", proxy=None) as stranger:
                await stranger.send(data)
                await stranger.wait_closed()
        self.assertEqual(b"body", await call(first))
        self.assertEqual(5, second.metrics.counters["link.connections_refused"])
        await fleet.close()
