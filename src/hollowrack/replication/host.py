"""Runs the replicas of one node and gives the rest of the node a way to propose commands."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from operator import methodcaller
from typing import Protocol

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.replication.directory import GroupDirectory
from hollowrack.replication.journal import JournalFolder
from hollowrack.replication.messages import Envelope
from hollowrack.replication.replica import Replica, Role
from hollowrack.replication.storage import MemoryStorage, Storage, StorageRecord
from hollowrack.replication.types import (
    Membership,
    ReplicaId,
    StateMachine,
    node_of,
    replica_id,
)
from hollowrack.results import Problem, ProblemError, ResultCode

TICK_INTERVAL_S = 0.02
PROPOSAL_TIMEOUT_S = 3.0
FORWARD_TIMEOUT_S = 1.5
PROPOSE_PAUSE_S = 0.1
LOOKUP_TIMEOUT_S = 0.5
REPAIR_INTERVAL_S = 0.5

# Answers that prove that a proposal was not taken into a log.
_NEVER_COMMITTED = frozenset({ResultCode.NOT_LEADER, ResultCode.GROUP_UNKNOWN})

# A replica from a journal learns its membership from the records.
_NO_MEMBERSHIP = Membership(0, ())

StateMachineFactory = Callable[[str], StateMachine]


class NodeLinks(Protocol):
    """How the host reaches other nodes."""

    async def request(
        self, node: str, message: object, timeout_s: float
    ) -> Result[object, Problem]:
        """Send a message and wait for its answer."""

    def post(self, node: str, message: object) -> None:
        """Send a message that may be lost."""

    def is_reachable(self, node: str) -> bool:
        """Whether a node is believed to be running."""

    def incarnation_of(self, node: str) -> str | None:
        """The incarnation a node announced last, if any is known."""

    def is_gone(self, node: str) -> bool:
        """Whether a node was declared dead by its own zone, or was never heard of."""

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Live nodes in the order in which they should hold ``key``, zones taking turns.

        With a preferred zone, its nodes come first.
        """


@message("host.propose")
@dataclass(frozen=True)
class ProposeRequest:
    """Asks a node that should lead the group to commit a command."""

    group: str
    command: bytes


@message("host.outcome")
@dataclass(frozen=True)
class ProposeAnswer:
    """What the state machine returned for a committed command."""

    outcome: bytes


@message("host.find_group")
@dataclass(frozen=True)
class FindGroup:
    """Asks a node for the membership of a group."""

    group: str


@message("host.group_found")
@dataclass(frozen=True)
class GroupFound:
    """The membership of a group as one node knows it, and who leads it."""

    membership: Membership | None
    leader: ReplicaId | None


@message("host.join_group")
@dataclass(frozen=True)
class JoinGroup:
    """Tells a node that it is a member of a group from this membership on."""

    group: str
    membership: Membership


@message("host.joined")
@dataclass(frozen=True)
class Joined:
    """The node runs its replica."""

    replica: ReplicaId


@dataclass
class HostedGroup:
    """One group of which this node runs a replica.

    Attributes:
        replica: The replica.
        state_machine: The state that it drives.
        storage: Where the replica's records go.
        waiting: Proposals of this leader by log index.
    """

    replica: Replica
    state_machine: StateMachine
    storage: Storage
    waiting: dict[int, asyncio.Future[bytes]]


