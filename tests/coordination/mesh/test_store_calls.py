"""Pattern: a fleet of any size follows a store that charges for every call."""

import asyncio

from gentianthread.coordination.mesh.feeds import WATCHER_MAX_WAIT_MS

from ...base import VirtualTimeTestCase
from .follower_fleet import (
    ODD_ENTRY,
    PAGE_ENTRIES,
    PLAN_KEY,
    STALE_CALL_PRICE,
    FollowerFleet,
)

# Calls of a whole calm day, and of the worst one, that the users' price leaves room for.
CALM_DAY_CALLS = 200
WORST_DAY_CALLS = 350

# Duration of a day with the time before its traffic, and of the part of it that is measured.
DAY_S = 42.0
MEASURED_S = 2.8

# Time after its start in which a node must be ready in any case, as the platform counts it as in
# touch from then on.
CONTACT_S = 3.0

# Delay within which a change must be in force, and a node ready after its start.
CHANGE_LIMIT_S = 2.0


class TestStoreCalls(VirtualTimeTestCase):
    async def run_fleet(self, size, zones=6):
        fleet = FollowerFleet(size, zones)
        fleet.list_all()
        fleet.start()
        await asyncio.sleep(2)
        self.assertEqual(size, fleet.ready())
        return fleet

    async def test_calm_day_costs_the_same_at_every_size_but_for_the_start(self):
        """Guards against calls that grow with the fleet, such as eight for the start of a node."""
        charged = {}
        for size in (30, 195, 675):
            fleet = await self.run_fleet(size)
            at_start = fleet.store.charged
            self.assertLessEqual(at_start, 0.2 * size + 40)
            await asyncio.sleep(MEASURED_S)
            charged[size] = fleet.store.charged - at_start
            day = at_start + charged[size] * DAY_S / MEASURED_S
            self.assertLessEqual(day, CALM_DAY_CALLS + 0.2 * (size - 195))
            await fleet.stop()
        self.assertLessEqual(charged[675], charged[30] + 3)

    async def test_start_beside_an_entry_that_fills_the_first_page_costs_one_page_more(self):
        """Guards against nodes that wait for the first page of the list to name others.

        Nor may all of them read the whole list in its place.
        """
        for size in (30, 195, 675):
            fleet = FollowerFleet(size, 6)
            fleet.list_all()
            fleet.store.put("&odd", ODD_ENTRY)
            fleet.store.large.add("&odd")
            fleet.start()
            await asyncio.sleep(CHANGE_LIMIT_S)
            self.assertEqual(size, fleet.ready())
            extra = size * STALE_CALL_PRICE
            self.assertLessEqual(fleet.store.charged, 0.2 * size + 40 + extra)
            await fleet.stop()

    async def test_start_beside_pages_of_gone_instances(self):
        """Guards against nodes without a configuration while a page names only gone instances."""
        for size, zones in ((6, 2), (21, 3), (195, 6)):
            for pages in (1, 3):
                fleet = FollowerFleet(size, zones)
                fleet.list_all()
                for number in range(pages * PAGE_ENTRIES):
                    place = number % zones
                    host = f"10.{place}.9.{number}"
                    fleet.store.put(f"&gone-{number:03}", f"{host} zone-{place}".encode())
                fleet.start()
                await asyncio.sleep(CONTACT_S)
                self.assertEqual(size, fleet.ready(), f"{size} nodes, {pages} pages")
                extra = size * STALE_CALL_PRICE * (2 * pages + 4)
                self.assertLessEqual(fleet.store.charged, 0.2 * size + 40 + extra)
                await fleet.stop()

    async def test_entries_that_appear_after_the_nodes_cost_little(self):
        """Guards against nodes that all watch the store until their zones are listed."""
        fleet = FollowerFleet(195, 6)
        fleet.start()
        await asyncio.sleep(0.5)
        fleet.list_all()
        await asyncio.sleep(4)
        self.assertEqual(195, fleet.ready())
        self.assertLessEqual(fleet.store.charged, CALM_DAY_CALLS / 2)
        await fleet.stop()

    async def test_day_with_outage_and_two_restarts_of_all(self):
        """Guards against an outage or a restart of all in which each node calls in a loop."""
        fleet = await self.run_fleet(195)
        hosts = list(fleet.nodes)
        for _ in range(2):
            await fleet.stop()
            fleet.start(*hosts)
            await asyncio.sleep(CHANGE_LIMIT_S)
            self.assertEqual(195, fleet.ready())
        fleet.store.down = True
        await asyncio.sleep(4.5)
        fleet.store.put("plan", b"2")
        fleet.store.down = False
        await asyncio.sleep(CHANGE_LIMIT_S)
        self.assertEqual({2}, fleet.versions())
        rest_of_day_s = DAY_S - asyncio.get_running_loop().time()
        watches = 2 * rest_of_day_s * 1_000 / WATCHER_MAX_WAIT_MS
        self.assertLessEqual(fleet.store.charged + watches, WORST_DAY_CALLS)
        await fleet.stop()

    async def test_change_arrives_while_the_store_refuses_a_third_of_the_nodes(self):
        """Guards against zones that miss changes because the store refuses their watchers."""
        fleet = await self.run_fleet(195)
        hosts = sorted(fleet.nodes)
        watchers = [host for host, node in fleet.nodes.items() if node.feeds.plan.watching]
        fleet.store.refused = set(hosts[::3]) | set(watchers)
        await asyncio.sleep(3)
        fleet.store.put("plan", b"2")
        await asyncio.sleep(CHANGE_LIMIT_S)
        self.assertEqual({2}, fleet.versions())
        await fleet.stop()

    async def test_change_right_after_the_loss_of_both_watchers(self):
        """Guards against a fleet that goes on without changes after its watchers are gone."""
        fleet = await self.run_fleet(195)
        watchers = [host for host, node in fleet.nodes.items() if node.feeds.plan.watching]
        self.assertEqual(2, len(watchers))
        await fleet.stop(*watchers)
        fleet.store.put("plan", b"2")
        await asyncio.sleep(CHANGE_LIMIT_S)
        self.assertEqual({2}, fleet.versions())
        await fleet.stop()


