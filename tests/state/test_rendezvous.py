from gentianthread.state.rendezvous import choose, rank

from ..base import TestCase

NODES = [f"node-{number}" for number in range(20)]


class TestRendezvous(TestCase):
    def test_removed_candidate_moves_only_its_own_keys(self):
        """Guards against a node failure that changes the holders of all organisations."""
        keys = [f"key-{number}" for number in range(500)]
        before = {key: choose(key, NODES) for key in keys}
        after = {key: choose(key, NODES[1:]) for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertTrue(all(before[key] == NODES[0] for key in moved))

    def test_order_of_candidates_does_not_matter(self):
        """Guards against nodes that disagree because their lists are ordered differently."""
        self.assertEqual(rank("k", NODES), rank("k", reversed(NODES)))

    def test_no_candidate(self):
        """Guards against an error when there are no candidates."""
        self.assertIsNone(choose("k", []))
