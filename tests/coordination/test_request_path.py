from gentianthread.standins.fleet import key_of
from gentianthread.standins.target import digest_of, pattern

from ..fleets import FleetTestCase


class TestRequestPath(FleetTestCase):
    async def test_request_crosses_two_nodes(self):
        """Guards against a broken request path, and API keys that reach a target (P4)."""
        async with self.fleet() as fleet:
            status, headers, body = await self.call(
                fleet, "catalogue-0", "/pricing?id=one&size=70000"
            )
            self.assertEqual(200, status)
            self.assertEqual(pattern("one", 16384) * 4 + pattern("one", 16384)[:4464], body)
            self.assertEqual(digest_of("one", 70000), headers["Standin-Digest"])
            seen = fleet.members["pricing-0"].target.seen
            self.assertEqual(1, len(seen))
            self.assertNotIn("gtk_", repr(seen))
            self.assertIsNone(seen[0].header("Authorization"))

    async def test_local_target_is_preferred(self):
        """Guards against requests forwarded to another node although the local target is free."""
        async with self.fleet({"catalogue": 2}) as fleet:
            for number in range(4):
                await self.call(fleet, "catalogue-1", f"/catalogue?id={number}")
            self.assertEqual(4, len(fleet.members["catalogue-1"].target.seen))

    async def test_body_reaches_the_target(self):
        """Guards against lost or truncated request bodies: short, long or without a length."""

        async def body_chunks():
            for _ in range(30):
                yield b"z" * 10_000

        async with self.fleet() as fleet:
            for path in ("/catalogue", "/pricing"):
                target = fleet.members[f"{path[1:]}-0"].target
                for data, length in (
                    (b"x" * 9, 9),
                    (b"y" * 300_000, 300_000),
                    (body_chunks(), 300_000),
                ):
                    status, _, _ = await self.call(
                        fleet, "catalogue-0", path, method="POST", data=data
                    )
                    self.assertEqual(200, status)
                    self.assertEqual(
                        (length, True), (target.seen[-1].body_bytes, target.seen[-1].body_complete)
                    )

    async def test_key_in_a_body_does_not_reach_the_target(self):
        """Guards against API keys that callers send in a body, short or long (P4)."""
        key = key_of("alpha").encode()
        async with self.fleet() as fleet:
            for path in ("/catalogue", "/pricing"):
                for data in (b"key=" + key, b"y" * 300_000 + key):
                    status, headers, _ = await self.call(
                        fleet, "catalogue-0", path, method="POST", data=data
                    )
                    self.assertEqual((400, "key_misplaced"), (status, headers["Gentian-Refusal"]))
                    self.assertNotIn("Gentian-Not-Run", headers)
                seen = fleet.members[f"{path[1:]}-0"].target.seen
                self.assertFalse(any(request.body_complete for request in seen))

    async def test_refusals_before_the_target(self):
        """Guards against requests that run without a valid API key (P3) or a matching route."""
        async with self.fleet() as fleet:
            cases = (
                ("/pricing", {"organisation": None}, 401, "key_missing"),
                ("/pricing", {"organisation": "gamma"}, 401, "key_unknown"),
                ("/elsewhere", {}, 404, "route_unknown"),
                ("/pricing?k=gtk_alpha1_x", {}, 400, "key_misplaced"),
                ("/pricing", {"headers": {"Gentian-Context": "0" * 32}}, 403, "context_unknown"),
                ("/pricing", {"headers": {"Gentian-Deadline-Ms": "0"}}, 504, "deadline_exceeded"),
            )
            for path, options, expected, reason in cases:
                status, headers, _ = await self.call(fleet, "catalogue-0", path, **options)
                self.assertEqual((expected, reason), (status, headers["Gentian-Refusal"]))
                self.assertEqual("true", headers["Gentian-Not-Run"])
            self.assertEqual([], fleet.members["pricing-0"].target.seen)
            status, _, _ = await self.call(fleet, "catalogue-0", "/open/pricing", organisation=None)
            self.assertEqual(200, status)
