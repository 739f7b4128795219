from gentianthread.ids import UpstreamId

from .base import MeshTestCase


class TestLoadReports(MeshTestCase):
    async def test_pace_and_path_delay_reach_the_entry(self):
        """Guards against an entry that chooses by listed slots while targets state their pace."""
        await self.start({"catalogue": 1, "orders": 1})
        target = self.target("orders-0")
        target.work_ms, target.work_percent = 20.0, 130
        for _ in range(3):
            self.assertEqual(200, (await self.call("catalogue-0", "/order/7")).status)
        entry = self.sidecar("catalogue-0")
        report = entry.balancer.view(UpstreamId("orders-0")).report
        self.assertGreater(report.throughput_per_s, 0)
        self.assertGreater(report.work_percent, 0)
        upstreams = entry.directory.ready("orders")
        self.assertTrue(entry.balancer._by_completion.applies(upstreams, entry.clock.now_ms()))
        await self.stop()

    async def test_three_figures_leave_the_choice_as_it_was(self):
        """Guards against a change for deployments whose targets report three figures."""
        await self.start({"catalogue": 1, "orders": 1})
        self.assertEqual(200, (await self.call("catalogue-0", "/order/7")).status)
        entry = self.sidecar("catalogue-0")
        report = entry.balancer.view(UpstreamId("orders-0")).report
        self.assertEqual((0.0, 0.0), (report.throughput_per_s, report.work_percent))
        await self.stop()

    async def test_rejections_are_recorded(self):
        """Guards against a target that rejects arrivals and does not lose share."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").refusal_status = lambda request: 503
        await self.call("catalogue-0", "/order/7")
        view = self.sidecar("catalogue-0").balancer.view(UpstreamId("orders-0"))
        self.assertGreater(view.rejected_fraction, 0)
        await self.stop()

    async def test_time_at_the_node_is_left_out_of_the_path_delay(self):
        """Guards against a path delay that contains the time that the target took."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").work_ms = 60.0
        entry = self.sidecar("catalogue-0")
        delays_ms = []
        entry.balancer.record_exchange = lambda upstream, latency_ms, spent_ms: delays_ms.append(
            latency_ms - spent_ms
        )
        for _ in range(3):
            await self.call("catalogue-0", "/order/7")
        self.assertEqual(3, len(delays_ms))
        self.assertLess(min(delays_ms), 40.0)
        await self.stop()

    async def test_dump_and_metrics_tell_the_load(self):
        """Guards against a transfer between zones or a pace that operators cannot see."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").work_percent = 100
        await self.call("catalogue-0", "/order/7")
        entry, owner = self.sidecar("catalogue-0"), self.sidecar("orders-0")
        entry.balancer.choose(entry.directory.ready("orders"), set())
        self.assertEqual(0, entry.describe()["elsewhere"]["orders"]["share"])
        self.assertEqual({}, entry.describe()["path_ms"])
        self.assertEqual(100.0, owner.describe()["target"]["work_percent"])
        metrics = owner._write_metrics().decode()
        for name in ("target_throughput_per_s", "zones_sent_elsewhere", "zones_saved_ms"):
            self.assertIn(f"gentian_{name} ", metrics)
        await self.stop()
