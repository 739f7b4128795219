import asyncio
import struct

import looptime
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.errors import ConnectionLost, FrameError, MessageError, ProtocolError
from gentianthread.protocol.codec import encode
from gentianthread.protocol.frames import LINK_MESSAGE_LIMIT_BYTES, FrameKind, read_frames
from gentianthread.protocol.link import TASKS_LIMIT
from gentianthread.protocol.link_control import HANDLERS_LIMIT
from gentianthread.protocol.streams import STREAM_CREDIT_BYTES

from ..base import TestCase, VirtualTimeTestCase
from .links import Note, frame, link_and_raw_peer, link_pair, settle

OPEN, HEAD, DATA, FINISH = FrameKind.OPEN, FrameKind.HEAD, FrameKind.DATA, FrameKind.FINISH
CREDIT, ABORT, ANSWER = FrameKind.CREDIT, FrameKind.ABORT, FrameKind.ANSWER
NOTE = encode(Note("head"))


class TestUnexpectedFrames(VirtualTimeTestCase):
    async def check_dropped(self, before, unexpected, dropped=1):
        """Send `before`, then check that `unexpected` is counted as dropped and changes nothing."""
        end, raw = link_and_raw_peer()
        for data in before:
            await raw.send(data)
        await settle(1)
        self.assertEqual(0, end.dropped)
        streams = len(end.owner.streams)
        await raw.send(unexpected)
        await settle(1)
        self.assertEqual((dropped, None, streams), (end.dropped, end.link.error, streams))
        self.assertEqual(streams, len(end.owner.streams))
        return end, raw

    async def test_frames_for_unknown_streams_are_dropped(self):
        """Guards against frames of a stream that was never opened."""
        for kind, payload in ((HEAD, NOTE), (DATA, b"x"), (FINISH, b""), (ABORT, b"")):
            await self.check_dropped([], frame(kind, 7, payload))
        await self.check_dropped([], frame(CREDIT, 7, struct.pack("!I", 1)))
        await self.check_dropped([], frame(ANSWER, 2, NOTE))

    async def test_duplicated_frames_are_dropped(self):
        """Guards against a request that runs twice, or a stream that ends twice."""
        opened = frame(OPEN, 1, NOTE)
        await self.check_dropped([opened], opened)
        await self.check_dropped([opened, frame(FINISH, 1)], frame(FINISH, 1))
        await self.check_dropped([opened, frame(ABORT, 1)], frame(ABORT, 1))

    async def test_late_frames_are_dropped(self):
        """Guards against body bytes after the end of a body, which would change it."""
        opened = frame(OPEN, 1, NOTE)
        await self.check_dropped([opened, frame(FINISH, 1)], frame(DATA, 1, b"late"))
        await self.check_dropped([opened, frame(ABORT, 1)], frame(DATA, 1, b"late"))

    async def test_stream_id_is_never_used_again(self):
        """Guards against late frames of an ended stream that reach a new stream with its id."""
        used = [frame(OPEN, 5, NOTE), frame(ABORT, 5)]
        await self.check_dropped(used, frame(OPEN, 5, NOTE))
        await self.check_dropped(used, frame(OPEN, 3, NOTE))

    async def test_frames_of_the_wrong_end_are_dropped(self):
        """Guards against a peer that uses this end's ids, or answers a stream of its own."""
        await self.check_dropped([], frame(OPEN, 2, NOTE))
        await self.check_dropped([frame(OPEN, 1, NOTE)], frame(HEAD, 1, NOTE))

    async def test_duplicated_answer_head_is_dropped(self):
        """Guards against an answer whose head changes after it was read."""
        end, raw = link_and_raw_peer()
        stream = end.link.open_stream(Note("question"))
        await settle(1)
        await raw.send(frame(HEAD, 2, NOTE) + frame(HEAD, 2, encode(Note("other"))))
        self.assertEqual((Note("head"), 1), (await stream.receive_head(), end.dropped))

    async def test_late_answer_is_dropped(self):
        """Guards against a late control answer that is taken for that of the next request."""
        end, raw = link_and_raw_peer()
        with self.assertRaisesType(TimeoutError):
            await asyncio.wait_for(end.link.control.request(Note("one")), 0.1)
        waiting = asyncio.ensure_future(end.link.control.request(Note("two")))
        await settle(1)
        await raw.send(frame(ANSWER, 2, encode(Note("late"))))
        await raw.send(frame(ANSWER, 4, encode(Note("right"))))
        self.assertEqual((Note("right"), 1), (await waiting, end.dropped))

    async def test_handlers_are_limited(self):
        """Guards against a peer whose control messages start handlers without limit."""
        end, raw = link_and_raw_peer()
        release = asyncio.Event()

        async def answer(message):
            await release.wait()

        end.owner.answer = answer
        message_frame = frame(FrameKind.MESSAGE, 0, NOTE)
        for _ in range(HANDLERS_LIMIT + 3):
            await raw.send(message_frame)
        await settle(1)
        self.assertEqual((3, None), (end.dropped, end.link.error))
        release.set()


