from bench.faults.deployments import MANDALAKI, shorten
from bench.faults.harness import run_deployment
from bench.faults.report import judge
from bench.faults.schedule import run_short

from ..base import SocketTestCase

SEED = 1


class TestFaults(SocketTestCase):
    timeout_s = 120

    async def test_invariants_hold_over_real_processes(self):
        """Guards against a broken invariant P1 to P12 while faults hit a fleet of processes."""
        evidence = await run_deployment(shorten(MANDALAKI), SEED, run_short, 1.0)
        lines, violations, unexercised = judge(evidence)
        report = "\n".join([*evidence.log.notes, *lines])
        self.assertEqual((0, []), (violations, unexercised), report)
