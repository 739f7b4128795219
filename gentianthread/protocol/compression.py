"""Compress the batches of a link whose ends are in different availability zones.

Requests of one service repeat their field names, ids and paths, so each direction of a link keeps
one deflate stream (RFC 1951) for all its batches. A compressed batch starts with a byte that no
CBOR array starts with, so that compression needs no negotiation. Requests of several callers share
a stream, so an observer of the compressed sizes between zones can draw conclusions about them.
"""

import zlib

from ..errors import MessageError

# First byte of a compressed batch; CBOR arrays start with 0x80 to 0x9F.
COMPRESSED_MARK = b"\x00"

# Level 1 with a window of 2 KB is fast, needs 24 KB of memory and shrinks requests to 0.41 of their
# size. Level 6 with the largest window shrinks them to 0.35 but needs ten times the memory.
LEVEL = 1
WINDOW_BITS = -11
MEMORY_LEVEL = 5

# Smaller batches are sent uncompressed: they are reports and probes, which the header of a deflate
# block would double in size.
MIN_COMPRESSED_BYTES = 100

# Bytes that end every flushed block. The sender removes them and the receiver appends them again
# (RFC 7692, section 7.2.1).
_FLUSH_END = b"\x00\x00\xff\xff"


class Compressor:
    """Compress the batches of one direction of a link."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, data: bytes) -> bytes:
        """Compress a batch; all compressed batches must be sent, in the order of the calls."""
        stream = self._stream
        packed = stream.compress(data) + stream.flush(zlib.Z_SYNC_FLUSH)
        return COMPRESSED_MARK + packed[: -len(_FLUSH_END)]


class Decompressor:
    """Decompress the batches of one direction of a link."""

    def __init__(self, limit_bytes: int):
        """Create a decompressor for a new stream.

        Args:
            limit_bytes: Length above which a decompressed batch is refused.
        """
        self._stream = zlib.decompressobj(WINDOW_BITS)
        self._limit_bytes = limit_bytes

    def decompress(self, data: bytes) -> bytes:
        """Decompress a batch.

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
