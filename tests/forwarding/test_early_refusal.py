"""Load: more requests than the workers can do; those that cannot be answered in time are told."""

import random

import pytest

from hollowrack.forwarding.load_shedding import (
    MAX_JITTER,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    LoadShedder,
)
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_route, make_worker

ANSWER_S = 0.1
NUM_SLOTS = 4
ROUTE = make_route(target_latency_s=0.15)
WORKERS = [make_worker(f"w{index}", capacity=NUM_SLOTS) for index in range(2)]


def crowded(nums_in_flight: tuple[int, int]) -> WorkerDirectory:
    directory = make_directory(*WORKERS)
    for worker, num_in_flight in zip(WORKERS, nums_in_flight, strict=True):
        directory.record_latency(worker, ANSWER_S, ROUTE.name)
        for _ in range(num_in_flight):
            directory.reserve_slot(worker)
    return directory


def ask(directory: WorkerDirectory, time_left_s: float, seed: int = 1) -> Problem | None:
    refusal = LoadShedder(directory, random.Random(seed))
    return refusal.check("q1", ROUTE, "svc", time_left_s)


def test_nothing_is_refused_while_nothing_is_known() -> None:
    async def main() -> None:
        directory = make_directory(*WORKERS)
        for _ in range(1000):
            directory.reserve_slot(WORKERS[0])
            directory.reserve_slot(WORKERS[1])
        assert ask(directory, 0.01) is None
        assert ask(make_directory(), 0.01) is None

    run_virtual(main())


def test_a_request_that_finds_a_free_slot_is_sent_however_late_it_is() -> None:
    async def main() -> None:
        directory = crowded((1000, NUM_SLOTS - 1))
        directory.record_failure(WORKERS[1])
        assert ask(directory, 0.01) is None

    run_virtual(main())


def test_one_worker_that_is_soon_enough_suffices() -> None:
    async def main() -> None:
        assert ask(crowded((1000, 0)), 1.0) is None
        assert ask(crowded((1000, 35)), 1.0) is None
        assert ask(crowded((1000, 44)), 1.0) is not None

    run_virtual(main())


def test_the_refusal_says_not_run_and_when_the_queue_is_done() -> None:
    async def main() -> None:
        directory = crowded((100, 79))
        times_s = set()
        for seed in range(50):
            problem = ask(directory, 1.0, seed)
            assert problem is not None
            assert problem.code is ResultCode.OVERLOADED
            assert DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
            assert problem.retry_after_s is not None
            times_s.add(problem.retry_after_s)
        needed_s = 80 / NUM_SLOTS * ANSWER_S - ROUTE.target_latency_s
        assert min(times_s) >= needed_s - 0.01
        assert max(times_s) <= MAX_JITTER * needed_s + 0.01
        assert len(times_s) > 20

    run_virtual(main())


@pytest.mark.parametrize(
    ("num_in_flight", "time_left_s", "least_s", "most_s"),
    [
        (NUM_SLOTS, 0.05, MIN_RETRY_AFTER_S, MAX_JITTER * MIN_RETRY_AFTER_S),
        (4000, 1.0, MAX_RETRY_AFTER_S, MAX_RETRY_AFTER_S),
    ],
)
def test_the_time_to_come_back_is_bounded(
    num_in_flight: int, time_left_s: float, least_s: float, most_s: float
) -> None:
    async def main() -> None:
        problem = ask(crowded((num_in_flight, num_in_flight)), time_left_s)
        assert problem is not None
        assert problem.retry_after_s is not None
        assert least_s - 0.01 <= problem.retry_after_s <= most_s + 0.01

    run_virtual(main())
