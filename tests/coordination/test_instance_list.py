import random

from gentianthread.coordination.instance_list import InstanceListReader
from gentianthread.ids import NodeIdentity
from gentianthread.state.member_table import Listing, MemberTable
from gentianthread.transport.platforms import (
    ListedInstance,
    MemoryPlatform,
    PlatformFaults,
    PlatformState,
)

from ..base import VirtualTimeTestCase


class TestInstanceListReader(VirtualTimeTestCase):
    loop_options = {"start": 0, "noop_cycles": 0}

    def make(self, watcher: bool):
        self.state = PlatformState()
        self.state.set_instances((ListedInstance("a", "z"),))
        reader = InstanceListReader(
            MemoryPlatform(self.state), lambda: watcher, rng=random.Random(3)
        )
        self.seen_revisions = []
        reader.instance_lists.subscribe(
            lambda instance_list: self.seen_revisions.append(instance_list.revision)
        )
        reader.start()
        return reader

    async def test_watcher_reads_each_second(self):
        """Guards against a leaving instance that is detected after more than 3 s (P10)."""
        reader = self.make(watcher=True)
        await reader._clock.sleep_ms(60_000)
        self.assertTrue(55 <= self.state.reads <= 66, self.state.reads)
        self.state.set_instances((ListedInstance("a", "z", leaving=True),))
        await reader._clock.sleep_ms(1_500)
        self.assertEqual([1, 2], self.seen_revisions)
        await reader.close()

    async def test_other_nodes_read_rarely(self):
        """Guards against a read rate that is too high in a large fleet."""
        reader = self.make(watcher=False)
        await reader._clock.sleep_ms(600_000)
        self.assertTrue(8 <= self.state.reads <= 12, self.state.reads)
        self.assertEqual([1], self.seen_revisions)
        await reader.close()

    async def test_platform_that_is_down_at_startup(self):
        """Guards against a node that doesn't retry its first read of the list."""
        reader = self.make(watcher=False)
        self.state.set_faults(PlatformFaults(down=True))
        await reader._clock.sleep_ms(10_000)
        self.assertEqual([], self.seen_revisions)
        self.state.set_faults(PlatformFaults())
        await reader._clock.sleep_ms(1_500)
        self.assertEqual([1], self.seen_revisions)
        await reader.close()

    async def test_late_subscriber_gets_the_last_list(self):
        """Guards against a subscriber that gets no list until the next change."""
        reader = self.make(watcher=False)
        await reader._clock.sleep_ms(1_500)
        late_subscriber_lists = []
        reader.instance_lists.subscribe(late_subscriber_lists.append)
        self.assertEqual(1, len(late_subscriber_lists))
        await reader.close()

    async def test_older_list_does_not_replace_a_newer_one(self):
        """Guards against addresses of replaced instances after an answer from an outdated copy."""
        reader = self.make(watcher=True)
        outdated = PlatformFaults(stale=True)
        self.state.set_faults(outdated)
        self.state.set_instances((ListedInstance("a", "z", "10.0.0.2", 7001),))
        for faults in (outdated, PlatformFaults(), outdated, PlatformFaults()):
            # Set without a new copy, so that the outdated answers stay those of the first list.
            self.state.faults = faults
            await reader._clock.sleep_ms(3_000)
        self.assertEqual([1, 2], self.seen_revisions)
        await reader.close()

    async def test_list_of_a_restored_service_replaces_a_newer_one(self):
        """Guards against nodes that keep the list from before a restore of the service."""
        reader = self.make(watcher=True)
        table = MemberTable(NodeIdentity("z0", "z", 1))
        reader.instance_lists.subscribe(
            lambda listed: table.apply_listings(
                listed.revision,
                [Listing(item.upstream_id, "z", False) for item in listed.instances],
            )
        )
        copy = self.state.copy()
        for names in ("ab", "abc", "abcd"):
            self.state.set_instances(tuple(ListedInstance(name, "z") for name in names))
            await reader._clock.sleep_ms(1_500)
        self.state.restore(copy)
        self.state.set_instances((ListedInstance("e", "z"),))
        await reader._clock.sleep_ms(1_500)
        self.assertIsNotNone(table.listing("e"))
        self.assertIsNone(table.listing("d"))
        await reader.close()
