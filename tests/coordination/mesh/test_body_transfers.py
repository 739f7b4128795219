import asyncio

from gentianthread.coordination.mesh.body_transfers import (
    STALLED_MS,
    WINDOW_BYTES,
    BodyIntake,
    BodyTransfers,
)
from gentianthread.errors import MessageError
from gentianthread.protocol.messages_mesh import (
    BodyCredit,
    BodyOffer,
    BodyPart,
    RunAnswer,
    RunOutcome,
    RunRequest,
)
from gentianthread.state.balancer import LoadReport
from gentianthread.state.memory_budget import MemoryBudget, MemoryOwner

from ...base import VirtualTimeTestCase
from .base import MeshTestCase

MB = 1024 * 1024


def make_request(call, size):
    fields = (call, "catalogue", "i-1", "", 0, False, True, False, 9_000.0, "a", "POST", "/")
    return RunRequest(*fields, "", bytes(range(256)) * (size // 256), 0)


def make_answer(call, size):
    load = LoadReport(0, 0, 0, 0.0, 0.0)
    return RunAnswer(call, RunOutcome.ANSWERED, "", 200, "", bytearray(size), load, 0)


class TestBodyTransfers(VirtualTimeTestCase):
    def connect(self, capacity_bytes=float("inf")):
        """Connect a sender and a receiver; `exchange` passes their messages on."""
        self.now_ms = 0.0
        self.sender_memory = MemoryBudget(capacity_bytes, lambda: self.now_ms)
        self.memory = MemoryBudget(capacity_bytes, lambda: self.now_ms)
        self.to_receiver, self.to_sender, self.received = [], [], []
        self.declined = []
        self.sender = BodyTransfers(
            BodyIntake(self.sender_memory, lambda: self.now_ms),
            self.to_receiver.append,
            lambda: self.now_ms,
        )
        self.receiver = BodyTransfers(
            BodyIntake(self.memory, lambda: self.now_ms),
            self.to_sender.append,
            lambda: self.now_ms,
        )

    def exchange(self):
        """Pass messages on until neither end has one."""
        while self.to_receiver or self.to_sender or self.sender.sendable:
            messages = [*self.to_receiver, *self.sender.next_parts(100_000)]
            self.to_receiver.clear()
            for message in messages:
                self.receive(message)
            credits, self.to_sender[:] = list(self.to_sender), []
            for credit in credits:
                self.sender.on_credit(credit)

    def receive(self, message):
        if isinstance(message, BodyOffer):
            if not self.receiver.on_offer(message):
                self.declined.append(message.call)
        elif isinstance(message, BodyPart):
            self.receiver.on_part(message)
        else:
            of_answer = isinstance(message, RunAnswer)
            message.body = self.receiver.take(message.call, of_answer)
            self.received.append(message)

    async def test_bodies_arrive_whole_and_in_turn(self):
        """Guards against parts that are lost, mixed up or counted twice."""
        self.connect()
        requests = [make_request(call, size) for call, size in ((1, 3 * MB), (2, MB), (3, 70_144))]
        bodies = {request.call: request.body for request in requests}
        self.now_ms = 100.0
        for request in requests:
            self.sender.offer(request)
        self.now_ms = 350.0
        self.exchange()
        self.assertEqual(bodies, {request.call: request.body for request in self.received})
        self.assertEqual([3, 2, 1], [request.call for request in self.received])
        self.assertEqual({8_750.0}, {request.remaining_ms for request in self.received})
        self.assertEqual(0, self.memory.total_bytes)

    async def test_receiver_that_is_short_of_memory_takes_one_body_after_the_other(self):
        """Guards against peers that fill the memory of a node together."""
        self.connect(capacity_bytes=10 * MB)
        self.memory.charge(MemoryOwner.WAITING, "others", 6 * MB)
        for call in range(1, 6):
            self.sender.offer(make_answer(call, MB))
        self.assertEqual(5 * MB, self.sender_memory.sum_of(MemoryOwner.LINK_OUT))
        self.exchange()
        self.assertEqual([1], [answer.call for answer in self.received])
        self.assertLessEqual(self.memory.peak_bytes, 6 * MB + MB + WINDOW_BYTES)
        for _ in range(20):
            await asyncio.sleep(0.02)
            self.exchange()
        self.assertEqual([1, 2, 3, 4, 5], [answer.call for answer in self.received])
        self.assertEqual(0, self.sender_memory.total_bytes)
        self.assertEqual(6 * MB, self.memory.total_bytes)

    async def test_body_of_a_stalled_sender_keeps_no_others_waiting(self):
        """Guards against one sender that stops, and all others that wait for it."""
        self.connect(capacity_bytes=10 * MB)
        self.memory.charge(MemoryOwner.WAITING, "others", 6 * MB)
        self.receiver.on_offer(BodyOffer(9, False, MB))
        self.sender.offer(make_request(1, MB))
        self.to_sender.clear()
        self.exchange()
        self.assertEqual([], self.received)
        self.now_ms += STALLED_MS + 1
        await asyncio.sleep(0.05)
        self.exchange()
        self.assertEqual([1], [request.call for request in self.received])

    async def test_request_is_declined_while_memory_is_full(self):
        """Guards against a request that waits at a node that cannot take it."""
        self.connect(capacity_bytes=10 * MB)
        self.memory.charge(MemoryOwner.WAITING, "others", 9 * MB)
        self.sender.offer(make_request(1, MB))
        self.exchange()
        self.assertEqual([1], self.declined)
        # The answer to a request that has run is taken from the reserve.
        self.sender.offer(make_answer(2, MB // 2))
        self.exchange()
        self.assertEqual([2], [answer.call for answer in self.received])

    async def test_cancelled_and_closed_transfers_return_their_memory(self):
        """Guards against memory that stays charged for calls nobody waits for."""
        self.connect()
        self.sender.offer(make_answer(1, 4 * MB))
        self.sender.offer(make_answer(2, 4 * MB))
        for message in [*self.to_receiver]:
            self.receive(message)
        for credit in self.to_sender:
            self.sender.on_credit(credit)
        for message in self.sender.next_parts(WINDOW_BYTES):
            if isinstance(message, BodyPart):
                self.receive(message)
        self.assertGreater(self.memory.sum_of(MemoryOwner.LINK_IN), 0)
        for transfers in (self.sender, self.receiver):
            transfers.cancel_own(1)
            transfers.cancel_of_peer(1)
            transfers.close()
        self.assertEqual((0, 0), (self.memory.total_bytes, self.sender_memory.total_bytes))
        self.assertEqual([], self.sender.next_parts(MB))
        self.receiver.on_part(BodyPart(1, True, b"late"))
        self.sender.on_credit(BodyCredit(1, True, MB))

    async def test_request_counts_as_sent_with_the_end_of_its_body(self):
        """Guards against an order that counts as possibly run though it was never complete."""
        self.connect()
        for call in (1, 2):
            self.sender.offer(make_request(call, 4 * MB))
        self.sender.on_credit(BodyCredit(2, False, 4 * MB))
        self.assertIsInstance(self.sender.next_parts(5 * MB)[-1], RunRequest)
        self.assertEqual((True, False), (self.sender.cancel_own(1), self.sender.cancel_own(2)))
        self.assertFalse(self.sender.has_answers)
        self.sender.offer(make_answer(3, MB))
        self.assertTrue(self.sender.has_answers)

    async def test_calls_of_both_ends_with_the_same_number_are_told_apart(self):
        """Guards against dropping the body of a request, which would then run without one."""
        self.connect()
        self.sender.offer(make_request(1, MB))
        self.sender.offer(make_answer(1, MB))
        for message in [*self.to_receiver]:
            self.receive(message)
        self.sender.cancel_of_peer(1)
        self.assertEqual((True, False), (self.sender.has_body(1), self.sender.has_answers))
        self.receiver.cancel_own(1)
        self.assertEqual([(1, False)], list(self.receiver.incoming))
        self.to_receiver.clear()
        self.exchange()
        self.assertEqual([(1, MB)], [(each.call, len(each.body)) for each in self.received])
        self.sender.offer(make_request(2, MB))
        self.sender.offer(make_answer(2, MB))
        for message in [*self.to_receiver]:
            self.receive(message)
        self.assertTrue(self.sender.cancel_own(2))
        self.assertEqual((False, True), (self.sender.has_body(2), self.sender.has_answers))
        self.receiver.cancel_of_peer(2)
        self.assertEqual([(2, True)], list(self.receiver.incoming))

    async def test_sender_that_exceeds_its_permission_is_refused(self):
        """Guards against a peer that ignores flow control."""
        self.connect()
        self.receiver.on_offer(BodyOffer(1, False, 100_000))
        with self.assertRaisesType(MessageError):
            self.receiver.on_part(BodyPart(1, False, bytes(100_001)))
        with self.assertRaisesType(MessageError):
            self.receiver.take(1, of_answer=False)
        with self.assertRaisesType(MessageError):
            self.receiver.on_offer(BodyOffer(2, False, 1 << 40))


class TestLargeBodies(MeshTestCase):
    async def test_large_bodies_pass_between_nodes_and_return_all_memory(self):
        """Guards against bodies that are damaged on a link, within a zone and between zones."""
        for zones in (("a",), ("a", "b")):
            limits = {"max_body_bytes": 64 * MB}
            await self.start({"catalogue": 1, "orders": 1}, zones, limits=limits)
            body = bytes(range(256)) * (16 * MB // 256)
            for path, method in (("/order/1", "POST"), ("/stock/1", "POST")):
                reply = await self.call("catalogue-0", path, method=method, body=body)
                self.assertEqual((200, True), (reply.status, reply.body.endswith(body)))
            for upstream_id in ("catalogue-0", "orders-0"):
                memory = self.sidecar(upstream_id).memory
                await self.until(lambda memory=memory: memory.total_bytes == 0)
            await self.stop()

    async def test_caller_that_leaves_returns_the_memory_of_both_nodes(self):
        """Guards against bodies that are kept for a caller who has left."""
        await self.start({"catalogue": 1, "orders": 1}, limits={"max_body_bytes": 64 * MB})
        self.target("orders-0").work_ms = 5_000
        data, _ = self.request("/order/1", method="POST", body=bytes(8 * MB))
        _, writer = await self.connect("catalogue-0")
        writer.write(data)
        memories = [self.sidecar(name).memory for name in ("catalogue-0", "orders-0")]
        await self.until(lambda: memories[1].total_bytes > 8 * MB)
        writer.close()
        for memory in memories:
            await self.until(lambda memory=memory: memory.total_bytes == 0)
        await self.stop()
