"""Compress the batches of a link whose ends are in different availability zones.

Requests of one service repeat their field names, ids and paths, so each direction of a link keeps
one deflate stream (RFC 1951) from its first batch to its last. A compressed batch starts with a
byte that no CBOR array starts with, so that a receiver needs no agreement. Texts of several callers
share a stream: who can count the bytes between zones can guess at them.
"""

import zlib

from ..errors import MessageError

# CBOR arrays start with 0x80 to 0x9F.
COMPRESSED_MARK = b"\x00"

# Fast, with a window of 2 KB and 24 KB of memory: requests on lakeshore-tan shrink to 0.41 of their
# size with it, and to 0.35 with level 6 and the largest window, which needs ten times the memory.
LEVEL = 1
WINDOW_BITS = -11
MEMORY_LEVEL = 5

# Smaller batches are reports and probes, which the head of a block would double.
MIN_COMPRESSED_BYTES = 100

# What a flush at the end of a batch adds and the receiver puts back (RFC 7692, section 7.2.1).
_FLUSH_END = b"\x00\x00\xff\xff"


class Compressor:
    """Compress the batches of one direction of a link."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, data: bytes) -> bytes:
        """Return the wire form of a batch; each one must be sent, in this order."""
        stream = self._stream
        packed = stream.compress(data) + stream.flush(zlib.Z_SYNC_FLUSH)
        return COMPRESSED_MARK + packed[: -len(_FLUSH_END)]


class Decompressor:
    """Restore the batches of one direction of a link."""

    def __init__(self, limit_bytes: int):
        """Create a decompressor at the start of a stream.

        Args:
            limit_bytes: Longest batch that is accepted.
        """
        self._stream = zlib.decompressobj(WINDOW_BITS)
        self._limit_bytes = limit_bytes

    def decompress(self, data: bytes) -> bytes:
        """Return the batch of a wire form.

        Raises:
            MessageError: The data does not continue the stream, or the batch is too long.
        """
        packed = data[len(COMPRESSED_MARK) :] + _FLUSH_END
        try:
            batch = self._stream.decompress(packed, self._limit_bytes + 1)
        except zlib.error as error:
            raise MessageError("?", f"not compressed: {error}") from error
        if len(batch) > self._limit_bytes:
            raise MessageError("?", f"more than {self._limit_bytes} bytes")
        return batch
