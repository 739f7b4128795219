"""Make the traffic of organisations for the quota benchmarks."""

import random
from bisect import bisect_right

import attrs

# Share of an organisation's rate that arrives evenly; bursts bring it up to the mean.
EVEN_SHARE = 0.4
MEAN_SHARE = 0.9
# A burst takes at most this part of the burst allowance, and leaves the rest in the bucket.
LARGEST_BURST = 0.9
SMALLEST_BURST = 0.3
BURST_SPREAD_MS = 20.0
# One organisation sends this multiple of its rate.
AGGRESSION = 5.0
# Part of the traffic that enters in the first zone, and of a zone's that enters at one node.
ZONE_SKEW = 0.6
NODE_SKEW = 0.6


@attrs.frozen
class Limits:
    """Set rate and burst of one organisation and whether it keeps to them."""

    rate_per_s: float
    burst: float
    conforming: bool = True


@attrs.frozen
class Arrival:
    """Describe one request.

    Attributes:
        at_ms: When it arrives.
        organisation: Who sends it.
        zone: Where it enters.
        spot: Picks the node inside the zone, from 0 to 1.
        calm: Whether its organisation sent under half its rate in the last second and the request
            is not part of a burst.
    """

    at_ms: float
    organisation: str
    zone: str
    spot: float
    calm: bool


class TrueBucket:
    """Decide what conforms: one bucket for the whole fleet, without any delay."""

    def __init__(self, limits: Limits, start_ms: float, level: float):
        """Create a bucket with a level."""
        self.limits = limits
        self.level = level
        self._at_ms = start_ms

    def advance(self, now_ms: float) -> float:
        """Refill and return the level."""
        grown = self.level + self.limits.rate_per_s * (now_ms - self._at_ms) / 1000
        self.level, self._at_ms = min(self.limits.burst, grown), now_ms
        return self.level

    def take(self, now_ms: float) -> bool:
        """Take one token if there is one."""
        if self.advance(now_ms) < 1.0:
            return False
        self.level -= 1.0
        return True


def make_traffic(
    organisations: dict[str, Limits], zones: list[str], start_ms: float, end_ms: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of all organisations in order; those of conforming ones all conform."""
    arrivals = []
    for name in sorted(organisations):
        source = random.Random(f"{seed} {name}")
        limits = organisations[name]
        times = (
            _conforming_times(limits, start_ms, end_ms, source)
            if limits.conforming
            else _even_times(AGGRESSION * limits.rate_per_s, start_ms, end_ms, source)
        )
        at_times = [at_ms for at_ms, _ in times]
        for index, (at_ms, place) in enumerate(times):
            recent = index + 1 - bisect_right(at_times, at_ms - 1000.0)
            zone, spot = place or _place(zones, source)
            calm = at_ms > start_ms + 1000.0 and recent < 0.5 * limits.rate_per_s
            # While a burst arrives, its organisation sends at many times its rate.
            calm = calm and place is None
            arrivals.append(Arrival(at_ms, name, zone or zones[0], spot, calm))
    return sorted(arrivals, key=lambda arrival: (arrival.at_ms, arrival.organisation))


def _place(zones: list[str], source: random.Random) -> tuple[str, float]:
    zone = zones[0] if source.random() < ZONE_SKEW else source.choice(zones)
    return zone, 0.0 if source.random() < NODE_SKEW else source.random()


def _even_times(rate_per_s: float, start_ms: float, end_ms: float, source: random.Random) -> list:
    times, at_ms = [], start_ms
    while (at_ms := at_ms + source.expovariate(rate_per_s / 1000)) < end_ms:
        times.append((at_ms, None))
    return times


def _conforming_times(
    limits: Limits, start_ms: float, end_ms: float, source: random.Random
) -> list:
    bucket = TrueBucket(limits, start_ms, limits.burst)
    candidates = _even_times(EVEN_SHARE * limits.rate_per_s, start_ms, end_ms, source)
    times: list = []
    size = limits.burst * source.uniform(SMALLEST_BURST, LARGEST_BURST)
    busy_until_ms = start_ms
    for at_ms, _ in candidates:
        if at_ms < busy_until_ms:
            continue
        if bucket.take(at_ms):
            times.append((at_ms, None))
        due = len(times) + size <= MEAN_SHARE * limits.rate_per_s * (at_ms - start_ms) / 1000
        if due and bucket.advance(at_ms) >= size + (1 - LARGEST_BURST) * limits.burst:
            spot = (None, source.random())
            moments = sorted(at_ms + source.uniform(0.0, BURST_SPREAD_MS) for _ in range(int(size)))
            times += [(moment, spot) for moment in moments if bucket.take(moment)]
            busy_until_ms = at_ms + BURST_SPREAD_MS
            size = limits.burst * source.uniform(SMALLEST_BURST, LARGEST_BURST)
    return times
