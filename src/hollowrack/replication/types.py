"""Identifiers, ballots and memberships of replicated groups."""

from dataclasses import dataclass
from typing import Protocol

# A replica is named "<node>#<incarnation>". A node without a disk draws a new incarnation at each
# start, so a replica that lost its memory is a different replica and holds no vote of the old one.
ReplicaId = str
_INCARNATION_SEPARATOR = "#"


def replica_id(node: str, incarnation: str) -> ReplicaId:
    """Return the replica identifier of one incarnation of a node."""
    return f"{node}{_INCARNATION_SEPARATOR}{incarnation}"


def node_of(replica: ReplicaId) -> str:
    """Return the node that runs a replica."""
    return replica.partition(_INCARNATION_SEPARATOR)[0]


@dataclass(frozen=True, order=True)
class Ballot:
    """A leadership attempt; totally ordered, the epoch first.

    Attributes:
        epoch: Membership epoch in which the leader was elected.
        round: Attempt number within the epoch.
        replica: The candidate, which makes ballots unique.
    """

    epoch: int
    round: int
    replica: ReplicaId

    @property
    def fencing_token(self) -> int:
        """An integer that rises with every change of leader; orders to engines carry it."""
        return (self.epoch << 32) | self.round


ZERO_BALLOT = Ballot(0, 0, "")


@dataclass(frozen=True)
class Membership:
    """The members of a group in one epoch.

    The configuration store holds exactly one membership per epoch, written by compare-and-swap.

    Attributes:
        epoch: Rises by one with every change.
        members: The replicas that accept entries in this epoch.
        previous: Member sets of earlier epochs whose state may not have been copied yet. A leader
            needs a majority of each of them as well until the epoch is activated.
    """

    epoch: int
    members: tuple[ReplicaId, ...]
    previous: tuple[tuple[ReplicaId, ...], ...] = ()

    def voters(self) -> frozenset[ReplicaId]:
        """All replicas that a candidate has to ask."""
        return frozenset(self.members).union(*self.previous)

    def has_election_quorum(self, promised: set[ReplicaId]) -> bool:
        """Whether the promises hold a majority of every member set."""
        return all(is_majority(group, promised) for group in (self.members, *self.previous))

    def activated(self) -> "Membership":
        """The same epoch without the duty to ask earlier members."""
        return Membership(self.epoch, self.members)

    def successor(self, members: tuple[ReplicaId, ...]) -> "Membership":
        """The next epoch, with the given members."""
        return Membership(self.epoch + 1, members, (self.members, *self.previous))


def is_majority(group: tuple[ReplicaId, ...], present: set[ReplicaId]) -> bool:
    """Whether more than half of ``group`` is in ``present``."""
    return 2 * len(present.intersection(group)) > len(group)


class StateMachine(Protocol):
    """A deterministic state machine driven by the log."""

    def apply(self, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; empty bytes mean the initial state."""
