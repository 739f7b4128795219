"""Test the shared rate with simulated nodes that report periodically to a counter."""

from random import Random

from gentianthread.ids import OrganisationId
from gentianthread.state.fleet_rate import (
    FleetCounter,
    LimitChanges,
    NodeRates,
    RateAnswer,
    RateState,
    Usage,
)

from ..base import TestCase

ACME = OrganisationId("acme")

# Seeds over which a test adds up requests that pass or not at random.
SEEDS = range(1, 13)


class RateModel:
    """Simulate nodes that get requests and report to a counter in every period."""

    def __init__(self, nodes, rate_per_s, burst, period_ms=200, seed=1, partitions=1):
        self.random = Random(seed)
        self.rates = [NodeRates(Random(seed + index)) for index in range(nodes)]
        self.counters = [FleetCounter(0.0) for _ in range(partitions)]
        self.rate_per_s, self.burst, self.period_ms = rate_per_s, burst, period_ms
        self.nodes = nodes
        self.down_nodes = 0
        # Nodes that have not reported to the present counter.
        self.new_to_counter = set()
        self.admitted = []
        self.asked = 0

    def run(self, from_ms, to_ms, demand_per_s, nodes=None, callers_at=None):
        """Send requests at random times to random nodes, or only to the first ones."""
        live_nodes = self.nodes - self.down_nodes if nodes is None else nodes
        callers_at = live_nodes if callers_at is None else callers_at
        for now_ms in range(from_ms, to_ms):
            for index in range(live_nodes):
                if (now_ms + index * 7) % self.period_ms == 0:
                    self.report(index, now_ms)
            while self.random.random() < demand_per_s / 1_000 / (1 + demand_per_s / 1_000):
                self.asked += 1
                index = int(self.random.random() * callers_at)
                if self.rates[index].take(ACME, self.rate_per_s, self.burst, self.nodes, now_ms):
                    self.admitted.append(now_ms)

    def report(self, index, now_ms):
        counter = self.counters[index % len(self.counters)]
        limits = {ACME: (self.rate_per_s, self.burst)}
        if index in self.new_to_counter:
            self.new_to_counter.remove(index)
            known_tokens = self.rates[index].known_tokens(limits, now_ms)
            counter.merge_known_tokens(known_tokens, limits, self.nodes, now_ms)
        usage = self.rates[index].take_usage()
        answer = counter.report(str(index), usage, limits, self.nodes, now_ms)
        self.rates[index].apply_answer(answer, now_ms)

    def restart(self, now_ms, fraction):
        """Start the counter and a fraction of the nodes again, which report soon after it."""
        self.counters = [FleetCounter(now_ms) for _ in self.counters]
        self.new_to_counter = set(range(self.nodes))
        for index in self.random.sample(range(self.nodes), round(fraction * self.nodes)):
            self.rates[index] = NodeRates(Random(now_ms + index))

    def most_admitted_in(self, window_ms):
        """Return the largest number of admitted requests in any window."""
        start, most = 0, 0
        for end, at_ms in enumerate(self.admitted):
            while self.admitted[start] <= at_ms - window_ms:
                start += 1
            most = max(most, end - start + 1)
        return most


class TestLimitChanges(TestCase):
    def test_lowered_limit_is_delayed_and_raised_one_is_not(self):
        """Guards against refusals by a limit that other nodes have not received yet.

        Because of such refusals, only 0.90 of the credit was given in the 2 s after a limit was
        lowered.
        """
        limits = LimitChanges()
        self.assertEqual((72, 72), limits.limit(ACME, (72, 72), 0.0))
        self.assertEqual((72, 72), limits.limit(ACME, (20, 20), 10.0))
        self.assertEqual((72, 72), limits.limit(ACME, (20, 20), 1_500.0))
        self.assertEqual((20, 20), limits.limit(ACME, (20, 20), 1_511.0))
        self.assertEqual((90, 90), limits.limit(ACME, (90, 90), 1_600.0))
        limits.limit(ACME, (20, 20), 2_000.0)
        self.assertEqual((95, 95), limits.limit(ACME, (95, 95), 2_100.0))


