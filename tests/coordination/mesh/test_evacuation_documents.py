import asyncio

from ...base import VirtualTimeTestCase
from .follower_fleet import EVACUATION_PREFIX, FollowerFleet

# Time within which an evacuation must be in force on every node, the users' bound.
EVACUATION_S = 5.0

# Time within which nodes tell each other of a change while all is well.
SPREAD_S = 1.0

NONE = {frozenset()}
ZONE_1 = {frozenset(["zone-1"])}
KEY = f"{EVACUATION_PREFIX}zone-1"


class TestEvacuationDocuments(VirtualTimeTestCase):
    async def start(self, size=9, zones=3):
        self.fleet = FollowerFleet(size, zones)
        self.store = self.fleet.store
        self.fleet.list_all(version=1)
        self.fleet.start()
        await asyncio.sleep(4)
        self.assertEqual(NONE, self.fleet.evacuated())

    def evacuate(self, data=b"{}"):
        self.store.put(KEY, data)

    def end(self):
        self.store.put(KEY, None)

    async def restore(self, copy):
        """Let the store be away for a moment and come back from a copy."""
        self.store.down = True
        await asyncio.sleep(1)
        self.store.restore(copy)
        self.store.down = False

    async def check_always(self, expected, duration_s):
        """Check that the nodes have the same evacuated zones for a time."""
        for _ in range(int(duration_s / 0.1)):
            await asyncio.sleep(0.1)
            self.assertEqual(expected, self.fleet.evacuated())

    async def test_evacuation_and_its_end_reach_every_node(self):
        """Guards against a node that sends to an evacuated zone, or never to it again."""
        await self.start()
        for _ in range(3):
            self.evacuate()
            await asyncio.sleep(SPREAD_S)
            self.assertEqual(ZONE_1, self.fleet.evacuated())
            self.end()
            await asyncio.sleep(SPREAD_S)
            self.assertEqual(NONE, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_content_that_cannot_be_read_evacuates(self):
        """Guards against requests for a zone whose evacuation has an unexpected value."""
        await self.start()
        self.evacuate(b"\xff[")
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(ZONE_1, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_write_and_removal_in_one_watch(self):
        """Guards against an evacuation that stays, as its end came with it."""
        await self.start()
        self.evacuate()
        self.end()
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        self.evacuate()
        self.end()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(ZONE_1, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_node_that_starts_knows_the_evacuation(self):
        """Guards against a node that is ready and sends to an evacuated zone."""
        await self.start()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        for host in list(self.fleet.nodes):
            await self.fleet.stop(host)
            self.fleet.start(host)
            node = self.fleet.nodes[host]
            await node.follower.ready.wait()
            self.assertEqual(frozenset(["zone-1"]), node.directory.evacuated_zones)
        await self.fleet.stop()

    async def test_nodes_that_the_store_refuses_learn_it_from_others(self):
        """Guards against nodes without the store that send to an evacuated zone."""
        await self.start()
        hosts = list(self.fleet.nodes)
        self.store.refused.update(hosts[: len(hosts) // 2])
        await asyncio.sleep(2)
        self.evacuate()
        await asyncio.sleep(EVACUATION_S)
        self.assertEqual(ZONE_1, self.fleet.evacuated())
        self.end()
        await asyncio.sleep(EVACUATION_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_outage_of_the_store_ends_nothing(self):
        """Guards against an evacuation that lapses like an entry without its store."""
        await self.start()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.store.go_down()
        await self.check_always(ZONE_1, 20)
        self.store.down = False
        await self.check_always(ZONE_1, 8)
        await self.fleet.stop()

    async def test_evacuation_that_ended_while_the_history_was_lost_has_ended(self):
        """Guards against an evacuation that stays after a compaction hid its removal."""
        await self.start()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.store.go_down()
        await asyncio.sleep(2)
        self.end()
        self.store.events = []
        for node in self.fleet.nodes.values():
            node.follower.store.loses_history = True
        self.store.down = False
        await asyncio.sleep(EVACUATION_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_evacuation_in_force_survives_the_loss_of_the_history(self):
        """Guards against an evacuation that is lost when all is read anew."""
        await self.start()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.store.events = []
        for node in self.fleet.nodes.values():
            node.follower.store.loses_history = True
        await self.check_always(ZONE_1, 5)
        await self.fleet.stop()

    async def test_restore_keeps_an_evacuation_that_the_copy_lacks(self):
        """Guards against requests for a zone after the store came back from an older copy."""
        await self.start()
        copy = self.store.copy()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        await self.restore(copy)
        await self.check_always(ZONE_1, 5)
        # Watchers that start now read a store that does not know of it.
        hosts = [host for host, node in self.fleet.nodes.items() if node.feeds.watching]
        await self.fleet.stop(*hosts)
        self.fleet.start(*hosts)
        await asyncio.sleep(EVACUATION_S)
        self.assertEqual(ZONE_1, self.fleet.evacuated())
        # Written again and removed, it ends.
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.end()
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_restore_does_not_reinstate_an_ended_evacuation(self):
        """Guards against a zone without requests, as the copy is from before the end."""
        await self.start()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        copy = self.store.copy()
        self.end()
        await asyncio.sleep(SPREAD_S)
        await self.restore(copy)
        await self.check_always(NONE, 5)
        # Watchers that start now read the copied key, and learn its end from the others.
        hosts = [host for host, node in self.fleet.nodes.items() if node.feeds.watching]
        await self.fleet.stop(*hosts)
        self.fleet.start(*hosts)
        await asyncio.sleep(EVACUATION_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        # A new one is in force, although the restored store gave out its number before.
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(ZONE_1, self.fleet.evacuated())
        self.end()
        await asyncio.sleep(SPREAD_S)
        self.assertEqual(NONE, self.fleet.evacuated())
        await self.fleet.stop()

    async def test_restore_with_all_but_one_node_started_anew(self):
        """Guards against a fleet that follows the copy, as a single node knows more."""
        for ended in (False, True):
            await self.start()
            if ended:
                self.evacuate()
                await asyncio.sleep(SPREAD_S)
            copy = self.store.copy()
            (self.end if ended else self.evacuate)()
            await asyncio.sleep(SPREAD_S)
            await self.restore(copy)
            await asyncio.sleep(4)
            survivor = next(
                host for host, node in self.fleet.nodes.items() if node.feeds.plan.position > 0
            )
            hosts = [host for host in self.fleet.nodes if host != survivor]
            await self.fleet.stop(*hosts)
            self.fleet.start(*hosts)
            await asyncio.sleep(6)
            self.assertEqual(NONE if ended else ZONE_1, self.fleet.evacuated())
            await self.fleet.stop()

    async def test_two_restores_in_a_row(self):
        """Guards against an evacuation that the second restore loses."""
        await self.start()
        copy = self.store.copy()
        self.evacuate()
        await asyncio.sleep(SPREAD_S)
        await self.restore(copy)
        await asyncio.sleep(0.3)
        await self.restore(copy)
        await self.check_always(ZONE_1, 5)
        await self.fleet.stop()

    async def test_records_cost_no_messages_while_all_agree(self):
        """Guards against nodes that tell each other of an evacuation without end."""
        await self.start()
        await asyncio.sleep(5)
        before = self.fleet.messages
        await asyncio.sleep(20)
        usual = self.fleet.messages - before
        self.evacuate()
        await asyncio.sleep(5)
        before = self.fleet.messages
        await asyncio.sleep(20)
        self.assertLess(self.fleet.messages - before, 1.1 * usual + 20)
        await self.fleet.stop()
