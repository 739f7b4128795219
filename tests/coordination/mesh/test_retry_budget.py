from gentianthread.standins.mesh import answer_sealed, fail
from gentianthread.state.target_runs import LEAF_RUNS
from gentianthread.transport.http_pipeline import BufferedResponse

from .base import MeshTestCase

INNER = {"key": None, "host": "inner.example"}


class TestRetryBudget(MeshTestCase):
    def counts(self, at, service_id):
        """Return the requests, repeats and inherited repeats that a node counted for a service."""
        sidecar = self.sidecar(at)
        return sidecar.retry_budget.windows[service_id].counts(sidecar.clock.now_ms())

    async def answer_after_call(self, target, request):
        """Call another service, and answer 500 if the call fails."""
        reply = await self.call(target.upstream_id, "/ledger/1", **INNER)
        answer = await answer_sealed(target, request)
        status = answer.status if reply.status == 200 else 500
        return BufferedResponse(status, answer.headers, answer.body)

    async def answer_after_slow_failure(self, target, request):
        reply = await self.call(target.upstream_id, "/ledger/1", **INNER)
        answer = await fail(target, request)
        return BufferedResponse(500, answer.headers, reply.body)

    async def test_calls_of_a_repeated_run_are_counted_as_inherited(self):
        """Guards against calls of repeated runs that exceed the budget of the called service."""
        await self.start({"catalogue": 2, "orders": 1})
        names = ("catalogue-0", "catalogue-1")
        seen = []
        for name in names:
            target = self.target(name)
            target.behave = self.answer_after_slow_failure
            runs = self.sidecar(name).target.runs
            begin = runs.begin
            runs.begin = lambda request, now_ms, begin=begin: (
                seen.append((request.repeated, request.depth)),
                begin(request, now_ms),
            )
        orders = self.sidecar("orders-0").target.runs
        begin_order = orders.begin
        orders.begin = lambda request, now_ms: (
            seen.append((request.repeated, request.depth)),
            begin_order(request, now_ms),
        )
        await self.call("orders-0", "/stock/1")
        # The first run and its call, and the second run and its call.
        self.assertEqual([(False, 0), (False, 1), (True, 0), (True, 1)], seen)
        counted = [self.counts(name, "orders") for name in names]
        self.assertEqual([(0, 0, 1), (1, 0, 0)], sorted(counted))
        await self.stop()

    async def test_run_whose_call_was_refused_is_not_repeated(self):
        """Guards against a retry budget that is spent on runs which need the same calls again.

        Each of the calls of a repeated run counts against the budget of the service that refused.
        """
        await self.start({"catalogue": 2, "orders": 1})
        for name in ("catalogue-0", "catalogue-1"):
            self.target(name).behave = self.answer_after_call
        self.target("orders-0").refusal_status = lambda request: 503
        reply = await self.call("orders-0", "/stock/1")
        self.assertEqual(500, reply.status)
        runs = sum(len(self.target(f"catalogue-{place}").seen) for place in range(2))
        self.assertEqual(1, runs)
        await self.stop()

    async def test_nodes_learn_which_services_make_no_calls(self):
        """Guards against a budget that stays at a quarter at services that make no calls."""
        await self.start({"catalogue": 1, "orders": 1})
        self.target("catalogue-0").behave = self.answer_after_call
        for number in range(LEAF_RUNS):
            await self.call("orders-0", f"/stock/{number}")
        leaf_services = self.sidecar("catalogue-0").retry_budget.leaf_services
        self.assertTrue(leaf_services.is_leaf("orders"))
        self.assertFalse(self.sidecar("orders-0").retry_budget.leaf_services.is_leaf("catalogue"))
        await self.stop()
