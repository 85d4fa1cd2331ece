"""Look-ups under uneven load, as their callers see them; each test names its load."""

import pytest

from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.plain_load import (
    NUM_WORKERS,
    TARGET_S,
    WORK_S,
    Change,
    PlainLoad,
    changing_speeds,
    hot_burst,
    one_silent,
    one_slower,
    scorer_bursts,
    two_much_slower,
)

NUM_NODES = 20
RATE = 80.0
SECONDS = 25.0


def play(change: Change, seed: int = 1) -> PlainLoad:
    async def main() -> PlainLoad:
        load = PlainLoad(NUM_NODES, seed)
        await load.run(SECONDS, RATE, [change])
        return load

    load = run_virtual(main())
    assert load.lookups.failures == []
    assert load.scorer_calls.failures == []
    assert sum(load.back_ends.running.values()) == 0
    return load


def test_a_worker_three_and_a_half_times_slower_gets_less_and_comes_back() -> None:
    load = play(one_slower)
    assert load.share_at("w1", 15.5, 20.0) < 0.6 / NUM_WORKERS
    assert load.share_at("w1", 23.0, 25.0) > 0.6 / NUM_WORKERS
    assert load.lookups.share_over(TARGET_S) == 0.0


def test_two_workers_six_times_slower_make_few_requests_late() -> None:
    load = play(two_much_slower)
    assert load.lookups.share_over(TARGET_S) < 0.05
    assert load.attempts_per_request < 1.05


def test_speeds_that_change_each_tenth_of_a_second_cause_no_second_attempts() -> None:
    load = play(changing_speeds)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.back_ends.num_cut == 0


def test_a_silent_worker_makes_each_node_wait_about_once() -> None:
    load = play(one_silent)
    assert load.back_ends.num_cut <= 1.5 * NUM_NODES
    # The target, then an answer of another worker.
    assert max(load.lookups.times_s) < 0.25 + 2.0 * WORK_S


def test_64_scorer_calls_at_once_leave_room_for_lookups() -> None:
    load = play(scorer_bursts)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.lookups.quantile_s(0.99) < 3.0 * WORK_S
    # The calls of one burst are over before the next one comes.
    assert max(load.scorer_waits_s) < 1.0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_hot_burst_is_served_within_the_target(seed: int) -> None:
    load = play(hot_burst, seed)
    assert load.lookups.share_over(TARGET_S) == 0.0
    assert load.back_ends.num_cut == 0
