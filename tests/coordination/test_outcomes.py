import asyncio

from gentianthread.coordination.admission import SlotAdmission
from gentianthread.coordination.routing import RoundRobinRouter
from gentianthread.ids import Outcome
from gentianthread.standins.target import Behaviour

from ..fleets import FleetTestCase, request_head


class RecordingRouter(RoundRobinRouter):
    def __init__(self, plan):
        super().__init__(plan)
        self.outcomes = []

    def attempt_finished(self, upstream_id, outcome, *rest):
        self.outcomes.append(outcome)


class TestOutcomes(FleetTestCase):
    """Check the outcomes reported to the router, which decide on the ejection of upstreams."""

    def install_recording_routers(self):
        self.routers = {}

        def adjust(upstream_id, parts):
            self.routers[upstream_id] = parts.router = RecordingRouter(parts.plan)

        return adjust

    async def test_outcomes_are_those_of_the_target(self):
        """Guards against ejected healthy upstreams, and failing ones that are not ejected."""
        cases = (
            (Behaviour(), {}, Outcome.SUCCESS),
            (Behaviour(status=404), {}, Outcome.SUCCESS),
            (Behaviour(status=500), {}, Outcome.FAILURE),
            (Behaviour(cut_before=True), {}, Outcome.LOST),
            (Behaviour(hang=True), {"Gentian-Deadline-Ms": "100"}, Outcome.TIMEOUT),
        )
        for links in (False, True):
            self.links = links
            async with self.fleet(adjust=self.install_recording_routers()) as fleet:
                for path in ("/catalogue", "/pricing"):
                    for behaviour, headers, expected in cases:
                        fleet.members[f"{path[1:]}-0"].target.behaviour = behaviour
                        await self.call(fleet, "catalogue-0", path, method="POST", headers=headers)
                        outcomes = self.routers["catalogue-0"].outcomes
                        self.assertIs(expected, outcomes[-1], (links, path, behaviour))

    async def test_failed_inner_call_does_not_count_against_the_hop_above(self):
        """Guards against the ejection of healthy upstreams above a failing one."""
        async with self.fleet(adjust=self.install_recording_routers()) as fleet:
            fleet.members["pricing-0"].target.behaviour = Behaviour(status=500)
            inner = Behaviour(inner_paths=("/pricing",))
            fleet.members["catalogue-0"].target.behaviour = inner
            status, _, _ = await self.call(fleet, "catalogue-0", "/catalogue")
            self.assertEqual(502, status)
            self.assertEqual(
                [Outcome.FAILURE, Outcome.CANCELLED], self.routers["catalogue-0"].outcomes
            )

    async def test_threshold_of_the_entry_node_reaches_every_hop(self):
        """Guards against hops that apply different shedding thresholds to one request (P2)."""
        admitted = []

        class Admission(SlotAdmission):
            async def admit(self, item):
                admitted.append((item.depth, item.passed_threshold))
                return await super().admit(item)

        def adjust(upstream_id, parts):
            parts.router = RecordingRouter(parts.plan)
            parts.router.entry_threshold = lambda item: 1.5
            parts.admission = Admission(4, parts.clock)

        async with self.fleet(adjust=adjust) as fleet:
            inner = Behaviour(inner_paths=("/pricing",))
            fleet.members["catalogue-0"].target.behaviour = inner
            await self.call(fleet, "catalogue-0", "/catalogue")
        self.assertEqual([(0, 1.5), (1, 1.5)], admitted)

    async def test_truncated_uploads_do_not_count_against_the_target(self):
        """Guards against callers that cause the ejection of an upstream by aborting uploads."""
        for links in (False, True):
            self.links = links
            async with self.fleet(adjust=self.install_recording_routers()) as fleet:
                outcomes = self.routers["catalogue-0"].outcomes
                port = fleet.members["catalogue-0"].node.caller_listener.port
                for path in ("/catalogue", "/pricing"):
                    for framing, body in (
                        (b"Content-Length: 90", b"x"),
                        (b"Content-Length: 90000", b"x" * 40_000),
                        (b"Transfer-Encoding: chunked", b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
                    ):
                        expected = len(outcomes) + 1
                        _, writer = await asyncio.open_connection("127.0.0.1", port)
                        writer.write(request_head("POST", path, framing) + body)
                        await writer.drain()
                        await asyncio.sleep(0.02)
                        writer.close()
                        await self.until(lambda: len(outcomes) == expected)  # noqa: B023
                        self.assertIs(Outcome.CANCELLED, outcomes[-1], (links, path, framing))
                for member in fleet.members.values():
                    self.assertEqual(0, member.node.admission.running)
