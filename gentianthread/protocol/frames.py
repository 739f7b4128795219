"""Define the frames of a link.

One message of the connection holds any number of frames. A message without frames is a heartbeat.
A frame is one byte of kind, 4 bytes of id, 4 bytes of length and the payload, in network order.
Several frames share a message because a message costs more processor time than a frame.
"""

import struct
from collections.abc import Iterator
from enum import IntEnum

from ..errors import FrameError
from .streams import CHUNK_LIMIT_BYTES

FRAME_HEADER = struct.Struct("!BII")

# Longest payload. Longer control messages travel in parts, so that a message of 1 MB on a slow path
# does not look like a silent peer.
FRAME_LIMIT_BYTES = 64 * 1024

# Frames are added to a message until it reaches this length; one chunk fills it.
BATCH_BYTES = CHUNK_LIMIT_BYTES

LINK_MESSAGE_LIMIT_BYTES = BATCH_BYTES + FRAME_LIMIT_BYTES + 2 * FRAME_HEADER.size


class FrameKind(IntEnum):
    """Tell what a frame means; its id is that of a stream or a control request."""

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
    """Return the header of a frame."""
    return FRAME_HEADER.pack(kind, frame_id, length)


def read_frames(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Yield the kind, the id and the payload of each frame in a message.

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
