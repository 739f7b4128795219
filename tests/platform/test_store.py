import asyncio
import json
import socket

from gentianthread.errors import PlatformUnavailable
from gentianthread.platform.store import HttpMetadataStore
from gentianthread.standins.mesh import plan_document, private_network
from gentianthread.standins.mesh_store import MeshStore
from gentianthread.transport.metadata_store import HistoryLost

from ..base import SocketTestCase


def promise_more(read_range):
    """Return a read whose pages of entries say that more items follow."""

    def read(query):
        answer = read_range(query)
        if query["prefix"] == "servers/":
            answer.body = json.dumps(json.loads(answer.body) | {"has_more": True}).encode()
        return answer

    return read


class TestStore(SocketTestCase):
    async def open(self):
        server = MeshStore(f"{private_network()}.250")
        await server.open()
        store = HttpMetadataStore(server.host, server.port)
        self.opened = (server, store)
        return server, store

    async def close(self):
        for resource in self.opened:
            await resource.close()

    async def test_reads_all_pages(self):
        """Guards against ignoring the upstreams on later pages."""
        server, store = await self.open()
        server.page = 2
        server.put("op/config", plan_document())
        for number in range(5):
            server.put(f"servers/i-{number}", b"{}")
        read = await store.read_all()
        self.assertEqual(6, len(read.documents))
        self.assertEqual(server.revision, read.revision)
        await self.close()

    async def test_reads_all_pages_around_odd_keys(self):
        """Guards against a key whose characters change the query for the page after it.

        A store may take a plus sign in a query for itself or for a blank.
        """
        names = (
            " blank",
            "!",
            "#",
            "%20",
            "&prefix=x",
            "+",
            "a b",
            "a+b",
            "ä",
            "\u2028",
            "\U0001f511",
        )
        for plus_is_blank in (False, True):
            server, store = await self.open()
            server.page = 1
            server.plus_is_blank = plus_is_blank
            server.put("op/config", plan_document())
            keys = [f"servers/{name}" for name in names]
            for key in keys:
                server.put(key, b"{}")
            read = await store.read_all()
            self.assertEqual(["op/config", *keys], [document.key for document in read.documents])
            sampled, after = [], ""
            while after is not None:
                page = await store.sample_entries(after)
                sampled += [document.key for document in page.documents]
                after = page.next_after
            self.assertEqual(keys, sampled)
            await self.close()

    async def test_reads_the_pages_after_a_key_that_cannot_be_encoded(self):
        """Guards against a key with a lone surrogate, as JSON allows, that ends the read."""
        server, store = await self.open()
        server.page = 1
        for name in ("a", "b\ud800", "c", "\udfff"):
            server.put(f"servers/{name}", b"{}")
        read = await store.read_all()
        self.assertIn("servers/c", [document.key for document in read.documents])
        await self.close()

    async def test_item_without_a_value_leaves_the_others_readable(self):
        """Guards against an entry without content that fails the read of all.

        Encoders may leave out a field that is empty.
        """
        server, store = await self.open()
        server.put("op/config", plan_document())
        for name in ("a", "b", "c"):
            server.put(f"servers/{name}", b"{}")
        make_item = server._item

        def make_empty(key):
            item = make_item(key)
            return {name: item[name] for name in item if (key, name) != ("servers/b", "value")}

        server._item = make_empty
        documents = {each.key: each.data for each in (await store.read_all()).documents}
        self.assertEqual(b"", documents["servers/b"])
        self.assertEqual((b"{}", b"{}"), (documents["servers/a"], documents["servers/c"]))
        page = await store.sample_entries()
        self.assertEqual([b"{}", b"", b"{}"], [each.data for each in page.documents])
        await self.close()

    async def test_page_that_does_not_lead_on_is_not_taken_for_the_end_of_the_list(self):
        """Guards against upstreams that count as removed after an empty page, or a read for ever.

        Either page says that more items follow, and neither tells after which key.
        """
        server, store = await self.open()
        server.page = 2
        for number in range(5):
            server.put(f"servers/i-{number}", b"{}")
        read_range = server._read_range

        def read_empty(query):
            is_second = query.get("after") == "servers/i-1"
            return read_range(query | {"after": "servers/i-9"} if is_second else query)

        def read_again(query):
            return read_range({name: text for name, text in query.items() if name != "after"})

        for odd_read in (read_empty, read_again):
            server._read_range = promise_more(odd_read)
            with self.assertRaisesType(PlatformUnavailable):
                await store.read_all()
            after = ""
            with self.assertRaisesType(PlatformUnavailable):
                while after is not None:
                    after = (await store.sample_entries(after)).next_after
        await self.close()

    async def test_reads_evacuations_and_no_other_items_of_operators(self):
        """Guards against a node that starts and sends to an evacuated zone."""
        server, store = await self.open()
        server.page = 1
        for key in ("op/config", "op/evacuate/a", "op/evacuate/b", "op/notes", "servers/i-0"):
            server.put(key, b"{}")
        read = await store.read_all()
        self.assertEqual(
            ["op/config", "op/evacuate/a", "op/evacuate/b", "servers/i-0"],
            [document.key for document in read.documents],
        )
        await self.close()

    async def test_changes_during_a_read_are_not_lost(self):
        """Guards against an evacuation that is written while a node reads the entries.

        The read has the revision of its first answer, so that the watch tells of the change.
        """
        server, store = await self.open()
        server.put("op/config", plan_document())
        read_range = server._read_range

        def write_before_entries(query):
            if query["prefix"] == "servers/":
                server.put("op/evacuate/a", b"{}")
            return read_range(query)

        server._read_range = write_before_entries
        read = await store.read_all()
        self.assertEqual(["op/config"], [document.key for document in read.documents])
        changes = await store.watch(read.revision, 50)
        self.assertEqual(["op/evacuate/a"], [document.key for document in changes.documents])
        await self.close()

    async def test_watch_returns_changes_and_removals(self):
        """Guards against sending requests to a removed upstream."""
        server, store = await self.open()
        server.put("servers/i-0", b"one")
        revision = server.revision
        server.put("servers/i-1", b"two")
        server.remove("servers/i-0")
        read = await store.watch(revision, 1_000)
        self.assertEqual(
            [("servers/i-1", b"two"), ("servers/i-0", None)],
            [(document.key, document.data) for document in read.documents],
        )
        await self.close()

    async def test_watch_without_changes_returns(self):
        """Guards against a watch that never returns."""
        server, store = await self.open()
        read = await store.watch(server.revision, 50)
        self.assertEqual(((), server.revision), (read.documents, read.revision))
        await self.close()

    async def test_lost_history_differs_from_an_outage(self):
        """Guards against a node that waits for changes that the store no longer has."""
        server, store = await self.open()
        server.put("servers/i-0", b"one")
        server.forget_history()
        with self.assertRaisesType(HistoryLost):
            await store.watch(1, 50)
        server.down = True
        with self.assertRaisesType(PlatformUnavailable):
            await store.read_all()
        await self.close()

    async def test_watch_after_a_restore_does_not_go_on_from_the_same_number(self):
        """Guards against changes of a restored store that are missed.

        The restored store gives out the numbers again, so that a watch from one of them is served.
        """
        server, store = await self.open()
        copy = server.copy()
        server.put("servers/i-0", b"lost")
        revision = (await store.read_all()).revision
        server.restore(copy)
        with self.assertRaisesType(HistoryLost):
            await store.watch(revision, 50)
        server.put("servers/i-1", b"new")
        server.put("servers/i-2", b"new")
        with self.assertRaisesType(HistoryLost):
            await store.watch(revision, 50)
        read = await store.read_all()
        self.assertGreater(read.revision, revision)
        self.assertLess(max(document.revision for document in read.documents), read.revision + 1)
        self.assertEqual((), (await store.watch(read.revision, 50)).documents)
        await self.close()

    async def test_unreadable_era_is_an_outage(self):
        """Guards against revisions of unknown order."""
        server, store = await self.open()
        for server.era in ("two", -1, 1 << 20, "٣", "9" * 5_000):
            with self.assertRaisesType(PlatformUnavailable):
                await store.read_all()
        await self.close()

    async def test_malformed_answer_is_an_outage(self):
        """Guards against an answer that ends the task which follows the store."""
        item = '{"key": "servers/a", "value": "e30=", "revision": %s}'
        answers = (
            "[" * 100_000,
            "{" * 100_000,
            '{"at_rev": 1e999, "events": []}',
            '{"at_rev": ' + "9" * 5_000 + "}",
            '{"at_rev": -1, "events": []}',
            '{"at_rev": 1, "events": {}}',
            *(
                f'{{"at_rev": 1, "events": [{event}]}}'
                for event in ("7", "{}", item % "1e999", item % "NaN", item % '"x"', item % -1)
            ),
            '{"at_rev": 1, "events": [{"key": "servers/a", "value": "???", "revision": 1}]}',
        )
        for body in [answer.encode() for answer in answers]:

            async def serve(reader, writer, body=body):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            store = HttpMetadataStore(*server.sockets[0].getsockname())
            with self.assertRaisesType(PlatformUnavailable):
                await store.watch(0, 50)
            await store.close()
            server.close()

    async def test_connecting_fails_early_if_the_store_drops_syn_packets(self):
        """Guards against a watch that waits seconds for a connection when all nodes reconnect."""
        host = f"{private_network()}.250"
        listener = socket.socket()
        listener.bind((host, 0))
        listener.listen(0)
        clients = [socket.socket() for _ in range(3)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        store = HttpMetadataStore(host, listener.getsockname()[1])
        with self.assertRaisesType(PlatformUnavailable):
            async with asyncio.timeout(1.0):
                await store.watch(1, 15_000)
        await store.close()
        for sock in (listener, *clients):
            sock.close()

    async def test_missing_configuration_is_no_error(self):
        """Guards against a node that cannot start before the first configuration is published."""
        _, store = await self.open()
        self.assertEqual((), (await store.read_all()).documents)
        await self.close()
