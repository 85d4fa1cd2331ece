"""The protocol under loss, duplication, reordering, crashes, pauses and racing changes."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowrack.replication import replica as replica_module
from hollowrack.replication import types as types_module
from hollowrack.replication.replica import Replica
from hollowrack.replication.types import Membership, is_majority
from hollowrack_bench.replication_model import (
    ModelNode,
    ProtocolViolationError,
    ReplicationModel,
    explore,
)

SMALL_COMPACTION = 10


@pytest.fixture(autouse=True)
def _compact_often(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(replica_module, "COMPACT_AFTER_NUM_ENTRIES", SMALL_COMPACTION)
    yield


def test_random_exploration_finds_no_violation_and_gets_somewhere() -> None:
    exploration = explore(range(60), num_steps=1500)
    assert exploration.num_steps == 90_000
    for what in ("commands committed", "leaders elected", "membership changes", "activations"):
        assert exploration.counts[what] > 20, what


def _ignore_previous(self: Membership, promised: set[str]) -> bool:
    return is_majority(self.members, promised)


def _keep_identity(self: ModelNode) -> str:
    return f"{self.name}#0"


def _half_is_enough(group: tuple[str, ...], present: set[str]) -> bool:
    return 2 * len(present.intersection(group)) >= len(group) - 1


def _trust_own_log(self: Replica) -> None:
    if self.membership.has_election_quorum(set(self._promises)):
        index = self.log.snapshot.index
        self._lead(None, index, self.log.after(index))


@pytest.mark.parametrize(
    ("target", "name", "broken"),
    [
        (Membership, "has_election_quorum", _ignore_previous),
        (ModelNode, "replica_id", property(_keep_identity)),
        (types_module, "is_majority", _half_is_enough),
        (Replica, "_finish_phase_one", _trust_own_log),
    ],
    ids=["earlier members not asked", "memory lost but not identity", "half quorum", "own log"],
)
def test_the_model_finds_a_broken_protocol(
    monkeypatch: pytest.MonkeyPatch, target: Any, name: str, broken: Callable[..., Any]
) -> None:
    monkeypatch.setattr(target, name, broken)
    with pytest.raises(ProtocolViolationError):
        explore(range(150), num_steps=1500)


indexes = st.integers(0, 50)


class GroupMachine(RuleBasedStateMachine):
    """Drives the model by hypothesis, which shrinks a failure to its shortest cause."""

    def __init__(self) -> None:
        super().__init__()
        self.model = ReplicationModel(num_nodes=4, num_members=3, num_with_disk=2)

    @rule(position=indexes, keep=st.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        self.model.deliver(position, keep)

    @rule()
    def deliver_all(self) -> None:
        for _ in range(len(self.model.network)):
            self.model.deliver(0)

    @rule(position=indexes)
    def drop(self, position: int) -> None:
        self.model.drop(position)

    @rule(index=indexes, elapsed_s=st.sampled_from([0.05, 0.2, 1.0]))
    def tick(self, index: int, elapsed_s: float) -> None:
        self.model.tick(index, elapsed_s)

    @rule(index=indexes)
    def propose(self, index: int) -> None:
        self.model.propose(index)

    @rule(index=indexes, restarts=st.booleans())
    def crash(self, index: int, restarts: bool) -> None:
        self.model.crash(index)
        if restarts:
            self.model.restart(index)

    @rule(index=indexes, is_paused=st.booleans())
    def pause(self, index: int, is_paused: bool) -> None:
        self.model.pause(index, is_paused)

    @rule(index=indexes)
    def resign(self, index: int) -> None:
        self.model.resign(index)

    @rule(index=indexes, position=indexes, replacement=indexes)
    def replace_member(self, index: int, position: int, replacement: int) -> None:
        self.model.replace_member(index, position, replacement)

    @rule(index=indexes)
    def join(self, index: int) -> None:
        self.model.join(index)

    @rule(index=indexes)
    def activate(self, index: int) -> None:
        self.model.activate(index)
        self.model.complete_activation(0)

    @invariant()
    def nothing_committed_is_lost(self) -> None:
        # The model raises as soon as two replicas disagree; here the total may only grow.
        assert len(self.model.committed) >= getattr(self, "num_committed", 0)
        self.num_committed = len(self.model.committed)


TestGroup = GroupMachine.TestCase
TestGroup.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)


def test_two_changes_of_one_epoch_leave_one_membership() -> None:
    model = ReplicationModel(num_nodes=5, num_members=3, num_with_disk=5)
    current = model.stored_membership()
    first = (*current.members[:2], model.nodes[3].replica_id)
    second = (*current.members[:2], model.nodes[4].replica_id)
    assert model.change_membership(current, first)
    assert not model.change_membership(current, second)
    assert model.stored_membership().members == first


def test_a_paused_leader_cannot_commit_after_its_replacement() -> None:
    model = ReplicationModel(num_nodes=3, num_members=3, num_with_disk=3)
    _settle(model)
    leader = next(index for index, node in enumerate(model.nodes) if _leads(node))
    model.pause(leader, is_paused=True)
    _settle(model)
    committed = list(model.committed)
    model.pause(leader, is_paused=False)
    model.propose(leader)
    while model.network:
        model.deliver(0)
    assert model.committed == committed
    assert not _leads(model.nodes[leader])


def test_a_leader_that_hears_nobody_gives_up_so_that_its_followers_can_go_on() -> None:
    model = ReplicationModel(num_nodes=3, num_members=3, num_with_disk=3)
    _settle(model)
    deaf = next(index for index, node in enumerate(model.nodes) if _leads(node))
    for _ in range(100):
        for index in range(3):
            model.tick(index, 0.05)
        for _ in range(len(model.network)):
            if model.network[0].recipient == model.nodes[deaf].replica_id:
                model.drop(0)
            else:
                model.deliver(0)
    assert not _leads(model.nodes[deaf])
    assert any(_leads(node) for node in model.nodes)


def _leads(node: ModelNode) -> bool:
    return node.replica is not None and node.replica.role is replica_module.Role.LEADER


def _settle(model: ReplicationModel) -> None:
    for _ in range(60):
        for index in range(len(model.nodes)):
            model.tick(index, 0.05)
        while model.network:
            model.deliver(0)


def test_a_replica_that_was_dropped_and_came_back_does_not_help_a_leader_of_long_ago() -> None:
    model = ReplicationModel(num_nodes=5, num_members=3, num_with_disk=0)
    _settle(model)
    old_leader = next(index for index, node in enumerate(model.nodes) if _leads(node))
    first, second = (index for index in range(3) if index != old_leader)
    model.pause(old_leader, is_paused=True)

    def change(*members: int) -> None:
        names = tuple(model.nodes[index].replica_id for index in members)
        assert model.change_membership(model.stored_membership(), names)
        for index in range(5):
            model.join(index)
        _settle(model)
        for index in range(5):
            model.activate(index)
        model.complete_activation(0)
        _settle(model)
        for index in range(5):
            model.join(index)

    change(first, 3, 4)
    assert model.nodes[second].replica is None, "it was replaced and forgot everything"
    for index in range(5):
        model.propose(index)
    _settle(model)
    assert model.committed
    names = tuple(model.nodes[index].replica_id for index in (first, 3, second))
    assert model.change_membership(model.stored_membership(), names)
    model.join(second)
    model.pause(old_leader, is_paused=False)
    model.propose(old_leader)
    for _ in range(20):
        model.tick(old_leader, 0.05)
        model.network = [
            entry
            for entry in model.network
            if model.nodes[old_leader].replica_id in (entry.sender, entry.recipient)
            and model.nodes[first].replica_id != entry.recipient
        ]
        while model.network:
            model.deliver(0)
    assert not _leads(model.nodes[old_leader])
