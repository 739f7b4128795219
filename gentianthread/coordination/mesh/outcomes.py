"""Build the answers of requests that got no response from a target."""

from ...errors import ConnectionLost, PeerUnreachable
from ...protocol.messages_mesh import RunAnswer, RunOutcome
from ...state.balancer import LoadReport

_NO_LOAD = LoadReport(0, 0, 0, 0.0, 0.0)


def refused_answer(reason: str) -> RunAnswer:
    """Return the answer for a request that was not sent."""
    return RunAnswer(0, RunOutcome.NOT_SENT, reason, 0, "", b"", _NO_LOAD, 0)


def unknown_answer(reason: str) -> RunAnswer:
    """Return the answer for a request that may have run."""
    return RunAnswer(0, RunOutcome.UNKNOWN, reason, 0, "", b"", _NO_LOAD, 0)


def as_answer(result: RunAnswer | Exception) -> RunAnswer:
    """Convert the outcome of an attempt to an answer.

    `PeerUnreachable` means that nothing was sent; after any other error the request may have run.

    Args:
        result: An answer, or the error of a link.
    """
    if isinstance(result, RunAnswer):
        return result
    if isinstance(result, PeerUnreachable):
        return refused_answer("link closed")
    return unknown_answer(result.problem if isinstance(result, ConnectionLost) else str(result))
