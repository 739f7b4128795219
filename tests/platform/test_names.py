import attrs

from gentianthread.platform.names import DIALECT

from ..base import TestCase
from ..test_layers import PACKAGE

# Names of the platform's API calls and document fields that only the adapter may use.
PLATFORM_NAMES = (
    "kv-watch",
    "kv-range",
    "kv-key",
    "op/evacuate",
    "weighted_services",
    "warmup_left",
    "api_keys",
)


class TestNames(TestCase):
    def test_only_the_adapter_uses_wire_names(self):
        """Guards against platform names in modules outside the adapter."""
        header_names = attrs.asdict(DIALECT)
        names = [f'"{header_names[field]}"' for field in header_names if field != "retry_after"]
        names += PLATFORM_NAMES
        violations = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for path in PACKAGE.rglob("*.py")
            if path.parent.name not in ("platform", "standins")
            for name in names
            if name in path.read_text()
        ]
        self.assertEqual([], violations)

    def test_adapter_stays_small(self):
        """Guards against decision logic in the adapter."""
        lines = sum(
            len(path.read_text().splitlines()) for path in (PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 800)
