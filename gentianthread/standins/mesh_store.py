"""Stand in for the metadata store of the users' platform."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ..clock import SystemClock
from ..platform.store import BASE_PATH, CALL_RANGE, CALL_WATCH, ERA_FIELD
from ..transport.http_pipeline import (
    BufferedRequest,
    BufferedResponse,
    PipelineListener,
    start_in_task,
)

# Differs from the ports of an instance in `mesh`.
STORE_PORT = 7806

# Size of the values, as text, at which the page of a range ends.
PAGE_BYTES = 1_000_000


class MeshStore:
    """Store items with revisions and serve reads and watches.

    Attributes:
        calls: Calls so far, also refused ones.
        down: Whether each call is refused with 503.
        refused: Addresses whose calls are refused.
        deaf: Whether waiting watches hear nothing.
        page: Items of one page of a range, which ends earlier at `PAGE_BYTES`.
        plus_is_blank: Whether a plus sign in a query stands for a blank, as in forms; RFC 3986
            does not say so.
        era: Number of restores so far.
    """

    def __init__(self, host: str, port: int = STORE_PORT):
        """Create an empty store.

        Args:
            host: IP address to serve at.
            port: TCP port to serve at.
        """
        self.host = host
        self.port = port
        self.calls = 0
        self.down = False
        self.refused: set[str] = set()
        self.deaf = False
        self.page = 50
        self.plus_is_blank = True
        self.revision = 1
        self.era = 0
        self._items: dict[str, tuple[bytes, int]] = {}
        self._events: list[tuple[str, bytes | None, int]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._listener = PipelineListener(start_in_task(self._answer), SystemClock())

    async def open(self) -> None:
        """Start to serve."""
        await self._listener.open(self.host, self.port)

    async def close(self) -> None:
        """Stop to serve."""
        await self._listener.close()

    def put(self, key: str, value: Any) -> None:
        """Write an item; bytes are stored as they are, other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._items[key] = (data, self.revision)
        self._note(key, data)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def forget_history(self) -> None:
        """Answer 410 to watches from before now."""
        self._forgotten = self.revision
        self._events.clear()
        self.wake()

    def copy(self) -> dict[str, tuple[bytes, int]]:
        """Return a copy of the items, for `restore`."""
        return dict(self._items)

    def restore(self, items: dict[str, tuple[bytes, int]]) -> None:
        """Come back from a copy; revisions after it are given out again."""
        self.era += 1
        self._items = dict(items)
        self.revision = max((revision for _, revision in items.values()), default=1)
        self._forgotten = 0
        self._events = [event for event in self._events if event[2] <= self.revision]
        self.wake()

    def wake(self) -> None:
        """End the present waits."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _note(self, key: str, data: bytes | None) -> None:
        self._events.append((key, data, self.revision))
        self.wake()

    async def _answer(self, request: BufferedRequest) -> BufferedResponse:
        answer = await self._answer_call(request)
        answer.headers.append((ERA_FIELD, str(self.era)))
        return answer

    async def _answer_call(self, request: BufferedRequest) -> BufferedResponse:
        self.calls += 1
        if self.down or request.peer_host in self.refused:
            return BufferedResponse(503, [])
        parts = urlsplit(request.target)
        plain = parts.query if self.plus_is_blank else parts.query.replace("+", "%2B")
        query = {name: values[0] for name, values in parse_qs(plain).items()}
        call = parts.path.removeprefix(BASE_PATH)
        if call == CALL_RANGE:
            return self._read_range(query)
        if call == CALL_WATCH:
            return await self._watch(query, request.peer_host)
        return BufferedResponse(404, [])

    def _read_range(self, query: dict[str, str]) -> BufferedResponse:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items: list[dict[str, Any]] = []
        size_bytes = 0
        for key in keys[: self.page]:
            item = self._item(key)
            size_bytes += len(item.get("value", ""))
            # A page has one item at least, so that a read goes on.
            if items and size_bytes > PAGE_BYTES:
                break
            items.append(item)
        return _json({"items": items, "has_more": len(keys) > len(items), "at_rev": self.revision})

    async def _watch(self, query: dict[str, str], host: str) -> BufferedResponse:
        after, wait_ms = int(query["after"]), int(query["wait_ms"])
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if self.down or host in self.refused:
                return BufferedResponse(503, [])
            if after < self._forgotten or after > self.revision:
                return BufferedResponse(410, [])
            found = [event for event in self._events if event[2] > after and not self.deaf]
            if found:
                return _json(
                    {"events": [_event(*event) for event in found], "at_rev": found[-1][2]}
                )
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                return _json({"events": [], "at_rev": self.revision})

    def _item(self, key: str) -> dict[str, Any]:
        data, revision = self._items[key]
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "created_at": 1, "lease": 0}


def _event(key: str, data: bytes | None, revision: int) -> dict[str, Any]:
    if data is None:
        return {"key": key, "revision": revision, "tombstone": True}
    return {"key": key, "value": base64.b64encode(data).decode(), "revision": revision}


def _json(content: Any) -> BufferedResponse:
    return BufferedResponse(
        200, [("Content-Type", "application/json")], json.dumps(content).encode()
    )
