"""Usage reports of a fleet whose nodes die, lose the store, lose answers and jump in time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollowrack.coordination.duty import DutyOutcome
from hollowrack_bench.virtual_time import VirtualTimeLoop, run_virtual
from tests.usage.helpers import EPOCH_S, WINDOW_S, UsageFleet, true_time_s

LEADS_FROM_S = 6.0
DUE_S = 10.0


def run_fleet(scenario: Callable[[UsageFleet], Awaitable[None]], num_nodes: int = 4) -> UsageFleet:
    async def main() -> UsageFleet:
        fleet = UsageFleet(num_nodes)
        await asyncio.sleep(LEADS_FROM_S)
        await scenario(fleet)
        await fleet.stop()
        return fleet

    return run_virtual(main())


def test_each_window_is_reported_once_in_time_with_the_counts_of_all_nodes() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        for step in range(100):
            fleet.begin(f"n{step % 4}", f"t{step % 3}")
            await asyncio.sleep(0.3)
            last_due = int((true_time_s() - DUE_S) // WINDOW_S) - 1
            due = [window for window, _ in fleet.begun if window <= last_due]
            assert set(due) <= set(fleet.service.reports)
        await asyncio.sleep(DUE_S + WINDOW_S)
        assert fleet.reported() == fleet.begun
        windows = sorted(fleet.service.reports)
        assert windows == list(range(windows[0], windows[0] + len(windows)))

    assert run_fleet(scenario).service.broken == []


def test_windows_without_requests_are_reported_as_well() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        await asyncio.sleep(20.0)
        assert len(fleet.service.reports) >= 3
        assert set(map(len, fleet.service.reports.values())) == {0}

    assert run_fleet(scenario).service.broken == []


def test_what_the_leader_counted_itself_survives_it() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        fleet.begin(leader, "a")
        await asyncio.sleep(1.0)
        await fleet.kill(leader)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.broken == []


def test_a_report_whose_delivery_is_unknown_is_delivered_again_unchanged() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        fleet.service.faults.num_lost_answers = 2
        fleet.begin("n1", "a")
        await asyncio.sleep(10.0)
        (leader,) = fleet.leaders()
        await fleet.kill(leader)
        # Counts that come late change no report that is decided.
        fleet.begin(next(iter(fleet.nodes)), "a")
        await asyncio.sleep(20.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.broken == []


@pytest.mark.parametrize("fault", ["num_lost_answers", "num_late_writes"])
def test_a_decision_that_may_be_done_late_is_never_doubled(fault: str) -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        for _ in range(4):
            setattr(fleet.nodes[leader].faults, fault, 1)
            fleet.begin("n2", "a")
            await asyncio.sleep(WINDOW_S)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.broken == []


def test_windows_missed_while_the_store_is_down_are_reported_after_it() -> None:
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

    assert run_fleet(scenario).service.broken == []


def test_a_jump_of_a_clock_moves_no_request_into_another_window() -> None:
    async def scenario(fleet: UsageFleet) -> None:
        (leader,) = fleet.leaders()
        for off_s in (7.0, -7.0, 0.0):
            for name in ("n1", leader):
                fleet.nodes[name].clock_off_s = off_s
                fleet.begin(name, "a")
            await asyncio.sleep(4.0)
        await asyncio.sleep(15.0)
        assert fleet.reported() == fleet.begun

    assert run_fleet(scenario).service.broken == []


NAMES = st.sampled_from(["n0", "n1", "n2", "n3"])
OUTCOMES = st.sampled_from([None, DutyOutcome.THROTTLED, DutyOutcome.REFUSED, DutyOutcome.UNKNOWN])


class ReportingUnderFaults(RuleBasedStateMachine):
    """Nodes die one at a time while the store and the service fail and clocks jump."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.fleet = self.loop.run_until_complete(self._started())

    async def _started(self) -> UsageFleet:
        fleet = UsageFleet(4)
        await asyncio.sleep(LEADS_FROM_S)
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
        # What a process has counted a second ago is held by others as well.
        self._advance(1.0)
        self.loop.run_until_complete(self.fleet.kill(name))
        self._advance(1.0)
        self.loop.run_until_complete(self._start(name))
        self._advance(3.0)

    async def _start(self, name: str) -> None:
        self.fleet.start(name)

    @rule(name=NAMES, fault=st.sampled_from(["num_lost_answers", "num_late_writes"]))
    def lose_a_write(self, name: str, fault: str) -> None:
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

    @rule(name=NAMES, off_s=st.sampled_from([0.0, 2.0, -2.0]))
    def clock_jumps(self, name: str, off_s: float) -> None:
        self.fleet.nodes[name].clock_off_s = off_s

    @invariant()
    def no_promise_is_broken(self) -> None:
        assert self.fleet.service.broken == []
        reported = self.fleet.reported()
        assert all(reported[key] <= self.fleet.begun[key] for key in reported)

    def teardown(self) -> None:
        self.fleet.service.faults.outcome = None
        self._advance(40.0)
        try:
            self.no_promise_is_broken()
            assert self.fleet.reported() == self.fleet.begun
        finally:
            self.loop.run_until_complete(self.fleet.stop())
            self.loop.close()


TestReportingUnderFaults = ReportingUnderFaults.TestCase
TestReportingUnderFaults.settings = settings(
    max_examples=25, stateful_step_count=14, derandomize=True, deadline=None
)


def test_the_epoch_begins_a_window() -> None:
    assert EPOCH_S % WINDOW_S == 0
