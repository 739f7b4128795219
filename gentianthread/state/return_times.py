"""Assign refused callers a time to return, and let those that did go before new ones.

Load: callers ask for more than a service serves for seconds, for example after a loss of power, and
send refused requests again after the time in Retry-After. If all are told about the same time, they
return together, and a caller that waited has no better chance than a new one.
"""

from random import Random

import attrs

from ..ids import ServiceId

# Callers wait at most this part of the time that they have left, whatever they are told.
FOLLOWED_PART = 1 / 3

# Waits that are told: no shorter one, as answers and levels need this time to change, and no longer
# one, since the estimate of the room is worth nothing after it.
MIN_WAIT_MS = 150.0
MAX_WAIT_MS = 10_000.0

# Smallest and largest factor by which a wait is changed at random.
JITTER_RANGE = (0.8, 1.2)

# Range of the wait of callers for whom there is no room in time, as parts of the longest wait that
# they follow.
LATE_RANGE = (0.8, 1.0)

# Time over which admissions are counted, and the least rate that is assumed.
RATE_PERIOD_MS = 500.0
MIN_RATE_PER_S = 0.5

# Weight of the last period in the rates.
RATE_WEIGHT = 0.5

# A caller that has used less than this time, or part of its full timeout, counts as new: the times
# that callers state differ a little.
MIN_USED_MS = 100.0
MIN_USED_PART = 0.03


def has_returned(full_timeout_ms: float, stated_ms: float) -> bool:
    """Return whether a caller has sent its request before, by the time that it has left.

    Args:
        full_timeout_ms: Time that callers state first.
        stated_ms: Time that this caller states.
    """
    used_ms = full_timeout_ms - stated_ms
    return used_ms > max(MIN_USED_MS, MIN_USED_PART * full_timeout_ms)


@attrs.define(eq=False)
class _Queue:
    """Store the places that refused callers were promised.

    Attributes:
        period_started_ms: Start of the period in which requests are counted.
        admitted: Requests admitted in it.
        returned: Requests in it whose callers had returned.
        arrived: All requests in it.
        admitted_per_s: Mean rate of admissions.
        returned_part: Mean part of the requests whose callers had returned.
        promised_until_ms: Time of the last place that was promised.
    """

    period_started_ms: float
    admitted: int = 0
    returned: int = 0
    arrived: int = 0
    admitted_per_s: float | None = None
    returned_part: float = 0.0
    promised_until_ms: float = 0.0


class ReturnTimes:
    """Keep a virtual queue of refused callers for each service and priority.

    A refusal takes the next place, and places follow each other at the rate of admissions. Callers
    that have returned get the better ranks of their priority, so that a level refuses new ones
    first and the promised places are free.
    """

    def __init__(self, random: Random):
        """Create a store without queues.

        Args:
            random: Source of jitter and ranks.
        """
        self._random = random
        self._queues: dict[tuple[ServiceId, int], _Queue] = {}

    def draw(
        self,
        service_id: ServiceId,
        priority: int,
        now_ms: float,
        *,
        returned: bool = False,
        objective_missed: bool = False,
    ) -> float:
        """Return a number from 0 to below 1 that orders the requests of one priority.

        The numbers of all requests are spread evenly, so that a level refuses the same part of
        them; those of callers that have returned are the highest.

        Args:
            service_id: Service of the request.
            priority: Its priority.
            now_ms: Present time in ms.
            returned: Whether its caller has returned.
            objective_missed: Whether it can no longer meet its latency objective. Such requests are
                refused while any of their priority are.
        """
        if objective_missed:
            return 0.0
        queue = self._find(service_id, priority, now_ms)
        queue.arrived += 1
        queue.returned += returned
        part = queue.returned_part
        if returned:
            return 1 - part * (1 - self._random.random())
        return (1 - part) * self._random.random()

    def record_admitted(self, service_id: ServiceId, priority: int, now_ms: float) -> None:
        """Count a request that was admitted."""
        self._find(service_id, priority, now_ms).admitted += 1

    def next_wait_ms(
        self, service_id: ServiceId, priority: int, remaining_ms: float, now_ms: float
    ) -> float:
        """Return the time after which a refused caller is to return.

        Args:
            service_id: Service of the request.
            priority: Its priority.
            remaining_ms: Time until the caller stops waiting.
            now_ms: Present time in ms.
        """
        queue = self._find(service_id, priority, now_ms)
        longest_ms = min(MAX_WAIT_MS, remaining_ms * FOLLOWED_PART)
        if longest_ms <= MIN_WAIT_MS:
            return max(0.0, longest_ms)
        rate_per_s = max(MIN_RATE_PER_S, queue.admitted_per_s or 0.0)
        place_ms = max(queue.promised_until_ms, now_ms + MIN_WAIT_MS) + 1_000 / rate_per_s
        if place_ms - now_ms > longest_ms:
            # There is no room in time; it may come sooner than expected.
            return max(MIN_WAIT_MS, longest_ms * self._random.uniform(*LATE_RANGE))
        queue.promised_until_ms = place_ms
        wait_ms = (place_ms - now_ms) * self._random.uniform(*JITTER_RANGE)
        return min(longest_ms, max(MIN_WAIT_MS, wait_ms))

    def waiting(self, now_ms: float) -> dict[str, float]:
        """Return the time until the last promised place by service and priority, for the dump."""
        return {
            f"{service_id} {priority}": queue.promised_until_ms - now_ms
            for (service_id, priority), queue in self._queues.items()
            if queue.promised_until_ms > now_ms
        }

    def _find(self, service_id: ServiceId, priority: int, now_ms: float) -> _Queue:
        key = (service_id, priority)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue(now_ms)
        elapsed_ms = now_ms - queue.period_started_ms
        if elapsed_ms >= RATE_PERIOD_MS:
            self._end_period(queue, elapsed_ms)
            queue.period_started_ms = now_ms
        return queue

    def _end_period(self, queue: _Queue, elapsed_ms: float) -> None:
        rate_per_s = queue.admitted / elapsed_ms * 1_000
        if queue.admitted_per_s is None:
            queue.admitted_per_s = rate_per_s
        queue.admitted_per_s += RATE_WEIGHT * (rate_per_s - queue.admitted_per_s)
        if queue.arrived:
            part = queue.returned / queue.arrived
            queue.returned_part += RATE_WEIGHT * (part - queue.returned_part)
        queue.admitted = queue.returned = queue.arrived = 0
