"""Short soaks of real edge processes must pass, and the checks must detect violations."""

import asyncio
import shutil
from pathlib import Path

import pytest
from click.testing import CliRunner

import hollowrack as hollowrack_package
from hollowrack.results import ProblemError, ResultCode
from hollowrack_bench.platform_demo import PlatformDemoOutcome
from hollowrack_bench.platform_soak import PlatformSoak, run_soak
from hollowrack_bench.program import hollowrack
from hollowrack_bench.soak_checks import SoakChecks, count_ambiguous_attempts
from hollowrack_bench.soak_crashes import CrashingAttempt
from hollowrack_bench.soak_evacuations import Evacuation
from hollowrack_bench.soak_faults import SoakFault
from hollowrack_bench.soak_kept_connections import PlainOutcome, UnansweredRequest, lost_requests
from hollowrack_bench.soak_plan import SoakPlan
from hollowrack_bench.soak_regions import SoakRegions
from hollowrack_standins.duty_service import DutyServiceCore
from hollowrack_standins.users_platform import WorkerArrival, WorkerRecords

Order = tuple[str, str, int, str, int]


def make_checks() -> tuple[SoakChecks, WorkerRecords, list[str]]:
    """Return checks of an empty soak, the records that they read and their list of violations."""
    records = WorkerRecords()
    violations: list[str] = []
    return SoakChecks(records, violations), records, violations


