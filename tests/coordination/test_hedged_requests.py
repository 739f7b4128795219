import asyncio
import itertools
import json

from gentianthread.clock import SystemClock
from gentianthread.coordination.admission import SlotAdmission
from gentianthread.coordination.routing import RoundRobinRouter
from gentianthread.errors import Refused
from gentianthread.ids import Outcome, RefusalReason, ServiceId
from gentianthread.standins.target import Behaviour, digest_of, pattern

from ..fleets import FleetTestCase

HEDGE_DELAY_MS = 20.0
# Far longer than the hedge delay, so that an attempt of this duration ends only if it is not
# cancelled before.
SLOW_MS = 400.0
PRICING = ServiceId("pricing")


class RecordingRouter(RoundRobinRouter):
    """Record which attempts started and with which outcomes they ended."""

    def __init__(self, plan):
        super().__init__(plan)
        self.started_upstream_ids = []
        self.outcomes = []

    def attempt_started(self, upstream_id):
        self.started_upstream_ids.append(upstream_id)

    def attempt_finished(self, upstream_id, outcome, latency_ms, level, item=None):
        self.outcomes.append((upstream_id, outcome))


def record_outcomes(upstream_id, parts):
    parts.router = RecordingRouter(parts.plan)


class HedgedTestCase(FleetTestCase):
    """Run fleets whose services are hedged and whose targets count executions."""

    def hedged(self, services=None, **options):
        services = services or {"catalogue": 1, "pricing": 2}
        options = {"adjust": record_outcomes, "hedge_delay_ms": HEDGE_DELAY_MS, **options}
        return self.fleet(services, **options)

    def behave(self, fleet, service, *behaviours):
        """Set the behaviours of the first executions at a service, in order of arrival."""
        remaining_behaviours = list(behaviours)
        for name, member in fleet.members.items():
            if name.startswith(f"{service}-"):
                member.target.choose = lambda seen: (
                    remaining_behaviours.pop(0) if remaining_behaviours else None
                )

    def count(self, fleet, name):
        """Return the sum of a counter over all nodes."""
        return sum(m.node.metrics.counters[f"gateway.{name}"] for m in fleet.members.values())

    def outcomes(self, fleet, entry="catalogue-0"):
        router = fleet.members[entry].node.attempts.router
        self.assertEqual(
            sorted(router.started_upstream_ids), sorted(name for name, _ in router.outcomes)
        )
        return sorted(
            (outcome for _, outcome in router.outcomes), key=lambda outcome: outcome.value
        )

    async def until_idle(self, fleet):
        """Wait until no target and no node has a running request."""
        members = fleet.members.values()
        await self.until(lambda: not any(m.target.running for m in members))
        await self.until(lambda: not any(m.node.admission.running for m in members))
        self.assertEqual({0}, {len(m.node.contexts) for m in members})


