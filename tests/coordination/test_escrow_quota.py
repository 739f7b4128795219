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
# Introduction, waiting out a predecessor and the first polls.
SETTLED_MS = 8_000.0


class QuotaTestCase(VirtualTimeTestCase):
    loop_options = {"start": 0, "noop_cycles": 0}

    async def start_fleet(self, zones=None, **options) -> QuotaFleet:
        rates = {ORGANISATION: (RATE_PER_S, BURST)}
        fleet = QuotaFleet(quota_plan(zones or ZONES, organisations=rates), **options)
        fleet.start()
        await LoopClock().sleep_ms(SETTLED_MS)
        return fleet

    async def load(self, fleet: QuotaFleet, duration_ms: float, nodes=None) -> int:
        """Send far too much for a while and return how much was admitted."""
        before = len(fleet.admitted[ORGANISATION])
        until_ms = LoopClock().now_ms() + duration_ms
        await fleet.load(until_ms, random.Random(1), 5.0, nodes)
        return len(fleet.admitted[ORGANISATION]) - before

    def check_bound(self, fleet: QuotaFleet) -> None:
        times = fleet.admitted[ORGANISATION]
        self.assertLessEqual(excess(times, RATE_PER_S, BURST), 1e-6)

    def fleet_holder(self, fleet: QuotaFleet) -> QuotaNode:
        (holder,) = [
            node
            for node in fleet.nodes
            if node.alive and ORGANISATION in node.quota.fleet_holder.led
        ]
        return holder


class TestEscrowQuota(QuotaTestCase):
    async def test_whole_burst_is_available_at_one_node(self):
        """Guards against a fleet that splits the burst between nodes."""
        fleet = await self.start_fleet()
        node = fleet.nodes[0]
        results = await asyncio.gather(
            *[fleet.take(node, ORGANISATION, 200.0) for _ in range(int(0.9 * BURST))]
        )
        self.assertTrue(all(results))
        await fleet.close()

    async def test_sustained_overload_gets_the_rate(self):
        """Guards against tokens that are lost between the holders in normal operation."""
        fleet = await self.start_fleet()
        admitted = await self.load(fleet, 20_000.0)
        self.check_bound(fleet)
        self.assertGreater(admitted, 0.9 * RATE_PER_S * 20)
        await fleet.close()

    async def test_refusal_says_when_to_come_back(self):
        """Guards against callers that retry at once."""
        fleet = await self.start_fleet()
        await self.load(fleet, 2_000.0)
        with self.assertRaisesType(RateExceeded) as caught:
            for _ in range(200):
                await fleet.nodes[0].quota.take(ORGANISATION, 1.0)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        await fleet.close()

    async def test_unknown_organisation_is_refused(self):
        """Guards against an organisation without a declared rate that runs unlimited."""
        fleet = await self.start_fleet()
        with self.assertRaisesType(RateExceeded):
            await fleet.nodes[0].quota.take(OrganisationId("nobody"), 10.0)
        await fleet.close()


