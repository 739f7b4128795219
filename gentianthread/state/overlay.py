"""Choose the overlay neighbours of a node.

Each availability zone has two hash rings of its nodes. A node takes its successor on each ring of
its own zone, and one node in each of two other zones, at a position that depends on both. Two
independent rings and the links across zones make a random graph: at 670 nodes a flood needs about 6
hops, where the next two nodes of a single ring would need over 40.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

from ..ids import AvailabilityZoneId, UpstreamId
from .rendezvous import rank

OWN_ZONE_RINGS = 2
OTHER_ZONES = 2

_SPAN = 2**64


def choose_neighbours(
    upstream_id: UpstreamId,
    availability_zone: AvailabilityZoneId,
    candidates: Mapping[AvailabilityZoneId, Iterable[UpstreamId]],
) -> tuple[UpstreamId, ...]:
    """Return the neighbours of a node, those in its own zone first.

    Args:
        upstream_id: The node.
        availability_zone: Its zone.
        candidates: Other nodes by zone.
    """
    chosen: list[UpstreamId] = []
    own = [name for name in candidates.get(availability_zone, ()) if name != upstream_id]
    for ring in range(OWN_ZONE_RINGS):
        left = [name for name in own if name not in chosen]
        chosen.extend(_next(ring, _position(f"{ring}:{upstream_id}"), left))
    zones = [zone for zone, names in candidates.items() if zone != availability_zone and names]
    for zone in rank(upstream_id, zones)[:OTHER_ZONES]:
        chosen.extend(_next(0, _position(f"{upstream_id}>{zone}"), candidates[zone]))
    return tuple(chosen)


def _next(ring: int, position: int, names: Iterable[UpstreamId]) -> list[UpstreamId]:
    best = min(
        names, key=lambda name: (_position(f"{ring}:{name}") - position - 1) % _SPAN, default=None
    )
    return [] if best is None else [best]


@lru_cache(maxsize=100_000)
def _position(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
