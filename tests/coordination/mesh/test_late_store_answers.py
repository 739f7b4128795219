import asyncio
from random import Random

from gentianthread.clock import LoopClock
from gentianthread.coordination.mesh.follower import DocumentFollower
from gentianthread.metrics import MemoryMetrics
from gentianthread.protocol.messages_mesh import DocumentChange, DocumentChanges
from gentianthread.state.directory import Directory
from gentianthread.state.relisting import StoreReturn
from gentianthread.transport.metadata_store import Document, HistoryLost, StoreRead

from ...base import VirtualTimeTestCase
from .follower_fleet import PLAN_KEY, Reader

PLAN = Document(PLAN_KEY, b"1", 1)


def listed(key, revision):
    return Document(key, b"10.0.0.1 zone-0", revision)


class SlowStore:
    """Answer each call with what the test passes to `answer`."""

    def __init__(self):
        self.calls = asyncio.Queue()

    async def _call(self, name):
        answer = asyncio.get_running_loop().create_future()
        self.calls.put_nowait((name, answer))
        return await answer

    async def read_all(self):
        return await self._call("read")

    async def watch(self, revision, wait_ms):
        return await self._call(f"watch {revision}")


class TestLateStoreAnswers(VirtualTimeTestCase):
    """Answers of the store to calls that were under way while a peer told of later changes."""

    async def start(self, *documents):
        """Start a follower whose first read returns documents, and let it watch the store."""
        self.store = SlowStore()
        clock = LoopClock()
        self.directory = Directory(clock.now_ms)
        self.follower = DocumentFollower(
            self.store, Reader(), 1_500.0, self.directory, clock, MemoryMetrics(), Random(1)
        )
        self.task = asyncio.ensure_future(self.follower.run())
        await self.answer("read", StoreRead((PLAN, *documents), 4))
        self.watch = await self.store.calls.get()
        self.assertEqual("watch 4", self.watch[0])

    async def answer(self, name, result):
        call, answer = await self.store.calls.get()
        self.assertEqual(name, call)
        answer.set_result(result)

    async def tell_by_peer(self, base, revision, *documents):
        changes = tuple(DocumentChange(item.key, item.data, item.revision) for item in documents)
        message = DocumentChanges(base, revision, changes, StoreReturn(0, 0.0))
        self.follower.on_changes(None, message)

    async def end_watch(self, revision, *documents):
        self.watch[1].set_result(StoreRead(documents, revision))
        await asyncio.sleep(0.5)

    async def test_late_removal_does_not_remove_an_upstream_that_is_listed_again(self):
        """Guards against an upstream that gets no more requests of this node.

        The next watch begins after its entry, so that no later answer tells of it.
        """
        await self.start(listed("up-a", 2))
        await self.tell_by_peer(4, 7, listed("up-a", 7))
        await self.end_watch(5, Document("up-a", None, 5))
        self.assertIn("up-a", self.directory.entries)
        self.assertEqual("watch 7", (await self.store.calls.get())[0])
        self.task.cancel()

    async def test_late_entry_does_not_list_an_upstream_that_is_gone(self):
        """Guards against requests to an upstream that was removed, which no later answer tells."""
        for known in ((listed("up-a", 2),), ()):
            await self.start(*known)
            await self.tell_by_peer(4, 7, Document("up-a", None, 7))
            await self.end_watch(6, listed("up-a", 5))
            self.assertNotIn("up-a", self.directory.entries)
            self.task.cancel()

    async def test_later_changes_of_a_late_answer_are_applied(self):
        """Guards against changes that are left out together with those that are known."""
        await self.start(listed("up-a", 2))
        await self.tell_by_peer(4, 7, Document("up-a", None, 7))
        await self.end_watch(8, listed("up-a", 5), listed("up-b", 8))
        self.assertEqual({"up-b"}, set(self.directory.entries))
        self.assertEqual(8, self.follower.revision)
        self.task.cancel()

    async def test_late_read_does_not_list_an_upstream_that_is_gone(self):
        """Guards against the same after a read of everything that was under way."""
        await self.start(listed("up-a", 2))
        self.watch[1].set_exception(HistoryLost("watch", "gone"))
        call, read = await self.store.calls.get()
        self.assertEqual("read", call)
        await self.tell_by_peer(4, 7, Document("up-a", None, 7))
        read.set_result(StoreRead((PLAN, listed("up-a", 2)), 5))
        await asyncio.sleep(0.5)
        self.assertNotIn("up-a", self.directory.entries)
        self.task.cancel()
