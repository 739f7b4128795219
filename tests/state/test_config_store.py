import attrs

from gentianthread.metrics import MemoryMetrics
from gentianthread.state.bundle import make_bundle
from gentianthread.state.config_store import ConfigStore, OfferResult, withdrawn_keys

from ..base import TestCase
from ..plans import small_plan


def bundle_of(version: int, **options):
    return make_bundle(small_plan(version=version, **options))


class TestConfigStore(TestCase):
    def setUp(self):
        super().setUp()
        self.metrics = MemoryMetrics()
        self.store = ConfigStore(self.metrics)
        self.emitted_versions = []
        self.store.changes.subscribe(lambda plan: self.emitted_versions.append(plan.version))

    def test_versions_only_go_up(self):
        """Guards against a stale configuration service that reverts the configuration (P12)."""
        offers = [self.store.offer(bundle_of(version), "test") for version in (3, 2, 3, 5)]
        expected = [
            OfferResult.ACCEPTED,
            OfferResult.OLDER,
            OfferResult.ALREADY_CURRENT,
            OfferResult.ACCEPTED,
        ]
        self.assertEqual(expected, offers)
        self.assertEqual([3, 5], self.emitted_versions)

    def test_same_version_with_other_digest(self):
        """Guards against two replicas whose bundles of one version differ."""
        self.store.offer(bundle_of(3), "first")
        other = bundle_of(3, rate_per_s=5.0)
        self.assertTrue(self.store.conflicts(other.version, other.digest))
        self.assertEqual(OfferResult.REFUSED, self.store.offer(other, "second"))
        self.assertEqual(1000.0, self.store.current.organisations["alpha"].rate_per_s)
        self.assertEqual("second", self.store.last_refusal[0])

    def test_bad_bundle_leaves_the_last_plan(self):
        """Guards against an invalid bundle that replaces the working plan."""
        self.store.offer(bundle_of(3), "test")
        invalid = make_bundle(attrs.evolve(small_plan(version=4), services={}))
        self.assertEqual(OfferResult.REFUSED, self.store.offer(invalid, "test"))
        self.assertEqual((3, 3), (self.store.version, self.store.current.version))
        self.assertEqual(1, self.metrics.counters["config.refused"])
        self.assertFalse(self.store.wants(invalid.version, invalid.digest))
        self.assertEqual(OfferResult.ACCEPTED, self.store.offer(bundle_of(5), "test"))

    def test_damaged_copy_does_not_block_the_sound_one(self):
        """Guards against one damaged read after which a version is never accepted."""
        valid = bundle_of(4)
        damaged = attrs.evolve(valid, payload=valid.payload[:-1])
        self.assertEqual(OfferResult.REFUSED, self.store.offer(damaged, "test"))
        self.assertTrue(self.store.wants(valid.version, valid.digest))
        self.assertEqual(OfferResult.ACCEPTED, self.store.offer(valid, "test"))

    def test_withdrawal_ahead_of_its_bundle(self):
        """Guards against a withdrawn key that works until the bundle arrives (P5)."""
        self.store.offer(bundle_of(3), "test")
        self.store.withdraw(5, ("alpha1",))
        self.assertNotIn("alpha1", self.store.current.keys)
        self.assertIn("beta1", self.store.current.keys)
        self.assertEqual([3, 3], self.emitted_versions)

    def test_withdrawal_outlasts_an_earlier_bundle(self):
        """Guards against a withdrawn key that an earlier bundle makes valid again (P5)."""
        self.store.withdraw(5, ("alpha1",))
        self.store.offer(bundle_of(4), "test")
        self.assertNotIn("alpha1", self.store.current.keys)

    def test_bundle_of_that_version_decides(self):
        """Guards against a key that stays withdrawn after it was declared again."""
        self.store.offer(bundle_of(3), "test")
        self.store.withdraw(5, ("alpha1",))
        self.store.offer(bundle_of(6), "test")
        self.assertIn("alpha1", self.store.current.keys)
        self.assertEqual({}, self.store.withdrawn)

    def test_old_withdrawal_has_no_effect(self):
        """Guards against a late announcement that removes a key which is valid again."""
        self.store.offer(bundle_of(6), "test")
        self.store.withdraw(5, ("alpha1",))
        self.assertIn("alpha1", self.store.current.keys)

    def test_withdrawn_keys_of_a_revision(self):
        """Guards against an announcement that lacks the keys which the version withdraws."""
        before, after = small_plan(), small_plan(withdrawn=frozenset({"alpha"}))
        self.assertEqual(("alpha1",), withdrawn_keys(before, after))
        self.assertEqual((), withdrawn_keys(None, after))
