"""Check that the catalogue of log events matches its documentation page."""

import re
from pathlib import Path
from string import Formatter

from gentianthread.events import catalogue

from .base import TestCase

PAGE = Path(__file__).resolve().parent.parent / "docs" / "log-events.md"


class TestLogEvents(TestCase):
    def test_page_lists_every_event(self):
        """Guards against undocumented events and events whose documented level or text differs."""
        rows = re.findall(r"^\| (\d+) \| (\w+) \| `(.+?)` \|", PAGE.read_text(), re.MULTILINE)
        documented = [(int(number), level, text) for number, level, text in rows]
        defined = [(event.number, event.level.value, event.text) for event in catalogue()]
        self.assertEqual(defined, documented)

    def test_no_event_field_overrides_a_standard_key(self):
        """Guards against event fields that replace the time or severity of the JSON line.

        A field "level" of event 715 replaced the severity "info" with the overload level of a
        target.
        """
        standard_keys = {"time", "level", "event", "message"}
        names = {
            event.number: {name for _, name, _, _ in Formatter().parse(event.text) if name}
            for event in catalogue()
        }
        self.assertEqual(
            {},
            {
                number: fields & standard_keys
                for number, fields in names.items()
                if fields & standard_keys
            },
        )
