import asyncio

from gentianthread.standins.target import Behaviour

from ..fleets import FleetTestCase

CONTEXT_HEADER = "Gentian-Context"


class TestContextHandles(FleetTestCase):
    async def inner_call(self, fleet, name, path, handle=None, **options):
        """Send a request to a node's listener for inner calls, as its target does."""
        headers = {} if handle is None else {CONTEXT_HEADER: handle}
        url = f"{fleet.members[name].target.node_url}{path}"
        async with fleet.session.get(url, headers={**headers, **options}) as answer:
            return answer.status, answer.headers

    async def test_inner_call_inherits_the_organisation(self):
        """Guards against inner calls that need an API key or lose their deadline."""
        async with self.fleet() as fleet:
            target = fleet.members["catalogue-0"].target
            target.behaviour = Behaviour(inner_paths=("/pricing?id=inner",))
            status, _, _ = await self.call(
                fleet, "pricing-0", "/catalogue", headers={"Gentian-Deadline-Ms": "900"}
            )
            self.assertEqual((200, 1), (status, fleet.executions("inner")))
            seen = fleet.members["pricing-0"].target.seen[0]
            self.assertTrue(0 < int(seen.header("Gentian-Deadline-Ms")) <= 900)
            self.assertNotEqual(seen.header(CONTEXT_HEADER), target.seen[0].header(CONTEXT_HEADER))

    async def test_forged_stale_and_foreign_handles_do_not_run(self):
        """Guards against requests that run for an organisation without its key (P3)."""
        async with self.fleet() as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(service_ms=300)
            await self.call(fleet, "catalogue-0", "/catalogue?id=stale")
            stale = fleet.members["catalogue-0"].target.seen[0].header(CONTEXT_HEADER)
            running = asyncio.ensure_future(self.call(fleet, "pricing-0", "/pricing?id=run"))
            await self.until(lambda: fleet.members["pricing-0"].target.seen)
            foreign = fleet.members["pricing-0"].target.seen[0].header(CONTEXT_HEADER)
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

    async def test_handle_is_refused_at_the_caller_listener(self):
        """Guards against an outside caller that uses the handle of a running request."""
        async with self.fleet() as fleet:
            fleet.members["catalogue-0"].target.behaviour = Behaviour(service_ms=200)
            running = asyncio.ensure_future(self.call(fleet, "catalogue-0", "/catalogue"))
            target = fleet.members["catalogue-0"].target
            await self.until(lambda: target.seen)
            handle = target.seen[0].header(CONTEXT_HEADER)
            status, headers, _ = await self.call(
                fleet,
                "catalogue-0",
                "/pricing?id=bad",
                organisation=None,
                headers={CONTEXT_HEADER: handle},
            )
            self.assertEqual((403, "context_unknown"), (status, headers["Gentian-Refusal"]))
            await running
            self.assertEqual(0, fleet.executions("bad"))

    async def test_call_without_handle_runs_on_open_routes_only(self):
        """Guards against inner calls that run on behalf of no organisation."""
        async with self.fleet() as fleet:
            status, headers = await self.inner_call(fleet, "catalogue-0", "/pricing")
            self.assertEqual((401, "key_missing"), (status, headers["Gentian-Refusal"]))
            status, _ = await self.inner_call(fleet, "catalogue-0", "/open/pricing")
            self.assertEqual(200, status)

    async def test_handle_with_the_key_of_another_organisation_is_refused(self):
        """Guards against a request whose handle and key belong to different organisations."""
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
                            seen.header(CONTEXT_HEADER),
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
    async def test_withdrawn_key_is_refused_on_an_open_connection(self):
        """Guards against a withdrawn key that works on open connections (P5).

        Requests that are already running still complete.
        """
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
