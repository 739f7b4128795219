import json
import tempfile
from pathlib import Path

from gentianthread.ids import Priority
from gentianthread.standins.results import Result, Results, Sample

from ..base import TestCase


def results() -> Results:
    made = Results()
    for index in range(100):
        result = Result.REFUSED if index % 4 == 0 else Result.COMPLETE
        organisation = "alpha" if index % 2 else "beta"
        made.add(Sample(organisation, Priority.NORMAL, index / 10, 5.0, 1, result, ""))
    return made


class TestResults(TestCase):
    def test_only_complete_requests_are_goodput(self):
        """Guards against refusals that count as goodput."""
        summary = json.loads(results().json(10.0))
        self.assertEqual((7.5, 25), (summary["all"]["goodput_per_s"], summary["all"]["refused"]))
        self.assertEqual(50, summary["organisation alpha"]["complete"])

    def test_latency_keeps_its_unit(self):
        """Guards against microseconds reported as milliseconds."""
        self.assertAlmostEqual(5.0, results().summary(10.0)["all"]["p99_ms"], delta=0.1)

    def test_csv_has_every_second(self):
        """Guards against gaps in the series where nothing completed."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "series.csv"
            results().write_csv(path)
            rows = [row.split(",") for row in path.read_text().splitlines()]
        seconds = [int(row[0]) for row in rows if row[1] == "all"]
        self.assertEqual(list(range(10)), seconds)
