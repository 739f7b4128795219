import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory

import attrs

from gentianthread.clock import SystemClock
from gentianthread.coordination.services import NodeServices
from gentianthread.errors import UnknownEntryError
from gentianthread.ids import AvailabilityZoneId, NodeIdentity, StartNumber, UpstreamId
from gentianthread.metrics import MemoryMetrics
from gentianthread.settings import read_settings
from gentianthread.standins.platform import PlatformStandin
from gentianthread.standins.service_fleet import free_ports
from gentianthread.state.bundle import make_bundle, make_published_values
from gentianthread.transport.platforms import ListedInstance, PlatformFaults

from ..base import SocketTestCase
from ..plans import small_plan

SETTINGS = """
[node]
upstream = {upstream}
availability_zone = {zone}
[listeners]
callers = 127.0.0.1:0
target = 127.0.0.1:0
operator = 127.0.0.1:0
peers = 127.0.0.1:{peers}
[target]
address = 127.0.0.1:1
[peers]
fleet_secret = not a secret, only used on loopback
{seeds}
[platform]
adapter = {adapter}
address = 127.0.0.1:{platform}
"""

ZONES = {"catalogue-0": "larisa-a", "catalogue-1": "volos-a"}


class TestNodeServices(SocketTestCase):
    def make_plan(self, version):
        plan = small_plan(version)
        return attrs.evolve(
            plan,
            upstreams={
                name: attrs.evolve(upstream, peer_port=self.ports[name])
                for name, upstream in plan.upstreams.items()
            },
        )

    async def start_platform(self):
        self.ports = dict(zip(ZONES, free_ports(2), strict=True))
        platform = PlatformStandin()
        platform.state.publish(make_published_values(make_bundle(self.make_plan(1))))
        platform.state.set_instances(
            tuple(
                ListedInstance(
                    UpstreamId(name), AvailabilityZoneId(zone), "127.0.0.1", self.ports[name]
                )
                for name, zone in ZONES.items()
            )
        )
        self.platform_port = await platform.start()
        return platform

    def make_services(self, name, start_number, seeds="", adapter="http"):
        text = SETTINGS.format(
            upstream=name,
            zone=ZONES[name],
            peers=self.ports[name],
            platform=self.platform_port,
            seeds=seeds,
            adapter=adapter,
        )
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.ini"
            path.write_text(text)
            settings = read_settings(path)
        zone = AvailabilityZoneId(ZONES[name])
        identity = NodeIdentity(UpstreamId(name), zone, StartNumber(start_number))
        return NodeServices(settings, identity, SystemClock(), MemoryMetrics())

    async def test_node_starts_from_seeds_during_a_platform_outage(self):
        """Guards against a replacement node that finds no peers while the platform is down."""
        platform = await self.start_platform()
        first = self.make_services("catalogue-0", 1)
        await first.start()
        await first.config_distributor.ready.wait()
        platform.state.set_faults(PlatformFaults(down=True))
        seeds = f"seeds = catalogue-0 larisa-a 127.0.0.1:{self.ports['catalogue-0']}"
        second = self.make_services("catalogue-1", 2, seeds)
        await second.start()
        try:
            await second.config_distributor.ready.wait()
            self.assertEqual(1, second.store.version)
            self.assertTrue(second.members.takes_work(UpstreamId("catalogue-0")))
        finally:
            await asyncio.gather(first.stop(), second.stop())
            await platform.close()

    async def test_unknown_adapter_is_a_typed_error(self):
        """Guards against an unknown adapter name that is ignored or ends with a traceback."""
        await (await self.start_platform()).close()
        with self.assertRaisesType(UnknownEntryError):
            self.make_services("catalogue-0", 1, adapter="other")

    async def test_restarted_node_does_not_revert_to_a_stale_service(self):
        """Guards against an old version in force after a restart on stale platform data (P12)."""
        platform = await self.start_platform()
        first = self.make_services("catalogue-0", 1)
        await first.start()
        await first.config_distributor.ready.wait()
        platform.state.set_faults(PlatformFaults(stale=True))
        # Only one node has received the newer version.
        first.store.offer(make_bundle(self.make_plan(2)), "test")
        second = self.make_services("catalogue-1", 2)
        await second.start()
        try:
            await second.config_distributor.ready.wait()
            self.assertEqual(2, second.store.version)
        finally:
            await asyncio.gather(first.stop(), second.stop())
            await platform.close()
