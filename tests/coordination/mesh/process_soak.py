"""Run real sidecar processes through a seeded schedule of external faults.

`python -m tests.coordination.mesh.process_soak --seeds 50` plays seeds 0 to 49. Relays on loopback
carry the traffic between sidecars, to each target and to the store; signals stop, pause, kill and
reload the processes. The logs of a failed seed are kept in the folder that is printed.
"""

import asyncio
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from bench.faults.relays import NetworkRules, RelayNetwork
from gentianthread.coordination.mesh.process import SidecarExitCode
from gentianthread.platform.documents import PLAN_KEY, UPSTREAM_PREFIX
from gentianthread.standins.mesh import (
    METRICS_PORT,
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    TARGET_PORT,
    MeshTarget,
    plan_document,
    private_network,
)
from gentianthread.standins.mesh_store import STORE_PORT, MeshStore
from gentianthread.transport.target_connection import DEFAULT_IDLE_LIMIT_MS

from .quota_faults import QuotaFaults
from .refusal_faults import RefusalFaults
from .soak import Soak, main
from .soak_caller import Call
from .store_and_limit_faults import NoticePeriod, StoreAndLimitFaults

# Ports that exist only with relays: sidecars accept peers behind the relay at `PEER_PORT`; targets
# and the store are published at the ports of their relays.
PEER_LISTEN_PORT = PEER_PORT + 100
PUBLISHED_TARGET_PORT = TARGET_PORT + 100
PUBLISHED_STORE_PORT = STORE_PORT + 100

# The grace period that deployments usually set.
GRACE_S = 6.0
READY_CHECK_S = 0.02

# Margin around a disturbance: a request may not have reached its sidecar when the fault began, and
# a link that went silent is detected only after a delay.
DISTURBANCE_SLACK_S = 0.3

# Seeds that have failed before, with the cause.
REGRESSIONS = {
    1: "an order was sent over a link that had gone silent while it was idle",
    3: "a stopping sidecar accepted requests until its grace period ended, and cut them off",
    6: "as seed 3",
    100: "silent links stayed in use though new connections worked",
    11014: "both attempts of a GET went over links that were silent and idle; of store-and-limits",
    **dict.fromkeys(
        (0, 2, 4, 5, 8, 9, 10, 15, 17),
        "a copy of a refusal answered the next attempt of its request; of refusals",
    ),
}

SETTINGS = """
[node]
host = {host}
availability_zone = {zone}
service = {service}

[listeners]
outbound = {host}:{outbound}
ready = {host}:{ready}
metrics = {host}:{metrics}
peer_port = {peer}
peer_listen_port = {listened}

[target]
address = {host}:{target}

[platform]
address = {store}

[retries]
slack = 1000

[stop]
grace = {grace}s

[limits]
log_lines_per_s = {lines}
"""


@attrs.frozen
class Disturbance:
    """Describe a period in which callers of a sidecar may get no answer.

    Attributes:
        from_s: Start of the period.
        until_s: End of the period.
        graceful: Whether the sidecar stopped gracefully, so that no started run may be cut off.
    """

    from_s: float
    until_s: float
    graceful: bool


@attrs.define(eq=False)
class ProcessInstance:
    """Describe one instance: its target and the sidecar process beside it.

    Attributes:
        process: The current or last process.
        in_fault: Whether the process is being stopped, paused or killed.
        disturbances: Periods in which the process was stopped, paused or killed.
    """

    target: MeshTarget
    zone: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    in_fault: bool = False
    disturbances: list[Disturbance] = attrs.field(factory=list)


