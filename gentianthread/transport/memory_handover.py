"""Pass memory from one holder to the next one."""

import asyncio
from collections.abc import Hashable

from ..state.memory_budget import MemoryBudget, MemoryOwner

# Turns of the event loop for which a complete response stays charged. It may pass through tasks on
# its way to its next holder, and others must not take its place in between.
HANDOVER_TURNS = 6


def hand_over(memory: MemoryBudget, owner: MemoryOwner, size_bytes: int) -> None:
    """Keep memory charged until its next holder has charged it.

    Args:
        memory: The budget.
        owner: Owner to which it stays charged.
        size_bytes: How much it is.
    """
    holder = object()
    memory.charge(owner, holder, size_bytes)
    _release_after(memory, owner, holder, HANDOVER_TURNS)


def _release_after(memory: MemoryBudget, owner: MemoryOwner, holder: Hashable, turns: int) -> None:
    if turns:
        loop = asyncio.get_running_loop()
        loop.call_soon(_release_after, memory, owner, holder, turns - 1)
    else:
        memory.release(owner, holder)