class GroupHost:
    """All replicas of one node.

    Args:
        node: Identifier of this node.
        incarnation: Identifier of this node's memory; the same after a restart only with a disk.
        links: How to reach other nodes.
        directory: Where memberships are recorded.
        make_state_machine: Returns the initial state of a group by its name.
        journals: The node's journals; without them replicas live in memory only.
        seed: Seed of the election jitter.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        links: NodeLinks,
        directory: GroupDirectory,
        make_state_machine: StateMachineFactory,
        journals: JournalFolder | None = None,
        seed: int | None = None,
    ) -> None:
        self.replica_id = replica_id(node, incarnation)
        self.groups: dict[str, HostedGroup] = {}
        self._node = node
        self._links = links
        self._directory = directory
        self._make_state_machine = make_state_machine
        self._journals = journals
        self._rng = random.Random(seed)
        self._known: dict[str, Membership] = {}
        self._leader_hints: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    # -- life -------------------------------------------------------------------------------

    def start(self) -> None:
        """Take up the replicas of an earlier life and start the loops."""
        if self._journals is not None:
            for group, content in self._journals.loaded.items():
                self._start_replica(group, _NO_MEMBERSHIP, content.records)
        self._tasks.append(asyncio.create_task(self._run_timers()))
        self._tasks.append(asyncio.create_task(self._run_repairs()))

    async def stop(self) -> None:
        """Hand leaderships over; the replicas go on as followers until :meth:`close`."""
        self._is_stopping = True
        for group, hosted in list(self.groups.items()):
            self._act(group, hosted, Replica.resign)

    def abandon(self) -> None:
        """Drop all replicas at once, as a crash would."""
        for hosted in self.groups.values():
            hosted.storage.close()
        self.groups = {}

    async def close(self) -> None:
        """Stop the timers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for hosted in self.groups.values():
            hosted.storage.close()
        self.groups = {}

    async def _run_timers(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            tick = methodcaller("tick", now_s())
            for group, hosted in list(self.groups.items()):
                self._act(group, hosted, tick)

    async def _run_repairs(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            for group, hosted in list(self.groups.items()):
                if hosted.replica.role is Role.LEADER:
                    await self._repair(group, hosted.replica)

    async def _repair(self, group: str, replica: Replica) -> None:
        """Activate a new epoch once its state is copied; replace members that are gone."""
        membership = replica.membership
        if replica.needs_activation:
            activated = await self._directory.activate(group, membership.epoch)
            if isinstance(activated, Success):
                self.join(group, membership.activated())
            return
        if membership.previous:
            return
        members = replace_gone_members(
            membership.members, self._links, self._links.candidates(group)
        )
        if members == membership.members:
            return
        changed = await self._directory.change(group, membership, members)
        if isinstance(changed, Success):
            logging.info("group %s: epoch %d", group, changed.unwrap().epoch)
            await self._announce(group, changed.unwrap())

    # -- messages ---------------------------------------------------------------------------

    def receive(self, envelope: Envelope) -> None:
        """Handle a replica message; one for another incarnation of this node is dropped."""
        hosted = self.groups.get(envelope.group)
        if hosted is None or envelope.recipient != self.replica_id:
            return
        decoded = codec.decode(envelope.body)
        if isinstance(decoded, Failure):
            logging.warning("replica message dropped: %s", decoded.failure())
            return
        incoming = decoded.unwrap()
        self._act(
            envelope.group, hosted, lambda replica: replica.receive(envelope.sender, incoming)
        )

    def _act(self, group: str, hosted: HostedGroup, action: Callable[[Replica], object]) -> None:
        """Let a replica act, then make its records durable and send what it has to say."""
        try:
            action(hosted.replica)
        except ProblemError as error:
            self._give_up(group, hosted, error.problem)
            return
        self._drain(hosted, group)

    def _drain(self, hosted: HostedGroup, group: str) -> None:
        replica = hosted.replica
        if not replica.outbox and not replica.applied and not hosted.waiting:
            return
        try:
            hosted.storage.flush()
        except ProblemError as error:
            self._give_up(group, hosted, error.problem)
            return
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            envelope = Envelope(
                group, self.replica_id, outgoing.recipient, codec.encode(outgoing.message)
            )
            self._links.post(node_of(outgoing.recipient), envelope)
        applied, replica.applied = replica.applied, []
        for entry in applied:
            future = hosted.waiting.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(entry.outcome)
        if replica.role is not Role.LEADER and hosted.waiting:
            self._fail_waiting(
                hosted, Problem(ResultCode.OUTCOME_UNKNOWN, "the leader was replaced")
            )

    def _give_up(self, group: str, hosted: HostedGroup, problem: Problem) -> None:
        """Stop a replica whose disk failed: it must not act on what it could not remember."""
        logging.error("replica of %s stopped: %s", group, problem)
        self.groups.pop(group, None)
        self._fail_waiting(hosted, problem)

    def _fail_waiting(self, hosted: HostedGroup, problem: Problem) -> None:
        waiting, hosted.waiting = hosted.waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_exception(ProblemError(problem))

    # -- membership -------------------------------------------------------------------------

    def join(self, group: str, membership: Membership) -> None:
        """Run a replica of a group from this membership on, or take in a newer membership."""
        hosted = self.groups.get(group)
        if hosted is not None:
            self._act(group, hosted, lambda replica: replica.adopt_membership(membership))
            return
        if self.replica_id not in membership.members:
            return
        self._start_replica(group, membership, ())

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

    async def ensure(
        self, group: str, num_replicas: int, preferred_zone: str | None = None
    ) -> Result[Membership, Problem]:
        """Return the membership of a group, creating the group if nobody has yet."""
        known = await self.find(group)
        if isinstance(known, Success):
            return known
        members = self._choose_members(group, num_replicas, preferred_zone)
        if not members:
            detail = "no live node is known to hold the group"
            return Failure(Problem(ResultCode.NO_QUORUM, detail, group))
        created = await self._directory.create(group, members)
        if isinstance(created, Success):
            await self._announce(group, created.unwrap())
        return created

    def _choose_members(
        self, group: str, num_replicas: int, preferred_zone: str | None
    ) -> tuple[ReplicaId, ...]:
        members: list[ReplicaId] = []
        for node in self._links.candidates(group, preferred_zone):
            incarnation = self._links.incarnation_of(node)
            if incarnation is not None:
                members.append(replica_id(node, incarnation))
        return tuple(members[:num_replicas])

    async def _announce(self, group: str, membership: Membership) -> None:
        self._known[group] = membership
        try:
            self.join(group, membership)
        except ProblemError as error:
            logging.error("replica of %s not started: %s", group, error)
        others = {node_of(member) for member in membership.members} - {self._node}
        requests = [
            self._links.request(node, JoinGroup(group, membership), FORWARD_TIMEOUT_S)
            for node in sorted(others)
        ]
        await asyncio.gather(*requests)

    async def find(self, group: str) -> Result[Membership, Problem]:
        """Return the membership of a group: from memory, from the store, or from peers."""
        hosted = self.groups.get(group)
        if hosted is not None:
            return Success(hosted.replica.membership)
        if group in self._known:
            return Success(self._known[group])
        stored = await self._directory.read(group)
        membership = stored.value_or(None)
        if membership is None and isinstance(stored, Failure):
            membership = await self._ask_peers(group)
        if membership is None:
            return Failure(Problem(ResultCode.GROUP_UNKNOWN, "the group is not known", group))
        self._known[group] = membership
        return Success(membership)

    async def _ask_peers(self, group: str) -> Membership | None:
        best: Membership | None = None
        for node in self._links.candidates(group):
            answer = await self._links.request(node, FindGroup(group), LOOKUP_TIMEOUT_S)
            found = answer.value_or(None)
            if not isinstance(found, GroupFound) or found.membership is None:
                continue
            if best is None or found.membership.epoch > best.epoch:
                best = found.membership
        return best

    def describe(self, group: str) -> GroupFound:
        """Return what this node knows of a group."""
        hosted = self.groups.get(group)
        if hosted is not None:
            return GroupFound(hosted.replica.membership, hosted.replica.leader)
        return GroupFound(self._known.get(group), None)

    # -- proposals --------------------------------------------------------------------------

    def leads(self, group: str) -> bool:
        """Whether this node's replica leads the group, as far as it knows."""
        hosted = self.groups.get(group)
        return hosted is not None and hosted.replica.role is Role.LEADER

    async def propose_here(self, group: str, command: bytes) -> Result[bytes, Problem]:
        """Commit a command through this node's replica, if it leads."""
        hosted = self.groups.get(group)
        if hosted is None:
            return Failure(Problem(ResultCode.GROUP_UNKNOWN, "no replica here", group))
        try:
            index = None if self._is_stopping else hosted.replica.propose(command)
        except ProblemError as error:
            self._give_up(group, hosted, error.problem)
            return Failure(error.problem)
        if index is None:
            leader = hosted.replica.leader or ""
            return Failure(Problem(ResultCode.NOT_LEADER, node_of(leader), group))
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        hosted.waiting[index] = future
        # Let proposals made in the same turn of the loop share one message and one flush.
        await asyncio.sleep(0)
        self._act(group, hosted, Replica.replicate)
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT_S):
                return Success(await future)
        except TimeoutError:
            hosted.waiting.pop(index, None)
            return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, "no quorum answered", group))
        except ProblemError as error:
            return Failure(error.problem)

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit a command wherever the group's leader is.

        Commands must be safe to repeat: after a lost answer the command is proposed again. Fails
        with ``NO_QUORUM`` if the command was never handed to a leader, else ``OUTCOME_UNKNOWN``.
        """
        deadline_s = now_s() + timeout_s
        may_have_run = False
        last: Problem | None = None
        while now_s() < deadline_s:
            for node in await self._leader_candidates(group):
                result = await self._propose_at(node, group, command)
                if isinstance(result, Success):
                    self._leader_hints[group] = node
                    return result
                last = result.failure()
                may_have_run |= last.code not in _NEVER_COMMITTED
                if last.code is ResultCode.NOT_LEADER and last.detail:
                    self._leader_hints[group] = last.detail
                    break
                self._leader_hints.pop(group, None)
                if now_s() >= deadline_s:
                    break
            await asyncio.sleep(PROPOSE_PAUSE_S)
            await self._refresh(group)
        code = ResultCode.OUTCOME_UNKNOWN if may_have_run else ResultCode.NO_QUORUM
        return Failure(Problem(code, f"no leader committed in time (last: {last})", group))

    async def _leader_candidates(self, group: str) -> list[str]:
        found = await self.find(group)
        if isinstance(found, Failure):
            return []
        nodes = sorted({node_of(member) for member in found.unwrap().members})
        hint = self._leader_hints.get(group)
        hosted = self.groups.get(group)
        if hosted is not None and hosted.replica.leader is not None:
            hint = node_of(hosted.replica.leader)
        return sorted(nodes, key=lambda node: node != hint)

    async def _propose_at(self, node: str, group: str, command: bytes) -> Result[bytes, Problem]:
        if node == self._node:
            return await self.propose_here(group, command)
        request = ProposeRequest(group, command)
        answer = await self._links.request(node, request, FORWARD_TIMEOUT_S)
        return answer.bind(_outcome_of)

    async def _refresh(self, group: str) -> None:
        """Forget a membership that did not lead to a leader, so that it is looked up again."""
        if group not in self.groups:
            self._known.pop(group, None)


def replace_gone_members(
    members: tuple[ReplicaId, ...], links: NodeLinks, candidates: list[str]
) -> tuple[ReplicaId, ...]:
    """Return the members with those that are gone replaced by live candidates.

    A member is gone if its node was declared dead, or runs again under another incarnation. Only
    one member is replaced at a time, and nothing changes if there is no candidate.
    """
    for position, member in enumerate(members):
        node = node_of(member)
        incarnation = links.incarnation_of(node)
        is_same = incarnation is not None and replica_id(node, incarnation) == member
        if is_same and not links.is_gone(node):
            continue
        taken = {node_of(other) for other in members if other != member}
        for candidate in candidates:
            candidate_incarnation = links.incarnation_of(candidate)
            if candidate in taken or candidate_incarnation is None:
                continue
            replacement = replica_id(candidate, candidate_incarnation)
            return (*members[:position], replacement, *members[position + 1 :])
    return members


def _outcome_of(answer: object) -> Result[bytes, Problem]:
    if isinstance(answer, ProposeAnswer):
        return Success(answer.outcome)
    return Failure(Problem(ResultCode.MESSAGE_INVALID, f"unexpected {type(answer).__name__}"))
