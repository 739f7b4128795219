import asyncio

from websockets.frames import Frame, Opcode
from websockets.server import ServerProtocol

from gentianthread.transport.direct_websocket import DirectWebSocket
from gentianthread.transport.websocket_frames import extract_payload, parse_head, serialize_binary

from ..base import SocketTestCase, TestCase

LENGTHS = (0, 1, 125, 126, 65_535, 65_536)
OPENING_REQUEST = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)


class TestFrames(TestCase):
    def test_frames_equal_those_of_the_library(self):
        """Guards against frames that other implementations of the protocol reject."""
        for length in LENGTHS:
            data = b"x" * length
            expected = Frame(Opcode.BINARY, data).serialize(mask=False)
            self.assertEqual(expected, serialize_binary(data, masked=False))

    def test_payload_is_found_at_any_place_and_length(self):
        """Guards against bytes of an extended length or mask that are returned as payload."""
        for masked in (False, True):
            for length in LENGTHS:
                data = bytes(number % 251 for number in range(length))
                frame = b"abc" + serialize_binary(data, masked=masked)
                head = parse_head(frame, 3)
                self.assertTrue(head.is_unfragmented_binary)
                self.assertEqual(len(frame) - 3, head.head_bytes + head.payload_bytes)
                self.assertEqual(data, extract_payload(frame, 3, head))

    def test_every_incomplete_head_is_detected(self):
        """Guards against a head that is parsed before all of its bytes are received."""
        for length in (5, 126, 65_536):
            frame = serialize_binary(b"x" * length, masked=True)
            size = parse_head(frame, 0).head_bytes
            self.assertEqual([None] * size, [parse_head(frame[:end], 0) for end in range(size)])


class FakeTransport:
    """Record what a connection writes."""

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
    def make_server_end(self, limit_bytes=1_000):
        """Return an accepting end before its opening, its transport and its received messages."""
        protocol = ServerProtocol(max_size=limit_bytes)
        messages = []
        connection = DirectWebSocket(
            protocol, lambda opened: opened.deliver_to(messages.append, lambda _: None)
        )
        connection._transport = fake_transport = FakeTransport()
        return connection, fake_transport, messages

    async def test_messages_split_across_two_reads_are_complete(self):
        """Guards against messages lost if a frame or the opening request spans two reads."""
        data = OPENING_REQUEST + b"".join(
            serialize_binary(part, masked=True) for part in (b"one", b"", b"3")
        )
        for split in range(1, len(data)):
            connection, _, messages = self.make_server_end()
            connection.data_received(data[:split])
            connection.data_received(data[split:])
            self.assertEqual([b"one", b"", b"3"], messages)

    async def test_control_frames_and_fragments_pass_between_messages(self):
        """Guards against a ping or a fragmented message that corrupts adjacent messages."""
        connection, fake_transport, messages = self.make_server_end()
        frames = [
            serialize_binary(b"one", masked=True),
            Frame(Opcode.PING, b"p").serialize(mask=True),
            Frame(Opcode.BINARY, b"tw", fin=False).serialize(mask=True),
            Frame(Opcode.PING, b"q").serialize(mask=True),
            Frame(Opcode.CONT, b"o").serialize(mask=True),
            serialize_binary(b"three", masked=True),
        ]
        connection.data_received(OPENING_REQUEST)
        before = len(fake_transport.written)
        connection.data_received(b"".join(frames))
        self.assertEqual([b"one", b"two", b"three"], messages)
        pongs = [Frame(Opcode.PONG, data).serialize(mask=False) for data in (b"p", b"q")]
        self.assertEqual(b"".join(pongs), fake_transport.written[before:])

    async def test_invalid_frames_close_the_connection(self):
        """Guards against bytes of a faulty or hostile peer that are delivered as messages."""
        invalid_frames = [
            serialize_binary(b"not masked", masked=False),
            serialize_binary(b"x" * 1_001, masked=True),
            b"\xc2" + serialize_binary(b"reserved bit", masked=True)[1:],
            b"\x83" + serialize_binary(b"unknown opcode", masked=True)[1:],
        ]
        for data in invalid_frames:
            connection, fake_transport, messages = self.make_server_end()
            connection.data_received(OPENING_REQUEST)
            connection.data_received(data + serialize_binary(b"later", masked=True))
            self.assertEqual(([], True), (messages, fake_transport.aborted))

    async def test_endless_opening_request_is_aborted(self):
        """Guards against memory used by a client that never completes its opening request."""
        connection, fake_transport, _ = self.make_server_end()
        for _ in range(100):
            connection.data_received(b"x" * 4_096)
        self.assertTrue(fake_transport.aborted)

    async def test_messages_after_a_close_are_dropped(self):
        """Guards against requests that run although their sender has closed the connection."""
        connection, _, messages = self.make_server_end()
        connection.data_received(OPENING_REQUEST)
        closing = Frame(Opcode.CLOSE, b"\x03\xe8").serialize(mask=True)
        connection.data_received(closing + serialize_binary(b"late", masked=True))
        await asyncio.sleep(0)
        self.assertEqual([], messages)
