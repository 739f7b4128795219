import random

from gentianthread.coordination.instance_list import InstanceListReader
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
        self.seen = []
        reader.lists.subscribe(lambda found: self.seen.append(found.revision))
        reader.start()
        return reader

    async def test_watcher_reads_each_second(self):
        """Guards against a leaving instance that is seen after more than 3 s (P10)."""
        reader = self.make(watcher=True)
        await reader._clock.sleep_ms(60_000)
        self.assertTrue(55 <= self.state.reads <= 66, self.state.reads)
        self.state.set_instances((ListedInstance("a", "z", leaving=True),))
        await reader._clock.sleep_ms(1_500)
        self.assertEqual([1, 2], self.seen)
        await reader.close()

    async def test_others_read_rarely(self):
        """Guards against a read rate that grows with the fleet."""
        reader = self.make(watcher=False)
        await reader._clock.sleep_ms(600_000)
        self.assertTrue(8 <= self.state.reads <= 12, self.state.reads)
        self.assertEqual([1], self.seen)
        await reader.close()

    async def test_service_that_is_down_at_the_start(self):
        """Guards against a node that never learns the list."""
        reader = self.make(watcher=False)
        self.state.set_faults(PlatformFaults(down=True))
        await reader._clock.sleep_ms(10_000)
        self.assertEqual([], self.seen)
        self.state.set_faults(PlatformFaults())
        await reader._clock.sleep_ms(1_500)
        self.assertEqual([1], self.seen)
        await reader.close()

    async def test_late_subscriber(self):
        """Guards against a subscriber that waits for the next change of the list."""
        reader = self.make(watcher=False)
        await reader._clock.sleep_ms(1_500)
        late = []
        reader.lists.subscribe(late.append)
        self.assertEqual(1, len(late))
        await reader.close()
