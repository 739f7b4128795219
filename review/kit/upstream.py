"""Stand in for an upstream, as `PROTOCOL.md` describes it."""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .http import Message, Server, render_response

# Works on a request; the response goes out when it returns.
Work = Callable[["Upstream", Message], Awaitable[None]]


async def work_shortly(upstream: "Upstream", request: Message) -> None:
    """Work for ten milliseconds."""
    await asyncio.sleep(0.01)


class WorkFailed(Exception):
    """Report that the work on a request failed; the upstream answers 500."""


class Run:
    """Describe one request on which an upstream began to work.

    Attributes:
        began_s: Time of the event loop at which it began.
        ended_s: Time at which it ended, or None while it runs.
        completed: Whether the work ended, and was not given up as the connection closed.
    """

    def __init__(self, request: Message, upstream: "Upstream", began_s: float):
        self.request_id = request.find("Request-Id") or ""
        self.request, self.upstream, self.began_s = request, upstream, began_s
        self.ended_s: float | None = None
        self.completed = False


class Upstream:
    """Run requests in slots, and reject those for other upstreams and those beyond its slots."""

    def __init__(self, host: str, port: int, service: str, name: str, zone: str, slots: int = 64):
        self.host, self.port = host, port
        self.service, self.name, self.zone, self.slots = service, name, zone, slots
        self.server = Server(host, port, self._answer)
        self.work: Work = work_shortly
        self.answer_bytes = 0
        self.runs: list[Run] = []
        self.running = 0
        self.writes = 0
        self.born = time.time_ns() // 1_000_000

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what it writes next to the store."""
        self.writes += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left": "0ms",
            "sequence": self.writes,
            "born": self.born,
        }

    async def _answer(self, request: Message, peer: str) -> bytes:
        request_id = request.find("Request-Id") or ""
        fields = [("Request-Id", request_id)]
        if request.target == "/healthz":
            return render_response(200, [*fields, ("Instance-Id", self.name), self._load()])
        if request.find("Target-Instance") not in (None, self.name):
            return render_response(421, [*fields, ("Not-Executed", "1")])
        if self.running >= self.slots:
            return render_response(503, [*fields, ("Not-Executed", "1"), self._load()])
        run = Run(request, self, asyncio.get_running_loop().time())
        self.runs.append(run)
        self.running += 1
        status = 200
        try:
            await self.work(self, request)
            run.completed = True
        except WorkFailed:
            status = 500
        finally:
            self.running -= 1
            run.ended_s = asyncio.get_running_loop().time()
        body = f"{self.name} {request_id} {request.target}".encode()
        body = body.ljust(self.answer_bytes, b".")
        seal = hashlib.sha256(body).hexdigest()[:16]
        return render_response(status, [*fields, ("Server-Seal", seal), self._load()], body)

    def _load(self) -> tuple[str, str]:
        return "Server-Load", f"{self.running},0,{self.slots}"
