"""Divide a capacity between organisations by weighted max-min fairness."""

from collections.abc import Mapping
from typing import TypeVar

from ..ids import OrganisationId
from .shed_levels import DEPTH_STEPS

K = TypeVar("K")

# Largest fraction of a rank step that is cut, since its demand is estimated from the remainder.
# With retries the demand is many times the capacity, so that a larger remainder would use it up.
MAX_CUT_FRACTION = 0.995


def weighted_max_min(
    capacity: float, demands: Mapping[K, float], weights: Mapping[K, float]
) -> dict[K, float]:
    """Return the weighted max-min share of each user.

    Args:
        capacity: Capacity that is divided.
        demands: Demand of each user, in the unit of the capacity.
        weights: Weights of the users; 1 where absent.
    """
    shares: dict[K, float] = {}
    remaining = capacity
    remaining_weight = sum(weights.get(name, 1.0) for name in demands)
    # Users with the smallest demand per weight are served first; the others share the remainder.
    for name in sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0)):
        weight = weights.get(name, 1.0)
        shares[name] = (
            min(demands[name], remaining * weight / remaining_weight)
            if remaining_weight > 0
            else 0.0
        )
        remaining = max(0.0, remaining - shares[name])
        remaining_weight -= weight
    return shares


def threshold_for_share(share: float, demand_by_step: Mapping[int, float]) -> float:
    """Return the threshold at which an organisation's admitted demand equals its share.

    The share is used for the highest ranks first. Since it covers all classes, an organisation that
    sends all requests in the top class is limited there, without effect on the shares of the
    others.

    Args:
        share: Capacity that the organisation may use, in the unit of the demand.
        demand_by_step: Its demand by rank step (`shed_levels.rank_step`).
    """
    remaining = share
    for step in sorted(demand_by_step, reverse=True):
        demand = demand_by_step[step]
        if demand > remaining:
            cut_fraction = min(MAX_CUT_FRACTION, 1 - remaining / demand)
            return (step + cut_fraction) / DEPTH_STEPS
        remaining -= demand
    return 0.0


class FairScheduler:
    """Schedule organisations of a class by start-time fair queueing (Goyal et al., 1996).

    An organisation gets no credit for idle time: its next request starts at the present virtual
    time.
    """

    def __init__(self) -> None:
        self._finish_times: dict[OrganisationId, float] = {}
        self._virtual_now = 0.0

    def start_time(self, organisation_id: OrganisationId) -> float:
        """Return the virtual start time of the organisation's next request."""
        return max(self._virtual_now, self._finish_times.get(organisation_id, 0.0))

    def charge(self, organisation_id: OrganisationId, weight: float) -> None:
        """Count one served request.

        Args:
            organisation_id: Organisation of the request.
            weight: Weight of the organisation.
        """
        self._virtual_now = self.start_time(organisation_id)
        self._finish_times[organisation_id] = self._virtual_now + 1 / max(weight, 1e-9)

    def prune(self) -> None:
        """Delete organisations whose past requests no longer affect the order."""
        self._finish_times = {
            name: finish_time
            for name, finish_time in self._finish_times.items()
            if finish_time > self._virtual_now
        }
