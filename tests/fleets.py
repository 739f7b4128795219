"""Run small fleets over loopback sockets in tests."""

import asyncio
import contextlib

import aiohttp

from gentianthread.clock import SystemClock
from gentianthread.standins.fleet import Fleet, key_of, make_plan

from .base import SocketTestCase


class ShiftedClock(SystemClock):
    """Shift the system clock by `shift_ms`, which a test sets."""

    def __init__(self):
        self.shift_ms = 0.0

    def now_ms(self) -> float:
        return super().now_ms() + self.shift_ms


class FleetTestCase(SocketTestCase):
    """Start fleets and call them.

    Attributes:
        links: Whether the nodes are connected by links over sockets instead of in memory.
    """

    links = False

    @contextlib.asynccontextmanager
    async def fleet(self, services=None, adjust=None, **options):
        """Run a fleet and a client session for the duration of a test."""
        plan = make_plan(services or {"catalogue": 1, "pricing": 1}, ("alpha", "beta"), **options)
        fleet = Fleet(plan, adjust=adjust, links=self.links)
        await fleet.start()
        try:
            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
                fleet.session = session
                yield fleet
        finally:
            await fleet.stop()

    async def call(self, fleet, entry, path, *, method="GET", organisation="alpha", **options):
        """Send one request and return status, headers and body."""
        headers = dict(options.pop("headers", {}))
        if organisation is not None:
            headers["Authorization"] = f"Bearer {key_of(organisation)}"
        url = f"{fleet.members[entry].url}{path}"
        async with fleet.session.request(method, url, headers=headers, **options) as answer:
            return answer.status, answer.headers, await answer.read()

    async def until(self, condition, timeout_s=5.0):
        """Wait until a condition becomes true."""
        async with asyncio.timeout(timeout_s):
            # Conditions depend on several nodes, so no single event signals them.
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)


async def raw_exchange(port: int, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Send bytes to a port and return everything up to the end of the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def request_head(method: str, target: str, *fields: bytes, organisation: str = "alpha") -> bytes:
    """Return the bytes of a request head with the API key of an organisation."""
    lines = [f"{method} {target} HTTP/1.1".encode(), b"Host: node"]
    lines.append(f"Authorization: Bearer {key_of(organisation)}".encode())
    return b"\r\n".join([*lines, *fields, b"\r\n"])
