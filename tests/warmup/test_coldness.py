"""Guards against workers that count as warm while they are cold, or as cold for ever."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.forwarding.types import Worker
from hollowrack.warmup.coldness import MAX_COLD_S, ColdWorkers
from hollowrack_bench.virtual_time import run_virtual
from tests.warmup.fleet import make_worker

COLD_START_S = 8.0
TIME_OF_DAY_S = 1_000_000.0


def make_cold_workers(cold_start_s: float = COLD_START_S) -> ColdWorkers:
    return ColdWorkers(lambda _: cold_start_s, lambda: TIME_OF_DAY_S)


def started_ago(seconds: float, cold_remaining_s: float | None = None) -> Worker:
    return make_worker("w", cold_remaining_s, int((TIME_OF_DAY_S - seconds) * 1000))


def test_time_of_an_entry_is_counted_down_from_its_arrival() -> None:
    async def main() -> None:
        cold = make_cold_workers()
        worker = make_worker("w", 5.0)
        cold.record_entry(worker, None)
        await asyncio.sleep(2.0)
        assert cold.remaining_s(worker) == pytest.approx(3.0)
        await asyncio.sleep(3.0)
        assert cold.remaining_s(worker) == 0.0

    run_virtual(main())


def test_newer_entry_replaces_the_time_and_the_same_value_starts_anew() -> None:
    """A worker may turn cold again with an entry equal to the one of last time."""

    async def main() -> None:
        cold = make_cold_workers()
        worker = make_worker("w", 5.0)
        cold.record_entry(worker, None)
        cold.record_entry(replace(worker, cold_remaining_s=0.0), worker)
        assert cold.remaining_s(worker) == 0.0
        cold.record_entry(worker, None)
        await asyncio.sleep(6.0)
        cold.record_entry(worker, worker)
        assert cold.remaining_s(worker) == pytest.approx(5.0)

    run_virtual(main())


def test_entry_written_before_an_answer_does_not_end_its_time() -> None:
    async def main() -> None:
        cold = make_cold_workers()
        worker = make_worker("w", 0.0)
        cold.record_answer(worker, 4.0)
        cold.record_entry(worker, None)
        assert cold.remaining_s(worker) == pytest.approx(4.0)
        # Answers may arrive out of order too.
        cold.record_answer(worker, 0.0)
        cold.record_answer(worker, 1.0)
        assert cold.remaining_s(worker) == pytest.approx(4.0)

    run_virtual(main())


def test_times_are_capped() -> None:
    async def main() -> None:
        cold = make_cold_workers()
        cold.record_entry(make_worker("a", 1e9), None)
        cold.record_answer(make_worker("b"), 1e9)
        assert cold.remaining_s(make_worker("a")) == MAX_COLD_S
        assert cold.remaining_s(make_worker("b")) == MAX_COLD_S

    run_virtual(main())


@pytest.mark.parametrize(
    ("age_s", "cold_remaining_s", "expected_s"),
    [
        (0.0, None, 8.0),
        # The clocks of the machines may differ by a second.
        (3.0, None, 6.0),
        (-100.0, None, 8.0),
        (9.5, None, 0.0),
        (0.0, 0.0, 0.0),
        (0.0, 2.0, 2.0),
    ],
)
def test_recent_incarnation_without_a_stated_time_is_cold_from_its_start(
    age_s: float, cold_remaining_s: float | None, expected_s: float
) -> None:
    async def main() -> None:
        cold = make_cold_workers()
        worker = started_ago(age_s, cold_remaining_s)
        cold.record_entry(worker, None)
        assert cold.remaining_s(worker) == pytest.approx(expected_s)

    run_virtual(main())


def test_restart_seen_here_counts_from_now_whatever_the_wall_clock_says() -> None:
    async def main() -> None:
        cold = make_cold_workers()
        first, second = started_ago(5000.0), started_ago(4000.0)
        cold.record_entry(first, None)
        cold.record_entry(second, first)
        assert cold.remaining_s(first) == 0.0
        assert cold.remaining_s(second) == pytest.approx(COLD_START_S)
        await asyncio.sleep(2.0)
        # A later entry, written for another reason, does not restart the time.
        cold.record_entry(replace(second, capacity=9), second)
        assert cold.remaining_s(second) == pytest.approx(COLD_START_S - 2.0)
        # An entry of the earlier incarnation arrives late.
        cold.record_entry(replace(first, cold_remaining_s=100.0), second)
        assert cold.remaining_s(first) == 0.0

    run_virtual(main())


def test_configuration_may_arrive_after_the_entry() -> None:
    async def main() -> None:
        seconds = {"svc": 0.0}
        cold = ColdWorkers(seconds.__getitem__, lambda: TIME_OF_DAY_S)
        worker = started_ago(0.0)
        cold.record_entry(worker, None)
        assert cold.remaining_s(worker) == 0.0
        seconds["svc"] = 8.0
        assert cold.remaining_s(worker) == pytest.approx(8.0)

    run_virtual(main())


def test_unknown_start_counts_as_warm_and_ended_countdowns_are_removed() -> None:
    async def main() -> None:
        cold = make_cold_workers()
        worker = make_worker("w", None, 0)
        cold.record_entry(worker, None)
        assert cold.remaining_s(worker) == 0.0
        cold.record_entry(make_worker("a", 1.0), None)
        assert cold.has_countdowns()
        await asyncio.sleep(MAX_COLD_S + 1.0)
        cold.record_entry(make_worker("b", 0.0), None)
        assert not cold.has_countdowns()

    run_virtual(main())
