"""Read and watch the platform's metadata store over HTTP."""

import base64
import json
import re
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs

from ..clock import SystemClock
from ..errors import PlatformUnavailable, TransportError
from ..events import STORE_ANSWER_MISMATCHED
from ..logs import log
from ..state.revisions import MAX_ERA, combine_revision, era_of, number_of
from ..transport.http_query import encode_query
from ..transport.metadata_store import (
    Document,
    HistoryLost,
    MetadataStore,
    StoreAdapter,
    StorePage,
    StoreRead,
    make_page,
    store_adapters,
)
from ..transport.target_connection import TargetRequest, make_request
from ..transport.target_pool import PooledResponse, ReusedConnectionLost, TargetPool
from .documents import EVACUATION_PREFIX, PLAN_KEY, UPSTREAM_PREFIX, JsonDocuments
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
CALL_RANGE = "kv-range"
CALL_WATCH = "kv-watch"
BASE_PATH = "/api/"

# Keys that operators write: the configuration and the evacuations. One range of them costs as many
# calls as the configuration alone. A copied answer for it never passes for one about entries, as it
# has the configuration; an empty range of evacuations would.
OPERATOR_PREFIX = "op/"

# The empty prefix covers the configuration and the entries, so a node needs only one watch.
WATCH_PREFIX = ""

_HTTP_GONE = 410

# Fields of which an answer has that of its call only.
_FIELD_ITEMS, _FIELD_EVENTS = "items", "events"
_CONTENT_FIELDS = frozenset((_FIELD_ITEMS, _FIELD_EVENTS))

# Header field with the number of times that the store was restored from an older copy.
ERA_FIELD = "Store-Era"
_ERA_TEXT = re.compile(r"\d{1,10}", re.ASCII)


@attrs.frozen
class _Answer:
    """Store an answer of the store.

    Attributes:
        content: The JSON object.
        era: Number of times that the store was restored.
    """

    content: dict[str, Any]
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
        # Whether a read had the configuration, which is never removed.
        self._has_plan = False

    @classmethod
    def connect(cls, host: str, port: int, source_address: str | None) -> "HttpMetadataStore":
        """Create a client of the store at an address."""
        return cls(host, port, source_address)

    async def read_all(self) -> StoreRead:
        """Read the configuration, the evacuations and all entries of upstreams."""
        # The reads are not a consistent snapshot. Keeping the first revision makes the next watch
        # deliver the changes made since then.
        operator_documents, revision = await self._read_range(OPERATOR_PREFIX, None)
        self._has_plan = self._has_plan or _has_plan(operator_documents)
        entries, _ = await self._read_range(UPSTREAM_PREFIX, era_of(revision))
        documents = (each for each in operator_documents if _is_operator_document(each))
        return StoreRead((*documents, *entries), revision)

    async def _read_range(self, prefix: str, era: int | None) -> tuple[list[Document], int]:
        """Read all items whose keys have a prefix.

        Args:
            prefix: The prefix.
            era: Era that all answers must have, or None if it is that of the first one.

        Returns:
            The documents, and the revision of the first answer.

        Raises:
            PlatformUnavailable: The store failed, or was restored in the meantime.
        """
        documents: list[Document] = []
        first_revision: int | None = None
        after: str | None = ""
        while after is not None:
            needs_plan = self._has_plan and prefix == OPERATOR_PREFIX and not after
            fits = partial(_is_page, prefix, after, self._last_revision, needs_plan=needs_plan)
            page = await self._read_page(prefix, after, fits)
            era = era_of(page.revision) if era is None else era
            if era_of(page.revision) != era:
                raise PlatformUnavailable(CALL_RANGE, "the store was restored during the read")
            self._last_revision = page.revision
            first_revision = page.revision if first_revision is None else first_revision
            documents += page.documents
            after = page.next_after
        return documents, first_revision

    async def _read_page(self, prefix: str, after: str, fits: _Fits, **options: str) -> StorePage:
        query = {"prefix": prefix} | ({"after": after} if after else {}) | options
        answer = await self._get(CALL_RANGE, query, fits)
        documents = _documents(answer, _FIELD_ITEMS)
        has_more = bool(answer.content.get("has_more"))
        return make_page(CALL_RANGE, documents, _revision(answer), after, has_more=has_more)

    async def sample_entries(self, after: str = "") -> StorePage:
        """Read a page of entries, which the store may answer from an outdated copy."""
        fits = partial(_is_page, UPSTREAM_PREFIX, after, 0)
        return await self._read_page(UPSTREAM_PREFIX, after, fits, allow_stale="1")

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
        self._last_revision = _revision(answer)
        return StoreRead(tuple(_documents(answer, _FIELD_EVENTS)), self._last_revision)

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
    ) -> _Answer:
        path = f"{BASE_PATH}{call}?{encode_query(query)}"
        request = make_request("GET", path, self._header_fields, b"", "", wait_ms + READ_TIMEOUT_MS)
        pooled = await self._exchange(call, request)
        answer = _read_answer(call, pooled)
        if not pooled.on_new_connection and not fits(answer):
            log(STORE_ANSWER_MISMATCHED, call=call)
            # The true answer may follow on that connection, where the next one is due.
            self._pool.close()
            pooled = await self._exchange(call, request)
            answer = _read_answer(call, pooled)
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


def _read_answer(call: str, pooled: PooledResponse) -> _Answer:
    answer = pooled.response
    era = _era(call, pooled.fields)
    if answer.status == _HTTP_GONE:
        raise HistoryLost(call, "history is gone")
    if answer.status != 200:
        raise PlatformUnavailable(call, f"status {answer.status}")
    return _Answer(_parse(call, answer.body), era)


def _is_page(
    prefix: str, after: str, least_revision: int, answer: _Answer, *, needs_plan: bool = False
) -> bool:
    """Return whether an answer has items of a range after a key, as of a revision or later."""
    if not _has_only(answer, _FIELD_ITEMS) or _revision(answer) < least_revision:
        return False
    documents = _documents(answer, _FIELD_ITEMS)
    if needs_plan and not _has_plan(documents):
        return False
    return all(document.key.startswith(prefix) and document.key > after for document in documents)


def _has_plan(documents: list[Document]) -> bool:
    return any(document.key == PLAN_KEY for document in documents)


def _is_operator_document(document: Document) -> bool:
    return document.key == PLAN_KEY or document.key.startswith(EVACUATION_PREFIX)


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
        data = None
        if not item.get("tombstone"):
            # Encoders may leave out an empty value.
            data = base64.b64decode(item.get("value", ""), validate=True)
        return Document(str(item["key"]), data, combine_revision(era, int(item["revision"])))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
        raise PlatformUnavailable("read", f"item is malformed: {error!r}") from error


store_adapters.register(ADAPTER)(StoreAdapter(HttpMetadataStore, JsonDocuments()))
