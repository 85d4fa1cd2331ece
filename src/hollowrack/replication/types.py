"""Identifiers, ballots and memberships of replicated groups."""

from dataclasses import dataclass
from typing import Protocol

# "<node>#<incarnation>". A node without a data directory gets a new incarnation at each start, so a
# replica that lost its state is a different replica and has no votes of the previous one.
ReplicaId = str
_INCARNATION_SEPARATOR = "#"


def replica_id(node: str, incarnation: str) -> ReplicaId:
    """Return the replica identifier of one incarnation of a node."""
    return f"{node}{_INCARNATION_SEPARATOR}{incarnation}"


def node_of(replica: ReplicaId) -> str:
    """Return the name of the node that runs a replica."""
    return replica.partition(_INCARNATION_SEPARATOR)[0]


@dataclass(frozen=True, order=True)
class Ballot:
    """Ballot of a leader election; totally ordered by its fields.

    Attributes:
        epoch: Membership epoch of the election.
        round: Election number within the epoch.
        replica: The candidate, which makes the ballot unique.
    """

    epoch: int
    round: int
    replica: ReplicaId

    @property
    def fencing_token(self) -> int:
        """Integer that increases with every change of leader; attached to commands to engines."""
        return (self.epoch << 32) | self.round


ZERO_BALLOT = Ballot(0, 0, "")


@dataclass(frozen=True)
class Membership:
    """Members of a group in one epoch.

    The configuration store holds exactly one membership per epoch, written by compare-and-swap.

    Attributes:
        epoch: Number of the epoch; increases by one with every change.
        members: Replicas that accept entries in this epoch.
        previous: Member sets of earlier epochs whose state may not have been copied yet. A leader
            also needs a majority of each of them until the epoch is activated.
    """

    epoch: int
    members: tuple[ReplicaId, ...]
    previous: tuple[tuple[ReplicaId, ...], ...] = ()

    def voters(self) -> frozenset[ReplicaId]:
        """All replicas that a candidate requests votes from."""
        return frozenset(self.members).union(*self.previous)

    def has_election_quorum(self, promised: set[ReplicaId]) -> bool:
        """Whether the promises include a majority of every member set."""
        return all(is_majority(group, promised) for group in (self.members, *self.previous))

    def activated(self) -> "Membership":
        """Return the membership of the activated epoch, without earlier member sets."""
        return Membership(self.epoch, self.members)

    def successor(self, members: tuple[ReplicaId, ...]) -> "Membership":
        """Return the membership of the next epoch."""
        return Membership(self.epoch + 1, members, (self.members, *self.previous))


def is_majority(group: tuple[ReplicaId, ...], present: set[ReplicaId]) -> bool:
    """Whether more than half of ``group`` is in ``present``."""
    return 2 * len(present.intersection(group)) > len(group)


class StateMachine(Protocol):
    """Deterministic state machine that applies the committed commands of a log."""

    def apply(self, command: bytes) -> bytes:
        """Apply one committed command and return its encoded outcome."""

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; empty bytes are the initial state."""
