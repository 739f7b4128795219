"""Read and validate the fields of JSON documents."""

import json
import re
from collections import Counter
from collections.abc import Callable, Hashable, Iterable, Mapping
from typing import Any, TypeVar

from .errors import DocumentError

# Largest number in a document; larger integers are not exact in JSON.
MAX_NUMBER = 2**53

_DURATION = re.compile(r"(\d{1,15}(?:\.\d{1,60})?)(ms|s)", re.ASCII)
_UNITS_MS = {"ms": 1.0, "s": 1_000.0}
# Control characters would add lines to HTTP heads, and surrogates cannot be encoded.
_UNUSABLE_TEXT = re.compile("[\x00-\x1f\x7f\ud800-\udfff]")

T = TypeVar("T")


def is_usable_text(text: str) -> bool:
    """Return whether a text can be sent in header fields and in messages."""
    return not _UNUSABLE_TEXT.search(text)


def names_used_twice(data: bytes) -> list[str]:
    """Return the names that occur more than once in a table of a JSON document."""
    repeated: list[str] = []

    def count(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = Counter(name for name, _ in pairs)
        repeated.extend(name for name, number in names.items() if number > 1)
        return dict(pairs)

    json.loads(data, object_pairs_hook=count)
    return repeated


def parse_json(key: str, data: bytes) -> Any:
    """Decode the JSON document with a key.

    Raises:
        DocumentError: It is not a JSON document.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(key, "", "a JSON document") from error


class Table:
    """Read and validate the fields of a table in a document.

    The methods raise `DocumentError` for a field that they cannot read.

    Attributes:
        key: Key of the document.
        path: Path of the table in it, with a dot at the end.
        values: Fields and their values.
    """

    def __init__(self, key: str, path: str, values: Any):
        """Wrap a table; `DocumentError` is raised for other values."""
        if not isinstance(values, Mapping):
            raise DocumentError(key, path, "a table")
        self.key = key
        self.path = path
        self.values = values

    def error(self, field: str, expected: str) -> DocumentError:
        """Return the error of a field, to be raised by the caller."""
        return DocumentError(self.key, f"{self.path}{field}", expected)

    def table(self, field: str) -> "Table":
        """Return a field that is a table, an empty one if it is missing."""
        return Table(self.key, f"{self.path}{field}.", self.values.get(field, {}))

    def text(self, field: str) -> str:
        """Return a field that is a text which is not empty."""
        value = self.values.get(field)
        if not isinstance(value, str) or not value or not is_usable_text(value):
            raise self.error(field, "a text without control characters and surrogates")
        return value

    def number(self, field: str, default: float | None = None) -> float:
        """Return a field that is a number of at least 0; it is required without a default."""
        value = self.values.get(field, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(field, "a number of at least 0")
        # JSON decodes 1e999 as infinity and accepts NaN, for which both comparisons are false.
        if not 0 <= value <= MAX_NUMBER:
            raise self.error(field, f"a number from 0 to {MAX_NUMBER}")
        return value

    def integer(self, field: str, default: int | None = None) -> int:
        """Return a field that is a whole number; it is required without a default."""
        value = self.number(field, default)
        if value != int(value):
            raise self.error(field, "a whole number")
        return int(value)

    def boolean(self, field: str) -> bool:
        """Return a field that is true or false; false if it is missing."""
        value = self.values.get(field, False)
        if not isinstance(value, bool):
            raise self.error(field, "true or false")
        return value

    def duration_ms(self, field: str, default_ms: float | None) -> float | None:
        """Return a field that is a duration, or the default if it is missing or null."""
        value = self.values.get(field)
        if value is None:
            return default_ms
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise self.error(field, "a duration such as 1500ms or 2.5s")
        return float(match.group(1)) * _UNITS_MS[match.group(2)]

    def choice(self, field: str, choices: Mapping[str, T]) -> T:
        """Return what a text stands for."""
        value = self.values.get(field)
        if not isinstance(value, str) or value not in choices:
            raise self.error(field, f"one of {', '.join(choices)}")
        return choices[value]


# Names and tables of the items of a section.
Items = list[tuple[str, Table]]


def readable_values(items: Items, read: Callable[[Table], float]) -> list[float]:
    """Return the readable values of a field of all items, and 0."""
    values = [0]
    for _, item in items:
        try:
            values.append(read(item))
        except DocumentError:
            continue
    return values


def lowest_positive(values: Iterable[float]) -> float | None:
    """Return the lowest value above 0, or None if there is none."""
    return min((value for value in values if value > 0), default=None)


def find_repeated(items: Iterable[tuple[str, Hashable]]) -> tuple[str, str] | None:
    """Return the names of the first two items that have the same value, or None."""
    names: dict[Hashable, str] = {}
    for name, value in items:
        if value in names:
            return names[value], name
        names[value] = name
    return None
