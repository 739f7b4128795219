"""Decide when a node that has lost its feeds calls the store itself.

Load: all nodes of a zone lose their feeds at once, and the store charges for every call.
"""

from random import Random

from ...clock import Clock
from ...state.feed_plan import EARLY_TURN_MS, EARLY_TURNS
from .feeds import DocumentFeeds

# Interval at which a node that waits checks whether its feeds are back.
FEED_CHECK_MS = 100.0


class StoreTurn:
    """Let the nodes of a zone that lost their feeds call the store one after the other."""

    def __init__(self, feeds: DocumentFeeds, clock: Clock, random: Random):
        """Create the turns of one node.

        Args:
            feeds: Its feeds.
            clock: Clock of the waits.
            random: Source of the choice, and of the jitter of later calls.
        """
        self._feeds = feeds
        self._clock = clock
        self._random = random
        # Whether this node has had its first turn since it lost its feeds.
        self._had_turn = False

    def reset(self) -> None:
        """Begin anew, as the feeds are not lost."""
        self._had_turn = False

    async def is_due(self) -> bool:
        """Wait for the next turn, and return whether the feeds were lost until then.

        Sources that report an outage leave the store to a few nodes, in the order of their
        positions. Silent sources say nothing about the store, which may answer: a few random nodes
        try it soon.
        """
        plan = self._feeds.plan
        if self._had_turn:
            return await self._is_lost_after(plan.next_call_delay_ms(self._random.random()))
        delay_ms = plan.first_call_delay_ms()
        while self._feeds.has_contact:
            if delay_ms <= 0:
                self._had_turn = True
                return True
            if not await self._is_lost_after(min(FEED_CHECK_MS, delay_ms)):
                return False
            delay_ms -= FEED_CHECK_MS
        return await self._is_early_turn()

    async def _is_early_turn(self) -> bool:
        for turn in range(1, EARLY_TURNS + 1):
            if not await self._is_lost_after(EARLY_TURN_MS):
                return False
            if self._random.random() < self._feeds.plan.early_call_probability(turn):
                self._had_turn = True
                return True
        self._had_turn = True
        return False

    async def _is_lost_after(self, delay_ms: float) -> bool:
        """Wait, and return whether the feeds were lost all the while."""
        while delay_ms > 0:
            step_ms = min(FEED_CHECK_MS, delay_ms)
            await self._clock.sleep_ms(step_ms)
            delay_ms -= step_ms
            if not self._feeds.is_lost() or self._feeds.watching:
                return False
        return True
