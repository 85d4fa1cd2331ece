"""Guards against requests lost, reported twice or late while nodes, store or clocks fail."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowrack.coordination.duty import DutyOutcome
from hollowrack_bench.virtual_time import VirtualTimeLoop, run_virtual
from tests.usage.helpers import EPOCH_S, WINDOW_S, UsageFleet, true_time_s

ELECTION_S = 6.0
MAX_REPORT_DELAY_S = 10.0


def run_fleet(scenario: Callable[[UsageFleet], Awaitable[None]], num_nodes: int = 4) -> UsageFleet:
    async def main() -> UsageFleet:
        fleet = UsageFleet(num_nodes)
        await asyncio.sleep(ELECTION_S)
        await scenario(fleet)
        await fleet.stop()
        return fleet

    return run_virtual(main())


def test_each_window_is_reported_once_in_time_with_counts_of_all_nodes() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        for step in range(100):
            fleet.begin(f"n{step % 4}", f"t{step % 3}")
            await asyncio.sleep(0.3)
            last_required = int((true_time_s() - MAX_REPORT_DELAY_S) // WINDOW_S) - 1
            required = [window for window, _ in fleet.begun if window <= last_required]
            assert set(required) <= set(fleet.service.reports)
        await asyncio.sleep(MAX_REPORT_DELAY_S + WINDOW_S)
        assert fleet.reported() == fleet.begun
        windows = sorted(fleet.service.reports)
        assert windows == list(range(windows[0], windows[0] + len(windows)))

    assert run_fleet(scenario).service.violations == []


def test_windows_without_requests_are_reported() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        await asyncio.sleep(20.0)
        assert len(fleet.service.reports) >= 3
        assert set(map(len, fleet.service.reports.values())) == {0}

    assert run_fleet(scenario).service.violations == []


def test_counts_of_the_leader_survive_its_crash() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        fleet.begin(leader, "a")
        await asyncio.sleep(1.0)
        await fleet.kill(leader)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


@pytest.mark.parametrize("wait_s", [0.0, 0.1, 2.0])
@pytest.mark.parametrize("name", ["n0", "n1", "n2", "n3"])
def test_counts_survive_a_restart_with_the_same_random_seed(name: str, wait_s: float) -> None:
    """Nodes took the new incarnation for the former one, which had its counts already."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.begin(name, "a")
        await asyncio.sleep(wait_s + 1.0)
        await fleet.kill(name)
        await asyncio.sleep(1.0)
        fleet.start(name)
        await asyncio.sleep(20.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


def test_report_with_unknown_delivery_is_delivered_again_unchanged() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        fleet.service.faults.num_lost_answers = 2
        fleet.begin("n1", "a")
        await asyncio.sleep(10.0)
        (leader,) = fleet.leaders()
        await fleet.kill(leader)
        # A late count must not change the decided report.
        fleet.begin(next(iter(fleet.nodes)), "a")
        await asyncio.sleep(20.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_unknown_write_of_a_decision_is_not_repeated(fault: str) -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        for _ in range(4):
            setattr(fleet.nodes[leader].faults, fault, 1)
            fleet.begin("n2", "a")
            await asyncio.sleep(WINDOW_S)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


def test_windows_missed_during_store_outage_are_reported_afterwards() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        fleet.begin("n1", "a")
        for node in fleet.nodes.values():
            node.faults.refuses = True
        await asyncio.sleep(8.0)
        fleet.begin("n2", "b")
        for node in fleet.nodes.values():
            node.faults.refuses = False
        await asyncio.sleep(20.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


@pytest.mark.parametrize("earlier_version", [False, True])
def test_counts_of_nodes_that_see_the_new_leader_late_are_reported(earlier_version: bool) -> None:
    """The leader decided windows before all live processes had pushed their counts."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.sends_complete_before = not earlier_version
        for name in ("n0", "n2", "n3"):
            fleet.begin(name, "a")
        await asyncio.sleep(2.1)
        await _fail_store(fleet, 4.5)
        fleet.begin("n0", "a")
        await asyncio.sleep(2.0)
        await _fail_store(fleet, 1.0)
        await asyncio.sleep(25.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


def test_counts_pushed_to_a_node_that_knows_a_newer_leader_are_reported() -> None:
    """Counts of a process that ended before it knew the new leader stayed at the other nodes."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.begin("n0", "a")
        await asyncio.sleep(2.0)
        await _kill_and_restart(fleet, "n1")
        await _fail_store(fleet, 4.5)
        fleet.begin("n3", "a")
        await asyncio.sleep(2.0)
        fleet.begin("n3", "b")
        await _kill_and_restart(fleet, "n3")
        await _fail_store(fleet, 1.0)
        fleet.begin("n1", "b")
        await asyncio.sleep(2.0)
        await _kill_and_restart(fleet, "n0")
        await asyncio.sleep(20.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


async def _kill_and_restart(fleet: UsageFleet, name: str) -> None:
    await asyncio.sleep(1.0)
    await fleet.kill(name)
    await asyncio.sleep(1.0)
    fleet.start(name)
    await asyncio.sleep(3.0)


async def _fail_store(fleet: UsageFleet, seconds: float) -> None:
    for node in fleet.nodes.values():
        node.faults.refuses = True
    await asyncio.sleep(seconds)
    for node in fleet.nodes.values():
        node.faults.refuses = False


def test_windows_are_decided_in_time_while_processes_of_an_earlier_version_count() -> None:
    """Processes that do not say which counts are complete must not delay reports too long."""

    async def scenario(fleet: UsageFleet) -> None:
        fleet.sends_complete_before = False
        for step in range(60):
            fleet.begin(f"n{step % 4}", "a")
            await asyncio.sleep(0.5)
            last_required = int((true_time_s() - MAX_REPORT_DELAY_S) // WINDOW_S) - 1
            required = [window for window, _ in fleet.begun if window <= last_required]
            assert set(required) <= set(fleet.service.reports)
        await asyncio.sleep(MAX_REPORT_DELAY_S + WINDOW_S)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


def test_clock_jump_moves_no_request_to_another_window() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        for offset_s in (7.0, -7.0, 0.0):
            for name in ("n1", leader):
                fleet.nodes[name].clock_offset_s = offset_s
                fleet.begin(name, "a")
            await asyncio.sleep(4.0)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.violations == []


NAMES = st.sampled_from(["n0", "n1", "n2", "n3"])
OUTCOMES = st.sampled_from([None, DutyOutcome.THROTTLED, DutyOutcome.REFUSED, DutyOutcome.UNKNOWN])


class ReportingUnderFaults(RuleBasedStateMachine):
    """Nodes crash one at a time while the store and the service fail and clocks jump."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.fleet = self.loop.run_until_complete(self._started())

    async def _started(self) -> UsageFleet:
        fleet = UsageFleet(4)
        await asyncio.sleep(ELECTION_S)
        return fleet

    def _advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    async def _begin(self, name: str, tenant: str) -> None:
        self.fleet.begin(name, tenant)

    @rule(name=NAMES, tenant=st.sampled_from("ab"), wait_s=st.sampled_from([0.0, 0.1, 2.0]))
    def begin(self, name: str, tenant: str, wait_s: float) -> None:
        if name in self.fleet.nodes:
            self.loop.run_until_complete(self._begin(name, tenant))
        self._advance(wait_s)

    @rule(seconds=st.sampled_from([0.5, 3.0, 7.0]))
    def wait(self, seconds: float) -> None:
        self._advance(seconds)

    @rule(name=NAMES)
    def kill_and_restart(self, name: str) -> None:
        # Counts older than a second have been replicated.
        self._advance(1.0)
        self.loop.run_until_complete(self.fleet.kill(name))
        self._advance(1.0)
        self.loop.run_until_complete(self._start(name))
        self._advance(3.0)

    async def _start(self, name: str) -> None:
        self.fleet.start(name)

    @rule(name=NAMES, fault=st.sampled_from(["num_lost_answers", "num_late_writes"]))
    def lose_or_delay_a_write(self, name: str, fault: str) -> None:
        setattr(self.fleet.nodes[name].faults, fault, 1)

    @rule(seconds=st.sampled_from([1.0, 4.5]))
    def store_is_down(self, seconds: float) -> None:
        nodes = list(self.fleet.nodes.values())
        for node in nodes:
            node.faults.refuses = True
        self._advance(seconds)
        for node in nodes:
            node.faults.refuses = False

    @rule(outcome=OUTCOMES, num_lost=st.integers(0, 2))
    def service_fails(self, outcome: DutyOutcome | None, num_lost: int) -> None:
        self.fleet.service.faults.outcome = outcome
        self.fleet.service.faults.num_lost_answers = num_lost

    @rule(name=NAMES, offset_s=st.sampled_from([0.0, 2.0, -2.0]))
    def clock_jumps(self, name: str, offset_s: float) -> None:
        self.fleet.nodes[name].clock_offset_s = offset_s

    @invariant()
    def reports_are_consistent(self) -> None:
        assert self.fleet.service.violations == []
        reported = self.fleet.reported()
        assert all(reported[key] <= self.fleet.begun[key] for key in reported)

    def check_final_reports(self) -> None:
        assert self.fleet.reported() == self.fleet.begun

    def teardown(self) -> None:
        self.fleet.service.faults.outcome = None
        self._advance(40.0)
        try:
            self.reports_are_consistent()
            self.check_final_reports()
        finally:
            self.loop.run_until_complete(self.fleet.stop())
            self.loop.close()


TestReportingUnderFaults = ReportingUnderFaults.TestCase
TestReportingUnderFaults.settings = settings(
    max_examples=25, stateful_step_count=14, derandomize=True, deadline=None
)


def test_epoch_is_the_start_of_a_window() -> None:
    assert EPOCH_S % WINDOW_S == 0
