"""Run one stand-in target as a process: `python -m bench.support.target PORT INNER_PORT`."""

import asyncio
import gc
import sys

from gentianthread.standins.target import StandinTarget


async def run(port: int, inner_port: int) -> None:
    """Serve until the process ends."""
    target = StandinTarget()
    target.node_url = f"http://127.0.0.1:{inner_port}"
    # A record of every request would grow during a long run.
    target.keep_seen = False
    await target.open(port=port)
    gc.freeze()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), int(sys.argv[2])))