class TestFleetRate(TestCase):
    def allowed(self, model, window_s=5.0):
        return (model.rate_per_s * window_s + model.burst) * 1.25 + 20

    def test_demand_inside_the_rate_is_not_refused(self):
        """Guards against refusing requests of an organisation that stays within its rate."""
        for rate, burst, demand in ((72, 72, 45), (8, 8, 5), (300, 300, 190)):
            models = [RateModel(17, rate, burst, seed=seed) for seed in SEEDS]
            for model in models:
                model.run(0, 30_000, demand)
            asked = sum(model.asked for model in models)
            refused = asked - sum(len(model.admitted) for model in models)
            self.assertLessEqual(refused, 0.005 * asked, (rate, refused, asked))

    def test_organisation_with_a_high_demand_is_limited_to_its_rate(self):
        """Guards against an organisation that gets more than 25% over its rate."""
        for rate, burst in ((72, 72), (8, 8), (300, 300)):
            model = RateModel(17, rate, burst)
            model.run(0, 5_000, 0.6 * rate)
            model.run(5_000, 15_000, 8 * 0.6 * rate)
            self.assertLessEqual(model.most_admitted_in(5_000), self.allowed(model), rate)
            self.assertGreater(len(model.admitted), 0.9 * 10 * rate)

    def test_requests_that_can_meet_their_objective_get_the_tokens(self):
        """Guards against using the tokens for requests that miss their latency objective.

        This happens when an organisation sends many times its rate and its callers retry.
        """
        rates = NodeRates(Random(1))
        counter = FleetCounter(0.0)
        passed = {False: 0, True: 0}
        for now_ms in range(10_000):
            if now_ms % 200 == 0:
                answer = counter.report("a", rates.take_usage(), {ACME: (20, 20)}, 1, now_ms)
                rates.apply_answer(answer, now_ms)
            if now_ms % 5 == 0:
                objective_missed = now_ms % 10 == 0
                passed[objective_missed] += rates.take(
                    ACME, 20, 20, 1, now_ms, objective_missed=objective_missed
                )
        self.assertGreater(passed[False], 0.85 * 220)
        self.assertLess(passed[True], 0.15 * 220)

    def test_return_time_follows_the_excess(self):
        """Guards against immediate retries of callers while the demand is far over the rate."""
        rates = NodeRates(Random(1))
        rates.apply_answer(RateAnswer(1.0, {ACME: RateState(-5.0, 60.0)}), 0.0)
        self.assertEqual(2_000.0, rates.catch_up_ms(ACME, 20.0))
        self.assertEqual(0.0, rates.catch_up_ms(ACME, 80.0))

    def test_lowered_limit_is_given_out_in_full(self):
        """Guards against refusals under a new limit for requests admitted under the old one.

        Because of such refusals, only 0.90 of the credit was given in the two seconds after the
        change.
        """
        admitted = 0
        for seed in SEEDS:
            model = RateModel(17, 200, 200, seed=seed)
            model.run(0, 6_000, 150)
            model.rate_per_s = model.burst = 50
            before = len(model.admitted)
            model.run(6_000, 8_000, 150)
            admitted += len(model.admitted) - before
        self.assertGreaterEqual(admitted / len(SEEDS), 0.95 * (50 * 2 + 50))

    def test_rate_is_given_out_while_demand_is_far_over_it(self):
        """Guards against admitting less than the rate when the demand is higher."""
        model = RateModel(17, 50, 50)
        model.run(0, 6_000, 150)
        before = len(model.admitted)
        model.run(6_000, 12_000, 150)
        self.assertGreaterEqual(len(model.admitted) - before, 0.95 * 50 * 6)

    def test_divided_fleet_stays_under_the_bound(self):
        """Guards against admitting the whole rate on each side of a network partition."""
        model = RateModel(16, 100, 100, partitions=2)
        model.run(0, 20_000, 600)
        self.assertLessEqual(model.most_admitted_in(5_000), self.allowed(model))

    def test_lost_tenth_of_nodes_refuses_little(self):
        """Guards against refusals within the rate while a tenth of the nodes is down."""
        model = RateModel(20, 100, 100)
        model.run(0, 5_000, 65)
        model.down_nodes = 2
        before = model.asked - len(model.admitted)
        asked = model.asked
        model.run(5_000, 20_000, 65)
        refused = model.asked - len(model.admitted) - before
        self.assertLessEqual(refused, 0.03 * (model.asked - asked))

    def test_nodes_without_a_counter_admit_their_share(self):
        """Guards against unlimited requests while no node counts."""
        model = RateModel(17, 72, 72, period_ms=10**9)
        model.run(1, 20_000, 500)
        self.assertLessEqual(model.most_admitted_in(5_000), self.allowed(model))

    def test_debt_beyond_a_second_of_the_rate_is_paid_back(self):
        """Guards against an excess that the counting node forgets while its window still lasts."""
        counter = FleetCounter(0.0)
        usage = {ACME: Usage(200, 200)}
        answer = counter.report("a", usage, {ACME: (50.0, 50.0)}, 1, 0.0)
        self.assertEqual(-150.0, answer.states[ACME].tokens)

    def test_answer_covers_only_the_report_that_it_answers(self):
        """Guards against an excess where answers come later than the next report is due."""
        rates = NodeRates(Random(1))
        counter = FleetCounter(0.0)
        # So small a rate that the tokens do not grow.
        rate_per_s = 0.001
        limits = {ACME: (rate_per_s, 20.0)}
        rates.apply_answer(counter.report("a", {ACME: Usage(0, 0)}, limits, 1, 0.0), 0.0)
        passed = sum(rates.take(ACME, rate_per_s, 20, 1, 0.0) for _ in range(6))
        usage = rates.take_usage()
        passed += sum(rates.take(ACME, rate_per_s, 20, 1, 0.0) for _ in range(12))
        rates.take_usage()
        rates.apply_answer(counter.report("a", usage, limits, 1, 0.0), 0.0)
        passed += sum(rates.take(ACME, rate_per_s, 20, 1, 0.0) for _ in range(12))
        self.assertLessEqual(passed, 20)

    def test_usage_that_was_put_back_is_reported_again(self):
        """Guards against requests that nobody counts as their report was lost with a link."""
        rates = NodeRates(Random(1))
        rates.apply_answer(RateAnswer(1.0, {}), 0.0)
        for _ in range(3):
            rates.take(ACME, 100, 100, 1, 0.0)
            rates.take_usage()
        rates.put_back_unanswered()
        self.assertEqual({ACME: Usage(3, 3)}, rates.take_usage())


