"""Build links over in-memory connections for tests."""

import asyncio

import attrs

from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.protocol.codec import message
from gentianthread.protocol.frames import LINK_MESSAGE_LIMIT_BYTES, frame_header
from gentianthread.protocol.link import Link
from gentianthread.protocol.link_control import LinkOwner
from gentianthread.transport.connections import memory_connection_pair


@message(99_003)
@attrs.frozen
class Note:
    text: str


def identity(name: str, start: int = 1) -> NodeIdentity:
    return NodeIdentity(UpstreamId(name), AvailabilityZoneId("larisa-a"), StartNumber(start))


class RecordingOwner(LinkOwner):
    """Record the messages, streams and errors of a link; tests may replace `serve` and `answer`."""

    def __init__(self):
        self.messages = []
        self.streams = []
        self.errors = []
        self.unsent = []

    def on_message(self, link, message):
        self.messages.append(message)
        return self.answer(message)

    def answer(self, message):
        return None

    async def on_stream(self, link, head, stream):
        self.streams.append((head, stream))
        await self.serve(head, stream)

    async def serve(self, head, stream):
        await stream.wait_until_aborted()

    def on_closed(self, link, error, unsent):
        self.errors.append(error)
        self.unsent = unsent


class LinkEnd:
    """Run one link over a connection, with a recording owner and metrics."""

    def __init__(self, connection, peer, *, dialed):
        connection.raise_limit(LINK_MESSAGE_LIMIT_BYTES)
        self.connection = connection
        self.owner = RecordingOwner()
        self.metrics = MemoryMetrics()
        self.link = Link(connection, peer, self.owner, self.metrics, dialed=dialed)
        self.task = asyncio.ensure_future(self.link.run())

    @property
    def dropped(self):
        return self.metrics.counters["link.frames_dropped"]


def link_pair(delay_ms=1.0, bytes_per_s=None) -> tuple[LinkEnd, LinkEnd]:
    """Return the dialling and the accepting end of a link."""
    near, far = memory_connection_pair(delay_ms, bytes_per_s)
    return (
        LinkEnd(near, identity("b"), dialed=True),
        LinkEnd(far, identity("a"), dialed=False),
    )


def link_and_raw_peer(delay_ms=0.0):
    """Return the accepting end of a link, and the connection of its peer without a link."""
    near, far = memory_connection_pair(delay_ms)
    near.raise_limit(LINK_MESSAGE_LIMIT_BYTES)
    return LinkEnd(far, identity("a"), dialed=False), near


def frame(kind: int, frame_id: int, payload: bytes = b"") -> bytes:
    return frame_header(kind, frame_id, len(payload)) + payload


async def read_body(stream) -> bytes:
    chunks = []
    while (chunk := await stream.receive_chunk()) is not None:
        chunks.append(chunk)
    return b"".join(chunks)


async def settle(duration_ms: float = 50) -> None:
    """Let the links run for some time."""
    await asyncio.sleep(duration_ms / 1000)
