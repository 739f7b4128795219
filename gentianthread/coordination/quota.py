"""Keep each organisation within its rate and burst across all nodes."""

from abc import ABC, abstractmethod

from ..ids import OrganisationId


class Quota(ABC):
    """Admit whole requests of organisations at their entry."""

    @abstractmethod
    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Take one unit, waiting for it if need be.

        Args:
            organisation_id: Whose unit.
            max_wait_ms: Longest wait, in ms.

        Raises:
            RateExceeded: No unit came in time.
        """


class UnlimitedQuota(Quota):
    """Admit everything, for tests and for fleets without organisations."""

    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Admit at once."""
