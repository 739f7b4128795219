import contextlib
import hashlib
import io
import re
import tempfile
from pathlib import Path

from gentianthread.commands import ctl
from gentianthread.coordination.operations import read_plan
from gentianthread.state.plan_rules import parse_digest

from ..base import TestCase
from ..declaration_texts import SMALL, small_with


class TestCtl(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def write(self, name: str, text: str) -> str:
        path = self.root / name
        path.mkdir()
        (path / "all.ini").write_text(text)
        return str(path)

    def run_ctl(self, *arguments: str) -> tuple[int, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = ctl.run(list(arguments))
        return code, out.getvalue() + err.getvalue()

    def test_check(self):
        """Guards against a pipeline that publishes invalid declarations."""
        good, bad = self.write("good", SMALL), self.write("bad", small_with("= 400/s", "= 400"))
        self.assertEqual(ctl.EXIT_OK, self.run_ctl("check", good)[0])
        code, text = self.run_ctl("check", bad)
        self.assertEqual(ctl.EXIT_WRONG_CONTENT, code)
        self.assertIn("all.ini: [organisation alpha] rate: '400'", text)

    def test_diff(self):
        """Guards against a pipeline that does not stop at a risky change."""
        old = self.write("old", SMALL)
        new = self.write("new", small_with("rate = 400/s", "rate = 100/s"))
        self.assertEqual(ctl.EXIT_OK, self.run_ctl("diff", old, new)[0])
        code, text = self.run_ctl("diff", old, new, "--strict")
        self.assertEqual(ctl.EXIT_RISKY, code)
        self.assertIn("warning: rate cut", text)

    def test_bundle_can_be_read_back(self):
        """Guards against published values that nodes cannot read."""
        out = str(self.root / "out")
        code, _ = self.run_ctl("bundle", self.write("a", SMALL), "--version", "7", "--out", out)
        self.assertEqual(ctl.EXIT_OK, code)
        self.assertTrue((self.root / "out" / "bundle" / "7" / "0").exists())
        self.assertEqual(7, read_plan(Path(out)).version)

    def test_bundle_version_must_increase(self):
        """Guards against two contents under one version number, and against lower versions."""
        out = str(self.root / "out")
        first, other = self.write("a", SMALL), self.write("b", small_with("= 400/s", "= 4/s"))
        arguments = ("--version", "7", "--out", out)
        self.run_ctl("bundle", first, *arguments)
        self.assertEqual(ctl.EXIT_OK, self.run_ctl("bundle", first, *arguments)[0])
        self.assertEqual(ctl.EXIT_WRONG_CONTENT, self.run_ctl("bundle", other, *arguments)[0])
        lower = ("--version", "6", "--out", out)
        self.assertEqual(ctl.EXIT_WRONG_CONTENT, self.run_ctl("bundle", first, *lower)[0])

    def test_damaged_bundle(self):
        """Guards against comparing with an incomplete bundle."""
        out = str(self.root / "out")
        first = self.write("a", SMALL)
        self.run_ctl("bundle", first, "--version", "7", "--out", out)
        (self.root / "out" / "bundle" / "7" / "0").unlink()
        self.assertEqual(ctl.EXIT_WRONG_CONTENT, self.run_ctl("diff", out, first)[0])

    def test_new_key(self):
        """Guards against a printed section whose digest does not match the printed key."""
        code, text = self.run_ctl("key", "new", "alpha")
        self.assertEqual(ctl.EXIT_OK, code)
        key = re.search(r"^gtk_([a-z0-9]+)_[A-Za-z0-9_-]{43}$", text, re.MULTILINE)
        salt, digest = parse_digest(re.search(r"^digest = (.*)$", text, re.MULTILINE)[1])
        self.assertEqual(hashlib.sha256(salt + key[0].encode()).digest(), digest)
        self.assertIn(f"[key {key[1]}]", text)
        self.assertEqual(1, text.count(key[0]))

    def test_wrong_usage(self):
        """Guards against a mistyped command that exits with success."""
        for arguments in (
            ("chekc", "x"),
            ("bundle", "x"),
            ("key", "new", "No_Name"),
            ("bundle", "x", "--version", "0", "--out", "y"),
        ):
            self.assertEqual(ctl.EXIT_USAGE, self.run_ctl(*arguments)[0])

    def test_dump_without_node(self):
        """Guards against a traceback if the node is not running."""
        self.assertEqual(ctl.EXIT_UNAVAILABLE, self.run_ctl("dump", "127.0.0.1:1")[0])

    def test_help_describes_the_publishing_steps(self):
        """Guards against help that does not describe how to publish a revision."""
        _, text = self.run_ctl("--help")
        for word in ("check", "diff", "bundle", "Exit codes", "--install-completion"):
            self.assertIn(word, text)
