"""Number of the states that nodes send each other along the feeds."""

import asyncio

import attrs

from gentianthread.coordination.mesh.feeds import (
    CONTACT_MAX_AGE_MS,
    DEPUTY_MS,
    FEED_INTERVAL_MS,
    STATE_BURST,
)
from gentianthread.state.feed_plan import FeedPlan

from ...base import VirtualTimeTestCase
from .follower_fleet import FollowerFleet

# States per second that a node may send over one link. In calm it sends one for each interval.
MAX_STATES_PER_S = 25

STEP_S = 0.01


class TestFeedStates(VirtualTimeTestCase):
    async def start(self, size, zones, seed=1):
        self.fleet = FollowerFleet(size, zones, seed=seed)
        self.fleet.list_all()
        self.fleet.start()
        await asyncio.sleep(4)

    async def check_messages(self, duration_s, max_per_s):
        """Check in short steps that the nodes send no more messages than a rate allows.

        Without a limit their number can grow so fast that the test would not end.
        """
        for _ in range(int(duration_s)):
            sent_before = self.fleet.messages
            for _ in range(int(1 / STEP_S)):
                await asyncio.sleep(STEP_S)
                self.assertLessEqual(self.fleet.messages - sent_before, max_per_s)

    async def test_loss_of_the_feeds_after_nodes_have_taken_over(self):
        """Guards against a flood of states when all nodes lose their feeds at about the same time.

        A node that has taken over keeps sending its state to its sources. The reported age of the
        store's last answer leaves out the time that a state travels, so that a node that has just
        lost its feeds is told an age below the limit by one that has not, and tells it all others.
        """
        await self.start(13, 3)
        nodes = list(self.fleet.nodes.values())
        for node in nodes:
            node.feeds.take_over()
        await asyncio.sleep(DEPUTY_MS / 1000 + 1)
        link_count = sum(len(node.feeds.neighbours()) for node in nodes)
        self.fleet.store.go_down(silent_s=10)
        await asyncio.sleep(2 * CONTACT_MAX_AGE_MS / 1000)
        self.assertTrue(all(node.feeds.is_lost() for node in nodes))
        last, first = nodes[-1], nodes[0]
        state = attrs.evolve(last.feeds._state(), store_age_ms=CONTACT_MAX_AGE_MS - 1)
        last.peers.link(first.feeds.host).post(state)
        await self.check_messages(2, link_count * MAX_STATES_PER_S)
        await self.fleet.stop()

    # Guards against CONFIG: a plan that is known over 2 s late after the watchers have crashed.
    async def test_first_states_after_a_calm_time_are_not_delayed(self):
        """Guards against nodes that learn of an outage or of a newer revision too late."""
        await self.start(2, 1)
        feeds = next(node.feeds for node in self.fleet.nodes.values() if node.feeds._followers)
        followers = len(feeds._followers)
        await asyncio.sleep(1)
        sent_before = self.fleet.messages
        for _ in range(STATE_BURST):
            feeds.send_state()
        self.assertEqual(STATE_BURST * followers, self.fleet.messages - sent_before)
        await self.fleet.stop()

    async def test_nodes_that_take_each_other_for_the_head(self):
        """Guards against states that two nodes send back and forth as fast as the link allows.

        Nodes choose their sources at different moments after the head of a zone has changed.
        """
        await self.start(2, 1)
        hosts = list(self.fleet.nodes)
        for host, other in zip(hosts, reversed(hosts), strict=True):
            feeds = self.fleet.nodes[host].feeds
            feeds.choose_sources = lambda: None
            feeds.plan = FeedPlan(False, (other,), 1, 2)
        await asyncio.sleep(FEED_INTERVAL_MS / 1000 + 0.1)
        await self.check_messages(2, 2 * MAX_STATES_PER_S)
        await self.fleet.stop()
