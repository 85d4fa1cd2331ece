"""Replica of a replicated log: a deterministic state machine without I/O.

Time and randomness are inputs. The protocol is Multi-Paxos with adoption of whole logs, close to
Viewstamped Replication (Liskov and Cowling, "Viewstamped Replication Revisited", 2012): a leader
elected in a ballot adopts the most advanced log of a majority, and each follower replaces its log
by the leader's before it accepts entries of the ballot. Membership changes follow Vertical Paxos
(Lamport, Malkhi and Zhou, 2009): the configuration store fixes one membership per epoch, and the
leader of a new epoch also needs a majority of every earlier member set whose state may not have
been copied yet.

Safety depends on promises only; time only decides when an election is attempted.
"""

import math
import random
from dataclasses import dataclass
from enum import Enum, auto

from hollowrack.replication.log import ReplicaLog
from hollowrack.replication.messages import (
    Accepted,
    Append,
    Fetch,
    NeedSync,
    Prepare,
    PreVote,
    PreVoteGranted,
    Promise,
    Reject,
    ReplicaMessage,
    Snapshot,
    Suffix,
    Sync,
    TimeoutNow,
)
from hollowrack.replication.storage import (
    Adopted,
    Appended,
    Compacted,
    Promised,
    Storage,
    StorageRecord,
)
from hollowrack.replication.types import (
    ZERO_BALLOT,
    Ballot,
    Membership,
    ReplicaId,
    StateMachine,
    is_majority,
)

HEARTBEAT_INTERVAL_S = 0.2
ELECTION_TIMEOUT_MIN_S = 0.8
ELECTION_TIMEOUT_MAX_S = 1.4
COMPACT_AFTER_NUM_ENTRIES = 2048


