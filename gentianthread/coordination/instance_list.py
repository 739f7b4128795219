"""Read the platform's instance list and give it out as a stream."""

import asyncio
import random
from collections.abc import Callable

import reactivex
from reactivex.subject import ReplaySubject

from ..clock import Clock, LoopClock
from ..errors import PlatformUnavailable
from ..events import LIST_READ_FAILED
from ..logs import log
from ..transport.platforms import InstanceList, Platform

# Watchers see a leaving instance early enough to tell it within 3 s.
WATCHER_INTERVAL_MS = 1_000

# Others only need the list to find removed instances; at 670 nodes this is 11 reads/s.
OTHER_INTERVAL_MS = 60_000

# Until the first list has come, a node knows nobody.
FIRST_RETRY_MS = 500

_JITTER = 0.2


class InstanceListReader:
    """Read the list often at watchers and rarely elsewhere."""

    def __init__(
        self,
        platform: Platform,
        is_watcher: Callable[[], bool],
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Create a reader that does not read yet.

        Args:
            platform: Adapter of the platform.
            is_watcher: Tells whether the local node is a watcher now.
            clock: Clock of the intervals.
            rng: Source of jitter.
        """
        self._platform = platform
        self._is_watcher = is_watcher
        self._clock = clock or LoopClock()
        self._random = rng or random.Random()
        self._lists: ReplaySubject[InstanceList] = ReplaySubject(1)
        self._revision: int | None = None
        self._failing = False
        self._task: asyncio.Task | None = None

    @property
    def lists(self) -> reactivex.Observable[InstanceList]:
        """Return the stream of lists, which starts with the last one read."""
        return self._lists

    def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await self._read()
            await self._wait()

    async def _wait(self) -> None:
        """Wait for the next read; a node that becomes a watcher waits for the short interval."""
        jitter = 1 + _JITTER * (2 * self._random.random() - 1)
        read_at_ms = self._clock.now_ms()
        while True:
            left_ms = read_at_ms + self._interval_ms() * jitter - self._clock.now_ms()
            if left_ms <= 0:
                return
            await self._clock.sleep_ms(min(left_ms, WATCHER_INTERVAL_MS))

    def _interval_ms(self) -> float:
        if self._revision is None:
            return FIRST_RETRY_MS
        return WATCHER_INTERVAL_MS if self._is_watcher() else OTHER_INTERVAL_MS

    async def _read(self) -> None:
        try:
            found = await self._platform.list_instances()
        except PlatformUnavailable as error:
            if not self._failing:
                log(LIST_READ_FAILED, error=error)
            self._failing = True
            return
        self._failing = False
        if found.revision != self._revision:
            self._revision = found.revision
            self._lists.on_next(found)
