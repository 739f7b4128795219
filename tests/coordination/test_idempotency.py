import asyncio
import json

from gentianthread.standins.target import Behaviour
from gentianthread.state.executions import DEFAULT_WINDOW_MS, ExecutionTable

from ..fleets import FleetTestCase, ShiftedClock

HOMES = ("pricing-0", "pricing-1")


def with_executions(**options):
    def adjust(upstream_id, parts):
        parts.executions = ExecutionTable(parts.clock, **options)

    return adjust


class TestIdempotency(FleetTestCase):
    async def fetch_ticket(self, fleet, entry="catalogue-0", service="pricing", **options):
        status, _, body = await self.call(
            fleet, entry, f"/.gentian/tickets?service={service}", method="POST", **options
        )
        return json.loads(body)["idempotency_key"] if status == 201 else None

    async def send_keyed(
        self, fleet, key, name, *, entry="catalogue-0", path="/pricing", **options
    ):
        headers = {"Idempotency-Key": key}
        return await self.call(
            fleet, entry, f"{path}?id={name}", method="POST", headers=headers, **options
        )

    def services(self):
        return {"catalogue": 1, "pricing": 2}

    def find_home(self, fleet, name):
        return next(home for home in HOMES if fleet.members[home].target.executions[name])

    async def test_repeat_after_the_end_gets_the_recorded_answer(self):
        """Guards against a second execution of a repeated key (P9), through any node."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet)
            first = await self.send_keyed(fleet, key, "one")
            for entry in ("catalogue-0", *HOMES):
                repeat = await self.send_keyed(fleet, key, "one", entry=entry)
                self.assertEqual((first[0], first[2]), (repeat[0], repeat[2]))
            self.assertEqual((200, 1), (first[0], fleet.executions("one")))

    async def test_long_answer_is_not_kept(self):
        """Guards against stored long answers, and a second execution because one isn't stored."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet)
            await self.send_keyed(fleet, key, "one&size=20000")
            status, headers, _ = await self.send_keyed(fleet, key, "one&size=20000")
            self.assertEqual((409, "already_run"), (status, headers["Gentian-Refusal"]))
            self.assertNotIn("Gentian-Not-Run", headers)
            self.assertEqual(1, fleet.executions("one"))

    async def test_repeat_while_running_is_in_progress(self):
        """Guards against concurrent executions of one key."""
        async with self.fleet(self.services()) as fleet:
            for name in HOMES:
                fleet.members[name].target.behaviour = Behaviour(service_ms=200)
            key = await self.fetch_ticket(fleet)
            first = asyncio.ensure_future(self.send_keyed(fleet, key, "one"))
            await self.until(lambda: fleet.executions("one"))
            for entry in ("catalogue-0", *HOMES):
                status, headers, _ = await self.send_keyed(fleet, key, "one", entry=entry)
                self.assertEqual((409, "in_progress"), (status, headers["Gentian-Refusal"]))
            self.assertEqual(200, (await first)[0])
            self.assertEqual(1, fleet.executions("one"))

    async def test_restarted_home_does_not_run_older_tickets(self):
        """Guards against a second execution after the home has lost its records in a restart."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet)
            await self.send_keyed(fleet, key, "one")
            home = self.find_home(fleet, "one")
            await fleet.start_node(home, await fleet.crash_node(home))
            status, headers, _ = await self.send_keyed(fleet, key, "one")
            self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertEqual(1, fleet.executions("one"))

    async def test_crashed_home_is_not_replaced_by_another_target(self):
        """Guards against a second execution by another node while the home is down."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet)
            await self.send_keyed(fleet, key, "one")
            home = self.find_home(fleet, "one")
            target = await fleet.crash_node(home)
            status, headers, _ = await self.send_keyed(fleet, key, "one")
            self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertEqual(1, fleet.executions("one") + target.executions["one"])
            await target.close()

    async def test_full_table_refuses_new_keys_only(self):
        """Guards against eviction of records before the end of their window."""
        async with self.fleet({"pricing": 1}, adjust=with_executions(record_limit=2)) as fleet:
            keys = [await self.fetch_ticket(fleet, "pricing-0") for _ in range(3)]
            answers = [
                await self.send_keyed(fleet, key, f"n{index}", entry="pricing-0")
                for index, key in enumerate(keys)
            ]
            self.assertEqual([200, 200, 503], [answer[0] for answer in answers])
            self.assertEqual("records_full", answers[2][1]["Gentian-Refusal"])
            self.assertEqual("true", answers[2][1]["Gentian-Not-Run"])
            self.assertEqual(
                200, (await self.send_keyed(fleet, keys[0], "n0", entry="pricing-0"))[0]
            )
            self.assertEqual([1, 1, 0], [fleet.executions(f"n{index}") for index in range(3)])

    async def test_refused_key_may_be_tried_again(self):
        """Guards against a refused request that uses up its key."""
        async with self.fleet({"pricing": 1}, slots=1) as fleet:
            target = fleet.members["pricing-0"].target
            target.behaviour = Behaviour(service_ms=200)
            key = await self.fetch_ticket(fleet, "pricing-0")
            other = asyncio.ensure_future(self.call(fleet, "pricing-0", "/pricing?id=other"))
            await self.until(lambda: target.running)
            status, headers, _ = await self.send_keyed(fleet, key, "one", entry="pricing-0")
            self.assertEqual((503, "true"), (status, headers["Gentian-Not-Run"]))
            await other
            self.assertEqual(200, (await self.send_keyed(fleet, key, "one", entry="pricing-0"))[0])
            self.assertEqual(1, fleet.executions("one"))

    async def test_lost_answer_makes_the_outcome_unknown(self):
        """Guards against a second execution after the answer of the first one was lost."""
        async with self.fleet(self.services()) as fleet:
            for name in HOMES:
                fleet.members[name].target.behaviour = Behaviour(cut_before=True)
            key = await self.fetch_ticket(fleet)
            for _ in range(2):
                status, headers, _ = await self.send_keyed(fleet, key, "one")
                self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertEqual(1, fleet.executions("one"))

    async def test_forged_and_foreign_tickets_do_not_run(self):
        """Guards against execution with altered, malformed or other organisations' tickets."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet, organisation="beta")
            forged = key[:-6] + "AAAA" + key[-2:]
            for ticket in (key, forged, "ticket1.x", "ticket1.!!.??"):
                status, headers, _ = await self.send_keyed(fleet, ticket, "one")
                self.assertEqual((400, "header_invalid"), (status, headers["Gentian-Refusal"]))
            self.assertIsNone(await self.fetch_ticket(fleet, organisation=None))
            self.assertEqual(0, fleet.executions("one"))

    async def test_key_with_another_request_is_refused(self):
        """Guards against a key reused for another request, which would get the wrong answer."""
        async with self.fleet(self.services()) as fleet:
            key = await self.fetch_ticket(fleet)
            await self.send_keyed(fleet, key, "one")
            status, headers, _ = await self.send_keyed(fleet, key, "two")
            self.assertEqual((400, "header_invalid"), (status, headers["Gentian-Refusal"]))
            self.assertEqual(0, fleet.executions("two"))

    async def test_caller_made_key_runs_only_after_a_whole_window(self):
        """Guards against a restarted home that executes a key which it executed before."""
        clock = ShiftedClock()

        def adjust(upstream_id, parts):
            parts.clock = clock

        async with self.fleet(self.services(), adjust=adjust) as fleet:
            status, headers, _ = await self.send_keyed(fleet, "order-1", "early")
            self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            clock.shift_ms += DEFAULT_WINDOW_MS
            for entry in ("catalogue-0", *HOMES):
                self.assertEqual(
                    200, (await self.send_keyed(fleet, "order-1", "one", entry=entry))[0]
                )
            self.assertEqual((0, 1), (fleet.executions("early"), fleet.executions("one")))

    async def test_longer_window_revives_no_ticket(self):
        """Guards against a second execution when a new profile extends the window of a ticket."""
        clock = ShiftedClock()

        def adjust(upstream_id, parts):
            parts.clock = clock

        async with self.fleet(self.services(), adjust=adjust) as fleet:
            tables = [fleet.members[home].node.idempotency.executions for home in HOMES]
            for table in tables:
                table.window_ms = 1_000.0
            key = await self.fetch_ticket(fleet)
            self.assertEqual(200, (await self.send_keyed(fleet, key, "one"))[0])
            clock.shift_ms += 1_500.0
            for table in tables:
                table.window_ms = DEFAULT_WINDOW_MS
            status, headers, _ = await self.send_keyed(fleet, key, "one")
            self.assertEqual((502, "unknown"), (status, headers["Gentian-Outcome"]))
            self.assertEqual(1, fleet.executions("one"))

    async def test_leaving_home_issues_no_ticket(self):
        """Guards against tickets whose home stops before they are used."""
        async with self.fleet(self.services()) as fleet:
            await fleet.members["pricing-0"].node.drain.begin()
            for number in range(4):
                key = await self.fetch_ticket(fleet)
                self.assertEqual(200, (await self.send_keyed(fleet, key, f"n{number}"))[0])
            self.assertEqual(4, sum(fleet.members["pricing-1"].target.executions.values()))
