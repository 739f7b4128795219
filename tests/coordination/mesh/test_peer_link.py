import asyncio
from random import Random
from unittest import mock

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.peer_link import (
    CLOSE_AFTER_MS,
    IDLE_AFTER_MS,
    SILENT_AFTER_MS,
    LinkSilent,
    PeerLink,
)
from gentianthread.coordination.mesh.peers import PeerLinks
from gentianthread.errors import ConnectionLost, PeerUnreachable
from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.protocol.codec import decode_batch, encode_batch
from gentianthread.protocol.messages_mesh import (
    DocumentsWanted,
    Probe,
    RunAnswer,
    RunOutcome,
    RunRequest,
)
from gentianthread.state.balancer import LoadReport
from gentianthread.state.memory_budget import MemoryBudget

from ...base import VirtualTimeTestCase

PEER = "10.0.0.2"

NO_LOAD = LoadReport(0, 0, 1, 1.0, 0.0)


class PausableClock(LoopClock):
    """Jump forward, like the clock of a process that resumes after a pause."""

    paused_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.paused_ms


class FakeConnection:
    """Act as a connection whose remote end is the test."""

    full = False

    def __init__(self):
        self.aborted = False
        self.posted = []

    def deliver_to(self, receiver, on_lost):
        self.receive, self.on_lost = receiver, on_lost

    def post(self, data):
        self.posted.append(data)

    def abort(self):
        if not self.aborted:
            self.aborted = True
            self.on_lost("aborted")

    async def close(self):
        self.abort()


class UnreachableTransport:
    """Accept no connections and fail every dial."""

    async def connect(self, host, port):
        raise ConnectionLost(host, "no network")

    async def listen(self, host, port, accept):
        return self

    async def close(self):
        pass


