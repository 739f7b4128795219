import asyncio

import logbook

from gentianthread.events import RUN_REJECTED, STRAY_ANSWER
from gentianthread.platform.names import DIALECT
from gentianthread.standins.mesh import TARGET_PORT, plan_document

from .base import MeshTestCase


def request_id_of(head):
    fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
    return fields[b"Request-Id"]


def render(status, request_id, *fields, body=b"ok"):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *fields]
    if request_id is not None:
        lines.append(b"Request-Id: " + request_id)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


SEAL = DIALECT.seal.encode() + b": seal"
NOT_RUN = DIALECT.not_run.encode() + b": 1"


class TestFaultyTargets(MeshTestCase):
    async def start_faulty(self, serve_request):
        """Start a mesh in which each target answers by a function of the request's head.

        Args:
            serve_request: Coroutine function of the head, the number of the request on its
                connection, the writer and the upstream's id; the connection ends if it returns
                False.
        """
        await self.start({"orders": 2, "catalogue": 1})
        self.ran = []
        self.servers = []
        for upstream_id in ("orders-0", "orders-1"):
            await self.target(upstream_id).close()

            async def serve(reader, writer, upstream_id=upstream_id):
                number = 0
                try:
                    while True:
                        head = await reader.readuntil(b"\r\n\r\n")
                        number += 1
                        if await serve_request(head, number, writer, upstream_id) is False:
                            break
                except (asyncio.IncompleteReadError, ConnectionError):
                    pass
                finally:
                    writer.close()

            host = self.target(upstream_id).host
            self.servers.append(await asyncio.start_server(serve, host, TARGET_PORT))

    async def stop_faulty(self):
        for server in self.servers:
            server.close()
        await self.stop()

    def check(self, reply):
        """Check that a reply is true, whatever the target did."""
        runs = self.ran.count(reply.request_id.encode())
        self.assertLessEqual(runs, 1)
        self.assertIn(reply.status, (200, 502, 503, 504))
        if reply.status == 503:
            self.assertEqual(0, runs)
        if reply.status == 200:
            self.assertEqual((1, b"ok"), (runs, reply.body))

    async def test_refusal_written_once_more_is_not_taken_for_that_of_a_later_request(self):
        """Guards against 'not run' for an order that runs, and against running it twice.

        A faulty target writes an earlier refusal again on a kept connection, while a later request
        runs there: with the earlier id or without one, alone or before the answer.
        """
        for status in (503, 429, 421, 400):
            for keeps_id in (True, False):
                for answers in (True, False):
                    await self.check_repeated_refusal(status, keeps_id, answers)

    async def check_repeated_refusal(self, status, keeps_id, answers):
        async def serve_request(head, number, writer, upstream_id):
            request_id = request_id_of(head)
            if number == 1:
                writer.refused_id = request_id
                # After a 421, the node would send nothing more for some time.
                first_status = 503 if status == 421 else status
                writer.write(render(first_status, request_id, NOT_RUN))
                return True
            self.ran.append(request_id)
            refused_id = writer.refused_id if keeps_id else None
            writer.write(render(status, refused_id, NOT_RUN))
            await asyncio.sleep(0.02)
            if answers:
                writer.write(render(200, request_id, SEAL))
            return answers

        await self.start_faulty(serve_request)
        for _ in range(6):
            self.check(await self.call("catalogue-0", "/order/1", method="POST", body=b"x"))
        self.assertLess(0, len(self.ran))
        await self.stop_faulty()

    async def test_refusal_written_twice_is_not_taken_for_that_of_the_next_request(self):
        """Guards against the same with a second refusal that arrives before the next request."""

        async def serve_request(head, number, writer, upstream_id):
            request_id = request_id_of(head)
            if number % 2:
                writer.write(render(503, request_id, NOT_RUN))
                await asyncio.sleep(0.002 * (number % 5))
                writer.write(render(503, request_id, NOT_RUN))
                return
            self.ran.append(request_id)
            await asyncio.sleep(0.02)
            writer.write(render(200, request_id, SEAL))

        await self.start_faulty(serve_request)
        for _ in range(20):
            self.check(await self.call("catalogue-0", "/order/1", method="POST", body=b"x"))
        await self.stop_faulty()

    # Guards against 502 for a request that runs: the copy of a refusal without an id comes first.
    async def test_connection_is_not_reused_after_an_answer_without_an_id(self):
        """Guards against the copy of an answer without an id in place of a later answer."""
        refusal = render(503, None, NOT_RUN)

        async def serve_request(head, number, writer, upstream_id):
            request_id = request_id_of(head)
            if number == 1 and request_id not in self.refused:
                self.refused.add(request_id)
                self.refusing.add(writer)
                writer.write(refusal)
                return
            self.ran.append(request_id)
            if writer in self.refusing:
                writer.write(refusal)
            writer.write(render(200, request_id, SEAL))

        self.refused, self.refusing = set(), set()
        await self.start_faulty(serve_request)
        for _ in range(5):
            orders = [self.call("catalogue-0", "/order/1", method="POST") for _ in range(8)]
            for reply in await asyncio.gather(*orders):
                self.assertEqual(200, reply.status)
                self.check(reply)
        await self.stop_faulty()

    async def test_log_tells_the_connection_of_a_refusal_and_of_its_copy(self):
        """Guards against a record that cannot tell a refusal from the copy of an earlier one.

        The copies come before the next request, with it, and right behind the refusal.
        """

        async def serve_request(head, number, writer, upstream_id):
            request_id = request_id_of(head)
            refusal = render(503, request_id, NOT_RUN)
            if number == 1:
                writer.write(refusal)
                writer.refusal = refusal
                if self.copies_at_once:
                    writer.write(refusal)
                return
            self.ran.append(request_id)
            writer.write(writer.refusal)
            writer.write(render(200, request_id, SEAL))

        for self.copies_at_once in (False, True):
            await self.start_faulty(serve_request)
            records = logbook.TestHandler()
            with records.applicationbound():
                for _ in range(4):
                    reply = await self.call("catalogue-0", "/order/1", method="POST", body=b"x")
                    self.check(reply)
            refusals, strays = (
                [
                    record.extra["fields"]
                    for record in records.records
                    if record.extra["number"] == event.number
                ]
                for event in (RUN_REJECTED, STRAY_ANSWER)
            )
            self.assertEqual((503, 1), (refusals[0]["status"], refusals[0]["request_number"]))
            connections = {line["connection"] for line in refusals}
            self.assertTrue(strays)
            self.assertLessEqual({line["connection"] for line in strays}, connections)
            await self.stop_faulty()

    async def test_answer_that_ends_in_its_head_is_no_success(self):
        """Guards against a 200 with an empty or short body for an answer without a whole head."""
        fields = (SEAL, b"Connection: close")
        whole = (
            render(200, b"%s", *fields),
            # Ends with its connection.
            b"HTTP/1.1 200 X\r\nRequest-Id: %s\r\n" + b"\r\n".join(fields) + b"\r\n\r\n",
            b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n"
            + SEAL
            + b"\r\n\r\n",
        )
        cuts = []

        async def serve_request(head, number, writer, upstream_id):
            request_id = request_id_of(head)
            self.ran.append(request_id)
            answer = whole[self.form].replace(b"%s", request_id)
            end = answer.index(b"\r\n\r\n") + 3
            cuts.append(min(end, 1 + self.cut * end // 40))
            writer.write(answer[: cuts[-1]])
            return False

        self.form = self.cut = 0
        await self.start_faulty(serve_request)
        for self.form in range(len(whole)):
            for self.cut in range(41):
                reply = await self.call("catalogue-0", "/order/1", method="POST", body=b"x")
                self.assertIn(reply.status, (502, 503), cuts[-1])
                self.check(reply)
        self.assertLess(100, len(cuts))
        await self.stop_faulty()

    async def test_target_answer_that_only_looks_like_a_refusal_is_no_promise(self):
        """Guards against an order that ran and whose caller is told that it did not.

        A faulty target can answer 503 after the work. Without the field that says so, and for 421
        with the seal of an answer, the target has not promised anything.
        """
        answers = ((503, ()), (503, (SEAL,)), (429, ()), (429, (SEAL,)), (408, ()), (421, (SEAL,)))
        for status, fields in answers:

            async def answer(head, number, writer, upstream_id, status=status, fields=fields):
                self.ran.append(request_id_of(head))
                writer.write(render(status, request_id_of(head), *fields))

            await self.start_faulty(answer)
            reply = await self.call("catalogue-0", "/order/1", method="POST", body=b"x")
            self.assertEqual((502, 1), (reply.status, len(self.ran)), (status, fields))
            self.assertNotIn(DIALECT.seal, reply.fields)
            await self.stop_faulty()

    async def test_refusal_of_a_read_is_passed_on(self):
        """Guards against an answer that is replaced although its caller may send it again."""

        async def answer(head, number, writer, upstream_id):
            writer.write(render(503, request_id_of(head), SEAL))

        await self.start_faulty(answer)
        plan = plan_document(2)
        plan["routes"]["order"]["kind"] = "idempotent"
        await self.publish(2, routes=plan["routes"])
        reply = await self.call("catalogue-0", "/order/1")
        self.assertEqual((503, "seal"), (reply.status, reply.fields[DIALECT.seal]))
        await self.stop_faulty()
