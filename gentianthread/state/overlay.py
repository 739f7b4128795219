"""Choose the overlay neighbours of a node.

Each availability zone has two hash rings of its nodes. The neighbours of a node are its successor
on each ring of its own zone, and one node in each of two other zones, at a ring position that
depends on the node and the zone. Two independent rings and the links across zones form a random
graph: at 670 nodes a flood needs about 6 hops, whereas links to the next two nodes of a single ring
would need over 40.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

from ..ids import AvailabilityZoneId, UpstreamId
from .rendezvous import rank

OWN_ZONE_RINGS = 2
OTHER_ZONES = 2

# Number of positions on a ring, the range of a 64-bit hash.
_RING_SIZE = 2**64


def choose_neighbours(
    upstream_id: UpstreamId,
    availability_zone: AvailabilityZoneId,
    candidates: Mapping[AvailabilityZoneId, Iterable[UpstreamId]],
) -> tuple[UpstreamId, ...]:
    """Return the neighbours of a node, those in its own zone first.

    Args:
        upstream_id: The node.
        availability_zone: Its zone.
        candidates: Nodes to choose from, by zone.
    """
    chosen: list[UpstreamId] = []
    local_nodes = [name for name in candidates.get(availability_zone, ()) if name != upstream_id]
    for ring in range(OWN_ZONE_RINGS):
        remaining = [name for name in local_nodes if name not in chosen]
        chosen.extend(_find_successor(ring, _position(f"{ring}:{upstream_id}"), remaining))
    zones = [zone for zone, names in candidates.items() if zone != availability_zone and names]
    for zone in rank(upstream_id, zones)[:OTHER_ZONES]:
        chosen.extend(_find_successor(0, _position(f"{upstream_id}>{zone}"), candidates[zone]))
    return tuple(chosen)


def _find_successor(ring: int, position: int, names: Iterable[UpstreamId]) -> list[UpstreamId]:
    """Return the first node after a position on a ring, or nothing without nodes."""
    successor = min(
        names,
        key=lambda name: (_position(f"{ring}:{name}") - position - 1) % _RING_SIZE,
        default=None,
    )
    return [] if successor is None else [successor]


@lru_cache(maxsize=100_000)
def _position(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
