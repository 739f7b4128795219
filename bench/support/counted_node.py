"""Run one node that counts its control work: `python -m bench.support.counted_node SETTINGS`.

The counts are a section of the state dump. SIGUSR2 starts and stops a light demand on the quota.
With `--profile FILE`, the processor time between two SIGHUP is profiled into the file.
"""

import asyncio
import cProfile
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import attrs

from gentianthread.coordination import services
from gentianthread.coordination.process import NodeProcess
from gentianthread.errors import RateExceeded
from gentianthread.logs import make_handler
from gentianthread.protocol import link_control
from gentianthread.settings import read_settings
from gentianthread.transport.connections import WebSocketTransport

# Takes of the light demand, in turns over all organisations.
DEMAND_PER_S = 20
DEMAND_WAIT_MS = 200.0


@attrs.define
class Traffic:
    """Count messages and bytes, of WebSocket frames without TCP and IP."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    sent_by_type: Counter = attrs.field(factory=Counter)


TRAFFIC = Traffic()


def frame_bytes(size_bytes: int, masked: bool) -> int:
    """Return the size of a WebSocket frame of a message."""
    header_bytes = 2 if size_bytes < 126 else 4 if size_bytes < 65_536 else 10
    return size_bytes + header_bytes + (4 if masked else 0)


class CountingTransport(WebSocketTransport):
    """Count what the connections of this process carry."""

    async def connect(self, host, port):
        """Open a counted connection."""
        return count(await super().connect(host, port), dialed=True)

    async def listen(self, host, port, accept):
        """Accept counted connections."""
        return await super().listen(
            host, port, lambda connection: accept(count(connection, dialed=False))
        )


def count(connection, dialed):
    """Return the connection with counting ends."""
    send, receive = connection.send, connection.receive

    async def counted_send(data):
        TRAFFIC.sent_messages += 1
        TRAFFIC.sent_bytes += frame_bytes(len(data), dialed)
        await send(data)

    async def counted_receive():
        data = await receive()
        TRAFFIC.received_messages += 1
        TRAFFIC.received_bytes += frame_bytes(len(data), not dialed)
        return data

    connection.send, connection.receive = counted_send, counted_receive
    return connection


def count_types() -> None:
    """Count control messages that are encoded, by their type."""
    encode = link_control.encode

    def counted(message):
        TRAFFIC.sent_by_type[type(message).__name__] += 1
        return encode(message)

    link_control.encode = counted


class Demand:
    """Take tokens of all organisations at a low rate."""

    def __init__(self, node_services):
        self._services = node_services
        self._task: asyncio.Task | None = None
        self.taken = 0
        self.refused = 0

    def toggle(self) -> None:
        """Start or stop."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())
        else:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        names = sorted(self._services.store.current.organisations)
        number = 0
        while True:
            await asyncio.sleep(1 / DEMAND_PER_S)
            number += 1
            try:
                await self._services.quota.acquire(names[number % len(names)], DEMAND_WAIT_MS)
                self.taken += 1
            except RateExceeded:
                self.refused += 1


def describe(node_services, demand: Demand) -> dict:
    """Return the counts and the roles of a node."""
    quota = node_services.quota
    return {
        **attrs.asdict(TRAFFIC),
        "at_s": time.monotonic(),
        "links": len(node_services.network.connected()),
        "watcher": node_services.config_distributor.watching,
        "zone_holder": quota.zone_holder.active,
        "fleet_holder_of": len(quota.fleet_holder.led_organisations),
        "taken": demand.taken,
        "refused": demand.refused,
    }


class Profile:
    """Profile between two signals."""

    def __init__(self, file: str):
        self._file = file
        self._profile = cProfile.Profile()
        self._running = False

    def toggle(self) -> None:
        """Start, or stop and write the figures."""
        if self._running:
            self._profile.disable()
            self._profile.dump_stats(self._file)
        else:
            self._profile.enable()
        self._running = not self._running


async def run(settings, profile: str | None) -> int:
    """Run the node until a signal."""
    node_process = NodeProcess(settings)
    node_services = node_process.services
    demand = Demand(node_services)
    node_process.node.dump_sections["control"] = lambda: describe(node_services, demand)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR2, demand.toggle)
    if profile is not None:
        loop.add_signal_handler(signal.SIGHUP, Profile(profile).toggle)
    return await node_process.run()


def main() -> int:
    """Run as a program."""
    settings = read_settings(Path(sys.argv[1]))
    profile = sys.argv[3] if sys.argv[2:3] == ["--profile"] else None
    services.WebSocketTransport = CountingTransport
    count_types()
    make_handler(settings.log_format, settings.log_level).push_application()
    return asyncio.run(run(settings, profile))


if __name__ == "__main__":
    sys.exit(main())
