"""Messages between the replicas of one group."""

from dataclasses import dataclass

from hollowrack.messages.codec import message
from hollowrack.replication.types import Ballot, Membership, ReplicaId


@dataclass(frozen=True)
class Snapshot:
    """The state after all entries up to and including ``index``."""

    index: int
    state: bytes


@message("replication.envelope")
@dataclass(frozen=True)
class Envelope:
    """Carries one replica message; ``body`` is an encoded message of this module.

    The recipient's incarnation is part of the address, so that a message for a replica which lost
    its memory never reaches its successor.
    """

    group: str
    sender: ReplicaId
    recipient: ReplicaId
    body: bytes


@message("replication.prepare")
@dataclass(frozen=True)
class Prepare:
    """Phase one: a candidate asks for a promise."""

    ballot: Ballot
    membership: Membership


@message("replication.promise")
@dataclass(frozen=True)
class Promise:
    """A replica will accept nothing below ``ballot``; says how far its own log goes."""

    ballot: Ballot
    accepted_ballot: Ballot
    last_index: int
    commit_index: int


@message("replication.reject")
@dataclass(frozen=True)
class Reject:
    """The receiver's ballot is below ``promised``."""

    promised: Ballot
    membership: Membership


@message("replication.fetch")
@dataclass(frozen=True)
class Fetch:
    """A candidate with a quorum asks the most advanced replica for the log after an index."""

    ballot: Ballot
    after_index: int


@message("replication.suffix")
@dataclass(frozen=True)
class Suffix:
    """Answer to :class:`Fetch`: the log after the snapshot, or after ``after_index``."""

    ballot: Ballot
    snapshot: Snapshot | None
    after_index: int
    entries: tuple[bytes, ...]


@message("replication.sync")
@dataclass(frozen=True)
class Sync:
    """The leader's whole log after ``after_index``; replaces whatever the follower has there."""

    ballot: Ballot
    membership: Membership
    snapshot: Snapshot | None
    after_index: int
    entries: tuple[bytes, ...]
    commit_index: int


@message("replication.append")
@dataclass(frozen=True)
class Append:
    """New entries after ``after_index``; without entries it is the leader's heartbeat."""

    ballot: Ballot
    after_index: int
    entries: tuple[bytes, ...]
    commit_index: int
    is_active: bool


@message("replication.accepted")
@dataclass(frozen=True)
class Accepted:
    """The follower holds the leader's log up to and including ``last_index``."""

    ballot: Ballot
    last_index: int


@message("replication.need_sync")
@dataclass(frozen=True)
class NeedSync:
    """The follower has not adopted the leader's log; it is committed up to ``commit_index``."""

    ballot: Ballot
    commit_index: int


@message("replication.canvass")
@dataclass(frozen=True)
class PreVote:
    """Asks whether a replica would promise ``ballot``; changes nothing (Raft's pre-vote)."""

    ballot: Ballot


@message("replication.support")
@dataclass(frozen=True)
class PreVoteGranted:
    """The replica hears no leader and would promise ``ballot``."""

    ballot: Ballot


@message("replication.take_over")
@dataclass(frozen=True)
class TimeoutNow:
    """A leader that is stopping asks a follower to start an election at once."""

    ballot: Ballot


ReplicaMessage = (
    Prepare
    | Promise
    | Reject
    | Fetch
    | Suffix
    | Sync
    | Append
    | Accepted
    | NeedSync
    | TimeoutNow
    | PreVote
    | PreVoteGranted
)
