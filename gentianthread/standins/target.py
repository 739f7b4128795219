"""Stand in for a target: an HTTP service whose behaviour tests and the demo choose."""

import asyncio
import hashlib
import signal
import sys
from collections import Counter
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import aiohttp
import attrs

from ..errors import ConnectionLost
from ..protocol.headers import CONTEXT, DEADLINE_MS, REQUEST_ID, HeaderFields
from ..transport.http_names import PHRASES
from ..transport.http_server import Exchange, HttpExchange, HttpListener

PROBE_PATH = "/.gentian/probe"
DIGEST = "Standin-Digest"

_BLOCK_BYTES = 16 * 1024


@attrs.define
class Behaviour:
    """Set how a target answers.

    Attributes:
        status: HTTP status.
        service_ms: Time before the head of the answer.
        body_bytes: Length of the answer; the query parameter `size` overrides it.
        chunked: Whether the answer comes without a length.
        chunk_delay_ms: Time between blocks of the answer.
        inner_paths: Calls that the target makes through its node before it answers.
        fail_with_inner: Whether a failed inner call makes the answer a 502.
        hang: Whether the target never answers.
        truncate_after: Bytes of the answer after which the connection is cut, or None.
        cut_before: Whether the connection is cut in place of an answer.
        headers: Further fields of the answer.
        echo_id: Whether the answer names its request.
        repeat_after_ms: Time after which the answer is written once more on its connection, or
            None. Answers with a length only, and those of probes.
        repeat_on_next: Whether the answer is written once more when the next request arrives on its
            connection, before that one is answered. The same answers.
    """

    status: int = 200
    service_ms: float = 0.0
    body_bytes: int = 100
    chunked: bool = False
    chunk_delay_ms: float = 0.0
    inner_paths: tuple[str, ...] = ()
    fail_with_inner: bool = True
    hang: bool = False
    truncate_after: int | None = None
    cut_before: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    echo_id: bool = True
    repeat_after_ms: float | None = None
    repeat_on_next: bool = False


@attrs.define
class Seen:
    """Record one request that reached the target.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields.
        body_bytes: Length of the body that arrived.
        body_digest: SHA-256 of the body in hex.
        body_complete: Whether the body arrived to its end.
        ended: Whether the answer was sent to its end.
        cancelled: Whether the node closed the connection first.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int = 0
    body_digest: str = ""
    body_complete: bool = False
    ended: bool = False
    cancelled: bool = False

    def header(self, name: str) -> str | None:
        """Return the value of a field, or None."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


