"""Crowds of untrusted callers, who keep to all limits of single requests.

The tests check no times and no shares of served requests: each process must live, stay within its
memory and descriptors, and answer an ordinary request.
"""

from ...base import SocketTestCase
from .untrusted_callers import (
    MAX_BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    Crowd,
    chunked,
    head,
    process_mesh,
    short_fields_head,
    sized,
)

HEAD_CALLERS = 250
BODY_CALLERS = 150
CHUNK_CALLERS = 60
SMALL_CHUNK_BODY_BYTES = 200_000
LARGEST_BODY_BYTES = 64 * 1024 * 1024
CALM_MEMORY_MB = 200
SLOW_READERS = 40
SLOW_ANSWER_BYTES = 4_000_000
SLOW_BYTES_PER_S = 100_000


def add_heads(crowd, host, path, count=HEAD_CALLERS):
    for _ in range(count):
        crowd.add(host, lambda: [short_fields_head(path)])


def add_bodies(crowd, host, path, count=BODY_CALLERS, method="POST"):
    """Add callers with bodies at once and in pieces, of which one in five is completed."""
    for index in range(count):
        missing, pieces = 0 if index % 5 == 0 else 1, 1 if index % 2 else 16
        crowd.add(
            host,
            lambda missing=missing, pieces=pieces: sized(
                path, MAX_BODY_BYTES, missing, pieces, method
            ),
        )


def add_chunks(crowd, host, path, count=CHUNK_CALLERS, method="POST"):
    """Add callers with chunks of one byte, two bytes and 64 KB."""
    for _ in range(count):
        for size, chunk_bytes in (
            (SMALL_CHUNK_BODY_BYTES // 2, 1),
            (SMALL_CHUNK_BODY_BYTES, 2),
            (MAX_BODY_BYTES, 65_536),
        ):
            crowd.add(
                host,
                lambda size=size, chunk_bytes=chunk_bytes: chunked(path, size, chunk_bytes, method),
            )


def add_slow_readers(crowd, host, path, count=SLOW_READERS):
    for _ in range(count):
        crowd.add(host, lambda: [head("GET", f"{path}size-{SLOW_ANSWER_BYTES}")], SLOW_BYTES_PER_S)


class TestUntrustedCallers(SocketTestCase):
    timeout_s = 60

    async def play(self, fill, services=("catalogue",), work_ms=1.0):
        async with process_mesh(services, work_ms) as mesh:
            crowd = Crowd()
            host = mesh.nodes[0].host
            try:
                fill(crowd, host)
                await crowd.stand()
                problem = ""
                try:
                    await mesh.call(host)
                except TimeoutError:
                    problem = "no answer to an ordinary request while the crowd stood"
            finally:
                await crowd.leave()
            found = [
                f"{node.host}: exit {node.process.returncode}, {node.peak_mb:.0f} MB, "
                f"{node.peak_fds} descriptors"
                for node in mesh.nodes
                if node.process.returncode is not None
                or node.peak_mb > MEMORY_MB
                or node.peak_fds > MAX_FDS
            ]
            if not problem:
                await mesh.call(host)
        self.assertEqual(([], ""), (found, problem))

    async def test_heads_of_very_many_short_fields(self):
        """Guards against heads of legal size that take sixty times their size in memory."""
        await self.play(lambda crowd, host: add_heads(crowd, host, "/stock/1"))

    async def test_bodies_that_stop_just_short_of_their_end(self):
        """Guards against bodies of legal size that fill the memory together."""
        await self.play(lambda crowd, host: add_bodies(crowd, host, "/stock/1"))

    async def test_chunked_bodies_that_stop_just_short_of_their_end(self):
        """Guards against small chunks that take far more than their size in memory."""
        await self.play(lambda crowd, host: add_chunks(crowd, host, "/stock/1"))

    async def test_slow_readers_of_large_answers(self):
        """Guards against answers that fill the memory while their callers read slowly."""
        await self.play(lambda crowd, host: add_slow_readers(crowd, host, "/stock/"))

    async def test_all_at_once(self):
        """Guards against limits that hold one by one, but not together."""

        def fill(crowd, host):
            add_heads(crowd, host, "/stock/1", HEAD_CALLERS // 2)
            add_bodies(crowd, host, "/stock/1", BODY_CALLERS // 2)
            add_chunks(crowd, host, "/stock/1", CHUNK_CALLERS // 2)
            add_slow_readers(crowd, host, "/stock/", SLOW_READERS // 2)

        await self.play(fill)

    async def test_bodies_for_another_node(self):
        """Guards against bodies and answers that fill the memory of either end of a link."""

        def fill(crowd, host):
            for index in range(BODY_CALLERS):
                pieces = 1 if index % 2 else 16
                crowd.add(host, lambda pieces=pieces: sized("/stock/1", MAX_BODY_BYTES, 0, pieces))
            add_slow_readers(crowd, host, "/stock/")

        await self.play(fill, ("orders", "catalogue"), work_ms=500.0)

    async def test_largest_legal_body_in_calm(self):
        """Guards against limits that refuse a single caller within the documented limits."""
        limits = {"max_body_bytes": LARGEST_BODY_BYTES}
        async with process_mesh(
            ("orders", "catalogue"), memory_mb=CALM_MEMORY_MB, limits=limits
        ) as mesh:
            host = mesh.nodes[0].host
            for path in ("/order/1", "/stock/1"):
                for pieces in (1, 64):
                    answer = await mesh.upload(host, sized(path, LARGEST_BODY_BYTES, 0, pieces))
                    self.assertIn(b" 200 ", answer)
            self.assertEqual([None, None], [node.process.returncode for node in mesh.nodes])
            peaks_mb = [node.peak_mb for node in mesh.nodes]
            self.assertLess(max(peaks_mb), CALM_MEMORY_MB)
