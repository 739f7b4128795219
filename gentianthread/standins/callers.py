"""Stand in for outside callers: send open-loop load and check every answer."""

import asyncio
import hashlib
import random
from http import HTTPStatus
from itertools import cycle

import aiohttp

from ..clock import SystemClock
from .results import Result, Results, Sample
from .target import DIGEST
from .workload import RequestStream, Workload

# How long callers may finish after the last arrival, beyond their deadline.
DRAIN_MS = 2_000.0

_CONNECTION_LIMIT = 2_000


class Callers:
    """Run the streams of a workload.

    Arrivals do not wait for answers: a slow system meets the same load as a fast one.
    """

    def __init__(self, workload: Workload, seed: int):
        """Create callers.

        Args:
            workload: What to send.
            seed: Seed of arrival times and waits.
        """
        self.workload = workload
        self.results = Results()
        self._random = random.Random(seed)
        self._clock = SystemClock()
        self._entries = cycle(workload.entries)
        self._running: set[asyncio.Task] = set()
        self._started_ms = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> Results:
        """Send the whole workload and return the results."""
        connector = aiohttp.TCPConnector(limit=_CONNECTION_LIMIT)
        async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
            self._session = session
            self._started_ms = self._clock.now_ms()
            await asyncio.gather(*(self._arrivals(stream) for stream in self.workload.streams))
            if self._running:
                longest_ms = max(stream.deadline_ms for stream in self.workload.streams)
                await asyncio.wait(self._running, timeout=(longest_ms + DRAIN_MS) / 1000)
            for task in self._running:
                task.cancel()
            await asyncio.gather(*self._running, return_exceptions=True)
        return self.results

    async def _arrivals(self, stream: RequestStream) -> None:
        due_ms = 0.0
        while True:
            rate_per_s = stream.rate_per_s * self._factor(stream, due_ms)
            if rate_per_s <= 0:
                due_ms += 100.0
                continue
            due_ms += self._random.expovariate(rate_per_s) * 1000
            if due_ms >= self.workload.duration_s * 1000:
                return
            await self._clock.sleep_ms(self._started_ms + due_ms - self._clock.now_ms())
            task = asyncio.create_task(self._whole_request(stream, due_ms))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    def _factor(self, stream: RequestStream, due_ms: float) -> float:
        start_ms = self.workload.trigger_start_s * 1000
        end_ms = self.workload.trigger_end_s * 1000
        return stream.surge_factor if start_ms <= due_ms < end_ms else 1.0

    async def _whole_request(self, stream: RequestStream, due_ms: float) -> None:
        attempts = 0
        result, reason = Result.FAILED, "cancelled"
        deadline_ms = self._started_ms + due_ms + stream.deadline_ms
        idempotency_key = None
        try:
            if stream.ticket_service:
                idempotency_key = await self._ticket(stream, deadline_ms)
            while True:
                attempts += 1
                result, reason = await self._attempt(stream, deadline_ms, idempotency_key)
                if not self._may_repeat(stream, result, attempts, deadline_ms):
                    break
                await self._clock.sleep_ms(self._random.expovariate(1) * stream.retry_wait_ms)
        finally:
            latency_ms = self._clock.now_ms() - self._started_ms - due_ms
            self.results.add(
                Sample(
                    stream.organisation,
                    stream.priority,
                    due_ms / 1000,
                    latency_ms,
                    attempts,
                    result,
                    reason,
                )
            )

    def _may_repeat(
        self, stream: RequestStream, result: Result, attempts: int, deadline_ms: float
    ) -> bool:
        if result in (Result.COMPLETE, Result.CORRUPT) or attempts > stream.retries:
            return False
        safe = stream.method == "GET" or stream.ticket_service or result is Result.REFUSED
        return bool(safe) and self._clock.now_ms() < deadline_ms

    def _headers(self, stream: RequestStream, deadline_ms: float) -> dict[str, str]:
        headers = {"Gentian-Deadline-Ms": f"{max(1.0, deadline_ms - self._clock.now_ms()):.0f}"}
        if stream.key:
            headers["Authorization"] = f"Bearer {stream.key}"
        return headers

    async def _ticket(self, stream: RequestStream, deadline_ms: float) -> str | None:
        url = f"{next(self._entries)}/.gentian/tickets?service={stream.ticket_service}"
        try:
            async with self._session.post(
                url, headers=self._headers(stream, deadline_ms), timeout=self._timeout(deadline_ms)
            ) as answer:
                if answer.status != HTTPStatus.CREATED:
                    return None
                return (await answer.json())["idempotency_key"]
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _timeout(self, deadline_ms: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=max(0.001, (deadline_ms - self._clock.now_ms()) / 1000))

    async def _attempt(
        self, stream: RequestStream, deadline_ms: float, idempotency_key: str | None
    ) -> tuple[Result, str]:
        headers = self._headers(stream, deadline_ms)
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        try:
            async with self._session.request(
                stream.method,
                next(self._entries) + stream.path,
                headers=headers,
                data=b"x" * stream.body_bytes or None,
                timeout=self._timeout(deadline_ms),
            ) as answer:
                body = await answer.read()
        except TimeoutError:
            return Result.UNKNOWN, "timeout"
        except aiohttp.ClientError as error:
            return Result.FAILED, type(error).__name__
        return _judge(answer, body)


def _judge(answer: aiohttp.ClientResponse, body: bytes) -> tuple[Result, str]:
    reason = answer.headers.get("Gentian-Refusal", "")
    if answer.headers.get("Gentian-Not-Run") == "true":
        return Result.REFUSED, reason
    if answer.headers.get("Gentian-Outcome") == "unknown":
        return Result.UNKNOWN, reason
    if answer.status >= 400:
        return Result.FAILED, reason or f"status {answer.status}"
    digest = answer.headers.get(DIGEST)
    if digest is not None and digest != hashlib.sha256(body).hexdigest():
        return Result.CORRUPT, "digest"
    return Result.COMPLETE, ""
