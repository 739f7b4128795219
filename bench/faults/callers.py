"""Stand in for outside callers: send open-loop load and record every attempt."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from itertools import count
from urllib.parse import quote

import aiohttp
import attrs

from gentianthread.protocol.headers import (
    CONTEXT,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    NOT_RUN,
    REFUSAL,
)

from .deployments import CALLER_PORT, GREEDY, WITHDRAWN, Declarations, tampered
from .records import Attempt, Log, Result, now_s
from .targets import open_session, right_answer

# A caller waits this much longer than its deadline before it gives up.
PATIENCE_S = 2.0

WRONG_KINDS = ("tampered", "keyless", "forged", "in-header", "in-query", "in-path", "encoded")


@attrs.frozen
class Stream:
    """Describe one stream of equal requests.

    Attributes:
        kind: Kind and path.
        rate_per_s: Mean arrivals.
        deadline_ms: Deadline sent with each request.
        sizes: Lengths of answers; odd ones come without a length.
        surge: Factor on the rate during a surge.
    """

    kind: str
    rate_per_s: float
    deadline_ms: float
    sizes: tuple[int, ...] = (100, 101)
    surge: float = 1.0


STREAMS = (
    Stream("look/normal", 24, 1_000, surge=6),
    Stream("look/background", 16, 1_000, surge=9),
    Stream("look/important", 8, 1_000),
    Stream("look/open", 3, 1_000),
    Stream("look/deep", 10, 1_500),
    Stream("orders", 12, 3_000),
    Stream("files", 2, 15_000, sizes=(300_000, 400_001)),
)

_ORGANISATIONS = ("large-1", "large-2", "small-1", "small-2", "small-3", "small-4")
_WEIGHTS = (3, 3, 1, 1, 1, 1)


class Callers:
    """Run all streams against the caller ports of the nodes.

    Attributes:
        surging: Whether the surge is on; callers then also repeat hard.
        victim: Id of the key that connected callers of one organisation use.
        entries: Upstreams whose nodes callers know.
    """

    def __init__(
        self, declarations: Declarations, log: Log, source: random.Random, scale: float = 1.0
    ):
        """Create callers that do not send yet.

        Args:
            declarations: Keys and places.
            log: Where attempts go.
            source: Source of randomness.
            scale: Factor on all rates.
        """
        self.declarations = declarations
        self.log = log
        self.surging = False
        self.victim = declarations.keys_of(WITHDRAWN)[0]
        self.entries = list(declarations.places)
        self._random = source
        self._scale = scale
        self._numbers = count(1)
        self._running: set[asyncio.Task] = set()
        self._arrivals: list[asyncio.Task] = []
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    def start(self) -> None:
        """Begin to send."""
        for stream in STREAMS:
            self._begin(self._send_stream(stream))
        for entry in self.entries:
            self._begin(self._send_victim(entry))
        self._begin(self._send_greedy())
        self._begin(self._send_wrong())

    def _begin(self, work) -> None:
        self._arrivals.append(asyncio.ensure_future(work))

    async def stop(self) -> None:
        """Send nothing new and wait for what runs."""
        for task in self._arrivals:
            task.cancel()
        await asyncio.gather(*self._arrivals, return_exceptions=True)
        while self._running:
            await asyncio.wait(self._running)

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _pace(self, rate: Callable[[], float]) -> None:
        await asyncio.sleep(self._random.expovariate(max(0.01, rate())))

    async def _send_stream(self, stream: Stream) -> None:
        def rate() -> float:
            return stream.rate_per_s * self._scale * (stream.surge if self.surging else 1.0)

        while True:
            await self._pace(rate)
            organisation = self._random.choices(_ORGANISATIONS, _WEIGHTS)[0]
            key_id = self.declarations.keys_of(organisation)[0]
            open_route = stream.kind == "look/open"
            self._spawn(self._whole_request(stream, organisation, "" if open_route else key_id))

    async def _send_victim(self, entry: str) -> None:
        stream = Stream("look/background", 4, 1_000)
        while True:
            await self._pace(lambda: stream.rate_per_s)
            attempt = self._new_attempt(stream, WITHDRAWN, self.victim, f"v{next(self._numbers)}")
            attempt.entry = entry
            self._spawn(self._send(attempt, stream, {}, self._authorization(attempt.key_id)))

    async def _send_greedy(self) -> None:
        """Send several times the rate, also in bursts at all nodes at once."""
        stream = Stream("look/background", 40, 1_000)
        key_id = self.declarations.keys_of(GREEDY)[0]
        while True:
            for _ in range(50):
                self._spawn(self._whole_request(stream, GREEDY, key_id))
            for _ in range(60):
                await self._pace(lambda: stream.rate_per_s)
                self._spawn(self._whole_request(stream, GREEDY, key_id))
            await asyncio.sleep(1.0)

    async def _send_wrong(self) -> None:
        stream = Stream("look/normal", 6, 1_000)
        while True:
            await self._pace(lambda: stream.rate_per_s)
            self._spawn(self._send_wrong_one(stream, self._random.choice(WRONG_KINDS)))

    async def _send_wrong_one(self, stream: Stream, wrong: str) -> None:
        """Send a request that must not run."""
        key_id = self.declarations.keys_of("large-1")[0]
        key = self.declarations.keys[key_id]
        attempt = self._new_attempt(stream, "", "", f"w{next(self._numbers)}")
        attempt.valid = False
        headers, suffix = {"Authorization": f"Bearer {key}"}, ""
        if wrong == "tampered":
            headers = {"Authorization": f"Bearer {tampered(key, self._random)}"}
        elif wrong == "keyless":
            headers = {}
        elif wrong == "forged":
            headers = {CONTEXT: f"{self._random.getrandbits(128):032x}"}
        elif wrong == "in-header":
            headers["X-Note"] = f"key {key}"
        elif wrong == "in-query":
            suffix = f"&token={key}"
        elif wrong == "encoded":
            suffix = f"&token=%67{quote(key[1:])}"
        path = f"look/normal/{key}" if wrong == "in-path" else "look/normal"
        await self._send(attempt, stream, {}, headers, path=path, suffix=suffix)

    def _new_attempt(
        self, stream: Stream, organisation: str, key_id: str, root_id: str, number: int = 1
    ) -> Attempt:
        entry = self._random.choice(self.entries)
        attempt_id = f"{root_id}-{number}"
        return Attempt(
            attempt_id, root_id, stream.kind, organisation, key_id, True, entry, False, 0.0
        )

    def _authorization(self, key_id: str) -> dict[str, str]:
        if not key_id:
            return {}
        return {"Authorization": f"Bearer {self.declarations.keys[key_id]}"}

    async def _whole_request(self, stream: Stream, organisation: str, key_id: str) -> None:
        root_id = f"r{next(self._numbers)}"
        due_s = now_s() + stream.deadline_ms / 1000
        idempotency_key = await self._make_idempotency_key(stream, key_id, root_id)
        hard = self.surging
        for number in range(1, 6 if hard else 3):
            attempt = self._new_attempt(stream, organisation, key_id, root_id, number)
            attempt.keyed = idempotency_key is not None
            extra = {IDEMPOTENCY_KEY: idempotency_key} if attempt.keyed else {}
            await self._send(attempt, stream, extra, self._authorization(key_id), due_s=due_s)
            if not self._may_repeat(stream, attempt) or now_s() >= due_s:
                return
            await asyncio.sleep(self._random.random() * (0.02 if hard else 0.1))

    def _may_repeat(self, stream: Stream, attempt: Attempt) -> bool:
        if attempt.result is Result.WHOLE and attempt.status < 500:
            return False
        if attempt.organisation == GREEDY and not self.surging:
            return False
        if stream.kind != "orders" or attempt.keyed:
            return True
        return attempt.result is Result.NO_CONNECTION or attempt.not_run

    async def _make_idempotency_key(self, stream: Stream, key_id: str, root_id: str) -> str | None:
        """Return a ticket for half of the orders and a key of the caller's own for a quarter."""
        if stream.kind != "orders":
            return None
        drawn = self._random.random()
        if drawn < 0.25:
            return f"own-{root_id}"
        return await self._fetch_ticket(key_id) if drawn < 0.75 else None

    async def _fetch_ticket(self, key_id: str) -> str | None:
        entry = self._random.choice(self.entries)
        service = next(
            one.name for one in self.declarations.deployment.services if one.role == "orders"
        )
        url = f"{self._base(entry)}/.gentian/tickets?service={service}"
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self._session(entry).post(
                url, headers=self._authorization(key_id), timeout=timeout
            ) as answer:
                if answer.status != 201:
                    return None
                return (await answer.json())["idempotency_key"]
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _base(self, entry: str) -> str:
        return f"http://{self.declarations.places[entry].host}:{CALLER_PORT}"

    def _session(self, entry: str) -> aiohttp.ClientSession:
        if entry not in self._sessions:
            self._sessions[entry] = open_session()
        return self._sessions[entry]

    async def _send(
        self,
        attempt: Attempt,
        stream: Stream,
        extra: dict[str, str],
        authorization: dict[str, str],
        *,
        path: str = "",
        suffix: str = "",
        due_s: float | None = None,
    ) -> None:
        size = self._random.choice(stream.sizes)
        if attempt.keyed:
            # A repeat may be answered from the record of the first execution.
            size = stream.sizes[0]
        query = f"id={attempt.root_id}&attempt={attempt.attempt_id}&size={size}{suffix}"
        url = f"{self._base(attempt.entry)}/{path or stream.kind}?{query}"
        attempt.sent_s = now_s()
        due_s = due_s or attempt.sent_s + stream.deadline_ms / 1000
        remaining_s = max(0.05, due_s - attempt.sent_s)
        headers = {DEADLINE_MS: f"{remaining_s * 1000:.0f}", **extra, **authorization}
        order = stream.kind == "orders"
        self.log.attempts.append(attempt)
        try:
            async with self._session(attempt.entry).request(
                "POST" if order else "GET",
                url,
                headers=headers,
                data=f"order {attempt.root_id}".encode() if order else None,
                timeout=aiohttp.ClientTimeout(total=remaining_s + PATIENCE_S),
            ) as answer:
                await _read(attempt, answer, size)
        except aiohttp.ClientConnectorError as error:
            attempt.result, attempt.reason = Result.NO_CONNECTION, type(error).__name__
        except TimeoutError:
            attempt.result = Result.HUNG
        except (aiohttp.ClientError, OSError) as error:
            attempt.result, attempt.reason = Result.BROKEN, type(error).__name__
        attempt.ended_s = now_s()


async def _read(attempt: Attempt, answer: aiohttp.ClientResponse, size: int) -> None:
    digest, length = hashlib.sha256(), 0
    attempt.status = answer.status
    attempt.reason = answer.headers.get(REFUSAL, "")
    attempt.not_run = answer.headers.get(NOT_RUN) == "true"
    async for part in answer.content.iter_any():
        digest.update(part)
        length += len(part)
    if attempt.reason:
        attempt.result = Result.REFUSED
        return
    attempt.result = Result.WHOLE
    right = right_answer(attempt.root_id, size, digest.hexdigest())
    attempt.digest_right = right and length == size
