"""Guards against overcommitted workers when messages are lost, delayed or sent twice.

Grants never exceed the capacity of a worker; requests of owners with an expired grant may.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowrack.clock import now_s
from hollowrack.slots.arbiter import SlotArbiter
from hollowrack.slots.types import SlotGrant, SlotReport
from hollowrack_bench.virtual_time import VirtualTimeLoop
from tests.slots.helpers import (
    SERVICE,
    FakeLeadership,
    FakeOwner,
    FleetView,
    make_arbiter,
    make_worker,
)

CAPACITIES = (6, 3, 2)
NUM_OWNERS = 3
MAX_OWNERS = 5
# Time before a new leader may act, with the shortest supported lease and with the default one.
HANDOVERS_S = (2.1, 3.6)
FATES = (
    "arrives",
    "report lost",
    "answer lost",
    "report delayed",
    "answer delayed",
    "report twice",
)
INDICES = st.integers(0, MAX_OWNERS - 1)
REPORTS = st.lists(st.tuples(INDICES, st.sampled_from(FATES)), min_size=1, max_size=6)
DUE_IN_S = st.sampled_from([None, 1.0, 20.0, 50.0])
SETTLED_S = 6.0
ROUND_INTERVAL_S = 0.2
DEMAND = 30


@dataclass
class _Node:
    """A node that may lead."""

    leadership: FakeLeadership
    arbiter: SlotArbiter
    acts_from_s: float = 0.0


@dataclass
class _UncoveredRequests:
    """Requests of one owner that are not covered by a grant in force, by worker."""

    uncovered: dict[str, int] = field(default_factory=lambda: defaultdict(int))


class SharingUnderFaults(RuleBasedStateMachine):
    """Two nodes that may lead, and up to :data:`MAX_OWNERS` owners."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.view = FleetView()
        for index, capacity in enumerate(CAPACITIES):
            worker = make_worker(f"e{index}", capacity)
            self.view.workers[worker.id] = worker
        self.num_workers = len(CAPACITIES)
        self.token = 1
        self.leader = "a"
        self.nodes = {name: self._node(name) for name in "ab"}
        self.nodes["a"].leadership.fencing_token = 1
        self.nodes["a"].leadership.may_act = True
        self.owners: dict[str, FakeOwner] = {}
        self.requests: dict[str, _UncoveredRequests] = {}
        self.num_joined = 0
        self.delayed: list[Callable[[], None]] = []
        for _ in range(NUM_OWNERS):
            self.join(is_seen=True)
        for index in range(NUM_OWNERS):
            self.work_changes(index, DEMAND, None)
        self.time_passes(SETTLED_S)
        for _ in range(NUM_OWNERS):
            self.all_report(0)
            self.time_passes(ROUND_INTERVAL_S)

    def _node(self, name: str) -> _Node:
        leadership = FakeLeadership()
        return _Node(leadership, make_arbiter(name, leadership, self.view))

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        async def act() -> None:
            action()

        self.loop.run_until_complete(act())

    # -- messages ---------------------------------------------------------------------------

    def _deliver(self, node: str, report: SlotReport, answer_fate: str) -> None:
        state = self.nodes[node]
        state.leadership.may_act = node == self.leader and now_s() >= state.acts_from_s
        answer = state.arbiter.answer(report, now_s())
        if not isinstance(answer, SlotGrant) or report.is_leaving:
            return
        if answer_fate == "answer delayed":
            self.delayed.append(lambda: self._accept(report.owner, answer))
        elif answer_fate != "answer lost":
            self._accept(report.owner, answer)

    def _accept(self, owner_name: str, grant: SlotGrant) -> None:
        owner = self.owners.get(owner_name)
        if owner is not None:
            owner.holder.accept(grant)

    def _send(self, report: SlotReport, node: str, fate: str) -> None:
        if fate == "report lost":
            return
        token = self.nodes[node].leadership.fencing_token

        def arrive_delayed() -> None:
            # Late reports are lost if the node has a new leadership meanwhile: connections end
            # with their process, and the report timeout is shorter than a handover.
            if self.nodes[node].leadership.fencing_token == token:
                self._deliver(node, report, "arrives")

        if fate != "report delayed":
            self._deliver(node, report, fate)
        if fate in ("report delayed", "report twice"):
            self.delayed.append(arrive_delayed)

    def _owner_at(self, index: int) -> FakeOwner | None:
        names = sorted(self.owners)
        return self.owners[names[index % len(names)]] if names else None

    @rule(first=INDICES)
    def all_report(self, first: int) -> None:
        for index in range(len(self.owners)):
            self._report(first + index, "arrives", self.leader)

    @rule(reports=REPORTS)
    def some_report(self, reports: list[tuple[int, str]]) -> None:
        for index, fate in reports:
            self._report(index, fate, self.leader)

    @rule(index=INDICES)
    def reports_to_the_other_node(self, index: int) -> None:
        self._report(index, "arrives", "b" if self.leader == "a" else "a")

    def _report(self, index: int, fate: str, node: str) -> None:
        owner = self._owner_at(index)
        if owner is not None:
            self.grants_do_not_exceed_capacity()
            self._run_in_loop(lambda: self._send(owner.holder.report(SERVICE), node, fate))
            self.grants_do_not_exceed_capacity()

    @rule(index=INDICES)
    def late_message_arrives(self, index: int) -> None:
        if self.delayed:
            self._run_in_loop(self.delayed.pop(index % len(self.delayed)))

    # -- owners -----------------------------------------------------------------------------

    @rule(index=INDICES, num_items=st.sampled_from([0, 2, 30]), due_in_s=DUE_IN_S)
    def work_changes(self, index: int, num_items: int, due_in_s: float | None) -> None:
        owner = self._owner_at(index)
        if owner is not None:
            owner.num_waiting = num_items
            owner.due_in_s = due_in_s
            self._run_in_loop(owner.start_all)

    @rule()
    def all_begin(self) -> None:
        for owner in self.owners.values():
            self._run_in_loop(owner.start_all)

    @rule(index=INDICES)
    def requests_end(self, index: int) -> None:
        owner = self._owner_at(index)
        if owner is not None:
            self._run_in_loop(owner.finish_one_per_worker)
            self._run_in_loop(owner.start_all)

    @rule(is_seen=st.booleans())
    def join(self, is_seen: bool) -> None:
        if len(self.owners) >= MAX_OWNERS:
            return
        name = f"o{self.num_joined}"
        self.num_joined += 1
        self.owners[name] = FakeOwner(name, self.view)
        self.requests[name] = _UncoveredRequests()
        if is_seen:
            self.view.owners.add(name)

    @rule()
    def view_is_refreshed(self) -> None:
        self.view.owners.clear()
        self.view.owners.update(self.owners)

    @rule(index=INDICES, fate=st.sampled_from(FATES))
    def leave(self, index: int, fate: str) -> None:
        owner = self._owner_at(index)
        if owner is None or owner.total_in_flight():
            return
        owner.num_waiting = 0

        def act() -> None:
            report = owner.holder.leave(SERVICE)
            if report is not None:
                self._send(report, self.leader, fate)

        self._run_in_loop(act)

    @rule(index=INDICES)
    def owner_crashes(self, index: int) -> None:
        owner = self._owner_at(index)
        if owner is not None:
            del self.owners[owner.name]

    # -- leaders, workers, time -------------------------------------------------------------

    @rule(handover_s=st.sampled_from(HANDOVERS_S), passes_s=st.sampled_from([0.0, 2.2, 3.7]))
    def other_node_becomes_leader(self, handover_s: float, passes_s: float) -> None:
        """The previous leader may not have noticed yet, but its session has expired."""
        self.leader = "b" if self.leader == "a" else "a"
        self.token += 1
        node = self.nodes[self.leader]
        node.leadership.fencing_token = self.token
        node.acts_from_s = self.loop.time() + handover_s
        node.arbiter.update_leadership(self.loop.time())
        self.time_passes(passes_s)

    @rule(reports=REPORTS)
    def leader_restarts(self, reports: list[tuple[int, str]]) -> None:
        """The restarted leader may act without a wait and has a current fleet view."""
        self.view_is_refreshed()
        acts_from_s = self.nodes[self.leader].acts_from_s
        self.token += 1
        node = self.nodes[self.leader] = self._node(self.leader)
        node.leadership.fencing_token = self.token
        node.acts_from_s = max(acts_from_s, self.loop.time())
        node.arbiter.update_leadership(self.loop.time())
        self.some_report(reports)

    @rule(index=st.integers(0, 2), capacity=st.sampled_from(CAPACITIES))
    def worker_is_replaced(self, index: int, capacity: int) -> None:
        name = sorted(self.view.workers)[index]
        del self.view.workers[name]
        worker = make_worker(f"e{self.num_workers}", capacity)
        self.num_workers += 1
        self.view.workers[worker.id] = worker
        for owner in self.owners.values():
            owner.workers.remove(name)
            owner.workers.update(worker)

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.6, 1.0, 3.5]))
    def time_passes(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    # -- invariants -------------------------------------------------------------------------

    def _run_without_faults(self) -> None:
        self.view_is_refreshed()
        for _ in range(int(SETTLED_S / ROUND_INTERVAL_S)):
            for owner in self.owners.values():
                owner.num_waiting = DEMAND
            for index in range(len(self.owners)):
                self.requests_end(index)
                self._report(index, "arrives", self.leader)
            self.time_passes(ROUND_INTERVAL_S)
        self._run_in_loop(self._check_settled)

    def _check_settled(self) -> None:
        for owner in self.owners.values():
            assert owner.total_limit() >= 1
        for worker in self.view.workers.values():
            limits = [owner.holder.limit(worker) for owner in self.owners.values()]
            assert not limits or sum(limits) == worker.capacity

    @invariant()
    def grants_do_not_exceed_capacity(self) -> None:
        self._run_in_loop(self._check_capacity)

    def _check_capacity(self) -> None:
        for worker in self.view.workers.values():
            granted = [owner.holder.granted_limit(worker) or 0 for owner in self.owners.values()]
            assert sum(granted) <= worker.capacity
            covered = 0
            for name, owner in self.owners.items():
                in_flight = owner.in_flight(worker)
                uncovered = self.requests[name].uncovered
                if owner.holder.granted_limit(worker) is None:
                    uncovered[worker.id] = in_flight
                uncovered[worker.id] = min(uncovered[worker.id], in_flight)
                covered += in_flight - uncovered[worker.id]
            assert covered <= worker.capacity

    def teardown(self) -> None:
        self._run_without_faults()
        self.grants_do_not_exceed_capacity()
        self.loop.close()


SharingUnderFaults.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, derandomize=True, deadline=None
)
TestSharingUnderFaults = SharingUnderFaults.TestCase


def test_leaders_restarting_in_quick_succession_grant_no_slot_twice() -> None:
    """Regression: leaders restart without a wait while answers are delayed."""
    state = SharingUnderFaults()
    state.some_report(reports=[(4, "answer lost")])
    state.work_changes(due_in_s=1.0, index=1, num_items=30)
    state.requests_end(index=1)
    state.leader_restarts(reports=[(2, "report twice")])
    state.time_passes(seconds=3.5)
    state.work_changes(due_in_s=1.0, index=1, num_items=2)
    state.all_report(first=2)
    state.requests_end(index=1)
    state.join(is_seen=True)
    state.leader_restarts(reports=[(3, "report twice"), (4, "answer delayed")])
    state.time_passes(seconds=0.6)
    state.leader_restarts(
        reports=[
            (1, "arrives"),
            (2, "arrives"),
            (2, "answer delayed"),
            (3, "arrives"),
            (4, "arrives"),
        ]
    )
    state.teardown()
