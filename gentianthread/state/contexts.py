"""Track the requests that run on the target of this node, by context handle."""

import asyncio
import secrets

import attrs

from .allowance import Allowance
from .work import WorkItem

HANDLE_BYTES = 16


@attrs.define(eq=False)
class RunningContext:
    """Store what the inner calls of a running request inherit from it.

    Attributes:
        handle: Random token that the target copies into its inner calls.
        item: The request.
        allowance: Retries that the request and its inner calls may still use.
        inner_failed: Whether an inner call failed.
        children: Tasks of the running inner calls.
    """

    handle: str
    item: WorkItem
    allowance: Allowance
    inner_failed: bool = False
    children: set[asyncio.Task] = attrs.field(factory=set)


class Contexts:
    """Issue handles that are valid only on this node and only while their request runs."""

    def __init__(self) -> None:
        self._running: dict[str, RunningContext] = {}

    def __len__(self) -> int:
        return len(self._running)

    def open(self, item: WorkItem, allowance: Allowance) -> RunningContext:
        """Issue a handle for a request that starts to run."""
        context = RunningContext(secrets.token_hex(HANDLE_BYTES), item, allowance)
        self._running[context.handle] = context
        return context

    def find(self, handle: str) -> RunningContext | None:
        """Return the running request of a handle, or None."""
        return self._running.get(handle)

    def close(self, context: RunningContext) -> None:
        """Invalidate a handle and cancel the inner calls that still run."""
        if self._running.pop(context.handle, None) is None:
            return
        for child in tuple(context.children):
            child.cancel()
