"""Entries of other writers that stand in the list of upstreams, above all when all nodes start.

Load: none; six nodes in two zones that start together, and a store whose list has several pages.
"""

import asyncio
import json

import logbook

from gentianthread.events import PEER_CLOSED
from gentianthread.platform.documents import UPSTREAM_PREFIX
from gentianthread.standins.mesh import PEER_PORT

from .base import MeshTestCase

# Time within which a node serves again after a fault.
RECOVER_S = 15.0

# Sort before the ids of upstreams, so that they stand on the first page.
ODD_NAMES = ("&a=b&prefix=x", "#fragment", "%2Fservers%2F", "+plus+", " blank blank ")

UNREADABLE = b"\xff\xfe not a document"

# As text it fills a page on its own.
LARGE = bytes(800_000)

# Number of entries of instances that are gone.
GONE = 50


async def hold(reader, writer):
    """Read what a peer sends, and never answer."""
    try:
        while await reader.read(65_536):
            pass
    except asyncio.CancelledError:
        # The test has ended.
        pass
    finally:
        writer.close()


class TestForeignEntries(MeshTestCase):
    timeout_s = 90

    async def start_nodes(self, page=50):
        await self.start({"catalogue": 3, "orders": 3}, zones=("a", "b"))
        self.fleet.store.page = page

    def put(self, name, value):
        self.fleet.store.put(UPSTREAM_PREFIX + name, value)

    def entry(self, **changes):
        """Return the entry of an upstream of a service that no configuration names."""
        usual = {"service": "archive", "zone": "a", "slots": 8, "state": "ready"}
        return json.dumps(usual | {"address": "127.0.0.9:80"} | changes).encode()

    def put_gone(self):
        """Write entries of instances that are gone, and return their addresses."""
        hosts = [f"{self.fleet.network}.{100 + number}" for number in range(GONE)]
        for host in hosts:
            self.put(f"&gone-{host}", self.entry(address=f"{host}:80"))
        return hosts

    async def put_silent(self, number, **changes):
        """Write entries of addresses that accept links and say nothing; return the listeners."""
        hosts = [f"{self.fleet.network}.{100 + place}" for place in range(number)]
        for host in hosts:
            self.put(f"&silent-{host}", self.entry(address=f"{host}:80", **changes))
        return [await asyncio.start_server(hold, host, PEER_PORT) for host in hosts]

    async def serves(self, node):
        """Wait until a node answers a request of a caller."""
        while (await self.call(node, "/stock/1")).status != 200:  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    async def restart(self):
        """Restart all sidecars, and wait until each serves again.

        Raises:
            TimeoutError: One did not in time.
        """
        await self.fleet.restart_sidecars()
        async with asyncio.timeout(RECOVER_S):
            await asyncio.gather(*map(self.serves, self.fleet.instances))

    async def play(self, name, value, page):
        await self.start_nodes(page)
        self.put(name, value)
        await self.restart()
        await self.stop()

    async def test_restart_of_all_beside_an_unreadable_entry_on_a_page_of_its_own(self):
        """Guards against nodes that look for others on the first page of the list only."""
        for name in ODD_NAMES:
            await self.play(name, UNREADABLE, 1)

    async def test_restart_of_all_beside_a_large_entry(self):
        """Guards against nodes that look for others on a page that an entry has to itself."""
        await self.play("&large", LARGE, 50)

    async def test_restart_of_all_beside_an_entry_with_odd_fields(self):
        """Guards against a page whose only entry names no upstream to use."""
        odd_fields = ({"state": "resting"}, {"zone": None}, {"slots": "many"}, {"address": 9}, {})
        for change in odd_fields:
            await self.play("+odd", self.entry(**change), 1)

    async def test_restart_of_all_beside_many_entries_of_instances_that_are_gone(self):
        """Guards against nodes that try the same unreachable nodes again and again."""
        for page in (GONE, 500):
            await self.start_nodes(page)
            self.put_gone()
            await self.restart()
            await self.stop()

    async def test_unreachable_node_of_a_page_is_not_chosen_again_at_once(self):
        """Guards against a starting node that follows the same unreachable nodes in turn.

        It forgot at once that they cannot be reached, as no document listed them yet.
        """
        await self.start_nodes(page=GONE)
        gone = self.put_gone()
        await self.fleet.restart_sidecars()
        node = self.sidecar("catalogue-0")
        await self.until(lambda: not all(map(node.peers.reachable, gone)))
        unreachable = [host for host in gone if not node.peers.reachable(host)]
        for _ in range(50):
            await asyncio.sleep(0.01)
            self.assertEqual([], [host for host in unreachable if node.peers.reachable(host)])
        await self.stop()

    async def test_restart_of_all_beside_entries_with_addresses_that_say_nothing(self):
        """Guards against a page whose nodes accept links and never answer."""
        for page in (2, 500):
            await self.start_nodes(page)
            listeners = await self.put_silent(4)
            await self.restart()
            await self.stop()
            for listener in listeners:
                listener.close()

    async def test_nodes_agree_who_counts_beside_addresses_that_say_nothing(self):
        """Guards against rates that nobody counts, as the chosen node is none."""
        await self.start_nodes()
        listeners = await self.put_silent(60, zone="elsewhere")
        await self.restart()
        nodes = [instance.sidecar for instance in self.fleet.instances.values()]
        running = {node.settings.host for node in nodes}

        def counting():
            return {node.rate_sharing.counter_host for node in nodes}

        await self.until(lambda: len(counting()) == 1 and counting() <= running, RECOVER_S)
        await self.publish(2)
        await self.stop()
        for listener in listeners:
            listener.close()

    async def test_restart_of_all_beside_keys_that_cannot_be_encoded(self):
        """Guards against a key with a lone surrogate, as JSON allows, that ends each read."""
        for page in (1, 4, 50):
            await self.start_nodes(page)
            self.put("\ud800", UNREADABLE)
            self.put("x\udfff", self.entry())
            await self.restart()
            await self.publish(2)
            await self.stop()

    async def test_running_nodes_follow_the_list_beside_keys_that_cannot_be_encoded(self):
        """Guards against a change that followers cannot be told of."""
        await self.start_nodes()
        with logbook.TestHandler() as records:
            self.put("\ud800", UNREADABLE)
            self.put("x\udfff", self.entry())
            await self.publish(2)
            await self.list_as("orders-0", "draining")
        self.assertNotIn(PEER_CLOSED.number, [record.extra["number"] for record in records.records])
        await self.stop()

    async def test_entries_that_cannot_be_used_take_no_memory(self):
        """Guards against nodes that keep and pass on the content of entries of other writers.

        With a hundred large ones the documents no longer fit into a message to another node.
        """
        await self.start_nodes()
        names = [f"&large-{number}" for number in range(4)]
        for name in names:
            self.put(name, LARGE)
        await self.publish(2)
        await self.restart()
        await self.publish(3)
        for instance in self.fleet.instances.values():
            documents = instance.sidecar.follower.documents
            kept = [documents[UPSTREAM_PREFIX + name].data for name in names]
            self.assertEqual([b""] * len(names), kept)
        await self.stop()

    async def test_entry_that_cannot_be_used_may_change(self):
        """Guards against an upstream that stays unknown, or known, after its entry has changed."""
        await self.start_nodes()
        instances = self.fleet.instances.values()

        def is_listed(name):
            return [name in instance.sidecar.directory.entries for instance in instances]

        for _ in range(2):
            self.put("x", UNREADABLE)
            self.put("y", self.entry())
            await self.until(lambda: all(is_listed("y")) and not any(is_listed("x")))
            self.put("x", self.entry())
            self.put("y", UNREADABLE)
            await self.until(lambda: all(is_listed("x")) and not any(is_listed("y")))
        self.fleet.store.remove(UPSTREAM_PREFIX + "x")
        self.fleet.store.remove(UPSTREAM_PREFIX + "y")
        await self.until(lambda: not any(is_listed("x")))
        await self.stop()
