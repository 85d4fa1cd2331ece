"""Messages between nodes about replicated groups as a whole."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.replication.types import Membership, ReplicaId


@message("groups.propose")
@dataclass(frozen=True)
class ProposeRequest:
    """Asks a node that should lead the group to commit a command."""

    group: str
    command: bytes


@message("groups.outcome")
@dataclass(frozen=True)
class ProposeAnswer:
    """What the state machine returned for a committed command."""

    outcome: bytes


@message("groups.find")
@dataclass(frozen=True)
class FindGroup:
    """Asks a node what it knows of a group."""

    group: str


@message("groups.found")
@dataclass(frozen=True)
class GroupFound:
    """The membership of a group as one node knows it, and who leads it."""

    membership: Membership | None
    leader: ReplicaId | None


@message("groups.join")
@dataclass(frozen=True)
class JoinGroup:
    """Tells a node that it is a member of a group from this membership on."""

    group: str
    membership: Membership


@message("groups.joined")
@dataclass(frozen=True)
class Joined:
    """The node runs its replica."""

    replica: ReplicaId
