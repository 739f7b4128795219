"""Read the platform's instance list and publish it as a stream."""

import asyncio
import random
from collections.abc import Callable

import reactivex
from reactivex.subject import ReplaySubject

from ..clock import Clock, LoopClock
from ..errors import PlatformUnavailable
from ..events import LIST_ENTRY_REFUSED, LIST_READ_FAILED
from ..logs import log
from ..transport.platforms import InstanceList, Platform

# With this interval a watcher detects a leaving instance early enough to announce it within 3 s.
WATCHER_INTERVAL_MS = 1_000

# Other nodes need the list only to detect removed instances; 670 nodes make 11 reads/s.
OTHER_INTERVAL_MS = 60_000

# Interval until the first list has been read; without it, a node knows only its configured seeds.
FIRST_RETRY_MS = 500

# Maximum log lines about the entries of one list that cannot be used.
MAX_LOGGED_PROBLEMS = 10

# Intervals vary by this fraction in both directions.
_JITTER = 0.2


class InstanceListReader:
    """Read the list every second on a watcher, and every minute on other nodes."""

    def __init__(
        self,
        platform: Platform,
        is_watcher: Callable[[], bool],
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Create a reader; `start` starts it.

        Args:
            platform: Adapter of the platform.
            is_watcher: Returns whether the local node is a watcher now.
            clock: Clock of the intervals.
            rng: Source of jitter.
        """
        self._platform = platform
        self._is_watcher = is_watcher
        self._clock = clock or LoopClock()
        self._random = rng or random.Random()
        self._list_subject: ReplaySubject[InstanceList] = ReplaySubject(1)
        self._revision: int | None = None
        self._failing = False
        self._task: asyncio.Task | None = None

    @property
    def instance_lists(self) -> reactivex.Observable[InstanceList]:
        """Return the stream of changed lists; a subscriber gets the last one read at once."""
        return self._list_subject

    def start(self) -> None:
        """Start reading."""
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
        """Wait for the time of the next read, which comes earlier if the node becomes a watcher."""
        jitter = 1 + _JITTER * (2 * self._random.random() - 1)
        read_at_ms = self._clock.now_ms()
        while True:
            remaining_ms = read_at_ms + self._interval_ms() * jitter - self._clock.now_ms()
            if remaining_ms <= 0:
                return
            await self._clock.sleep_ms(min(remaining_ms, WATCHER_INTERVAL_MS))

    def _interval_ms(self) -> float:
        if self._revision is None:
            return FIRST_RETRY_MS
        return WATCHER_INTERVAL_MS if self._is_watcher() else OTHER_INTERVAL_MS

    async def _read(self) -> None:
        try:
            instance_list = await self._platform.list_instances()
        except PlatformUnavailable as error:
            if not self._failing:
                log(LIST_READ_FAILED, error=error)
            self._failing = True
            return
        self._failing = False
        # A service may answer from an outdated copy. After a restore its lists count as newer.
        if self._revision is None or instance_list.revision > self._revision:
            self._revision = instance_list.revision
            for problem in instance_list.problems[:MAX_LOGGED_PROBLEMS]:
                log(LIST_ENTRY_REFUSED, problem=problem)
            self._list_subject.on_next(instance_list)
