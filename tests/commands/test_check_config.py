import contextlib
import io
import json
import tempfile
from pathlib import Path

from gentianthread.commands import ctl
from gentianthread.standins.mesh import plan_document

from ..base import TestCase


class TestCheckConfig(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def write(self, name, document):
        path = self.root / name
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    def run_check(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = ctl.run(["check-config", *arguments])
        return code, out.getvalue(), err.getvalue()

    def check(self, document, *arguments):
        code, out, _ = self.run_check(self.write("new.json", document), *arguments)
        return code, out

    def document(self, version=2, **changes):
        document = plan_document(version)
        for path, value in changes.items():
            section, item, field = path.split("__")
            document[section][item][field] = value
        return document

    def test_valid_document(self):
        """Guards against a pipeline that stops at a document without faults."""
        code, out = self.check(self.document())
        self.assertEqual(ctl.EXIT_OK, code)
        self.assertIn("0 errors, 0 warnings", out)

    def test_unreadable_value(self):
        """Guards against a value that nodes replace, and that shows only in their logs."""
        code, out = self.check(self.document(routes__stock__kind="uplaod"))
        self.assertEqual(ctl.EXIT_ERRORS, code)
        line = out.splitlines()[0]
        for text in ("error: routes.stock.kind", "'uplaod'", "one of", "non_idempotent"):
            self.assertIn(text, line)

    def test_tenant_that_is_no_table(self):
        """Guards against a statement that nodes leave it out, and against its text in the output.

        Nodes keep it without keys: without any tenant, requests would need no key.
        """
        document = self.document()
        document["tenants"]["other"] = "secret"
        code, out = self.check(document)
        self.assertEqual(ctl.EXIT_ERRORS, code)
        self.assertIn("error: tenants.other: found a text", out)
        self.assertIn("used instead: an organisation without keys", out)
        self.assertNotIn("secret", out)

    def test_invalid_documents(self):
        """Guards against a document that all nodes refuse, with the entry that makes it so."""
        duplicate = self.document()
        duplicate["routes"]["again"] = duplicate["routes"]["stock"]
        same_key = self.document()
        same_key["tenants"]["other"] = {"api_keys": ["key-acme"]}
        for document, texts in (
            ("{", ("error: document", "a JSON document")),
            ("[1]", ("error: document", "a table")),
            (self.document() | {"version": "3"}, ("error: version: found '3'", "r and a number")),
            (self.document() | {"routes": 3}, ("error: routes: found 3",)),
            (duplicate, ("error: routes.again", "that of stock is the same")),
            (same_key, ("error: tenants.other", "acme has one of them")),
        ):
            code, out = self.check(document)
            self.assertEqual(ctl.EXIT_ERRORS, code, document)
            self.assertIn("refuse the whole document", out)
            self.assertNotIn("key-acme", out)
            for text in texts:
                self.assertIn(text, out)

    def test_name_that_occurs_twice(self):
        """Guards against an entry that a later one of the same name replaces silently."""
        text = json.dumps(self.document())
        repeated = text.replace('"stock": {', '"order": {', 1)
        code, out = self.check(repeated)
        self.assertEqual(ctl.EXIT_ERRORS, code)
        self.assertIn("the name 'order' more than once", out)

    def test_warnings(self):
        """Guards against a contradiction that passes a pipeline, under the document's names."""
        code, out = self.check(self.document(routes__stock__target_latency="9s"))
        self.assertEqual(ctl.EXIT_WARNINGS, code)
        self.assertIn("warning: routes.stock.target_latency: 9000 ms", out)

    def test_upper_case_host_is_no_finding(self):
        """Guards against a finding about a host that nodes compare without case."""
        self.assertEqual(ctl.EXIT_OK, self.check(self.document(routes__stock__host="Shop.X"))[0])

    def test_regions(self):
        """Guards against regions on the command line that are not compared."""
        document = self.document(routes__stock__allowed_regions=["nroth"])
        self.assertEqual(ctl.EXIT_OK, self.check(document, "--regions", "nroth,south")[0])
        code, out = self.check(document, "--regions", "north, south")
        self.assertEqual(ctl.EXIT_WARNINGS, code)
        self.assertIn("routes.stock.allowed_regions: nroth", out)

    def test_against_the_version_in_force(self):
        """Guards against a step that takes a route from callers, or that no node takes."""
        force = self.write("force.json", self.document(2))
        self.assertEqual(ctl.EXIT_OK, self.check(self.document(3), "--against", force)[0])
        fewer = self.document(3)
        del fewer["routes"]["ledger"]
        code, out = self.check(fewer, "--against", force)
        self.assertEqual(ctl.EXIT_WARNINGS, code)
        self.assertIn("warning: routes.ledger: route is removed", out)
        code, out = self.check(fewer | {"version": "r2"}, "--against", force)
        self.assertEqual(ctl.EXIT_ERRORS, code)
        self.assertIn("error: version: r2 while r2 is in force", out)

    def test_json(self):
        """Guards against output that a program cannot read."""
        bad = self.document(routes__stock__kind="x", tenants__acme__burst=0)
        code, out = self.check(bad, "--json")
        self.assertEqual(ctl.EXIT_ERRORS, code)
        found = json.loads(out)
        self.assertEqual({"severity", "kind", "field", "found", "expected"}, set(found[0]))
        self.assertEqual(("error", "unreadable-value"), (found[0]["severity"], found[0]["kind"]))
        self.assertIn("tenants.acme.burst", [each["field"] for each in found])
        for document in ("{", '{"version": "r1"}'):
            json.loads(self.check(document, "--json")[1])

    def test_files_that_cannot_be_read(self):
        """Guards against a traceback, and against success without a check."""
        good, bad = self.write("good.json", self.document()), self.write("bad.json", "{")
        missing = str(self.root / "missing.json")
        for arguments in (
            (missing,),
            (str(self.root),),
            (good, "--against", missing),
            (good, "--against", bad),
        ):
            code, out, err = self.run_check(*arguments)
            self.assertEqual(ctl.EXIT_ERRORS, code)
            self.assertEqual("", out)
            self.assertEqual(1, len(err.splitlines()))
        self.assertIn("bad.json", err)
