from gentianthread.coordination.calls import ExchangeBody
from gentianthread.errors import KeyInBody
from gentianthread.standins.fleet import key_of

from ..base import VirtualTimeTestCase

KEY = key_of("alpha")


class ChunkedExchange:
    """Return the chunks of a body one by one."""

    body_length = None

    def __init__(self, chunks: list[bytes]):
        self.chunks = list(chunks)

    async def read(self) -> bytes | None:
        return self.chunks.pop(0) if self.chunks else None


async def read_all(body: ExchangeBody) -> bytes:
    chunks = []
    while (chunk := await body.read()) is not None:
        chunks.append(chunk)
    return b"".join(chunks)


class TestExchangeBody(VirtualTimeTestCase):
    async def test_key_is_found_at_every_split(self):
        """Guards against a key that reaches the target because it is split over two chunks."""
        whole = b"before " + KEY.encode() + b" after"
        for split in range(len(whole)):
            body = ExchangeBody(ChunkedExchange([whole[:split], whole[split:]]), KEY)
            with self.assertRaisesType(KeyInBody):
                await read_all(body)
            self.assertTrue(body.contains_key)

    async def test_other_bodies_pass_unchanged(self):
        """Guards against bytes that are lost or reordered while a key prefix is held back."""
        for chunks in (
            [b"gtk_", b"gtk_gtk_al", b"pha"],
            [b""],
            [],
            [b"x" * 5000, b"g"],
            [b"ggt", b"k"],
        ):
            body = ExchangeBody(ChunkedExchange(chunks), KEY)
            self.assertEqual(b"".join(chunks), await read_all(body))
