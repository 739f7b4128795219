from ...base import SocketTestCase
from .soak import Soak

# More seeds: `python -m tests.coordination.mesh.soak --seeds 50`.
SEEDS = (0, 1)


class TestSoak(SocketTestCase):
    timeout_s = 60

    async def test_faults_break_nothing(self):
        """Guards against duplicate runs, invalid answers, false "not run" and missing recovery."""
        for seed in SEEDS:
            soak = Soak(seed)
            await soak.play()
            self.assertEqual([], soak.violations)
            self.assertGreater(len(soak.calls), 500)
            self.assertGreater(sum(call.status == 200 for call in soak.calls), 400)
