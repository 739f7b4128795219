"""Pattern: hundreds of nodes follow one store that charges for every call."""

from gentianthread.state.feed_plan import (
    EARLY_CALLS,
    EARLY_TURNS,
    WATCHED_ZONES,
    plan_feeds,
)

from ..base import TestCase


def fleet(nodes, zones):
    """Return the addresses of a fleet by zone."""
    hosts = {f"zone-{zone}": set() for zone in range(zones)}
    for node in range(nodes):
        hosts[f"zone-{node % zones}"].add(f"10.{node % zones}.0.{node}")
    return hosts


class TestFeedPlan(TestCase):
    def test_number_of_watchers_does_not_grow_with_the_fleet(self):
        """Guards against store calls that grow with the number of nodes or zones."""
        for nodes, zones in ((30, 6), (195, 6), (675, 8)):
            hosts = fleet(nodes, zones)
            plans = [plan_feeds(host, zone, hosts) for zone in hosts for host in hosts[zone]]
            self.assertEqual(WATCHED_ZONES, sum(plan.watching for plan in plans))

    def test_changes_reach_every_node_over_at_most_one_other(self):
        """Guards against nodes whose sources do not lead to a watcher."""
        hosts = fleet(195, 6)
        plans = {host: plan_feeds(host, zone, hosts) for zone in hosts for host in hosts[zone]}
        for host, plan in plans.items():
            if plan.watching:
                continue
            first = plans[plan.sources[0]]
            self.assertTrue(first.watching or plans[first.sources[0]].watching, host)

    def test_a_zone_receives_changes_of_another_zone_once(self):
        """Guards against costly traffic between zones that grows with the zones' nodes."""
        hosts = fleet(195, 6)
        zone_of = {host: zone for zone in hosts for host in hosts[zone]}
        crossing = [
            host
            for zone in hosts
            for host in hosts[zone]
            if not plan_feeds(host, zone, hosts).watching
            and zone_of[plan_feeds(host, zone, hosts).sources[0]] != zone
        ]
        self.assertEqual(6 - WATCHED_ZONES, len(crossing))

    def test_calls_without_a_feed_do_not_grow_with_the_zone(self):
        """Guards against a store outage in which all nodes call the store in a tight loop."""
        for size in (5, 32, 112):
            hosts = fleet(size, 1)
            plans = [plan_feeds(host, "zone-0", hosts) for host in hosts["zone-0"]]
            calls_per_s = sum(1_000 / plan.next_call_delay_ms(0.5) for plan in plans)
            self.assertLess(calls_per_s, 4)
            first = sorted(plan.first_call_delay_ms() for plan in plans)
            self.assertLessEqual(sum(delay_ms < 1_000 for delay_ms in first), 6)

    def test_early_calls_do_not_grow_with_the_zone(self):
        """Guards against a zone that calls a silent store as often as it has nodes."""
        for size in (7, 33, 112):
            hosts = fleet(size, 1)
            plan = plan_feeds(min(hosts["zone-0"]), "zone-0", hosts)
            turns = range(1, EARLY_TURNS + 1)
            expected = sum(size * plan.early_call_probability(turn) for turn in turns)
            self.assertLessEqual(expected, EARLY_CALLS * (2**EARLY_TURNS - 1))

    def test_early_calls_do_not_depend_on_the_nodes_that_are_lost(self):
        """Guards against a take-over that waits for each lost node that is next in line."""
        hosts = fleet(33, 1)
        plans = [plan_feeds(host, "zone-0", hosts) for host in hosts["zone-0"]]
        for turn in range(1, EARLY_TURNS + 1):
            self.assertEqual(1, len({plan.early_call_probability(turn) for plan in plans}))

    def test_node_of_an_unlisted_zone_follows_the_watchers(self):
        """Guards against a starting node that watches because its zone is not listed yet."""
        plan = plan_feeds("10.9.0.1", "zone-9", fleet(30, 6))
        self.assertFalse(plan.watching)
        self.assertEqual(WATCHED_ZONES, len(plan.sources))

    def test_single_node_watches(self):
        """Guards against a fleet of one node that follows nobody."""
        plan = plan_feeds("10.0.0.0", "zone-0", fleet(1, 1))
        self.assertTrue(plan.watching)
        self.assertEqual((), plan.sources)
