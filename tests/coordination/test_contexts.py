import asyncio

from gentianthread.standins.target import Behaviour

from ..fleets import FleetTestCase

CONTEXT = "Gentian-Context"


class TestContextHandles(FleetTestCase):
    async def inner_call(self, fleet, name, path, handle=None, **options):
        """Send a request to the listener for the target of a node."""
        headers = {} if handle is None else {CONTEXT: handle}
        url = f"{fleet.members[name].target.node_url}{path}"
        async with fleet.session.get(url, headers={**headers, **options}) as answer:
            return answer.status, answer.headers

    async def test_inner_call_inherits_the_organisation(self):
        """Guards against inner calls that need a key or lose their deadline."""
        async with self.fleet() as fleet:
            target = fleet.members["catalogue-0"].target
            target.behaviour = Behaviour(inner_paths=("/pricing?id=inner",))
            status, _, _ = await self.call(
                fleet, "pricing-0", "/catalogue", headers={"Gentian-Deadline-Ms": "900"}
            )
            self.assertEqual((200, 1), (status, fleet.executions("inner")))
            seen = fleet.members["pricing-0"].target.seen[0]
            self.assertTrue(0 < int(seen.header("Gentian-Deadline-Ms")) <= 900)
            self.assertNotEqual(seen.header(CONTEXT), target.seen[0].header(CONTEXT))

    async def test_forged_stale_and_foreign_handles_do_not_run(self):
        """Guards against requests that run for an organisation without its key (P3)."""
        async with self.fleet() as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(service_ms=300)
            await self.call(fleet, "catalogue-0", "/catalogue?id=stale")
            stale = fleet.members["catalogue-0"].target.seen[0].header(CONTEXT)
            running = asyncio.ensure_future(self.call(fleet, "pricing-0", "/pricing?id=run"))
            await self.until(lambda: fleet.members["pricing-0"].target.seen)
            foreign = fleet.members["pricing-0"].target.seen[0].header(CONTEXT)
            for handle in (
                "0" * 32,
                "",
                stale,
                foreign,
                f"{foreign}\N{LATIN SMALL LETTER E WITH ACUTE}",
            ):
                for path in ("/catalogue?id=bad", "/open/catalogue?id=bad"):
                    status, headers = await self.inner_call(fleet, "catalogue-0", path, handle)
                    self.assertEqual((403, "true"), (status, headers["Gentian-Not-Run"]))
                    self.assertEqual("context_unknown", headers["Gentian-Refusal"])
            await running
            self.assertEqual(0, fleet.executions("bad"))

    async def test_handle_is_worth_nothing_at_the_caller_listener(self):
        """Guards against callers that use a handle from outside."""
        async with self.fleet() as fleet:
            fleet.members["catalogue-0"].target.behaviour = Behaviour(service_ms=200)
            running = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/catalogue"))
            target = fleet.members["catalogue-0"].target
            await self.until(lambda: target.seen)
            handle = target.seen[0].header(CONTEXT)
            status, headers, _ = await self.call(
                fleet,
                "catalogue-0",
                "/pricing?id=bad",
                organisation=None,
                headers={CONTEXT: handle},
            )
            self.assertEqual((403, "context_unknown"), (status, headers["Gentian-Refusal"]))
            await running
            self.assertEqual(0, fleet.executions("bad"))

    async def test_call_without_handle_runs_on_open_routes_only(self):
        """Guards against a target that calls for nobody."""
        async with self.fleet() as fleet:
            status, headers = await self.inner_call(fleet, "catalogue-0", "/pricing")
            self.assertEqual((401, "key_missing"), (status, headers["Gentian-Refusal"]))
            status, _ = await self.inner_call(fleet, "catalogue-0", "/open/pricing")
            self.assertEqual(200, status)

    async def test_handle_does_not_carry_another_key(self):
        """Guards against a request that runs for another organisation than its key's."""
        async with self.fleet() as fleet:
            target = fleet.members["catalogue-0"].target
            statuses = []

            def choose(seen):
                async def calls():
                    from gentianthread.standins.fleet import key_of

                    for organisation in ("alpha", "beta"):
                        status, _ = await self.inner_call(
                            fleet,
                            "catalogue-0",
                            f"/pricing?id={organisation}",
                            seen.header(CONTEXT),
                            Authorization=f"Bearer {key_of(organisation)}",
                        )
                        statuses.append(status)

                self.calls = asyncio.ensure_future(calls())
                return Behaviour(service_ms=300)

            target.choose = choose
            await self.call(fleet, "catalogue-0", "/catalogue")
            await self.calls
            self.assertEqual([200, 401], statuses)


class TestKeys(FleetTestCase):
    async def test_withdrawn_key_stops_on_an_open_connection(self):
        """Guards against connected callers that keep a withdrawn key (P5); running work ends."""
        from gentianthread.standins.fleet import make_plan

        async with self.fleet() as fleet:
            fleet.members["pricing-0"].target.behaviour = Behaviour(service_ms=200)
            self.assertEqual(200, (await self.call(fleet, "catalogue-0", "/catalogue"))[0])
            running = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/pricing"))
            await self.until(lambda: fleet.members["pricing-0"].target.running)
            services = {"catalogue": 1, "pricing": 1}
            fleet.publish(
                make_plan(services, ("alpha", "beta"), version=2, withdrawn=frozenset({"alpha"}))
            )
            status, headers, _ = await self.call(fleet, "catalogue-0", "/catalogue")
            self.assertEqual((401, "key_unknown"), (status, headers["Gentian-Refusal"]))
            self.assertEqual(200, (await running)[0])
            status, _, _ = await self.call(fleet, "catalogue-0", "/catalogue", organisation="beta")
            self.assertEqual(200, status)
