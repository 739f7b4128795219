import tracemalloc

from gentianthread.state.memory_budget import (
    SMALL_HOLDER_BYTES,
    MemoryBudget,
    MemoryOwner,
    buffer_bytes,
    capacity_of,
    fields_bytes,
)
from gentianthread.transport.header_fields import HeaderFields

from ..base import TestCase

MB = 1024 * 1024


class TestMemoryBudget(TestCase):
    def setUp(self):
        super().setUp()
        self.now_ms = 0.0
        self.budget = MemoryBudget(100 * MB, lambda: self.now_ms)

    def test_releases_return_each_byte_once(self):
        """Guards against a sum that drifts as memory is returned twice or never."""
        budget = self.budget
        budget.charge(MemoryOwner.WAITING, "a", 10)
        budget.charge(MemoryOwner.WAITING, "a", 5)
        budget.charge(MemoryOwner.ANSWER_OUT, "a", 7)
        budget.release(MemoryOwner.WAITING, "a", 10)
        self.assertEqual((12, 5), (budget.total_bytes, budget.sum_of(MemoryOwner.WAITING)))
        budget.release(MemoryOwner.WAITING, "a")
        budget.release(MemoryOwner.WAITING, "a")
        budget.release(MemoryOwner.ANSWER_OUT, "a", 100)
        budget.release(MemoryOwner.LINK_IN, "b")
        self.assertEqual((0, 22), (budget.total_bytes, budget.peak_bytes))

    def test_victim_holds_most_and_progresses_least(self):
        """Guards against refusing a large request that progresses in place of a stalled one."""
        budget = self.budget
        budget.hold(MemoryOwner.BODY, "large", 30 * MB)
        budget.hold(MemoryOwner.BODY, "stalled", 20 * MB)
        budget.hold(MemoryOwner.HEAD, "small", 1_000)
        self.assertEqual("large", budget.victim())
        self.now_ms = 5_000.0
        budget.hold(MemoryOwner.BODY, "large", 31 * MB)
        self.assertEqual("stalled", budget.victim())
        budget.end_incomplete("stalled")
        budget.end_incomplete("large")
        self.assertEqual(("small", None), (budget.victim(), budget.victim(SMALL_HOLDER_BYTES)))

    def test_complete_requests_and_responses_are_never_victims(self):
        """Guards against losing the response to a request that has run."""
        budget = self.budget
        for owner in (MemoryOwner.WAITING, MemoryOwner.ANSWER_IN, MemoryOwner.ANSWER_OUT):
            budget.charge(owner, owner.value, 60 * MB)
        self.assertIsNone(budget.overfull_victim())

    def test_reserve_is_left_to_small_requests(self):
        """Guards against large requests that leave no memory to ordinary ones."""
        budget = self.budget
        budget.hold(MemoryOwner.HEAD, "small", 1_000)
        budget.charge(MemoryOwner.WAITING, "run", 85 * MB)
        self.assertTrue(budget.is_short())
        self.assertTrue(budget.is_full(MB))
        self.assertFalse(budget.is_full(1_000))
        self.assertIsNone(budget.overfull_victim())
        budget.hold(MemoryOwner.BODY, "large", MB)
        self.assertEqual("large", budget.overfull_victim())
        budget.end_incomplete("large")
        budget.charge(MemoryOwner.WAITING, "run", 20 * MB)
        self.assertEqual("small", budget.overfull_victim())

    def test_oldest_large_request_that_progresses_reads_on(self):
        """Guards against large bodies that all wait for each other, and against a stalled one."""
        budget = self.budget
        budget.hold(MemoryOwner.BODY, "first", MB)
        budget.hold(MemoryOwner.BODY, "second", 2 * MB)
        self.assertEqual("first", budget.favoured(1_000.0))
        self.now_ms = 1_500.0
        self.assertIsNone(budget.favoured(1_000.0))
        budget.hold(MemoryOwner.BODY, "second", 3 * MB)
        self.assertEqual("second", budget.favoured(1_000.0))

    def test_largest_legal_body_fits_into_200_mb(self):
        """Guards against a budget that refuses a single body within the documented limits."""
        budget = MemoryBudget(capacity_of(200 * MB))
        budget.hold(MemoryOwner.BODY, "a", buffer_bytes(64 * MB) + fields_bytes(30, 16_384))
        self.assertIsNone(budget.overfull_victim())
        self.assertFalse(budget.is_full(64 * MB))


class TestCharges(TestCase):
    def measure_bytes(self, make):
        tracemalloc.start()
        try:
            made = make()
            return tracemalloc.get_traced_memory()[0], made
        finally:
            tracemalloc.stop()

    def test_fields_take_at_most_what_is_charged(self):
        """Guards against heads that take many times what is counted for them."""
        letters = "abcdefghijklmnopqrstuvwxyz"
        short = [(f"{a}{b}{c}".encode(), b"") for a in letters for b in letters for c in "123"]
        wide = [(f"n{n}".encode(), b"v" * 500 + "\U0001f600".encode()) for n in range(30)]
        raw = [(f"r{n}".encode(), b"\xff" * 500) for n in range(30)]
        for pairs in (short, wide, raw):

            def make(pairs=pairs):
                fields = HeaderFields()
                for name, value in pairs:
                    fields.add(name, value)
                return fields

            taken, _ = self.measure_bytes(make)
            text_bytes = sum(len(name) + len(value) for name, value in pairs)
            # The dictionary of a few fields is larger than their share of a long one.
            charged = fields_bytes(len(pairs), text_bytes) + 2_048
            self.assertLessEqual(taken, charged)

    def test_body_in_one_byte_chunks_takes_at_most_what_is_charged(self):
        """Guards against an object for each chunk."""

        def make():
            body = bytearray()
            for _ in range(200_000):
                body += b"xy"
            return body

        taken, body = self.measure_bytes(make)
        self.assertLessEqual(taken, buffer_bytes(len(body)) + 1_024)
