"""Read INI files with checked fields.

Every form converts the text of a field or raises `ValueError`; the section turns that into a
`FieldError` that names file, section, field and the expected form.
"""

import configparser
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

import attrs

from .errors import DeclarationErrors, FieldError

T = TypeVar("T")

MISSING: Any = object()


@attrs.frozen
class FieldFormat:
    """Describe the expected form of a field.

    Attributes:
        expected: The form in words, with unit and range.
        parse: Converts the text; raises ValueError where it does not fit.
    """

    expected: str
    parse: Callable[[str], Any]


def text(expected: str = "text") -> FieldFormat:
    """Return the form of a text that is not empty."""

    def parse(found: str) -> str:
        if not found:
            raise ValueError(found)
        return found

    return FieldFormat(expected, parse)


def number(low: float, high: float, unit: str = "") -> FieldFormat:
    """Return the form of a number in a range."""

    def parse(found: str) -> float:
        value = float(found)
        if not low <= value <= high:
            raise ValueError(found)
        return value

    return FieldFormat(f"a number{_in(unit)} from {low:g} to {high:g}", parse)


def integer(low: int, high: int, unit: str = "") -> FieldFormat:
    """Return the form of a whole number in a range."""

    def parse(found: str) -> int:
        value = int(found)
        if not low <= value <= high:
            raise ValueError(found)
        return value

    return FieldFormat(f"a whole number{_in(unit)} from {low} to {high}", parse)


def boolean() -> FieldFormat:
    """Return the form of a switch."""
    values = {"yes": True, "no": False}

    def parse(found: str) -> bool:
        return values[found] if found in values else _reject(found)

    return FieldFormat("yes or no", parse)


def choice(values: type[Enum] | list[str]) -> FieldFormat:
    """Return the form of a choice between names."""
    if isinstance(values, list):
        choices: dict[str, Any] = {name: name for name in values}
    else:
        choices = {member.name.lower(): member for member in values}

    def parse(found: str) -> Any:
        return choices[found] if found in choices else _reject(found)

    return FieldFormat(f"one of {', '.join(choices)}", parse)


def _in(unit: str) -> str:
    return f" in {unit}" if unit else ""


def _reject(found: str) -> Any:
    raise ValueError(found)


class Section:
    """Read the fields of one section and remember which were read."""

    def __init__(self, file: str, name: str, fields: dict[str, str], errors: list[FieldError]):
        """Wrap a section.

        Args:
            file: Name of the file.
            name: Name of the section.
            fields: Its fields.
            errors: Where wrong fields are collected.
        """
        self.file = file
        self.name = name
        self._fields = fields
        self._errors = errors
        self._known: set[str] = set()

    def get(self, field: str, form: FieldFormat, default: Any = MISSING) -> Any:
        """Return the value of a field.

        Args:
            field: Name of the field.
            form: Its expected form.
            default: Value of a missing field; without it the field is required.

        Returns:
            The value; None where it is wrong, with the error collected.
        """
        self._known.add(field)
        found = self._fields.get(field)
        if found is None:
            if default is MISSING:
                self.reject(field, None, form.expected)
                return None
            return default
        try:
            return form.parse(found)
        except (ValueError, KeyError):
            self.reject(field, found, form.expected)
            return None

    def reject(self, field: str, found: str | None, expected: str) -> None:
        """Collect an error of one field."""
        self._errors.append(FieldError(self.file, self.name, field, found, expected))

    def finish(self) -> None:
        """Collect an error for each field that nothing read."""
        for field in self._fields:
            if field not in self._known:
                known = ", ".join(sorted(self._known))
                self.reject(field, self._fields[field], f"one of the fields {known}")


class IniFile:
    """Hold the sections of one file and the errors found in it."""

    def __init__(self, path: Path):
        """Parse a file.

        Args:
            path: The file.

        Raises:
            DeclarationErrors: The file cannot be read or is no INI file.
        """
        self.name = path.name
        self.errors: list[FieldError] = []
        parser = configparser.ConfigParser(
            interpolation=None, default_section="\0", inline_comment_prefixes=(";",)
        )
        try:
            parser.read_string(path.read_text(encoding="utf-8"), source=path.name)
        except (configparser.Error, OSError, UnicodeDecodeError) as error:
            found = getattr(error, "strerror", None) or str(error).splitlines()[0]
            problem = FieldError(path.name, "", "", found, "an INI file")
            raise DeclarationErrors([problem]) from error
        self._sections = {name: dict(parser.items(name)) for name in parser.sections()}

    def names(self) -> list[str]:
        """Return the names of all sections in file order."""
        return list(self._sections)

    def section(self, name: str) -> Section:
        """Return a section; a missing one is empty."""
        return Section(self.name, name, self._sections.get(name, {}), self.errors)

    def raise_errors(self) -> None:
        """Raise what was collected.

        Raises:
            DeclarationErrors: Fields were wrong.
        """
        if self.errors:
            raise DeclarationErrors(self.errors)
