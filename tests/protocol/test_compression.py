import os
import zlib

from gentianthread.errors import MessageError
from gentianthread.protocol.codec import encode_batch
from gentianthread.protocol.compression import WINDOW_BITS, Compressor, Decompressor
from gentianthread.protocol.messages_mesh import Probe, RunRequest

from ..base import TestCase


def request(number):
    fields = "Host: shop.example\r\nUser-Agent: client/1.0\r\nAccept: application/json\r\n"
    return RunRequest(
        number,
        "catalogue",
        "i-0a1b2c3d4e",
        "acme",
        1,
        False,
        True,
        True,
        1_234.5,
        f"{os.urandom(8).hex()}.{os.urandom(8).hex()}",
        "GET",
        f"/stock/{number}",
        fields,
        b"",
        7,
    )


class TestCompression(TestCase):
    def test_batches_come_back_in_order(self):
        """Guards against batches that the shared deflate stream loses, damages or reorders."""
        near, far = Compressor(), Decompressor(1_000_000)
        batches = [encode_batch([request(number)]) for number in range(50)] + [os.urandom(5_000)]
        self.assertEqual(batches, [far.decompress(near.compress(batch)) for batch in batches])

    def test_requests_of_one_service_shrink_to_half(self):
        """Guards against a deflate stream that starts again, without history, with each batch."""
        near = Compressor()
        plain = [encode_batch([request(number)]) for number in range(200)]
        packed = sum(len(near.compress(batch)) for batch in plain)
        self.assertLess(packed, 0.5 * sum(map(len, plain)))

    def test_first_byte_distinguishes_compressed_and_plain_batches(self):
        """Guards against a compressed batch that is decoded as a plain one, and the reverse."""
        plain = [[], [Probe(1, False, 0, 1)], [request(number) for number in range(300)]]
        first_bytes = {encode_batch(batch)[0] for batch in plain}
        self.assertNotIn(Compressor().compress(b"x")[0], first_bytes)

    def test_wrong_data_is_refused(self):
        """Guards against bad data that ends the process or fills its memory when decompressed."""
        bomb = zlib.compressobj(9, zlib.DEFLATED, WINDOW_BITS)
        oversized = bomb.compress(bytes(50_000_000)) + bomb.flush(zlib.Z_SYNC_FLUSH)
        for data in (b"\x00\xff\xff\xff", b"\x00" + oversized):
            with self.assertRaisesType(MessageError):
                Decompressor(1_000_000).decompress(data)
