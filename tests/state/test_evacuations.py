import itertools
from random import Random

from gentianthread.ids import AvailabilityZoneId
from gentianthread.state.evacuations import EvacuationRecord, Evacuations, Merge
from gentianthread.state.revisions import combine_revision

from ..base import TestCase

ZONE = AvailabilityZoneId("b")


def at(era, number):
    return combine_revision(era, number)


class TestEvacuations(TestCase):
    def setUp(self):
        super().setUp()
        self.known = Evacuations()
        self.known.note_complete_read(at(1, 90))

    def read(self, revision, *listed):
        """Read everything; `listed` are zones with the revisions of their keys."""
        self.known.note_complete_read(revision)
        for zone, written in listed:
            self.known.list_zone(zone, written)
        return self.known.miss_zones([zone for zone, _ in listed], revision)

    def test_key_that_a_complete_read_lacks_has_ended(self):
        """Guards against a zone that stays empty as its node missed the removal."""
        self.known.list_zone(ZONE, at(1, 100))
        self.assertEqual({ZONE}, self.known.zones())
        self.assertEqual(([ZONE], []), self.read(at(1, 110)))
        self.assertEqual(set(), self.known.zones())

    def test_read_that_began_before_the_write_ends_nothing(self):
        """Guards against an evacuation that is lost to a read that was under way at its write."""
        self.known.list_zone(ZONE, at(1, 100))
        self.assertEqual(([], []), self.read(at(1, 99)))
        self.assertEqual({ZONE}, self.known.zones())

    def test_write_and_removal_are_ordered_by_revision(self):
        """Guards against late news that reinstates an ended evacuation, or ends a later one."""
        self.known.list_zone(ZONE, at(1, 100))
        self.assertTrue(self.known.remove_zone(ZONE, at(1, 105)))
        self.assertFalse(self.known.list_zone(ZONE, at(1, 100)))
        self.assertTrue(self.known.list_zone(ZONE, at(1, 108)))
        self.assertFalse(self.known.remove_zone(ZONE, at(1, 105)))
        self.assertEqual({ZONE}, self.known.zones())

    def test_restore_does_not_lose_an_evacuation(self):
        """Guards against requests for a zone whose evacuation is missing in an older copy."""
        self.known.list_zone(ZONE, at(1, 105))
        self.assertEqual(([], [ZONE]), self.read(at(2, 100)))
        # The restored store may have passed the number of the lost write before it is read.
        self.assertEqual(([], [ZONE]), self.read(at(2, 500)))
        self.assertEqual({ZONE}, self.known.zones())

    def test_evacuation_that_was_kept_ends_with_the_next_removal(self):
        """Guards against an evacuation that no operator can end any more."""
        self.known.list_zone(ZONE, at(1, 105))
        self.read(at(2, 100))
        self.assertTrue(self.known.remove_zone(ZONE, at(2, 101)))
        self.assertEqual(set(), self.known.zones())

    def test_restore_does_not_reinstate_an_ended_evacuation(self):
        """Guards against a zone that gets no requests, as a copy from before the end lists it."""
        self.known.list_zone(ZONE, at(1, 100))
        self.known.remove_zone(ZONE, at(1, 120))
        self.read(at(2, 110), (ZONE, at(2, 100)))
        self.assertEqual(set(), self.known.zones())
        # Nor does an earlier write of the key, or a later read of the same store.
        self.read(at(2, 130), (ZONE, at(2, 60)))
        self.assertEqual(set(), self.known.zones())

    def test_end_without_a_known_write_is_not_forgotten(self):
        """Guards against a copied key that is taken for a new one, as its write was not known.

        Changes that pass between nodes leave out a write that its removal followed at once.
        """
        self.assertFalse(self.known.remove_zone(ZONE, at(1, 120)))
        self.read(at(2, 110), (ZONE, at(2, 100)))
        self.assertEqual(set(), self.known.zones())

    def test_new_evacuation_after_a_restore_is_in_force(self):
        """Guards against an operator's write that is taken for the copied one.

        The restored store gives out numbers below that of the ended evacuation again.
        """
        self.known.list_zone(ZONE, at(1, 105))
        self.known.remove_zone(ZONE, at(1, 120))
        self.read(at(2, 100))
        self.assertTrue(self.known.list_zone(ZONE, at(2, 103)))
        self.read(at(2, 104), (ZONE, at(2, 103)))
        self.assertEqual({ZONE}, self.known.zones())
        self.assertEqual(([ZONE], []), self.read(at(2, 130)))

    def test_evacuation_that_is_in_the_copy_stays_and_ends_as_usual(self):
        """Guards against an evacuation that is kept although the restored store knows its end."""
        self.known.list_zone(ZONE, at(1, 100))
        self.assertEqual(([], []), self.read(at(2, 110), (ZONE, at(2, 100))))
        self.assertEqual(([ZONE], []), self.read(at(2, 130)))

    def test_node_without_history_believes_the_store(self):
        """Guards against a node that starts and does not follow the store."""
        fresh = Evacuations()
        fresh.note_complete_read(at(2, 110))
        self.assertTrue(fresh.list_zone(ZONE, at(2, 100)))

    def test_node_without_history_learns_the_end_from_another(self):
        """Guards against a node that reinstates an ended evacuation after it read a copy."""
        fresh = Evacuations()
        fresh.note_complete_read(at(2, 110))
        fresh.list_zone(ZONE, at(2, 100))
        ended = EvacuationRecord(ZONE, at(1, 100), at(1, 120), False)
        self.assertIs(Merge.NEWER, fresh.merge(ended))
        self.assertEqual(set(), fresh.zones())
        self.assertFalse(fresh.list_zone(ZONE, at(2, 100)))

    def test_node_without_history_learns_an_evacuation_from_another(self):
        """Guards against a node that read an older copy and sends to the zone."""
        fresh = Evacuations()
        fresh.note_complete_read(at(2, 110))
        kept = EvacuationRecord(ZONE, at(1, 130), 0, True)
        self.assertIs(Merge.NEWER, fresh.merge(kept))
        self.assertEqual({ZONE}, fresh.zones())

    def test_two_nodes_agree_in_a_few_messages(self):
        """Guards against nodes that tell each other of a zone for ever, or never agree.

        One of them may take a write for a copied one, as it read the restored store later.
        """
        random = Random(7)
        for _ in range(3_000):
            nodes = [Evacuations(), Evacuations()]
            for node in nodes:
                for era in (1, 2):
                    if random.random() < 0.7:
                        node.note_complete_read(at(era, random.randrange(1, 12)))
                    for _ in range(random.randrange(3)):
                        number = random.randrange(1, 12)
                        change = random.choice((node.list_zone, node.remove_zone))
                        change(ZONE, at(era, number))
            for turn in itertools.count():
                sender, receiver = nodes[turn % 2], nodes[1 - turn % 2]
                record = sender.record(ZONE)
                if turn >= 2 and (record is None or receiver.merge(record) is Merge.SAME):
                    break
                if turn < 2 and record is not None:
                    receiver.merge(record)
                self.assertLess(turn, 8)
            self.assertEqual(*(node.zones() for node in nodes))
