from gentianthread.coordination.calls import ExchangeBody
from gentianthread.errors import KeyInBody
from gentianthread.standins.fleet import key_of

from ..base import VirtualTimeTestCase

KEY = key_of("alpha")


class PartsExchange:
    """Give the parts of a body one by one."""

    body_length = None

    def __init__(self, parts: list[bytes]):
        self.parts = list(parts)

    async def read(self) -> bytes | None:
        return self.parts.pop(0) if self.parts else None


async def read_all(body: ExchangeBody) -> bytes:
    parts = []
    while (part := await body.read()) is not None:
        parts.append(part)
    return b"".join(parts)


class TestExchangeBody(VirtualTimeTestCase):
    async def test_key_is_found_at_every_split(self):
        """Guards against a key that reaches the target because two parts of the body share it."""
        whole = b"before " + KEY.encode() + b" after"
        for split in range(len(whole)):
            body = ExchangeBody(PartsExchange([whole[:split], whole[split:]]), KEY)
            with self.assertRaisesType(KeyInBody):
                await read_all(body)
            self.assertTrue(body.has_key)

    async def test_other_bodies_pass_unchanged(self):
        """Guards against bytes that are lost or reordered while the start of a key is kept back."""
        for parts in (
            [b"gtk_", b"gtk_gtk_al", b"pha"],
            [b""],
            [],
            [b"x" * 5000, b"g"],
            [b"ggt", b"k"],
        ):
            body = ExchangeBody(PartsExchange(parts), KEY)
            self.assertEqual(b"".join(parts), await read_all(body))
