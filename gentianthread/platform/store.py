"""Read and watch the platform's metadata store over HTTP."""

import base64
import binascii
import json
import re
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import urlencode

import attrs

from ..clock import SystemClock
from ..errors import PlatformUnavailable, TransportError
from ..events import STORE_ANSWER_MISMATCHED
from ..logs import log
from ..state.revisions import MAX_ERA, combine_revision, era_of, number_of
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

# Time limit for an answer, in addition to the wait requested from the store, which answers within
# milliseconds.
READ_TIMEOUT_MS = 1_500.0

# Time limit for opening a connection. When all nodes reconnect at once, the store drops SYN
# packets, and the kernel retransmits them only after seconds.
CONNECT_TIMEOUT_MS = 400.0

# Number of open connections from which the pool closes idle ones before it opens another: a watch
# and a read may run at the same time.
POOL_SIZE = 2

# API calls of the store, relative to its base path.
CALL_KEY = "kv-key"
CALL_RANGE = "kv-range"
CALL_WATCH = "kv-watch"
BASE_PATH = "/api/"

# The empty prefix covers the configuration and the entries, so a node needs only one watch.
WATCH_PREFIX = ""

_HTTP_GONE = 410

# Fields of which an answer has that of its call only.
_FIELD_ITEM, _FIELD_ITEMS, _FIELD_EVENTS = "value", "items", "events"
_CONTENT_FIELDS = frozenset((_FIELD_ITEM, _FIELD_ITEMS, _FIELD_EVENTS))

# Header field with the number of times that the store was restored from an older copy.
ERA_FIELD = "Store-Era"
_ERA_TEXT = re.compile(r"\d{1,10}", re.ASCII)


@attrs.frozen
class _Answer:
    """Store an answer of the store.

    Attributes:
        content: The JSON object, or None if the item does not exist.
        era: Number of times that the store was restored.
    """

    content: dict[str, Any] | None
    era: int


# Returns whether an answer can be the one to a call.
_Fits = Callable[[_Answer], bool]


class HttpMetadataStore(MetadataStore):
    """Read items of the store and watch for changes; never write to it.

    Answers have no id. One on a reused connection may be a late copy of the answer to an earlier
    call, so that it must fit its own call: by its fields, its keys and its revision.
    """

    def __init__(self, host: str, port: int, source_address: str | None = None):
        """Create a client; connections are opened on demand.

        Args:
            host: IP address of the store.
            port: Its TCP port.
            source_address: Source IP address of connections, or None for the system's choice.
        """
        self._header_fields = f"Host: {host}:{port}\r\nAccept: application/json\r\n"
        self._pool = TargetPool(
            host,
            port,
            lambda: POOL_SIZE,
            SystemClock(),
            "",
            source_address,
            dial_timeout_ms=CONNECT_TIMEOUT_MS,
        )
        # Revision of the last answer that was not allowed to be outdated; later ones are not older.
        self._last_revision = 0

    @classmethod
    def connect(cls, host: str, port: int, source_address: str | None) -> "HttpMetadataStore":
        """Create a client of the store at an address."""
        return cls(host, port, source_address)

    async def read_all(self) -> StoreRead:
        """Read the configuration and all entries of upstreams."""
        plan_item = await self._get(
            CALL_KEY,
            {"key": PLAN_KEY},
            partial(_is_item, PLAN_KEY, self._last_revision),
            allow_missing=True,
        )
        has_plan = plan_item.content is not None
        documents = [_document(plan_item.content, plan_item.era)] if has_plan else []
        revision = self._record_revision(plan_item) if has_plan else None
        after = ""
        while True:
            query = {"prefix": UPSTREAM_PREFIX} | ({"after": after} if after else {})
            fits = partial(_is_page, UPSTREAM_PREFIX, after, self._last_revision)
            page = await self._get(CALL_RANGE, query, fits)
            if page.era != plan_item.era:
                raise PlatformUnavailable(CALL_RANGE, "the store was restored during the read")
            # The pages are not a consistent snapshot. Keeping the first revision makes the next
            # watch deliver the changes made since then.
            page_revision = self._record_revision(page)
            revision = page_revision if revision is None else revision
            page_documents = _documents(page, _FIELD_ITEMS)
            documents += page_documents
            if not page.content.get("has_more") or not page_documents:
                return StoreRead(tuple(documents), revision)
            after = page_documents[-1].key

    async def sample_entries(self) -> StoreRead:
        """Read the first page of entries, which the store may answer from an outdated copy."""
        query = {"prefix": UPSTREAM_PREFIX, "allow_stale": "1"}
        page = await self._get(CALL_RANGE, query, partial(_is_page, UPSTREAM_PREFIX, "", 0))
        return StoreRead(tuple(_documents(page, _FIELD_ITEMS)), _revision(page))

    async def watch(self, revision: int, wait_ms: float) -> StoreRead:
        """Wait for changes to any item."""
        query = {
            "prefix": WATCH_PREFIX,
            "after": str(number_of(revision)),
            "wait_ms": str(int(wait_ms)),
        }
        answer = await self._get(CALL_WATCH, query, partial(_is_watch, revision), wait_ms=wait_ms)
        if answer.era != era_of(revision):
            # The same number stands for another state in the restored store.
            raise HistoryLost(CALL_WATCH, f"the store was restored, its era is {answer.era}")
        read_revision = self._record_revision(answer)
        return StoreRead(tuple(_documents(answer, _FIELD_EVENTS)), read_revision)

    def _record_revision(self, answer: _Answer) -> int:
        self._last_revision = _revision(answer)
        return self._last_revision

    async def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        fits: _Fits,
        *,
        wait_ms: float = 0.0,
        allow_missing: bool = False,
    ) -> _Answer:
        path = f"{BASE_PATH}{call}?{urlencode(query)}"
        request = make_request("GET", path, self._header_fields, b"", "", wait_ms + READ_TIMEOUT_MS)
        pooled = await self._exchange(call, request)
        answer = _read_answer(call, pooled, allow_missing=allow_missing)
        if not pooled.on_new_connection and not fits(answer):
            log(STORE_ANSWER_MISMATCHED, call=call)
            # The true answer may follow on that connection, where the next one is due.
            self._pool.close()
            pooled = await self._exchange(call, request)
            answer = _read_answer(call, pooled, allow_missing=allow_missing)
        return answer

    async def _exchange(self, call: str, request: TargetRequest) -> PooledResponse:
        try:
            try:
                return await self._pool.exchange(request)
            except ReusedConnectionLost:
                # The store had closed the idle connection; send the request on a new one.
                return await self._pool.exchange(request, 0.0)
        except (TransportError, TimeoutError, OSError) as error:
            raise PlatformUnavailable(call, f"{type(error).__name__}: {error}") from error


