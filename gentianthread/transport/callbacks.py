"""Connect code that uses callbacks with code that awaits."""

import asyncio
from typing import Protocol, TypeVar

T = TypeVar("T")


class Cancellable(Protocol):
    """Declare work that can be cancelled."""

    def cancel(self) -> object:
        """Cancel the work."""


def settle(future: "asyncio.Future[T]", result: T) -> None:
    """Set the result of a future that is not done; it may have been cancelled."""
    if not future.done():
        future.set_result(result)
