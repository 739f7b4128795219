"""Run sidecars as processes of their own, with the commands of the deploy file, on loopback."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .http import send
from .store import Store
from .upstream import Upstream

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["sidecar"]

APP, OUTBOUND, READY, PEER, STORE_PORT = 18547, 18548, 18546, 17000, 18545
METRICS = 9464

# Bounds of the settings of the site `lakeshore-tan`.
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "retry_slack": 48,
    "grace": "6s",
}


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in the placeholders of a template that stand for one value."""

    def find(match: re.Match) -> str:
        value: Any = values
        for part in match[1].split("."):
            index = int(part) if part.isdecimal() else part
            if isinstance(value, dict) and index not in value:
                return ""
            value = value[index]
        return str(value)

    text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", values["zones_text"], template)
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", find, text)


def free_network() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    while True:
        network = f"127.{random.randint(2, 60)}.{random.randint(0, 255)}"
        try:
            for number in range(1, 41):
                for port in (APP, OUTBOUND, READY, PEER, METRICS):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network


class Machine:
    """Describe a machine: its upstream and the sidecar process beside it."""

    def __init__(self, upstream: Upstream, settings: Path):
        self.upstream, self.settings = upstream, settings
        self.process: asyncio.subprocess.Process | None = None

    @property
    def host(self) -> str:
        """Return the address of the machine."""
        return self.upstream.host


class Fleet:
    """Run a store, upstreams with their entries, and sidecar processes."""

    def __init__(self, name: str):
        self.network = free_network()
        self.store = Store(f"{self.network}.250", STORE_PORT)
        self.machines: dict[str, Machine] = {}
        self.limits = {"memory_mb": 300, "max_fds": 4100}
        self.folder = Path(tempfile.mkdtemp(prefix=f"review-{name}-"))
        self._writing: dict[str, asyncio.Task] = {}

    async def open(self, config: dict[str, Any]) -> None:
        """Start the store with a configuration."""
        await self.store.server.open()
        self.store.put("op/config", config)

    async def add(self, service: str, name: str, zone: str, slots: int = 64) -> Machine:
        """Start an upstream, and list it."""
        host = f"{self.network}.{len(self.machines) + 1}"
        upstream = Upstream(host, APP, service, name, zone, slots)
        await upstream.server.open()
        machine = self.machines[name] = Machine(upstream, self.folder / f"{name}.ini")
        self.store.put(f"servers/{name}", upstream.entry())
        self._writing[name] = asyncio.ensure_future(self._write_entry(upstream))
        return machine

    async def _write_entry(self, upstream: Upstream) -> None:
        """Write the entry of an upstream about every heartbeat."""
        while True:
            await asyncio.sleep(1.5 * random.uniform(0.9, 1.1))
            if not self.store.down:
                self.store.put(f"servers/{upstream.name}", upstream.entry())

    def unlist(self, name: str) -> None:
        """Remove the entry of an upstream, which goes on to serve."""
        self._writing.pop(name).cancel()
        self.store.remove(f"servers/{name}")

    def fields(self, machine: Machine) -> dict[str, Any]:
        """Return the fields of the settings of a machine, as the platform fills them in."""
        host = machine.host
        zones = sorted({each.upstream.zone for each in self.machines.values()})
        return {
            "ip": host,
            "zone": machine.upstream.zone,
            "service": machine.upstream.service,
            "zones_text": ",".join(f"{zone}=north" for zone in zones),
            "listen": {"outbound": f"{host}:{OUTBOUND}", "ready": f"{host}:{READY}"},
            "port_range": [PEER, PEER + 15],
            "app_addr": f"{host}:{APP}",
            "platform": {"address": self.store.address},
            "heartbeat": "1500ms",
            "bounds": BOUNDS,
            "limits": self.limits,
        }

    async def start(self, *names: str) -> None:
        """Start the sidecars of machines; of all by default."""
        for name in names or self.machines:
            machine = self.machines[name]
            fields = self.fields(machine)
            template = (ROOT / ROLE["template"]).read_text()
            machine.settings.write_text(render(template, fields))
            run = [
                str(machine.settings) if word == "/etc/gentianthread/settings.json" else word
                for word in ROLE["run"].split()
            ]
            environment = {key: render(text, fields) for key, text in ROLE["env"].items()}
            environment |= {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
            environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
            environment["PYTHONDONTWRITEBYTECODE"] = "1"
            with machine.settings.with_suffix(".log").open("ab") as output:
                machine.process = await asyncio.create_subprocess_exec(
                    *run, cwd=ROOT, env=environment, stdout=output, stderr=output
                )

    async def is_ready(self, name: str) -> bool:
        """Return whether the sidecar of a machine says that it is ready."""
        host = self.machines[name].host
        answer = await send(host, READY, "GET", "/api/readyz", [("Host", "a")], b"", 1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all sidecars are ready.

        Raises:
            TimeoutError: They were not in time.
        """
        async with asyncio.timeout(timeout_s):
            for name in self.machines:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the sidecar of a machine."""
        self.machines[name].process.send_signal(number)

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of the sidecar of a machine, or 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.machines[name].process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / 1024 if match else 0.0

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of a sidecar."""
        answer = await send(self.machines[name].host, METRICS, "GET", "/dump", [("Host", "a")])
        return {} if answer is None else json.loads(answer.body)

    async def close(self, *, keep_logs: bool = False) -> None:
        """End all processes and close everything."""
        for task in self._writing.values():
            task.cancel()
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
            if process is not None:
                await process.wait()
        for machine in self.machines.values():
            await machine.upstream.server.close()
        await self.store.server.close()
        if not keep_logs:
            shutil.rmtree(self.folder)
