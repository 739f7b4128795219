"""Choose the nodes that read the platform often, on behalf of their availability zone."""

from ..ids import NodeIdentity
from ..state.members import Members, MemberState
from ..state.rendezvous import rank

# Two per zone, so that a change is seen at once while one of them fails.
WATCHERS_PER_ZONE = 2


def is_watcher(local: NodeIdentity, members: Members) -> bool:
    """Return whether the local node is a watcher of its availability zone.

    Args:
        local: The local node.
        members: View of the fleet.
    """
    zone = local.availability_zone
    live = {
        name
        for name in members.reachable(zone)
        if (member := members.get(name)) is not None and member.state is MemberState.LIVE
    }
    live.add(local.upstream_id)
    return local.upstream_id in rank(f"watch:{zone}", live)[:WATCHERS_PER_ZONE]
