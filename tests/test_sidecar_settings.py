import re
import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory

from gentianthread.errors import DeclarationErrors
from gentianthread.sidecar_settings import SECTIONS, read_sidecar_settings

from .base import TestCase

ROOT = Path(__file__).resolve().parent.parent
TEMPLATE = ROOT / "deploy" / "sidecar.ini.template"
DEPLOY_FILE = ROOT / "deploy" / "system.toml"

# Values that the platform substitutes into the template, in the format of its documentation.
TEMPLATE_VALUES = {
    "ip": "10.1.0.26",
    "zone": "larisa-a",
    "service": "huvo11a",
    "listen.outbound": "10.1.0.26:8548",
    "listen.ready": "10.1.0.26:8546",
    "port_range.0": "7000",
    "app_addr": "10.1.0.26:8547",
    "platform.address": "10.200.1.7:8545",
    "heartbeat": "2.5s",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_slack": "50",
    "bounds.budget_window": "10s",
    "bounds.grace": "6s",
    "limits.memory_mb": "200",
    "limits.max_fds": "4100",
}

# Tables of the platform's fields, over which sections of a variable are repeated.
TEMPLATE_TABLES = {"zones": {"larisa-a": "thessaly", "volos-a": "thessaly"}}
WARM_UP_BOUNDS = {"bounds.warmup_overage": "1.5", "bounds.warmup_slack": "8"}

SECTION = re.compile(r"\{\{#(.+?)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def render_template(**changes):
    """Render the template as the platform does; its placeholders are plain fields."""
    values = TEMPLATE_VALUES | changes
    return re.sub(r"\{\{(.+?)\}\}", lambda match: values[match.group(1)], TEMPLATE.read_text())


def render_environment(**changes):
    """Render the variables of the deploy file as the platform does."""
    values = TEMPLATE_VALUES | changes

    def render_section(match):
        name, text = match.groups()
        table = TEMPLATE_TABLES[name]
        entries = [text.replace("{{@}}", key).replace("{{.}}", table[key]) for key in table]
        return ",".join(entry.replace("{{,}}", "") for entry in entries)

    variables = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["sidecar"]["env"]
    return {
        name: re.sub(
            r"\{\{(.+?)\}\}",
            lambda match: values.get(match.group(1), ""),
            SECTION.sub(render_section, text),
        )
        for name, text in variables.items()
    }


class TestSidecarSettings(TestCase):
    def read(self, text, environment=None):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.ini"
            path.write_text(text)
            return read_sidecar_settings(path, environment or {})

    def test_template_renders_to_valid_settings(self):
        """Guards against a deployment template with which processes do not start."""
        settings = self.read(render_template())
        self.assertEqual(("10.1.0.26", 8548), (settings.outbound.host, settings.outbound.port))
        self.assertEqual((7000, 8547), (settings.peer_port, settings.target.port))
        self.assertEqual((10_000.0, 6_000.0), (settings.retry_window_ms, settings.grace_ms))
        self.assertEqual(("mesh", "huvo11a"), (settings.adapter, settings.service_id))
        self.assertEqual((200, 2_500.0), (settings.memory_mb, settings.heartbeat_ms))
        self.assertEqual(
            ({}, 1.0, 0.0), (settings.regions, settings.warm_up_overage, settings.warm_up_slack)
        )

    def test_variables_of_the_deploy_file_complete_the_settings(self):
        """Guards against figures that the platform states and nobody reads."""
        settings = self.read(render_template(), render_environment(**WARM_UP_BOUNDS))
        self.assertEqual((4_100, TEMPLATE_TABLES["zones"]), (settings.max_fds, settings.regions))
        self.assertEqual((1.5, 8.0), (settings.warm_up_overage, settings.warm_up_slack))

    def test_empty_variables_leave_the_defaults(self):
        """Guards against a platform without the field on which processes do not start."""
        settings = self.read(render_template(), render_environment())
        self.assertEqual((1.0, 0.0), (settings.warm_up_overage, settings.warm_up_slack))

    def test_fields_of_the_file_go_before_variables(self):
        """Guards against a variable of an earlier start that hides a changed file."""
        settings = self.read(render_template(), {"GENTIAN_LIMITS_MEMORY_MB": "999"})
        self.assertEqual(200, settings.memory_mb)

    def test_invalid_variables_are_reported(self):
        """Guards against starting with an invalid variable, and errors without the field name."""
        cases = (
            ({"limits.max_fds": "many"}, "[limits] max_fds"),
            ({"bounds.warmup_overage": "x"}, "[warm_up] overage"),
        )
        for changes, location in cases:
            error = self.assertRaises(
                DeclarationErrors, self.read, render_template(), render_environment(**changes)
            )
            self.assertIn(location, str(error))
        error = self.assertRaises(
            DeclarationErrors, self.read, render_template() + "\n[zones]\nregions = larisa-a\n"
        )
        self.assertIn("[zones] regions", str(error))

    def test_invalid_fields_are_reported(self):
        """Guards against starting with an invalid value, and errors without the field name."""
        cases = (
            (render_template(ip=""), "[node] host"),
            (render_template(app_addr="10.1.0.26"), "[target] address"),
            (render_template(**{"bounds.grace": "6"}), "[stop] grace"),
            (render_template(heartbeat="0s"), "[platform] heartbeat"),
            (render_template(**{"port_range.0": "70000"}), "[listeners] peer_port"),
            (render_template(**{"limits.memory_mb": "0"}), "[limits] memory_mb"),
            (render_template() + "\n[other]\nx = 1\n", "other"),
            (render_template() + "\n[log]\nlevle = info\n", "[log] levle"),
        )
        for text, location in cases:
            error = self.assertRaises(DeclarationErrors, self.read, text)
            self.assertIn(location, str(error))

    def test_secret_is_not_shown(self):
        """Guards against the fleet secret in logs and tracebacks."""
        text = render_template().replace("[node]\n", "[node]\nfleet_secret = correct-horse\n")
        self.assertNotIn("correct-horse", repr(self.read(text)))

    def test_operations_page_documents_every_section(self):
        """Guards against undocumented sections."""
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        self.assertEqual([], [name for name in SECTIONS if f"`[{name}]`" not in page])
