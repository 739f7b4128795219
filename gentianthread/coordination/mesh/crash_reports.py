"""Notice crashes of this node's target, and block requests that crash targets on all nodes.

The node beside a target reports a crash over all its links. Other nodes relay what is news to them
along the feeds (see `feeds`), which connect all nodes.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from ...clock import Clock
from ...decisions import DecisionLog
from ...events import REQUEST_BLOCKED, TARGET_CRASHED, TASK_FAILED
from ...logs import log
from ...metrics import Metrics
from ...protocol.messages_mesh import CrashReport, RequestCleared, RunRequest
from ...state.crash_suspects import (
    Crash,
    CrashId,
    CrashSuspects,
    Identifiable,
    fingerprint_request,
)
from ...state.directory import Directory, UpstreamState
from ...transport.target_pool import TargetPool
from .peer_link import PeerLink
from .peers import PeerLinks

# Why a request is refused that was lost in several crashes.
REASON_BLOCKED = "targets crash under it"

# Maximum log lines per second about refused requests, which may come again and again.
REFUSAL_LINES_PER_S = 2

# The crashes of an instance have random numbers, so that a restarted node does not repeat them.
CRASH_NUMBER_BITS = 48


class CrashReports:
    """Share the crashes of targets between the nodes.

    Attributes:
        suspects: Requests that were lost in crashes.
        neighbours: Returns the links over which news of other nodes is relayed.
    """

    def __init__(
        self,
        host: str,
        directory: Directory,
        pool: TargetPool,
        peers: PeerLinks,
        clock: Clock,
        metrics: Metrics,
        random: Random,
    ):
        """Create an empty record.

        Args:
            host: Address of this instance.
            directory: Upstreams that the platform lists.
            pool: Connections to the target.
            peers: Links to the other nodes.
            clock: Clock of the blocks.
            metrics: Counts crashes.
            random: Source of the numbers of crashes and of the jitter of blocks.
        """
        self.suspects = CrashSuspects(random)
        self.neighbours: Callable[[], Iterable[PeerLink]] = list
        self._host = host
        self._directory = directory
        self._pool = pool
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._refusals = DecisionLog(clock, REFUSAL_LINES_PER_S)
        self._random = random
        # Requests that were lost since the last check of the target.
        self._lost: list[RunRequest] = []
        self._check: asyncio.Task | None = None

    def block_ms(self, request: Identifiable) -> float:
        """Return for how long a request is still blocked; 0 if it may run."""
        if not self.suspects:
            return 0.0
        return self.suspects.block_ms(request, self._clock.now_ms())

    def log_refusal(self, request: Identifiable, request_id: str, block_ms: float) -> None:
        """Log a refused request with what its next attempts have in common."""
        self._refusals.write(
            REQUEST_BLOCKED,
            request_id=request_id,
            organisation_id=request.organisation_id,
            method=request.method,
            target=request.target,
            block_ms=block_ms,
            crashes=self.suspects.crash_count(request),
        )

    def record_loss(self, request: RunRequest) -> None:
        """Record that a connection to the target failed while the target ran a request."""
        entry = self._directory.entries.get(request.upstream_id)
        if entry is None or entry.state is UpstreamState.DRAINING:
            # The end of a leaving target is no crash.
            return
        self._lost.append(request)
        if self._check is None:
            self._check = asyncio.ensure_future(self._check_target())

    async def _check_target(self) -> None:
        try:
            has_crashed = await self._pool.has_crashed()
        except Exception as error:
            log(TASK_FAILED, task="check of the target", error=repr(error))
            has_crashed = False
        self._check = None
        lost, self._lost = self._lost, []
        if has_crashed:
            self._report(lost)

    def _report(self, lost: list[RunRequest]) -> None:
        now_ms = self._clock.now_ms()
        crash = Crash(
            CrashId(self._host, self._random.getrandbits(CRASH_NUMBER_BITS)),
            lost[0].upstream_id,
            now_ms,
            tuple({fingerprint_request(request) for request in lost}),
        )
        self._record(crash)
        report = _to_report(crash, now_ms)
        for link in {link.host: link for link in self._peers.links()}.values():
            link.post(report)

    def _record(self, crash: Crash) -> bool:
        if not self.suspects.record_crash(crash):
            return False
        self._metrics.count("crashes.known")
        log(
            TARGET_CRASHED,
            upstream_id=crash.upstream_id,
            lost=len(crash.fingerprints),
            blocked=self.suspects.blocked_count(self._clock.now_ms()),
        )
        return True

    def on_report(self, link: PeerLink, report: CrashReport) -> None:
        """Count a crash that another node reports, and relay it if it is news."""
        now_ms = self._clock.now_ms()
        crash = Crash(
            CrashId(report.host, report.number),
            report.upstream_id,
            now_ms - max(0.0, report.age_ms),
            report.fingerprints,
        )
        if not self._record(crash):
            return
        self._relay(link, _to_report(crash, now_ms))
        # A neighbour that has started since was not told of a request that was lost only once.
        for earlier in self.suspects.crashes_to_share():
            if earlier.crash_id != crash.crash_id and not set(earlier.fingerprints).isdisjoint(
                crash.fingerprints
            ):
                self._relay(link, _to_report(earlier, now_ms))

    def record_answer(self, request: Identifiable) -> None:
        """Record that a target answered a request, so that it is not the cause of a crash."""
        if not self.suspects:
            return
        fingerprint = fingerprint_request(request)
        if self.suspects.clear(fingerprint):
            self._relay(None, RequestCleared(fingerprint))

    def on_cleared(self, link: PeerLink, message: RequestCleared) -> None:
        """Forget a request that a target has answered elsewhere, and relay it if it is news."""
        if self.suspects.clear(message.fingerprint):
            self._relay(link, message)

    def _relay(self, source: PeerLink | None, message: CrashReport | RequestCleared) -> None:
        for link in self.neighbours():
            if source is None or link.host != source.host:
                link.post(message)

    def send_known(self, link: PeerLink) -> None:
        """Send the crashes that matter for blocks to a node that may not know them."""
        now_ms = self._clock.now_ms()
        for crash in self.suspects.crashes_to_share():
            link.post(_to_report(crash, now_ms))

    def close(self) -> None:
        """Stop a check of the target."""
        if self._check is not None:
            self._check.cancel()


def _to_report(crash: Crash, now_ms: float) -> CrashReport:
    return CrashReport(
        crash.crash_id.host,
        crash.crash_id.number,
        crash.upstream_id,
        now_ms - crash.at_ms,
        crash.fingerprints,
    )