class ProcessFleet:
    """Run a store, targets and relays in this process, and each sidecar in its own process."""

    def __init__(self, seed: int):
        """Create a fleet without starting it; see `start`."""
        self.network = private_network()
        self.store = MeshStore(f"{self.network}.250")
        self.instances: dict[str, ProcessInstance] = {}
        self.folder = Path(tempfile.mkdtemp(prefix=f"gentian-soak-{seed}-"))
        self.rules = NetworkRules(delay_ms=1.0)
        self.relays = RelayNetwork(self.rules, {}, seed)

    async def start(self, services: dict[str, int], zones: tuple[str, ...]) -> None:
        """Publish a plan and start instances, as `MeshFleet.start` does."""
        await self.store.open()
        self.store.put(PLAN_KEY, plan_document())
        await self.relays.add_relay(self.store.host, PUBLISHED_STORE_PORT, STORE_PORT)
        for service, count in services.items():
            for index in range(count):
                await self._add(service, f"{service}-{index}", zones[index % len(zones)])
        await self.wait_ready()

    async def _add(self, service: str, name: str, zone: str) -> None:
        host = f"{self.network}.{len(self.instances) + 1}"
        self.relays.zones[host] = zone
        target = MeshTarget(host, service, name)
        target.listed_port = PUBLISHED_TARGET_PORT
        await target.open()
        await self.relays.add_relay(host, PUBLISHED_TARGET_PORT, TARGET_PORT)
        await self.relays.add_relay(host, PEER_PORT, PEER_LISTEN_PORT)
        instance = ProcessInstance(target, zone, self.folder / f"{name}.ini")
        self.instances[name] = instance
        self.write_settings(instance, log_lines_per_s=20)
        await self.run(name)
        self.store.put(UPSTREAM_PREFIX + name, target.entry(zone=zone))

    def write_settings(self, instance: ProcessInstance, log_lines_per_s: int) -> None:
        """Write the settings file of a sidecar."""
        text = SETTINGS.format(
            host=instance.target.host,
            zone=instance.zone,
            service=instance.target.service_id,
            outbound=OUTBOUND_PORT,
            ready=READY_PORT,
            metrics=METRICS_PORT,
            peer=PEER_PORT,
            listened=PEER_LISTEN_PORT,
            target=PUBLISHED_TARGET_PORT,
            store=f"{self.store.host}:{PUBLISHED_STORE_PORT}",
            grace=GRACE_S,
            lines=log_lines_per_s,
        )
        temporary = instance.settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(instance.settings)

    async def run(self, name: str) -> None:
        """Start the process of a sidecar."""
        instance = self.instances[name]
        with instance.settings.with_suffix(".log").open("ab") as output:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gentianthread.commands.sidecar",
                str(instance.settings),
                stdout=output,
                stderr=output,
            )

    async def wait_ready(self) -> None:
        """Wait until every sidecar reports that it is ready."""
        for instance in self.instances.values():
            await wait_until_ready(instance.target.host)

    async def stop(self) -> None:
        """End all processes and close everything."""
        for instance in self.instances.values():
            if instance.process.returncode is None:
                instance.process.kill()
            await instance.process.wait()
        await self.relays.close()
        for instance in self.instances.values():
            await instance.target.close()
        await self.store.close()


async def is_ready(host: str) -> bool:
    """Return whether the sidecar of an instance reports that it is ready."""
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, READY_PORT)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            return b" 200 " in await reader.readuntil(b"\r\n")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        if writer is not None:
            writer.close()


async def wait_until_ready(host: str) -> None:
    """Wait until the sidecar of an instance reports that it is ready."""
    while not await is_ready(host):  # noqa: ASYNC110  # Another process can only be polled.
        await asyncio.sleep(READY_CHECK_S)


