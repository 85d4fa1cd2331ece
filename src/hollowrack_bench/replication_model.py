"""Model checker of the replication protocol: one group of replicas under random faults.

Real replicas exchange messages through a network that loses, duplicates and reorders them. They
crash with or without a disk, pause, and change the membership concurrently. After each action the
model checks that all replicas agree on the committed commands, and that a new leader has all of
them.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hollowrack.replication.messages import ReplicaMessage
from hollowrack.replication.replica import Replica, Role
from hollowrack.replication.storage import MemoryStorage, StorageRecord
from hollowrack.replication.types import Membership, ReplicaId, node_of, replica_id

_FIRST_EPOCH = 1
_MAX_IN_FLIGHT = 400
_TICK_MAX_S = 0.6


class ProtocolViolationError(AssertionError):
    """An invariant of the protocol was violated."""


class CommandList:
    """State machine that keeps all commands, so that states can be compared."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> bytes:
        """Append a command; returns it as the result."""
        self.commands.append(command)
        return command

    def snapshot(self) -> bytes:
        """Return all commands, separated by newlines, which no command contains."""
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        """Replace all commands by those of a snapshot."""
        self.commands = snapshot.split(b"\n") if snapshot else []


class RecordingStorage:
    """Storage in memory that loses unflushed records in a crash."""

    def __init__(self) -> None:
        self.records: list[StorageRecord] = []
        self._unflushed: list[StorageRecord] = []

    def record(self, record: StorageRecord) -> None:
        """Append a record without flushing it."""
        self._unflushed.append(record)

    def flush(self) -> None:
        """Flush all records; they survive crashes."""
        self.records += self._unflushed
        self._unflushed = []

    def close(self) -> None:
        """Do nothing: the records outlive the process."""

    def erase(self) -> None:
        """Remove all records, as when a journal is deleted."""
        self.records = []
        self._unflushed = []

    def lose_unflushed(self) -> None:
        """Drop the records that were not flushed, as a crash does."""
        self._unflushed = []


@dataclass(frozen=True)
class InFlight:
    """A sent message that is not yet delivered or lost."""

    sender: ReplicaId
    recipient: ReplicaId
    message: ReplicaMessage


@dataclass
class ModelNode:
    """One node of the model.

    Attributes:
        name: Name of the node.
        disk: Storage that survives crashes; ``None`` for a node without disk.
        incarnation: Incarnation number; incremented when a node without disk restarts.
        replica: The replica, while the node runs and is or was a member.
        state_machine: State machine of the replica.
        is_running: Whether the process runs.
        is_paused: Whether the process is suspended; it keeps its state.
        now_s: Clock of the node, in seconds.
    """

    name: str
    disk: RecordingStorage | None
    incarnation: int = 0
    replica: Replica | None = None
    state_machine: CommandList = field(default_factory=CommandList)
    is_running: bool = True
    is_paused: bool = False
    now_s: float = 0.0

    @property
    def replica_id(self) -> ReplicaId:
        """Replica identifier of the current incarnation."""
        return replica_id(self.name, str(self.incarnation))