class Role(Enum):
    """Role of a replica within its group."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


@dataclass(frozen=True)
class Outgoing:
    """A message to be sent once the storage has been flushed."""

    recipient: ReplicaId
    message: ReplicaMessage


@dataclass(frozen=True)
class Applied:
    """A committed command was applied.

    Attributes:
        index: Log index of the command.
        ballot: Ballot in which this replica accepted it.
        outcome: Encoded result of the state machine.
    """

    index: int
    ballot: Ballot
    outcome: bytes


@dataclass
class _FollowerProgress:
    """A leader's view of one follower.

    Attributes:
        match_index: Highest index known to be stored at the follower.
        next_index: Index of the next entry to send.
        is_synced: Whether the follower has adopted the leader's log in this ballot.
        answered_since_heartbeat: Whether it has answered since the last heartbeat.
        last_answer_s: Time of its last answer, or of the election, in seconds.
    """

    match_index: int = 0
    next_index: int = 1
    is_synced: bool = False
    answered_since_heartbeat: bool = False
    last_answer_s: float = 0.0


class Replica:
    """One replica of one group.

    Outgoing messages are collected in ``outbox`` and applied commands in ``applied``. The host
    drains both after each call and flushes the storage before it sends any message.

    Args:
        replica: Identifier of this replica.
        membership: Initial membership.
        state_machine: Applies committed entries.
        storage: Stores the records that must survive a restart.
        rng: Random source of the election timeouts.
        now_s: Current time of the host's monotonic clock, in seconds.
    """

    def __init__(
        self,
        replica: ReplicaId,
        membership: Membership,
        state_machine: StateMachine,
        storage: Storage,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.id = replica
        self.membership = membership
        self.role = Role.FOLLOWER
        self.promised = ZERO_BALLOT
        self.accepted_ballot = ZERO_BALLOT
        self.log = ReplicaLog()
        self.commit_index = 0
        self.leader: ReplicaId | None = None
        self.outbox: list[Outgoing] = []
        self.applied: list[Applied] = []
        self._state_machine = state_machine
        self._storage = storage
        self._rng = rng
        self._pre_votes: set[ReplicaId] = set()
        self._last_leader_message_s = -math.inf
        self._promises: dict[ReplicaId, Promise] = {}
        self._progress: dict[ReplicaId, _FollowerProgress] = {}
        self._election_deadline_s = 0.0
        self._next_heartbeat_s = 0.0
        self._now_s = now_s
        # Rejects ballots of earlier epochs: a removed replica of this identity may have made
        # promises in them that are no longer stored.
        self.promised = Ballot(membership.epoch, 0, "")
        self._reset_election_timeout()

    # -- recovery ---------------------------------------------------------------------------

    def replay(self, record: StorageRecord) -> None:
        """Restore one stored record; records are replayed in order before any other call."""
        match record:
            case Promised(ballot, membership):
                self.promised = max(self.promised, ballot)
                self._adopt_membership(membership)
            case Adopted():
                self._install_log(record.snapshot, record.after_index, record.entries)
                self.promised = max(self.promised, record.ballot)
                self.accepted_ballot = record.ballot
                self._adopt_membership(record.membership)
            case Appended(after_index, entries):
                self.log.replace_after(after_index, entries)
            case Compacted():
                self.promised = max(self.promised, record.promised)
                self.accepted_ballot = record.accepted_ballot
                self._adopt_membership(record.membership)
                self.log.install(record.snapshot)
                self.log.replace_after(record.snapshot.index, record.entries)
                self._restore(record.snapshot)

    # -- inputs -----------------------------------------------------------------------------

    def propose(self, command: bytes) -> int | None:
        """Append a command; returns its index, or ``None`` if this replica is not the leader."""
        if self.role is not Role.LEADER:
            return None
        self._storage.record(Appended(self.log.last_index, (command,)))
        self.log.append(command)
        self._advance_commit()
        return self.log.last_index

    def replicate(self) -> None:
        """Send new entries to the followers; called once per batch of proposals."""
        if self.role is not Role.LEADER:
            return
        for follower, progress in self._progress.items():
            if progress.is_synced and progress.next_index <= self.log.last_index:
                self._send_append(follower, progress)

    def tick(self, now_s: float) -> None:
        """Advance the time; sends heartbeats as the leader, else checks the election timeout."""
        self._now_s = now_s
        if self.role is Role.LEADER:
            if now_s >= self._next_heartbeat_s:
                self._send_heartbeats()
            if not self._has_active_quorum():
                # Its heartbeats may still reach followers and would prevent them from electing
                # a leader that can commit.
                self._step_down()
                self._reset_election_timeout()
        elif now_s >= self._election_deadline_s:
            self.start_pre_vote()

    def start_pre_vote(self) -> None:
        """Start a pre-vote, so that a partitioned replica cannot disrupt the group by elections."""
        self._reset_election_timeout()
        ballot = self._next_ballot()
        if ballot is None:
            return
        self.leader = None
        self._pre_votes = {self.id}
        for voter in sorted(self.membership.voters() - {self.id}):
            self._send(voter, PreVote(ballot))
        self._finish_pre_vote()

    def _on_pre_vote(self, sender: ReplicaId, message: PreVote) -> None:
        has_active_leader = self._now_s - self._last_leader_message_s < ELECTION_TIMEOUT_MIN_S
        if (
            message.ballot > self.promised
            and not has_active_leader
            and self.role is not Role.LEADER
        ):
            self._send(sender, PreVoteGranted(message.ballot))

    def _on_pre_vote_granted(self, sender: ReplicaId, message: PreVoteGranted) -> None:
        if self._pre_votes and message.ballot == self._next_ballot():
            self._pre_votes.add(sender)
            self._finish_pre_vote()

    def _finish_pre_vote(self) -> None:
        if self.membership.has_election_quorum(self._pre_votes):
            self.start_election()

    def _next_ballot(self) -> Ballot | None:
        """Return a ballot above the promised one; ``None`` if not a member of the epoch."""
        epoch = self.membership.epoch
        if self.id not in self.membership.members or self.promised.epoch > epoch:
            return None
        seen_round = self.promised.round if self.promised.epoch == epoch else 0
        return Ballot(epoch, seen_round + 1, self.id)

    def start_election(self) -> None:
        """Become a candidate in a ballot above the promised one, if a member of the epoch."""
        self._reset_election_timeout()
        ballot = self._next_ballot()
        if ballot is None:
            return
        self._pre_votes = set()
        self._promise(ballot)
        self.role = Role.CANDIDATE
        self.leader = None
        self._promises = {self.id: self._own_promise(ballot)}
        for voter in sorted(self.membership.voters() - {self.id}):
            self._send(voter, Prepare(ballot, self.membership))
        self._finish_phase_one()

    def resign(self) -> None:
        """Transfer leadership to the most advanced follower, before a planned stop."""
        if self.role is not Role.LEADER:
            return
        ranked = sorted(self._progress, key=lambda name: self._progress[name].match_index)
        self._step_down()
        self._election_deadline_s = self._now_s + 2 * ELECTION_TIMEOUT_MAX_S
        if ranked:
            self._send(ranked[-1], TimeoutNow(self.promised))

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        if message.ballot == self.promised:
            self.start_election()

    def adopt_membership(self, membership: Membership) -> None:
        """Apply a membership read from the configuration store; older ones are ignored."""
        if membership.epoch > self.membership.epoch and self.role is not Role.FOLLOWER:
            self._step_down()
        self._adopt_membership(membership)

    def receive(self, sender: ReplicaId, message: ReplicaMessage) -> None:
        """Handle a message of another replica."""
        match message:
            case Prepare():
                self._on_prepare(sender, message)
            case Promise():
                self._on_promise(sender, message)
            case Reject():
                self._on_reject(message)
            case Fetch():
                self._on_fetch(sender, message)
            case Suffix():
                self._on_suffix(message)
            case Sync():
                self._on_sync(sender, message)
            case Append():
                self._on_append(sender, message)
            case Accepted():
                self._on_accepted(sender, message)
            case NeedSync():
                self._on_need_sync(sender, message)
            case TimeoutNow():
                self._on_timeout_now(message)
            case PreVote():
                self._on_pre_vote(sender, message)
            case PreVoteGranted():
                self._on_pre_vote_granted(sender, message)

    @property
    def needs_activation(self) -> bool:
        """Whether the epoch is not active and a majority of its members has this leader's log."""
        return (
            self.role is Role.LEADER
            and bool(self.membership.previous)
            and is_majority(self.membership.members, self._synced())
        )

    @property
    def unsynced_members(self) -> set[ReplicaId]:
        """Members that have not adopted this leader's log; empty if this is not the leader."""
        if self.role is not Role.LEADER:
            return set()
        return set(self.membership.members) - self._synced()

    # -- phase one --------------------------------------------------------------------------

    def _on_prepare(self, sender: ReplicaId, message: Prepare) -> None:
        if message.ballot <= self.promised:
            self._reject(sender)
            return
        self._step_down()
        self._adopt_membership(message.membership)
        self._promise(message.ballot)
        self._reset_election_timeout()
        self._send(sender, self._own_promise(message.ballot))

    def _own_promise(self, ballot: Ballot) -> Promise:
        return Promise(ballot, self.accepted_ballot, self.log.last_index, self.commit_index)

    def _on_promise(self, sender: ReplicaId, message: Promise) -> None:
        if self.role is not Role.CANDIDATE or message.ballot != self.promised:
            return
        self._promises[sender] = message
        self._finish_phase_one()

    def _finish_phase_one(self) -> None:
        if not self.membership.has_election_quorum(set(self._promises)):
            return
        best = max(
            self._promises,
            key=lambda replica: (
                self._promises[replica].accepted_ballot,
                self._promises[replica].last_index,
                replica == self.id,
            ),
        )
        if best == self.id:
            self._become_leader(
                self.log.snapshot, self.log.snapshot.index, self.log.after(self.log.snapshot.index)
            )
        else:
            self._send(best, Fetch(self.promised, self.commit_index))

    def _on_fetch(self, sender: ReplicaId, message: Fetch) -> None:
        if message.ballot != self.promised:
            self._reject(sender)
            return
        snapshot, after_index = self._sync_start(message.after_index)
        entries = self.log.after(after_index)
        self._send(sender, Suffix(message.ballot, snapshot, after_index, entries))

    def _on_suffix(self, message: Suffix) -> None:
        if self.role is not Role.CANDIDATE or message.ballot != self.promised:
            return
        if message.snapshot is None and message.after_index > self.commit_index:
            return
        self._become_leader(message.snapshot, message.after_index, message.entries)

    def _become_leader(
        self, snapshot: Snapshot | None, after_index: int, entries: tuple[bytes, ...]
    ) -> None:
        self._adopt_log(self.promised, snapshot, after_index, entries)
        self.role = Role.LEADER
        self.leader = self.id
        followers = set(self.membership.members) - {self.id}
        self._progress = {
            follower: _FollowerProgress(last_answer_s=self._now_s) for follower in sorted(followers)
        }
        for follower, promise in self._promises.items():
            if follower in self._progress:
                self._send_sync(follower, promise.commit_index)
        self._send_heartbeats()
        self._advance_commit()

    # -- phase two, leader ------------------------------------------------------------------

    def _send_heartbeats(self) -> None:
        self._next_heartbeat_s = self._now_s + HEARTBEAT_INTERVAL_S
        for follower, progress in self._progress.items():
            if not progress.answered_since_heartbeat:
                progress.next_index = progress.match_index + 1
            progress.answered_since_heartbeat = False
            self._send_append(follower, progress)

    def _has_active_quorum(self) -> bool:
        active = {
            follower
            for follower, progress in self._progress.items()
            if self._now_s - progress.last_answer_s < ELECTION_TIMEOUT_MAX_S
        }
        return is_majority(self.membership.members, active | {self.id})

    def _send_append(self, follower: ReplicaId, progress: _FollowerProgress) -> None:
        after_index = progress.next_index - 1
        entries: tuple[bytes, ...] = ()
        if not progress.is_synced:
            after_index = self.log.last_index
        elif after_index < self.log.snapshot.index:
            self._send_sync(follower, progress.match_index)
            return
        else:
            entries = self.log.after(after_index)
            progress.next_index = self.log.last_index + 1
        is_active = not self.membership.previous
        self._send(
            follower, Append(self.promised, after_index, entries, self.commit_index, is_active)
        )

    def _send_sync(self, follower: ReplicaId, follower_commit_index: int) -> None:
        snapshot, after_index = self._sync_start(follower_commit_index)
        entries = self.log.after(after_index)
        self._send(
            follower,
            Sync(
                self.promised,
                self.membership,
                snapshot,
                after_index,
                entries,
                self.commit_index,
            ),
        )

    def _sync_start(self, commit_index: int) -> tuple[Snapshot | None, int]:
        """Return the snapshot to send, if one is needed, and the index before the first entry."""
        if commit_index < self.log.snapshot.index:
            return self.log.snapshot, self.log.snapshot.index
        return None, min(commit_index, self.log.last_index)

    def _on_accepted(self, sender: ReplicaId, message: Accepted) -> None:
        progress = self._progress_of(sender, message.ballot)
        if progress is None:
            return
        progress.is_synced = True
        progress.answered_since_heartbeat = True
        progress.last_answer_s = self._now_s
        progress.match_index = max(progress.match_index, message.last_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit()

    def _on_need_sync(self, sender: ReplicaId, message: NeedSync) -> None:
        progress = self._progress_of(sender, message.ballot)
        if progress is not None and not progress.is_synced:
            progress.answered_since_heartbeat = True
            progress.last_answer_s = self._now_s
            self._send_sync(sender, message.commit_index)

    def _progress_of(self, sender: ReplicaId, ballot: Ballot) -> _FollowerProgress | None:
        if self.role is not Role.LEADER or ballot != self.promised:
            return None
        return self._progress.get(sender)

    def _synced(self) -> set[ReplicaId]:
        synced = {follower for follower, state in self._progress.items() if state.is_synced}
        return synced | {self.id}

    def _advance_commit(self) -> None:
        indexes = {follower: state.match_index for follower, state in self._progress.items()}
        indexes[self.id] = self.log.last_index
        ranked = sorted(
            (indexes.get(member, 0) for member in self.membership.members), reverse=True
        )
        majority_index = ranked[len(ranked) // 2]
        # Followers that have not adopted this ballot's log have match index 0.
        self._commit(majority_index)

    # -- phase two, follower ----------------------------------------------------------------

    def _on_sync(self, sender: ReplicaId, message: Sync) -> None:
        if message.ballot < self.promised:
            self._reject(sender)
            return
        if self.accepted_ballot == message.ballot:
            self._follow_leader(sender, message.ballot)
            self._send(sender, Accepted(message.ballot, self.log.last_index))
            return
        if message.snapshot is None and message.after_index > self.commit_index:
            self._send(sender, NeedSync(message.ballot, self.commit_index))
            return
        self._adopt_membership(message.membership)
        self._follow_leader(sender, message.ballot)
        self._adopt_log(message.ballot, message.snapshot, message.after_index, message.entries)
        self._commit(min(message.commit_index, self.log.last_index))
        self._send(sender, Accepted(message.ballot, self.log.last_index))

    def _on_append(self, sender: ReplicaId, message: Append) -> None:
        if message.ballot < self.promised:
            self._reject(sender)
            return
        self._follow_leader(sender, message.ballot)
        if self.accepted_ballot != message.ballot:
            self._send(sender, NeedSync(message.ballot, self.commit_index))
            return
        if message.is_active and self.membership.epoch == message.ballot.epoch:
            self.membership = self.membership.activated()
        self._append_new(message.after_index, message.entries)
        self._commit(min(message.commit_index, self.log.last_index))
        self._send(sender, Accepted(message.ballot, self.log.last_index))

    def _append_new(self, after_index: int, entries: tuple[bytes, ...]) -> None:
        # Entries of one ballot are equal in all copies, so overlapping ones are skipped. After a
        # gap, the leader resends from the last index that this replica reports.
        if after_index > self.log.last_index:
            return
        new_entries = entries[self.log.last_index - after_index :]
        if not new_entries:
            return
        self._storage.record(Appended(self.log.last_index, new_entries))
        for command in new_entries:
            self.log.append(command)

    def _follow_leader(self, leader: ReplicaId, ballot: Ballot) -> None:
        if self.role is not Role.FOLLOWER:
            self._step_down()
        if ballot > self.promised:
            self._promise(ballot)
        self.leader = leader
        self._last_leader_message_s = self._now_s
        self._pre_votes = set()
        self._reset_election_timeout()

    # -- shared -----------------------------------------------------------------------------

    def _on_reject(self, message: Reject) -> None:
        if message.promised <= self.promised:
            return
        # The next election attempt must use a higher ballot.
        self._step_down()
        self._adopt_membership(message.membership)
        self._promise(message.promised)

    def _reject(self, sender: ReplicaId) -> None:
        self._send(sender, Reject(self.promised, self.membership))

    def _promise(self, ballot: Ballot) -> None:
        self.promised = ballot
        self._storage.record(Promised(ballot, self.membership))

    def _adopt_membership(self, membership: Membership) -> None:
        own = self.membership
        is_newer = membership.epoch > own.epoch
        is_activation = membership.epoch == own.epoch and not membership.previous
        if is_newer or is_activation:
            self.membership = membership

    def _adopt_log(
        self,
        ballot: Ballot,
        snapshot: Snapshot | None,
        after_index: int,
        entries: tuple[bytes, ...],
    ) -> None:
        self._storage.record(Adopted(ballot, self.membership, snapshot, after_index, entries))
        self._install_log(snapshot, after_index, entries)
        self.accepted_ballot = ballot

    def _install_log(
        self, snapshot: Snapshot | None, after_index: int, entries: tuple[bytes, ...]
    ) -> None:
        if snapshot is not None and snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self._restore(snapshot)
            after_index = snapshot.index
        elif after_index < self.log.snapshot.index:
            # Entries up to this replica's snapshot are committed and therefore equal.
            entries = entries[self.log.snapshot.index - after_index :]
            after_index = self.log.snapshot.index
        self.log.replace_after(after_index, entries)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.index > self.commit_index:
            self._state_machine.restore(snapshot.state)
            self.commit_index = snapshot.index

    def _commit(self, index: int) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            outcome = self._state_machine.apply(self.log.entry(self.commit_index))
            self.applied.append(Applied(self.commit_index, self.accepted_ballot, outcome))
        self._compact()

    def _compact(self) -> None:
        if self.commit_index - self.log.snapshot.index < COMPACT_AFTER_NUM_ENTRIES:
            return
        snapshot = Snapshot(self.commit_index, self._state_machine.snapshot())
        self.log.compact(snapshot)
        self._storage.record(
            Compacted(
                self.promised,
                self.accepted_ballot,
                self.membership,
                snapshot,
                tuple(self.log.entries),
            )
        )

    def _step_down(self) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._promises = {}
        self._progress = {}

    def _reset_election_timeout(self) -> None:
        timeout_s = self._rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        self._election_deadline_s = self._now_s + timeout_s

    def _send(self, recipient: ReplicaId, message: ReplicaMessage) -> None:
        self.outbox.append(Outgoing(recipient, message))
