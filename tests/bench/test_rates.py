from hypothesis import given, settings
from hypothesis import strategies as st

from bench.faults.rates import worst_excess

from ..base import TestCase

TICKS = st.integers(0, 60)


def by_trial(windows, rate_per_s):
    """Return the largest excess by trying every interval."""
    starts = {start for start, _ in windows}
    ends = {end for _, end in windows}
    return max(
        sum(start <= first and last <= end for first, last in windows) - rate_per_s * (end - start)
        for start in starts
        for end in ends
        if end >= start and any(start <= first and last <= end for first, last in windows)
    )


class TestWorstExcess(TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(TICKS, TICKS), min_size=1, max_size=25),
        st.sampled_from([0.25, 1.0, 3.0]),
    )
    def test_every_interval_is_considered(self, drawn, rate_per_s):
        """Guards against a check of P6 that overlooks the interval with the excess."""
        windows = [(float(start), float(start + length)) for start, length in drawn]
        excess, (start, end, number) = worst_excess(windows, rate_per_s)
        self.assertAlmostEqual(by_trial(windows, rate_per_s), excess)
        self.assertAlmostEqual(excess, number - rate_per_s * (end - start))
