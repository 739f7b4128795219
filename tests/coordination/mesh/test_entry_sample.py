import asyncio

from gentianthread.coordination.mesh.entry_sample import EntrySample
from gentianthread.errors import PlatformUnavailable
from gentianthread.metrics import MemoryMetrics
from gentianthread.transport.metadata_store import Document, StorePage

from ...base import TestCase
from .follower_fleet import ODD_ENTRY, Reader

FIRST, SECOND = b"10.0.0.1 a", b"10.0.0.2 b"


class PagedStore:
    """Serve pages of one entry each, and remember which were read."""

    def __init__(self, *contents):
        self.contents = contents
        self.read = []
        self.fails = False

    async def sample_entries(self, after=""):
        if self.fails:
            raise PlatformUnavailable("range", "status 503")
        place = int(after or -1) + 1
        self.read.append(place)
        documents = [Document(str(place), each, 1) for each in self.contents[place : place + 1]]
        is_last = place + 1 >= len(self.contents)
        return StorePage(tuple(documents), 1, None if is_last else str(place))


class TestEntrySample(TestCase):
    def sample(self, *contents):
        self.store = PagedStore(*contents)
        return EntrySample(self.store, Reader(), MemoryMetrics())

    def read(self, sample, *, whole=False):
        return asyncio.run(sample.read(whole=whole))

    def test_reads_up_to_the_first_page_with_nodes(self):
        """Guards against a start that costs more calls the more nodes are listed."""
        sample = self.sample(FIRST, SECOND)
        self.assertEqual({"a": {"10.0.0.1"}}, self.read(sample))
        self.assertEqual([0], self.store.read)
        self.assertFalse(sample.is_whole)

    def test_pages_without_nodes_are_passed_over_once(self):
        """Guards against a first page of foreign entries that stands for the list."""
        sample = self.sample(ODD_ENTRY, ODD_ENTRY, FIRST, SECOND)
        self.assertEqual({"a": {"10.0.0.1"}}, self.read(sample))
        self.assertEqual({"a": {"10.0.0.1"}}, self.read(sample))
        self.assertEqual([0, 1, 2, 2], self.store.read)

    def test_whole_list(self):
        """Guards against nodes that are missed on a page before the first one in use."""
        sample = self.sample(ODD_ENTRY, FIRST, SECOND)
        self.read(sample)
        self.store.contents = (SECOND, FIRST)
        self.store.read.clear()
        nodes = {"a": {"10.0.0.1"}, "b": {"10.0.0.2"}}
        self.assertEqual(nodes, self.read(sample, whole=True))
        self.assertEqual([0, 1], self.store.read)
        self.assertTrue(sample.is_whole)

    def test_list_of_one_page_is_whole(self):
        """Guards against a second read of the same page where no feed comes."""
        for contents in ((FIRST,), (ODD_ENTRY,), ()):
            sample = self.sample(*contents)
            self.read(sample)
            self.assertTrue(sample.is_whole)

    def test_failed_read_of_the_whole_list_is_not_repeated(self):
        """Guards against nodes without feeds that read page after page in an outage."""
        sample = self.sample(FIRST, SECOND)
        self.read(sample)
        self.store.fails = True
        with self.assertRaisesType(PlatformUnavailable):
            self.read(sample, whole=True)
        self.assertTrue(sample.is_whole)
