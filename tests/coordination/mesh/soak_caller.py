"""Send the requests of a soak as callers do, with limits on the time until an answer."""

import asyncio
from collections.abc import Awaitable

import attrs

from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import OUTBOUND_PORT

# Timeout that callers request; an answer that exceeds it by more than the slack counts as missing.
CALLER_TIMEOUT_MS = 2_000
CALLER_SLACK_MS = 1_000

# Callers reuse connections that were idle for up to four fifths of the `idle_timeout` of 15 s.
REUSE_IDLE_LIMIT_S = 12.0

# A pause of the whole process, as on a busy host, counts as one such step of a caller's time limit.
# The timers of the sidecars and of the callers all expire in it, and a caller that gave up then
# could not read an answer that was sent in time.
RUNNING_STEP_S = 0.1


@attrs.define
class Call:
    """Record a request and the answer that its caller received.

    Attributes:
        at: Name of the upstream whose sidecar receives the request.
        status: Status of the answer; 0 if there is none.
        cancelled: Whether the caller disconnected without waiting for the answer.
        on_kept_connection: Whether it was sent on a connection that had carried others before.
        key: Key of the caller.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    at: str
    status: int = 0
    fields: dict[str, str] = attrs.field(factory=dict)
    answer: bytes = b""
    started_s: float = 0.0
    ended_s: float = 0.0
    error: str = ""
    cancelled: bool = False
    on_kept_connection: bool = False
    key: str = "key-acme"


async def run_within(work: Awaitable[None], limit_s: float) -> None:
    """Wait for work until this process has run for a time; pauses of it hardly count.

    Args:
        work: The work; cancelled at the end of the time.
        limit_s: The time.

    Raises:
        TimeoutError: The work did not end in time.
    """
    task = asyncio.ensure_future(work)
    try:
        for _ in range(round(limit_s / RUNNING_STEP_S)):
            await asyncio.wait([task], timeout=RUNNING_STEP_S)
            if task.done():
                return task.result()
        raise TimeoutError
    finally:
        task.cancel()


class Connections:
    """Keep the connections of one caller open until a sidecar closes them or says that it will."""

    def __init__(self):
        """Create a caller without connections."""
        self._open: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self._used_s: dict[str, float] = {}

    async def exchange(self, call: Call, host: str, disconnects_after_s: float | None) -> None:
        """Send a request and read the answer, on the open connection to a sidecar if there is one.

        Args:
            call: The request; gets the answer.
            host: Address of the sidecar.
            disconnects_after_s: Time after which the caller disconnects without an answer, if it
                does.

        Raises:
            OSError: The connection failed.
            asyncio.IncompleteReadError: It was closed before the answer was complete.
        """
        connection = self._take_open(host)
        if connection is None:
            connection = await asyncio.open_connection(host, OUTBOUND_PORT)
        else:
            call.on_kept_connection = True
        reader, writer = connection
        try:
            writer.write(_render(call))
            if disconnects_after_s is not None:
                await asyncio.sleep(disconnects_after_s)
                call.cancelled = True
                return
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = dict(line.split(": ", 1) for line in head[1:] if line)
            answer = await reader.readexactly(int(fields.get("Content-Length", 0)))
            call.status, call.fields, call.answer = int(head[0].split()[1]), fields, answer
            if fields.get("Connection", "").lower() != "close":
                self._open[host] = connection
                self._used_s[host] = asyncio.get_running_loop().time()
        finally:
            if self._open.get(host) is not connection:
                writer.close()

    def _take_open(self, host: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return the open connection to a sidecar if a caller may still use it."""
        connection = self._open.pop(host, None)
        if connection is None:
            return None
        idle_s = asyncio.get_running_loop().time() - self._used_s[host]
        if connection[0].at_eof() or idle_s > REUSE_IDLE_LIMIT_S:
            connection[1].close()
            return None
        return connection

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._open.values():
            writer.close()
        self._open.clear()


def _render(call: Call) -> bytes:
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        "Host: shop.example",
        f"{DIALECT.request_id}: {call.request_id}",
        f"{DIALECT.remaining_ms}: {CALLER_TIMEOUT_MS}",
        f"{DIALECT.key}: {call.key}",
        f"Content-Length: {len(call.body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + call.body
