"""Stand in for the platform's metadata store, as `PROTOCOL.md` describes it."""

import asyncio
import base64
import json
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import Message, Server, render_response

PAGE = 50


class Store:
    """Store items with revisions, and serve reads and watches of them.

    Attributes:
        down: Whether each call is answered 503, as nothing was done.
        calls: Number of calls, also refused ones.
        cut_after_s: Time after which a watch that waits is cut, or None.
        cuts: Number of watches that were cut.
        callers: Number of watches that each address has started.
    """

    def __init__(self, host: str, port: int):
        self.address = f"{host}:{port}"
        self.server = Server(host, port, self._answer)
        self.down = False
        self.calls = 0
        self.cut_after_s: float | None = None
        self.cuts = 0
        self.callers: Counter[str] = Counter()
        self.revision = 1
        self._items: dict[str, tuple[bytes, int]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write an item as JSON."""
        self.revision += 1
        self._items[key] = (json.dumps(value).encode(), self.revision)
        self._note(self._item(key))

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "tombstone": True})

    def keys(self) -> list[str]:
        """Return the keys of all items."""
        return sorted(self._items)

    def _note(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self.wake()

    def wake(self) -> None:
        """Let the waiting watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        data, revision = self._items[key]
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "created_at": 1, "lease": 0}

    async def _answer(self, request: Message, peer: str) -> bytes:
        self.calls += 1
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.down:
            return render_response(503, [])
        if parts.path == "/api/kv-range":
            return self._range(query)
        if parts.path == "/api/kv-watch":
            self.callers[peer] += 1
            return await self._watch(query)
        if parts.path == "/api/kv-key" and query.get("key") in self._items:
            return _json(self._item(query["key"]) | {"at_rev": self.revision})
        return render_response(404, [])

    def _range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [key for key in self.keys() if key.startswith(prefix) and key > after]
        items = [self._item(key) for key in keys[:PAGE]]
        return _json({"items": items, "has_more": len(keys) > PAGE, "at_rev": self.revision})

    async def _watch(self, query: dict[str, str]) -> bytes | None:
        prefix, after = query.get("prefix", ""), int(query["after"])
        started_s = asyncio.get_running_loop().time()
        end_s = started_s + int(query["wait_ms"]) / 1000
        cut_s = float("inf") if self.cut_after_s is None else started_s + self.cut_after_s
        while True:
            if self.down:
                return render_response(503, [])
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events:
                return _json({"events": events, "at_rev": self.revision})
            try:
                async with asyncio.timeout_at(min(end_s, cut_s)):
                    await self._changed.wait()
            except TimeoutError:
                if cut_s < end_s:
                    self.cuts += 1
                    return None
                return _json({"events": [], "at_rev": self.revision})


def _json(content: Any) -> bytes:
    body = json.dumps(content).encode()
    return render_response(200, [("Content-Type", "application/json")], body)
