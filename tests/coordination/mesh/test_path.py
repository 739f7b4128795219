import asyncio

import attrs

from gentianthread.coordination.mesh.peer_link import IDLE_AFTER_MS
from gentianthread.standins.mesh import READY_PORT, answer_sealed, break_off, fail
from gentianthread.transport.http_pipeline import BufferedResponse

from .base import MeshTestCase

INNER = {"host": "inner.example", "key": None}


class TestPath(MeshTestCase):
    async def test_request_and_answer_pass_between_instances_unchanged(self):
        """Guards against a request or an answer that is changed on the way between nodes."""
        await self.start({"catalogue": 1, "orders": 1})
        reply = await self.call("catalogue-0", "/order/7?x=1", method="POST", body=b"two pallets")
        seen = self.target("orders-0").seen[0]
        self.assertEqual(200, reply.status)
        self.assertEqual(
            f"orders-0 {reply.request_id} POST /order/7?x=1 two pallets".encode(), reply.body
        )
        self.assertIn("Server-Seal", reply.fields)
        self.assertEqual(reply.request_id, reply.fields["Request-Id"])
        self.assertEqual(reply.request_id, seen.find("request-id"))
        self.assertNotIn("Server-Load", reply.fields)
        self.assertEqual("orders-0", seen.find("target-instance"))
        await self.stop()

    async def test_header_fields_that_are_not_utf_8_pass_unchanged(self):
        """Guards against a header field in another encoding that fails all requests beside it.

        Requests that are sent to a node in one turn, and its answers, share a message.
        """
        await self.start({"catalogue": 1, "orders": 1})
        value = b"Jos\xe9 \xff".decode("utf-8", "surrogateescape")

        async def answer_with_field(target, request):
            answer = await answer_sealed(target, request)
            answer.headers.append(("X-Name", value))
            return answer

        target = self.target("orders-0")
        target.behave = answer_with_field

        async def send(fields):
            data, _ = self.request("/order/1", method="POST")
            reader, writer = await self.connect("catalogue-0")
            writer.write(data.replace(b"Key:", fields + b"Key:"))
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head

        named = b"X-Name: Jos\xe9 \xff\r\n"
        for head in await asyncio.gather(send(named), send(b""), send(named)):
            self.assertIn(b" 200 ", head)
            self.assertIn(named, head)
        self.assertEqual(
            [None, value, value],
            sorted((seen.find("x-name") for seen in target.seen), key=lambda found: found or ""),
        )
        await self.stop()

    async def test_requests_between_zones_are_compressed_and_intact(self):
        """Guards against uncompressed bytes between zones, and corrupted bodies.

        Bytes between zones can be the largest cost under heavy load.
        """
        await self.start({"catalogue": 1, "orders": 2}, zones=("a", "b"))
        same_zone, other_zone = self.sidecar("orders-0"), self.sidecar("orders-1")
        for number in range(30):
            for caller in ("orders-0", "orders-1"):
                body = f"{caller} {number} ".encode() * 20
                reply = await self.call(caller, "/stock/1", body=body)
                self.assertEqual(200, reply.status)
                self.assertEqual(body, self.target("catalogue-0").seen[-1].body)
        counters = other_zone.metrics.counters
        self.assertGreater(counters["peers.cross_zone_bytes"], 10_000)
        self.assertLess(
            counters["peers.cross_zone_bytes_sent"], 0.5 * counters["peers.cross_zone_bytes"]
        )
        self.assertEqual(0, same_zone.metrics.counters["peers.cross_zone_bytes"])
        await self.stop()

    async def test_key_and_forged_fields_do_not_reach_the_target(self):
        """Guards against a target that receives a caller's key, or fields forged by a caller."""
        await self.start({"catalogue": 1, "orders": 1})
        await self.call("orders-0", "/stock/1", Tenant="other", Caller_Service="forged")
        seen = self.target("catalogue-0").seen[0]
        self.assertIsNone(seen.find("key"))
        self.assertNotIn("key-acme", str(seen.headers))
        self.assertEqual(("acme", "orders"), (seen.find("tenant"), seen.find("caller-service")))
        fields = [name.lower() for name, _ in seen.headers]
        self.assertEqual(1, fields.count("tenant"))
        self.assertEqual(1, fields.count("caller-service"))
        await self.stop()

    async def test_inner_call_runs_without_a_key(self):
        """Guards against calls of targets that are refused like callers without a key."""
        await self.start({"catalogue": 1, "orders": 1})
        reply = await self.call("catalogue-0", "/ledger/1", **INNER)
        self.assertEqual(200, reply.status)
        self.assertIsNone(self.target("orders-0").seen[0].find("tenant"))
        await self.stop()

    async def test_unknown_routes_and_keys_are_refused(self):
        """Guards against a wrong status for unknown routes and keys."""
        await self.start({"catalogue": 1})
        statuses = [
            (await self.call("catalogue-0", path, key=key)).status
            for path, key in (("/none/", "key-acme"), ("/stock/1", "wrong"), ("/stock/1", None))
        ]
        self.assertEqual([404, 401, 401], statuses)
        await self.stop()

    async def test_target_receives_the_remaining_time(self):
        """Guards against a target that works longer than the caller and the route allow."""
        await self.start({"catalogue": 1, "orders": 1})
        await self.call("orders-0", "/stock/1", Timeout_Ms="500")
        await self.call("orders-0", "/stock/1", Timeout_Ms="9000")
        timeouts_ms = [int(seen.find("timeout-ms")) for seen in self.target("catalogue-0").seen]
        self.assertTrue(400 < timeouts_ms[0] <= 500, timeouts_ms)
        self.assertTrue(1_400 < timeouts_ms[1] <= 1_500, timeouts_ms)
        await self.stop()

    async def test_timeout_ends_a_request_that_may_have_run(self):
        """Guards against an answer long after the timeout, and one that says "not run" wrongly."""
        await self.start({"orders": 1})
        self.target("orders-0").work_ms = 5_000
        started = asyncio.get_running_loop().time()
        reply = await self.call("orders-0", "/order/1", method="POST", Timeout_Ms="300")
        self.assertEqual(504, reply.status)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.6)
        await self.stop()

    async def test_failed_idempotent_request_is_retried_at_another_upstream(self):
        """Guards against a failure where another upstream would have answered."""
        await self.start({"catalogue": 2})
        for broken in (fail, break_off):
            self.target("catalogue-0").behave = broken
            reply = await self.call("catalogue-0", "/stock/1")
            self.assertEqual((200, b"catalogue-1"), (reply.status, reply.body.split()[0]))
        await self.stop()

    async def test_request_that_may_run_again_counts_twice_for_its_organisation(self):
        """Guards against runs above the rate that nobody counts, as they are further attempts."""
        await self.start({"catalogue": 2})
        self.target("catalogue-0").behave = fail
        node = self.sidecar("catalogue-0")
        counted = []
        node.forwarder.on_second_run = counted.append
        await self.call("catalogue-0", "/stock/1")
        self.assertEqual(["acme"], counted)
        node.node_rates.take_usage()
        node.node_rates.take("acme", 100_000, 100_000, 1, node.clock.now_ms())
        node.node_rates.record_second_run("acme")
        self.assertEqual(2, node.node_rates.take_usage()["acme"].admitted)
        await self.stop()

    async def test_request_is_resent_if_the_target_closed_a_kept_connection(self):
        """Guards against a failure because the target had closed an idle connection."""
        await self.start({"catalogue": 1, "orders": 1})
        target = self.target("catalogue-0")
        self.assertEqual(200, (await self.call("orders-0", "/stock/1")).status)

        async def break_off_once(target, request):
            target.behave = answer_sealed
            return None

        target.behave = break_off_once
        reply = await self.call("orders-0", "/stock/2")
        self.assertEqual((200, 2), (reply.status, target.runs[reply.request_id]))
        self.assertEqual(1, self.sidecar("orders-0").metrics.counters["forwarder.repeats"])
        await self.stop()

    async def test_resends_count_as_attempts_of_the_route(self):
        """Guards against resends that do not count as attempts.

        Requests of a route with two attempts ran three and four times in the soak, because targets
        broke off on kept connections.
        """
        await self.start({"catalogue": 3, "orders": 1})
        targets = [self.target(f"catalogue-{place}") for place in range(3)]
        for number in range(12):
            await self.call("orders-0", f"/stock/{number}")
        for target in targets:
            target.behave = break_off
        ids = [(await self.call("orders-0", "/stock/x")).request_id for _ in range(9)]
        runs = [sum(target.runs.get(name, 0) for target in targets) for name in ids]
        self.assertEqual([2] * 9, runs)
        await self.stop()

    async def test_retries_of_all_nodes_stay_within_the_budget(self):
        """Guards against nodes that each use the whole retry budget of a service.

        A node knows only its own requests; docs/platform.md states the bound for all together.
        """
        await self.start({"catalogue": 2, "orders": 4})
        ratio, slack, requests = 0.2, 16, 160
        for instance in self.fleet.instances.values():
            sidecar = instance.sidecar
            sidecar.settings = attrs.evolve(
                sidecar.settings, retry_ratio=ratio, retry_slack=slack, retry_window_ms=60_000.0
            )
        targets = [self.target(f"catalogue-{place}") for place in range(2)]
        for target in targets:
            target.behave = fail
        for number in range(requests):
            await self.call(f"orders-{number % 4}", f"/stock/{number}")
        runs = sum(sum(target.runs.values()) for target in targets)
        self.assertGreater(runs, requests)
        self.assertLessEqual(runs - requests, 0.25 * (ratio * requests + slack))
        await self.stop()

    async def test_last_attempt_is_not_sent_over_a_link_that_went_silent_while_idle(self):
        """Guards against a request that fails seconds after connections went silent.

        Both of its attempts went over links that had been silent and idle since then.
        """
        await self.start({"catalogue": 2, "orders": 1})
        peers = self.sidecar("orders-0").peers
        for upstream_id in ("catalogue-0", "catalogue-1"):
            link = await peers.link_to(self.target(upstream_id).host)
            link._connection.post = lambda data: None
            link._connection.deliver_to(lambda data: None, link._on_connection_end)
            link.reset_silence(peers.clock.now_ms() - IDLE_AFTER_MS - 1)
        self.assertEqual(200, (await self.call("orders-0", "/stock/1")).status)
        await self.stop()

    async def test_order_with_a_lost_answer_is_not_retried(self):
        """Guards against an order that runs twice, and one that is reported as not run."""
        await self.start({"orders": 2})
        for name in ("orders-0", "orders-1"):
            self.target(name).behave = break_off
        reply = await self.call("orders-0", "/order/1", method="POST")
        runs = [self.target(name).runs.get(reply.request_id, 0) for name in self.fleet.instances]
        self.assertEqual((502, 1), (reply.status, sum(runs)))
        await self.stop()

    async def test_node_with_another_message_version_receives_no_requests(self):
        """Guards against orders of unknown outcome while a fleet is upgraded."""
        await self.start({"catalogue": 1, "orders": 1})
        self.sidecar("orders-0").peers.version += 1
        reply = await self.call("catalogue-0", "/order/1", method="POST")
        self.assertEqual(503, reply.status)
        self.assertEqual({}, self.target("orders-0").runs)
        await self.stop()

    async def test_rejected_order_goes_to_another_upstream(self):
        """Guards against the loss of an order that no target has run."""
        await self.start({"orders": 2})
        self.target("orders-0").slots = 0
        reply = await self.call("orders-0", "/order/1", method="POST")
        self.assertEqual((200, b"orders-1"), (reply.status, reply.body.split()[0]))
        await self.stop()

    async def test_answer_without_a_seal_is_not_a_success(self):
        """Guards against a corrupt answer that reaches a caller as a success."""

        async def unsealed(target, request):
            answer = await answer_sealed(target, request)
            return BufferedResponse(200, answer.headers[:1], answer.body)

        await self.start({"orders": 1})
        self.target("orders-0").behave = unsealed
        reply = await self.call("orders-0", "/order/1", method="POST")
        self.assertEqual(502, reply.status)
        await self.stop()

    async def test_status_below_200_is_not_passed_on_as_an_answer(self):
        """Guards against bytes that are no HTTP answer on the connection of a caller."""
        await self.start({"catalogue": 1, "orders": 1})

        async def answer_with_status(target, request):
            answer = await answer_sealed(target, request)
            answer.status = "042"
            return answer

        self.target("orders-0").behave = answer_with_status
        self.assertEqual(502, (await self.call("catalogue-0", "/order/1", method="POST")).status)
        await self.stop()

    async def test_request_is_rejected_by_another_process_at_the_address(self):
        """Guards against a request that runs on another target which took over the address."""
        await self.start({"orders": 1})
        self.target("orders-0").upstream_id = "orders-9"
        reply = await self.call("orders-0", "/order/1", method="POST")
        self.assertEqual(503, reply.status)
        self.assertIn("Retry-After", reply.fields)
        self.assertEqual({}, self.target("orders-0").runs)
        await self.stop()

    async def test_cancelled_request_stops_at_the_target(self):
        """Guards against work on a remote target for a caller that has gone."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("orders-0").work_ms = 5_000
        data, _ = self.request("/order/1", method="POST")
        _, writer = await self.connect("catalogue-0")
        writer.write(data)
        await self.until(lambda: self.target("orders-0").running == 1)
        writer.close()
        await self.until(lambda: self.target("orders-0").running == 0, timeout_s=0.5)
        await self.stop()

    async def test_requests_are_split_by_weight(self):
        """Guards against a distribution over services that differs from the weights."""
        routes = {
            "split": {
                "host": "shop.example",
                "prefix": "/split/",
                "kind": "idempotent",
                "weighted_services": [
                    {"service": "catalogue", "weight": 3},
                    {"service": "orders", "weight": 1},
                ],
            }
        }
        await self.start({"catalogue": 1, "orders": 1}, routes=routes)
        for _ in range(40):
            self.assertEqual(200, (await self.call("catalogue-0", "/split/1")).status)
        shares = [len(self.target(name).seen) for name in ("catalogue-0", "orders-0")]
        self.assertEqual([30, 10], shares)
        await self.stop()

    async def test_slots_are_never_exceeded(self):
        """Guards against requests beyond a target's slots, which it would never answer."""
        await self.start({"catalogue": 2, "orders": 1})
        for name in ("catalogue-0", "catalogue-1"):
            self.target(name).work_ms = 20
        calls = [self.call("orders-0", "/stock/1") for _ in range(80)]
        statuses = [reply.status for reply in await asyncio.gather(*calls)]
        for name in ("catalogue-0", "catalogue-1"):
            self.assertLessEqual(self.target(name).most_running, 7)
        self.assertEqual({200}, set(statuses))
        await self.stop()

    async def test_node_is_ready_only_with_a_plan_and_until_it_leaves(self):
        """Guards against callers that are sent to a node without a plan or to a leaving one."""
        await self.start({"catalogue": 1})
        sidecar = self.sidecar("catalogue-0")

        async def readiness_status():
            reader, writer = await asyncio.open_connection(sidecar.settings.host, READY_PORT)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            status = (await self.receive(reader)).status
            writer.close()
            return status

        plan = sidecar.follower.plan
        self.assertEqual(200, await readiness_status())
        sidecar.follower.plan = None
        self.assertEqual(503, await readiness_status())
        self.assertEqual(503, (await self.call("catalogue-0", "/none/")).status)
        sidecar.follower.plan = plan
        sidecar.begin_leaving(float("inf"))
        self.assertEqual(503, await readiness_status())
        await self.stop()
