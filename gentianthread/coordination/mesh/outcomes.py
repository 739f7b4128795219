"""Make the answers of requests that got none from a target."""

from ...errors import ConnectionLost, PeerUnreachable
from ...protocol.messages_mesh import RunAnswer, RunOutcome
from ...state.balancer import LoadReport

_NO_LOAD = LoadReport(0, 0, 0, 0.0, 0.0)


def refused(reason: str) -> RunAnswer:
    """Return the answer for a request that was not sent."""
    return RunAnswer(0, RunOutcome.NOT_SENT, reason, 0, "", b"", False, _NO_LOAD, 0)


def unknown(reason: str) -> RunAnswer:
    """Return the answer for a request that may have run."""
    return RunAnswer(0, RunOutcome.UNKNOWN, reason, 0, "", b"", False, _NO_LOAD, 0)


def as_answer(result: RunAnswer | Exception) -> RunAnswer:
    """Return the outcome of an attempt as an answer; a fault leaves open whether it ran."""
    if isinstance(result, RunAnswer):
        return result
    if isinstance(result, PeerUnreachable):
        return refused("link closed")
    return unknown(result.problem if isinstance(result, ConnectionLost) else str(result))
