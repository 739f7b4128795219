"""Decide how much of the demand for a service leaves the availability zone.

This handles zones whose demand rises and falls in opposite phase, by 15% to 50% with a period of
11 s, zones whose own targets are too few, and links that become slow while requests pass over them.
"""

import attrs


@attrs.frozen
class ZoneOutlook:
    """Describe what an entry expects of the best other zone.

    Attributes:
        wait_ms: Mean wait at its targets.
        path_ms: Cost of sending a request there: the round trip and the surcharge for bytes.
    """

    wait_ms: float
    path_ms: float


class ZoneTransfer:
    """Raise or lower the share of the requests that may leave, in steps.

    The share rises while the smoothed gain exceeds the cost of the path by a margin, and falls when
    the gain is below the cost. Between both it stays, so that it settles where sending more would
    not pay, and does not follow bursts. Only requests that would wait in the own zone use the
    share, and each is compared with the own zone first, so that fewer than the share are sent.

    Attributes:
        sent: Requests that were sent elsewhere.
        saved_ms: Sum of the time that they were expected to save.
        own_wait_ms: Mean wait in the own zone over the last period.
        outlook: What was last expected elsewhere.
    """

    UPDATE_PERIOD_MS = 100.0
    # Time without an update from which the share is 0.
    MAX_AGE_MS = 1_000.0
    # Time constant of the gain. Demand turns within about 3 s, and a burst lasts under 0.5 s.
    AVERAGING_TIME_MS = 400.0
    # The share rises from this multiple of the cost on, and falls below the cost itself.
    START_RATIO = 1.5
    # Largest changes of the share per period: it rises to a half within 1 s and falls more slowly.
    # All entries of a zone move at once, and see the effect only with the answers.
    RISE = 0.06
    FALL = 0.04
    # Some requests always try the own zone, to learn when it has room again.
    MAX_SHARE = 0.9
    # Time without any share after which the transfer is considered to have stopped.
    STOP_AFTER_MS = 2_000.0

    def __init__(self) -> None:
        self.sent = 0
        self.saved_ms = 0.0
        self.own_wait_ms = 0.0
        self.outlook: ZoneOutlook | None = None
        self._share = 0.0
        self._gain_ms = 0.0
        self._waits_ms, self._waits = 0.0, 0
        self._updated_ms = float("-inf")
        self._shared_ms = float("-inf")
        self._active = False

    def share_elsewhere(self, now_ms: float) -> float:
        """Return the share of the requests that may leave the zone, 0 to 1.

        Args:
            now_ms: Present time in ms. Without a recent update the share is 0, as nothing is known.
        """
        return self._share if now_ms - self._updated_ms < self.MAX_AGE_MS else 0.0

    def is_due(self, now_ms: float) -> bool:
        """Return whether `observe` is to be called."""
        return now_ms - self._updated_ms >= self.UPDATE_PERIOD_MS

    def observe(self, outlook: ZoneOutlook | None, now_ms: float) -> bool:
        """Adjust the share, and return whether the transfer started or stopped.

        Args:
            outlook: What to expect elsewhere, or None if there is only one zone with targets.
            now_ms: Present time in ms.
        """
        elapsed_ms = min(now_ms - self._updated_ms, self.MAX_AGE_MS)
        if outlook is None:
            # Requests that are bound to one zone pass another pool than the others of the service.
            if elapsed_ms < self.MAX_AGE_MS:
                return False
            self._share = self._gain_ms = 0.0
            return self._note_activity(now_ms)
        self._updated_ms, self.outlook = now_ms, outlook
        weight = min(1.0, elapsed_ms / self.AVERAGING_TIME_MS)
        self.own_wait_ms = self._waits_ms / self._waits if self._waits else 0.0
        self._waits_ms, self._waits = 0.0, 0
        gain_ms = self.own_wait_ms - outlook.wait_ms
        self._gain_ms += weight * (gain_ms - self._gain_ms)
        cost_ms = max(1.0, outlook.path_ms)
        excess = self._gain_ms / cost_ms
        # The smoothed gain of a burst lasts longer than the burst.
        if excess > self.START_RATIO and gain_ms > cost_ms:
            step = self.RISE * min(1.0, excess - self.START_RATIO)
            self._share = min(self.MAX_SHARE, self._share + step)
        elif excess < 1:
            step = self.FALL * min(1.0, 1 - excess)
            self._share = max(0.0, self._share - step)
        return self._note_activity(now_ms)

    def _note_activity(self, now_ms: float) -> bool:
        if self._share > 0:
            self._shared_ms = now_ms
        active = now_ms - self._shared_ms < self.STOP_AFTER_MS
        changed, self._active = active != self._active, active
        return changed

    @property
    def active(self) -> bool:
        """Return whether requests were allowed to leave recently."""
        return self._active

    def record_wait(self, wait_ms: float) -> None:
        """Record the wait of a request at the upstream that the own zone has for it."""
        self._waits_ms += wait_ms
        self._waits += 1

    def record_sent(self, saved_ms: float) -> None:
        """Count a request that is sent elsewhere.

        Args:
            saved_ms: Time that it is expected to save, less the cost of the path.
        """
        self.sent += 1
        self.saved_ms += max(0.0, saved_ms)

    def describe(self, now_ms: float) -> dict[str, float]:
        """Return the state for the dump."""
        return {
            "share": round(self.share_elsewhere(now_ms), 3),
            "gain_ms": round(self._gain_ms, 1),
            "sent": self.sent,
            "saved_ms": round(self.saved_ms, 1),
        }
