"""Read INI files and validate their fields.

A field format converts the text of a field or raises `ValueError`; the section records that as a
`FieldError` with the file, section, field and expected format.
"""

import configparser
from collections.abc import Callable, Mapping
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

import attrs

from .errors import DeclarationErrors, FieldError

T = TypeVar("T")

MISSING: Any = object()

VARIABLE_PREFIX = "GENTIAN_"


@attrs.frozen
class FieldFormat:
    """Describe and parse the format of a field.

    Attributes:
        expected: Description of the format, with unit and range.
        parse: Converts the text of the field; raises ValueError if it is invalid.
    """

    expected: str
    parse: Callable[[str], Any]


def text(expected: str = "text") -> FieldFormat:
    """Return the format of a non-empty text."""

    def parse(found: str) -> str:
        if not found:
            raise ValueError(found)
        return found

    return FieldFormat(expected, parse)


def number(low: float, high: float, unit: str = "") -> FieldFormat:
    """Return the format of a number in a range."""

    def parse(found: str) -> float:
        value = float(found)
        if not low <= value <= high:
            raise ValueError(found)
        return value

    return FieldFormat(f"a number{_unit_suffix(unit)} from {low:g} to {high:g}", parse)


def integer(low: int, high: int, unit: str = "") -> FieldFormat:
    """Return the format of an integer in a range."""

    def parse(found: str) -> int:
        value = int(found)
        if not low <= value <= high:
            raise ValueError(found)
        return value

    return FieldFormat(f"a whole number{_unit_suffix(unit)} from {low} to {high}", parse)


def boolean() -> FieldFormat:
    """Return the format of a boolean, written `yes` or `no`."""
    values = {"yes": True, "no": False}

    def parse(found: str) -> bool:
        return values[found] if found in values else _raise_value_error(found)

    return FieldFormat("yes or no", parse)


def choice(values: type[Enum] | list[str]) -> FieldFormat:
    """Return the format of a choice between names."""
    if isinstance(values, list):
        choices: dict[str, Any] = {name: name for name in values}
    else:
        choices = {member.name.lower(): member for member in values}

    def parse(found: str) -> Any:
        return choices[found] if found in choices else _raise_value_error(found)

    return FieldFormat(f"one of {', '.join(choices)}", parse)


def _unit_suffix(unit: str) -> str:
    return f" in {unit}" if unit else ""


def _raise_value_error(found: str) -> Any:
    raise ValueError(found)


def variable_name(section: str, field: str) -> str:
    """Return the environment variable from which a field that the file lacks is read."""
    return f"{VARIABLE_PREFIX}{section}_{field}".upper()


class Section:
    """Read the fields of a section and detect unknown ones."""

    def __init__(
        self,
        file: str,
        name: str,
        fields: dict[str, str],
        errors: list[FieldError],
        environment: Mapping[str, str] | None = None,
    ):
        """Create a reader of a section.

        Args:
            file: Name of the file.
            name: Name of the section.
            fields: Texts of the fields by name.
            errors: List to which errors are appended.
            environment: Environment variables, from which fields that the file lacks are read.
        """
        self.file = file
        self.name = name
        self._fields = fields
        self._errors = errors
        self._environment = environment or {}
        self._known_fields: set[str] = set()

    def get(self, field: str, field_format: FieldFormat, default: Any = MISSING) -> Any:
        """Return the value of a field.

        Args:
            field: Name of the field.
            field_format: Format of the field.
            default: Value of a missing field; without a default the field is required.

        Returns:
            The value, or None if the field is invalid; its error is then recorded.
        """
        self._known_fields.add(field)
        found = self._fields.get(field)
        if found is None:
            # An empty variable is one for which the platform had no value.
            found = self._environment.get(variable_name(self.name, field)) or None
        if found is None:
            if default is MISSING:
                self.add_error(field, None, field_format.expected)
                return None
            return default
        try:
            return field_format.parse(found)
        except (ValueError, KeyError):
            self.add_error(field, found, field_format.expected)
            return None

    def add_error(self, field: str, found: str | None, expected: str) -> None:
        """Record an error of a field."""
        self._errors.append(FieldError(self.file, self.name, field, found, expected))

    def check_unknown_fields(self) -> None:
        """Record an error for each unknown field, that is, each one that was never requested."""
        for field in self._fields:
            if field not in self._known_fields:
                known_fields = ", ".join(sorted(self._known_fields))
                self.add_error(field, self._fields[field], f"one of the fields {known_fields}")


class IniFile:
    """Parse an INI file and collect the errors in its fields."""

    def __init__(self, path: Path, environment: Mapping[str, str] | None = None):
        """Parse a file.

        Args:
            path: Path of the file.
            environment: Environment variables, from which fields that the file lacks are read.

        Raises:
            DeclarationErrors: The file cannot be read or is not an INI file.
        """
        self.name = path.name
        self.errors: list[FieldError] = []
        self._environment = environment
        parser = configparser.ConfigParser(
            interpolation=None, default_section="\0", inline_comment_prefixes=(";",)
        )
        try:
            parser.read_string(path.read_text(encoding="utf-8"), source=path.name)
        except (configparser.Error, OSError, UnicodeDecodeError) as error:
            found = getattr(error, "strerror", None) or str(error).splitlines()[0]
            field_error = FieldError(path.name, "", "", found, "an INI file")
            raise DeclarationErrors([field_error]) from error
        self._sections = {name: dict(parser.items(name)) for name in parser.sections()}

    def section_names(self) -> list[str]:
        """Return the names of all sections in file order."""
        return list(self._sections)

    def section(self, name: str) -> Section:
        """Return a section; a missing section has no fields."""
        fields = self._sections.get(name, {})
        return Section(self.name, name, fields, self.errors, self._environment)

    def raise_errors(self) -> None:
        """Raise the recorded errors, if any.

        Raises:
            DeclarationErrors: At least one field is invalid.
        """
        if self.errors:
            raise DeclarationErrors(self.errors)
