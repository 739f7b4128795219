"""Run the fault test: `python -m bench.faults --seed N --minutes M`."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .deployments import LAKESHORE, MANDALAKI, shorten
from .harness import run_deployment
from .report import judge
from .schedule import Stage, run_drawn, run_short

app = cyclopts.App(name="bench.faults", result_action="return_value")


@app.default
def faults(
    *, seed: int = 1, minutes: float = 4.0, short: bool = False, keep: Path | None = None
) -> int:
    """Test a small fleet of real node processes against faults.

    Exit codes: 0 no violation; 1 violations, or an invariant that nothing exercised.

    Parameters
    ----------
    seed
        Seed of load, network and faults.
    minutes
        Length of the run, half of it for each deployment.
    short
        Apply every fault once to 6 nodes, within 40 s.
    keep
        Folder that keeps the settings and logs of the nodes.
    """
    return asyncio.run(run(seed, minutes, short, keep))


async def run(seed: int, minutes: float, short: bool, keep: Path | None) -> int:
    """Run one or both deployments and print the report."""

    async def drawn(stage: Stage) -> None:
        await run_drawn(stage, minutes * 30)

    small = shorten(MANDALAKI if seed % 2 else LAKESHORE)
    chosen = [small] if short else [MANDALAKI, LAKESHORE]
    failed = False
    for deployment in chosen:
        schedule, scale = (run_short, 1.0) if short else (drawn, 2.0)
        folder = None if keep is None else keep / deployment.name
        evidence = await run_deployment(deployment, seed, schedule, scale, folder)
        lines, violations, unexercised = judge(evidence)
        print("\n".join([*evidence.log.notes, *lines]), flush=True)
        failed = failed or violations > 0 or bool(unexercised)
    print(f"seed={seed}\nverdict={'failed' if failed else 'passed'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