class TestPauses(QuotaTestCase):
    async def test_paused_holder_wakes_without_tokens(self):
        """Guards against a holder that resumes and spends what its successor has."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.pause()
        await LoopClock().sleep_ms(600.0)
        fleet.refresh_views()
        await self.load(fleet, 9_000.0)
        holder.resume()
        self.assertEqual(0, holder.quota.stock.amount(ORGANISATION))
        quick = [fleet.take(holder, ORGANISATION, 1.0) for _ in range(20)]
        self.assertFalse(any(await asyncio.gather(*quick)))
        self.assertEqual(0.0, holder.quota.fleet_holder.pools[ORGANISATION].bucket.level)
        fleet.refresh_views()
        await self.load(fleet, 5_000.0)
        self.check_bound(fleet)
        await fleet.close()

    async def test_watchdog_can_drop_everything(self):
        """Guards against permissions that survive a pause which only the watchdog saw."""
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
        await self.load(fleet, 12_000.0)
        leading = [node for node in fleet.nodes if ORGANISATION in node.quota.fleet_holder.led]
        self.assertEqual(2, len(leading))
        fleet.fabric.heal()
        fleet.refresh_views()
        await self.load(fleet, 8_000.0)
        self.fleet_holder(fleet)
        self.check_bound(fleet)
        await fleet.close()

    async def test_lost_and_doubled_messages_create_nothing(self):
        """Guards against grants that count twice, and against a quota that stops under loss."""
        fleet = await self.start_fleet()
        fleet.fabric.default_conditions = PathConditions(
            delay_ms=1.0, jitter_ms=30.0, loss=0.15, duplication=0.5
        )
        admitted = await self.load(fleet, 20_000.0)
        self.check_bound(fleet)
        self.assertGreater(admitted, 0.5 * RATE_PER_S * 20)
        await fleet.close()

    async def test_replaced_process_that_stays_awake_uses_nothing(self):
        """Guards against an old process that is its own holder beside its successor."""
        fleet = await self.start_fleet({"a": 3})
        holder = self.fleet_holder(fleet)
        fleet.add(holder.identity.upstream_id)
        fleet.refresh_views()
        await self.load(fleet, 15_000.0)
        self.check_bound(fleet)
        self.assertTrue(holder.quota.context.superseded)
        self.assertFalse(holder.quota.zone_holder.active)
        await fleet.close()

    async def test_zone_that_is_cut_off_uses_its_own_fraction(self):
        """Guards against a cut-off zone that refuses everything or takes the whole rate."""
        fleet = await self.start_fleet()
        inside = fleet.zone("a")
        fleet.fabric.cut(inside, fleet.zone("b"))
        fleet.refresh_views()
        await self.load(fleet, 8_000.0)
        nodes = [node for node in fleet.nodes if node.identity.upstream_id in inside]
        admitted = await self.load(fleet, 10_000.0, lambda: nodes)
        self.check_bound(fleet)
        self.assertGreater(admitted, 0.85 * 0.6 * RATE_PER_S * 10)
        self.assertLess(admitted, 0.6 * (RATE_PER_S * 10 + BURST) + 1)
        await fleet.close()

    async def test_lost_holder_is_succeeded(self):
        """Guards against an organisation that stays without tokens after its holder died."""
        fleet = await self.start_fleet()
        await fleet.kill(self.fleet_holder(fleet))
        await LoopClock().sleep_ms(1_000.0)
        fleet.refresh_views()
        await self.load(fleet, 7_000.0)
        admitted = await self.load(fleet, 10_000.0)
        self.check_bound(fleet)
        self.assertGreater(admitted, 0.7 * RATE_PER_S * 10)
        await fleet.close()

    async def test_planned_stop_hands_over_quickly(self):
        """Guards against a planned restart that costs a whole delegation period."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.quota.zone_holder.leaving = True
        await holder.quota.leave()
        await fleet.kill(holder)
        fleet.refresh_views()
        await LoopClock().sleep_ms(2_500.0)
        admitted = await self.load(fleet, 3_000.0)
        self.check_bound(fleet)
        self.assertGreater(admitted, 0.6 * RATE_PER_S * 3)
        await fleet.close()

    async def test_planned_stop_keeps_the_level(self):
        """Guards against a planned restart that empties an organisation's bucket."""
        fleet = await self.start_fleet()
        holder = self.fleet_holder(fleet)
        holder.quota.zone_holder.leaving = True
        await holder.quota.leave()
        successor = self.fleet_holder(fleet)
        self.assertNotEqual(holder.identity.upstream_id, successor.identity.upstream_id)
        own_part = 1 - len(fleet.zone(holder.identity.availability_zone)) / 5
        pool = successor.quota.fleet_holder.pools[ORGANISATION]
        self.assertGreater(pool.bucket.level, 0.9 * own_part * BURST)
        await self.load(fleet, 5_000.0)
        self.check_bound(fleet)
        await fleet.close()


class TestPlanChanges(QuotaTestCase):
    async def change_fractions(self, fleet: QuotaFleet, left_out: set[str]) -> None:
        fractions = {"a-0": 0.1, "a-1": 0.1, "a-2": 0.1, "b-0": 0.35, "b-1": 0.35}
        rates = {ORGANISATION: (RATE_PER_S, BURST)}
        fleet.plan = quota_plan(ZONES, 2, rates, fractions)
        for node in fleet.nodes:
            if node.identity.upstream_id not in left_out:
                fleet.give_plan(node, fleet.plan)
        await LoopClock().sleep_ms(1.0)

    def share_of(self, fleet: QuotaFleet, name: str) -> float:
        return fleet.newest[UpstreamId(name)].quota.context.history.usable()

    async def test_increase_follows_when_the_decrease_is_in_force(self):
        """Guards against a larger fraction that never takes effect."""
        fleet = await self.start_fleet()
        await self.change_fractions(fleet, set())
        self.assertEqual(0.2, self.share_of(fleet, "b-0"))
        self.assertEqual(0.1, self.share_of(fleet, "a-0"))
        await self.load(fleet, 9_000.0)
        self.assertEqual(0.35, self.share_of(fleet, "b-0"))
        self.check_bound(fleet)
        await fleet.close()

    async def test_increase_waits_for_a_member_that_is_cut_off(self):
        """Guards against a raised fraction while a cut-off zone still uses the old plan."""
        fleet = await self.start_fleet()
        fleet.fabric.cut(fleet.zone("a"), fleet.zone("b"))
        fleet.refresh_views()
        await self.change_fractions(fleet, set(fleet.zone("a")))
        await self.load(fleet, 30_000.0)
        self.assertEqual(0.2, self.share_of(fleet, "b-0"))
        self.check_bound(fleet)
        fleet.fabric.heal()
        for node in fleet.nodes:
            fleet.give_plan(node, fleet.plan)
        fleet.refresh_views()
        await self.load(fleet, 12_000.0)
        self.assertEqual(0.35, self.share_of(fleet, "b-0"))
        self.check_bound(fleet)
        await fleet.close()
