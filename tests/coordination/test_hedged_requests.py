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
# Far beyond the hedge delay, so that an attempt ends by it only where nothing cancels it before.
SLOW_MS = 400.0
PRICING = ServiceId("pricing")


class RecordingRouter(RoundRobinRouter):
    """Record how attempts ended."""

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
    """Run fleets whose services are hedged; targets count the executions."""

    def hedged(self, services=None, **options):
        services = services or {"catalogue": 1, "pricing": 2}
        options = {"adjust": record_outcomes, "hedge_delay_ms": HEDGE_DELAY_MS, **options}
        return self.fleet(services, **options)

    def behave(self, fleet, service, *behaviours):
        """Give the first executions at a service these behaviours, in order of their arrival."""
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
        return sorted((outcome for _, outcome in router.outcomes), key=lambda one: one.value)

    async def until_idle(self, fleet):
        """Wait until nothing runs at any target or node."""
        members = fleet.members.values()
        await self.until(lambda: not any(m.target.running for m in members))
        await self.until(lambda: not any(m.node.admission.running for m in members))
        self.assertEqual({0}, {len(m.node.contexts) for m in members})


class TestSlowAttempts(HedgedTestCase):
    async def test_second_upstream_answers_for_a_slow_first(self):
        """Guards against callers that wait for one slow target, own or other, and for leaks."""
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

    async def test_loser_ends_before_the_answer_of_the_winner(self):
        """Guards against a slot that a superfluous attempt holds during a long answer."""
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
        """Guards against a third attempt while two are under way."""
        async with self.hedged({"catalogue": 1, "pricing": 4}) as fleet:
            self.behave(fleet, "pricing", *[Behaviour(service_ms=SLOW_MS)] * 4)
            status, _, body = await self.call(fleet, "catalogue-0", "/pricing?id=one&size=50")
            self.assertEqual((200, pattern("one", 50)), (status, body))
            self.assertEqual(2, fleet.executions("one"))

    async def test_deadline_ends_both_attempts(self):
        """Guards against attempts past the deadline, and against a false "not run" (P8)."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", *[Behaviour(hang=True)] * 2)
            headers = {"Gentian-Deadline-Ms": "200"}
            status, headers, _ = await self.call(
                fleet, "catalogue-0", "/pricing?id=one", headers=headers
            )
            self.assertEqual((504, "unknown"), (status, headers["Gentian-Outcome"]))
            await self.until_idle(fleet)
            self.assertEqual(2, fleet.executions("one"))

    async def test_caller_that_leaves_cancels_both(self):
        """Guards against hedges that outlive their caller."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", *[Behaviour(hang=True)] * 2)
            sent = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/pricing?id=one"))
            await self.until(lambda: fleet.executions("one") == 2)
            sent.cancel()
            await self.until_idle(fleet)
            self.assertEqual([Outcome.CANCELLED] * 2, self.outcomes(fleet))

    async def test_late_and_hedged_answers_are_not_crossed(self):
        """Guards against the late answer of a cancelled attempt that reaches a caller (P7)."""
        for self.links in (False, True):
            async with self.hedged({"catalogue": 1, "pricing": 3}, slots=200) as fleet:
                for member in fleet.members.values():
                    member.target.choose = lambda seen: Behaviour(
                        service_ms=hash(seen.header("Gentian-Request-Id")) % 60
                    )

                async def one(number):
                    size = 10 + number * 700
                    path = f"/pricing?id=n{number}&size={size}"
                    status, _, body = await self.call(fleet, "catalogue-0", path)
                    block = pattern(f"n{number}", 16 * 1024)
                    whole = (block * (size // len(block) + 1))[:size]
                    return (status, body == whole)

                results = await asyncio.gather(*(one(number) for number in range(80)))
                self.assertEqual({(200, True)}, set(results))
                await self.until_idle(fleet)
                executions = [fleet.executions(f"n{number}") for number in range(80)]
                hedges = self.count(fleet, "hedges")
                self.assertTrue(hedges > 0, hedges)
                self.assertTrue(max(executions) <= 2 and sum(executions) <= 80 + hedges, executions)


class TestFailingAttempts(HedgedTestCase):
    async def test_success_of_the_slower_attempt_counts(self):
        """Guards against a failed hedge that hides the answer of the first attempt."""
        async with self.hedged() as fleet:
            self.behave(fleet, "pricing", Behaviour(service_ms=SLOW_MS), Behaviour(status=500))
            self.assertEqual(200, (await self.call(fleet, "catalogue-0", "/pricing?id=one"))[0])
            self.assertEqual([Outcome.FAILURE, Outcome.SUCCESS], self.outcomes(fleet))

    async def test_two_failures_give_the_first_ones_answer(self):
        """Guards against attempts beyond allowance and budget when both fail, and a lost body."""
        # With credit left, the loan that the first attempt gives back pays for one retry.
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

    async def test_refusal_of_one_attempt_says_nothing_about_the_other(self):
        """Guards against "not run" for a request whose other attempt may have run (P8)."""
        refusal_released = asyncio.Event()

        class LateRefusal(SlotAdmission):
            async def admit(self, item):
                await refusal_released.wait()
                raise Refused(RefusalReason.QUEUE_FULL, not_run=True)

        def adjust(upstream_id, parts):
            record_outcomes(upstream_id, parts)
            if upstream_id == "pricing-0":
                parts.admission = LateRefusal(16, SystemClock())

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
        """Send a request that no target answers; return its executions."""
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

    async def test_profile_without_hedging_makes_no_task(self):
        """Guards against a slower path for services that are not hedged."""
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

    async def test_no_other_upstream_costs_nothing(self):
        """Guards against budget that is spent where no second attempt can be made."""
        async with self.hedged({"catalogue": 1, "pricing": 1}) as fleet:
            self.assertEqual(1, await self.call_hanging(fleet, "/pricing?id=one"))
            balance = fleet.members["catalogue-0"].node.retries.balances()[PRICING]
            self.assertEqual(10.1, balance)

    async def test_bodies_are_repeated_whole_or_not_at_all(self):
        """Guards against a second attempt with part of a body, or with a body that two share."""
        for path in ("/catalogue", "/pricing"):
            for size, expected in ((1_000, 2), (60_000, 2), (200_000, 1)):
                async with self.hedged({"catalogue": 2, "pricing": 2}) as fleet:
                    data = pattern("body", size)
                    executions = await self.call_hanging(fleet, f"{path}?id=one", data=data)
                    self.assertEqual(expected, executions)
                    seen = [one for m in fleet.members.values() for one in m.target.seen]
                    self.assertEqual(
                        {(size, True)}, {(s.body_bytes, s.body_complete) for s in seen}
                    )
                    self.assertEqual(1, len({one.body_digest for one in seen}))

    async def test_body_that_has_not_come_whole_is_not_repeated(self):
        """Guards against a second attempt that waits for bytes that the first one takes."""

        async def parts():
            yield b"a" * 100
            await asyncio.sleep(0.3)
            yield b"b" * 100

        async with self.hedged() as fleet:
            status, _, _ = await self.call(fleet, "catalogue-0", "/pricing?id=one", data=parts())
            self.assertEqual((200, 1), (status, fleet.executions("one")))

    async def test_hedging_fades_with_the_budget(self):
        """Guards against hedges that double the load of a service that is slow as a whole."""
        number = 30
        async with self.hedged(slots=100) as fleet:
            fleet.members["catalogue-0"].node.retries.budget(fleet.plan, PRICING).balance = 0.0
            await asyncio.gather(
                *(self.call_hanging(fleet, "/pricing?id=one") for _ in range(number))
            )
            hedges = self.count(fleet, "hedges")
            # One tenth of the first attempts, less what the rounding of the balance holds back.
            self.assertTrue(2 <= hedges <= number / 10, hedges)
            self.assertEqual(number + hedges, fleet.executions("one"))

    async def test_chain_in_which_everything_is_slow_is_bounded(self):
        """Guards against hedges that multiply with the depth of a chain (P1)."""
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
                # The first attempt holds half of the allowance, rounded up, so that an allowance
                # of 1 pays for no second one.
                self.assertTrue(allowance // 2 <= extra <= allowance, extra)
                for number in range(depth):
                    members = (fleet.members[f"hop{number:02}-{index}"] for index in (0, 1))
                    executions = sum(member.target.executions["one"] for member in members)
                    self.assertTrue(1 <= executions <= 1 + extra, (number, executions, extra))
