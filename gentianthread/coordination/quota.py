"""Keep each organisation within its rate and burst across all nodes."""

from abc import ABC, abstractmethod

from ..ids import OrganisationId


class Quota(ABC):
    """Limit organisations by whole requests, counted where these enter the fleet."""

    @abstractmethod
    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Acquire one token, waiting for it if necessary.

        Args:
            organisation_id: Organisation that sent the request.
            max_wait_ms: Maximum wait.

        Raises:
            RateExceeded: No token was available in time.
        """


class UnlimitedQuota(Quota):
    """Admit every request, for tests and for fleets without organisations."""

    async def acquire(self, organisation_id: OrganisationId, max_wait_ms: float) -> None:
        """Admit at once."""
