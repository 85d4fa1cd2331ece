"""Guards against choosing slow, failed or full workers, and against avoiding them for ever."""

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

TYPICAL_LATENCY_S = 0.025
NUM_CHOICES = 400


class Choices:
    """Four workers with given numbers of requests in flight."""

    def __init__(self, zone: str = "z1") -> None:
        self.workers = [make_worker(f"w{index}", capacity=6) for index in range(4)]
        self.in_flight: Counter[str] = Counter()
        self.loads = WorkerLoads(zone, random.Random(1), lambda worker: self.in_flight[worker.id])

    def fractions(self) -> list[float]:
        """Fraction of the choices that each worker receives."""
        chosen = [self.loads.choose(self.workers) for _ in range(NUM_CHOICES)]
        counts = Counter(worker.id for worker in chosen if worker is not None)
        return [counts[worker.id] / NUM_CHOICES for worker in self.workers]

    def record(self, latency_s: Callable[[Worker], float], num_answers: int = 20) -> None:
        for _ in range(num_answers):
            for worker in self.workers:
                self.loads.record_answer(worker, "r", latency_s(worker))


def test_unknown_workers_receive_equal_fractions() -> None:
    async def main() -> None:
        assert all(fraction == pytest.approx(0.25, abs=0.07) for fraction in Choices().fractions())

    run_virtual(main())


@pytest.mark.parametrize("factor", [3.5, 6.0])
def test_slow_worker_is_avoided_and_tried_again_later(factor: float) -> None:
    async def main() -> None:
        choices = Choices()
        choices.record(lambda _: TYPICAL_LATENCY_S)
        choices.record(
            lambda worker: factor * TYPICAL_LATENCY_S if worker.id == "w1" else TYPICAL_LATENCY_S, 3
        )
        assert choices.fractions()[1] <= 0.02
        await asyncio.sleep(20.0)
        assert choices.fractions()[1] >= 0.15

    run_virtual(main())


def test_one_slow_answer_suffices_with_few_samples() -> None:
    async def main() -> None:
        choices = Choices()
        choices.record(lambda _: TYPICAL_LATENCY_S, 2)
        choices.loads.record_answer(choices.workers[1], "r", 6.0 * TYPICAL_LATENCY_S)
        assert choices.fractions()[1] <= 0.1

    run_virtual(main())


def test_rapidly_changing_latencies_do_not_exclude_workers() -> None:
    async def main() -> None:
        choices = Choices()
        rng = random.Random(2)
        totals: Counter[str] = Counter()
        for _ in range(40):
            choices.record(lambda _: TYPICAL_LATENCY_S * rng.uniform(0.8, 3.0), 1)
            await asyncio.sleep(0.1)
            totals.update({str(n): fraction for n, fraction in enumerate(choices.fractions())})  # type: ignore[dict-item]
        assert all(totals[str(n)] / 40 >= 0.15 for n in range(4))

    run_virtual(main())


def test_latencies_of_routes_are_compared_separately() -> None:
    async def main() -> None:
        choices = Choices()
        choices.record(lambda _: TYPICAL_LATENCY_S)
        for _ in range(20):
            choices.loads.record_answer(choices.workers[1], "scorer", 8.0 * TYPICAL_LATENCY_S)
        assert choices.fractions()[1] >= 0.15

    run_virtual(main())


@pytest.mark.parametrize("observation", ["late", "failure"])
def test_late_or_failed_request_takes_effect_at_once(observation: str) -> None:
    async def main() -> None:
        choices = Choices()
        choices.record(lambda _: TYPICAL_LATENCY_S)
        if observation == "late":
            choices.loads.record_late(choices.workers[1], "r", 0.15)
        else:
            choices.loads.record_failure(choices.workers[1])
        assert choices.fractions()[1] <= 0.05
        await asyncio.sleep(20.0)
        assert choices.fractions()[1] >= 0.15

    run_virtual(main())


def test_new_incarnation_starts_without_observations() -> None:
    async def main() -> None:
        choices = Choices()
        choices.loads.record_failure(choices.workers[1])
        choices.workers[1] = replace(choices.workers[1], started_ms=7)
        assert choices.fractions()[1] >= 0.15

    run_virtual(main())


def test_load_report_is_used_until_it_expires() -> None:
    async def main() -> None:
        choices = Choices()
        choices.in_flight["w1"] = 2
        choices.loads.record_report(choices.workers[1], LoadReport(6, 12))
        assert choices.fractions()[1] <= 0.02
        await asyncio.sleep(3.0)
        choices.in_flight["w1"] = 0
        assert choices.fractions()[1] >= 0.15

    run_virtual(main())


def test_local_workers_are_preferred_unless_slower() -> None:
    async def main() -> None:
        choices = Choices()
        others = [replace(worker, zone="z2") for worker in choices.workers[1:]]
        choices.workers[1:] = others
        assert choices.fractions()[0] == 1.0
        choices.in_flight["w0"] = 6
        assert choices.fractions()[0] <= 0.02
        choices.in_flight["w0"] = 0
        choices.record(lambda _: TYPICAL_LATENCY_S)
        choices.record(
            lambda worker: 6.0 * TYPICAL_LATENCY_S if worker.id == "w0" else TYPICAL_LATENCY_S, 3
        )
        assert choices.fractions()[0] <= 0.02

    run_virtual(main())


def test_expected_latency_grows_with_requests_in_flight() -> None:
    async def main() -> None:
        choices = Choices()
        worker = choices.workers[0]
        assert choices.loads.expected_latency_s(worker, "r") is None
        choices.record(lambda _: TYPICAL_LATENCY_S)
        assert choices.loads.expected_latency_s(worker, "r") == pytest.approx(TYPICAL_LATENCY_S)
        assert choices.loads.has_free_slot(worker)
        choices.in_flight["w0"] = 17
        assert choices.loads.expected_latency_s(worker, "r") == pytest.approx(
            3.0 * TYPICAL_LATENCY_S
        )
        assert not choices.loads.has_free_slot(worker)

    run_virtual(main())


def test_number_of_tracked_routes_is_bounded() -> None:
    async def main() -> None:
        choices = Choices()
        worker = choices.workers[0]
        for number in range(MAX_ROUTES + 1):
            choices.loads.record_answer(worker, f"r{number}", TYPICAL_LATENCY_S)
        assert choices.loads.expected_latency_s(worker, "r0") is None
        assert choices.loads.expected_latency_s(worker, f"r{MAX_ROUTES}") is not None

    run_virtual(main())


def test_choice_among_no_workers_or_one() -> None:
    async def main() -> None:
        choices = Choices()
        one: Sequence[Worker] = choices.workers[:1]
        assert choices.loads.choose([]) is None
        assert choices.loads.choose(one) is choices.workers[0]

    run_virtual(main())
