"""Hedge an idempotent request: send a second attempt when the first one is slow."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..clock import Clock
from ..state.allowance import Allowance, RetryBudget
from ..state.plan import Profile
from ..state.work import WorkItem
from .retries import MIN_REMAINING_MS

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
    is_success: Callable[[T], bool] = lambda _: True,
) -> T:
    """Run an attempt, and a second one if the first takes longer than the profile's hedge delay.

    Like a retry, the second attempt is charged to the request's allowance and the service's budget,
    so that hedging stops under overload. The first success wins and the other attempt is
    cancelled. If both fail, the result or error of the first attempt is used.

    Args:
        attempt: Makes attempt 0 or 1; attempt 1 must not use the upstream of attempt 0.
        item: The request.
        profile: Profile with the hedging settings.
        allowance: Retry allowance of the request.
        budget: Retry budget of the service.
        clock: Clock for the deadline.
        prepare: Called before the second attempt is charged; returns whether it can be made.
        is_success: Returns whether a result is used without waiting for the other attempt.

    Returns:
        The result of the winning attempt.
    """
    first = asyncio.ensure_future(attempt(0))
    running = {first}
    try:
        if profile.hedging and item.idempotent:
            await asyncio.wait(running, timeout=profile.hedge_delay_ms / 1000)
            if not first.done() and _acquire_hedge(item, allowance, budget, clock, prepare):
                running.add(asyncio.ensure_future(attempt(1)))
        return await _first_success(first, running, is_success)
    finally:
        await _cancel_all(running)


def _acquire_hedge(
    item: WorkItem,
    allowance: Allowance,
    budget: RetryBudget,
    clock: Clock,
    prepare: Callable[[], bool],
) -> bool:
    """Charge a second attempt to allowance and budget; charge neither if it cannot be made."""
    if item.deadline_at_ms - clock.now_ms() < MIN_REMAINING_MS:
        return False
    if allowance.remaining <= 0 or not budget.has_credit or not prepare():
        return False
    return budget.take() and allowance.spend()


async def _first_success(
    first: asyncio.Future, running: set[asyncio.Future], is_success: Callable[[T], bool]
) -> T:
    pending = set(running)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in sorted(done, key=lambda task: task is not first):
            if task.cancelled() or task.exception() is not None:
                continue
            if is_success(task.result()):
                return task.result()
    return first.result()


async def _cancel_all(tasks: set[asyncio.Future]) -> None:
    """Cancel tasks and wait until they have ended, so that no attempt outlives the request."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
