"""Read a platform service over HTTP.

The protocol:

- `GET /values/KEY` answers 200 with the value and its revision in `ETag`, or 404.
- `GET /values/KEY?wait_ms=N&known=REVISION` answers as soon as the value has another revision, or
  304 after N ms.
- `GET /instances` answers 200 with JSON: `{"revision": N, "instances": [{"upstream_id",
  "availability_zone", "host", "peer_port", "leaving"}]}`.
"""

import asyncio
import json
from typing import Any
from urllib.parse import quote

import aiohttp

from ..errors import PlatformUnavailable
from .platforms import (
    READ_TIMEOUT_MS,
    VALUE_LIMIT_BYTES,
    WATCH_WAIT_MS,
    InstanceList,
    ListedInstance,
    Platform,
    PlatformValue,
    platforms,
)

# A list of 2,000 instances takes about 250 KB.
LIST_LIMIT_BYTES = 4_000_000


@platforms.register("http")
class HttpPlatform(Platform):
    """Read a platform service over HTTP.

    The HTTP client repeats a read once when its connection breaks, so a service that is down sees
    at most twice the reads.
    """

    def __init__(
        self,
        base_url: str,
        read_timeout_ms: float = READ_TIMEOUT_MS,
        source_address: str | None = None,
    ):
        """Create an adapter; connections open on demand.

        Args:
            base_url: Where the service is, such as http://10.0.0.5:8100.
            read_timeout_ms: Longest wait for an answer, in ms.
            source_address: IP address that connections come from, or None for any.
        """
        self._source = None if source_address is None else (source_address, 0)
        self._base_url = base_url.rstrip("/")
        self._read_timeout_ms = read_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def connect(cls, base_url: str, source_address: str | None) -> "HttpPlatform":
        """Return an adapter for the service at an address."""
        return cls(base_url, source_address=source_address)

    async def read(self, key: str) -> PlatformValue | None:
        """Read one value."""
        return await self._fetch_value("read", key, {}, 0.0)

    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Wait in one long poll."""
        query = {"wait_ms": str(int(wait_ms)), "known": known or ""}
        return await self._fetch_value("watch", key, query, wait_ms)

    async def list_instances(self) -> InstanceList:
        """Read the list."""
        _, _, body = await self._fetch("list", "/instances", {}, 0.0, LIST_LIMIT_BYTES)
        try:
            return _parse_list(json.loads(body))
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailable("list", f"not a list: {type(error).__name__}") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch_value(
        self, operation: str, key: str, query: dict[str, str], wait_ms: float
    ) -> PlatformValue | None:
        path = f"/values/{quote(key)}"
        status, revision, body = await self._fetch(
            operation, path, query, wait_ms, VALUE_LIMIT_BYTES
        )
        return PlatformValue(body, revision) if status == 200 else None

    async def _fetch(
        self, operation: str, path: str, query: dict[str, str], wait_ms: float, limit_bytes: int
    ) -> tuple[int, str, bytes]:
        limit_ms = wait_ms + self._read_timeout_ms
        try:
            # The bound covers the whole exchange; a timed-out connection is not used again.
            async with asyncio.timeout(limit_ms / 1000):
                async with self._open().get(self._base_url + path, params=query) as response:
                    body = await _read_body(operation, response, limit_bytes)
        except TimeoutError:
            raise PlatformUnavailable(operation, f"no answer in {limit_ms:g} ms") from None
        except (aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(operation, f"{type(error).__name__}: {error}") from error
        if response.status not in (200, 304, 404):
            raise PlatformUnavailable(operation, f"status {response.status}")
        return response.status, response.headers.get("ETag", "").strip('"'), body

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(local_addr=self._source),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


async def _read_body(operation: str, response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            response.close()
            raise PlatformUnavailable(operation, f"answer over {limit_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


def _parse_list(found: Any) -> InstanceList:
    instances = tuple(
        ListedInstance(
            upstream_id=_typed(item["upstream_id"], str),
            availability_zone=_typed(item["availability_zone"], str),
            host=_typed(item["host"], str),
            peer_port=_typed(item["peer_port"], int),
            leaving=_typed(item["leaving"], bool),
        )
        for item in found["instances"]
    )
    return InstanceList(_typed(found["revision"], int), instances)


def _typed(value: Any, kind: type) -> Any:
    if not isinstance(value, kind):
        raise TypeError(f"{type(value).__name__} in place of {kind.__name__}")
    return value
