import asyncio

from websockets.frames import Frame, Opcode
from websockets.server import ServerProtocol

from gentianthread.transport.direct_websocket import DirectWebSocket
from gentianthread.transport.websocket_frames import extract_payload, parse_head, serialize_binary

from ..base import SocketTestCase, TestCase

LENGTHS = (0, 1, 125, 126, 65_535, 65_536)
OPENING = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)


class TestFrames(TestCase):
    def test_frames_are_those_of_the_library(self):
        """Guards against frames that another end of the protocol does not understand."""
        for length in LENGTHS:
            data = b"x" * length
            expected = Frame(Opcode.BINARY, data).serialize(mask=False)
            self.assertEqual(expected, serialize_binary(data, masked=False))

    def test_payload_is_found_at_any_place_and_length(self):
        """Guards against heads of another length class that are read as payload."""
        for masked in (False, True):
            for length in LENGTHS:
                data = bytes(number % 251 for number in range(length))
                frame = b"abc" + serialize_binary(data, masked=masked)
                head = parse_head(frame, 3)
                self.assertTrue(head.is_unfragmented_binary)
                self.assertEqual(len(frame) - 3, head.head_bytes + head.payload_bytes)
                self.assertEqual(data, extract_payload(frame, 3, head))

    def test_every_incomplete_head_is_told(self):
        """Guards against a head that is read before all of its bytes have come."""
        for length in (5, 126, 65_536):
            frame = serialize_binary(b"x" * length, masked=True)
            size = parse_head(frame, 0).head_bytes
            self.assertEqual([None] * size, [parse_head(frame[:end], 0) for end in range(size)])


class Wire:
    """Keep what a connection writes."""

    def __init__(self):
        self.written = b""
        self.aborted = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def can_write_eof(self):
        return False

    def get_extra_info(self, name):
        return None


class TestReceiving(SocketTestCase):
    def make(self, limit_bytes=1_000):
        """Return an accepting end that was not opened, its wire and what it delivers."""
        protocol = ServerProtocol(max_size=limit_bytes)
        found = []
        end = DirectWebSocket(
            protocol, lambda opened: opened.deliver_to(found.append, lambda _: None)
        )
        end._transport = wire = Wire()
        return end, wire, found

    async def test_messages_arrive_whole_however_the_bytes_are_cut(self):
        """Guards against messages lost where a frame, or the opening, spans two reads."""
        data = OPENING + b"".join(
            serialize_binary(part, masked=True) for part in (b"one", b"", b"3")
        )
        for first in range(1, len(data)):
            end, _, found = self.make()
            end.data_received(data[:first])
            end.data_received(data[first:])
            self.assertEqual([b"one", b"", b"3"], found)

    async def test_control_frames_and_fragments_pass_between_messages(self):
        """Guards against a ping or a fragmented message that upsets the messages around it."""
        end, wire, found = self.make()
        frames = [
            serialize_binary(b"one", masked=True),
            Frame(Opcode.PING, b"p").serialize(mask=True),
            Frame(Opcode.BINARY, b"tw", fin=False).serialize(mask=True),
            Frame(Opcode.PING, b"q").serialize(mask=True),
            Frame(Opcode.CONT, b"o").serialize(mask=True),
            serialize_binary(b"three", masked=True),
        ]
        end.data_received(OPENING)
        before = len(wire.written)
        end.data_received(b"".join(frames))
        self.assertEqual([b"one", b"two", b"three"], found)
        pongs = [Frame(Opcode.PONG, data).serialize(mask=False) for data in (b"p", b"q")]
        self.assertEqual(b"".join(pongs), wire.written[before:])

    async def test_wrong_frames_close_the_connection(self):
        """Guards against bytes of a broken or hostile peer that are taken for messages."""
        wrong = [
            serialize_binary(b"not masked", masked=False),
            serialize_binary(b"x" * 1_001, masked=True),
            b"\xc2" + serialize_binary(b"reserved bit", masked=True)[1:],
            b"\x83" + serialize_binary(b"unknown opcode", masked=True)[1:],
        ]
        for data in wrong:
            end, wire, found = self.make()
            end.data_received(OPENING)
            end.data_received(data + serialize_binary(b"later", masked=True))
            self.assertEqual(([], True), (found, wire.aborted))

    async def test_endless_opening_is_dropped(self):
        """Guards against memory taken by a caller that never ends its opening request."""
        end, wire, _ = self.make()
        for _ in range(100):
            end.data_received(b"x" * 4_096)
        self.assertTrue(wire.aborted)

    async def test_messages_after_a_close_are_dropped(self):
        """Guards against requests that run although their sender has closed the link."""
        end, _, found = self.make()
        end.data_received(OPENING)
        closing = Frame(Opcode.CLOSE, b"\x03\xe8").serialize(mask=True)
        end.data_received(closing + serialize_binary(b"late", masked=True))
        await asyncio.sleep(0)
        self.assertEqual([], found)
