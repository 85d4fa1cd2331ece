"""Guards against models with too few workers, and loads on workers that the current step needs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.weights.plan import (
    LoadPlan,
    max_concurrent_loads,
    max_loads_per_version,
    next_loads,
    plan_loads,
)


def make_workers(count: int) -> list[Worker]:
    return [Worker(f"w{index}", "svc", "127.0.0.1:1", "z", 8) for index in range(count)]


def plan_with_all_workers(count: int, models: str = "m") -> LoadPlan:
    workers = tuple(make_workers(count))
    return LoadPlan(dict.fromkeys(models, workers), skips_versions=False)


@pytest.mark.parametrize(
    ("num_workers", "num_models", "num_holders", "skips"),
    [
        (4, 1, 4, False),
        (8, 1, 8, False),
        (12, 1, 12, False),
        (18, 3, 14, True),
        (40, 2, 40, True),
        (2, 3, 2, False),
        (5, 3, 4, True),
        (9, 3, 6, True),
        (5, 8, 2, True),
        (1, 9, 1, True),
        (0, 3, 0, False),
    ],
)
def test_model_has_as_many_workers_as_loads_fit(
    num_workers: int, num_models: int, num_holders: int, skips: bool
) -> None:
    models = [f"m{index}" for index in range(num_models)]
    plan = plan_loads(models, make_workers(num_workers), {})
    assert plan.skips_versions is skips
    assert {len(holders) for holders in plan.holders.values()} == {num_holders}


@given(st.integers(0, 12), st.integers(0, 5))
def test_models_have_equal_numbers_of_distinct_workers(num_workers: int, num_models: int) -> None:
    models = [f"m{index}" for index in range(num_models)]
    plan = plan_loads(models, make_workers(num_workers), {})
    assert set(plan.holders) == set(models)
    assert len({len(holders) for holders in plan.holders.values()}) <= 1
    for holders in plan.holders.values():
        assert len({worker.id for worker in holders}) == len(holders)
        assert len(holders) >= min(2, num_workers)


@pytest.mark.parametrize(
    ("held", "loading", "expected"),
    [
        ({}, {}, {"w0", "w1"}),
        ({(WorkerIncarnation("w0"), "m"): 5}, {}, {"w1", "w2"}),
        ({(WorkerIncarnation("w0"), "m"): 4}, {WorkerIncarnation("w1"): "m"}, {"w2"}),
        ({}, {WorkerIncarnation("w0"): "m", WorkerIncarnation("w1"): "m"}, set()),
        ({}, {WorkerIncarnation("w0"): "other"}, {"w1"}),
        ({(WorkerIncarnation(f"w{n}"), "m"): 5 + n % 2 for n in range(4)}, {}, set()),
    ],
)
def test_outdated_workers_load_two_at_a_time(
    held: dict[tuple[WorkerIncarnation, str], int],
    loading: dict[WorkerIncarnation, str],
    expected: set[str],
) -> None:
    moves = next_loads({"m": 5}, {"m"}, plan_with_all_workers(4), held, loading)
    assert {move.worker.id for move in moves} == expected
    assert all(move.version == 5 for move in moves)


def test_half_of_the_serving_workers_of_a_model_stay_available() -> None:
    workers = make_workers(4)
    plan = LoadPlan({"a": tuple(workers[:2]), "b": tuple(workers[2:])}, skips_versions=False)
    announced = {"a": 3, "b": 3}
    held = {
        (worker.incarnation, model): 2
        for model, holders in plan.holders.items()
        for worker in holders
    }
    moves = next_loads(announced, {"a", "b"}, plan, held, {})
    assert {(move.worker.id, move.model) for move in moves} == {("w0", "a"), ("w2", "b")}
    moves = next_loads(
        announced,
        {"a", "b"},
        plan,
        held | {(WorkerIncarnation("w2"), "b"): 3},
        {WorkerIncarnation("w0"): "a"},
    )
    assert {(move.worker.id, move.model) for move in moves} == {("w3", "b")}


def test_serving_workers_wait_until_model_is_ready_and_others_do_not() -> None:
    plan = plan_with_all_workers(2, "a")
    held = {(WorkerIncarnation("w0"), "a"): 2, (WorkerIncarnation("w1"), "a"): 2}
    assert next_loads({"a": 3}, set(), plan, held, {}) == []
    moves = next_loads({"a": 4}, set(), plan, held, {})
    assert {move.worker.id for move in moves} == {"w0", "w1"}


@pytest.mark.parametrize("num_workers", [5, 9, 12, 18, 35])
def test_models_stay_on_their_workers_when_another_is_removed(num_workers: int) -> None:
    workers = make_workers(num_workers)
    models = ["a", "b", "c"]
    before = plan_loads(models, workers, {}).holders
    held = {
        (worker.incarnation, model): 7 for model, holders in before.items() for worker in holders
    }
    for removed in workers:
        remaining = [worker for worker in workers if worker is not removed]
        after = plan_loads(models, remaining, held).holders
        for model in models:
            expected = {worker.id for worker in before[model]} - {removed.id}
            assert expected <= {worker.id for worker in after[model]}


@given(st.integers(1, 9), st.integers(1, 4))
def test_successive_versions_find_serving_workers_for_every_step(
    num_workers: int, num_models: int
) -> None:
    models = [f"m{index}" for index in range(num_models)]
    workers = make_workers(num_workers)
    held = {(worker.incarnation, model): 1 for worker in workers for model in models}
    for version in range(2, 9):
        announced = dict.fromkeys(models, version)
        plan = plan_loads(models, workers, held)
        for model, holders in plan.holders.items():
            serving = [w for w in holders if held[(w.incarnation, model)] >= version - 1]
            assert len(serving) >= len(holders) // 2, "a step begins with half of the workers"
        num_loads = 0
        max_concurrent = max_concurrent_loads(num_workers)
        while moves := next_loads(announced, set(models), plan, held, {}, max_concurrent):
            assert len(moves) <= max_concurrent_loads(num_workers)
            assert len({move.worker.id for move in moves}) == len(moves)
            num_loads += len(moves)
            held |= {(move.worker.incarnation, move.model): version for move in moves}
        if num_models <= 2:
            assert num_loads <= max_loads_per_version(num_workers) + num_models
        for model, holders in plan.holders.items():
            assert all(held[(worker.incarnation, model)] >= version - 1 for worker in holders)
