"""Stand in for an application upstream."""

import asyncio
import hashlib
import time

# Part of a body that is read or written at once.
CHUNK_BYTES = 65_536


class Upstream:
    """Run requests, one at a time on a connection, and answer them with a seal.

    A path decides what a request does: the number in `work-N` is its work in ms, and that in
    `size-N` the length of the answer in bytes.

    Attributes:
        begun, begun_at_s: Ids of the requests that it began to run, and when.
        runs: Id, start and end of each run; times of the event loop.
        draining: Whether answers say that the connection closes.
        read_bytes_per_s: Speed at which bodies are read, or None for full speed.
    """

    def __init__(self, host, port, service, upstream_id, zone="a", slots=64, on_run=None):
        self.host, self.port = host, port
        self.service, self.upstream_id, self.zone, self.slots = service, upstream_id, zone, slots
        self.runs = []
        self.begun = []
        self.begun_at_s = []
        self.draining = False
        self.read_bytes_per_s = None
        self.on_run = on_run or (lambda upstream, request_id, text: None)
        self.born_ms = time.time_ns() // 1_000_000
        self._writes = 0
        self._server = None
        self._connections = set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, backlog=512
        )

    def close(self):
        """End as a process does that exits."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def entry(self, state="ready"):
        """Return what it writes to the store."""
        self._writes += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left": "0ms",
            "sequence": self._writes,
            "born": self.born_ms,
        }

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, path, _ = lines[0].split(" ")
                pairs = (line.split(":", 1) for line in lines[1:] if line)
                fields = {name.lower(): value.strip() for name, value in pairs}
                left = int(fields.get("content-length", "0"))
                if not await self._handle(reader, writer, method, path, fields, left):
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _handle(self, reader, writer, method, path, fields, left):
        request_id = fields.get("request-id", "")
        if path == "/healthz":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.upstream_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if fields.get("target-instance", self.upstream_id) != self.upstream_id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.upstream_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.begun.append(request_id)
        self.begun_at_s.append(started_s)
        self.on_run(self, request_id, f"begins {method} {path} body={left}")
        digest = hashlib.sha256()
        while left:
            data = await reader.read(min(CHUNK_BYTES, left))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            digest.update(data)
            left -= len(data)
            if self.read_bytes_per_s:
                await asyncio.sleep(len(data) / self.read_bytes_per_s)
        await asyncio.sleep(_number(path, "work-", 5) / 1000)
        size = _number(path, "size-", 64)
        closing = "Connection: close\r\n" if self.draining else "Keep-Alive: timeout=10\r\n"
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Server-Seal: {digest.hexdigest()[:16]}\r\n"
            f"Server-Load: 1,0,{self.slots}\r\n{closing}Content-Length: {size}\r\n\r\n".encode()
        )
        block = (request_id.encode() + b".") * (CHUNK_BYTES // (len(request_id) + 1))
        while size:
            part = block[: min(size, len(block))]
            writer.write(part)
            await writer.drain()
            size -= len(part)
        self.runs.append((request_id, started_s, loop.time()))
        self.on_run(self, request_id, "ends")
        return not self.draining


def _number(path, name, default):
    """Return the number after a name in a path."""
    _, found, rest = path.partition(name)
    digits = ""
    for character in rest:
        if not character.isdigit():
            break
        digits += character
    return int(digits) if found and digits else default


def expected_body(request_id, size):
    """Return the body of an answer, to compare it."""
    block = (request_id.encode() + b".") * (CHUNK_BYTES // (len(request_id) + 1))
    return (block * (size // len(block) + 1))[:size] if size else b""
