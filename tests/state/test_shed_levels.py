from hypothesis import given
from hypothesis import strategies as st

from gentianthread.ids import OrganisationId, Priority
from gentianthread.state.shed_levels import (
    DEPTH_STEPS,
    FADE_MS,
    HOLD_MS,
    ShedLevels,
    combine,
    hash_fraction,
    level_for_caller,
    level_of_pool,
    rank,
    sheds,
    threshold_for,
)
from gentianthread.state.work import ShedLevel

from ..base import TestCase
from ..work_items import work_item

ALPHA = OrganisationId("alpha")
BETA = OrganisationId("beta")


class TestRank(TestCase):
    def test_priority_comes_before_depth_and_depth_before_hash(self):
        """Guards against unimportant work of a large depth that displaces important work."""
        ranks = [
            rank(work_item(priority=priority, depth=depth))
            for priority in Priority
            for depth in (0, 1, 18)
        ]
        self.assertEqual(sorted(ranks), ranks)

    def test_hash_is_the_same_on_every_hop(self):
        """Guards against hops that shed different root requests, so that no request completes."""
        at_entry = rank(work_item(root="r", depth=0))
        deeper = rank(work_item(root="r", depth=3, service="pricing"))
        self.assertAlmostEqual(3 / DEPTH_STEPS, deeper - at_entry)

    def test_hash_of_a_known_id(self):
        """Guards against a changed hash, with which old and new nodes would shed differently."""
        self.assertAlmostEqual(0.02816427, hash_fraction("root"), places=8)

    @given(st.text())
    def test_hash_stays_inside_its_rank_step(self, text):
        """Guards against a hash that moves a request into the next rank step."""
        self.assertTrue(0 <= hash_fraction(text) < 1)


class TestLevels(TestCase):
    def test_threshold_moves_with_the_depth(self):
        """Guards against an entry node that sheds other root requests than the deeper node."""
        item = work_item(root="r")
        deep = work_item(root="r", depth=2)
        level = ShedLevel(threshold=1 + (2 + 0.5) / DEPTH_STEPS)
        at_entry = level_for_caller(level_for_caller(level))
        self.assertEqual(sheds(level, deep, 0.5), sheds(at_entry, item, 0.5))
        self.assertAlmostEqual(1 + 0.5 / DEPTH_STEPS, at_entry.threshold)

    def test_threshold_of_an_organisation_applies_to_it_only(self):
        """Guards against shedding organisations that are within their share."""
        level = ShedLevel(by_organisation=((ALPHA, 3.0),))
        self.assertTrue(sheds(level, work_item(organisation="alpha"), 0.5))
        self.assertFalse(sheds(level, work_item(organisation="beta"), 0.5))

    def test_combined_level_is_the_stricter_one(self):
        """Guards against root requests that the next hop admits and a deeper one sheds."""
        inner = ShedLevel(by_organisation=((ALPHA, 1.5),), age_ms=100)
        own = ShedLevel(by_organisation=((ALPHA, 1.2), (BETA, 1.3)), running=3, limit=4)
        level = combine(own, [inner])
        self.assertAlmostEqual(1.5 - 1 / DEPTH_STEPS, threshold_for(level, ALPHA))
        self.assertEqual((1.3, 100, 3), (threshold_for(level, BETA), level.age_ms, level.running))

    def test_inner_level_that_sheds_nothing_does_not_age_the_own_level(self):
        """Guards against dropping a fresh level because of an old one that sheds nothing."""
        own = ShedLevel(by_organisation=((ALPHA, 1.2),))
        self.assertEqual(own, combine(own, [ShedLevel(age_ms=1000)]))

    def test_level_of_a_pool_is_weighted_by_limits(self):
        """Guards against a small upstream that determines the level of the whole pool."""
        small = ShedLevel(by_organisation=((ALPHA, 1.0),), limit=1)
        large = ShedLevel(by_organisation=((ALPHA, 2.0),), limit=3)
        self.assertEqual(2.0, threshold_for(level_of_pool([small, large]), ALPHA))

    def test_level_of_a_pool_lies_inside_a_class(self):
        """Guards against a mean between two classes that sheds all of one and none of the other."""
        levels = [ShedLevel(by_organisation=((ALPHA, cut),), limit=4) for cut in (0.01, 1.02, 1.03)]
        self.assertEqual(1.02, threshold_for(level_of_pool(levels), ALPHA))
        near = [ShedLevel(by_organisation=((ALPHA, cut),), limit=4) for cut in (1.01, 1.02)]
        self.assertAlmostEqual(1.015, threshold_for(level_of_pool(near), ALPHA))

    def test_old_levels_of_a_pool_are_ignored_beside_fresh_ones(self):
        """Guards against a level that expires early because another upstream's report is old."""
        old = ShedLevel(by_organisation=((ALPHA, 3.0),), limit=4, age_ms=HOLD_MS + 1)
        young = ShedLevel(by_organisation=((ALPHA, 1.5),), limit=4, age_ms=100)
        self.assertEqual(
            (1.5, 100), (threshold_for(level_of_pool([old, young]), ALPHA), young.age_ms)
        )


class TestShedLevels(TestCase):
    def test_stale_level_fades_and_expires(self):
        """Guards against a stale level that sheds work for ever."""
        levels = ShedLevels()
        levels.record("a", ShedLevel(threshold=4.0), 0)
        item = work_item()

        def shed_count(now_ms):
            level = levels.level("a", now_ms)
            return level and sum(sheds(level, item, draw / 100) for draw in range(100))

        self.assertEqual(100, shed_count(HOLD_MS))
        self.assertAlmostEqual(50, shed_count(HOLD_MS + FADE_MS / 2), delta=1)
        self.assertIsNone(shed_count(HOLD_MS + FADE_MS))

    def test_age_is_kept_over_a_chain_of_hops(self):
        """Guards against a level whose age restarts at each of 18 hops that forward it."""
        level, now_ms = ShedLevel(threshold=4.0), 0.0
        for _hop in range(18):
            levels = ShedLevels()
            levels.record("a", level, now_ms)
            now_ms += 150
            level = levels.level("a", now_ms)
            if level is None:
                break
        self.assertIsNone(level)

    def test_older_report_does_not_replace_a_newer_one(self):
        """Guards against a slow answer that restores an outdated level."""
        levels = ShedLevels()
        levels.record("a", ShedLevel(threshold=0.0), 100)
        levels.record("a", ShedLevel(threshold=4.0, age_ms=50), 120)
        self.assertEqual(0.0, levels.level("a", 130).threshold)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with every route and upstream ever seen."""
        levels = ShedLevels()
        for number in range(ShedLevels.MAX_KEYS + 10):
            levels.record(number, ShedLevel(), number / 1000)
        self.assertIsNone(levels.level(0, 10))
        self.assertIsNotNone(levels.level(ShedLevels.MAX_KEYS + 9, 10))
