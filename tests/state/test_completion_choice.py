from gentianthread.clock import ManualClock

from ..base import TestCase
from .uneven_world import Player, World, compare, opposite_waves, play_all

EVEN = (1.0, 1.0, 1.0, 1.0)
UNEVEN = (0.5, 1.0, 1.0, 1.5)


class TestCompletionChoice(TestCase):
    """Compare the choice with three and with four figures on the same load and seed."""

    def check(self, world):
        old, new = compare(world)
        targets = len(world.zones) * len(world.speeds)
        return old, new, f"old {old.describe(targets)}; new {new.describe(targets)}"

    def test_uneven_speeds_at_little_load(self):
        """Guards against a target that gets a multiple of the mean of its service.

        Load: 24 targets with 50 slots in 6 zones, speeds 0.5 to 1.5, 388 requests of 94 ms per s.
        """
        world = World(tuple("abcdef"), UNEVEN, 50, 94.0, 388.0)
        old, new, text = self.check(world)
        self.assertLess(new.busiest(24), old.busiest(24), text)
        self.assertLess(new.mean_ms(), old.mean_ms(), text)
        self.assertLess(new.left_share(), 0.01, text)

    def test_long_read_on_targets_that_slow_down_when_full(self):
        """Guards against reads that miss their objective on slow targets and full ones.

        Load: 16 targets with 19 slots, speeds 0.7 to 1.6, 380 requests of 380 ms per s.
        """
        speeds = (0.7, 0.7, 1.6, 1.0)
        world = World(tuple("abcd"), speeds, 19, 380.0, 380.0, 1_240.0, full_factor=1.3)
        old, new, text = self.check(world)
        self.assertGreaterEqual(new.within(), old.within(), text)
        self.assertLess(new.mean_ms(), old.mean_ms(), text)
        self.assertLess(new.left_share(), old.left_share(), text)

    def test_long_read_on_nearly_full_targets(self):
        """Guards against reads that wait at the fast targets, or leave the zone, at high load.

        Load: as above, 560 requests per s.
        """
        speeds = (0.7, 0.7, 1.6, 1.0)
        world = World(tuple("abcd"), speeds, 19, 380.0, 560.0, 1_240.0, full_factor=1.3)
        old, new, text = self.check(world)
        self.assertGreater(new.within(), old.within(), text)
        self.assertLess(new.mean_ms(), old.mean_ms(), text)
        self.assertLess(new.left_share(), old.left_share(), text)

    def test_random_figures(self):
        """Guards against worse service because of figures that say nothing.

        Load: 12 targets with 12 slots, speeds 0.5 to 1.5, 600 requests of 100 ms per s.
        """
        world = World(speeds=UNEVEN, slots=12, per_s=600.0)
        world.stated = lambda percent, now_ms, random: random.choice((40.0, 100.0, 250.0, 400.0))
        old, new, text = self.check(world)
        self.assertGreater(new.within(), old.within() - 0.002, text)
        self.assertLess(new.mean_ms(), 1.1 * old.mean_ms(), text)

    def test_stale_figures(self):
        """Guards against worse service because figures stay the same for 3 s.

        Load: as above.
        """
        world = World(speeds=UNEVEN, slots=12, per_s=600.0)
        world.stated = lambda percent, now_ms, random: 250.0 if int(now_ms / 3_000) % 2 else 100.0
        old, new, text = self.check(world)
        self.assertGreater(new.within(), old.within() - 0.002, text)
        self.assertLess(new.mean_ms(), 1.1 * old.mean_ms(), text)

    def test_target_that_rejects_loses_share(self):
        """Guards against retry budget spent at a target that rejects 40% of its arrivals.

        Load: 8 targets with 10 slots in 2 zones, 350 requests of 100 ms per s.
        """
        world = World(("a", "b"), EVEN, 10, 100.0, 350.0, rejects={"a0": 0.4})
        old, new, text = self.check(world)
        for outcome, most in ((old, 0.9), (new, 0.6)):
            share = outcome.arrivals["a0"] * 8 / sum(outcome.arrivals.values())
            self.assertLess(share, most, text)
            self.assertGreater(share, 0.1, text)

    def test_zone_without_targets(self):
        """Guards against lost requests while a zone has no targets any more.

        Load: 9 targets with 20 slots in 3 zones, 700 requests of 100 ms per s; a zone is gone.
        """
        gone = {f"a{number}": 6_000.0 for number in range(3)}
        world = World(("a", "b", "c"), (1.0, 1.0, 1.0), 20, 100.0, 700.0, gone_from_ms=gone)
        old, new, text = self.check(world)
        self.assertEqual(0, new.unanswered, text)
        self.assertGreaterEqual(new.within(), old.within(), text)

    def test_opposite_waves(self):
        """Guards against a full zone beside one with free slots, and zones that swap requests.

        Load: 8 targets with 10 slots in 2 zones, 460 requests of 100 ms per s, waves of +-50% in
        opposite phase with a period of 11 s.
        """
        world = World(("a", "b"), EVEN, 10, 100.0, 460.0, duration_ms=24_000.0)
        world.demand = opposite_waves(0.5)
        old, new, text = self.check(world)
        self.assertGreater(new.within(), old.within() - 0.002, text)
        self.assertLess(new.mean_ms(), old.mean_ms(), text)
        self.assertLess(new.left_share(), 0.06, text)
        self.assertLess(self.sent_in_the_trough(new, world), 0.05, text)

    def sent_in_the_trough(self, outcome, world):
        """Return the part of the requests sent elsewhere while the demand of their zone is low."""
        low = sum(
            sent
            for (zone, second), sent in outcome.left_by_second.items()
            if world.demand(zone, second * 1_000.0 + 500.0) < 0.9
        )
        return low / sum(outcome.left_by_second.values())

    def test_small_opposite_waves_of_nearly_full_zones(self):
        """Guards against requests that leave although both zones are nearly full.

        Load: as above with 560 requests per s and waves of +-15%.
        """
        world = World(("a", "b"), EVEN, 10, 100.0, 560.0, duration_ms=24_000.0)
        world.demand = opposite_waves(0.15)
        old, new, text = self.check(world)
        self.assertGreater(new.within(), old.within() - 0.002, text)
        self.assertLess(new.left_share(), 0.06, text)

    def test_slow_link(self):
        """Guards against requests over a link whose delay has risen to 40 ms.

        Load: 8 targets in 2 zones, 520 requests per s, waves of +-15%, so that no zone is asked
        more than it can serve; the delay of the link rises from 1.4 ms after 12 of 24 s.
        """
        world = World(("a", "b"), EVEN, 10, 100.0, 520.0, duration_ms=24_000.0)
        world.demand = opposite_waves(0.15)
        fast = play_all(world)
        world.path_ms = lambda one, other, now_ms: 1.4 if now_ms < 12_000.0 else 40.0
        old, slow, text = self.check(world)
        # The delay is known within 2 s, and the share falls within another one.
        sent_fast, sent_old, sent_slow = (
            sum(sent for (_, second), sent in outcome.left_by_second.items() if second >= 15)
            for outcome in (fast, old, slow)
        )
        self.assertLess(sent_slow, 0.6 * sent_fast, text)
        self.assertLess(sent_slow, 0.5 * sent_old, text)
        self.assertGreater(slow.within(), old.within(), text)

    def test_unknown_pace_uses_the_old_choice(self):
        """Guards against a change for deployments whose targets report three figures."""
        player = Player(World(states_pace=False, duration_ms=2_000.0))
        player.play()
        for node in player.entries["a"]:
            applies = node.balancer._by_completion.applies(player.pool, ManualClock().now_ms())
            self.assertFalse(applies)
