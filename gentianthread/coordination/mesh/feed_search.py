"""Ask other nodes for changes while the sources of a node are lost.

The nodes that take over are not known: those next in line may be lost as well. Each node therefore
follows a few random nodes of its zone for a short time. A change that one of them learns reaches
all the others over some of these links, whoever is lost, and no node has to inform a whole zone.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING

from ...clock import Clock
from ...errors import PeerUnreachable
from ...protocol.messages_mesh import FollowFeed

if TYPE_CHECKING:
    from .feeds import DocumentFeeds

# Interval at which a node checks whether its sources are lost.
CHECK_MS = 100.0

# Nodes that are asked at once. With three, a change of one node reaches 94% of a large zone after
# the first round, and all but one in 400 after the second.
NODES_PER_ROUND = 3

# Initial and longest time between two rounds; it doubles, so that an outage of the store costs few
# messages.
ROUND_INTERVAL_RANGE_MS = (200.0, 1_600.0)

# Time for which an asked node informs the one that asked.
LEASE_MS = 2_000.0


class FeedSearch:
    """Follow random nodes for a short time while the feeds of a node are lost."""

    def __init__(self, feeds: "DocumentFeeds", clock: Clock, random: Random):
        """Create a search that is started by `run`.

        Args:
            feeds: The feeds of this node.
            clock: Clock of the rounds.
            random: Source of the choice.
        """
        self._feeds = feeds
        self._clock = clock
        self._random = random
        self._asked: set[str] = set()
        self._next_round_ms = float("-inf")
        self._interval_ms = ROUND_INTERVAL_RANGE_MS[0]
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Search whenever the feeds are lost, until cancelled."""
        while True:
            await self._clock.sleep_ms(CHECK_MS)
            if self._feeds.is_lost():
                self._search()
            else:
                self._asked.clear()
                self._next_round_ms = float("-inf")
                self._interval_ms = ROUND_INTERVAL_RANGE_MS[0]

    def _search(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + self._interval_ms
        self._interval_ms = min(ROUND_INTERVAL_RANGE_MS[1], 2 * self._interval_ms)
        for host in self._choose():
            self._asked.add(host)
            task = asyncio.ensure_future(self._ask(host))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _choose(self) -> list[str]:
        """Return the nodes of the next round, those of the own zone first."""
        own_zone, elsewhere = self._feeds.followable()
        chosen: list[str] = []
        for hosts in (own_zone, elsewhere):
            new = [host for host in hosts if host not in self._asked]
            chosen += self._random.sample(new, min(NODES_PER_ROUND - len(chosen), len(new)))
        return chosen

    async def _ask(self, host: str) -> None:
        feeds = self._feeds
        try:
            link = await feeds.peers.link_to(host)
        except PeerUnreachable:
            # The link has logged it; the next round asks others.
            return
        link.post(FollowFeed(feeds.revision(), True, feeds.plan_version(), LEASE_MS))
