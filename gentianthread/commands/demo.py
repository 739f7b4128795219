"""Show the request path in one process (`make demo`)."""

import asyncio
import sys

import aiohttp

from ..standins.fleet import Fleet, key_of, make_plan


async def run() -> int:
    """Run the demo and return the exit code."""
    fleet = Fleet(make_plan({"catalogue": 1, "pricing": 1}, ("alpha", "beta")))
    await fleet.start()
    ok = True
    try:
        entry = fleet.members["catalogue-0"]
        async with aiohttp.ClientSession() as session:
            headers = {"Authorization": f"Bearer {key_of('alpha')}"}
            async with session.get(f"{entry.url}/pricing?id=first", headers=headers) as answer:
                body = await answer.read()
                print(f"status={answer.status} body_bytes={len(body)}")
                ok = answer.status == 200 and len(body) == 100
        seen = fleet.members["pricing-0"].target.seen
        leaked = any("gtk_" in value for one in seen for _, value in one.headers)
        print(f"executions={len(seen)} key_at_target={leaked}")
        ok = ok and len(seen) == 1 and not leaked
    finally:
        await fleet.stop()
    return 0 if ok else 1


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(run()))


if __name__ == "__main__":
    main()