class ProcessSoak(Soak):
    """Run the schedule of one seed against processes."""

    fleet: ProcessFleet
    # The kernel answers keep-alives on both sides of a relay, so that a silent connection to a
    # target is closed only after it was idle for `DEFAULT_IDLE_LIMIT_MS`.
    recovery_s = DEFAULT_IDLE_LIMIT_MS / 1000 + 1

    def _make_fleet(self, seed: int) -> ProcessFleet:
        return ProcessFleet(seed)

    async def play(self) -> None:
        """Run the schedule, stop the fleet, and keep its logs if an invariant was violated."""
        try:
            await super().play()
        finally:
            await self.fleet.stop()
            if self.violations:
                self.violations.append(f"logs are in {self.fleet.folder}")
            else:
                shutil.rmtree(self.fleet.folder)

    def _fault_kinds(self) -> tuple:
        return (
            self._kill,
            self._stop,
            self._pause,
            self._reload_settings,
            self._reset,
            self._silence_connections,
            self._cut_one_way,
            self._slow_network,
            self._partition_zones,
            self._list_as_draining,
            self._refuse_store_calls,
        )

    @asynccontextmanager
    async def _disturb(
        self, name: str, *, graceful: bool = False
    ) -> AsyncIterator[ProcessInstance | None]:
        """Reserve an instance for a fault, and record the period of the disturbance.

        Yields None if another fault has reserved the instance.
        """
        instance = self.fleet.instances[name]
        if instance.in_fault:
            yield None
            return
        instance.in_fault = True
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        try:
            yield instance
            await wait_until_ready(instance.target.host)
        finally:
            instance.in_fault = False
            disturbance = Disturbance(
                from_s - DISTURBANCE_SLACK_S, loop.time() + DISTURBANCE_SLACK_S, graceful
            )
            instance.disturbances.append(disturbance)

    async def _start_again(self, name: str) -> None:
        await asyncio.sleep(self.random.uniform(0, 0.4))
        await self.fleet.run(name)

    async def _kill(self, name: str) -> None:
        """Kill a sidecar and start another one."""
        async with self._disturb(name) as instance:
            if instance is not None:
                instance.process.send_signal(signal.SIGKILL)
                await instance.process.wait()
                await self._start_again(name)

    async def _stop(self, name: str) -> None:
        """Stop a sidecar gracefully, sometimes with a second signal, and start another one."""
        async with self._disturb(name, graceful=True) as instance:
            if instance is None:
                return
            instance.process.send_signal(signal.SIGTERM)
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(0, 0.5))
                if instance.process.returncode is None:
                    instance.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_S):
                    await instance.process.wait()
            except TimeoutError:
                self.violations.append(f"{name} still ran {GRACE_S} s after SIGTERM")
                instance.process.kill()
                await instance.process.wait()
            if instance.process.returncode != SidecarExitCode.STOPPED:
                self.violations.append(f"{name} ended with {instance.process.returncode}")
            await self._start_again(name)

    async def _pause(self, name: str) -> None:
        """Pause a process, as a suspended instance does."""
        async with self._disturb(name) as instance:
            if instance is not None:
                instance.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.1, 1.5))
                instance.process.send_signal(signal.SIGCONT)

    async def _reload_settings(self, name: str) -> None:
        """Change the settings file, sometimes to invalid content, and send SIGHUP."""
        instance = self.fleet.instances[name]
        if instance.in_fault:
            return
        if self.random.random() < 0.3:
            instance.settings.write_text("[node]\nhost = nowhere\n")
            instance.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        self.fleet.write_settings(instance, log_lines_per_s=self.random.randint(5, 50))
        if not instance.in_fault:
            instance.process.send_signal(signal.SIGHUP)

    async def _reset(self, name: str) -> None:
        """Reset the connections of a sidecar to its peers, its target and the store."""
        self.fleet.relays.reset(self.fleet.instances[name].target.host)

    async def _silence_connections(self, name: str) -> None:
        """Drop all traffic on the open connections of a sidecar; new connections work."""
        self.fleet.relays.silence(self.fleet.instances[name].target.host)

    async def _cut_one_way(self, name: str) -> None:
        """Drop traffic in one direction on the open connections of a sidecar."""
        self.fleet.relays.deafen(self.fleet.instances[name].target.host)

    async def _slow_network(self, name: str) -> None:
        """Add delay and loss to the paths between zones for a while."""
        self.fleet.rules.delay_ms, self.fleet.rules.loss = 20.0, 0.02
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        self.fleet.rules.delay_ms, self.fleet.rules.loss = 1.0, 0.0

    async def _partition_zones(self, name: str) -> None:
        """Partition the availability zones for a while."""
        self.fleet.relays.partition("a", "b")
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.fleet.relays.heal("a", "b")

    def _is_excused(self, call: Call, runs: int) -> bool:
        """Return whether the call overlaps a disturbance of its sidecar that explains the error."""
        return any(
            call.started_s < disturbance.until_s
            and call.ended_s > disturbance.from_s
            and not (disturbance.graceful and runs)
            for disturbance in self.fleet.instances[call.at].disturbances
        )


class ProcessStoreAndLimitSoak(StoreAndLimitFaults, ProcessSoak):
    """Play all faults against processes."""

    def _has_forgotten(self, name: str, period: NoticePeriod) -> bool:
        return any(
            disturbance.until_s > period.from_s and disturbance.from_s < period.until_s
            for disturbance in self.fleet.instances[name].disturbances
        )


class ProcessQuotaSoak(QuotaFaults, ProcessSoak):
    """Play all faults beside an organisation over its rate and kills of most processes."""


class ProcessRefusalSoak(RefusalFaults, ProcessSoak):
    """Play all faults beside targets that refuse requests and write answers again."""

    async def _restart_node(self, name: str) -> None:
        await self._kill(name)


# Kinds of soaks by the names that select them.
KINDS = {
    "faults": ProcessSoak,
    "store-and-limits": ProcessStoreAndLimitSoak,
    "quota": ProcessQuotaSoak,
    "refusals": ProcessRefusalSoak,
}

if __name__ == "__main__":
    sys.exit(main(KINDS, REGRESSIONS))
