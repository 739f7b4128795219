"""Run the test suite and print its verdict as `N passed, N failed`."""

import os
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red_ids(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = path.read_text().splitlines() if path.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a nested suite in order."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        cases.extend(flatten(item) if isinstance(item, unittest.TestSuite) else [item])
    return cases


def main() -> int:
    """Run the named test modules, or all of them, and return the exit code."""
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    names = sys.argv[1:]
    found = (
        loader.loadTestsFromNames(names) if names else loader.discover("tests", top_level_dir=".")
    )
    red = known_red_ids()
    cases = flatten(found)
    skipped = [case for case in cases if case.id() in red]
    chosen = unittest.TestSuite(case for case in cases if case.id() not in red)
    verbosity = 2 if os.environ.get("VERBOSE") else 1
    result = unittest.TextTestRunner(verbosity=verbosity, buffer=False).run(chosen)
    for case in skipped:
        print(f"known red, not run: {case.id()}")
    failed = len({test.id() for test, _ in [*result.failures, *result.errors]})
    failed += len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
