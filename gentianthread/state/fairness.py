"""Divide a capacity between organisations by weighted max-min fairness."""

from collections.abc import Mapping
from typing import TypeVar

from ..ids import OrganisationId
from .shed_levels import DEPTH_STEPS

K = TypeVar("K")

# Keeps a small sample of every cut rank step, from which its demand can still be estimated. With
# retries a cut demand is many times the capacity, so that a larger sample would fill it.
MAX_CUT_FRACTION = 0.995


def weighted_max_min(
    capacity: float, demands: Mapping[K, float], weights: Mapping[K, float]
) -> dict[K, float]:
    """Return the weighted max-min share of each user.

    Args:
        capacity: What is divided.
        demands: What each user asks for, in the unit of the capacity.
        weights: Weights of the users; 1 where absent.
    """
    shares: dict[K, float] = {}
    left = capacity
    weight_left = sum(weights.get(name, 1.0) for name in demands)
    # Users with the smallest demand per weight are satisfied first; the rest divide what is left.
    for name in sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0)):
        weight = weights.get(name, 1.0)
        shares[name] = min(demands[name], left * weight / weight_left) if weight_left > 0 else 0.0
        left = max(0.0, left - shares[name])
        weight_left -= weight
    return shares


def threshold_for_share(share: float, demand_by_bucket: Mapping[int, float]) -> float:
    """Return the threshold at which an organisation's admitted demand equals its share.

    The organisation spends its share on its highest ranks first. Since the share covers all its
    classes, an organisation that puts everything into the top class is cut there by itself and
    leaves the shares of the others alone.

    Args:
        share: What the organisation may use, in the unit of the demand.
        demand_by_bucket: Its demand by rank step (`shed_levels.bucket`).
    """
    left = share
    for step in sorted(demand_by_bucket, reverse=True):
        demand = demand_by_bucket[step]
        if demand > left:
            cut = min(MAX_CUT_FRACTION, 1 - left / demand)
            return (step + cut) / DEPTH_STEPS
        left -= demand
    return 0.0


class FairTurns:
    """Order organisations inside a class by start-time fair queueing (Goyal et al., 1996).

    An organisation that was idle gets no credit for it: its next turn starts at the present.
    """

    def __init__(self) -> None:
        self._finish: dict[OrganisationId, float] = {}
        self._now = 0.0

    def start(self, organisation_id: OrganisationId) -> float:
        """Return the virtual time at which the organisation's next turn starts."""
        return max(self._now, self._finish.get(organisation_id, 0.0))

    def charge(self, organisation_id: OrganisationId, weight: float) -> None:
        """Count one served request.

        Args:
            organisation_id: Whose request was served.
            weight: Weight of the organisation.
        """
        self._now = self.start(organisation_id)
        self._finish[organisation_id] = self._now + 1 / max(weight, 1e-9)

    def prune(self) -> None:
        """Forget organisations whose past use no longer matters."""
        self._finish = {name: at for name, at in self._finish.items() if at > self._now}
