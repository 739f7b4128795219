"""Pattern: a service of many small targets that slow down when they are full."""

from random import Random

from gentianthread.state.usable_slots import usable_slots

from ..base import TestCase

# Slowdown of a target of the users' deployments that runs more than 95% of its slots.
FULL_SLOWDOWN = 1.3


def throughput(slots, running):
    """Return how many requests a busy target completes in the time that one takes when alone."""
    return running / FULL_SLOWDOWN if running > 0.95 * slots else float(running)


def completed(slots, limit, load, duration_ms=20_000, work_ms=40.0):
    """Return the fraction of the requests that a target completes within 300 ms."""
    random, queue, running = Random(1), [], []
    arrived = done = 0
    for now_ms in range(duration_ms):
        rate = running and throughput(slots, len(running)) / len(running)
        running = [(left_ms - rate, at_ms) for left_ms, at_ms in running]
        done += sum(left_ms <= 0 and now_ms - at_ms <= 300 for left_ms, at_ms in running)
        running = [job for job in running if job[0] > 0]
        if random.random() < load / work_ms:
            arrived += 1
            queue.append(now_ms)
        queue = [at_ms for at_ms in queue if now_ms - at_ms < 200]
        while queue and len(running) < limit:
            running.append((random.expovariate(1 / work_ms), queue.pop(0)))
    return done / arrived


class TestUsableSlots(TestCase):
    def test_capacity_is_close_to_the_best_at_every_size(self):
        """Guards against a limit that leaves half of a small target's capacity unused.

        With two slots a fraction of 95% was rounded down to one.
        """
        for slots in range(1, 200):
            best = max(throughput(slots, running) for running in range(1, slots + 1))
            self.assertGreaterEqual(throughput(slots, usable_slots(slots)), 0.95 * best, slots)

    def test_target_of_two_slots_serves_a_burst(self):
        """Guards against refusals at targets of two slots while one of the slots is empty."""
        self.assertGreater(completed(2, usable_slots(2), 1.2), 0.9)
        self.assertLess(completed(2, 1, 1.2), 0.85)

    def test_target_without_slots_runs_one_request(self):
        """Guards against a target that never gets a request because its entry names no slots."""
        self.assertEqual(1, usable_slots(0))
