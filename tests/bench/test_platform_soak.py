"""The soak of real edge processes: a short one, and whether its checks find what they are for."""

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from hollowrack.results import ProblemError, ResultCode
from hollowrack_bench.platform_demo import PlatformDemoOutcome
from hollowrack_bench.platform_soak import PlatformSoak, run_soak
from hollowrack_bench.program import hollowrack
from hollowrack_bench.soak_checks import SoakChecks, count_ambiguous_attempts
from hollowrack_bench.soak_crashes import CrashingAttempt
from hollowrack_bench.soak_faults import SoakFault
from hollowrack_bench.soak_plan import SoakPlan
from hollowrack_standins.duty_service import DutyServiceCore
from hollowrack_standins.users_platform import WorkerRecords

Order = tuple[str, str, int, str, int]


def make_checks() -> tuple[SoakChecks, WorkerRecords, list[str]]:
    """Return checks of a soak in which nothing has happened, what they read and what they find."""
    ledger = WorkerRecords()
    broken: list[str] = []
    return SoakChecks(ledger, broken), ledger, broken


# Each seed is kept as it was first run: all faults of its time, four processes.
LATER_FAULTS = (
    SoakFault.CRASHING_REQUESTS,
    SoakFault.WORKER_RESTARTS,
    SoakFault.WORKER_SLOW,
    SoakFault.FOREIGN_ENTRIES,
    SoakFault.OPEN_CONNECTIONS,
)
FIRST_FAULTS = tuple(fault for fault in SoakFault if fault not in LATER_FAULTS)
SEEDS = {
    1: "no fault was ever found",
    3: "without the mend of given-up items: a job is handed to a node with an older configuration",
    103: "a process was stopped while it loaded its code, before it could handle the signal",
    112: "the proxy itself repeated answers on callers' connections",
    228: "three requests counted whose connections gave another one's answer: nobody can know",
}
CRASHING_SEED = 2
CRASHING_FAULTS = (SoakFault.CRASHING_REQUESTS, SoakFault.KILL, SoakFault.STOP)
WORKERS_SEED = 502
WORKER_FAULTS = (
    SoakFault.WORKER_RESTARTS,
    SoakFault.WORKER_SLOW,
    SoakFault.FOREIGN_ENTRIES,
    SoakFault.OPEN_CONNECTIONS,
    SoakFault.KILL,
)
SOAK_S = 12.0


async def run_side_by_side() -> dict[int, PlatformDemoOutcome]:
    """Run the soaks of all seeds at the same time, as each of them mostly waits."""
    plans = [SoakPlan(SOAK_S, seed, FIRST_FAULTS) for seed in sorted(SEEDS)]
    plans.append(SoakPlan(SOAK_S, CRASHING_SEED, CRASHING_FAULTS))
    plans.append(SoakPlan(SOAK_S, WORKERS_SEED, WORKER_FAULTS))
    outcomes = await asyncio.gather(*(run_soak(plan) for plan in plans))
    return {plan.seed: outcome for plan, outcome in zip(plans, outcomes, strict=True)}


def test_short_soaks_break_no_promise() -> None:
    outcomes = asyncio.run(run_side_by_side())
    assert {
        seed: outcome.violations for seed, outcome in outcomes.items() if outcome.violations
    } == {}, {seed: outcome.evidence for seed, outcome in outcomes.items()}
    assert all(int(outcome.rows["steps taken"]) > 0 for outcome in outcomes.values())


@pytest.mark.parametrize(
    ("plan", "place"),
    [
        (SoakPlan(1.0, 1, num_edges=0), "--nodes"),
        (SoakPlan(1.0, 1, num_edges=1000), "--nodes"),
        (SoakPlan(1.0, 1, faults=()), "--faults"),
        (SoakPlan(-1.0, 1), "--seconds"),
        (SoakPlan(1.0, -1), "--seconds"),
    ],
)
def test_a_plan_out_of_bounds_is_refused(plan: SoakPlan, place: str) -> None:
    with pytest.raises(ProblemError) as raised:
        asyncio.run(run_soak(plan))
    assert raised.value.problem.code is ResultCode.USAGE
    assert place in raised.value.problem.place


def test_the_logs_of_a_run_are_never_overwritten(tmp_path: Path) -> None:
    plan = SoakPlan(1.0, 7, folder=tmp_path)
    folders = [plan.new_log_folder() for _ in range(3)]
    assert len(set(folders)) == 3
    assert all(folder is not None and folder.is_dir() for folder in folders)
    assert SoakPlan(1.0, 7).new_log_folder() is None


def test_an_unknown_fault_is_refused_with_the_names_of_all() -> None:
    result = CliRunner().invoke(hollowrack, ["platform-soak", "--faults", "kill,flood"])
    assert result.exit_code != 0
    assert "flood" in result.output
    assert "store-link" in result.output


@pytest.mark.parametrize(
    ("failures", "waited_s", "is_broken"),
    [
        ({}, 39.0, True),
        ({}, 41.0, False),
        ({"step-1.3": 2}, 1.0, True),
        ({"step-1.3": 3}, 1.0, False),
        ({"step-1.score-3": 3}, 1.0, False),
        ({"step-1.4": 3}, 1.0, True),
    ],
)
def test_an_item_that_is_given_up_without_a_reason_is_found(
    failures: dict[str, int], waited_s: float, is_broken: bool
) -> None:
    checks, ledger, broken = make_checks()
    ledger.failures.update(failures)
    checks.check_abandoned("step-1.3", waited_s)
    assert bool(broken) is is_broken


