"""Count the control messages and bytes of the quota at design scale, on virtual time."""

import argparse
import asyncio
import random
import sys
from collections import defaultdict

from gentianthread.ids import OrganisationId, UpstreamId

from .quota_traffic import Limits
from .quota_world import World, run_virtual

NODES, ZONES = 670, 8
DELAY_MS = 5.0
WARM_UP_MS = 8_000.0
MEASURED_MS = 3_000.0
ORGANISATION_NUMBERS = (8, 50)
# Requests per second over the fleet. Draws depend on which organisations a node serves, hardly on
# how many requests it has, so a part of the design load of 130,000/s is enough.
REQUESTS_PER_S = 6_000.0
# All control work together may cost 15 KB/s per node; the quota gets less than half of it.
BUDGET_BYTES_PER_S = 7_500.0


async def offer_load(world: World, organisations: list[str], until_ms: float, seed: int) -> None:
    """Send even traffic to random nodes."""
    source = random.Random(seed)
    names = sorted(world.fleet.newest_nodes)
    tasks = set()
    while world.clock.now_ms() < until_ms:
        node = world.fleet.newest_nodes[source.choice(names)]
        name = OrganisationId(source.choice(organisations))
        task = asyncio.ensure_future(world.fleet.acquire(node, name, 100.0))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await world.clock.sleep_ms(source.expovariate(REQUESTS_PER_S / 1000))
    await asyncio.gather(*tasks)


def run(number: int, seed: int) -> dict[str, tuple[int, float, float, float]]:
    """Return nodes, messages/s, bytes/s and largest bytes/s by role."""
    names = [f"org-{index:02}" for index in range(number)]
    rate = REQUESTS_PER_S / number / 0.7
    organisations = {name: Limits(rate, 2 * rate) for name in names}
    zones = {f"z{index}": len(range(index, NODES, ZONES)) for index in range(ZONES)}

    async def work() -> dict[str, tuple[int, float, float, float]]:
        world = World(zones, DELAY_MS, organisations, seed, 100.0)
        world.fleet.start()
        await world.clock.sleep_ms(WARM_UP_MS - 1_000.0)
        until_ms = WARM_UP_MS + MEASURED_MS
        load = asyncio.ensure_future(offer_load(world, names, until_ms, seed))
        await world.clock.sleep_ms(1_000.0)
        world.fabric.reset_counts()
        await load
        roles: dict[str, list[UpstreamId]] = defaultdict(list)
        holders, fleet_holders = world.holders(), world.fleet_holders()
        for name in sorted(world.fleet.newest_nodes):
            role = "member"
            if name in holders:
                role = "fleet-holder" if name in fleet_holders else "zone-holder"
            roles[role].append(name)
        span_s = MEASURED_MS / 1000
        counted = {
            role: (
                len(nodes),
                sum(world.fabric.messages[name] for name in nodes) / len(nodes) / span_s,
                sum(world.fabric.bytes[name] for name in nodes) / len(nodes) / span_s,
                max(world.fabric.bytes[name] for name in nodes) / span_s,
            )
            for role, nodes in roles.items()
        }
        await world.fleet.close()
        return counted

    return run_virtual(work)


def main() -> int:
    """Print the cost by role and return 1 if a role exceeds the budget."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--organisations", type=int, choices=ORGANISATION_NUMBERS)
    options = parser.parse_args()
    print("organisations role          nodes   msg/s     B/s  max B/s   (sent and received)")
    lines, broken = [], 0
    numbers = [options.organisations] if options.organisations else ORGANISATION_NUMBERS
    for number in numbers:
        for role, (nodes, messages, size, most) in sorted(run(number, options.seed).items()):
            print(f"{number:13} {role:13} {nodes:5} {messages:7.1f} {size:7.0f} {most:8.0f}")
            lines.append(
                f"organisations={number} role={role} nodes={nodes} messages_per_s={messages:.6g}"
                f" bytes_per_s={size:.6g} most_bytes_per_s={most:.6g}"
            )
            broken += size > BUDGET_BYTES_PER_S
    print(*lines, sep="\n")
    print(f"broken_budgets={broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
