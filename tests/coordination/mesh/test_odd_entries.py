import json

import logbook

from gentianthread.events import DOCUMENT_REFUSED, TASK_FAILED
from gentianthread.platform.documents import UPSTREAM_PREFIX

from .base import MeshTestCase

GOOD = {
    "service": "catalogue",
    "address": "127.0.0.9:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
}


def with_field(field, text):
    """Return an entry in which the value of a field is a JSON text."""
    return json.dumps(GOOD | {field: "?"}).replace('"?"', text).encode()


ODD_ENTRIES = (
    b"[" * 100_000,
    b"[" * 100_000 + b"]" * 100_000,
    with_field("extra", "[" * 900 + "]" * 900),
    with_field("extra", '{"a":' * 100_000 + "1" + "}" * 100_000),
    with_field("slots", "9" * 5_000),
    with_field("slots", "1e999"),
    with_field("slots", str(2**64)),
    with_field("born", "9" * 400),
    with_field("sequence", "NaN"),
    with_field("address", '"127.0.0.9:65536"'),
    with_field("address", '"127.0.0.9:0"'),
    with_field("address", '"127.0.0.9:-1"'),
    with_field("address", '"127.0.0.9:%s"' % ("9" * 5_000)),
    with_field("address", '"[::1]:80"'),
    with_field("warmup_left", '"%ss"' % ("9" * 400)),
)


class TestOddEntries(MeshTestCase):
    async def test_nodes_follow_the_list_beside_odd_entries(self):
        """Guards against a foreign entry that ends a node, or after which it follows no change.

        Entries are nested very deeply, or have a number too large or a port out of range.
        """
        await self.start({"catalogue": 2, "orders": 1}, zones=("a", "b"))
        with logbook.TestHandler() as records:
            for number, data in enumerate(ODD_ENTRIES):
                self.fleet.store.put(f"{UPSTREAM_PREFIX}odd-{number}", data)
                state = ("draining", "ready")[number % 2]
                await self.list_as("catalogue-0", state)
            await self.publish(2)
            # A node that starts reads everything anew.
            await self.fleet.add("catalogue", "catalogue-2")
            await self.until(
                lambda: all(
                    "catalogue-2" in instance.sidecar.directory.entries
                    for instance in self.fleet.instances.values()
                )
            )
            for caller in self.fleet.instances:
                for number in range(10):
                    reply = await self.call(caller, f"/stock/{number}")
                    self.assertEqual(200, reply.status)
        events = [record.extra["number"] for record in records.records]
        self.assertNotIn(TASK_FAILED.number, events)
        self.assertIn(DOCUMENT_REFUSED.number, events)
        await self.stop()
