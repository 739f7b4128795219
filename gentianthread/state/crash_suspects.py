"""Find requests that crash the targets that run them, and decide how long they are blocked.

All requests that were lost with a crashed target are suspects, as the node beside it cannot tell
which one was the cause. A request that crashes every target soon is a suspect of several crashes,
and no target ever answers it.
"""

from random import Random
from typing import NewType, Protocol

import attrs
import xxhash

from ..ids import OrganisationId, UpstreamId

# Hash of what a request asks for and for whom; the same for all its retries, at any node.
RequestFingerprint = NewType("RequestFingerprint", int)

# Crashes after which a request is blocked for a short time, and not retried any more. Other
# requests that were lost in both crashes by chance then run apart from the one that caused them.
MIN_CRASHES = 2
FIRST_BLOCK_MS = 2_000.0

# A request is forgotten after this time without a crash, counted from the end of its block.
SUSPICION_MS = 600_000.0

# From the third crash on a request is blocked for long, and twice as long after each further one.
LONG_BLOCK_MS = 600_000.0
MAX_BLOCK_MS = 24 * 3_600_000.0

# Each node prolongs a block by up to this fraction, drawn at random: if the request still crashes
# targets, the first node that lets it through shows it to the others.
BLOCK_JITTER = 1.0

# Maximum number of remembered suspects and crashes; the oldest are dropped first. A flood of other
# crashes must not release blocked requests, so these have a limit of their own.
MAX_SUSPECTS = 10_000
MAX_BLOCKED = 10_000
MAX_CRASHES = 1_000

# Shorter bodies are hashed together with the rest of their request, which takes less time.
HASHED_AT_ONCE_BYTES = 64 * 1024


class Identifiable(Protocol):
    """Describe the parts of a request by which its retries are recognised.

    Attributes:
        organisation_id: Organisation for which it runs.
        method: HTTP method.
        target: Path and query.
        body: Its body.
    """

    organisation_id: OrganisationId
    method: str
    target: str
    body: bytes


def fingerprint_request(request: Identifiable) -> RequestFingerprint:
    """Return the fingerprint of a request."""
    head = "\0".join((request.organisation_id, request.method, request.target, ""))
    if len(request.body) < HASHED_AT_ONCE_BYTES:
        data = head.encode("utf-8", "surrogateescape") + request.body
        return RequestFingerprint(xxhash.xxh3_64_intdigest(data))
    # A large body is not copied.
    digest = xxhash.xxh3_64(head.encode("utf-8", "surrogateescape"))
    digest.update(request.body)
    return RequestFingerprint(digest.intdigest())


@attrs.frozen
class CrashId:
    """Identify a crash of a target.

    Attributes:
        host: Address of the instance of the target.
        number: Number that the node beside it gave the crash.
    """

    host: str
    number: int


@attrs.frozen
class Crash:
    """Describe a crash of a target.

    Attributes:
        crash_id: The crash.
        upstream_id: The upstream that crashed.
        at_ms: Time at which it was noticed, by the clock of this node.
        fingerprints: Requests that were lost with it.
    """

    crash_id: CrashId
    upstream_id: UpstreamId
    at_ms: float
    fingerprints: tuple[RequestFingerprint, ...]


@attrs.define
class _Suspect:
    """Store the crashes in which a request was lost since a target last answered it."""

    crashes: int
    last_crash_ms: float
    blocked_until_ms: float = float("-inf")

    def is_outdated(self, now_ms: float) -> bool:
        return now_ms - max(self.last_crash_ms, self.blocked_until_ms) > SUSPICION_MS


