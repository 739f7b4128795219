"""Track the requests that peers run for this node."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import attrs

from ...errors import ConnectionLost
from ...protocol.messages_mesh import RunAnswer, RunRequest
from ...transport.callbacks import Cancellable

if TYPE_CHECKING:
    from .peer_link import PeerLink


# Runs a request of a peer and returns the answer.
Runner = Callable[[RunRequest], Awaitable[RunAnswer]]
# Starts a request of a peer without a task, and passes the answer to the callback. Returns None if
# the request needs a task.
Starter = Callable[[RunRequest, Callable[[RunAnswer], None]], Cancellable | None]


class LinkSilent(ConnectionLost):
    """Report a call whose link went silent; the peer may have run the request."""


# Called once with the peer's answer, or with the error that prevented it.
OnEnd = Callable[[RunAnswer | Exception], None]


@attrs.define(eq=False)
class PeerCall:
    """Track a request that a peer runs.

    Attributes:
        link: The link that the request was sent over.
        number: Number of the call on the link.
        repeatable: Whether the request may run more than once.
        on_end: Called with the answer or the error.
    """

    link: "PeerLink"
    number: int
    repeatable: bool
    on_end: OnEnd

    def cancel(self) -> None:
        """Ask the peer to stop the request; `on_end` is not called."""
        self.link.cancel(self.number)
