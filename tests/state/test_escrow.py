from gentianthread.clock import ManualClock
from gentianthread.state.escrow import (
    DelegationRecord,
    FractionHistory,
    Ledger,
    Pool,
    TokenHolding,
    grantor_expiry_ms,
    holder_expiry_ms,
)

from ..base import TestCase


class TestExpiry(TestCase):
    def test_holder_stops_before_the_grantor_assumes_it(self):
        """Guards against a lease that is used twice because clocks differ in speed."""
        self.assertLess(holder_expiry_ms(0, 3_000) * 1.001, grantor_expiry_ms(0, 3_000) * 0.9995)


class TestPromise(TestCase):
    def test_second_holder_waits_for_delegation_and_grants(self):
        """Guards against two holders that use one fraction at the same time."""
        record = DelegationRecord()
        record.delegate("first", 1, 0.0, 3_000, 1_000)
        self.assertFalse(record.may_delegate_to("second", 4_000))
        self.assertTrue(record.may_delegate_to("second", 4_100))

    def test_release_takes_effect_after_the_grants(self):
        """Guards against a release that ignores unexpired tokens which the old holder granted."""
        record = DelegationRecord()
        record.delegate("first", 1, 0.0, 3_000, 1_000)
        record.release("first", 1, 100.0, 1_000)
        self.assertFalse(record.may_delegate_to("second", 1_050))
        self.assertTrue(record.may_delegate_to("second", 1_200))

    def test_delayed_release_does_not_end_a_later_delegation(self):
        """Guards against a late or duplicate release that frees a fraction in use."""
        record = DelegationRecord()
        record.delegate("first", 5, 0.0, 3_000, 1_000)
        record.release("first", 4, 0.0, 1_000)
        self.assertFalse(record.may_delegate_to("second", 3_000))


class TestLedger(TestCase):
    def ledger_with(self, amount: int) -> Ledger:
        ledger = Ledger()
        ledger.admit("node", 1)
        ledger.settle("node", 1, 0, 0, 0.0)
        ledger.grant("node", amount, 0.0, 1_000)
        return ledger

    def test_duplicate_draws_are_detected(self):
        """Guards against a duplicate draw that is granted twice."""
        ledger = self.ledger_with(5)
        self.assertIsNone(ledger.admit("node", 1))

    def test_lost_answer_loses_tokens_only(self):
        """Guards against tokens that are counted as free while a drawer may hold them."""
        ledger = self.ledger_with(5)
        self.assertEqual(5, ledger.outstanding(900))
        self.assertEqual(0, ledger.outstanding(1_100))

    def test_statement_beyond_the_record_is_not_renewed(self):
        """Guards against the renewal of tokens that are not on record or have expired."""
        ledger = self.ledger_with(5)
        ledger.admit("node", 2)
        self.assertIsNone(ledger.settle("node", 2, 6, 0, 100.0))
        ledger.admit("node", 3)
        self.assertIsNone(ledger.settle("node", 3, 5, 0, 1_500.0))

    def test_return_after_expiry_is_not_credited(self):
        """Guards against a credit for returned tokens whose room has been refilled."""
        ledger = self.ledger_with(5)
        ledger.admit("node", 2)
        self.assertEqual(0, ledger.settle("node", 2, 0, 5, 1_500.0))

    def test_repeated_return_counts_once(self):
        """Guards against a cumulative counter that is credited with every draw."""
        ledger = self.ledger_with(5)
        ledger.admit("node", 2)
        self.assertEqual(2, ledger.settle("node", 2, 3, 2, 100.0))
        ledger.admit("node", 3)
        self.assertEqual(0, ledger.settle("node", 3, 3, 2, 200.0))


class TestPool(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.pool = Pool(self.clock, rate_per_s=100.0, burst=100.0)

    def draw(self, sequence: int, held: int, wanted: int) -> int | None:
        self.pool.ledger.admit("node", sequence)
        if not self.pool.settle("node", sequence, held, 0) or self.pool.overdrawn():
            return None
        return self.pool.grant("node", wanted, 1_000)

    def test_delegation_brings_no_tokens(self):
        """Guards against tokens that a delegation duplicates at its new holder."""
        self.pool.set_share("a", 1.0, 10_000)
        self.assertEqual(0.0, self.pool.bucket.level)

    def test_lapsed_share_adds_up_to_its_lapse(self):
        """Guards against a share that still refills after its lapse, when another may use it."""
        self.pool.set_share("a", 0.5, 400)
        self.pool.set_share("b", 0.5, 10_000)
        self.clock.advance_ms(1_000)
        self.pool.refresh()
        self.assertAlmostEqual(50.0, self.pool.bucket.level, delta=0.1)
        self.assertEqual(50.0, self.pool.bucket.cap)

    def test_room_of_expired_tokens_refills_from_their_expiry(self):
        """Guards against a level that jumps to the capacity when tokens expire."""
        self.pool.set_share("a", 1.0, 100_000)
        self.clock.advance_ms(2_000)
        self.assertEqual(50, self.draw(1, 0, 50))
        self.clock.advance_ms(1_100)
        self.pool.refresh()
        self.assertLess(self.pool.bucket.level, 60.0)

    def test_overdrawn_pool_renews_nothing(self):
        """Guards against the renewal of tokens whose share has lapsed."""
        self.pool.set_share("a", 0.1, 100_000)
        self.pool.set_share("b", 0.9, 1_500)
        self.clock.advance_ms(1_200)
        self.assertEqual(80, self.draw(1, 0, 80))
        self.clock.advance_ms(400)
        self.assertIsNone(self.draw(2, 80, 0))


class TestHolding(TestCase):
    def test_expired_tokens_cannot_be_spent(self):
        """Guards against a process that resumes after a pause and spends expired tokens."""
        holding = TokenHolding()
        holding.receive(3, 100.0, 0.0)
        self.assertEqual([True, False], [holding.spend(50.0), holding.spend(100.0)])


class TestFractionHistory(TestCase):
    def test_increase_waits_until_it_is_settled(self):
        """Guards against fractions of two plan versions that sum to more than 1."""
        history = FractionHistory()
        history.accept(1, 0.2)
        history.settle(1)
        history.accept(2, 0.6)
        self.assertEqual(0.2, history.usable_fraction())
        history.settle(2)
        self.assertEqual(0.6, history.usable_fraction())

    def test_decrease_counts_at_once(self):
        """Guards against a lowered fraction that stays in use."""
        history = FractionHistory()
        history.accept(1, 0.6)
        history.settle(1)
        history.accept(2, 0.2)
        self.assertEqual(0.2, history.usable_fraction())

    def test_process_that_skipped_the_settled_version_uses_nothing(self):
        """Guards against a new process that uses its fraction before all obey the version."""
        history = FractionHistory()
        history.accept(3, 0.6)
        history.settle(2)
        self.assertEqual(0.0, history.usable_fraction())
