from random import Random

from gentianthread.state.latency_shift import LatencyShift
from gentianthread.state.stated_limit import StatedLimit
from gentianthread.state.target_limit import TargetLimit
from gentianthread.state.warm_up import MAX_COLD_MS, WarmUp

from ..base import TestCase

# The service and the bounds of the known deployment.
DURATION_MS, PER_S, OVERAGE, SLACK = 3_000.0, 6.0, 1.5, 8.0
BOUND = PER_S * OVERAGE + SLACK


def cold_target(now_ms=0.0):
    warm_up = WarmUp(now_ms)
    warm_up.configure(DURATION_MS, PER_S, OVERAGE, SLACK)
    return warm_up


def warm_target(now_ms=0.0):
    warm_up = cold_target(now_ms)
    warm_up.record_remaining(0.0, now_ms, warm_up.revision)
    return warm_up


def most_in_second(times_ms):
    """Return the largest number of times in any second, its end excluded."""
    return max(
        sum(start_ms <= time_ms < start_ms + 1_000 for time_ms in times_ms) for start_ms in times_ms
    )


def send_all(limit, from_ms, duration_ms, step_ms=1.0):
    """Send as much as a limit allows, and return the times."""
    steps = range(int(duration_ms / step_ms))
    return [from_ms + step * step_ms for step in steps if limit.take(from_ms + step * step_ms)]


