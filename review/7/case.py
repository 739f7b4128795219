"""Look for calls of an upstream that a stopping sidecar breaks off while they are worked on."""

import asyncio
import signal
from pathlib import Path

from ..kit.fleet import OUTBOUND, Fleet
from ..kit.http import Message, send
from ..kit.record import Record, run_case
from ..kit.upstream import Run, Upstream, WorkFailed

# `grace` in the settings of the site `lakeshore-tan`, and what the rule excuses.
GRACE_S = 6.0
EXCUSED_SENT_S = 3.0

# Response-time goal and time limit of the calls `stock-check` and `doc-index` of that site.
CALL_WORK_S = 1.0
CALL_LIMIT_MS = 3000
CALLS = 4

ORDERS = 6
CONFIG = {
    "version": "r3",
    "routes": {
        "order": {
            "host": "shop.example",
            "prefix": "/order/",
            "kind": "non_idempotent",
            "timeout": "6000ms",
            "target_latency": "1500ms",
            "priority": 0,
            "service": "orderdesk",
            "max_attempts": 2,
            "no_auth": False,
        },
        "index": {
            "host": "inner.example",
            "prefix": "/index/",
            "kind": "idempotent",
            "timeout": "3000ms",
            "target_latency": "1200ms",
            "priority": 1,
            "service": "manualvault",
            "max_attempts": 2,
            "no_auth": True,
        },
    },
    "services": {
        "orderdesk": {"health_path": "/healthz", "max_connections": 1894},
        "manualvault": {"health_path": "/healthz", "max_connections": 1894},
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "tenants": {
        "calm": {"api_keys": ["key-calm"], "priority": 1, "rate_per_s": 400, "burst": 400},
    },
}


async def play(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    loop = asyncio.get_running_loop()
    fleet = Fleet("stop")
    calls: dict[str, tuple[float, float, int]] = {}
    try:
        await fleet.open(CONFIG)
        await fleet.add("orderdesk", "desk-0", "cleveland")
        await fleet.add("manualvault", "vault-0", "toledo")
        await fleet.add("manualvault", "vault-1", "erie")

        async def run_order(upstream: Upstream, request: Message) -> None:
            for number in range(CALLS):
                call_id = f"{request.find('Request-Id')}-call-{number}"
                fields = [
                    ("Host", "inner.example"),
                    ("Request-Id", call_id),
                    ("Timeout-Ms", str(CALL_LIMIT_MS)),
                ]
                sent_s = loop.time()
                answer = await send(
                    upstream.host, OUTBOUND, "GET", f"/index/{call_id}", fields, b"", 3.0
                )
                status = 0 if answer is None else answer.status
                calls[call_id] = sent_s, loop.time(), status
                if status != 200:
                    raise WorkFailed(call_id)

        async def run_call(upstream: Upstream, request: Message) -> None:
            await asyncio.sleep(CALL_WORK_S)

        fleet.machines["desk-0"].upstream.work = run_order
        for name in ("vault-0", "vault-1"):
            fleet.machines[name].upstream.work = run_call
        await fleet.start()
        await fleet.wait_ready()
        await asyncio.sleep(4.0)

        async def order(name: str) -> int:
            fields = [
                ("Host", "shop.example"),
                ("Request-Id", f"order-{name}"),
                ("Timeout-Ms", "6000"),
                ("Key", "key-calm"),
            ]
            host = fleet.machines["vault-0"].host
            answer = await send(host, OUTBOUND, "POST", "/order/1", fields, b"two crates", 6.0)
            status = 0 if answer is None else answer.status
            record.write(f"order-{name}, sent to the machine of vault-0, is answered {status}")
            return status

        for number in range(3):
            # The sidecar learns from them that the upstream does not limit its rate.
            await order(f"before-{number}")
        calls.clear()
        record.write("SIGTERM to the sidecar of desk-0" if record.trouble else "no SIGTERM")
        term_s = loop.time()
        if record.trouble:
            fleet.signal("desk-0", signal.SIGTERM)

        async def order_later(number: int) -> int:
            await asyncio.sleep(0.7 + 0.17 * number)
            return await order(str(number))

        statuses = await asyncio.gather(*map(order_later, range(ORDERS)))
        if record.trouble:
            async with asyncio.timeout(GRACE_S):
                code = await fleet.machines["desk-0"].process.wait()
            record.write(f"the sidecar ended {loop.time() - term_s:.3f} s after SIGTERM: {code}")
        await asyncio.sleep(1.0)
        runs: dict[str, Run] = {
            run.request_id: run
            for name in ("vault-0", "vault-1")
            for run in fleet.machines[name].upstream.runs
        }
        lost = []
        for call_id, (sent_s, ended_s, status) in calls.items():
            run = runs.get(call_id)
            worked = "not run"
            if run is not None:
                worked = f"run from {run.began_s - term_s:.3f} to {run.ended_s - term_s:.3f} s"
            record.write(
                f"{call_id}: sent {sent_s - term_s:.3f} s, answered {status} at"
                f" {ended_s - term_s:.3f} s after SIGTERM; {worked}"
            )
            broken_off = run is not None and run.ended_s >= ended_s - 0.05 and status != 200
            if broken_off and sent_s - term_s > EXCUSED_SENT_S:
                lost.append(call_id)
        record.write(f"orders: {statuses}; calls broken off while they were worked on: {lost}")
        return not lost
    finally:
        await fleet.close()


run_case(Path(__file__).parent, play)
