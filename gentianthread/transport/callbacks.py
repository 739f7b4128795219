"""Join work that calls back with code that awaits."""

import asyncio
from typing import Protocol, TypeVar

T = TypeVar("T")


class Cancellable(Protocol):
    """Be work that can be given up."""

    def cancel(self) -> object:
        """Give the work up."""


def settle(future: "asyncio.Future[T]", result: T) -> None:
    """Give a future its result, unless whoever awaited it is gone."""
    if not future.done():
        future.set_result(result)
