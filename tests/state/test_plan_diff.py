import attrs

from gentianthread.state.declarations import read_texts
from gentianthread.state.plan_diff import compare_plans

from ..base import TestCase
from ..declaration_texts import SMALL, small_with

BEFORE = read_texts({"a.ini": SMALL})


def diff_after(old: str, new: str):
    return compare_plans(BEFORE, read_texts({"a.ini": small_with(old, new)}))


class TestCompare(TestCase):
    def test_equal_plans(self):
        """Guards against reported changes between equal plans."""
        diff = compare_plans(BEFORE, BEFORE)
        self.assertEqual(((), ()), (diff.changes, diff.warnings))

    def test_rate_cut(self):
        """Guards against an unnoticed cut of an organisation's rate."""
        diff = diff_after("rate = 400/s", "rate = 100/s")
        self.assertEqual(("organisation alpha: rate changes from 400/s to 100/s",), diff.changes)
        self.assertIn("rate cut: organisation alpha", diff.warnings[0])
        self.assertIn("75% less", diff.warnings[0])

    def test_rate_rise_is_no_risk(self):
        """Guards against needless warnings, which teach operators to ignore all of them."""
        diff = diff_after("rate = 400/s", "rate = 500/s")
        self.assertEqual((1, 0), (len(diff.changes), len(diff.warnings)))

    def test_drained_zone(self):
        """Guards against an availability zone that can serve nothing when it is partitioned."""
        diff = diff_after("slots = 10", "slots = 10\ndraining = yes")
        self.assertIn("availability zone volos-a is drained", " ".join(diff.warnings))

    def test_profile_sheds_an_important_priority(self):
        """Guards against a profile change that queues orders behind look-ups (P2)."""
        order = diff_after("queue_target = 40 ms", "queue_target = 40 ms\nqueue_order = fifo")
        self.assertIn("place-order", order.warnings[0])
        self.assertIn("fifo", order.warnings[0])
        queue = diff_after("queue_target = 40 ms", "queue_target = 40 ms\nqueue_limit = 5")
        self.assertIn("queue limit falls from 200 to 5", queue.warnings[0])

    def test_unimportant_service_may_shed(self):
        """Guards against a warning for a service without important routes."""
        diff = diff_after(
            "[service catalogue]\nprofile = lookup", "[service catalogue]\nprofile = scarce"
        )
        self.assertEqual((), diff.warnings)

    def test_lower_priority_and_open_route(self):
        """Guards against an unnoticed loss of priority, authentication or single execution."""
        self.assertIn(
            "shed earlier", diff_after("priority = critical", "priority = normal").warnings[0]
        )
        opened = diff_after("priority = critical", "priority = critical\nopen = yes")
        self.assertIn("without a key", opened.warnings[0])
        repeated = diff_after("idempotent = no", "idempotent = yes")
        self.assertIn("may run twice", repeated.warnings[0])

    def test_removed_upstream(self):
        """Guards against running requests that are lost because their upstream is removed."""
        after = attrs.evolve(BEFORE, upstreams={"catalogue-1": BEFORE.upstreams["catalogue-1"]})
        warnings = " ".join(compare_plans(BEFORE, after).warnings)
        self.assertIn("upstream orders-1 is removed", warnings)

    def test_withdrawn_key(self):
        """Guards against the accidental withdrawal of an organisation's last key."""
        diff = compare_plans(BEFORE, attrs.evolve(BEFORE, keys={}))
        self.assertEqual(("key alpha1 is removed",), diff.changes)
        self.assertIn("no key left", diff.warnings[0])
