"""Limit the retries of one root request and of one service."""


class Allowance:
    """Limit the extra attempts of a running request and its inner calls.

    Each inner call is lent some of the remaining attempts, and returns the unused ones with its
    answer. If the answer is lost, all attempts that were lent count as used.
    """

    def __init__(self, remaining: int):
        """Create an allowance.

        Args:
            remaining: Extra attempts that may still be made; not negative.
        """
        self.remaining = remaining
        self.used = 0

    def lend(self) -> int:
        """Lend half of the remaining attempts, rounded up, to one inner call.

        Returns:
            Number of attempts that are lent; to be passed to `settle` when the call ends.
        """
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def settle(self, lent: int, used: int | None) -> None:
        """Return the unused attempts of an inner call to the allowance.

        Args:
            lent: Number of attempts that `lend` returned.
            used: Number of used attempts that the answer reports, or None if the answer was lost.
        """
        spent = lent if used is None else min(max(used, 0), lent)
        self.used += spent
        self.remaining += lent - spent

    def spend(self) -> bool:
        """Use one attempt, and return whether there was one left."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        self.used += 1
        return True


class RetryBudget:
    """Limit the retries of a service to a ratio of its first attempts.

    Each first attempt adds `ratio` to the balance, and each retry takes 1. Under overload, fewer
    first attempts are admitted, and the retries decrease with them.
    """

    # Allows retries of a service with little traffic.
    INITIAL_BALANCE = 10.0
    BALANCE_LIMIT = 100.0

    def __init__(self, ratio: float):
        """Create a budget.

        Args:
            ratio: Retries allowed per first attempt.
        """
        self.ratio = ratio
        self.balance = self.INITIAL_BALANCE

    def record_first_attempt(self) -> None:
        """Add the credit of one first attempt."""
        self.balance = min(self.BALANCE_LIMIT, self.balance + self.ratio)

    @property
    def has_credit(self) -> bool:
        """Return whether the balance allows one retry."""
        return self.balance >= 1.0

    def take(self) -> bool:
        """Take one retry from the balance, and return whether the balance allowed it."""
        if not self.has_credit:
            return False
        self.balance -= 1.0
        return True
