from gentianthread.ids import RouteId

from ..base import TestCase
from ..plans import small_plan


class TestPlan(TestCase):
    def test_longest_prefix_wins(self):
        """Guards against an open route that also opens the paths of other routes."""
        plan = small_plan(services=("catalogue", "orders"))
        self.assertEqual(RouteId("orders-get"), plan.match_route("GET", "/orders/7").route_id)
        self.assertEqual(RouteId("orders-open"), plan.match_route("GET", "/open/orders").route_id)

    def test_prefix_matches_whole_segments(self):
        """Guards against requests for `/ordersx` on the route of `/orders`."""
        self.assertIsNone(small_plan(services=("orders",)).match_route("GET", "/ordersx"))

    def test_method_is_matched(self):
        """Guards against a non-idempotent request on an idempotent route of the same path."""
        plan = small_plan(services=("orders",))
        self.assertIsNone(plan.match_route("DELETE", "/orders"))
        self.assertFalse(plan.match_route("POST", "/orders").idempotent)
