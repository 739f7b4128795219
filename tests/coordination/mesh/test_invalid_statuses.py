from gentianthread.standins.mesh import plan_document

from . import test_faulty_targets
from .base import MeshTestCase
from .test_faulty_targets import NOT_RUN, SEAL, request_id_of


def render(status, request_id, framing, *, seal=True, not_run=False, interim=False):
    """Return a response with a status of three digits."""
    lines = [b"HTTP/1.1 %03d X" % status, b"Request-Id: " + request_id]
    lines += [SEAL] if seal else []
    lines += [NOT_RUN] if not_run else []
    body = {b"length": b"ok", b"chunked": b"2\r\nok\r\n0\r\n\r\n", b"close": b"ok"}.get(
        framing, b""
    )
    if framing in (b"length", b"head"):
        lines.append(b"Content-Length: 2")
    elif framing == b"chunked":
        lines.append(b"Transfer-Encoding: chunked")
    head = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" if interim else b""
    return head + b"\r\n".join(lines) + b"\r\n\r\n" + body


class TestInvalidStatuses(MeshTestCase):
    timeout_s = 60
    start_faulty = test_faulty_targets.TestFaultyTargets.start_faulty
    stop_faulty = test_faulty_targets.TestFaultyTargets.stop_faulty

    async def check_statuses(self, statuses):
        for status in statuses:
            for framing in (b"length", b"chunked", b"close", b"head"):
                for options in ({}, {"seal": False}, {"interim": True}):
                    await self.check_status(status, framing, options)

    async def check_status(self, status, framing, options):
        self.answer_options = (status, framing, options)
        before = len(self.ran)
        method = "HEAD" if framing == b"head" else "POST"
        reply = await self.call("catalogue-0", "/order/1", method=method, body=b"")
        self.assertEqual(
            (502, 1), (reply.status, len(self.ran) - before), (status, framing, options)
        )

    async def start_invalid(self):
        async def answer(head, number, writer, upstream_id):
            self.ran.append(request_id_of(head))
            status, framing, options = self.answer_options
            writer.write(render(status, request_id_of(head), framing, **options))
            return framing != b"close"

        await self.start_faulty(answer)

    async def test_statuses_over_599_reach_no_caller(self):
        """Guards against a response of a target in trouble that its caller takes for an answer."""
        await self.start_invalid()
        await self.check_statuses((600, 999))
        await self.stop_faulty()

    async def test_statuses_under_100_reach_no_caller(self):
        """Guards against a response of a target in trouble that its caller takes for an answer."""
        await self.start_invalid()
        await self.check_statuses((0, 42, 99))
        await self.stop_faulty()

    async def test_invalid_response_that_says_it_has_not_run_is_no_promise(self):
        """Guards against trust in one part of a response whose other part is invalid."""
        await self.start_invalid()
        for status in (0, 99, 600, 999):
            await self.check_status(status, b"length", {"not_run": True, "seal": False})
        await self.stop_faulty()

    async def test_invalid_response_to_a_read_is_tried_elsewhere(self):
        """Guards against an invalid response that ends a request which may be repeated."""

        async def answer(head, number, writer, upstream_id):
            self.ran.append(request_id_of(head))
            status = 600 if len(self.ran) == 1 else 200
            writer.write(render(status, request_id_of(head), b"length"))

        await self.start_faulty(answer)
        plan = plan_document(2)
        plan["routes"]["order"]["kind"] = "idempotent"
        await self.publish(2, routes=plan["routes"])
        reply = await self.call("catalogue-0", "/order/1")
        self.assertEqual((200, 2), (reply.status, len(self.ran)))
        await self.stop_faulty()
