"""Limit and slow down the responses of the target that are being read."""

import asyncio
from typing import TYPE_CHECKING

from ..state.memory_budget import SMALL_HOLDER_BYTES, MemoryBudget, MemoryOwner
from .memory_handover import hand_over

if TYPE_CHECKING:
    from .target_connection import TargetConnection

# Longest body of a response; a longer one would fill the memory of the node.
BODY_LIMIT_BYTES = 64 * 1024 * 1024

# Fraction of the limit from which only the oldest response is read on.
PAUSE_FRACTION = 0.75

# Interval of the checks for free memory while responses wait for it.
CHECK_INTERVAL_MS = 20.0


class ResponseMemory:
    """Limit the bytes of all incomplete responses together, for any number of connections.

    While memory is short, only the oldest response is read on, so that large ones complete one
    after the other. While it is full, none of them is read: those that wait for slow readers hold
    it. Small responses are always read.
    """

    def __init__(self, limit_bytes: int = BODY_LIMIT_BYTES, budget: MemoryBudget | None = None):
        """Create the limit.

        Args:
            limit_bytes: Bytes from which the connection with the longest response is failed.
            budget: Memory of the process; one of its own by default.
        """
        self._limit_bytes = limit_bytes
        self._budget = MemoryBudget() if budget is None else budget
        self._held: dict[TargetConnection, int] = {}
        self._paused: dict[TargetConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes of bodies and header fields of incomplete responses."""
        return self._budget.sum_of(MemoryOwner.ANSWER_IN)

    def add(self, connection: "TargetConnection", count: int) -> "TargetConnection | None":
        """Count bytes of a response, and return the connection to fail if there are too many.

        Args:
            connection: The connection on which they came.
            count: Number of bytes.
        """
        held = self._held
        held[connection] = held.get(connection, 0) + count
        self._budget.charge(MemoryOwner.ANSWER_IN, connection, count)
        return None if self.held_bytes <= self._limit_bytes else max(held, key=held.__getitem__)

    def release(self, connection: "TargetConnection") -> None:
        """Forget the bytes of a connection whose response is complete or lost."""
        if self._held.pop(connection, None) is not None:
            self._budget.release(MemoryOwner.ANSWER_IN, connection)
        self._paused.pop(connection, None)

    def hand_over(self, size_bytes: int) -> None:
        """Keep a complete response charged until its next holder has charged it."""
        hand_over(self._budget, MemoryOwner.ANSWER_IN, size_bytes)

    def must_pause(self, connection: "TargetConnection") -> bool:
        """Return whether a connection with an incomplete response must read nothing for now."""
        if self._held.get(connection, 0) <= SMALL_HOLDER_BYTES:
            return False
        budget = self._budget
        if budget.is_full():
            return True
        if not budget.is_short() and self.held_bytes <= self._limit_bytes * PAUSE_FRACTION:
            return False
        oldest = next(
            (each for each, held in self._held.items() if held > SMALL_HOLDER_BYTES), connection
        )
        return oldest is not connection

    def pause(self, connection: "TargetConnection") -> None:
        """Read nothing from a connection until memory is free."""
        self._paused[connection] = None
        connection.pause()
        self._check_later()

    def _check_later(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        self._timer = None
        room_bytes = self._budget.room_bytes()
        for connection in list(self._paused):
            if not self.must_pause(connection):
                del self._paused[connection]
                connection.resume()
                room_bytes -= SMALL_HOLDER_BYTES
                if room_bytes <= 0:
                    break
        if self._paused:
            self._check_later()
