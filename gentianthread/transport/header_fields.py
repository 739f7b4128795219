"""Collect the header fields of a message from a parser."""

from collections.abc import Collection, Iterable
from functools import lru_cache

from .http_names import decode_text

HeaderPairs = list[tuple[str, str]]

# Names of header fields whose texts are kept; callers and targets send a few dozen different ones.
NAMES_KEPT = 512

# Longer names are not kept, so that what is kept stays under 100 KB.
KEPT_NAME_BYTES = 64


class HeaderFields:
    """Hold header fields in order, and find one by its name.

    Attributes:
        pairs: Names and values as sent.
        names: The names in lower case.
        first: The first value of each field by its name in lower case.
    """

    __slots__ = ("first", "names", "pairs")

    def __init__(self) -> None:
        self.pairs: HeaderPairs = []
        self.names: list[str] = []
        self.first: dict[str, str] = {}

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        text, lower = _kept_texts(name) if len(name) <= KEPT_NAME_BYTES else _texts(name)
        value_text = value.decode("utf-8", "surrogateescape")
        self.pairs.append((text, value_text))
        self.names.append(lower)
        self.first.setdefault(lower, value_text)

    def without(self, dropped: Collection[str]) -> HeaderPairs:
        """Return the fields but those with some names.

        Args:
            dropped: The names, in lower case.
        """
        return [
            pair for pair, name in zip(self.pairs, self.names, strict=True) if name not in dropped
        ]


def _texts(name: bytes) -> tuple[str, str]:
    text = decode_text(name)
    return text, text.lower()


_kept_texts = lru_cache(maxsize=NAMES_KEPT)(_texts)


def render_fields(headers: Iterable[tuple[str, str]]) -> str:
    """Return header fields as the lines of a head."""
    return "".join([f"{name}: {value}\r\n" for name, value in headers])
