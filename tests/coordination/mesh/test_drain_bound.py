"""Time from the store's confirmation that an upstream leaves until the last node stops using it."""

import asyncio

from gentianthread.platform.store import CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS

from ...base import VirtualTimeTestCase
from .follower_fleet import PLAN_KEY, FollowerFleet

# The users' bounds: confirmations bind once the store has been well for `CONTACT_S`, and a request
# may reach a leaving upstream for `DRAIN_S` after them.
CONTACT_S = 3.0
DRAIN_S = 2.0

# Part of `DRAIN_S` that is left for the way to the node beside the target and to the target.
FORWARDING_S = 0.1

# Living upstreams are listed again within about this time after the return of the store.
RELIST_S = 2.0

STEP_S = 0.01


class TestDrainBound(VirtualTimeTestCase):
    async def start(self, size=24, zones=4, seed=1):
        self.fleet = FollowerFleet(size, zones, seed=seed)
        self.store = self.fleet.store
        self.fleet.list_all()
        for name in ("leaver", "lapsed"):
            self.list_upstream(name)
        self.fleet.start()
        await asyncio.sleep(4)

    def list_upstream(self, name):
        self.store.put(f"up-{name}", b"10.0.9.9 zone-0")

    def users(self, name):
        """Return the nodes that still use an upstream."""
        return [h for h, node in self.fleet.nodes.items() if f"up-{name}" in node.directory.entries]

    async def have_outage(self, duration_s):
        self.store.go_down()
        await asyncio.sleep(duration_s)
        self.store.down = False

    async def check_removal(self, name):
        """Remove an upstream from the store and check that all nodes drop it in time."""
        self.store.put(f"up-{name}", None)
        await asyncio.sleep(DRAIN_S - FORWARDING_S)
        self.assertEqual([], self.users(name))

    async def test_upstream_that_leaves_after_an_outage_is_dropped_in_time(self):
        """Guards against requests to a leaving upstream, kept as if it had lapsed in the outage.

        Nodes that follow others began a relisting period of their own with each message.
        """
        for seed in range(1, 6):
            await self.start(seed=seed)
            await self.have_outage(4.5)
            # Changes keep the nodes telling each other of the outage.
            await asyncio.sleep(CONTACT_S - 0.8)
            self.list_upstream("joiner")
            await asyncio.sleep(0.8)
            await self.check_removal("leaver")
            await self.fleet.stop()

    async def test_upstream_that_leaves_after_a_short_failure_of_one_watch_is_dropped_in_time(self):
        """Guards against a relisting period where the store was never away.

        A single failed call of a watcher, such as one over the store's rate, lets no entry lapse.
        """
        await self.start()
        await self.have_outage(0.1)
        for delay_s in (0.3, 0.4, 0.5, 0.5, 0.5):
            await asyncio.sleep(delay_s)
            await self.check_removal("leaver")
            self.list_upstream("leaver")
        await self.fleet.stop()

    async def test_upstream_that_left_before_an_outage_is_dropped_once_confirmations_bind(self):
        """Guards against a removal that no node has learned of before the store goes away."""
        for seed in range(1, 6):
            await self.start(seed=seed)
            self.list_upstream("joiner")
            await asyncio.sleep(0.05)
            # All watchers collect changes at this moment, so that none learns of the removal.
            self.store.put("up-leaver", None)
            await self.have_outage(4.5)
            await asyncio.sleep(CONTACT_S)
            self.assertEqual([], self.users("leaver"))
            await self.fleet.stop()

    async def test_living_upstreams_that_lapsed_are_used_until_they_are_listed_again(self):
        """Guards against a service without upstreams after an outage in which entries lapsed."""
        for seed in range(1, 6):
            await self.start(seed=seed)
            self.store.go_down()
            await asyncio.sleep(4.5)
            self.store.put("up-lapsed", None)
            self.store.down = False
            everyone = sorted(self.fleet.nodes)
            for _ in range(int((RELIST_S - 0.2) / STEP_S)):
                await asyncio.sleep(STEP_S)
                self.assertEqual(everyone, sorted(self.users("lapsed")))
            self.list_upstream("lapsed")
            await asyncio.sleep(1.0)
            self.assertEqual(everyone, sorted(self.users("lapsed")))
            await asyncio.sleep(3.0)
            self.assertEqual(everyone, sorted(self.users("lapsed")))
            await self.fleet.stop()

    async def test_lapsed_entries_are_kept_over_a_second_outage(self):
        """Guards against living upstreams dropped as the store goes away before they write."""
        await self.start()
        self.store.go_down()
        await asyncio.sleep(4.5)
        self.store.put("up-lapsed", None)
        self.store.down = False
        await asyncio.sleep(1.2)
        self.store.go_down()
        everyone = sorted(self.fleet.nodes)
        for _ in range(40):
            await asyncio.sleep(0.1)
            self.assertEqual(everyone, sorted(self.users("lapsed")))
        self.store.down = False
        for _ in range(17):
            await asyncio.sleep(0.1)
            self.assertEqual(everyone, sorted(self.users("lapsed")))
        self.list_upstream("lapsed")
        await asyncio.sleep(CONTACT_S)
        self.assertEqual(everyone, sorted(self.users("lapsed")))
        await self.check_removal("lapsed")
        await self.fleet.stop()

    async def test_changes_after_a_silent_outage_are_in_force_in_time(self):
        """Guards against calls from the last moments of a silent outage that are waited for.

        They get no answer although the store is back, and fail only after their time limit.
        """
        for silent_s in (CONNECT_TIMEOUT_MS / 1_000, READ_TIMEOUT_MS / 1_000):
            for duration_s in (3.3, 3.7, 4.1, 4.5):
                await self.start()
                self.store.go_down(silent_s=silent_s)
                await asyncio.sleep(duration_s)
                self.store.silent_s = 0.0
                await asyncio.sleep(CONTACT_S)
                self.store.put(PLAN_KEY, b"2")
                await self.check_removal("leaver")
                self.assertEqual({2}, self.fleet.versions())
                await self.fleet.stop()

    async def test_upstream_that_leaves_after_a_second_outage_is_dropped_in_time(self):
        """Guards against relisting periods of two outages that add up."""
        for gap_s in (0.5, 1.5, 2.5, 3.2):
            await self.start()
            await self.have_outage(4.5)
            await asyncio.sleep(gap_s)
            await self.have_outage(2.0)
            await asyncio.sleep(CONTACT_S - 0.5)
            self.list_upstream("joiner")
            await asyncio.sleep(0.6)
            await self.check_removal("leaver")
            await self.fleet.stop()
