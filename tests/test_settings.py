import contextlib
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.errors import DeclarationErrors
from gentianthread.settings import Address, read_settings

from .base import TestCase

VALID = """
[node]
upstream = pricing-0
availability_zone = volos-a

[listeners]
callers = 127.0.0.1:8080
target = 127.0.0.1:8081
operator = [::1]:8082
peers = 10.0.0.1:8083

[target]
address = 127.0.0.1:9000

[peers]
source_address = 127.0.3.9
seeds = pricing-1 volos-a 10.0.0.2:8083, orders-0 larisa-a 10.0.0.3:8083
fleet_secret = 0123456789abcdef0123456789abcdef

[limits]
grace = 2 min
"""

FIELDS = [line.partition(" = ")[0] for line in VALID.splitlines() if " = " in line]


class TestSettings(TestCase):
    def read(self, text):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.ini"
            path.write_text(text)
            return read_settings(path)

    def errors(self, text):
        try:
            self.read(text)
        except DeclarationErrors as errors:
            return [(error.section, error.field, error.found) for error in errors.errors]
        return []

    def test_settings_are_read_with_units_and_defaults(self):
        """Guards against values in a wrong unit and wrong defaults."""
        settings = self.read(VALID)
        self.assertEqual(Address("::1", 8082), settings.operator)
        self.assertEqual((120_000.0, 60_000), (settings.grace_ms, settings.record_limit))
        self.assertEqual("127.0.3.9", settings.source_address)
        self.assertEqual(["pricing-1", "orders-0"], [seed.upstream_id for seed in settings.seeds])
        self.assertEqual(Address("10.0.0.3", 8083), settings.seeds[1].address)
        self.assertNotIn(settings.fleet_secret, repr(settings))

    def test_each_invalid_field_is_reported(self):
        """Guards against ignored or misread settings, and against a secret in an error message."""
        cases = (
            (
                "grace = 2 min",
                "grace = 2",
                "limits",
                "grace",
                "2",
            ),
            (
                "grace = 2 min",
                "grace = 2 h",
                "limits",
                "grace",
                "2 h",
            ),
            (
                "grace = 2 min",
                "grace = 5 days",
                "limits",
                "grace",
                "5 days",
            ),
            ("grace = 2 min", "window = 2 min", "limits", "window", "2 min"),
            (
                "orders-0 larisa-a 10.0.0.3:8083",
                "orders-0",
                "peers",
                "seeds",
                "pricing-1 volos-a 10.0.0.2:8083, orders-0",
            ),
            ("[limits]", "[limit]", "limit", "", "limit"),
            (
                "callers = 127.0.0.1:8080",
                "callers = node:8080",
                "listeners",
                "callers",
                "node:8080",
            ),
            (
                "callers = 127.0.0.1:8080",
                "callers = 1.1.1.1:99999",
                "listeners",
                "callers",
                "1.1.1.1:99999",
            ),
            (
                "target = 127.0.0.1:8081",
                "target = 10.0.0.1:8081",
                "listeners",
                "target",
                "10.0.0.1:8081",
            ),
            ("127.0.3.9", "127.0.3.9:80", "peers", "source_address", "127.0.3.9:80"),
            ("upstream = pricing-0\n", "", "node", "upstream", None),
            (
                "0123456789abcdef0123456789abcdef",
                "short secret",
                "peers",
                "fleet_secret",
                "12 characters",
            ),
        )
        for old, new, *expected in cases:
            self.assertIn(tuple(expected), self.errors(VALID.replace(old, new)), new)

    @given(st.text(max_size=300), st.integers(min_value=0, max_value=len(VALID)))
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    def test_any_text_gives_settings_or_a_typed_error(self, junk, offset):
        """Guards against a corrupt settings file that terminates the process with a traceback."""
        for text in (junk, VALID[:offset] + junk + VALID[offset:], VALID[:offset]):
            with contextlib.suppress(DeclarationErrors):
                self.read(text)

    @given(st.sampled_from(FIELDS), st.text(max_size=60))
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    def test_any_value_gives_settings_or_a_typed_error(self, field, value):
        """Guards against field formats that raise anything but a typed error."""
        line = next(line for line in VALID.splitlines() if line.startswith(f"{field} ="))
        with contextlib.suppress(DeclarationErrors):
            self.read(VALID.replace(line, f"{field} = {value}"))