# Faults that the regression seeds run without; adding one would change what a seed draws.
EXCLUDED_FAULTS = (
    SoakFault.CRASHING_REQUESTS,
    SoakFault.WORKER_RESTARTS,
    SoakFault.WORKER_SLOW,
    SoakFault.FOREIGN_ENTRIES,
    SoakFault.OPEN_CONNECTIONS,
    SoakFault.SIGNAL_SERIES,
    SoakFault.ROLLING_STOP,
    SoakFault.EVACUATE,
    SoakFault.REGION_LINK,
    SoakFault.COLD_RETURN,
    SoakFault.ALLOWED_REGIONS,
)
REGRESSION_FAULTS = tuple(fault for fault in SoakFault if fault not in EXCLUDED_FAULTS)
# Seeds of the regression soaks, with the failure that each one guards against.
SEEDS = {
    1: "no specific failure",
    3: "items were given up when their job moved to a node with an older configuration",
    103: "a process was stopped while loading its code, before it had a signal handler",
    112: "the proxy repeated answers on callers' connections",
    228: "usage counted three requests whose connections returned the answer of another request",
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
SERIES_SEED = 801
SERIES_SOAK_S = 30.0
# The faults that were added later would change what the seed draws.
LATER_FAULTS = frozenset(
    {
        SoakFault.EVACUATE,
        SoakFault.REGION_LINK,
        SoakFault.COLD_RETURN,
        SoakFault.ALLOWED_REGIONS,
    }
)
SERIES_FAULTS = tuple(fault for fault in SoakFault if fault not in LATER_FAULTS)
EVACUATION_SEED = 901
EVACUATION_SOAK_S = 25.0
EVACUATION_FAULTS = (
    SoakFault.EVACUATE,
    SoakFault.EVACUATE,
    SoakFault.KILL,
    SoakFault.STORE_FORGETS,
    SoakFault.ROUTES,
    SoakFault.WORKER_FAILS,
)
REGION_SEED = 901
REGION_SOAK_S = 10.0
REGION_FAULTS = (SoakFault.REGION_LINK,)
DRAWN_LINK_FAULTS_PLAN = SoakPlan(REGION_SOAK_S, REGION_SEED, REGION_FAULTS, num_fault_loops=1)
SILENT_LINKS_PLAN = SoakPlan(REGION_SOAK_S, REGION_SEED, REGION_FAULTS, silences_lookup_links=True)
RESTRICTIONS_PLAN = SoakPlan(
    24.0,
    901,
    (SoakFault.ALLOWED_REGIONS, SoakFault.KILL),
    first_faults=(SoakFault.ALLOWED_REGIONS,),
)
COLD_SEED = 901
COLD_FAULTS = (SoakFault.COLD_RETURN, SoakFault.KILL, SoakFault.FREEZE, SoakFault.STOP)
COLD_SOAK_S = 25.0


async def run_concurrently() -> dict[int, PlatformDemoOutcome]:
    """Run the soaks of all seeds concurrently, since each of them mostly waits."""
    plans = [SoakPlan(SOAK_S, seed, REGRESSION_FAULTS) for seed in sorted(SEEDS)]
    plans.append(SoakPlan(SOAK_S, CRASHING_SEED, CRASHING_FAULTS))
    plans.append(SoakPlan(SOAK_S, WORKERS_SEED, WORKER_FAULTS))
    outcomes = await asyncio.gather(*(run_soak(plan) for plan in plans))
    return {plan.seed: outcome for plan, outcome in zip(plans, outcomes, strict=True)}


def test_short_soaks_violate_no_guarantee() -> None:
    outcomes = asyncio.run(run_concurrently())
    assert {
        seed: outcome.violations for seed, outcome in outcomes.items() if outcome.violations
    } == {}, {seed: outcome.evidence for seed, outcome in outcomes.items()}
    assert all(int(outcome.rows["steps taken"]) > 0 for outcome in outcomes.values())


def test_soak_of_overlapping_series_violates_no_guarantee() -> None:
    """Guards against work lost when signals, restarts and changes follow each other closely."""
    plan = SoakPlan(SERIES_SOAK_S, SERIES_SEED, SERIES_FAULTS, num_fault_loops=4)
    outcome = asyncio.run(run_soak(plan))
    assert outcome.violations == [], outcome.evidence
    assert int(outcome.rows["steps taken"]) > 0


def test_soak_with_evacuations_violates_no_guarantee() -> None:
    """Guards against requests that reach a zone later than 5 s after its evacuation."""
    plan = SoakPlan(
        EVACUATION_SOAK_S,
        EVACUATION_SEED,
        EVACUATION_FAULTS,
        first_faults=(SoakFault.EVACUATE,),
    )
    outcome = asyncio.run(run_soak(plan))
    assert outcome.violations == [], outcome.evidence
    assert int(outcome.rows["zones evacuated"]) > 0


def test_check_of_evacuations_fails_if_nodes_ignore_them(tmp_path: Path) -> None:
    """The check must be able to fail: nodes that read another key keep sending to the zones."""
    source = Path(hollowrack_package.__file__).parent.parent
    changed = tmp_path / "src"
    shutil.copytree(source, changed, ignore=shutil.ignore_patterns("__pycache__"))
    names_file = changed / "hollowrack" / "platform" / "names.py"
    text = names_file.read_text()
    assert text.count('"op/evacuate/"') == 1
    names_file.write_text(text.replace('"op/evacuate/"', '"op/ignored/"'))
    plan = SoakPlan(
        EVACUATION_SOAK_S, EVACUATION_SEED, (SoakFault.EVACUATE,), earlier_source=changed
    )
    outcome = asyncio.run(run_soak(plan))
    assert any("after the evacuation of z" in violation for violation in outcome.violations)


@pytest.mark.parametrize(
    ("at_s", "zone", "is_violation"),
    [
        (14.9, "z1", False),
        (15.1, "z1", True),
        (15.1, "z2", False),
        (19.9, "z1", True),
        (20.1, "z1", False),
        (31.0, "z1", False),
        (34.9, "z1", False),
        (35.1, "z1", True),
    ],
)
def test_late_arrival_in_an_evacuated_zone_is_detected(
    at_s: float, zone: str, is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.arrivals.append(WorkerArrival(at_s, zone, "w1", "plain-1"))
    evacuations = [Evacuation("z1", 10.0, 20.0), Evacuation("z1", 22.0)]
    checks.check_evacuations(evacuations, [(29.0, 31.0)])
    assert bool(violations) is is_violation


@pytest.mark.parametrize("plan", [DRAWN_LINK_FAULTS_PLAN, SILENT_LINKS_PLAN])
def test_requests_stay_in_their_region_while_links_between_regions_fail(plan: SoakPlan) -> None:
    """Guards against requests that wait for a worker behind a slow or cut link.

    One soak at a time: two in one event loop, which also runs their workers and callers, delayed
    answers by up to 1.2 s.
    """
    outcome = asyncio.run(run_soak(plan))
    assert outcome.violations == [], outcome.evidence
    assert int(outcome.rows["steps taken"]) > 0


def remove_regions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the regions from the settings of the nodes of all soaks."""
    settings = SoakRegions.settings

    def without_regions(regions: SoakRegions, node: str) -> dict[str, object]:
        return {"zone": settings(regions, node)["zone"]}

    monkeypatch.setattr(SoakRegions, "settings", without_regions)


def test_nodes_that_know_no_regions_fail_the_check_of_regions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the check of the test above fails if nodes send requests over a silent link.

    A hedged attempt starts after the target latency, so each such request is answered late.
    """
    remove_regions(monkeypatch)
    outcome = asyncio.run(run_soak(SILENT_LINKS_PLAN))
    assert any("not 200 within the target latency" in entry for entry in outcome.violations)


def test_work_stays_in_its_allowed_regions_while_they_change_and_nodes_are_killed() -> None:
    """Guards against requests, items, scorer calls and jobs outside their allowed regions."""
    outcome = asyncio.run(run_soak(RESTRICTIONS_PLAN))
    assert outcome.violations == [], outcome.evidence
    checked = outcome.rows["checked against allowed regions"]
    assert all(f"'{kind}'" in checked for kind in ("item", "owner", "plain", "scorer")), checked
    assert "kill" in outcome.rows["faults"]


def test_nodes_that_know_no_regions_fail_the_check_of_allowed_regions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the check of the test above can fail, with the same seed.

    Such nodes reject the configurations with allowed regions and serve the routes as before.
    """
    remove_regions(monkeypatch)
    outcome = asyncio.run(run_soak(RESTRICTIONS_PLAN))
    assert any(
        entry.startswith("regional-") and "allowed: r" in entry for entry in outcome.violations
    ), outcome.violations


def test_soak_of_cold_workers_violates_no_guarantee() -> None:
    """Guards against cold workers that receive too much while nodes and leaders end and freeze."""
    plan = SoakPlan(
        COLD_SOAK_S,
        COLD_SEED,
        COLD_FAULTS,
        first_faults=(SoakFault.COLD_RETURN, SoakFault.COLD_RETURN),
    )
    outcome = asyncio.run(run_soak(plan))
    assert outcome.violations == [], outcome.evidence
    assert "0 checked" not in outcome.rows["cold workers"]


def test_soak_detects_cold_workers_without_a_limit() -> None:
    """Guards against a check that would pass whatever cold workers receive."""
    plan = SoakPlan(COLD_SOAK_S, COLD_SEED, (SoakFault.COLD_RETURN,), limits_cold_workers=False)
    outcome = asyncio.run(run_soak(plan))
    assert any("in one second while cold" in entry for entry in outcome.violations)


@pytest.mark.parametrize(
    ("executions", "kill_times_s", "is_lost"),
    [
        ({}, {}, False),
        ({"kept-1": 1}, {}, True),
        ({"kept-1": 1}, {"edge-0": [1.5]}, False),
        ({"kept-1": 1}, {"edge-0": [0.5, 2.5], "edge-1": [1.5]}, True),
    ],
)
def test_started_request_without_answer_is_lost_unless_its_node_was_killed(
    executions: dict[str, int], kill_times_s: dict[str, list[float]], is_lost: bool
) -> None:
    request = UnansweredRequest("kept-1", "edge-0", 1.0, 2.0)
    assert bool(lost_requests([request], executions, kill_times_s)) is is_lost


@pytest.mark.parametrize(("num_lost", "is_violation"), [(3, False), (4, True)])
def test_requests_lost_at_closed_connections_are_detected(
    num_lost: int, is_violation: bool
) -> None:
    checks, _, violations = make_checks()
    checks.check_kept_connections([UnansweredRequest("kept-1", "edge-0", 1.0, 2.0)] * num_lost)
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("plan", "place"),
    [
        (SoakPlan(1.0, 1, num_edges=0), "--nodes"),
        (SoakPlan(1.0, 1, num_edges=1000), "--nodes"),
        (SoakPlan(1.0, 1, faults=()), "--faults"),
        (SoakPlan(1.0, 1, num_fault_loops=0), "--overlap"),
        (SoakPlan(-1.0, 1), "--seconds"),
        (SoakPlan(1.0, -1), "--seconds"),
    ],
)
def test_plan_out_of_bounds_is_rejected(plan: SoakPlan, place: str) -> None:
    with pytest.raises(ProblemError) as raised:
        asyncio.run(run_soak(plan))
    assert raised.value.problem.code is ResultCode.USAGE
    assert place in raised.value.problem.place


def test_each_run_gets_its_own_log_folder(tmp_path: Path) -> None:
    plan = SoakPlan(1.0, 7, folder=tmp_path)
    folders = [plan.new_log_folder() for _ in range(3)]
    assert len(set(folders)) == 3
    assert all(folder is not None and folder.is_dir() for folder in folders)
    assert SoakPlan(1.0, 7).new_log_folder() is None


def test_unknown_fault_is_rejected_with_the_known_names() -> None:
    result = CliRunner().invoke(hollowrack, ["platform-soak", "--faults", "kill,flood"])
    assert result.exit_code != 0
    assert "flood" in result.output
    assert "store-link" in result.output


@pytest.mark.parametrize(
    ("failures", "waited_s", "is_violation"),
    [
        ({}, 39.0, True),
        ({}, 41.0, False),
        ({"step-1.3": 2}, 1.0, True),
        ({"step-1.3": 3}, 1.0, False),
        ({"step-1.score-3": 3}, 1.0, False),
        ({"step-1.4": 3}, 1.0, True),
    ],
)
def test_item_given_up_without_reason_is_detected(
    failures: dict[str, int], waited_s: float, is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.failures.update(failures)
    checks.check_given_up("step-1.3", waited_s)
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("orders", "is_violation"),
    [
        ([("w1", "a", 3, "m", 2), ("w2", "a", 3, "m", 2), ("w1", "b", 9, "m", 3)], False),
        ([("w1", "a", 3, "m", 2), ("w1", "b", 3, "m", 3)], True),
        ([("w1", "b", 9, "m", 2), ("w1", "a", 3, "m", 3)], True),
    ],
)
def test_orders_of_two_holders_or_an_older_fencing_token_are_detected(
    orders: list[Order], is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.orders.extend(orders)
    checks.check_orders()
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("num_runs", "is_refused", "is_violation"),
    [(0, True, False), (1, False, False), (2, False, True), (1, True, True)],
)
def test_unsafe_requests_that_run_twice_or_after_refusal_are_detected(
    num_runs: int, is_refused: bool, is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.executions["once-1"] = num_runs
    if is_refused:
        checks.refused_unsafe.add("once-1")
    checks.check_unsafe()
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("request_id", "headers", "is_violation"),
    [
        ("plain-1", {"tenant": "ana"}, False),
        ("step-1.score-1", {}, False),
        ("plain-1", {"tenant": "bob"}, True),
        ("plain-1", {}, True),
        ("step-1.score-1", {"tenant": "ana"}, True),
        ("plain-1", {"tenant": "ana", "authorization": "Bearer key-of-ana"}, True),
    ],
)
def test_wrong_tenant_and_keys_sent_to_workers_are_detected(
    request_id: str, headers: dict[str, str], is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.headers[request_id] = headers
    checks.check_tenants()
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("sent_s", "is_undisturbed", "num_runs", "is_violation"),
    [
        (5.0, True, 4, False),
        (6.5, True, 4, True),
        (6.5, True, 3, False),
        (6.5, False, 9, False),
    ],
)
def test_request_that_keeps_crashing_workers_is_detected(
    sent_s: float, is_undisturbed: bool, num_runs: int, is_violation: bool
) -> None:
    checks, records, violations = make_checks()
    records.crashes.extend((b"crashing-1", at_s) for at_s in (1.0, 2.0, 3.0))
    records.executions["crash-7"] = num_runs
    checks.check_crashing([CrashingAttempt("crash-7", b"crashing-1", sent_s, is_undisturbed)])
    assert bool(violations) is is_violation


@pytest.mark.parametrize(
    ("path", "status", "latency_s", "crossing_s", "is_violation"),
    [
        ("/prices/x", 200, 0.99, 5.1, False),
        ("/prices/x", 200, 1.01, 5.1, True),
        ("/prices/x", 200, 1.01, None, False),
        ("/prices/x", 200, 1.20, 6.01, False),
        ("/once/x", 200, 1.01, 5.1, False),
        ("/prices/x", 503, 0.1, None, True),
        ("/prices/x", 0, 0.1, None, True),
        ("/prices/x", 0, 8.0, 5.1, True),
    ],
)
def test_late_and_failed_plain_requests_are_detected(
    path: str, status: int, latency_s: float, crossing_s: float | None, is_violation: bool
) -> None:
    checks, _, violations = make_checks()
    checks.plain_outcomes.append(PlainOutcome("plain-1", "edge-0", "/prices/x", 200, 5.0, 0.1))
    checks.plain_outcomes.append(PlainOutcome("plain-2", "edge-1", path, status, 5.0, latency_s))
    crossing_times_s = {} if crossing_s is None else {"plain-2": crossing_s}
    checks.check_target_latency({"/prices/": 1.0, "/once/": 2.0}, crossing_times_s)
    assert [entry.partition(":")[0] for entry in violations] == ["plain-2"] * is_violation


def test_plain_requests_are_counted_by_the_region_of_their_worker() -> None:
    """Guards against wrong figures in the report of a soak, also after restarts of workers."""
    checks, _, _ = make_checks()
    checks.record_regions("edge-0", b"plain-1 by price-0")
    checks.record_regions("edge-1", b"plain-2 by price-0.3")
    assert (checks.num_near, checks.num_far) == (1, 1)


def test_usage_may_exceed_started_requests_by_ambiguous_attempts() -> None:
    for num_ambiguous, is_violation in ((0, True), (1, False)):
        checks, records, violations = make_checks()
        records.executions.update({"plain-1": 1})
        service = DutyServiceCore()
        service.reports = {1: {"ana": 2}}
        checks.check_duties(service, num_ambiguous)
        assert bool(violations) is is_violation


def test_ambiguous_attempts_are_counted_from_logs() -> None:
    lines = [
        "request q1: worker w1: no answer in time",
        "request q2: worker w1: the answer belongs to another request",
        "request q3: [400 OUTCOME_UNKNOWN] at q3: the deadline has passed (w1: no answer yet)",
        "request q4: worker w1: status 500",
        "item i1 of job j1: 6 events",
    ]
    assert count_ambiguous_attempts(lines) == 3


@pytest.mark.parametrize(
    ("reports", "violations", "is_violation"),
    [
        ({1: {"ana": 2}, 2: {}}, [], False),
        ({1: {"ana": 2}, 2: {"ana": 1}}, [], True),
        ({1: {"bob": 1}}, [], True),
        ({}, ["two reports of a window"], True),
    ],
)
def test_usage_without_executions_and_invalid_duty_calls_are_detected(
    reports: dict[int, dict[str, int]], violations: list[str], is_violation: bool
) -> None:
    checks, records, violations_found = make_checks()
    records.executions.update({"plain-1": 1, "once-1": 1, "step-1.3": 5})
    service = DutyServiceCore()
    service.reports = reports
    service.violations = violations
    checks.check_duties(service)
    assert bool(violations_found) is is_violation


def test_interrupted_soak_leaves_no_process_running(monkeypatch: pytest.MonkeyPatch) -> None:
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
