"""Choose the watchers: nodes that read the platform often, for all of their availability zone."""

from ..ids import NodeIdentity
from ..state.members import Members, MemberState
from ..state.rendezvous import rank

# With two watchers in each zone, a change is seen at once even while one of them is down.
WATCHERS_PER_ZONE = 2


def is_watcher(local: NodeIdentity, members: Members) -> bool:
    """Return whether the local node is a watcher of its availability zone.

    Args:
        local: The local node.
        members: Membership of the nodes in the fleet, as the local node sees it.
    """
    zone = local.availability_zone
    live = {
        name
        for name in members.reachable(zone)
        if (member := members.get(name)) is not None and member.state is MemberState.LIVE
    }
    live.add(local.upstream_id)
    return local.upstream_id in rank(f"watch:{zone}", live)[:WATCHERS_PER_ZONE]
