import asyncio
import random

from gentianthread.clock import LoopClock
from gentianthread.coordination.peer_network import PathConditions
from gentianthread.errors import RateExceeded
from gentianthread.ids import OrganisationId, UpstreamId

from ..base import VirtualTimeTestCase
from .quota_fleet import ORGANISATION, QuotaFleet, QuotaNode, excess, quota_plan

RATE_PER_S, BURST = 100.0, 50.0
ZONES = {"a": 3, "b": 2}
# Covers the announcement, the expiry of leases of previous processes and the first polls.
STARTUP_MS = 8_000.0


class QuotaTestCase(VirtualTimeTestCase):
    loop_options = {"start": 0, "noop_cycles": 0}

    async def start_fleet(self, zones=None, **options) -> QuotaFleet:
        rates = {ORGANISATION: (RATE_PER_S, BURST)}
        fleet = QuotaFleet(quota_plan(zones or ZONES, organisations=rates), **options)
        fleet.start()
        await LoopClock().sleep_ms(STARTUP_MS)
        return fleet

    async def send_overload(self, fleet: QuotaFleet, duration_ms: float, nodes=None) -> int:
        """Overload the fleet for a while and return how many requests were admitted."""
        before = len(fleet.admitted[ORGANISATION])
        until_ms = LoopClock().now_ms() + duration_ms
        await fleet.send_overload(until_ms, random.Random(1), 5.0, nodes)
        return len(fleet.admitted[ORGANISATION]) - before

    def assert_within_limits(self, fleet: QuotaFleet) -> None:
        times = fleet.admitted[ORGANISATION]
        self.assertLessEqual(excess(times, RATE_PER_S, BURST), 1e-6)

    def fleet_holder(self, fleet: QuotaFleet) -> QuotaNode:
        (holder,) = [
            node
            for node in fleet.nodes
            if node.alive and ORGANISATION in node.quota.fleet_holder.led_organisations
        ]
        return holder


class TestEscrowQuota(QuotaTestCase):
    async def test_whole_burst_is_available_at_one_node(self):
        """Guards against nodes that can use only their own part of the burst."""
        fleet = await self.start_fleet()
        node = fleet.nodes[0]
        results = await asyncio.gather(
            *[fleet.acquire(node, ORGANISATION, 200.0) for _ in range(int(0.9 * BURST))]
        )
        self.assertTrue(all(results))
        await fleet.close()

    async def test_sustained_overload_gets_the_rate(self):
        """Guards against tokens that are lost between the holders in normal operation."""
        fleet = await self.start_fleet()
        admitted = await self.send_overload(fleet, 20_000.0)
        self.assert_within_limits(fleet)
        self.assertGreater(admitted, 0.9 * RATE_PER_S * 20)
        await fleet.close()

    async def test_refusal_gives_a_retry_delay(self):
        """Guards against refusals without a delay, after which callers would retry at once."""
        fleet = await self.start_fleet()
        await self.send_overload(fleet, 2_000.0)
        with self.assertRaisesType(RateExceeded) as caught:
            for _ in range(200):
                await fleet.nodes[0].quota.acquire(ORGANISATION, 1.0)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        await fleet.close()

    async def test_unknown_organisation_is_refused(self):
        """Guards against unlimited requests of an organisation without a declared rate."""
        fleet = await self.start_fleet()
        with self.assertRaisesType(RateExceeded):
            await fleet.nodes[0].quota.acquire(OrganisationId("nobody"), 10.0)
        await fleet.close()


class TestPauses(QuotaTestCase):
    async def test_paused_holder_resumes_without_tokens(self):
        """Guards against a resumed holder that spends tokens which its successor grants as well."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.pause()
        await LoopClock().sleep_ms(600.0)
        fleet.refresh_views()
        await self.send_overload(fleet, 9_000.0)
        holder.resume()
        self.assertEqual(0, holder.quota.stock.amount(ORGANISATION))
        attempts = [fleet.acquire(holder, ORGANISATION, 1.0) for _ in range(20)]
        self.assertFalse(any(await asyncio.gather(*attempts)))
        self.assertEqual(0.0, holder.quota.fleet_holder.pools[ORGANISATION].bucket.level)
        fleet.refresh_views()
        await self.send_overload(fleet, 5_000.0)
        self.assert_within_limits(fleet)
        await fleet.close()

    async def test_watchdog_can_drop_everything(self):
        """Guards against tokens and delegations that survive a pause only the watchdog noticed."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.quota.expire_all()
        pool = holder.quota.fleet_holder.pools[ORGANISATION]
        self.assertEqual((0.0, 0), (pool.bucket.level, len(pool.shares)))
        await fleet.close()


