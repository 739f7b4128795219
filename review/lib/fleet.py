"""Start sidecars as the deploy file does, beside stand-ins on loopback addresses."""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from .store import Store
from .upstream import Upstream

ROOT = Path(__file__).resolve().parent.parent.parent
MEMORY_MB = 300
GRACE_S = 6.0
KEY = "key-acme"
HOST = "shop.example"


def plan(version=1, timeout="6000ms", max_body=67_108_864):
    """Return a configuration with three services and one tenant."""
    return {
        "version": f"r{version}",
        "routes": {
            "r-read": {
                "host": HOST,
                "prefix": "/read/",
                "kind": "idempotent",
                "timeout": timeout,
                "target_latency": "1500ms",
                "priority": 2,
                "service": "reads",
                "max_attempts": 2,
                "no_auth": False,
            },
            "r-pull": {
                "host": HOST,
                "prefix": "/pull/",
                "kind": "download",
                "timeout": timeout,
                "target_latency": "1500ms",
                "priority": 2,
                "service": "reads",
                "max_attempts": 2,
                "no_auth": False,
            },
            "r-order": {
                "host": HOST,
                "prefix": "/order/",
                "kind": "non_idempotent",
                "timeout": timeout,
                "target_latency": "1500ms",
                "priority": 0,
                "service": "orders",
                "max_attempts": 2,
                "no_auth": False,
            },
            "r-booking": {
                "host": HOST,
                "prefix": "/booking/",
                "kind": "non_idempotent",
                "timeout": timeout,
                "target_latency": "1500ms",
                "priority": 0,
                "service": "bookings",
                "max_attempts": 2,
                "no_auth": False,
            },
        },
        "services": {
            "reads": {"health_path": "/healthz", "max_connections": 448},
            "orders": {"health_path": "/healthz", "max_connections": 448},
            "bookings": {"health_path": "/healthz", "max_connections": 448},
        },
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": max_body,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": {"acme": {"api_keys": [KEY], "priority": 1, "rate_per_s": 5000, "burst": 5000}},
    }


