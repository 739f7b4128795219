"""Account for the memory of a process that callers, peers and targets make it hold.

Handles crowds of untrusted callers: many requests that are each within the limits, and that fill
the memory together. Memory is charged by what it takes, not by the number of received bytes.
"""

from collections.abc import Callable, Hashable
from enum import Enum

# Fraction of the capacity above which the process is short of memory: reading pauses.
SHORT_FRACTION = 0.5

# Fraction of the capacity that holders of much memory may fill; the rest is left to small requests.
LARGE_FRACTION = 0.8

# Memory that a small request may hold, and to which the rules for short memory do not apply.
SMALL_HOLDER_BYTES = 64 * 1024

# Memory of a header field beside the text of its name and value: a tuple, two strings, entries of
# two lists and a dictionary. Measured: 290 bytes for names of two letters and no value.
FIELD_BYTES = 320

# A text with one character outside the basic plane takes four bytes for each character.
TEXT_BYTES_PER_BYTE = 4

# A bytearray is allocated an eighth longer than its content. Of a large one this part is never
# written to, so that it takes no memory.
BUFFER_EXTRA_FRACTION = 1 / 8
MAX_BUFFER_EXTRA_BYTES = 128 * 1024

# Memory of an idle sidecar, and the fraction of the rest of its memory that may be charged. What is
# left covers free blocks between used ones, bytes that the event loop has just read, and copies.
PROCESS_BYTES = 48 * 1024 * 1024
CHARGED_FRACTION = 0.6
MIN_CAPACITY_BYTES = 8 * 1024 * 1024


class MemoryOwner(Enum):
    """Name what memory is held for.

    Attributes:
        HEAD: Heads of requests that are being read.
        BODY: Heads and bodies of requests whose body is being read.
        WAITING: Complete requests that wait for their response.
        LINK_IN: Messages of peers that are being read, and requests of peers.
        LINK_OUT: Messages to peers that are not sent yet.
        ANSWER_IN: Responses of the target that are being read.
        ANSWER_OUT: Responses that wait for a slow reader.
    """

    HEAD = "head"
    BODY = "body"
    WAITING = "waiting"
    LINK_IN = "link_in"
    LINK_OUT = "link_out"
    ANSWER_IN = "answer_in"
    ANSWER_OUT = "answer_out"

    # That of `Enum` is a Python function, which takes longer than the rest of a charge.
    __hash__ = object.__hash__


# Owners whose holders have sent only a part of a request, which therefore has not run.
INCOMPLETE_OWNERS = (MemoryOwner.HEAD, MemoryOwner.BODY)


def fields_bytes(count: int, text_bytes: int) -> int:
    """Return the memory that header fields take at most.

    Args:
        count: Number of fields.
        text_bytes: Length of all names and values as received.
    """
    return count * FIELD_BYTES + text_bytes * TEXT_BYTES_PER_BYTE


def buffer_bytes(length: int) -> int:
    """Return the memory that a bytearray takes."""
    return length + min(int(length * BUFFER_EXTRA_FRACTION), MAX_BUFFER_EXTRA_BYTES)


def capacity_of(memory_bytes: float) -> int:
    """Return the capacity of the budget of a process.

    Args:
        memory_bytes: Memory that the instance gives the process.
    """
    return int(max(MIN_CAPACITY_BYTES, (memory_bytes - PROCESS_BYTES) * CHARGED_FRACTION))


