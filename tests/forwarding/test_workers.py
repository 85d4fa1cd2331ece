"""Guards against runs placed at slow or full workers, and against leaked state of removed ones."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest

from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.forwarding.workers import MAX_BUSY_BACKOFF_S, WorkerDirectory
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_directory, make_worker

FAST_S = 0.04
SLOW_S = 0.052


def make_directory_with_intervals(
    intervals_s: dict[str, float], capacity: int = 4
) -> WorkerDirectory:
    directory = make_directory(*(make_worker(name, capacity=capacity) for name in intervals_s))
    for name, interval_s in intervals_s.items():
        for _ in range(8):
            directory.record_latency(make_worker(name), interval_s)
    return directory


def place_run(directory: WorkerDirectory) -> str | None:
    worker = directory.choose_for_run("svc", (), lambda _: True)
    if worker is None:
        return None
    directory.reserve_slot(worker)
    return worker.id


def test_fast_workers_are_filled_first() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals(
            {"slow": SLOW_S, "f1": FAST_S, "f2": FAST_S * 1.02}
        )
        first = [place_run(directory) for _ in range(8)]
        assert Counter(first) == {"f1": 4, "f2": 4}
        assert [place_run(directory) for _ in range(4)] == ["slow"] * 4
        assert place_run(directory) is None

    run_virtual(main())


def test_equal_workers_are_filled_evenly() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals({"f1": FAST_S, "f2": FAST_S * 1.05})
        assert Counter(place_run(directory) for _ in range(6)) == {"f1": 3, "f2": 3}

    run_virtual(main())


def test_event_interval_expires_slowly_while_worker_is_idle() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals({"slow": SLOW_S, "fast": FAST_S})
        await asyncio.sleep(8.0)
        assert [place_run(directory) for _ in range(4)] == ["fast"] * 4
        await asyncio.sleep(120.0)
        assert place_run(directory) == "slow"

    run_virtual(main())


def test_unknown_worker_is_used() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals({"slow": SLOW_S, "fast": FAST_S})
        directory.update(make_worker("new"))
        assert Counter(place_run(directory) for _ in range(8)) == {"fast": 4, "new": 4}

    run_virtual(main())


def test_time_saved_is_relative_to_present_workers() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals({"slow": SLOW_S, "fast": FAST_S})
        slow = make_worker("slow")
        assert directory.time_saved_s(slow, None, 100) == pytest.approx(100 * (SLOW_S - FAST_S))
        assert directory.time_saved_s(make_worker("fast"), None, 100) == 0.0
        directory.remove("fast")
        assert directory.time_saved_s(slow, None, 100) == 0.0
        unknown = make_worker("unknown")
        assert directory.time_saved_s(unknown, slow, 100) == 0.0

    run_virtual(main())


def test_full_or_ineligible_worker_receives_no_run() -> None:
    async def main() -> None:
        directory = make_directory_with_intervals({"fast": FAST_S, "slow": SLOW_S}, capacity=1)

        def is_slow(worker: Worker) -> bool:
            return worker.id == "slow"

        chosen = directory.choose_for_run("svc", (), is_slow)
        assert chosen is not None
        directory.reserve_slot(chosen)
        assert directory.choose_for_run("svc", (), is_slow) is None
        assert directory.choose_for_run("svc", (WorkerIncarnation("fast"),), lambda _: True) is None
        assert place_run(directory) == "fast"

    run_virtual(main())


def test_observations_end_with_last_request_of_removed_worker() -> None:
    async def main() -> None:
        directory = make_directory(make_worker("w0"), make_worker("w1"))
        old_incarnation = make_worker("w0")
        directory.reserve_slot(old_incarnation)
        directory.update(replace(old_incarnation, started_ms=7))
        directory.record_failure(old_incarnation)
        directory.release_slot(old_incarnation)
        directory.reserve_slot(make_worker("w1"))
        directory.remove("w1")
        directory.record_failure(make_worker("w1"))
        directory.release_slot(make_worker("w1"))
        assert directory.loads.num_known == 0

    run_virtual(main())


def test_latencies_of_plain_requests_do_not_make_a_worker_slow_for_streams() -> None:
    """A worker that answers plain requests as well looked slow, and streams left it."""

    async def main() -> None:
        directory = make_directory_with_intervals({"w1": FAST_S, "w2": FAST_S})
        for _ in range(20):
            directory.record_latency(make_worker("w1"), 20 * FAST_S, "plain")
        assert not directory.is_much_slower(make_worker("w1"))

    run_virtual(main())


def test_worker_that_refuses_requests_for_hours_causes_no_error() -> None:
    """Guards against an exponent of the backoff that grows beyond the range of floats."""

    async def main() -> None:
        worker = make_worker("w")
        directory = make_directory(worker)
        for _ in range(1100):
            directory.record_busy(worker)
            await asyncio.sleep(MAX_BUSY_BACKOFF_S)
        directory.record_busy(worker)
        assert not directory.has_room(worker)
        await asyncio.sleep(MAX_BUSY_BACKOFF_S)
        assert directory.has_room(worker)

    run_virtual(main())
