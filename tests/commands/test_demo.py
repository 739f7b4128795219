import asyncio

from gentianthread.standins.demo_report import run_demo

from ..base import TestCase


class TestDemo(TestCase):
    def test_every_check_of_the_demo_holds(self):
        """Guards against a demo that is broken or shows a broken request path."""
        report = asyncio.run(run_demo())
        self.assertEqual([], report.failures)
        self.assertEqual(0, report.values["stop.cut"])
