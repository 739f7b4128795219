import asyncio

from gentianthread.standins.demo_report import run_demo

from ..base import TestCase


class TestDemo(TestCase):
    def test_all_checks_of_the_demo_pass(self):
        """Guards against a failing demo or a broken request path."""
        report = asyncio.run(run_demo())
        self.assertEqual([], report.failures)
        self.assertEqual(0, report.values["stop.cut"])
