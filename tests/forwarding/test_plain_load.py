"""Look-ups under uneven load, as their callers see them; each test names its load."""

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
RATE = 80.0
SECONDS = 15.0


def play(change: Change, seed: int = 1, tells_load: bool = False) -> PlainLoad:
    async def main() -> PlainLoad:
        load = PlainLoad(NUM_NODES, seed)
        for behaviour in load.back_ends.behaviours.values():
            behaviour.tells_load = tells_load
        await load.run(SECONDS, RATE, [change])
        return load

    load = run_virtual(main())
    assert sum(load.back_ends.running.values()) == 0
    return load


def play_without_failures(change: Change, seed: int = 1, tells_load: bool = False) -> PlainLoad:
    load = play(change, seed, tells_load)
    assert load.lookups.failures == []
    assert load.scorer_calls.failures == []
    return load


def test_a_worker_three_and_a_half_times_slower_gets_less_and_comes_back() -> None:
    load = play_without_failures(one_slower)
    assert load.share_at("w1", 5.5, 10.0) < 0.6 / NUM_WORKERS
    assert load.share_at("w1", 13.0, 15.0) > 0.6 / NUM_WORKERS
    assert load.lookups.share_over(TARGET_S) == 0.0


def test_two_workers_six_times_slower_make_few_requests_late() -> None:
    load = play_without_failures(two_much_slower)
    assert load.lookups.share_over(TARGET_S) < 0.05
    assert load.attempts_per_request < 1.05


def test_speeds_that_change_each_tenth_of_a_second_cause_no_second_attempts() -> None:
    load = play_without_failures(changing_speeds)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.back_ends.num_cut == 0


def test_a_silent_worker_makes_each_node_wait_about_once() -> None:
    load = play_without_failures(one_silent)
    assert load.back_ends.num_cut <= 1.5 * NUM_NODES
    # The target, then an answer of another worker.
    assert max(load.lookups.times_s) < 0.25 + 2.0 * WORK_S


def test_64_scorer_calls_at_once_leave_room_for_lookups() -> None:
    load = play_without_failures(scorer_bursts)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.lookups.quantile_s(0.99) < 3.0 * WORK_S
    # The calls of one burst are over before the next one comes.
    assert max(load.scorer_waits_s) < 1.0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_hot_burst_is_served_within_the_target(seed: int) -> None:
    load = play_without_failures(hot_burst, seed)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.back_ends.num_cut == 0


def test_scorer_calls_of_many_nodes_leave_room_where_workers_tell_their_load() -> None:
    load = play_without_failures(many_owners, tells_load=True)
    assert load.lookups.share_over(TARGET_S) < 0.05
    assert load.lookups.quantile_s(0.99) < 2.0 * TARGET_S


def test_in_an_overload_what_cannot_be_answered_is_refused_before_it_is_sent() -> None:
    load = play(overload, tells_load=True)
    problems = [outcome for outcome in load.lookups.failures if isinstance(outcome, Problem)]
    refused = [problem for problem in problems if problem.code is ResultCode.OVERLOADED]
    assert all(load.back_ends.executions[problem.place] == 0 for problem in refused)
    assert all(problem.retry_after_s is not None for problem in refused)
    assert len(refused) > 0.8 * len(load.lookups.failures)
    # The workers can do a quarter of the surge while it lasts, and as much again before its
    # last requests run out of time.
    assert len(load.lookups.times_s) > 0.45 * (len(load.lookups.times_s) + len(problems))
