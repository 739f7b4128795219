import asyncio
import json

from gentianthread.coordination.routing import RoundRobinRouter
from gentianthread.standins.target import Behaviour, pattern

from ..fleets import FleetTestCase

# What a target writes again: an answer, and refusals by which it may say that it did not run.
BEHAVIOURS = (
    Behaviour(repeat_on_next=True),
    Behaviour(repeat_on_next=True, status=503, headers=(("Gentian-Not-Run", "true"),)),
    Behaviour(repeat_on_next=True, status=429, headers=(("Not-Executed", "true"),)),
    Behaviour(repeat_on_next=True, status=421),
)


class LevelRecorder(RoundRobinRouter):
    """Record the levels that come with answers."""

    def __init__(self, plan):
        super().__init__(plan)
        self.levels = []

    def attempt_finished(self, upstream_id, outcome, latency_ms, level, item=None):
        self.levels.append(level)


def record_levels(upstream_id, parts):
    parts.router = LevelRecorder(parts.plan)


class TestLateAnswers(FleetTestCase):
    async def order(self, fleet, name, **headers):
        """Send an order for 200 bytes, and return its status and its body."""
        status, _, body = await self.call(
            fleet, "catalogue-0", f"/pricing?id={name}&size=200", method="POST", headers=headers
        )
        return status, body

    async def test_copies_answer_no_order(self):
        """Guards against the copy of an earlier answer or refusal that answers an order (P7)."""
        for behaviour in BEHAVIOURS:
            async with self.fleet() as fleet:
                target = fleet.members["pricing-0"].target
                for number in range(6):
                    # Only each second request is answered twice.
                    target.behaviour = Behaviour() if number % 2 else behaviour
                    expected = target.behaviour.status, pattern(str(number), 200)
                    self.assertEqual(expected, await self.order(fleet, str(number)))
                    self.assertEqual(1, target.executions[str(number)])
                self.assertEqual(3, target.repeated)

    async def test_copies_under_load(self):
        """Guards against crossed answers where many connections carry copies at all times."""
        async with self.fleet() as fleet:
            target = fleet.members["pricing-0"].target

            def choose(seen):
                number = int(seen.target.partition("id=")[2].partition("&")[0])
                delay_ms = (None, 0, 1, 3)[number % 4]
                return Behaviour(
                    service_ms=number % 3, repeat_after_ms=delay_ms, repeat_on_next=number % 5 == 0
                )

            target.choose = choose
            # As many as the target runs at once; the queue would refuse further ones.
            senders = asyncio.Semaphore(16)

            async def send(number):
                async with senders:
                    return await self.order(fleet, str(number))

            answers = await asyncio.gather(*(send(number) for number in range(300)))
            for number, (status, body) in enumerate(answers):
                self.assertEqual((200, pattern(str(number), 200)), (status, body))
            self.assertGreater(target.repeated, 50)

    async def test_copy_is_not_recorded_for_a_key(self):
        """Guards against the answer of another request that is kept for an idempotency key."""
        async with self.fleet() as fleet:
            target = fleet.members["pricing-0"].target
            _, _, ticket = await self.call(
                fleet, "catalogue-0", "/.gentian/tickets?service=pricing", method="POST"
            )
            keyed = {"Idempotency-Key": json.loads(ticket)["idempotency_key"]}
            target.behaviour = Behaviour(repeat_on_next=True, status=503)
            await self.order(fleet, "one")
            target.behaviour = Behaviour()
            for _ in range(2):
                self.assertEqual(
                    (200, pattern("two", 200)), await self.order(fleet, "two", **keyed)
                )
            self.assertEqual((1, 1), (target.executions["two"], target.repeated))

    async def test_copy_does_not_drain_the_target(self):
        """Guards against a target out of service after the copy of its answer to a probe."""
        async with self.fleet() as fleet:
            member = fleet.members["pricing-0"]
            member.target.behaviour = Behaviour(repeat_on_next=True)
            member.target.draining = True
            await member.node.target_watch.check()
            self.assertIsNotNone(member.node.executor.leaving)
            member.target.draining = False
            await member.node.target_watch.check()
            self.assertIsNone(member.node.executor.leaving)
            self.assertEqual(0, member.node.metrics.counters["target.probes_failed"])
            self.assertEqual(1, member.target.repeated)

    async def test_attempts_have_ids_of_their_own(self):
        """Guards against retries and hedges that answers cannot be told apart by."""
        async with self.fleet({"catalogue": 1, "pricing": 3}, hedge_delay_ms=20.0) as fleet:
            targets = [member.target for member in fleet.members.values()]
            for target in targets:
                target.behaviour = Behaviour(status=500, service_ms=50.0)
            for number in range(5):
                await self.call(fleet, "catalogue-0", f"/pricing?id={number}")
            ids = [seen.header("Gentian-Request-Id") for target in targets for seen in target.seen]
            self.assertGreater(len(ids), 7)
            self.assertEqual(len(ids), len(set(ids)))

    async def test_target_with_two_upstream_ids(self):
        """Guards against a refusal that answers the next attempt, where both reach one target."""
        async with self.fleet({"catalogue": 1, "pricing": 2}) as fleet:
            target = fleet.members["pricing-0"].target
            own_target = await fleet.crash_node("pricing-1")
            await own_target.close()
            await fleet.start_node("pricing-1", target)
            for number in range(8):
                behaviours = [Behaviour(status=503, repeat_on_next=True, repeat_after_ms=0)]
                target.choose = lambda _, left=behaviours: left.pop() if left else None
                status, _, body = await self.call(
                    fleet, "catalogue-0", f"/pricing?id={number}&size=200"
                )
                self.assertEqual((200, pattern(str(number), 200)), (status, body))
                self.assertEqual(2, target.executions[str(number)])
            self.assertEqual(16, len({seen.header("Gentian-Request-Id") for seen in target.seen}))

    async def test_target_that_echoes_nothing_works(self):
        """Guards against lost orders, or a connection for each, where targets echo no ids."""
        async with self.fleet() as fleet:
            target = fleet.members["pricing-0"].target
            target.behaviour = Behaviour(echo_id=False)
            for number in range(10):
                self.assertEqual(
                    (200, pattern(str(number), 200)), await self.order(fleet, str(number))
                )
            self.assertEqual(1, fleet.members["pricing-0"].node.target.dialled)

    async def test_level_of_a_long_answer_keeps_its_age(self):
        """Guards against work that is shed by the load of a target at the start of a download."""
        async with self.fleet({"catalogue": 2, "pricing": 1}, adjust=record_levels) as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(chunk_delay_ms=100.0)
            for path in ("/catalogue?size=40000", "/pricing?size=40000"):
                await self.call(fleet, "catalogue-0", path)
                (level,) = fleet.members["catalogue-0"].node.attempts.router.levels
                self.assertGreater(level.age_ms, 200.0)
                fleet.members["catalogue-0"].node.attempts.router.levels.clear()
