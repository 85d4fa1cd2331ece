"""Guards against late or failed look-ups when workers slow down, stall or are overloaded."""

import pytest

from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.plain_load import (
    NUM_WORKERS,
    TARGET_S,
    WORK_S,
    Change,
    PlainLoad,
    changing_speeds,
    hot_burst,
    many_owners,
    one_silent,
    one_slower,
    overload,
    scorer_bursts,
    two_much_slower,
)

NUM_NODES = 20
LOOKUPS_PER_S = 80.0
DURATION_S = 15.0


def simulate(change: Change, seed: int = 1, tells_load: bool = False) -> PlainLoad:
    async def main() -> PlainLoad:
        load = PlainLoad(NUM_NODES, seed)
        for behaviour in load.back_ends.behaviours.values():
            behaviour.reports_load = tells_load
        await load.run(DURATION_S, LOOKUPS_PER_S, [change])
        return load

    load = run_virtual(main())
    assert sum(load.back_ends.running.values()) == 0
    return load


def simulate_without_failures(change: Change, seed: int = 1, tells_load: bool = False) -> PlainLoad:
    load = simulate(change, seed, tells_load)
    assert load.lookups.failures == []
    assert load.scorer_calls.failures == []
    return load


def test_slow_worker_receives_fewer_requests_until_it_recovers() -> None:
    load = simulate_without_failures(one_slower)
    assert load.fraction_at("w1", 5.5, 10.0) < 0.6 / NUM_WORKERS
    assert load.fraction_at("w1", 13.0, 15.0) > 0.6 / NUM_WORKERS
    assert load.lookups.fraction_over(TARGET_S) == 0.0


def test_two_much_slower_workers_delay_few_requests() -> None:
    load = simulate_without_failures(two_much_slower)
    assert load.lookups.fraction_over(TARGET_S) < 0.05
    assert load.attempts_per_request < 1.05


def test_rapidly_changing_speeds_cause_no_hedged_attempts() -> None:
    load = simulate_without_failures(changing_speeds)
    assert load.lookups.fraction_over(TARGET_S) == 0.0
    assert load.back_ends.num_cancelled == 0


def test_unresponsive_worker_delays_about_one_request_per_node() -> None:
    load = simulate_without_failures(one_silent)
    assert load.back_ends.num_cancelled <= 1.5 * NUM_NODES
    # The target latency plus the latency of another worker.
    assert max(load.lookups.latencies_s) < 0.25 + 2.0 * WORK_S


def test_concurrent_scorer_calls_do_not_delay_lookups() -> None:
    load = simulate_without_failures(scorer_bursts)
    assert load.lookups.fraction_over(TARGET_S) == 0.0
    assert load.lookups.quantile_s(0.99) < 3.0 * WORK_S
    # Each burst ends before the next one starts.
    assert max(load.scorer_queue_waits_s) < 1.0


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_of_lookups_is_served_within_target_latency(seed: int) -> None:
    load = simulate_without_failures(hot_burst, seed)
    assert load.lookups.fraction_over(TARGET_S) == 0.0
    assert load.back_ends.num_cancelled == 0


def test_scorer_calls_of_many_nodes_delay_few_lookups_if_workers_report_load() -> None:
    load = simulate_without_failures(many_owners, tells_load=True)
    assert load.lookups.fraction_over(TARGET_S) < 0.05
    assert load.lookups.quantile_s(0.99) < 2.0 * TARGET_S


def test_overload_refuses_requests_before_they_are_sent() -> None:
    load = simulate(overload, tells_load=True)
    problems = [outcome for outcome in load.lookups.failures if isinstance(outcome, Problem)]
    refused = [problem for problem in problems if problem.code is ResultCode.OVERLOADED]
    assert all(load.back_ends.executions[problem.place] == 0 for problem in refused)
    assert all(problem.retry_after_s is not None for problem in refused)
    assert len(refused) > 0.8 * len(load.lookups.failures)
    # The workers can serve a quarter of the load during the overload, and about as much again
    # before its last requests time out.
    assert len(load.lookups.latencies_s) > 0.45 * (len(load.lookups.latencies_s) + len(problems))
