"""Guards against windows that are reported late or with too few counts during partial outages."""

import asyncio
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule
from prometheus_client import CollectorRegistry, generate_latest

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.observability.edge_metrics import EdgeCollector, EdgeCounters
from hollowrack.usage.replicator import (
    ADDITIONAL_PUSH_INTERVAL_S,
    BATCH_INTERVAL_S,
    NUM_FALLBACKS,
)
from hollowrack.usage.types import WindowReport
from hollowrack_bench.virtual_time import run_virtual
from tests.usage.helpers import EPOCH_S, WINDOW_S, UsageFleet, true_time_s
from tests.usage.partial_outages import (
    NUM_NODES,
    USAGE_LATE_S,
    USAGE_TOLERANCE,
    Scenario,
    delivery_fails,
    leader_dies,
    leader_dies_among_refused,
    leader_dies_without_counts,
    leader_freezes,
    leader_of,
    run_scenario,
    store_fails,
    third_is_refused,
    wait_for_window_end,
)
from tests.usage.test_reporting import ELECTION_S, NAMES, OUTCOMES, ReportingUnderFaults

# Time, node, window, number of requests and outcome of each call to the platform's service in
# `record_calls`, on c1bcfc7, which had no bounds.
CALLS_WITHOUT_BOUNDS = [
    (7.752, "n3", 0, 0, "ACCEPTED"),
    (12.756, "n3", 1, 8, "THROTTLED"),
    (13.508, "n3", 1, 8, "ACCEPTED"),
    (17.762, "n3", 2, 10, "ACCEPTED"),
    (23.75, "n1", 2, 10, "ACCEPTED"),
    (25.254, "n1", 3, 10, "ACCEPTED"),
    (33.75, "n2", 3, 10, "ACCEPTED"),
    (35.254, "n2", 4, 10, "ACCEPTED"),
    (35.508, "n2", 5, 10, "ACCEPTED"),
    (37.762, "n2", 6, 10, "ACCEPTED"),
    (42.766, "n2", 7, 2, "ACCEPTED"),
    (47.77, "n2", 8, 0, "ACCEPTED"),
    (52.774, "n2", 9, 0, "ACCEPTED"),
]

Call = tuple[float, str, int, int, str]


