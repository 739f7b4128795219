import asyncio

import aiohttp

from gentianthread.standins.target import Behaviour, digest_of, pattern

from ..fleets import FleetTestCase, request_head

# A request for the service of the entry node's own target, and one that is sent to a peer.
ENTRIES_AND_PATHS = (("catalogue-0", "/catalogue"), ("catalogue-0", "/pricing"))


class TestNonIdempotentCalls(FleetTestCase):
    """A call that fails at any step is executed at most once, as counted at the targets (P9)."""

    async def send_post(self, fleet, path, name):
        return await self.call(
            fleet, "catalogue-0", f"{path}?id={name}", method="POST", data=b"order" * 100
        )

    async def test_connection_lost_before_the_answer_runs_once(self):
        """Guards against a retry of a request that may have been executed."""
        async with self.fleet({"catalogue": 2, "pricing": 2}) as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(cut_before=True)
            for _, path in ENTRIES_AND_PATHS:
                status, headers, _ = await self.send_post(fleet, path, path)
                self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
                self.assertEqual(1, fleet.executions(path))

    async def test_failed_answer_runs_once(self):
        """Guards against a retry of a non-idempotent request after a 5xx answer."""
        async with self.fleet({"catalogue": 2, "pricing": 2}) as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(status=503)
            for _, path in ENTRIES_AND_PATHS:
                self.assertEqual(503, (await self.send_post(fleet, path, path))[0])
                self.assertEqual(1, fleet.executions(path))

    async def test_truncated_answer_reaches_the_caller_as_an_error(self):
        """Guards against a truncated answer that looks complete, with or without a length (P7)."""
        async with self.fleet({"catalogue": 2, "pricing": 2}) as fleet:
            for chunked in (False, True):
                behaviour = Behaviour(truncate_after=30_000, chunked=chunked)
                for member in fleet.members.values():
                    member.target.behaviour = behaviour
                for _, path in ENTRIES_AND_PATHS:
                    name = f"{path}{chunked}&size=60000"
                    with self.assertRaisesType(aiohttp.ClientError):
                        await self.send_post(fleet, path, name)
                    self.assertEqual(1, fleet.executions(f"{path}{chunked}"))

    async def test_unreachable_target_is_reported_as_not_run(self):
        """Guards against "outcome unknown" for a request of which no byte was sent."""
        async with self.fleet({"catalogue": 1, "pricing": 1}) as fleet:
            for member in fleet.members.values():
                await member.target.close()
            for _, path in ENTRIES_AND_PATHS:
                status, headers, _ = await self.send_post(fleet, path, path)
                self.assertEqual((502, "true"), (status, headers["Gentian-Not-Run"]))
                self.assertEqual("target_unreachable", headers["Gentian-Refusal"])

    async def test_unreachable_target_moves_requests_to_another(self):
        """Guards against refusals while another target of the service is reachable."""
        async with self.fleet({"catalogue": 1, "pricing": 2}) as fleet:
            await fleet.members["pricing-0"].target.close()
            for number in range(4):
                self.assertEqual(200, (await self.send_post(fleet, "/pricing", str(number)))[0])
            self.assertEqual(4, len(fleet.members["pricing-1"].target.seen))

    async def test_request_to_a_lost_peer_runs_once(self):
        """Guards against a second execution when the peer is lost after it got the request."""
        async with self.fleet({"catalogue": 1, "pricing": 2}) as fleet:
            for name in ("pricing-0", "pricing-1"):
                fleet.members[name].target.behaviour = Behaviour(hang=True)
            sent = asyncio.ensure_future(self.send_post(fleet, "/pricing", "one"))
            await self.until(lambda: fleet.executions("one"))
            for name in ("pricing-0", "pricing-1"):
                await fleet.members[name].node.stop()
                await fleet.members[name].target.close()
            status, headers, _ = await sent
            self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertEqual(1, fleet.executions("one"))

    async def test_silent_target_ends_at_the_deadline(self):
        """Guards against a request that never ends, and against a false "not run"."""
        async with self.fleet({"catalogue": 2, "pricing": 2}) as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(hang=True)
            for _, path in ENTRIES_AND_PATHS:
                status, headers, _ = await self.call(
                    fleet,
                    "catalogue-0",
                    f"{path}?id={path}",
                    method="POST",
                    headers={"Gentian-Deadline-Ms": "150"},
                )
                self.assertEqual((504, "unknown"), (status, headers["Gentian-Outcome"]))
                self.assertEqual(1, fleet.executions(path))
            await self.until(lambda: not any(m.target.running for m in fleet.members.values()))

    async def test_unfinished_request_body_never_looks_complete(self):
        """Guards against a target that takes a truncated upload for a complete one."""
        async with self.fleet() as fleet:
            for _, path in ENTRIES_AND_PATHS:
                target = fleet.members[f"{path[1:]}-0"].target
                for framing in (b"Content-Length: 90000", b"Transfer-Encoding: chunked"):
                    before = len(target.seen)
                    head = request_head("POST", path, framing)
                    port = fleet.members["catalogue-0"].node.caller_listener.port
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(head + b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
                    await self.until(lambda: len(target.seen) > before)  # noqa: B023
                    writer.close()
                    await self.until(lambda: not target.running)  # noqa: B023
                    self.assertFalse(target.seen[-1].body_complete)


class TestRetries(FleetTestCase):
    async def test_idempotent_failure_moves_to_another_upstream(self):
        """Guards against failures that another attempt would have avoided."""
        async with self.fleet({"catalogue": 1, "pricing": 2}) as fleet:
            for behaviour in (Behaviour(status=500), Behaviour(cut_before=True)):
                fleet.members["pricing-0"].target.behaviour = behaviour
                for number in range(4):
                    status, _, _ = await self.call(fleet, "catalogue-0", f"/pricing?id={number}")
                    self.assertEqual(200, status)

    async def test_no_upstream_is_tried_twice(self):
        """Guards against a retry at the target that has just failed."""
        async with self.fleet({"catalogue": 1, "pricing": 2}) as fleet:
            for name in ("pricing-0", "pricing-1"):
                fleet.members[name].target.behaviour = Behaviour(status=500)
            status, _, body = await self.call(fleet, "catalogue-0", "/pricing?id=one")
            self.assertEqual((500, 100), (status, len(body)))
            self.assertEqual(
                [1, 1], [len(fleet.members[f"pricing-{n}"].target.seen) for n in (0, 1)]
            )

    async def test_retries_in_a_failing_chain_are_bounded(self):
        """Guards against retries that multiply with the depth of a call chain (P1)."""
        depth, allowance = 18, 3
        services = {f"hop{number:02}": 2 for number in range(depth)}
        for failing in ("deepest", "all"):
            async with self.fleet(services, retry_allowance=allowance) as fleet:
                for number in range(depth):
                    path = f"/hop{number + 1:02}?id=one"
                    inner = (path,) if number + 1 < depth else ()
                    status = 500 if failing == "all" or not inner else 200
                    behaviour = Behaviour(status=status, inner_paths=inner)
                    for index in (0, 1):
                        member = fleet.members[f"hop{number:02}-{index}"]
                        member.target.behaviour = behaviour
                status, _, _ = await self.call(fleet, "hop00-0", "/hop00?id=one")
                self.assertEqual(502, status)
                executions = fleet.executions("one")
                self.assertTrue(depth < executions <= depth + allowance, executions)

    async def test_deeper_chain_is_refused(self):
        """Guards against a call loop that never ends."""
        async with self.fleet({"catalogue": 1}, slots=40) as fleet:
            target = fleet.members["catalogue-0"].target
            target.behaviour = Behaviour(inner_paths=("/catalogue?id=loop",))
            self.assertEqual(502, (await self.call(fleet, "catalogue-0", "/catalogue?id=loop"))[0])
            refused = fleet.members["catalogue-0"].node.metrics.counters
            self.assertEqual(1, refused["gateway.refused.depth_exceeded"])
            self.assertEqual(18, fleet.executions("loop"))

    async def test_long_upload_is_not_retried(self):
        """Guards against a retry with an incomplete body, as only short bodies are buffered."""
        async with self.fleet({"catalogue": 2}) as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(status=500)
            for size, expected in ((1000, 2), (200_000, 1)):
                name = f"n{size}"
                await self.call(fleet, "catalogue-0", f"/catalogue?id={name}", data=b"x" * size)
                self.assertEqual(expected, fleet.executions(name))


class TestCancellation(FleetTestCase):
    async def test_disconnected_caller_cancels_the_chain(self):
        """Guards against requests that keep running after their caller has disconnected."""
        async with self.fleet({"catalogue": 1, "pricing": 1, "orders": 1}) as fleet:
            targets = [
                fleet.members[f"{name}-0"].target for name in ("catalogue", "pricing", "orders")
            ]
            targets[0].behaviour = Behaviour(inner_paths=("/pricing?id=one",))
            targets[1].behaviour = Behaviour(inner_paths=("/orders?id=one",))
            targets[2].behaviour = Behaviour(hang=True)
            sent = asyncio.ensure_future(self.call(fleet, "pricing-0", "/catalogue?id=one"))
            await self.until(lambda: targets[2].running)
            sent.cancel()
            await self.until(lambda: not any(target.running for target in targets))
            await self.until(
                lambda: not any(m.node.admission.running for m in fleet.members.values())
            )
            self.assertEqual(3, fleet.executions("one"))
            self.assertEqual([0, 0, 0], [len(m.node.contexts) for m in fleet.members.values()])

    async def test_inner_calls_end_with_their_parent(self):
        """Guards against inner calls that keep running after their parent request has ended."""
        async with self.fleet({"catalogue": 1, "pricing": 1}) as fleet:
            inner = fleet.members["pricing-0"].target
            inner.behaviour = Behaviour(hang=True)
            outer = fleet.members["catalogue-0"].target
            inner_calls = []

            def start_inner_call(seen):
                # POST, because the client library itself retries a GET whose connection is lost.
                call = outer.call_inner(seen, "/pricing?id=one", "POST")
                inner_calls.append(asyncio.ensure_future(call))
                return Behaviour(service_ms=100)

            outer.choose = start_inner_call
            self.assertEqual(200, (await self.call(fleet, "catalogue-0", "/catalogue"))[0])
            self.assertEqual([599], await asyncio.gather(*inner_calls))
            await self.until(lambda: not inner.running)


class TestStreaming(FleetTestCase):
    async def test_slow_reader_does_not_hold_up_others(self):
        """Guards against head-of-line blocking, and against unbounded buffering of an answer."""
        size = 30_000_000
        async with self.fleet() as fleet:
            port = fleet.members["catalogue-0"].node.caller_listener.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
            writer.write(request_head("GET", f"/pricing?id=slow&size={size}"))
            await reader.readuntil(b"\r\n\r\n")
            target = fleet.members["pricing-0"].target
            for number in range(20):
                name = f"f{number}"
                status, headers, _ = await self.call(
                    fleet, "catalogue-0", f"/pricing?id={name}&size=100000"
                )
                self.assertEqual(
                    (200, digest_of(name, 100_000)), (status, headers["Standin-Digest"])
                )
            self.assertFalse(target.seen[0].ended)
            writer.close()
            await self.until(lambda: not target.running)

    async def test_answers_reach_their_own_callers(self):
        """Guards against an answer that reaches another caller (P7)."""
        async with self.fleet({"catalogue": 2, "pricing": 2}) as fleet:
            for member in fleet.members.values():
                member.target.choose = lambda seen: Behaviour(service_ms=hash(seen.target) % 20)

            async def check_answer(number):
                name, size = f"n{number}", 10 + number * 700 % 90_000
                path = ("/catalogue", "/pricing")[number % 2]
                async with fleet.session.get(
                    f"{fleet.members['catalogue-0'].url}/open{path}?id={name}&size={size}"
                ) as answer:
                    body = await answer.read()
                    if answer.status != 200:
                        return answer.headers["Gentian-Refusal"]
                    return body == expected_body(name, size)

            results = await asyncio.gather(*(check_answer(number) for number in range(60)))
            self.assertNotIn(False, results)
            self.assertIn(True, results)

    async def test_cancelled_callers_leave_no_answers_behind(self):
        """Guards against a reused connection that delivers the answer of a cancelled request."""
        async with self.fleet({"catalogue": 1, "pricing": 1}, slots=200) as fleet:
            for member in fleet.members.values():
                member.target.choose = lambda seen: Behaviour(service_ms=hash(seen.target) % 30)

            async def check_answer(number):
                name = f"n{number}"
                try:
                    async with asyncio.timeout(0.015 if number % 2 else 5):
                        _, _, body = await self.call(
                            fleet, "catalogue-0", f"/pricing?id={name}&size=5000"
                        )
                except TimeoutError:
                    return True
                return body == expected_body(name, 5000)

            results = await asyncio.gather(*(check_answer(number) for number in range(100)))
            self.assertEqual({True}, set(results))


def expected_body(name, size):
    block = pattern(name, 16 * 1024)
    return (block * (size // len(block) + 1))[:size]
