import asyncio
import json

import aiohttp

from gentianthread.errors import PlatformUnavailable
from gentianthread.standins.platform import PlatformStandin
from gentianthread.transport.platform_http import HttpPlatform
from gentianthread.transport.platforms import VALUE_LIMIT_BYTES, platforms

from ..base import SocketTestCase, TestCase
from .platform_case import READ_TIMEOUT_MS, PlatformCases


class TestHttpPlatform(PlatformCases.Shared):
    async def start(self):
        self.standin = PlatformStandin()
        port = await self.standin.start()
        return self.standin.state, HttpPlatform(f"http://127.0.0.1:{port}", READ_TIMEOUT_MS)

    async def stop(self):
        await self.standin.close()

    async def test_too_long_value(self):
        """Guards against a value that fills the memory."""

        async def body(state, platform):
            state.publish({"head": bytes(VALUE_LIMIT_BYTES + 1)})
            with self.assertRaisesType(PlatformUnavailable):
                await platform.read("head")

        await self.run_case(body)


class TestSourceAddress(SocketTestCase):
    async def test_reads_come_from_the_chosen_address(self):
        """Guards against a host with several addresses whose platform sees the wrong one."""
        source_addresses = []

        def close(_reader, writer):
            source_addresses.append(writer.get_extra_info("peername")[0])
            writer.close()

        server = await asyncio.start_server(close, "127.0.0.1", 0)
        base = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        platform = HttpPlatform(base, READ_TIMEOUT_MS, "127.0.3.9")
        with self.assertRaisesType(PlatformUnavailable):
            await platform.read("head")
        await platform.close()
        server.close()
        self.assertEqual({"127.0.3.9"}, set(source_addresses))


class TestPlatformStandin(SocketTestCase):
    async def test_control(self):
        """Guards against a stand-in that a demonstration cannot control while it is down."""
        standin = PlatformStandin()
        base = f"http://127.0.0.1:{await standin.start()}"
        reader = HttpPlatform(base, READ_TIMEOUT_MS)
        try:
            async with aiohttp.ClientSession() as session:
                await session.put(f"{base}/standin/faults", json={"down": True})
                await session.put(f"{base}/standin/values/bundle/head", data=b"one")
                entry = {"upstream_id": "a", "availability_zone": "z", "leaving": True}
                await session.put(f"{base}/standin/instances", data=json.dumps([entry]))
                with self.assertRaisesType(PlatformUnavailable):
                    await reader.read("bundle/head")
                await session.put(f"{base}/standin/faults", json={})
                # The HTTP client repeats a read once if its connection fails.
                self.assertIn(standin.state.reads, (1, 2))
                before = standin.state.reads
                self.assertEqual(b"one", (await reader.read("bundle/head")).data)
                self.assertTrue((await reader.list_instances()).instances[0].leaving)
                response = await session.put(f"{base}/standin/faults", json={"slow": True})
                self.assertEqual(400, response.status)
                async with session.get(f"{base}/standin/stats") as response:
                    self.assertEqual({"reads": before + 2}, await response.json())
        finally:
            await reader.close()
            await standin.close()


class TestRegistry(TestCase):
    def test_http_is_registered(self):
        """Guards against settings that cannot choose the adapter."""
        self.assertIs(HttpPlatform, platforms.get("http"))