class StandinTarget:
    """Serve requests and count their executions by the query parameter `id`.

    Attributes:
        behaviour: How requests are answered.
        seen: Every request that arrived.
        keep_seen: Whether requests are recorded and executions counted.
        executions: Executions by the `id` of the query, or by request id without one.
        running: Requests that run.
        most_running: Largest number of requests that ran together.
        draining: Whether probes say that the target drains.
        repeated: Answers that were written once more.
    """

    def __init__(
        self,
        behaviour: Behaviour | None = None,
        choose: Callable[[Seen], Behaviour | None] = lambda seen: None,
        slots: int = 0,
    ):
        """Create a target that is not open yet.

        Args:
            behaviour: How requests are answered.
            choose: Returns another behaviour for single requests, or None.
            slots: Requests that run at once, the others wait; 0 means any number.
        """
        self._slots = asyncio.Semaphore(slots or sys.maxsize)
        self.behaviour = behaviour or Behaviour()
        self.choose = choose
        self.seen: list[Seen] = []
        self.keep_seen = True
        self.executions: Counter[str] = Counter()
        self.running = 0
        self.most_running = 0
        self.probes = 0
        self.draining = False
        self.repeated = 0
        # Copies of answers that wait for the next request on their connections.
        self._waiting_copies: dict[asyncio.Transport, bytes] = {}
        self.node_url = ""
        self.port = 0
        self._listener = HttpListener(self._serve)
        self._session: aiohttp.ClientSession | None = None

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Start to listen and return the port."""
        await self._listener.open(host, port)
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.port = self._listener.port
        return self.port

    async def close(self) -> None:
        """Stop at once."""
        await self._listener.close()
        if self._session is not None:
            await self._session.close()

    async def _serve(self, exchange: HttpExchange) -> None:
        if (copy := self._waiting_copies.pop(exchange.transport, None)) is not None:
            self._write_copy(exchange.transport, copy)
        if exchange.target == PROBE_PATH:
            await self._answer_probe(exchange)
            return
        seen = Seen(exchange.method, exchange.target, tuple(exchange.headers))
        if self.keep_seen:
            self.seen.append(seen)
        query = parse_qs(urlsplit(exchange.target).query)
        name = query.get("id", [seen.header(REQUEST_ID) or ""])[0]
        if self.keep_seen:
            self.executions[name] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            async with self._slots:
                await self._execute(exchange, seen, query)
            seen.ended = True
        except asyncio.CancelledError:
            seen.cancelled = True
            raise
        except ConnectionLost:
            seen.cancelled = True
            exchange.abort()
        finally:
            self.running -= 1

    async def _answer_probe(self, exchange: HttpExchange) -> None:
        self.probes += 1
        state = b"draining" if self.draining else b"ready"
        headers = [*_echo(exchange), ("Content-Length", str(len(state)))]
        await exchange.send_head(200, headers, has_body=True)
        await exchange.send(state)
        await exchange.finish()
        self._repeat(exchange, self.behaviour, _serialize(200, headers, state))

    async def _execute(self, exchange: Exchange, seen: Seen, query: dict) -> None:
        behaviour = self.choose(seen) or self.behaviour
        await _receive(exchange, seen)
        if behaviour.service_ms > 0:
            await asyncio.sleep(behaviour.service_ms / 1000)
        if behaviour.hang:
            await asyncio.Event().wait()
        status = behaviour.status
        for path in behaviour.inner_paths:
            inner_status = await self.call_inner(seen, path)
            if inner_status >= 500 and behaviour.fail_with_inner:
                status = 502
        if behaviour.cut_before:
            exchange.abort()
            return
        size = int(query.get("size", [str(behaviour.body_bytes)])[0])
        await self._send(exchange, behaviour, status, size, query.get("id", [""])[0])

    async def _send(
        self, exchange: Exchange, behaviour: Behaviour, status: int, size: int, name: str
    ) -> None:
        block = pattern(name, _BLOCK_BYTES)
        headers = [*behaviour.headers, ("Content-Type", "application/octet-stream")]
        headers.append((DIGEST, digest_of(name, size)))
        if behaviour.echo_id:
            headers += _echo(exchange)
        if not behaviour.chunked:
            headers.append(("Content-Length", str(size)))
        await exchange.send_head(status, headers, has_body=exchange.method != "HEAD")
        sent = 0
        while sent < size and exchange.method != "HEAD":
            part = block[: min(len(block), size - sent)]
            if behaviour.truncate_after is not None:
                part = part[: max(0, behaviour.truncate_after - sent)]
            if not part:
                exchange.abort()
                return
            await exchange.send(part)
            sent += len(part)
            if behaviour.chunk_delay_ms > 0:
                await asyncio.sleep(behaviour.chunk_delay_ms / 1000)
        if behaviour.truncate_after is not None:
            exchange.abort()
            return
        await exchange.finish()
        if behaviour.repeat_on_next or behaviour.repeat_after_ms is not None:
            body = b"" if exchange.method == "HEAD" else (block * (size // len(block) + 1))[:size]
            self._repeat(exchange, behaviour, _serialize(status, headers, body))

    def _repeat(self, exchange: HttpExchange, behaviour: Behaviour, answer: bytes) -> None:
        transport = exchange.transport
        if behaviour.repeat_after_ms is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(behaviour.repeat_after_ms / 1000, self._write_copy, transport, answer)
        if behaviour.repeat_on_next:
            self._waiting_copies = {
                other: copy
                for other, copy in self._waiting_copies.items()
                if not other.is_closing()
            }
            self._waiting_copies[transport] = answer

    def _write_copy(self, transport: asyncio.Transport | None, copy: bytes) -> None:
        if transport is not None and not transport.is_closing():
            transport.write(copy)
            self.repeated += 1

    async def call_inner(self, seen: Seen, path: str, method: str = "GET") -> int:
        """Make an inner call through the node and return its status, or 599 if it broke off."""
        headers = {CONTEXT: seen.header(CONTEXT) or ""}
        remaining = seen.header(DEADLINE_MS)
        if remaining is not None:
            headers[DEADLINE_MS] = remaining
        try:
            async with self._session.request(
                method, f"{self.node_url}{path}", headers=headers
            ) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 599


async def serve_target(target: StandinTarget, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; SIGUSR1 switches draining on and off.

    Args:
        target: The target, with its node's address set.
        host: IP address to listen on.
        port: Port to listen on; 0 takes a free one, which is printed.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)

    def switch_draining() -> None:
        target.draining = not target.draining

    loop.add_signal_handler(signal.SIGUSR1, switch_draining)
    await target.open(host, port)
    print(f"target at http://{host}:{target.port}", flush=True)
    await ended.wait()
    await target.close()


def pattern(name: str, size: int) -> bytes:
    """Return bytes that depend on a name, so that a crossed answer is noticed."""
    seed = hashlib.sha256(name.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


def digest_of(name: str, size: int) -> str:
    """Return the digest of the answer to the request with a name."""
    digest = hashlib.sha256()
    block = pattern(name, _BLOCK_BYTES)
    for start in range(0, size, len(block)):
        digest.update(block[: min(len(block), size - start)])
    return digest.hexdigest()


def _echo(exchange: Exchange) -> HeaderFields:
    """Return the field by which an answer names its request."""
    return tuple(pair for pair in exchange.headers if pair[0].lower() == REQUEST_ID.lower())


def _serialize(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _receive(exchange: Exchange, seen: Seen) -> None:
    digest = hashlib.sha256()
    if exchange.has_body:
        while (data := await exchange.read()) is not None:
            seen.body_bytes += len(data)
            digest.update(data)
    seen.body_digest = digest.hexdigest()
    seen.body_complete = True
