"""Run a load experiment against nodes on this machine (`gentian-load`)."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .. import __version__
from ..errors import DeclarationErrors
from ..standins.callers import Callers
from ..standins.results import PlotsUnavailable
from ..standins.workload import read_workload

EXIT_OK = 0
EXIT_CORRUPT = 1
EXIT_BAD_INPUT = 2

app = cyclopts.App(
    name="gentian-load",
    version=__version__,
    help="Send open-loop load to nodes on loopback addresses and report goodput.\n\n"
    "Exit codes: 0 no answer was corrupt, 1 an answer was corrupt, 2 invalid input.",
)


@app.default
def run(
    workload: Path,
    *,
    seed: int = 1,
    json: bool = False,
    csv: Path | None = None,
    png: Path | None = None,
) -> int:
    """Run the experiment declared in a workload file.

    Args:
        workload: INI file with [experiment] and [stream NAME] sections; see docs/tutorial.md.
        seed: Random seed of arrival times and retry delays.
        json: Print JSON instead of a table.
        csv: Also write goodput per second and group to this file.
        png: Also plot goodput over time to this file (needs the extra `plots`).
    """
    try:
        experiment = read_workload(workload)
    except DeclarationErrors as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    results = asyncio.run(Callers(experiment, seed).run())
    print(results.json(experiment.duration_s) if json else results.table(experiment.duration_s))
    if csv:
        results.write_csv(csv)
    if png:
        try:
            trigger_s = (experiment.trigger_start_s, experiment.trigger_end_s)
            results.write_png(png, trigger_s, workload.stem)
        except PlotsUnavailable as error:
            print(error, file=sys.stderr)
            return EXIT_BAD_INPUT
    corrupt = results.summary(experiment.duration_s).get("all", {}).get("corrupt", 0)
    return EXIT_CORRUPT if corrupt else EXIT_OK


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