class TestLateAnswers(TestCase):
    """Pattern: an organisation rises to 7.5 times its rate, spread over 82 nodes."""

    def check_bound(self, rate, *, period_ms=200, restarts_ms=()):
        model = RateModel(82, rate, rate, period_ms=400)
        model.run(0, 3_000, 0.6 * rate)
        model.period_ms = period_ms
        now_ms = 3_000
        for restart_ms in (*restarts_ms, 12_000):
            model.run(now_ms, restart_ms, 7.5 * rate)
            now_ms = restart_ms
            if now_ms < 12_000:
                model.restart(now_ms, 0.55)
        allowed = (rate * 5 + rate) * 1.25 + 20
        self.assertLessEqual(model.most_admitted_in(5_000), allowed, rate)

    def test_answers_that_come_late_do_not_add_up_to_an_excess(self):
        """Guards against an excess of all nodes together while busy processes answer late.

        With answers every 800 ms, 628 to 761 requests ran in 5 s at a rate of 60, 470 being
        allowed.
        """
        for rate in (8, 60, 150):
            for period_ms in (600, 800):
                self.check_bound(rate, period_ms=period_ms)

    def test_restarts_of_the_counting_node_do_not_fill_the_bucket_again(self):
        """Guards against an excess with each restart of the counting node and of many others.

        With six restarts within a window, 731 to 785 requests ran at a rate of 60.
        """
        for rate in (8, 30, 60, 150):
            self.check_bound(rate, restarts_ms=tuple(range(4_000, 8_200, 700)))

    def test_organisation_with_its_callers_at_few_nodes_is_served(self):
        """Guards against refusals within the rate where a few nodes get all requests.

        With equal parts of the excess for all nodes, 82% of the requests at one of 195 nodes were
        refused.
        """
        for nodes, rate, callers_at in ((17, 40, 1), (82, 200, 1), (195, 200, 1), (195, 200, 3)):
            # Nodes that have used up what an answer allows report after 100 ms.
            model = RateModel(nodes, rate, rate, period_ms=100)
            model.run(0, 8_000, 0.62 * rate, callers_at=callers_at)
            asked, admitted = model.asked, len(model.admitted)
            model.run(8_000, 20_000, 0.62 * rate, callers_at=callers_at)
            asked, admitted = model.asked - asked, len(model.admitted) - admitted
            self.assertLessEqual(asked - admitted, 0.05 * asked, (nodes, callers_at))

    def test_organisation_within_its_rate_is_served(self):
        """Guards against refusals within the rate by a bound for each node that is too tight."""
        for rate in (8, 30, 60, 300):
            models = [RateModel(82, rate, rate, period_ms=400, seed=seed) for seed in (1, 2, 3)]
            for model in models:
                model.run(0, 20_000, 0.62 * rate)
            asked = sum(model.asked for model in models)
            refused = asked - sum(len(model.admitted) for model in models)
            self.assertLessEqual(refused, 0.01 * asked, (rate, refused, asked))


class TestManyOrganisations(TestCase):
    """Pattern: 140 organisations on hundreds of nodes, a few of them over their rates."""

    NAMES = [OrganisationId(f"organisation-{number}") for number in range(140)]

    def test_answer_holds_only_organisations_near_their_rates(self):
        """Guards against answers that carry every organisation to every node.

        With 140 organisations, 195 nodes and five reports a second from each, the counting node had
        to write 136,000 rows a second.
        """
        counter = FleetCounter(0.0)
        limits = {name: (40.0, 40.0) for name in self.NAMES}
        for now_ms in range(0, 4_000, 100):
            usage = {name: Usage(2, 2) for name in self.NAMES[3:]}
            usage |= {name: Usage(6, 30) for name in self.NAMES[:3]}
            answer = counter.report("a", usage, limits, 1, now_ms)
        self.assertEqual(set(self.NAMES[:3]), set(answer.states))

    def test_organisation_that_few_nodes_see_is_not_refused(self):
        """Guards against refusals within the rate at nodes that see an organisation rarely."""
        model = RateModel(195, 8, 8, period_ms=400)
        model.run(0, 20_000, 4)
        self.assertLessEqual(model.asked - len(model.admitted), 0.01 * model.asked)

    def test_organisation_spread_over_all_nodes_is_limited(self):
        """Guards against an excess at each of many nodes whose answers do not list it yet."""
        for rate in (8, 72, 300):
            model = RateModel(195, rate, rate, period_ms=400)
            model.run(0, 3_000, 0.6 * rate)
            model.run(3_000, 12_000, 7.5 * 0.6 * rate)
            allowed = (rate * 5 + rate) * 1.25 + 20
            self.assertLessEqual(model.most_admitted_in(5_000), allowed, rate)