class TestWarmUp(TestCase):
    def test_target_of_unknown_state_gets_no_more_than_the_bound_from_the_start(self):
        """Guards against a first second in which a cold target gets all waiting requests."""
        sent_ms = send_all(cold_target(), 0.0, 10_000)
        self.assertLessEqual(most_in_second(sent_ms), BOUND)
        self.assertGreaterEqual(len(sent_ms), 0.8 * BOUND * 10)

    def test_bound_holds_with_uneven_delays_between_sending_and_arrival(self):
        """Guards against a late burst that meets the next one at the target."""
        for seed in range(20):
            random = Random(seed)
            arrived_ms = [
                time_ms + random.uniform(0, 160) for time_ms in send_all(cold_target(), 0.0, 10_000)
            ]
            self.assertLessEqual(most_in_second(arrived_ms), BOUND)

    def test_bound_holds_for_small_rates(self):
        """Guards against rounding up a bound of one or two requests."""
        for per_s, bound in ((1.0, 1), (2.0, 2), (2.5, 2)):
            warm_up = WarmUp(0.0)
            warm_up.configure(DURATION_MS, per_s, 1.0, 0.0)
            sent_ms = send_all(warm_up, 0.0, 10_000)
            self.assertLessEqual(most_in_second(sent_ms), bound)
            self.assertLessEqual(8, len(sent_ms))
        warm_up = WarmUp(0.0)
        warm_up.configure(DURATION_MS, 0.1, 1.0, 0.0)
        self.assertEqual(5, len(send_all(warm_up, 0.0, 10_000)))

    def test_service_without_a_rate_is_never_limited(self):
        """Guards against a limit in deployments that know no cold targets."""
        warm_up = WarmUp(0.0)
        for per_s in (None, 0.0):
            if per_s is not None:
                warm_up.configure(DURATION_MS, per_s, OVERAGE, SLACK)
            warm_up.suspect(0.0)
            warm_up.record_remaining(DURATION_MS, 0.0)
            self.assertFalse(warm_up.is_cold(0.0))
            self.assertEqual(1_000, len(send_all(warm_up, 0.0, 1_000)))
            self.assertEqual((0.0, 0.0), (warm_up.wait_ms(50, 0.0), warm_up.utilisation(0.0)))
            self.assertEqual((0.0, 0.0), (warm_up.rate_per_s, warm_up.tokens(0.0)))

    def test_requests_to_a_warm_target_count_once_it_is_cold(self):
        """Guards against a further second of requests to a target that just became cold."""
        warm_up = warm_target()
        sent_ms = send_all(warm_up, 0.0, 1_000, step_ms=10)
        self.assertEqual(100, len(sent_ms))
        warm_up.record_remaining(DURATION_MS, 1_000.0)
        self.assertTrue(warm_up.is_cold(1_000.0))
        self.assertEqual([], send_all(warm_up, 1_000.0, 800))
        self.assertLessEqual(most_in_second(send_all(warm_up, 1_800.0, 2_000)), BOUND)

    def test_requests_before_a_new_start_do_not_count(self):
        """Guards against a health check that waits for a second after a lost connection."""
        warm_up = warm_target()
        send_all(warm_up, 0.0, 1_000, step_ms=10)
        warm_up.record_connections_lost(1_000.0)
        self.assertTrue(warm_up.is_cold(1_000.0))
        self.assertLessEqual(warm_up.wait_ms(1, 1_000.0), 1_000 / warm_up.limit)

    def test_requests_to_a_cold_target_count_after_lost_connections(self):
        """Guards against a limit that starts anew with each connection that a target resets."""
        warm_up = cold_target()
        sent_ms = []
        for second in range(5):
            sent_ms += send_all(warm_up, second * 1_000.0, 1_000)
            warm_up.record_connections_lost((second + 1) * 1_000.0)
        self.assertLessEqual(most_in_second(sent_ms), BOUND)

    def test_answer_of_a_health_check_resolves_the_unknown_state(self):
        """Guards against a limit that stays on a warm target, or leaves a cold one."""
        warm_up = cold_target()
        self.assertTrue(warm_up.record_remaining(0.0, 10.0, warm_up.revision))
        self.assertFalse(warm_up.is_cold(10.0))
        warm_up.suspect(20.0)
        self.assertTrue(warm_up.is_cold(20.0))
        self.assertTrue(warm_up.record_remaining(500.0, 30.0, warm_up.revision))
        self.assertTrue(warm_up.is_cold(529.0))
        self.assertFalse(warm_up.is_cold(530.0))

    def test_answer_from_before_a_suspicion_does_not_resolve_it(self):
        """Guards against the late answer of an earlier start that lifts the limit."""
        warm_up = cold_target()
        revision = warm_up.revision
        warm_up.suspect(5.0)
        self.assertFalse(warm_up.record_remaining(0.0, 10.0, revision))
        self.assertTrue(warm_up.is_cold(10.0))

    def test_answer_from_before_an_entry_does_not_end_the_cold_time(self):
        """Guards against a target that becomes cold during a health check and gets full load."""
        warm_up = warm_target()
        revision = warm_up.revision
        warm_up.record_remaining(2_000.0, 100.0)
        warm_up.record_remaining(0.0, 110.0, revision)
        self.assertTrue(warm_up.is_cold(2_000.0))

    def test_entry_without_remaining_time_does_not_resolve_the_unknown_state(self):
        """Guards against an old entry that lifts the limit of a target that started again."""
        warm_up = cold_target()
        self.assertFalse(warm_up.record_remaining(0.0, 10.0))
        self.assertTrue(warm_up.is_cold(10.0))

    def test_older_entry_does_not_shorten_the_cold_time(self):
        """Guards against an entry from before the target became cold once more."""
        warm_up = warm_target()
        warm_up.record_remaining(3_000.0, 0.0)
        warm_up.record_remaining(100.0, 10.0)
        self.assertTrue(warm_up.is_cold(2_900.0))

    def test_damaged_remaining_time_is_bounded(self):
        """Guards against a limit for years after one damaged answer."""
        warm_up = cold_target()
        warm_up.record_remaining(1e15, 0.0, warm_up.revision)
        self.assertFalse(warm_up.is_cold(MAX_COLD_MS))

    def test_wait_is_the_time_until_the_request_can_be_sent(self):
        """Guards against requests that wait in vain, or are refused although they would be sent."""
        warm_up = cold_target()
        send_all(warm_up, 0.0, 700)
        expected_ms = [700.0 + warm_up.wait_ms(position, 700.0) for position in range(1, 40)]
        sent_ms = send_all(warm_up, 700.0, 5_000, step_ms=0.5)[:39]
        for expected, sent in zip(expected_ms, sent_ms, strict=True):
            self.assertLess(abs(expected - sent), 1_000 / warm_up.limit)

    def test_wait_ends_with_the_known_cold_time(self):
        """Guards against requests that are refused just before the target is warm."""
        warm_up = cold_target()
        warm_up.record_remaining(300.0, 0.0, warm_up.revision)
        self.assertEqual(300.0, warm_up.wait_ms(50, 0.0))

    def test_changed_bound_keeps_state_and_count(self):
        """Guards against a new configuration that allows one more burst."""
        warm_up = cold_target()
        sent_ms = send_all(warm_up, 0.0, 900)
        warm_up.configure(DURATION_MS, PER_S, OVERAGE, 4.0)
        sent_ms += send_all(warm_up, 900.0, 2_000)
        self.assertLessEqual(most_in_second(sent_ms), BOUND)
        self.assertLessEqual(most_in_second([time for time in sent_ms if time > 1_000]), 13)
        warm_up.record_remaining(0.0, 3_000.0, warm_up.revision)
        warm_up.configure(DURATION_MS, PER_S, OVERAGE, SLACK)
        self.assertFalse(warm_up.is_cold(3_000.0))

    def test_returned_request_makes_room_only_once_the_later_ones_are_old(self):
        """Guards against a place that is used again while the requests after it still count."""
        warm_up = cold_target()
        sent_ms = send_all(warm_up, 0.0, 1_000)
        warm_up.put_back()
        sent_ms += send_all(warm_up, 1_000.0, 1_000)
        self.assertLessEqual(most_in_second(sent_ms), BOUND)

    def test_utilisation_is_the_used_part_of_the_limit(self):
        """Guards against an overload level that refuses callers of a cold target with room."""
        warm_up = cold_target()
        self.assertEqual(0.0, warm_up.utilisation(0.0))
        send_all(warm_up, 0.0, 5_000)
        self.assertLess(0.9, warm_up.utilisation(5_000.0))
        for time_ms in range(6_000, 8_000, 143):
            warm_up.take(float(time_ms))
        self.assertAlmostEqual(0.5, warm_up.utilisation(8_000.0), delta=0.1)


