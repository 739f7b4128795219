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


class RepeatingService:
    """Answer each read with the path, and write the first answers of a connection once more.

    Attributes:
        late: Whether a copy comes when the next read arrives, instead of after its answer.
    """

    def __init__(self, *, late):
        self.late = late

    async def serve(self, reader, writer):
        copy = b""
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                answer = b'HTTP/1.1 200 OK\r\nETag: "%b"\r\n' % path
                answer += b"Content-Length: %d\r\n\r\n%b" % (len(path), path)
                writer.write(copy + answer)
                await asyncio.sleep(0.01)
                if self.late:
                    copy = answer
                else:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()


class TestRepeatedAnswers(SocketTestCase):
    async def test_copy_does_not_answer_another_read(self):
        """Guards against reads that get the answers of earlier ones on a kept connection.

        The configuration service names no read in its answers.
        """
        for late in (False, True):
            service = RepeatingService(late=late)
            server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            platform = HttpPlatform(f"http://127.0.0.1:{port}", READ_TIMEOUT_MS)
            for key in ("bundle/head", "bundle/7/0", "bundle/7/1"):
                value = await platform.read(key)
                self.assertEqual(f"/values/{key}".encode(), value.data)
                await asyncio.sleep(0.03)
            await platform.close()
            server.close()


GOOD_ENTRY = {
    "upstream_id": "a",
    "availability_zone": "z",
    "host": "10.0.0.1",
    "peer_port": 8100,
    "leaving": False,
}


class TestOddInstanceLists(SocketTestCase):
    async def read(self, entries, *, revision="1"):
        """Return the list that a service answers with these entries, which are JSON texts."""
        body = f'{{"revision": {revision}, "instances": [{", ".join(entries)}]}}'.encode()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        platform = HttpPlatform(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        try:
            return await platform.list_instances()
        finally:
            await platform.close()
            server.close()

    async def test_odd_entry_leaves_the_others_in_force(self):
        """Guards against a node that stops following the list because of one foreign entry."""
        good = json.dumps(GOOD_ENTRY)
        odd_entries = [
            "7",
            "{}",
            "[" * 500 + "]" * 500,
            *(
                json.dumps(GOOD_ENTRY | {field: value})
                for field, value in (
                    ("peer_port", 65_536),
                    ("peer_port", -1),
                    ("peer_port", True),
                    ("peer_port", 10**400),
                    ("host", "instance-9"),
                    ("host", "a" * 70 + ".example"),
                    ("host", "0.0.0.0"),
                    ("upstream_id", ""),
                    ("upstream_id", "a\ud800"),
                    ("availability_zone", "a\r\nX: y"),
                    ("leaving", "no"),
                )
            ),
        ]
        for odd in odd_entries:
            instance_list = await self.read([odd, good])
            self.assertEqual(
                ["10.0.0.1"], [entry.host for entry in instance_list.instances], odd[:80]
            )
            self.assertEqual(1, len(instance_list.problems))

    async def test_unreadable_list_is_an_outage(self):
        """Guards against a list that ends the task which reads it, so that it is never read again.

        A value nested too deeply makes the parser give up with an error of its own.
        """
        for entries, revision in (
            (["[" * 100_000], "1"),
            (["[" * 100_000 + "]" * 100_000], "1"),
            ([json.dumps(GOOD_ENTRY)], "1e999"),
            ([json.dumps(GOOD_ENTRY)], "9" * 5_000),
            ([json.dumps(GOOD_ENTRY)], "-1"),
        ):
            with self.assertRaisesType(PlatformUnavailable):
                await self.read(entries, revision=revision)


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