class Record:
    """Write what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._start_s = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()

    def run(self, upstream, request_id, text):
        self.write(f"upstream {upstream.upstream_id} {request_id} {text}")


class Machine:
    """Hold one upstream and the sidecar process beside it.

    Attributes:
        ends: Exit codes of processes that ended although nobody had stopped or killed them.
        peak_mb: Largest resident memory of its processes.
    """

    def __init__(self, fleet, host, upstream):
        self.fleet, self.host, self.upstream = fleet, host, upstream
        self.settings = fleet.folder / f"{upstream.upstream_id}.ini"
        self.process = None
        self.starts = 0
        self.stopping = False
        self.ends = []
        self.peak_mb = 0.0
        self._watch = None

    async def start(self):
        """Start the process as the deploy file says, and keep it running."""
        self.write_settings()
        self.stopping = False
        self.starts += 1
        log = self.settings.with_suffix(".log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command,
            str(self.settings),
            cwd=ROOT,
            env=self.fleet.environment(self.settings),
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record.write(f"sidecar {self.host} started, start {self.starts}")
        self._watch = asyncio.ensure_future(self._watch_process(self.process))

    def write_settings(self):
        text = render_template(self.fleet.template, self.fleet.fields(self))
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.settings)

    async def _watch_process(self, process):
        """Enforce the memory limit as the platform does, and restart a process that ended."""
        status = Path(f"/proc/{process.pid}/status")
        while process.returncode is None:
            try:
                found = re.search(r"VmRSS:\s+(\d+) kB", status.read_text())
            except OSError:
                found = None
            memory_mb = int(found.group(1)) / 1024 if found else 0.0
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self.fleet.record.write(
                    f"platform kills sidecar {self.host}: {memory_mb:.0f} MB is over {MEMORY_MB} MB"
                )
                process.kill()
                await process.wait()
                break
            await asyncio.sleep(0.01)
        if self.stopping:
            self.fleet.record.write(f"sidecar {self.host} ended with {process.returncode}")
            return
        self.ends.append(process.returncode)
        self.fleet.record.write(f"sidecar {self.host} ENDED BY ITSELF with {process.returncode}")
        if not self.fleet.closing:
            await asyncio.sleep(0.3)
            await self.start()

    def signal(self, number):
        self.fleet.record.write(f"signal {signal.Signals(number).name} to sidecar {self.host}")
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stopping = True
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self):
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.fleet.ready_port)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                return b" 200 " in await reader.readuntil(b"\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()


class Fleet:
    """Run a store and machines on loopback addresses of their own."""

    def __init__(self, record, grace_s=GRACE_S):
        self.record = record
        self.grace_s = grace_s
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network, base = _free_network()
        self.target_port, self.outbound_port, self.ready_port = base, base + 1, base + 2
        self.peer_port, self.store_port = base + 3, base + 4
        self.store = Store(f"{self.network}.250", self.store_port)
        self.machines = []
        self.closing = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        # The last word is the path of the settings file on the platform.
        self.command = role["run"].split(" ")[:-1]
        self.template = (ROOT / role["template"]).read_text()

    def environment(self, settings):
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        return kept | {
            "PYTHONPATH": f"{ROOT}/target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "GENTIANTHREAD_NODE_FILE": str(settings),
        }

    def fields(self, machine):
        """Return the fields of the settings, with the bounds of the small sites."""
        host = machine.host
        return {
            "ip": host,
            "zone": machine.upstream.zone,
            "service": machine.upstream.service,
            "listen": {
                "outbound": f"{host}:{self.outbound_port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "port_range": [self.peer_port, self.peer_port],
            "app_addr": f"{host}:{self.target_port}",
            "platform": {"address": f"{self.store.host}:{self.store_port}"},
            "heartbeat": "1500ms",
            "bounds": {
                "retry_budget_ratio": 0.2,
                "retry_slack": 48,
                "budget_window": "10s",
                "grace": f"{self.grace_s:g}s",
            },
            "limits": {"memory_mb": MEMORY_MB},
        }

    async def open(self, configuration):
        await self.store.open()
        self.store.put("op/config", configuration)

    async def add(self, service, upstream_id, zone="a", slots=64, listed=True):
        host = f"{self.network}.{len(self.machines) + 1}"
        upstream = Upstream(
            host, self.target_port, service, upstream_id, zone, slots, self.record.run
        )
        await upstream.open()
        machine = Machine(self, host, upstream)
        self.machines.append(machine)
        if listed:
            self.list(upstream)
        return machine

    def list(self, upstream, state="ready"):
        self.store.put(f"servers/{upstream.upstream_id}", upstream.entry(state))
        self.record.write(f"store confirms {upstream.upstream_id} as {state}")

    async def start(self):
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        # The nodes find each other and exchange their first reports.
        await asyncio.sleep(2.0)

    async def close(self):
        self.closing = True
        for machine in self.machines:
            machine.stopping = True
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            if machine._watch is not None:
                machine._watch.cancel()
            machine.upstream.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_network():
    """Return three numbers of loopback addresses and a port from which seven are free."""
    for _ in range(100):
        network = f"127.{random.randint(70, 200)}.{random.randint(1, 250)}"
        base = random.randint(20_000, 30_000)
        try:
            for host in (f"{network}.1", f"{network}.250"):
                for port in range(base, base + 7):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return network, base
    raise OSError("no free ports")


def render_template(template, fields):
    """Fill the fields of a settings template in."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, template)


def run_case(play, folder):
    """Run a case and return its exit code: 1 if the rule was broken, 0 if not, 2 if it failed."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        async with asyncio.timeout(110):
            return await play(record, trouble)

    try:
        broken = asyncio.run(main())
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
        return 2
    verdict = "BROKEN" if broken else "held"
    record.write(f"verdict: rule {verdict}")
    print(f"rule {verdict}")
    return 1 if broken else 0
