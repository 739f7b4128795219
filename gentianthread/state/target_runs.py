"""Keep what a node knows of the runs on its target and of the calls that they make.

Load: repeated runs whose calls add repeats at the services behind their target, and runs that fail
since a service behind their target turns their calls down.
"""

from typing import Protocol

import attrs

from ..ids import ServiceId

# Longest time for which a run without an answer counts as under way. It is the length of the window
# in which repeats are limited, and the timeout of requests that state none.
MAX_LINGER_MS = 10_000.0

# Successful runs without any call after which a target counts as one that makes no calls.
LEAF_RUNS = 50

# Largest depth that is counted; known call graphs are up to 18 deep. Where services call each other
# in a cycle, the depth would rise with each call.
MAX_DEPTH = 18

# Reason beside an error status of a target one of whose calls was refused while the request ran.
REASON_CALL_REFUSED = "a call was refused"

# Lowest HTTP status of an error of the target, and above that of a success.
_ERROR_STATUS = 500
_ABOVE_SUCCESS = 300


class StartedRequest(Protocol):
    """Describe a request that is sent to the target."""

    request_id: str
    remaining_ms: float
    repeated: bool
    depth: int


@attrs.define(eq=False)
class _Runs:
    count: int
    until_ms: float


class TargetRuns:
    """Store which runs on one target are repeats, and whether its calls are made and served.

    A node does not know which run made a call. While any repeated run is under way, each call may
    be part of it. A run without an answer counts until its time is over: after its connection
    failed, or its caller has gone, the target may go on with it and make further calls.

    Attributes:
        called_services: Services that the target calls.
        depth: Largest depth of the runs so far; the depth of a root request is 0.
    """

    def __init__(self) -> None:
        """Create the state of a target that has run nothing."""
        self.called_services: set[ServiceId] = set()
        self.depth = 0
        self._repeated: dict[str, _Runs] = {}
        self._call_refused_at_ms = float("-inf")
        self._successes = 0

    def begin(self, request: StartedRequest, now_ms: float) -> None:
        """Record that a request was sent to the target."""
        self.depth = min(MAX_DEPTH, max(self.depth, request.depth))
        if not request.repeated:
            return
        self._forget_expired(now_ms)
        until_ms = now_ms + min(request.remaining_ms, MAX_LINGER_MS)
        runs = self._repeated.get(request.request_id)
        if runs is None:
            self._repeated[request.request_id] = _Runs(1, until_ms)
        else:
            runs.count += 1
            runs.until_ms = max(runs.until_ms, until_ms)

    def end(self, request_id: str, status: int = 0) -> None:
        """Record that a run was answered, or did not start.

        Args:
            request_id: Id of its request.
            status: Status of the target's answer, or 0 if it did not run the request.
        """
        self._successes += 0 < status < _ABOVE_SUCCESS
        runs = self._repeated.get(request_id)
        if runs is not None:
            runs.count -= 1
            if not runs.count:
                del self._repeated[request_id]

    def repeated_under_way(self, now_ms: float) -> bool:
        """Return whether a call that the target makes now may come from a repeated run."""
        self._forget_expired(now_ms)
        return bool(self._repeated)

    def _forget_expired(self, now_ms: float) -> None:
        """Forget runs whose time is over, up to the oldest one that may still be under way.

        A target that makes no calls is never asked for repeated runs, and its table would grow.
        """
        while self._repeated:
            request_id, runs = next(iter(self._repeated.items()))
            if runs.until_ms > now_ms:
                return
            del self._repeated[request_id]

    def record_call(self, service_id: ServiceId) -> None:
        """Record that the target called a service."""
        self.called_services.add(service_id)

    def record_refused_call(self, now_ms: float) -> None:
        """Record that a call of the target ended unserved: rejected, or without a place in time."""
        self._call_refused_at_ms = now_ms

    def error_reason(self, status: int, started_ms: float) -> str:
        """Return why the target answered with an error, or an empty string if that is not known.

        Args:
            status: Status of the answer.
            started_ms: Time at which the run has started.
        """
        call_refused = status >= _ERROR_STATUS and self._call_refused_at_ms >= started_ms
        return REASON_CALL_REFUSED if call_refused else ""

    @property
    def makes_calls(self) -> bool | None:
        """Return whether runs make calls, or None while too few have ended to tell."""
        if self.called_services:
            return True
        return None if self._successes < LEAF_RUNS else False


class LeafServices:
    """Store which services make no calls, as the nodes beside their targets report."""

    def __init__(self) -> None:
        """Create a store that knows of no service."""
        self._makes_calls: dict[ServiceId, bool] = {}

    def record(self, service_id: ServiceId, makes_calls: bool | None) -> None:
        """Store the report of one upstream; a service that makes calls anywhere is no leaf.

        Args:
            service_id: Its service.
            makes_calls: Whether its runs make calls, or None if it cannot tell yet.
        """
        if makes_calls is not None:
            self._makes_calls[service_id] = makes_calls or self._makes_calls.get(service_id, False)

    def is_leaf(self, service_id: ServiceId) -> bool:
        """Return whether a service is known to make no calls."""
        return self._makes_calls.get(service_id) is False
