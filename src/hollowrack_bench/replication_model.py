"""A model of one replicated group under faults, for checking the protocol itself.

Real replicas exchange messages through a network that loses, duplicates and reorders them, while
replicas crash with or without their disk, pause, and race to change the membership. After every
action the model checks that all replicas agree on the committed commands, and that a new leader
holds every one of them.
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
    """The protocol broke one of its invariants."""


class CommandList:
    """State machine that remembers every command, so that states can be compared."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> bytes:
        """Remember a command."""
        self.commands.append(command)
        return command

    def snapshot(self) -> bytes:
        """Return all commands; none contains the separator."""
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        """Replace all commands."""
        self.commands = snapshot.split(b"\n") if snapshot else []


class RecordingStorage:
    """A disk: keeps records; those not flushed are lost in a crash."""

    def __init__(self) -> None:
        self.records: list[StorageRecord] = []
        self._unflushed: list[StorageRecord] = []

    def record(self, record: StorageRecord) -> None:
        """Take one record."""
        self._unflushed.append(record)

    def flush(self) -> None:
        """Make all records durable."""
        self.records += self._unflushed
        self._unflushed = []

    def close(self) -> None:
        """Keep everything: the disk outlives the process."""

    def erase(self) -> None:
        """Forget everything, as when a journal is removed."""
        self.records = []
        self._unflushed = []

    def lose_unflushed(self) -> None:
        """What a crash does to records that were not flushed."""
        self._unflushed = []


@dataclass(frozen=True)
class InFlight:
    """A message in the network."""

    sender: ReplicaId
    recipient: ReplicaId
    message: ReplicaMessage


@dataclass
class ModelNode:
    """One node of the model.

    Attributes:
        name: Its name.
        disk: Its disk, if it has one.
        incarnation: Number of its memory; rises when a node without disk restarts.
        replica: Its replica, while it runs and is or was a member.
        state_machine: The replica's state.
        is_running: Whether the process runs.
        is_paused: Whether the process is stopped and will go on later as if nothing happened.
        now_s: Its clock.
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
        """Identity of the node's present memory."""
        return replica_id(self.name, str(self.incarnation))


