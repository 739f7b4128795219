"""Read a platform service over HTTP.

The protocol:

- `GET /values/KEY` returns 200 with the value and its revision in `ETag`, or 404. Other content
  never has the same revision, also after the service was restored from a copy.
- `GET /values/KEY?wait_ms=N&known=REVISION` returns the same as soon as the value has another
  revision, or 304 after N ms.
- `GET /instances` returns 200 with JSON: `{"era": N, "revision": N, "instances": [{"upstream_id",
  "availability_zone", "host", "peer_port", "leaving"}]}`. `revision` increases with each change;
  `era`, 0 if it is missing, increases when the service was restored from a copy.
"""

import asyncio
import ipaddress
import json
import re
from typing import Any
from urllib.parse import quote

import aiohttp

from ..errors import PlatformUnavailable
from ..state.revisions import combine_revision
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

# Longest instance list; one with 2,000 instances takes about 250 KB.
LIST_LIMIT_BYTES = 4_000_000

MAX_PORT = 65_535

# Longest description of an entry that cannot be used, which may quote the entry.
PROBLEM_LIMIT_CHARS = 200

# Names are sent to other nodes and written to logs; surrogates cannot be encoded.
_NAME = re.compile("[^\x00-\x1f\x7f\ud800-\udfff]{1,200}")


@platforms.register("http")
class HttpPlatform(Platform):
    """Read a platform service over HTTP.

    The HTTP client repeats a read once if its connection fails, so a failing service gets at most
    twice the number of reads. Each read has a connection of its own: the answers do not name their
    reads, so on a kept connection an answer too many would be taken for that of the next read.
    """

    def __init__(
        self,
        base_url: str,
        read_timeout_ms: float = READ_TIMEOUT_MS,
        source_address: str | None = None,
    ):
        """Create an adapter; connections are opened on demand.

        Args:
            base_url: URL of the service, such as http://10.0.0.5:8100.
            read_timeout_ms: Timeout of a read.
            source_address: Local IP address of the connections, or None for any.
        """
        self._local_address = None if source_address is None else (source_address, 0)
        self._base_url = base_url.rstrip("/")
        self._read_timeout_ms = read_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def connect(cls, base_url: str, source_address: str | None) -> "HttpPlatform":
        """Create an adapter for the service at a URL."""
        return cls(base_url, source_address=source_address)

    async def read(self, key: str) -> PlatformValue | None:
        """Read one value."""
        return await self._fetch_value("read", key, {}, 0.0)

    async def watch(
        self, key: str, known: str | None, wait_ms: float = WATCH_WAIT_MS
    ) -> PlatformValue | None:
        """Wait for another value in one long poll."""
        query = {"wait_ms": str(int(wait_ms)), "known": known or ""}
        return await self._fetch_value("watch", key, query, wait_ms)

    async def list_instances(self) -> InstanceList:
        """Read the instance list."""
        _, _, body = await self._fetch("list", "/instances", {}, 0.0, LIST_LIMIT_BYTES)
        try:
            return _parse_list(json.loads(body))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise PlatformUnavailable(
                "list", f"malformed instance list: {type(error).__name__}"
            ) from error

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
        timeout_ms = wait_ms + self._read_timeout_ms
        try:
            # The timeout covers the whole exchange; a connection that timed out is not reused.
            async with asyncio.timeout(timeout_ms / 1000):
                async with self._get_session().get(self._base_url + path, params=query) as response:
                    body = await _read_body(operation, response, limit_bytes)
        except TimeoutError:
            raise PlatformUnavailable(operation, f"no answer in {timeout_ms:g} ms") from None
        except (aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(operation, f"{type(error).__name__}: {error}") from error
        if response.status not in (200, 304, 404):
            raise PlatformUnavailable(operation, f"status {response.status}")
        return response.status, response.headers.get("ETag", "").strip('"'), body

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(local_addr=self._local_address, force_close=True),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        return self._session


async def _read_body(operation: str, response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > limit_bytes:
            response.close()
            raise PlatformUnavailable(operation, f"response is longer than {limit_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def _parse_list(document: Any) -> InstanceList:
    instances: list[ListedInstance] = []
    problems: list[str] = []
    for index, item in enumerate(_check_type(document["instances"], list)):
        try:
            instances.append(_parse_instance(item))
        except (ValueError, KeyError, TypeError) as error:
            problems.append(f"entry {index}: {error!r}"[:PROBLEM_LIMIT_CHARS])
    era = _check_type(document.get("era", 0), int)
    revision = combine_revision(era, _check_type(document["revision"], int))
    return InstanceList(revision, tuple(instances), tuple(problems))


def _parse_instance(item: Any) -> ListedInstance:
    return ListedInstance(
        upstream_id=_check_name(item["upstream_id"]),
        availability_zone=_check_name(item["availability_zone"]),
        host=_check_host(item["host"]),
        peer_port=_check_port(item["peer_port"]),
        leaving=_check_type(item["leaving"], bool),
    )


def _check_name(value: Any) -> str:
    if not _NAME.fullmatch(_check_type(value, str)):
        raise ValueError("expected up to 200 characters, without control characters and surrogates")
    return value


def _check_host(value: Any) -> str:
    address = ipaddress.ip_address(_check_type(value, str))
    if address.is_unspecified or address.is_multicast:
        raise ValueError("expected an IP address of an instance")
    return value


def _check_port(value: Any) -> int:
    if isinstance(value, bool) or not 0 <= _check_type(value, int) <= MAX_PORT:
        raise ValueError(f"expected a port up to {MAX_PORT}, or 0 for none")
    return value


def _check_type(value: Any, expected_type: type) -> Any:
    if not isinstance(value, expected_type):
        raise TypeError(f"expected {expected_type.__name__}, got {type(value).__name__}")
    return value
