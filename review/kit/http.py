"""Serve and send HTTP/1.1 messages with a small parser of its own."""

import asyncio
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"


class Message:
    """Store the first line, the header fields and the body of a message."""

    def __init__(self, first: str, fields: list[tuple[str, str]], body: bytes):
        self.first, self.fields, self.body = first, fields, body

    def find(self, name: str) -> str | None:
        """Return the first value of a header field, or None."""
        lower = name.lower()
        return next((value for key, value in self.fields if key.lower() == lower), None)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.first.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length or in chunks.

    Raises:
        asyncio.IncompleteReadError: The connection ended first.
    """
    head = await reader.readuntil(HEAD_END)
    first, *lines = head.decode("latin-1")[: -len(HEAD_END)].split("\r\n")
    fields = [(name, value.strip()) for name, _, value in (line.partition(":") for line in lines)]
    message = Message(first, fields, b"")
    if "chunked" in (message.find("Transfer-Encoding") or ""):
        while size := int(await reader.readline(), 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        message.body = await reader.readexactly(int(message.find("Content-Length") or 0))
    return message


def render_response(status: int, fields: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Serialize a response with a length."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def render_request(
    method: str, target: str, fields: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Serialize a request; one with a body has a length."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\n{head}{length}\r\n".encode() + body


# Returns the whole response to a request, or None to close the connection without one.
Answer = Callable[[Message, str], Awaitable[bytes | None]]


class Server:
    """Serve one request at a time on each connection; a closed connection cancels its request."""

    def __init__(self, host: str, port: int, answer: Answer):
        self.host, self.port, self._answer = host, port, answer
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        following: asyncio.Task | None = None
        try:
            following = asyncio.ensure_future(read_message(reader))
            while True:
                request = await following
                work = asyncio.ensure_future(self._answer(request, peer))
                following = asyncio.ensure_future(read_message(reader))
                try:
                    await asyncio.wait((work, following), return_when=asyncio.FIRST_COMPLETED)
                    if not work.done() and following.exception() is not None:
                        return
                    response = await work
                finally:
                    work.cancel()
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            # The peer has closed the connection.
            pass
        finally:
            if following is not None:
                following.cancel()
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self) -> None:
        """Close all open connections; the server goes on to accept new ones."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop to serve and close all connections."""
        self._server.close()
        self.reset_connections()


async def send(
    host: str,
    port: int,
    method: str,
    target: str,
    fields: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; return its response, or None if there is no whole one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(render_request(method, target, fields, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