def _read_answer(call: str, pooled: PooledResponse, *, allow_missing: bool) -> _Answer:
    answer = pooled.response
    era = _era(call, pooled.fields)
    if answer.status == 404 and allow_missing:
        return _Answer(None, era)
    if answer.status == _HTTP_GONE:
        raise HistoryLost(call, "history is gone")
    if answer.status != 200:
        raise PlatformUnavailable(call, f"status {answer.status}")
    return _Answer(_parse(call, answer.body), era)


def _is_item(key: str, least_revision: int, answer: _Answer) -> bool:
    """Return whether an answer has the item with a key, as of a revision or later."""
    content = answer.content
    # The answer without an item has no revision; asking again costs little, as it is rare.
    return (
        content is not None
        and content.get("key") == key
        and _has_only(answer, _FIELD_ITEM)
        and _revision(answer) >= least_revision
    )


def _is_page(prefix: str, after: str, least_revision: int, answer: _Answer) -> bool:
    """Return whether an answer has items of a range after a key, as of a revision or later."""
    return (
        _has_only(answer, _FIELD_ITEMS)
        and _revision(answer) >= least_revision
        and all(
            document.key.startswith(prefix) and document.key > after
            for document in _documents(answer, _FIELD_ITEMS)
        )
    )


def _is_watch(revision: int, answer: _Answer) -> bool:
    """Return whether an answer has only changes after a revision."""
    return (
        _has_only(answer, _FIELD_EVENTS)
        and _revision(answer) >= revision
        and all(document.revision > revision for document in _documents(answer, _FIELD_EVENTS))
    )


def _has_only(answer: _Answer, field: str) -> bool:
    """Return whether an answer has no field that only answers to other calls have."""
    return not answer.content.keys() & (_CONTENT_FIELDS - {field})


def _parse(call: str, body: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PlatformUnavailable(call, "answer is not JSON") from error
    if not isinstance(answer, dict):
        raise PlatformUnavailable(call, "answer is not a JSON object")
    return answer


def _era(call: str, fields: dict[str, str]) -> int:
    """Return the era of an answer; 0 for a store that does not count its restores."""
    text = fields.get(ERA_FIELD.lower(), "0")
    if not _ERA_TEXT.fullmatch(text) or int(text) > MAX_ERA:
        raise PlatformUnavailable(call, f"{ERA_FIELD} is not a number up to {MAX_ERA}")
    return int(text)


def _documents(answer: _Answer, field: str) -> list[Document]:
    if not _has_only(answer, field):
        raise PlatformUnavailable("read", "answer to another call")
    items = answer.content.get(field, [])
    if not isinstance(items, list):
        raise PlatformUnavailable("read", f"{field} is not a list")
    return [_document(item, answer.era) for item in items]


def _revision(answer: _Answer) -> int:
    revision = answer.content.get("at_rev")
    if isinstance(revision, bool) or not isinstance(revision, int):
        raise PlatformUnavailable("read", "at_rev is not an integer")
    try:
        return combine_revision(answer.era, revision)
    except ValueError as error:
        raise PlatformUnavailable("read", f"at_rev is out of range: {error}") from error


def _document(item: Any, era: int) -> Document:
    try:
        data = None if item.get("tombstone") else base64.b64decode(item["value"], validate=True)
        return Document(str(item["key"]), data, combine_revision(era, int(item["revision"])))
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
        binascii.Error,
    ) as error:
        raise PlatformUnavailable("read", f"item is malformed: {error!r}") from error


store_adapters.register(ADAPTER)(StoreAdapter(HttpMetadataStore, JsonDocuments()))
