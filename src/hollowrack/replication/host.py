"""Host of the replicas of one node: timers, storage, messages and proposals."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from operator import methodcaller

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.messages import codec
from hollowrack.replication.group_messages import GroupFound
from hollowrack.replication.journal import JournalFolder
from hollowrack.replication.links import NodeLinks
from hollowrack.replication.messages import Envelope
from hollowrack.replication.replica import Replica, Role
from hollowrack.replication.storage import MemoryStorage, Storage, StorageRecord
from hollowrack.replication.types import (
    Membership,
    StateMachine,
    node_of,
    replica_id,
)
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.tasks import cancel_all

TICK_INTERVAL_S = 0.02
PROPOSAL_TIMEOUT_S = 3.0

# Initial membership of a replica that is restored from its journal.
_NO_MEMBERSHIP = Membership(0, ())

StateMachineFactory = Callable[[str], StateMachine]


@dataclass
class HostedGroup:
    """Replica of one group on this node.

    Attributes:
        replica: Protocol state.
        state_machine: Applies the group's committed commands.
        storage: Stores the replica's records.
        pending_proposals: Futures of the proposals that are not committed yet, by log index.
    """

    replica: Replica
    state_machine: StateMachine
    storage: Storage
    pending_proposals: dict[int, asyncio.Future[bytes]]


class GroupHost:
    """Runs all replicas of one node.

    Args:
        node: Name of this node.
        incarnation: Incarnation of this node; survives a restart only with a data directory.
        links: Links to the other nodes.
        make_state_machine: Returns the initial state machine of a group by its name.
        journals: Journals of the node; ``None`` keeps the replicas in memory only.
        seed: Seed of the election timeouts; ``None`` for a random one.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        links: NodeLinks,
        make_state_machine: StateMachineFactory,
        journals: JournalFolder | None = None,
        seed: int | None = None,
    ) -> None:
        self.node = node
        self.replica_id = replica_id(node, incarnation)
        self.groups: dict[str, HostedGroup] = {}
        self._links = links
        self._make_state_machine = make_state_machine
        self._journals = journals
        self._rng = random.Random(seed)
        self._task: asyncio.Task[None] | None = None
        self._is_stopping = False

    # -- start and stop ---------------------------------------------------------------------

    def start(self) -> None:
        """Restore the replicas from their journals and start the timers."""
        if self._journals is not None:
            for group, content in self._journals.loaded.items():
                self._start_replica(group, _NO_MEMBERSHIP, content.records)
        self._task = asyncio.create_task(self._run_timers())

    def resign(self) -> None:
        """Transfer all leaderships; the replicas continue as followers until :meth:`close`."""
        self._is_stopping = True
        for group, hosted in list(self.groups.items()):
            self._run_action(group, hosted, Replica.resign)

    def abandon(self) -> None:
        """Discard all replicas at once, as in a crash."""
        for hosted in self.groups.values():
            hosted.storage.close()
        self.groups = {}

    async def close(self) -> None:
        """Stop the timers and discard the replicas."""
        await cancel_all(self._task)
        self.abandon()

    async def _run_timers(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            tick = methodcaller("tick", now_s())
            for group, hosted in list(self.groups.items()):
                self._run_action(group, hosted, tick)

    # -- replicas ---------------------------------------------------------------------------

    def join(self, group: str, membership: Membership) -> None:
        """Apply a membership: starts a replica if this node is a member, removes one that is not.

        Raises:
            ProblemError: ``DISK_FULL`` if a new journal cannot be written.
        """
        hosted = self.groups.get(group)
        if hosted is not None:
            self._run_action(group, hosted, methodcaller("adopt_membership", membership))
            if self._is_removed_member(hosted.replica):
                self._remove_replica(group, hosted)
        elif self.replica_id in membership.members:
            self._start_replica(group, membership, ())

    def receive(self, envelope: Envelope) -> None:
        """Handle a replica message; drops messages to other incarnations of this node."""
        hosted = self.groups.get(envelope.group)
        if hosted is None or envelope.recipient != self.replica_id:
            return
        decoded = codec.decode(envelope.body)
        if isinstance(decoded, Failure):
            logging.warning("replica message could not be decoded, dropped: %s", decoded.failure())
            return
        receive = methodcaller("receive", envelope.sender, decoded.unwrap())
        self._run_action(envelope.group, hosted, receive)

    def leads(self, group: str) -> bool:
        """Whether this node's replica is the group's leader, as far as it knows."""
        hosted = self.groups.get(group)
        return hosted is not None and hosted.replica.role is Role.LEADER

    def describe(self, group: str) -> GroupFound:
        """Return membership and leader of a group as known to this node's replica."""
        hosted = self.groups.get(group)
        if hosted is None:
            return GroupFound(None, None)
        return GroupFound(hosted.replica.membership, hosted.replica.leader)

    async def propose(self, group: str, command: bytes) -> Result[bytes, Problem]:
        """Commit a command through this node's replica, if it is the leader.

        Fails with ``GROUP_UNKNOWN`` or ``NOT_LEADER`` (its detail is the leader's node, if known)
        if nothing was proposed, otherwise with ``OUTCOME_UNKNOWN`` or ``DISK_FULL``.
        """
        hosted = self.groups.get(group)
        if hosted is None:
            return Failure(
                Problem(ResultCode.GROUP_UNKNOWN, "this node runs no replica of the group", group)
            )
        try:
            index = None if self._is_stopping else hosted.replica.propose(command)
        except ProblemError as error:
            self._stop_replica(group, hosted, error.problem)
            return Failure(error.problem)
        if index is None:
            leader = hosted.replica.leader or ""
            return Failure(Problem(ResultCode.NOT_LEADER, node_of(leader), group))
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        hosted.pending_proposals[index] = future
        # Batches proposals of the same event loop iteration into one message and one flush.
        await asyncio.sleep(0)
        self._run_action(group, hosted, Replica.replicate)
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT_S):
                return Success(await future)
        except TimeoutError:
            hosted.pending_proposals.pop(index, None)
            return Failure(
                Problem(
                    ResultCode.OUTCOME_UNKNOWN,
                    "no quorum accepted the proposal before the timeout",
                    group,
                )
            )
        except ProblemError as error:
            return Failure(error.problem)

    # -- internals --------------------------------------------------------------------------

    def _start_replica(
        self, group: str, membership: Membership, records: tuple[StorageRecord, ...]
    ) -> None:
        state_machine = self._make_state_machine(group)
        storage: Storage = MemoryStorage()
        if self._journals is not None:
            storage = self._journals.storage(group)
        replica = Replica(self.replica_id, membership, state_machine, storage, self._rng, now_s())
        for record in records:
            replica.replay(record)
        self.groups[group] = HostedGroup(replica, state_machine, storage, {})

    def _is_removed_member(self, replica: Replica) -> bool:
        """Whether the group's active epoch does not include this replica."""
        membership = replica.membership
        return replica.id not in membership.members and not membership.previous

    def _remove_replica(self, group: str, hosted: HostedGroup) -> None:
        self._fail_proposals(
            hosted, Problem(ResultCode.OUTCOME_UNKNOWN, "the replica was removed from the group")
        )
        hosted.storage.close()
        self.groups.pop(group, None)
        if self._journals is not None:
            self._journals.remove(group)

    def _run_action(
        self, group: str, hosted: HostedGroup, action: Callable[[Replica], object]
    ) -> None:
        """Run an action of a replica, then flush its records and send its messages."""
        try:
            action(hosted.replica)
            if hosted.replica.outbox or hosted.replica.applied:
                hosted.storage.flush()
        except ProblemError as error:
            self._stop_replica(group, hosted, error.problem)
            return
        self._send_outbox(group, hosted.replica)
        self._resolve_proposals(hosted)

    def _send_outbox(self, group: str, replica: Replica) -> None:
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            body = codec.encode(outgoing.message)
            envelope = Envelope(group, self.replica_id, outgoing.recipient, body)
            self._links.post(node_of(outgoing.recipient), envelope)

    def _resolve_proposals(self, hosted: HostedGroup) -> None:
        applied, hosted.replica.applied = hosted.replica.applied, []
        for entry in applied:
            future = hosted.pending_proposals.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(entry.outcome)
        if hosted.pending_proposals and hosted.replica.role is not Role.LEADER:
            problem = Problem(
                ResultCode.OUTCOME_UNKNOWN, "this replica lost its leadership before the commit"
            )
            self._fail_proposals(hosted, problem)

    def _stop_replica(self, group: str, hosted: HostedGroup, problem: Problem) -> None:
        """Stop a replica whose storage failed, since its promises may not be durable."""
        logging.error("replica of %s stopped: %s", group, problem)
        self.groups.pop(group, None)
        self._fail_proposals(hosted, problem)

    def _fail_proposals(self, hosted: HostedGroup, problem: Problem) -> None:
        proposals, hosted.pending_proposals = hosted.pending_proposals, {}
        for future in proposals.values():
            if not future.done():
                future.set_exception(ProblemError(problem))
