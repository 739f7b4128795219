import tempfile
from pathlib import Path

from gentianthread.errors import DeclarationErrors
from gentianthread.ids import Priority
from gentianthread.standins.workload import read_workload

from ..base import TestCase

GOOD = """
[experiment]
entries = http://127.0.0.1:8001, http://127.0.0.1:8002
duration_s = 5
[stream prices]
path = /catalogue/prices
rate_per_s = 100
priority = critical
"""


def read(content: str):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "load.ini"
        path.write_text(content)
        return read_workload(path)


class TestReadWorkload(TestCase):
    def test_reads_streams_with_defaults(self):
        """Guards against a field that is read into the wrong place."""
        workload = read(GOOD)
        stream = workload.streams[0]
        self.assertEqual((5.0, 2), (workload.duration_s, len(workload.entries)))
        self.assertEqual(
            (Priority.CRITICAL, "GET", 0), (stream.priority, stream.method, stream.retries)
        )

    def test_only_loopback_is_loaded(self):
        """Guards against load that is sent to another machine."""
        error = self.assertRaises(
            DeclarationErrors, read, GOOD.replace("127.0.0.1:8002", "192.0.2.1:80")
        )
        self.assertEqual("entries", error.errors[0].field)

    def test_unknown_section_is_named(self):
        """Guards against a misspelt stream that is silently left out."""
        error = self.assertRaises(DeclarationErrors, read, GOOD + "[steam x]\n")
        self.assertEqual("steam x", error.errors[0].section)