class CrashSuspects:
    """Count the crashes in which each request was lost, and block those that were lost in several.

    It is false while there are no suspects, so that requests need no fingerprint then.
    """

    def __init__(self, random: Random):
        """Create an empty record.

        Args:
            random: Source of the jitter of blocks.
        """
        self._random = random
        self._crashes: dict[CrashId, Crash] = {}
        self._suspects: dict[RequestFingerprint, _Suspect] = {}
        # Suspects of so many crashes that they are blocked, or were and were not answered since.
        self._blocked: dict[RequestFingerprint, _Suspect] = {}

    def __bool__(self) -> bool:
        return bool(self._suspects or self._blocked)

    def record_crash(self, crash: Crash) -> bool:
        """Count a crash.

        Returns:
            Whether this is news.
        """
        if crash.crash_id in self._crashes:
            return False
        self._crashes[crash.crash_id] = crash
        _drop_oldest(self._crashes, MAX_CRASHES)
        self._forget_outdated(crash.at_ms)
        for fingerprint in set(crash.fingerprints):
            self._record_suspect(fingerprint, crash.at_ms)
        return True

    def _forget_outdated(self, now_ms: float) -> None:
        for records in (self._suspects, self._blocked):
            for fingerprint in [name for name in records if records[name].is_outdated(now_ms)]:
                del records[fingerprint]

    def _record_suspect(self, fingerprint: RequestFingerprint, at_ms: float) -> None:
        suspect = self._blocked.pop(fingerprint, None) or self._suspects.pop(fingerprint, None)
        if suspect is None:
            suspect = _Suspect(0, at_ms)
        suspect.crashes += 1
        suspect.last_crash_ms = max(suspect.last_crash_ms, at_ms)
        if suspect.crashes < MIN_CRASHES:
            self._suspects[fingerprint] = suspect
            _drop_oldest(self._suspects, MAX_SUSPECTS)
        else:
            suspect.blocked_until_ms = suspect.last_crash_ms + self._choose_block_ms(suspect)
            self._blocked[fingerprint] = suspect
            _drop_oldest(self._blocked, MAX_BLOCKED)

    def _choose_block_ms(self, suspect: _Suspect) -> float:
        block_ms = FIRST_BLOCK_MS
        if suspect.crashes > MIN_CRASHES:
            doublings = min(suspect.crashes - MIN_CRASHES - 1, 32)
            block_ms = min(MAX_BLOCK_MS, LONG_BLOCK_MS * 2**doublings)
        return block_ms * (1 + BLOCK_JITTER * self._random.random())

    def clear(self, fingerprint: RequestFingerprint) -> bool:
        """Forget a request that a target has answered.

        Returns:
            Whether it was a suspect of so many crashes that other nodes may block it.
        """
        self._suspects.pop(fingerprint, None)
        return self._blocked.pop(fingerprint, None) is not None

    def block_ms(self, request: Identifiable, now_ms: float) -> float:
        """Return for how long a request is still blocked; 0 if it may run.

        Args:
            request: The request.
            now_ms: Present time in ms.
        """
        if not self._blocked:
            return 0.0
        suspect = self._blocked.get(fingerprint_request(request))
        return 0.0 if suspect is None else max(0.0, suspect.blocked_until_ms - now_ms)

    def may_retry(self, request: Identifiable) -> bool:
        """Return whether a request may be retried after a failed attempt."""
        return not self._blocked or fingerprint_request(request) not in self._blocked

    def crash_count(self, request: Identifiable) -> int:
        """Return the crashes in which a request was lost since a target last answered it."""
        fingerprint = fingerprint_request(request)
        suspect = self._blocked.get(fingerprint) or self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.crashes

    def blocked_count(self, now_ms: float) -> int:
        """Return the number of requests that are blocked now."""
        return sum(suspect.blocked_until_ms > now_ms for suspect in self._blocked.values())

    def crashes_to_share(self) -> list[Crash]:
        """Return the known crashes for a node that may not know them.

        Requests that were lost in a single crash, or that were answered since, are left out.
        """
        return [
            attrs.evolve(crash, fingerprints=shared)
            for crash in self._crashes.values()
            if (shared := tuple(filter(self._blocked.__contains__, crash.fingerprints)))
        ]


def _drop_oldest(records: dict, limit: int) -> None:
    if len(records) > limit:
        del records[next(iter(records))]