class TestSilence(VirtualTimeTestCase):
    async def open(self):
        local = NodeIdentity(UpstreamId("10.0.0.1"), AvailabilityZoneId("a"), StartNumber(1))
        self.clock = PausableClock()
        self.links = PeerLinks(
            local, b"", 7000, UnreachableTransport(), self.clock, MemoryMetrics(), Random(1)
        )
        await self.links.open("10.0.0.1", 7000)
        self.connection = FakeConnection()
        self.link = PeerLink(PEER, self.connection, self.links, dialled=True)
        self.links._register(self.link)

    def request(self, repeatable):
        fields = (0, "catalogue", "i-1", "", 0, False, repeatable, False, 9_000.0, "a", "GET", "/")
        return RunRequest(*fields, "", b"", 0)

    def call(self, repeatable):
        return asyncio.ensure_future(self.link.run(self.request(repeatable)))

    def answer(self, number):
        answer = RunAnswer(number, RunOutcome.ANSWERED, "", 200, "", b"", NO_LOAD, 0)
        self.connection.receive(encode_batch([answer]))

    def answer_probe(self):
        """Answer the last probe of the link."""
        messages = [message for data in self.connection.posted for message in decode_batch(data)]
        number = max(message.number for message in messages if isinstance(message, Probe))
        self.connection.receive(encode_batch([Probe(0, False, 0, number)]))

    async def test_silent_link_fails_only_repeatable_requests(self):
        """Guards against requests that wait for a peer that does not answer at all."""
        await self.open()
        repeatable, order = self.call(True), self.call(False)
        await asyncio.sleep(SILENT_AFTER_MS / 1000 - 0.05)
        self.assertEqual((False, True), (repeatable.done(), self.links.reachable(PEER)))
        await asyncio.sleep(0.2)
        self.assertIsInstance(repeatable.exception(), LinkSilent)
        self.assertEqual((False, False), (order.done(), self.links.reachable(PEER)))
        self.answer(2)
        self.assertEqual(200, (await order).status)
        self.assertTrue(self.links.reachable(PEER))
        await self.links.close()

    async def test_link_that_stays_silent_is_closed(self):
        """Guards against an order that waits forever for a lost peer."""
        await self.open()
        order = self.call(False)
        await asyncio.sleep(CLOSE_AFTER_MS / 1000 - 0.1)
        self.assertFalse(order.done())
        await asyncio.sleep(0.4)
        self.assertIsInstance(order.exception(), ConnectionLost)
        await self.links.close()

    async def test_error_in_the_check_of_one_link_leaves_the_others_monitored(self):
        """Guards against silent links that stay in use after an unexpected error.

        The task that checks all links ended for good with the first error.
        """
        await self.open()
        broken = PeerLink("10.0.0.3", FakeConnection(), self.links, dialled=True)
        self.links._register(broken)
        broken.check_silence = mock.Mock(side_effect=RuntimeError("unexpected"))
        broken_call = asyncio.ensure_future(broken.run(self.request(repeatable=True)))
        call = self.call(repeatable=True)
        await asyncio.sleep(2 * SILENT_AFTER_MS / 1000)
        self.assertTrue(broken.closed)
        for failed in (broken_call, call):
            with self.assertRaisesType(ConnectionLost):
                await failed
        self.assertTrue(self.link.silent)
        await self.links.close()

    async def test_peer_that_answers_probes_is_not_silent(self):
        """Guards against a peer that is considered silent because its requests are slow."""
        await self.open()
        call = self.call(True)
        for _ in range(20):
            await asyncio.sleep(0.3)
            self.answer_probe()
        self.assertEqual((False, True), (call.done(), self.links.reachable(PEER)))
        call.cancel()
        await self.links.close()

    async def test_pause_of_this_process_is_no_silence_of_its_peers(self):
        """Guards against a process that marks all links silent when it resumes after a pause."""
        await self.open()
        call = self.call(True)
        await asyncio.sleep(0.2)
        self.clock.paused_ms = 3_000.0
        await asyncio.sleep(0.3)
        self.assertEqual((False, True), (call.done(), self.links.reachable(PEER)))
        call.cancel()
        await self.links.close()

    async def test_idle_link_is_probed_before_it_carries_an_order(self):
        """Guards against an order that is lost on a link that went silent while it was idle.

        With seed 1 of the process soak, order s559 ended with 504.
        """
        await self.open()
        self.assertFalse(self.link.is_idle(self.clock.now_ms()))
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        self.assertTrue(self.link.is_idle(self.clock.now_ms()))
        check = asyncio.ensure_future(self.link.check_alive())
        await asyncio.sleep(0.01)
        self.answer_probe()
        self.assertTrue(await check)
        self.assertFalse(self.link.is_idle(self.clock.now_ms()))
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        self.assertFalse(await self.link.check_alive())
        self.assertFalse(self.links.reachable(PEER))
        self.assertEqual(0, self.link.pending_calls)
        await self.links.close()

    async def test_message_under_way_is_no_answer_to_a_probe(self):
        """Guards against an order that is sent over a link on which the peer reads nothing.

        A message that the peer had sent before the link was cut in one direction passed the check.
        """
        await self.open()
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        self.assertFalse(await self.link.check_alive())
        check = asyncio.ensure_future(self.link.check_alive())
        await asyncio.sleep(0.01)
        first_probe = 1
        self.connection.receive(encode_batch([DocumentsWanted(1, 1)]))
        self.connection.receive(encode_batch([Probe(0, False, 0, first_probe)]))
        self.assertFalse(await check)
        self.assertFalse(self.links.reachable(PEER))
        await self.links.close()

    async def test_answer_to_the_probe_of_a_cancelled_check_does_not_pass_a_later_one(self):
        """Guards against an order that is sent over a dead link after a late answer.

        A check whose request had been cancelled was taken up by the next one, without a new probe.
        """
        await self.open()
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        check = asyncio.ensure_future(self.link.check_alive())
        await asyncio.sleep(0.01)
        check.cancel()
        await asyncio.sleep(1)
        check = asyncio.ensure_future(self.link.check_alive())
        await asyncio.sleep(0.01)
        first_probe = 1
        self.connection.receive(encode_batch([Probe(0, False, 0, first_probe)]))
        self.assertFalse(await check)
        await self.links.close()

    async def test_link_that_was_idle_for_long_may_recover_after_a_failed_check(self):
        """Guards against a link that is closed at once by one late answer, as if it were dead."""
        await self.open()
        await asyncio.sleep(2 * CLOSE_AFTER_MS / 1000)
        self.assertFalse(await self.link.check_alive())
        await asyncio.sleep(0.5)
        self.assertFalse(self.link.closed)
        self.answer_probe()
        self.assertTrue(self.links.reachable(PEER))
        await self.links.close()

    async def test_messages_of_a_peer_that_reads_nothing_keep_no_link_in_use(self):
        """Guards against requests that are lost on a link that is cut in one direction.

        The peer goes on sending its state, which told nothing of the other direction.
        """
        await self.open()

        async def send_states():
            while True:
                await asyncio.sleep(0.05)
                self.connection.receive(encode_batch([DocumentsWanted(1, 1)]))

        states = asyncio.ensure_future(send_states())
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        self.assertTrue(self.link.is_idle(self.clock.now_ms()))
        call = self.call(repeatable=True)
        await asyncio.sleep(SILENT_AFTER_MS / 1000 + 0.2)
        self.assertIsInstance(call.exception(), LinkSilent)
        self.assertFalse(self.links.reachable(PEER))
        states.cancel()
        await self.links.close()

    async def test_request_on_an_idle_link_does_not_let_an_order_pass_unchecked(self):
        """Guards against an order that is lost on a dead link behind a repeatable request."""
        await self.open()
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        call = self.call(repeatable=True)
        await asyncio.sleep(0.01)
        self.assertTrue(self.link.is_idle(self.clock.now_ms()))
        call.cancel()
        await self.links.close()

    async def test_silent_link_is_not_used_after_the_dial_that_was_to_replace_it_failed(self):
        """Guards against an order that is lost on a link whose peer has just failed to answer.

        The request that waited for the dial got the silent link, while later ones got none.
        """
        await self.open()
        await asyncio.sleep(IDLE_AFTER_MS / 1000 + 0.1)
        self.assertFalse(await self.link.check_alive())
        with self.assertRaisesType(PeerUnreachable):
            await self.links.link_to(PEER)
        self.assertFalse(self.link.closed)
        await self.links.close()

    async def test_silent_link_is_replaced_and_closed_when_its_calls_have_ended(self):
        """Guards against peers that stay unreachable while new connections to them work.

        With seed 100 of the process soak, all links of a node went silent while idle.
        """
        await self.open()
        order = self.call(False)
        await asyncio.sleep(SILENT_AFTER_MS / 1000 + 0.2)
        self.assertFalse(self.links.reachable(PEER))
        replacement = PeerLink(PEER, FakeConnection(), self.links, dialled=True)
        self.links._register(replacement)
        self.assertTrue(self.links.reachable(PEER))
        self.assertIs(replacement, await self.links.link_to(PEER))
        self.answer(1)
        self.assertEqual(200, (await order).status)
        await asyncio.sleep(0.3)
        self.assertTrue(self.connection.aborted)
        self.assertTrue(self.links.reachable(PEER))
        await self.links.close()

    async def test_error_in_one_request_of_the_peer_leaves_the_others_running(self):
        """Guards against a link that closes, and requests on it that are lost, by one request."""

        def fail(*arguments):
            raise RuntimeError("unexpected")

        async def fail_in_task(request):
            fail()

        await self.open()
        call = self.call(repeatable=False)
        await asyncio.sleep(0)
        for starter, runner in ((fail, None), (lambda *_: None, fail_in_task)):
            self.links.starter, self.links.runner = starter, runner
            self.connection.posted.clear()
            request = self.request(repeatable=False)
            request.call = 7
            self.connection.receive(encode_batch([request]))
            await asyncio.sleep(0.01)
            answers = [
                message
                for data in self.connection.posted
                for message in decode_batch(data)
                if isinstance(message, RunAnswer)
            ]
            self.assertEqual([(7, RunOutcome.UNKNOWN)], [(a.call, a.outcome) for a in answers])
        self.answer(1)
        self.assertEqual(200, (await call).status)
        await self.links.close()

    async def test_error_in_the_handler_of_a_message_leaves_the_link_open(self):
        """Guards against a message of a peer that fails the requests on its link."""
        await self.open()
        self.links.handlers = {DocumentsWanted: mock.Mock(side_effect=RuntimeError("unexpected"))}
        call = self.call(repeatable=False)
        await asyncio.sleep(0)
        self.connection.receive(encode_batch([DocumentsWanted(1, 1)]))
        self.assertFalse(self.link.closed)
        self.answer(1)
        self.assertEqual(200, (await call).status)
        await self.links.close()

    async def test_message_that_cannot_be_encoded_does_not_hold_up_the_others(self):
        """Guards against requests and answers that are lost with another one of their batch."""
        await self.open()
        call = self.call(repeatable=False)
        bad_request = self.request(repeatable=False)
        bad_request.method = object()
        bad_call = asyncio.ensure_future(self.link.run(bad_request))
        await asyncio.sleep(0)
        bad_answer = RunAnswer(5, RunOutcome.ANSWERED, "", 200, object(), b"", NO_LOAD, 0)
        self.link._send_answer(5, bad_answer)
        self.link._send_answer(6, RunAnswer(6, RunOutcome.ANSWERED, "", 200, "", b"", NO_LOAD, 0))
        await asyncio.sleep(0.01)
        with self.assertRaisesType(PeerUnreachable):
            await bad_call
        sent = [message for data in self.connection.posted for message in decode_batch(data)]
        requests = [message.call for message in sent if isinstance(message, RunRequest)]
        self.assertEqual([1], requests)
        outcomes = {m.call: m.outcome for m in sent if isinstance(m, RunAnswer)}
        self.assertEqual({5: RunOutcome.UNKNOWN, 6: RunOutcome.ANSWERED}, outcomes)
        self.answer(1)
        self.assertEqual(200, (await call).status)
        await self.links.close()


