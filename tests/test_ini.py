import tempfile
from pathlib import Path

from gentianthread.errors import DeclarationErrors
from gentianthread.ids import Priority
from gentianthread.ini import IniFile, boolean, choice, integer, number, text

from .base import TestCase


def ini(content: str) -> IniFile:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "x.ini"
        path.write_text(content)
        return IniFile(path)


class TestSection(TestCase):
    def test_all_wrong_fields_are_named_together(self):
        """Guards against errors that operators must fix one run at a time."""
        file = ini("[a]\nrate_per_s = fast\nslots = 2.5\nopen = maybe\npriority = top\nextra = 1\n")
        section = file.section("a")
        section.get("rate_per_s", number(0, 10, "requests/s"))
        section.get("slots", integer(1, 10))
        section.get("open", boolean())
        section.get("priority", choice(Priority))
        section.get("name", text())
        section.finish()
        error = self.assertRaises(DeclarationErrors, file.raise_errors)
        fields = [(one.file, one.section, one.field) for one in error.errors]
        names = ["rate_per_s", "slots", "open", "priority", "name", "extra"]
        self.assertEqual([("x.ini", "a", name) for name in names], fields)
        self.assertIn("a number in requests/s from 0 to 10", str(error))

    def test_numbers_out_of_range_are_refused(self):
        """Guards against NaN and infinity, which pass range checks written the other way round."""
        for found in ("nan", "inf", "-1", "11"):
            self.assertRaises(ValueError, number(0, 10).parse, found)

    def test_broken_file_is_a_typed_error(self):
        """Guards against a parser error that ends the process with a traceback."""
        self.assertRaises(DeclarationErrors, ini, "no section\n")
        error = self.assertRaises(DeclarationErrors, IniFile, Path("/nonexistent.ini"))
        self.assertEqual(
            "nonexistent.ini: 'No such file or directory'; expected an INI file", str(error)
        )
