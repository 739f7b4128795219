import asyncio
import json

from gentianthread.errors import PlatformUnavailable
from gentianthread.platform.store import HttpMetadataStore

from ..base import SocketTestCase

NO_ITEMS = {"items": [], "has_more": False, "at_rev": 4}


def item(key, revision):
    return {"key": key, "value": "e30=", "revision": revision}


def page(at_rev, *items, has_more=False):
    return {"items": list(items), "has_more": has_more, "at_rev": at_rev}


# What operators wrote: the configuration alone.
PLAN = page(4, item("op/config", 3))


def changes(at_rev, *events):
    return {"events": list(events), "at_rev": at_rev}


def removal(key, revision):
    return {"key": key, "revision": revision, "tombstone": True}


class CopyingStore:
    """Answer each call with the next of its answers, after a copy of an earlier one if told so.

    Attributes:
        answers: Answers by call, in order.
        copy_before: The next call of this name first gets a copy of an earlier answer.
        copy_after_calls: Number of calls of any name before that one.
        copied: The copied answer.
        calls: Names of the calls so far.
    """

    def __init__(self, **answers):
        self.answers = {f"kv-{call}": list(bodies) for call, bodies in answers.items()}
        self.copy_before, self.copy_after_calls, self.copied = "", 0, None
        self.calls = []

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.client = HttpMetadataStore(*self._server.sockets[0].getsockname())

    async def close(self):
        await self.client.close()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                call = head.split()[1].decode().partition("?")[0].rpartition("/")[2]
                self.calls.append(call)
                if call == self.copy_before and len(self.calls) > self.copy_after_calls:
                    self.copy_before = ""
                    self._write(writer, self.copied)
                    # The true answer comes later, where that to the next call is due.
                    await asyncio.sleep(0.01)
                    continue
                self._write(writer, self.answers[call].pop(0))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            writer.close()

    def _write(self, writer, content):
        body = json.dumps(content).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class TestCopiedAnswers(SocketTestCase):
    """A store that writes an earlier answer once more, where the one to the next call is due."""

    async def start(self, **answers):
        self.store = CopyingStore(**answers)
        await self.store.open()
        return self.store.client

    def copy(self, answer, before, after_calls=0):
        self.store.copied, self.store.copy_before = answer, before
        self.store.copy_after_calls = after_calls

    def entries(self, read):
        return [(document.key, document.revision) for document in read.documents]

    async def test_copy_of_the_configuration_is_no_page_of_entries(self):
        """Guards against a node that drops all upstreams after a copy of another call's answer."""
        client = await self.start(range=[PLAN, page(4, item("servers/a", 2))])
        self.copy(PLAN, before="kv-range", after_calls=1)
        self.assertEqual(
            [("op/config", 3), ("servers/a", 2)], self.entries(await client.read_all())
        )
        self.assertEqual(["kv-range"] * 3, self.store.calls)
        await self.store.close()

    async def test_copy_of_a_page_of_entries_does_not_end_evacuations(self):
        """Guards against requests for an evacuated zone after a copy of another call's answer.

        A page of entries has no evacuation, nor has one without any item.
        """
        operators = page(4, item("op/config", 3), item("op/evacuate/b", 4))
        entries = page(4, item("servers/a", 2))
        for copied in (entries, NO_ITEMS):
            client = await self.start(range=[operators, entries] * 2)
            await client.read_all()
            self.copy(copied, before="kv-range", after_calls=2)
            self.assertEqual(
                [("op/config", 3), ("op/evacuate/b", 4), ("servers/a", 2)],
                self.entries(await client.read_all()),
            )
            self.assertEqual(["kv-range"] * 5, self.store.calls)
            await self.store.close()

    async def test_copy_of_an_earlier_page_does_not_list_a_removed_upstream_again(self):
        """Guards against requests to an upstream that is gone, after the copy of an old answer."""
        before = page(4, item("servers/a", 2), item("servers/b", 4))
        after = page(5, item("servers/a", 2))
        client = await self.start(range=[PLAN, before, PLAN | {"at_rev": 5}, after])
        await client.read_all()
        self.copy(before, before="kv-range", after_calls=3)
        read = await client.read_all()
        self.assertEqual([("op/config", 3), ("servers/a", 2)], self.entries(read))
        self.assertEqual(5, read.revision)
        await self.store.close()

    async def test_copy_of_an_earlier_item_does_not_bring_back_an_older_plan(self):
        """Guards against an older configuration in the place of the newest one."""
        newer = page(5, item("op/config", 5))
        client = await self.start(range=[PLAN, NO_ITEMS, newer, page(5)], watch=[changes(5)])
        await client.read_all()
        await client.watch(4, 50)
        self.copy(PLAN, before="kv-range")
        self.assertEqual([("op/config", 5)], self.entries(await client.read_all()))
        await self.store.close()

    async def test_copy_of_an_earlier_watch_does_not_remove_an_upstream_again(self):
        """Guards against an upstream that gets no more requests, as its entry does not change."""
        first = changes(5, removal("servers/a", 5))
        client = await self.start(
            watch=[first, changes(7, item("servers/a", 7)), changes(8, item("servers/b", 8))]
        )
        await client.watch(4, 50)
        await client.watch(5, 50)
        self.copy(first, before="kv-watch")
        read = await client.watch(7, 50)
        self.assertEqual(([("servers/b", 8)], 8), (self.entries(read), read.revision))
        await self.store.close()

    async def test_copy_of_the_previous_page_is_no_next_page(self):
        """Guards against a read that ends without the upstreams of a later page."""
        first = page(4, item("servers/a", 2), has_more=True)
        client = await self.start(range=[PLAN, first, page(4, item("servers/b", 4))])
        self.copy(first | {"has_more": False}, before="kv-range", after_calls=2)
        self.assertEqual(
            [("op/config", 3), ("servers/a", 2), ("servers/b", 4)],
            self.entries(await client.read_all()),
        )
        await self.store.close()

    async def test_answer_on_a_new_connection_is_taken_as_it_is(self):
        """Guards against a node that refuses a store whose revisions start anew."""
        client = await self.start(watch=[changes(9), changes(3), changes(3)])
        await client.watch(8, 50)
        read = await client.watch(9, 50)
        self.assertEqual(3, read.revision)
        self.assertEqual(["kv-watch"] * 3, self.store.calls)
        await self.store.close()

    async def test_answer_to_no_call_is_an_outage(self):
        """Guards against an answer of another call that is taken for an empty one."""
        client = await self.start(watch=[NO_ITEMS], range=[PLAN, changes(4), changes(4)])
        with self.assertRaisesType(PlatformUnavailable):
            await client.watch(4, 50)
        with self.assertRaisesType(PlatformUnavailable):
            await client.read_all()
        await self.store.close()
