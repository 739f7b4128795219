import random

from gentianthread.ids import NodeIdentity
from gentianthread.state.member_table import Listing, MemberRecord, MemberTable, fingerprint
from gentianthread.state.members import MemberState

from ..base import TestCase


def node(name: str, start: int = 1) -> NodeIdentity:
    """Return a node of the zone that its name starts with."""
    return NodeIdentity(name, name[0], start)


def record(name: str, sequence: int = 1, silent: tuple[str, ...] = (), start: int = 1, **options):
    fingerprints = tuple(sorted(fingerprint(node(other)) for other in silent))
    return MemberRecord(node(name, start), sequence, silent=fingerprints, **options)


NAMES = [f"{zone}{number}" for zone in "abc" for number in range(4)]


class TestMemberTable(TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemberTable(node("a0"))
        for name in NAMES[1:]:
            self.table.apply(record(name))

    def state(self, name: str) -> MemberState | None:
        return self.table.state(name)

    def report(self, *reports: tuple[str, tuple[str, ...]]) -> None:
        for observer, silent in reports:
            sequence = self.table.records[observer].sequence + 1
            self.table.apply(record(observer, sequence, silent))

    def test_one_observer_makes_suspect(self):
        """Guards against a single wrong observer that marks a healthy node as failed."""
        self.report(("a1", ("a2", "b1")))
        self.assertEqual(MemberState.SUSPECT, self.state("a2"))
        self.assertEqual(MemberState.SUSPECT, self.state("b1"))

    def test_two_observers_make_failed(self):
        """Guards against a failed node that keeps receiving work."""
        self.report(("a1", ("a2",)), ("b1", ("a2",)))
        self.assertEqual(MemberState.FAILED, self.state("a2"))

    def test_withdrawn_report(self):
        """Guards against a node that stays failed after it answers again."""
        self.report(("a1", ("a2",)), ("a3", ("a2",)))
        self.report(("a1", ()), ("a3", ()))
        self.assertEqual(MemberState.LIVE, self.state("a2"))

    def test_same_observer_counts_once(self):
        """Guards against two reports of one observer that count as two observers."""
        self.table.apply(record("a1", 2, ("a2",)))
        self.table.apply(record("a1", 3, ("a2", "a3")))
        self.assertEqual(MemberState.SUSPECT, self.state("a2"))

    def test_reports_of_two_other_zones_make_unreachable(self):
        """Guards against a partitioned zone that counts as live as no node in it reports."""
        self.report(("a1", ("b1",)), ("c1", ("b1",)))
        self.assertEqual(MemberState.UNREACHABLE, self.state("b1"))

    def test_partition_between_two_other_zones(self):
        """Guards against a zone that third zones avoid because it is partitioned from another."""
        for name in ("b0", "b1", "b2", "b3"):
            self.table.apply(record(name, 2, ("c0", "c1", "c2", "c3")))
        self.assertEqual(MemberState.SUSPECT, self.state("c1"))

    def test_zone_of_which_the_local_zone_misses_over_half(self):
        """Guards against members of a partitioned zone that stay live as nobody reports them."""
        self.report(("a1", ("b0", "b1")), ("a2", ("b2",)))
        states = {self.state(name) for name in ("b0", "b1", "b2", "b3")}
        self.assertEqual({MemberState.UNREACHABLE}, states)
        self.assertEqual(MemberState.LIVE, self.state("c1"))
        self.report(("a1", ()), ("a2", ()))
        self.assertEqual(MemberState.LIVE, self.state("b3"))

    def test_newer_start_wins(self):
        """Guards against a late record of a replaced process that overrides its successor's."""
        self.report(("a1", ("a2",)), ("a3", ("a2",)))
        self.table.apply(record("a2", 1, start=5))
        self.assertEqual(MemberState.LIVE, self.state("a2"))
        self.assertIsNone(self.table.apply(record("a2", 99, start=4)))
        self.assertEqual(5, self.table.get("a2").identity.start_number)

    def test_leaving(self):
        """Guards against new work for a leaving node."""
        self.table.apply(record("b1", 2, leaving=True))
        self.assertEqual(MemberState.LEAVING, self.state("b1"))

    def listings(self, names, leaving=()):
        return [Listing(name, name[0], name in leaving) for name in names]

    def test_node_removed_from_the_list_has_failed(self):
        """Guards against work for an instance that the platform has removed."""
        self.table.apply_listings(1, self.listings(NAMES))
        self.table.apply_listings(2, self.listings(NAMES[:-1]))
        self.assertEqual(MemberState.FAILED, self.state("c3"))
        self.table.apply(record("c3", 1, start=2))
        self.assertEqual(MemberState.LIVE, self.state("c3"))

    def test_older_list_has_no_effect(self):
        """Guards against a stale list that removes nodes which joined since."""
        self.table.apply_listings(2, self.listings(NAMES))
        self.table.apply_listings(1, self.listings(NAMES[:-1]))
        self.assertEqual(MemberState.LIVE, self.state("c3"))

    def test_node_that_the_list_never_had(self):
        """Guards against a new node that fails because the list lags behind."""
        self.table.apply_listings(1, self.listings(NAMES[:-1]))
        self.table.apply_listings(2, self.listings(NAMES[:-1]))
        self.assertEqual(MemberState.LIVE, self.state("c3"))

    def test_listed_node_without_a_record(self):
        """Guards against listed nodes that stay unknown until their first record arrives."""
        self.table.apply_listings(1, self.listings([*NAMES, "c9"], leaving=("c9", "b1")))
        self.assertEqual(0, self.table.get("c9").identity.start_number)
        self.assertEqual(MemberState.LEAVING, self.state("c9"))
        self.assertEqual(MemberState.LEAVING, self.state("b1"))

    def test_order_of_records_does_not_matter(self):
        """Guards against tables that do not converge after the same records."""
        rng = random.Random(7)
        records = [record(name, 1) for name in NAMES]
        for sequence in range(2, 9):
            for name in NAMES:
                silent = tuple(rng.sample([other for other in NAMES if other != name], 2))
                start = 1 + (sequence > 5 and name == "b2")
                records.append(record(name, sequence, silent, start))
        outcomes = []
        for _ in range(5):
            rng.shuffle(records)
            table = MemberTable(node("x0", 0))
            for item in records:
                table.apply(item)
            outcomes.append((table.digest(), {name: table.state(name) for name in NAMES}))
        self.assertTrue(all(outcome == outcomes[0] for outcome in outcomes))

    def test_differing_buckets_hold_the_difference(self):
        """Guards against a comparison that misses a record or sends all of them."""
        other = MemberTable(node("a1"))
        for name in NAMES:
            other.apply(record(name))
        self.table.apply(record("a0", 1))
        self.assertEqual(self.table.digest(), other.digest())
        other.apply(record("b2", 2, leaving=True))
        buckets = self.table.differing_buckets(other.bucket_digests())
        self.assertEqual(1, len(buckets))
        upstream_ids = [item.identity.upstream_id for item in other.records_in_buckets(buckets)]
        self.assertIn("b2", upstream_ids)
        self.assertTrue(len(upstream_ids) < len(NAMES))
