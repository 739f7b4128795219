from ...base import SocketTestCase
from .process_soak import ProcessRefusalSoak, ProcessSoak, ProcessStoreAndLimitSoak

# More seeds: `python -m tests.coordination.mesh.process_soak --seeds 50`, or `--regressions`; also
# with `--kind`.
SEEDS = (0, 3)
# Broken before a connection carried a request only once.
REFUSAL_SEEDS = (1,)


class TestProcessSoak(SocketTestCase):
    timeout_s = 90

    async def play(self, kind, seeds):
        for seed in seeds:
            soak = kind(seed)
            await soak.play()
            self.assertEqual([], soak.violations)
            self.assertGreater(sum(call.status == 200 for call in soak.calls), 100)

    async def test_faults_from_outside_break_nothing(self):
        """Guards against guarantees that hold only for faults which a process is notified of.

        Processes are killed, paused and stopped; connections are reset, silent, slow or one-way.
        """
        await self.play(ProcessSoak, SEEDS)

    async def test_restores_and_limits_beside_faults_from_outside_break_nothing(self):
        """Guards against older plans and withdrawn keys in processes that start after a restore."""
        await self.play(ProcessStoreAndLimitSoak, SEEDS[:1])

    async def test_answers_that_targets_write_again_beside_faults_from_outside_break_nothing(self):
        """Guards against 'not run' for an order that runs, after the id of its target changed."""
        await self.play(ProcessRefusalSoak, REFUSAL_SEEDS)
