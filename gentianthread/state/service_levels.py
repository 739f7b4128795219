"""Compute one overload level for each service of a fleet, from the loads of all its targets.

An entry node receives an answer of a service about once a second where hundreds of nodes share the
requests, which is too rare to learn the levels of dozens of targets. The level of a target with two
slots is noise, too: it has a queue now and then at any load. The counting node of the rates
therefore gets the load of every target, controls one level for each service by the sums, and
returns the levels to all nodes.
"""

from collections.abc import Iterable

import attrs

from ..ids import ServiceId
from .overload_level import LevelControl


@attrs.frozen
class TargetLoad:
    """Report the load of one target since its last report.

    Attributes:
        service_id: Service of the target.
        arrived: Number of requests that arrived, including those that were refused.
        completed: Number of requests that the target completed.
        utilisation: Fraction of its slots in use now, 0 to 1.
        wait_ms: Present queueing time.
        called_services: Services that it calls.
    """

    service_id: ServiceId
    arrived: int
    completed: int
    utilisation: float
    wait_ms: float
    called_services: frozenset[ServiceId]


class ServiceLevels:
    """Store the last report of each target and control the level of each service."""

    # A target without a report for this long counts as unreachable.
    REPORT_TIMEOUT_MS = 1_500.0

    def __init__(self) -> None:
        self._reports: dict[str, tuple[TargetLoad, float]] = {}
        self._controls: dict[ServiceId, LevelControl] = {}
        self._levels: dict[ServiceId, float] = {}
        self._computed_at_ms = float("-inf")

    def record(self, source: str, load: TargetLoad, now_ms: float) -> None:
        """Store the report of the node beside a target.

        Args:
            source: The node.
            load: Load of its target.
            now_ms: Present time in ms.
        """
        self._reports[source] = (load, now_ms)
        control = self._controls.get(load.service_id)
        if control is None:
            control = self._controls[load.service_id] = LevelControl(now_ms)
        control.record_counts(load.arrived, load.completed)

    def levels(self, now_ms: float, max_rank: float) -> dict[ServiceId, float]:
        """Return the level below which root requests to a service are refused, if it is above 0.

        It is the highest one among the service and those that it calls, directly or not: refusing
        a request at its entry wastes nothing, while refusing a call below it wastes all runs above.

        Args:
            now_ms: Present time in ms.
            max_rank: Rank at which the most important requests start.
        """
        if now_ms - self._computed_at_ms >= LevelControl.UPDATE_PERIOD_MS:
            self._levels, self._computed_at_ms = self._compute(now_ms, max_rank), now_ms
        return self._levels

    def _compute(self, now_ms: float, max_rank: float) -> dict[ServiceId, float]:
        loads: dict[ServiceId, list[TargetLoad]] = {}
        called: dict[ServiceId, set[ServiceId]] = {}
        for source, (load, at_ms) in list(self._reports.items()):
            if now_ms - at_ms > self.REPORT_TIMEOUT_MS:
                del self._reports[source]
                continue
            loads.setdefault(load.service_id, []).append(load)
            called.setdefault(load.service_id, set()).update(load.called_services)
        for service_id in list(self._controls):
            if service_id not in loads:
                del self._controls[service_id]
                continue
            targets = loads[service_id]
            self._controls[service_id].observe(
                sum(load.utilisation for load in targets) / len(targets),
                sum(load.wait_ms for load in targets) / len(targets),
                now_ms,
                max_rank,
            )
        levels = {
            service_id: max(
                self._controls[name].level
                for name in _reachable(service_id, called)
                if name in self._controls
            )
            for service_id in loads
        }
        return {service_id: level for service_id, level in levels.items() if level > 0}


def _reachable(
    service_id: ServiceId, called: dict[ServiceId, set[ServiceId]]
) -> Iterable[ServiceId]:
    """Return a service and all services that its requests lead to."""
    found, waiting = {service_id}, [service_id]
    while waiting:
        for name in called.get(waiting.pop(), ()):
            if name not in found:
                found.add(name)
                waiting.append(name)
    return found
