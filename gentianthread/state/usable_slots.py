"""Decide how many slots of a target its node fills."""

# Some targets slow down when nearly full, so that one slot in twenty stays empty.
USABLE_SLOT_FRACTION = 0.95

# Targets with at most this many slots are filled: an empty slot would cost them a quarter of their
# capacity or more, which is more than the slowdown of a full target.
FEW_SLOTS = 4


def usable_slots(slots: int) -> int:
    """Return how many requests may run at once.

    Args:
        slots: Number of requests that the target runs concurrently.
    """
    return max(1, slots) if slots <= FEW_SLOTS else int(slots * USABLE_SLOT_FRACTION)
