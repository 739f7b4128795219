import asyncio

from gentianthread.errors import ConnectionLost, ConnectionSilent, MessageError, StreamAborted
from gentianthread.protocol.link import OPEN_STREAMS_LIMIT, UNREAD_LIMIT_BYTES
from gentianthread.protocol.link_queue import QUEUE_LIMIT_BYTES
from gentianthread.protocol.streams import STREAM_CREDIT_BYTES

from ..base import VirtualTimeTestCase
from .links import Note, link_pair, read_body, settle


def now_ms():
    return asyncio.get_running_loop().time() * 1000


class TestLinkStreams(VirtualTimeTestCase):
    async def test_small_request_takes_one_message_in_each_direction(self):
        """Guards against a small request that costs several messages of the connection."""
        near, far = link_pair()

        async def serve(head, stream):
            self.assertEqual(b"question", await read_body(stream))
            await stream.send_complete(Note("answer"), b"body", Note("summary"))

        far.owner.serve = serve
        stream = near.link.open_stream(Note("head"))
        await stream.send_chunk(b"question")
        await stream.finish()
        self.assertEqual(Note("answer"), await stream.receive_head())
        self.assertEqual(b"body", await read_body(stream))
        self.assertEqual(Note("summary"), stream.summary)
        self.assertEqual((1, 1), (near.connection.sent_messages, far.connection.sent_messages))
        self.assertEqual(({}, {}), (near.link.streams, far.link.streams))

    async def test_stalled_reader_blocks_only_its_own_stream(self):
        """Guards against one slow caller that blocks all streams of a link."""
        near, far = link_pair()
        sent = []

        async def serve(head, stream):
            if head == Note("small"):
                await stream.send_complete(Note("answer"), b"x")
                return
            await stream.send_head(Note("stalled"))
            for _ in range(100):
                await stream.send_chunk(bytes(16_384))
                sent.append(16_384)

        far.owner.serve = serve
        stalled = near.link.open_stream(Note("large"))
        await settle()
        self.assertEqual(STREAM_CREDIT_BYTES, sum(sent))
        for _ in range(50):
            started_ms = now_ms()
            small = near.link.open_stream(Note("small"))
            await small.finish()
            self.assertEqual(b"x", await read_body(small))
            self.assertAlmostEqual(2, now_ms() - started_ms, 3)
        await stalled.receive_head()
        await stalled.receive_chunk()
        await settle()
        self.assertEqual(STREAM_CREDIT_BYTES, sum(sent))
        for _ in range(3):
            await stalled.receive_chunk()
        await settle()
        self.assertEqual(STREAM_CREDIT_BYTES + 4 * 16_384, sum(sent))
        stalled.abort("test ends")

    async def test_large_download_does_not_delay_small_requests(self):
        """Guards against a small answer that waits until a download is sent."""
        near, far = link_pair(bytes_per_s=1_000_000)

        async def serve(head, stream):
            if head == Note("small"):
                await stream.send_complete(Note("answer"), b"x")
                return
            await stream.send_head(Note("large"))
            await stream.send_chunk(bytes(2_000_000))
            await stream.finish()

        far.owner.serve = serve
        downloads = [near.link.open_stream(Note("large")) for _ in range(3)]
        reading = [asyncio.ensure_future(read_body(stream)) for stream in downloads]
        await settle(100)
        for _ in range(20):
            started_ms = now_ms()
            small = near.link.open_stream(Note("small"))
            await small.finish()
            await small.receive_head()
            # The message being sent and one chunk of each download take 66 ms at this rate.
            self.assertLess(now_ms() - started_ms, 75)
        for body in await asyncio.gather(*reading):
            self.assertEqual(2_000_000, len(body))

    async def test_downloads_share_the_link_evenly(self):
        """Guards against one download that gets more of the bandwidth than another."""
        near, far = link_pair(bytes_per_s=1_000_000)

        async def serve(head, stream):
            await stream.send_chunk(bytes(4_000_000))

        far.owner.serve = serve
        received = [0, 0, 0, 0]

        async def read(index):
            stream = near.link.open_stream(Note("large"))
            while True:
                received[index] += len(await stream.receive_chunk())

        tasks = [asyncio.ensure_future(read(index)) for index in range(4)]
        await settle(2_000)
        for task in tasks:
            task.cancel()
        self.assertLessEqual(max(received) - min(received), 2 * 16_384)

    async def test_abort_arrives_within_one_link_delay(self):
        """Guards against a cancelled request that continues at the other end."""
        near, far = link_pair(delay_ms=5, bytes_per_s=10_000_000)
        stopped = []

        async def serve(head, stream):
            stopped.append((await stream.wait_until_aborted(), now_ms()))

        far.owner.serve = serve
        stream = near.link.open_stream(Note("head"))
        await stream.send_chunk(bytes(STREAM_CREDIT_BYTES))
        await settle(100)
        aborted_ms = now_ms()
        stream.abort("caller left")
        await settle()
        self.assertEqual("caller left", stopped[0][0])
        self.assertAlmostEqual(5, stopped[0][1] - aborted_ms, 3)
        for call in (stream.receive_head, stream.receive_chunk, stream.finish):
            with self.assertRaisesType(StreamAborted):
                await call()

    async def test_abort_before_sending_sends_nothing(self):
        """Guards against a request that is cancelled before it is sent and is sent nevertheless."""
        near, far = link_pair()
        stream = near.link.open_stream(Note("head"))
        stream.abort("caller left")
        await settle()
        self.assertEqual(([], False), (far.owner.streams, stream.may_have_sent))

    async def test_complete_answer_survives_a_later_abort(self):
        """Guards against a complete answer that is lost because the request body was not read."""
        near, far = link_pair()

        async def serve(head, stream):
            await stream.send_complete(Note("early"), b"answer", Note("summary"))

        far.owner.serve = serve
        stream = near.link.open_stream(Note("head"))
        sending = asyncio.ensure_future(stream.send_chunk(bytes(4 * STREAM_CREDIT_BYTES)))
        with self.assertRaisesType(StreamAborted):
            await sending
        self.assertEqual(Note("early"), await stream.receive_head())
        self.assertEqual(b"answer", await read_body(stream))
        self.assertEqual(Note("summary"), stream.summary)
        self.assertEqual(({}, {}), (near.link.streams, far.link.streams))

    async def test_handler_that_fails_aborts_the_stream(self):
        """Guards against a caller that waits for an answer although the handler has raised."""
        near, far = link_pair()

        async def serve(head, stream):
            raise ValueError("fault of a handler")

        far.owner.serve = serve
        stream = near.link.open_stream(Note("head"))
        with self.assertRaisesType(StreamAborted):
            await stream.receive_head()
        self.assertIsNone(far.link.error)

    async def test_open_streams_are_limited(self):
        """Guards against a peer that exhausts the memory with open streams."""
        near, far = link_pair()
        for _ in range(OPEN_STREAMS_LIMIT):
            near.link.open_stream(Note("head"))
        with self.assertRaisesType(ConnectionLost):
            near.link.open_stream(Note("head"))
        await settle()
        self.assertEqual(OPEN_STREAMS_LIMIT, len(far.link.streams))

    async def test_unread_bytes_of_all_streams_are_limited(self):
        """Guards against many stalled readers that together exhaust the memory of the node."""
        near, far = link_pair()

        async def serve(head, stream):
            await stream.send_chunk(bytes(8 * STREAM_CREDIT_BYTES))
            await stream.finish()

        far.owner.serve = serve
        stalled = [
            near.link.open_stream(Note("stalled"))
            for _ in range(UNREAD_LIMIT_BYTES // STREAM_CREDIT_BYTES + 2)
        ]
        await settle(1_000)
        slow = near.link.open_stream(Note("slow"))
        received = 0
        with self.assertRaisesType(TimeoutError):
            async with asyncio.timeout(1):
                while True:
                    received += len(await slow.receive_chunk())
        self.assertEqual(STREAM_CREDIT_BYTES, received)
        for stream in stalled[:3]:
            stream.abort("reader left")
        received += len(await read_body(slow))
        self.assertEqual(8 * STREAM_CREDIT_BYTES, received)

    async def test_queued_bytes_of_all_streams_are_limited(self):
        """Guards against many senders that exhaust the memory while the connection is stalled."""
        near, _ = link_pair(bytes_per_s=1_000_000)
        queued = []

        async def send():
            stream = near.link.open_stream(Note("head"))
            for _ in range(4):
                await stream.send_chunk(bytes(16_384))
                queued.append(16_384)
            await stream.finish()

        sending = [asyncio.ensure_future(send()) for _ in range(400)]
        await settle(10)
        self.assertTrue(QUEUE_LIMIT_BYTES <= sum(queued) <= QUEUE_LIMIT_BYTES + 65_536)
        await asyncio.gather(*sending)
        self.assertEqual(400, len(near.link.streams))

    async def test_queued_control_bytes_are_limited(self):
        """Guards against control messages that exhaust the memory if the connection stalls."""
        near, _ = link_pair(bytes_per_s=1_000)
        with self.assertRaisesType(ConnectionLost):
            for _ in range(10):
                near.link.control.send(Note("x" * 1_000_000))
        self.assertIsInstance(near.link.error, ConnectionLost)

    async def test_long_head_is_refused_at_the_sender(self):
        """Guards against an overlong head that makes the peer close the link for all requests."""
        near, _ = link_pair()
        with self.assertRaisesType(MessageError):
            near.link.open_stream(Note("x" * 70_000))
        self.assertEqual({}, near.link.streams)

    async def test_random_sized_bodies_arrive_in_both_directions(self):
        """Guards against chunks that are truncated, duplicated or delivered to another stream."""
        near, far = link_pair(bytes_per_s=20_000_000)

        async def serve(head, stream):
            await stream.send_head(head)
            while (chunk := await stream.receive_chunk()) is not None:
                await stream.send_chunk(chunk)
            await stream.finish()

        far.owner.serve = serve

        async def call(size):
            body = bytes((size + position) % 251 for position in range(size))
            stream = near.link.open_stream(Note(str(size)))

            async def send():
                await stream.send_chunk(body)
                await stream.finish()

            sending = asyncio.ensure_future(send())
            self.assertEqual(Note(str(size)), await stream.receive_head())
            self.assertEqual(body, await read_body(stream))
            await sending

        sizes = [0, 1, 16_383, 16_384, 16_385, 65_537, 262_144, 700_001]
        await asyncio.gather(*[call(size) for size in sizes])
        self.assertEqual((0, {}), (near.dropped, near.link.streams))


class TestLinkMessages(VirtualTimeTestCase):
    async def test_requests_get_their_own_answers(self):
        """Guards against answers that arrive out of order and are matched to other requests."""
        near, far = link_pair()

        async def answer_in_reverse_order(message):
            await asyncio.sleep((10 - int(message.text)) / 1000)
            return Note(f"answer {message.text}")

        far.owner.answer = answer_in_reverse_order
        answers = await asyncio.gather(
            *[near.link.control.request(Note(str(number))) for number in range(10)]
        )
        self.assertEqual([Note(f"answer {number}") for number in range(10)], answers)

    async def test_long_message_travels_in_parts(self):
        """Guards against a link that counts as silent while a message of 1 MB is transferred."""
        near, far = link_pair(bytes_per_s=500_000)
        text = "x" * 1_100_000
        near.link.control.send(Note(text))
        near.link.control.send(Note("next"))
        await settle(3_000)
        self.assertEqual([Note(text), Note("next")], far.owner.messages)
        self.assertEqual([], near.owner.errors + far.owner.errors)

    async def test_failing_handler_keeps_the_link(self):
        """Guards against a failing handler that closes the link and so ends all its requests."""
        near, far = link_pair()

        def fail(message):
            raise ValueError("fault of a handler")

        far.owner.answer = fail
        near.link.control.send(Note("one"))
        await settle()
        self.assertIsNone(far.link.error)

    async def test_lost_link_ends_waiting_requests(self):
        """Guards against a request that waits for its timeout although the link has closed."""
        near, far = link_pair()
        waiting = asyncio.ensure_future(near.link.control.request(Note("one")))
        await settle()
        far.connection.abort()
        with self.assertRaisesType(ConnectionLost):
            await waiting


class TestLinkLife(VirtualTimeTestCase):
    async def test_idle_link_stays_open_on_heartbeats(self):
        """Guards against idle links that close, or that carry more messages than heartbeats."""
        near, far = link_pair()
        await settle(10_000)
        self.assertEqual((None, None), (near.link.error, far.link.error))
        self.assertEqual(10_000 // 250, near.connection.sent_messages)
        self.assertEqual(0, near.connection.sent_bytes)

    async def test_silent_link_closes_in_about_a_second(self):
        """Guards against requests that hang on a connection over which nothing arrives."""
        near, far = link_pair()
        stream = near.link.open_stream(Note("head"))
        await settle(500)
        near.connection.go_silent()
        silent_ms = now_ms()
        with self.assertRaisesType(StreamAborted):
            await stream.receive_head()
        self.assertTrue(700 <= now_ms() - silent_ms <= 1_001, now_ms() - silent_ms)
        self.assertIsInstance(near.link.error, ConnectionSilent)
        await settle(1_000)
        self.assertIsInstance(far.link.error, ConnectionSilent)

    async def test_stream_ends_when_the_link_is_cut_at_any_stage(self):
        """Guards against a lost link whose ends wait on, or take a partial body as complete."""
        for stage in ("before sending", "head", "chunks", "answer head", "answer body"):
            near, far = link_pair()
            ended = []

            async def serve(head, stream, stage=stage, ended=ended):
                try:
                    if stage.startswith("answer"):
                        await stream.send_head(Note("answer"))
                    if stage == "answer body":
                        await stream.send_chunk(b"part")
                    await stream.wait_until_aborted()
                finally:
                    ended.append(stage)

            far.owner.serve = serve
            stream = near.link.open_stream(Note("head"))
            if stage != "before sending":
                await settle()
            if stage == "chunks":
                await stream.send_chunk(bytes(100_000))
                await settle()
            near.connection.abort()
            await settle()
            self.assertIsNotNone(near.link.error)
            if stage == "before sending":
                self.assertEqual(([stream], False), (near.owner.unsent, stream.may_have_sent))
                continue
            self.assertEqual([stage], ended)
            with self.assertRaisesType(StreamAborted):
                await stream.receive_chunk()
            self.assertTrue(stream.may_have_sent)

    async def test_drained_link_closes_after_its_streams(self):
        """Guards against a planned stop that aborts a running request."""
        near, far = link_pair()

        async def serve(head, stream):
            await asyncio.sleep(0.5)
            await stream.send_complete(Note("answer"))

        far.owner.serve = serve
        stream = near.link.open_stream(Note("head"))
        await stream.finish()
        await settle()
        near.link.drain()
        far.link.drain()
        self.assertEqual((False, False), (near.link.usable, far.link.usable))
        self.assertEqual(Note("answer"), await stream.receive_head())
        self.assertEqual(b"", await read_body(stream))
        await settle()
        self.assertIsInstance(near.link.error, ConnectionLost)
        self.assertIsNotNone(far.link.error)
