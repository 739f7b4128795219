"""Run small meshes of real sidecars in one process for tests."""

import asyncio
import itertools

import attrs

from gentianthread.platform.documents import PLAN_KEY, UPSTREAM_PREFIX
from gentianthread.standins.mesh import OUTBOUND_PORT, MeshFleet, plan_document, wait_until

from ...base import SocketTestCase

_ids = itertools.count(1)


@attrs.frozen
class Reply:
    """Store the answer that a caller received."""

    status: int
    fields: dict[str, str]
    body: bytes
    request_id: str


class MeshTestCase(SocketTestCase):
    async def start(self, services, zones=("a",), **plan):
        """Start a mesh and, if options of a plan are given, publish them as version 2."""
        self.fleet = MeshFleet()
        await self.fleet.start(services, zones)
        if plan:
            await self.publish(2, **plan)
        return self.fleet

    async def publish(self, version, **plan):
        """Publish a plan and wait until all sidecars use it."""
        self.fleet.store.put(PLAN_KEY, plan_document(version, **plan))
        await self.until(
            lambda: all(
                instance.sidecar.follower.plan.version == version
                for instance in self.fleet.instances.values()
            )
        )

    async def until(self, condition, timeout_s=10):
        """Wait until a condition holds."""
        await wait_until(condition, timeout_s)

    async def list_as(self, upstream_id, state):
        """Publish a state of an upstream and wait until all sidecars know it."""
        listed = self.fleet.instances[upstream_id]
        entry = listed.target.entry(state, listed.zone)
        self.fleet.store.put(UPSTREAM_PREFIX + upstream_id, entry)
        await self.until(
            lambda: all(
                instance.sidecar.directory.entries[upstream_id].state.value == state
                for instance in self.fleet.instances.values()
            )
        )

    async def stop(self):
        """Stop the mesh."""
        await self.fleet.stop()

    def target(self, upstream_id):
        return self.fleet.instances[upstream_id].target

    def sidecar(self, upstream_id):
        return self.fleet.instances[upstream_id].sidecar

    async def connect(self, upstream_id):
        host = self.sidecar(upstream_id).settings.host
        return await asyncio.open_connection(host, OUTBOUND_PORT)

    def request(self, path, method="GET", host="shop.example", key="key-acme", body=b"", **fields):
        """Return the bytes of a request and its id."""
        request_id = f"t{next(_ids)}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}"]
        if "Timeout_Ms" not in fields:
            lines.append("Timeout-Ms: 3000")
        if key is not None:
            lines.append(f"Key: {key}")
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body, request_id

    async def receive(self, reader, request_id=""):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields.get("Content-Length", 0)))
        return Reply(int(lines[0].split()[1]), fields, body, request_id)

    async def call(self, at, path, **options):
        """Send one request to a sidecar and return the reply."""
        data, request_id = self.request(path, **options)
        reader, writer = await self.connect(at)
        try:
            writer.write(data)
            return await self.receive(reader, request_id)
        finally:
            writer.close()