class TestSlowAttempts(HedgedTestCase):
    async def test_hedge_answers_when_the_first_attempt_hangs(self):
        """Guards against callers that wait for a slow target, local or remote, and leaked slots."""
        for self.links, path in itertools.product((False, True), ("/catalogue", "/pricing")):
            async with self.hedged({"catalogue": 2, "pricing": 2}) as fleet:
                self.behave(fleet, path[1:], Behaviour(hang=True))
                status, headers, body = await self.call(
                    fleet, "catalogue-0", f"{path}?id=one&size=40000"
                )
                self.assertEqual((200, 40000), (status, len(body)))
                self.assertEqual(digest_of("one", 40000), headers["Standin-Digest"])
                await self.until_idle(fleet)
                self.assertEqual((2, 1), (fleet.executions("one"), self.count(fleet, "hedges")))
                self.assertEqual([Outcome.CANCELLED, Outcome.SUCCESS], self.outcomes(fleet))

    async def test_loser_is_cancelled_before_the_answer_is_relayed(self):
        """Guards against a losing attempt that keeps its slot while a long answer is relayed."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", Behaviour(hang=True))
            router = fleet.members["catalogue-0"].node.attempts.router
            url = f"{fleet.members['catalogue-0'].url}/open/pricing?id=one&size=30000000"
            async with fleet.session.get(url) as answer:
                await self.until(lambda: router.outcomes)
                self.assertEqual(Outcome.CANCELLED, router.outcomes[0][1])
                await self.until(lambda: sum(m.target.running for m in fleet.members.values()) == 1)
                self.assertEqual(30_000_000, len(await answer.read()))

    async def test_two_slow_upstreams_get_one_attempt_each(self):
        """Guards against a third attempt while two are in progress."""
        async with self.hedged({"catalogue": 1, "pricing": 4}) as fleet:
            self.behave(fleet, "pricing", *[Behaviour(service_ms=SLOW_MS)] * 4)
            status, _, body = await self.call(fleet, "catalogue-0", "/pricing?id=one&size=50")
            self.assertEqual((200, pattern("one", 50)), (status, body))
            self.assertEqual(2, fleet.executions("one"))

    async def test_deadline_ends_both_attempts(self):
        """Guards against attempts after the deadline, and a false "not run" (P8)."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", *[Behaviour(hang=True)] * 2)
            headers = {"Gentian-Deadline-Ms": "200"}
            status, headers, _ = await self.call(
                fleet, "catalogue-0", "/pricing?id=one", headers=headers
            )
            self.assertEqual((504, "unknown"), (status, headers["Gentian-Outcome"]))
            await self.until_idle(fleet)
            self.assertEqual(2, fleet.executions("one"))

    async def test_caller_that_disconnects_cancels_both_attempts(self):
        """Guards against hedged attempts that keep running after their caller disconnected."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", *[Behaviour(hang=True)] * 2)
            sent = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/pricing?id=one"))
            await self.until(lambda: fleet.executions("one") == 2)
            sent.cancel()
            await self.until_idle(fleet)
            self.assertEqual([Outcome.CANCELLED] * 2, self.outcomes(fleet))

    async def test_callers_get_only_their_own_answers(self):
        """Guards against the answer of a cancelled attempt that reaches another caller (P7)."""
        for self.links in (False, True):
            async with self.hedged({"catalogue": 1, "pricing": 3}, slots=200) as fleet:
                for member in fleet.members.values():
                    member.target.choose = lambda seen: Behaviour(
                        service_ms=hash(seen.header("Gentian-Request-Id")) % 60
                    )

                async def request_and_compare(number):
                    size = 10 + number * 700
                    path = f"/pricing?id=n{number}&size={size}"
                    status, _, body = await self.call(fleet, "catalogue-0", path)
                    block = pattern(f"n{number}", 16 * 1024)
                    whole = (block * (size // len(block) + 1))[:size]
                    return (status, body == whole)

                results = await asyncio.gather(*(request_and_compare(n) for n in range(80)))
                self.assertEqual({(200, True)}, set(results))
                await self.until_idle(fleet)
                executions = [fleet.executions(f"n{number}") for number in range(80)]
                hedges = self.count(fleet, "hedges")
                self.assertTrue(hedges > 0, hedges)
                self.assertTrue(max(executions) <= 2 and sum(executions) <= 80 + hedges, executions)


class TestFailingAttempts(HedgedTestCase):
    async def test_success_of_the_slower_attempt_is_used(self):
        """Guards against a failed hedge that hides the answer of the first attempt."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", Behaviour(service_ms=SLOW_MS), Behaviour(status=500))
            self.assertEqual(200, (await self.call(fleet, "catalogue-0", "/pricing?id=one"))[0])
            self.assertEqual([Outcome.FAILURE, Outcome.SUCCESS], self.outcomes(fleet))

    async def test_answer_of_the_first_attempt_is_used_if_both_fail(self):
        """Guards against attempts beyond allowance and budget when both fail, and a lost body."""
        # With budget left, the unused attempts returned by the first attempt allow one retry.
        for balance, expected, executions in ((1.0, 500, 2), (10.0, 503, 3)):
            async with self.hedged({"catalogue": 1, "pricing": 5}, retry_allowance=2) as fleet:
                fleet.members["catalogue-0"].node.retries.budget(
                    fleet.plan, PRICING
                ).balance = balance
                slow = Behaviour(status=500, service_ms=SLOW_MS)
                self.behave(fleet, "pricing", slow, *[Behaviour(status=503)] * 4)
                status, _, body = await self.call(fleet, "catalogue-0", "/pricing?id=one")
                self.assertEqual((expected, 100), (status, len(body)))
                self.assertEqual(executions, fleet.executions("one"))
                self.assertEqual(1, self.count(fleet, "hedges"))

    async def test_refusal_of_one_attempt_does_not_hide_that_the_other_may_have_run(self):
        """Guards against "not run" for a request whose other attempt may have run (P8)."""
        refusal_released = asyncio.Event()

        class DelayedRefusal(SlotAdmission):
            async def admit(self, item):
                await refusal_released.wait()
                raise Refused(RefusalReason.QUEUE_FULL, not_run=True)

        def adjust(upstream_id, parts):
            record_outcomes(upstream_id, parts)
            if upstream_id == "pricing-0":
                parts.admission = DelayedRefusal(16, SystemClock())

        async with self.hedged(adjust=adjust) as fleet:
            self.behave(fleet, "pricing", Behaviour(hang=True))
            sent = asyncio.ensure_future(
                self.call(
                    fleet,
                    "catalogue-0",
                    "/pricing?id=one",
                    headers={"Gentian-Deadline-Ms": "500"},
                )
            )
            await self.until(lambda: fleet.executions("one"))
            refusal_released.set()
            status, headers, _ = await sent
            self.assertEqual((504, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertNotIn("Gentian-Not-Run", headers)


class TestLimits(HedgedTestCase):
    async def call_hanging(self, fleet, path, **options):
        """Send a request while all targets hang and return the number of its executions."""
        for member in fleet.members.values():
            member.target.behaviour = Behaviour(hang=True)
        headers = {"Gentian-Deadline-Ms": "200", **options.pop("headers", {})}
        await self.call(fleet, "catalogue-0", path, headers=headers, **options)
        return fleet.executions("one")

    async def test_requests_that_must_run_once_are_never_hedged(self):
        """Guards against a second execution of orders and of requests with a key (P9)."""
        for method, keyed in (("POST", False), ("POST", True), ("GET", True)):
            async with self.hedged() as fleet:
                headers = {}
                if keyed:
                    path = "/.gentian/tickets?service=pricing"
                    _, _, ticket = await self.call(fleet, "catalogue-0", path, method="POST")
                    headers["Idempotency-Key"] = json.loads(ticket)["idempotency_key"]
                executions = await self.call_hanging(
                    fleet, "/pricing?id=one", method=method, headers=headers
                )
                self.assertEqual(1, executions)
                self.assertEqual(0, self.count(fleet, "hedges"))

    async def test_profile_without_hedging_creates_no_task(self):
        """Guards against the cost of tasks for services that are not hedged."""
        created_coroutines = []

        def factory(loop, coroutine, **options):
            created_coroutines.append(coroutine.__qualname__)
            return asyncio.Task(coroutine, loop=loop, **options)

        for delay_ms, expected in ((None, 0), (HEDGE_DELAY_MS, 2)):
            async with self.hedged(hedge_delay_ms=delay_ms) as fleet:
                asyncio.get_running_loop().set_task_factory(factory)
                created_coroutines.clear()
                self.assertEqual(
                    2 if expected else 1, await self.call_hanging(fleet, "/pricing?id=one")
                )
                self.assertEqual(expected, created_coroutines.count("Attempts._receive_head"))

    async def test_budget_is_not_charged_without_another_upstream(self):
        """Guards against budget charged for a hedge that cannot be sent."""
        async with self.hedged({"catalogue": 1, "pricing": 1}) as fleet:
            self.assertEqual(1, await self.call_hanging(fleet, "/pricing?id=one"))
            balance = fleet.members["catalogue-0"].node.retries.balances()[PRICING]
            self.assertEqual(10.1, balance)

    async def test_hedge_sends_the_whole_body_or_is_not_sent(self):
        """Guards against a hedge with a partial body, or one that shares a body stream."""
        for path in ("/catalogue", "/pricing"):
            for size, expected in ((1_000, 2), (60_000, 2), (200_000, 1)):
                async with self.hedged({"catalogue": 2, "pricing": 2}) as fleet:
                    data = pattern("body", size)
                    executions = await self.call_hanging(fleet, f"{path}?id=one", data=data)
                    self.assertEqual(expected, executions)
                    seen = [request for m in fleet.members.values() for request in m.target.seen]
                    self.assertEqual(
                        {(size, True)}, {(s.body_bytes, s.body_complete) for s in seen}
                    )
                    self.assertEqual(1, len({request.body_digest for request in seen}))

    async def test_request_with_an_incomplete_body_is_not_hedged(self):
        """Guards against a hedge that waits for body bytes that the first attempt consumes."""

        async def body_chunks():
            yield b"a" * 100
            await asyncio.sleep(0.3)
            yield b"b" * 100

        async with self.hedged() as fleet:
            status, _, _ = await self.call(
                fleet, "catalogue-0", "/pricing?id=one", data=body_chunks()
            )
            self.assertEqual((200, 1), (status, fleet.executions("one")))

    async def test_hedging_is_limited_by_the_budget(self):
        """Guards against hedges that double the load on a service all of whose targets are slow."""
        number = 30
        async with self.hedged(slots=100) as fleet:
            fleet.members["catalogue-0"].node.retries.budget(fleet.plan, PRICING).balance = 0.0
            await asyncio.gather(
                *(self.call_hanging(fleet, "/pricing?id=one") for _ in range(number))
            )
            hedges = self.count(fleet, "hedges")
            # At most a tenth of the first attempts; rounding of the balance may allow fewer.
            self.assertTrue(2 <= hedges <= number / 10, hedges)
            self.assertEqual(number + hedges, fleet.executions("one"))

    async def test_hedges_in_a_slow_call_chain_are_bounded(self):
        """Guards against hedges that multiply with the depth of a call chain (P1)."""
        depth = 12
        services = {f"hop{number:02}": 2 for number in range(depth)}
        for allowance, status in ((0, 200), (1, 200), (3, 200), (3, 500)):
            async with self.hedged(services, retry_allowance=allowance, slots=50) as fleet:
                for number in range(depth):
                    inner = (f"/hop{number + 1:02}?id=one",) if number + 1 < depth else ()
                    behaviour = Behaviour(inner_paths=inner)
                    if not inner:
                        behaviour = Behaviour(service_ms=SLOW_MS, status=status)
                    for index in (0, 1):
                        fleet.members[f"hop{number:02}-{index}"].target.behaviour = behaviour
                await self.call(fleet, "hop00-0", "/hop00?id=one")
                await self.until_idle(fleet)
                extra = self.count(fleet, "hedges") + self.count(fleet, "retries")
                # The first attempt is lent half of the allowance, rounded up, so an allowance of 1
                # leaves nothing for a hedge.
                self.assertTrue(allowance // 2 <= extra <= allowance, extra)
                for number in range(depth):
                    members = (fleet.members[f"hop{number:02}-{index}"] for index in (0, 1))
                    executions = sum(member.target.executions["one"] for member in members)
                    self.assertTrue(1 <= executions <= 1 + extra, (number, executions, extra))
