"""Read the platform's metadata store over HTTP."""

import base64
import binascii
import json
from typing import Any
from urllib.parse import urlencode

from ..clock import SystemClock
from ..errors import PlatformUnavailable, TransportError
from ..transport.metadata_store import (
    Document,
    HistoryLost,
    MetadataStore,
    StoreAdapter,
    StoreRead,
    store_adapters,
)
from ..transport.target_connection import TargetRequest, make_request
from ..transport.target_pool import PooledResponse, ReusedConnectionLost, TargetPool
from .documents import PLAN_KEY, UPSTREAM_PREFIX, JsonDocuments
from .names import ADAPTER

# Longest wait for an answer beside the wait that was asked for; the store answers in milliseconds.
READ_TIMEOUT_MS = 1_500.0

# Longest wait for a connection. A store to which all nodes come back at once drops opening packets,
# and the kernel sends them again only after seconds.
CONNECT_TIMEOUT_MS = 400.0

# Idle connections that are kept: a watch and a read may be under way at once.
CONNECTIONS = 2

# The calls of the store, behind its base path.
CALL_KEY = "kv-key"
CALL_RANGE = "kv-range"
CALL_WATCH = "kv-watch"
BASE_PATH = "/api/"

# One watch covers the configuration and the entries, so that a node holds a single one.
WATCH_PREFIX = ""

_GONE = 410


class HttpMetadataStore(MetadataStore):
    """Read items and watch for changes; the store holds nothing of ours."""

    def __init__(self, host: str, port: int, source_address: str | None = None):
        """Create a client; connections open on demand.

        Args:
            host: IP address of the store.
            port: Its TCP port.
            source_address: IP address that connections come from, or None for any.
        """
        self._fields = f"Host: {host}:{port}\r\nAccept: application/json\r\n"
        self._pool = TargetPool(
            host,
            port,
            lambda: CONNECTIONS,
            SystemClock(),
            "",
            source_address,
            dial_timeout_ms=CONNECT_TIMEOUT_MS,
        )

    @classmethod
    def connect(cls, host: str, port: int, source_address: str | None) -> "HttpMetadataStore":
        """Return a client of the store at an address."""
        return cls(host, port, source_address)

    async def read_all(self) -> StoreRead:
        """Read the configuration and all entries of upstreams."""
        first = await self._get(CALL_KEY, {"key": PLAN_KEY}, missing=True)
        documents = [] if first is None else [_document(first)]
        revision = None if first is None else _revision(first)
        after = ""
        while True:
            query = {"prefix": UPSTREAM_PREFIX} | ({"after": after} if after else {})
            page = await self._get(CALL_RANGE, query)
            # Pages are no snapshot; changes since the first one come with the next watch.
            revision = _revision(page) if revision is None else revision
            found = [_document(item) for item in _list(page, "items")]
            documents += found
            if not page.get("has_more") or not found:
                return StoreRead(tuple(documents), revision)
            after = found[-1].key

    async def watch(self, revision: int, wait_ms: float) -> StoreRead:
        """Wait for changes of any item."""
        query = {"prefix": WATCH_PREFIX, "after": str(revision), "wait_ms": str(int(wait_ms))}
        answer = await self._get(CALL_WATCH, query, wait_ms=wait_ms)
        events = tuple(_document(event) for event in _list(answer, "events"))
        return StoreRead(events, _revision(answer))

    async def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _get(
        self, call: str, query: dict[str, str], *, wait_ms: float = 0.0, missing: bool = False
    ) -> dict[str, Any] | None:
        target = f"{BASE_PATH}{call}?{urlencode(query)}"
        request = make_request("GET", target, self._fields, b"", "", wait_ms + READ_TIMEOUT_MS)
        try:
            pooled = await self._exchange(request)
        except (TransportError, TimeoutError, OSError) as error:
            raise PlatformUnavailable(call, f"{type(error).__name__}: {error}") from error
        answer = pooled.response
        if answer.status == 404 and missing:
            return None
        if answer.status == _GONE:
            raise HistoryLost(call, "history is gone")
        if answer.status != 200:
            raise PlatformUnavailable(call, f"status {answer.status}")
        return _parse(call, answer.body)

    async def _exchange(self, request: TargetRequest) -> PooledResponse:
        try:
            return await self._pool.exchange(request)
        except ReusedConnectionLost:
            # The store had closed the idle connection.
            return await self._pool.exchange(request, 0.0)


def _parse(call: str, body: bytes) -> dict[str, Any]:
    try:
        found = json.loads(body)
    except ValueError as error:
        raise PlatformUnavailable(call, "answer is no JSON") from error
    if not isinstance(found, dict):
        raise PlatformUnavailable(call, "answer is no JSON object")
    return found


def _list(answer: dict[str, Any], field: str) -> list[Any]:
    found = answer.get(field, [])
    if not isinstance(found, list):
        raise PlatformUnavailable("read", f"{field} is no list")
    return found


def _revision(answer: dict[str, Any]) -> int:
    revision = answer.get("at_rev")
    if isinstance(revision, bool) or not isinstance(revision, int):
        raise PlatformUnavailable("read", "at_rev is no whole number")
    return revision


def _document(item: Any) -> Document:
    try:
        data = None if item.get("tombstone") else base64.b64decode(item["value"], validate=True)
        return Document(str(item["key"]), data, int(item["revision"]))
    except (AttributeError, KeyError, TypeError, ValueError, binascii.Error) as error:
        raise PlatformUnavailable("read", f"item is malformed: {error!r}") from error


store_adapters.register(ADAPTER)(StoreAdapter(HttpMetadataStore, JsonDocuments()))