async def record_calls() -> list[Call]:
    """Record the calls while the service, the leader and the store fail one after the other."""
    calls: list[Call] = []
    fleet = UsageFleet(4)
    report_usage = fleet.service.report_usage

    async def record_call(holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        called_s = round(asyncio.get_running_loop().time(), 3)
        outcome = await report_usage(holder, report)
        window = report.window - int(EPOCH_S // WINDOW_S)
        calls.append((called_s, holder.node, window, sum(report.counts.values()), outcome.name))
        return outcome

    fleet.service.report_usage = record_call  # type: ignore[method-assign]
    await asyncio.sleep(ELECTION_S)
    for step in range(60):
        if step in {10, 14}:
            fleet.service.faults.outcome = DutyOutcome.THROTTLED if step == 10 else None
        if step == 25:
            await fleet.kill(fleet.leaders()[0])
        if step in {40, 48}:
            for node in fleet.nodes.values():
                node.faults.refuses = step == 40
        fleet.begin(sorted(fleet.nodes)[step % 3], "a")
        await asyncio.sleep(0.5)
    await asyncio.sleep(20.0)
    await fleet.stop()
    return calls


def test_without_bounds_all_calls_are_those_of_the_version_without_bounds() -> None:
    assert run_virtual(record_calls()) == CALLS_WITHOUT_BOUNDS


BOUNDS = {"late_s": USAGE_LATE_S, "tolerance": USAGE_TOLERANCE}


def check(scenario: Scenario, min_due: int = 4, **arguments: Any) -> None:
    outcome = run_scenario(scenario, usage_bounds=BOUNDS, **arguments)
    assert outcome.num_due >= min_due
    assert outcome.late == ()
    assert outcome.max_difference <= USAGE_TOLERANCE
    assert outcome.violations == ()


@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("relays", [False, True])
def test_windows_are_reported_while_a_third_is_refused(relays: bool, is_silent: bool) -> None:
    """Without relays, the refused nodes pushed their counts only to a leader that was refused."""
    check(third_is_refused(silent=is_silent), relays=relays)


def test_refused_leader_decides_through_a_peer() -> None:
    """A change of leader takes 6 s and more, although other nodes reach the store."""

    async def scenario(fleet: UsageFleet) -> None:
        leader = leader_of(fleet)
        refusal = asyncio.create_task(refuse_a_third(fleet))
        num_reports = len(fleet.service.reports)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert fleet.leaders() == [leader]
        assert len(fleet.service.reports) >= num_reports + 2
        await refusal

    async def refuse_a_third(fleet: UsageFleet) -> None:
        await third_is_refused(before_s=5.0, after_s=5.0)(fleet)

    check(scenario, relays=True)


@pytest.mark.parametrize("after_s", [1.0, 3.0, 6.0])
@pytest.mark.parametrize("relays", [False, True])
def test_windows_are_reported_when_the_leader_dies_among_refused_nodes(
    after_s: float, relays: bool
) -> None:
    """The next leader decided a window without the counts of nodes that did not know it."""
    check(leader_dies_among_refused(after_s, 9.0 - after_s), relays=relays)


@pytest.mark.parametrize("after_s", [1.0, 3.0, 6.0])
def test_windows_are_reported_when_the_leader_dies(after_s: float) -> None:
    check(leader_dies(after_s), relays=True)


@pytest.mark.parametrize("after_s", [1.0, 3.0, 6.0])
def test_windows_are_reported_when_a_leader_dies_that_some_nodes_do_not_reach(
    after_s: float,
) -> None:
    """The leader waited for counts that other nodes had, and died before it decided."""
    check(leader_dies_without_counts(after_s), relays=True)


def test_counts_of_a_leader_survive_that_does_not_reach_its_fallback() -> None:
    """A leader kept its counts to itself while the one other node did not acknowledge them."""
    check(leader_dies_without_counts(6.0), relays=True, seed=9)


@pytest.mark.parametrize("duration_s", [3.0, 6.0, 9.0])
def test_windows_are_reported_when_the_leader_freezes(duration_s: float) -> None:
    check(leader_freezes(1.0, duration_s), relays=True)


@pytest.mark.parametrize("after_s", [-3.0, -1.0, 1.0])
def test_windows_are_reported_after_a_store_outage(after_s: float) -> None:
    """A leader that was elected after the outage waited for counts after its handover."""
    check(store_fails(after_s, 5.5), relays=True)


@pytest.mark.parametrize("outcome", [DutyOutcome.THROTTLED, DutyOutcome.REFUSED])
@pytest.mark.parametrize("after_s", [2.0, 5.5])
def test_windows_are_reported_after_failed_deliveries(outcome: DutyOutcome, after_s: float) -> None:
    check(delivery_fails(outcome, after_s, 4.0), relays=True)


async def refuse_one_report(fleet: UsageFleet) -> None:
    """The service refuses the report of one window for 20 s."""
    await wait_for_window_end(1.0)
    window = int(true_time_s() // WINDOW_S) - 1
    report_usage = fleet.service.report_usage

    async def refuse(holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        is_refused = report.window == window
        return DutyOutcome.REFUSED if is_refused else await report_usage(holder, report)

    fleet.service.report_usage = refuse  # type: ignore[method-assign]
    await asyncio.sleep(20.0)
    fleet.service.report_usage = report_usage  # type: ignore[method-assign]


def test_refused_report_delays_no_other_one() -> None:
    """All later reports were late: the leader sent the refused one again first."""
    outcome = run_scenario(refuse_one_report, usage_bounds=BOUNDS, relays=True)
    assert len(outcome.late) == 1
    assert outcome.max_difference == 0.0


def answer_slowly(fleet: UsageFleet) -> None:
    """From now on the service takes 0.7 s for each report."""
    report_usage = fleet.service.report_usage

    async def answer(holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        await asyncio.sleep(0.7)
        return await report_usage(holder, report)

    fleet.service.report_usage = answer  # type: ignore[method-assign]


async def fail_then_answer_slowly(fleet: UsageFleet) -> None:
    """The service refuses calls until 1.5 s before a third report is late, then takes 0.7 s."""
    await wait_for_window_end(1.0)
    fleet.service.faults.outcome = DutyOutcome.THROTTLED
    await wait_for_window_end(2 * WINDOW_S + USAGE_LATE_S - 1.5 - 3 * WINDOW_S)
    await asyncio.sleep(3 * WINDOW_S)
    fleet.service.faults.outcome = None
    answer_slowly(fleet)


def test_reports_that_can_be_in_time_are_delivered_before_late_ones() -> None:
    """Late reports were delivered first, so that one more was late."""
    outcome = run_scenario(fail_then_answer_slowly, usage_bounds=BOUNDS, relays=True)
    assert len(outcome.late) == 2
    assert outcome.max_difference == 0.0


async def leader_dies_before_delivery(fleet: UsageFleet) -> None:
    """The leader dies after it decided a window whose report it could not deliver."""
    await wait_for_window_end(2.0)
    fleet.service.faults.outcome = DutyOutcome.THROTTLED
    await asyncio.sleep(1.2)
    await fleet.kill(leader_of(fleet))
    fleet.service.faults.outcome = None


def test_next_leader_delivers_the_stored_report_in_time() -> None:
    check(leader_dies_before_delivery, relays=True)


def test_no_window_of_a_long_outage_is_dropped() -> None:
    """Guards against undelivered reports that are dropped for newer windows after an outage."""
    missing: list[int] = []

    async def outage(fleet: UsageFleet) -> None:
        first_window = int(true_time_s() // WINDOW_S)
        answer_slowly(fleet)
        await store_fails(1.0, 14 * WINDOW_S)(fleet)
        await asyncio.sleep(20.0)
        last_window = int((true_time_s() - USAGE_LATE_S) // WINDOW_S) - 1
        reported = fleet.service.reports
        missing.extend(set(range(first_window, last_window + 1)) - reported.keys())

    outcome = run_scenario(outage, usage_bounds=BOUNDS, relays=True)
    assert outcome.num_due > 14
    assert outcome.violations == ()
    assert missing == []


async def count_after_the_decision(fleet: UsageFleet) -> None:
    """Requests of a window are counted after it was decided, as they ended late."""
    await wait_for_window_end(-0.5)
    usage = fleet.nodes["n3"].node.usage
    begun_s = usage.time_s()
    await wait_for_window_end(4.0)
    for _ in range(20):
        usage.record_request("a", begun_s)


def test_number_of_requests_counted_after_the_decision_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level("INFO", logger="absl"):
        outcome = run_scenario(count_after_the_decision, usage_bounds=BOUNDS, relays=True)
    assert outcome.late == ()
    messages = [(record.levelname, record.getMessage()) for record in caplog.records]
    expected = "20 requests counted after the decision are not reported, 7.4% of all"
    found = [level for level, message in messages if message.endswith(expected)]
    assert found == ["WARNING"]


def sum_of_metric(fleet: UsageFleet, name: str) -> float:
    """Return the sum of a metric over all nodes."""
    total = 0.0
    for node in fleet.nodes.values():
        registry = CollectorRegistry()
        registry.register(EdgeCollector(node.node, EdgeCounters()))
        lines = generate_latest(registry).decode().splitlines()
        total += sum(float(line.split()[-1]) for line in lines if line.startswith(name))
    return total


@pytest.mark.parametrize("has_bounds", [True, False])
def test_late_reports_and_unreported_requests_are_metrics(has_bounds: bool) -> None:
    figures: list[float] = []

    async def scenario(fleet: UsageFleet) -> None:
        await count_after_the_decision(fleet)
        await refuse_one_report(fleet)
        await asyncio.sleep(5.0)
        for name in ('reports_total{state="late"}', "reports_total{", "unreported_requests_total"):
            figures.append(sum_of_metric(fleet, f"hollowrack_usage_{name}"))

    run_scenario(scenario, usage_bounds=BOUNDS if has_bounds else {}, relays=True)
    num_late, num_reports, num_unreported = figures
    if has_bounds:
        assert (num_late, num_unreported) == (1, 20)
        assert num_reports > 4
    else:
        assert figures == [0, 0, 0]


def test_healthy_nodes_push_to_the_leader_and_one_other_node() -> None:
    """Nodes must not take an idle view for an old one: each push to more nodes costs all counts."""
    targets: dict[str, set[str]] = {}

    async def scenario(fleet: UsageFleet) -> None:
        fleet.pushes.clear()
        await asyncio.sleep(30.0)
        assert all(leader for _, _, leader in fleet.pushes)
        for sender, receiver, _ in fleet.pushes:
            targets.setdefault(sender, set()).add(receiver)

    check(scenario, relays=True)
    assert len(targets) == NUM_NODES
    assert max(map(len, targets.values())) == 2


def test_additional_processes_are_in_all_zones() -> None:
    """Four processes of one zone are refused or lost together."""

    async def scenario(fleet: UsageFleet) -> None:
        for name, node in fleet.nodes.items():
            live = node.node.live
            few, many = (live.leader_and_fallback_addresses(number) for number in (1, 4))
            assert few.items() <= many.items()
            assert name not in many.values()
            others = [owner for owner in many if owner != live.leader()]
            assert len(others) == 4
            assert {live.nodes[owner].zone for owner in others} == {"z1", "z2", "z3"}

    check(scenario)


def test_messages_of_nodes_that_may_not_know_the_leader_are_bounded() -> None:
    """Counts that refused nodes pass to each other must not be passed on without end."""
    num_pushes = 0

    async def scenario(fleet: UsageFleet) -> None:
        nonlocal num_pushes
        fleet.pushes.clear()
        await third_is_refused()(fleet)
        num_pushes = len(fleet.pushes)

    check(scenario, relays=False)
    seconds = 10.0 + WINDOW_S
    max_pushes_per_s = 2 / BATCH_INTERVAL_S + (NUM_FALLBACKS - 1) / ADDITIONAL_PUSH_INTERVAL_S
    assert 0 < num_pushes <= NUM_NODES * max_pushes_per_s * seconds


@pytest.mark.parametrize("unbounded", [["n0", "n1", "n2", "n3"], ["n4", "n6", "n8", "n10"]])
def test_windows_are_reported_beside_nodes_of_the_previous_version(unbounded: list[str]) -> None:
    """Nodes of the previous version push on the counts of nodes that name no leader."""
    check(third_is_refused(), relays=True, unbounded=unbounded)
    check(leader_dies_among_refused(1.0, 8.0), relays=True, unbounded=unbounded)


class ReportingWithBounds(ReportingUnderFaults):
    """With bounds, the store also refuses some of the nodes, and nodes freeze.

    Counts that a refused or frozen node has not pushed on are missing in a window that is decided
    at its last moment, so reports must only be complete in runs without these faults.
    """

    def __init__(self) -> None:
        super().__init__()
        self.must_be_complete = True

    async def _started(self) -> UsageFleet:
        fleet = UsageFleet(4, usage_bounds=BOUNDS)
        await asyncio.sleep(ELECTION_S)
        return fleet

    @rule(seconds=st.sampled_from([1.0, 4.5]))
    def store_is_down(self, seconds: float) -> None:
        self.must_be_complete = False
        super().store_is_down(seconds)

    @rule(names=st.sets(NAMES, min_size=1, max_size=2), seconds=st.sampled_from([3.0, 9.0]))
    def store_refuses_some(self, names: set[str], seconds: float) -> None:
        self.must_be_complete = False
        for value in (True, False):
            for name in names:
                self.fleet.nodes[name].faults.refuses = value
            if value:
                self._advance(seconds)

    @rule(outcome=OUTCOMES, num_lost=st.integers(0, 2))
    def service_fails(self, outcome: DutyOutcome | None, num_lost: int) -> None:
        # More than 8 undelivered reports are dropped, so the service fails for less than 40 s.
        super().service_fails(outcome, num_lost)
        self._advance(10.0)
        self.fleet.service.faults.outcome = None

    @rule(relays=st.booleans())
    def relays_work(self, relays: bool) -> None:
        self.fleet.relays = relays

    @rule(name=NAMES, seconds=st.sampled_from([1.0, 3.0, 6.0]))
    def node_freezes(self, name: str, seconds: float) -> None:
        self.must_be_complete = False
        self.fleet.cut_off.add(name)
        self.fleet.nodes[name].faults.is_silent = True
        self._advance(seconds)
        self.fleet.nodes[name].faults.is_silent = False
        self.fleet.cut_off.discard(name)

    def check_final_reports(self) -> None:
        windows = sorted(self.fleet.service.reports)
        assert windows == list(range(windows[0], windows[0] + len(windows)))
        due = {window for window, _ in self.fleet.begun}
        assert due <= set(windows)
        if self.must_be_complete:
            super().check_final_reports()


TestReportingWithBounds = ReportingWithBounds.TestCase
TestReportingWithBounds.settings = settings(
    max_examples=25, stateful_step_count=14, derandomize=True, deadline=None
)
