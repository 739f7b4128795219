"""Send an idempotent request a second time when its first attempt is slow."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..clock import Clock
from ..state.allowance import Allowance, RetryBudget
from ..state.plan import Profile
from ..state.work import WorkItem
from .retries import USEFUL_REMAINING_MS

T = TypeVar("T")


async def run_hedged(
    attempt: Callable[[int], Awaitable[T]],
    item: WorkItem,
    profile: Profile,
    allowance: Allowance,
    budget: RetryBudget,
    clock: Clock,
    *,
    prepare: Callable[[], bool] = lambda: True,
    is_good: Callable[[T], bool] = lambda _: True,
) -> T:
    """Run an attempt, and a second one if the first takes longer than the profile's delay.

    The second attempt uses one unit of the request's allowance and of the service's budget, like a
    retry, so hedging fades under overload. The first good result wins and the other attempt
    is cancelled. Where both fail, the result or error of the first attempt counts.

    Args:
        attempt: Makes attempt 0 or 1; it excludes the upstream of the other one itself.
        item: The work.
        profile: Says whether and when to hedge.
        allowance: Allowance of the request.
        budget: Budget of the service.
        clock: Clock of the deadline.
        prepare: Called before the second attempt is paid for; returns whether it can be made.
        is_good: Tells whether a result wins over an attempt that is still under way.

    Returns:
        What the winning attempt returned.
    """
    first = asyncio.ensure_future(attempt(0))
    running = {first}
    try:
        if profile.hedging and item.idempotent:
            await asyncio.wait(running, timeout=profile.hedge_delay_ms / 1000)
            if not first.done() and _pay(item, allowance, budget, clock, prepare):
                running.add(asyncio.ensure_future(attempt(1)))
        return await _first_good(first, running, is_good)
    finally:
        await _cancel(running)


def _pay(
    item: WorkItem,
    allowance: Allowance,
    budget: RetryBudget,
    clock: Clock,
    prepare: Callable[[], bool],
) -> bool:
    """Take a second attempt from allowance and budget; both stay as they are if one forbids it."""
    if item.deadline_at_ms - clock.now_ms() < USEFUL_REMAINING_MS:
        return False
    if allowance.remaining <= 0 or not budget.has_credit or not prepare():
        return False
    return budget.take() and allowance.spend()


async def _first_good(
    first: asyncio.Future, running: set[asyncio.Future], is_good: Callable[[T], bool]
) -> T:
    waiting = set(running)
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in sorted(done, key=lambda task: task is not first):
            if task.cancelled() or task.exception() is not None:
                continue
            if is_good(task.result()):
                return task.result()
    return first.result()


async def _cancel(tasks: set[asyncio.Future]) -> None:
    """Cancel tasks and wait for their end, so that no attempt outlives the request."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
