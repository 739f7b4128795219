"""Serialize and parse unfragmented binary frames of WebSockets (RFC 6455, section 5.2).

The frame class of the `websockets` library parses each frame with generators and creates several
objects for it. All other frames are left to the library.
"""

import os
import struct

import attrs
from websockets.frames import apply_mask

# First byte of an unfragmented binary frame: FIN and opcode 2.
UNFRAGMENTED_BINARY = 0x82
_MASKED = 0x80
_MAX_7_BIT_LENGTH = 125
_MAX_16_BIT_LENGTH = 0xFFFF
_LENGTH_16_BIT, _LENGTH_64_BIT = 126, 127
_MASK_BYTES = 4


def serialize_binary(data: bytes, *, masked: bool) -> bytes:
    """Serialize an unfragmented binary frame.

    Args:
        data: The payload.
        masked: Whether to mask the payload, as the dialling end must.
    """
    mask_bit = _MASKED if masked else 0
    length = len(data)
    if length <= _MAX_7_BIT_LENGTH:
        head = struct.pack("!BB", UNFRAGMENTED_BINARY, mask_bit | length)
    elif length <= _MAX_16_BIT_LENGTH:
        head = struct.pack("!BBH", UNFRAGMENTED_BINARY, mask_bit | _LENGTH_16_BIT, length)
    else:
        head = struct.pack("!BBQ", UNFRAGMENTED_BINARY, mask_bit | _LENGTH_64_BIT, length)
    if not masked:
        return head + data
    mask = os.urandom(_MASK_BYTES)
    return head + mask + apply_mask(data, mask)


@attrs.define(eq=False)
class FrameHead:
    """Describe the head of a frame.

    Attributes:
        is_unfragmented_binary: Whether the frame is unfragmented and binary.
        masked: Whether the payload is masked.
        head_bytes: Length of the head, including the mask.
        payload_bytes: Length of the payload.
    """

    is_unfragmented_binary: bool
    masked: bool
    head_bytes: int
    payload_bytes: int


def parse_head(data: bytes, start: int) -> FrameHead | None:
    """Parse the head of the frame that starts at an offset; return None if it is incomplete."""
    available = len(data) - start
    if available < 2:
        return None
    second_byte = data[start + 1]
    masked = second_byte >= _MASKED
    payload_bytes = second_byte & 0x7F
    head_bytes = 2
    if payload_bytes == _LENGTH_16_BIT:
        head_bytes = 4
    elif payload_bytes == _LENGTH_64_BIT:
        head_bytes = 10
    if available < head_bytes + (_MASK_BYTES if masked else 0):
        return None
    if head_bytes > 2:
        payload_bytes = int.from_bytes(data[start + 2 : start + head_bytes], "big")
    if masked:
        head_bytes += _MASK_BYTES
    return FrameHead(data[start] == UNFRAGMENTED_BINARY, masked, head_bytes, payload_bytes)


def extract_payload(data: bytes, start: int, head: FrameHead) -> bytes:
    """Return the unmasked payload of the complete frame that starts at an offset."""
    payload_start = start + head.head_bytes
    payload = data[payload_start : payload_start + head.payload_bytes]
    return (
        apply_mask(payload, data[payload_start - _MASK_BYTES : payload_start])
        if head.masked
        else payload
    )