@pytest.mark.parametrize(
    ("orders", "is_broken"),
    [
        ([("w1", "a", 3, "m", 2), ("w2", "a", 3, "m", 2), ("w1", "b", 9, "m", 3)], False),
        ([("w1", "a", 3, "m", 2), ("w1", "b", 3, "m", 3)], True),
        ([("w1", "b", 9, "m", 2), ("w1", "a", 3, "m", 3)], True),
    ],
)
def test_orders_of_two_holders_or_an_older_fence_are_found(
    orders: list[Order], is_broken: bool
) -> None:
    checks, ledger, broken = make_checks()
    ledger.orders.extend(orders)
    checks.check_orders()
    assert bool(broken) is is_broken


@pytest.mark.parametrize(
    ("num_runs", "is_refused", "is_broken"),
    [(0, True, False), (1, False, False), (2, False, True), (1, True, True)],
)
def test_unsafe_requests_that_run_twice_or_although_refused_are_found(
    num_runs: int, is_refused: bool, is_broken: bool
) -> None:
    checks, ledger, broken = make_checks()
    ledger.executions["once-1"] = num_runs
    if is_refused:
        checks.refused_unsafe.add("once-1")
    checks.check_unsafe()
    assert bool(broken) is is_broken


@pytest.mark.parametrize(
    ("request_id", "headers", "is_broken"),
    [
        ("plain-1", {"tenant": "ana"}, False),
        ("step-1.score-1", {}, False),
        ("plain-1", {"tenant": "bob"}, True),
        ("plain-1", {}, True),
        ("step-1.score-1", {"tenant": "ana"}, True),
        ("plain-1", {"tenant": "ana", "authorization": "Bearer key-of-ana"}, True),
    ],
)
def test_runs_for_another_tenant_and_keys_shown_to_workers_are_found(
    request_id: str, headers: dict[str, str], is_broken: bool
) -> None:
    checks, ledger, broken = make_checks()
    ledger.headers[request_id] = headers
    checks.check_tenants()
    assert bool(broken) is is_broken


@pytest.mark.parametrize(
    ("sent_s", "is_calm", "num_runs", "is_broken"),
    [
        (5.0, True, 4, False),
        (6.5, True, 4, True),
        (6.5, True, 3, False),
        (6.5, False, 9, False),
    ],
)
def test_a_request_that_goes_on_ending_workers_is_found(
    sent_s: float, is_calm: bool, num_runs: int, is_broken: bool
) -> None:
    checks, ledger, broken = make_checks()
    ledger.crashes.extend((b"crashing-1", at_s) for at_s in (1.0, 2.0, 3.0))
    ledger.executions["crash-7"] = num_runs
    checks.check_crashing([CrashingAttempt("crash-7", b"crashing-1", sent_s, is_calm)])
    assert bool(broken) is is_broken


def test_usage_may_count_as_many_requests_more_as_nodes_cannot_know_of() -> None:
    for num_unsure, is_broken in ((0, True), (1, False)):
        checks, ledger, broken = make_checks()
        ledger.executions.update({"plain-1": 1})
        service = DutyServiceCore()
        service.reports = {1: {"ana": 2}}
        checks.check_duties(service, num_unsure)
        assert bool(broken) is is_broken


def test_attempts_that_nobody_can_know_of_are_counted_from_the_logs() -> None:
    lines = [
        "request q1: worker w1: silent",
        "request q2: worker w1: the answer belongs to another request",
        "request q3: [400 OUTCOME_UNKNOWN] at q3: the time is up (w1: no answer yet)",
        "request q4: worker w1: status 500",
        "item i1 of job j1: 6 events",
    ]
    assert count_ambiguous_attempts(lines) == 3


@pytest.mark.parametrize(
    ("reports", "broken", "is_broken"),
    [
        ({1: {"ana": 2}, 2: {}}, [], False),
        ({1: {"ana": 2}, 2: {"ana": 1}}, [], True),
        ({1: {"bob": 1}}, [], True),
        ({}, ["two reports of a window"], True),
    ],
)
def test_usage_that_no_worker_saw_and_broken_duties_are_found(
    reports: dict[int, dict[str, int]], broken: list[str], is_broken: bool
) -> None:
    checks, ledger, found = make_checks()
    ledger.executions.update({"plain-1": 1, "once-1": 1, "step-1.3": 5})
    service = DutyServiceCore()
    service.reports = reports
    service.violations = broken
    checks.check_duties(service)
    assert bool(found) is is_broken


def test_an_interrupted_soak_leaves_no_process(monkeypatch: pytest.MonkeyPatch) -> None:
    soaks: list[PlatformSoak] = []

    async def main() -> None:
        soak = PlatformSoak(SoakPlan(60.0, 1, num_edges=1))
        soaks.append(soak)
        monkeypatch.setattr(soak, "_all_ready", never_ready)
        async with asyncio.timeout(2.0):
            await soak.run()

    async def never_ready() -> bool:
        return False

    with pytest.raises(TimeoutError):
        asyncio.run(main())
    assert soaks[0].running_nodes() == []
