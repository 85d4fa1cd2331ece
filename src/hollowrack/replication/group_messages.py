"""Messages between nodes that concern a whole replicated group."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.replication.types import Membership, ReplicaId


@message("groups.propose")
@dataclass(frozen=True)
class ProposeRequest:
    """Requests the commit of a command from the node that is believed to lead the group."""

    group: str
    command: bytes


@message("groups.outcome")
@dataclass(frozen=True)
class ProposeAnswer:
    """Result of the state machine for a committed command."""

    outcome: bytes


@message("groups.find")
@dataclass(frozen=True)
class FindGroup:
    """Requests the membership and leader of a group as known to a node."""

    group: str


@message("groups.found")
@dataclass(frozen=True)
class GroupFound:
    """Membership and leader of a group as known to a node; ``None`` if unknown."""

    membership: Membership | None
    leader: ReplicaId | None


@message("groups.join")
@dataclass(frozen=True)
class JoinGroup:
    """Announces a membership of a group to a node, which starts a replica if it is a member."""

    group: str
    membership: Membership


@message("groups.joined")
@dataclass(frozen=True)
class Joined:
    """Confirms that the node runs its replica."""

    replica: ReplicaId
