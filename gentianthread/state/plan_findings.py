"""Represent what the check of a configuration reports, and report what its reader could not use.

A finding names a field as it is written in the document. The words of the document belong to the
platform's adapter, which passes them as `FieldPaths`.
"""

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from typing import Any

import attrs

from ..errors import DocumentError
from .fleet_plan import FleetPlan

# Longest text of a value in a finding, which is one line.
MAX_VALUE_LENGTH = 80


class Severity(Enum):
    """Rank findings, the worst first."""

    ERROR = "error"
    WARNING = "warning"
    NOTICE = "notice"


class FindingKind(Enum):
    """Name what a finding is about."""

    INVALID_DOCUMENT = "invalid-document"
    UNREADABLE_VALUE = "unreadable-value"
    REPEATED_NAME = "repeated-name"
    NEVER_MATCHES = "never-matches"
    NEVER_USED = "never-used"
    NO_REGION = "no-region"
    CONTRADICTION = "contradiction"
    UNUSUAL = "unusual"
    VERSION_NOT_NEWER = "version-not-newer"
    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    LOWERED = "lowered"
    OPENED = "opened"


@attrs.frozen
class Finding:
    """Describe one finding.

    Attributes:
        severity: How bad it is.
        kind: What it is about.
        field: Path of the field in the document; empty for the whole document.
        found: What the document has there.
        expected: What is expected, or what follows from it.
    """

    severity: Severity
    kind: FindingKind
    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.field or 'document'}: {self.found}; {self.expected}"


class FieldPaths:
    """Give paths of fields in the words of the document."""

    def __init__(self, names: Mapping[str, str]):
        """Wrap a table.

        Args:
            names: Names in the document by attribute of `fleet_plan`, where the two differ.
        """
        self._names = names

    def path(self, section: str, item: str | None = None, attribute: str | None = None) -> str:
        """Return the path of a section of the plan, of an item in it or of a field of that."""
        parts = [self.name(section)]
        if item is not None:
            parts.append(item)
        if attribute is not None:
            parts.append(self.name(attribute))
        return ".".join(parts)

    def name(self, attribute: str) -> str:
        """Return the name that an attribute has in the document."""
        return self._names.get(attribute, attribute)


def invalid_document(error: DocumentError, document: Any, paths: FieldPaths) -> Finding:
    """Return the finding of a document that nodes refuse as a whole.

    Args:
        error: The error of its reader.
        document: The decoded JSON, or None if it is none.
        paths: Names of the fields.
    """
    field = error.field.rstrip(".")
    return Finding(
        Severity.ERROR,
        FindingKind.INVALID_DOCUMENT,
        field,
        f"found {describe_value(document, field, paths)}" if field else "cannot be read",
        f"expected {error.expected}; nodes refuse the whole document",
    )


def unreadable_values(plan: FleetPlan, document: Any, paths: FieldPaths) -> Iterator[Finding]:
    """Yield a finding for each value that the tolerant reader replaced or left out."""
    for problem in plan.problems:
        field = problem.field.rstrip(".")
        used = "it is left out" if problem.used is None else f"used instead: {problem.used}"
        yield Finding(
            Severity.ERROR,
            FindingKind.UNREADABLE_VALUE,
            field,
            f"found {describe_value(document, field, paths)}",
            f"expected {problem.expected}; {used}",
        )


def repeated_names(names: Iterable[str]) -> Iterator[Finding]:
    """Yield a finding for each name that a table of the document has more than once."""
    for name in sorted(set(names)):
        yield Finding(
            Severity.ERROR,
            FindingKind.REPEATED_NAME,
            "",
            f"one table has the name {name!a} more than once",
            "expected each name once; only its last value is used",
        )


def describe_value(document: Any, path: str, paths: FieldPaths) -> str:
    """Return the value at a path of the document as a short text.

    Texts and lists of organisations are not shown, as they may contain keys.
    """
    value: Any = document
    rest = path
    while rest:
        name = _next_name(value, rest)
        if name is None:
            return "no value"
        value = value[int(name)] if isinstance(value, list) else value[name]
        rest = rest[len(name) + 1 :]
    may_have_keys = path.partition(".")[0] == paths.path("organisations")
    if may_have_keys and isinstance(value, str | list | dict):
        return {str: "a text", list: "a list", dict: "a table"}[type(value)]
    text = ascii(value)
    return text if len(text) <= MAX_VALUE_LENGTH else f"{text[:MAX_VALUE_LENGTH]}..."


def _next_name(value: Any, path: str) -> str | None:
    """Return the longest name of a table or list with which a path begins; names may have dots."""
    if isinstance(value, list):
        names: Iterable[str] = map(str, range(len(value)))
    else:
        names = value if isinstance(value, dict) else ()
    fitting = (name for name in names if name and (path == name or path.startswith(f"{name}.")))
    return max(fitting, key=len, default=None)


def without_unreadable(findings: Iterable[Finding], errors: Iterable[Finding]) -> list[Finding]:
    """Leave out findings about fields that could not be read, as the value is a replacement."""
    fields = [error.field for error in errors if error.field]
    return [
        finding
        for finding in findings
        if not any(
            finding.field == field or finding.field.startswith(f"{field}.") for field in fields
        )
    ]


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return findings with the worst first, and by field within a severity."""
    order = list(Severity)
    return sorted(findings, key=lambda each: (order.index(each.severity), each.field, each.found))