class ReplicationModel:
    """One group and everything that can happen to it.

    Args:
        num_nodes: Nodes that can be members.
        num_members: Members of the group.
        num_with_disk: Nodes that have a disk.
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
        """Return the latest membership as the directory would read it."""
        latest = max(self._epochs)
        previous = tuple(
            self._epochs[epoch]
            for epoch in sorted(self._epochs, reverse=True)
            if self._active_epoch <= epoch < latest
        )
        return Membership(latest, self._epochs[latest], previous)

    def change_membership(self, based_on: Membership, members: tuple[ReplicaId, ...]) -> bool:
        """Create the epoch after ``based_on``, as one of several racers; returns who won."""
        epoch = based_on.epoch + 1
        if epoch in self._epochs or based_on.epoch not in self._epochs:
            return False
        self._epochs[epoch] = members
        self.counts["membership changes"] += 1
        return True

    # -- actions ----------------------------------------------------------------------------

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver a message; with ``keep`` it stays in the network as a duplicate."""
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
        self._after(node)

    def drop(self, position: int) -> None:
        """Lose a message."""
        if self.network:
            self.network.pop(position % len(self.network))
            self.counts["messages lost"] += 1

    def tick(self, index: int, elapsed_s: float) -> None:
        """Let time pass at one node."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.is_running:
            return
        node.now_s += elapsed_s
        node.replica.tick(node.now_s)
        self._after(node)

    def propose(self, index: int) -> None:
        """Propose a fresh command at one node."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.is_running:
            return
        self._num_proposed += 1
        if node.replica.propose(f"c{self._num_proposed}".encode()) is not None:
            node.replica.replicate()
            self.counts["commands proposed"] += 1
            self._after(node)

    def crash(self, index: int) -> None:
        """End a node's process."""
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
        """Start a crashed node: with its disk the same replica, without a new one."""
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
        """Stop a process without ending it, or let it go on."""
        node = self.nodes[index % len(self.nodes)]
        if node.is_running:
            node.is_paused = is_paused
            self.counts["pauses"] += int(is_paused)

    def resign(self, index: int) -> None:
        """Make a leader hand over."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is not None and not node.is_paused:
            node.replica.resign()
            self._after(node)

    def replace_member(self, index: int, position: int, replacement: int) -> None:
        """Let one node, by what it knows, replace a member by another node."""
        node = self.nodes[index % len(self.nodes)]
        based_on = node.replica.membership if node.replica is not None else self.stored_membership()
        joiner = self.nodes[replacement % len(self.nodes)]
        if not joiner.is_running or node_of(joiner.replica_id) in {
            node_of(member) for member in based_on.members
        }:
            return
        position %= len(based_on.members)
        members = list(based_on.members)
        members[position] = joiner.replica_id
        if self.change_membership(based_on, tuple(members)):
            self.join(replacement)

    def join(self, index: int) -> None:
        """Let a node read the stored membership, and run a replica if it is a member."""
        node = self.nodes[index % len(self.nodes)]
        if not node.is_running or node.is_paused:
            return
        membership = self.stored_membership()
        if node.replica is not None:
            node.replica.adopt_membership(membership)
            self._after(node)
            self._drop_if_dispensable(node, node.replica)
        elif node.replica_id in membership.members:
            self._start_replica(node, membership)

    def _drop_if_dispensable(self, node: ModelNode, replica: Replica) -> None:
        """A replaced replica forgets everything; its node may be chosen again later."""
        membership = replica.membership
        if replica.id in membership.members or membership.previous:
            return
        node.replica = None
        self.counts["replicas dropped"] += 1
        if node.disk is not None:
            node.disk.erase()

    def activate(self, index: int) -> None:
        """Let a leader that copied all earlier state ask the store to activate its epoch."""
        node = self.nodes[index % len(self.nodes)]
        if node.replica is None or node.is_paused or not node.replica.needs_activation:
            return
        self._late_activations.append(node.replica.membership.epoch)
        node.replica.adopt_membership(node.replica.membership.activated())
        self._after(node)
        self.counts["activations"] += 1

    def complete_activation(self, position: int) -> None:
        """Let a write of the activated epoch land, however late; it may undo a higher one."""
        if self._late_activations:
            position %= len(self._late_activations)
            self._active_epoch = self._late_activations.pop(position)

    def heal(self) -> None:
        """End all faults and let the group settle; used to check that nothing was lost."""
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

    # -- inside -----------------------------------------------------------------------------

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

    def _after(self, node: ModelNode) -> None:
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
            raise ProtocolViolationError(f"{replica.id} committed something else than others")
        if replica.role is Role.LEADER and replica.promised not in self._led_ballots:
            self._led_ballots.add(replica.promised)
            self.counts["leaders elected"] += 1
            self._check_new_leader(replica)

    def _check_new_leader(self, replica: Replica) -> None:
        if replica.log.last_index < len(self.committed):
            raise ProtocolViolationError(f"{replica.id} leads without every committed command")
        for index in range(replica.log.snapshot.index + 1, len(self.committed) + 1):
            if replica.log.entry(index) != self.committed[index - 1]:
                raise ProtocolViolationError(f"{replica.id} leads with another command at {index}")


Action = Callable[[ReplicationModel, random.Random], None]

_NUM_INDEXES = 1_000_000


def _index(rng: random.Random) -> int:
    return rng.randrange(_NUM_INDEXES)


# Weights make progress likely enough that faults strike a working group. Crashes, restarts and
# pauses come on top, scaled by how stormy a run is.
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
    """What a random exploration came to.

    Attributes:
        num_seeds: Runs made.
        num_steps: Actions taken over all runs.
        counts: What happened, over all runs.
    """

    num_seeds: int
    num_steps: int
    counts: Counter[str]


def explore(seeds: range, num_steps: int) -> Exploration:
    """Take random actions from each seed, then heal; raises on the first violation.

    Raises:
        ProtocolViolationError: Naming the seed and the step.
    """
    actions = [action for _, action in (*ACTIONS, *FAULTS)]
    counts: Counter[str] = Counter()
    for seed in seeds:
        rng = random.Random(seed)
        storm = rng.choice(FAULT_RATE_FACTORS)
        weights = [weight for weight, _ in ACTIONS] + [weight * storm for weight, _ in FAULTS]
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
