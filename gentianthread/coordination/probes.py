"""Probe the health of the own target from time to time."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from ..clock import Clock
from ..events import PROBE_FAILED, PROBE_RECOVERED
from ..ids import UpstreamId
from ..logs import log
from ..metrics import MemoryMetrics, Metrics

# A single failed probe happens under load; a target that fails this many is taken for broken.
FAILURES_TO_BREAK = 3
# While the target is broken no request tells when it is back, so probes come more often.
BROKEN_SPEED_UP = 4
TIMEOUT_MS = 1_000.0
JITTER = 0.5


class Prober:
    """Probe one target at jittered intervals and report when it breaks and recovers.

    A probe costs the target about 6 ms. So none is sent while answers to requests show within the
    interval that the target works.

    Attributes:
        healthy: Whether the target is believed to work.
    """

    def __init__(
        self,
        upstream_id: UpstreamId,
        probe: Callable[[], Awaitable[None]],
        interval_ms: Callable[[], float],
        clock: Clock,
        on_recovered: Callable[[], None] = lambda: None,
        random: Random | None = None,
        metrics: Metrics | None = None,
    ):
        """Create a prober; `run` starts it.

        Args:
            upstream_id: The upstream, for log lines.
            probe: Probes the target once and raises if it is not well.
            interval_ms: Returns the mean interval of the present profile.
            clock: Clock of the intervals.
            on_recovered: Called when the target works again, for example to start it slowly.
            random: Source of jitter.
            metrics: Where counters go.
        """
        self.healthy = True
        self._upstream_id = upstream_id
        self._probe = probe
        self._interval_ms = interval_ms
        self._clock = clock
        self._on_recovered = on_recovered
        self._random = random or Random()
        self._metrics = metrics or MemoryMetrics()
        self._failures = 0
        self._heard_at_ms = float("-inf")

    def heard(self) -> None:
        """Note that the target answered a request."""
        self._heard_at_ms = self._clock.now_ms()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            interval_ms = self._interval_ms()
            if not self.healthy:
                interval_ms /= BROKEN_SPEED_UP
            jitter = 1 + JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep_ms(interval_ms * jitter)
            if not self.healthy or self._clock.now_ms() - self._heard_at_ms >= interval_ms:
                await self._probe_once()

    async def _probe_once(self) -> None:
        self._metrics.count("probes.sent")
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                await self._probe()
        except Exception as error:  # Whatever the probe raises, the target is not well.
            self._fail(error)
        else:
            self._succeed()

    def _fail(self, error: Exception) -> None:
        self._failures += 1
        self._metrics.count("probes.failed")
        if self.healthy and self._failures >= FAILURES_TO_BREAK:
            self.healthy = False
            log(PROBE_FAILED, upstream_id=self._upstream_id, problem=repr(error))

    def _succeed(self) -> None:
        self._failures = 0
        if not self.healthy:
            self.healthy = True
            log(PROBE_RECOVERED, upstream_id=self._upstream_id)
            self._on_recovered()
