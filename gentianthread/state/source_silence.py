"""Know which nodes have stopped to send the states that they owe their followers.

Load: the nodes that a whole zone follows are frozen, and their links stay open.
"""

# Interval at which a node sends its state to its followers.
STATE_INTERVAL_MS = 400.0

# A source is silent if no state has come for more than two intervals. A state may be late by half
# an interval, as nodes that forward states send their own only if none has passed for a while.
SILENT_AFTER_MS = 900.0

# Time after which a silent node is tried again as a source, should its states have been lost.
RETRY_AFTER_MS = 5_000.0


class SourceSilence:
    """Store when each source was last heard of."""

    def __init__(self) -> None:
        """Create a store without sources."""
        self._heard_ms: dict[str, float] = {}

    def expect(self, host: str, now_ms: float) -> None:
        """Begin to wait for the states of a node that is followed; no effect if it is already.

        Args:
            host: Its address.
            now_ms: Present time in ms.
        """
        self._heard_ms.setdefault(host, now_ms)

    def record_state(self, host: str, now_ms: float) -> None:
        """Record a state; those of nodes that are not followed are ignored."""
        if host in self._heard_ms:
            self._heard_ms[host] = now_ms

    def keep(self, sources: tuple[str, ...], now_ms: float) -> None:
        """Forget the nodes that are no sources any more, except silent ones."""
        self._heard_ms = {
            host: heard_ms
            for host, heard_ms in self._heard_ms.items()
            if host in sources or self.is_silent(host, now_ms)
        }

    def is_silent(self, host: str, now_ms: float) -> bool:
        """Return whether a source has sent no state for too long."""
        heard_ms = self._heard_ms.get(host)
        return heard_ms is not None and now_ms - heard_ms > SILENT_AFTER_MS

    def silent(self, now_ms: float) -> frozenset[str]:
        """Return the silent nodes, and forget those that are to be tried again."""
        for host, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms > RETRY_AFTER_MS:
                del self._heard_ms[host]
        return frozenset(host for host in self._heard_ms if self.is_silent(host, now_ms))
