"""Hold the pages and examples against the code."""

import re
from pathlib import Path

from gentianthread.settings import read_settings
from gentianthread.standins.platform import load_instances
from gentianthread.standins.workload import read_workload
from gentianthread.state.declarations import read_folder

from .base import TestCase

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
TUTORIAL = ROOT / "examples" / "tutorial"

PATHS = re.compile(r"(?<![\w./-])(?:docs|examples|gentianthread|tests|bench)/[\w./-]*\w")
MODULES = re.compile(r"(?<![\w./-])\w+/\w+\.py")
LINKS = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
ROOT_FILES = re.compile(r"`([A-Z][\w-]*\.(?:md|txt))`")


def pages() -> list[Path]:
    """Return all pages."""
    return [*sorted(ROOT.glob("*.md")), *sorted(DOCS.glob("*.md"))]


def named_files(page: Path) -> dict[str, bool]:
    """Return the files and folders that a page names, and whether each exists."""
    text = page.read_text()
    found = {
        name: (ROOT / name).exists() for name in PATHS.findall(text) + ROOT_FILES.findall(text)
    }
    for name in MODULES.findall(text):
        found[name] = (ROOT / name).exists() or (ROOT / "gentianthread" / name).exists()
    found.update({name: (page.parent / name).exists() for name in LINKS.findall(text)})
    return found


class TestNamedFiles(TestCase):
    def test_every_file_that_a_page_names_exists(self):
        """Guards against a page that sends its reader to a file that was moved or never made."""
        missing = [
            f"{page.name}: {name}"
            for page in pages()
            for name, exists in named_files(page).items()
            if not exists
        ]
        self.assertEqual([], missing)

    def test_named_files_are_found_in_pages(self):
        """Guards against expressions that match nothing, so that the check above is empty."""
        self.assertIn("examples/tutorial/workload.ini", named_files(DOCS / "tutorial.md"))
        self.assertIn("callers.md", named_files(DOCS / "tutorial.md"))
        self.assertIn("docs/tutorial.md", named_files(ROOT / "README.md"))


class TestTutorial(TestCase):
    def test_inputs_are_valid_and_fit_together(self):
        """Guards against a tutorial whose first commands fail, or whose ports do not meet."""
        plan = read_folder(TUTORIAL / "declarations")
        settings = {path.stem: read_settings(path) for path in (TUTORIAL / "nodes").glob("*.ini")}
        self.assertEqual(set(plan.upstreams), set(settings))
        for name, node in settings.items():
            upstream = plan.upstreams[name]
            self.assertEqual(name, node.upstream_id)
            self.assertEqual(upstream.availability_zone, node.availability_zone)
            ports = (upstream.caller_port, upstream.peer_port, upstream.target_port)
            self.assertEqual(ports, (node.callers.port, node.peers.port, node.target.port))
        listed = {entry.upstream_id: entry for entry in load_instances(TUTORIAL / "instances.json")}
        self.assertEqual(
            {name: (up.host, up.peer_port) for name, up in plan.upstreams.items()},
            {name: (entry.host, entry.peer_port) for name, entry in listed.items()},
        )

    def test_workload_fits_the_declarations(self):
        """Guards against a workload for other nodes, routes or keys than those of the tutorial."""
        plan = read_folder(TUTORIAL / "declarations")
        workload = read_workload(TUTORIAL / "workload.ini")
        entries = {f"http://{up.host}:{up.caller_port}" for up in plan.upstreams.values()}
        self.assertEqual(set(), set(workload.entries) - entries)
        for stream in workload.streams:
            route = plan.match_route(stream.method, stream.path)
            self.assertEqual(stream.priority, route.priority)
            key = plan.keys[stream.key.split("_")[1]]
            self.assertEqual(stream.organisation, key.organisation_id)

    def test_keys_of_the_tutorial_are_declared(self):
        """Guards against keys that every node refuses."""
        declared = read_folder(TUTORIAL / "declarations").keys
        keys = re.findall(r"gtk_(\w+?)_", (TUTORIAL / "keys.sh").read_text())
        self.assertEqual(set(declared), set(keys))
