import json

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianthread.standins.fleet import key_of

from ..fleets import FleetTestCase, raw_exchange, request_head

KEY = key_of("alpha").encode()


class TestHeads(FleetTestCase):
    async def refused(self, fleet, data):
        response = await raw_exchange(fleet.members["catalogue-0"].node.caller_listener.port, data)
        head, _, body = response.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        self.assertIn(b"Gentian-Not-Run: true", head)
        return status, json.loads(body)["refusal"]

    async def test_malformed_heads_get_a_typed_refusal(self):
        """Guards against untyped responses and stack traces for malformed heads."""
        cases = (
            (b"NONSENSE\r\n\r\n", 400),
            (b"GET / HTTP/9.9\r\n\r\n", 400),
            (b"GET /catalogue HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", 400),
            (b"GET /catalogue HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400),
            (b"GET /catalogue HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400),
            (b"GET /catalogue HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
            (b"GET /" + b"y" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
            (b"GET /a HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 300 + b"\r\n", 431),
            (request_head("POST", "/catalogue", b"Content-Length: 3", b"Content-Length: 4"), 400),
            (
                request_head(
                    "POST", "/catalogue", b"Content-Length: 3", b"Transfer-Encoding: chunked"
                ),
                400,
            ),
        )
        async with self.fleet() as fleet:
            for data, expected in cases:
                status, reason = await self.refused(fleet, data)
                self.assertEqual((expected, "header_invalid"), (status, reason), data[:60])
            self.assertEqual([], fleet.members["catalogue-0"].target.seen)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.binary(min_size=1, max_size=200))
    def test_any_bytes_leave_the_listener_working(self, data):
        """Guards against bytes that stop a node or reach a target."""
        self.run_bytes(data)

    async def run_bytes_async(self, data):
        async with self.fleet({"catalogue": 1}) as fleet:
            port = fleet.members["catalogue-0"].node.caller_listener.port
            await raw_exchange(port, data + b"\r\n\r\nGET / HTTP/1.0\r\n\r\n", timeout_s=2)
            self.assertEqual([], fleet.members["catalogue-0"].target.seen)
            self.assertEqual(200, (await self.call(fleet, "catalogue-0", "/catalogue"))[0])

    def run_bytes(self, data):
        import asyncio

        asyncio.run(self.run_bytes_async(data))

    async def test_key_in_a_trailer_never_reaches_a_target(self):
        """Guards against API keys in trailers, which the node drops."""
        async with self.fleet() as fleet:
            for path in ("/catalogue", "/pricing"):
                head = request_head(
                    "POST", path, b"Transfer-Encoding: chunked", b"Connection: close"
                )
                data = head + b"3\r\nabc\r\n0\r\nX-Key: " + KEY + b"\r\n\r\n"
                response = await raw_exchange(
                    fleet.members["catalogue-0"].node.caller_listener.port, data
                )
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                seen = fleet.members[f"{path[1:]}-0"].target.seen
                self.assertEqual((1, 3), (len(seen), seen[0].body_bytes))
                self.assertNotIn("gtk_", repr(seen))

    async def test_expected_continue_is_answered(self):
        """Guards against callers that wait for an interim response 100 before their body."""
        async with self.fleet() as fleet:
            for path in ("/catalogue", "/pricing"):
                status, _, _ = await self.call(
                    fleet, "catalogue-0", path, method="POST", data=b"x" * 50_000, expect100=True
                )
                self.assertEqual(200, status)
                target = fleet.members[f"{path[1:]}-0"].target
                self.assertEqual(50_000, target.seen[-1].body_bytes)

    async def test_head_requests_have_no_body(self):
        """Guards against a body after HEAD, which would be parsed as the next response."""
        async with self.fleet() as fleet:
            port = fleet.members["catalogue-0"].node.caller_listener.port
            data = request_head("HEAD", "/catalogue") + request_head(
                "GET", "/nowhere", b"Connection: close"
            )
            response = await raw_exchange(port, data)
            self.assertEqual(2, response.count(b"HTTP/1.1 404"), response)

    async def test_old_callers_get_a_plain_answer(self):
        """Guards against chunked responses to HTTP/1.0."""
        from gentianthread.standins.target import Behaviour

        async with self.fleet() as fleet:
            for member in fleet.members.values():
                member.target.behaviour = Behaviour(chunked=True, body_bytes=40_000)
            for path in ("/open/catalogue", "/open/pricing"):
                port = fleet.members["catalogue-0"].node.caller_listener.port
                response = await raw_exchange(port, f"GET {path} HTTP/1.0\r\n\r\n".encode())
                head, _, body = response.partition(b"\r\n\r\n")
                self.assertEqual(40_000, len(body))
                self.assertNotIn(b"chunked", head)
