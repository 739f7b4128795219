"""Model the nodes of the fleet and their membership states."""

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from ..ids import AvailabilityZoneId, NodeIdentity, UpstreamId


class MemberState(Enum):
    """Classify a node as another node sees it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@attrs.frozen
class Member:
    """Describe one known process.

    Attributes:
        identity: Its identity.
        state: Its state as the local node sees it.
    """

    identity: NodeIdentity
    state: MemberState


# States of members that answer messages.
REACHABLE = frozenset((MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING))


class Members(ABC):
    """Provide the local node's current view of the fleet, which always contains that node."""

    @abstractmethod
    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return the newest known process of an upstream, or None."""

    @abstractmethod
    def all(self) -> list[Member]:
        """Return every known member in id order."""

    @abstractmethod
    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return the overlay neighbours to which this node keeps links."""

    @property
    def listed_as_leaving(self) -> bool:
        """Return whether the platform lists the local instance as leaving."""
        return False

    def takes_work(self, upstream_id: UpstreamId) -> bool:
        """Return whether new work may go to an upstream."""
        member = self.get(upstream_id)
        return member is not None and member.state in (MemberState.LIVE, MemberState.SUSPECT)

    def reachable(self, availability_zone: AvailabilityZoneId | None = None) -> list[UpstreamId]:
        """Return the ids of live, suspect and leaving members.

        Args:
            availability_zone: Restricts the result to members of this zone, if given.
        """
        return [
            member.identity.upstream_id
            for member in self.all()
            if member.state in REACHABLE
            and availability_zone in (None, member.identity.availability_zone)
        ]


class StaticMembers(Members):
    """Provide a fixed view for tests.

    Attributes:
        own_leaving: Value of `listed_as_leaving`.
    """

    def __init__(self, members: list[Member], neighbours: tuple[UpstreamId, ...] = ()):
        """Create a view.

        Args:
            members: The members.
            neighbours: The overlay neighbours.
        """
        self._members = {member.identity.upstream_id: member for member in members}
        self._neighbours = neighbours
        self.own_leaving = False

    @property
    def listed_as_leaving(self) -> bool:
        """Return `own_leaving`."""
        return self.own_leaving

    def set(self, member: Member) -> None:
        """Add or replace the member of one upstream."""
        self._members[member.identity.upstream_id] = member

    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return the member that was set."""
        return self._members.get(upstream_id)

    def all(self) -> list[Member]:
        """Return every member in id order."""
        return [self._members[name] for name in sorted(self._members)]

    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return the neighbours that were set."""
        return self._neighbours