class MemoryBudget:
    """Count the memory that is held, by owner and holder, and tell who must give way.

    Charging never fails. Whoever charges asks afterwards whether memory is short.

    Attributes:
        capacity_bytes: Memory that may be held in all.
        short_bytes: Memory above which holders of much memory must stop to read more.
        total_bytes: Memory that is held.
        peak_bytes: Largest value of `total_bytes`.
        refused: Number of requests refused for lack of memory, by reason.
    """

    def __init__(
        self, capacity_bytes: float = float("inf"), now_ms: Callable[[], float] = lambda: 0.0
    ):
        """Create a budget of which nothing is held.

        Args:
            capacity_bytes: Memory that may be held in all.
            now_ms: Returns the present time, for the progress of holders.
        """
        self.capacity_bytes = capacity_bytes
        self.short_bytes = capacity_bytes * SHORT_FRACTION
        self.total_bytes = 0
        self.peak_bytes = 0
        self.refused: dict[str, int] = {}
        self._now_ms = now_ms
        self._held: dict[MemoryOwner, dict[Hashable, int]] = {owner: {} for owner in MemoryOwner}
        self._sums = dict.fromkeys(MemoryOwner, 0)
        # Last time at which an incomplete holder held more than before.
        self._progress_ms: dict[Hashable, float] = {}

    def charge(self, owner: MemoryOwner, holder: Hashable, size_bytes: int) -> None:
        """Add memory that a holder now holds."""
        held = self._held[owner]
        held[holder] = held.get(holder, 0) + size_bytes
        self._sums[owner] += size_bytes
        total_bytes = self.total_bytes = self.total_bytes + size_bytes
        if total_bytes > self.peak_bytes:
            self.peak_bytes = total_bytes

    def release(self, owner: MemoryOwner, holder: Hashable, size_bytes: int | None = None) -> None:
        """Return memory that a holder no longer holds; what it does not hold is ignored.

        Args:
            owner: What the memory was held for.
            holder: Who held it.
            size_bytes: How much of it; all by default.
        """
        held = self._held[owner]
        present = held.get(holder)
        if present is None:
            return
        if size_bytes is None or size_bytes >= present:
            size_bytes = present
            del held[holder]
        else:
            held[holder] = present - size_bytes
        self._sums[owner] -= size_bytes
        self.total_bytes -= size_bytes

    def hold(self, owner: MemoryOwner, holder: Hashable, size_bytes: int) -> None:
        """Set how much an incomplete holder holds; holding more than before is progress."""
        change = size_bytes - self._held[owner].get(holder, 0)
        if change > 0:
            self._progress_ms[holder] = self._now_ms()
            self.charge(owner, holder, change)
        elif change < 0:
            self.release(owner, holder, -change)

    def end_incomplete(self, holder: Hashable) -> None:
        """Return what a holder held for a request that it had sent in part."""
        if self._progress_ms.pop(holder, None) is not None:
            for owner in INCOMPLETE_OWNERS:
                self.release(owner, holder)

    def held_by(self, owner: MemoryOwner, holder: Hashable) -> int:
        """Return how much a holder holds for an owner."""
        return self._held[owner].get(holder, 0)

    def sum_of(self, owner: MemoryOwner) -> int:
        """Return how much is held for an owner."""
        return self._sums[owner]

    def holder_count(self, owner: MemoryOwner) -> int:
        """Return how many holders an owner has."""
        return len(self._held[owner])

    def is_short(self) -> bool:
        """Return whether holders of much memory must stop to read more."""
        return self.total_bytes > self.short_bytes

    def is_full(self, size_bytes: float = float("inf")) -> bool:
        """Return whether a request must give way.

        Args:
            size_bytes: Memory that it holds; small requests may use the whole capacity.
        """
        fraction = 1.0 if size_bytes <= SMALL_HOLDER_BYTES else LARGE_FRACTION
        return self.total_bytes > self.capacity_bytes * fraction

    def idle_ms(self, holder: Hashable) -> float:
        """Return for how long an incomplete holder has made no progress."""
        return self._now_ms() - self._progress_ms.get(holder, self._now_ms())

    def incomplete(self) -> list[Hashable]:
        """Return the holders of incomplete requests, the oldest first."""
        return list(self._progress_ms)

    def incomplete_bytes(self, holder: Hashable) -> int:
        """Return how much a holder holds for a request that it has sent in part."""
        held = self._held
        return held[MemoryOwner.HEAD].get(holder, 0) + held[MemoryOwner.BODY].get(holder, 0)

    def victim(self, min_bytes: int = 0) -> Hashable | None:
        """Return the holder of an incomplete request that holds most and progresses least.

        Args:
            min_bytes: Smallest memory of a holder that is considered.
        """
        now_ms = self._now_ms()
        best, best_score = None, 0.0
        for holder, progress_ms in self._progress_ms.items():
            held_bytes = self.incomplete_bytes(holder)
            score = held_bytes * (1.0 + now_ms - progress_ms)
            if held_bytes >= min_bytes and score > best_score:
                best, best_score = holder, score
        return best

    def overfull_victim(self) -> Hashable | None:
        """Return who must give way at once, or None if nobody must or can.

        The part of the capacity that is reserved for small requests is used up only by these.
        """
        if self.total_bytes > self.capacity_bytes:
            return self.victim()
        if self.total_bytes > self.capacity_bytes * LARGE_FRACTION:
            return self.victim(SMALL_HOLDER_BYTES)
        return None

    def room_bytes(self) -> float:
        """Return how much more may be held before the process is short of memory."""
        return max(0.0, self.short_bytes - self.total_bytes)

    def favoured(self, max_idle_ms: float) -> Hashable | None:
        """Return the oldest holder of much memory that still progresses.

        It alone reads on while memory is short, so that large bodies complete one after the other.

        Args:
            max_idle_ms: Time without progress after which another one is chosen.
        """
        now_ms = self._now_ms()
        for holder, progress_ms in self._progress_ms.items():
            if now_ms - progress_ms <= max_idle_ms and (
                self.incomplete_bytes(holder) > SMALL_HOLDER_BYTES
            ):
                return holder
        return None

    def record_refusal(self, reason: str) -> None:
        """Count a request that was refused, or a connection that was closed."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
