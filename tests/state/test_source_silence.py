"""Load: a node whose states no longer come, and whose links stay open."""

from gentianthread.state.source_silence import (
    RETRY_AFTER_MS,
    SILENT_AFTER_MS,
    STATE_INTERVAL_MS,
    SourceSilence,
)

from ..base import TestCase


class TestSourceSilence(TestCase):
    def setUp(self):
        super().setUp()
        self.silence = SourceSilence()
        self.silence.expect("head", 0.0)

    def test_source_is_silent_after_two_missing_states(self):
        """Guards against a frozen source that stays chosen as long as its link is open."""
        self.assertFalse(self.silence.is_silent("head", 2 * STATE_INTERVAL_MS))
        self.assertEqual({"head"}, self.silence.silent(SILENT_AFTER_MS + 1))

    def test_expecting_again_does_not_begin_anew(self):
        """Guards against a source that never becomes silent, as each interval follows it."""
        self.silence.expect("head", SILENT_AFTER_MS)
        self.assertTrue(self.silence.is_silent("head", SILENT_AFTER_MS + 1))

    def test_state_ends_the_silence(self):
        """Guards against a source that is passed over after it woke."""
        self.silence.record_state("head", SILENT_AFTER_MS + 100)
        self.assertEqual(frozenset(), self.silence.silent(SILENT_AFTER_MS + 200))

    def test_silent_source_is_remembered_after_another_is_chosen(self):
        """Guards against a choice that returns to the silent source at once."""
        now_ms = SILENT_AFTER_MS + 1
        self.silence.expect("other", now_ms)
        self.silence.keep(("other",), now_ms)
        self.assertTrue(self.silence.is_silent("head", now_ms))
        self.silence.keep((), now_ms + 1)
        self.assertFalse(self.silence.is_silent("other", now_ms + SILENT_AFTER_MS + 2))

    def test_silent_source_is_tried_again(self):
        """Guards against a node that is never followed again since its states were lost."""
        self.assertEqual(frozenset(), self.silence.silent(RETRY_AFTER_MS + 1))
        self.assertFalse(self.silence.is_silent("head", RETRY_AFTER_MS + 1))

    def test_states_of_other_nodes_are_not_stored(self):
        """Guards against memory that grows with every node that once sent a state."""
        self.silence.record_state("passer-by", 0.0)
        self.assertFalse(self.silence.is_silent("passer-by", 10 * SILENT_AFTER_MS))
