"""Guards against queueing requests that cannot be answered in time, and refusing ones that can."""

import random

import pytest

from hollowrack.forwarding.load_shedding import (
    MAX_JITTER_FACTOR,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    LoadShedder,
)
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_route, make_worker

LATENCY_S = 0.1
NUM_SLOTS = 4
ROUTE = make_route(target_latency_s=0.15)
WORKERS = [make_worker(f"w{index}", capacity=NUM_SLOTS) for index in range(2)]


def make_loaded_directory(nums_in_flight: tuple[int, int]) -> WorkerDirectory:
    directory = make_directory(*WORKERS)
    for worker, num_in_flight in zip(WORKERS, nums_in_flight, strict=True):
        directory.record_latency(worker, LATENCY_S, ROUTE.name)
        for _ in range(num_in_flight):
            directory.reserve_slot(worker)
    return directory


def check(directory: WorkerDirectory, time_left_s: float, seed: int = 1) -> Problem | None:
    shedder = LoadShedder(directory, random.Random(seed))
    return shedder.check("q1", ROUTE, "svc", time_left_s)


def test_nothing_is_refused_without_known_latencies() -> None:
    async def main() -> None:
        directory = make_directory(*WORKERS)
        for _ in range(1000):
            directory.reserve_slot(WORKERS[0])
            directory.reserve_slot(WORKERS[1])
        assert check(directory, 0.01) is None
        assert check(make_directory(), 0.01) is None

    run_virtual(main())


def test_request_is_sent_if_a_slot_is_free() -> None:
    async def main() -> None:
        directory = make_loaded_directory((1000, NUM_SLOTS - 1))
        directory.record_failure(WORKERS[1])
        assert check(directory, 0.01) is None

    run_virtual(main())


def test_request_is_sent_if_one_worker_is_fast_enough() -> None:
    async def main() -> None:
        assert check(make_loaded_directory((1000, 0)), 1.0) is None
        assert check(make_loaded_directory((1000, 35)), 1.0) is None
        assert check(make_loaded_directory((1000, 44)), 1.0) is not None

    run_virtual(main())


def test_refusal_reports_not_run_and_retry_time() -> None:
    async def main() -> None:
        directory = make_loaded_directory((100, 79))
        retry_times_s = set()
        for seed in range(50):
            problem = check(directory, 1.0, seed)
            assert problem is not None
            assert problem.code is ResultCode.OVERLOADED
            assert DESCRIPTIONS[problem.code].execution is Execution.NOT_RUN
            assert problem.retry_after_s is not None
            retry_times_s.add(problem.retry_after_s)
        needed_s = 80 / NUM_SLOTS * LATENCY_S - ROUTE.target_latency_s
        assert min(retry_times_s) >= needed_s - 0.01
        assert max(retry_times_s) <= MAX_JITTER_FACTOR * needed_s + 0.01
        assert len(retry_times_s) > 20

    run_virtual(main())


@pytest.mark.parametrize(
    ("num_in_flight", "time_left_s", "min_s", "max_s"),
    [
        (NUM_SLOTS, 0.05, MIN_RETRY_AFTER_S, MAX_JITTER_FACTOR * MIN_RETRY_AFTER_S),
        (4000, 1.0, MAX_RETRY_AFTER_S, MAX_RETRY_AFTER_S),
    ],
)
def test_retry_time_is_bounded(
    num_in_flight: int, time_left_s: float, min_s: float, max_s: float
) -> None:
    async def main() -> None:
        problem = check(make_loaded_directory((num_in_flight, num_in_flight)), time_left_s)
        assert problem is not None
        assert problem.retry_after_s is not None
        assert min_s - 0.01 <= problem.retry_after_s <= max_s + 0.01

    run_virtual(main())