class TestFailures(QuotaTestCase):
    async def test_two_holders_divide_the_fractions(self):
        """Guards against two holders that both use the whole rate."""
        fleet = await self.start_fleet({"a": 4})
        first = {UpstreamId("a-0"), UpstreamId("a-1")}
        fleet.fabric.cut(first, {UpstreamId("a-2"), UpstreamId("a-3")})
        fleet.refresh_views()
        await self.send_overload(fleet, 12_000.0)
        leading = [
            node
            for node in fleet.nodes
            if ORGANISATION in node.quota.fleet_holder.led_organisations
        ]
        self.assertEqual(2, len(leading))
        fleet.fabric.heal()
        fleet.refresh_views()
        await self.send_overload(fleet, 8_000.0)
        self.fleet_holder(fleet)
        self.assert_within_limits(fleet)
        await fleet.close()

    async def test_lost_and_doubled_messages_create_nothing(self):
        """Guards against grants that count twice, and a quota that stops under message loss."""
        fleet = await self.start_fleet()
        fleet.fabric.default_conditions = PathConditions(
            delay_ms=1.0, jitter_ms=30.0, loss=0.15, duplication=0.5
        )
        admitted = await self.send_overload(fleet, 20_000.0)
        self.assert_within_limits(fleet)
        self.assertGreater(admitted, 0.5 * RATE_PER_S * 20)
        await fleet.close()

    async def test_replaced_process_that_still_runs_uses_nothing(self):
        """Guards against a replaced process that stays zone holder while its replacement runs."""
        fleet = await self.start_fleet({"a": 3})
        holder = self.fleet_holder(fleet)
        fleet.add(holder.identity.upstream_id)
        fleet.refresh_views()
        await self.send_overload(fleet, 15_000.0)
        self.assert_within_limits(fleet)
        self.assertTrue(holder.quota.context.superseded)
        self.assertFalse(holder.quota.zone_holder.active)
        await fleet.close()

    async def test_zone_that_is_cut_off_uses_its_own_fraction(self):
        """Guards against a partitioned zone that refuses everything or uses the whole rate."""
        fleet = await self.start_fleet()
        inside = fleet.upstreams_of_zone("a")
        fleet.fabric.cut(inside, fleet.upstreams_of_zone("b"))
        fleet.refresh_views()
        await self.send_overload(fleet, 8_000.0)
        nodes = [node for node in fleet.nodes if node.identity.upstream_id in inside]
        admitted = await self.send_overload(fleet, 10_000.0, lambda: nodes)
        self.assert_within_limits(fleet)
        self.assertGreater(admitted, 0.85 * 0.6 * RATE_PER_S * 10)
        self.assertLess(admitted, 0.6 * (RATE_PER_S * 10 + BURST) + 1)
        await fleet.close()

    async def test_lost_holder_is_succeeded(self):
        """Guards against an organisation that gets no tokens after its fleet holder failed."""
        fleet = await self.start_fleet()
        await fleet.kill(self.fleet_holder(fleet))
        await LoopClock().sleep_ms(1_000.0)
        fleet.refresh_views()
        await self.send_overload(fleet, 7_000.0)
        admitted = await self.send_overload(fleet, 10_000.0)
        self.assert_within_limits(fleet)
        self.assertGreater(admitted, 0.7 * RATE_PER_S * 10)
        await fleet.close()

    async def test_planned_stop_hands_over_quickly(self):
        """Guards against a planned stop after which tokens are missing until delegations expire."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.quota.zone_holder.leaving = True
        await holder.quota.leave()
        await fleet.kill(holder)
        fleet.refresh_views()
        await LoopClock().sleep_ms(2_500.0)
        admitted = await self.send_overload(fleet, 3_000.0)
        self.assert_within_limits(fleet)
        self.assertGreater(admitted, 0.6 * RATE_PER_S * 3)
        await fleet.close()

    async def test_planned_stop_keeps_the_bucket_level(self):
        """Guards against a planned stop that empties the bucket of an organisation."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.quota.zone_holder.leaving = True
        await holder.quota.leave()
        successor = self.fleet_holder(fleet)
        self.assertNotEqual(holder.identity.upstream_id, successor.identity.upstream_id)
        remaining_fraction = 1 - len(fleet.upstreams_of_zone(holder.identity.availability_zone)) / 5
        pool = successor.quota.fleet_holder.pools[ORGANISATION]
        self.assertGreater(pool.bucket.level, 0.9 * remaining_fraction * BURST)
        await self.send_overload(fleet, 5_000.0)
        self.assert_within_limits(fleet)
        await fleet.close()


class TestPlanChanges(QuotaTestCase):
    async def change_fractions(self, fleet: QuotaFleet, left_out: set[str]) -> None:
        fractions = {"a-0": 0.1, "a-1": 0.1, "a-2": 0.1, "b-0": 0.35, "b-1": 0.35}
        rates = {ORGANISATION: (RATE_PER_S, BURST)}
        fleet.plan = quota_plan(ZONES, 2, rates, fractions)
        for node in fleet.nodes:
            if node.identity.upstream_id not in left_out:
                fleet.deliver_plan(node, fleet.plan)
        await LoopClock().sleep_ms(1.0)

    def usable_fraction(self, fleet: QuotaFleet, name: str) -> float:
        return fleet.newest_nodes[UpstreamId(name)].quota.context.fraction_history.usable_fraction()

    async def test_increase_follows_when_the_decrease_is_in_force(self):
        """Guards against a larger fraction that never takes effect."""
        fleet = await self.start_fleet()
        await self.change_fractions(fleet, set())
        self.assertEqual(0.2, self.usable_fraction(fleet, "b-0"))
        self.assertEqual(0.1, self.usable_fraction(fleet, "a-0"))
        await self.send_overload(fleet, 9_000.0)
        self.assertEqual(0.35, self.usable_fraction(fleet, "b-0"))
        self.assert_within_limits(fleet)
        await fleet.close()

    async def test_increase_waits_for_a_member_that_is_cut_off(self):
        """Guards against an increase while a partitioned zone still uses the old plan."""
        fleet = await self.start_fleet()
        fleet.fabric.cut(fleet.upstreams_of_zone("a"), fleet.upstreams_of_zone("b"))
        fleet.refresh_views()
        await self.change_fractions(fleet, set(fleet.upstreams_of_zone("a")))
        await self.send_overload(fleet, 30_000.0)
        self.assertEqual(0.2, self.usable_fraction(fleet, "b-0"))
        self.assert_within_limits(fleet)
        fleet.fabric.heal()
        for node in fleet.nodes:
            fleet.deliver_plan(node, fleet.plan)
        fleet.refresh_views()
        await self.send_overload(fleet, 12_000.0)
        self.assertEqual(0.35, self.usable_fraction(fleet, "b-0"))
        self.assert_within_limits(fleet)
        await fleet.close()