class DelayedPipe(FakeConnection):
    """Deliver messages to the other end after 1 ms, or only once it is no longer paused."""

    def __init__(self):
        super().__init__()
        self.other = None
        self.paused = False
        self.delayed = []

    def post(self, data):
        asyncio.get_running_loop().call_later(0.001, self.other.arrive, data)

    def arrive(self, data):
        if self.paused:
            self.delayed.append(data)
        elif not self.aborted:
            self.receive(data)

    def resume(self):
        self.paused = False
        delayed, self.delayed = self.delayed, []
        for data in delayed:
            self.arrive(data)


class TestTransferOverSilentLink(VirtualTimeTestCase):
    async def open_node(self, host, number):
        clock = LoopClock()
        memory = MemoryBudget(float("inf"), clock.now_ms)
        identity = NodeIdentity(UpstreamId(host), AvailabilityZoneId("a"), StartNumber(number))
        links = PeerLinks(
            identity, b"", 7000, UnreachableTransport(), clock, MemoryMetrics(), Random(1), memory
        )
        await links.open(host, 7000)
        links.make_probe = lambda number=0, answers=0: Probe(0, False, number, answers)
        links.revision = lambda: 0
        links.on_revision = lambda link, revision: None
        links.is_in_other_zone = lambda host: False
        return links

    async def transfer(self, request_bytes, answer_bytes):
        """Let a link go silent during a transfer, and recover; return both nodes' links."""
        caller = await self.open_node("10.0.0.1", 1)
        peer = await self.open_node("10.0.0.2", 2)
        ends = DelayedPipe(), DelayedPipe()
        ends[0].other, ends[1].other = ends[1], ends[0]
        link = PeerLink("10.0.0.2", ends[0], caller, dialled=True)
        peer_link = PeerLink("10.0.0.1", ends[1], peer, dialled=False)
        for owner, each in ((caller, link), (peer, peer_link)):
            owner._register(each)
            each.start()

        async def runner(request):
            self.bodies_run.append(len(request.body))
            body = bytes(answer_bytes)
            return RunAnswer(0, RunOutcome.ANSWERED, "", 200, "", body, NO_LOAD, 0)

        peer.runner, peer.starter = runner, lambda request, deliver: None
        self.bodies_run, results = [], []
        fields = (0, "catalogue", "i-1", "", 0, False, True, False, 9_000.0, "a", "POST", "/")
        link.begin(RunRequest(*fields, "", bytes(request_bytes), 0), results.append)
        await asyncio.sleep(0.0075)
        ends[0].paused = True
        await asyncio.sleep((SILENT_AFTER_MS + 300) / 1000)
        self.assertEqual((True, 1), (link.silent, len(results)))
        self.assertIsInstance(results[0], ConnectionLost | PeerUnreachable)
        ends[0].resume()
        await asyncio.sleep(1)
        self.assertEqual((False, False), (link.silent, link.closed))
        return caller, peer

    async def check_nothing_is_held(self, caller, peer):
        self.assertEqual((0, 0), (caller.memory.total_bytes, peer.memory.total_bytes))
        self.assertFalse(peer.busy)
        for links in (caller, peer):
            await links.close()

    async def test_peer_drops_an_answer_that_nobody_waits_for(self):
        """Guards against answers that stay charged for as long as a link exists that recovered."""
        await self.check_nothing_is_held(*await self.transfer(10, 8 * 1024 * 1024))
        self.assertEqual([10], self.bodies_run)

    async def test_peer_drops_a_request_whose_rest_never_comes(self):
        """Guards against half requests that stay charged, or run, after a link has recovered."""
        await self.check_nothing_is_held(*await self.transfer(8 * 1024 * 1024, 10))
        self.assertEqual([], self.bodies_run)
