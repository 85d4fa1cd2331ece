"""Which worker holds which model, and what is loaded next."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowrack.forwarding.types import Worker
from hollowrack.weights.plan import MAX_CONCURRENT_LOADS, assign_models, next_moves


def make_workers(count: int) -> list[Worker]:
    return [Worker(f"w{index}", "svc", "127.0.0.1:1", "z", 8) for index in range(count)]


def test_one_model_is_held_by_every_worker() -> None:
    workers = make_workers(4)
    assert assign_models(["m"], workers) == {"m": tuple(workers)}


@given(st.integers(0, 12), st.integers(0, 5))
def test_every_model_has_workers_and_shares_are_even(num_workers: int, num_models: int) -> None:
    models = [f"m{index}" for index in range(num_models)]
    assigned = assign_models(models, make_workers(num_workers))
    assert set(assigned) == set(models)
    sizes = {len(workers) for workers in assigned.values()}
    assert len(sizes) <= 1
    for workers in assigned.values():
        assert len({worker.id for worker in workers}) == len(workers)
        assert len(workers) >= min(2, num_workers)


@pytest.mark.parametrize(
    ("held", "loading", "expected"),
    [
        ({}, set(), {"w0", "w1"}),
        ({("w0", "m"): 5}, set(), {"w1", "w2"}),
        ({("w0", "m"): 4}, {"w1"}, {"w0"}),
        ({}, {"w0", "w1"}, set()),
        ({("w0", "m"): 5, ("w1", "m"): 6, ("w2", "m"): 5}, set(), set()),
    ],
)
def test_workers_behind_are_moved_two_at_a_time(
    held: dict[tuple[str, str], int], loading: set[str], expected: set[str]
) -> None:
    workers = make_workers(3)
    moves = next_moves({"m": 5}, {"m": workers}, held, loading)
    assert {move.worker.id for move in moves} == expected
    assert all(move.version == 5 for move in moves)


@given(
    st.integers(1, 8),
    st.lists(st.integers(1, 9), min_size=1, max_size=4),
    st.randoms(use_true_random=False),
)
def test_repeated_moves_bring_every_worker_up(
    num_workers: int, named: list[int], rng: object
) -> None:
    del rng
    models = {f"m{index}": version for index, version in enumerate(named)}
    workers = make_workers(num_workers)
    assigned = assign_models(list(models), workers)
    held: dict[tuple[str, str], int] = {}
    for _ in range(200):
        moves = next_moves(models, assigned, held, ())
        assert len(moves) <= MAX_CONCURRENT_LOADS
        assert len({move.worker.id for move in moves}) == len(moves)
        if not moves:
            break
        held |= {(move.worker.id, move.model): move.version for move in moves}
    for model, version in models.items():
        assert all(held[(worker.id, model)] == version for worker in assigned[model])
