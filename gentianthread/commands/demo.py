"""Show the request path in one process (`make demo`).

Exit codes: 0 every check held, 1 a check did not hold.
"""

import asyncio
import sys

import cyclopts

from .. import __version__
from ..logs import make_handler
from ..standins.demo_report import run_demo

# The demo takes a few seconds; a longer run shows that something hangs.
TIMEOUT_S = 100

app = cyclopts.App(
    name="demo",
    help="Run a small fleet with stand-in targets in one process and print what it does.",
    version=__version__,
    result_action="return_value",
)


@app.default
def demo() -> int:
    """Run the demo and return the exit code."""

    async def bounded():
        async with asyncio.timeout(TIMEOUT_S):
            return await run_demo()

    with make_handler("human", "warning").applicationbound():
        report = asyncio.run(bounded())
    for name, value in report.values.items():
        print(f"{name}={value}")
    for name in report.failures:
        print(f"check failed: {name}", file=sys.stderr)
    return 1 if report.failures else 0


def main() -> None:
    """Run as a program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