class TestHandlerLimit(VirtualTimeTestCase):
    async def test_handlers_of_aborted_streams_are_limited(self):
        """Guards against a peer that opens and aborts streams faster than their handlers end."""
        end, raw = link_and_raw_peer()
        release = asyncio.Event()

        async def serve(head, stream):
            await release.wait()

        end.owner.serve = serve
        for number in range(TASKS_LIMIT + 3):
            stream_id = 2 * number + 1
            await raw.send(frame(OPEN, stream_id, NOTE) + frame(ABORT, stream_id))
        await settle(1)
        self.assertEqual((TASKS_LIMIT, None), (len(end.owner.streams), end.link.error))
        release.set()
        await settle(1)
        await raw.send(frame(OPEN, 99_999, NOTE))
        await settle(1)
        self.assertEqual(TASKS_LIMIT + 1, len(end.owner.streams))


class TestViolations(VirtualTimeTestCase):
    async def check_closed(self, error_type, *messages):
        """Send messages and check that they close the link with a typed error."""
        end, raw = link_and_raw_peer()
        for data in messages:
            await raw.send(data)
        await settle(1)
        self.assertIsInstance(end.link.error, error_type)
        self.assertEqual([end.link.error], end.owner.errors)
        with self.assertRaisesType(ConnectionLost):
            while True:
                await raw.receive()

    async def test_credit_violation_closes_the_link(self):
        """Guards against a peer that exhausts the memory through one stream."""
        chunk = frame(DATA, 1, bytes(16_384))
        chunks = [chunk] * (STREAM_CREDIT_BYTES // 16_384)
        await self.check_closed(FrameError, frame(OPEN, 1, NOTE), *chunks, frame(DATA, 1, b"x"))

    async def test_wrong_chunks_close_the_link(self):
        """Guards against overlong chunks, and empty ones, which are not limited by credit."""
        opened = frame(OPEN, 1, NOTE)
        await self.check_closed(FrameError, opened, frame(DATA, 1, bytes(16_385)))
        await self.check_closed(FrameError, opened, frame(DATA, 1, b""))

    async def test_wrong_credit_closes_the_link(self):
        """Guards against credit that lets this end send without limit."""
        opened = frame(OPEN, 1, NOTE)
        await self.check_closed(FrameError, opened, frame(CREDIT, 1, struct.pack("!I", 1)))
        await self.check_closed(FrameError, opened, frame(CREDIT, 1, b"\x00"))

    async def test_malformed_frames_close_the_link(self):
        """Guards against truncated and unknown frames that are skipped or end the process."""
        for data in (b"\x01", frame(OPEN, 1, NOTE)[:-1], frame(0, 1), frame(99, 1)):
            await self.check_closed(FrameError, data)
        await self.check_closed(MessageError, frame(OPEN, 1, b"\xff"))
        await self.check_closed(MessageError, frame(FrameKind.REQUEST, 1, b"\x80"))
        await self.check_closed(FrameError, frame(OPEN, 1, bytes(65_537)))

    async def test_oversized_message_closes_the_link(self):
        """Guards against a peer that makes the node buffer a message without end."""
        await self.check_closed(ConnectionLost, bytes(LINK_MESSAGE_LIMIT_BYTES + 1))
        part = frame(FrameKind.PART, 0, bytes(65_536))
        await self.check_closed(FrameError, *[part] * 19)


FRAMES = st.tuples(
    st.integers(0, 12), st.integers(0, 6), st.one_of(st.just(NOTE), st.binary(max_size=12))
)


class TestRandomFrames(TestCase):
    def feed(self, messages):
        """Send messages to a link, which must either close with a typed error or keep working."""

        async def run():
            end, raw = link_and_raw_peer()
            stream = end.link.open_stream(Note("question"))
            for data in messages:
                if not raw.closed:
                    await raw.send(data)
            await settle(1)
            if end.link.error is None:
                await raw.send(frame(OPEN, 1_001, NOTE))
                await settle(1)
                self.assertEqual(Note("head"), end.owner.streams[-1][0])
            else:
                self.assertIsInstance(end.link.error, ProtocolError)
            stream.abort("test ends")
            end.link.fail(ConnectionLost("raw", "test ends"))
            await settle(1)
            self.assertTrue(end.task.done())
            self.assertIsNone(end.task.exception())

        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
            runner.run(run())

    @given(st.lists(st.binary(min_size=1, max_size=40), max_size=4))
    @settings(max_examples=100, derandomize=True, database=None, deadline=None)
    def test_random_bytes(self, messages):
        """Guards against a peer that ends the process with random bytes."""
        self.feed(messages)

    @given(st.lists(FRAMES, max_size=12))
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    def test_random_frames(self, frames):
        """Guards against frames in an order that a correct peer never sends."""
        self.feed([frame(kind, frame_id, payload) for kind, frame_id, payload in frames])

    @given(st.integers(0, 80), st.binary(min_size=1, max_size=4))
    @settings(max_examples=100, derandomize=True, database=None, deadline=None)
    def test_damaged_frames(self, position, damage):
        """Guards against damaged bytes within otherwise valid frames."""
        data = frame(OPEN, 1, NOTE) + frame(DATA, 1, b"body") + frame(FINISH, 1)
        self.feed([data[:position] + damage + data[position + len(damage) :]])

    @given(st.integers(1, 60))
    @settings(max_examples=60, derandomize=True, database=None)
    def test_truncated_frames_are_typed_errors(self, length):
        """Guards against a truncated frame that is accepted as complete."""
        data = frame(OPEN, 1, NOTE) + frame(DATA, 1, b"body") + frame(FINISH, 1)
        frame_ends = {
            len(frame(OPEN, 1, NOTE)),
            len(frame(OPEN, 1, NOTE) + frame(DATA, 1, b"body")),
        }
        if length >= len(data) or length in frame_ends:
            return
        self.assertRaises(FrameError, list, read_frames(data[:length]))


class TestOwnPause(VirtualTimeTestCase):
    async def test_paused_process_reads_waiting_frames_before_it_reports_silence(self):
        """Guards against a paused process that closes links whose peers were alive."""
        near, far = link_pair()
        await settle(100)
        # Simulate a process that was paused for 3 s, whose timer therefore fires late.
        near.link._last_received_s -= 3
        near.link._timer_due_s -= 3
        near.link._timer.cancel()
        near.link._on_timer()
        self.assertIsNone(near.link.error)
        await settle(5_000)
        self.assertEqual((None, None), (near.link.error, far.link.error))
