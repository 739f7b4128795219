from collections import Counter
from random import Random

from gentianthread.state.choosers import Candidate, choosers

from ..base import TestCase


def counts(name, candidates, number=2000):
    chooser = choosers.get(name)(Random(3))
    return Counter(chooser.choose(candidates).upstream_id for _ in range(number))


class TestChoosers(TestCase):
    def test_every_chooser_uses_every_equal_candidate(self):
        """Guards against a chooser that never chooses some of the upstreams."""
        candidates = [Candidate(f"u{index}", 1.0, 1.0) for index in range(4)]
        for name in choosers:
            chosen = counts(name, candidates)
            self.assertEqual(4, len(chosen))
            self.assertLess(max(chosen.values()), 2 * min(chosen.values()))

    def test_every_chooser_takes_a_single_candidate(self):
        """Guards against an error when only one upstream is left."""
        for name in choosers:
            self.assertEqual({"u": 2000}, counts(name, [Candidate("u", 1.0, 0.1)]))

    def test_two_choices_avoids_the_most_loaded(self):
        """Guards against routing that ignores the load of the upstreams."""
        candidates = [Candidate(f"u{index}", float(index + 1), 1.0) for index in range(4)]
        chosen = counts("two-choices", candidates)
        self.assertEqual(0, chosen["u3"])
        self.assertLess(chosen["u0"], 1200)

    def test_low_weight_limits_the_requests_of_an_idle_upstream(self):
        """Guards against a recovered upstream that gets most requests because it is idle."""
        candidates = [Candidate("recovered", 1.0, 0.1)]
        candidates += [Candidate(f"u{index}", 50.0, 1.0) for index in range(3)]
        self.assertLess(counts("two-choices", candidates)["recovered"], 200)
