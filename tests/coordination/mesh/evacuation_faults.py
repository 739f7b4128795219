"""Evacuate zones and restore the store from copies that do not know of it, in a soak."""

import asyncio

import attrs

from gentianthread.ids import AvailabilityZoneId
from gentianthread.platform.documents import EVACUATION_PREFIX, PLAN_KEY, UPSTREAM_PREFIX
from gentianthread.standins.mesh import plan_document

# Time after the write of an evacuation from which no target of the zone may get a request. The
# users' bound is 5 s; a shorter one leaves more to check.
IN_FORCE_S = 2.5

EVACUATION_S = (3.0, 6.0)

# Interval at which an operator looks whether the nodes have followed.
OPERATOR_INTERVAL_S = 0.3


@attrs.frozen
class EvacuationPeriod:
    """Record from when to when a zone was evacuated."""

    zone: str
    from_s: float
    until_s: float


class EvacuationFaults:
    """Add faults to a soak: evacuations of one zone at a time, and restores of the store.

    Attributes:
        periods: Evacuations that have ended.
        restores: Number of restores during evacuations.
    """

    def __init__(self, seed: int):
        """Prepare a run without starting it; see `play`."""
        super().__init__(seed)
        self.periods: list[EvacuationPeriod] = []
        self.restores = 0
        self._evacuated: str | None = None
        self._version = 1
        self._injected = 0

    async def _inject_fault(self) -> None:
        # Each run has an evacuation, and a restore while it is in force.
        self._injected += 1
        if self._injected == 1:
            await self._evacuate(self.random.choice(list(self.fleet.instances)))
        elif self._injected == 4:
            await self._restore_store("")
        else:
            await super()._inject_fault()

    def _fault_kinds(self) -> tuple:
        return (*super()._fault_kinds(), self._evacuate, self._restore_store)

    def summary(self) -> str:
        """Return how many evacuations and restores were played."""
        return f" evacuations={len(self.periods)} restores={self.restores}"

    async def _evacuate(self, name: str) -> None:
        """Evacuate the zone of an instance, and end that once all nodes have followed."""
        if self._evacuated is not None:
            return
        loop = asyncio.get_running_loop()
        zone = self._evacuated = self.fleet.instances[name].zone
        key, store = f"{EVACUATION_PREFIX}{zone}", self.fleet.store
        # A restore may lose the write before any node has seen it: the operator writes again.
        while not self._known_by(any, zone):
            store.put(key, b"{}")
            await asyncio.sleep(OPERATOR_INTERVAL_S)
        from_s = loop.time()
        await asyncio.sleep(self.random.uniform(*EVACUATION_S))
        self.periods.append(EvacuationPeriod(zone, from_s, loop.time()))
        while self._known_by(any, zone):
            store.put(key, b"{}")
            store.remove(key)
            await asyncio.sleep(OPERATOR_INTERVAL_S)
        self._evacuated = None

    def _known_by(self, quantifier, zone: str) -> bool:
        return quantifier(
            AvailabilityZoneId(zone) in instance.sidecar.directory.evacuated_zones
            for instance in self.fleet.instances.values()
        )

    async def _restore_store(self, name: str) -> None:
        """Bring the store back from a copy; the targets and the configuration are written again."""
        store = self.fleet.store
        copy = store.copy()
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.restores += self._evacuated is not None
        store.restore(copy)
        await asyncio.sleep(self.random.uniform(0, 0.3))
        self._version += 1
        store.put(PLAN_KEY, plan_document(self._version))
        for upstream_id, instance in self.fleet.instances.items():
            store.put(UPSTREAM_PREFIX + upstream_id, instance.target.entry(zone=instance.zone))

    def _check(self) -> None:
        """Check also that no target of an evacuated zone got a request."""
        super()._check()
        for period in self.periods:
            for name, instance in self.fleet.instances.items():
                if instance.zone != period.zone:
                    continue
                arrivals = [
                    time_s - period.from_s
                    for time_s in instance.target.seen_at_s
                    if period.from_s + IN_FORCE_S < time_s < period.until_s
                ]
                if arrivals:
                    self.violations.append(
                        f"{name} got {len(arrivals)} requests while its zone was evacuated, the "
                        f"last one after {arrivals[-1]:.1f} s"
                    )
