"""Notice at the node beside a target that the availability zone of the target is evacuated."""

from collections.abc import Callable

from ...state.directory import Directory
from ...state.work_queue import WorkQueue

# Why requests for a target are refused while its zone is evacuated.
REASON_EVACUATED = "zone is evacuated"


class TargetEvacuation:
    """Follow the evacuations of the zone in which a target is listed.

    Attributes:
        in_force: Whether the zone is evacuated.
        on_evacuation_end: Called when the evacuation has ended; the target may be as cold as one
            that was just started.
    """

    def __init__(self, address: tuple[str, int], directory: Directory, queue: WorkQueue):
        """Begin to follow the evacuations.

        Args:
            address: IP address and port of the target.
            directory: Upstreams that the platform lists, and the evacuated zones.
            queue: Requests that wait for a slot; they are refused when the zone is evacuated.
        """
        self.in_force = False
        self.on_evacuation_end: Callable[[], None] = lambda: None
        self._address = address
        self._directory = directory
        self._queue = queue
        directory.evacuations.subscribe(lambda _: self._update())
        # The zone is known once the target is listed, which may be after the evacuation.
        directory.changes.subscribe(lambda _: self._update())

    def refused_wait_reason(self) -> str:
        """Return why a request that waited for a slot gets none."""
        return REASON_EVACUATED if self.in_force else "no time left"

    def _update(self) -> None:
        zones = self._directory.evacuated_zones
        if not zones and not self.in_force:
            return
        entry = self._directory.find_by_address(*self._address)
        if entry is None and zones:
            # While the target is not listed, no request is for it.
            return
        was_in_force = self.in_force
        self.in_force = entry is not None and self._directory.is_evacuated(entry)
        if self.in_force and not was_in_force:
            self._queue.refuse_all()
        elif was_in_force and not self.in_force:
            self.on_evacuation_end()
