"""Know which nodes of the fleet live, leave or failed."""

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from ..ids import AvailabilityZoneId, NodeIdentity, UpstreamId


class MemberState(Enum):
    """Tell what a node believes about another one."""

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
        state: What is believed about it.
    """

    identity: NodeIdentity
    state: MemberState


class Members(ABC):
    """Give the present view of the fleet; it always contains the local node."""

    @abstractmethod
    def get(self, upstream_id: UpstreamId) -> Member | None:
        """Return what is known about the newest process of an upstream."""

    @abstractmethod
    def all(self) -> list[Member]:
        """Return every known member in id order."""

    @abstractmethod
    def neighbours(self) -> tuple[UpstreamId, ...]:
        """Return the overlay neighbours that this node keeps links to."""

    @property
    def listed_as_leaving(self) -> bool:
        """Return whether the platform has the own instance as leaving."""
        return False

    def takes_work(self, upstream_id: UpstreamId) -> bool:
        """Return whether new work may go to an upstream."""
        member = self.get(upstream_id)
        return member is not None and member.state in (MemberState.LIVE, MemberState.SUSPECT)

    def reachable(self, availability_zone: AvailabilityZoneId | None = None) -> list[UpstreamId]:
        """Return the ids of live, suspect and leaving members.

        Args:
            availability_zone: Only members of this zone, if given.
        """
        states = (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [
            member.identity.upstream_id
            for member in self.all()
            if member.state in states
            and availability_zone in (None, member.identity.availability_zone)
        ]


class StaticMembers(Members):
    """Hold a view that a test sets."""

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
        """Return what was set."""
        return self.own_leaving

    def set(self, member: Member) -> None:
        """Replace what is known about one upstream."""
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