class TestTargetLimit(TestCase):
    def test_both_limits_hold(self):
        """Guards against a cold target that also names a limit and gets more than one allows."""
        for stated_per_s, most in ((4.0, 5), (100.0, BOUND)):
            limit = TargetLimit(StatedLimit(0.0), cold_target())
            limit.stated.change(stated_per_s, 0.0)
            sent_ms = send_all(limit, 0.0, 5_000)
            self.assertLessEqual(most_in_second(sent_ms), most)
            self.assertEqual(min(stated_per_s, 14.0), limit.rate_per_s(5_000.0))
            self.assertLess(limit.tokens(5_000.0), 1.01)
            self.assertLess(0.0, limit.wait_ms(2, 5_000.0))

    def test_request_that_one_limit_refuses_does_not_count_at_the_other(self):
        """Guards against a stated limit that is used up by requests that were not sent."""
        limit = TargetLimit(StatedLimit(0.0), cold_target())
        limit.stated.change(10.0, 0.0)
        self.assertTrue(limit.take(300.0))
        tokens = limit.stated.tokens(300.0)
        self.assertFalse(limit.take(300.0))
        self.assertEqual(tokens, limit.stated.tokens(300.0))

    def test_warm_target_has_only_the_limit_that_it_names(self):
        """Guards against a report that names the limit of a cold target for a warm one."""
        limit = TargetLimit(StatedLimit(0.0), warm_target())
        self.assertEqual((0.0, 0.0), (limit.rate_per_s(0.0), limit.tokens(0.0)))
        limit.stated.change(50.0, 0.0)
        self.assertEqual(50.0, limit.rate_per_s(0.0))


class TestLatencyShift(TestCase):
    def test_lasting_rise_is_noticed_within_a_few_requests(self):
        """Guards against a target that becomes cold without notice and gets full load."""
        shift = LatencyShift()
        for _ in range(200):
            shift.record(20.0)
        self.assertFalse(shift.has_doubled())
        count = 0
        while not shift.has_doubled():
            shift.record(60.0)
            count += 1
        self.assertLessEqual(count, 15)

    def test_usual_variation_is_not_taken_for_a_rise(self):
        """Guards against health checks that cost slots of a target whose work varies."""
        random, shift, doubled = Random(1), LatencyShift(), 0
        for _ in range(20_000):
            shift.record(random.expovariate(1 / 20))
            doubled += shift.has_doubled()
        self.assertLess(doubled, 20)
