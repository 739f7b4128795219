import attrs

from gentianthread.state.declarations import read_texts
from gentianthread.state.plan_diff import compare_plans

from ..base import TestCase
from ..declaration_texts import SMALL, changed

BEFORE = read_texts({"a.ini": SMALL})


def revise(old: str, new: str):
    return compare_plans(BEFORE, read_texts({"a.ini": changed(old, new)}))


class TestCompare(TestCase):
    def test_equal_plans(self):
        """Guards against changes that are none."""
        revision = compare_plans(BEFORE, BEFORE)
        self.assertEqual(((), ()), (revision.changes, revision.warnings))

    def test_rate_cut(self):
        """Guards against an unnoticed cut of an organisation."""
        revision = revise("rate = 400/s", "rate = 100/s")
        self.assertEqual(
            ("organisation alpha: rate changes from 400/s to 100/s",), revision.changes
        )
        self.assertIn("rate cut: organisation alpha", revision.warnings[0])
        self.assertIn("75% less", revision.warnings[0])

    def test_rate_rise_is_no_risk(self):
        """Guards against warnings that operators learn to ignore."""
        revision = revise("rate = 400/s", "rate = 500/s")
        self.assertEqual((1, 0), (len(revision.changes), len(revision.warnings)))

    def test_drained_zone(self):
        """Guards against an availability zone that serves nothing when it is cut off."""
        revision = revise("slots = 10", "slots = 10\ndraining = yes")
        self.assertIn("availability zone volos-a is drained", " ".join(revision.warnings))

    def test_profile_sheds_an_important_priority(self):
        """Guards against orders that a profile change makes wait behind look-ups (P2)."""
        order = revise("queue_target = 40 ms", "queue_target = 40 ms\nqueue_order = fifo")
        self.assertIn("place-order", order.warnings[0])
        self.assertIn("fifo", order.warnings[0])
        queue = revise("queue_target = 40 ms", "queue_target = 40 ms\nqueue_limit = 5")
        self.assertIn("queue limit falls from 200 to 5", queue.warnings[0])

    def test_unimportant_service_may_shed(self):
        """Guards against a warning for a service without important routes."""
        revision = revise(
            "[service catalogue]\nprofile = lookup", "[service catalogue]\nprofile = scarce"
        )
        self.assertEqual((), revision.warnings)

    def test_lower_priority_and_open_route(self):
        """Guards against a route that loses its protection unnoticed."""
        self.assertIn(
            "shed earlier", revise("priority = critical", "priority = normal").warnings[0]
        )
        opened = revise("priority = critical", "priority = critical\nopen = yes")
        self.assertIn("without a key", opened.warnings[0])
        repeated = revise("idempotent = no", "idempotent = yes")
        self.assertIn("may run twice", repeated.warnings[0])

    def test_removed_upstream(self):
        """Guards against requests that a removal cuts off."""
        after = attrs.evolve(BEFORE, upstreams={"catalogue-1": BEFORE.upstreams["catalogue-1"]})
        warnings = " ".join(compare_plans(BEFORE, after).warnings)
        self.assertIn("upstream orders-1 is removed", warnings)

    def test_withdrawn_key(self):
        """Guards against a withdrawal by accident."""
        revision = compare_plans(BEFORE, attrs.evolve(BEFORE, keys={}))
        self.assertEqual(("key alpha1 is removed",), revision.changes)
        self.assertIn("no key left", revision.warnings[0])
