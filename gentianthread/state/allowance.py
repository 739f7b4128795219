"""Bound the retries of one root request and of one service."""


class Allowance:
    """Hold the extra attempts that a running request may still use.

    The allowance travels with the request: a part is lent to each inner call and settled when its
    answer arrives. Attempts of a call whose answer is lost count as used.
    """

    def __init__(self, remaining: int):
        """Create an allowance.

        Args:
            remaining: Extra attempts that may still be made; not negative.
        """
        self.remaining = remaining
        self.used = 0

    def lend(self) -> int:
        """Take half of what is left, rounded up, for one inner call.

        Returns:
            How many attempts are lent; pass it to `settle` when the call ends.
        """
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def settle(self, lent: int, used: int | None) -> None:
        """Take back what an inner call left over.

        Args:
            lent: What `lend` returned.
            used: What the call's answer reports, or None if the answer was lost.
        """
        spent = lent if used is None else min(max(used, 0), lent)
        self.used += spent
        self.remaining += lent - spent

    def spend(self) -> bool:
        """Use one attempt and tell whether there was one left."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        self.used += 1
        return True


class RetryBudget:
    """Let retries of a service grow only with its first attempts.

    Each first attempt adds `ratio` to the balance, each retry takes 1. Under overload, first
    attempts are refused and retries fade out with them.
    """

    # Lets a service with little traffic retry at all.
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
        """Take one retry and tell whether the balance allowed it."""
        if not self.has_credit:
            return False
        self.balance -= 1.0
        return True
