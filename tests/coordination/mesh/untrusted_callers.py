"""Run sidecar processes with lowered limits beside crowds of untrusted callers."""

import asyncio
import os
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import attrs
import psutil

from gentianthread.platform.documents import PLAN_KEY, UPSTREAM_PREFIX
from gentianthread.standins.mesh import (
    METRICS_PORT,
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    TARGET_PORT,
    MeshTarget,
    answer_sealed,
    plan_document,
    private_network,
)
from gentianthread.standins.mesh_store import STORE_PORT, MeshStore
from gentianthread.transport.http_pipeline import BufferedRequest, BufferedResponse

MEMORY_MB = 128
MAX_FDS = 192
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1024 * 1024

SAMPLE_INTERVAL_S = 0.01

# Time for which a crowd may take to send what its sidecar reads; the rest stays unsent.
CROWD_S = 5.0

# Time for which it then stands before an ordinary caller comes, so that answers are under way.
STAND_S = 1.0

# An ordinary caller is refused at most for this time, and tries again until then.
PATIENCE_S = 10.0
RETRY_INTERVAL_S = 0.1

FIELDS = "Host: shop.example\r\nKey: key-acme\r\nTimeout-Ms: 1400\r\nRequest-Id: {}\r\n"

SETTINGS = f"""
[node]
host = {{host}}
availability_zone = a
service = {{service}}
[listeners]
outbound = {{host}}:{OUTBOUND_PORT}
ready = {{host}}:{READY_PORT}
metrics = {{host}}:{METRICS_PORT}
peer_port = {PEER_PORT}
[target]
address = {{host}}:{TARGET_PORT}
[platform]
address = {{store}}:{STORE_PORT}
[limits]
memory_mb = {{memory_mb}}
max_fds = {MAX_FDS}
"""


async def answer_by_size(target: MeshTarget, request: BufferedRequest) -> BufferedResponse:
    """Answer with as many bytes as the path says, or with a few; do not echo the body."""
    body, request.body = request.body, b""
    del body
    answer = await answer_sealed(target, request)
    _, found, size = request.target.partition("size-")
    if found:
        answer.body = bytes(int(size))
    return answer


@attrs.define(eq=False)
class WatchedProcess:
    """Track one sidecar process.

    Attributes:
        host: Address of its instance.
        process: The process.
        peak_mb: Largest resident memory.
        peak_fds: Largest number of open descriptors.
    """

    host: str
    process: asyncio.subprocess.Process
    peak_mb: float = 0.0
    peak_fds: int = 0

    async def watch(self) -> None:
        """Sample memory and descriptors until the process has ended."""
        process = psutil.Process(self.process.pid)
        while self.process.returncode is None:
            try:
                self.peak_mb = max(self.peak_mb, process.memory_info().rss / 1024 / 1024)
                self.peak_fds = max(self.peak_fds, process.num_fds())
            except psutil.Error:
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class ProcessMesh:
    """Run a store and targets in this process, and one sidecar process beside each target."""

    def __init__(self, folder: Path, memory_mb: int = MEMORY_MB):
        """Create a mesh that is not running yet."""
        self.folder = folder
        self.memory_mb = memory_mb
        self.network = private_network()
        self.store = MeshStore(f"{self.network}.250")
        self.targets: list[MeshTarget] = []
        self.nodes: list[WatchedProcess] = []
        self._watches: list[asyncio.Task] = []

    async def start(self, services: Iterable[str], work_ms: float, **plan: Any) -> None:
        """Start one instance of each service and wait until all know each other."""
        await self.store.open()
        self.store.put(PLAN_KEY, plan_document(**plan))
        for index, service in enumerate(services):
            host = f"{self.network}.{index + 1}"
            target = MeshTarget(host, service, f"{service}-0", slots=64)
            target.behave, target.work_ms = answer_by_size, work_ms
            await target.open()
            self.targets.append(target)
            self.store.put(UPSTREAM_PREFIX + target.upstream_id, target.entry())
            await self._run(host, service)
        for target in self.targets:
            path = "/stock/1" if target.service_id == "catalogue" else "/order/1"
            for node in self.nodes:
                await self.call(node.host, path)

    async def _run(self, host: str, service: str) -> None:
        path = self.folder / f"{host}.ini"
        path.write_text(
            SETTINGS.format(
                host=host, service=service, store=self.store.host, memory_mb=self.memory_mb
            )
        )
        with path.with_suffix(".log").open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gentianthread.commands.sidecar",
                str(path),
                stdout=output,
                stderr=output,
            )
        node = WatchedProcess(host, process)
        self.nodes.append(node)
        self._watches.append(asyncio.ensure_future(node.watch()))

    async def call(self, host: str, path: str = "/stock/1") -> bytes:
        """Send ordinary requests, each on a new connection, until one gets status 200."""
        status_line = b"no answer"
        async with asyncio.timeout(PATIENCE_S):
            while b" 200 " not in status_line:
                try:
                    async with asyncio.timeout(2.0):
                        status_line = await self._call_once(host, path)
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    pass
                if b" 200 " not in status_line:
                    await asyncio.sleep(RETRY_INTERVAL_S)
        return status_line

    async def _call_once(self, host: str, path: str) -> bytes:
        reader, writer = await asyncio.open_connection(host, OUTBOUND_PORT)
        try:
            writer.write(head("GET", path))
            return await reader.readuntil(b"\r\n")
        finally:
            writer.close()

    async def upload(self, host: str, pieces: Iterable[bytes]) -> bytes:
        """Send a request in pieces and return the first line of its answer."""
        reader, writer = await asyncio.open_connection(host, OUTBOUND_PORT)
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            return await reader.readuntil(b"\r\n")
        finally:
            writer.close()

    async def close(self) -> None:
        """End the processes and close everything."""
        for node in self.nodes:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()
        for watch in self._watches:
            watch.cancel()
        for target in self.targets:
            await target.close()
        await self.store.close()


