"""Store the header fields of a parsed message."""

from collections.abc import Collection, Iterable
from functools import lru_cache

from .http_names import decode_text

HeaderPairs = list[tuple[str, str]]

# Number of cached names of header fields; callers and targets send a few dozen different ones.
NAME_CACHE_SIZE = 512

# Longer names are not cached, so that the cache stays under 100 KB.
MAX_CACHED_NAME_BYTES = 64


class HeaderFields:
    """Store header fields in order, and find them by name.

    Attributes:
        pairs: Names and values as received.
        names: The names in lower case.
        first: First value of each field by its name in lower case.
    """

    __slots__ = ("first", "names", "pairs")

    def __init__(self) -> None:
        self.pairs: HeaderPairs = []
        self.names: list[str] = []
        self.first: dict[str, str] = {}

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field."""
        text, lower = (
            _decode_name_cached(name) if len(name) <= MAX_CACHED_NAME_BYTES else _decode_name(name)
        )
        # The parser leaves the blanks after a value, which are no part of it (RFC 9110, 5.5).
        value_text = value.rstrip(b" \t").decode("utf-8", "surrogateescape")
        self.pairs.append((text, value_text))
        self.names.append(lower)
        self.first.setdefault(lower, value_text)

    def without(self, excluded_names: Collection[str]) -> HeaderPairs:
        """Return all fields except those with the given names.

        Args:
            excluded_names: Names in lower case.
        """
        return [
            pair
            for pair, name in zip(self.pairs, self.names, strict=True)
            if name not in excluded_names
        ]


def _decode_name(name: bytes) -> tuple[str, str]:
    text = decode_text(name)
    return text, text.lower()


_decode_name_cached = lru_cache(maxsize=NAME_CACHE_SIZE)(_decode_name)


def render_fields(headers: Iterable[tuple[str, str]]) -> str:
    """Serialize header fields as the lines of a head."""
    return "".join([f"{name}: {value}\r\n" for name, value in headers])
