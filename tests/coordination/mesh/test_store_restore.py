import asyncio

from gentianthread.coordination.mesh.entry_history import RESTORED_ENTRY_HOLD_HEARTBEATS
from gentianthread.state.directory import UpstreamState

from ...base import VirtualTimeTestCase
from .follower_fleet import PLAN_KEY, FollowerFleet

# Time within which a change must be in force, the users' bound.
CONFIG_APPLY_S = 2.0

HEARTBEAT_MS = 1_500.0
HOLD_S = RESTORED_ENTRY_HOLD_HEARTBEATS * HEARTBEAT_MS / 1000

# Heartbeats after which the entry of an ended upstream expires, also in a restored store.
EXPIRY_HEARTBEATS = 3


class TestStoreRestore(VirtualTimeTestCase):
    async def start(self, size=6, zones=3, heartbeat_ms=HEARTBEAT_MS):
        """Start a fleet, and write three plans that a later restore loses."""
        self.fleet = FollowerFleet(size, zones, heartbeat_ms=heartbeat_ms)
        self.store = self.fleet.store
        self.fleet.list_all(version=1)
        self.list_upstream("leaver", "ready", write=1)
        self.list_upstream("restarted", "ready", write=1)
        self.fleet.start()
        await asyncio.sleep(5)
        self.copy = self.store.copy()
        for version in (2, 3, 4):
            self.store.put(PLAN_KEY, str(version).encode())
        await asyncio.sleep(3)
        self.assertEqual({4}, self.fleet.versions())

    def list_upstream(self, name, state, write, start=1_000):
        self.store.put(f"up-{name}", f"10.0.9.9 zone-0 {state} {start} {write}".encode())

    async def restore(self):
        """Let the store be away for a moment and come back from the copy."""
        self.store.down = True
        await asyncio.sleep(1)
        self.store.restore(self.copy)
        self.store.down = False

    def entries(self, name):
        """Return the entries of an upstream on all nodes, None where it is not listed."""
        return [node.directory.entries.get(f"up-{name}") for node in self.fleet.nodes.values()]

    async def test_plan_whose_revision_was_given_out_before_is_in_force_in_time(self):
        """Guards against a change that is never seen, as its revision was known before.

        After a restore the nodes went on watching from a revision of the lost time. The next
        change got a revision below it, and was not in force until the numbers had caught up.
        """
        await self.start()
        await self.restore()
        await asyncio.sleep(1)
        self.store.put(PLAN_KEY, b"5")
        await asyncio.sleep(CONFIG_APPLY_S)
        self.assertEqual({5}, self.fleet.versions())
        self.store.put(PLAN_KEY, b"6")
        await asyncio.sleep(CONFIG_APPLY_S)
        self.assertEqual({6}, self.fleet.versions())
        await self.fleet.stop()

    async def test_restore_does_not_multiply_the_calls_of_the_store(self):
        """Guards against nodes that read everything again and again after a restore."""
        await self.start()
        await self.restore()
        await asyncio.sleep(3)
        charged = self.store.charged
        await asyncio.sleep(10)
        # Two watchers with watches of 0.7 s each.
        self.assertLess(self.store.charged - charged, 2 * 10 / 0.7 + 5)
        await self.fleet.stop()

    async def test_plan_does_not_go_back_to_the_copy(self):
        """Guards against an older plan in force, on old nodes and on one that starts later."""
        await self.start()
        await self.restore()
        for _ in range(20):
            await asyncio.sleep(0.1)
            self.assertEqual({4}, self.fleet.versions())
        host = next(host for host, node in self.fleet.nodes.items() if node.feeds.watching)
        await self.fleet.stop(host)
        self.fleet.start(host)
        await asyncio.sleep(4)
        self.assertEqual({4}, self.fleet.versions())
        await self.fleet.stop()

    async def test_watchers_that_restart_together_learn_the_newer_plan_from_peers(self):
        """Guards against an older plan that the nodes which read the store pass on."""
        await self.start()
        await self.restore()
        await asyncio.sleep(0.5)
        hosts = [host for host, node in self.fleet.nodes.items() if node.feeds.watching]
        await self.fleet.stop(*hosts)
        self.fleet.start(*hosts)
        await asyncio.sleep(6)
        self.assertEqual({4}, self.fleet.versions())
        await self.fleet.stop()

    async def test_nodes_that_restart_beside_one_follower_learn_its_newer_plan(self):
        """Guards against an older plan in force because only a node that follows others knows more.

        Restarted nodes that watch or head a zone read the plan of the copy, and asked nobody.
        """
        await self.start()
        await self.restore()
        await asyncio.sleep(4)
        survivor = next(
            host for host, node in self.fleet.nodes.items() if node.feeds.plan.position > 0
        )
        hosts = [host for host in self.fleet.nodes if host != survivor]
        await self.fleet.stop(*hosts)
        self.fleet.start(*hosts)
        await asyncio.sleep(6)
        self.assertEqual({4}, self.fleet.versions())
        await self.fleet.stop()

    async def test_draining_upstream_is_not_ready_again(self):
        """Guards against work for a leaving upstream that the copy lists as ready."""
        await self.start()
        self.list_upstream("leaver", "draining", write=20)
        await asyncio.sleep(1)
        await self.restore()
        for _ in range(20):
            await asyncio.sleep(0.1)
            states = {entry.state for entry in self.entries("leaver") if entry is not None}
            self.assertLessEqual(states, {UpstreamState.DRAINING})
        await self.fleet.stop()

    async def test_removed_upstream_is_back_only_after_it_has_written_again(self):
        """Guards against work for an upstream that had left before the restore."""
        await self.start()
        self.store.put("up-leaver", None)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(2)
        self.assertEqual({None}, set(self.entries("leaver")))
        self.list_upstream("leaver", "ready", write=21)
        await asyncio.sleep(1)
        self.assertNotIn(None, self.entries("leaver"))
        await self.fleet.stop()

    async def test_removed_upstream_that_stays_listed_is_used_in_the_end(self):
        """Guards against a running upstream that is never used again.

        Its entry had expired during an outage, the copy is from before, and an upstream does not
        write an entry that has not changed.
        """
        await self.start()
        self.store.put("up-leaver", None)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(HOLD_S - 1)
        self.assertEqual({None}, set(self.entries("leaver")))
        await asyncio.sleep(3)
        self.assertNotIn(None, self.entries("leaver"))
        await self.fleet.stop()

    async def test_removed_upstream_is_not_used_before_its_entry_expires(self):
        """Guards against work for an ended upstream where upstreams write at longer intervals."""
        heartbeat_ms = 3_000.0
        await self.start(heartbeat_ms=heartbeat_ms)
        self.store.put("up-leaver", None)
        await asyncio.sleep(1)
        await self.restore()
        for _ in range(int(EXPIRY_HEARTBEATS * heartbeat_ms / 100)):
            await asyncio.sleep(0.1)
            self.assertEqual({None}, set(self.entries("leaver")))
        self.store.put("up-leaver", None)
        await asyncio.sleep(RESTORED_ENTRY_HOLD_HEARTBEATS * heartbeat_ms / 1000)
        self.assertEqual({None}, set(self.entries("leaver")))
        await self.fleet.stop()

    async def test_entry_that_lapsed_before_the_restore_is_used_at_once(self):
        """Guards against a running upstream that is left out for seconds.

        Its entry had lapsed in an outage right before the restore, and is in the copy.
        """
        await self.start()
        self.store.down = True
        await asyncio.sleep(1)
        self.store.put("up-leaver", None)
        self.store.down = False
        await asyncio.sleep(1)
        await self.restore()
        for _ in range(30):
            self.assertNotIn(None, self.entries("leaver"))
            await asyncio.sleep(0.1)
        await self.fleet.stop()

    async def test_removal_that_is_written_again_reaches_every_node(self):
        """Guards against an ended upstream that is used once its entry need not be held back."""
        await self.start()
        self.store.put("up-leaver", None)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(2)
        self.store.put("up-leaver", None)
        await asyncio.sleep(HOLD_S)
        self.assertEqual({None}, set(self.entries("leaver")))
        await self.fleet.stop()

    async def test_restarted_upstream_is_not_replaced_by_its_earlier_start(self):
        """Guards against the entry of an ended process in place of the running one."""
        await self.start()
        self.list_upstream("restarted", "ready", write=1, start=9_000)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(1)
        self.assertEqual({9_000}, {entry.started_at_ms for entry in self.entries("restarted")})
        await self.fleet.stop()

    async def test_upstream_listed_after_the_copy_stays_until_it_writes_again(self):
        """Guards against a service that loses its new upstreams for a moment."""
        await self.start()
        self.list_upstream("new", "ready", write=1)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(1.3)
        self.assertNotIn(None, self.entries("new"))
        self.list_upstream("new", "ready", write=2)
        await asyncio.sleep(3)
        self.assertNotIn(None, self.entries("new"))
        await self.fleet.stop()

    async def test_upstream_that_does_not_write_again_is_removed(self):
        """Guards against an ended upstream that is used for ever after a restore."""
        await self.start()
        self.list_upstream("new", "ready", write=1)
        await asyncio.sleep(1)
        await self.restore()
        await asyncio.sleep(5)
        self.assertEqual({None}, set(self.entries("new")))
        await self.fleet.stop()

    async def test_two_restores_in_a_row(self):
        """Guards against changes that are lost when the store is restored twice."""
        await self.start()
        await self.restore()
        await asyncio.sleep(0.3)
        await self.restore()
        await asyncio.sleep(0.5)
        self.store.put(PLAN_KEY, b"5")
        await asyncio.sleep(CONFIG_APPLY_S)
        self.assertEqual({5}, self.fleet.versions())
        await self.fleet.stop()
