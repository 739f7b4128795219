"""Use a withdrawn key at machines that are in touch while two others are frozen."""

import asyncio
import copy
import random
import signal
from pathlib import Path

from ..kit.fleet import OUTBOUND, Fleet
from ..kit.http import send
from ..kit.record import Record, run_case

# `config_apply` in the settings of the site `lakeshore-tan`, and the dose of `node_freeze` there.
CONFIG_APPLY_S = 2.0
FREEZE_S = 3.5
FREEZE_SHARE = 0.11

# Machines of each zone.
SIZES = {"cleveland": 7, "toledo": 7, "erie": 7}

PER_S = 20
PROBES = 15

ROUTE = {
    "host": "shop.example",
    "prefix": "/hours/",
    "kind": "idempotent",
    "timeout": "6000ms",
    "target_latency": "1500ms",
    "priority": 2,
    "service": "hourlog",
    "max_attempts": 2,
    "no_auth": False,
}
CONFIG = {
    "version": "r3",
    "routes": {"hours": ROUTE},
    "services": {
        name: {"health_path": "/healthz", "max_connections": 1894}
        for name in ("hourlog", "orderdesk", "manualvault", "dispatch")
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "tenants": {
        "calm": {"api_keys": ["key-calm", "key-old"], "rate_per_s": 4000, "burst": 4000},
    },
}
SERVICES = ("hourlog", "orderdesk", "manualvault", "dispatch")


async def ask(fleet: Fleet, name: str, number: str, key: str) -> int:
    """Send one request to a machine and return the status."""
    fields = [
        ("Host", "shop.example"),
        ("Request-Id", number),
        ("Timeout-Ms", "6000"),
        ("Key", key),
    ]
    host = fleet.machines[name].host
    answer = await send(host, OUTBOUND, "GET", f"/hours/{number}", fields, b"", 6.0)
    return 0 if answer is None else answer.status


async def press(fleet: Fleet, until_s: float) -> None:
    """Send requests at all machines."""
    loop = asyncio.get_running_loop()
    tasks, number = set(), 0
    while loop.time() < until_s:
        name = random.choice(list(fleet.machines))
        tasks.add(asyncio.ensure_future(ask(fleet, name, f"p{number}", "key-calm")))
        number += 1
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.wait(tasks)


async def play(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    loop = asyncio.get_running_loop()
    fleet = Fleet("config")
    try:
        await fleet.open(CONFIG)
        zones = [zone for zone, size in SIZES.items() for _ in range(size)]
        for number, zone in enumerate(zones):
            await fleet.add(SERVICES[number % 4], f"i-{number:02d}", zone, slots=299)
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(6.0)
        pressing = asyncio.ensure_future(press(fleet, loop.time() + 9.0))
        hosts = {machine.host: name for name, machine in fleet.machines.items()}
        fleet.store.callers.clear()
        await asyncio.sleep(2.0)
        watchers = [hosts[host] for host, _ in fleet.store.callers.most_common(2)]
        record.write(f"watchers: {watchers}")
        frozen = watchers if record.trouble else []
        assert len(frozen) <= FREEZE_SHARE * len(zones), frozen
        for name in frozen:
            fleet.signal(name, signal.SIGSTOP)
        record.write(f"frozen: {frozen}, {len(frozen)} of {len(zones)} machines")
        await asyncio.sleep(0.02)
        config = copy.deepcopy(CONFIG) | {"version": "r9"}
        config["tenants"]["calm"]["api_keys"] = ["key-calm"]
        fleet.store.put("op/config", config)
        written_s = loop.time()
        record.write("a configuration without one of the keys is written")
        applied: dict[str, float] = {}
        late: list[str] = []

        async def probe(name: str, number: int) -> None:
            await asyncio.sleep(written_s + CONFIG_APPLY_S + 0.02 + 0.1 * number - loop.time())
            sent_s = loop.time()
            status = await ask(fleet, name, f"{name}-{number}", "key-old")
            if status == 401:
                applied[name] = min(applied.get(name, sent_s), sent_s)
            else:
                late.append(f"{name}-{number} sent {sent_s - written_s:.3f} s after: {status}")

        probes = [
            asyncio.ensure_future(probe(name, number))
            for name in hosts.values()
            for number in range(PROBES)
            if name not in frozen
        ]
        await asyncio.sleep(FREEZE_S)
        for name in frozen:
            fleet.signal(name, signal.SIGCONT)
        await asyncio.gather(*probes)
        for name in sorted(applied, key=applied.get):
            zone = fleet.machines[name].upstream.zone
            record.write(
                f"{name} in {zone} refuses the key from {applied[name] - written_s:.3f} s on"
            )
        runs = {
            run.request_id for machine in fleet.machines.values() for run in machine.upstream.runs
        }
        late = [line for line in late if line.split(" ")[0] in runs]
        for line in late:
            record.write(f"run with the withdrawn key: {line}")
        await pressing
        return not late
    finally:
        await fleet.close()


run_case(Path(__file__).parent, play)