@asynccontextmanager
async def process_mesh(
    services: Iterable[str], work_ms: float = 1.0, memory_mb: int = MEMORY_MB, **plan: Any
) -> AsyncIterator[ProcessMesh]:
    """Run a mesh of sidecar processes.

    Args:
        services: Service of each instance.
        work_ms: Time that a target takes for a request.
        memory_mb: Memory of each process.
        plan: Tables of the plan that replace the usual ones.
    """
    with tempfile.TemporaryDirectory() as folder:
        mesh = ProcessMesh(Path(folder), memory_mb)
        try:
            await mesh.start(services, work_ms, **plan)
            yield mesh
        finally:
            await mesh.close()


def head(method: str, path: str, fields: str = "") -> bytes:
    """Return the head of a request with an id of its own."""
    common = FIELDS.format(os.urandom(8).hex())
    return f"{method} {path} HTTP/1.1\r\n{common}{fields}\r\n".encode()


def short_fields_head(path: str) -> bytes:
    """Return a head of legal size, made of the shortest lines, without its last line end."""
    start = head("GET", path)[:-2]
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    names = [a + b for a in letters for b in letters] + [
        a + b + "-" for a in letters[:24] for b in letters
    ]
    lines = bytearray()
    for index in range(MAX_HEADER_BYTES):
        line = f"{names[index % len(names)]}{index // len(names) or ''}:\r\n".encode()
        if len(start) + len(lines) + len(line) > MAX_HEADER_BYTES - 1:
            break
        lines += line
    return start + bytes(lines)


def chunked(path: str, size: int, chunk_bytes: int, method: str = "POST") -> list[bytes]:
    """Return a request with a chunked body, without its last chunk."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return [head(method, path, "Transfer-Encoding: chunked\r\n"), chunk * (size // chunk_bytes)]


def sized(path: str, size: int, missing: int, pieces: int = 1, method: str = "POST") -> list[bytes]:
    """Return a request with a body of a stated length, in pieces, without its last bytes."""
    body = b"x" * (size - missing)
    step = len(body) // pieces + 1
    return [
        head(method, path, f"Content-Length: {size}\r\n"),
        *[body[start : start + step] for start in range(0, len(body), step)],
    ]


class Crowd:
    """Open connections that send something and stay open."""

    def __init__(self) -> None:
        """Create a crowd without callers."""
        self._tasks: list[asyncio.Task] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._sent: list[asyncio.Future] = []

    def add(
        self, host: str, pieces: Callable[[], Iterable[bytes]], read_bytes_per_s: int = 0
    ) -> None:
        """Add a caller.

        Args:
            host: Address of the sidecar.
            pieces: Returns what it sends, in pieces.
            read_bytes_per_s: Speed at which it reads; 0 to read nothing.
        """
        sent = asyncio.get_running_loop().create_future()
        self._sent.append(sent)
        self._tasks.append(asyncio.ensure_future(self._play(host, pieces, read_bytes_per_s, sent)))

    async def _play(
        self,
        host: str,
        pieces: Callable[[], Iterable[bytes]],
        read_bytes_per_s: int,
        sent: asyncio.Future,
    ) -> None:
        raw = socket.socket()
        raw.setblocking(False)
        try:
            if read_bytes_per_s:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            await asyncio.get_running_loop().sock_connect(raw, (host, OUTBOUND_PORT))
            reader, writer = await asyncio.open_connection(sock=raw, limit=16_384)
            self._writers.append(writer)
            for piece in pieces():
                writer.write(piece)
                await writer.drain()
            if not sent.done():
                sent.set_result(None)
            if read_bytes_per_s:
                await _read_slowly(reader, read_bytes_per_s)
            await asyncio.sleep(3600)
        except OSError:
            # The sidecar refused or closed the connection, as it may.
            raw.close()
        finally:
            if not sent.done():
                sent.set_result(None)

    async def stand(self) -> None:
        """Wait until all callers have sent what they send, or the time for it is over."""
        await asyncio.wait(self._sent, timeout=CROWD_S)
        await asyncio.sleep(STAND_S)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()


async def _read_slowly(reader: asyncio.StreamReader, bytes_per_s: int) -> None:
    while await reader.read(bytes_per_s // 10):  # noqa: ASYNC110  # The pauses set the speed.
        await asyncio.sleep(0.1)