class TestRemovals(VirtualTimeTestCase):
    async def test_entry_that_lapsed_in_an_outage_is_kept_by_nodes_that_did_not_call(self):
        """Guards against a service without upstreams after an outage in which entries lapsed.

        A node that first calls the store after the outage must know that there was one.
        """
        fleet = FollowerFleet(6, 1)
        fleet.list_all()
        fleet.store.put("up-lapsed", b"10.0.9.9 zone-0")
        fleet.start()
        await asyncio.sleep(2)
        fleet.store.down = True
        await asyncio.sleep(1.0)
        fleet.store.put("up-lapsed", None)
        fleet.store.down = False
        await asyncio.sleep(1.2)
        kept = ["up-lapsed" in node.directory.entries for node in fleet.nodes.values()]
        self.assertEqual([True] * 6, kept)
        await fleet.stop()

    async def test_restarted_head_passes_on_removals_from_before_its_start(self):
        """Guards against an upstream that has left and stays in use after a node's restart.

        A node that starts reads the documents as they are, so it does not know what was removed
        before. A follower that missed the removal got the later changes only and kept the entry.
        """
        fleet = FollowerFleet(3, 1)
        fleet.list_all()
        fleet.store.put("up-left", b"10.0.9.9 zone-0")
        fleet.start()
        await asyncio.sleep(2)
        head = next(host for host, node in fleet.nodes.items() if node.feeds.plan.watching)
        followers = [node for host, node in fleet.nodes.items() if host != head]
        # Only the restarted head sees the store, so that nobody learns of the removal from it.
        fleet.store.refused = {host for host in fleet.nodes if host != head}
        await fleet.stop(head)
        fleet.store.put("up-left", None)
        fleet.start(head)
        await asyncio.sleep(3)
        self.assertEqual(
            [False, False], ["up-left" in node.directory.entries for node in followers]
        )
        await fleet.stop()

    async def test_complete_read_hides_removals_of_entries_that_were_never_known(self):
        """Guards against an entry that came and went while a watcher had lost its history.

        A follower that had learnt of it from the other watcher got the later changes only.
        """
        fleet = FollowerFleet(1, 1)
        fleet.list_all()
        fleet.start()
        await asyncio.sleep(1)
        (node,) = fleet.nodes.values()
        revision_between = fleet.store.revision + 1
        fleet.store.events.clear()
        fleet.store.put("up-brief", b"10.0.9.9 zone-0")
        fleet.store.put("up-brief", None)
        node.follower._apply_snapshot(await node.follower.store.read_all(), "store")
        self.assertIsNone(node.follower.changed_after(revision_between))
        await fleet.stop()

    async def test_malformed_plan_is_not_passed_on(self):
        """Guards against a node that starts without a plan, as peers kept only a malformed one."""
        fleet = FollowerFleet(6, 3)
        fleet.list_all()
        fleet.start()
        await asyncio.sleep(5)
        fleet.store.put(PLAN_KEY, b"no version")
        await asyncio.sleep(1)
        host = next(host for host, node in fleet.nodes.items() if not node.feeds.watching)
        await fleet.stop(host)
        fleet.start(host)
        await asyncio.sleep(4)
        self.assertEqual({1}, fleet.versions())
        await fleet.stop()
