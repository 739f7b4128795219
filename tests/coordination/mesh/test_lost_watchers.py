"""Configurations that are written shortly after the nodes that watch the store were lost.

Load: none; a fleet of 21 to 670 nodes, of which up to a share is frozen, killed or cut off at once.
"""

import asyncio

from gentianthread.state.rendezvous import rank

from ...base import VirtualTimeTestCase
from .follower_fleet import PLAN_KEY, FollowerFleet
from .test_feed_states import MAX_STATES_PER_S
from .test_store_calls import CALM_DAY_CALLS, WORST_DAY_CALLS

# Time within which a new configuration is in force on all nodes in touch.
CHANGE_LIMIT_S = 2.0

# Largest share of the nodes that are frozen at the same time, and for how long.
FREEZE_SHARE = 0.11
FREEZE_S = 3.5

# Size, zones and seed of each play.
PLAYS = ((21, 3, 1), (21, 3, 4), (60, 6, 2), (150, 6, 3))
STEP_S = 0.01

# Calls of such a loss that the price of a day leaves room for.
MAX_CALLS = WORST_DAY_CALLS - CALM_DAY_CALLS

# Messages per second that a node sends at most, over all its links and on average.
MAX_MESSAGES_PER_S = MAX_STATES_PER_S

# States are sent at other moments after a loss, so that a second has a few more or fewer.
CALM_TOLERANCE = 1.1


