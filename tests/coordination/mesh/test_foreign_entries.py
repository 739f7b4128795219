"""Entries of other writers that stand in the list of upstreams when all nodes start.

Load: none; six nodes in two zones that start together, and a store whose list has several pages.
"""

import asyncio
import json

from gentianthread.platform.documents import UPSTREAM_PREFIX

from .base import MeshTestCase

# Time within which a node serves after its start.
CONTACT_S = 3.0

# Sort before the ids of upstreams, so that they stand on the first page.
ODD_NAMES = ("&a=b&prefix=x", "#fragment", "%2Fservers%2F", "+plus+", " blank blank ")

UNREADABLE = b"\xff\xfe not a document"

# As text it fills a page on its own.
LARGE = bytes(800_000)


class TestForeignEntries(MeshTestCase):
    async def start_nodes(self, page=50):
        await self.start({"catalogue": 3, "orders": 3}, zones=("a", "b"))
        self.fleet.store.page = page

    def put(self, name, value):
        self.fleet.store.put(UPSTREAM_PREFIX + name, value)

    async def served(self):
        """Return the nodes that answer a request of a caller."""
        nodes = list(self.fleet.instances)
        replies = await asyncio.gather(*(self.call(node, "/stock/1") for node in nodes))
        return [node for node, reply in zip(nodes, replies, strict=True) if reply.status == 200]

    async def restart(self):
        """Restart all sidecars, and check that each serves again in time."""
        await self.fleet.restart_sidecars()
        nodes, served = list(self.fleet.instances), []
        end_s = asyncio.get_running_loop().time() + CONTACT_S
        while served != nodes and asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.05)
            served = await self.served()
        self.assertEqual(nodes, served)

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
        good = {"service": "catalogue", "address": "127.0.0.9:80", "zone": "a", "slots": 8}
        odd_fields = ({"state": "resting"}, {"zone": None}, {"slots": "many"}, {"address": 9})
        for change in odd_fields:
            entry = good | {"state": "ready"} | change
            await self.play("+odd", json.dumps(entry).encode(), 1)