class ReplicationModel:
    """Model of one replicated group: its nodes, network, configuration store and faults.

    Args:
        num_nodes: Number of nodes that can be members.
        num_members: Number of members of the group.
        num_with_disk: Number of nodes with a disk.
        seed: Seed of the replicas' jitter.
    """

    def __init__(
        self, num_nodes: int = 5, num_members: int = 3, num_with_disk: int = 2, seed: int = 0
    ) -> None:
        self.committed: list[bytes] = []
        self.network: list[InFlight] = []
        self.counts: Counter[str] = Counter()
        self._seed = seed
        self._num_proposed = 0
        self._led_ballots: set[object] = set()
        self._active_epoch = _FIRST_EPOCH
        self._late_activations: list[int] = []
        self.nodes = [
            ModelNode(f"n{index}", RecordingStorage() if index < num_with_disk else None)
            for index in range(num_nodes)
        ]
        members = tuple(node.replica_id for node in self.nodes[:num_members])
        self._epochs: dict[int, tuple[ReplicaId, ...]] = {_FIRST_EPOCH: members}
        for node in self.nodes[:num_members]:
            self._start_replica(node, self.stored_membership())

    # -- configuration store ----------------------------------------------------------------

    def stored_membership(self) -> Membership:
        """Return the latest membership as read from the configuration store."""
        latest = max(self._epochs)
        previous = tuple(
            self._epochs[epoch]
            for epoch in sorted(self._epochs, reverse=True)
            if self._active_epoch <= epoch < latest
        )
        return Membership(latest, self._epochs[latest], previous)

    def change_membership(self, based_on: Membership, members: tuple[ReplicaId, ...]) -> bool:
        """Create the epoch after ``based_on``; returns False if it exists already."""
        epoch = based_on.epoch + 1
        if epoch in self._epochs or based_on.epoch not in self._epochs:
            return False
        self._epochs[epoch] = members
        self.counts["membership changes"] += 1
        return True

    # -- actions ----------------------------------------------------------------------------

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver a message; ``keep`` leaves a duplicate of it in the network."""
        if not self.network:
            return
        position %= len(self.network)
        entry = self.network[position] if keep else self.network.pop(position)
        node = self._node_of(entry.recipient)
        if node is None or node.replica is None or node.is_paused or not node.is_running:
            return
        if node.replica_id != entry.recipient:
            return
        node.replica.receive(entry.sender, entry.message)
        self.counts["messages delivered"] += 1
        self._send_and_check(node)

    def drop(self, position: int) -> None:
        """Drop a message."""
        if self.network:
            self.network.pop(position % len(self.network))
            self.counts["messages lost"] += 1

    def tick(self, index: int, elapsed_s: float) -> None:
        """Advance the clock of one node and tick its replica."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.is_running:
            return
        node.now_s += elapsed_s
        node.replica.tick(node.now_s)
        self._send_and_check(node)

    def propose(self, index: int) -> None:
        """Propose a new command at one node."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.is_running:
            return
        self._num_proposed += 1
        if node.replica.propose(f"c{self._num_proposed}".encode()) is not None:
            node.replica.replicate()
            self.counts["commands proposed"] += 1
            self._send_and_check(node)

    def crash(self, index: int) -> None:
        """Crash a node; unflushed records are lost."""
        node = self.nodes[index % len(self.nodes)]
        if not node.is_running:
            return
        node.is_running = False
        node.is_paused = False
        node.replica = None
        if node.disk is not None:
            node.disk.lose_unflushed()
        self.counts["crashes"] += 1

    def restart(self, index: int) -> None:
        """Restart a crashed node: with a disk as the same replica, without one as a new one."""
        node = self.nodes[index % len(self.nodes)]
        if node.is_running:
            return
        node.is_running = True
        if node.disk is None:
            node.incarnation += 1
            return
        if node.disk.records:
            self._start_replica(node, Membership(_FIRST_EPOCH, self._epochs[_FIRST_EPOCH]))

    def pause(self, index: int, is_paused: bool) -> None:
        """Pause or resume a process."""
        node = self.nodes[index % len(self.nodes)]
        if node.is_running:
            node.is_paused = is_paused
            self.counts["pauses"] += int(is_paused)

    def resign(self, index: int) -> None:
        """Make a leader resign."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is not None and not node.is_paused:
            node.replica.resign()
            self._send_and_check(node)

    def replace_member(self, index: int, position: int, replacement: int) -> None:
        """Replace a member by another node, based on the membership known to one node."""
        node = self.nodes[index % len(self.nodes)]
        based_on = node.replica.membership if node.replica is not None else self.stored_membership()
        new_member = self.nodes[replacement % len(self.nodes)]
        if not new_member.is_running or node_of(new_member.replica_id) in {
            node_of(member) for member in based_on.members
        }:
            return
        position %= len(based_on.members)
        members = list(based_on.members)
        members[position] = new_member.replica_id
        if self.change_membership(based_on, tuple(members)):
            self.join(replacement)

    def join(self, index: int) -> None:
        """Apply the stored membership at a node; starts its replica if it is a new member."""
        node = self.nodes[index % len(self.nodes)]
        if not node.is_running or node.is_paused:
            return
        membership = self.stored_membership()
        if node.replica is not None:
            node.replica.adopt_membership(membership)
            self._send_and_check(node)
            self._remove_if_unneeded(node, node.replica)
        elif node.replica_id in membership.members:
            self._start_replica(node, membership)

    def _remove_if_unneeded(self, node: ModelNode, replica: Replica) -> None:
        """Remove a replaced replica with its records; its node may become a member again."""
        membership = replica.membership
        if replica.id in membership.members or membership.previous:
            return
        node.replica = None
        self.counts["replicas dropped"] += 1
        if node.disk is not None:
            node.disk.erase()

    def activate(self, index: int) -> None:
        """Activate the epoch of a leader that has copied all earlier state."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.replica.needs_activation:
            return
        self._late_activations.append(node.replica.membership.epoch)
        node.replica.adopt_membership(node.replica.membership.activated())
        self._send_and_check(node)
        self.counts["activations"] += 1

    def complete_activation(self, position: int) -> None:
        """Apply a delayed write of an activated epoch; it may overwrite a higher epoch."""
        if self._late_activations:
            position %= len(self._late_activations)
            self._active_epoch = self._late_activations.pop(position)

    def heal(self) -> None:
        """End all faults and run until the group has converged, to check for lost commands."""
        for index, node in enumerate(self.nodes):
            self.restart(index)
            node.is_paused = False
        for _ in range(400):
            for index in range(len(self.nodes)):
                self.join(index)
                self.tick(index, 0.05)
                self.activate(index)
            while self.network:
                self.deliver(0)

    # -- internals --------------------------------------------------------------------------

    def _start_replica(self, node: ModelNode, membership: Membership) -> None:
        node.state_machine = CommandList()
        storage = node.disk if node.disk is not None else MemoryStorage()
        rng = random.Random(f"{self._seed}/{node.replica_id}")
        replica = Replica(node.replica_id, membership, node.state_machine, storage, rng, node.now_s)
        if node.disk is not None:
            for record in node.disk.records:
                replica.replay(record)
        node.replica = replica

    def _node_of(self, replica: ReplicaId) -> ModelNode | None:
        name = node_of(replica)
        return next((node for node in self.nodes if node.name == name), None)

    def _send_and_check(self, node: ModelNode) -> None:
        replica = node.replica
        if replica is None:
            return
        if node.disk is not None:
            node.disk.flush()
        outbox, replica.outbox = replica.outbox, []
        for outgoing in outbox:
            self.network.append(InFlight(replica.id, outgoing.recipient, outgoing.message))
        del self.network[:-_MAX_IN_FLIGHT]
        replica.applied.clear()
        self._check(node, replica)

    def _check(self, node: ModelNode, replica: Replica) -> None:
        commands = node.state_machine.commands
        if len(commands) != replica.commit_index:
            raise ProtocolViolationError(
                f"{replica.id} applied {len(commands)} commands at index {replica.commit_index}"
            )
        if len(commands) > len(self.committed):
            self.committed += commands[len(self.committed) :]
            self.counts["commands committed"] = len(self.committed)
        if commands != self.committed[: len(commands)]:
            raise ProtocolViolationError(
                f"{replica.id} committed other commands than earlier replicas"
            )
        if replica.role is Role.LEADER and replica.promised not in self._led_ballots:
            self._led_ballots.add(replica.promised)
            self.counts["leaders elected"] += 1
            self._check_new_leader(replica)

    def _check_new_leader(self, replica: Replica) -> None:
        if replica.log.last_index < len(self.committed):
            raise ProtocolViolationError(
                f"{replica.id} became leader without all committed commands"
            )
        for index in range(replica.log.snapshot.index + 1, len(self.committed) + 1):
            if replica.log.entry(index) != self.committed[index - 1]:
                raise ProtocolViolationError(
                    f"{replica.id} became leader with another command at index {index}"
                )


Action = Callable[[ReplicationModel, random.Random], None]

# Indexes are reduced modulo the number of nodes or messages.
_NUM_INDEXES = 1_000_000


def _index(rng: random.Random) -> int:
    return rng.randrange(_NUM_INDEXES)


# Actions with their weights, which keep the group making progress. Crashes, restarts and pauses
# are added with weights scaled by a factor of each run.
ACTIONS: tuple[tuple[int, Action], ...] = (
    (300, lambda model, rng: model.deliver(_index(rng))),
    (200, lambda model, rng: model.deliver(0)),
    (20, lambda model, rng: model.deliver(_index(rng), keep=True)),
    (20, lambda model, rng: model.drop(_index(rng))),
    (120, lambda model, rng: model.tick(_index(rng), rng.uniform(0.02, _TICK_MAX_S))),
    (100, lambda model, rng: model.propose(_index(rng))),
    (2, lambda model, rng: model.resign(_index(rng))),
    (3, lambda model, rng: model.replace_member(_index(rng), _index(rng), _index(rng))),
    (20, lambda model, rng: model.join(_index(rng))),
    (20, lambda model, rng: model.activate(_index(rng))),
    (15, lambda model, rng: model.complete_activation(_index(rng))),
)


FAULTS: tuple[tuple[int, Action], ...] = (
    (1, lambda model, rng: model.crash(_index(rng))),
    (4, lambda model, rng: model.restart(_index(rng))),
    (2, lambda model, rng: model.pause(_index(rng), True)),
    (6, lambda model, rng: model.pause(_index(rng), False)),
)
FAULT_RATE_FACTORS = (1, 4, 16)


@dataclass(frozen=True)
class Exploration:
    """Result of a random exploration without violations.

    Attributes:
        num_seeds: Number of runs.
        num_steps: Number of actions, over all runs.
        counts: Number of events by kind, over all runs.
    """

    num_seeds: int
    num_steps: int
    counts: Counter[str]


def explore(seeds: range, num_steps: int) -> Exploration:
    """Run random actions for each seed, then heal; stops at the first violation.

    Raises:
        ProtocolViolationError: With the seed and the step.
    """
    actions = [action for _, action in (*ACTIONS, *FAULTS)]
    counts: Counter[str] = Counter()
    for seed in seeds:
        rng = random.Random(seed)
        fault_factor = rng.choice(FAULT_RATE_FACTORS)
        weights = [weight for weight, _ in ACTIONS] + [
            weight * fault_factor for weight, _ in FAULTS
        ]
        model = ReplicationModel(
            num_members=rng.choice([3, 3, 5]),
            num_nodes=6,
            num_with_disk=rng.randint(0, 6),
            seed=seed,
        )
        step = 0
        try:
            while step < num_steps:
                rng.choices(actions, weights)[0](model, rng)
                step += 1
            model.heal()
        except ProtocolViolationError as error:
            raise ProtocolViolationError(f"seed {seed}, step {step}: {error}") from error
        counts += model.counts
    return Exploration(len(seeds), len(seeds) * num_steps, counts)
