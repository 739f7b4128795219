import asyncio
import socket
import struct
import threading
import time
from unittest import mock

from gentianthread.clock import SystemClock
from gentianthread.errors import ConnectionLost, DialError
from gentianthread.standins.mesh import wait_until
from gentianthread.state.carried_requests import MAX_REMEMBERED
from gentianthread.transport.event_loop import new_event_loop
from gentianthread.transport.target_connection import make_request
from gentianthread.transport.target_pool import (
    NO_RESEND_IDLE_LIMIT_MS,
    ReusedConnectionLost,
    StartedExchange,
    TargetPool,
)

from ..base import SocketTestCase

OK = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: 2\r\n\r\nok"


class TestTargetPool(SocketTestCase):
    async def open_pool(self, *responses):
        """Start a target and return a pool of connections to it.

        Args:
            responses: For each request, the bytes to send or a handler of its connection.
        """
        self.responses = list(responses)
        self.requests = []
        self.connections = 0

        async def serve(reader, writer):
            self.connections += 1
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.requests.append(head)
                    response = self.responses.pop(0)
                    if callable(response):
                        await response(reader, writer)
                    else:
                        writer.write(response)
            except (asyncio.IncompleteReadError, ConnectionError, IndexError):
                pass
            except asyncio.CancelledError:
                # The loop ends with the test.
                pass
            finally:
                writer.close()

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return TargetPool("127.0.0.1", port, lambda: 4, SystemClock(), "Request-Id")

    async def open_pool_of_hanging_target(self):
        """Return a pool whose target never responds, and an event set when its connection ends."""
        closed = asyncio.Event()

        async def wait(reader, writer):
            await reader.read()
            closed.set()
            writer.close()

        return await self.open_pool(wait), closed

    async def get(self, pool, name="a", idle_limit_ms=None, timeout_ms=5_000.0):
        fields = f"Host: h\r\nRequest-Id: {name}\r\n"
        request = make_request("GET", "/", fields, b"", name, timeout_ms)
        pooled = await pool.exchange(request, idle_limit_ms)
        return pooled.response

    async def test_connections_idle_as_long_as_a_dropped_one_are_not_reused(self):
        """Guards against repeated resets by a target that silently drops idle connections."""

        async def respond_then_reset(reader, writer):
            writer.write(OK % b"a")
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        pool = await self.open_pool(respond_then_reset, respond_then_reset, OK % b"c", OK % b"d")
        first, second = await asyncio.gather(self.get(pool), self.get(pool))
        self.assertEqual((200, 200), (first.status, second.status))
        for connection in pool._idle:
            connection.idle_since_ms -= 400.0
        error = await self.error_of(pool, "b")
        self.assertIsInstance(error, ReusedConnectionLost)
        self.assertEqual(200, (await self.get(pool, "c")).status)
        self.assertEqual((3, 1), (pool.dialled, pool.open_connections))

    async def test_timeout_on_a_reused_connection_discards_those_idle_with_it(self):
        """Guards against repeated timeouts when all idle connections are dead.

        Requests would still fail 3 s after the fault that silenced the connections.
        """

        async def go_silent(reader, writer):
            writer.write(OK % b"a")
            await reader.read()

        pool = await self.open_pool(go_silent, go_silent, OK % b"c")
        await asyncio.gather(self.get(pool), self.get(pool))
        with self.assertRaises(TimeoutError):
            await self.get(pool, "b", timeout_ms=50.0)
        self.assertEqual(200, (await self.get(pool, "c")).status)
        self.assertEqual((3, 1), (pool.dialled, pool.open_connections))

    async def error_of(self, pool, name):
        try:
            await self.get(pool, name)
        except ConnectionLost as error:
            return error

    async def test_endless_idle_timeout_does_not_lose_the_response(self):
        """Guards against a ready response that is lost by a number too large for a float."""
        for digits in (400, 5_000):
            keep_alive = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%b\r\n" % (b"9" * digits)
            pool = await self.open_pool(
                *((OK % name).replace(b"HTTP/1.1 200 OK\r\n", keep_alive) for name in (b"a", b"b"))
            )
            for name in ("a", "b"):
                self.assertEqual(200, (await self.get(pool, name)).status)
            self.assertEqual(1, pool.open_connections)

    async def test_body_in_two_chunks_is_complete(self):
        """Guards against a response that is returned without the bytes received later."""

        async def slowly(reader, writer):
            writer.write((OK % b"a")[:-2])
            await asyncio.sleep(0.02)
            writer.write(b"ok")

        pool = await self.open_pool(slowly)
        response = await self.get(pool)
        self.assertEqual((200, b"ok"), (response.status, response.body))

    async def test_connection_is_reused_for_the_next_request(self):
        """Guards against a new connection for each request, which costs the target time."""
        pool = await self.open_pool(OK % b"a", OK % b"b")
        await self.get(pool, "a")
        await self.get(pool, "b", NO_RESEND_IDLE_LIMIT_MS)
        self.assertEqual((1, 1), (self.connections, pool.dialled))

    # Guards against the copy of an answer that is taken for that of the next attempt.
    async def test_open_connections_are_known_while_idle_and_in_use(self):
        """Guards against a target that started again unnoticed, or is suspected without need."""
        hanging = asyncio.Event()

        async def end_later(reader, writer):
            await hanging.wait()
            writer.close()

        pool = await self.open_pool(OK % b"a", end_later)
        self.assertFalse(pool.has_open_connection())
        await self.get(pool)
        self.assertTrue(pool.has_open_connection())
        request = asyncio.ensure_future(self.get(pool, "b"))
        await wait_until(lambda: len(self.requests) == 2)
        self.assertTrue(pool.has_open_connection())
        hanging.set()
        with self.assertRaisesType(ConnectionLost):
            await request
        self.assertFalse(pool.has_open_connection())
        self.server.close()
        with self.assertRaisesType(DialError):
            await self.get(pool, "c")
        self.assertFalse(pool.has_open_connection())

    async def test_idle_connection_that_the_target_closed_does_not_count_as_open(self):
        """Guards against a crash of an idle target that is noticed only by its entry."""

        async def respond_then_close(reader, writer):
            writer.write(OK % b"a")
            await asyncio.sleep(0.05)
            writer.close()

        pool = await self.open_pool(respond_then_close)
        await self.get(pool)
        self.assertTrue(pool.has_open_connection())
        await wait_until(lambda: not pool.has_open_connection())
        pool.close()
        self.server.close()

    async def test_connection_carries_a_request_only_once(self):
        """Guards against two attempts of a request that the id in an answer cannot tell apart."""
        pool = await self.open_pool(OK % b"a", OK % b"a", OK % b"b", OK % b"a")
        for name, connections in (("a", 1), ("a", 2), ("b", 2), ("a", 3)):
            await self.get(pool, name, NO_RESEND_IDLE_LIMIT_MS)
            self.assertEqual(connections, self.connections)
        self.assertEqual(3, pool.open_connections)

    async def test_started_exchange_uses_no_connection_that_has_carried_the_request(self):
        """Guards against the same for requests that are sent without a task."""
        pool = await self.open_pool(OK % b"a", OK % b"b")
        await self.get(pool, "a")
        results = []
        for name in ("a", "b"):
            request = make_request("GET", "/", f"Request-Id: {name}\r\n", b"", name, 5_000.0)
            exchange = pool.start_exchange(request, None, results.append)
            self.assertEqual(name == "b", exchange is not None)
        await wait_until(lambda: results)
        self.assertEqual((200, 1), (results[0].response.status, results[0].connection_number))

    async def test_connections_that_are_passed_over_stay_idle_in_their_order(self):
        """Guards against connections that leak, or whose idle times are no longer in order."""
        pool = await self.open_pool(OK % b"a", OK % b"a", OK % b"a", OK % b"b")
        for _ in range(3):
            await self.get(pool, "a")
        idle = list(pool._idle)
        self.assertEqual([1, 2, 3], [connection.number for connection in idle])
        await self.get(pool, "b")
        self.assertEqual((3, idle), (pool.open_connections, list(pool._idle)))

    async def test_connection_that_remembers_too_many_requests_is_closed(self):
        """Guards against ids that fill the memory, and against forgetting one to make room."""
        names = [b"%d" % number for number in range(MAX_REMEMBERED + 1)]
        pool = await self.open_pool(*(OK % name for name in names))
        for name in names:
            await self.get(pool, name.decode())
        self.assertEqual((2, 1), (pool.dialled, pool.open_connections))

    async def test_truncated_response_is_an_error(self):
        """Guards against a truncated body that looks complete."""

        async def cut(reader, writer):
            writer.write((OK % b"a")[:-1])
            writer.close()

        pool = await self.open_pool(cut)
        with self.assertRaisesType(ConnectionLost):
            await self.get(pool)

    async def test_response_without_length_ends_with_the_connection(self):
        """Guards against the loss of responses that end with their connection."""

        async def close(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nall of it")
            writer.close()

        pool = await self.open_pool(close)
        self.assertEqual(b"all of it", (await self.get(pool)).body)

    # Guards against a pool that closes idle connections for want of one that is no longer open.
    async def test_connection_of_a_cancelled_check_after_its_response_is_released(self):
        """Guards against a connection that is counted as open for the life of the process."""

        async def close(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\nall of it")
            writer.close()

        pool = await self.open_pool(OK % b"a", close)
        await self.get(pool, "a")
        request = make_request("GET", "/", "Request-Id: b\r\n", b"", "b", 5_000.0)
        cancelled = []
        handle_result = StartedExchange.handle_result

        def handle_and_cancel(exchange, result):
            # The caller leaves before the task of the check has made its first step.
            handle_result(exchange, result)
            exchange.cancel()
            cancelled.append(exchange)

        with mock.patch.object(StartedExchange, "handle_result", handle_and_cancel):
            pool.start_exchange(request, None, self.fail)
            await wait_until(lambda: cancelled)
        await asyncio.sleep(0.05)
        self.assertEqual(0, pool.open_connections)

    async def test_crash_of_the_target_does_not_complete_a_response(self):
        """Guards against a body that looks complete although the target crashed while sending it.

        A crash closes the connection like the end of a response without a length.
        """

        async def crash(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf")
            await asyncio.sleep(0.01)
            writer.close()
            # A crashing process closes its port shortly after its connections.
            await asyncio.sleep(0.005)
            self.server.close()

        pool = await self.open_pool(crash)
        with self.assertRaisesType(ConnectionLost):
            await self.get(pool)

    async def test_only_a_target_that_does_not_listen_has_crashed(self):
        """Guards against taking a lost connection for a crash, or a crash for a lost connection."""
        pool = await self.open_pool(OK % b"a")
        self.assertFalse(await pool.has_crashed())
        # The connection that was opened for the check serves the next request.
        self.assertEqual(b"ok", (await self.get(pool)).body)
        self.assertEqual(1, self.connections)
        self.server.close()
        pool.close()
        self.assertTrue(await pool.has_crashed())
        self.assertEqual(0, pool.open_connections)

    async def test_reset_does_not_complete_a_response(self):
        """Guards against a response without a length that looks complete although it was reset."""

        async def reset(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf")
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def with_reset(reader, writer):
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            await reset(reader, writer)

        pool = await self.open_pool(with_reset)
        with self.assertRaisesType(ConnectionLost):
            await self.get(pool)

    def test_reset_together_with_bytes_does_not_complete_a_response(self):
        """Guards against a body that looks complete although a reset arrived together with it.

        In this case, the event loop of the sidecar reports an end instead of a reset.
        """
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)

        def serve():
            while True:
                try:
                    raw, _ = listening.accept()
                except OSError:
                    # The test closed the socket.
                    return
                raw.recv(1_000)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                raw.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf")
                raw.close()

        threading.Thread(target=serve, daemon=True).start()
        port = listening.getsockname()[1]

        async def main():
            pool = TargetPool("127.0.0.1", port, lambda: 4, SystemClock(), "Request-Id")
            task = asyncio.ensure_future(self.get(pool))
            await asyncio.sleep(0.01)
            # Blocks the loop until both the bytes and the reset have arrived.
            time.sleep(0.1)  # noqa: ASYNC251
            with self.assertRaisesType(ConnectionLost):
                await task

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(main())

    async def test_bytes_after_a_response_are_discarded(self):
        """Guards against extra bytes that are parsed as the next response."""
        pool = await self.open_pool(OK % b"a" + b"HTTP/1.1 200 OK\r\n", OK % b"b")
        self.assertEqual(b"ok", (await self.get(pool, "a")).body)
        self.assertEqual(b"ok", (await self.get(pool, "b")).body)
        self.assertEqual(2, self.connections)

    async def test_response_before_garbage_is_complete(self):
        """Guards against the loss of a response that was complete before the malformed bytes."""
        pool = await self.open_pool(OK % b"a" + b"\x00\xffgarbage\r\n\r\n", OK % b"b")
        self.assertEqual(b"ok", (await self.get(pool, "a", NO_RESEND_IDLE_LIMIT_MS)).body)
        self.assertEqual(b"ok", (await self.get(pool, "b")).body)
        self.assertEqual(2, self.connections)

    async def test_second_response_to_an_earlier_request_is_skipped(self):
        """Guards against a response that belongs to another request."""
        stale_response = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold"
        pool = await self.open_pool(stale_response + OK % b"a")
        self.assertEqual(b"ok", (await self.get(pool)).body)
        self.assertEqual(0, len(pool._idle))

    async def test_copy_of_the_answer_to_a_head_request_hides_no_answer(self):
        """Guards against body bytes that pass for a refusal, behind a copy without its body."""
        refusal = b"HTTP/1.1 503 X\r\nRequest-Id: b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: %d\r\n\r\n" % len(refusal)
        head_answer = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n" % len(head)
        pool = await self.open_pool(head_answer, head_answer + head + refusal)
        await pool.exchange(make_request("HEAD", "/", "Request-Id: a\r\n", b"", "a", 5_000.0))
        self.assertIsInstance(await self.error_of(pool, "b"), ReusedConnectionLost)
        self.assertEqual(0, pool.open_connections)

    async def test_copy_before_the_answer_to_a_head_request_is_skipped(self):
        """Guards against a lost answer where the end of the copy is known."""
        pool = await self.open_pool(OK % b"a", OK % b"a" + (OK % b"b")[:-2])
        await self.get(pool, "a")
        request = make_request("HEAD", "/", "Request-Id: b\r\n", b"", "b", 5_000.0)
        pooled = await pool.exchange(request)
        self.assertEqual((200, b""), (pooled.response.status, pooled.response.body))

    async def test_garbage_is_an_error(self):
        """Guards against malformed bytes of a target that reach a caller."""
        pool = await self.open_pool(b"garbage\r\n\r\n")
        with self.assertRaisesType(ConnectionLost):
            await self.get(pool)

    async def test_failures_of_reused_and_new_connections_differ(self):
        """Guards against a resend after a failure that was not caused by an idle timeout."""

        async def respond_then_reset(reader, writer):
            writer.write(OK % b"a")
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        async def close_at_once(reader, writer):
            writer.transport.abort()

        pool = await self.open_pool(respond_then_reset, close_at_once, OK % b"d")
        await self.get(pool, "a")
        with self.assertRaisesType(ReusedConnectionLost):
            await self.get(pool, "b")
        with self.assertRaisesType(ConnectionLost) as caught:
            await self.get(pool, "c")
        self.assertNotIsInstance(caught.exception, ReusedConnectionLost)
        self.assertEqual(b"ok", (await self.get(pool, "d")).body)

    async def test_pool_sends_a_request_once(self):
        """Guards against a request that runs twice after a reset of a reused connection."""

        async def respond_then_reset(reader, writer):
            writer.write(OK % b"a")
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.transport.abort()

        pool = await self.open_pool(respond_then_reset, OK % b"b")
        await self.get(pool, "a")
        with self.assertRaisesType(ConnectionLost):
            await self.get(pool, "b", NO_RESEND_IDLE_LIMIT_MS)
        self.assertEqual(2, len(self.requests))

    async def test_cancelled_request_closes_its_connection(self):
        """Guards against a target that keeps running the request of a caller who is gone."""
        pool, closed = await self.open_pool_of_hanging_target()
        task = asyncio.ensure_future(self.get(pool))
        await asyncio.sleep(0.02)
        task.cancel()
        async with asyncio.timeout(2):
            await closed.wait()
        self.assertEqual(0, pool.open_connections)

    async def test_timeout_closes_the_connection(self):
        """Guards against a target that keeps running a request after its timeout."""
        pool, closed = await self.open_pool_of_hanging_target()
        with self.assertRaisesType(TimeoutError):
            await self.get(pool, timeout_ms=30.0)
        async with asyncio.timeout(2):
            await closed.wait()
        self.assertEqual(0, pool.open_connections)

    async def test_unreachable_target_is_a_dial_error(self):
        """Guards against an unknown outcome although no connection was opened."""
        pool = await self.open_pool()
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaisesType(DialError):
            await self.get(pool)

    async def test_cancelled_check_of_the_target_releases_the_connection_once(self):
        """Guards against a pool that counts fewer connections than are open.

        After a response that ended with its connection, the pool checks whether the target still
        listens, and the caller may cancel the exchange in that time.
        """

        async def close(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: b\r\n\r\nall of it")
            writer.close()

        pool = await self.open_pool(OK % b"a", close)
        await self.get(pool, "a")
        ended = []
        request = make_request("GET", "/", "Host: h\r\nRequest-Id: b\r\n", b"", "b", 5_000.0)
        started = pool.start_exchange(request, None, ended.append)
        await wait_until(lambda: not pool.open_connections)
        started.cancel()
        self.assertEqual(0, pool.open_connections)
        await asyncio.sleep(0.1)
        self.assertEqual([], ended)
