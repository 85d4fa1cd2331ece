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
    """Envelope of a replica message; ``body`` is an encoded message of this module.

    The recipient contains its incarnation, so a message to a replica that lost its state is not
    delivered to the next incarnation.
    """

    group: str
    sender: ReplicaId
    recipient: ReplicaId
    body: bytes


@message("replication.prepare")
@dataclass(frozen=True)
class Prepare:
    """Phase one: a candidate requests a promise."""

    ballot: Ballot
    membership: Membership


@message("replication.promise")
@dataclass(frozen=True)
class Promise:
    """Promise to accept no lower ballot, with the state of the replica's log."""

    ballot: Ballot
    accepted_ballot: Ballot
    last_index: int
    commit_index: int


@message("replication.reject")
@dataclass(frozen=True)
class Reject:
    """Rejects a message whose ballot is below ``promised``."""

    promised: Ballot
    membership: Membership


@message("replication.fetch")
@dataclass(frozen=True)
class Fetch:
    """Elected candidate requests the most advanced log after an index."""

    ballot: Ballot
    after_index: int


@message("replication.suffix")
@dataclass(frozen=True)
class Suffix:
    """Answer to :class:`Fetch`: entries after ``after_index``, with a snapshot if necessary."""

    ballot: Ballot
    snapshot: Snapshot | None
    after_index: int
    entries: tuple[bytes, ...]


@message("replication.sync")
@dataclass(frozen=True)
class Sync:
    """Leader's log after ``after_index``; replaces the follower's entries after it."""

    ballot: Ballot
    membership: Membership
    snapshot: Snapshot | None
    after_index: int
    entries: tuple[bytes, ...]
    commit_index: int


@message("replication.append")
@dataclass(frozen=True)
class Append:
    """New entries after ``after_index``; a heartbeat if there are none.

    ``is_active`` tells whether the leader's epoch has been activated.
    """

    ballot: Ballot
    after_index: int
    entries: tuple[bytes, ...]
    commit_index: int
    is_active: bool


@message("replication.accepted")
@dataclass(frozen=True)
class Accepted:
    """The follower stores the leader's log up to and including ``last_index``."""

    ballot: Ballot
    last_index: int


@message("replication.need_sync")
@dataclass(frozen=True)
class NeedSync:
    """The follower has not adopted the leader's log; its own is committed to ``commit_index``."""

    ballot: Ballot
    commit_index: int


@message("replication.canvass")
@dataclass(frozen=True)
class PreVote:
    """Pre-vote request (as in Raft): whether a replica would promise ``ballot``."""

    ballot: Ballot


@message("replication.support")
@dataclass(frozen=True)
class PreVoteGranted:
    """Pre-vote granted: the replica has no active leader and would promise ``ballot``."""

    ballot: Ballot


@message("replication.take_over")
@dataclass(frozen=True)
class TimeoutNow:
    """Leadership transfer: asks a follower to start an election immediately."""

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
