"""Which worker a plain request goes to, by what one node has seen of all of them."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from hollowrack.forwarding.back_end import LoadReport
from hollowrack.forwarding.types import Worker
from hollowrack.forwarding.worker_load import MAX_ROUTES, WorkerLoads
from hollowrack_bench.virtual_time import run_virtual
from tests.forwarding.helpers import make_worker

USUAL_S = 0.025
NUM_CHOICES = 400


class Choosing:
    """Four workers, and the requests in flight there."""

    def __init__(self, zone: str = "z1") -> None:
        self.workers = [make_worker(f"w{index}", capacity=6) for index in range(4)]
        self.in_flight: Counter[str] = Counter()
        self.loads = WorkerLoads(zone, random.Random(1), lambda worker: self.in_flight[worker.id])

    def shares(self) -> list[float]:
        """Share of the choices that each worker gets."""
        chosen = [self.loads.choose(self.workers) for _ in range(NUM_CHOICES)]
        counts = Counter(worker.id for worker in chosen if worker is not None)
        return [counts[worker.id] / NUM_CHOICES for worker in self.workers]

    def note(self, time_s: Callable[[Worker], float], num_answers: int = 20) -> None:
        for _ in range(num_answers):
            for worker in self.workers:
                self.loads.record_answer(worker, "r", time_s(worker))


def test_workers_that_nothing_is_known_of_get_equal_shares() -> None:
    async def main() -> None:
        assert all(share == pytest.approx(0.25, abs=0.07) for share in Choosing().shares())

    run_virtual(main())


@pytest.mark.parametrize("factor", [3.5, 6.0])
def test_a_slower_worker_is_left_alone_and_comes_back_once_it_is_fast(factor: float) -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.note(lambda _: USUAL_S)
        choosing.note(lambda worker: factor * USUAL_S if worker.id == "w1" else USUAL_S, 3)
        assert choosing.shares()[1] <= 0.02
        await asyncio.sleep(20.0)
        assert choosing.shares()[1] >= 0.15

    run_virtual(main())


def test_one_answer_of_a_slow_worker_is_enough_for_a_node_that_sees_few() -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.note(lambda _: USUAL_S, 2)
        choosing.loads.record_answer(choosing.workers[1], "r", 6.0 * USUAL_S)
        assert choosing.shares()[1] <= 0.1

    run_virtual(main())


def test_speeds_that_change_with_each_answer_are_not_chased() -> None:
    async def main() -> None:
        choosing = Choosing()
        rng = random.Random(2)
        taken: Counter[str] = Counter()
        for _ in range(40):
            choosing.note(lambda _: USUAL_S * rng.uniform(0.8, 3.0), 1)
            await asyncio.sleep(0.1)
            taken.update({str(n): share for n, share in enumerate(choosing.shares())})  # type: ignore[dict-item]
        assert all(taken[str(n)] / 40 >= 0.15 for n in range(4))

    run_virtual(main())


def test_longer_work_of_another_route_does_not_make_a_worker_slow() -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.note(lambda _: USUAL_S)
        for _ in range(20):
            choosing.loads.record_answer(choosing.workers[1], "scorer", 8.0 * USUAL_S)
        assert choosing.shares()[1] >= 0.15

    run_virtual(main())


@pytest.mark.parametrize("tell", ["late", "failure"])
def test_a_late_or_failed_request_is_told_apart_at_once(tell: str) -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.note(lambda _: USUAL_S)
        if tell == "late":
            choosing.loads.record_late(choosing.workers[1], "r", 0.15)
        else:
            choosing.loads.record_failure(choosing.workers[1])
        assert choosing.shares()[1] <= 0.05
        await asyncio.sleep(20.0)
        assert choosing.shares()[1] >= 0.15

    run_virtual(main())


def test_another_life_of_a_worker_begins_as_unknown() -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.loads.record_failure(choosing.workers[1])
        choosing.workers[1] = replace(choosing.workers[1], started_ms=7)
        assert choosing.shares()[1] >= 0.15

    run_virtual(main())


def test_a_worker_full_of_requests_of_others_is_left_alone_while_its_report_is_fresh() -> None:
    async def main() -> None:
        choosing = Choosing()
        choosing.in_flight["w1"] = 2
        choosing.loads.record_report(choosing.workers[1], LoadReport(6, 12))
        assert choosing.shares()[1] <= 0.02
        await asyncio.sleep(3.0)
        choosing.in_flight["w1"] = 0
        assert choosing.shares()[1] >= 0.15

    run_virtual(main())


def test_near_workers_are_preferred_between_equals_only() -> None:
    async def main() -> None:
        choosing = Choosing()
        others = [replace(worker, zone="z2") for worker in choosing.workers[1:]]
        choosing.workers[1:] = others
        assert choosing.shares()[0] == 1.0
        choosing.in_flight["w0"] = 6
        assert choosing.shares()[0] <= 0.02
        choosing.in_flight["w0"] = 0
        choosing.note(lambda _: USUAL_S)
        choosing.note(lambda worker: 6.0 * USUAL_S if worker.id == "w0" else USUAL_S, 3)
        assert choosing.shares()[0] <= 0.02

    run_virtual(main())


def test_the_time_of_an_answer_grows_with_what_is_in_flight() -> None:
    async def main() -> None:
        choosing = Choosing()
        worker = choosing.workers[0]
        assert choosing.loads.expected_time_s(worker, "r") is None
        choosing.note(lambda _: USUAL_S)
        assert choosing.loads.expected_time_s(worker, "r") == pytest.approx(USUAL_S)
        assert choosing.loads.has_room(worker)
        choosing.in_flight["w0"] = 17
        assert choosing.loads.expected_time_s(worker, "r") == pytest.approx(3.0 * USUAL_S)
        assert not choosing.loads.has_room(worker)

    run_virtual(main())


def test_routes_are_remembered_up_to_a_bound() -> None:
    async def main() -> None:
        choosing = Choosing()
        worker = choosing.workers[0]
        for number in range(MAX_ROUTES + 1):
            choosing.loads.record_answer(worker, f"r{number}", USUAL_S)
        assert choosing.loads.expected_time_s(worker, "r0") is None
        assert choosing.loads.expected_time_s(worker, f"r{MAX_ROUTES}") is not None

    run_virtual(main())


def test_without_workers_there_is_no_choice() -> None:
    async def main() -> None:
        choosing = Choosing()
        one: Sequence[Worker] = choosing.workers[:1]
        assert choosing.loads.choose([]) is None
        assert choosing.loads.choose(one) is choosing.workers[0]

    run_virtual(main())
