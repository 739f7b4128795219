"""Define and parse the frames of a link.

A message of the connection contains any number of frames; one without frames is a heartbeat. A
frame consists of its kind (1 byte), id (4 bytes), payload length (4 bytes) and payload, in network
byte order. Frames are batched because a message costs more processor time than a frame.
"""

import struct
from collections.abc import Iterator
from enum import IntEnum

from ..errors import FrameError
from .streams import CHUNK_LIMIT_BYTES

FRAME_HEADER = struct.Struct("!BII")

# Longest payload. Longer control messages are split into parts, so that the peer does not count as
# silent while a message of 1 MB crosses a slow network.
FRAME_LIMIT_BYTES = 64 * 1024

# Frames are added to a message until it reaches this length, which is that of one full chunk.
BATCH_BYTES = CHUNK_LIMIT_BYTES

LINK_MESSAGE_LIMIT_BYTES = BATCH_BYTES + FRAME_LIMIT_BYTES + 2 * FRAME_HEADER.size


class FrameKind(IntEnum):
    """Identify the meaning of a frame and of its id.

    The id is that of a stream from `OPEN` to `ABORT`, and that of a request for `REQUEST` and
    `ANSWER`; frames of the other kinds have the id 0.
    """

    OPEN = 1
    HEAD = 2
    DATA = 3
    FINISH = 4
    CREDIT = 5
    ABORT = 6
    MESSAGE = 7
    REQUEST = 8
    ANSWER = 9
    PART = 10
    DRAIN = 11


def frame_header(kind: int, frame_id: int, length: int) -> bytes:
    """Encode the header of a frame."""
    return FRAME_HEADER.pack(kind, frame_id, length)


def read_frames(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yield the kind, id and payload of each frame in a message.

    Raises:
        FrameError: A frame is truncated, too long or of an unknown kind.
    """
    offset, end = 0, len(data)
    while offset < end:
        if end - offset < FRAME_HEADER.size:
            raise FrameError("truncated header")
        kind, frame_id, length = FRAME_HEADER.unpack_from(data, offset)
        offset += FRAME_HEADER.size
        if not FrameKind.OPEN <= kind <= FrameKind.DRAIN:
            raise FrameError(f"unknown kind {kind}")
        if length > FRAME_LIMIT_BYTES:
            raise FrameError(f"payload of {length} bytes")
        if length > end - offset:
            raise FrameError("truncated payload")
        yield kind, frame_id, data[offset : offset + length]
        offset += length
