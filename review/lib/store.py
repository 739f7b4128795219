"""Stand in for the platform's metadata store: HTTP/1.1, reads and watches."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit


class Store:
    """Serve items with revisions, as the pages describe.

    Attributes:
        revision: Revision of the last change.
        calls: Calls so far.
        down: Whether every call is answered with 503.
    """

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.revision = 1
        self.calls = 0
        self.down = False
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self._watchers = set()
        self._connections = set()
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def close(self):
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def put(self, key, value):
        """Write an item; the return is the confirmation."""
        data = json.dumps(value).encode()
        self.revision += 1
        self._items[key] = (data, self.revision)
        self._note(key, data)

    def remove(self, key):
        """Remove an item; the return is the confirmation."""
        del self._items[key]
        self.revision += 1
        self._note(key, None)

    def go_down(self):
        """Answer 503 from now on, and end the connections of waiting watches."""
        self.down = True
        self.cut_watches()

    def cut_watches(self):
        """Cut the watches that are waiting; return how many there were."""
        waiting = list(self._watchers)
        for writer in waiting:
            writer.transport.abort()
        return len(waiting)

    def _note(self, key, data):
        self._events.append((key, data, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                target = head.split(b" ", 2)[1].decode()
                status, content = await self._answer(target, writer)
                body = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, target, writer):
        if self.down:
            return 503, {}
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/kv-key":
            if query["key"] not in self._items:
                return 404, {}
            return 200, {**self._item(query["key"]), "at_rev": self.revision}
        if parts.path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            return 200, {
                "items": [self._item(key) for key in keys[:50]],
                "has_more": len(keys) > 50,
                "at_rev": self.revision,
            }
        if parts.path == "/api/kv-watch":
            return 200, await self._watch(query, writer)
        return 404, {}

    async def _watch(self, query, writer):
        after = int(query["after"])
        end_s = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        self._watchers.add(writer)
        try:
            while True:
                if self.down:
                    raise OSError("the store went down")
                found = [event for event in self._events if event[2] > after]
                if found:
                    return {
                        "events": [_event(*event) for event in found],
                        "at_rev": found[-1][2],
                    }
                try:
                    async with asyncio.timeout_at(end_s):
                        await self._changed.wait()
                except TimeoutError:
                    return {"events": [], "at_rev": self.revision}
        finally:
            self._watchers.discard(writer)

    def _item(self, key):
        data, revision = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "created_at": revision,
            "lease": 0,
        }


def _event(key, data, revision):
    if data is None:
        return {"key": key, "revision": revision, "tombstone": True}
    value = base64.b64encode(data).decode()
    return {"key": key, "value": value, "revision": revision, "created_at": 1, "lease": 0}