class TestLostWatchers(VirtualTimeTestCase):
    async def start(self, size, zones, seed=1):
        self.fleet = FollowerFleet(size, zones, seed)
        self.fleet.list_all()
        self.fleet.start()
        # Another moment of the watches and intervals for each seed.
        await asyncio.sleep(5 + 0.13 * seed)
        self.assertEqual(size, self.fleet.ready())

    def watchers(self):
        return [host for host, node in self.fleet.nodes.items() if node.feeds.plan.watching]

    def first_in_line(self, count):
        """Return the nodes that take over first in the zones of the watchers."""
        lines = []
        for watcher in self.watchers():
            zone = self.fleet.zone_by_host[watcher]
            hosts = [host for host, of in self.fleet.zone_by_host.items() if of == zone]
            lines.append(rank("watch", hosts))
        return [host for pair in zip(*lines, strict=False) for host in pair][:count]

    async def publish(self, hosts):
        """Publish a version, and return when the last of some nodes used it, and all counts."""
        fleet, loop = self.fleet, asyncio.get_running_loop()
        charged, messages, began_s = fleet.store.charged, fleet.messages, loop.time()
        fleet.store.put(PLAN_KEY, b"2")
        missing = set(hosts)
        while missing and loop.time() - began_s < FREEZE_S:
            await asyncio.sleep(STEP_S)
            missing = {host for host in missing if fleet.nodes[host].follower.plan.version < 2}
        latest_s = loop.time() - began_s
        await asyncio.sleep(max(0.0, began_s + FREEZE_S - loop.time()))
        return latest_s, fleet.store.charged - charged, fleet.messages - messages

    async def play(self, size, zones, seed, lose):
        """Lose some nodes, publish a version, and check the time, the calls and the messages.

        Args:
            size: Number of nodes.
            zones: Number of zones.
            seed: Seed of the random choices, and of the moment.
            lose: Loses nodes and returns those that are not in touch.
        """
        await self.start(size, zones, seed)
        lost = lose()
        await asyncio.sleep(0.02)
        latest_s, calls, messages = await self.publish(set(self.fleet.nodes) - set(lost))
        where = f"{size} nodes, seed {seed}"
        self.assertLessEqual(latest_s, CHANGE_LIMIT_S, where)
        self.assertLessEqual(calls, MAX_CALLS, where)
        self.assertLessEqual(messages, size * FREEZE_S * MAX_MESSAGES_PER_S, where)

    async def play_all(self, lose):
        for size, zones, seed in PLAYS:
            await self.play(size, zones, seed, lambda size=size: lose(size))
            await self.fleet.stop()

    def freeze(self, hosts):
        self.fleet.store.frozen.update(hosts)
        return hosts

    async def test_frozen_watchers(self):
        """Guards against a withdrawn key that works for longer than `config_apply`.

        The nodes behind two frozen watchers waited for their turn to call the store, and the node
        that took over told only the frozen ones, as in `review/6`.
        """
        await self.play_all(lambda size: self.freeze(self.watchers()))

    async def test_frozen_watchers_and_nodes_that_are_next_in_line(self):
        """Guards against a take-over that waits for each frozen node in the order of its zone."""
        await self.play_all(
            lambda size: self.freeze(self.first_in_line(max(2, int(FREEZE_SHARE * size))))
        )

    async def test_killed_watchers(self):
        """Guards against followers that notice the end of their sources too late."""

        def kill(size):
            watchers = self.watchers()
            for host in watchers:
                for task in self.fleet.nodes.pop(host).tasks:
                    task.cancel()
            return watchers

        await self.play_all(kill)

    async def test_watchers_that_are_cut_off_from_the_store(self):
        """Guards against watchers that learn the revision of a node that took over, but no change.

        They fetched all documents from it 0.5 s later, and their followers waited for them.
        """

        def refuse(size):
            self.fleet.store.refused.update(self.watchers())
            return []

        await self.play_all(refuse)

    def cut_off(self, *, outgoing):
        watchers = self.watchers()
        for host in watchers:
            for other in self.fleet.nodes:
                self.fleet.cut.add((host, other) if outgoing else (other, host))
        return watchers

    async def test_watchers_whose_messages_reach_nobody(self):
        """Guards against nodes that wait for a source which hears them and cannot answer."""
        await self.play_all(lambda size: self.cut_off(outgoing=True))

    async def test_watchers_that_no_message_reaches(self):
        """Guards against a take-over where the watchers still inform their followers."""
        await self.play_all(lambda size: self.cut_off(outgoing=False))

    async def test_change_right_after_frozen_watchers_wake(self):
        """Guards against nodes that neither the former nor the present watchers inform."""
        await self.start(21, 3)
        frozen = self.freeze(self.watchers())
        await asyncio.sleep(FREEZE_S)
        self.fleet.store.frozen.clear()
        await asyncio.sleep(0.02)
        latest_s, _, _ = await self.publish(set(self.fleet.nodes) - set(frozen))
        self.assertLessEqual(latest_s, CHANGE_LIMIT_S)
        self.assertEqual({2}, self.fleet.versions())
        self.assertEqual(2, len(self.watchers()))
        await self.fleet.stop()

    async def test_silent_store_behind_frozen_watchers(self):
        """Guards against a whole zone that calls a store which does not answer.

        The nodes cannot know whether only their sources are silent.
        """
        for size, zones in ((21, 3), (120, 6)):
            await self.start(size, zones)
            self.freeze(self.watchers())
            self.fleet.store.go_down(silent_s=1.0)
            charged, messages = self.fleet.store.charged, self.fleet.messages
            await asyncio.sleep(FREEZE_S)
            self.assertLessEqual(self.fleet.store.charged - charged, MAX_CALLS)
            sent = self.fleet.messages - messages
            self.assertLessEqual(sent, size * FREEZE_S * MAX_MESSAGES_PER_S)
            await self.fleet.stop()

    async def test_calm_after_a_loss_costs_no_more_than_before(self):
        """Guards against followers and watchers that stay from a loss which is over."""
        await self.start(21, 3)
        calls, messages = await self.count_calm()
        self.freeze(self.watchers())
        await asyncio.sleep(FREEZE_S)
        self.fleet.store.frozen.clear()
        await asyncio.sleep(2 * FREEZE_S)
        calls_after, messages_after = await self.count_calm()
        self.assertLessEqual(calls_after, calls + 1)
        self.assertLessEqual(messages_after, messages * CALM_TOLERANCE)
        await self.fleet.stop()

    async def count_calm(self):
        """Return the calls and messages of a few calm seconds."""
        charged, messages = self.fleet.store.charged, self.fleet.messages
        await asyncio.sleep(FREEZE_S)
        return self.fleet.store.charged - charged, self.fleet.messages - messages
