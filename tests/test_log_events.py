"""Hold the catalogue of log events and its page together."""

import re
from pathlib import Path

from gentianthread.events import catalogue

from .base import TestCase

PAGE = Path(__file__).resolve().parent.parent / "docs" / "log-events.md"


class TestLogEvents(TestCase):
    def test_page_lists_every_event(self):
        """Guards against an event that operators cannot look up, or whose level differs."""
        rows = re.findall(r"^\| (\d+) \| (\w+) \| `(.+?)` \|", PAGE.read_text(), re.MULTILINE)
        listed = [(int(number), level, text) for number, level, text in rows]
        known = [(event.number, event.level.value, event.text) for event in catalogue()]
        self.assertEqual(known, listed)
