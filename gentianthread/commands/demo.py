"""Demonstrate the request path in a single process (`make demo`).

Exit codes: 0 all checks passed, 1 a check failed.
"""

import asyncio
import sys

import cyclopts

from .. import __version__
from ..logs import make_handler
from ..standins.demo_report import run_demo

# The demo normally takes a few seconds; a run that reaches this limit hangs.
TIMEOUT_S = 100

app = cyclopts.App(
    name="demo",
    help="Run a small fleet with stand-in targets in one process and print the results.",
    version=__version__,
    result_action="return_value",
)


@app.default
def demo() -> int:
    """Run the demo and return the exit code."""

    async def run_with_timeout():
        async with asyncio.timeout(TIMEOUT_S):
            return await run_demo()

    with make_handler("human", "warning").applicationbound():
        report = asyncio.run(run_with_timeout())
    for name, value in report.values.items():
        print(f"{name}={value}")
    for name in report.failures:
        print(f"check failed: {name}", file=sys.stderr)
    return 1 if report.failures else 0


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
