import attrs

from gentianthread.state.crash_suspects import (
    BLOCK_JITTER,
    FIRST_BLOCK_MS,
    LONG_BLOCK_MS,
    MAX_BLOCK_MS,
    MAX_SUSPECTS,
    SUSPICION_MS,
    Crash,
    CrashId,
    CrashSuspects,
    fingerprint_request,
)

from ..base import TestCase


@attrs.frozen
class Request:
    target: str
    organisation_id: str = "acme"
    method: str = "GET"
    body: bytes = b""


POISON = Request("/poison")


class FixedRandom:
    """Draw the same number each time."""

    value = 0.0

    def random(self):
        return self.value


class TestCrashSuspects(TestCase):
    def setUp(self):
        super().setUp()
        self.random = FixedRandom()
        self.suspects = CrashSuspects(self.random)
        self.number = 0

    def crash(self, *requests, at_ms=0.0):
        self.number += 1
        fingerprints = tuple(map(fingerprint_request, requests))
        crash = Crash(CrashId("10.0.0.1", self.number), "i-1", at_ms, fingerprints)
        self.assertTrue(self.suspects.record_crash(crash))
        return crash

    def test_request_lost_in_one_crash_is_not_blocked(self):
        """Guards against refusing all requests that a crash happens to interrupt."""
        self.crash(POISON)
        self.assertEqual(0, self.suspects.block_ms(POISON, 0.0))

    def test_second_crash_blocks_for_a_short_time(self):
        """Guards against a third crash while all targets of a service are still down."""
        self.crash(POISON)
        self.crash(POISON, at_ms=100.0)
        self.assertEqual(FIRST_BLOCK_MS, self.suspects.block_ms(POISON, 100.0))
        self.assertEqual(0, self.suspects.block_ms(POISON, 100.0 + FIRST_BLOCK_MS))

    def test_nodes_end_a_block_at_different_times(self):
        """Guards against nodes that all let a request through at once, each to another target."""
        self.random.value = 0.5
        self.crash(POISON)
        self.crash(POISON)
        self.assertEqual(
            FIRST_BLOCK_MS * (1 + 0.5 * BLOCK_JITTER), self.suspects.block_ms(POISON, 0.0)
        )

    def test_request_is_not_retried_after_its_block(self):
        """Guards against two further crashes by the first attempt after a block."""
        self.crash(POISON)
        self.assertTrue(self.suspects.may_retry(POISON))
        self.crash(POISON)
        self.assertFalse(self.suspects.may_retry(POISON))
        self.assertTrue(self.suspects.may_retry(Request("/other")))
        self.suspects.clear(fingerprint_request(POISON))
        self.assertTrue(self.suspects.may_retry(POISON))

    def test_each_crash_from_the_third_on_doubles_the_block(self):
        """Guards against a request that goes on crashing targets at a steady rate."""
        blocks_ms = []
        for _ in range(40):
            self.crash(POISON)
            blocks_ms.append(self.suspects.block_ms(POISON, 0.0))
        self.assertEqual([LONG_BLOCK_MS, 2 * LONG_BLOCK_MS, 4 * LONG_BLOCK_MS], blocks_ms[2:5])
        self.assertEqual(MAX_BLOCK_MS, blocks_ms[-1])

    def test_block_holds_for_one_path_caller_and_body(self):
        """Guards against blocking the other requests of a caller, or of a path."""
        for _ in range(3):
            self.crash(POISON)
        others = [
            Request("/other"),
            Request("/poison", organisation_id="another"),
            Request("/poison", method="POST"),
            Request("/poison", body=b"x"),
            Request("poison", organisation_id="acme\0GET\0/"),
        ]
        for other in others:
            self.assertEqual(0, self.suspects.block_ms(other, 0.0))

    def test_answered_request_is_no_suspect(self):
        """Guards against blocking a frequent request that runs whenever a target crashes."""
        frequent = Request("/frequent")
        for _ in range(5):
            self.crash(POISON, frequent)
            self.suspects.clear(fingerprint_request(frequent))
        self.assertEqual(0, self.suspects.block_ms(frequent, 0.0))
        self.assertGreater(self.suspects.block_ms(POISON, 0.0), 0)

    def test_only_the_answer_to_a_request_of_several_crashes_is_news(self):
        """Guards against a message to all nodes for each request that a crash interrupts."""
        self.crash(POISON)
        self.assertFalse(self.suspects.clear(fingerprint_request(POISON)))
        self.crash(POISON)
        self.crash(POISON)
        self.assertTrue(self.suspects.clear(fingerprint_request(POISON)))
        self.assertFalse(self.suspects)

    def test_crash_counts_once_however_often_it_is_reported(self):
        """Guards against blocks by one crash that several nodes relay."""
        crash = self.crash(POISON)
        self.assertFalse(self.suspects.record_crash(crash))
        self.assertEqual(0, self.suspects.block_ms(POISON, 0.0))

    def test_crashes_far_apart_do_not_add_up(self):
        """Guards against blocking a rare request that two unrelated crashes interrupt."""
        self.crash(POISON)
        self.crash(POISON, at_ms=SUSPICION_MS + 1)
        self.assertEqual(0, self.suspects.block_ms(POISON, SUSPICION_MS + 1))

    def test_blocked_request_is_forgotten_some_time_after_its_block(self):
        """Guards against reports to new nodes that grow with each request that was ever blocked."""
        for _ in range(3):
            self.crash(POISON)
        forgotten_ms = LONG_BLOCK_MS + SUSPICION_MS
        self.crash(Request("/other"), at_ms=forgotten_ms)
        self.assertFalse(self.suspects.may_retry(POISON))
        self.crash(Request("/other"), at_ms=forgotten_ms + 1)
        self.assertTrue(self.suspects.may_retry(POISON))

    def test_flood_of_suspects_does_not_release_a_blocked_request(self):
        """Guards against crashes with many requests under way that end a block."""
        for _ in range(3):
            self.crash(POISON)
        for start in range(0, 2 * MAX_SUSPECTS, 1_000):
            self.crash(*[Request(f"/{number}") for number in range(start, start + 1_000)])
        self.assertEqual(LONG_BLOCK_MS, self.suspects.block_ms(POISON, 0.0))

    def test_node_that_is_told_later_blocks_the_same_requests(self):
        """Guards against a restarted node that lets a blocked request through."""
        self.crash(POISON, Request("/interrupted"))
        self.crash(POISON)
        self.crash(POISON)
        told = CrashSuspects(self.random)
        for crash in self.suspects.crashes_to_share():
            self.assertEqual((fingerprint_request(POISON),), crash.fingerprints)
            told.record_crash(crash)
        self.assertEqual(LONG_BLOCK_MS, told.block_ms(POISON, 0.0))

    def test_fingerprint_takes_text_that_is_not_utf_8(self):
        """Guards against an error for a path with bytes that are not UTF-8."""
        self.assertNotEqual(
            fingerprint_request(Request("/\udcff")), fingerprint_request(Request("/\udcfe"))
        )
