from ...base import SocketTestCase
from .process_soak import ProcessSoak

# By hand: `python -m tests.coordination.mesh.process_soak --seeds 50`, or `--regressions`.
SEEDS = (0, 3)


class TestProcessSoak(SocketTestCase):
    timeout_s = 90

    async def test_faults_from_outside_break_nothing(self):
        """Guards against promises that hold only while a process sees its faults coming.

        Kills, pauses, stops, and connections that are reset, silent, slow or cut one way.
        """
        for seed in SEEDS:
            soak = ProcessSoak(seed)
            await soak.play()
            self.assertEqual([], soak.broken)
            self.assertGreater(sum(call.status == 200 for call in soak.calls), 100)
