"""Decide which nodes watch the platform's store, and from whom the others receive changes.

The store charges for every call, so the number of its watchers must not depend on the number of
nodes. Each availability zone has a head, and the heads of `WATCHED_ZONES` zones watch the store.
The other heads follow these watchers, and the nodes of a zone follow its head, so that a change
crosses to each zone once.
"""

from collections.abc import Collection, Mapping

import attrs

from ..ids import AvailabilityZoneId
from .rendezvous import choose, rank

# Number of zones whose heads watch the store; the second watcher covers the loss of the first.
WATCHED_ZONES = 2

# Delay between the first store calls of the nodes of a zone that lost their feeds, in the order of
# their positions.
TAKEOVER_STEP_MS = 300.0

# Interval between the later store calls of such nodes, for each node of the zone. It bounds the
# calls of a zone per second, whatever its size.
POLL_INTERVAL_PER_NODE_MS = 300.0


# Expected number of nodes of a zone that call the store in the first turn after all sources went
# silent, beside the one at the first position. It doubles with each of a few turns. Which nodes are
# lost is not known, so that the choice is random: an order by position would wait for each lost
# node that is next in line.
EARLY_CALLS = 3
EARLY_TURNS = 3
EARLY_TURN_MS = 150.0


@attrs.frozen
class FeedPlan:
    """Describe the part of one node in the distribution of changes.

    Attributes:
        watching: Whether the node watches the store.
        sources: Nodes that it follows; the first one forwards changes, the others only the
            revision that they know.
        position: Position among the nodes of its zone, in the order in which they take over; 0 is
            the head.
        zone_size: Number of nodes of its zone.
    """

    watching: bool = False
    sources: tuple[str, ...] = ()
    position: int = 0
    zone_size: int = 1

    def first_call_delay_ms(self) -> float:
        """Return the wait before a node that lost its feeds calls the store."""
        return max(0, self.position - 1) * TAKEOVER_STEP_MS

    def early_call_probability(self, turn: int) -> float:
        """Return the probability with which a node whose sources are all silent calls the store.

        Args:
            turn: Number of the turn, from 1 to `EARLY_TURNS`.
        """
        return min(1.0, EARLY_CALLS * 2 ** (turn - 1) / self.zone_size)

    def next_call_delay_ms(self, draw: float) -> float:
        """Return the wait before the next store call of a node that is still without a feed.

        Args:
            draw: Random number from 0 to below 1.
        """
        return self.zone_size * POLL_INTERVAL_PER_NODE_MS * (0.5 + draw)


def plan_feeds(
    host: str,
    availability_zone: AvailabilityZoneId,
    hosts_by_zone: Mapping[AvailabilityZoneId, Collection[str]],
) -> FeedPlan:
    """Return the part of a node.

    Args:
        host: Address of the node.
        availability_zone: Its availability zone.
        hosts_by_zone: Addresses of the reachable nodes by zone, with the node itself if it is
            listed.
    """
    heads = {zone: choose("watch", hosts) for zone, hosts in hosts_by_zone.items() if hosts}
    watched_zones = rank("watched zones", heads)[:WATCHED_ZONES]
    watchers = [heads[zone] for zone in watched_zones]
    zone_order = rank("watch", hosts_by_zone.get(availability_zone, ()))
    position = zone_order.index(host) if host in zone_order else len(zone_order)
    if position == 0:
        sources = [watcher for watcher in rank(host, watchers) if watcher != host]
    else:
        remote = choose(host, [watcher for watcher in watchers if watcher != zone_order[0]])
        sources = [zone_order[0]] if remote is None else [zone_order[0], remote]
    return FeedPlan(host in watchers, tuple(sources), position, max(1, len(zone_order)))
