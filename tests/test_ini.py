import tempfile
from pathlib import Path

from gentianthread.errors import DeclarationErrors
from gentianthread.ids import Priority
from gentianthread.ini import IniFile, boolean, choice, integer, number, text

from .base import TestCase


def parse_ini(content: str) -> IniFile:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "x.ini"
        path.write_text(content)
        return IniFile(path)


class TestSection(TestCase):
    def test_all_invalid_fields_are_reported_together(self):
        """Guards against an error that reports only the first invalid field of a file."""
        file = parse_ini(
            "[a]\nrate_per_s = fast\nslots = 2.5\nopen = maybe\npriority = top\nextra = 1\n"
        )
        section = file.section("a")
        section.get("rate_per_s", number(0, 10, "requests/s"))
        section.get("slots", integer(1, 10))
        section.get("open", boolean())
        section.get("priority", choice(Priority))
        section.get("name", text())
        section.check_unknown_fields()
        error = self.assertRaises(DeclarationErrors, file.raise_errors)
        fields = [(item.file, item.section, item.field) for item in error.errors]
        names = ["rate_per_s", "slots", "open", "priority", "name", "extra"]
        self.assertEqual([("x.ini", "a", name) for name in names], fields)
        self.assertIn("a number in requests/s from 0 to 10", str(error))

    def test_numbers_out_of_range_are_rejected(self):
        """Guards against range checks that accept infinity or NaN.

        `value < low or value > high` is false for NaN.
        """
        for value in ("nan", "inf", "-1", "11"):
            self.assertRaises(ValueError, number(0, 10).parse, value)

    def test_unreadable_file_raises_a_typed_error(self):
        """Guards against parser errors that terminate the process with a traceback."""
        self.assertRaises(DeclarationErrors, parse_ini, "no section\n")
        error = self.assertRaises(DeclarationErrors, IniFile, Path("/nonexistent.ini"))
        self.assertEqual(
            "nonexistent.ini: 'No such file or directory'; expected an INI file", str(error)
        )
