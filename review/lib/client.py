"""Send requests as the clients of the pages do."""

import asyncio
import itertools
import os

_numbers = itertools.count(1)
_PREFIX = os.urandom(4).hex()


def new_id():
    """Return a request id that no other request has."""
    return f"{_PREFIX}{next(_numbers):08x}"


class Answer:
    """Store what a client got; `status` is 0 if the connection ended before a complete answer."""

    def __init__(self, status=0, fields=None, body=b"", problem=""):
        self.status, self.fields, self.body = status, fields or {}, body
        self.problem = problem


class Client:
    """Keep one connection to a sidecar and send one request at a time on it."""

    def __init__(self, host, port, receive_buffer=None):
        self.host, self.port = host, port
        self._receive_buffer = receive_buffer
        self._reader = self._writer = None

    async def connect(self):
        import socket

        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self._receive_buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        raw.setblocking(False)
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(raw, (self.host, self.port))
        except BaseException:
            raw.close()
            raise
        # A small limit lets the kernel's window close when the client reads slowly.
        self._reader, self._writer = await asyncio.open_connection(sock=raw, limit=65_536)

    @property
    def connected(self):
        return self._writer is not None and not self._writer.is_closing()

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def send(self, method, path, host_field, request_id, key, timeout_ms, body=b"", extra=""):
        """Send a request without waiting for the answer."""
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host_field}\r\nRequest-Id: {request_id}\r\n"
            f"Timeout-Ms: {timeout_ms}\r\nKey: {key}\r\n{extra}{length}\r\n"
        )
        self._writer.write(head.encode())
        for start in range(0, len(body), 262_144):
            self._writer.write(body[start : start + 262_144])
            await self._writer.drain()

    async def receive(self, bytes_per_s=None):
        """Return the answer, read at a steady speed if one is given."""
        body = b""
        status, fields = 0, {}
        try:
            while True:
                lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                status = int(lines[0].split(" ")[1])
                if status >= 200:
                    break
            pairs = (line.split(":", 1) for line in lines[1:] if line)
            fields = {name.lower(): value.strip() for name, value in pairs}
            left = int(fields.get("content-length", "0"))
            parts, size = [], left
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            while left:
                part = await self._reader.read(min(left, 65_536))
                if not part:
                    got = sum(map(len, parts))
                    return Answer(0, fields, b"".join(parts), f"ended after {got} bytes of body")
                parts.append(part)
                left -= len(part)
                if bytes_per_s:
                    due_s = start_s + (size - left) / bytes_per_s
                    await asyncio.sleep(max(0.0, due_s - loop.time()))
            body = b"".join(parts)
            if fields.get("connection") == "close":
                self.close()
            return Answer(status, fields, body)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(0, fields, body, f"{type(error).__name__}")
