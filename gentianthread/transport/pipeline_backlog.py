"""Keep what a caller sent ahead of requests that run, while memory is short."""

from collections import deque

from ..state.memory_budget import MemoryBudget, MemoryOwner
from .http_messages import BufferedRequest, PendingResponse

_END_OF_HEAD = b"\r\n\r\n"


class PipelineBacklog:
    """Keep the requests of a connection that have not started, and bytes that are not parsed.

    Attributes:
        requests: Complete requests, in order. Their memory is charged by the connection.
    """

    def __init__(self, memory: MemoryBudget):
        """Create an empty backlog.

        Args:
            memory: Charged for the bytes.
        """
        self.requests: deque[tuple[PendingResponse, BufferedRequest]] = deque()
        self._data = memoryview(b"")
        self._charged_bytes = 0
        self._memory = memory

    def __bool__(self) -> bool:
        """Return whether anything is kept."""
        return bool(self.requests or self._data)

    def add_request(self, pending: PendingResponse, request: BufferedRequest) -> None:
        """Keep a request that may not start yet."""
        self.requests.append((pending, request))

    def add_data(self, data: bytes) -> None:
        """Keep received bytes; they are charged by `charge_data`."""
        self._data = memoryview(bytes(self._data) + data if self._data else data)

    def take_data(self, max_bytes: int, one_request: bool) -> bytes:
        """Return the next bytes to parse.

        Args:
            max_bytes: Most bytes to return.
            one_request: Whether to return no bytes after the end of a head.
        """
        data = bytes(self._data[:max_bytes])
        if one_request:
            end = data.find(_END_OF_HEAD)
            if end >= 0:
                data = data[: end + len(_END_OF_HEAD)]
        self._data = self._data[len(data) :]
        return data

    def clear(self) -> None:
        """Drop everything."""
        self.requests.clear()
        self._data = memoryview(b"")
        self.charge_data()

    def charge_data(self) -> None:
        """Charge the bytes that are left."""
        if not self._data:
            # Frees the buffer that the bytes are a part of.
            self._data = memoryview(b"")
        change = self._data.nbytes - self._charged_bytes
        self._charged_bytes += change
        if change > 0:
            self._memory.charge(MemoryOwner.WAITING, self, change)
        elif change < 0:
            self._memory.release(MemoryOwner.WAITING, self, -change)
