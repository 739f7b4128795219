from ...base import SocketTestCase
from .process_soak import ProcessSoak

# More seeds: `python -m tests.coordination.mesh.process_soak --seeds 50`, or `--regressions`.
SEEDS = (0, 3)


class TestProcessSoak(SocketTestCase):
    timeout_s = 90

    async def test_faults_from_outside_break_nothing(self):
        """Guards against guarantees that hold only for faults which a process is notified of.

        Processes are killed, paused and stopped; connections are reset, silent, slow or one-way.
        """
        for seed in SEEDS:
            soak = ProcessSoak(seed)
            await soak.play()
            self.assertEqual([], soak.violations)
            self.assertGreater(sum(call.status == 200 for call in soak.calls), 100)
