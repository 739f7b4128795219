"""Run the tests, one process per test module, and print the totals as `N passed, N failed`."""

import argparse
import io
import multiprocessing
import os
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Some tests start processes of their own; more workers than half of the cores would slow them down.
DEFAULT_WORKERS = max(1, min(5, (os.cpu_count() or 2) // 2))

# These modules take much memory and processor time; each runs alone, after all others.
SERIAL_MODULES = ("tests.coordination.mesh.test_untrusted_callers",)

SLOWEST_MODULES_SHOWN = 5


@attrs.frozen
class ModuleReport:
    """Represent the results of a test module.

    Attributes:
        name: Name of the module.
        passed: Number of tests that passed.
        failed: Ids of the tests that failed.
        skipped: Number of skipped tests.
        known_red: Ids of the tests listed in KNOWN-RED.txt; they were not run.
        output: Output of the test runner.
        duration_s: Duration of the run.
    """

    name: str
    passed: int
    failed: tuple[str, ...]
    skipped: int
    known_red: tuple[str, ...]
    output: str
    duration_s: float


def known_red_ids(path: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    lines = path.read_text().splitlines() if path.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def test_modules() -> list[str]:
    """Return the names of all test modules."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a nested suite, in order."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        cases.extend(flatten(item) if isinstance(item, unittest.TestSuite) else [item])
    return cases


def run_module(name: str) -> ModuleReport:
    """Run a test module, class or method and return its report."""
    started_s = time.monotonic()
    cases = flatten(unittest.TestLoader().loadTestsFromName(name))
    known_red = known_red_ids()
    suite = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream=stream).run(suite)
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    failed.update(test.id() for test in result.unexpectedSuccesses)
    skipped = len(result.skipped)
    return ModuleReport(
        name,
        result.testsRun - len(failed) - skipped,
        tuple(sorted(failed)),
        skipped,
        tuple(case.id() for case in cases if case.id() in known_red),
        stream.getvalue(),
        time.monotonic() - started_s,
    )


def run_all(names: list[str], workers: int) -> list[ModuleReport]:
    """Run each test module in its own process and print the output of failed modules."""
    context = multiprocessing.get_context("spawn")
    reports = []
    with ProcessPoolExecutor(workers, mp_context=context, max_tasks_per_child=1) as pool:
        for future in as_completed([pool.submit(run_module, name) for name in names]):
            report = future.result()
            reports.append(report)
            if report.failed:
                print(f"=== {report.name}\n{report.output}", flush=True)
    return reports


def is_serial(name: str) -> bool:
    """Return whether a module, or the module of a class or method, runs alone."""
    return any(name == module or name.startswith(f"{module}.") for module in SERIAL_MODULES)


def main() -> int:
    """Run the named tests, or all of them, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="modules, classes or methods; all by default")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    arguments = parser.parse_args()
    names = arguments.names or test_modules()
    reports = run_all([name for name in names if not is_serial(name)], arguments.workers)
    reports += run_all([name for name in names if is_serial(name)], 1)
    for report in sorted(reports, key=lambda report: -report.duration_s)[:SLOWEST_MODULES_SHOWN]:
        print(f"{report.duration_s:6.1f} s {report.name}")
    for report in reports:
        for name in report.known_red:
            print(f"known red, not run: {name}")
    passed = sum(report.passed for report in reports)
    failed = sum(len(report.failed) for report in reports)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
