"""Run every benchmark and print one verdict line for each."""

import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent

# Arguments of the short form that keeps the whole run under ten minutes.
SHORT_ARGUMENTS: dict[str, list[str]] = {
    "config_spread": ["--nodes", "20", "60", "200"],
    "control_cost": ["--nodes", "24", "--window-s", "6"],
    "faults": ["--short"],
    "overload": ["--variant", "gentianthread"],
    "quota_cost": ["--organisations", "8"],
    "rate_share": ["--deployment", "mandalaki"],
}

TIMEOUT_S = 180


def benchmarks() -> list[str]:
    """Return the names of all benchmarks: modules that run as programs, and packages."""
    programs = {path.stem for path in FOLDER.glob("*.py") if "__main__" in path.read_text()}
    packages = {path.parent.name for path in FOLDER.glob("*/__main__.py")}
    return sorted((programs | packages) - {"run"})


def run(name: str) -> int:
    """Run one benchmark and return its exit code."""
    command = [sys.executable, "-m", f"bench.{name}", "--seed", "1"]
    command += SHORT_ARGUMENTS.get(name, [])
    try:
        return subprocess.run(command, cwd=FOLDER.parent, timeout=TIMEOUT_S).returncode
    except subprocess.TimeoutExpired:
        return -1


def main() -> int:
    """Run all and return 1 if a bound did not hold."""
    verdicts = {}
    for name in benchmarks():
        print(f"=== {name}", flush=True)
        started = time.monotonic()
        verdicts[name] = (run(name), time.monotonic() - started)
    for name, (code, seconds) in verdicts.items():
        print(f"{name}: {'bounds hold' if code == 0 else f'FAILED (exit {code})'}, {seconds:.0f} s")
    return 1 if any(code for code, _ in verdicts.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
